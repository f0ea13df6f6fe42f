"""Tests of the choice of owners."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import ownership

C = ownership.Candidate
GROUPS = [f"group-{number}" for number in range(300)]


def fleet(domains=3, each=4):
    return [C(f"i{n}", f"d{n % domains}") for n in range(domains * each)]


def test_owners_are_in_distinct_failure_domains():
    """Guards against losing all owners of a group with one failure domain."""
    for group in GROUPS:
        chosen = ownership.owners(group, fleet())
        assert len({one.failure_domain for one in chosen}) == 3
    two = ownership.owners("g", fleet(domains=2))
    assert len(two) == 3 and len({one.failure_domain for one in two}) == 2
    assert len(ownership.owners("g", fleet()[:2])) == 2


def test_removing_an_instance_moves_only_its_groups():
    """Guards against a change of instances that moves connections of unaffected groups."""
    before = fleet()
    gone = before[5]
    after = [one for one in before if one is not gone]
    for group in GROUPS:
        was = ownership.owners(group, before)
        now = ownership.owners(group, after)
        if gone not in was:
            assert now == was
        else:
            assert set(was) - {gone} <= set(now)


def test_groups_are_spread_over_the_instances():
    """Guards against an instance that owns most groups."""
    first = collections.Counter(ownership.owners(group, fleet())[0] for group in GROUPS)
    assert len(first) == 12
    assert max(first.values()) < 3 * len(GROUPS) / 12


@given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 14), max_size=15), min_size=1, max_size=6
    )
)
def test_table_agrees_with_the_function_after_any_changes(views):
    """Guards against the incremental table keeping owners that hashing would not choose."""
    table = ownership.OwnerTable()
    table.set_groups(GROUPS[:10])
    for view in views:
        candidates = [C(f"i{n}", f"d{n % 4}") for n in sorted(view)]
        table.set_candidates(candidates)
        for group in GROUPS[:10]:
            assert table.of(group) == ownership.owners(group, candidates)


def test_table_follows_the_declared_groups():
    """Guards against owners of groups that are no longer declared."""
    table = ownership.OwnerTable()
    table.set_candidates(fleet())
    table.set_groups(["a", "b"])
    table.set_groups(["b"])
    assert table.of("a") == () and len(table.of("b")) == 3


@pytest.mark.parametrize(
    ("limit", "rank", "share"), [(16, 0, 8), (16, 1, 2), (55, 2, 6), (2, 0, 2)]
)
def test_connection_share(limit, rank, share):
    """Guards against shares whose sum exceeds a member's limit, or that leave no connection."""
    assert ownership.connection_share(limit, rank) == share
