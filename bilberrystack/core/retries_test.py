"""Tests of the retry budget."""

from bilberrystack.core import retries


def taken(budget, now, attempts):
    return sum(budget.take(now) for _ in range(attempts))


def test_retries_stay_within_a_fifth_of_recent_traffic():
    """Guards against retries that multiply the load while everything fails."""
    budget = retries.Budget()
    for _ in range(100):
        budget.record_request(1.0)
    assert taken(budget, 2.0, 100) == retries.FLOOR + 20


def test_a_quiet_group_has_the_floor_again_after_the_windows():
    """Guards against a budget that old retries use up for ever, or that old traffic keeps open."""
    budget = retries.Budget()
    for _ in range(100):
        budget.record_request(1.0)
    assert taken(budget, 1.0, 100) > retries.FLOOR
    assert taken(budget, 1.0 + 3 * retries.WINDOW_S, 100) == retries.FLOOR
