"""Tests of several instances in one process with in-memory links, on a paused clock."""

import asyncio
import contextlib
import random

from bilberrystack.core import membership
from bilberrystack.core import outcomes
from bilberrystack.core import tokens
from bilberrystack.proxy import entry
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import node
from bilberrystack.proxy import owned_groups

Kind = fakes.Kind
NotRunReason = fakes.NotRunReason
GROUPS = tuple(f"g{number}" for number in range(12))


class Peer:
    """An in-memory link that fails while its path is partitioned or the target does not run."""

    def __init__(self, fleet, path):
        self.fleet = fleet
        self.path = path

    def target(self):
        target = self.fleet.nodes.get(self.path[1])
        if (
            target is None
            or self.path[0] not in self.fleet.nodes
            or self.path in self.fleet.partitioned_paths
        ):
            raise interfaces.LinkLost("refused", sent=False)
        return target

    async def forward(self, request):
        return await self.target().execute_forwarded(request)

    async def digest(self, sender):
        return self.target().handle_digest(sender)

    async def leaving(self, sender):
        return self.target().handle_digest(sender)

    async def push_head(self, sender, head):
        await self.target().handle_pushed_head(sender, head)

    def close(self):
        pass


class Fleet:
    """Instances named a, b, c and so on, in three failure domains, with one database."""

    def __init__(self, stack, groups):
        self.stack = stack
        self.document = fakes.declared(groups)
        self.database = fakes.Database()
        self.store = fakes.Store()
        self.nodes = {}
        self.owners = {}
        self.configurations = {}
        self.partitioned_paths = set()

    def instance(self, name):
        return membership.Instance(name, f"d{ord(name) % 3}", name)

    def list_instances(self, *names, state="live"):
        self.store.set_instances(
            *((name, "proxy", name, self.instance(name).failure_domain, state) for name in names)
        )

    async def start(self, *names):
        for name in names:
            self.owners[name] = {}
            self.configurations[name] = fakes.Configuration(self.document)
            created = self.create_node(name)
            self.nodes[name] = await self.stack.enter_async_context(created)

    def create_node(self, name):
        def open_owner(declaration, rank):
            owner = fakes.Owner(self.database, name, rank)
            self.owners[name].setdefault(declaration.name, []).append(owner)
            return owner

        return node.Node(
            local_instance=self.instance(name),
            open_configuration=lambda _discovery: self.configurations[name],
            signer=tokens.Signer([b"key"]),
            retries=fakes.Budget(),
            store=self.store,
            open_owner=open_owner,
            open_link=lambda address, _on_link_lost: Peer(self, (name, address)),
            rng=random.Random(name),
            wall_time=lambda: 1e9,
        )

    def ranks(self, group):
        """Return the ranks of the open owners of a group by instance."""
        open_ranks = {}
        for name, groups in self.owners.items():
            for owner in groups.get(group, ()):
                if not owner.closed and name in self.nodes:
                    open_ranks[name] = owner.ranks[-1]
        return open_ranks

    def agreed(self):
        """Return whether all views agree on each group's owners, which have open roles."""
        for group in self.document.groups:
            views = {tuple(instance.owners(group)) for instance in self.nodes.values()}
            if len(views) != 1:
                return False
            expected = {name: rank for rank, name in enumerate(views.pop())}
            if not expected or self.ranks(group) != expected:
                return False
        return True

    async def execute(self, name, kind, group="g0", transaction=None):
        role = self.nodes[name].entry_role
        token = role.new_token("s", "analyst", complete=True)
        sequence = self.database.index + 1
        request = entry.CallerRequest(sequence, [token], group, kind, b"x", None, 5.0, transaction)
        return (await role.execute("analyst", request)).outcome


def check(test, groups=GROUPS):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            await test(Fleet(stack, groups))

    fakes.run_on_paused_clock(main)


async def within(seconds, condition):
    """Wait for a condition on the paused clock."""
    deadline = asyncio.get_running_loop().time() + seconds
    while not condition():
        assert asyncio.get_running_loop().time() < deadline
        await asyncio.sleep(0.01)


def test_groups_get_three_owners_in_distinct_domains():
    """Guards against groups without owners, or whose owners disagree on their ranks."""

    async def test(fleet):
        fleet.list_instances(*"abcdef")
        await fleet.start(*"abcdef")
        await within(1.0, fleet.agreed)
        for group in GROUPS:
            domains = {fleet.instance(name).failure_domain for name in fleet.ranks(group)}
            assert len(domains) == 3
        assert sum(len(instance.group_views) for instance in fleet.nodes.values()) == 3 * len(
            GROUPS
        )

    check(test)


def test_failed_instance_is_replaced_although_it_is_listed():
    """Guards against groups that wait for a new list of instances after an instance failed."""

    async def test(fleet):
        fleet.list_instances(*"abcdef")
        await fleet.start(*"abcdef")
        await within(1.0, fleet.agreed)
        del fleet.nodes["a"]
        await within(10.0, fleet.agreed)
        assert isinstance(await fleet.execute("b", Kind.WRITE), outcomes.Answer)

    check(test)


def test_new_instance_becomes_owner_before_it_is_listed():
    """Guards against new instances that stay unused, and against lost roles that stay open."""

    async def test(fleet):
        fleet.list_instances(*"abc")
        await fleet.start(*"abc")
        await within(1.0, fleet.agreed)
        await fleet.start("d")
        await within(10.0, lambda: any(fleet.owners["d"].values()) and fleet.agreed())

    check(test)


def test_lost_role_is_retained_and_regained_without_reopening():
    """Guards against closing all connections of a group when the membership changes briefly."""

    async def test(fleet):
        fleet.list_instances("a")
        await fleet.start("a")
        await within(1.0, fleet.agreed)
        fleet.list_instances(*"abcdef")
        await asyncio.sleep(owned_groups.ROLE_RETENTION_S / 2)
        fleet.list_instances("a")
        await asyncio.sleep(owned_groups.ROLE_RETENTION_S * 2)
        owners = [owner for owners in fleet.owners["a"].values() for owner in owners]
        assert len(owners) == len(GROUPS) and not any(owner.closed for owner in owners)

    check(test)


def test_ended_role_is_closed_after_its_transaction():
    """Guards against aborting a transaction because the group's owners changed."""

    async def test(fleet):
        fleet.list_instances("a")
        await fleet.start("a")
        begun = await fleet.execute("a", Kind.BEGIN)
        fleet.document = fakes.declared(GROUPS[1:], version=2)
        (owner,) = fleet.owners["a"]["g0"]
        member = fleet.document.groups["g1"].members[0]
        new_document = fakes.declared(GROUPS, version=2)
        group = new_document.groups["g0"]
        new_document.groups["g0"] = type(group)("g0", (*group.members, member), 0)
        fleet.configurations["a"].put(new_document)
        await asyncio.sleep(1.0)
        assert len(fleet.owners["a"]["g0"]) == 2 and not owner.closed
        outcome = await fleet.execute("a", Kind.STATEMENT, transaction=begun.transaction)
        assert isinstance(outcome, outcomes.Answer)
        await fleet.execute("a", Kind.COMMIT, transaction=begun.transaction)
        await within(1.0, lambda: owner.closed)
        assert fleet.database.runs == [b"x"]

    check(test)


def test_leaving_instance_loses_its_ranks_and_waits_for_open_transactions():
    """Guards against a leaving instance that aborts a transaction or still gets new requests."""

    async def test(fleet):
        fleet.list_instances(*"abcd")
        await fleet.start(*"abcd")
        await within(1.0, fleet.agreed)
        first = fleet.nodes["a"].owners("g0")[0]
        other = next(name for name in "abcd" if name != first)
        begun = await fleet.execute(other, Kind.BEGIN)
        assert begun.transaction.startswith(f"{first}/")
        leaving = asyncio.create_task(fleet.nodes[first].leave(30.0, lambda: False))
        await asyncio.sleep(0.1)
        assert all(
            first not in instance.view.live for instance in fleet.nodes.values()
        ), "a departure notice reaches all instances without delay"
        written = await fleet.execute(other, Kind.WRITE)
        assert isinstance(written, outcomes.Answer) and not leaving.done()
        assert (await fleet.execute(first, Kind.WRITE)).reason is NotRunReason.LEAVING
        ended = await fleet.execute(other, Kind.COMMIT, transaction=begun.transaction)
        assert isinstance(ended, outcomes.Answer)
        assert await leaving

    check(test)


def test_leaving_ends_with_the_grace_period():
    """Guards against an instance that never stops because of an abandoned transaction."""

    async def test(fleet):
        fleet.list_instances("a")
        await fleet.start("a")
        await fleet.execute("a", Kind.BEGIN)
        started = asyncio.get_running_loop().time()
        assert not await fleet.nodes["a"].leave(30.0, lambda: False)
        assert 30.0 <= asyncio.get_running_loop().time() - started < 31.0

    check(test)


def test_requests_are_served_while_the_store_is_unavailable():
    """Guards against requiring the store for requests or for the replacement of an instance."""

    async def test(fleet):
        fleet.list_instances(*"abc")
        await fleet.start(*"abc")
        await within(1.0, fleet.agreed)
        fleet.store.down = True
        await fleet.start("d")
        await asyncio.sleep(120.0)
        assert not any(fleet.owners["d"].values()), "an instance without a list owns no groups"
        del fleet.nodes["d"]
        assert isinstance(await fleet.execute("a", Kind.WRITE), outcomes.Answer)
        del fleet.nodes["b"]
        await within(10.0, fleet.agreed)

    check(test)


def test_group_is_served_despite_a_partition_between_two_instances():
    """Guards against failed requests when only the link to the owner of rank 0 fails."""

    async def test(fleet):
        fleet.list_instances(*"abc")
        await fleet.start(*"abc")
        await within(1.0, fleet.agreed)
        first, second = fleet.nodes["a"].owners("g0")[:2]
        fleet.partitioned_paths.add((second, first))
        assert isinstance(await fleet.execute(second, Kind.WRITE), outcomes.Answer)
        assert fleet.owners[second]["g0"][0].seen

    check(test)


def test_newer_configuration_is_announced_by_digests():
    """Guards against an instance that misses an accepted configuration."""

    async def test(fleet):
        fleet.list_instances(*"ab")
        await fleet.start(*"ab")
        fleet.configurations["a"].put(fakes.declared(GROUPS, version=5))
        await within(5.0, lambda: 5 in fleet.configurations["b"].known_versions)
        fleet.nodes["b"].executor("a")
        assert fleet.nodes["a"].view.majority_contact_at(0.0) is not None

    check(test)


def test_changed_list_starts_a_digest_round_immediately():
    """Guards against rejecting changes after the start until the next regular digest round."""

    async def test(fleet):
        await fleet.start(*"abc")
        await asyncio.sleep(0.5)
        fleet.list_instances(*"abc")
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        assert all(instance.view.majority_contact_at(now) for instance in fleet.nodes.values())

    check(test)


def test_leaving_endpoints_reach_all_owners():
    """Guards against new requests at an endpoint that the platform is about to stop."""

    async def test(fleet):
        await fleet.start("a")
        fleet.store.set_instances(
            ("a", "proxy", "a", "d1", "live"),
            ("e", "endpoint", "127.0.0.1:7", "d1", "leaving"),
            ("f", "endpoint", "127.0.0.1:8", "d1", "live"),
        )
        await asyncio.sleep(0.1)
        owners = [owner for owners in fleet.owners["a"].values() for owner in owners]
        assert {owner.leaving_endpoints for owner in owners} == {frozenset({"127.0.0.1:7"})}

    check(test)


def test_malformed_list_is_ignored():
    """Guards against removing all instances because of a malformed list."""

    async def test(fleet):
        fleet.list_instances(*"abc")
        await fleet.start(*"abc")
        await within(1.0, fleet.agreed)
        fleet.store.set_instances(("a", "router", "a", "d1", "live"))
        await asyncio.sleep(3.0)
        assert fleet.agreed()

    check(test)
