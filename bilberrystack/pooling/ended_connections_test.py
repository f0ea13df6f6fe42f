"""Tests statements on connections that have ended or can't be prepared."""

import asyncio

import pytest

from bilberrystack.pooling import answer_outcomes_test
from bilberrystack.pooling import execution
from bilberrystack.pooling import pool
from bilberrystack.routing import statements

pytestmark = pytest.mark.asyncio

fixture = answer_outcomes_test.fixture
_request = answer_outcomes_test._request


async def test_a_commit_is_not_sent_on_a_connection_that_the_member_has_closed(fixture):
    """Guards against an unknown outcome of a transaction that the member has rolled back."""
    current = fixture.transaction()
    await current.run(_request("w1", "WRITE x 1"), execution.Trace())
    link = current._link
    for writer in fixture.member._writers:
        writer.close()
    async with asyncio.timeout(5):
        while link.usable:
            await asyncio.sleep(0.001)
    outcome = await current.commit(_request("c1", "COMMIT"), execution.Trace())
    assert outcome.failure.code is statements.ErrorCode.ABORTED
    assert "COMMIT" not in fixture.member.texts()


async def test_a_refused_value_costs_a_bounded_number_of_connections(fixture):
    """Guards against a write that opens one connection after the other until its time limit."""
    fixture.member.errors["SET"] = ["BAD value"] * 10_000
    request = _request("w1", "WRITE x 1")
    request.values["v"] = "1"
    trace = execution.Trace()
    outcome = await fixture.executor.run_write(request, trace)
    assert outcome.failure is not None
    assert fixture.member._connections <= execution.MAX_NOT_RUN_RETRIES + 1


async def test_a_connection_that_ended_in_a_transaction_does_not_count(fixture):
    """Guards against a share of connections that idle clients' ended transactions use up."""
    current = fixture.transaction()
    await current.run(_request("w1", "WRITE x 1"), execution.Trace())
    fixture.member.send(b"DONE proof-w1\r\nREADY T 1.2\r\n")
    async with asyncio.timeout(5):
        while not fixture.faults:
            await asyncio.sleep(0.001)
    member_pool = fixture.group.pools["a"]
    assert member_pool.link_count == 0
    assert member_pool.may_open(1, 0.0, asyncio.get_running_loop().time())
    assert (await fixture.executor.run_write(_request("w2", "WRITE y 2"), execution.Trace())).done
    current.roll_back()
    assert member_pool.link_count == 1


async def test_connections_whose_start_is_answered_twice_are_opened_with_pauses(fixture):
    """Guards against hundreds of connections per second to a member that repeats READY."""
    fixture.member.start_data = b"READY I 1.1\r\n"
    outcome = await fixture.executor.run_write(_request("w1", "WRITE x 1"), execution.Trace())
    assert outcome.failure.code is statements.ErrorCode.BUSY
    assert fixture.member._connections <= 1 / pool.RETRY_OPEN_S + 1
