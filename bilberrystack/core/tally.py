"""Counters of request outcomes at one instance, for operators and metrics."""

import collections
import collections.abc

from bilberrystack.core import burn
from bilberrystack.core import outcomes
from bilberrystack.core import requests


class OutcomeCounters:
    """Counters of one instance since its start, and its counts of the latest minutes."""

    __slots__ = (
        "_ended_requests",
        "_history",
        "_primary_changes",
        "_reads",
        "_refusals",
        "_unknowns",
    )

    def __init__(self) -> None:
        self._history = burn.MinuteHistory()
        self._reads: collections.Counter[str] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._unknowns: collections.Counter[str] = collections.Counter()
        self._primary_changes: collections.Counter[str] = collections.Counter()
        self._ended_requests = 0

    @property
    def reads(self) -> collections.abc.Mapping[str, int]:
        """Number of answered reads by role of the serving member, "replica" or "primary"."""
        return self._reads

    @property
    def refusals(self) -> collections.abc.Mapping[str, int]:
        """Number of requests that did not run, by reason."""
        return self._refusals

    @property
    def unknowns(self) -> collections.abc.Mapping[str, int]:
        """Number of requests with an unknown outcome, by reason."""
        return self._unknowns

    @property
    def primary_changes(self) -> collections.abc.Mapping[str, int]:
        """Number of primary changes completed by this instance, "planned" or "unplanned"."""
        return self._primary_changes

    @property
    def ended_requests(self) -> int:
        """Number of completed requests."""
        return self._ended_requests

    @property
    def history(self) -> burn.MinuteHistory:
        """Counts of the latest minutes."""
        return self._history

    def record_outcome(
        self, kind: requests.Kind, outcome: outcomes.Outcome, wall_time: float
    ) -> None:
        """Records the outcome of a request as reported to the caller.

        Args:
          kind: Kind of the request.
          outcome: Outcome of the request.
          wall_time: Time of the outcome, in seconds since the epoch.
        """
        minute = self._history.counts_at(wall_time)
        self._ended_requests += 1
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

    def record_primary_change(self, kind: str, gap_s: float, wall_time: float) -> None:
        """Records a primary change that this instance completed.

        Args:
          kind: "planned" or "unplanned".
          gap_s: Gap in service, in seconds.
          wall_time: Time of completion, in seconds since the epoch.
        """
        self._primary_changes[kind] += 1
        self._history.record_gap(wall_time, round(gap_s * 1000))
