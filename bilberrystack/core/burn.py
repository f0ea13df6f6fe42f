"""Service-level burn: how fast an objective's error budget is used over a window.

A burn rate of 1 uses the budget exactly; above 1 the target is missed if it goes on. Instances keep
the counts of each minute in memory for MAX_MINUTES; counts of instances are summed by minute.
"""

import collections.abc
import dataclasses
import enum
import math

import msgspec

from bilberrystack.core import declarations

MAX_MINUTES = 180
MAX_GAPS_PER_MINUTE = 32

# The gap target is a 99th percentile, so one failover in a hundred may exceed it.
GAP_BUDGET = 0.01

# The rate of a target that allows no bad event. JSON has no infinity.
MAX_RATE = 1e6

# A window burns only if a short and a long one do: the long one tells that it matters, the short
# one that it still goes on.
SHORT_MINUTES = 5
LONG_MINUTES = 60


class Objective(enum.StrEnum):
    """What has a target."""

    REPLICA_READS = "replica read share"
    FAILOVER_GAP = "failover gap"
    UNKNOWN_OUTCOMES = "unknown outcome share"


class Minute(msgspec.Struct, omit_defaults=True):
    """Counts of one minute, or of a longer time when summed.

    Attributes:
      minute: Minutes since the epoch, UTC.
      reads: Reads answered.
      replica_reads: Reads that replicas answered.
      requests: Requests that ended.
      refused: Requests that ended as not run.
      unknown: Requests that ended as unknown.
      gaps_ms: Gaps in service of the changes of primary, in milliseconds.
    """

    minute: int
    reads: int = 0
    replica_reads: int = 0
    requests: int = 0
    refused: int = 0
    unknown: int = 0
    gaps_ms: list[int] = []

    def add(self, other: "Minute") -> None:
        """Adds the counts of another instance or minute."""
        self.reads += other.reads
        self.replica_reads += other.replica_reads
        self.requests += other.requests
        self.refused += other.refused
        self.unknown += other.unknown
        self.gaps_ms = self.gaps_ms + other.gaps_ms


class History:
    """The latest minutes of one instance."""

    __slots__ = ("_minutes",)

    def __init__(self) -> None:
        self._minutes: dict[int, Minute] = {}

    def at(self, wall_time: float) -> Minute:
        """Returns the counts of the minute of an instant, to be added to.

        Args:
          wall_time: Seconds since the epoch.
        Returns:
          The minute's counts.
        """
        minute = int(wall_time // 60)
        if minute not in self._minutes:
            self._minutes[minute] = Minute(minute)
            while len(self._minutes) > MAX_MINUTES:
                del self._minutes[min(self._minutes)]
        return self._minutes[minute]

    def gap(self, wall_time: float, gap_ms: int) -> None:
        """Takes the gap in service of a change of primary; the longest of a minute are kept."""
        minute = self.at(wall_time)
        gaps = sorted([*minute.gaps_ms, gap_ms], reverse=True)
        minute.gaps_ms = gaps[:MAX_GAPS_PER_MINUTE]

    def since(self, first_minute: int) -> list[Minute]:
        """Returns the minutes from one on, oldest first."""
        return [one for number, one in sorted(self._minutes.items()) if number >= first_minute]


def merge(histories: collections.abc.Iterable[collections.abc.Iterable[Minute]]) -> list[Minute]:
    """Sums the minutes of several instances, oldest first."""
    merged: dict[int, Minute] = {}
    for history in histories:
        for minute in history:
            merged.setdefault(minute.minute, Minute(minute.minute)).add(minute)
    return [merged[number] for number in sorted(merged)]


def total(minutes: collections.abc.Iterable[Minute], first: int, last: int) -> Minute:
    """Returns the sum of the minutes from first to last, both included."""
    summed = Minute(first)
    for minute in minutes:
        if first <= minute.minute <= last:
            summed.add(minute)
    return summed


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """An objective over a window.

    Attributes:
      events: Events that count; without events nothing burns.
      value: The share of good or bad events, or the 99th percentile of the gap in milliseconds, as
        the target states it; None without events.
      rate: The burn rate.
    """

    events: int
    value: float | None
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Burn:
    """The burn of one objective.

    Attributes:
      objective: The objective.
      target: Its target: a share, or milliseconds.
      short: The short window.
      long: The long window.
    """

    objective: Objective
    target: float
    short: Window
    long: Window

    @property
    def alarming(self) -> bool:
        """Whether the budget is used too fast in both windows."""
        return self.short.rate > 1 and self.long.rate > 1


class Report(msgspec.Struct, frozen=True):
    """The service levels of all instances.

    Attributes:
      minute: The last minute of the windows, in minutes since the epoch.
      short_minutes: The length of the short window.
      long_minutes: The length of the long window.
      burns: The objectives.
      targets: The declared targets.
      minutes: The minutes that the instances have in memory, summed.
      hours: The hours of the summary in the store; None if the store does not answer.
      answered: The instances that answered.
      instances: All live instances.
    """

    minute: int
    short_minutes: int
    long_minutes: int
    burns: tuple[Burn, ...]
    targets: declarations.Targets
    minutes: list[Minute]
    hours: list[Minute] | None
    answered: int
    instances: int


def evaluate(
    minutes: collections.abc.Sequence[Minute],
    targets: declarations.Targets,
    now_minute: int,
    short_minutes: int = SHORT_MINUTES,
    long_minutes: int = LONG_MINUTES,
) -> tuple[Burn, ...]:
    """Returns the burn of all objectives over the windows that end with a minute.

    Args:
      minutes: Summed minutes.
      targets: The declared targets.
      now_minute: The last minute, in minutes since the epoch.
      short_minutes: The length of the short window.
      long_minutes: The length of the long window.
    Returns:
      One burn for each objective.
    """
    short = total(minutes, now_minute - short_minutes + 1, now_minute)
    long = total(minutes, now_minute - long_minutes + 1, now_minute)
    return tuple(
        Burn(
            objective,
            target_of(objective, targets),
            window(objective, short, targets),
            window(objective, long, targets),
        )
        for objective in Objective
    )


def target_of(objective: Objective, targets: declarations.Targets) -> float:
    """Returns the target of an objective."""
    match objective:
        case Objective.REPLICA_READS:
            return targets.replica_read_share
        case Objective.FAILOVER_GAP:
            return targets.failover_gap_ms
    return targets.unknown_outcome_share


def window(objective: Objective, summed: Minute, targets: declarations.Targets) -> Window:
    """Returns an objective over a summed window."""
    match objective:
        case Objective.REPLICA_READS:
            share = _share(summed.replica_reads, summed.reads)
            bad = summed.reads - summed.replica_reads
            return Window(
                summed.reads, share, _rate(bad, summed.reads, 1 - targets.replica_read_share)
            )
        case Objective.FAILOVER_GAP:
            gaps = sorted(summed.gaps_ms)
            slow = sum(gap > targets.failover_gap_ms for gap in gaps)
            value = float(gaps[math.ceil(0.99 * len(gaps)) - 1]) if gaps else None
            return Window(len(gaps), value, _rate(slow, len(gaps), GAP_BUDGET))
    share = _share(summed.unknown, summed.requests)
    rate = _rate(summed.unknown, summed.requests, targets.unknown_outcome_share)
    return Window(summed.requests, share, rate)


def _share(part: int, whole: int) -> float | None:
    return part / whole if whole else None


def _rate(bad: int, events: int, budget: float) -> float:
    if not bad:
        return 0.0
    # The difference of a target like 0.95 to 1 is inexact; a budget of zero must stay zero.
    return min(bad / events / budget, MAX_RATE) if budget > 1e-12 else MAX_RATE
