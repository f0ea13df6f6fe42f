"""Guards against checks that never fail: each check must report a history that violates it."""

import pytest

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from faults import checker
from faults import history

ANSWER = outcomes.Answer(b"", positions.ZERO, "m0", False)
NOT_RUN = outcomes.NotRun(outcomes.NotRunReason.LEAVING, "")
UNKNOWN = outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, "")

ABORTED = outcomes.NotRun(outcomes.NotRunReason.TRANSACTION_ABORTED, "")

Kind = requests.Kind


def call(sequence, kind, start, end, outcome=ANSWER, **fields):
    session = fields.pop("session", "s")
    new_call = history.Call(session, sequence, "n0", "g0", kind, start, start + 3.0, **fields)
    new_call.outcome, new_call.finished_at, new_call.outcome_count = outcome, end, 1
    new_call.received_at = start
    return new_call


def write(sequence, start, end, outcome=ANSWER, kind=Kind.WRITE, **fields):
    fields.setdefault("item", "i")
    return call(sequence, kind, start, end, outcome, value=f"i={sequence}", **fields)


def read(sequence, start, end, value, **fields):
    return call(sequence, Kind.READ, start, end, item="i", answer=("i", value), **fields)


def entry(index, *values, key=None, cancelled=False):
    writes = tuple((value.partition("=")[0], value) for value in values)
    return history.LogEntry((1, index), key or ("s", index), writes, cancelled)


def record(calls, *entries, **fields):
    return history.History(calls=calls, logs={"g0": list(entries)}, ended_at=100.0, **fields)


def guarantees(violations):
    return [violation.guarantee for violation in violations]


LOG = (entry(1, "i=1"), entry(2, "i=2"))
VALID_CALLS = [write(1, 0, 1), write(2, 2, 3), read(3, 4, 5, "i=2")]


def test_ordinary_history_upholds_every_guarantee():
    assert checker.check(record(VALID_CALLS, *LOG)) == []


@pytest.mark.parametrize(
    ("guarantee", "calls", "entries"),
    [
        ("P1", [write(1, 0, 1), write(2, 2, 3), read(3, 4, 5, "i=1", max_age_s=60.0)], LOG),
        (
            "P1",
            [read(3, 0, 1, "i=2", session="r"), read(4, 2, 3, "i=1", session="r")],
            LOG,
        ),
        (
            "P1",
            [write(1, 0, 1), write(2, 2, 3), read(1, 4, 5, "i=1", session="r", max_age_s=0.5)],
            LOG,
        ),
        ("P2", [write(3, 0, 1)], LOG),
        ("P2", [read(1, 0, 1, "i=9")], LOG),
        ("P5", [write(2, 0, 1, NOT_RUN)], LOG),
        ("P6", [write(1, 0, 1)], (*LOG, entry(3, "i=1"))),
        ("P4", [read(1, 0, 1, "i=1", session="r")], LOG),
        ("P4", [write(1, 0, 4)], LOG),
        ("P4", [write(1, 0, None, None)], LOG),
    ],
)
def test_history_with_a_violation_is_reported(guarantee, calls, entries):
    if guarantee == "P4" and calls[0].kind is Kind.READ:
        calls[0].answer = ("j", "j=1")
    assert guarantee in guarantees(checker.check(record(calls, *entries)))


def test_read_may_return_data_of_its_maximum_age():
    calls = [write(1, 0, 1), write(2, 2, 3), read(1, 4, 5, "i=1", session="r", max_age_s=1.5)]
    assert checker.check(record(calls, *LOG)) == []


def transaction(commit):
    first = call(1, Kind.STATEMENT, 0, 1, item="i", value="i=1", transaction="t")
    second = call(2, Kind.STATEMENT, 1, 2, item="j", value="j=2", transaction="t")
    return [first, second, call(3, Kind.COMMIT, 2, 3, commit, transaction="t")]


@pytest.mark.parametrize(
    ("guarantee", "outcome", "entries"),
    [
        ("P3", UNKNOWN, [entry(1, "i=1")]),
        ("P3", UNKNOWN, [entry(1, "i=1"), entry(2, "j=2")]),
        ("P3", ANSWER, [entry(1, "i=1", "j=2", "k=9")]),
        ("P2", ANSWER, []),
        ("P5", NOT_RUN, [entry(1, "i=1", "j=2")]),
    ],
)
def test_transaction_with_a_violation_is_reported(guarantee, outcome, entries):
    assert guarantee in guarantees(checker.check(record(transaction(outcome), *entries)))


def test_transaction_in_one_entry_upholds_every_guarantee():
    assert checker.check(record(transaction(ANSWER), entry(1, "i=1", "j=2"))) == []


def test_work_at_a_leaving_endpoint_is_reported_after_the_grace_period():
    statements = [
        history.ReceivedStatement(4.9, "e", "read", True),
        history.ReceivedStatement(9.0, "e", "commit", False),
    ]
    departure_notices = [history.DepartureNotice(0.0, "e")]
    assert (
        checker.check(record([], statements=statements, leaving_endpoints=departure_notices)) == []
    )
    statements.append(history.ReceivedStatement(5.1, "e", "read", True))
    violations = checker.check(
        record([], statements=statements, leaving_endpoints=departure_notices)
    )
    assert guarantees(violations) == ["P7"]


@pytest.mark.parametrize("outcome", [UNKNOWN, NOT_RUN, ABORTED])
def test_request_interrupted_by_a_stop_is_reported(outcome):
    stops = [history.DepartureNotice(0.5, "n0")]
    assert checker.check(record([write(1, 0, 1)], *LOG, instance_stops=stops)) == []
    violations = checker.check(record([write(9, 0, 1, outcome)], *LOG, instance_stops=stops))
    assert guarantees(violations) == ["P8"]


def test_effects_of_another_fault_are_not_attributed_to_a_stop():
    stops = [history.DepartureNotice(0.5, "n0")]
    for outcome, violated_guarantees in ((ABORTED, []), (UNKNOWN, []), (NOT_RUN, ["P8"])):
        calls = [write(9, 0, 1, outcome)]
        violations = checker.check(record(calls, *LOG, instance_stops=stops, failures=["m0"]))
        assert guarantees(violations) == violated_guarantees


def test_version_that_decreases_or_is_late_is_reported():
    accepted = [history.AcceptedVersion(1.0, 2)]
    applied = [history.AppliedVersion(0.0, "n0", 1), history.AppliedVersion(5.9, "n0", 2)]
    assert checker.check(record([], accepted_versions=accepted, applied_versions=applied)) == []
    applied.append(history.AppliedVersion(7.0, "n0", 1))
    assert guarantees(
        checker.check(record([], accepted_versions=accepted, applied_versions=applied))
    ) == ["P9"]
    late = [history.AppliedVersion(0.0, "n0", 1), history.AppliedVersion(6.1, "n0", 2)]
    assert guarantees(
        checker.check(record([], accepted_versions=accepted, applied_versions=late))
    ) == ["P9"]
    unavailable_periods = [history.UnavailablePeriod("n0", 2.0, 6.0)]
    assert (
        checker.check(
            record(
                [],
                accepted_versions=accepted,
                applied_versions=late,
                unavailable_periods=unavailable_periods,
            )
        )
        == []
    )


def test_answer_under_a_version_replaced_too_long_ago_is_reported():
    late, early = write(1, 8, 9), write(2, 2, 3)
    for request in (late, early):
        request.answering_version = ("n0", 1)
    accepted = [history.AcceptedVersion(1.0, 2)]
    assert guarantees(checker.check(record([early], *LOG, accepted_versions=accepted))) == []
    assert guarantees(checker.check(record([late], *LOG, accepted_versions=accepted))) == ["P9"]
