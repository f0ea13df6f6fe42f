"""Tests of the operators' calls over sockets."""

import asyncio
import contextlib

import msgspec
import pytest

from bilberrystack.core import burn
from bilberrystack.core import documents
from bilberrystack.core import errors
from bilberrystack.core import positions
from bilberrystack.core import reports
from bilberrystack.gen.operators import ttypes
from bilberrystack.proxy import configuration_test as fakes
from bilberrystack.proxy import operators
from bilberrystack.proxy import summaries
from bilberrystack.wire import rpc

pytestmark = pytest.mark.asyncio

SECRET = "operator-secret-of-the-test"
HOST = "127.0.0.1"
NOW = 1_800_000_060.0
GROUP = msgspec.json.encode(fakes.group("g")).decode()


def instance_report(name, **fields):
    return reports.InstanceReport(name, "z", False, True, True, 1, 0.5, 3, **fields)


class FakeFleet:
    """All instances: reports by instance, and the answers of successive calls of lagging."""

    def __init__(self):
        self.is_first = True
        self.answers = {"a": instance_report("a"), "b": None}
        self.lagging_answers = []

    @property
    def instance_count(self):
        return len(self.answers)

    async def lagging(self, _version):
        return self.lagging_answers.pop(0) if self.lagging_answers else []

    async def collect(self, _minutes):
        asked_at = asyncio.get_running_loop().time()
        return [
            reports.InstanceReply(name, "z", answer, asked_at)
            for name, answer in self.answers.items()
        ]


class Served:
    """An instance that serves operators, and a connection to it."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.instance = fakes.Instance(self.store)
        self.fleet = FakeFleet()
        self.changes = []
        self.refused = []
        self.history = summaries.Summaries(self.store, self.fleet, lambda: NOW)
        self.handler = operators.Operators(
            instance="a",
            secret=SECRET,
            configuration=self.instance.configuration,
            acceptor=self.instance.acceptor,
            fleet=self.fleet,
            history=self.history,
            wall_time=lambda: NOW,
            on_change=lambda change, outcome: self.changes.append((change.operator, outcome)),
            on_refusal=self.refused.append,
        )
        self.connection = None

    async def call(self, method, *fields):
        return await self.connection.call(method, *fields)

    async def authenticate(self, secret=SECRET):
        challenge = await self.call("hello")
        proof = operators.prove(secret, challenge.nonce, "sara")
        await self.call("authenticate", "sara", proof)
        return proof


@contextlib.asynccontextmanager
async def served(authenticated=True):
    one = Served()
    async with rpc.Server(operators.SERVICE, one.handler) as server:
        await server.start(HOST, 0)
        with await rpc.connect(operators.SERVICE, HOST, server.port) as connection:
            one.connection = connection
            if authenticated:
                await one.authenticate()
            yield one


def add_group(operation_id, declaration=GROUP, dry_run=False, **fields):
    edit = ttypes.Edit(ttypes.EditKind.ADD_GROUP, "g", declaration)
    return ttypes.Change(operation_id, edits=[edit], dry_run=dry_run, **fields)


async def code_of(call):
    with pytest.raises(ttypes.OperatorFailure) as raised:
        await call
    return raised.value.code


async def test_calls_need_authentication():
    """Guards against changes and reads by anyone who reaches the port."""
    async with served(authenticated=False) as one:
        calls = [
            one.call("apply", add_group("op")),
            one.call("show"),
            one.call("diff", "{}"),
            one.call("wait", 1, 0),
            one.call("status"),
            one.call("report", 5, 60),
        ]
        codes = [await code_of(call) for call in calls]
        assert codes == [errors.OperatorError.NOT_AUTHENTICATED] * len(calls)
        assert not one.store.objects


async def test_wrong_secret_and_replayed_proof_are_refused():
    """Guards against a proof that was overheard, and against guessing on one nonce."""
    failed = errors.OperatorError.AUTHENTICATION_FAILED
    async with served(authenticated=False) as one:
        assert await code_of(one.authenticate("wrong")) == failed
        proof = await one.authenticate()
        assert await code_of(one.call("authenticate", "sara", proof)) == failed
        await one.call("hello")
        assert await code_of(one.call("authenticate", "sara", proof)) == failed
        assert await code_of(one.call("show")) == errors.OperatorError.NOT_AUTHENTICATED
        assert len(one.refused) == 3


async def test_change_is_accepted_shown_and_logged_with_its_operator():
    """Guards against changes that nobody can attribute."""
    async with served() as one:
        outcome = await one.call("apply", add_group("op"))
        assert outcome.accepted.version == 1
        shown = await one.call("show")
        assert (shown.version, list(documents.parse(shown.json).unwrap().groups)) == (1, ["g"])
        assert [operator for operator, _ in one.changes] == ["sara"]


async def test_dry_run_changes_nothing():
    """Guards against a trial that takes effect, or that hides why it would be refused."""
    async with served() as one:
        outcome = await one.call("apply", add_group("op", dry_run=True))
        assert [found.field for found in outcome.accepted.differences] == ["groups.g"]
        outcome = await one.call("apply", add_group("op", dry_run=True, expected_version=4))
        assert (outcome.conflict.mine, outcome.conflict.current) == (4, 0)
        assert not one.store.objects and not one.changes


async def test_malformed_edits_are_rejected_with_all_problems():
    """Guards against an internal error in place of the fields to be corrected."""
    edits = [
        ttypes.Edit(ttypes.EditKind.ADD_GROUP, "g", '{"name": "g"}'),
        ttypes.Edit(99, "x"),
        ttypes.Edit(ttypes.EditKind.REMOVE_GROUP, "g", GROUP),
    ]
    async with served() as one:
        change = ttypes.Change("op", edits=edits, dry_run=False)
        outcome = await one.call("apply", change)
        found = [problem.field for problem in outcome.rejected.problems]
        assert found == ["groups.g.members", "edit.kind", "edit.declaration"]


async def test_diff_of_a_refused_document_names_the_problems():
    """Guards against comparing with a document that could not be applied."""
    async with served() as one:
        with pytest.raises(ttypes.OperatorFailure, match=r"callers\.x\.secret_sha256"):
            await one.call("diff", '{"callers": [{"name": "x", "groups": []}]}')


async def test_wait_returns_when_no_instance_lags():
    """Guards against "in force" while an instance still uses the older version."""
    async with served() as one:
        one.fleet.lagging_answers = [["b"], ["b"], []]
        in_force = await one.call("wait", 1, 60_000)
        assert (in_force.have, in_force.all, in_force.lagging) == (2, 2, [])
        one.fleet.lagging_answers = [["b"]]
        in_force = await one.call("wait", 1, 0)
        assert (in_force.have, in_force.lagging) == (1, ["b"])


async def test_status_and_report_work_while_the_store_is_down():
    """Guards against operators who see nothing during a store outage."""
    async with served() as one:
        one.store.off = True
        minutes = (burn.MinuteCounts(int(NOW // 60), 10, 9, 10),)
        one.fleet.answers["a"] = instance_report("a", refusals={"QUEUE_FULL": 2}, minutes=minutes)
        status = msgspec.json.decode(await one.call("status"), type=reports.Status)
        assert [found.state for found in status.instances] == ["serving", "unreachable"]
        assert status.refusals == {"QUEUE_FULL": 2}
        report = msgspec.json.decode(await one.call("report", 5, 60), type=burn.BurnReport)
        assert (report.hours, report.answered, report.instances) == (None, 1, 2)
        assert report.burns[0].short.value == 0.9


def group_report(term, rank, primary):
    behind = reports.member_report("b", None, None, primary, None)
    return reports.GroupReport("g", rank, primary, 1.0, term, "1/1", (behind,), 0, 0, 0, "")


async def test_status_prefers_the_newest_view_of_a_group():
    """Guards against showing the primary of an isolated owner."""
    declared = fakes.declarations.Declarations(1, {"g": fakes.group("g")}, {})
    collected = [
        reports.InstanceReply(
            "a", "z", instance_report("a", groups=(group_report(4, 0, "x"),)), 1.0
        ),
        reports.InstanceReply(
            "b", "z", instance_report("b", groups=(group_report(5, 1, "y"),)), 2.0
        ),
    ]
    status = reports.combine_reports("a", declared, collected, 3.0)
    assert (status.groups[0].owner, status.groups[0].age_s) == ("b", 1.0)
    assert status.groups[0].report.primary == "y"


async def test_entries_behind_are_unknown_across_terms():
    """Guards against a number of entries that compares indices of different terms."""
    status = reports.members.MemberStatus(
        "b",
        5,
        positions.Position(4, 9),
        positions.ZERO,
        False,
        0.1,
        2,
        16,
        False,
        0,
        positions.ZERO,
    )
    behind = reports.member_report("b", status, 0.1, "a", positions.Position(5, 12)).behind
    assert behind is None
    behind = reports.member_report("b", status, 0.1, "a", positions.Position(4, 12)).behind
    assert behind == 3


async def test_hourly_summary_is_written_once_and_survives_its_writer():
    """Guards against hours that count twice, and against losing them with an instance."""
    one = Served()
    hour = int(NOW // 3600) * 60
    minutes = tuple(burn.MinuteCounts(hour - 60 + number, 10, 9, 10) for number in range(61))
    one.fleet.answers = {"a": instance_report("a", minutes=minutes)}
    assert await one.history.write() and await one.history.write()
    one.fleet.answers = {}
    hours = await one.history.read()
    assert [(each.minute, each.reads) for each in hours] == [(hour - 60, 600)]
    one.store.off = True
    assert not await one.history.write()
    assert await one.history.read() is None
