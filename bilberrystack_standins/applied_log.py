"""The log of a stand-in member, together with the data that its applied entries yield."""

import collections
import collections.abc

from bilberrystack.core import positions
from bilberrystack_standins import replicated_log

ChangeWriter = collections.abc.Callable[[replicated_log.DurableChange], None]


class AppliedLog:
    """A log whose received entries become visible to reads after an apply lag.

    All times are in seconds of the caller's clock.

    Attributes:
      log: The received entries.
      database: The data and idempotency records after the applied entries.
      apply_lag_s: Seconds between the receipt of an entry and its application.
    """

    __slots__ = ("_journal", "_received_at", "apply_lag_s", "database", "log")

    def __init__(self, apply_lag_s: float, journal: ChangeWriter) -> None:
        """Creates an empty log.

        Args:
          apply_lag_s: Seconds between the receipt of an entry and its application.
          journal: Called with each durable change.
        """
        self.log = replicated_log.Log()
        self.database = replicated_log.Database()
        self.apply_lag_s = apply_lag_s
        self._journal = journal
        # Times of receipt of the entries that are not applied yet, in log order.
        self._received_at: collections.deque[float] = collections.deque()

    @property
    def next_apply_at(self) -> float | None:
        """The time at which the next received entry becomes visible; None if all are applied."""
        return self._received_at[0] + self.apply_lag_s if self._received_at else None

    def advance(self, now: float) -> None:
        """Applies the received entries whose apply lag has elapsed."""
        while self._received_at and self._received_at[0] + self.apply_lag_s <= now:
            self._received_at.popleft()
            (entry,) = self.log.entries_after(self.database.applied.index, 1)
            self.database.apply(entry)

    def apply_all(self) -> None:
        """Applies all received entries immediately."""
        self._received_at.clear()
        for entry in self.log.entries_after(self.database.applied.index):
            self.database.apply(entry)

    def append_own(self, entry: replicated_log.Entry) -> positions.Position:
        """Appends and applies an entry of this member as primary; returns its position."""
        self.log.append(entry)
        self._journal(replicated_log.Appended(entry))
        self.database.apply(entry)
        return entry.position

    def receive(self, entry: replicated_log.Entry, now: float) -> int:
        """Appends an entry of the primary whose predecessor is in this log.

        An entry that the log contains already is skipped. If the log has a different entry at the
        same index, that entry and all later ones are discarded first.

        Args:
          entry: The entry.
          now: The time of receipt.
        Returns:
          The number of discarded entries.
        """
        if self.log.contains(entry.position):
            return 0
        discarded_count = 0
        if entry.position.index <= len(self.log):
            discarded_count = self._truncate(entry.position.index - 1)
        self.log.append(entry)
        self._journal(replicated_log.Appended(entry))
        self._received_at.append(now)
        self.advance(now)
        return discarded_count

    def _truncate(self, index: int) -> int:
        dropped_count = self.log.truncate(index)
        self._journal(replicated_log.Truncated(index))
        if self.database.applied.index > index:
            self.database = replicated_log.Database()
            self.apply_all()
            return dropped_count
        for _ in range(dropped_count):
            self._received_at.pop()
        return dropped_count
