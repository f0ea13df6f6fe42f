"""Tests of following the configuration and accepting changes, on a paused clock."""

import asyncio
import contextlib
import dataclasses

import pytest

from bilberrystack.core import changes
from bilberrystack.core import declarations
from bilberrystack.core import parts
from bilberrystack.proxy import acceptance
from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

HEAD = configuration.HEAD_KEY


def now():
    return asyncio.get_running_loop().time()


class FakeStore:
    """A store in memory.

    Faults: `off` fails every call, `lose_answers` of the next puts of the head after they took
    effect, `delay_put_s` makes the next put of the head fail and take effect later, `drop_puts`
    fails the other puts of the head without effect.
    """

    def __init__(self):
        self.objects = {}
        self.off = False
        self.silent = False
        self.lose_answers = 0
        self.delay_put_s = None
        self.drop_puts = False
        self.before_head_put = []
        self.gets = []
        self.changed = asyncio.Condition()

    async def _reach(self):
        if self.silent:
            await asyncio.get_running_loop().create_future()
        if self.off:
            raise interfaces.StoreUnavailable("off")

    async def get(self, key):
        self.gets.append(key)
        await self._reach()
        return self.objects.get(key)

    async def put(self, key, value, expected_version):
        await self._reach()
        if key == HEAD and self.before_head_put:
            await self.before_head_put.pop()()
        if key == HEAD and self.delay_put_s is not None:
            delay, self.delay_put_s = self.delay_put_s, None
            asyncio.get_running_loop().call_later(
                delay, self._write_late, key, value, expected_version
            )
            raise interfaces.StoreUnavailable("delayed")
        if key == HEAD and self.drop_puts:
            raise interfaces.StoreUnavailable("dropped")
        version = self._write(key, value, expected_version)
        async with self.changed:
            self.changed.notify_all()
        if key == HEAD and self.lose_answers:
            self.lose_answers -= 1
            raise interfaces.StoreUnavailable("answer lost")
        return version

    def _write(self, key, value, expected_version):
        current = self.objects.get(key)
        if (current.version if current else 0) != expected_version:
            raise interfaces.VersionConflict(key)
        self.objects[key] = interfaces.StoredObject(key, value, expected_version + 1)
        return expected_version + 1

    def _write_late(self, *fields):
        with contextlib.suppress(interfaces.VersionConflict):
            self._write(*fields)

    async def watch(self, key, after_version, wait_s):
        def newer():
            stored = self.objects.get(key)
            return stored is not None and stored.version > after_version

        await self._reach()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(newer)
        await self._reach()
        return self.objects[key] if newer() else None


class FakeNeighbours:
    """Other instances; `contact` is whether a majority of failure domains is heard from."""

    def __init__(self):
        self.contact = True
        self.behind = []
        self.pushed = []

    def majority_contact_at(self, now_s):
        return now_s if self.contact else None

    async def lagging(self, _version):
        return self.behind

    async def push_head(self, head):
        self.pushed.append(head)


class FakePeer:
    """A link to another instance's configuration."""

    def __init__(self, other, broken=False):
        self.other = other
        self.broken = broken
        self.sent_parts = 0
        self.calls = 0

    async def fetch_configuration(self, known):
        if self.broken:
            raise interfaces.LinkLost("broken", sent=True)
        self.calls += 1
        transfer = await self.other.transfer(known)
        self.sent_parts += len(transfer.parts)
        return transfer


def may_serve(now_s, store_contact_at, majority_contact_at):
    instants = [one for one in (store_contact_at, majority_contact_at) if one is not None]
    return any(now_s - one <= 4.0 for one in instants)


class Instance:
    """A configuration with its acceptor."""

    def __init__(self, store):
        self.neighbours = FakeNeighbours()
        self.problems = []
        self.configuration = configuration.Configuration(
            store, self.neighbours, may_serve, self.problems.append
        )
        self.acceptor = acceptance.Acceptor(
            store,
            self.configuration,
            self.neighbours,
            lambda now_s, contact: contact is not None and now_s - contact <= 4.0,
        )

    @property
    def groups(self):
        return sorted(self.configuration.declarations.groups)


@contextlib.asynccontextmanager
async def running(one):
    task = asyncio.create_task(one.configuration.run())
    try:
        yield one
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def group(name, port=7001, names="abc"):
    members = tuple(
        declarations.MemberDeclaration(one, f"127.0.0.1:{port + index}", "z", 16, 2)
        for index, one in enumerate(names)
    )
    return declarations.GroupDeclaration(name, members)


def add(name, operation_id, port=7001):
    edit = changes.Edit(changes.EditKind.ADD_GROUP, name, group(name, port))
    return changes.Change(operation_id, edits=(edit,))


def replace(one, operation_id, **fields):
    edit = changes.Edit(changes.EditKind.REPLACE_GROUP, one.name, one)
    return changes.Change(operation_id, edits=(edit,), **fields)


async def test_accepted_change_is_applied_by_a_watching_instance():
    """Guards against changes that only the accepting instance sees."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    async with running(other):
        assert await one.acceptor.accept(add("g", "op")) == changes.Accepted(1)
        await until(lambda: other.groups == ["g"])
    assert (one.groups, other.configuration.version) == (["g"], 1)
    assert one.neighbours.pushed == [store.objects[HEAD].value]


async def test_changed_head_costs_one_part():
    """Guards against fetching the whole document for every change."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    for number in range(20):
        await one.acceptor.accept(add(f"g{number}", f"op{number}", 7000 + 10 * number))
    await other.configuration.refresh()
    store.gets.clear()
    await one.acceptor.accept(add("last", "op", 9000))
    store.gets.clear()
    await other.configuration.refresh()
    assert len(store.gets) == 2 and "last" in other.groups


async def test_lower_version_is_never_applied():
    """Guards against reverting an accepted configuration when the store goes back."""
    store = FakeStore()
    one = Instance(store)
    await one.acceptor.accept(add("g", "op1"))
    old = store.objects[HEAD]
    await one.acceptor.accept(add("h", "op2", 8001))
    store.objects[HEAD] = old
    await one.configuration.refresh()
    assert (one.configuration.version, one.groups) == (2, ["g", "h"])


async def test_peer_with_a_lower_version_reverts_nothing():
    """Guards against a transfer that was under way while a newer version was applied."""
    store = FakeStore()
    one, old = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op1"))
    await old.configuration.refresh()
    await one.acceptor.accept(add("h", "op2", 8001))
    store.off = True
    peer = FakePeer(old.configuration)
    one.configuration.peer_has(3, peer)
    await until(lambda: peer.calls)
    await asyncio.sleep(1.0)
    assert (one.configuration.version, one.groups) == (2, ["g", "h"])


async def test_store_that_lost_versions_is_repaired_by_the_next_change():
    """Guards against a change based on the lower version of a restored store."""
    store = FakeStore()
    one, fresh = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op1"))
    store.objects.clear()
    assert await one.acceptor.accept(add("h", "op2", 8001)) == changes.Accepted(2)
    await fresh.configuration.refresh()
    assert fresh.groups == ["g", "h"]


async def test_instance_without_the_newest_version_accepts_nothing():
    """Guards against a change that reverts what a peer already has in force."""
    store = FakeStore()
    one, stale = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op1"))
    store.objects.clear()
    stale.configuration.peer_has(1, FakePeer(one.configuration, broken=True))
    outcome = await stale.acceptor.accept(add("h", "op2", 8001))
    assert isinstance(outcome, changes.Rejected) and HEAD not in store.objects


async def test_unreadable_head_is_not_replaced():
    """Guards against an older program that overwrites a head whose form it doesn't know."""
    store = FakeStore()
    store.objects[HEAD] = interfaces.StoredObject(HEAD, b"\xc1", 7)
    one = Instance(store)
    assert isinstance(await one.acceptor.accept(add("g", "op")), changes.Rejected)
    assert store.objects[HEAD].version == 7


async def test_newer_version_is_fetched_from_the_peer_without_the_store():
    """Guards against a store outage that keeps a change from the other failure domains."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op"))
    store.off = True
    peer = FakePeer(one.configuration)
    other.configuration.peer_has(1, peer)
    await other.configuration.receive_head(one.neighbours.pushed[0])
    await until(lambda: other.groups == ["g"])
    other.configuration.peer_has(1, peer)
    assert peer.sent_parts == 1


async def test_broken_peer_falls_back_to_the_store():
    """Guards against an instance that stays behind because one peer is gone."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op"))
    other.configuration.peer_has(1, FakePeer(one.configuration, broken=True))
    await until(lambda: other.groups == ["g"])
    assert other.problems


async def test_pushed_head_is_enough_with_the_store():
    """Guards against a push that waits for the sender, which may be gone."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op"))
    await other.configuration.receive_head(one.neighbours.pushed[0])
    assert other.groups == ["g"]


async def test_instance_that_stays_behind_stops_serving():
    """Guards against serving for long under a version that is known to be replaced."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    await other.configuration.refresh()
    await one.acceptor.accept(add("g", "op"))
    store.off = True
    other.configuration.peer_has(1, FakePeer(one.configuration, broken=True))
    assert other.configuration.serving_allowed(now())
    await asyncio.sleep(5.0)
    assert not other.configuration.serving_allowed(now())
    other.configuration.peer_has(1, FakePeer(one.configuration))
    await until(lambda: other.configuration.serving_allowed(now()))


async def test_uninformed_instance_does_not_serve():
    """Guards against refusing every group as unknown before a configuration was seen."""
    store = FakeStore()
    one = Instance(store)
    assert not one.configuration.serving_allowed(now())
    await one.configuration.refresh()
    assert one.configuration.serving_allowed(now())


async def test_silent_store_is_noticed_when_peers_are_lost():
    """Guards against a pending watch of a cut-off store that counts as contact."""
    store = FakeStore()
    one = Instance(store)
    async with running(one):
        await until(lambda: one.configuration.store_contact_at is not None)
        one.neighbours.contact = False
        await asyncio.sleep(20.0)
        assert one.configuration.serving_allowed(now())
        store.silent = True
        await asyncio.sleep(6.0)
        assert not one.configuration.serving_allowed(now())


async def test_watch_resumes_after_an_outage():
    """Guards against an instance that follows no longer after the store returned."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    store.off = True
    async with running(other):
        await asyncio.sleep(100.0)
        store.off = False
        await one.acceptor.accept(add("g", "op"))
        await until(lambda: other.groups == ["g"])


async def test_lost_answer_is_read_back():
    """Guards against reporting a change that took effect as failed."""
    store = FakeStore()
    one = Instance(store)
    store.lose_answers = 1
    assert await one.acceptor.accept(add("g", "op")) == changes.Accepted(1)
    assert store.objects[HEAD].version == 1


async def test_delayed_update_takes_effect_once():
    """Guards against "not changed" while the update is still under way."""
    store = FakeStore()
    one = Instance(store)
    store.delay_put_s = 1.0
    assert await one.acceptor.accept(add("g", "op")) == changes.Accepted(1)
    await asyncio.sleep(5.0)
    assert store.objects[HEAD].version == 1


async def test_update_that_may_still_arrive_is_not_given_up():
    """Guards against "refused" or "conflict" for an update that takes effect afterwards."""
    store = FakeStore()
    one = Instance(store)
    store.delay_put_s = 3.0
    store.drop_puts = True
    assert await one.acceptor.accept(add("g", "op")) == changes.Accepted(1)


async def test_outage_after_the_update_is_undetermined_and_can_be_repeated():
    """Guards against a second change when an operator repeats an unanswered command."""
    store = FakeStore()
    one = Instance(store)
    store.lose_answers = 1

    async def fail_from_now_on():
        store.off = True

    store.before_head_put.append(fail_from_now_on)
    assert isinstance(await one.acceptor.accept(add("g", "op")), changes.Undetermined)
    store.off = False
    again = Instance(store)
    assert await again.acceptor.accept(add("g", "op")) == changes.Accepted(1)
    assert store.objects[HEAD].version == 1


async def test_used_operation_id_is_refused_for_another_change():
    """Guards against "accepted" for a change that was never made."""
    one = Instance(FakeStore())
    await one.acceptor.accept(add("g", "op"))
    assert isinstance(await one.acceptor.accept(add("h", "op", 8001)), changes.Rejected)


async def test_store_outage_rejects_before_any_change():
    """Guards against an unknown outcome where nothing was sent."""
    store = FakeStore()
    store.off = True
    outcome = await Instance(store).acceptor.accept(add("g", "op"))
    assert [one.field for one in outcome.problems] == ["store"]


async def test_instance_without_most_domains_accepts_nothing():
    """Guards against a change that the other side of a partition doesn't hear of."""
    one = Instance(FakeStore())
    one.neighbours.contact = False
    outcome = await one.acceptor.accept(add("g", "op"))
    assert [each.field for each in outcome.problems] == ["majority of failure domains"]


async def test_racing_additions_both_take_effect():
    """Guards against losing one of two independent changes, or refusing it without need."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    store.before_head_put.append(lambda: other.acceptor.accept(add("h", "op2", 8001)))
    assert await one.acceptor.accept(add("g", "op1")) == changes.Accepted(2)
    assert one.groups == ["g", "h"]


@pytest.mark.parametrize("whole", [False, True])
async def test_racing_changes_of_one_declaration_conflict(whole):
    """Guards against an operator who overwrites another's change without seeing it."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op0"))
    slower = dataclasses.replace(group("g"), default_max_age_ms=1)
    faster = dataclasses.replace(group("g"), default_max_age_ms=2)
    store.before_head_put.append(lambda: other.acceptor.accept(replace(faster, "op2")))
    change = replace(slower, "op1")
    if whole:
        change = changes.Change("op1", replacement=declarations.Declarations(0, {"g": slower}, {}))
    assert await one.acceptor.accept(change) == changes.Conflict(1, 2)
    assert one.configuration.declarations.groups["g"] == faster


async def test_expected_version_is_kept():
    """Guards against applying a document that was written against an older version."""
    one = Instance(FakeStore())
    await one.acceptor.accept(add("g", "op1"))
    await one.acceptor.accept(add("h", "op2", 8001))
    change = replace(dataclasses.replace(group("g"), default_max_age_ms=1), "op3")
    change = dataclasses.replace(change, expected_version=1)
    assert await one.acceptor.accept(change) == changes.Conflict(1, 2)


async def test_change_of_members_waits_for_the_version_before():
    """Guards against three member sets in use at once, of which two don't intersect."""
    one = Instance(FakeStore())
    await one.acceptor.accept(add("g", "op1"))
    one.neighbours.behind = ["entry-7"]
    change = replace(group("g", names="abcd"), "op2")
    refused = await one.acceptor.accept(change)
    assert "entry-7" in refused.problems[0].value
    other = replace(dataclasses.replace(group("g"), default_max_age_ms=1), "op3")
    assert await one.acceptor.accept(other) == changes.Accepted(2)
    one.neighbours.behind = []
    assert await one.acceptor.accept(change) == changes.Accepted(3)


async def test_incomplete_version_is_not_applied_and_tried_again():
    """Guards against applying part of a configuration, and against never trying again."""
    store = FakeStore()
    one, other = Instance(store), Instance(store)
    await one.acceptor.accept(add("g", "op"))
    head = parts.decode_head(store.objects[HEAD].value).unwrap()
    key = configuration.PART_PREFIX + parts.missing_digests(head, ())[0]
    part = store.objects.pop(key)
    async with running(other):
        await until(lambda: other.problems)
        assert other.configuration.version == 0
        store.objects[key] = part
        await until(lambda: other.groups == ["g"])
