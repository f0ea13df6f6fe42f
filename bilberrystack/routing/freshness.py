"""Log positions that reads require, derived from positions that the primary has reported.

A position in the answer to a request covers every commit that was acknowledged before the request
was sent. Times are read from a clock that keeps running while the machine is suspended, so that a
sample never appears younger than it is.
"""

import collections
import dataclasses

from bilberrystack.core import positions

# Samples that are closer together in time than this are merged: reads of data that is up to 1 s
# old need no higher resolution.
MIN_SAMPLE_INTERVAL_S = 0.05

# Older samples are dropped: no known route allows reads of older data.
MAX_SAMPLE_AGE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A log position reported by the primary.

    Attributes:
      request_sent_at_s: Time at which the request was sent whose answer contained the position.
      position: The log position.
    """

    request_sent_at_s: float
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class LastWritePosition:
    """Position of a session's last write.

    Attributes:
      term: Term of the primary that acknowledged the write.
      sample: A position at or after the write in the log, and the time at which the write was sent.
    """

    term: int
    sample: Sample


class PositionHistory:
    """Recent log positions that the primary of a group has reported."""

    __slots__ = ("_first_of_term", "_samples", "_term")

    def __init__(self) -> None:
        self._term = 0
        self._first_of_term: Sample | None = None
        self._samples: collections.deque[Sample] = collections.deque()

    @property
    def term(self) -> int:
        """Term of the primary that reported the positions; 0 if there is none."""
        return self._term

    def newest_age_s(self, now_s: float) -> float | None:
        """Returns the age of the newest sample in seconds; None if there is no sample."""
        return now_s - self._samples[-1].request_sent_at_s if self._samples else None

    def newest_sample(self) -> Sample | None:
        """Returns the newest sample; None if there is no sample."""
        return self._samples[-1] if self._samples else None

    def record(self, term: int, sample: Sample) -> None:
        """Adds a position reported by the confirmed primary of a term.

        A newer term drops the samples of older terms: a promotion truncates the log, and positions
        beyond that point no longer exist.

        Args:
          term: Term of the primary.
          sample: The reported position.
        """
        if term < self._term:
            return
        if term > self._term:
            self._term = term
            self._first_of_term = sample
            self._samples.clear()
        if self._samples:
            last = self._samples[-1]
            if sample.request_sent_at_s < last.request_sent_at_s or sample.position < last.position:
                return
            if (
                sample.request_sent_at_s - last.request_sent_at_s < MIN_SAMPLE_INTERVAL_S
                and len(self._samples) > 1
            ):
                # Each kept sample retains the time of its own request, because its position covers
                # only commits before that time. The new sample replaces the last one only if the
                # last one is itself too close to its predecessor.
                previous = self._samples[-2]
                if last.request_sent_at_s - previous.request_sent_at_s < MIN_SAMPLE_INTERVAL_S:
                    self._samples.pop()
        self._samples.append(sample)
        while sample.request_sent_at_s - self._samples[0].request_sent_at_s > MAX_SAMPLE_AGE_S:
            self._samples.popleft()

    def sample_for_age(self, now_s: float, max_age_s: float) -> Sample | None:
        """Returns the lowest position that covers all commits older than `max_age_s`.

        Args:
          now_s: Current time.
          max_age_s: Maximum age of the data that the read returns, in seconds.
        Returns:
          The sample with the position; None if every sample is older than `max_age_s`.
        """
        oldest_s = now_s - max_age_s
        return next(
            (sample for sample in self._samples if sample.request_sent_at_s >= oldest_s), None
        )

    def sample_for_last_write(self, last_write: LastWritePosition) -> Sample | None:
        """Returns the position that a log must contain to include a session's last write.

        Args:
          last_write: Position of the session's last write.
        Returns:
          The sample with the position. For a write of an older term, this is the first sample of
          the current term: if the write survived the promotion, it precedes that position. None if
          the write belongs to a newer term than all samples.
        """
        if last_write.term == self._term:
            return last_write.sample
        return self._first_of_term if last_write.term < self._term else None
