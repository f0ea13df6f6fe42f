"""The log of a stand-in member, and the data that results from applying it."""

import collections.abc
import dataclasses
from typing import Any

import msgspec

from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack_standins import statements

# Idempotency records that a member keeps for each session (design 2.6).
RECORDS_PER_SESSION = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log.

    Attributes:
      position: The entry's position.
      key: The idempotency key that the entry records; None for the empty first entry of a new
        primary.
      body: The statement to apply; empty if there is none.
      cancelled: Whether the entry cancels the key, so that the key's request never runs.
      result: The recorded answer.
    """

    position: positions.Position
    key: requests.RequestKey | None
    body: bytes
    cancelled: bool
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PullResult:
    """A member's reply to a pull of a replica.

    Attributes:
      accepted: Whether the member is the primary of the replica's term.
      matched: Whether the primary's log contains the position after which the replica pulled.
      entries: The entries after that position.
      term: The promised term of the member that replied.
    """

    accepted: bool
    matched: bool
    entries: list[Entry]
    term: int


class Promised(msgspec.Struct, frozen=True, tag=True):
    """Durable change: the member promised a term."""

    term: int


class Appended(msgspec.Struct, frozen=True, tag=True):
    """Durable change: an entry was appended to the log."""

    entry: Entry


class Truncated(msgspec.Struct, frozen=True, tag=True):
    """Durable change: the entries after an index were removed from the log."""

    index: int


DurableChange = Promised | Appended | Truncated


class Log:
    """Entries with consecutive indices, starting at 1, and terms that never decrease."""

    __slots__ = ("_entries", "_term_starts")

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._term_starts: list[positions.Position] = []

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last(self) -> positions.Position:
        """The position of the last entry; positions.ZERO if the log is empty."""
        return self._entries[-1].position if self._entries else positions.ZERO

    @property
    def previous_term_end(self) -> positions.Position:
        """The position before the first entry of the last entry's term."""
        if not self._term_starts:
            return positions.ZERO
        return self.position_at(self._term_starts[-1].index - 1)

    def position_at(self, index: int) -> positions.Position:
        """Returns the position of the entry at an index; positions.ZERO for index 0."""
        return self._entries[index - 1].position if index else positions.ZERO

    def contains(self, position: positions.Position) -> bool:
        """Returns whether the log has an entry with this position; True for positions.ZERO."""
        return position.index <= len(self) and self.position_at(position.index) == position

    def entries_after(self, index: int, limit: int | None = None) -> list[Entry]:
        """Returns the entries after an index, at most `limit` of them."""
        end = None if limit is None else index + limit
        return self._entries[index:end]

    def append(self, entry: Entry) -> None:
        """Appends an entry. Raises ValueError if it does not follow the last one."""
        if entry.position.index != len(self) + 1 or entry.position.term < self.last.term:
            raise ValueError(f"{entry.position} does not follow {self.last}")
        if entry.position.term != self.last.term:
            self._term_starts.append(entry.position)
        self._entries.append(entry)

    def truncate(self, index: int) -> int:
        """Removes the entries after an index; returns their number."""
        removed_count = len(self) - index
        del self._entries[index:]
        while self._term_starts and self._term_starts[-1].index > index:
            self._term_starts.pop()
        return removed_count


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """The outcome recorded for an idempotency key.

    Attributes:
      result: The recorded answer.
      cancelled: Whether the key was cancelled; otherwise its request has run.
    """

    result: bytes
    cancelled: bool


class KeyTooOld(Exception):
    """A key has no record, but records of its session up to this key or a later one were dropped.

    It is unknown whether the request of the key ran.
    """


class _SessionRecords:
    """The newest RECORDS_PER_SESSION idempotency records of a session, by sequence number."""

    __slots__ = ("_highest_dropped", "_records")

    def __init__(self) -> None:
        self._highest_dropped = 0
        self._records: dict[int, IdempotencyRecord] = {}

    def find(self, sequence: int) -> IdempotencyRecord | None:
        record = self._records.get(sequence)
        if record is None and sequence <= self._highest_dropped:
            raise KeyTooOld(f"sequence {sequence}, window starts after {self._highest_dropped}")
        return record

    def add(self, sequence: int, record: IdempotencyRecord) -> None:
        self._records[sequence] = record
        if len(self._records) > RECORDS_PER_SESSION:
            self._highest_dropped = min(self._records)
            del self._records[self._highest_dropped]


class Database:
    """The data and the idempotency records after applying the log up to a position.

    Attributes:
      applied: The position of the last applied entry.
    """

    __slots__ = ("_last_change_indices", "_sessions", "_values", "applied")

    def __init__(self) -> None:
        self.applied = positions.ZERO
        self._values: dict[str, Any] = {}
        self._last_change_indices: dict[str, int] = {}
        self._sessions: dict[str, _SessionRecords] = {}

    def value(self, key: str) -> Any:
        """Returns the value of a key; None if absent."""
        return self._values.get(key)

    def last_change_index(self, key: str) -> int:
        """Returns the index of the last entry that wrote a key; 0 if there is none."""
        return self._last_change_indices.get(key, 0)

    def find_record(self, key: requests.RequestKey) -> IdempotencyRecord | None:
        """Returns the record of an idempotency key; None if absent. Raises KeyTooOld."""
        session = self._sessions.get(key.session)
        return session.find(key.sequence) if session else None

    def evaluate(
        self, operations: collections.abc.Iterable[statements.Operation]
    ) -> statements.Effect:
        """Computes the effect of operations on the data. Raises statements.InvalidStatement."""
        return statements.evaluate(operations, self.value)

    def apply(self, entry: Entry) -> None:
        """Applies the entry that follows the last applied one."""
        if entry.body:
            effect = self.evaluate(statements.decode(entry.body))
            self._values.update(effect.writes)
            for key in effect.writes:
                self._last_change_indices[key] = entry.position.index
        if entry.key is not None:
            session = self._sessions.setdefault(entry.key.session, _SessionRecords())
            session.add(entry.key.sequence, IdempotencyRecord(entry.result, entry.cancelled))
        self.applied = entry.position
