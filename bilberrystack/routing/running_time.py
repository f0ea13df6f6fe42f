"""How long others have been silent, in time in which this process could have heard them.

A process whose event loop stood still has heard nobody meanwhile. Conclusions from the silence of
others therefore count only time in which the loop ran, and not before what arrived during a stall
has been read. Ends of grants, leases and time limits count all time, also that of a stall: other
processes rely on them.
"""

import collections
import dataclasses
import math

# Stalls that ended longer ago than this are forgotten. It exceeds every time limit for the silence
# of others, so that a longer silence passes the limit in any case.
MEMORY_S = 60.0

# An interval in which more than this is not counted is taken to contain a stall. It exceeds the
# usual time between two calls of `count_until`.
_UNCOUNTED_TOLERANCE_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """A time in which the event loop stood still.

    Attributes:
      began_at_s: When it began.
      ended_at_s: When the loop ran again.
    """

    began_at_s: float
    ended_at_s: float


class RunningTime:
    """Measures time in which the event loop ran. Until the first `count_until` all time counts."""

    __slots__ = ("_counted_until_s", "_stalls")

    def __init__(self) -> None:
        self._counted_until_s = math.inf
        self._stalls: collections.deque[Stall] = collections.deque()

    def count_until(self, instant_s: float) -> None:
        """Count the time up to an instant, less the stalls in it.

        Args:
          instant_s: The instant. What arrived before it has been read.
        """
        self._counted_until_s = instant_s
        while self._stalls and self._stalls[0].ended_at_s < instant_s - MEMORY_S:
            self._stalls.popleft()

    def record_stall(self, began_at_s: float, ended_at_s: float) -> None:
        """Record that the event loop stood still, later than in all earlier stalls.

        Args:
          began_at_s: When the time begins that does not count.
          ended_at_s: When the loop ran again.
        """
        self._stalls.append(Stall(began_at_s, ended_at_s))

    def elapsed_s(self, since_s: float, now_s: float) -> float:
        """Return for how long this process could have heard others.

        Args:
          since_s: When it last heard them, or when it began to listen.
          now_s: The current time.
        Returns:
          Seconds between the two instants, less stalls and time that is not counted yet.
        """
        until_s = min(now_s, self._counted_until_s)
        elapsed_s = until_s - since_s
        for stall in reversed(self._stalls):
            if stall.ended_at_s <= since_s:
                break
            stalled_s = min(stall.ended_at_s, until_s) - max(stall.began_at_s, since_s)
            elapsed_s -= max(0.0, stalled_s)
        return max(0.0, elapsed_s)

    def stood_still(self, since_s: float, now_s: float) -> bool:
        """Return whether the event loop stood still between two instants, or may have.

        A time limit that has passed meanwhile shows nothing about others.
        """
        return now_s - since_s - self.elapsed_s(since_s, now_s) > _UNCOUNTED_TOLERANCE_S


# Of a process that never stands still.
ALWAYS_RUNNING = RunningTime()
