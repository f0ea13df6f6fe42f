"""Tests the outcomes of statements that another statement's answer has reached."""

import asyncio
import dataclasses

import pytest
import pytest_asyncio

from bilberrystack.platform import wire
from bilberrystack.pooling import counters
from bilberrystack.pooling import execution
from bilberrystack.pooling import group
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements
from bilberrystack_standins import scripted_member

pytestmark = pytest.mark.asyncio

ROUTE = model.Route("base", "store", model.Consistency.PRIMARY, 1.0, 1.0, 0, None)
BEGIN = transaction.BeginRequest("b1", "BEGIN", read_only=False)


@dataclasses.dataclass
class Fixture:
    """A group with one member.

    Attributes:
      member: The member.
      group: The group.
      executor: Runs the group's statements.
      failures: Ids of members that were reported as failed.
      faults: Why connections ended because of the member's data.
    """

    member: scripted_member.ScriptedMember
    group: group.Group
    executor: execution.Executor
    failures: list[str]
    faults: list[answers.Fault]

    def transaction(self):
        return transaction.Transaction(BEGIN, ROUTE, self.executor, wire)

    async def write(self, request_id):
        return await self.executor.run_write(_request(request_id, "WRITE x 1"), execution.Trace())

    async def read(self, request_id):
        return await self.executor.run_read(
            _request(request_id, "READ x", "READ"), execution.Trace()
        )


def _request(request_id, text, access="WRITE"):
    now_s = asyncio.get_running_loop().time()
    return execution.Request(
        request_id, text, statements.Access[access], None, now_s, ROUTE, {}, None
    )


@pytest_asyncio.fixture
async def fixture():
    member = scripted_member.ScriptedMember()
    port = await member.start()
    clock = asyncio.get_running_loop().time
    background_tasks = tasks.Tasks()
    served = scripted_member.open_group(port, background_tasks)
    failures, faults = [], []
    served.on_member_failure = failures.append
    served.on_answer_fault = faults.append
    executor = execution.Executor(served, wire, clock, counters.Counters())
    yield Fixture(member, served, executor, failures, faults)
    await background_tasks.close()
    served.close()
    await member.close()


def _assert_balanced(fixture):
    """Check that no connection is in use for good and that no statement counts as in flight."""
    member_pool = fixture.group.pools["a"]
    member_pool.idle_links(ignore_window=True)
    assert member_pool.in_flight == 0
    assert not any(link.in_use for link in member_pool._links)
    assert fixture.failures == []


async def test_the_outcome_of_a_write_is_unknown(fixture):
    """Guards against a write that is reported as not run, or sent again, although it ran."""
    await fixture.write("w1")
    fixture.member.data_before["WRITE"] = [b"DONE proof-w1\r\nREADY I 1.2\r\n"]
    outcome = await fixture.write("w2")
    assert outcome.failure.code is statements.ErrorCode.UNKNOWN_OUTCOME
    assert fixture.member.committed == ["w1", "w2"]
    assert fixture.faults == [answers.Fault.REPEATED]
    assert (await fixture.write("w3")).done == b"DONE proof-w3"
    _assert_balanced(fixture)


async def test_the_trace_of_a_write_names_the_grant_that_confirmed_it(fixture):
    """The log line of a write did not tell whose grant had confirmed it, and until when."""
    held, clock = fixture.group.permission, asyncio.get_running_loop().time
    held.grant(permission.Leader("a", 1), clock() + 2e6, (7, 3))
    trace = execution.Trace(round_age_ms=5, round_asked="b")
    await fixture.executor.run_write(_request("w1", "WRITE x 1"), trace)
    assert (trace.confirmed, trace.grant_token, trace.grant_change) == ("grant", 7, 3)
    assert 1e9 < trace.grant_left_ms <= 2e9
    assert (trace.round_age_ms, trace.round_asked) == (-1, "")


async def test_a_repeated_rejection_does_not_have_a_write_run_twice(fixture):
    """Guards against the second copy of BUSY that is taken for the answer to a later write."""
    fixture.member.errors["WRITE"] = ["BUSY full"]
    await fixture.write("w1")
    fixture.member.data_before["WRITE"] = [b"ERR BUSY full\r\nREADY I 1.1\r\n"]
    outcome = await fixture.write("w2")
    assert outcome.failure.code is statements.ErrorCode.UNKNOWN_OUTCOME
    assert fixture.member.committed == ["w1", "w2"]
    _assert_balanced(fixture)


async def test_a_write_whose_connection_has_just_ended_is_sent_on_another(fixture):
    """Guards against an unknown outcome of a write that was not sent."""
    fixture.member.data_after["SET"] = [b"DONE -\r\nREADY I 1.1\r\n"]
    request = _request("w1", "WRITE x 1")
    request.values["v"] = "1"
    outcome = await fixture.executor.run_write(request, execution.Trace())
    assert outcome.done == b"DONE proof-w1"
    assert fixture.faults == [answers.Fault.UNASKED]
    assert fixture.member.committed == ["w1"]
    _assert_balanced(fixture)


async def test_a_read_runs_again_on_another_connection(fixture):
    """Guards against a failed read that another connection could serve."""
    await fixture.read("r1")
    fixture.member.data_before["READ"] = [b"ROW row-r1\r\nDONE proof-r1\r\nREADY I 1.1\r\n"]
    outcome = await fixture.read("r2")
    assert (outcome.rows, outcome.done) == ((b"ROW row-r2",), b"DONE proof-r2")
    received = fixture.member.received
    assert [number for number, text in received if text != "STATUS"] == [1, 1, 2]
    _assert_balanced(fixture)


async def test_a_transaction_is_aborted(fixture):
    """Guards against a transaction that goes on after an answer to another statement."""
    current = fixture.transaction()
    await current.run(_request("w1", "WRITE x 1"), execution.Trace())
    fixture.member.data_before["WRITE"] = [b"DONE -\r\nREADY T 1.2\r\n"]
    outcome = await current.run(_request("w2", "WRITE y 2"), execution.Trace())
    assert outcome.failure.code is statements.ErrorCode.ABORTED
    commit = await current.commit(_request("c1", "COMMIT"), execution.Trace())
    assert commit.failure.code is statements.ErrorCode.ABORTED
    assert fixture.member.committed == []
    _assert_balanced(fixture)


async def test_data_before_a_commit_abort_the_transaction(fixture):
    """Guards against an unknown outcome of a commit that was not sent."""
    current = fixture.transaction()
    await current.run(_request("w1", "WRITE x 1"), execution.Trace())
    fixture.member.send(b"DONE proof-w1\r\nREADY T 1.2\r\n")
    async with asyncio.timeout(5):
        while not fixture.faults:
            await asyncio.sleep(0.001)
    outcome = await current.commit(_request("c1", "COMMIT"), execution.Trace())
    assert outcome.failure.code is statements.ErrorCode.ABORTED
    assert "COMMIT" not in fixture.member.texts()
    _assert_balanced(fixture)


async def test_the_outcome_of_a_commit_is_unknown(fixture):
    """Guards against a commit that is reported as aborted although it took effect."""
    current = fixture.transaction()
    await current.run(_request("w1", "WRITE x 1"), execution.Trace())
    fixture.member.data_before["COMMIT"] = [b"DONE proof-w1\r\nREADY T 1.2\r\n"]
    outcome = await current.commit(_request("c1", "COMMIT"), execution.Trace())
    assert outcome.failure.code is statements.ErrorCode.UNKNOWN_OUTCOME
    assert fixture.member.committed == ["w1"]
    _assert_balanced(fixture)


async def test_a_write_behind_a_rejected_begin_has_an_unknown_outcome(fixture):
    """Guards against a write that is reported as rolled back although it ran by itself.

    A second copy was taken for the answer to the BEGIN, which the member rejected.
    """
    fixture.member.errors["BEGIN"] = ["BUSY full"]
    fixture.member.data_before["BEGIN"] = [b"DONE -\r\nREADY T 1.1\r\n"]
    fixture.member.held["BEGIN"] = asyncio.Event()
    current, trace = fixture.transaction(), execution.Trace()
    running = asyncio.create_task(current.run(_request("w1", "WRITE x 1"), trace))
    async with asyncio.timeout(5):
        while not trace.sent:
            await asyncio.sleep(0.001)
    fixture.member.held["BEGIN"].set()
    outcome = await running
    assert outcome.failure.code is statements.ErrorCode.UNKNOWN_OUTCOME
    async with asyncio.timeout(5):
        while fixture.member.committed != ["w1"]:
            await asyncio.sleep(0.001)
    commit = await current.commit(_request("c1", "COMMIT"), execution.Trace())
    assert commit.failure.code is statements.ErrorCode.ABORTED
    _assert_balanced(fixture)


@pytest.mark.parametrize("word", ["STATUS", "HOLD", "DEMOTE", "RESUME"])
async def test_a_status_report_is_not_an_earlier_one(fixture, word):
    """Guards against an old role or position that is taken for the present one.

    A primary would count as fenced, or a replica as the one with the longest log.
    """
    query = {
        "STATUS": wire.encode_status_query(),
        "HOLD": wire.encode_hold(2),
        "DEMOTE": wire.encode_demote(2),
        "RESUME": wire.encode_resume(),
    }[word]
    fixture.member.role_and_term = "replica 7"
    earlier = await fixture.group.query_member("a", query)
    assert (earlier.primary, earlier.term) == (False, 7)
    assert fixture.failures == ["a"]
    fixture.failures.clear()
    fixture.member.role_and_term = "primary 1"
    fixture.member.data_before[word] = [b"ROW replica 7 1.1 0 0 0 1\r\nDONE -\r\nREADY I 1.1\r\n"]
    status = await fixture.group.query_member("a", query)
    assert (status.primary, status.term, str(status.received_position)) == (True, 1, "1/1")
    async with asyncio.timeout(5):
        while not fixture.faults:
            await asyncio.sleep(0.001)
    assert fixture.faults == [answers.Fault.UNASKED]
    newest = fixture.group.history.newest_sample()
    assert newest is None or str(newest.position) == "1/1"
    # The first report has ended the grant.
    now_s = asyncio.get_running_loop().time()
    fixture.group.permission.grant(permission.Leader("a", 1), now_s + 60, (1, 0))
    assert (await fixture.write("w1")).done == b"DONE proof-w1"
    _assert_balanced(fixture)


async def test_an_unchanged_status_report_is_verified(fixture, monkeypatch):
    """Guards against a report that may be an earlier one, and against needless queries."""
    monkeypatch.setattr(answers, "draw_challenge", lambda: (False, True, True))
    query = wire.encode_status_query()
    for _ in range(2):
        assert (await fixture.group.query_member("a", query)).primary
    assert fixture.member.texts() == [
        "STATUS",
        "STATUS",
        *("PREPARE c READ -", "BEGIN READ", "PREPARE c READ -", "ROLLBACK"),
    ]
    await fixture.write("w1")
    assert str((await fixture.group.query_member("a", query)).received_position) == "1/2"
    assert fixture.member.texts()[6:] == ["WRITE x 1", "STATUS"]
    assert fixture.faults == []
    _assert_balanced(fixture)


async def test_only_answers_to_this_statement_show_a_position(fixture):
    """Guards against an old position in the answer to a SET or BEGIN, taken for the present one.

    A read of fresh data would then be served by a replica that lacks the last commits.
    """
    request = _request("w1", "WRITE x 1")
    request.values["v"] = "1"
    current = fixture.transaction()
    fixture.member.errors["WRITE"] = ["FAILED on purpose"]
    await current.run(request, execution.Trace())
    current.roll_back()
    async with asyncio.timeout(5):
        while "ROLLBACK" not in fixture.member.texts():
            await asyncio.sleep(0.001)
    assert {"SET v 1", "BEGIN", "WRITE x 1"} <= set(fixture.member.texts())
    assert fixture.group.history.newest_sample() is None
    await fixture.read("r1")
    assert str(fixture.group.history.newest_sample().position) == "1/1"


async def test_an_error_does_not_count_as_a_rollback(fixture):
    """Guards against a connection in the pool that still gets the answer to its rollback."""
    fixture.member.data_before["ROLLBACK"] = [b"ERR BUSY full\r\nREADY I 1.1\r\n"]
    fixture.member.held["ROLLBACK"] = asyncio.Event()
    current = fixture.transaction()
    await current.run(_request("w1", "WRITE x 1"), execution.Trace())
    current.roll_back()
    async with asyncio.timeout(5):
        while any(link.in_use for link in fixture.group.pools["a"]._links):
            await asyncio.sleep(0.001)
    asyncio.get_running_loop().call_later(0.05, fixture.member.held["ROLLBACK"].set)
    assert (await fixture.write("w2")).done == b"DONE proof-w2"
    assert fixture.member.committed == ["w2"]


def _promote(fixture, received_position):
    """Have the member lead term 2; its log shows one entry of the term before."""
    fixture.member.role_and_term = "primary 2"
    fixture.member.received_position = received_position
    until_s = asyncio.get_running_loop().time() + 1e6
    fixture.group.permission.grant(permission.Leader("a", 2), until_s, (1, 1))


async def test_a_promoted_member_that_receives_more_is_used(fixture):
    """Guards against a busy primary that is refused because its received position runs ahead."""
    _promote(fixture, "1.4")
    reading = asyncio.create_task(fixture.read("r1"))
    while fixture.member.texts() != ["STATUS"]:
        await asyncio.sleep(0.001)
    fixture.member.received_position, fixture.member._position = "2.9", 4
    assert (await reading).done == b"DONE proof-r1"
    assert fixture.member.texts() == ["STATUS", "STATUS", "READ x"]
    _assert_balanced(fixture)


async def test_a_promoted_member_without_commits_is_used(fixture):
    """Guards against a new primary that is refused until its first commit.

    The term of its received position may be its own one before the log has an entry of it.
    """
    _promote(fixture, "2.1")
    assert (await fixture.read("r1")).done == b"DONE proof-r1"
    assert fixture.member.texts() == ["STATUS", "READ x"]
