"""Error-budget burn rates of the service-level objectives.

A burn rate of 1 consumes the error budget exactly; a sustained rate above 1 misses the target.
Instances keep the counts of each minute in memory for HISTORY_MINUTES; the counts of several
instances are summed by minute.
"""

import collections.abc
import dataclasses
import enum
import math

import msgspec

from bilberrystack.core import declarations

HISTORY_MINUTES = 180
MAX_GAPS_PER_MINUTE = 32

# Share of failovers that may exceed the gap target, which is a 99th percentile.
FAILOVER_GAP_ERROR_BUDGET = 0.01

# Burn rate of a bad event if the target allows none. JSON can't represent infinity.
MAX_BURN_RATE = 1e6

# Lengths of the two windows. An objective alerts only if both windows burn too fast: the long
# window shows that the loss is significant, the short one that it has not ended.
SHORT_WINDOW_MINUTES = 5
LONG_WINDOW_MINUTES = 60


class Objective(enum.StrEnum):
    """Service-level objective."""

    REPLICA_READS = "replica read share"
    FAILOVER_GAP = "failover gap"
    UNKNOWN_OUTCOMES = "unknown outcome share"


class MinuteCounts(msgspec.Struct, omit_defaults=True):
    """Counts of one minute, or of a longer period when summed.

    Attributes:
      minute: Start of the period, in minutes since the epoch, UTC.
      reads: Number of answered reads.
      replica_reads: Number of reads answered by replicas.
      requests: Number of completed requests.
      refused: Number of requests that did not run.
      unknown: Number of requests with an unknown outcome.
      gaps_ms: Gaps in service during primary changes, in milliseconds.
    """

    minute: int
    reads: int = 0
    replica_reads: int = 0
    requests: int = 0
    refused: int = 0
    unknown: int = 0
    gaps_ms: list[int] = []

    def add(self, other: "MinuteCounts") -> None:
        """Adds the counts of another instance or minute."""
        self.reads += other.reads
        self.replica_reads += other.replica_reads
        self.requests += other.requests
        self.refused += other.refused
        self.unknown += other.unknown
        self.gaps_ms = self.gaps_ms + other.gaps_ms


class MinuteHistory:
    """Counts of the latest HISTORY_MINUTES minutes of one instance."""

    __slots__ = ("_minutes",)

    def __init__(self) -> None:
        self._minutes: dict[int, MinuteCounts] = {}

    def counts_at(self, wall_time: float) -> MinuteCounts:
        """Returns the modifiable counts of the minute that contains a time.

        Args:
          wall_time: Seconds since the epoch.
        """
        minute = int(wall_time // 60)
        if minute not in self._minutes:
            self._minutes[minute] = MinuteCounts(minute)
            while len(self._minutes) > HISTORY_MINUTES:
                del self._minutes[min(self._minutes)]
        return self._minutes[minute]

    def record_gap(self, wall_time: float, gap_ms: int) -> None:
        """Records the gap in service of a primary change.

        Only the longest MAX_GAPS_PER_MINUTE gaps of a minute are kept.

        Args:
          wall_time: End of the change, in seconds since the epoch.
          gap_ms: Length of the gap in milliseconds.
        """
        minute = self.counts_at(wall_time)
        gaps = sorted([*minute.gaps_ms, gap_ms], reverse=True)
        minute.gaps_ms = gaps[:MAX_GAPS_PER_MINUTE]

    def minutes_since(self, first_minute: int) -> list[MinuteCounts]:
        """Returns the counts from a minute on, oldest first.

        Args:
          first_minute: Minutes since the epoch.
        """
        return [
            counts for minute, counts in sorted(self._minutes.items()) if minute >= first_minute
        ]


def merge_histories(
    histories: collections.abc.Iterable[collections.abc.Iterable[MinuteCounts]],
) -> list[MinuteCounts]:
    """Returns the counts of several instances summed by minute, oldest first."""
    merged: dict[int, MinuteCounts] = {}
    for history in histories:
        for minute in history:
            merged.setdefault(minute.minute, MinuteCounts(minute.minute)).add(minute)
    return [merged[minute_number] for minute_number in sorted(merged)]


def sum_minutes(
    minutes: collections.abc.Iterable[MinuteCounts], first: int, last: int
) -> MinuteCounts:
    """Returns the sum of the counts from minute first to minute last, both inclusive."""
    summed = MinuteCounts(first)
    for minute in minutes:
        if first <= minute.minute <= last:
            summed.add(minute)
    return summed


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate of one objective over one window.

    Attributes:
      events: Number of events that the objective concerns; the burn rate is 0 without events.
      value: Measured value in the unit of the target: a share from 0 to 1, or the 99th percentile
        of the gaps in milliseconds; None without events.
      rate: Burn rate.
    """

    events: int
    value: float | None
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """Burn rates of one objective over the short and the long window.

    Attributes:
      objective: The objective.
      target: Target of the objective: a share from 0 to 1, or milliseconds.
      short: Burn rate over the short window.
      long: Burn rate over the long window.
    """

    objective: Objective
    target: float
    short: WindowBurn
    long: WindowBurn

    @property
    def is_alerting(self) -> bool:
        """Whether the error budget is consumed too fast in both windows."""
        return self.short.rate > 1 and self.long.rate > 1


class BurnReport(msgspec.Struct, frozen=True):
    """Service levels over all instances.

    Attributes:
      minute: Last minute of the windows, in minutes since the epoch.
      short_minutes: Length of the short window in minutes.
      long_minutes: Length of the long window in minutes.
      burns: Burn rates, one entry for each objective.
      targets: The declared targets.
      minutes: Counts by minute that the instances have in memory, summed.
      hours: Hourly counts of the summary in the store; None if the store does not answer.
      answered: Number of instances that answered.
      instances: Number of live instances.
    """

    minute: int
    short_minutes: int
    long_minutes: int
    burns: tuple[ObjectiveBurn, ...]
    targets: declarations.Targets
    minutes: list[MinuteCounts]
    hours: list[MinuteCounts] | None
    answered: int
    instances: int


def evaluate(
    minutes: collections.abc.Sequence[MinuteCounts],
    targets: declarations.Targets,
    now_minute: int,
    short_minutes: int = SHORT_WINDOW_MINUTES,
    long_minutes: int = LONG_WINDOW_MINUTES,
) -> tuple[ObjectiveBurn, ...]:
    """Returns the burn rates of all objectives over the windows that end with a minute.

    Args:
      minutes: Counts by minute, summed over all instances.
      targets: The declared targets.
      now_minute: Last minute of the windows, in minutes since the epoch.
      short_minutes: Length of the short window in minutes.
      long_minutes: Length of the long window in minutes.
    Returns:
      One entry for each objective.
    """
    short = sum_minutes(minutes, now_minute - short_minutes + 1, now_minute)
    long = sum_minutes(minutes, now_minute - long_minutes + 1, now_minute)
    return tuple(
        ObjectiveBurn(
            objective,
            target_value(objective, targets),
            evaluate_window(objective, short, targets),
            evaluate_window(objective, long, targets),
        )
        for objective in Objective
    )


def target_value(objective: Objective, targets: declarations.Targets) -> float:
    """Returns the target of an objective: a share from 0 to 1, or milliseconds."""
    match objective:
        case Objective.REPLICA_READS:
            return targets.replica_read_share
        case Objective.FAILOVER_GAP:
            return targets.failover_gap_ms
    return targets.unknown_outcome_share


def evaluate_window(
    objective: Objective, summed: MinuteCounts, targets: declarations.Targets
) -> WindowBurn:
    """Returns the burn rate of an objective over a window.

    Args:
      objective: The objective.
      summed: Counts of the window.
      targets: The declared targets.
    """
    match objective:
        case Objective.REPLICA_READS:
            share = _ratio(summed.replica_reads, summed.reads)
            bad_events = summed.reads - summed.replica_reads
            return WindowBurn(
                summed.reads,
                share,
                _burn_rate(bad_events, summed.reads, 1 - targets.replica_read_share),
            )
        case Objective.FAILOVER_GAP:
            gaps = sorted(summed.gaps_ms)
            slow_events = sum(gap > targets.failover_gap_ms for gap in gaps)
            value = float(gaps[math.ceil(0.99 * len(gaps)) - 1]) if gaps else None
            return WindowBurn(
                len(gaps), value, _burn_rate(slow_events, len(gaps), FAILOVER_GAP_ERROR_BUDGET)
            )
    share = _ratio(summed.unknown, summed.requests)
    rate = _burn_rate(summed.unknown, summed.requests, targets.unknown_outcome_share)
    return WindowBurn(summed.requests, share, rate)


def _ratio(part: int, total: int) -> float | None:
    return part / total if total else None


def _burn_rate(bad_events: int, events: int, budget: float) -> float:
    if not bad_events:
        return 0.0
    # A budget such as 1 - 0.95 is inexact in floating point; a budget of zero has to count as zero.
    return min(bad_events / events / budget, MAX_BURN_RATE) if budget > 1e-12 else MAX_BURN_RATE
