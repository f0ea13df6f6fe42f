"""The platform's store in memory, with outages, delays and answers that get lost."""

import asyncio
from typing import Any

from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces
from faults import network

STORE = "store"

# A client of the store gives up on a call after this time.
CALL_TIMEOUT_S = 1.0


class StoreServer:
    """The store itself.

    Attributes:
      down: Whether it answers nothing.
      slow_s: Extra time of each call.
      lose_answers: How many of the next changes take effect without an answer.
    """

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.objects: dict[str, interfaces.StoredObject] = {}
        self._waiters: dict[asyncio.Future[None], None] = {}
        net.add(STORE, "platform")

    def write(self, key: str, value: bytes) -> int:
        """Writes an object as the platform does, whatever its version; returns the new one."""
        current = self.objects.get(key)
        version = current.version + 1 if current else 1
        self.objects[key] = interfaces.StoredObject(key, value, version)
        for waiter in list(self._waiters):
            if not waiter.done():
                waiter.set_result(None)
        return version

    def heal(self) -> None:
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0

    async def get(self, key: str) -> interfaces.StoredObject | None:
        await self._arrived()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        self.net.emit("store.put.received", STORE)
        await self._arrived()
        current = self.objects.get(key)
        version = current.version if current else 0
        if version != expected_version:
            raise interfaces.VersionConflict(f"{key} is at {version}, not {expected_version}")
        self.write(key, value)
        if key == configuration.HEAD_KEY:
            self.net.emit("head.updated", STORE)
        if self.lose_answers:
            self.lose_answers -= 1
            raise interfaces.StoreUnavailable("the answer was lost")
        return version + 1

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> interfaces.StoredObject | None:
        await self._arrived()
        end = self.net.loop.time() + wait_s
        while True:
            current = self.objects.get(key)
            if current is not None and current.version > after_version:
                return current
            left = end - self.net.loop.time()
            if left <= 0 or self.down:
                return None
            waiter: asyncio.Future[None] = self.net.loop.create_future()
            self._waiters[waiter] = None
            await asyncio.wait([waiter], timeout=min(left, CALL_TIMEOUT_S))
            self._waiters.pop(waiter, None)
            if self.down:
                raise interfaces.StoreUnavailable("the store is down")

    async def keys(self, prefix: str) -> list[str]:
        await self._arrived()
        return sorted(key for key in self.objects if key.startswith(prefix))

    async def _arrived(self) -> None:
        if self.down:
            raise interfaces.StoreUnavailable("the store is down")
        await asyncio.sleep(0.001 + self.slow_s)
        if self.down:
            raise interfaces.StoreUnavailable("the store is down")


class StoreLink:
    """What one instance holds of the store; implements interfaces.Store."""

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
