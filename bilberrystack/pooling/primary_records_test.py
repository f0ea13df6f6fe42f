"""Tests when the primary of a term is stored, and when it holds grants back."""

import asyncio

import pytest

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import primary_records
from bilberrystack.pooling import tasks
from bilberrystack.routing import permission

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

LEADER = permission.Leader("b", 3)


class FakePlatform:
    """A store of records that can be slow, fail, or return from an older copy."""

    def __init__(self):
        self.records = {}
        self.store_era = 1
        self.delay_s = 0.0
        self.failure = None
        self.writes = 0

    async def record_primary(self, record):
        self.writes += 1
        await asyncio.sleep(self.delay_s)
        if self.failure is not None:
            raise self.failure
        if record.name in self.records:
            raise interfaces.Conflict(record.name)
        self.records[record.name] = record

    async def remove_promotion_record(self, name):
        self.records.pop(name, None)


def _open():
    platform = FakePlatform()
    clock = asyncio.get_running_loop().time
    return platform, primary_records.PrimaryRecords(platform, clock, tasks.Tasks())


async def _run(records, seconds, leader=LEADER):
    """Store a primary as the coordinator does at each step."""
    for _ in range(round(seconds / 0.04)):
        records.store("store", leader)
        await asyncio.sleep(0.04)


def _terms(platform):
    return sorted(record.term for record in platform.records.values())


async def test_grants_wait_until_the_primary_is_stored():
    """Guards against a granted term that the next coordinator does not know of."""
    platform, records = _open()
    platform.delay_s = 0.1
    assert not records.permits_grants("store", 3)
    await _run(records, 0.08)
    assert not records.permits_grants("store", 3)
    await _run(records, 0.08)
    assert records.permits_grants("store", 3)
    await _run(records, 30.0)
    assert platform.writes == 1
    assert not records.permits_grants("store", 4)


async def test_a_store_that_is_away_does_not_hold_grants_back():
    """Guards against a group without grants for the whole of an outage of the store."""
    for failure, delay_s in ((interfaces.NotDone("503"), 0.0), (None, 9.0)):
        platform, records = _open()
        platform.failure, platform.delay_s = failure, delay_s
        await _run(records, primary_records.RECORD_TIMEOUT_S + 0.08)
        assert records.permits_grants("store", 3)
        platform.failure, platform.delay_s = None, 0.0
        await _run(records, primary_records.RECORD_RETRY_DELAY_S + 0.2)
        assert _terms(platform) == [3]
        assert platform.writes == 2


async def test_only_the_newest_record_of_a_group_is_kept():
    """Guards against a record for each primary that a group has ever had."""
    platform, records = _open()
    await _run(records, 0.2)
    await _run(records, 0.2, permission.Leader("c", 5))
    assert _terms(platform) == [5]
    for name, term in (("old", 2), ("newer", 4)):
        platform.records[name] = interfaces.PrimaryRecord(name, "store", "a", term)
    records.replace(list(platform.records.values()))
    await asyncio.sleep(0.1)
    assert _terms(platform) == [5]


async def test_a_primary_is_stored_again_after_the_store_has_returned_from_an_older_copy():
    """Guards against a record that is lost with the store's newest contents."""
    platform, records = _open()
    await _run(records, 0.2)
    platform.records = {"old": interfaces.PrimaryRecord("old", "store", "a", 2)}
    platform.store_era = 2
    records.store("store", LEADER)
    assert records.permits_grants("store", 3)
    await _run(records, 0.2)
    assert _terms(platform) == [2, 3]


async def test_the_records_of_a_group_that_is_gone_are_removed():
    """Guards against records that stay for ever, and against removal while no group is known."""
    platform, records = _open()
    await _run(records, 0.2)
    for groups in ([], ["store"]):
        records.remove_gone(groups)
        await asyncio.sleep(primary_records.GROUP_GONE_S + 1.0)
        assert records.remove_gone(groups) == []
    assert records.remove_gone(["other"]) == []
    await asyncio.sleep(primary_records.GROUP_GONE_S + 0.1)
    assert records.remove_gone(["other"]) == ["store"]
    await asyncio.sleep(0.1)
    assert platform.records == {}


async def test_the_first_term_is_not_stored():
    """Guards against a call for each group at the first start, which would exclude nothing."""
    platform, records = _open()
    await _run(records, 0.2, permission.Leader("a", 1))
    assert records.permits_grants("store", 1)
    assert platform.writes == 0


async def test_a_failure_to_store_one_term_does_not_hold_back_the_grants_of_the_next():
    """Guards against a group without grants for the retry delay if two terms follow each other."""
    platform, records = _open()
    platform.failure = interfaces.NotDone("503")
    await _run(records, 0.2)
    assert records.permits_grants("store", 3)
    await _run(records, primary_records.RECORD_TIMEOUT_S + 0.08, permission.Leader("c", 4))
    assert records.permits_grants("store", 4)
    assert platform.writes == 2
