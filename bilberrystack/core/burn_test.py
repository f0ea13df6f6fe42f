"""Tests of the error-budget burn rates."""

import math

from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import burn
from bilberrystack.core import declarations

TARGETS = declarations.Targets(0.95, 1000, 0.001)


def rates(minutes, now_minute=100, targets=TARGETS):
    burns = burn.evaluate(minutes, targets, now_minute, 5, 60)
    return {entry.objective: (entry.short.rate, entry.long.rate) for entry in burns}


def test_rate_one_uses_the_budget_exactly():
    """Guards against a burn rate that is not relative to the size of the budget."""
    minute = burn.MinuteCounts(100, reads=100, replica_reads=95, requests=1000, unknown=1)
    burn_rates = rates([minute])
    assert math.isclose(burn_rates[burn.Objective.REPLICA_READS][0], 1.0)
    assert math.isclose(burn_rates[burn.Objective.UNKNOWN_OUTCOMES][0], 1.0)
    assert burn_rates[burn.Objective.FAILOVER_GAP] == (0.0, 0.0)


def test_alert_needs_both_windows():
    """Guards against an alert for a short disturbance or for one that has ended."""
    quiet = [burn.MinuteCounts(number, 1000, 1000, 1000) for number in range(41, 101)]
    past = [burn.MinuteCounts(50, 20000, 0, 20000), *quiet]
    recent = [burn.MinuteCounts(100, 200, 0, 200), *quiet]
    for minutes, expected in ((past, (False, True)), (recent, (False, False))):
        result = burn.evaluate(burn.merge_histories([minutes]), TARGETS, 100, 5, 60)[0]
        assert (result.is_alerting, result.long.rate > 1) == expected
    both = burn.evaluate([burn.MinuteCounts(100, 10, 5, 10)], TARGETS, 100, 5, 60)[0]
    assert both.is_alerting


def test_gap_beyond_the_target_burns():
    """Guards against a long gap that is hidden by an average."""
    history = burn.MinuteHistory()
    for gap in (300, 400, 1500):
        history.record_gap(6000.0, gap)
    result = burn.evaluate(history.minutes_since(0), TARGETS, 100)[1]
    assert (result.short.value, result.is_alerting) == (1500.0, True)


def test_target_without_budget_burns_immediately():
    """Guards against a division by a budget of zero."""
    targets = declarations.Targets(1.0, 1000, 0.0)
    minute = burn.MinuteCounts(100, reads=10, replica_reads=9, requests=10, unknown=1)
    burn_rates = rates([minute], targets=targets)
    assert burn_rates[burn.Objective.REPLICA_READS][0] == burn.MAX_BURN_RATE
    assert burn_rates[burn.Objective.UNKNOWN_OUTCOMES][0] == burn.MAX_BURN_RATE
    assert rates([burn.MinuteCounts(100, 10, 10, 10)], targets=targets)[
        burn.Objective.REPLICA_READS
    ] == (
        0.0,
        0.0,
    )


def test_history_is_bounded_and_discards_the_oldest_minutes():
    """Guards against memory use that grows with the uptime of an instance."""
    history = burn.MinuteHistory()
    for minute in range(burn.HISTORY_MINUTES + 10):
        history.counts_at(60.0 * minute).reads += 1
        for gap in range(100):
            history.record_gap(60.0 * minute, gap)
    counts = history.minutes_since(0)
    assert (len(counts), counts[0].minute) == (burn.HISTORY_MINUTES, 10)
    assert counts[0].gaps_ms == list(range(99, 99 - burn.MAX_GAPS_PER_MINUTE, -1))


@given(strategies.lists(strategies.lists(strategies.integers(0, 5), max_size=8), max_size=4))
def test_merge_keeps_every_event(instances):
    """Guards against counts of several instances that overwrite each other."""
    histories = [
        [burn.MinuteCounts(minute, reads=1) for minute in minutes] for minutes in instances
    ]
    merged = burn.merge_histories(histories)
    assert sum(counts.reads for counts in merged) == sum(len(minutes) for minutes in instances)
    assert [counts.minute for counts in merged] == sorted(
        {minute for minutes in instances for minute in minutes}
    )
