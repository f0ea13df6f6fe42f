"""Estimates that lose weight with their age: times of a failure domain, averages and rates."""

import collections
import math

# The average is that of the answers of the present and the last period of this length. A moving
# average by answers needs more than 1 s to show that a home with few statements has recovered.
PERIOD_S = 0.2

# A measured average loses half of its weight in this time without new values. Loads change within
# seconds, and a domain that was slow once has to be tried again.
TIME_HALF_LIFE_S = 2.0

# Span of the minimum that counts as the time without load. Longer than the bursts of a few seconds
# during which no answer is fast.
LONG_WINDOW_S = 30.0

# Span of the minimum that shows the present load of a link: if even the fastest answer is slow, a
# queue stands on the way.
SHORT_WINDOW_S = 1.0


class WindowedMinimum:
    """The minimum of the values of the last seconds."""

    __slots__ = ("_entries", "_window_s")

    def __init__(self, window_s: float) -> None:
        """Create a minimum without values.

        Args:
          window_s: How long a value counts, in seconds.
        """
        self._window_s = window_s
        # Instants and values, both increasing: a value is dropped when a lower one follows it.
        self._entries: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, value: float, now_s: float) -> None:
        """Add a value."""
        while self._entries and self._entries[-1][1] >= value:
            self._entries.pop()
        self._entries.append((now_s, value))

    def value(self, now_s: float) -> float | None:
        """Return the minimum; None if there is no value of the last seconds."""
        while self._entries and self._entries[0][0] < now_s - self._window_s:
            self._entries.popleft()
        return self._entries[0][1] if self._entries else None


class AnswerTimes:
    """Times from a statement's sending to its answer, of one failure domain."""

    __slots__ = (
        "_count",
        "_long_minimum",
        "_mean_s",
        "_period",
        "_previous_count",
        "_previous_sum_s",
        "_short_minimum",
        "_sum_s",
        "_updated_at_s",
    )

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._updated_at_s = -math.inf
        self._period = 0
        self._sum_s = self._previous_sum_s = 0.0
        self._count = self._previous_count = 0
        self._short_minimum = WindowedMinimum(SHORT_WINDOW_S)
        self._long_minimum = WindowedMinimum(LONG_WINDOW_S)

    def record(self, took_s: float, now_s: float) -> None:
        """Add the time that a statement took."""
        period = int(now_s // PERIOD_S)
        if period != self._period:
            follows = period == self._period + 1
            self._previous_sum_s = self._sum_s if follows else 0.0
            self._previous_count = self._count if follows else 0
            self._period, self._sum_s, self._count = period, 0.0, 0
        self._sum_s += took_s
        self._count += 1
        self._mean_s = (self._previous_sum_s + self._sum_s) / (self._previous_count + self._count)
        self._updated_at_s = now_s
        self.record_status_query(took_s, now_s)

    def record_status_query(self, took_s: float, now_s: float) -> None:
        """Add the time that a status query took, which runs no statement."""
        self._short_minimum.record(took_s, now_s)
        self._long_minimum.record(took_s, now_s)

    def confidence(self, now_s: float) -> float:
        """Return the weight of the average: 1 for a new one, 0 if there is none."""
        return float(0.5 ** ((now_s - self._updated_at_s) / TIME_HALF_LIFE_S))

    def mean_s(self, assumed_s: float, now_s: float) -> float:
        """Return the average time; it approaches an assumed one as it ages.

        Args:
          assumed_s: Time that is assumed without measurements, in seconds.
          now_s: Current time.
        """
        confidence = self.confidence(now_s)
        return confidence * self._mean_s + (1.0 - confidence) * assumed_s

    def unloaded_s(self, now_s: float) -> float | None:
        """Return the time without load; None if nothing was measured."""
        return self._long_minimum.value(now_s)

    def standing_delay_s(self, now_s: float) -> float:
        """Return by how much even the fastest answers of the last second are delayed."""
        recent_s, unloaded_s = self._short_minimum.value(now_s), self._long_minimum.value(now_s)
        return 0.0 if recent_s is None or unloaded_s is None else recent_s - unloaded_s


def freshness(age_s: float, full_s: float, half_life_s: float) -> float:
    """Return the weight of knowledge of an age, between 0 and 1.

    Args:
      age_s: Age of the knowledge, in seconds.
      full_s: Age up to which it has its full weight.
      half_life_s: Time in which the weight halves from then on.
    """
    return float(0.5 ** (max(0.0, age_s - full_s) / half_life_s))
