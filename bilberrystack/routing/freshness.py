"""Which log position a read needs, from positions that the primary has shown.

A position shown in an answer to a statement that was sent at some instant covers every commit that
was acknowledged before that instant. Instants are read on a clock that also counts a suspension of
the machine, so that a sample never seems younger than it is.
"""

import collections
import dataclasses

from bilberrystack.core import positions

# Samples closer together than this are merged: a read that may be 1 s old needs no finer ones.
SAMPLE_GAP_S = 0.05

# Samples older than this are dropped; no route seen allows an older read.
MAX_SAMPLE_AGE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A position that the primary showed.

    Attributes:
      asked_at_s: When the statement was sent whose answer showed it.
      position: The position.
    """

    asked_at_s: float
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """The last write of a session.

    Attributes:
      term: The primary's term when it was acknowledged.
      sample: A position whose log has the write, and when the write was sent.
    """

    term: int
    sample: Sample


class History:
    """The positions that the primaries of one group have shown."""

    __slots__ = ("_base", "_samples", "_term")

    def __init__(self) -> None:
        self._term = 0
        self._base: Sample | None = None
        self._samples: collections.deque[Sample] = collections.deque()

    @property
    def term(self) -> int:
        """The term of the primary whose positions are kept, 0 before the first one."""
        return self._term

    def newest_age_s(self, now_s: float) -> float | None:
        """Returns the age of the newest sample; None if there is none."""
        return now_s - self._samples[-1].asked_at_s if self._samples else None

    def newest(self) -> Sample | None:
        """Returns the newest sample; None if there is none."""
        return self._samples[-1] if self._samples else None

    def record(self, term: int, sample: Sample) -> None:
        """Takes a position that the confirmed primary of a term showed.

        A new term drops the samples of older ones: positions beyond the point where a promotion cut
        the log exist nowhere any more.

        Args:
          term: The primary's term.
          sample: What it showed.
        """
        if term < self._term:
            return
        if term > self._term:
            self._term = term
            self._base = sample
            self._samples.clear()
        if self._samples:
            last = self._samples[-1]
            if sample.asked_at_s < last.asked_at_s or sample.position < last.position:
                return
            if sample.asked_at_s - last.asked_at_s < SAMPLE_GAP_S and len(self._samples) > 1:
                # The earlier instant stays: it is what the position is known to cover. The newest
                # sample moves on only once the one before it is old enough.
                previous = self._samples[-2]
                if last.asked_at_s - previous.asked_at_s < SAMPLE_GAP_S:
                    self._samples.pop()
        self._samples.append(sample)
        while sample.asked_at_s - self._samples[0].asked_at_s > MAX_SAMPLE_AGE_S:
            self._samples.popleft()

    def needed_for_age(self, now_s: float, max_age_s: float) -> Sample | None:
        """Returns the lowest position known to cover all that was acknowledged `max_age_s` ago.

        Args:
          now_s: The present.
          max_age_s: How old the read may be.
        Returns:
          The position; None if no sample is young enough.
        """
        oldest = now_s - max_age_s
        return next((one for one in self._samples if one.asked_at_s >= oldest), None)

    def needed_for_mark(self, mark: Mark) -> Sample | None:
        """Returns the position that a log needs to have a session's last write.

        Args:
          mark: The session's last write.
        Returns:
          The position. A write of an older term that survived lies before the first position of
          the present term. None if the mark is of a newer term than any sample.
        """
        if mark.term == self._term:
            return mark.sample
        return self._base if mark.term < self._term else None
