"""Tests of operators' calls over loopback sockets."""

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
    """All instances.

    Attributes:
      has_lowest_id: Whether this instance has the lowest id.
      reports: The report of each instance by its id; None if it does not answer.
      lagging_answers: The results of successive calls of lagging_instances.
    """

    def __init__(self):
        self.has_lowest_id = True
        self.reports = {"a": instance_report("a"), "b": None}
        self.lagging_answers = []

    @property
    def instance_count(self):
        return len(self.reports)

    async def lagging_instances(self, _version):
        return self.lagging_answers.pop(0) if self.lagging_answers else []

    async def collect_reports(self, _minutes):
        requested_at = asyncio.get_running_loop().time()
        return [
            reports.InstanceReply(name, "z", report, requested_at)
            for name, report in self.reports.items()
        ]


class Fixture:
    """An instance that serves operators' calls, and a connection to it."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.instance = fakes.Instance(self.store)
        self.fleet = FakeFleet()
        self.changes = []
        self.rejected_peers = []
        self.history = summaries.HourlySummaries(self.store, self.fleet, lambda: NOW)
        self.handler = operators.OperatorHandler(
            instance="a",
            secret=SECRET,
            configuration=self.instance.configuration,
            acceptor=self.instance.acceptor,
            fleet=self.fleet,
            history=self.history,
            wall_time=lambda: NOW,
            on_change=lambda change, outcome: self.changes.append((change.operator, outcome)),
            on_authentication_failure=self.rejected_peers.append,
        )
        self.connection = None

    async def call(self, method, *fields):
        return await self.connection.call(method, *fields)

    async def authenticate(self, secret=SECRET):
        challenge = await self.call("hello")
        proof = operators.operator_proof(secret, challenge.nonce, "sara")
        await self.call("authenticate", "sara", proof)
        return proof


@contextlib.asynccontextmanager
async def served(authenticated=True):
    fixture = Fixture()
    async with rpc.Server(operators.SERVICE, fixture.handler) as server:
        await server.start(HOST, 0)
        with await rpc.connect(operators.SERVICE, HOST, server.port) as connection:
            fixture.connection = connection
            if authenticated:
                await fixture.authenticate()
            yield fixture


def add_group(operation_id, declaration=GROUP, dry_run=False, **fields):
    edit = ttypes.Edit(ttypes.EditKind.ADD_GROUP, "g", declaration)
    return ttypes.Change(operation_id, edits=[edit], dry_run=dry_run, **fields)


async def code_of(call):
    with pytest.raises(ttypes.OperatorFailure) as raised:
        await call
    return raised.value.code


async def test_calls_need_authentication():
    """Guards against changes and reads by unauthenticated clients."""
    async with served(authenticated=False) as fixture:
        calls = [
            fixture.call("apply", add_group("op")),
            fixture.call("show"),
            fixture.call("diff", "{}"),
            fixture.call("wait", 1, 0),
            fixture.call("status"),
            fixture.call("report", 5, 60),
        ]
        codes = [await code_of(call) for call in calls]
        assert codes == [errors.OperatorError.NOT_AUTHENTICATED] * len(calls)
        assert not fixture.store.objects


async def test_wrong_secret_and_replayed_proof_are_rejected():
    """Guards against the replay of an intercepted proof, and repeated attempts with one nonce."""
    failed = errors.OperatorError.AUTHENTICATION_FAILED
    async with served(authenticated=False) as fixture:
        assert await code_of(fixture.authenticate("wrong")) == failed
        proof = await fixture.authenticate()
        assert await code_of(fixture.call("authenticate", "sara", proof)) == failed
        await fixture.call("hello")
        assert await code_of(fixture.call("authenticate", "sara", proof)) == failed
        assert await code_of(fixture.call("show")) == errors.OperatorError.NOT_AUTHENTICATED
        assert len(fixture.rejected_peers) == 3


async def test_change_is_accepted_shown_and_logged_with_its_operator():
    """Guards against changes that can't be attributed to an operator."""
    async with served() as fixture:
        outcome = await fixture.call("apply", add_group("op"))
        assert outcome.accepted.version == 1
        shown = await fixture.call("show")
        assert (shown.version, list(documents.parse(shown.json).unwrap().groups)) == (1, ["g"])
        assert [operator for operator, _ in fixture.changes] == ["sara"]


async def test_dry_run_changes_nothing():
    """Guards against a dry run that takes effect, or that omits why the change is rejected."""
    async with served() as fixture:
        outcome = await fixture.call("apply", add_group("op", dry_run=True))
        assert [difference.field for difference in outcome.accepted.differences] == ["groups.g"]
        outcome = await fixture.call("apply", add_group("op", dry_run=True, expected_version=4))
        assert (outcome.conflict.mine, outcome.conflict.current) == (4, 0)
        assert not fixture.store.objects and not fixture.changes


async def test_malformed_edits_are_rejected_with_all_problems():
    """Guards against an internal error in place of a list of the malformed fields."""
    edits = [
        ttypes.Edit(ttypes.EditKind.ADD_GROUP, "g", '{"name": "g"}'),
        ttypes.Edit(99, "x"),
        ttypes.Edit(ttypes.EditKind.REMOVE_GROUP, "g", GROUP),
    ]
    async with served() as fixture:
        change = ttypes.Change("op", edits=edits, dry_run=False)
        outcome = await fixture.call("apply", change)
        fields = [problem.field for problem in outcome.rejected.problems]
        assert fields == ["groups.g.members", "edit.kind", "edit.declaration"]


async def test_diff_of_an_invalid_document_returns_its_problems():
    """Guards against differences to a document that can't be applied."""
    async with served() as fixture:
        with pytest.raises(ttypes.OperatorFailure, match=r"callers\.x\.secret_sha256"):
            await fixture.call("diff", '{"callers": [{"name": "x", "groups": []}]}')


async def test_wait_returns_when_no_instance_lags():
    """Guards against reporting a version as in force while an instance uses an older one."""
    async with served() as fixture:
        fixture.fleet.lagging_answers = [["b"], ["b"], []]
        in_force = await fixture.call("wait", 1, 60_000)
        assert (in_force.have, in_force.all, in_force.lagging) == (2, 2, [])
        fixture.fleet.lagging_answers = [["b"]]
        in_force = await fixture.call("wait", 1, 0)
        assert (in_force.have, in_force.lagging) == (1, ["b"])


async def test_status_and_report_work_while_the_store_is_down():
    """Guards against a status and report that require the store."""
    async with served() as fixture:
        fixture.store.unavailable = True
        minutes = (burn.MinuteCounts(int(NOW // 60), 10, 9, 10),)
        fixture.fleet.reports["a"] = instance_report(
            "a", refusals={"QUEUE_FULL": 2}, minutes=minutes
        )
        status = msgspec.json.decode(await fixture.call("status"), type=reports.Status)
        assert [instance.state for instance in status.instances] == ["serving", "unreachable"]
        assert status.refusals == {"QUEUE_FULL": 2}
        report = msgspec.json.decode(await fixture.call("report", 5, 60), type=burn.BurnReport)
        assert (report.hours, report.answered, report.instances) == (None, 1, 2)
        assert report.burns[0].short.value == 0.9


def group_report(term, rank, primary):
    behind = reports.member_report("b", None, None, primary, None)
    return reports.GroupReport("g", rank, primary, 1.0, term, "1/1", (behind,), 0, 0, 0, "")


async def test_status_prefers_the_newest_view_of_a_group():
    """Guards against reporting the outdated primary known to an isolated owner."""
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


async def test_lag_in_entries_is_unknown_across_terms():
    """Guards against a lag computed from indices of different terms."""
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
    """Guards against hours that are stored twice, or lost when an instance stops."""
    fixture = Fixture()
    hour = int(NOW // 3600) * 60
    minutes = tuple(burn.MinuteCounts(hour - 60 + offset, 10, 9, 10) for offset in range(61))
    fixture.fleet.reports = {"a": instance_report("a", minutes=minutes)}
    assert await fixture.history.write() and await fixture.history.write()
    fixture.fleet.reports = {}
    hours = await fixture.history.read()
    assert [(sums.minute, sums.reads) for sums in hours] == [(hour - 60, 600)]
    fixture.store.unavailable = True
    assert not await fixture.history.write()
    assert await fixture.history.read() is None
