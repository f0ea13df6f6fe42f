"""Tests requests that arrive together, without waiting for an answer."""

import asyncio

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio


async def test_a_stop_answers_both_of_two_requests_that_arrived_together():
    """Guards against a request that was read, and whose session ends with the answer before."""
    async with line_site.Site(1, line_group.GroupOptions(service_time_s=0.1)) as site:
        client = await site.connect("strict")
        (served,) = site.instances[0]._sessions
        await client.query("READ x")
        served._reader.feed_data(b"QUERY q1 READ x\r\nQUERY q2 READ x\r\n")
        await asyncio.sleep(0.02)
        site.instances[0].request_stop()
        assert (await client.read_answer())[-1].startswith("READY I")
        assert "".join((await client.read_answer())[-1:]).startswith("READY I")
        await site.wait_until_stopped()
