"""Tests of the service-level burn."""

import math

from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import burn
from bilberrystack.core import declarations

TARGETS = declarations.Targets(0.95, 1000, 0.001)


def rates(minutes, now_minute=100, targets=TARGETS):
    found = burn.evaluate(minutes, targets, now_minute, 5, 60)
    return {one.objective: (one.short.rate, one.long.rate) for one in found}


def test_rate_one_uses_the_budget_exactly():
    """Guards against a rate that is off by the size of the budget."""
    minute = burn.Minute(100, reads=100, replica_reads=95, requests=1000, unknown=1)
    found = rates([minute])
    assert math.isclose(found[burn.Objective.REPLICA_READS][0], 1.0)
    assert math.isclose(found[burn.Objective.UNKNOWN_OUTCOMES][0], 1.0)
    assert found[burn.Objective.FAILOVER_GAP] == (0.0, 0.0)


def test_alarm_needs_both_windows():
    """Guards against an alarm for a short disturbance, and for one that has ended."""
    quiet = [burn.Minute(number, 1000, 1000, 1000) for number in range(41, 101)]
    past = [burn.Minute(50, 20000, 0, 20000), *quiet]
    recent = [burn.Minute(100, 200, 0, 200), *quiet]
    for minutes, expected in ((past, (False, True)), (recent, (False, False))):
        found = burn.evaluate(burn.merge([minutes]), TARGETS, 100, 5, 60)[0]
        assert (found.alarming, found.long.rate > 1) == expected
    both = burn.evaluate([burn.Minute(100, 10, 5, 10)], TARGETS, 100, 5, 60)[0]
    assert both.alarming


def test_gap_beyond_the_target_burns():
    """Guards against averaging a long gap away."""
    history = burn.History()
    for gap in (300, 400, 1500):
        history.gap(6000.0, gap)
    found = burn.evaluate(history.since(0), TARGETS, 100)[1]
    assert (found.short.value, found.alarming) == (1500.0, True)


def test_target_without_budget_burns_at_once():
    """Guards against a division by a budget of zero."""
    targets = declarations.Targets(1.0, 1000, 0.0)
    minute = burn.Minute(100, reads=10, replica_reads=9, requests=10, unknown=1)
    found = rates([minute], targets=targets)
    assert found[burn.Objective.REPLICA_READS][0] == burn.MAX_RATE
    assert found[burn.Objective.UNKNOWN_OUTCOMES][0] == burn.MAX_RATE
    assert rates([burn.Minute(100, 10, 10, 10)], targets=targets)[burn.Objective.REPLICA_READS] == (
        0.0,
        0.0,
    )


def test_history_is_bounded_and_forgets_the_oldest():
    """Guards against memory that grows with the time that an instance runs."""
    history = burn.History()
    for minute in range(burn.MAX_MINUTES + 10):
        history.at(60.0 * minute).reads += 1
        for gap in range(100):
            history.gap(60.0 * minute, gap)
    kept = history.since(0)
    assert (len(kept), kept[0].minute) == (burn.MAX_MINUTES, 10)
    assert kept[0].gaps_ms == list(range(99, 99 - burn.MAX_GAPS_PER_MINUTE, -1))


@given(strategies.lists(strategies.lists(strategies.integers(0, 5), max_size=8), max_size=4))
def test_merge_keeps_every_event(instances):
    """Guards against minutes of several instances that replace each other."""
    histories = [[burn.Minute(number, reads=1) for number in each] for each in instances]
    merged = burn.merge(histories)
    assert sum(one.reads for one in merged) == sum(len(each) for each in instances)
    assert [one.minute for one in merged] == sorted({one for each in instances for one in each})
