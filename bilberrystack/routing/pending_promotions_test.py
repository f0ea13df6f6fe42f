"""Tests how long a promotion request may take effect, and for how long the group waits for it."""

from bilberrystack.core import positions
from bilberrystack.routing import member_view
from bilberrystack.routing import pending_promotions
from bilberrystack.routing import running_time
from bilberrystack.routing.pending_promotions import Resolution

STEP_S = 0.05


class Observed:
    """Pending requests and the views of one member on a clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0
        self.running = running_time.RunningTime()
        self.pending = pending_promotions.PendingPromotions(self.running)
        self.request = self.pending.add_earlier("b", 1, self.now_s)
        self.polled_at_s = self.now_s
        self.primary, self.term, self.in_store = False, 1, True

    def advance(self, seconds, answering=True):
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            if answering:
                self.polled_at_s = self.now_s
            view = member_view.MemberView(
                *("b", self.in_store, False, self.primary, self.term, positions.Position(1, 1)),
                *(self.polled_at_s, None, self.polled_at_s),
            )
            self.pending.update([view], self.now_s)
        return next((resolved.resolution for resolved in self.pending.take_resolved()), None)

    def lead(self, term):
        """Advance by one step, in which the member leads a term."""
        self.primary, self.term = True, term
        return self.advance(STEP_S)


def test_a_request_stays_pending_while_its_member_is_silent():
    """Guards against grants of the former primary while the promoted member is unreachable."""
    observed = Observed()
    assert observed.advance(2 * pending_promotions.REQUEST_LIFETIME_S, answering=False) is None
    assert observed.pending.awaited == {"b"}
    assert observed.lead(2) is Resolution.IN_EFFECT
    assert not observed.pending.members


def test_a_member_that_is_back_gets_the_time_of_a_promotion():
    """Guards against another change between the member's return and its promotion."""
    observed = Observed()
    observed.advance(8.0, answering=False)
    observed.advance(pending_promotions.PROMOTION_EFFECT_S - 2 * STEP_S)
    observed.advance(3.0, answering=False)
    observed.advance(pending_promotions.PROMOTION_EFFECT_S - 2 * STEP_S)
    assert observed.pending.awaited == {"b"}
    observed.advance(4 * STEP_S)
    assert not observed.pending.awaited


def test_a_request_without_an_answer_stays_pending_while_its_member_answers():
    """Guards against grants of the former primary when the platform carries out a call late.

    A request was taken to be void after 2 s; 461 writes were acknowledged at a replaced primary.
    """
    observed = Observed()
    assert observed.advance(20.0) is None
    assert observed.pending.members == {"b"}
    assert observed.lead(2) is Resolution.IN_EFFECT
    assert not observed.pending.members


def test_an_accepted_request_stays_pending_while_its_member_answers():
    """Guards against grants of the former primary when the platform reaches the member late."""
    observed = Observed()
    observed.pending.record_accepted(observed.request)
    assert observed.advance(20.0) is None
    assert observed.pending.members == {"b"}


def test_a_request_without_effect_does_not_block_the_group():
    """Guards against a group without grants for good after a request that has not arrived."""
    observed = Observed()
    observed.advance(pending_promotions.PROMOTION_EFFECT_S + 2 * STEP_S)
    assert not observed.pending.awaited
    assert observed.advance(pending_promotions.REQUEST_LIFETIME_S) is Resolution.NO_EFFECT
    assert not observed.pending.members


def test_an_effect_ends_one_request_without_an_answer():
    """Guards against a forgotten call that is carried out after a later change of the primary."""
    observed = Observed()
    observed.pending.add_earlier("b", 1, observed.now_s)
    assert observed.lead(2) is Resolution.IN_EFFECT
    observed.advance(1.0)
    assert observed.pending.members == {"b"}
    assert not observed.pending.awaited
    assert observed.lead(4) is Resolution.IN_EFFECT
    assert not observed.pending.members


def test_the_effect_of_an_accepted_request_does_not_end_another_one():
    """Guards against a forgotten call: the request before the accepted one got no answer."""
    observed = Observed()
    accepted = observed.pending.add("b", 1, observed.now_s)
    observed.primary, observed.term = True, 2
    observed.advance(STEP_S)
    assert observed.pending.is_pending(observed.request)
    observed.pending.record_accepted(accepted)
    assert observed.advance(1.0) is Resolution.IN_EFFECT
    assert not observed.pending.is_pending(accepted)
    assert observed.pending.is_pending(observed.request)


def test_a_rejected_request_does_not_end_an_earlier_one():
    """Guards against a forgotten call: the platform rejects a member that has just ended."""
    observed = Observed()
    rejected = observed.pending.add("b", 1, observed.now_s)
    observed.pending.record_rejected(rejected, observed.now_s)
    assert observed.pending.members == {"b"}
    assert not observed.pending.is_pending(rejected)


def test_the_member_of_a_rejected_request_confirms_another_primary_for_a_time():
    """Guards against grants of a later primary when a second copy of the request is accepted.

    319 to 391 writes were acknowledged at the replaced primary.
    """
    observed = Observed()
    observed.pending.record_rejected(observed.request, observed.now_s)
    assert observed.advance(STEP_S) is Resolution.REJECTED
    assert not observed.pending.members | observed.pending.awaited
    assert observed.pending.confirming == {"b"}
    observed.advance(pending_promotions.REPEATABLE_S - 2 * STEP_S)
    assert observed.pending.confirming == {"b"}
    assert observed.advance(2 * STEP_S) is Resolution.NOT_REPEATED
    assert not observed.pending.confirming


def _repeatable():
    """Return a request that was seen in effect, whose member is a replica again."""
    observed = Observed()
    observed.pending.record_accepted(observed.request)
    assert observed.lead(2) is Resolution.IN_EFFECT
    observed.primary = False
    observed.advance(STEP_S)
    return observed


def test_the_member_of_a_request_in_effect_confirms_another_primary_for_a_time():
    """Guards against grants of a later primary when the platform carries a request out twice.

    387 to 437 writes were acknowledged at the replaced primary.
    """
    observed = _repeatable()
    assert observed.advance(pending_promotions.REPEATABLE_S - 1.0) is None
    assert observed.pending.confirming == {"b"}
    assert not observed.pending.members | observed.pending.awaited
    assert observed.advance(1.0) is Resolution.NOT_REPEATED
    assert not observed.pending.confirming
    assert not observed.pending.contains(observed.request)


def test_a_member_that_does_not_answer_confirms_no_other_primary():
    """Guards against a group without writes when a primary fails soon after its promotion."""
    observed = _repeatable()
    observed.advance(pending_promotions.MAX_REPORT_GAP_S - 2 * STEP_S, answering=False)
    assert observed.pending.confirming == {"b"}
    observed.advance(3 * STEP_S, answering=False)
    assert not observed.pending.confirming
    assert observed.pending.repeatable == {"b"}
    observed.advance(STEP_S)
    assert observed.pending.confirming == {"b"}


def test_a_second_effect_does_not_end_a_request_that_is_still_on_its_way():
    """Guards against a late request that is forgotten because an earlier one acts twice."""
    observed = _repeatable()
    later = observed.pending.add("b", 3, observed.now_s)
    observed.pending.record_unanswered(later)
    observed.lead(5)
    observed.primary = False
    observed.advance(20.0)
    assert observed.pending.contains(later)
    assert observed.pending.confirming == {"b"}


def test_a_request_that_a_predecessor_saw_in_effect_is_repeatable_at_once():
    """Guards against grants of another primary between the reading of records and a report."""
    observed = Observed()
    observed.pending.remove(observed.request)
    observed.pending.add_repeatable("b", observed.now_s)
    assert observed.pending.confirming == {"b"}
    assert not observed.pending.awaited
    assert observed.advance(pending_promotions.REPEATABLE_S - 1.0) is None
    assert observed.advance(1.0) is Resolution.NOT_REPEATED


def test_a_request_for_a_member_that_is_gone_does_not_block_the_group():
    """Guards against a group without writes for good: the member was lost with its machine."""
    observed = Observed()
    observed.in_store = False
    observed.advance(pending_promotions.MEMBER_GONE_S - 1.0, answering=False)
    assert observed.pending.members == observed.pending.awaited == {"b"}
    observed.advance(1.0 + 2 * STEP_S, answering=False)
    assert not observed.pending.members
    assert not observed.pending.awaited
    lifetime_s = pending_promotions.REQUEST_LIFETIME_S
    assert observed.advance(lifetime_s, answering=False) is Resolution.MEMBER_GONE


def test_a_request_counts_again_when_its_member_is_back():
    """Guards against grants of the former primary when a member returns and is promoted then."""
    observed = Observed()
    observed.in_store = False
    observed.advance(pending_promotions.MEMBER_GONE_S + 5.0, answering=False)
    assert not observed.pending.members
    observed.in_store = True
    assert observed.advance(STEP_S) is None
    assert observed.pending.awaited == {"b"}


def test_a_record_that_returns_shows_that_the_member_is_not_gone():
    """Guards against a member that counts as gone because the store was away twice."""
    observed = Observed()
    for _ in range(3):
        observed.in_store = False
        observed.advance(pending_promotions.MEMBER_GONE_S - 1.0, answering=False)
        observed.in_store = True
        assert observed.advance(1.0, answering=False) is None
    assert observed.pending.members == {"b"}


def test_a_primary_of_the_replaced_term_is_not_the_effect():
    """Guards against the member's own earlier leadership, which ended before the request."""
    observed = Observed()
    observed.primary = True
    assert observed.advance(1.0) is None
    assert observed.pending.awaited == {"b"}


def test_a_process_that_stood_still_does_not_find_the_member_gone():
    """The record was back in the store before the process read it again, and the request void."""
    observed = Observed()
    observed.in_store = False
    observed.advance(1.0, answering=False)
    observed.running.count_until(observed.now_s)
    observed.now_s += pending_promotions.MEMBER_GONE_S
    observed.advance(STEP_S, answering=False)
    assert observed.pending.members == {"b"}
    observed.running.record_stall(observed.now_s - pending_promotions.MEMBER_GONE_S, observed.now_s)
    observed.running.count_until(observed.now_s)
    observed.advance(STEP_S, answering=False)
    assert observed.pending.members == {"b"}
    observed.running.count_until(observed.now_s + pending_promotions.MEMBER_GONE_S)
    observed.advance(pending_promotions.MEMBER_GONE_S, answering=False)
    assert not observed.pending.members
