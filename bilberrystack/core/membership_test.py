"""Tests of the view of live instances."""

from bilberrystack.core import freshness
from bilberrystack.core import membership

Instance = membership.Instance
LIVE = membership.InstanceState.LIVE
LEAVING = membership.InstanceState.LEAVING
OWN = Instance("own", "d1", "127.0.0.1:1")
B = Instance("b", "d2", "127.0.0.1:2")
C = Instance("c", "d3", "127.0.0.1:3")
D = Instance("d", "d3", "127.0.0.1:4")
ALL = {OWN: LIVE, B: LIVE, C: LIVE, D: LIVE}


def view(listed=ALL):
    made = membership.Membership(OWN, 0.0)
    made.take_list(0.0, listed)
    return made


def test_list_is_followed_and_raises_the_version():
    """Guards against caches that keep owners of an older view."""
    made = view()
    version = made.version
    assert set(made.live) == {"own", "b", "c", "d"}
    made.take_list(1.0, ALL)
    assert made.version == version
    made.take_list(2.0, {OWN: LIVE, B: LIVE})
    assert set(made.live) == {"own", "b"} and made.version > version


def test_broken_link_takes_precedence_over_the_list_until_the_instance_is_heard():
    """Guards against routing to a dead instance that a lagging list still includes."""
    made = view()
    made.link_broken(1.0, "b")
    made.take_list(2.0, ALL)
    assert "b" not in made.live and [one.id for one in made.suspects] == ["b"]
    made.heard(3.0, B, leaving=False)
    assert "b" in made.live and made.suspects == ()


def test_instance_that_is_heard_is_live_without_the_list():
    """Guards against new instances that stay unused until the list includes them."""
    made = view({OWN: LIVE})
    made.heard(1.0, B, leaving=False)
    assert "b" in made.live
    made.expire(1.0 + membership.HEARD_LIMIT_S)
    assert "b" in made.live
    made.expire(1.1 + membership.HEARD_LIMIT_S)
    assert "b" not in made.live


def test_leaving_notice_holds_against_older_messages_but_not_against_a_restart():
    """Guards against a late digest that cancels a leaving notice, and against one kept forever."""
    made = view()
    made.heard(10.0, B, leaving=True)
    made.heard(10.1, B, leaving=False)
    assert "b" not in made.live
    made.heard(11.0 + membership.LEAVING_HOLD_S, B, leaving=False)
    assert "b" in made.live


def test_leaving_state_of_the_list_is_followed_unless_it_concerns_most_instances():
    """Guards against new work on leaving instances, and against a wrong list that stops all."""
    assert "b" not in view({**ALL, B: LEAVING}).live
    assert "b" in view({OWN: LIVE, B: LEAVING, C: LEAVING, D: LEAVING}).live


def test_own_leaving_removes_the_instance_from_its_own_view():
    """Guards against a leaving instance that keeps owning groups."""
    made = view()
    made.leave(1.0)
    assert "own" not in made.live


def test_majority_of_failure_domains():
    """Guards against an isolated instance that believes its configuration to be current."""
    made = view()
    assert made.majority_contact_at(5.0) is None
    made.heard(5.0, C, leaving=False)
    made.heard(6.0, D, leaving=False)
    assert made.majority_contact_at(7.0) == 6.0
    made.expire(100.0)
    assert made.majority_contact_at(100.0) == 6.0


def test_domains_heard_without_a_list_still_count_after_they_fall_silent():
    """Guards against an isolated instance that forgets the others and is its own majority."""
    made = membership.Membership(OWN, 0.0)
    made.heard(1.0, B, leaving=False)
    made.heard(1.0, C, leaving=False)
    made.expire(60.0)
    assert made.majority_contact_at(60.0) == 1.0


def test_freshness_needs_one_recent_contact():
    """Guards against serving under an outdated configuration, and against refusing in an outage."""
    limit = freshness.CONTACT_LIMIT_S
    assert freshness.may_serve(limit, 0.0, None)
    assert freshness.may_serve(limit, None, 0.0)
    assert not freshness.may_serve(limit + 0.1, 0.0, 0.0)
    assert not freshness.may_serve(0.0, None, None)
    assert not freshness.may_accept_changes(limit + 0.1, 0.0)
