"""Tests that no statement relies on a process that has taken a primary's place without its log."""

import asyncio
import dataclasses

import pytest
import pytest_asyncio

from bilberrystack.platform import wire
from bilberrystack.pooling import confirmation
from bilberrystack.pooling import counters
from bilberrystack.pooling import execution
from bilberrystack.pooling import group
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

STRICT = model.Route("strict", "store", model.Consistency.PRIMARY, 1.0, 0.2, 0, None)
AGED = model.Route("aged", "store", model.Consistency.BOUNDED_AGE, 1.0, 0.2, 0, 1.5)
SERVICE = model.Service("store", 24, 0)
LEADER = permission.Leader("a", 2)


@dataclasses.dataclass
class Fixture:
    """A group of three members, whose primary "a" has committed x=1.

    Attributes:
      line_group: The members.
      tasks: Holds the background tasks.
    """

    line_group: line_group.LineGroup
    tasks: tasks.Tasks

    def open_instance(self, granted):
        """Return the executor of an instance that knows "a" as the primary of its term."""
        clock = asyncio.get_running_loop().time
        served = group.Group(
            service=SERVICE,
            failure_domain="zone",
            instance_name="proxy",
            dialect=wire,
            clock=clock,
            background_tasks=self.tasks,
        )
        members = [
            model.Member(
                member.id,
                SERVICE.name,
                model.Endpoint("127.0.0.1", member.port),
                "zone",
                2,
                False,
                None,
                1,
            )
            for member in self.line_group.members.values()
        ]
        served.update(SERVICE, members, frozenset())
        if granted:
            served.permission.grant(LEADER, clock() + 1e6, (1, 0))
        else:
            served.permission.observe(LEADER)
        return execution.Executor(served, wire, clock, counters.Counters())


def _request(request_id, text, route=STRICT):
    now_s = asyncio.get_running_loop().time()
    access = statements.Access[text.split(" ")[0]]
    return execution.Request(request_id, text, access, None, now_s, route, {}, None)


@pytest_asyncio.fixture
async def fixture():
    members = line_group.LineGroup("store", ("a", "b", "c"))
    for member in members.members.values():
        member.term = LEADER.term
    await members.start()
    background_tasks = tasks.Tasks()
    opened = Fixture(members, background_tasks)
    writer = opened.open_instance(granted=True)
    outcome = await writer.run_write(_request("w1", "WRITE x 1"), execution.Trace())
    assert outcome.failure is None
    yield opened
    await background_tasks.close()
    writer.group.close()
    await members.stop()


async def test_the_trace_of_a_write_names_the_round_that_confirmed_it(fixture):
    """The log line of a write did not tell when its round had begun, nor whom it had asked."""
    instance = fixture.open_instance(granted=False)
    trace = execution.Trace(grant_token=7, grant_change=3, grant_left_ms=5)
    assert (await instance.run_write(_request("w2", "WRITE x 2"), trace)).failure is None
    assert (trace.confirmed, trace.round_asked) == ("round", "b c")
    assert trace.round_age_ms >= 0
    assert (trace.grant_token, trace.grant_change, trace.grant_left_ms) == (0, -1, -1)


@pytest.mark.parametrize("granted", [True, False])
@pytest.mark.parametrize("connected", [True, False])
async def test_no_read_relies_on_a_primary_that_has_restarted_without_its_log(
    fixture, granted, connected
):
    """Guards against reads of a primary route from an empty log, by a grant or by a round."""
    instance = fixture.open_instance(granted)
    if connected:
        outcome = await instance.run_read(_request("r1", "READ x"), execution.Trace())
        assert outcome.rows == (b"ROW 1",)
    await fixture.line_group.members["a"].restart_without_log(0.01)
    outcome = await instance.run_read(_request("r2", "READ x"), execution.Trace())
    assert outcome.failure is not None
    assert not any(run.request_id == "r2" for run in fixture.line_group.executed_statements)
    instance.group.close()


@pytest.mark.parametrize("granted", [True, False])
@pytest.mark.parametrize("kind", ["BEGIN", "BEGIN READ"])
async def test_no_transaction_relies_on_a_primary_that_has_restarted_without_its_log(
    fixture, granted, kind
):
    """Guards against transactions of a primary route that read from an empty log."""
    instance = fixture.open_instance(granted)
    await fixture.line_group.members["a"].restart_without_log(0.01)
    begin = transaction.BeginRequest("b1", kind, read_only=kind == "BEGIN READ")
    current = transaction.Transaction(begin, STRICT, instance, wire)
    outcome = await current.run(_request("r1", "READ x"), execution.Trace())
    assert outcome.failure is not None
    instance.group.close()


@pytest.mark.parametrize("granted", [True, False])
async def test_the_position_of_a_restarted_primary_is_no_position_of_the_primary(fixture, granted):
    """Guards against aged reads that require a position which an empty log has."""
    await fixture.line_group.members["a"].restart_without_log(0.01)
    instance = fixture.open_instance(granted)
    for number in range(5):
        trace = execution.Trace()
        outcome = await instance.run_read(_request(f"r{number}", "READ x", AGED), trace)
        assert outcome.failure is not None or outcome.rows == (b"ROW 1",)
    assert instance.group.history.newest_sample() is None
    instance.group.close()


async def test_a_primary_whose_position_has_gone_back_is_not_relied_on(fixture):
    """Guards against reads from a log that has lost entries, of a process that says it leads."""
    instance = fixture.open_instance(granted=True)
    await instance.run_read(_request("r1", "READ x"), execution.Trace())
    first = fixture.line_group.members["a"]
    await first.restart_without_log(0.01)
    first.is_primary, first.term = True, LEADER.term
    for number in range(3):
        outcome = await instance.run_read(_request(f"s{number}", "READ x"), execution.Trace())
        assert outcome.failure is not None
        instance.group.permission.record_lead(LEADER)
        instance.group.permission.grant(LEADER, instance.group._clock() + 1e6, (1, 0))
    instance.group.close()


async def test_a_connection_shows_no_lead_of_a_primary_that_only_the_store_names(fixture):
    """Guards against a role in a member's record that counts as the lead of its process."""
    instance = fixture.open_instance(granted=False)
    requirements = execution.primary_requirements(_request("r1", "READ x"))
    link = await instance.group.acquire(requirements)
    assert not link.shows_lead_of(permission.Leader("a", confirmation.UNKNOWN_TERM))
    instance.group.release(link)
    instance.group.close()


@pytest.mark.parametrize("pause_s", [0.01, 0.3])
async def test_a_group_recovers_from_a_primary_that_restarts_without_its_log(pause_s):
    """Guards against stale reads until the next primary leads, and against a group without one."""
    async with line_site.Site(2) as site:
        first = site.group.members["a"]
        clients = [await site.connect("strict", number) for number in range(2)]
        assert (await clients[0].query("WRITE x 1"))[0].startswith("DONE")
        await first.restart_without_log(pause_s)
        results = []

        async def read(number):
            while site.group.primaries in ([], [first]):
                client = await site.connect("strict", number)
                results.append((await client.query("READ x"))[0])
                client.close()

        async with asyncio.timeout(10):
            await asyncio.gather(read(0), read(1))
        assert not [row for row in results if row.startswith("ROW") and row != "ROW 1"]
        await site.wait_until(lambda: site.group.primaries != [])
        async with asyncio.timeout(10):
            while not (await clients[0].query("WRITE x 2"))[0].startswith("DONE"):
                await asyncio.sleep(0.05)


@pytest.mark.parametrize("kind", ["BEGIN", "BEGIN READ"])
async def test_no_transaction_relies_on_a_primary_whose_position_has_gone_back(fixture, kind):
    """Guards against transactions on a shorter log of a process that says it leads the old term."""
    instance = fixture.open_instance(granted=True)
    await instance.run_read(_request("r1", "READ x"), execution.Trace())
    first = fixture.line_group.members["a"]
    await first.restart_without_log(0.01)
    first.is_primary, first.term = True, LEADER.term
    begin = transaction.BeginRequest("b1", kind, read_only=kind == "BEGIN READ")
    current = transaction.Transaction(begin, STRICT, instance, wire)
    outcome = await current.run(_request("r2", "READ x"), execution.Trace())
    assert outcome.failure is not None
    assert not any(run.request_id == "r2" for run in fixture.line_group.executed_statements)
    instance.group.close()


async def test_a_position_of_a_transactions_begin_is_no_position_of_its_later_reads(fixture):
    """Guards against aged reads that require the position that an open transaction began with."""
    instance, other = fixture.open_instance(granted=True), fixture.open_instance(granted=True)
    first = fixture.line_group.members["a"]
    begin = transaction.BeginRequest("b1", "BEGIN", read_only=False)
    current = transaction.Transaction(begin, STRICT, instance, wire)
    await instance.run_read(_request("r1", "READ x"), execution.Trace())
    await current.run(_request("t1", "READ x"), execution.Trace())
    begun = first.position
    outcome = await other.run_write(_request("w2", "WRITE x 2"), execution.Trace())
    assert outcome.failure is None
    written_at_s = asyncio.get_running_loop().time()
    await asyncio.sleep(0.1)
    original = type(first).position
    type(first).position = property(
        lambda member: begun if member is first else original.fget(member)
    )
    try:
        await current.run(_request("t2", "READ x"), execution.Trace())
    finally:
        type(first).position = original
    newest = instance.group.history.newest_sample()
    assert newest is not None
    assert newest.position >= outcome.reply.position or newest.request_sent_at_s < written_at_s
    instance.group.close()
    other.group.close()


async def test_another_member_at_the_address_is_no_sign_of_life(fixture):
    """Guards against an ended primary that is kept because its address is used again."""
    instance = fixture.open_instance(granted=True)
    first = fixture.line_group.members["a"]
    first.address_taken = True
    assert await instance.group.query_member("a", wire.encode_status_query()) is None
    await instance.group.probe("a")
    observations = instance.group.pools["a"].observations
    assert observations.contact_at_s == float("-inf")
    first.address_taken = False
    await asyncio.sleep(0.3)
    assert await instance.group.query_member("a", wire.encode_status_query()) is not None
    await instance.group.probe("a")
    assert observations.contact_at_s > 0 and not observations.address_taken
    instance.group.close()


async def test_a_rejection_on_a_connection_of_an_earlier_term_is_no_step_down(fixture):
    """Guards against a primary that is not used since it had lost the lead in an earlier term."""
    instance = fixture.open_instance(granted=True)
    link = await instance.acquire(
        execution.primary_requirements(_request("r1", "READ x")), execution.Trace()
    )
    now_s = instance.group._clock()
    instance.group.permission.grant(permission.Leader("a", 4), now_s + 1e6, (1, 1))
    instance.record_step_down(link)
    assert not instance.group.permission.stepped_down
    instance.group.release(link)
    instance.group.close()


async def test_a_received_position_above_the_applied_one_is_no_step_down(fixture):
    """Guards against a healthy primary that is not used since its answers trail its reports."""
    instance = fixture.open_instance(granted=True)
    first = fixture.line_group.members["a"]
    original = first._status
    first._status = lambda: original().replace(" 2.1 ", " 2.2 ")
    assert await instance.group.confirmation.sample_primary()
    first._status = original
    outcome = await instance.run_read(_request("r1", "READ x"), execution.Trace())
    assert outcome.rows == (b"ROW 1",)
    assert not instance.group.permission.stepped_down
    instance.group.close()


async def test_a_lost_answer_to_the_check_of_the_lead_leaves_time_for_another_connection(fixture):
    """Guards against reads that wait for a lost status report until their time limit."""
    instance = fixture.open_instance(granted=True)
    first = fixture.line_group.members["a"]
    original, lost = first._answer, []

    async def answer(line, connection, sender):
        if line.endswith("STATUS") and not lost:
            lost.append(line)
            return True
        return await original(line, connection, sender)

    first._answer = answer
    outcome = await instance.run_read(_request("r1", "READ x"), execution.Trace())
    assert lost
    assert outcome.rows == (b"ROW 1",)
    instance.group.close()
