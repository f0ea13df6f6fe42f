"""Guards against promotions that are premature, duplicate, of the wrong member, or missing."""

import dataclasses

from bilberrystack.core import positions
from bilberrystack.routing import member_view
from bilberrystack.routing import newest_term
from bilberrystack.routing import pending_promotions
from bilberrystack.routing import permission
from bilberrystack.routing import primary_change
from bilberrystack.routing import running_time

NO_GRANTS = float("-inf")
LEADER_B = permission.Leader("b", 2)


def _view(member, **changes):
    values = {
        "in_store": True,
        "leaving": False,
        "primary": False,
        "term": 1,
        "received_position": positions.Position(1, 10),
        "last_contact_at_s": 0.0,
        "refusing_since_s": None,
    }
    return member_view.MemberView(id=member, **(values | changes))


class _Group:
    """A group of three members whose observed state a test can change."""

    def __init__(self):
        self.change = primary_change.PrimaryChange(0.0)
        self.sync_replicas = 0
        self.views = {
            "a": _view("a", primary=True),
            "b": _view("b"),
            "c": _view("c", received_position=positions.Position(1, 12)),
        }

    def set(self, member, **changes):
        self.views[member] = dataclasses.replace(self.views[member], **changes)

    def step(self, now_s, grants_end_at_s=NO_GRANTS, unresponsive=()):
        for member in self.views.keys() - set(unresponsive):
            view = self.views[member]
            self.set(
                member,
                last_contact_at_s=now_s,
                polled_at_s=now_s,
                polled_position=view.received_position,
                polled_primary=view.primary,
                polled_term=view.term,
            )
        return self.change.step(
            list(self.views.values()), grants_end_at_s, now_s, sync_replicas=self.sync_replicas
        )


def test_keeps_a_healthy_primary():
    """An unnecessary promotion causes an outage and loses commits that the replica lacks."""
    group = _Group()
    assert all(group.step(step * 0.1) is None for step in range(100))
    assert group.change.grantable_primary(9.9) == permission.Leader("a", 1)


def test_promotes_the_most_advanced_replica_if_the_primary_is_unresponsive():
    """The promotion of the other replica would lose the commits that it lacks."""
    group = _Group()
    group.step(0.0)
    assert group.step(primary_change.UNRESPONSIVE_TIMEOUT_S - 0.1, unresponsive="a") is None
    assert isinstance(
        group.step(primary_change.UNRESPONSIVE_TIMEOUT_S, unresponsive="a"), primary_change.Withdraw
    )
    assert group.change.grantable_primary(1.0) is None
    assert group.step(1.0, unresponsive="a") == primary_change.Promote("c")


def test_waits_for_the_end_of_the_last_grant():
    """An instance with a valid grant would acknowledge writes of the replaced primary."""
    group = _Group()
    group.step(0.0)
    group.step(1.0, unresponsive="a")
    assert group.step(1.1, grants_end_at_s=1.5, unresponsive="a") is None
    assert group.step(1.5, grants_end_at_s=1.5, unresponsive="a") is None
    assert group.step(1.6, grants_end_at_s=1.5, unresponsive="a") == primary_change.Promote("c")


def test_fences_a_leaving_primary_and_waits_for_a_replica_to_catch_up():
    """A planned change must not lose acknowledged writes."""
    group = _Group()
    group.step(0.0)
    group.set("a", leaving=True, received_position=positions.Position(1, 13))
    assert isinstance(group.step(0.1), primary_change.Withdraw)
    assert group.step(0.14) == primary_change.Fence("a", 2)
    group.change.record_fenced("a")
    group.set("a", primary=False, term=2)
    assert group.step(0.2) is None
    group.set("c", received_position=positions.Position(1, 13))
    assert group.step(0.25) == primary_change.Promote("c")


def test_limits_the_wait_for_a_replica_to_catch_up():
    """A replica that stops receiving the log must not leave the group without a primary."""
    group = _Group()
    group.step(0.0)
    group.set("a", leaving=True, received_position=positions.Position(1, 99))
    group.step(0.1)
    group.step(0.14)
    group.change.record_fenced("a")
    group.set("a", primary=False, term=2)
    assert group.step(0.2) is None
    assert group.step(0.1 + primary_change.CATCH_UP_TIMEOUT_S) == primary_change.Promote("c")


def test_a_primary_whose_record_arrives_late_is_not_silent():
    """A group's members became known 2 ms before their primary was replaced as silent.

    The coordinator had known the group, without members, for seconds.
    """
    group = _Group()
    unheard = {
        member: dataclasses.replace(view, last_contact_at_s=permission.NEVER_S, term=0)
        for member, view in group.views.items()
    }
    group.views = {}
    for step in range(100):
        assert group.step(step * 0.04) is None
    group.views = unheard
    assert group.step(4.0, unresponsive="abc") is None
    assert group.step(4.04, unresponsive="abc") is None
    limit_s = primary_change.FIRST_CONTACT_TIMEOUT_S
    assert group.step(3.96 + limit_s, unresponsive="abc") is None
    assert group.step(4.04 + limit_s, unresponsive="abc") == primary_change.Withdraw(
        "primary is silent"
    )


def test_a_primary_that_is_known_later_than_the_others_is_not_silent():
    """The silence of a primary began when the first member became known, not the primary."""
    group = _Group()
    group.views = {
        member: dataclasses.replace(view, last_contact_at_s=permission.NEVER_S, term=0)
        for member, view in group.views.items()
    }
    late = group.views.pop("a")
    assert group.step(0.0, unresponsive="abc") is None
    assert group.step(1.0, unresponsive="abc") is None
    group.views["a"] = late
    assert group.step(1.04, unresponsive="abc") is None
    assert group.step(1.9, unresponsive="abc") is None


def _request_promotion(group):
    group.step(0.0)
    group.step(1.0, unresponsive="a")
    assert group.step(1.1, unresponsive="a") == primary_change.Promote("c")


def test_grants_the_new_primary_once_it_reports_its_term():
    """An earlier grant would name a replica; a much later one would extend the outage."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.ACCEPTED, 1.1)
    assert group.step(1.3, unresponsive="a") is None
    assert group.change.grantable_primary(1.3) is None
    group.set("c", primary=True, term=2)
    group.step(1.4, unresponsive="a")
    assert group.change.grantable_primary(1.4) == permission.Leader("c", 2)


def test_a_rejected_member_is_not_requested_again_at_once():
    """The promotion of a member that is not running would be requested repeatedly."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.REJECTED, 1.1)
    assert group.step(1.2, unresponsive="a") == primary_change.Promote("b")


def test_a_request_that_was_not_made_is_repeated():
    """Guards against another candidate after an unsent request: the best candidate is the same."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.NOT_MADE, 1.1)
    assert group.step(1.2, unresponsive="a") == primary_change.Promote("c")


def test_a_request_without_an_answer_delays_the_next_one():
    """Both requests could take effect, the second one while the new primary is in use."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.UNKNOWN, 1.1)
    now_s = 1.1
    while now_s < 1.1 + pending_promotions.PROMOTION_EFFECT_S:
        assert group.step(now_s, unresponsive="a") is None
        assert group.change.grantable_primary(now_s) is None
        now_s += 0.1


def test_a_group_of_replicas_gets_a_primary():
    """A coordinator failed after the old primary had stepped down; no member replaced it."""
    group = _Group()
    group.set("a", primary=False, term=2)
    group.step(0.0)
    assert isinstance(group.step(primary_change.NO_PRIMARY_TIMEOUT_S), primary_change.Withdraw)
    assert group.step(primary_change.NO_PRIMARY_TIMEOUT_S + 0.1) == primary_change.Promote("c")


def test_an_isolated_coordinator_does_not_replace_an_unresponsive_primary():
    """A partitioned coordinator replaced a primary that all other instances could reach."""
    group = _Group()
    group.step(0.0)
    views = list(group.views.values())
    before_s = primary_change.ISOLATED_TIMEOUT_S - 0.1
    assert group.change.step(views, NO_GRANTS, before_s, isolated=True) is None
    assert isinstance(group.change.step(views, NO_GRANTS, before_s), primary_change.Withdraw)


def test_takes_no_action_while_the_previous_coordinator_may_have_an_effect():
    """Guards against actions while grants or requests of the previous coordinator are in effect."""
    group = _Group()
    group.change = primary_change.PrimaryChange(5.0)
    group.set("a", leaving=True)
    assert all(group.step(step * 0.5) is None for step in range(10))
    assert group.change.grantable_primary(4.9) is None


def test_a_primary_whose_record_stays_missing_is_replaced():
    """A member whose record is gone must not receive requests after 7 s, even if it still runs."""
    group = _Group()
    group.step(0.0)
    group.set("a", in_store=False)
    assert group.step(0.1) is None
    assert group.step(primary_change.MISSING_RECORD_TIMEOUT_S) is None
    assert isinstance(
        group.step(primary_change.MISSING_RECORD_TIMEOUT_S + 0.2), primary_change.Withdraw
    )


def test_a_primary_whose_record_returns_is_kept():
    """Records that expired in a store outage return within 2 s of its end: no change is needed."""
    group = _Group()
    group.step(0.0)
    group.set("a", in_store=False)
    group.step(2.0)
    group.set("a", in_store=True)
    group.step(2.2)
    group.set("a", in_store=False)
    assert group.step(2.2 + primary_change.MISSING_RECORD_TIMEOUT_S - 0.1) is None


def test_a_member_without_a_status_report_may_be_the_primary():
    """If replicas answered first, a group with a healthy primary appeared to have none."""
    change = primary_change.PrimaryChange(0.0)
    views = [_view("a", primary=True, term=0), _view("b", last_contact_at_s=100.0)]
    for step in range(7):
        assert change.step(views, NO_GRANTS, 100.0 + step * 0.1) is None


def test_a_member_that_has_not_been_queried_is_not_unresponsive():
    """A new coordinator replaced a healthy primary before it sent its first status query."""
    change = primary_change.PrimaryChange(0.0)
    views = [
        _view(member, primary=member == "a", term=0, last_contact_at_s=float("-inf"))
        for member in "abc"
    ]
    assert change.step(views, NO_GRANTS, 100.0) is None
    assert (
        change.step(views, NO_GRANTS, 100.0 + primary_change.UNRESPONSIVE_TIMEOUT_S - 0.1) is None
    )
    assert (
        change.step(views, NO_GRANTS, 100.0 + primary_change.FIRST_CONTACT_TIMEOUT_S - 0.1) is None
    )
    action = change.step(views, NO_GRANTS, 100.1 + primary_change.FIRST_CONTACT_TIMEOUT_S)
    assert isinstance(action, primary_change.Withdraw)


def test_keeps_a_primary_that_has_not_answered_any_instance_yet():
    """If a whole fleet connects at once, healthy members take seconds to accept all connections."""
    group = _Group()
    group.set("a", term=0, last_contact_at_s=permission.NEVER_S)
    steps = [step * 0.1 for step in range(int(primary_change.FIRST_CONTACT_TIMEOUT_S / 0.1))]
    assert all(group.step(now_s, unresponsive="a") is None for now_s in steps)


def test_replaces_a_primary_that_never_answers():
    """A primary that failed together with all instances must not block its group forever."""
    group = _Group()
    group.set("a", last_contact_at_s=permission.NEVER_S)
    group.step(0.0, unresponsive="a")
    action = group.step(primary_change.FIRST_CONTACT_TIMEOUT_S + 0.1, unresponsive="a")
    assert isinstance(action, primary_change.Withdraw)


def test_a_primary_that_failed_under_the_previous_coordinator_is_replaced_soon():
    """A new coordinator waited 3.5 s for a dead primary that others had reached before."""
    group = _Group()
    group.set("a", term=0, last_contact_at_s=-1.0)
    assert group.step(0.0, unresponsive="a") is None
    group.step(primary_change.UNRESPONSIVE_TIMEOUT_S + 0.05, unresponsive="a")
    action = group.step(
        primary_change.UNRESPONSIVE_TIMEOUT_S + primary_change.NO_PRIMARY_TIMEOUT_S + 0.1,
        unresponsive="a",
    )
    assert isinstance(action, primary_change.Withdraw)


def _takeover_group():
    """Returns a group whose coordinator has just acquired the lease, with the primary leaving."""
    group = _Group()
    group.change = primary_change.PrimaryChange(2.0, leaving_replaceable_at_s=0.5)
    group.set("a", leaving=True)
    return group


def test_a_new_coordinator_replaces_a_leaving_primary_before_it_grants():
    """Waiting until all requests of the previous coordinator had ended left too little of 7 s."""
    group = _takeover_group()
    assert group.step(0.4) is None
    assert isinstance(group.step(0.5), primary_change.Withdraw)
    assert group.step(0.54) == primary_change.Fence("a", 2)
    group.change.record_fenced("a")
    group.set("a", primary=False, term=2)
    assert group.step(0.6) == primary_change.Promote("c")
    group.change.record_reply("c", primary_change.PromotionReply.ACCEPTED, 0.6)
    group.set("c", primary=True, term=2)
    assert group.step(0.9) is None
    assert group.change.phase is primary_change.Phase.STEADY
    assert group.change.grantable_primary(1.9) is None
    assert group.change.grantable_primary(2.0) == permission.Leader("c", 2)


def test_a_late_promotion_of_the_previous_coordinator_is_granted_by_its_own_term_only():
    """A promotion that takes effect after the new one leaves no grant for the replaced primary."""
    group = _takeover_group()
    group.step(0.5)
    group.change.record_fenced("a")
    group.set("a", primary=False, term=2)
    assert group.step(0.6) == primary_change.Promote("c")
    group.change.record_reply("c", primary_change.PromotionReply.ACCEPTED, 0.6)
    group.set("c", primary=True, term=2)
    group.step(0.9)
    group.set("b", primary=True, term=3)
    group.step(1.2)
    assert group.change.grantable_primary(1.2) is None
    group.step(2.0)
    assert group.change.grantable_primary(2.0) == permission.Leader("b", 3)


def test_a_new_coordinator_waits_before_it_replaces_an_unresponsive_primary():
    """The previous coordinator may have replaced it already, and its promotion be under way."""
    group = _Group()
    group.change = primary_change.PrimaryChange(2.0, leaving_replaceable_at_s=0.0)
    assert all(group.step(step * 0.1, unresponsive="a") is None for step in range(20))
    assert isinstance(group.step(2.0, unresponsive="a"), primary_change.Withdraw)


def _silent_candidate(reply):
    """Returns a group whose primary is back, after the member to be promoted became silent."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", reply, 1.1)
    now_s = 1.1
    while now_s < 1.0 + 5.0:
        now_s += 0.05
        assert group.step(now_s, unresponsive="c") is None
        assert group.change.grantable_primary(now_s) is None
    return group, now_s


def test_the_replaced_primary_is_not_granted_after_an_accepted_promotion():
    """Guards against writes at the old primary after the promotion took effect (ONE).

    The promoted member was silent when the promotion took effect, and the old primary was back.
    """
    for reply in (primary_change.PromotionReply.ACCEPTED, primary_change.PromotionReply.UNKNOWN):
        group, now_s = _silent_candidate(reply)
        group.set("c", primary=True, term=2)
        group.step(now_s + 0.05)
        assert group.change.grantable_primary(now_s + 0.05) == permission.Leader("c", 2)


def test_a_promotion_without_effect_returns_the_group_to_its_primary():
    """Guards against a group without grants for good after a request that was never executed."""
    group, now_s = _silent_candidate(primary_change.PromotionReply.UNKNOWN)
    ends_at_s = now_s + pending_promotions.REQUEST_LIFETIME_S
    while now_s < ends_at_s:
        assert group.step(now_s) is None
        assert group.change.grantable_primary(now_s) is None or group.change.condition == {"c"}
        now_s += 0.05
    for step in range(4):
        group.step(now_s + step * 0.05)
    assert group.change.grantable_primary(now_s + 0.15) == permission.Leader("a", 1)
    assert not group.change.condition


def _overdue_request():
    """Returns a group whose primary is back, and whose request for c has had no effect for 3 s."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.UNKNOWN, 1.1)
    for step in range(60):
        assert group.step(1.1 + step * 0.05) is None
    return group, 4.1


def test_a_primary_is_granted_on_condition_while_a_request_is_overdue():
    """Guards against a group that serves no writes for as long as a request may last."""
    group, now_s = _overdue_request()
    assert group.change.grantable_primary(now_s) == permission.Leader("a", 1)
    assert group.change.condition == {"c"}


def test_a_primary_that_fails_while_a_request_is_overdue_is_replaced():
    """Guards against a group without a primary for as long as an unanswered request may last."""
    group, now_s = _overdue_request()
    actions = [group.step(now_s + step * 0.05, unresponsive="a") for step in range(40)]
    assert primary_change.Promote("c") in actions
    group.change.record_reply("c", primary_change.PromotionReply.ACCEPTED, now_s + 2.0)
    group.set("c", primary=True, term=2)
    group.step(now_s + 2.3, unresponsive="a")
    assert group.change.grantable_primary(now_s + 2.3) == permission.Leader("c", 2)
    assert not group.change.condition


def test_a_primary_is_granted_on_condition_while_an_earlier_request_may_promote_another_member():
    """Guards against a late call that is carried out after another change of the primary."""
    group, now_s = _overdue_request()
    group.set("b", received_position=positions.Position(1, 13))
    for step in range(40):
        group.step(now_s + step * 0.05, unresponsive="a")
    assert group.change.phase is primary_change.Phase.CALLING
    group.change.record_reply("b", primary_change.PromotionReply.ACCEPTED, now_s + 2.0)
    group.set("b", primary=True, term=2)
    for step in range(60):
        group.step(now_s + 2.3 + step * 0.05)
        assert group.change.grantable_primary(now_s + 2.3 + step * 0.05) == LEADER_B
        assert group.change.condition == {"c"}
    group.set("a", primary=False, term=2)
    group.set("c", primary=True, term=3)
    group.step(now_s + 6.0)
    assert group.change.grantable_primary(now_s + 6.0) == permission.Leader("c", 3)
    # The request for b may be carried out once more.
    assert group.change.condition == {"b"}
    group.step(now_s + 2.3 + pending_promotions.REPEATABLE_S)
    assert not group.change.condition


def test_a_primary_is_granted_without_condition_while_the_former_one_is_silent():
    """Guards against a group without writes after a primary that fails soon after its promotion."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.ACCEPTED, 1.1)
    group.set("a", primary=False, term=2)
    group.set("c", primary=True, term=2)
    group.step(1.4)
    for step in range(20):
        group.step(4.0 + step * 0.1, unresponsive="c")
    assert group.change.phase is primary_change.Phase.CALLING
    group.change.record_reply("b", primary_change.PromotionReply.ACCEPTED, 6.0)
    group.set("b", primary=True, term=3)
    group.step(6.1, unresponsive="c")
    assert group.change.grantable_primary(6.1) == permission.Leader("b", 3)
    assert (group.change.condition, group.change.promotable) == (set(), {"c"})
    group.set("c", primary=False, term=3)
    group.step(6.2)
    assert group.change.condition == group.change.may_have_ended == {"c"}


def test_a_member_that_a_pending_request_names_does_not_confirm_by_its_end():
    """Guards against writes at a primary whose successor was promoted late and has crashed."""
    group, now_s = _overdue_request()
    assert group.change.condition == {"c"}
    assert not group.change.may_have_ended
    assert group.change.grantable_primary(now_s) is not None


def test_no_second_promotion_is_requested_while_one_may_take_effect():
    """Guards against a member that is promoted while another one is about to lead."""
    group = _Group()
    _request_promotion(group)
    group.change.record_reply("c", primary_change.PromotionReply.ACCEPTED, 1.1)
    for step in range(200):
        now_s = 1.1 + step * 0.05
        assert group.step(now_s, unresponsive=("a", "c")) is None


def test_a_primary_is_not_granted_once_a_member_knows_a_newer_term():
    """Guards against grants of the old primary while the new one itself is unreachable."""
    group = _Group()
    group.step(0.0)
    assert group.change.grantable_primary(0.0) == permission.Leader("a", 1)
    group.set("b", term=2)
    group.step(0.1)
    assert group.change.grantable_primary(0.1) is None


def test_a_member_that_reports_itself_as_a_replica_is_not_granted():
    """Guards against grants, up to the begin of the change, of a primary that has restarted."""
    group = _Group()
    group.step(0.0)
    group.set("a", primary=False)
    assert group.step(0.1) is None
    assert group.change.grantable_primary(0.1) is None
    group.set("a", primary=True)
    group.step(0.2)
    assert group.change.grantable_primary(0.2) == permission.Leader("a", 1)


def test_reports_count_without_a_decision():
    """Guards against grants of a former primary while an order to a replica is in progress."""
    group = _Group()
    group.step(0.0)
    group.set("a", primary=False)
    group.change.observe(list(group.views.values()), 0.1)
    assert group.change.grantable_primary(0.1) is None


def test_a_primary_that_has_reported_no_term_is_not_granted():
    """Guards against grants that rest on a record in the store, which a restart outlives."""
    group = _Group()
    for member in "abc":
        group.set(member, term=0, received_position=None)
    group.step(0.0)
    assert group.change.grantable_primary(0.0) is None


def test_a_primary_that_is_only_silent_is_granted_until_the_change_begins():
    """Guards against grants that end with each short silence, which costs confirmation rounds."""
    group = _Group()
    group.step(0.0)
    before_s = primary_change.UNRESPONSIVE_TIMEOUT_S - 0.1
    assert group.step(before_s, unresponsive="a") is None
    assert group.change.grantable_primary(before_s) == permission.Leader("a", 1)


def test_a_promotion_of_an_earlier_coordinator_withholds_grants():
    """Guards against a coordinator that grants the old primary because it knows of no promotion."""
    group = _Group()
    pending = pending_promotions.PendingPromotions()
    pending.add_earlier("c", 1, 0.0)
    group.change = primary_change.PrimaryChange(0.0, pending=pending)
    for step in range(100):
        assert group.step(step * 0.05, unresponsive="c") is None
        assert group.change.grantable_primary(step * 0.05) is None
    group.set("c", primary=True, term=2)
    group.step(5.0)
    assert group.change.grantable_primary(5.0) == permission.Leader("c", 2)


def test_a_synchronous_group_holds_its_replicas_before_it_reads_their_positions():
    """Guards against commits that are acknowledged after the positions were read (LOST)."""
    group = _Group()
    group.sync_replicas = 1
    group.step(0.0)
    group.step(1.0, unresponsive="a")
    assert group.step(1.1, grants_end_at_s=1.5, unresponsive="a") is None
    assert group.step(1.6, grants_end_at_s=1.5, unresponsive="a") == primary_change.Hold(
        ("b", "c"), 2
    )
    group.change.record_held(1.7)
    group.set("b", received_position=positions.Position(1, 15))
    assert group.step(1.75, unresponsive=("a", "b")) is None
    assert group.step(1.8, unresponsive="a") == primary_change.Promote("b")


def test_a_replica_that_was_held_receives_the_log_again():
    """Guards against a replica that stays held after a coordinator has failed."""
    group = _Group()
    group.set("b", held=True)
    assert group.step(0.0) == primary_change.Resume("b")
    group.set("b", held=False)
    assert group.step(0.1) is None


def test_a_replica_that_stays_held_does_not_keep_the_primary_from_being_replaced():
    """Guards against a group that is occupied with a held replica that is silent or refuses."""
    group = _Group()
    group.set("b", held=True)
    assert group.step(0.0) == primary_change.Resume("b")
    assert group.step(0.5) is None
    assert group.step(1.0) == primary_change.Resume("b")
    assert isinstance(group.step(2.0, unresponsive="a"), primary_change.Withdraw)
    group = _Group()
    group.set("b", held=True, last_contact_at_s=-9.0)
    assert group.step(0.0, unresponsive="b") is None


def test_a_replica_with_an_old_report_is_not_promoted():
    """Guards against a choice by reports from before the primary's last commits (LOST)."""
    group = _Group()
    group.step(0.0)
    group.step(1.0, unresponsive=("a", "c"))
    group.set("c", last_contact_at_s=1.1)
    assert group.step(1.1, unresponsive=("a", "c")) is None
    group.set("c", last_contact_at_s=1.5)
    assert group.step(1.5, unresponsive=("a", "c")) == primary_change.Promote("b")


def _group_that_stalls(counted_until_s):
    """Return a group whose coordinator has run until now, and its running time."""
    group = _Group()
    running = running_time.RunningTime()
    running.count_until(counted_until_s)
    group.change = primary_change.PrimaryChange(0.0, running=running)
    return group, running


def test_a_coordinator_that_stood_still_keeps_a_healthy_primary():
    """It found a primary silent that had answered until it stood still, and replaced it."""
    group, running = _group_that_stalls(1.0)
    group.step(1.0)
    assert group.step(2.4, unresponsive="a") is None
    running.record_stall(1.15, 2.4)
    running.count_until(2.5)
    assert group.step(2.5, unresponsive="a") is None
    group.step(2.51)
    running.count_until(3.2)
    assert group.step(3.2, unresponsive="a") is None


def test_a_dead_primary_is_replaced_in_the_usual_time_after_a_stall():
    """Guards against a coordinator that waits for good after a stall."""
    group, running = _group_that_stalls(1.0)
    group.step(1.0)
    running.record_stall(1.15, 2.4)
    group.step(2.4)
    usual_s = 2.4 + primary_change.UNRESPONSIVE_TIMEOUT_S
    running.count_until(usual_s - 0.01)
    assert group.step(usual_s, unresponsive="a") is None
    running.count_until(usual_s + 0.01)
    action = group.step(usual_s + 0.01, unresponsive="a")
    assert isinstance(action, primary_change.Withdraw)


def test_a_stall_does_not_shorten_the_wait_for_the_replicas_positions():
    """The replica with the newer log was passed over because its answer had not been read."""
    group, running = _group_that_stalls(0.0)
    group.step(0.0)
    running.count_until(1.0)
    assert isinstance(group.step(1.0, unresponsive="a"), primary_change.Withdraw)
    group.set("b", last_contact_at_s=1.05, polled_at_s=1.05)
    group.set("c", polled_at_s=0.9)
    views = list(group.views.values())
    running.count_until(1.1)
    running.record_stall(1.25, 1.7)
    assert group.change.step(views, NO_GRANTS, 1.7) is None
    assert group.step(1.75, unresponsive="a") == primary_change.Promote("c")


def test_a_primary_of_an_older_term_counts_as_none():
    """Guards against grants below a term whose members are unreachable or have restarted empty."""
    group = _Group()
    group.set("a", term=3)
    group.step(0.0)
    group.set("a", primary=False, term=1, received_position=positions.Position(1, 0))
    group.set("b", primary=True, term=2)
    group.set("c", term=2)
    assert group.step(0.1) is None
    assert group.change.grantable_primary(0.1) is None
    assert isinstance(group.step(0.5), primary_change.Withdraw)
    assert group.step(0.6) == primary_change.Fence("b", 4)
    group.change.record_fenced("b")
    group.set("b", primary=False, term=4)
    assert group.step(0.7) == primary_change.Promote("c")
    group.set("c", primary=True, term=5)
    group.step(0.8)
    assert group.change.grantable_primary(0.8) == permission.Leader("c", 5)


def test_the_term_does_not_go_back_after_an_interruption_of_the_lease():
    """Guards against a coordinator that forgets the newest term together with its lease."""
    newest = newest_term.NewestTerm()
    group = _Group()
    group.change = primary_change.PrimaryChange(0.0, newest=newest)
    group.set("b", term=2)
    group.step(0.0)
    group.change = primary_change.PrimaryChange(0.0, newest=newest)
    group.set("b", term=1)
    group.step(0.1)
    assert group.change.grantable_primary(0.1) is None


def _group_with_recorded_primary(term):
    """Return a group of which a new coordinator knows by a record that "x" has led a term."""
    newest = newest_term.NewestTerm()
    newest.record_primary(permission.Leader("x", term))
    group = _Group()
    group.change = primary_change.PrimaryChange(0.0, newest=newest)
    return group


def test_a_new_coordinator_grants_nothing_below_the_recorded_term():
    """Guards against grants of an older primary while the recorded one is unreachable."""
    group = _group_with_recorded_primary(9)
    assert group.step(0.0) is None
    assert group.change.without_primary
    assert group.change.grantable_primary(0.0) is None
    assert isinstance(group.step(0.4), primary_change.Withdraw)
    assert group.step(0.5) == primary_change.Fence("a", 10)


def test_the_recorded_primary_is_granted_when_it_reports_itself():
    """Guards against a needless change after each change of the coordinator."""
    group = _group_with_recorded_primary(9)
    group.set("b", primary=True, term=9)
    group.step(0.0)
    assert group.change.grantable_primary(0.0) == permission.Leader("b", 9)


def _next_term(group):
    return 1 + max(view.term for view in group.views.values())


def test_a_group_that_has_forgotten_the_recorded_term_gets_a_primary_again():
    """Guards against a group without a primary for good: all that knew the term are lost.

    A promotion of members that know term 1 alone leads to term 2. Its primary is fenced above the
    recorded term, so that the next promotion leads to a newer one.
    """
    group = _group_with_recorded_primary(9)
    group.set("a", primary=False)
    now_s = 0.0
    while group.change.grantable_primary(now_s) is None and now_s < 20.0:
        now_s += 0.05
        match group.step(now_s):
            case primary_change.Fence(member, term):
                group.change.record_fenced(member)
                group.set(member, primary=False, term=term)
            case primary_change.Promote(member):
                group.set(member, primary=True, term=_next_term(group))
    assert group.change.grantable_primary(now_s).term > 9
    assert now_s < 8.0


def test_an_older_primary_that_steps_down_does_not_fence_the_newest_one():
    """Guards against commits of a silent primary that are acknowledged while a member is chosen.

    An older primary had stepped down, so that the replicas of a synchronous group were not held.
    """
    group = _Group()
    group.sync_replicas = 1
    group.set("a", term=3)
    group.step(0.0)
    group.set("b", primary=True, term=2)
    group.step(1.0, unresponsive="a")
    assert group.step(1.1, unresponsive="a") == primary_change.Fence("b", 4)
    group.change.record_fenced("b")
    group.set("b", primary=False, term=4)
    assert isinstance(group.step(2.0, unresponsive="a"), primary_change.Hold)


def test_a_primary_whose_position_has_gone_back_counts_as_none():
    """Guards against a process in its place that calls itself the primary of the same term."""
    group = _Group()
    group.set("a", received_position=positions.Position(1, 20))
    group.step(0.0)
    group.set("a", received_position=positions.Position(1, 0))
    group.step(0.1)
    assert group.change.grantable_primary(0.1) is None
    group.step(0.2)
    group.set("a", received_position=positions.Position(1, 30))
    assert isinstance(group.step(0.5), primary_change.Withdraw)
    assert group.change.grantable_primary(0.5) is None
    assert group.step(0.6) == primary_change.Fence("a", 2)


def test_a_single_lower_answer_ends_no_leadership():
    """Guards against a change of the primary for a late copy of an earlier answer."""
    group = _Group()
    group.set("a", received_position=positions.Position(1, 20))
    group.step(0.0)
    group.set("a", received_position=positions.Position(1, 19))
    assert group.step(0.1) is None
    group.set("a", received_position=positions.Position(1, 21))
    assert group.step(0.2) is None
    assert group.change.grantable_primary(0.2) == permission.Leader("a", 1)
    assert group.step(0.6) is None


def _synchronous_group_with_a_lost_log():
    """Return a group of which "b" has restarted without its log and "a" is silent."""
    group = _Group()
    group.sync_replicas = 1
    group.step(0.0)
    group.set("b", received_position=positions.Position(1, 0))
    group.step(0.1)
    group.step(0.2, unresponsive="a")
    assert isinstance(group.step(1.2, unresponsive="a"), primary_change.Withdraw)
    assert isinstance(group.step(1.3, unresponsive="a"), primary_change.Hold)
    group.change.record_held(1.3)
    return group


def test_a_synchronous_group_waits_for_its_primary_if_a_replica_has_lost_its_log():
    """Guards against the loss of a commit that the lost log and the silent primary had (LOST)."""
    group = _synchronous_group_with_a_lost_log()
    for step in range(30):
        assert group.step(1.4 + step * 0.05, unresponsive="a") is None
    assert group.change.phase is not primary_change.Phase.CALLING


def test_a_synchronous_group_promotes_once_the_silent_primary_is_gone():
    """Guards against a group without a primary for good after two losses."""
    group = _synchronous_group_with_a_lost_log()
    group.set("a", in_store=False)
    now_s, promoted = 1.4, None
    while promoted is None and now_s < 60.0:
        now_s += 0.05
        action = group.step(now_s, unresponsive="a")
        if isinstance(action, primary_change.Hold):
            group.change.record_held(now_s)
        if isinstance(action, primary_change.Promote):
            promoted = action.member
    assert promoted == "c"
    assert pending_promotions.MEMBER_GONE_S < now_s < pending_promotions.MEMBER_GONE_S + 6.0


def test_a_primary_without_a_position_has_lost_its_log():
    """Guards against a primary that restarted empty and shows no position at all."""
    group = _Group()
    group.set("a", received_position=positions.Position(1, 20))
    group.step(0.0)
    group.set("a", received_position=None)
    for number in range(1, 20):
        group.step(0.1 * number)
    assert group.change.grantable_primary(2.0) is None
