"""Tests of writes: run at most once, acknowledged once durable, resolved after a lost answer."""

import asyncio

import pytest

from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import group_test
from bilberrystack.proxy.group_test import type_and_reason
from bilberrystack.proxy.group_test import with_site
from bilberrystack_standins import statements
from faults import paused_loop

Kind = requests.Kind
NotRunReason = outcomes.NotRunReason
UnknownReason = outcomes.UnknownReason


def break_links(site, name="a"):
    site.net.reset_between(group_test.OWNER, name)


@with_site
async def test_write_is_not_acknowledged_before_a_majority_has_it(site):
    """Guards against acknowledging a write that a failover may lose."""
    await site.put("k", 0)
    site.cut_replication()
    outcome = await site.put("k", 1)
    assert type_and_reason(outcome) == (outcomes.Unknown, UnknownReason.NOT_CONFIRMED)
    assert site.value("a", "k") == 1
    site.net.heal()
    assert isinstance(await site.put("k", 2), outcomes.Answer)


@pytest.mark.parametrize("event", ["write.received", "write.executed"])
@pytest.mark.parametrize("kind", [Kind.WRITE, Kind.IDEMPOTENT_WRITE])
def test_lost_link_gives_a_definite_outcome_and_one_execution(event, kind):
    """Guards against a write that runs twice, and against an outcome that stays unknown."""

    async def main():
        site = group_test.Site()
        await site.put("n", 0)
        site.on_first(event, lambda: break_links(site))
        outcome = await site.run(kind, statements.add("n", 1))
        if kind is Kind.WRITE:
            assert site.event_count("write.received") == 2
        ran = isinstance(outcome, outcomes.Answer)
        assert ran or type_and_reason(outcome) == (outcomes.NotRun, NotRunReason.CANCELLED)
        assert site.value("a", "n") == (1 if ran else 0)
        assert ran or kind is Kind.WRITE
        await site.owner.close()

    paused_loop.run(main)


@with_site
async def test_idempotent_write_without_retry_budget_is_resolved(site):
    """Guards against retries that multiply the load while every link breaks."""
    await site.put("n", 0)
    while site.owner._state.retries.try_acquire(site.loop.time()):
        pass
    site.on_first("write.executed", lambda: break_links(site))
    outcome = await site.run(Kind.IDEMPOTENT_WRITE, statements.add("n", 1))
    assert isinstance(outcome, outcomes.Answer) and outcome.duplicate
    assert site.event_count("write.received") == 2
    assert site.owner.counters.denied_retries == 1


@with_site
async def test_write_lost_with_its_primary_is_cancelled_at_the_new_primary(site):
    """Guards against an unknown outcome, or a second run, of a write lost in a failover."""
    await site.put("n", 0)
    site.cut_replication()
    site.on_first("write.executed", lambda: site.net.kill("a"))
    pending = site.start(Kind.WRITE, statements.add("n", 1), timeout_s=3.0)
    await asyncio.sleep(0.5)
    site.promote("b", 2, ("b", "c"))
    outcome = await pending
    assert type_and_reason(outcome) == (outcomes.NotRun, NotRunReason.CANCELLED)
    assert site.value("b", "n") == 0


@with_site
async def test_unconfirmed_write_is_resolved_at_the_new_primary(site):
    """Guards against acknowledging an entry of a replaced primary that still answers."""
    await site.put("n", 0)
    site.cut_replication()
    pending = site.start(Kind.WRITE, statements.add("n", 1), timeout_s=3.0)
    await asyncio.sleep(0.2)
    assert site.value("a", "n") == 1 and not pending.done()
    site.promote("b", 2, ("b", "c"))
    assert type_and_reason(await pending) == (outcomes.NotRun, NotRunReason.CANCELLED)
    assert site.value("b", "n") == 0


@with_site
async def test_unanswered_idempotent_write_is_sent_to_the_new_primary(site):
    """Guards against writes that wait for an isolated primary until their deadline."""
    await site.put("n", 0)
    site.net.isolate("a")
    unanswered_write = site.start(Kind.IDEMPOTENT_WRITE, statements.add("n", 1), timeout_s=5.0)
    start = site.loop.time()
    await asyncio.sleep(0.3)
    site.promote("b", 2, ("b", "c"))
    assert isinstance(await unanswered_write, outcomes.Answer)
    assert site.loop.time() < start + 2.0
    assert site.value("b", "n") == 1


@with_site
async def test_outstanding_answer_occupies_slot_and_connection_until_it_arrives(site):
    """Guards against a second statement on a connection whose answer is outstanding."""
    await site.put("k", 0)
    site.net.cut("a", group_test.OWNER, bidirectional=False)
    outcome = await site.put("k", 1, timeout_s=0.3)
    assert type_and_reason(outcome) == (outcomes.Unknown, UnknownReason.DEADLINE_AFTER_SEND)
    assert site.owner.view().in_flight >= 1
    site.net.heal()
    assert statements.decode_results((await site.put("k", 2)).body) == [2]
    await site.until(lambda: site.owner.view().in_flight == 0)
    assert statements.decode_results((await site.put("k", 3)).body) == [3]


@with_site
async def test_connection_without_an_answer_is_closed_eventually(site):
    """Guards against slots that an unresponsive member occupies forever."""
    await site.put("k", 0)
    site.net.cut("a", group_test.OWNER, bidirectional=False)
    await site.put("k", 1, timeout_s=0.3)
    await site.until(lambda: site.owner.view().in_flight == 0)
    site.net.heal()
    assert isinstance(await site.put("k", 2, timeout_s=3.0), outcomes.Answer)


@with_site
async def test_write_without_a_primary_is_not_sent(site):
    """Guards against an unknown outcome where "not run" is certain."""
    await site.put("k", 0)
    for name in "bc":
        site.servers[name].state.fence(2)
    site.net.kill("a")
    sent = site.event_count("write.received")
    await asyncio.sleep(0.6)
    outcome = await site.put("k", 1)
    assert type_and_reason(outcome) == (outcomes.NotRun, NotRunReason.NO_PRIMARY)
    assert site.event_count("write.received") == sent


@with_site
async def test_write_without_a_majority_is_not_sent(site):
    """Guards against a write that an isolated primary runs and that can't become durable."""
    await site.put("k", 0)
    site.net.isolate("b")
    site.net.isolate("c")
    await asyncio.sleep(0.6)
    outcome = await site.put("k", 1)
    assert type_and_reason(outcome) == (outcomes.NotRun, NotRunReason.NO_MAJORITY)
    assert site.value("a", "k") == 0


@with_site
async def test_refusal_by_a_replaced_primary_waits_for_the_new_one(site):
    """Guards against an error to the caller when the owner's known primary is outdated."""
    await site.put("k", 0)
    site.promote("b", 2, group_test.NAMES)
    outcome = await site.put("k", 1)
    assert isinstance(outcome, outcomes.Answer) and outcome.served_by == "b"


@with_site
async def test_resolve_returns_the_recorded_answer_or_cancels(site):
    """Guards against a caller that can't determine whether its request ran."""
    await site.put("k", 7, sequence=100)
    recorded = await site.run(Kind.RESOLVE, sequence=100)
    assert isinstance(recorded, outcomes.Answer) and recorded.duplicate
    assert statements.decode_results(recorded.body) == [7]
    cancelled = await site.run(Kind.RESOLVE, sequence=101)
    assert type_and_reason(cancelled) == (outcomes.NotRun, NotRunReason.CANCELLED)
    late_copy = await site.put("k", 8, sequence=101)
    assert type_and_reason(late_copy) == (outcomes.NotRun, NotRunReason.CANCELLED)
    assert site.value("a", "k") == 7


@with_site
async def test_cancellation_counts_only_once_durable(site):
    """Guards against reporting "not run" because of a cancellation that a failover loses."""
    await site.put("k", 0)
    site.cut_replication()
    outcome = await site.run(Kind.RESOLVE, sequence=100)
    assert type_and_reason(outcome) == (outcomes.Unknown, UnknownReason.NOT_CONFIRMED)


@with_site
async def test_recorded_answer_counts_only_once_durable(site):
    """Guards against a repeated write that acknowledges an entry without a majority."""
    site.cut_replication()
    await site.put("k", 1, sequence=100, timeout_s=0.3)
    repeated = await site.put("k", 1, sequence=100, timeout_s=0.3)
    assert type_and_reason(repeated) == (outcomes.Unknown, UnknownReason.NOT_CONFIRMED)
