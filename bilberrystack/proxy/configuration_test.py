"""Tests of the configuration and of the acceptance of changes, on a paused clock."""

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
    """An in-memory store with faults.

    Attributes:
      unavailable: Whether all calls fail.
      unresponsive: Whether calls are never answered.
      lose_answers: The number of next puts of the head that take effect and then fail.
      delay_put_s: Seconds after which the next put of the head, which fails, takes effect.
      drop_puts: Whether the other puts of the head fail without effect.
      before_head_put: Coroutine functions, the last of which is removed and run before a put of
        the head.
    """

    def __init__(self):
        self.objects = {}
        self.unavailable = False
        self.unresponsive = False
        self.lose_answers = 0
        self.delay_put_s = None
        self.drop_puts = False
        self.before_head_put = []
        self.gets = []
        self.changed = asyncio.Condition()

    async def _reach(self):
        if self.unresponsive:
            await asyncio.get_running_loop().create_future()
        if self.unavailable:
            raise interfaces.StoreUnavailable("unavailable")

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


class FakeFleet:
    """The other instances.

    Attributes:
      in_contact: Whether there is contact with a majority of failure domains.
      lagging: The ids of the instances without the newest version.
      pushed_heads: The heads that were sent to them.
    """

    def __init__(self):
        self.in_contact = True
        self.lagging = []
        self.pushed_heads = []

    def majority_contact_at(self, now_s):
        return now_s if self.in_contact else None

    async def lagging_instances(self, _version):
        return self.lagging

    async def push_head(self, head):
        self.pushed_heads.append(head)


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
        transfer = await self.other.build_transfer(known)
        self.sent_parts += len(transfer.parts)
        return transfer


def may_serve(now_s, store_contact_at, majority_contact_at):
    contacts_at = [
        contact_at
        for contact_at in (store_contact_at, majority_contact_at)
        if contact_at is not None
    ]
    return any(now_s - contact_at <= 4.0 for contact_at in contacts_at)


class Instance:
    """A configuration with its acceptor."""

    def __init__(self, store):
        self.fleet = FakeFleet()
        self.problems = []
        self.configuration = configuration.Configuration(
            store, self.fleet, may_serve, self.problems.append
        )
        self.acceptor = acceptance.Acceptor(
            store,
            self.configuration,
            self.fleet,
            lambda now_s, contact_at: contact_at is not None and now_s - contact_at <= 4.0,
        )

    @property
    def groups(self):
        return sorted(self.configuration.declarations.groups)


@contextlib.asynccontextmanager
async def running(instance):
    task = asyncio.create_task(instance.configuration.run())
    try:
        yield instance
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def group(name, port=7001, names="abc"):
    members = tuple(
        declarations.MemberDeclaration(member_name, f"127.0.0.1:{port + index}", "z", 16, 2)
        for index, member_name in enumerate(names)
    )
    return declarations.GroupDeclaration(name, members)


def add(name, operation_id, port=7001):
    edit = changes.Edit(changes.EditKind.ADD_GROUP, name, group(name, port))
    return changes.Change(operation_id, edits=(edit,))


def replace(declaration, operation_id, **fields):
    edit = changes.Edit(changes.EditKind.REPLACE_GROUP, declaration.name, declaration)
    return changes.Change(operation_id, edits=(edit,), **fields)


async def test_accepted_change_is_applied_by_a_watching_instance():
    """Guards against changes that take effect only at the accepting instance."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    async with running(other):
        assert await instance.acceptor.accept(add("g", "op")) == changes.Accepted(1)
        await until(lambda: other.groups == ["g"])
    assert (instance.groups, other.configuration.version) == (["g"], 1)
    assert instance.fleet.pushed_heads == [store.objects[HEAD].value]


async def test_changed_head_costs_one_part():
    """Guards against fetching the whole document for every change."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    for number in range(20):
        await instance.acceptor.accept(add(f"g{number}", f"op{number}", 7000 + 10 * number))
    await other.configuration.refresh()
    store.gets.clear()
    await instance.acceptor.accept(add("last", "op", 9000))
    store.gets.clear()
    await other.configuration.refresh()
    assert len(store.gets) == 2 and "last" in other.groups


async def test_lower_version_is_never_applied():
    """Guards against reverting an accepted configuration when the store loses a version."""
    store = FakeStore()
    instance = Instance(store)
    await instance.acceptor.accept(add("g", "op1"))
    old = store.objects[HEAD]
    await instance.acceptor.accept(add("h", "op2", 8001))
    store.objects[HEAD] = old
    await instance.configuration.refresh()
    assert (instance.configuration.version, instance.groups) == (2, ["g", "h"])


async def test_peer_with_a_lower_version_reverts_nothing():
    """Guards against a transfer of an older version that ends after a newer one was applied."""
    store = FakeStore()
    instance, old = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op1"))
    await old.configuration.refresh()
    await instance.acceptor.accept(add("h", "op2", 8001))
    store.unavailable = True
    peer = FakePeer(old.configuration)
    instance.configuration.observe_peer_version(3, peer)
    await until(lambda: peer.calls)
    await asyncio.sleep(1.0)
    assert (instance.configuration.version, instance.groups) == (2, ["g", "h"])


async def test_store_that_lost_versions_is_repaired_by_the_next_change():
    """Guards against a change based on the older version of a restored store."""
    store = FakeStore()
    instance, fresh = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op1"))
    store.objects.clear()
    assert await instance.acceptor.accept(add("h", "op2", 8001)) == changes.Accepted(2)
    await fresh.configuration.refresh()
    assert fresh.groups == ["g", "h"]


async def test_instance_without_the_newest_version_accepts_nothing():
    """Guards against a change that reverts what a peer already has in force."""
    store = FakeStore()
    instance, stale = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op1"))
    store.objects.clear()
    stale.configuration.observe_peer_version(1, FakePeer(instance.configuration, broken=True))
    outcome = await stale.acceptor.accept(add("h", "op2", 8001))
    assert isinstance(outcome, changes.Rejected) and HEAD not in store.objects


async def test_unreadable_head_is_not_replaced():
    """Guards against an older program overwriting a head whose format it can't decode."""
    store = FakeStore()
    store.objects[HEAD] = interfaces.StoredObject(HEAD, b"\xc1", 7)
    instance = Instance(store)
    assert isinstance(await instance.acceptor.accept(add("g", "op")), changes.Rejected)
    assert store.objects[HEAD].version == 7


async def test_newer_version_is_fetched_from_the_peer_without_the_store():
    """Guards against a store outage that prevents a change from reaching other failure domains."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op"))
    store.unavailable = True
    peer = FakePeer(instance.configuration)
    other.configuration.observe_peer_version(1, peer)
    await other.configuration.receive_head(instance.fleet.pushed_heads[0])
    await until(lambda: other.groups == ["g"])
    other.configuration.observe_peer_version(1, peer)
    assert peer.sent_parts == 1


async def test_broken_peer_falls_back_to_the_store():
    """Guards against an instance that keeps an old version because one peer is unreachable."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op"))
    other.configuration.observe_peer_version(1, FakePeer(instance.configuration, broken=True))
    await until(lambda: other.groups == ["g"])
    assert other.problems


async def test_pushed_head_is_enough_with_the_store():
    """Guards against a pushed head that is applied only after a transfer from the sender."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op"))
    await other.configuration.receive_head(instance.fleet.pushed_heads[0])
    assert other.groups == ["g"]


async def test_instance_that_stays_behind_stops_serving():
    """Guards against serving indefinitely under a version that is known to be replaced."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    await other.configuration.refresh()
    await instance.acceptor.accept(add("g", "op"))
    store.unavailable = True
    other.configuration.observe_peer_version(1, FakePeer(instance.configuration, broken=True))
    assert other.configuration.serving_allowed(now())
    await asyncio.sleep(5.0)
    assert not other.configuration.serving_allowed(now())
    other.configuration.observe_peer_version(1, FakePeer(instance.configuration))
    await until(lambda: other.configuration.serving_allowed(now()))


async def test_instance_without_configuration_does_not_serve():
    """Guards against rejecting every group as unknown before a configuration was read."""
    store = FakeStore()
    instance = Instance(store)
    assert not instance.configuration.serving_allowed(now())
    await instance.configuration.refresh()
    assert instance.configuration.serving_allowed(now())


async def test_unresponsive_store_is_detected_without_contact_with_peers():
    """Guards against counting a pending watch of an unreachable store as contact."""
    store = FakeStore()
    instance = Instance(store)
    async with running(instance):
        await until(lambda: instance.configuration.store_contact_at is not None)
        instance.fleet.in_contact = False
        await asyncio.sleep(20.0)
        assert instance.configuration.serving_allowed(now())
        store.unresponsive = True
        await asyncio.sleep(6.0)
        assert not instance.configuration.serving_allowed(now())


async def test_watch_resumes_after_an_outage():
    """Guards against an instance that stops watching the store after an outage."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    store.unavailable = True
    async with running(other):
        await asyncio.sleep(100.0)
        store.unavailable = False
        await instance.acceptor.accept(add("g", "op"))
        await until(lambda: other.groups == ["g"])


async def test_outcome_of_an_unanswered_update_is_read_from_the_store():
    """Guards against reporting a change as failed when it took effect but was not answered."""
    store = FakeStore()
    instance = Instance(store)
    store.lose_answers = 1
    assert await instance.acceptor.accept(add("g", "op")) == changes.Accepted(1)
    assert store.objects[HEAD].version == 1


async def test_delayed_update_takes_effect_once():
    """Guards against reporting no change while a delayed update may still take effect."""
    store = FakeStore()
    instance = Instance(store)
    store.delay_put_s = 1.0
    assert await instance.acceptor.accept(add("g", "op")) == changes.Accepted(1)
    await asyncio.sleep(5.0)
    assert store.objects[HEAD].version == 1


async def test_update_that_may_still_arrive_is_awaited():
    """Guards against a rejection or conflict for an update that takes effect afterwards."""
    store = FakeStore()
    instance = Instance(store)
    store.delay_put_s = 3.0
    store.drop_puts = True
    assert await instance.acceptor.accept(add("g", "op")) == changes.Accepted(1)


async def test_outage_after_the_update_is_undetermined_and_can_be_repeated():
    """Guards against applying a change twice when an operator repeats an unanswered command."""
    store = FakeStore()
    instance = Instance(store)
    store.lose_answers = 1

    async def make_unavailable():
        store.unavailable = True

    store.before_head_put.append(make_unavailable)
    assert isinstance(await instance.acceptor.accept(add("g", "op")), changes.Undetermined)
    store.unavailable = False
    again = Instance(store)
    assert await again.acceptor.accept(add("g", "op")) == changes.Accepted(1)
    assert store.objects[HEAD].version == 1


async def test_reused_operation_id_is_rejected_for_another_change():
    """Guards against reporting a change as accepted that was never made."""
    instance = Instance(FakeStore())
    await instance.acceptor.accept(add("g", "op"))
    assert isinstance(await instance.acceptor.accept(add("h", "op", 8001)), changes.Rejected)


async def test_store_outage_rejects_before_any_change():
    """Guards against an undetermined outcome when no update was sent."""
    store = FakeStore()
    store.unavailable = True
    outcome = await Instance(store).acceptor.accept(add("g", "op"))
    assert [problem.field for problem in outcome.problems] == ["store"]


async def test_instance_without_majority_contact_accepts_nothing():
    """Guards against a change that does not reach the majority side of a partition."""
    instance = Instance(FakeStore())
    instance.fleet.in_contact = False
    outcome = await instance.acceptor.accept(add("g", "op"))
    assert [problem.field for problem in outcome.problems] == ["majority of failure domains"]


async def test_concurrent_additions_both_take_effect():
    """Guards against losing or needlessly rejecting one of two independent concurrent changes."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    store.before_head_put.append(lambda: other.acceptor.accept(add("h", "op2", 8001)))
    assert await instance.acceptor.accept(add("g", "op1")) == changes.Accepted(2)
    assert instance.groups == ["g", "h"]


@pytest.mark.parametrize("replaces_all", [False, True])
async def test_concurrent_changes_of_one_declaration_conflict(replaces_all):
    """Guards against an operator overwriting another operator's concurrent change."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op0"))
    slower = dataclasses.replace(group("g"), default_max_age_ms=1)
    faster = dataclasses.replace(group("g"), default_max_age_ms=2)
    store.before_head_put.append(lambda: other.acceptor.accept(replace(faster, "op2")))
    change = replace(slower, "op1")
    if replaces_all:
        change = changes.Change("op1", replacement=declarations.Declarations(0, {"g": slower}, {}))
    assert await instance.acceptor.accept(change) == changes.Conflict(1, 2)
    assert instance.configuration.declarations.groups["g"] == faster


async def test_expected_version_is_checked():
    """Guards against applying a document that was written against an older version."""
    instance = Instance(FakeStore())
    await instance.acceptor.accept(add("g", "op1"))
    await instance.acceptor.accept(add("h", "op2", 8001))
    change = replace(dataclasses.replace(group("g"), default_max_age_ms=1), "op3")
    change = dataclasses.replace(change, expected_version=1)
    assert await instance.acceptor.accept(change) == changes.Conflict(1, 2)


async def test_change_of_members_requires_the_previous_version_everywhere():
    """Guards against three member sets in use at once, two of which have disjoint majorities."""
    instance = Instance(FakeStore())
    await instance.acceptor.accept(add("g", "op1"))
    instance.fleet.lagging = ["entry-7"]
    change = replace(group("g", names="abcd"), "op2")
    refused = await instance.acceptor.accept(change)
    assert "entry-7" in refused.problems[0].value
    other = replace(dataclasses.replace(group("g"), default_max_age_ms=1), "op3")
    assert await instance.acceptor.accept(other) == changes.Accepted(2)
    instance.fleet.lagging = []
    assert await instance.acceptor.accept(change) == changes.Accepted(3)


async def test_incomplete_version_is_not_applied_and_fetched_again():
    """Guards against applying an incomplete configuration, and against not fetching it again."""
    store = FakeStore()
    instance, other = Instance(store), Instance(store)
    await instance.acceptor.accept(add("g", "op"))
    head = parts.decode_head(store.objects[HEAD].value).unwrap()
    key = configuration.PART_PREFIX + parts.missing_digests(head, ())[0]
    part = store.objects.pop(key)
    async with running(other):
        await until(lambda: other.problems)
        assert other.configuration.version == 0
        store.objects[key] = part
        await until(lambda: other.groups == ["g"])
