"""Tests the idle limit of transactions around a stall of the event loop that instances run on."""

import asyncio
import os
import socket
import time

import pytest
import uvloop

from bilberrystack_standins import line_site

# The site's limit for the idleness of a client inside a transaction is 0.5 s.
STALL_S = 0.8


def _stall_in_callback(client, line):
    """Let the loop stand still in the callback of a socket, while a client's line arrives."""
    loop = asyncio.get_running_loop()
    readable, written = socket.socketpair()

    def stall():
        loop.remove_reader(readable)
        os.write(client.writer.get_extra_info("socket").fileno(), line)
        time.sleep(STALL_S)
        readable.close()
        written.close()

    loop.add_reader(readable, stall)
    written.send(b"x")


async def _play(line):
    """Return the answer to a transaction's statement around a stall."""
    async with line_site.Site(1) as site:
        client = await site.connect("strict")
        await client.query("BEGIN")
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        await asyncio.sleep(0.2)
        _stall_in_callback(client, line)
        if line:
            return await client.read_answer()
        await asyncio.sleep(STALL_S + 0.8)
        return await client.query("WRITE x 2")


@pytest.mark.parametrize(
    ("line", "expected"), [(b"QUERY late WRITE x 2\r\n", "DONE"), (b"", "ERR ABORTED")]
)
def test_a_transaction_is_idle_only_while_its_client_could_be_heard(line, expected):
    """A statement that had arrived during a stall found its transaction rolled back as idle."""
    answer = uvloop.run(_play(line))
    assert answer[0].startswith(expected)
