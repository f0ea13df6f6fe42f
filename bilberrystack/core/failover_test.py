"""Tests of the decisions about a change of primary."""

import dataclasses

import pytest

from bilberrystack.core import failover
from bilberrystack.core import positions
from bilberrystack.core import quorum_test

P = positions.Position
DOMAINS = {"a": "north", "b": "south", "c": "west"}


def silent_detector(first_beat=0.0, beats=4):
    detector = failover.Detector(first_beat)
    for beat in range(beats):
        detector.heartbeat_sent(first_beat + beat * failover.HEARTBEAT_INTERVAL_S)
    return detector


def test_pause_below_the_detection_time_is_never_suspected():
    """Guards against false failovers by a pause that begins as a heartbeat is sent."""
    detector = silent_detector()
    assert not detector.suspects(failover.DETECTION_TIME_S, 0, False)
    assert detector.suspects(failover.SUSPICION_S, 0, False)


def test_rare_heartbeats_of_a_standby_do_not_add_to_the_silence():
    """Guards against counting the time in which nobody asked the primary."""
    detector = failover.Detector(0.0)
    detector.heartbeat_sent(10.0)
    detector.heartbeat_sent(10.2)
    assert not detector.suspects(10.4, 0, False)


def test_answer_ends_the_silence():
    """Guards against suspecting a primary that answered a statement in the meantime."""
    detector = silent_detector()
    detector.answered(0.4)
    assert not detector.suspects(5.0, 0, False)


def test_higher_ranks_and_heard_primaries_wait_longer():
    """Guards against rivals acting at once, and against a cut of only the owner's own path."""
    detector = silent_detector()
    now = failover.SUSPICION_S
    assert not detector.suspects(now, 1, False)
    assert detector.suspects(now + failover.RANK_DELAY_S, 1, False)
    assert not detector.suspects(now, 0, True)
    assert detector.suspects(3 * now, 0, True)


def test_own_pause_restarts_the_silence():
    """Guards against an owner that wakes up and blames the primary for its own pause."""
    detector = silent_detector()
    detector.tick(0.2)
    detector.tick(10.0)
    assert not detector.suspects(10.1, 0, False)


def test_silence_without_heartbeats_is_no_evidence():
    """Guards against suspecting a primary that was not asked."""
    assert not silent_detector(beats=1).suspects(60.0, 0, False)


def test_highest_position_is_promoted_even_if_it_is_leaving():
    """Guards against losing acknowledged entries for the sake of a preference."""
    attempt = failover.Attempt(5, DOMAINS)
    attempt.answer(True, quorum_test.report("a", 5, P(4, 9)))
    attempt.answer(True, quorum_test.report("b", 5, P(4, 8)))
    assert attempt.candidate(failover.Preference(avoid=frozenset("a"))) == "a"


def test_promised_term_does_not_decide_the_candidate():
    """Guards against promoting a member that promised a newer term but holds an old log."""
    attempt = failover.Attempt(9, DOMAINS)
    attempt.answer(True, quorum_test.report("b", 9, P(2, 30)))
    attempt.answer(True, quorum_test.report("c", 9, P(3, 10)))
    assert attempt.candidate(failover.Preference()) == "c"


@pytest.mark.parametrize(
    ("preference", "expected"),
    [
        (failover.Preference(avoid=frozenset("a"), failure_domain="north"), "b"),
        (failover.Preference(failure_domain="north"), "a"),
        (failover.Preference(failure_domain="north", keep="b"), "b"),
    ],
)
def test_preferences_decide_between_equal_positions(preference, expected):
    """Guards against a planned change that promotes the leaving member again."""
    attempt = failover.Attempt(5, DOMAINS)
    for name in "ab":
        attempt.answer(True, quorum_test.report(name, 5, P(4, 9)))
    assert attempt.candidate(preference) == expected


def test_attempt_is_lost_when_a_majority_is_out_of_reach():
    """Guards against promoting without a majority, and against waiting for ever."""
    attempt = failover.Attempt(5, DOMAINS)
    attempt.answer(True, quorum_test.report("a", 5, P(4, 9)))
    attempt.failed("b")
    assert not attempt.won and not attempt.lost
    attempt.answer(False, quorum_test.report("c", 7, P(4, 9)))
    assert attempt.lost and not attempt.won
    assert attempt.highest_seen == 7


def test_replicas_of_another_term_do_not_speak_for_the_primary():
    """Guards against a deposed primary's replica that delays a needed failover."""
    old = dataclasses.replace(quorum_test.report("b", 3, P(3, 1)), primary_contact_s=0.1)
    assert not failover.heard_by_replicas([old], "a", 4)
    assert failover.heard_by_replicas([old], "a", 3)
