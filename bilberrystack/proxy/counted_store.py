"""Counts the calls of the store, each of which counts against the platform's limits."""

import collections
import collections.abc
from typing import TypeVar

from bilberrystack.proxy import interfaces

Value = TypeVar("Value")


class CountedStore:
    """A store that counts its calls. Implements interfaces.Store.

    Attributes:
      calls: Calls by kind and result: "ok", "conflict" or "unavailable".
      sent_bytes: Bytes of the values written.
      received_bytes: Bytes of the values read.
    """

    __slots__ = ("_store", "calls", "received_bytes", "sent_bytes")

    def __init__(self, store: interfaces.Store) -> None:
        self._store = store
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def get(self, key: str) -> interfaces.StoredObject | None:
        """Returns an object; see interfaces.Store."""
        return self._received(await self._count("get", self._store.get(key)))

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object conditionally; see interfaces.Store."""
        self.sent_bytes += len(value)
        return await self._count("put", self._store.put(key, value, expected_version))

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> interfaces.StoredObject | None:
        """Waits for a newer version of an object; see interfaces.Store."""
        watch = self._store.watch(key, after_version, wait_s)
        return self._received(await self._count("watch", watch))

    async def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix; see interfaces.Store."""
        return await self._count("keys", self._store.keys(prefix))

    def _received(self, found: interfaces.StoredObject | None) -> interfaces.StoredObject | None:
        if found is not None:
            self.received_bytes += len(found.value)
        return found

    async def _count(self, kind: str, call: collections.abc.Awaitable[Value]) -> Value:
        # A cancelled call counts as unavailable: its answer never came.
        outcome = "unavailable"
        try:
            answer = await call
            outcome = "ok"
        except interfaces.VersionConflict:
            outcome = "conflict"
            raise
        finally:
            self.calls[kind, outcome] += 1
        return answer


def counted(store: interfaces.Store) -> CountedStore:
    """Returns a store that counts its calls; the store itself if it does."""
    return store if isinstance(store, CountedStore) else CountedStore(store)
