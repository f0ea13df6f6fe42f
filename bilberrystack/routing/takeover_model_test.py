"""Explores random primary changes with lost and late messages and unresponsive members.

The model runs the production classes `PrimaryChange` and `Permission` for a coordinator and two
instances against a group of three members. It guards against two failures: an answer of a replaced
primary that counts as confirmed, and two outstanding promotions at the same time, unless the first
one got no answer. Mutations disable the safeguards against the first failure one at a time, to
prove that the model detects it.
"""

import dataclasses
import math

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from bilberrystack.core import positions
from bilberrystack.routing import member_view
from bilberrystack.routing import pending_promotions
from bilberrystack.routing import permission
from bilberrystack.routing import primary_change

MEMBERS = ("a", "b", "c")
INSTANCES = (0, 1)
STEP_S = 0.1
PROMOTION_DELAY_S = 0.3

# Time after which the coordinator gives up a promotion request.
ANSWER_TIMEOUT_S = 0.6

# A second copy of a request is carried out once its member has answered for this long: grants that
# were given while it was silent are unconditional, and end within this time.
REPETITION_ANSWERING_S = permission.GRANT_DURATION_S + 2 * STEP_S


@dataclasses.dataclass
class _Member:
    primary: bool
    term: int = 1
    index: int = 10
    alive: bool = True
    alive_since_s: float = 0.0
    last_contact_at_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Promotion:
    """A request that the platform has not carried out yet."""

    due_s: float
    member: str
    answered: bool
    repeated: bool = False


class InvariantViolation(Exception):
    """An invariant does not hold."""


class SimulatedGroup:
    """A simulated group with a coordinator and two instances that receive grants from it."""

    def __init__(
        self,
        *,
        wait_for_grants=True,
        count_changes=True,
        late_effect=False,
        late_calls=False,
        repeated_calls=False,
        keep_requests=True,
        ask_members=True,
    ):
        self.now_s = 0.0
        self.members = {name: _Member(primary=name == "a") for name in MEMBERS}
        self.change = primary_change.PrimaryChange(0.0)
        self.permissions = {instance: permission.Permission() for instance in INSTANCES}
        self.grants_end_at_s = dict.fromkeys(INSTANCES, float("-inf"))
        self.change_count = 0
        self.messages = []
        self.pending_promotions = []
        self.next_delay_s = PROMOTION_DELAY_S
        # Time between a request and its second copy, for the next request.
        self.next_repetition_s = math.inf
        self.has_late_calls = late_calls
        self.has_repeated_calls = repeated_calls
        self._wait_for_grants = wait_for_grants
        self._count_changes = count_changes
        self._late_effect = late_effect
        self._keep_requests = keep_requests
        self._ask_members = ask_members

    def advance_time(self, steps):
        for _ in range(steps):
            self.now_s += STEP_S
            self._complete_promotions()
            self._run_coordinator()

    def _complete_promotions(self):
        due = [
            promotion
            for promotion in self.pending_promotions
            if promotion.due_s <= self.now_s and self._may_complete(promotion)
        ]
        self.pending_promotions = [
            promotion for promotion in self.pending_promotions if promotion not in due
        ]
        for promotion in due:
            promoted = self.members[promotion.member]
            newest = max(member.term for member in self.members.values())
            if promoted.primary and promoted.term == newest:
                continue
            promoted.primary, promoted.term = True, newest + 1
        self._follow_primary()

    def _may_complete(self, promotion):
        member = self.members[promotion.member]
        if promotion.repeated:
            answered_s = self.now_s - member.alive_since_s
            return member.alive and answered_s >= REPETITION_ANSWERING_S
        return member.alive or not self._late_effect

    def set_alive(self, name, alive):
        """Makes a member answer or not answer."""
        member = self.members[name]
        if alive and not member.alive:
            member.alive_since_s = self.now_s
        member.alive = alive

    def _follow_primary(self):
        """Have the replicas that are alive follow the primary of the newest term."""
        terms = [member.term for member in self.members.values() if member.primary and member.alive]
        for member in self.members.values():
            if member.alive and not member.primary:
                member.term = max([member.term, *terms])

    def _views(self):
        for member in self.members.values():
            if member.alive:
                member.last_contact_at_s = self.now_s
        return [
            member_view.MemberView(
                id=name,
                in_store=True,
                leaving=False,
                primary=member.primary,
                term=member.term,
                received_position=positions.Position(1, member.index),
                last_contact_at_s=member.last_contact_at_s,
                refusing_since_s=None,
                polled_at_s=member.last_contact_at_s,
                polled_position=positions.Position(1, member.index),
            )
            for name, member in self.members.items()
        ]

    def _run_coordinator(self):
        end_s = max(self.grants_end_at_s.values()) if self._wait_for_grants else float("-inf")
        if not self._keep_requests and self.change.phase is primary_change.Phase.STEADY:
            for number in list(self.change._pending._requests):
                self.change._pending.remove(number)
        match self.change.step(self._views(), end_s, self.now_s):
            case primary_change.Withdraw():
                self.change_count += 1
                self.messages += [
                    ("withdraw", instance, None, self._change_number()) for instance in INSTANCES
                ]
            case primary_change.Fence(name, term):
                if self.members[name].alive:
                    self.members[name].primary, self.members[name].term = False, term
                    self.change.record_fenced(name)
            case primary_change.Promote(name):
                self._request_promotion(name)

    def _request_promotion(self, name):
        if any(
            promotion.answered and not promotion.repeated for promotion in self.pending_promotions
        ):
            raise InvariantViolation("two promotions are outstanding")
        delay_s, self.next_delay_s = self.next_delay_s, PROMOTION_DELAY_S
        answered = delay_s <= ANSWER_TIMEOUT_S
        self.pending_promotions.append(_Promotion(self.now_s + delay_s, name, answered))
        repetition_s, self.next_repetition_s = self.next_repetition_s, math.inf
        if repetition_s < math.inf:
            due_s = self.now_s + delay_s + repetition_s
            self.pending_promotions.append(_Promotion(due_s, name, answered, repeated=True))
        reply = (
            primary_change.PromotionReply.ACCEPTED
            if answered
            else primary_change.PromotionReply.UNKNOWN
        )
        self.change.record_reply(name, reply, self.now_s)

    def _change_number(self):
        return (1, self.change_count if self._count_changes else 0)

    def request_grant(self, instance):
        """Requests a grant for an instance and puts the answer in transit."""
        leader = self.change.grantable_primary(self.now_s)
        if leader is not None:
            until_s = self.now_s + permission.GRANT_DURATION_S
            self.grants_end_at_s[instance] = until_s
            content = (leader, until_s, self.change.condition)
            self.messages.append(("grant", instance, content, self._change_number()))

    def deliver(self, message_index):
        """Delivers a message in transit; messages may arrive in any order and more than once."""
        kind, instance, content, change_number = self.messages[message_index % len(self.messages)]
        if kind == "grant":
            leader, until_s, condition = content
            self.permissions[instance].grant(leader, until_s, change_number, condition)
            return
        self.permissions[instance].withdraw(change_number)
        if change_number == self._change_number():
            self.grants_end_at_s[instance] = float("-inf")

    def check(self):
        """Checks that no instance has a valid grant while another member leads a newer term."""
        newest = max(
            member.term for member in self.members.values() if member.primary or member.alive
        )
        has_primary = any(
            member.primary and member.term == newest for member in self.members.values()
        )
        for held in self.permissions.values():
            leader = held.leader
            if leader is None or not self._is_trusted(held, leader):
                continue
            if has_primary and leader.term < newest:
                raise InvariantViolation(f"{leader} is trusted in term {newest}")

    def _is_trusted(self, held, leader):
        """Return whether an instance acknowledges an answer of a leader that arrives now."""
        if held.valid_at(leader, self.now_s):
            return True
        condition = held.confirming_members(leader, self.now_s)
        if not self._ask_members:
            return bool(condition)
        asked = [self.members[name] for name in condition]
        return bool(asked) and all(
            member.alive and not member.primary and member.term == leader.term for member in asked
        )


class PrimaryChangeModel(stateful.RuleBasedStateMachine):
    """State machine that generates random histories of the simulated group."""

    make = SimulatedGroup

    def __init__(self):
        super().__init__()
        self.group = type(self).make()

    @stateful.rule(steps=strategies.integers(1, 12))
    def advance_time(self, steps):
        self.group.advance_time(steps)

    @stateful.rule(instance=strategies.sampled_from(INSTANCES))
    def request_grant(self, instance):
        self.group.request_grant(instance)

    @stateful.precondition(lambda self: self.group.messages)
    @stateful.rule(message_index=strategies.integers(0, 1_000))
    def deliver(self, message_index):
        self.group.deliver(message_index)

    @stateful.rule(name=strategies.sampled_from(MEMBERS), alive=strategies.booleans())
    def set_alive(self, name, alive):
        self.group.set_alive(name, alive)

    @stateful.rule(name=strategies.sampled_from(MEMBERS))
    def write(self, name):
        self.group.members[name].index += 1

    @stateful.rule(delay_s=strategies.floats(ANSWER_TIMEOUT_S, 20.0))
    def delay_next_call(self, delay_s):
        if self.group.has_late_calls:
            self.group.next_delay_s = delay_s

    @stateful.rule(delay_s=strategies.floats(0.3, 20.0))
    def repeat_next_call(self, delay_s):
        if self.group.has_repeated_calls:
            self.group.next_repetition_s = delay_s

    @stateful.invariant()
    def only_the_newest_primary_is_trusted(self):
        self.group.check()


def _run_model(make, example_count):
    machine = type("Explored", (PrimaryChangeModel,), {"make": staticmethod(make)})
    settings = hypothesis.settings(
        max_examples=example_count,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_no_replaced_primary_is_trusted():
    """A write that a replaced primary acknowledges is lost."""
    _run_model(SimulatedGroup, 80)


def test_no_replaced_primary_is_trusted_after_a_late_promotion():
    """Guards against grants of the old primary while the promoted member is unreachable."""
    _run_model(lambda: SimulatedGroup(late_effect=True), 80)


def test_no_replaced_primary_is_trusted_after_a_late_call():
    """Guards against grants of the old primary while a call without an answer is on its way."""
    _run_model(lambda: SimulatedGroup(late_calls=True), 120)


def test_no_replaced_primary_is_trusted_after_a_repeated_call():
    """Guards against unconditional grants while a second copy of a call is on its way."""
    _run_model(lambda: SimulatedGroup(repeated_calls=True), 120)


def test_no_replaced_primary_is_trusted_after_late_and_repeated_calls():
    """Guards against a first execution that is taken for the second one of an earlier call."""
    _run_model(lambda: SimulatedGroup(late_calls=True, repeated_calls=True), 120)


def _replace_primary(group):
    """Makes the primary silent until another member leads; returns the name of the former one."""
    former = max(MEMBERS, key=lambda name: (group.members[name].primary, group.members[name].term))
    group.set_alive(former, False)
    leader = group.change.leader
    while group.change.leader == leader:
        group.advance_time(1)
    group.set_alive(former, True)
    return former


def _play_repeated_call(group):
    """Plays a history in which a call is carried out once more while another member leads.

    Args:
      group: The simulated group.
    """
    group.next_repetition_s = 12.0
    group.advance_time(1)
    _replace_primary(group)
    group.advance_time(30)
    named = _replace_primary(group)
    second = group.change.leader
    assert second.member != named
    for _ in range(120):
        group.advance_time(1)
        group.check()
        group.request_grant(0)
        if group.messages:
            group.deliver(len(group.messages) - 1)
    assert group.change.leader.member == named
    assert group.change.leader.term > second.term


def test_a_request_that_is_never_repeated_breaks_the_invariant(monkeypatch):
    """Proves that the model detects a coordinator that forgets a call once it is in effect."""
    _play_repeated_call(SimulatedGroup(repeated_calls=True))
    monkeypatch.setattr(pending_promotions, "REPEATABLE_S", 0.0)
    with pytest.raises(InvariantViolation):
        _play_repeated_call(SimulatedGroup(repeated_calls=True))


def _play_late_call(group):
    """Plays a history in which the primary is back before the call to replace it is carried out.

    Args:
      group: The simulated group.
    """
    group.next_delay_s = 8.0
    group.advance_time(1)
    group.members["a"].alive = False
    while not group.pending_promotions:
        group.advance_time(1)
    group.members["a"].alive = True
    for _ in range(100):
        group.advance_time(1)
        group.check()
        group.request_grant(0)
        if group.messages:
            group.deliver(len(group.messages) - 1)
    assert any(member.primary and member.term > 1 for member in group.members.values())


def test_a_request_that_is_void_after_a_time_breaks_the_invariant(monkeypatch):
    """Proves that the model detects a coordinator that takes an unanswered call for void."""
    _play_late_call(SimulatedGroup(late_calls=True))
    monkeypatch.setattr(
        pending_promotions, "REQUEST_LIFETIME_S", pending_promotions.PROMOTION_EFFECT_S
    )
    with pytest.raises(InvariantViolation):
        _play_late_call(SimulatedGroup(late_calls=True))


def test_a_conditional_grant_without_a_question_breaks_the_invariant():
    """Proves that the model detects an instance that takes a conditional grant for a usual one."""
    with pytest.raises(InvariantViolation):
        _play_late_call(SimulatedGroup(late_calls=True, ask_members=False))


def _play_silent_candidate(group):
    """Plays a history in which the promoted member is silent until the old primary is back."""
    group.advance_time(1)
    group.members["a"].alive = False
    while not group.pending_promotions:
        group.advance_time(1)
    candidate = group.pending_promotions[0].member
    group.members[candidate].alive = False
    group.advance_time(15)
    group.members["a"].alive = True
    for _ in range(30):
        group.advance_time(1)
        group.request_grant(0)
        if group.messages:
            group.deliver(len(group.messages) - 1)
        group.check()
    group.members[candidate].alive = True
    for _ in range(10):
        group.advance_time(1)
        group.check()
    assert group.members[candidate].primary


def test_a_forgotten_request_breaks_the_invariant():
    """Proves that the model detects a coordinator that takes an accepted promotion for void."""
    _play_silent_candidate(SimulatedGroup(late_effect=True))
    with pytest.raises(InvariantViolation):
        _play_silent_candidate(SimulatedGroup(late_effect=True, keep_requests=False))


def _play_late_grant(group, deliver_withdrawal):
    """Plays a history in which an instance receives a grant just before its primary is replaced.

    Args:
      group: The simulated group.
      deliver_withdrawal: Whether the instance receives the withdrawal and then a duplicate of the
        grant datagram.
    """
    group.advance_time(1)
    group.members["a"].alive = False
    group.advance_time(6)
    group.request_grant(0)
    grant_index = len(group.messages) - 1
    group.deliver(grant_index)
    group.advance_time(3)
    if deliver_withdrawal:
        for message_index in range(grant_index + 1, len(group.messages)):
            group.deliver(message_index)
        group.deliver(grant_index)
    for _ in range(25):
        group.advance_time(1)
        group.check()
    assert any(member.primary and member.term > 1 for member in group.members.values())


@pytest.mark.parametrize(
    ("mutation", "deliver_withdrawal"), [("wait_for_grants", False), ("count_changes", True)]
)
def test_each_mutation_breaks_the_invariant(mutation, deliver_withdrawal):
    """The unmodified group passes the history that breaks the invariant under a mutation."""
    _play_late_grant(SimulatedGroup(), deliver_withdrawal)
    with pytest.raises(InvariantViolation):
        _play_late_grant(SimulatedGroup(**{mutation: False}), deliver_withdrawal)
