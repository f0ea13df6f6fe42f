"""Transactions of a stand-in member: buffered writes, and the first committer wins."""

from typing import Any

from bilberrystack_standins import replicated_log
from bilberrystack_standins import statements


class Transaction:
    """An open transaction. What it has read and written is not visible outside it."""

    __slots__ = ("_seen", "_view", "_written")

    def __init__(self) -> None:
        # The index of the last change of each key touched, at the first touch.
        self._seen: dict[str, int] = {}
        self._view: dict[str, Any] = {}
        self._written: set[str] = set()

    def run(self, body: bytes, database: replicated_log.Database) -> list[Any]:
        """Runs a statement; repeated reads of a key give the same value.

        Args:
          body: The statement.
          database: The committed data.
        Returns:
          The results. Raises statements.InvalidStatement; the statement then has no effect.
        """

        def read(key: str) -> Any:
            if key not in self._view:
                self._seen[key] = database.changed_at(key)
                self._view[key] = database.value(key)
            return self._view[key]

        effect = statements.evaluate(statements.decode(body), read)
        for key, value in effect.writes.items():
            self._seen.setdefault(key, database.changed_at(key))
            self._view[key] = value
            self._written.add(key)
        return effect.results

    def first_changed(self, database: replicated_log.Database) -> str | None:
        """Returns a key that changed since the transaction touched it; None if none did."""
        for key, seen in self._seen.items():
            if database.changed_at(key) != seen:
                return key
        return None

    def body(self) -> bytes:
        """Returns the statement that writes what the transaction wrote."""
        puts = [statements.Put(key, self._view[key]) for key in sorted(self._written)]
        return statements.encode(*puts)
