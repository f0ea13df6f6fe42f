"""The log of a stand-in member, and the data that applying it yields."""

import collections.abc
import dataclasses
from typing import Any

import msgspec

from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack_standins import statements

# Keys of a session that a member keeps (design 2.6).
KEY_WINDOW = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log.

    Attributes:
      position: Its position.
      key: The idempotency key that it records; None for the empty entry of a new primary.
      body: The statement to apply; empty if there is none.
      cancelled: Whether it records that the key must never run.
      result: The recorded answer.
    """

    position: positions.Position
    key: requests.RequestKey | None
    body: bytes
    cancelled: bool
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Pulled:
    """A primary's reply to a replica.

    Attributes:
      accepted: Whether the member is the primary of the replica's term.
      matched: Whether the position after which the replica asked is in the primary's log.
      entries: The entries after that position.
      term: The member's promised term.
    """

    accepted: bool
    matched: bool
    entries: list[Entry]
    term: int


class Promised(msgspec.Struct, frozen=True, tag=True):
    """Durable change: the member promised a term."""

    term: int


class Appended(msgspec.Struct, frozen=True, tag=True):
    """Durable change: the log got one more entry."""

    entry: Entry


class Truncated(msgspec.Struct, frozen=True, tag=True):
    """Durable change: the log dropped the entries after an index."""

    index: int


Change = Promised | Appended | Truncated


class Log:
    """Entries with consecutive indices from 1 and terms that never decrease."""

    __slots__ = ("_entries", "_term_starts")

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._term_starts: list[positions.Position] = []

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last(self) -> positions.Position:
        """The position of the last entry."""
        return self._entries[-1].position if self._entries else positions.ZERO

    @property
    def previous_term_end(self) -> positions.Position:
        """The last position before the first entry of the last entry's term."""
        if not self._term_starts:
            return positions.ZERO
        return self.position_at(self._term_starts[-1].index - 1)

    def position_at(self, index: int) -> positions.Position:
        """Returns the position of the entry with an index; 0 gives the position before all."""
        return self._entries[index - 1].position if index else positions.ZERO

    def contains(self, position: positions.Position) -> bool:
        """Tells whether the log has the entry with a position; it has the one before all."""
        return position.index <= len(self) and self.position_at(position.index) == position

    def after(self, index: int, limit: int | None = None) -> list[Entry]:
        """Returns the entries after an index, at most limit."""
        end = None if limit is None else index + limit
        return self._entries[index:end]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        if entry.position.index != len(self) + 1 or entry.position.term < self.last.term:
            raise ValueError(f"{entry.position} does not follow {self.last}")
        if entry.position.term != self.last.term:
            self._term_starts.append(entry.position)
        self._entries.append(entry)

    def truncate(self, index: int) -> int:
        """Drops the entries after an index; returns how many."""
        dropped = len(self) - index
        del self._entries[index:]
        while self._term_starts and self._term_starts[-1].index > index:
            self._term_starts.pop()
        return dropped


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An idempotency record.

    Attributes:
      result: The recorded answer.
      cancelled: Whether the key was cancelled instead of run.
    """

    result: bytes
    cancelled: bool


class TooOld(Exception):
    """A key is below its session's window, so that it is not known whether it ran."""


class _Session:
    """The last KEY_WINDOW records of one session, by sequence number."""

    __slots__ = ("_dropped", "_records")

    def __init__(self) -> None:
        self._dropped = 0
        self._records: dict[int, Record] = {}

    def find(self, sequence: int) -> Record | None:
        record = self._records.get(sequence)
        if record is None and sequence <= self._dropped:
            raise TooOld(f"sequence {sequence}, window starts after {self._dropped}")
        return record

    def add(self, sequence: int, record: Record) -> None:
        self._records[sequence] = record
        if len(self._records) > KEY_WINDOW:
            self._dropped = min(self._records)
            del self._records[self._dropped]


class Database:
    """The data and the idempotency records after applying entries up to an index."""

    __slots__ = ("_changed_at", "_sessions", "_values", "applied")

    def __init__(self) -> None:
        self.applied = positions.ZERO
        self._values: dict[str, Any] = {}
        self._changed_at: dict[str, int] = {}
        self._sessions: dict[str, _Session] = {}

    def value(self, key: str) -> Any:
        """Returns the value of a key, None if absent."""
        return self._values.get(key)

    def changed_at(self, key: str) -> int:
        """Returns the index of the last entry that wrote a key, 0 if none did."""
        return self._changed_at.get(key, 0)

    def record(self, key: requests.RequestKey) -> Record | None:
        """Returns the record of an idempotency key, None if absent. Raises TooOld."""
        session = self._sessions.get(key.session)
        return session.find(key.sequence) if session else None

    def evaluate(
        self, operations: collections.abc.Iterable[statements.Operation]
    ) -> statements.Effect:
        """Computes what operations do to the data. Raises statements.InvalidStatement."""
        return statements.evaluate(operations, self.value)

    def apply(self, entry: Entry) -> None:
        """Applies the next entry."""
        if entry.body:
            effect = self.evaluate(statements.decode(entry.body))
            self._values.update(effect.writes)
            for key in effect.writes:
                self._changed_at[key] = entry.position.index
        if entry.key is not None:
            session = self._sessions.setdefault(entry.key.session, _Session())
            session.add(entry.key.sequence, Record(entry.result, entry.cancelled))
        self.applied = entry.position
