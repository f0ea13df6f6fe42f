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


def view_with_list(listed=ALL):
    view = membership.Membership(OWN, 0.0)
    view.update_platform_list(0.0, listed)
    return view


def test_list_is_applied_and_increases_the_version():
    """Guards against caches that keep the owners of an older view."""
    view = view_with_list()
    version = view.version
    assert set(view.live) == {"own", "b", "c", "d"}
    view.update_platform_list(1.0, ALL)
    assert view.version == version
    view.update_platform_list(2.0, {OWN: LIVE, B: LIVE})
    assert set(view.live) == {"own", "b"} and view.version > version


def test_failed_link_takes_precedence_over_the_list_until_the_next_message():
    """Guards against routing to a failed instance that an outdated list still contains."""
    view = view_with_list()
    view.record_link_failure(1.0, "b")
    view.update_platform_list(2.0, ALL)
    assert "b" not in view.live and [instance.id for instance in view.suspected_instances] == ["b"]
    view.record_message(3.0, B, leaving=False)
    assert "b" in view.live and view.suspected_instances == ()


def test_instance_that_sends_messages_is_live_without_the_list():
    """Guards against new instances that are not used until the list contains them."""
    view = view_with_list({OWN: LIVE})
    view.record_message(1.0, B, leaving=False)
    assert "b" in view.live
    view.remove_expired(1.0 + membership.CONTACT_EXPIRY_S)
    assert "b" in view.live
    view.remove_expired(1.1 + membership.CONTACT_EXPIRY_S)
    assert "b" not in view.live


def test_departure_notice_is_kept_after_older_messages_but_not_after_a_restart():
    """Guards against a delayed digest that cancels a departure notice, and a permanent notice."""
    view = view_with_list()
    view.record_message(10.0, B, leaving=True)
    view.record_message(10.1, B, leaving=False)
    assert "b" not in view.live
    view.record_message(11.0 + membership.DEPARTURE_NOTICE_HOLD_S, B, leaving=False)
    assert "b" in view.live


def test_leaving_state_of_the_list_is_applied_unless_it_concerns_most_instances():
    """Guards against new work on leaving instances, and against an outage by a wrong list."""
    assert "b" not in view_with_list({**ALL, B: LEAVING}).live
    assert "b" in view_with_list({OWN: LIVE, B: LEAVING, C: LEAVING, D: LEAVING}).live


def test_own_leaving_removes_the_instance_from_its_own_view():
    """Guards against a leaving instance that remains an owner of groups."""
    view = view_with_list()
    view.remove_own(1.0)
    assert "own" not in view.live


def test_majority_of_failure_domains():
    """Guards against an isolated instance that considers its configuration current."""
    view = view_with_list()
    assert view.majority_contact_at(5.0) is None
    view.record_message(5.0, C, leaving=False)
    view.record_message(6.0, D, leaving=False)
    assert view.majority_contact_at(7.0) == 6.0
    view.remove_expired(100.0)
    assert view.majority_contact_at(100.0) == 6.0


def test_domains_known_from_messages_still_count_when_they_become_unresponsive():
    """Guards against an isolated instance that forms a majority after it removes the others."""
    view = membership.Membership(OWN, 0.0)
    view.record_message(1.0, B, leaving=False)
    view.record_message(1.0, C, leaving=False)
    view.remove_expired(60.0)
    assert view.majority_contact_at(60.0) == 1.0


def test_freshness_needs_one_recent_contact():
    """Guards against serving an outdated configuration, and against refusing requests while only
    the store or only the peers are unreachable.
    """
    limit = freshness.MAX_CONTACT_AGE_S
    assert freshness.may_serve(limit, 0.0, None)
    assert freshness.may_serve(limit, None, 0.0)
    assert not freshness.may_serve(limit + 0.1, 0.0, 0.0)
    assert not freshness.may_serve(0.0, None, None)
    assert not freshness.may_accept_changes(limit + 0.1, 0.0)
