"""The client's connections to the proxies: one in use, former ones until their calls end."""

import asyncio
import collections.abc
import dataclasses
import random
import ssl
from typing import Any

from bilberrystack.client import results
from bilberrystack.core import errors
from bilberrystack.gen.callers import Caller
from bilberrystack.gen.callers import ttypes
from bilberrystack.wire import codec
from bilberrystack.wire import failures
from bilberrystack.wire import rpc

SERVICE = codec.service(Caller)

# An address that does not answer is given up after this time and another one is tried.
CONNECT_TIMEOUT_S = 1.0

# First and longest pause after all addresses failed.
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.5

_MOVE_ON = frozenset(
    (errors.CallerError.LEAVING.value, errors.CallerError.STALE_CONFIGURATION.value)
)


@dataclasses.dataclass(eq=False, slots=True)
class Proxy:
    """An open connection to a proxy, authenticated as the caller.

    Attributes:
      connection: The connection.
      in_flight: Calls that wait for an answer.
      abandoned: Whether no new calls are to be made.
    """

    connection: rpc.Connection
    in_flight: int = 0
    abandoned: bool = False

    async def call(self, method: str, *fields: Any) -> Any:
        """Calls a method. Raises what rpc.Connection.call raises."""
        self.in_flight += 1
        try:
            return await self.connection.call(method, *fields)
        finally:
            self.in_flight -= 1
            if self.abandoned and not self.in_flight:
                self.connection.close()

    def abandon(self) -> None:
        """Makes no new calls; the connection closes when the calls in flight have ended."""
        self.abandoned = True
        if not self.in_flight:
            self.connection.close()


class Gateway:
    """Finds a proxy that serves this caller."""

    __slots__ = (
        "_addresses",
        "_caller",
        "_chooser",
        "_current",
        "_lock",
        "_next",
        "_retired",
        "_secret",
        "_tls",
    )

    def __init__(
        self,
        addresses: collections.abc.Sequence[str],
        caller: str,
        secret: str,
        tls: ssl.SSLContext | None,
        chooser: random.Random,
    ) -> None:
        self._addresses = list(addresses)
        chooser.shuffle(self._addresses)
        self._caller = caller
        self._secret = secret
        self._tls = tls
        self._chooser = chooser
        self._next = 0
        self._current: Proxy | None = None
        self._retired: set[Proxy] = set()
        self._lock = asyncio.Lock()

    async def open_session(self, deadline: float) -> ttypes.Session:
        """Opens a session. Raises Rejected or NoProxy."""
        _proxy, session = await self._session(deadline, None)
        return session

    async def resume_session(self, session_id: str, deadline: float) -> ttypes.Session:
        """Resumes a session that was opened elsewhere. Raises Rejected or NoProxy."""
        _proxy, session = await self._session(deadline, session_id)
        return session

    async def proxy(self, session_id: str, deadline: float) -> Proxy:
        """Returns an authenticated connection. Raises Rejected or NoProxy."""
        if self._usable(self._current):
            assert self._current is not None
            return self._current
        async with self._lock:
            if self._usable(self._current):
                assert self._current is not None
                return self._current
            proxy, _session = await self._session(deadline, session_id)
            return proxy

    def abandon(self, proxy: Proxy) -> None:
        """Moves to another proxy with the next call."""
        if proxy is self._current:
            self._current = None
        self._retired = {one for one in self._retired if not one.connection.closed}
        if not proxy.abandoned:
            proxy.abandon()
        if not proxy.connection.closed:
            self._retired.add(proxy)

    def close(self) -> None:
        """Closes all connections."""
        for proxy in (self._current, *self._retired):
            if proxy is not None:
                proxy.connection.close()
        self._current = None
        self._retired.clear()

    async def _session(
        self, deadline: float, session_id: str | None
    ) -> tuple[Proxy, ttypes.Session]:
        """Opens or resumes a session on the current connection, or on a new one."""
        pause_s = MIN_PAUSE_S
        failed = 0
        detail = "no address is known"
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout_at(min(deadline, loop.time() + CONNECT_TIMEOUT_S)):
                    return await self._authenticate(session_id)
            except ttypes.CallerFailure as failure:
                if failure.code not in _MOVE_ON:
                    raise results.Rejected(failure.code, failure.detail) from failure
                detail = failure.detail
            except (OSError, TimeoutError, failures.WireFailure) as failure:
                detail = str(failure) or type(failure).__name__
            failed += 1
            if loop.time() >= deadline:
                raise results.NoProxy(detail)
            if failed % len(self._addresses) == 0:
                pause = min(pause_s * self._chooser.uniform(0.5, 1.5), deadline - loop.time())
                await asyncio.sleep(pause)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _authenticate(self, session_id: str | None) -> tuple[Proxy, ttypes.Session]:
        proxy = self._current
        if proxy is None or not self._usable(proxy):
            proxy = await self._connect()
        try:
            if session_id is None:
                session = await proxy.call("open_session", self._caller, self._secret)
            else:
                session = await proxy.call("resume_session", self._caller, self._secret, session_id)
        except BaseException:
            self.abandon(proxy)
            raise
        if not self._usable(self._current):
            self._current = proxy
        elif self._current is not proxy:
            self.abandon(proxy)
            assert self._current is not None
            proxy = self._current
        return proxy, session

    async def _connect(self) -> Proxy:
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        host, _, port = address.rpartition(":")
        connection = await rpc.connect(SERVICE, host.strip("[]"), int(port), tls=self._tls)
        return Proxy(connection)

    def _usable(self, proxy: Proxy | None) -> bool:
        return proxy is not None and not proxy.abandoned and not proxy.connection.closed
