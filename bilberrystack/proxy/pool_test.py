"""Tests of the connection pool, on a paused clock."""

import asyncio

import pytest

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import pool

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

OPENING_S = 0.012


class Connection:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


class Member:
    """Opens connections. Refuses the first `refusals` attempts, and fails while `down` is set."""

    def __init__(self, refusals=0):
        self.refusals = refusals
        self.down = False
        self.opening = 0
        self.max_opening = 0
        self.opened = []

    async def connect(self):
        self.opening += 1
        self.max_opening = max(self.max_opening, self.opening)
        await asyncio.sleep(OPENING_S)
        self.opening -= 1
        if self.down:
            raise interfaces.LinkLost("down", sent=False)
        if self.refusals:
            self.refusals -= 1
            raise interfaces.ConnectionRefused("at its limit")
        self.opened.append(Connection())
        return self.opened[-1]


def now():
    return asyncio.get_running_loop().time()


def open_pool(member, max_size=3):
    return pool.Pool(member, max_size, lambda: None)


async def test_connections_are_opened_one_at_a_time_up_to_the_maximum_size():
    """Guards against a burst of connections after a failover, and against exceeding the limit."""
    member = Member()
    member_pool = open_pool(member)
    leases = await asyncio.gather(*(member_pool.lease(now() + 1.0) for _ in range(5)))
    assert member.max_opening == 1 and len(member.opened) == member_pool.size == 3
    assert sum(lease is None for lease in leases) == 2
    assert not member_pool.available


async def test_refused_connection_is_retried_until_the_deadline():
    """Guards against an error to the caller while another owner is closing its connections."""
    member_pool = open_pool(Member(refusals=4))
    assert await member_pool.lease(now() + 1.0) is not None
    member_pool = open_pool(Member(refusals=1000))
    start = now()
    assert await member_pool.lease(start + 0.5) is None
    assert now() == pytest.approx(start + 0.5, abs=1e-5)


async def test_unreachable_member_is_reported_immediately():
    """Guards against waiting until the deadline although another member could be tried."""
    member = Member()
    member.down = True
    member_pool = open_pool(member)
    with pytest.raises(interfaces.LinkLost):
        await member_pool.lease(now() + 10.0)
    assert now() < 1.0


async def test_returned_connection_is_reused_and_a_discarded_one_is_not():
    """Guards against opening connections needlessly, which takes 12 ms, and against late answers.

    A late answer on a reused connection would be taken for the answer to another request.
    """
    member = Member()
    member_pool = open_pool(member)
    with await member_pool.lease(now() + 1.0) as lease:
        first = lease.connection
    again = member_pool.take_idle()
    assert again.connection is first
    again.discard()
    again.return_to_pool()
    assert first.closed and member_pool.take_idle() is None
    assert (await member_pool.lease(now() + 1.0)).connection is not first


async def test_error_in_a_lease_closes_the_connection():
    """Guards against reuse of a connection in an unknown state."""
    member_pool = open_pool(Member())
    lease = await member_pool.lease(now() + 1.0)
    with pytest.raises(ValueError), lease:
        raise ValueError
    assert lease.connection.closed and member_pool.size == 0


async def test_connection_for_a_cancelled_wait_is_kept():
    """Guards against a connection leak when the wait is cancelled while the connection opens."""
    member = Member()
    member_pool = open_pool(member, max_size=1)
    waiting = asyncio.create_task(member_pool.lease(now() + 1.0))
    await asyncio.sleep(OPENING_S / 2)
    waiting.cancel()
    await asyncio.sleep(1.0)
    assert member_pool.size == len(member.opened) and member_pool.available
    assert await member_pool.lease(now() + 1.0) is not None


async def test_retired_connections_are_closed_when_returned():
    """Guards against further use of connections to a replaced primary."""
    member = Member()
    member_pool = open_pool(member)
    leased = await member_pool.lease(now() + 1.0)
    idle = await member_pool.lease(now() + 1.0)
    idle.return_to_pool()
    member_pool.retire_connections()
    assert idle.connection.closed and not leased.connection.closed
    leased.return_to_pool()
    assert leased.connection.closed and member_pool.size == 0


async def test_smaller_maximum_size_closes_excess_connections():
    """Guards against an owner that keeps the connections of rank 0 after its rank has changed."""
    member_pool = open_pool(Member(), max_size=3)
    leases = [await member_pool.lease(now() + 1.0) for _ in range(3)]
    member_pool.set_max_size(1)
    for lease in leases:
        lease.return_to_pool()
    assert member_pool.size == 1
