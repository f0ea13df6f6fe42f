"""Tests that the queue's mechanisms gain what they are there for."""

from faults import paused_loop
from faults import queueing


def test_light_caller_does_not_wait_for_anothers_burst():
    """Guards against head-of-line blocking between callers."""
    fair = paused_loop.run(lambda: queueing.light_beside_burst(True))
    shared = paused_loop.run(lambda: queueing.light_beside_burst(False))
    assert queueing.percentile_ms(fair.answered, 0.99) < 10
    assert queueing.percentile_ms(shared.answered, 0.99) > 100


def test_overloaded_group_answers_what_its_capacity_allows():
    """Guards against slots for statements that are answered just after their deadline."""
    tally = paused_loop.run(lambda: queueing.overload(True))
    offered = len(tally.answered) + len(tally.refused)
    assert len(tally.answered) >= 0.9 * offered / queueing.OVERLOAD
    assert queueing.percentile_ms(tally.refused, 0.5) == 0
