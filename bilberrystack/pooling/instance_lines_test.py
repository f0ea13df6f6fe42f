"""Tests the first lines of connections between instances of two versions."""

import asyncio

import pytest

from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import line_stream
from bilberrystack.routing import model
from bilberrystack_standins import line_site


def test_first_lines_keep_their_form():
    """Guards against lines that instances of an earlier version don't read during an upgrade."""
    assert instance_lines.encode_incarnation_request() == b"lifetime\n"
    assert instance_lines.encode_incarnation("1f") == b"1f\n"
    assert instance_lines.encode_forwarding_request() == b"forward\n"
    assert instance_lines.encode_relay_request(model.Endpoint("::1", 7)) == b"::1:7\n"


@pytest.mark.asyncio
async def test_an_instance_answers_the_lines_of_an_earlier_version():
    """Guards against a process that counts as ended, because its answer ends in another way."""
    async with line_site.Site(1) as site:
        endpoint = site.settings[0].peers_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        for byte in b"lifetime\n":
            writer.write(bytes([byte]))
            await writer.drain()
        incarnation = site.instances[0]._own_instance.incarnation
        assert await reader.read() == f"{incarnation}\n".encode()
        writer.close()


@pytest.mark.asyncio
async def test_a_line_of_a_member_has_another_end_than_one_of_an_instance():
    """Guards against one reader for both, which cuts a member's line or waits for a line feed."""
    reader = asyncio.StreamReader()
    reader.feed_data(b"forward\nROW a\nb\r\n")
    assert await instance_lines.read_line(reader) == b"forward"
    assert await line_stream.read_line(reader) == b"ROW a\nb"
