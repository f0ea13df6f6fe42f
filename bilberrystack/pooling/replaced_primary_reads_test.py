"""Tests that no read around a primary change succeeds that lacks acknowledged commits."""

import asyncio

import pytest

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import execution
from bilberrystack.pooling import replaced_primary_rounds_test
from bilberrystack.pooling import transaction
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import statements

pytestmark = pytest.mark.asyncio

ROUTE = replaced_primary_rounds_test.ROUTE
AGED_ROUTE = model.Route("aged", "store", model.Consistency.BOUNDED_AGE, 1.0, 0.2, 0, 1.5)
# A read may lack only commits that are younger than the test's own waits.
NEARLY_FRESH_ROUTE = model.Route("new", "store", model.Consistency.BOUNDED_AGE, 1.0, 0.2, 0, 0.05)
Instance = replaced_primary_rounds_test.Instance


def _request(request_id, text, route=ROUTE):
    now_s = asyncio.get_running_loop().time()
    return execution.Request(request_id, text, statements.Access.READ, None, now_s, route, {}, None)


def _begin(instance, text, route=ROUTE):
    begin_request = transaction.BeginRequest("b1", text, read_only=text == "BEGIN READ")
    return transaction.Transaction(begin_request, route, instance.executor, wire)


async def _commit(current, request_id="c1"):
    request = _request(request_id, "COMMIT", current.route)
    return await current.commit(request, execution.Trace())


@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN READ"])
async def test_the_commit_of_a_transaction_without_statements_is_confirmed(begin):
    """Guards against success at a replaced primary, whose log lacks commits of the new one.

    The transaction begins at a member only at its COMMIT.
    """
    async with Instance() as instance:
        assert (await _commit(_begin(instance, begin))).failure is None
        await instance.promote_unnoticed("c")
        outcome = await _commit(_begin(instance, begin), "c2")
        assert outcome.failure.code is statements.ErrorCode.ABORTED


async def test_a_commit_is_confirmed_after_statements_that_did_not_run():
    """Guards against success at a member that has lost the lead, which still commits no writes."""
    async with Instance() as instance:
        primary = instance.members.members["a"]
        current = _begin(instance, "BEGIN")
        first = asyncio.create_task(current.run(_request("r1", "READ x"), execution.Trace()))
        while not current.pinned:
            await asyncio.sleep(0)
        primary.statements_to_reject = 1000
        assert (await first).failure.code is statements.ErrorCode.BUSY
        primary.statements_to_reject = 0
        await instance.promote_unnoticed("c")
        primary.is_primary = False
        outcome = await _commit(current)
        assert outcome.failure.code is statements.ErrorCode.ABORTED


@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN READ"])
async def test_a_primary_change_after_a_confirmed_read_does_not_fail_the_commit(begin):
    """Guards against read-only transactions that fail at each change of the primary.

    The log had all commits from before the transaction when the read was confirmed.
    """
    async with Instance() as instance:
        current = _begin(instance, begin)
        read = await current.run(_request("r1", "READ x"), execution.Trace())
        assert read.failure is None
        await instance.promote_unnoticed("c")
        instance.members.members["a"].is_primary = False
        assert (await _commit(current)).failure is None


async def test_a_commit_at_a_position_needs_no_primary():
    """Guards against read-only transactions at replicas that fail while no primary is confirmed."""
    async with Instance() as instance:
        assert (await instance.write("w1")).failure is None
        now_s = asyncio.get_running_loop().time()
        instance.group.history.record(1, freshness.Sample(now_s, positions.Position(1, 1)))
        await instance.promote_unnoticed("c")
        outcome = await _commit(_begin(instance, "BEGIN READ", AGED_ROUTE))
        assert outcome.failure is None


async def _read(instance, route, request_id):
    request = _request(request_id, "READ x", route)
    return await instance.executor.run_read(request, execution.Trace())


@pytest.mark.parametrize("route", [ROUTE, NEARLY_FRESH_ROUTE], ids=["primary", "aged"])
async def test_a_read_waits_until_the_promoted_member_has_applied_its_log(route):
    """Guards against a read that lacks a commit which the new primary received, but not applied.

    On the aged route no position is known yet, so that the new primary is asked for its own.
    """
    async with Instance() as instance:
        options = instance.members.options
        options.apply_lag_s, options.promotion_apply_lag_s = 9.0, 0.3
        assert (await instance.write("w1")).failure is None
        promoted = instance.members.members["c"]
        assert instance.members.promote("c")
        await asyncio.sleep(0.1)
        instance.members.members["a"].step_down(promoted)
        await instance.group.confirmation.find_primary()
        assert (promoted.is_primary, promoted.applied_count) == (True, 0)
        outcome = await _read(instance, route, "r1")
        assert outcome.failure is not None or outcome.rows == (b"ROW 1",)
        await asyncio.sleep(0.3)
        outcome = await _read(instance, route, "r2")
        assert outcome.rows == (b"ROW 1",)
