"""Simulated links between instances that detect unresponsive peers as TCP links do."""

import asyncio
import collections.abc
import dataclasses
from typing import Any
from typing import Protocol

from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces
from faults import network

# The same values as in bilberrystack.proxy.peers and bilberrystack.proxy.links, whose sockets these
# links replace.
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.2
UNRESPONSIVE_TIMEOUT_S = 0.75
ANSWER_MARGIN_S = 0.005


class PeerHandler(Protocol):
    """The calls that an instance serves for its peers."""

    async def execute_forwarded(self, request: requests.GroupRequest) -> outcomes.Outcome: ...

    def handle_digest(self, sender: interfaces.Digest) -> interfaces.Digest: ...

    async def handle_pushed_head(self, sender: interfaces.Digest, head: bytes) -> None: ...

    async def fetch_configuration(
        self, known_parts: list[str]
    ) -> interfaces.ConfigurationTransfer: ...


class PeerLink:
    """A link from one instance to another; implements interfaces.Peer."""

    def __init__(
        self,
        net: network.Network,
        src: str,
        dst: str,
        handler: collections.abc.Callable[[], PeerHandler],
        on_lost: collections.abc.Callable[[], None],
    ) -> None:
        self._net = net
        self._src = src
        self._dst = dst
        self._handler = handler
        self._on_lost = on_lost
        self._connection: network.Connection | None = None
        self._connect_task: asyncio.Task[network.Connection] | None = None
        self._calls_in_flight = 0
        self._last_reply_at = 0.0
        self._probe_task: asyncio.Task[None] | None = None
        self._last_used_at = net.loop.time()

    @property
    def idle_since(self) -> float | None:
        """When the last call ended, on the paused clock; None while calls are in flight."""
        return None if self._calls_in_flight else self._last_used_at

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        if request.deadline - self._net.loop.time() <= ANSWER_MARGIN_S:
            raise interfaces.LinkLost("the deadline has passed", sent=False)
        forwarded_request = dataclasses.replace(
            request, deadline=request.deadline - ANSWER_MARGIN_S
        )
        return await self._call(
            "forward",
            request.deadline,
            lambda handler: handler.execute_forwarded(forwarded_request),
        )

    async def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        return await self._control_call(
            "digest", lambda handler: _completed(handler.handle_digest(sender))
        )

    async def leaving(self, sender: interfaces.Digest) -> interfaces.Digest:
        return await self._control_call(
            "leaving", lambda handler: _completed(handler.handle_digest(sender))
        )

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        await self._control_call(
            "push_head", lambda handler: handler.handle_pushed_head(sender, head)
        )

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        return await self._control_call(
            "fetch", lambda handler: handler.fetch_configuration(known_parts)
        )

    def close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._net.close(connection)

    async def _control_call(self, name: str, method: Any) -> Any:
        return await self._call(name, self._net.loop.time() + CALL_TIMEOUT_S, method)

    async def _call(self, name: str, deadline: float, method: Any) -> Any:
        connection = await self._open_connection(deadline)

        async def handle() -> Any:
            self._net.emit(f"{name}.received", self._dst, self._src)
            return await method(self._handler())

        self._calls_in_flight += 1
        if self._probe_task is None:
            self._last_reply_at = self._net.loop.time()
            self._probe_task = asyncio.get_running_loop().create_task(self._check_responsiveness())
        try:
            async with asyncio.timeout_at(deadline):
                reply = await self._net.call(connection, handle)
        except TimeoutError:
            raise interfaces.LinkLost(
                f"{self._dst}: no reply before the deadline", sent=True
            ) from None
        finally:
            self._calls_in_flight -= 1
            self._last_used_at = self._net.loop.time()
        self._last_reply_at = self._last_used_at
        return reply

    async def _open_connection(self, deadline: float) -> network.Connection:
        if self._connection is not None:
            return self._connection
        if self._connect_task is None:
            self._connect_task = asyncio.get_running_loop().create_task(self._connect())
        remaining_s = deadline - self._net.loop.time()
        done, _pending = await asyncio.wait((self._connect_task,), timeout=remaining_s)
        if not done:
            raise interfaces.LinkLost(
                f"{self._dst}: connection not open before the deadline", sent=False
            )
        return done.pop().result()

    async def _connect(self) -> network.Connection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._net.open(self._src, self._dst)
            connection.on_client_reset = lambda: self._on_connection_lost(connection)
            self._connection = connection
            return connection
        except (interfaces.LinkLost, TimeoutError) as error:
            self._on_lost()
            raise interfaces.LinkLost(f"{self._dst}: {error}", sent=False) from error
        finally:
            self._connect_task = None

    def _on_connection_lost(self, connection: network.Connection) -> None:
        if self._connection is connection:
            self._connection = None
            self._on_lost()

    async def _check_responsiveness(self) -> None:
        """Probe the peer while calls are in flight; close the link if it is unresponsive."""
        loop = self._net.loop
        last_check_at = loop.time()
        try:
            while self._calls_in_flight and self._connection is not None:
                await asyncio.sleep(PROBE_INTERVAL_S)
                if loop.time() - last_check_at > 2 * PROBE_INTERVAL_S:
                    self._last_reply_at = loop.time()
                last_check_at = loop.time()
                connection = self._connection
                if connection is None:
                    return
                if loop.time() - self._last_reply_at > UNRESPONSIVE_TIMEOUT_S:
                    self._net.close(connection)
                    self._on_connection_lost(connection)
                    return
                if loop.time() - self._last_reply_at >= PROBE_INTERVAL_S:
                    loop.create_task(self._send_probe(connection))
        finally:
            self._probe_task = None

    async def _send_probe(self, connection: network.Connection) -> None:
        try:
            await self._net.call(connection, lambda: _completed(None))
        except interfaces.LinkLost:
            return
        self._last_reply_at = self._net.loop.time()


async def _completed(value: Any) -> Any:
    return value
