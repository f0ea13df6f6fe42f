"""Tests which answers a connection takes that look like earlier ones."""

import itertools

from bilberrystack.routing import answers
from bilberrystack.routing import statements

IDLE = statements.TransactionState.IDLE


def _reply(*rows):
    return statements.Reply(rows, b"DONE", None, IDLE, None, 0.0, 0.0)


def test_rows_that_an_earlier_result_had_are_taken():
    """Guards against reads that fail since the item has not changed between them."""
    history = answers.AnswerHistory()
    for number in range(3):
        verdict = history.check_success(_reply(b"ROW a"), b"%d" % number, answers.READ, IDLE)
        assert verdict is answers.Verdict.CERTAIN
        reply = _reply(b"ROW c", b"ROW d")
        verdict = history.check_success(reply, b"d%d" % number, answers.READ, IDLE)
        assert verdict is answers.Verdict.CERTAIN


def test_a_result_that_has_grown_is_taken():
    """Guards against a lost connection for each read of rows that were appended to."""
    history = answers.AnswerHistory()
    for number, rows in enumerate(((b"ROW a",), (b"ROW a", b"ROW b"))):
        verdict = history.check_success(_reply(*rows), b"%d" % number, answers.READ, IDLE)
        assert verdict is answers.Verdict.CERTAIN


def test_an_earlier_error_is_no_answer_to_a_preparation():
    """Guards against a second copy for which the member counts as failed."""
    history = answers.AnswerHistory()
    failure = statements.Failure(statements.ErrorCode.BUSY, "BUSY full")
    reply = statements.Reply((), None, failure, IDLE, None, 0.0, 0.0)
    assert history.check_failure(reply, failure, answers.READ, IDLE) is answers.Verdict.CERTAIN
    for expectation in (answers.PREPARATION, answers.ROLLBACK):
        fault = history.check_failure(reply, failure, expectation, IDLE)
        assert fault is answers.Fault.REPEATED
    verdict = history.check_failure(reply, failure, answers.STATUS, IDLE)
    assert verdict is answers.Verdict.CERTAIN


def test_challenges_are_drawn_from_all_sequences():
    """Guards against a challenge that late copies can follow, since it is often the same."""
    drawn = {answers.draw_challenge() for _ in range(2_000)}
    assert drawn == set(itertools.product((True, False), repeat=answers.CHALLENGE_LENGTH))
