"""Counts of what callers were answered at one instance, for operators and metrics."""

import collections
import collections.abc

from bilberrystack.core import burn
from bilberrystack.core import outcomes
from bilberrystack.core import requests


class Tally:
    """The counts of one instance since its start, and its latest minutes."""

    __slots__ = ("_changes", "_ended", "_history", "_reads", "_refusals", "_unknowns")

    def __init__(self) -> None:
        self._history = burn.History()
        self._reads: collections.Counter[str] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._unknowns: collections.Counter[str] = collections.Counter()
        self._changes: collections.Counter[str] = collections.Counter()
        self._ended = 0

    @property
    def reads(self) -> collections.abc.Mapping[str, int]:
        """Reads answered, by "replica" and "primary"."""
        return self._reads

    @property
    def refusals(self) -> collections.abc.Mapping[str, int]:
        """Requests that ended as not run, by reason."""
        return self._refusals

    @property
    def unknowns(self) -> collections.abc.Mapping[str, int]:
        """Requests that ended as unknown, by reason."""
        return self._unknowns

    @property
    def changes(self) -> collections.abc.Mapping[str, int]:
        """Changes of primary that this instance completed, "planned" and "unplanned"."""
        return self._changes

    @property
    def ended(self) -> int:
        """Requests that ended."""
        return self._ended

    @property
    def history(self) -> burn.History:
        """The latest minutes."""
        return self._history

    def outcome(self, kind: requests.Kind, outcome: outcomes.Outcome, wall_time: float) -> None:
        """Takes the outcome that a caller was told.

        Args:
          kind: What the request did.
          outcome: Its outcome.
          wall_time: Seconds since the epoch.
        """
        minute = self._history.at(wall_time)
        self._ended += 1
        minute.requests += 1
        match outcome:
            case outcomes.Answer() if kind is requests.Kind.READ:
                minute.reads += 1
                minute.replica_reads += outcome.from_replica
                self._reads["replica" if outcome.from_replica else "primary"] += 1
            case outcomes.NotRun():
                minute.refused += 1
                self._refusals[outcome.reason.name] += 1
            case outcomes.Unknown():
                minute.unknown += 1
                self._unknowns[outcome.reason.name] += 1

    def change(self, kind: str, gap_s: float, wall_time: float) -> None:
        """Takes a change of primary that this instance completed.

        Args:
          kind: "planned" or "unplanned".
          gap_s: The gap in service, in seconds.
          wall_time: Seconds since the epoch.
        """
        self._changes[kind] += 1
        self._history.gap(wall_time, round(gap_s * 1000))
