"""Tests which time counts as silence of others."""

import pytest

from bilberrystack.routing import running_time


def test_all_time_counts_before_the_first_measurement():
    """Guards against conclusions that never come where nothing measures the event loop."""
    running = running_time.RunningTime()
    assert running.elapsed_s(100.0, 130.0) == 30.0
    assert running.elapsed_s(float("-inf"), 130.0) == float("inf")
    assert not running.stood_still(100.0, 130.0)


def test_time_after_the_last_measurement_does_not_count():
    """Timers of the pass in which the loop stalled ran before the stall was noticed."""
    running = running_time.RunningTime()
    running.count_until(100.0)
    assert running.elapsed_s(99.5, 101.4) == pytest.approx(0.5)
    assert running.elapsed_s(100.5, 101.4) == 0.0
    assert running.stood_still(99.5, 101.4)
    assert not running.stood_still(99.5, 100.1)


@pytest.mark.parametrize(
    ("since_s", "elapsed_s"),
    [(99.0, 1.7), (100.5, 0.5), (101.0, 0.5), (101.5, 0.5), (101.7, 0.3), (103.0, 0.0)],
)
def test_a_stall_counts_only_for_what_was_heard_before_it(since_s, elapsed_s):
    """Guards against a silence that is too long by a stall, or too short after one."""
    running = running_time.RunningTime()
    running.count_until(100.0)
    running.record_stall(100.2, 101.5)
    running.count_until(102.0)
    assert running.elapsed_s(since_s, 102.05) == pytest.approx(elapsed_s)


def test_the_begin_of_a_stall_is_forgotten_later_than_every_limit():
    """Guards against memory that grows with each stall."""
    running = running_time.RunningTime()
    for number in range(1000):
        running.record_stall(100.0 + number, 100.5 + number)
        running.count_until(100.6 + number)
    assert running.elapsed_s(1079.6, 1099.6) == pytest.approx(10.0)
    assert len(running._stalls) < 62
