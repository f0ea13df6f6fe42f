"""Tests of the owner role over in-memory members on a paused clock, and their shared fixture."""

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
    """Three members, of which "a" is the primary of term 1, and one owner without a supervisor."""

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
        """Changes the primary, as the supervisor of another owner would."""
        for follower in followers:
            self.servers[follower].state.fence(term)
        self.servers[name].state.promote(term)
        for follower in followers:
            self.servers[follower].state.follow(term, name)
            self.servers[follower]._cursor = None
        self.servers[name]._notify()

    def start(self, kind, body=b"[]", **options):
        """Starts a request at the owner.

        Args:
          kind: The kind of request.
          body: The statement.
          options: Any of age, caller, sequence, session, timeout_s, transaction and watermark.
        """
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
        call = self.owner.execute(request)
        return self.loop.create_task(call, context=self._context)

    async def run(self, kind, body=b"[]", **options):
        """Runs a request and checks that its outcome arrives by the deadline."""
        start = self.loop.time()
        outcome = await self.start(kind, body, **options)
        assert self.loop.time() <= start + options.get("timeout_s", 1.0) + 1e-5
        return outcome

    async def put(self, key, value, **options):
        return await self.run(Kind.WRITE, statements.put(key, value), **options)

    async def get(self, key, **options):
        return await self.run(Kind.READ, statements.get(key), **options)

    def value(self, name, key):
        """Returns the value of a key at a member, read without the owner."""
        reply = self.servers[name].state.read(statements.get(key), positions.ZERO, self.loop.time())
        return statements.decode_results(reply.body)[0]

    def event_count(self, event, name=None):
        return sum(
            occurred == event and name in (None, process) for process, occurred in self.events
        )

    def on_first(self, event, action):
        """Calls a function at the first occurrence of an event."""

        def observe(seen):
            if seen.name == event:
                self.net.observers.remove(observe)
                action()

        self.net.observers.append(observe)

    def cut_replication(self):
        """Cuts the replication links, so that no replica receives the primary's entries."""
        self.net.cut("a", "b")
        self.net.cut("a", "c")

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)


def with_site(test):
    """Runs a test with a site on an event loop with a paused clock."""

    @functools.wraps(test)
    def run():
        async def main():
            site = Site()
            await test(site)
            await site.owner.close()

        paused_loop.run(main)

    del run.__wrapped__
    return run


def type_and_reason(outcome):
    return type(outcome), outcome.reason


def test_shares_follow_the_rank():
    """Guards against owners that together open more connections than the member accepts."""
    assert [group_state.data_connection_share(16, rank) for rank in (0, 1, 2)] == [7, 1, 1]
    assert [group_state.data_connection_share(55, rank) for rank in (0, 1)] == [26, 5]


@with_site
async def test_view_and_counters_reflect_requests(site):
    """Guards against missing or wrong state in the operators' view of an owner."""
    position = (await site.put("k", 1)).position
    await site.get("k", watermark=position)
    site.owner.record_primary_change("p1 made a primary")
    view = site.owner.view()
    assert (view.primary, view.term, view.confirmed) == ("a", 1, position)
    assert view.last_change == "p1 made a primary"
    assert {member.name: member.age_s < 1.0 for member in view.members} == dict.fromkeys(
        NAMES, True
    )
    assert (view.queue_depth, view.in_flight) == (0, 0)
    assert site.owner.counters.replica_reads == 1


@with_site
async def test_hold_keeps_new_writes_until_release(site):
    """Guards against writes that run during a planned change, or are refused because of it."""
    await site.put("k", 1)
    site.owner.hold_writes()
    waiting = site.start(Kind.WRITE, statements.put("k", 2), timeout_s=5.0)
    late = await site.put("k", 3, timeout_s=0.3)
    assert type_and_reason(late) == (outcomes.NotRun, outcomes.NotRunReason.DEADLINE_BEFORE_SEND)
    assert site.value("a", "k") == 1
    site.owner.resume_held_work()
    assert isinstance(await waiting, outcomes.Answer)


@with_site
async def test_close_waits_for_running_requests(site):
    """Guards against a graceful shutdown that interrupts a request or accepts new ones."""
    await site.put("k", 1)
    running = site.start(Kind.WRITE, statements.put("k", 2))
    await asyncio.sleep(0)
    closing = asyncio.create_task(site.owner.close())
    await asyncio.sleep(0)
    refused = await site.put("k", 3)
    assert type_and_reason(refused) == (outcomes.NotRun, outcomes.NotRunReason.LEAVING)
    assert isinstance(await running, outcomes.Answer)
    await closing


@with_site
async def test_cancelled_requests_leak_neither_slots_nor_answers(site):
    """Guards against slot leaks when callers cancel requests, and against mixed-up answers."""
    await site.put("k", 0)
    for step in range(40):
        cancelled = [
            site.start(kind, statements.get("k"), timeout_s=5.0)
            for kind in (Kind.WRITE, Kind.READ, Kind.BEGIN, Kind.RESOLVE) * 3
        ]
        await asyncio.sleep(step * 0.0001)
        for task in cancelled:
            task.cancel()
        assert statements.decode_results((await site.put("k", step)).body) == [step]
        assert statements.decode_results((await site.get("k")).body) == [step]
    await site.until(lambda: site.owner.view().in_flight == 0)
    assert site.owner.view().queue_depth == 0


@with_site
async def test_callers_share_the_primary_evenly(site):
    """Guards against a caller whose backlog delays the writes of all other callers."""
    await site.put("k", 1)
    large_backlog = [
        site.start(Kind.WRITE, statements.put("k", 1), caller="many") for _ in range(200)
    ]
    await asyncio.sleep(0)
    single = await site.put("k", 2, caller="few")
    assert isinstance(single, outcomes.Answer)
    assert sum(task.done() for task in large_backlog) < 20
    await asyncio.gather(*large_backlog)


@with_site
async def test_overload_is_refused_early_with_a_hint(site):
    """Guards against requests that wait until their deadline although they can't be served."""
    await site.put("k", 1)
    burst = [site.start(Kind.WRITE, statements.put("k", 1), timeout_s=60.0) for _ in range(1000)]
    await asyncio.sleep(0)
    start = site.loop.time()
    refused = await site.put("k", 2, timeout_s=0.02)
    assert type_and_reason(refused) == (outcomes.NotRun, outcomes.NotRunReason.DEADLINE_BEFORE_SEND)
    assert refused.retry_after_s > 0.02 and site.loop.time() == start
    assert all(isinstance(outcome, outcomes.Answer) for outcome in await asyncio.gather(*burst))


@pytest.mark.parametrize("kind", list(Kind))
def test_every_kind_ends_by_its_deadline_without_members(kind):
    """Guards against a request that hangs when no member answers."""

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
