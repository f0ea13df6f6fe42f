"""Counters of store calls, each of which counts against the platform's limits."""

import collections
import collections.abc
from typing import TypeVar

from bilberrystack.proxy import interfaces

Value = TypeVar("Value")


class CountedStore:
    """A store wrapper that counts calls. Implements interfaces.Store.

    Attributes:
      calls: The number of calls by kind and result: "ok", "conflict" or "unavailable".
      sent_bytes: The total size of the values written, in bytes.
      received_bytes: The total size of the values read, in bytes.
    """

    __slots__ = ("_store", "calls", "received_bytes", "sent_bytes")

    def __init__(self, store: interfaces.Store) -> None:
        self._store = store
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def get(self, key: str) -> interfaces.StoredObject | None:
        """Return an object; see interfaces.Store."""
        return self._count_received(await self._count_call("get", self._store.get(key)))

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object conditionally; see interfaces.Store."""
        self.sent_bytes += len(value)
        return await self._count_call("put", self._store.put(key, value, expected_version))

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> interfaces.StoredObject | None:
        """Wait for a newer version of an object; see interfaces.Store."""
        watch = self._store.watch(key, after_version, wait_s)
        return self._count_received(await self._count_call("watch", watch))

    async def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix; see interfaces.Store."""
        return await self._count_call("keys", self._store.keys(prefix))

    def _count_received(
        self, stored: interfaces.StoredObject | None
    ) -> interfaces.StoredObject | None:
        if stored is not None:
            self.received_bytes += len(stored.value)
        return stored

    async def _count_call(self, kind: str, call: collections.abc.Awaitable[Value]) -> Value:
        # A cancelled call counts as unavailable, as no answer arrived.
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


def ensure_counted(store: interfaces.Store) -> CountedStore:
    """Return a store that counts calls: the given store if it does, or else a wrapper of it."""
    return store if isinstance(store, CountedStore) else CountedStore(store)
