"""Tests of the quorum evidence on which acknowledgements and reads are based."""

import dataclasses
import itertools

from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import quorum

P = positions.Position


def report(name, promised, last_log, previous=positions.ZERO):
    return members.MemberStatus(
        member=name,
        promised_term=promised,
        last_log=last_log,
        applied=last_log,
        primary=False,
        primary_contact_s=None,
        slots=2,
        connection_limit=16,
        leaving=False,
        discarded_entries=0,
        previous_term_end=previous,
    )


def test_majority_in_the_entrys_term_confirms():
    """Guards against acknowledging a write that only the primary has stored."""
    evidence = quorum.QuorumEvidence("abc")
    evidence.record_acceptance("a", P(3, 9))
    assert not evidence.is_durable(P(3, 9))
    evidence.record_report(report("b", 3, P(3, 8)))
    assert evidence.is_durable(P(3, 8))
    assert not evidence.is_durable(P(3, 9))


def test_entry_of_an_older_term_is_not_confirmed_by_counting():
    """Guards against counting copies of an older entry that a newer primary replicated before it
    appended an entry of its own term.
    """
    evidence = quorum.QuorumEvidence("abc")
    evidence.record_report(report("a", 5, P(3, 9)))
    evidence.record_report(report("b", 5, P(3, 9)))
    assert not evidence.is_durable(P(3, 9))


def test_newer_term_confirms_the_older_one_only_up_to_its_end():
    """Guards against answering a read from the unacknowledged suffix of a deposed primary."""
    evidence = quorum.QuorumEvidence("abc")
    evidence.record_report(report("b", 4, P(4, 9), P(3, 8)))
    evidence.record_report(report("c", 4, P(4, 9), P(3, 8)))
    assert evidence.is_durable(P(3, 8))
    assert not evidence.is_durable(P(3, 10))
    assert evidence.is_lost(P(3, 10))
    assert not evidence.is_lost(P(3, 8))


def test_confirmed_newer_term_alone_does_not_show_the_end_of_the_older_one():
    """Guards against reporting an entry as lost that the newer primary's log may contain."""
    evidence = quorum.QuorumEvidence("abc")
    for position in (P(3, 5), P(4, 9)):
        for name in "ab":
            evidence.record_acceptance(name, position)
    assert not evidence.is_lost(P(3, 8))
    evidence.record_report(report("b", 4, P(4, 9), P(3, 7)))
    assert evidence.is_lost(P(3, 8))
    assert not evidence.is_lost(P(3, 7))


def test_late_report_does_not_replace_a_newer_one():
    """Guards against a delayed report that hides a primary change."""
    evidence = quorum.QuorumEvidence("abc")
    newer = dataclasses.replace(report("a", 4, P(4, 9)), primary=True)
    evidence.record_report(newer)
    evidence.record_report(dataclasses.replace(report("a", 3, P(3, 8)), primary=False))
    assert evidence.primary == "a"


@given(
    strategies.lists(strategies.integers(0, 6), min_size=3, max_size=5),
    strategies.integers(0, 6),
)
def test_read_index_covers_every_acknowledged_entry(logs, acknowledged):
    """Guards against a read index below an entry that a majority has stored."""
    count = len(logs)
    holders = sum(index >= acknowledged for index in logs)
    if holders < quorum.majority(count):
        return
    for size in range(quorum.majority(count), count + 1):
        for answered in itertools.combinations(logs, size):
            index = quorum.read_index([P(1, log_index) for log_index in answered], count)
            assert index >= P(1, acknowledged)


def test_read_index_needs_a_majority():
    """Guards against a read index from a minority, which may lack acknowledged entries."""
    assert quorum.read_index([P(1, 5)], 3) is None


def test_age_uses_the_oldest_round_within_the_age():
    """Guards against data older than the maximum age, and against too high a position."""
    evidence = quorum.QuorumEvidence("abc")
    for second in range(10):
        evidence.record_read_index(float(second), P(1, second))
    assert evidence.index_for_age(9.5, 3.0) == P(1, 7)
    assert evidence.index_for_age(9.5, 0.2) is None


def test_thinned_observations_never_exceed_the_maximum_age():
    """Guards against an index older than the maximum age after older observations were dropped."""
    evidence = quorum.QuorumEvidence("abc")
    for tenth in range(2000):
        evidence.record_read_index(tenth / 10, P(1, tenth))
    for age in (0.5, 5.0, 60.0):
        index = evidence.index_for_age(200.0, age)
        assert index is not None and index.index / 10 >= 200.0 - age
