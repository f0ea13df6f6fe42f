"""In-memory platform store with outages, delays and lost replies."""

import asyncio
from typing import Any

from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces
from faults import network

STORE = "store"

# Timeout of a call to the store.
CALL_TIMEOUT_S = 1.0


class StoreServer:
    """The server side of the store.

    Attributes:
      is_down: Whether the store is unavailable.
      extra_delay_s: Additional time of each call, in seconds.
      replies_to_lose: Number of the next puts that take effect but whose reply is lost.
      objects: Stored objects by key.
    """

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.is_down = False
        self.extra_delay_s = 0.0
        self.replies_to_lose = 0
        self.objects: dict[str, interfaces.StoredObject] = {}
        self._waiters: dict[asyncio.Future[None], None] = {}
        net.add_process(STORE, "platform")

    def write(self, key: str, value: bytes) -> int:
        """Write an object unconditionally, as the platform does, and return its new version."""
        current = self.objects.get(key)
        version = current.version + 1 if current else 1
        self.objects[key] = interfaces.StoredObject(key, value, version)
        for waiter in list(self._waiters):
            if not waiter.done():
                waiter.set_result(None)
        return version

    def heal(self) -> None:
        self.is_down = False
        self.extra_delay_s = 0.0
        self.replies_to_lose = 0

    async def get(self, key: str) -> interfaces.StoredObject | None:
        await self._simulate_latency()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        self.net.emit("store.put.received", STORE)
        await self._simulate_latency()
        current = self.objects.get(key)
        version = current.version if current else 0
        if version != expected_version:
            raise interfaces.VersionConflict(f"{key} is at {version}, not {expected_version}")
        self.write(key, value)
        if key == configuration.HEAD_KEY:
            self.net.emit("head.updated", STORE)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise interfaces.StoreUnavailable("the reply was lost")
        return version + 1

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> interfaces.StoredObject | None:
        await self._simulate_latency()
        end_at = self.net.loop.time() + wait_s
        while True:
            current = self.objects.get(key)
            if current is not None and current.version > after_version:
                return current
            remaining_s = end_at - self.net.loop.time()
            if remaining_s <= 0 or self.is_down:
                return None
            waiter: asyncio.Future[None] = self.net.loop.create_future()
            self._waiters[waiter] = None
            await asyncio.wait([waiter], timeout=min(remaining_s, CALL_TIMEOUT_S))
            self._waiters.pop(waiter, None)
            if self.is_down:
                raise interfaces.StoreUnavailable("the store is down")

    async def keys(self, prefix: str) -> list[str]:
        await self._simulate_latency()
        return sorted(key for key in self.objects if key.startswith(prefix))

    async def _simulate_latency(self) -> None:
        if self.is_down:
            raise interfaces.StoreUnavailable("the store is down")
        await asyncio.sleep(0.001 + self.extra_delay_s)
        if self.is_down:
            raise interfaces.StoreUnavailable("the store is down")


class StoreLink:
    """A link from an instance to the store; implements interfaces.Store."""

    def __init__(self, server: StoreServer, instance: str) -> None:
        self._server = server
        self._instance = instance
        self._connection: network.Connection | None = None

    async def get(self, key: str) -> interfaces.StoredObject | None:
        return await self._call(lambda: self._server.get(key))

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        return await self._call(lambda: self._server.put(key, value, expected_version))

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> interfaces.StoredObject | None:
        return await self._call(lambda: self._server.watch(key, after_version, wait_s), wait_s)

    async def keys(self, prefix: str) -> list[str]:
        return await self._call(lambda: self._server.keys(prefix))

    async def _call(self, handler: Any, wait_s: float = 0.0) -> Any:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                if self._connection is None or self._connection.broken:
                    self._connection = await self._server.net.open(self._instance, STORE)
                return await self._server.net.call(self._connection, handler)
        except (interfaces.LinkLost, TimeoutError) as error:
            raise interfaces.StoreUnavailable(str(error)) from error
