"""Tests of the entry role over owners in memory, on a paused clock."""

import asyncio

import pytest

from bilberrystack.core import errors
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import tokens
from bilberrystack.proxy import entry
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.proxy import interfaces

K = fakes.K
R = fakes.R
U = outcomes.UnknownReason


class Way:
    """The way to one owner. `losses` says for each attempt when its link breaks."""

    def __init__(self, owner):
        self.owner = owner
        self.losses = []

    async def forward(self, request):
        loss = self.losses.pop(0) if self.losses else None
        if loss == "unsent":
            raise interfaces.LinkLost("refused", sent=False)
        if loss == "before":
            raise interfaces.LinkLost("broken", sent=True)
        outcome = await self.owner.execute(request)
        if loss == "after":
            raise interfaces.LinkLost("broken", sent=True)
        return outcome


class Fixture:
    """An entry before three owners of one database group."""

    def __init__(self, **document):
        self.configuration = fakes.Configuration(fakes.declared(**document))
        self.database = fakes.Database()
        owners = [fakes.Owner(self.database, f"i{rank}", rank) for rank in range(3)]
        self.ways = {owner.instance_id: Way(owner) for owner in owners}
        self.budget = fakes.Budget()
        self.signer = tokens.Signer([b"key"])
        self.entry = entry.Entry(self.configuration, self, self.signer, self.budget, lambda: 1e9)
        self.token = self.entry.new_token("s", "analyst", complete=True)
        self.sequence = 0

    def owners(self, _group):
        return list(self.ways)

    def executor(self, instance_id):
        return self.ways.get(instance_id)

    def lose(self, rank, *losses):
        self.ways[f"i{rank}"].losses = list(losses)

    def seen(self, rank):
        return [request.kind for request in self.ways[f"i{rank}"].owner.seen]

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

    fakes.paused(main)


@pytest.mark.parametrize("ran", [True, False])
def test_lost_write_is_resolved_and_never_sent_again(ran):
    """Guards against a diary day that is written twice after its owner died."""

    async def test(fixture):
        fixture.lose(0, "after" if ran else "before")
        outcome = await fixture.run(K.WRITE, b"diary")
        assert fixture.seen(1) == [K.RESOLVE]
        assert fixture.database.runs == ([b"diary"] if ran else [])
        if ran:
            assert outcome.body == b"diary" and outcome.duplicate
        else:
            assert outcome.reason is R.CANCELLED

    check(test)


def test_lost_write_that_nobody_can_resolve_is_unknown_by_the_deadline():
    """Guards against a definite answer without evidence, and against waiting past the deadline."""

    async def test(fixture):
        fixture.lose(0, "before", *["unsent"] * 99)
        fixture.lose(1, *["unsent"] * 99)
        fixture.ways["i2"].owner.refuse = R.NO_MAJORITY
        started = asyncio.get_running_loop().time()
        outcome = await fixture.run(K.WRITE, timeout_s=2.0)
        assert outcome.reason is U.CONNECTION_LOST
        assert 1.5 < asyncio.get_running_loop().time() - started <= 2.0
        assert fixture.database.runs == []

    check(test)


@pytest.mark.parametrize("kind", [K.READ, K.IDEMPOTENT_WRITE, K.RESOLVE, K.BEGIN])
def test_repeatable_request_goes_to_the_next_owner(kind):
    """Guards against a read that fails although another owner can serve it."""

    async def test(fixture):
        fixture.lose(0, "before")
        outcome = await fixture.run(kind)
        assert isinstance(outcome, outcomes.Answer) or outcome.reason is R.CANCELLED
        assert fixture.seen(1) == [kind]
        assert fixture.budget.taken == 1

    check(test)


def test_retries_stop_when_the_budget_is_spent():
    """Guards against retries that multiply the load of a fault."""

    async def test(fixture):
        fixture.budget.allowed = False
        fixture.lose(0, "before")
        assert (await fixture.run(K.READ)).reason is U.CONNECTION_LOST
        assert fixture.seen(1) == []

    check(test)


def test_lost_idempotent_write_is_not_reported_as_not_run_by_a_later_refusal():
    """Guards against "not run" for a write whose first attempt ran."""

    async def test(fixture):
        fixture.lose(0, "after")
        fixture.ways["i1"].owner.refuse = R.QUEUE_FULL
        assert isinstance(await fixture.run(K.IDEMPOTENT_WRITE), outcomes.Unknown)

    check(test)


@pytest.mark.parametrize("reason", [R.LEAVING, R.OWNER_UNREACHABLE, R.NO_MAJORITY])
def test_write_moves_on_from_an_owner_that_cannot_serve(reason):
    """Guards against failed writes while instances join and leave."""

    async def test(fixture):
        fixture.ways["i0"].owner.refuse = reason
        fixture.lose(1, "unsent")
        assert (await fixture.run(K.WRITE, b"w")).body == b"w"
        assert fixture.seen(2) == [K.WRITE] and fixture.database.runs == [b"w"]

    check(test)


@pytest.mark.parametrize("reason", [R.QUEUE_FULL, R.INVALID_STATEMENT, R.CANCELLED, R.NO_PRIMARY])
def test_other_refusals_are_final(reason):
    """Guards against evading the owner's admission by way of another owner."""

    async def test(fixture):
        fixture.ways["i0"].owner.refuse = reason
        assert (await fixture.run(K.WRITE)).reason is reason
        assert fixture.seen(1) == []

    check(test)


def test_request_waits_for_an_owner_until_its_deadline():
    """Guards against failing requests in the moment in which all views of the owners differ."""

    async def test(fixture):
        for rank in range(3):
            fixture.ways[f"i{rank}"].owner.refuse = R.OWNER_UNREACHABLE
        waiting = asyncio.create_task(fixture.run(K.WRITE, b"w"))
        await asyncio.sleep(0.3)
        fixture.ways["i2"].owner.refuse = None
        assert (await waiting).body == b"w"
        fixture.ways["i2"].owner.refuse = R.OWNER_UNREACHABLE
        assert (await fixture.run(K.WRITE)).reason is R.OWNER_UNREACHABLE

    check(test)


def test_transaction_stays_with_its_owner():
    """Guards against statements of a transaction that reach another owner or connection."""

    async def test(fixture):
        fixture.ways["i0"].owner.refuse = R.LEAVING
        begun = await fixture.run(K.BEGIN)
        fixture.ways["i0"].owner.refuse = None
        fixture.lose(1, "unsent")
        await fixture.run(K.STATEMENT, b"a", transaction=begun.transaction)
        await fixture.run(K.STATEMENT, b"b", transaction=begun.transaction)
        committed = await fixture.run(K.COMMIT, b"", transaction=begun.transaction)
        assert committed.body == b"a,b"
        assert fixture.seen(1) == [K.BEGIN, K.STATEMENT, K.STATEMENT, K.COMMIT]

    check(test)


@pytest.mark.parametrize("ran", [True, False])
def test_lost_commit_is_resolved_through_another_owner(ran):
    """Guards against an unknown or repeated commit after the owner died."""

    async def test(fixture):
        begun = await fixture.run(K.BEGIN)
        await fixture.run(K.STATEMENT, b"a", transaction=begun.transaction)
        fixture.lose(0, "after" if ran else "before", "unsent")
        outcome = await fixture.run(K.COMMIT, b"", transaction=begun.transaction)
        assert fixture.seen(1) == [K.RESOLVE]
        assert outcome.body == b"a" if ran else outcome.reason is R.CANCELLED

    check(test)


def test_statement_is_neither_repeated_nor_called_not_run_after_its_link_broke():
    """Guards against a statement that runs twice inside its transaction."""

    async def test(fixture):
        begun = await fixture.run(K.BEGIN)
        fixture.lose(0, "after")
        outcome = await fixture.run(K.STATEMENT, b"a", transaction=begun.transaction)
        assert isinstance(outcome, outcomes.Unknown)
        assert fixture.seen(0) == [K.BEGIN, K.STATEMENT]
        fixture.lose(0, *["unsent"] * 9)
        outcome = await fixture.run(K.STATEMENT, b"b", transaction=begun.transaction)
        assert outcome.reason is R.OWNER_UNREACHABLE

    check(test)


def test_request_carries_watermark_age_and_deadline():
    """Guards against stale reads by a lost watermark or a wrong age."""

    async def test(fixture):
        seen = fixture.ways["i0"].owner.seen
        fixture.token = (await fixture.reply(K.WRITE)).token
        await fixture.run(K.READ, timeout_s=3.0)
        await fixture.run(K.READ, max_age_s=0.0)
        resumed = fixture.entry.new_token("s", "analyst", complete=False)
        await fixture.run(K.READ, tokens=[resumed])
        await fixture.run(K.READ, tokens=[resumed, fixture.token])
        assert [one.watermark for one in seen] == [
            positions.ZERO,
            positions.Position(1, 1),
            positions.Position(1, 1),
            None,
            positions.Position(1, 1),
        ]
        assert [one.max_age_s for one in seen[1:3]] == [60.0, 0.0]
        assert seen[1].deadline == asyncio.get_running_loop().time() + 3.0

    check(test, default_max_age_ms=60_000)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"group": "other"}, R.NOT_PERMITTED),
        ({"caller": "analyst", "kind": K.STATEMENT}, R.INVALID_REQUEST),
        ({"transaction": "i0/1"}, R.INVALID_REQUEST),
        ({"timeout_s": 0.0}, R.DEADLINE_BEFORE_SEND),
    ],
)
def test_invalid_request_is_refused_before_any_owner_sees_it(fields, reason):
    """Guards against access without a grant, and against requests that no owner can run."""

    async def test(fixture):
        outcome = await fixture.run(**{"kind": K.WRITE, **fields})
        assert outcome.reason is reason
        assert fixture.seen(0) == []

    check(test)


def test_grants_follow_the_configuration():
    """Guards against a caller that keeps or lacks access after an accepted change."""

    async def test(fixture):
        assert (await fixture.run(K.READ, group="h")).reason is R.NOT_PERMITTED
        fixture.configuration.put(fakes.declared(("g", "h"), version=2))
        assert isinstance(await fixture.run(K.READ, group="h"), outcomes.Answer)
        fixture.configuration.put(fakes.declared(("h",), version=3))
        assert (await fixture.run(K.READ, group="g")).reason is R.NOT_PERMITTED

    check(test)


def test_uncertain_configuration_refuses_every_request():
    """Guards against an isolated instance that serves under revoked grants."""

    async def test(fixture):
        fixture.configuration.allowed = False
        assert (await fixture.run(K.READ)).reason is R.STALE_CONFIGURATION

    check(test)


def test_leaving_entry_finishes_open_transactions_only():
    """Guards against a planned stop that interrupts a transaction or takes new work."""

    async def test(fixture):
        begun = await fixture.run(K.BEGIN)
        fixture.entry.leave()
        for kind in (K.READ, K.WRITE, K.BEGIN):
            assert (await fixture.run(kind)).reason is R.LEAVING
        outcome = await fixture.run(K.COMMIT, transaction=begun.transaction)
        assert isinstance(outcome, outcomes.Answer)

    check(test)


def test_tokens_are_checked():
    """Guards against forged sessions and against unbounded verification work."""

    async def test(fixture):
        error = errors.CallerError
        other = fixture.entry.new_token("t", "analyst", complete=True)
        for sent, expected in [
            ([], error.TOKEN_MISSING),
            ([fixture.token] * (entry.MAX_TOKENS + 1), error.TOO_MANY_TOKENS),
            ([b"forged"], error.TOKEN_FORGED),
            ([fixture.token, other], error.TOKENS_OF_OTHER_SESSIONS),
        ]:
            assert await fixture.reply(K.READ, tokens=sent) is expected
        assert await fixture.reply(K.READ, caller="sponsor") is error.TOKEN_OF_OTHER_CALLER
        assert fixture.seen(0) == []

    check(test)
