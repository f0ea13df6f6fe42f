"""Connections of a client to the proxies.

A client sends new calls on one connection; a replaced connection is closed when its calls end.
"""

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

# Timeout for connecting to an address and authenticating, after which the next address is tried.
CONNECT_TIMEOUT_S = 1.0

# A connection with calls in flight is probed at PROBE_INTERVAL_S, and closed if no answer arrives
# within LIVENESS_TIMEOUT_S.
PROBE_INTERVAL_S = 0.5
LIVENESS_TIMEOUT_S = 2.0

# Minimum and maximum delay before a retry when all addresses have failed; it doubles each time.
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5

# Codes of failures after which another proxy may accept the session.
_RETRY_ELSEWHERE_CODES = frozenset(
    (errors.CallerError.LEAVING.value, errors.CallerError.STALE_CONFIGURATION.value)
)


class ProxyConnection:
    """Open connection to a proxy, authenticated as the caller.

    While calls are in flight, a connection without answers is probed and closed after
    LIVENESS_TIMEOUT_S, because an isolated or paused proxy causes no connection error.
    """

    __slots__ = (
        "_calls_in_flight",
        "_credentials",
        "_last_answer_at",
        "_loop",
        "_probe_task",
        "_probe_timer",
        "_retired",
        "_rpc_connection",
        "_session_id",
    )

    def __init__(self, connection: rpc.Connection, caller: str, secret: str) -> None:
        self._rpc_connection = connection
        self._credentials = (caller, secret)
        self._session_id: str | None = None
        self._loop = asyncio.get_running_loop()
        self._calls_in_flight = 0
        self._retired = False
        self._last_answer_at = 0.0
        self._probe_timer: asyncio.TimerHandle | None = None
        self._probe_task: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether the connection accepts new calls."""
        return not self._retired and not self._rpc_connection.closed

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._rpc_connection.closed

    async def open_session(self) -> ttypes.Session:
        """Open a session, which authenticates the connection."""
        session: ttypes.Session = await self.call("open_session", *self._credentials)
        self._session_id = session.id
        return session

    async def resume_session(self, session_id: str) -> ttypes.Session:
        """Resume a session, which authenticates the connection."""
        session: ttypes.Session = await self.call("resume_session", *self._credentials, session_id)
        self._session_id = session_id
        return session

    async def call(self, method: str, *fields: Any) -> Any:
        """Call a method and wait for its reply.

        Args:
          method: The method's name.
          fields: The arguments in the order of the schema.
        Returns:
          The return value.
        Raises:
          Exception: Any exception of rpc.Connection.call.
        """
        if self._probe_timer is None:
            self._last_answer_at = self._loop.time()
            self._probe_timer = self._loop.call_later(
                PROBE_INTERVAL_S, self._check_liveness, self._last_answer_at
            )
        self._calls_in_flight += 1
        try:
            answer = await self._rpc_connection.call(method, *fields)
        finally:
            self._calls_in_flight -= 1
            if self._retired and not self._calls_in_flight:
                self.close()
        self._last_answer_at = self._loop.time()
        return answer

    def retire(self) -> None:
        """Accept no new calls; the connection closes when all calls in flight have ended."""
        self._retired = True
        if not self._calls_in_flight:
            self.close()

    def close(self) -> None:
        """Close the connection; calls in flight fail."""
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        self._rpc_connection.close()

    def _check_liveness(self, scheduled_at: float) -> None:
        self._probe_timer = None
        if not self._calls_in_flight or self._rpc_connection.closed:
            return
        now = self._loop.time()
        if now - scheduled_at > 2 * PROBE_INTERVAL_S:
            # The event loop was blocked, so received answers may not have been processed yet.
            self._last_answer_at = now
        unanswered_s = now - self._last_answer_at
        if unanswered_s > LIVENESS_TIMEOUT_S:
            self._rpc_connection.close()
            return
        if unanswered_s >= PROBE_INTERVAL_S and self._probe_task is None and self._session_id:
            self._probe_task = self._loop.create_task(self._send_probe(self._session_id))
        self._probe_timer = self._loop.call_later(PROBE_INTERVAL_S, self._check_liveness, now)

    async def _send_probe(self, session_id: str) -> None:
        """Probe the proxy by resuming the session; a rejection also proves that it is alive."""
        try:
            await self._rpc_connection.call("resume_session", *self._credentials, session_id)
        except failures.WireFailure:
            return
        except ttypes.CallerFailure:
            pass
        finally:
            self._probe_task = None
        self._last_answer_at = self._loop.time()


class Gateway:
    """Access to the proxies of one caller, with failover between their addresses."""

    __slots__ = (
        "_addresses",
        "_caller",
        "_current",
        "_lock",
        "_next_address_index",
        "_retired_connections",
        "_rng",
        "_secret",
        "_tls",
    )

    def __init__(
        self,
        addresses: collections.abc.Sequence[str],
        caller: str,
        secret: str,
        tls: ssl.SSLContext | None,
        rng: random.Random,
    ) -> None:
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._caller = caller
        self._secret = secret
        self._tls = tls
        self._rng = rng
        self._next_address_index = 0
        self._current: ProxyConnection | None = None
        self._retired_connections: set[ProxyConnection] = set()
        self._lock = asyncio.Lock()

    async def open_session(self, deadline: float) -> ttypes.Session:
        """Open a session.

        Args:
          deadline: Time on the event loop's clock until which proxies are tried, in seconds.
        Returns:
          The session.
        Raises:
          Rejected: A proxy rejected the caller.
          NoProxy: No proxy accepted the caller before the deadline.
        """
        _connection, session = await self._obtain_session(deadline, None)
        return session

    async def resume_session(self, session_id: str, deadline: float) -> ttypes.Session:
        """Resume a session that was opened on another connection or by another process.

        Args:
          session_id: The session's id.
          deadline: Time on the event loop's clock until which proxies are tried, in seconds.
        Returns:
          The session.
        Raises:
          Rejected: A proxy rejected the caller or the session.
          NoProxy: No proxy accepted the session before the deadline.
        """
        _connection, session = await self._obtain_session(deadline, session_id)
        return session

    async def acquire_connection(self, session_id: str, deadline: float) -> ProxyConnection:
        """Return an authenticated connection, opening one if necessary.

        Args:
          session_id: Id of the session that authenticates a new connection.
          deadline: Time on the event loop's clock until which proxies are tried, in seconds.
        Returns:
          The connection.
        Raises:
          Rejected: A proxy rejected the caller or the session.
          NoProxy: No proxy accepted the session before the deadline.
        """
        if self._current is not None and self._current.usable:
            return self._current
        async with self._lock:
            if self._current is not None and self._current.usable:
                return self._current
            connection, _session = await self._obtain_session(deadline, session_id)
            return connection

    def retire(self, connection: ProxyConnection) -> None:
        """Stop using a connection for new calls; the next call connects to another proxy."""
        if connection is self._current:
            self._current = None
        self._retired_connections = {
            retired for retired in self._retired_connections if not retired.closed
        }
        connection.retire()
        if not connection.closed:
            self._retired_connections.add(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in (self._current, *self._retired_connections):
            if connection is not None:
                connection.close()
        self._current = None
        self._retired_connections.clear()

    async def _obtain_session(
        self, deadline: float, session_id: str | None
    ) -> tuple[ProxyConnection, ttypes.Session]:
        """Open a session, or resume the given one, on the current connection or on a new one."""
        backoff_s = MIN_BACKOFF_S
        failed_attempts = 0
        detail = "no address is known"
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout_at(min(deadline, loop.time() + CONNECT_TIMEOUT_S)):
                    return await self._authenticate(session_id)
            except ttypes.CallerFailure as failure:
                if failure.code not in _RETRY_ELSEWHERE_CODES:
                    raise results.Rejected(failure.code, failure.detail) from failure
                detail = failure.detail
            except (OSError, TimeoutError, failures.WireFailure) as failure:
                detail = str(failure) or type(failure).__name__
            failed_attempts += 1
            if loop.time() >= deadline:
                raise results.NoProxy(detail)
            if failed_attempts % len(self._addresses) == 0:
                delay_s = min(backoff_s * self._rng.uniform(0.5, 1.5), deadline - loop.time())
                await asyncio.sleep(delay_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _authenticate(self, session_id: str | None) -> tuple[ProxyConnection, ttypes.Session]:
        connection = self._current
        if connection is None or not connection.usable:
            connection = await self._connect()
        try:
            if session_id is None:
                session = await connection.open_session()
            else:
                session = await connection.resume_session(session_id)
        except BaseException:
            self.retire(connection)
            raise
        if self._current is None or not self._current.usable:
            self._current = connection
        elif self._current is not connection:
            # Another task has opened a connection in the meantime.
            self.retire(connection)
        return self._current, session

    async def _connect(self) -> ProxyConnection:
        address = self._addresses[self._next_address_index % len(self._addresses)]
        self._next_address_index += 1
        host, _, port = address.rpartition(":")
        connection = await rpc.connect(SERVICE, host.strip("[]"), int(port), tls=self._tls)
        return ProxyConnection(connection, self._caller, self._secret)
