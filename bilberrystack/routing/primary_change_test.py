"""Guards against promotions that come too early, twice, to the wrong member, or never."""

import dataclasses

from bilberrystack.core import positions
from bilberrystack.routing import permission
from bilberrystack.routing import primary_change

NO_GRANTS = float("-inf")


def _view(member, **changes):
    values = {
        "present": True,
        "leaving": False,
        "primary": False,
        "term": 1,
        "received": positions.Position(1, 10),
        "contact_at_s": 0.0,
        "refused_at_s": None,
    }
    return primary_change.View(id=member, **(values | changes))


class _Group:
    """Three members whose views a test changes."""

    def __init__(self):
        self.change = primary_change.PrimaryChange(0.0)
        self.views = {
            "a": _view("a", primary=True),
            "b": _view("b"),
            "c": _view("c", received=positions.Position(1, 12)),
        }

    def set(self, member, **changes):
        self.views[member] = dataclasses.replace(self.views[member], **changes)

    def step(self, now_s, grants_end_s=NO_GRANTS, silent=()):
        for member in self.views.keys() - set(silent):
            self.set(member, contact_at_s=now_s)
        return self.change.step(list(self.views.values()), grants_end_s, now_s)


def test_leaves_a_healthy_primary():
    """A promotion without need costs a gap and the replicas' missing commits."""
    group = _Group()
    assert all(group.step(step * 0.1) is None for step in range(100))
    assert group.change.grantable(9.9) == permission.Leader("a", 1)


def test_promotes_the_replica_with_the_most_when_the_primary_is_silent():
    """The other replica's missing commits would be lost."""
    group = _Group()
    group.step(0.0)
    assert group.step(primary_change.SILENCE_S - 0.1, silent="a") is None
    assert isinstance(group.step(primary_change.SILENCE_S, silent="a"), primary_change.Withdraw)
    assert group.change.grantable(1.0) is None
    assert group.step(1.0, silent="a") == primary_change.Promote("c")


def test_waits_for_the_last_grant():
    """An instance with a grant would acknowledge writes of the replaced primary."""
    group = _Group()
    group.step(0.0)
    group.step(1.0, silent="a")
    assert group.step(1.1, grants_end_s=1.5, silent="a") is None
    assert group.step(1.5, grants_end_s=1.5, silent="a") is None
    assert group.step(1.6, grants_end_s=1.5, silent="a") == primary_change.Promote("c")


def test_fences_a_leaving_primary_and_waits_for_its_log():
    """A planned change must lose no acknowledged write."""
    group = _Group()
    group.step(0.0)
    group.set("a", leaving=True, received=positions.Position(1, 13))
    assert isinstance(group.step(0.1), primary_change.Withdraw)
    assert group.step(0.14) == primary_change.Fence("a", 2)
    group.change.fenced()
    group.set("a", primary=False, term=2)
    assert group.step(0.2) is None
    group.set("c", received=positions.Position(1, 13))
    assert group.step(0.25) == primary_change.Promote("c")


def test_does_not_wait_for_ever_for_a_log():
    """A replica that receives nothing must not keep the group without a primary."""
    group = _Group()
    group.step(0.0)
    group.set("a", leaving=True, received=positions.Position(1, 99))
    group.step(0.1)
    group.step(0.14)
    group.change.fenced()
    group.set("a", primary=False, term=2)
    assert group.step(0.2) is None
    assert group.step(0.1 + primary_change.CATCH_UP_S) == primary_change.Promote("c")


def _called(group):
    group.step(0.0)
    group.step(1.0, silent="a")
    assert group.step(1.1, silent="a") == primary_change.Promote("c")


def test_grants_the_new_primary_once_its_term_shows():
    """A grant before the effect would name a replica, one much later lengthens the gap."""
    group = _Group()
    _called(group)
    group.change.answered("c", primary_change.Answer.ACCEPTED, 1.1)
    assert group.step(1.3, silent="a") is None
    assert group.change.grantable(1.3) is None
    group.set("c", primary=True, term=2)
    group.step(1.4, silent="a")
    assert group.change.grantable(1.4) == permission.Leader("c", 2)


def test_a_refused_member_is_not_named_again_at_once():
    """A member that isn't running would be named again and again."""
    group = _Group()
    _called(group)
    group.change.answered("c", primary_change.Answer.REJECTED, 1.1)
    assert group.step(1.2, silent="a") == primary_change.Promote("b")


def test_a_call_that_was_not_made_is_made_again():
    """The platform turned the call away; the best member stays the best."""
    group = _Group()
    _called(group)
    group.change.answered("c", primary_change.Answer.NOT_MADE, 1.1)
    assert group.step(1.2, silent="a") == primary_change.Promote("c")


def test_an_unanswered_call_has_its_time_before_another_one():
    """Both calls would take effect, the second one at a primary that is in use."""
    group = _Group()
    _called(group)
    group.change.answered("c", primary_change.Answer.UNKNOWN, 1.1)
    now_s = 1.1
    while now_s < 1.1 + primary_change.EFFECT_S:
        assert group.step(now_s, silent="a") is None
        assert group.change.grantable(now_s) is None
        now_s += 0.1


def test_a_group_of_replicas_gets_a_primary():
    """A holder that died after the old primary had stepped back left the group without one."""
    group = _Group()
    group.set("a", primary=False, term=2)
    group.step(0.0)
    assert isinstance(group.step(primary_change.LEADERLESS_S), primary_change.Withdraw)
    assert group.step(primary_change.LEADERLESS_S + 0.1) == primary_change.Promote("c")


def test_a_holder_that_hears_too_few_instances_replaces_nobody_for_silence():
    """A holder that was cut off promoted away from the primary that all others reached."""
    group = _Group()
    group.step(0.0)
    views = list(group.views.values())
    before_s = primary_change.SILENCE_ALONE_S - 0.1
    assert group.change.step(views, NO_GRANTS, before_s, alone=True) is None
    assert isinstance(group.change.step(views, NO_GRANTS, before_s), primary_change.Withdraw)


def test_does_nothing_before_the_former_holder_is_over():
    """Its grants and calls may still have an effect."""
    group = _Group()
    group.change = primary_change.PrimaryChange(5.0)
    group.set("a", leaving=True)
    assert all(group.step(step * 0.5) is None for step in range(10))
    assert group.change.grantable(4.9) is None


def test_an_entry_that_is_gone_for_long_ends_a_primary():
    """After 7 s a member that is gone may get no request, alive or not."""
    group = _Group()
    group.step(0.0)
    group.set("a", present=False)
    assert group.step(0.1) is None
    assert group.step(primary_change.MISSING_S) is None
    assert isinstance(group.step(primary_change.MISSING_S + 0.2), primary_change.Withdraw)


def test_an_entry_that_comes_back_changes_nothing():
    """Entries expire while the store is away and are back within 2 s of its return."""
    group = _Group()
    group.step(0.0)
    group.set("a", present=False)
    group.step(2.0)
    group.set("a", present=True)
    group.step(2.2)
    group.set("a", present=False)
    assert group.step(2.2 + primary_change.MISSING_S - 0.1) is None


def test_a_member_that_has_said_nothing_may_still_lead():
    """Replicas that answered first made a healthy primary look as if it didn't exist."""
    change = primary_change.PrimaryChange(0.0)
    views = [_view("a", primary=True, term=0), _view("b", contact_at_s=100.0)]
    for step in range(7):
        assert change.step(views, NO_GRANTS, 100.0 + step * 0.1) is None


def test_a_member_that_nobody_has_asked_yet_is_not_silent():
    """A new holder replaced a healthy primary before its first question to it."""
    change = primary_change.PrimaryChange(0.0)
    views = [_view(one, primary=one == "a", term=0, contact_at_s=float("-inf")) for one in "abc"]
    assert change.step(views, NO_GRANTS, 100.0) is None
    assert change.step(views, NO_GRANTS, 100.0 + primary_change.SILENCE_S - 0.1) is None
    assert change.step(views, NO_GRANTS, 100.0 + primary_change.SILENCE_UNHEARD_S - 0.1) is None
    found = change.step(views, NO_GRANTS, 100.1 + primary_change.SILENCE_UNHEARD_S)
    assert isinstance(found, primary_change.Withdraw)


def test_leaves_a_primary_that_has_not_answered_anybody_yet():
    """While a whole fleet opens connections, healthy members take seconds to accept them all."""
    group = _Group()
    group.set("a", term=0, contact_at_s=permission.NEVER_S)
    steps = [step * 0.1 for step in range(int(primary_change.SILENCE_UNHEARD_S / 0.1))]
    assert all(group.step(now_s, silent="a") is None for now_s in steps)


def test_replaces_a_primary_that_never_answers():
    """A primary that died together with all instances must not keep its group waiting for good."""
    group = _Group()
    group.set("a", contact_at_s=permission.NEVER_S)
    group.step(0.0, silent="a")
    found = group.step(primary_change.SILENCE_UNHEARD_S + 0.1, silent="a")
    assert isinstance(found, primary_change.Withdraw)


def test_a_primary_that_went_dark_under_the_former_holder_is_replaced_soon():
    """A new holder waited 3.5 s for a dead primary that others had reached before."""
    group = _Group()
    group.set("a", term=0, contact_at_s=-1.0)
    assert group.step(0.0, silent="a") is None
    group.step(primary_change.SILENCE_S + 0.05, silent="a")
    found = group.step(primary_change.SILENCE_S + primary_change.LEADERLESS_S + 0.1, silent="a")
    assert isinstance(found, primary_change.Withdraw)
