"""Tests of the retry budget."""

from bilberrystack.core import retries


def count_allowed(budget, now, attempts):
    return sum(budget.try_acquire(now) for _ in range(attempts))


def test_retries_stay_within_a_fifth_of_recent_traffic():
    """Guards against retries that multiply the load while all requests fail."""
    budget = retries.Budget()
    for _ in range(100):
        budget.record_request(1.0)
    assert count_allowed(budget, 2.0, 100) == retries.MIN_RETRIES + 20


def test_minimum_budget_is_restored_after_both_windows():
    """Guards against a budget that old retries exhaust or old requests extend permanently."""
    budget = retries.Budget()
    for _ in range(100):
        budget.record_request(1.0)
    assert count_allowed(budget, 1.0, 100) > retries.MIN_RETRIES
    assert count_allowed(budget, 1.0 + 3 * retries.WINDOW_S, 100) == retries.MIN_RETRIES
