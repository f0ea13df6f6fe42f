"""Tests that a dead primary is found in the usual time although the event loop stood still."""

import asyncio
import contextlib
import socket
import time

import pytest

from bilberrystack.routing import primary_change
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

# Grants and promotion requests of earlier coordinators have ended after this time.
SETTLED_S = 2.5

# Time of a failover beyond the limit for the primary's silence, on a calm machine: the age of its
# last answer, the withdrawal and the queries to the replicas.
FAILOVER_MARGIN_S = 0.7


async def _stall(seconds):
    """Let the event loop stand still."""
    asyncio.get_running_loop().call_soon(time.sleep, seconds)
    await asyncio.sleep(0)


async def _wait_for_renewal(site):
    """Wait until the coordinator has just renewed its lease, so that a stall does not end it."""
    [lease] = [started._lease for started in site.instances]
    await site.wait_until(lambda: lease.renewal is not None and lease.renewal.age_s < 0.1)


@contextlib.asynccontextmanager
async def _silence(member):
    """Stop a member so that connections to its address are neither accepted nor refused."""
    await member.stop()
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", member.port))
        listener.listen(0)
        for _ in range(4):
            # These fill the queue of connections that nobody accepts.
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(("127.0.0.1", member.port))
        yield


async def _time_until_replaced(site, gap_s, interval_s):
    """Return the seconds until a promotion is requested; the loop stalls at intervals."""
    started_at_s = time.monotonic()
    async with asyncio.timeout(20.0):
        while not site.platform.promotion_requests:
            await _stall(gap_s)
            await asyncio.sleep(interval_s - gap_s)
    return time.monotonic() - started_at_s


@pytest.mark.parametrize(
    ("first_stall_s", "gap_s", "expected_s"),
    [
        (0.0, 0.0, primary_change.UNRESPONSIVE_TIMEOUT_S + FAILOVER_MARGIN_S),
        (1.4, 0.0, primary_change.UNRESPONSIVE_TIMEOUT_S + FAILOVER_MARGIN_S),
        (0.0, 0.1, primary_change.UNRESPONSIVE_TIMEOUT_S + FAILOVER_MARGIN_S + 0.2),
        (0.0, 0.3, 3 * (primary_change.UNRESPONSIVE_TIMEOUT_S + FAILOVER_MARGIN_S)),
    ],
)
async def test_a_dead_primary_is_replaced_in_the_usual_time(first_stall_s, gap_s, expected_s):
    """Guards against a coordinator that runs slowly, or stood still, and takes nobody for dead."""
    async with line_site.Site(1) as site:
        client = await site.connect("strict")
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        await asyncio.sleep(SETTLED_S)
        await _wait_for_renewal(site)
        await _stall(first_stall_s)
        await asyncio.sleep(0.3 if first_stall_s else 0.0)
        async with _silence(site.group.members["a"]):
            took_s = await _time_until_replaced(site, gap_s, 0.15 if gap_s < 0.15 else 0.35)
        assert took_s < expected_s
