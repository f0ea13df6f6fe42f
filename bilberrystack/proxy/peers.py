"""Connections between instances: the listener, and one multiplexed connection to each peer.

Both sides of a connection prove that they know the fleet's peer secret. Each side sends a nonce and
an HMAC over both nonces and its own role, so that a proof can be neither replayed nor reflected.
The proof covers only the handshake. Protection against an attacker who can modify traffic requires
TLS on the listener.
"""

import asyncio
import collections.abc
import dataclasses
import hmac
import secrets
import ssl
from typing import Any
from typing import Protocol

import loguru

from bilberrystack.core import errors
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.gen.peers import Peer
from bilberrystack.gen.peers import ttypes
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import link_calls
from bilberrystack.proxy import links
from bilberrystack.proxy import peer_messages
from bilberrystack.wire import codec
from bilberrystack.wire import failures
from bilberrystack.wire import rpc

SERVICE = codec.service(Peer)

# A connection normally opens within a few milliseconds. An unreachable host sends no answer.
CONNECT_TIMEOUT_S = 0.5

# The connection of a link without calls is closed after this time.
IDLE_TIMEOUT_S = 30.0

_NONCE_BYTES = 16
_ACCEPTOR_ROLE = b"accepting"
_INITIATOR_ROLE = b"opening"


class Handler(Protocol):
    """The calls that an instance serves to its peers."""

    async def execute_forwarded(self, request: requests.GroupRequest) -> outcomes.Outcome: ...

    def handle_digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Process a peer's digest or departure notice and return the local digest."""

    async def handle_pushed_head(self, sender: interfaces.Digest, head: bytes) -> None: ...

    async def fetch_configuration(
        self, known_parts: list[str]
    ) -> interfaces.ConfigurationTransfer: ...

    def report(self, minutes: int) -> bytes:
        """Return the encoded report of this instance with its latest minutes."""


@dataclasses.dataclass(slots=True)
class _Handshake:
    """The handshake of an accepted connection that is not authenticated yet.

    Attributes:
      initiator_nonce: The nonce of the side that opened the connection.
      acceptor_nonce: The nonce of this side.
    """

    initiator_nonce: bytes
    acceptor_nonce: bytes


class Listener:
    """Handler of the calls on all connections that peers open."""

    __slots__ = ("_handler", "_log", "_loop_time", "_secret")

    def __init__(self, secret: bytes) -> None:
        self._handler: Handler | None = None
        self._secret = secret
        self._loop_time = asyncio.get_running_loop().time
        self._log = loguru.logger.bind(component="peers")

    def set_handler(self, handler: Handler) -> None:
        """Set the handler of calls; calls that arrive earlier are rejected."""
        self._handler = handler

    def server(self) -> rpc.Server:
        """Return a server for this listener, not yet started."""
        return rpc.Server(
            SERVICE, self, on_failure=self._connection_failed, on_error=self._call_failed
        )

    async def hello(self, context: rpc.Context, _instance: str, nonce: bytes) -> ttypes.Challenge:
        """Start the authentication of a connection.

        Raises:
          PeerFailure: The nonce is malformed, or the handshake has already started.
        """
        own_nonce = secrets.token_bytes(_NONCE_BYTES)
        if context.state is not None or len(nonce) != _NONCE_BYTES:
            raise self._reject(context, errors.PeerError.AUTHENTICATION_FAILED)
        context.state = _Handshake(nonce, own_nonce)
        return ttypes.Challenge(own_nonce, _proof(self._secret, _ACCEPTOR_ROLE, nonce, own_nonce))

    async def prove(self, context: rpc.Context, proof: bytes) -> None:
        """Complete the authentication of a connection.

        Raises:
          PeerFailure: The proof is wrong, or no handshake has started.
        """
        state = context.state
        if not isinstance(state, _Handshake):
            raise self._reject(context, errors.PeerError.AUTHENTICATION_FAILED)
        expected = _proof(
            self._secret, _INITIATOR_ROLE, state.initiator_nonce, state.acceptor_nonce
        )
        if not hmac.compare_digest(expected, proof):
            raise self._reject(context, errors.PeerError.AUTHENTICATION_FAILED)
        context.state = True

    async def forward(self, context: rpc.Context, request: ttypes.Forward) -> ttypes.Outcome:
        """Run a request that another instance received from a caller.

        Raises:
          PeerFailure: The connection is not authenticated.
        """
        handler = self._require_handler(context)
        group_request = peer_messages.from_forward(request, self._loop_time())
        if group_request is None:
            reason = outcomes.NotRunReason.INVALID_REQUEST
            return peer_messages.to_outcome(outcomes.NotRun(reason, f"kind {request.kind}"))
        return peer_messages.to_outcome(await handler.execute_forwarded(group_request))

    async def digest(self, context: rpc.Context, sender: ttypes.Digest) -> ttypes.Digest:
        """Process a peer's digest and return the local digest.

        Raises:
          PeerFailure: The connection is not authenticated.
        """
        handler = self._require_handler(context)
        return peer_messages.to_digest(handler.handle_digest(peer_messages.from_digest(sender)))

    async def leaving(self, context: rpc.Context, sender: ttypes.Digest) -> ttypes.Digest:
        """Process a peer's departure notice and return the local digest.

        Raises:
          PeerFailure: The connection is not authenticated.
        """
        handler = self._require_handler(context)
        return peer_messages.to_digest(handler.handle_digest(peer_messages.from_digest(sender)))

    async def push_head(self, context: rpc.Context, sender: ttypes.Digest, head: bytes) -> None:
        """Process a new configuration head.

        Raises:
          PeerFailure: The connection is not authenticated.
        """
        handler = self._require_handler(context)
        await handler.handle_pushed_head(peer_messages.from_digest(sender), head)

    async def fetch_configuration(
        self, context: rpc.Context, known_parts: list[str]
    ) -> ttypes.Configuration:
        """Return the configuration head and the parts that the peer does not have.

        Raises:
          PeerFailure: The connection is not authenticated.
        """
        handler = self._require_handler(context)
        transfer = await handler.fetch_configuration(known_parts)
        parts = [ttypes.Part(key, value) for key, value in transfer.parts.items()]
        return ttypes.Configuration(transfer.version, transfer.head, parts)

    async def report(self, context: rpc.Context, minutes: int) -> bytes:
        """Return the encoded report of this instance with its latest minutes.

        Raises:
          PeerFailure: The connection is not authenticated.
        """
        return self._require_handler(context).report(minutes)

    def _require_handler(self, context: rpc.Context) -> Handler:
        if context.state is not True or self._handler is None:
            raise self._reject(context, errors.PeerError.NOT_AUTHENTICATED)
        return self._handler

    def _reject(self, context: rpc.Context, error: errors.PeerError) -> ttypes.PeerFailure:
        """Log and return a failure; the connection is closed after the failure has been sent."""
        self._log.warning(
            "Rejected the connection of the peer at {}: {}",
            context.peer,
            errors.DESCRIPTIONS[error].cause,
        )
        asyncio.get_running_loop().call_soon(context.close)
        return ttypes.PeerFailure(error.value, errors.describe(error))

    def _connection_failed(self, context: rpc.Context, failure: failures.WireFailure) -> None:
        self._log.warning("Closed the connection of the peer at {}: {}", context.peer, failure)

    def _call_failed(self, context: rpc.Context, method: str, error: Exception) -> None:
        self._log.opt(exception=error).error(
            "Call {} from the peer at {} failed", method, context.peer
        )


class Link:
    """A link to one peer that connects on demand. Implements interfaces.Peer."""

    __slots__ = (
        "_address",
        "_connect_task",
        "_connection",
        "_in_flight",
        "_instance_id",
        "_last_used_at",
        "_loop",
        "_on_link_lost",
        "_secret",
        "_tls",
    )

    def __init__(
        self,
        address: str,
        instance_id: str,
        secret: bytes,
        on_link_lost: collections.abc.Callable[[], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a link without a connection.

        Args:
          address: The IP address and port of the peer.
          instance_id: The id of this instance.
          secret: The fleet's peer secret.
          on_link_lost: Called when a connection can't be opened or an open connection breaks.
          tls: The TLS context; None for plain TCP.
        """
        self._address = address
        self._instance_id = instance_id
        self._secret = secret
        self._on_link_lost = on_link_lost
        self._tls = tls
        self._loop = asyncio.get_running_loop()
        self._connection: rpc.Connection | None = None
        self._connect_task: asyncio.Task[rpc.Connection] | None = None
        self._in_flight = 0
        self._last_used_at = self._loop.time()

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request at the peer.

        Raises:
          LinkLost: The connection could not be opened or broke, or the outcome has an unknown kind.
        """
        connection = await self._ensure_connected()
        remaining_s = request.deadline - self._loop.time() - links.ANSWER_MARGIN_S
        message = peer_messages.to_forward(request, remaining_s)
        try:
            answer = await self._call(connection, "forward", message)
        except failures.FrameTooLarge as failure:
            return outcomes.NotRun(outcomes.NotRunReason.INVALID_REQUEST, str(failure))
        outcome = peer_messages.from_outcome(answer)
        if outcome is None:
            raise interfaces.LinkLost(f"{self._address}: an outcome of no known kind", sent=True)
        return outcome

    async def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Send a digest and return the peer's.

        Raises:
          LinkLost: The connection could not be opened or broke.
        """
        return peer_messages.from_digest(
            await self._call_control_method("digest", peer_messages.to_digest(sender))
        )

    async def leaving(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Send a departure notice and return the peer's digest.

        Raises:
          LinkLost: The connection could not be opened or broke.
        """
        return peer_messages.from_digest(
            await self._call_control_method("leaving", peer_messages.to_digest(sender))
        )

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        """Send a new configuration head to the peer.

        Raises:
          LinkLost: The connection could not be opened or broke.
        """
        await self._call_control_method("push_head", peer_messages.to_digest(sender), head)

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Fetch the peer's configuration, without the parts that are known.

        Raises:
          LinkLost: The connection could not be opened or broke.
        """
        answer = await self._call_control_method("fetch_configuration", known_parts)
        parts = {part.key: part.value for part in answer.parts}
        return interfaces.ConfigurationTransfer(answer.version, answer.head, parts)

    async def report(self, minutes: int) -> bytes:
        """Fetch the peer's encoded report with its latest minutes.

        Raises:
          LinkLost: The connection could not be opened or broke.
        """
        content: bytes = await self._call_control_method("report", minutes)
        return content

    def close(self) -> None:
        """Close the connection; calls in flight fail with LinkLost."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _call_control_method(self, method: str, *fields: Any) -> Any:
        try:
            return await self._call(await self._ensure_connected(), method, *fields)
        except failures.FrameTooLarge as failure:
            raise interfaces.LinkLost(f"{self._address}: {failure}", sent=False) from failure

    async def _call(self, connection: rpc.Connection, method: str, *fields: Any) -> Any:
        self._in_flight += 1
        try:
            return await link_calls.call(connection, self._address, method, *fields)
        finally:
            self._in_flight -= 1
            self._last_used_at = self._loop.time()

    async def _ensure_connected(self) -> rpc.Connection:
        """Return the open connection, after opening it if needed. Raises LinkLost."""
        if self._connection is not None and not self._connection.closed:
            return self._connection
        if self._connect_task is None:
            self._connect_task = self._loop.create_task(self._connect())
            self._connect_task.add_done_callback(self._on_connect_done)
        attempt = self._connect_task
        # Cancelling one waiting call must not cancel the attempt that other calls wait for.
        await asyncio.wait((attempt,))
        if attempt.cancelled():
            raise interfaces.LinkLost(f"{self._address}: closed by this side", sent=False)
        error = attempt.exception()
        if error is not None:
            detail = str(error) or type(error).__name__
            raise interfaces.LinkLost(f"{self._address}: {detail}", sent=False) from error
        return attempt.result()

    async def _connect(self) -> rpc.Connection:
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await rpc.connect(SERVICE, host.strip("[]"), int(port), tls=self._tls)
            try:
                await self._authenticate(connection)
            except BaseException:
                connection.close()
                raise
        return connection

    async def _authenticate(self, connection: rpc.Connection) -> None:
        nonce = secrets.token_bytes(_NONCE_BYTES)
        challenge = await connection.call("hello", self._instance_id, nonce)
        expected = _proof(self._secret, _ACCEPTOR_ROLE, nonce, challenge.nonce)
        if not hmac.compare_digest(expected, challenge.proof):
            raise failures.WireFailure(errors.describe(errors.PeerError.AUTHENTICATION_FAILED))
        await connection.call(
            "prove", _proof(self._secret, _INITIATOR_ROLE, nonce, challenge.nonce)
        )

    def _on_connect_done(self, task: asyncio.Task[rpc.Connection]) -> None:
        self._connect_task = None
        if task.cancelled():
            return
        if task.exception() is not None:
            self._on_link_lost()
            return
        self._connection = task.result()
        self._connection.on_close(self._on_connection_closed)
        self._loop.call_later(IDLE_TIMEOUT_S, self._close_if_idle, self._connection)

    def _on_connection_closed(self) -> None:
        if self._connection is not None:
            self._connection = None
            self._on_link_lost()

    def _close_if_idle(self, connection: rpc.Connection) -> None:
        if connection.closed:
            return
        idle_s = 0.0 if self._in_flight else self._loop.time() - self._last_used_at
        if idle_s >= IDLE_TIMEOUT_S:
            self._connection = None
            connection.close()
        else:
            self._loop.call_later(IDLE_TIMEOUT_S - idle_s, self._close_if_idle, connection)


def _proof(secret: bytes, role: bytes, initiator_nonce: bytes, acceptor_nonce: bytes) -> bytes:
    return hmac.digest(secret, role + initiator_nonce + acceptor_nonce, "sha256")
