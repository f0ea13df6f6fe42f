"""Tests of transactions: never mixed, always ended, committed at most once."""

import asyncio

import pytest

from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import group_test
from bilberrystack.proxy import transactions
from bilberrystack.proxy.group_test import type_and_reason
from bilberrystack.proxy.group_test import with_site
from bilberrystack_standins import statements
from faults import paused_loop

Kind = requests.Kind
ABORTED = (outcomes.NotRun, outcomes.NotRunReason.TRANSACTION_ABORTED)


async def begin(site, **options):
    opened = await site.run(Kind.BEGIN, **options)
    assert isinstance(opened, outcomes.Answer), opened
    return opened.transaction


async def add(site, transaction, amount=1, **options):
    body = statements.add("n", amount)
    return await site.run(Kind.STATEMENT, body, transaction=transaction, **options)


async def commit(site, transaction, **options):
    return await site.run(Kind.COMMIT, transaction=transaction, **options)


@with_site
async def test_transactions_are_not_mixed(site):
    """Guards against statements of different callers on one connection."""
    names = [await begin(site, session=f"s{number}", caller=f"c{number}") for number in range(4)]
    for number, name in enumerate(names):
        body = statements.put(f"k{number}", number)
        await site.run(
            Kind.STATEMENT, body, transaction=name, session=f"s{number}", caller=f"c{number}"
        )
    for other in ({"session": "s1", "caller": "c0"}, {"session": "s0", "caller": "c1"}):
        for kind in (Kind.STATEMENT, Kind.COMMIT, Kind.ABORT):
            outcome = await site.run(kind, statements.put("k0", 9), transaction=names[0], **other)
            assert type_and_reason(outcome) == (
                outcomes.NotRun,
                outcomes.NotRunReason.NOT_PERMITTED,
            )
    await commit(site, names[0], session="s0", caller="c0")
    await site.run(Kind.ABORT, transaction=names[1], session="s1", caller="c1")
    assert [site.value("a", f"k{number}") for number in range(4)] == [0, None, None, None]


@with_site
async def test_second_statement_at_the_same_time_is_refused(site):
    """Guards against two statements on one connection."""
    name = await begin(site)
    first = site.start(Kind.STATEMENT, statements.add("n", 1), transaction=name)
    await asyncio.sleep(0)
    second = await add(site, name)
    assert type_and_reason(second) == (outcomes.NotRun, outcomes.NotRunReason.INVALID_REQUEST)
    assert isinstance(await first, outcomes.Answer)
    assert isinstance(await commit(site, name), outcomes.Answer)
    assert site.value("a", "n") == 1


@with_site
async def test_idle_transaction_is_aborted(site):
    """Guards against a caller that disappears while its transaction occupies a connection."""
    name = await begin(site)
    await asyncio.sleep(0.9 * transactions.IDLE_TIMEOUT_S)
    assert isinstance(await add(site, name), outcomes.Answer)
    await asyncio.sleep(0.9 * transactions.IDLE_TIMEOUT_S)
    assert site.owner.open_transaction_count == 1
    await asyncio.sleep(0.2 * transactions.IDLE_TIMEOUT_S)
    assert site.owner.open_transaction_count == 0
    assert type_and_reason(await add(site, name)) == ABORTED
    assert site.value("a", "n") is None


@pytest.mark.parametrize("event", ["commit.received", "commit.executed"])
def test_lost_answer_of_a_commit_is_resolved(event):
    """Guards against a transaction that commits twice or whose outcome stays unknown."""

    async def main():
        site = group_test.Site()
        name = await begin(site)
        await add(site, name)
        site.on_first(event, lambda: site.net.reset_between(group_test.OWNER, "a"))
        outcome = await commit(site, name, sequence=500)
        ran = isinstance(outcome, outcomes.Answer)
        assert ran or type_and_reason(outcome) == (outcomes.NotRun, outcomes.NotRunReason.CANCELLED)
        assert site.value("a", "n") == (1 if ran else None)
        again = await commit(site, name, sequence=500)
        assert isinstance(again, outcomes.Answer) == ran
        assert site.value("a", "n") == (1 if ran else None)
        await site.owner.close()

    paused_loop.run(main)


@with_site
async def test_copy_of_a_running_commit_gets_the_same_outcome(site):
    """Guards against reporting "not run" for a commit of which an earlier copy is running."""
    name = await begin(site)
    await add(site, name)
    copies = [
        site.start(Kind.COMMIT, transaction=name, sequence=500, timeout_s=2.0) for _ in range(3)
    ]
    assert all(isinstance(outcome, outcomes.Answer) for outcome in await asyncio.gather(*copies))
    assert site.value("a", "n") == 1


@with_site
async def test_lost_connection_before_the_commit_aborts(site):
    """Guards against committing part of a transaction on another connection."""
    name = await begin(site)
    await add(site, name)
    site.net.reset_between(group_test.OWNER, "a")
    await asyncio.sleep(0.01)
    assert type_and_reason(await add(site, name)) == ABORTED
    outcome = await commit(site, name)
    assert type_and_reason(outcome) == (outcomes.NotRun, outcomes.NotRunReason.CANCELLED)
    assert site.value("a", "n") is None


@with_site
async def test_connection_with_an_outstanding_statement_is_closed_not_reused(site):
    """Guards against the next caller receiving a late answer or an open transaction."""
    name = await begin(site)
    site.net.cut("a", group_test.OWNER, bidirectional=False)
    assert type_and_reason(await add(site, name, timeout_s=0.2)) == ABORTED
    assert site.owner.open_transaction_count == 0
    site.net.heal()
    await site.until(lambda: site.owner.view().in_flight == 0)
    await asyncio.sleep(0.01)
    assert not site.servers["a"].state._transactions
    assert isinstance(await site.put("n", 5), outcomes.Answer)


@with_site
async def test_cancelled_statement_ends_its_transaction(site):
    """Guards against continuing a transaction after a statement that may or may not have run."""
    name = await begin(site)
    cancelled_task = site.start(Kind.STATEMENT, statements.add("n", 1), transaction=name)
    await asyncio.sleep(0.0001)
    cancelled_task.cancel()
    await site.until(lambda: cancelled_task.done() and site.owner.view().in_flight == 0)
    assert type_and_reason(await add(site, name)) == ABORTED
    await asyncio.sleep(0.01)
    assert not site.servers["a"].state._transactions


@with_site
async def test_new_primary_ends_the_transactions_of_the_old_one(site):
    """Guards against transactions that occupy connections to a replaced primary."""
    name = await begin(site)
    await add(site, name)
    site.promote("b", 2, group_test.NAMES)
    await site.put("k", 1)
    assert site.owner.open_transaction_count == 0
    assert type_and_reason(await add(site, name)) == ABORTED


@with_site
async def test_transactions_leave_a_connection_to_other_statements(site):
    """Guards against writes that have to wait for idle transactions."""
    for _ in range(6):
        await begin(site)
    refused = await site.run(Kind.BEGIN, timeout_s=0.3)
    assert type_and_reason(refused) == (outcomes.NotRun, outcomes.NotRunReason.QUEUE_FULL)
    assert isinstance(await site.put("k", 1), outcomes.Answer)


@with_site
async def test_conflicting_commit_aborts(site):
    """Guards against a lost update between two transactions."""
    first, second = await begin(site), await begin(site)
    await add(site, first)
    await add(site, second)
    assert isinstance(await commit(site, first), outcomes.Answer)
    assert type_and_reason(await commit(site, second)) == ABORTED
    assert site.value("a", "n") == 1


@with_site
async def test_answered_commit_or_abort_returns_the_connection(site):
    """Guards against opening a connection, which takes 12 ms, for each transaction."""
    for _ in range(20):
        name = await begin(site)
        await add(site, name)
        await commit(site, name)
        await site.run(Kind.ABORT, transaction=await begin(site))
    assert site.owner._state.pools["a"].size <= 3
