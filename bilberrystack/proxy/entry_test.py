"""Tests of the entry role over in-memory owners, on a paused clock."""

import asyncio

import pytest

from bilberrystack.core import errors
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import tokens
from bilberrystack.proxy import entry
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.proxy import interfaces

Kind = fakes.Kind
NotRunReason = fakes.NotRunReason
UnknownReason = outcomes.UnknownReason


class OwnerLink:
    """The link to one owner.

    `failures` lists for each attempt when the link breaks: "unsent" before the request is sent,
    "before" the owner runs it, or "after" that.
    """

    def __init__(self, owner):
        self.owner = owner
        self.failures = []

    async def forward(self, request):
        failure = self.failures.pop(0) if self.failures else None
        if failure == "unsent":
            raise interfaces.LinkLost("refused", sent=False)
        if failure == "before":
            raise interfaces.LinkLost("broken", sent=True)
        outcome = await self.owner.execute(request)
        if failure == "after":
            raise interfaces.LinkLost("broken", sent=True)
        return outcome


class Fixture:
    """An entry role with three owners of one database group."""

    def __init__(self, **document):
        self.configuration = fakes.Configuration(fakes.declared(**document))
        self.database = fakes.Database()
        owners = [fakes.Owner(self.database, f"i{rank}", rank) for rank in range(3)]
        self.owner_links = {owner.instance_id: OwnerLink(owner) for owner in owners}
        self.budget = fakes.Budget()
        self.signer = tokens.Signer([b"key"])
        self.entry = entry.Entry(self.configuration, self, self.signer, self.budget, lambda: 1e9)
        self.token = self.entry.new_token("s", "analyst", complete=True)
        self.sequence = 0

    def owners(self, _group):
        return list(self.owner_links)

    def executor(self, instance_id):
        return self.owner_links.get(instance_id)

    def fail_link(self, rank, *failures):
        self.owner_links[f"i{rank}"].failures = list(failures)

    def seen(self, rank):
        return [request.kind for request in self.owner_links[f"i{rank}"].owner.seen]

    async def reply(self, kind, body=b"x", caller="analyst", timeout_s=1.0, **fields):
        self.sequence += 1
        values = {"tokens": [self.token], "group": "g", "max_age_s": None, **fields}
        request = entry.CallerRequest(
            sequence=self.sequence, kind=kind, body=body, timeout_s=timeout_s, **values
        )
        return await self.entry.execute(caller, request)

    async def run(self, kind, body=b"x", **fields):
        return (await self.reply(kind, body, **fields)).outcome


def check(test, **document):
    async def main():
        await test(Fixture(**document))

    fakes.run_on_paused_clock(main)


@pytest.mark.parametrize("ran", [True, False])
def test_lost_write_is_resolved_and_never_sent_again(ran):
    """Guards against a write that runs twice because its owner stopped before answering."""

    async def test(fixture):
        fixture.fail_link(0, "after" if ran else "before")
        outcome = await fixture.run(Kind.WRITE, b"diary")
        assert fixture.seen(1) == [Kind.RESOLVE]
        assert fixture.database.runs == ([b"diary"] if ran else [])
        if ran:
            assert outcome.body == b"diary" and outcome.duplicate
        else:
            assert outcome.reason is NotRunReason.CANCELLED

    check(test)


def test_lost_write_that_no_owner_can_resolve_is_unknown_by_the_deadline():
    """Guards against a definite outcome without evidence, and against waiting past the deadline."""

    async def test(fixture):
        fixture.fail_link(0, "before", *["unsent"] * 99)
        fixture.fail_link(1, *["unsent"] * 99)
        fixture.owner_links["i2"].owner.refusal_reason = NotRunReason.NO_MAJORITY
        started = asyncio.get_running_loop().time()
        outcome = await fixture.run(Kind.WRITE, timeout_s=2.0)
        assert outcome.reason is UnknownReason.CONNECTION_LOST
        assert 1.5 < asyncio.get_running_loop().time() - started <= 2.0
        assert fixture.database.runs == []

    check(test)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.IDEMPOTENT_WRITE, Kind.RESOLVE, Kind.BEGIN])
def test_repeatable_request_goes_to_the_next_owner(kind):
    """Guards against a request that fails although another owner can serve it."""

    async def test(fixture):
        fixture.fail_link(0, "before")
        outcome = await fixture.run(kind)
        assert isinstance(outcome, outcomes.Answer) or outcome.reason is NotRunReason.CANCELLED
        assert fixture.seen(1) == [kind]
        assert fixture.budget.retries_taken == 1

    check(test)


def test_retries_stop_when_the_budget_is_spent():
    """Guards against retries that multiply the load during a fault."""

    async def test(fixture):
        fixture.budget.allowed = False
        fixture.fail_link(0, "before")
        assert (await fixture.run(Kind.READ)).reason is UnknownReason.CONNECTION_LOST
        assert fixture.seen(1) == []

    check(test)


def test_lost_idempotent_write_is_not_reported_as_not_run_by_a_later_refusal():
    """Guards against "not run" for a write whose first attempt ran."""

    async def test(fixture):
        fixture.fail_link(0, "after")
        fixture.owner_links["i1"].owner.refusal_reason = NotRunReason.QUEUE_FULL
        assert isinstance(await fixture.run(Kind.IDEMPOTENT_WRITE), outcomes.Unknown)

    check(test)


@pytest.mark.parametrize(
    "reason", [NotRunReason.LEAVING, NotRunReason.OWNER_UNREACHABLE, NotRunReason.NO_MAJORITY]
)
def test_write_is_forwarded_to_the_next_owner_if_one_cannot_serve(reason):
    """Guards against failed writes while instances join and leave."""

    async def test(fixture):
        fixture.owner_links["i0"].owner.refusal_reason = reason
        fixture.fail_link(1, "unsent")
        assert (await fixture.run(Kind.WRITE, b"w")).body == b"w"
        assert fixture.seen(2) == [Kind.WRITE] and fixture.database.runs == [b"w"]

    check(test)


@pytest.mark.parametrize(
    "reason",
    [
        NotRunReason.QUEUE_FULL,
        NotRunReason.INVALID_STATEMENT,
        NotRunReason.CANCELLED,
        NotRunReason.NO_PRIMARY,
    ],
)
def test_other_refusals_are_final(reason):
    """Guards against bypassing an owner's admission control through another owner."""

    async def test(fixture):
        fixture.owner_links["i0"].owner.refusal_reason = reason
        assert (await fixture.run(Kind.WRITE)).reason is reason
        assert fixture.seen(1) == []

    check(test)


def test_request_waits_for_an_owner_until_its_deadline():
    """Guards against requests that fail while the instances briefly disagree about the owners."""

    async def test(fixture):
        for rank in range(3):
            fixture.owner_links[f"i{rank}"].owner.refusal_reason = NotRunReason.OWNER_UNREACHABLE
        waiting = asyncio.create_task(fixture.run(Kind.WRITE, b"w"))
        await asyncio.sleep(0.3)
        fixture.owner_links["i2"].owner.refusal_reason = None
        assert (await waiting).body == b"w"
        fixture.owner_links["i2"].owner.refusal_reason = NotRunReason.OWNER_UNREACHABLE
        assert (await fixture.run(Kind.WRITE)).reason is NotRunReason.OWNER_UNREACHABLE

    check(test)


def test_transaction_stays_with_its_owner():
    """Guards against statements of a transaction that reach another owner or connection."""

    async def test(fixture):
        fixture.owner_links["i0"].owner.refusal_reason = NotRunReason.LEAVING
        begun = await fixture.run(Kind.BEGIN)
        fixture.owner_links["i0"].owner.refusal_reason = None
        fixture.fail_link(1, "unsent")
        await fixture.run(Kind.STATEMENT, b"a", transaction=begun.transaction)
        await fixture.run(Kind.STATEMENT, b"b", transaction=begun.transaction)
        committed = await fixture.run(Kind.COMMIT, b"", transaction=begun.transaction)
        assert committed.body == b"a,b"
        assert fixture.seen(1) == [Kind.BEGIN, Kind.STATEMENT, Kind.STATEMENT, Kind.COMMIT]

    check(test)


@pytest.mark.parametrize("ran", [True, False])
def test_lost_commit_is_resolved_through_another_owner(ran):
    """Guards against an unknown outcome or a second commit after the owner stopped."""

    async def test(fixture):
        begun = await fixture.run(Kind.BEGIN)
        await fixture.run(Kind.STATEMENT, b"a", transaction=begun.transaction)
        fixture.fail_link(0, "after" if ran else "before", "unsent")
        outcome = await fixture.run(Kind.COMMIT, b"", transaction=begun.transaction)
        assert fixture.seen(1) == [Kind.RESOLVE]
        assert outcome.body == b"a" if ran else outcome.reason is NotRunReason.CANCELLED

    check(test)


def test_statement_is_neither_repeated_nor_reported_as_not_run_after_its_link_broke():
    """Guards against a statement that runs twice inside its transaction."""

    async def test(fixture):
        begun = await fixture.run(Kind.BEGIN)
        fixture.fail_link(0, "after")
        outcome = await fixture.run(Kind.STATEMENT, b"a", transaction=begun.transaction)
        assert isinstance(outcome, outcomes.Unknown)
        assert fixture.seen(0) == [Kind.BEGIN, Kind.STATEMENT]
        fixture.fail_link(0, *["unsent"] * 9)
        outcome = await fixture.run(Kind.STATEMENT, b"b", transaction=begun.transaction)
        assert outcome.reason is NotRunReason.OWNER_UNREACHABLE

    check(test)


def test_request_carries_watermark_age_and_deadline():
    """Guards against stale reads due to a lost watermark or a wrong maximum age."""

    async def test(fixture):
        seen = fixture.owner_links["i0"].owner.seen
        fixture.token = (await fixture.reply(Kind.WRITE)).token
        await fixture.run(Kind.READ, timeout_s=3.0)
        await fixture.run(Kind.READ, max_age_s=0.0)
        resumed = fixture.entry.new_token("s", "analyst", complete=False)
        await fixture.run(Kind.READ, tokens=[resumed])
        await fixture.run(Kind.READ, tokens=[resumed, fixture.token])
        assert [request.watermark for request in seen] == [
            positions.ZERO,
            positions.Position(1, 1),
            positions.Position(1, 1),
            None,
            positions.Position(1, 1),
        ]
        assert [request.max_age_s for request in seen[1:3]] == [60.0, 0.0]
        assert seen[1].deadline == asyncio.get_running_loop().time() + 3.0

    check(test, default_max_age_ms=60_000)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"group": "other"}, NotRunReason.NOT_PERMITTED),
        ({"caller": "analyst", "kind": Kind.STATEMENT}, NotRunReason.INVALID_REQUEST),
        ({"transaction": "i0/1"}, NotRunReason.INVALID_REQUEST),
        ({"timeout_s": 0.0}, NotRunReason.DEADLINE_BEFORE_SEND),
    ],
)
def test_invalid_request_is_refused_without_being_forwarded(fields, reason):
    """Guards against access without a grant, and against requests that no owner can run."""

    async def test(fixture):
        outcome = await fixture.run(**{"kind": Kind.WRITE, **fields})
        assert outcome.reason is reason
        assert fixture.seen(0) == []

    check(test)


def test_grants_follow_the_configuration():
    """Guards against a caller that keeps or lacks access after a configuration change."""

    async def test(fixture):
        assert (await fixture.run(Kind.READ, group="h")).reason is NotRunReason.NOT_PERMITTED
        fixture.configuration.put(fakes.declared(("g", "h"), version=2))
        assert isinstance(await fixture.run(Kind.READ, group="h"), outcomes.Answer)
        fixture.configuration.put(fakes.declared(("h",), version=3))
        assert (await fixture.run(Kind.READ, group="g")).reason is NotRunReason.NOT_PERMITTED

    check(test)


def test_outdated_configuration_refuses_every_request():
    """Guards against an isolated instance that serves under revoked grants."""

    async def test(fixture):
        fixture.configuration.allowed = False
        assert (await fixture.run(Kind.READ)).reason is NotRunReason.STALE_CONFIGURATION

    check(test)


def test_leaving_entry_finishes_open_transactions_only():
    """Guards against a graceful shutdown that interrupts a transaction or accepts new work."""

    async def test(fixture):
        begun = await fixture.run(Kind.BEGIN)
        fixture.entry.leave()
        for kind in (Kind.READ, Kind.WRITE, Kind.BEGIN):
            assert (await fixture.run(kind)).reason is NotRunReason.LEAVING
        outcome = await fixture.run(Kind.COMMIT, transaction=begun.transaction)
        assert isinstance(outcome, outcomes.Answer)

    check(test)


def test_tokens_are_checked():
    """Guards against forged sessions and against unbounded verification time."""

    async def test(fixture):
        error = errors.CallerError
        other = fixture.entry.new_token("t", "analyst", complete=True)
        for sent, expected in [
            ([], error.TOKEN_MISSING),
            ([fixture.token] * (entry.MAX_TOKENS + 1), error.TOO_MANY_TOKENS),
            ([b"forged"], error.TOKEN_FORGED),
            ([fixture.token, other], error.TOKENS_OF_OTHER_SESSIONS),
        ]:
            assert await fixture.reply(Kind.READ, tokens=sent) is expected
        assert await fixture.reply(Kind.READ, caller="sponsor") is error.TOKEN_OF_OTHER_CALLER
        assert fixture.seen(0) == []

    check(test)
