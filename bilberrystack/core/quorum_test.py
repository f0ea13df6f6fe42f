"""Tests of the evidence that carries acknowledgements and reads."""

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
    """Guards against acknowledging a write that only the primary holds."""
    group = quorum.Quorum("abc")
    group.accept("a", P(3, 9))
    assert not group.is_durable(P(3, 9))
    group.record(report("b", 3, P(3, 8)))
    assert group.is_durable(P(3, 8))
    assert not group.is_durable(P(3, 9))


def test_entry_of_an_older_term_is_not_confirmed_by_counting():
    """Guards against counting copies that a newer primary replicated before its own entry."""
    group = quorum.Quorum("abc")
    group.record(report("a", 5, P(3, 9)))
    group.record(report("b", 5, P(3, 9)))
    assert not group.is_durable(P(3, 9))


def test_newer_term_confirms_the_older_one_only_up_to_its_end():
    """Guards against releasing a read of a deposed primary's unacknowledged suffix."""
    group = quorum.Quorum("abc")
    group.record(report("b", 4, P(4, 9), P(3, 8)))
    group.record(report("c", 4, P(4, 9), P(3, 8)))
    assert group.is_durable(P(3, 8))
    assert not group.is_durable(P(3, 10))
    assert group.is_lost(P(3, 10))
    assert not group.is_lost(P(3, 8))


def test_confirmed_newer_term_alone_does_not_tell_where_the_older_one_ended():
    """Guards against calling an entry lost that the newer primary's log may hold."""
    group = quorum.Quorum("abc")
    for position in (P(3, 5), P(4, 9)):
        for name in "ab":
            group.accept(name, position)
    assert not group.is_lost(P(3, 8))
    group.record(report("b", 4, P(4, 9), P(3, 7)))
    assert group.is_lost(P(3, 8))
    assert not group.is_lost(P(3, 7))


def test_late_report_does_not_replace_a_newer_one():
    """Guards against a delayed answer that hides a change of primary."""
    group = quorum.Quorum("abc")
    newer = dataclasses.replace(report("a", 4, P(4, 9)), primary=True)
    group.record(newer)
    group.record(dataclasses.replace(report("a", 3, P(3, 8)), primary=False))
    assert group.primary == "a"


@given(
    strategies.lists(strategies.integers(0, 6), min_size=3, max_size=5),
    strategies.integers(0, 6),
)
def test_read_index_covers_every_acknowledged_entry(logs, acknowledged):
    """Guards against a read index below an entry that some majority holds."""
    count = len(logs)
    holders = sum(index >= acknowledged for index in logs)
    if holders < quorum.majority(count):
        return
    for size in range(quorum.majority(count), count + 1):
        for answered in itertools.combinations(logs, size):
            index = quorum.read_index([P(1, one) for one in answered], count)
            assert index >= P(1, acknowledged)


def test_read_index_needs_a_majority():
    """Guards against a read index from a minority, which may miss acknowledged entries."""
    assert quorum.read_index([P(1, 5)], 3) is None


def test_age_uses_the_oldest_round_within_the_age():
    """Guards against serving data older than stated, and against asking for more than needed."""
    group = quorum.Quorum("abc")
    for second in range(10):
        group.observe(float(second), P(1, second))
    assert group.index_for_age(9.5, 3.0) == P(1, 7)
    assert group.index_for_age(9.5, 0.2) is None


def test_thinned_observations_never_answer_too_old():
    """Guards against dropping observations in a way that returns one outside the age."""
    group = quorum.Quorum("abc")
    for tenth in range(2000):
        group.observe(tenth / 10, P(1, tenth))
    for age in (0.5, 5.0, 60.0):
        index = group.index_for_age(200.0, age)
        assert index is not None and index.index / 10 >= 200.0 - age
