"""Links between instances over the network of fakes; they give a silent peer up as TCP links do."""

import asyncio
import collections.abc
import dataclasses
from typing import Any
from typing import Protocol

from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces
from faults import network

# The limits of bilberrystack.proxy.peers, whose sockets these links replace.
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.2
SILENCE_LIMIT_S = 0.75
ANSWER_MARGIN_S = 0.005


class Handler(Protocol):
    """What an instance does for its peers."""

    async def execute_forwarded(self, request: requests.GroupRequest) -> outcomes.Outcome: ...

    def handle_digest(self, sender: interfaces.Digest) -> interfaces.Digest: ...

    async def handle_pushed_head(self, sender: interfaces.Digest, head: bytes) -> None: ...

    async def fetch_configuration(
        self, known_parts: list[str]
    ) -> interfaces.ConfigurationTransfer: ...


class PeerLink:
    """The way from one instance to another; implements interfaces.Peer."""

    def __init__(
        self,
        net: network.Network,
        src: str,
        dst: str,
        handler: collections.abc.Callable[[], Handler],
        on_lost: collections.abc.Callable[[], None],
    ) -> None:
        self._net = net
        self._src = src
        self._dst = dst
        self._handler = handler
        self._on_lost = on_lost
        self._connection: network.Connection | None = None
        self._connecting: asyncio.Task[network.Connection] | None = None
        self._in_flight = 0
        self._answered_at = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._used_at = net.loop.time()

    @property
    def idle_since(self) -> float | None:
        """When the last call ended; None while calls are in flight."""
        return None if self._in_flight else self._used_at

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        if request.deadline - self._net.loop.time() <= ANSWER_MARGIN_S:
            raise interfaces.LinkLost("the deadline has passed", sent=False)
        earlier = dataclasses.replace(request, deadline=request.deadline - ANSWER_MARGIN_S)
        return await self._call(
            "forward", request.deadline, lambda one: one.execute_forwarded(earlier)
        )

    async def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        return await self._control("digest", lambda one: _answered(one.handle_digest(sender)))

    async def leaving(self, sender: interfaces.Digest) -> interfaces.Digest:
        return await self._control("leaving", lambda one: _answered(one.handle_digest(sender)))

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        await self._control("push_head", lambda one: one.handle_pushed_head(sender, head))

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        return await self._control("fetch", lambda one: one.fetch_configuration(known_parts))

    def close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._net.close(connection)

    async def _control(self, name: str, work: Any) -> Any:
        return await self._call(name, self._net.loop.time() + CALL_TIMEOUT_S, work)

    async def _call(self, name: str, deadline: float, work: Any) -> Any:
        connection = await self._connected(deadline)

        async def handle() -> Any:
            self._net.emit(f"{name}.received", self._dst, self._src)
            return await work(self._handler())

        self._in_flight += 1
        if self._probe is None:
            self._answered_at = self._net.loop.time()
            self._probe = asyncio.get_running_loop().create_task(self._watch())
        try:
            async with asyncio.timeout_at(deadline):
                answer = await self._net.call(connection, handle)
        except TimeoutError:
            raise interfaces.LinkLost(f"{self._dst}: no answer in time", sent=True) from None
        finally:
            self._in_flight -= 1
            self._used_at = self._net.loop.time()
        self._answered_at = self._used_at
        return answer

    async def _connected(self, deadline: float) -> network.Connection:
        if self._connection is not None:
            return self._connection
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._open())
        left = deadline - self._net.loop.time()
        done, _pending = await asyncio.wait((self._connecting,), timeout=left)
        if not done:
            raise interfaces.LinkLost(f"{self._dst}: not open in time", sent=False)
        return done.pop().result()

    async def _open(self) -> network.Connection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._net.open(self._src, self._dst)
            connection.on_client_break = lambda: self._broken(connection)
            self._connection = connection
            return connection
        except (interfaces.LinkLost, TimeoutError) as error:
            self._on_lost()
            raise interfaces.LinkLost(f"{self._dst}: {error}", sent=False) from error
        finally:
            self._connecting = None

    def _broken(self, connection: network.Connection) -> None:
        if self._connection is connection:
            self._connection = None
            self._on_lost()

    async def _watch(self) -> None:
        """Probes the link while calls are in flight, and gives it up after a long silence."""
        loop = self._net.loop
        before = loop.time()
        try:
            while self._in_flight and self._connection is not None:
                await asyncio.sleep(PROBE_INTERVAL_S)
                if loop.time() - before > 2 * PROBE_INTERVAL_S:
                    self._answered_at = loop.time()
                before = loop.time()
                connection = self._connection
                if connection is None:
                    return
                if loop.time() - self._answered_at > SILENCE_LIMIT_S:
                    self._net.close(connection)
                    self._broken(connection)
                    return
                if loop.time() - self._answered_at >= PROBE_INTERVAL_S:
                    loop.create_task(self._ping(connection))
        finally:
            self._probe = None

    async def _ping(self, connection: network.Connection) -> None:
        try:
            await self._net.call(connection, lambda: _answered(None))
        except interfaces.LinkLost:
            return
        self._answered_at = self._net.loop.time()


async def _answered(value: Any) -> Any:
    return value
