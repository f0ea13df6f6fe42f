"""Guards against checks that pass whatever happened: each must report its own hand-made history."""

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


def call(sequence, kind, start, end, outcome=ANSWER, **more):
    session = more.pop("session", "s")
    made = history.Call(session, sequence, "n0", "g0", kind, start, start + 3.0, **more)
    made.outcome, made.finished_at, made.outcomes = outcome, end, 1
    made.received_at = start
    return made


def write(sequence, start, end, outcome=ANSWER, kind=Kind.WRITE, **more):
    more.setdefault("item", "i")
    return call(sequence, kind, start, end, outcome, value=f"i={sequence}", **more)


def read(sequence, start, end, value, **more):
    return call(sequence, Kind.READ, start, end, item="i", answer=("i", value), **more)


def entry(index, *values, key=None, cancelled=False):
    writes = tuple((value.partition("=")[0], value) for value in values)
    return history.LogEntry((1, index), key or ("s", index), writes, cancelled)


def record(calls, *entries, **more):
    return history.History(calls=calls, logs={"g0": list(entries)}, ended_at=100.0, **more)


def promises(found):
    return [violation.promise for violation in found]


LOG = (entry(1, "i=1"), entry(2, "i=2"))
GOOD = [write(1, 0, 1), write(2, 2, 3), read(3, 4, 5, "i=2")]


def test_an_ordinary_history_keeps_every_promise():
    assert checker.check(record(GOOD, *LOG)) == []


@pytest.mark.parametrize(
    ("promise", "calls", "entries"),
    [
        ("P1", [write(1, 0, 1), write(2, 2, 3), read(3, 4, 5, "i=1", age=60.0)], LOG),
        (
            "P1",
            [read(3, 0, 1, "i=2", session="r"), read(4, 2, 3, "i=1", session="r")],
            LOG,
        ),
        ("P1", [write(1, 0, 1), write(2, 2, 3), read(1, 4, 5, "i=1", session="r", age=0.5)], LOG),
        ("P2", [write(3, 0, 1)], LOG),
        ("P2", [read(1, 0, 1, "i=9")], LOG),
        ("P5", [write(2, 0, 1, NOT_RUN)], LOG),
        ("P6", [write(1, 0, 1)], (*LOG, entry(3, "i=1"))),
        ("P4", [read(1, 0, 1, "i=1", session="r")], LOG),
        ("P4", [write(1, 0, 4)], LOG),
        ("P4", [write(1, 0, None, None)], LOG),
    ],
)
def test_a_broken_history_is_reported(promise, calls, entries):
    if promise == "P4" and calls[0].kind is Kind.READ:
        calls[0].answer = ("j", "j=1")
    assert promise in promises(checker.check(record(calls, *entries)))


def test_a_read_may_be_as_old_as_its_stated_age():
    calls = [write(1, 0, 1), write(2, 2, 3), read(1, 4, 5, "i=1", session="r", age=1.5)]
    assert checker.check(record(calls, *LOG)) == []


def transaction(commit):
    first = call(1, Kind.STATEMENT, 0, 1, item="i", value="i=1", transaction="t")
    second = call(2, Kind.STATEMENT, 1, 2, item="j", value="j=2", transaction="t")
    return [first, second, call(3, Kind.COMMIT, 2, 3, commit, transaction="t")]


@pytest.mark.parametrize(
    ("promise", "outcome", "entries"),
    [
        ("P3", UNKNOWN, [entry(1, "i=1")]),
        ("P3", UNKNOWN, [entry(1, "i=1"), entry(2, "j=2")]),
        ("P3", ANSWER, [entry(1, "i=1", "j=2", "k=9")]),
        ("P2", ANSWER, []),
        ("P5", NOT_RUN, [entry(1, "i=1", "j=2")]),
    ],
)
def test_a_broken_transaction_is_reported(promise, outcome, entries):
    assert promise in promises(checker.check(record(transaction(outcome), *entries)))


def test_a_transaction_in_one_entry_keeps_every_promise():
    assert checker.check(record(transaction(ANSWER), entry(1, "i=1", "j=2"))) == []


def test_work_at_a_leaving_endpoint_is_reported_after_the_grace():
    work = [history.Work(4.9, "e", "read", True), history.Work(9.0, "e", "commit", False)]
    leaving = [history.Leaving(0.0, "e")]
    assert checker.check(record([], work=work, leaving_endpoints=leaving)) == []
    work.append(history.Work(5.1, "e", "read", True))
    found = checker.check(record([], work=work, leaving_endpoints=leaving))
    assert promises(found) == ["P7"]


@pytest.mark.parametrize("outcome", [UNKNOWN, NOT_RUN, ABORTED])
def test_a_request_cut_off_by_a_stop_is_reported(outcome):
    stops = [history.Leaving(0.5, "n0")]
    assert checker.check(record([write(1, 0, 1)], *LOG, stops=stops)) == []
    found = checker.check(record([write(9, 0, 1, outcome)], *LOG, stops=stops))
    assert promises(found) == ["P8"]


def test_a_stop_is_not_blamed_for_the_effects_of_another_fault():
    stops = [history.Leaving(0.5, "n0")]
    for outcome, promises_broken in ((ABORTED, []), (UNKNOWN, []), (NOT_RUN, ["P8"])):
        calls = [write(9, 0, 1, outcome)]
        found = checker.check(record(calls, *LOG, stops=stops, faults=["m0"]))
        assert promises(found) == promises_broken


def test_a_version_that_goes_back_or_comes_late_is_reported():
    accepted = [history.Accepted(1.0, 2)]
    applied = [history.Applied(0.0, "n0", 1), history.Applied(5.9, "n0", 2)]
    assert checker.check(record([], accepted=accepted, applied=applied)) == []
    applied.append(history.Applied(7.0, "n0", 1))
    assert promises(checker.check(record([], accepted=accepted, applied=applied))) == ["P9"]
    late = [history.Applied(0.0, "n0", 1), history.Applied(6.1, "n0", 2)]
    assert promises(checker.check(record([], accepted=accepted, applied=late))) == ["P9"]
    absences = [history.Absence("n0", 2.0, 6.0)]
    assert checker.check(record([], accepted=accepted, applied=late, absences=absences)) == []


def test_an_answer_under_a_version_that_was_replaced_long_ago_is_reported():
    late, early = write(1, 8, 9), write(2, 2, 3)
    for one in (late, early):
        one.answered_under = ("n0", 1)
    accepted = [history.Accepted(1.0, 2)]
    assert promises(checker.check(record([early], *LOG, accepted=accepted))) == []
    assert promises(checker.check(record([late], *LOG, accepted=accepted))) == ["P9"]
