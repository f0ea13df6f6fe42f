"""Tests of failover and planned primary changes over in-memory members, on a paused clock."""

import asyncio
import contextlib
import random

import pytest

from bilberrystack.core import declarations
from bilberrystack.core import failover
from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.core import requests
from bilberrystack.proxy import supervisor
from bilberrystack_standins import statements
from faults import history
from faults import members
from faults import network
from faults import paused_loop

NAMES = ("a", "b", "c")


class Group:
    """The part of the owner role that the supervisor uses."""

    def __init__(self, links, rank=0):
        self.name = "g"
        self.rank = rank
        self.members = links
        self.quorum = quorum.QuorumEvidence(links)
        self.open_transaction_count = 0
        self.calls = []
        self._contacts = {}

    def last_contact(self, name):
        return self._contacts.get(name)

    def record_contact(self, name):
        self._contacts[name] = asyncio.get_running_loop().time()

    def hold_new_transactions(self):
        self.calls.append("hold transactions")

    def hold_writes(self):
        self.calls.append("hold writes")

    def resume_held_work(self):
        self.calls.append("release")

    def primary_changed(self):
        self.calls.append("changed")

    def record_primary_change(self, text):
        self.calls.append(text)


class Site:
    """Three members and the owners that monitor them."""

    def __init__(self, seed):
        loop = asyncio.get_running_loop()
        self.net = network.Network(loop, network.ADDIS, seed)
        self.seed = seed
        self.changes = []
        self.servers = {}
        record = history.History()
        for name, domain in zip(NAMES, network.ADDIS.failure_domains, strict=True):
            self.net.add_process(name, domain)
            declaration = declarations.MemberDeclaration(name, name, domain, 16, 2)
            self.servers[name] = members.MemberServer(self.net, declaration, "g", record)
        for server in self.servers.values():
            server.peers = self.servers
            server.start()

    def owner(self, instance, rank=0):
        self.net.add_process(instance, network.ADDIS.failure_domains[rank])
        context = paused_loop.process_context(instance)
        return context.run(self._owner, instance, rank)

    def _owner(self, instance, rank):
        links = {name: members.MemberLink(self.servers[name], instance) for name in NAMES}
        return supervisor.Supervisor(
            Group(links, rank),
            instance,
            network.ADDIS.failure_domains[rank],
            random.Random(self.seed + rank),
            lambda change: self.changes.append((instance, self.net.loop.time(), change)),
        )

    def primaries(self):
        top = max(server.state.promised_term for server in self.servers.values())
        return [
            name
            for name, server in self.servers.items()
            if server.state.is_primary and server.state.promised_term == top
        ]

    def primary(self):
        (name,) = self.primaries()
        return name

    async def settled(self):
        """Waits until there is one primary and a majority has its last entry."""
        while len(self.primaries()) != 1 or not self._replicated():
            await asyncio.sleep(0.01)
        return self.primary()

    def _replicated(self):
        last = self.servers[self.primary()].state.last_log
        logs = [server.state.last_log == last for server in self.servers.values()]
        return sum(logs) >= 2


async def start(stack, site, instance="p0", rank=0):
    owner = site.owner(instance, rank)
    context = paused_loop.process_context(instance)
    task = asyncio.get_running_loop().create_task(owner.__aenter__(), context=context)
    await task
    stack.push_async_callback(owner.close)
    return owner


def run_site(scenario, seed=1):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            await scenario(Site(seed), stack)

    paused_loop.run(main)


def write(site, sequence):
    primary = site.servers[site.primary()].state
    body = statements.put("k", sequence)
    return primary.write(primary.promised_term, requests.RequestKey("s", sequence), body)


@pytest.mark.parametrize("seed", range(10))
def test_isolated_primary_is_replaced_within_a_second(seed):
    """Guards against a service interruption longer than the target of 1.0 s."""

    async def scenario(site, stack):
        await start(stack, site)
        old = await site.settled()
        await asyncio.sleep(1 + seed / 13)
        site.net.isolate(old)
        cut_at = site.net.loop.time()
        while site.primaries() in ([old], []):
            await asyncio.sleep(0.001)
        assert site.net.loop.time() - cut_at <= 1.0
        site.net.heal()
        new = await site.settled()
        while site.servers[old].state.primary_address != new or len(site.changes) < 2:
            await asyncio.sleep(0.01)
        assert len(site.changes) == 2

    run_site(scenario, seed)


@pytest.mark.parametrize("seed", range(10))
def test_pause_up_to_the_detection_time_changes_nothing(seed):
    """Guards against a failover because of a pause shorter than the detection time."""

    async def scenario(site, stack):
        await start(stack, site)
        primary = await site.settled()
        await asyncio.sleep(1 + seed / 13)
        site.net.pause(primary)
        await asyncio.sleep(failover.DETECTION_TIME_S - 0.001)
        site.net.resume(primary)
        await asyncio.sleep(3)
        assert site.primaries() == [primary]
        assert len(site.changes) == 1

    run_site(scenario, seed)


def test_owner_without_a_majority_raises_no_term():
    """Guards against a partitioned owner that raises terms at the members it still reaches."""

    async def scenario(site, stack):
        await start(stack, site)
        primary = await site.settled()
        term = site.servers[primary].state.promised_term
        others = [name for name in NAMES if name != primary]
        site.net.cut("p0", primary)
        site.net.cut("p0", others[0])
        await asyncio.sleep(10)
        terms = {server.state.promised_term for server in site.servers.values()}
        assert terms == {term}

    run_site(scenario)


def test_primary_in_contact_with_replicas_gets_more_time():
    """Guards against a failover because only the link between one owner and the primary is cut."""

    async def scenario(site, stack):
        await start(stack, site)
        primary = await site.settled()
        site.net.cut("p0", primary)
        await asyncio.sleep(1.2)
        assert site.primaries() == [primary]
        site.net.heal()
        await asyncio.sleep(2)
        assert site.primaries() == [primary]

    run_site(scenario)


def test_resumed_owner_does_not_change_the_primary():
    """Guards against an owner that mistakes its own pause for an unresponsive primary."""

    async def scenario(site, stack):
        await start(stack, site)
        primary = await site.settled()
        site.net.pause("p0")
        await asyncio.sleep(30)
        site.net.resume("p0")
        await asyncio.sleep(3)
        assert site.primaries() == [primary]

    run_site(scenario)


@pytest.mark.parametrize("seed", range(10))
def test_concurrent_owners_agree_on_one_primary_and_keep_acknowledged_entries(seed):
    """Guards against two owners of rank 0 that promote different members."""

    async def scenario(site, stack):
        await start(stack, site, "p0")
        old = await site.settled()
        await start(stack, site, "p1", rank=0)
        await asyncio.sleep(1)
        executed = write(site, 1)
        while sum(s.state.last_log >= executed.position for s in site.servers.values()) < 2:
            await asyncio.sleep(0.001)
        site.net.isolate(old)
        await asyncio.sleep(2)
        new = site.primary()
        assert new != old
        held = [entry.position for entry in site.servers[new].state.entries]
        assert executed.position in held
        site.net.heal()
        await asyncio.sleep(2)
        assert len(site.primaries()) == 1

    run_site(scenario, seed)


def test_unfinished_fencing_is_repaired():
    """Guards against a member that follows no primary after granting a term in a failed attempt."""

    async def scenario(site, stack):
        await start(stack, site)
        primary = await site.settled()
        other = next(name for name in NAMES if name != primary)
        site.servers[other].state.fence(site.servers[primary].state.promised_term + 3)
        await asyncio.sleep(2)
        terms = {server.state.promised_term for server in site.servers.values()}
        assert len(terms) == 1
        assert len(site.primaries()) == 1

    run_site(scenario)


def test_leaving_primary_is_replaced_while_new_work_is_held():
    """Guards against a primary that stays on a leaving endpoint, and against lost writes."""

    async def scenario(site, stack):
        owner = await start(stack, site)
        primary = await site.settled()
        write(site, 1)
        owner._group.calls.clear()
        site.servers[primary].set_leaving()
        await asyncio.sleep(3)
        assert site.primary() != primary
        calls = owner._group.calls
        assert calls[:2] == ["hold transactions", "hold writes"]
        assert "release" in calls[2:]
        last = site.servers[site.primary()].state.entries[-2]
        assert last.key == requests.RequestKey("s", 1)

    run_site(scenario)


def test_slow_replication_does_not_cause_repeated_fencing():
    """Guards against repeated fencing because the first entry reaches a majority slowly."""

    async def scenario(site, stack):
        for server in site.servers.values():
            server.receive_lag_s = 3.0
        await start(stack, site)
        await asyncio.sleep(10)
        assert len(site.changes) == 1
        assert max(server.state.promised_term for server in site.servers.values()) == 1

    run_site(scenario)


def test_status_poll_records_read_indices_for_reads_with_a_maximum_age():
    """Guards against a status round for every read with a maximum age in an idle group."""

    async def scenario(site, stack):
        owner = await start(stack, site)
        await site.settled()
        await asyncio.sleep(5)
        now = site.net.loop.time()
        index = owner._group.quorum.index_for_age(now, 1.5)
        assert index is not None and index > positions.ZERO

    run_site(scenario)


@pytest.mark.parametrize("pause_after_ms", range(500, 800, 20))
def test_owner_paused_in_the_middle_of_a_change_does_not_repeat_it(pause_after_ms):
    """Guards against an owner that resumes and deposes the primary that another owner promoted."""

    async def scenario(site, stack):
        await start(stack, site, "p0")
        old = await site.settled()
        await start(stack, site, "p1", rank=1)
        await asyncio.sleep(3)
        site.net.isolate(old)
        await asyncio.sleep(pause_after_ms / 1000)
        site.net.pause("p0")
        while site.primaries() in ([old], []):
            await asyncio.sleep(0.01)
        await asyncio.sleep(5)
        term = max(server.state.promised_term for server in site.servers.values())
        site.net.resume("p0")
        await asyncio.sleep(5)
        assert max(server.state.promised_term for server in site.servers.values()) == term

    run_site(scenario, pause_after_ms)
