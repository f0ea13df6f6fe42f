"""Tests of the decisions about a primary change."""

import dataclasses

import pytest

from bilberrystack.core import failover
from bilberrystack.core import positions
from bilberrystack.core import quorum_test

P = positions.Position
DOMAINS = {"a": "north", "b": "south", "c": "west"}


def detector_without_answers(first_sent_at=0.0, heartbeats=4):
    detector = failover.FailureDetector(first_sent_at)
    for number in range(heartbeats):
        detector.record_heartbeat(first_sent_at + number * failover.HEARTBEAT_INTERVAL_S)
    return detector


def test_pause_below_the_detection_time_is_never_suspected():
    """Guards against a false failover when a pause of the primary begins as a heartbeat is sent."""
    detector = detector_without_answers()
    assert not detector.suspects(failover.DETECTION_TIME_S, 0, False)
    assert detector.suspects(failover.SUSPICION_TIMEOUT_S, 0, False)


def test_time_before_the_first_heartbeat_is_not_counted():
    """Guards against counting time in which a standby owner sent no heartbeats to the primary."""
    detector = failover.FailureDetector(0.0)
    detector.record_heartbeat(10.0)
    detector.record_heartbeat(10.2)
    assert not detector.suspects(10.4, 0, False)


def test_answer_clears_the_suspicion():
    """Guards against suspecting a primary that has answered a statement since the heartbeats."""
    detector = detector_without_answers()
    detector.record_answer(0.4)
    assert not detector.suspects(5.0, 0, False)


def test_suspicion_takes_longer_for_higher_ranks_and_recent_replica_contact():
    """Guards against owners that fence at the same time, and against a failover for a fault that
    affects only the path between the owner and the primary.
    """
    detector = detector_without_answers()
    now = failover.SUSPICION_TIMEOUT_S
    assert not detector.suspects(now, 1, False)
    assert detector.suspects(now + failover.RANK_DELAY_S, 1, False)
    assert not detector.suspects(now, 0, True)
    assert detector.suspects(3 * now, 0, True)


def test_pause_of_the_own_process_resets_the_detector():
    """Guards against an owner that suspects the primary after a pause of its own process."""
    detector = detector_without_answers()
    detector.tick(0.2)
    detector.tick(10.0)
    assert not detector.suspects(10.1, 0, False)


def test_single_unanswered_heartbeat_is_not_sufficient():
    """Guards against suspecting a primary to which too few heartbeats were sent."""
    assert not detector_without_answers(heartbeats=1).suspects(60.0, 0, False)


def test_highest_position_is_promoted_even_if_it_is_leaving():
    """Guards against a preference that causes the loss of acknowledged entries."""
    fencing_round = failover.FencingRound(5, DOMAINS)
    fencing_round.record_reply(True, quorum_test.report("a", 5, P(4, 9)))
    fencing_round.record_reply(True, quorum_test.report("b", 5, P(4, 8)))
    assert (
        fencing_round.choose_candidate(failover.CandidatePreference(leaving_members=frozenset("a")))
        == "a"
    )


def test_promised_term_does_not_decide_the_candidate():
    """Guards against promoting a member with an older log because it promised a newer term."""
    fencing_round = failover.FencingRound(9, DOMAINS)
    fencing_round.record_reply(True, quorum_test.report("b", 9, P(2, 30)))
    fencing_round.record_reply(True, quorum_test.report("c", 9, P(3, 10)))
    assert fencing_round.choose_candidate(failover.CandidatePreference()) == "c"


@pytest.mark.parametrize(
    ("preference", "expected"),
    [
        (failover.CandidatePreference(leaving_members=frozenset("a"), failure_domain="north"), "b"),
        (failover.CandidatePreference(failure_domain="north"), "a"),
        (failover.CandidatePreference(failure_domain="north", retained_primary="b"), "b"),
    ],
)
def test_preferences_decide_between_equal_positions(preference, expected):
    """Guards against a planned primary change that promotes the leaving member again."""
    fencing_round = failover.FencingRound(5, DOMAINS)
    for name in "ab":
        fencing_round.record_reply(True, quorum_test.report(name, 5, P(4, 9)))
    assert fencing_round.choose_candidate(preference) == expected


def test_round_is_lost_when_a_majority_is_unreachable():
    """Guards against a promotion without a majority, and against waiting indefinitely."""
    fencing_round = failover.FencingRound(5, DOMAINS)
    fencing_round.record_reply(True, quorum_test.report("a", 5, P(4, 9)))
    fencing_round.record_no_reply("b")
    assert not fencing_round.won and not fencing_round.majority_unreachable
    fencing_round.record_reply(False, quorum_test.report("c", 7, P(4, 9)))
    assert fencing_round.majority_unreachable and not fencing_round.won
    assert fencing_round.highest_term_seen == 7


def test_contact_of_replicas_of_another_term_does_not_count():
    """Guards against a replica of a deposed primary that delays a necessary failover."""
    outdated = dataclasses.replace(quorum_test.report("b", 3, P(3, 1)), primary_contact_s=0.1)
    assert not failover.has_recent_replica_contact([outdated], "a", 4)
    assert failover.has_recent_replica_contact([outdated], "a", 3)
