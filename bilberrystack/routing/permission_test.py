"""Guards against the use of a primary outside a grant of the coordinator."""

from bilberrystack.routing import permission

OLD = permission.Leader("a", 1)
NEW = permission.Leader("b", 2)


def test_an_answer_after_the_end_of_the_grant_is_not_covered():
    """An instance that resumes after a suspension must treat its grant as expired."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (1, 0))
    assert held.valid_at(OLD, 5.0)
    assert not held.valid_at(OLD, 5.1)


def test_a_grant_that_precedes_a_withdrawal_is_ignored():
    """A grant datagram that arrives after the withdrawal must not restore the old primary."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (1, 0))
    held.withdraw((1, 1))
    held.grant(OLD, 9.0, (1, 0))
    assert held.change_in_progress
    assert not held.valid_at(OLD, 4.0)


def test_a_later_coordinator_takes_precedence_over_an_earlier_one():
    """Guards against datagrams in transit from a coordinator that has lost its lease."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (7, 0))
    held.withdraw((3, 9))
    assert held.valid_at(OLD, 4.0)


def test_a_lower_term_is_never_accepted():
    """A delayed grant of an earlier primary must not override a newer term."""
    held = permission.Permission()
    held.grant(NEW, 5.0, (1, 1))
    assert not held.grant(OLD, 9.0, (1, 1))
    assert held.leader == NEW


def test_a_self_reported_role_gives_no_grant():
    """Guards against trust in a replaced primary that still reports itself as the primary."""
    held = permission.Permission()
    assert held.observe(NEW)
    assert not held.observe(OLD)
    assert not held.valid_at(NEW, 0.0)


def test_a_leader_that_stepped_down_is_not_used_until_a_newer_term():
    """The member would reject every statement that only the primary may run."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (1, 0))
    assert held.record_step_down(OLD, 4.0)
    assert not held.record_step_down(OLD, 4.0)
    assert held.change_in_progress and held.stepped_down
    held.grant(OLD, 4.9 + permission.GRANT_DURATION_S, (1, 0))
    assert held.change_in_progress
    assert held.grant(NEW, 6.5, (1, 1))
    assert not held.change_in_progress


def test_a_wrong_step_down_does_not_block_the_group():
    """Guards against a group that is not used again after a report that was an old one."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (1, 0))
    held.record_step_down(OLD, 4.0)
    held.grant(OLD, 5.0 + permission.GRANT_DURATION_S, (1, 0))
    assert not held.change_in_progress
    held.record_step_down(OLD, 6.0)
    held.record_lead(OLD)
    assert not held.change_in_progress


def test_a_conditional_grant_alone_covers_no_answer():
    """Guards against an answer of a primary whose successor may have been promoted just before."""
    held = permission.Permission()
    held.grant(OLD, 1.5, (1, 1))
    held.grant(OLD, 1.9, (1, 1), frozenset("c"))
    assert not held.valid_at(OLD, 0.5)
    assert held.confirming_members(OLD, 1.9) == {"c"}
    assert not held.confirming_members(OLD, 2.0)
    held.grant(OLD, 2.3, (1, 1))
    assert held.valid_at(OLD, 2.3)
    assert not held.confirming_members(OLD, 1.0)


def test_a_late_grant_without_a_condition_does_not_end_a_conditional_one():
    """Guards against a datagram that arrives late, or twice, and removes the condition again."""
    held = permission.Permission()
    held.grant(OLD, 1.5, (1, 1))
    held.grant(OLD, 1.9, (1, 1), frozenset("c"))
    held.grant(OLD, 1.5, (1, 1))
    assert not held.valid_at(OLD, 0.5)
    assert held.confirming_members(OLD, 1.9) == {"c"}
    held.grant(OLD, 1.8, (1, 2))
    assert held.valid_at(OLD, 1.8)


def test_a_withdrawal_ends_a_conditional_grant():
    """Guards against a round that leaves out the member which the coordinator promotes next."""
    held = permission.Permission()
    held.grant(OLD, 1.5, (1, 1), frozenset("c"))
    held.withdraw((1, 2))
    assert not held.confirming_members(OLD, 0.5)
    held.grant(OLD, 1.6, (1, 1), frozenset("c"))
    assert not held.confirming_members(OLD, 0.5)
    held.grant(OLD, 1.7, (1, 2), frozenset("c"))
    assert not held.change_in_progress
    held.observe(NEW)
    assert not held.confirming_members(OLD, 0.5)


def test_an_abandoned_change_ends_without_a_grant():
    """A coordinator that fails during a primary change must not block the group forever."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (1, 0))
    held.withdraw((1, 1))
    held.abandon_change()
    assert not held.change_in_progress
    assert not held.valid_at(OLD, 0.0)


def test_a_withdrawal_tells_that_any_member_may_be_promoted_until_a_grant_follows():
    """A successor did not know of a request that its coordinator had made without a record."""
    held = permission.Permission()
    held.grant(OLD, 5.0, (1, 0))
    members = frozenset({"a", "b", "c"})
    assert not held.possibly_promoted(members)
    held.withdraw((1, 1))
    held.abandon_change()
    assert held.possibly_promoted(members) == members
    held.grant(OLD, 9.0, (1, 1), frozenset({"b"}))
    assert held.possibly_promoted(members) == {"b"}
    held.grant(OLD, 11.0, (1, 1))
    assert not held.possibly_promoted(members)
