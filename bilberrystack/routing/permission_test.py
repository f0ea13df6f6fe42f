"""Guards against the use of a primary beyond the holder's grant."""

from bilberrystack.routing import permission

OLD = permission.Leader("a", 1)
NEW = permission.Leader("b", 2)


def test_an_answer_after_the_grant_is_not_covered():
    """A frozen instance that wakes up finds its grant ended."""
    known = permission.Permission()
    known.grant(OLD, 5.0, (1, 0))
    assert known.valid_at(OLD, 5.0)
    assert not known.valid_at(OLD, 5.1)


def test_a_grant_from_before_a_withdrawal_is_void():
    """A datagram that was overtaken by the withdrawal must not revive the old primary."""
    known = permission.Permission()
    known.grant(OLD, 5.0, (1, 0))
    known.withdraw((1, 1))
    known.grant(OLD, 9.0, (1, 0))
    assert known.changing
    assert not known.valid_at(OLD, 4.0)


def test_a_later_holder_goes_before_an_earlier_one():
    """A holder that lost its lease may still have datagrams under way."""
    known = permission.Permission()
    known.grant(OLD, 5.0, (7, 0))
    known.withdraw((3, 9))
    assert known.valid_at(OLD, 4.0)


def test_a_lower_term_is_never_taken():
    """A grant of an earlier primary that arrives late must not win over a newer term."""
    known = permission.Permission()
    known.grant(NEW, 5.0, (1, 1))
    assert not known.grant(OLD, 9.0, (1, 1))
    assert known.leader == NEW


def test_a_members_own_word_gives_no_permission():
    """A deposed primary that believes that it leads names itself."""
    known = permission.Permission()
    assert known.observe(NEW)
    assert not known.observe(OLD)
    assert not known.valid_at(NEW, 0.0)


def test_a_leader_that_stepped_back_is_not_asked_until_a_newer_term():
    """Statements would be turned away by it one after the other."""
    known = permission.Permission()
    known.grant(OLD, 5.0, (1, 0))
    known.depose(OLD)
    assert known.changing and known.deposed
    assert known.grant(NEW, 6.0, (1, 1))
    assert not known.changing


def test_a_lapsed_change_ends_without_permission():
    """A holder that vanished in the middle of a change must not block the group for good."""
    known = permission.Permission()
    known.grant(OLD, 5.0, (1, 0))
    known.withdraw((1, 1))
    known.lapse()
    assert not known.changing
    assert not known.valid_at(OLD, 0.0)
