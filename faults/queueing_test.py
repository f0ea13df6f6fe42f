"""Tests the benefit of the queue's fairness and early refusal."""

from faults import paused_loop
from faults import queueing


def test_light_client_account_does_not_wait_for_another_accounts_burst():
    """Guards against head-of-line blocking between client accounts."""
    fair = paused_loop.run(lambda: queueing.run_light_beside_burst(True))
    shared = paused_loop.run(lambda: queueing.run_light_beside_burst(False))
    assert queueing.percentile_ms(fair.answered, 0.99) < 10
    assert queueing.percentile_ms(shared.answered, 0.99) > 100


def test_overloaded_group_answers_what_its_capacity_allows():
    """Guards against spending slots on statements that are answered just after their deadline."""
    wait_times = paused_loop.run(lambda: queueing.run_overload(True))
    offered = len(wait_times.answered) + len(wait_times.refused)
    assert len(wait_times.answered) >= 0.9 * offered / queueing.OVERLOAD
    assert queueing.percentile_ms(wait_times.refused, 0.5) == 0
