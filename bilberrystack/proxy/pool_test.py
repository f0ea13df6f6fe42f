"""Tests of the data connections of one member, on a paused clock."""

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
    """Opens connections; refuses them while refusals are left, and fails while it is down."""

    def __init__(self, refusals=0):
        self.refusals = refusals
        self.down = False
        self.opening = 0
        self.most_opening = 0
        self.opened = []

    async def connect(self):
        self.opening += 1
        self.most_opening = max(self.most_opening, self.opening)
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


async def test_connections_are_opened_one_at_a_time_up_to_the_share():
    """Guards against a burst of connections after a failover, and against taking too many."""
    member = Member()
    own = open_pool(member)
    leases = await asyncio.gather(*(own.lease(now() + 1.0) for _ in range(5)))
    assert member.most_opening == 1 and len(member.opened) == own.size == 3
    assert sum(lease is None for lease in leases) == 2
    assert not own.available


async def test_refused_connection_is_waited_out():
    """Guards against an error to the caller while another owner gives its connections up."""
    own = open_pool(Member(refusals=4))
    assert await own.lease(now() + 1.0) is not None
    own = open_pool(Member(refusals=1000))
    start = now()
    assert await own.lease(start + 0.5) is None
    assert now() == pytest.approx(start + 0.5, abs=1e-5)


async def test_unreachable_member_is_told_at_once():
    """Guards against waiting for the deadline when another member could be tried."""
    member = Member()
    member.down = True
    own = open_pool(member)
    with pytest.raises(interfaces.LinkLost):
        await own.lease(now() + 10.0)
    assert now() < 1.0


async def test_returned_connection_is_used_again_and_a_discarded_one_never():
    """Guards against a needless 12 ms, and against another request's answer."""
    member = Member()
    own = open_pool(member)
    with await own.lease(now() + 1.0) as lease:
        first = lease.connection
    again = own.take_idle()
    assert again.connection is first
    again.discard()
    again.return_to_pool()
    assert first.closed and own.take_idle() is None
    assert (await own.lease(now() + 1.0)).connection is not first


async def test_error_in_a_lease_closes_the_connection():
    """Guards against reuse of a connection in an unknown state."""
    own = open_pool(Member())
    lease = await own.lease(now() + 1.0)
    with pytest.raises(ValueError), lease:
        raise ValueError
    assert lease.connection.closed and own.size == 0


async def test_connection_for_a_waiter_that_has_gone_is_kept():
    """Guards against a leaked connection when the caller goes away while it is opened."""
    member = Member()
    own = open_pool(member, max_size=1)
    waiting = asyncio.create_task(own.lease(now() + 1.0))
    await asyncio.sleep(OPENING_S / 2)
    waiting.cancel()
    await asyncio.sleep(1.0)
    assert own.size == len(member.opened) and own.available
    assert await own.lease(now() + 1.0) is not None


async def test_forgotten_connections_are_closed_when_they_come_back():
    """Guards against connections to a replaced primary that go on being used."""
    member = Member()
    own = open_pool(member)
    leased = await own.lease(now() + 1.0)
    idle = await own.lease(now() + 1.0)
    idle.return_to_pool()
    own.retire_connections()
    assert idle.connection.closed and not leased.connection.closed
    leased.return_to_pool()
    assert leased.connection.closed and own.size == 0


async def test_smaller_share_closes_what_exceeds_it():
    """Guards against an owner of a lower rank that keeps the connections of rank 0."""
    own = open_pool(Member(), max_size=3)
    leases = [await own.lease(now() + 1.0) for _ in range(3)]
    own.set_max_size(1)
    for lease in leases:
        lease.return_to_pool()
    assert own.size == 1
