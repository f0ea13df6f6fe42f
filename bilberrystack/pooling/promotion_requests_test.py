"""Tests that a promotion request is stored later if the store did not answer when it was made."""

import asyncio

import pytest

from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import promotion_requests
from bilberrystack.pooling import tasks
from bilberrystack.routing import primary_change
from bilberrystack.routing import running_time

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


class Platform:
    """A store that can be down, and a platform that never answers promotion requests.

    Attributes:
      records: Names of the stored records.
      down: Whether the store does not answer.
      removals: Number of removals.
    """

    def __init__(self):
        self.records = set()
        self.down = True
        self.removals = 0

    async def record_promotion(self, record):
        if self.down:
            await asyncio.sleep(1.0)
            raise interfaces.NoAnswer
        if record.name in self.records:
            raise interfaces.Conflict
        self.records.add(record.name)

    async def remove_promotion_record(self, name):
        self.removals += 1
        self.records.discard(name)

    async def promote(self, *_, may_send):
        await asyncio.sleep(0.1)
        raise interfaces.NoAnswer


class Made:
    """A request that was made while the store was down."""

    def __init__(self):
        self.platform = Platform()
        self.requests = promotion_requests.PromotionRequests(
            self.platform,
            asyncio.get_running_loop().time,
            tasks.Tasks(),
            counters.Counters(),
            running_time.ALWAYS_RUNNING,
        )
        number = self.requests.pending_of("store").add("b", 1, 0.0)
        self.request = promotion_requests.Request("store", "b", number, 1, 1, "proxy-0", 7)

    async def make(self):
        reply = await self.requests.make(self.request, lambda: True)
        assert reply is primary_change.PromotionReply.UNKNOWN
        assert not self.platform.records


async def test_a_request_from_a_store_outage_is_stored_once_the_store_is_back():
    """A successor did not know of the request, and granted the member that it replaced."""
    made = Made()
    await made.make()
    await asyncio.sleep(3.0)
    made.platform.down = False
    await asyncio.sleep(promotion_requests.RECORD_TIMEOUT_S + 1.0)
    assert made.platform.records == {made.request.record.name}
    made.requests.remove_record("store", made.request.number)
    await asyncio.sleep(5.0)
    assert not made.platform.records


async def test_a_request_that_is_no_longer_pending_is_not_stored():
    """Guards against a record that keeps a successor from grants for no reason."""
    made = Made()
    await made.make()
    made.requests.remove_record("store", made.request.number)
    made.platform.down = False
    await asyncio.sleep(5.0)
    assert not made.platform.records


async def test_a_request_that_ends_while_it_is_being_stored_is_removed():
    """Guards against a record whose removal was executed before it was stored."""
    made = Made()
    original = made.platform.record_promotion

    async def record_slowly(record):
        await asyncio.sleep(0.15)
        await original(record)

    await made.make()
    made.platform.down, made.platform.record_promotion = False, record_slowly
    began_at_s = promotion_requests.RECORD_TIMEOUT_S + promotion_requests.RECORD_RETRY_DELAY_S
    await asyncio.sleep(began_at_s + 0.05 - asyncio.get_running_loop().time())
    made.requests.remove_record("store", made.request.number)
    await asyncio.sleep(0.05)
    assert made.platform.removals == 1
    await asyncio.sleep(5.0)
    assert not made.platform.records
