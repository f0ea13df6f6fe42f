"""Tests when a promotion request can't take effect any more."""

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
        self.pending.add("b", 1, self.now_s)
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
        return self.pending.take_resolved().get("b")


def test_a_request_stays_pending_while_its_member_is_silent():
    """Guards against grants of the former primary while the promoted member is unreachable."""
    observed = Observed()
    assert observed.advance(60.0, answering=False) is None
    assert observed.pending.members == {"b"}
    observed.primary, observed.term = True, 2
    assert observed.advance(STEP_S) is Resolution.IN_EFFECT
    assert not observed.pending.members


def test_a_member_that_is_back_gets_the_time_of_a_promotion():
    """Guards against grants in the moment between the member's return and its promotion."""
    observed = Observed()
    observed.advance(8.0, answering=False)
    assert observed.advance(pending_promotions.PROMOTION_EFFECT_S - 2 * STEP_S) is None
    observed.advance(3.0, answering=False)
    assert observed.advance(pending_promotions.PROMOTION_EFFECT_S - 2 * STEP_S) is None
    assert observed.advance(4 * STEP_S) is Resolution.NO_EFFECT


def test_a_request_without_effect_does_not_block_the_group():
    """Guards against a group without writes for good after a request that has not arrived."""
    observed = Observed()
    assert observed.advance(pending_promotions.PROMOTION_EFFECT_S + 2 * STEP_S) is (
        Resolution.NO_EFFECT
    )


def test_a_request_for_a_member_that_is_gone_does_not_block_the_group():
    """Guards against a group without writes for good: the member was lost with its machine."""
    observed = Observed()
    observed.in_store = False
    assert observed.advance(pending_promotions.MEMBER_GONE_S - 1.0, answering=False) is None
    assert observed.advance(1.0 + 2 * STEP_S, answering=False) is Resolution.MEMBER_GONE


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
    assert observed.pending.members == {"b"}


def test_a_process_that_stood_still_does_not_find_the_member_gone():
    """The record was back in the store before the process read it again, and the request void."""
    observed = Observed()
    observed.in_store = False
    observed.advance(1.0, answering=False)
    observed.running.count_until(observed.now_s)
    observed.now_s += pending_promotions.MEMBER_GONE_S
    assert observed.advance(STEP_S, answering=False) is None
    observed.running.record_stall(observed.now_s - pending_promotions.MEMBER_GONE_S, observed.now_s)
    observed.running.count_until(observed.now_s)
    assert observed.advance(STEP_S, answering=False) is None
    observed.running.count_until(observed.now_s + pending_promotions.MEMBER_GONE_S)
    gone = observed.advance(pending_promotions.MEMBER_GONE_S, answering=False)
    assert gone is Resolution.MEMBER_GONE
