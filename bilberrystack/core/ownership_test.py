"""Tests of the assignment of owners."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import ownership

C = ownership.Candidate
GROUPS = [f"group-{number}" for number in range(300)]


def candidates_in(domains=3, per_domain=4):
    return [C(f"i{number}", f"d{number % domains}") for number in range(domains * per_domain)]


def test_owners_are_in_distinct_failure_domains():
    """Guards against losing all owners of a group when one failure domain fails."""
    for group in GROUPS:
        owners = ownership.owners(group, candidates_in())
        assert len({owner.failure_domain for owner in owners}) == 3
    owners = ownership.owners("g", candidates_in(domains=2))
    assert len(owners) == 3 and len({owner.failure_domain for owner in owners}) == 2
    assert len(ownership.owners("g", candidates_in()[:2])) == 2


def test_removing_an_instance_reassigns_only_its_groups():
    """Guards against a departure that causes reconnections of unaffected groups."""
    before = candidates_in()
    removed = before[5]
    after = [candidate for candidate in before if candidate is not removed]
    for group in GROUPS:
        old_owners = ownership.owners(group, before)
        new_owners = ownership.owners(group, after)
        if removed not in old_owners:
            assert new_owners == old_owners
        else:
            assert set(old_owners) - {removed} <= set(new_owners)


def test_groups_are_distributed_over_the_instances():
    """Guards against an instance that is the first owner of most groups."""
    first_owners = collections.Counter(
        ownership.owners(group, candidates_in())[0] for group in GROUPS
    )
    assert len(first_owners) == 12
    assert max(first_owners.values()) < 3 * len(GROUPS) / 12


@given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 14), max_size=15), min_size=1, max_size=6
    )
)
def test_table_agrees_with_the_function_after_any_changes(views):
    """Guards against incremental updates that give other owners than hashing all instances."""
    table = ownership.OwnerTable()
    table.set_groups(GROUPS[:10])
    for view in views:
        candidates = [C(f"i{number}", f"d{number % 4}") for number in sorted(view)]
        table.set_candidates(candidates)
        for group in GROUPS[:10]:
            assert table.owners_of(group) == ownership.owners(group, candidates)


def test_table_follows_the_declared_groups():
    """Guards against owners of groups that are no longer declared."""
    table = ownership.OwnerTable()
    table.set_candidates(candidates_in())
    table.set_groups(["a", "b"])
    table.set_groups(["b"])
    assert table.owners_of("a") == () and len(table.owners_of("b")) == 3


@pytest.mark.parametrize(
    ("limit", "rank", "share"), [(16, 0, 8), (16, 1, 2), (55, 2, 6), (2, 0, 2)]
)
def test_connection_share(limit, rank, share):
    """Guards against shares whose sum exceeds a member's limit, and against empty shares."""
    assert ownership.connection_share(limit, rank) == share
