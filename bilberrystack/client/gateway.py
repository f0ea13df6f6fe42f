"""The client's connections to the proxies: one in use, former ones until their calls end."""

import asyncio
import collections.abc
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

# A connection with calls in flight is probed at this interval and given up after this silence.
PROBE_INTERVAL_S = 0.5
SILENCE_LIMIT_S = 2.0

# First and longest pause after all addresses failed.
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.5

_MOVE_ON = frozenset(
    (errors.CallerError.LEAVING.value, errors.CallerError.STALE_CONFIGURATION.value)
)


class Proxy:
    """An open connection to a proxy, authenticated as the caller.

    While calls are in flight a silent connection is probed and then given up: a proxy that is cut
    off or stopped reports no error.
    """

    __slots__ = (
        "_abandoned",
        "_answered_at",
        "_connection",
        "_credentials",
        "_in_flight",
        "_loop",
        "_probe",
        "_probing",
        "_session_id",
    )

    def __init__(self, connection: rpc.Connection, caller: str, secret: str) -> None:
        self._connection = connection
        self._credentials = (caller, secret)
        self._session_id: str | None = None
        self._loop = asyncio.get_running_loop()
        self._in_flight = 0
        self._abandoned = False
        self._answered_at = 0.0
        self._probe: asyncio.TimerHandle | None = None
        self._probing: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether new calls can be made."""
        return not self._abandoned and not self._connection.closed

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._connection.closed

    async def open_session(self) -> ttypes.Session:
        """Opens a session, which authenticates the connection."""
        session: ttypes.Session = await self.call("open_session", *self._credentials)
        self._session_id = session.id
        return session

    async def resume_session(self, session_id: str) -> ttypes.Session:
        """Resumes a session, which authenticates the connection."""
        session: ttypes.Session = await self.call("resume_session", *self._credentials, session_id)
        self._session_id = session_id
        return session

    async def call(self, method: str, *fields: Any) -> Any:
        """Calls a method. Raises what rpc.Connection.call raises."""
        if self._probe is None:
            self._answered_at = self._loop.time()
            self._probe = self._loop.call_later(PROBE_INTERVAL_S, self._tick, self._answered_at)
        self._in_flight += 1
        try:
            answer = await self._connection.call(method, *fields)
        finally:
            self._in_flight -= 1
            if self._abandoned and not self._in_flight:
                self.close()
        self._answered_at = self._loop.time()
        return answer

    def abandon(self) -> None:
        """Makes no new calls; the connection closes when the calls in flight have ended."""
        self._abandoned = True
        if not self._in_flight:
            self.close()

    def close(self) -> None:
        """Closes the connection; calls in flight fail."""
        if self._probe is not None:
            self._probe.cancel()
        self._connection.close()

    def _tick(self, planned_at: float) -> None:
        self._probe = None
        if not self._in_flight or self._connection.closed:
            return
        now = self._loop.time()
        if now - planned_at > 2 * PROBE_INTERVAL_S:
            # This loop did not run, so answers may wait unread.
            self._answered_at = now
        silence_s = now - self._answered_at
        if silence_s > SILENCE_LIMIT_S:
            self._connection.close()
            return
        if silence_s >= PROBE_INTERVAL_S and self._probing is None and self._session_id:
            self._probing = self._loop.create_task(self._ping(self._session_id))
        self._probe = self._loop.call_later(PROBE_INTERVAL_S, self._tick, now)

    async def _ping(self, session_id: str) -> None:
        """Resumes the session once more; a refusal shows that the proxy is alive, too."""
        try:
            await self._connection.call("resume_session", *self._credentials, session_id)
        except failures.WireFailure:
            return
        except ttypes.CallerFailure:
            pass
        finally:
            self._probing = None
        self._answered_at = self._loop.time()


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
        if self._current is not None and self._current.usable:
            return self._current
        async with self._lock:
            if self._current is not None and self._current.usable:
                return self._current
            proxy, _session = await self._session(deadline, session_id)
            return proxy

    def abandon(self, proxy: Proxy) -> None:
        """Moves to another proxy with the next call."""
        if proxy is self._current:
            self._current = None
        self._retired = {one for one in self._retired if not one.closed}
        proxy.abandon()
        if not proxy.closed:
            self._retired.add(proxy)

    def close(self) -> None:
        """Closes all connections."""
        for proxy in (self._current, *self._retired):
            if proxy is not None:
                proxy.close()
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
        if proxy is None or not proxy.usable:
            proxy = await self._connect()
        try:
            if session_id is None:
                session = await proxy.open_session()
            else:
                session = await proxy.resume_session(session_id)
        except BaseException:
            self.abandon(proxy)
            raise
        if self._current is None or not self._current.usable:
            self._current = proxy
        elif self._current is not proxy:
            # Another call has connected meanwhile.
            self.abandon(proxy)
        return self._current, session

    async def _connect(self) -> Proxy:
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        host, _, port = address.rpartition(":")
        connection = await rpc.connect(SERVICE, host.strip("[]"), int(port), tls=self._tls)
        return Proxy(connection, self._caller, self._secret)
