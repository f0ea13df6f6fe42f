"""Transactions of a stand-in member, with buffered writes and first-committer-wins conflicts."""

from typing import Any

from bilberrystack_standins import replicated_log
from bilberrystack_standins import statements


class Transaction:
    """An open transaction. Its writes are buffered and not visible outside it."""

    __slots__ = ("_change_indices", "_values", "_written_keys")

    def __init__(self) -> None:
        # For each accessed key, the index of its last change at the time of the first access.
        self._change_indices: dict[str, int] = {}
        self._values: dict[str, Any] = {}
        self._written_keys: set[str] = set()

    def run(self, body: bytes, database: replicated_log.Database) -> list[Any]:
        """Runs a statement; repeated reads of a key return the same value.

        Args:
          body: The statement.
          database: The committed data.
        Returns:
          The results.
        Raises:
          statements.InvalidStatement: The statement is invalid and has no effect.
        """

        def read(key: str) -> Any:
            if key not in self._values:
                self._change_indices[key] = database.last_change_index(key)
                self._values[key] = database.value(key)
            return self._values[key]

        effect = statements.evaluate(statements.decode(body), read)
        for key, value in effect.writes.items():
            self._change_indices.setdefault(key, database.last_change_index(key))
            self._values[key] = value
            self._written_keys.add(key)
        return effect.results

    def find_conflict(self, database: replicated_log.Database) -> str | None:
        """Returns a key that has changed since the transaction accessed it; None if none has."""
        for key, change_index in self._change_indices.items():
            if database.last_change_index(key) != change_index:
                return key
        return None

    def encode_writes(self) -> bytes:
        """Returns a statement with all writes of the transaction."""
        puts = [statements.Put(key, self._values[key]) for key in sorted(self._written_keys)]
        return statements.encode(*puts)
