"""Tests of the owner role over in-memory members on a paused clock, and the site they share."""

import asyncio
import contextlib
import functools

import pytest

from bilberrystack.core import declarations
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import group
from bilberrystack.proxy import group_state
from bilberrystack_standins import statements
from faults import history
from faults import members
from faults import network
from faults import paused_loop

Kind = requests.Kind
NAMES = ("a", "b", "c")
OWNER = "p0"


class Site:
    """Three members, "a" being primary of term 1, and one owner without a supervisor."""

    def __init__(self, rank=0):
        self.loop = asyncio.get_running_loop()
        self.net = network.Network(self.loop, network.ADDIS, 1)
        self.servers = {}
        self.sequence = 0
        declared = []
        for name, domain in zip(NAMES, network.ADDIS.failure_domains, strict=True):
            self.net.add_process(name, domain)
            declared.append(declarations.MemberDeclaration(name, name, domain, 16, 2))
            self.servers[name] = members.MemberServer(
                self.net, declared[-1], "g", history.History()
            )
        for server in self.servers.values():
            server.peers = self.servers
            server.start()
        self.events = []
        self.net.observers.append(lambda event: self.events.append((event.process, event.name)))
        self.promote("a", 1, NAMES)
        self.net.add_process(OWNER, network.ADDIS.failure_domains[0])
        declaration = declarations.GroupDeclaration("g", tuple(declared))
        self._context = paused_loop.process_context(OWNER)
        links = {name: members.MemberLink(self.servers[name], OWNER) for name in NAMES}
        self.owner = self._context.run(
            group.open_group, declaration, links, OWNER, network.ADDIS.failure_domains[0], rank
        )

    def promote(self, name, term, followers):
        """Changes the primary as a supervisor elsewhere would."""
        for one in followers:
            self.servers[one].state.fence(term)
        self.servers[name].state.promote(term)
        for one in followers:
            self.servers[one].state.follow(term, name)
            self.servers[one]._cursor = None
        self.servers[name]._notify()

    def start(self, kind, body=b"[]", **options):
        """Starts a request as the owner; options are GroupRequest's and timeout_s, session."""
        self.sequence += 1
        key = requests.RequestKey(
            options.get("session", "s"), options.get("sequence", self.sequence)
        )
        request = requests.GroupRequest(
            key=key,
            caller=options.get("caller", "x"),
            group="g",
            kind=kind,
            body=body,
            watermark=options.get("watermark", positions.ZERO),
            max_age_s=options.get("age", 0.0),
            deadline=self.loop.time() + options.get("timeout_s", 1.0),
            transaction=options.get("transaction"),
        )
        work = self.owner.execute(request)
        return self.loop.create_task(work, context=self._context)

    async def run(self, kind, body=b"[]", **options):
        """Runs a request and checks that its outcome is there by the deadline."""
        start = self.loop.time()
        outcome = await self.start(kind, body, **options)
        assert self.loop.time() <= start + options.get("timeout_s", 1.0) + 1e-5
        return outcome

    async def put(self, key, value, **options):
        return await self.run(Kind.WRITE, statements.put(key, value), **options)

    async def get(self, key, **options):
        return await self.run(Kind.READ, statements.get(key), **options)

    def value(self, name, key):
        """Returns what a member has, without the owner."""
        reply = self.servers[name].state.read(statements.get(key), positions.ZERO, self.loop.time())
        return statements.results(reply.body)[0]

    def count(self, event, name=None):
        return sum(one == event and name in (None, process) for process, one in self.events)

    def once(self, event, act):
        """Acts at the first occurrence of an event."""

        def observe(seen):
            if seen.name == event:
                self.net.observers.remove(observe)
                act()

        self.net.observers.append(observe)

    def hide_replicas(self):
        """Cuts the replication paths, so that the primary's entries stay its own."""
        self.net.cut("a", "b")
        self.net.cut("a", "c")

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)


def at_site(test):
    """Runs a test with a site on a paused loop."""

    @functools.wraps(test)
    def run():
        async def main():
            site = Site()
            await test(site)
            await site.owner.close()

        paused_loop.run(main)

    del run.__wrapped__
    return run


def reason(outcome):
    return type(outcome), outcome.reason


def test_shares_follow_the_rank():
    """Guards against owners that take more connections than the member accepts."""
    assert [group_state.data_share(16, rank) for rank in (0, 1, 2)] == [7, 1, 1]
    assert [group_state.data_share(55, rank) for rank in (0, 1)] == [26, 5]


@at_site
async def test_view_and_counters_tell_what_happened(site):
    """Guards against operators who see nothing of the owner's state."""
    position = (await site.put("k", 1)).position
    await site.get("k", watermark=position)
    site.owner.record_change("p1 made a primary")
    view = site.owner.view()
    assert (view.primary, view.term, view.confirmed) == ("a", 1, position)
    assert view.last_change == "p1 made a primary"
    assert {one.name: one.age_s < 1.0 for one in view.members} == dict.fromkeys(NAMES, True)
    assert (view.queue_depth, view.in_flight) == (0, 0)
    assert site.owner.counters.replica_reads == 1


@at_site
async def test_hold_keeps_new_writes_until_release(site):
    """Guards against writes that slip in during a planned change, or that it refuses."""
    await site.put("k", 1)
    site.owner.hold_writes()
    waiting = site.start(Kind.WRITE, statements.put("k", 2), timeout_s=5.0)
    late = await site.put("k", 3, timeout_s=0.3)
    assert reason(late) == (outcomes.NotRun, outcomes.NotRunReason.DEADLINE_BEFORE_SEND)
    assert site.value("a", "k") == 1
    site.owner.release()
    assert isinstance(await waiting, outcomes.Answer)


@at_site
async def test_close_lets_running_requests_end(site):
    """Guards against a planned stop that interrupts a request, or takes new ones."""
    await site.put("k", 1)
    running = site.start(Kind.WRITE, statements.put("k", 2))
    await asyncio.sleep(0)
    closing = asyncio.create_task(site.owner.close())
    await asyncio.sleep(0)
    refused = await site.put("k", 3)
    assert reason(refused) == (outcomes.NotRun, outcomes.NotRunReason.LEAVING)
    assert isinstance(await running, outcomes.Answer)
    await closing


@at_site
async def test_cancelled_requests_leak_neither_slots_nor_answers(site):
    """Guards against slots lost with callers that go away, and against mixed up answers."""
    await site.put("k", 0)
    for step in range(40):
        gone = [
            site.start(kind, statements.get("k"), timeout_s=5.0)
            for kind in (Kind.WRITE, Kind.READ, Kind.BEGIN, Kind.RESOLVE) * 3
        ]
        await asyncio.sleep(step * 0.0001)
        for one in gone:
            one.cancel()
        assert statements.results((await site.put("k", step)).body) == [step]
        assert statements.results((await site.get("k")).body) == [step]
    await site.until(lambda: site.owner.view().in_flight == 0)
    assert site.owner.view().queue_depth == 0


@at_site
async def test_callers_share_the_primary_evenly(site):
    """Guards against a caller whose backlog delays everybody else's writes."""
    await site.put("k", 1)
    many = [site.start(Kind.WRITE, statements.put("k", 1), caller="many") for _ in range(200)]
    await asyncio.sleep(0)
    few = await site.put("k", 2, caller="few")
    assert isinstance(few, outcomes.Answer)
    assert sum(one.done() for one in many) < 20
    await asyncio.gather(*many)


@at_site
async def test_overload_is_refused_early_with_a_hint(site):
    """Guards against requests that wait until their deadline for nothing."""
    await site.put("k", 1)
    burst = [site.start(Kind.WRITE, statements.put("k", 1), timeout_s=60.0) for _ in range(1000)]
    await asyncio.sleep(0)
    start = site.loop.time()
    refused = await site.put("k", 2, timeout_s=0.02)
    assert reason(refused) == (outcomes.NotRun, outcomes.NotRunReason.DEADLINE_BEFORE_SEND)
    assert refused.retry_after_s > 0.02 and site.loop.time() == start
    assert all(isinstance(one, outcomes.Answer) for one in await asyncio.gather(*burst))


@pytest.mark.parametrize("kind", list(Kind))
def test_every_kind_ends_by_its_deadline_without_members(kind):
    """Guards against a request that hangs when nobody answers."""

    async def main():
        site = Site()
        for name in NAMES:
            site.net.isolate(name)
        outcome = await site.run(kind, statements.get("k"), timeout_s=0.7, transaction="p0/1")
        expected = outcomes.Unknown if kind in (Kind.RESOLVE, Kind.COMMIT) else outcomes.NotRun
        assert isinstance(outcome, expected)
        with contextlib.suppress(asyncio.CancelledError):
            await site.owner.close()

    paused_loop.run(main)
