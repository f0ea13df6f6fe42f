"""Tests the caches of store objects: the number of store calls, and that they stay up to date."""

import asyncio

import pytest

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import views

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

HISTORY_S = 20.0


class FakeKind:
    """A kind of objects in a store that keeps its history for HISTORY_S."""

    def __init__(self, changes_at_s):
        self.name = "kind"
        self.calls = 0
        self._changes_at_s = changes_at_s

    def _now(self):
        return asyncio.get_running_loop().time()

    def _revision(self):
        number = 1 + sum(at_s <= self._now() for at_s in self._changes_at_s)
        return interfaces.Revision(1, number)

    async def list(self, allow_stale=False):
        self.calls += 1
        return interfaces.Snapshot({}, self._revision())

    async def watch(self, revision, wait_s):
        self.calls += 1
        started_at_s = self._now()
        while self._revision() == revision and self._now() < started_at_s + wait_s:
            await asyncio.sleep(0.01)
        if self._now() - started_at_s >= HISTORY_S:
            raise interfaces.HistoryGone("kind")
        numbers = range(revision.number, self._revision().number)
        items = {str(number): number for number in numbers}
        return interfaces.Changes(items, self._revision())


async def _follow(kind, seconds, **options):
    cache = views.ObjectCache(kind, lambda: None, **options)
    follow_task = asyncio.create_task(cache.follow())
    await asyncio.sleep(seconds)
    follow_task.cancel()
    return cache


async def test_a_watch_ends_within_the_history_of_the_store():
    """Watches of 25 s outlasted the history of 20 s, and each cost another call to list again."""
    kind = FakeKind([])
    await _follow(kind, 50.0, history_s=HISTORY_S)
    assert kind.calls <= 4


async def test_changes_in_quick_succession_need_few_watches():
    """Twelve members that registered within 3 s cost each instance twelve calls."""
    kind = FakeKind([1.0 + 0.25 * number for number in range(12)])
    cache = await _follow(kind, 10.0, history_s=HISTORY_S, batch_delay_s=1.0)
    assert len(cache.items) == 12
    assert kind.calls <= 6


async def test_a_single_change_is_applied_at_once():
    """The delay that batches changes must not delay the first one."""
    kind = FakeKind([1.0])
    cache = await _follow(kind, 1.1, history_s=HISTORY_S, batch_delay_s=1.0)
    assert len(cache.items) == 1


class UnresponsiveKind(FakeKind):
    """A kind whose watches never answer, as after the store has lost them."""

    async def watch(self, revision, wait_s):
        self.calls += 1
        await asyncio.sleep(wait_s + 2.0)
        raise interfaces.NotDone("no answer in time")

    async def list(self, allow_stale=False):
        self.calls += 1
        revision = self._revision()
        return interfaces.Snapshot({str(revision.number): 1}, revision)


async def _check(kind, seconds, interval_s):
    cache = views.ObjectCache(kind, lambda: None, history_s=HISTORY_S)
    tasks = [
        asyncio.create_task(cache.follow()),
        asyncio.create_task(cache.check(interval_s, interval_s)),
    ]
    await asyncio.sleep(seconds)
    return cache, tasks


async def test_changes_are_found_although_the_store_has_lost_the_watch():
    """Five instances used an old configuration for 13 s, because their watches did not answer."""
    kind = UnresponsiveKind([5.0])
    cache, tasks = await _check(kind, 8.0, 2.0)
    assert list(cache.items) == ["2"]
    for task in tasks:
        task.cancel()


async def test_a_newer_version_at_another_instance_is_read_at_once():
    """Guards against a wait for the next regular check, which may be seconds away."""
    kind = UnresponsiveKind([5.0])
    cache, tasks = await _check(kind, 5.1, 100.0)
    assert list(cache.items) == ["1"]
    cache.request_check()
    await asyncio.sleep(0.1)
    assert list(cache.items) == ["2"]
    for task in tasks:
        task.cancel()


class RacedKind(FakeKind):
    """A kind whose second list is newer than the changes that its watch returns."""

    async def list(self, allow_stale=False):
        self.calls += 1
        if self.calls == 1:
            return interfaces.Snapshot({}, interfaces.Revision(1, 1))
        return interfaces.Snapshot({"a": "new"}, interfaces.Revision(1, 3))


class RacedCache(views.ObjectCache):
    """A cache that applies a newer snapshot while older changes are on their way."""

    __slots__ = ()

    async def _watch_changes(self, revision):
        await self._list()
        await asyncio.sleep(1.0)
        return interfaces.Changes({"a": "old"}, interfaces.Revision(1, 2))


async def test_changes_that_arrive_late_undo_nothing():
    """A leaving member would be used again until its next change."""
    cache = RacedCache(RacedKind([]), lambda: None, history_s=HISTORY_S)
    follow_task = asyncio.create_task(cache.follow())
    await asyncio.sleep(1.5)
    assert cache.items == {"a": "new"}
    follow_task.cancel()


class RestoredKind(FakeKind):
    """A kind of a store that returned from an older copy, and whose cheap lists are still older."""

    def __init__(self):
        super().__init__([])
        self.revision = interfaces.Revision(1, 60)
        self.items = {"a": "lost"}
        self.stale = interfaces.Snapshot(self.items, self.revision)

    def _revision(self):
        return self.revision

    def restore(self, number):
        self.revision, self.items = interfaces.Revision(2, number), {"a": "restored"}

    async def list(self, allow_stale=False):
        self.calls += 1
        return self.stale if allow_stale else interfaces.Snapshot(self.items, self.revision)

    async def watch(self, revision, wait_s):
        self.calls += 1
        await asyncio.sleep(0.01)
        if revision.era != self.revision.era or revision.number > self.revision.number:
            raise interfaces.HistoryGone("kind")
        await asyncio.sleep(wait_s)
        return interfaces.Changes({}, self.revision)


@pytest.mark.parametrize("stale_era", [1, 2])
async def test_a_stale_list_of_the_lost_history_does_not_come_back(stale_era):
    """A cheap list may be seconds old, also after the store has returned from an older copy."""
    kind = RestoredKind()
    cache, tasks = await _check(kind, 1.0, 2.0)
    assert cache.items == {"a": "lost"}
    kind.restore(45)
    kind.stale = interfaces.Snapshot(kind.items, kind.revision)
    # Ends the watch that waits at the lost revision, as the store does when it goes away.
    cache.set_watch_enabled(False)
    cache.set_watch_enabled(True)
    await asyncio.sleep(0.1)
    assert cache.items == {"a": "restored"}
    kind.stale = interfaces.Snapshot({"a": "lost"}, interfaces.Revision(stale_era, 60))
    await asyncio.sleep(3.0)
    kind.stale = interfaces.Snapshot(kind.items, kind.revision)
    await asyncio.sleep(3.0)
    assert cache.items == {"a": "restored"}
    assert kind.calls < 20
    for task in tasks:
        task.cancel()


async def test_a_restore_is_noticed_although_the_watch_is_silent():
    """A watch that survives the store's return never shows the changes of the new history."""
    kind = RestoredKind()
    cache, tasks = await _check(kind, 1.0, 2.0)
    kind.restore(70)
    kind.stale = interfaces.Snapshot({"a": "lost"}, interfaces.Revision(2, 60))
    await asyncio.sleep(2.5)
    assert cache.items == {"a": "restored"}
    for task in tasks:
        task.cancel()


async def test_a_watch_that_the_store_always_rejects_costs_few_calls():
    """One play made 38,790 calls because each rejected watch was answered with a list at once."""
    kind = RestoredKind()
    kind.watch = _reject_watch
    _, tasks = await _check(kind, 10.0, 100.0)
    assert kind.calls < 60
    for task in tasks:
        task.cancel()


async def _reject_watch(revision, wait_s):
    raise interfaces.HistoryGone("kind")


async def test_a_cache_without_a_watch_costs_no_call_for_each_change():
    """On 195 machines each change of a member cost 195 calls, though few use the members."""
    kind = FakeKind([5.0 + number for number in range(20)])
    cache, tasks = await _check(kind, 1.0, 8.0)
    cache.set_watch_enabled(False)
    calls_before = kind.calls
    await asyncio.sleep(30.0)
    assert kind.calls - calls_before <= 5
    cache.set_watch_enabled(True)
    await asyncio.sleep(0.1)
    assert len(cache.items) == 20
    for task in tasks:
        task.cancel()


class StaleKind(UnresponsiveKind):
    """A kind whose cheap lists are seconds old."""

    async def list(self, allow_stale=False):
        self.calls += 1
        if allow_stale:
            return interfaces.Snapshot({"1": 1}, interfaces.Revision(1, 1))
        revision = self._revision()
        return interfaces.Snapshot({str(revision.number): 1}, revision)


async def test_a_cheap_list_that_is_too_old_is_followed_by_a_fresh_one():
    """A configuration in force at another instance must not wait for the next regular check."""
    cache, tasks = await _check(StaleKind([5.0]), 5.1, 100.0)
    cache.request_check()
    await asyncio.sleep(0.1)
    assert list(cache.items) == ["2"]
    for task in tasks:
        task.cancel()
