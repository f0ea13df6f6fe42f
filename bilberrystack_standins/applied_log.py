"""The log of a stand-in member together with the data of its applied part."""

import collections
import collections.abc

from bilberrystack.core import positions
from bilberrystack_standins import replicated_log

Journal = collections.abc.Callable[[replicated_log.Change], None]


class AppliedLog:
    """A log whose received entries get visible to reads after an apply lag.

    All times are seconds of the driver's clock.

    Attributes:
      log: The log.
      database: The data and records of its applied part.
      apply_lag_s: Seconds for which a received entry is held back from reads.
    """

    __slots__ = ("_journal", "_received", "apply_lag_s", "database", "log")

    def __init__(self, apply_lag_s: float, journal: Journal) -> None:
        """Creates it empty; journal is called with each durable change."""
        self.log = replicated_log.Log()
        self.database = replicated_log.Database()
        self.apply_lag_s = apply_lag_s
        self._journal = journal
        # The instants at which the entries that are not applied yet arrived, in log order.
        self._received: collections.deque[float] = collections.deque()

    @property
    def next_apply_at(self) -> float | None:
        """The instant at which the next received entry gets visible; None if there is none."""
        return self._received[0] + self.apply_lag_s if self._received else None

    def advance(self, now: float) -> None:
        """Applies the received entries whose apply lag has passed."""
        while self._received and self._received[0] + self.apply_lag_s <= now:
            self._received.popleft()
            (entry,) = self.log.after(self.database.applied.index, 1)
            self.database.apply(entry)

    def apply_all(self) -> None:
        """Applies the whole log at once."""
        self._received.clear()
        for entry in self.log.after(self.database.applied.index):
            self.database.apply(entry)

    def add_own(self, entry: replicated_log.Entry) -> positions.Position:
        """Adds and applies an entry of this member as primary; returns its position."""
        self.log.append(entry)
        self._journal(replicated_log.Appended(entry))
        self.database.apply(entry)
        return entry.position

    def receive(self, entry: replicated_log.Entry, now: float) -> int:
        """Takes an entry of the primary that follows one which this log has.

        An entry that the log has already is skipped. In place of another entry, that one and all
        after it are discarded.

        Returns:
          The number of entries discarded.
        """
        if self.log.contains(entry.position):
            return 0
        discarded = 0
        if entry.position.index <= len(self.log):
            discarded = self._truncate(entry.position.index - 1)
        self.log.append(entry)
        self._journal(replicated_log.Appended(entry))
        self._received.append(now)
        self.advance(now)
        return discarded

    def _truncate(self, index: int) -> int:
        dropped = self.log.truncate(index)
        self._journal(replicated_log.Truncated(index))
        if self.database.applied.index > index:
            self.database = replicated_log.Database()
            self.apply_all()
            return dropped
        for _ in range(dropped):
            self._received.pop()
        return dropped
