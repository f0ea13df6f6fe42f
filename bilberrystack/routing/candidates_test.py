"""Guards against the promotion of a member that lacks acknowledged commits."""

from bilberrystack.core import positions
from bilberrystack.routing import candidates
from bilberrystack.routing import member_view

FIXED_AT_S = 10.0


def _view(member, index, **changes):
    values = {
        "in_store": True,
        "leaving": False,
        "primary": False,
        "term": 1,
        "received_position": positions.Position(1, index),
        "last_contact_at_s": FIXED_AT_S,
        "refusing_since_s": None,
        "polled_at_s": FIXED_AT_S,
        "polled_position": positions.Position(1, index),
    }
    return member_view.MemberView(id=member, **(values | changes))


def _choose(
    *views, sync_replicas=1, fenced=False, old_primary="a", accept_unknown=True, lost="", gone=False
):
    situation = candidates.Situation(
        views,
        old_primary,
        fenced,
        FIXED_AT_S,
        sync_replicas,
        frozenset({"excluded"}),
        frozenset(lost),
        gone,
    )
    chosen = candidates.choose(situation, accept_unknown)
    return None if chosen is None else chosen.id


def _old_primary(**changes):
    return _view("a", 20, primary=True, polled_at_s=0.0, **changes)


def test_a_position_from_before_the_change_does_not_count():
    """Guards against the promotion of a replica that has received nothing since its report."""
    stale = _view("c", 12, polled_at_s=FIXED_AT_S - 2.0)
    assert _choose(_old_primary(), _view("b", 11), stale) is None
    assert _choose(_old_primary(), _view("b", 11), stale, sync_replicas=0) == "b"
    assert (
        _choose(_old_primary(), _view("b", 11), stale, sync_replicas=0, accept_unknown=False)
        is None
    )


def test_a_synchronous_group_waits_for_a_silent_replica():
    """Guards against a promotion while only the silent replica may have the last commit."""
    silent = _view("c", 1, polled_at_s=0.0, last_contact_at_s=0.0)
    assert _choose(_old_primary(), _view("b", 11), silent) is None
    assert _choose(_old_primary(), _view("b", 11), _view("c", 12)) == "c"
    assert _choose(_old_primary(), _view("b", 11), silent, sync_replicas=2) == "b"


def test_a_synchronous_group_does_not_wait_for_a_member_that_is_gone():
    """Guards against a group without writes for good after the loss of two machines."""
    assert _choose(_old_primary(), _view("b", 11)) == "b"


def test_without_a_known_primary_one_more_position_is_required():
    """Guards against a coordinator that counts the unknown primary as a replica."""
    views = [_view("a", 9), _view("b", 11, polled_at_s=0.0), _view("c", 10)]
    assert _choose(*views, old_primary=None) == "c"
    views[0] = _view("a", 9, polled_at_s=0.0)
    assert _choose(*views, old_primary=None) is None


def test_a_replica_with_the_whole_log_of_a_fenced_primary_is_chosen():
    """Guards against a planned change that waits for a third member."""
    fenced = _view("a", 12)
    silent = _view("c", 1, polled_at_s=0.0)
    assert _choose(fenced, _view("b", 12), silent, fenced=True) == "b"
    assert _choose(fenced, _view("b", 11), silent, fenced=True) is None
    assert _choose(fenced, _view("b", 11), _view("c", 10), fenced=True) == "b"


def test_a_member_that_can_not_be_promoted_still_shows_what_is_acknowledged():
    """Guards against the promotion of the second best while the best one is rejected."""
    assert _choose(_old_primary(), _view("b", 11), _view("excluded", 12)) is None
    assert _choose(_old_primary(), _view("b", 11), _view("c", 12, leaving=True)) == "c"
    assert _choose(_old_primary(), _view("b", 12), _view("c", 12, leaving=True)) == "b"


def test_replicas_that_only_others_reach_can_be_chosen():
    """Guards against an asynchronous group without a primary because of one broken link."""
    views = [_view(name, index, polled_at_s=0.0) for name, index in (("b", 11), ("c", 12))]
    assert _choose(_old_primary(), *views, sync_replicas=0) == "c"


def test_a_replica_that_has_lost_its_log_shows_nothing_of_what_it_acknowledged():
    """Guards against the loss of a commit that only it and the silent primary had (LOST)."""
    assert _choose(_old_primary(), _view("b", 5), _view("c", 11), lost="b") is None
    assert _choose(_old_primary(), _view("b", 5), _view("c", 11)) == "c"
    assert _choose(_old_primary(), _view("b", 12), _view("c", 11), lost="b") is None


def test_a_replica_without_entries_shows_nothing_of_what_it_acknowledged():
    """Guards against the same loss when the coordinator has not seen the replica before."""
    assert _choose(_old_primary(), _view("b", 0), _view("c", 11)) is None
    nothing = _view("b", 0, polled_position=None, received_position=None)
    assert _choose(_old_primary(), nothing, _view("c", 11)) is None


def test_a_group_whose_members_have_no_entries_gets_a_primary():
    """Guards against a new group without a primary for good."""
    old = _view("a", 0, primary=True, polled_at_s=0.0)
    assert _choose(old, _view("b", 0), _view("c", 0)) == "c"


def test_a_group_does_not_wait_for_a_primary_that_is_gone():
    """Guards against a group without writes for good after the loss of a log and of a machine."""
    views = [_view("b", 5), _view("c", 11)]
    assert _choose(_old_primary(), *views, lost="b") is None
    assert _choose(_old_primary(in_store=False), *views, lost="b", gone=True) == "c"
    assert _choose(*views, lost="b", gone=True) == "c"


def test_a_group_does_not_wait_for_a_log_that_is_certainly_lost():
    """Guards against a group without a primary although each of its logs is known."""
    old = _view("a", 0)
    assert _choose(old, _view("b", 5), _view("c", 11), lost="ab") == "c"


def test_the_old_primary_is_chosen_if_it_is_back_with_the_only_whole_log():
    """Guards against the loss of its last commit, which the other replica has lost (LOST)."""
    old = _view("a", 20)
    assert _choose(old, _view("b", 5), _view("c", 11), lost="b") == "a"
    assert _choose(old, _view("b", 20), _view("c", 11), lost="b") in ("a", "b")


def test_the_position_of_a_fenced_primary_that_has_lost_its_log_is_not_final():
    """Guards against the promotion of a member that has more than an empty log only (LOST)."""
    fenced = _view("a", 0)
    silent = _view("c", 12, polled_at_s=0.0)
    assert _choose(fenced, _view("b", 11), silent, fenced=True, lost="a") is None
    assert _choose(fenced, _view("b", 11), _view("c", 12), fenced=True, lost="a") == "c"


def test_a_replica_that_has_lost_its_log_can_be_chosen_with_the_final_position():
    """Guards against a planned change that waits for what a replica has received again."""
    fenced = _view("a", 12)
    silent = _view("c", 1, polled_at_s=0.0)
    assert _choose(fenced, _view("b", 12), silent, fenced=True, lost="b") == "b"
