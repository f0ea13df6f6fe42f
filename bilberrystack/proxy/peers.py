"""Links among instances: the listener, and one multiplexed connection to each peer.

Both sides of a connection prove that they know the fleet's peer secret: each sends a nonce and
answers the other's with an HMAC over both nonces and its own role, so that a proof can be neither
replayed nor reflected. The proof covers the opening of the connection; against somebody who can
change packets on the way, TLS on the listener is needed in addition.
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

# Opening a connection takes a few milliseconds; an unreachable host answers nothing at all.
CONNECT_TIMEOUT_S = 0.5

# A link without calls is closed after this time.
IDLE_LIMIT_S = 30.0

_NONCE_BYTES = 16
_ACCEPTING = b"accepting"
_OPENING = b"opening"


class Handler(Protocol):
    """What an instance does for its peers."""

    async def forwarded(self, request: requests.GroupRequest) -> outcomes.Outcome: ...

    def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Takes a peer's digest, a leaving one too, and returns the own one."""

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None: ...

    async def fetch_configuration(
        self, known_parts: list[str]
    ) -> interfaces.ConfigurationTransfer: ...

    def report(self, minutes: int) -> bytes:
        """Returns the encoded report of this instance to operators."""


@dataclasses.dataclass(slots=True)
class _Opening:
    """An accepted connection that is not authenticated yet.

    Attributes:
      opening_nonce: The nonce of the opening side.
      accepting_nonce: The nonce of this side.
    """

    opening_nonce: bytes
    accepting_nonce: bytes


class Listener:
    """Handles the calls of all peers' connections."""

    __slots__ = ("_handler", "_log", "_loop_time", "_secret")

    def __init__(self, secret: bytes) -> None:
        self._handler: Handler | None = None
        self._secret = secret
        self._loop_time = asyncio.get_running_loop().time
        self._log = loguru.logger.bind(component="peers")

    def bind(self, handler: Handler) -> None:
        """Takes the handler; calls that come earlier are refused."""
        self._handler = handler

    def server(self) -> rpc.Server:
        """Returns a server for this handler, not yet started."""
        return rpc.Server(
            SERVICE, self, on_failure=self._connection_failed, on_error=self._call_failed
        )

    async def hello(self, context: rpc.Context, _instance: str, nonce: bytes) -> ttypes.Challenge:
        """Starts the authentication of a connection."""
        own_nonce = secrets.token_bytes(_NONCE_BYTES)
        if context.state is not None or len(nonce) != _NONCE_BYTES:
            raise self._refused(context, errors.PeerError.AUTHENTICATION_FAILED)
        context.state = _Opening(nonce, own_nonce)
        return ttypes.Challenge(own_nonce, _proof(self._secret, _ACCEPTING, nonce, own_nonce))

    async def prove(self, context: rpc.Context, proof: bytes) -> None:
        """Ends the authentication of a connection. Raises PeerFailure."""
        state = context.state
        if not isinstance(state, _Opening):
            raise self._refused(context, errors.PeerError.AUTHENTICATION_FAILED)
        expected = _proof(self._secret, _OPENING, state.opening_nonce, state.accepting_nonce)
        if not hmac.compare_digest(expected, proof):
            raise self._refused(context, errors.PeerError.AUTHENTICATION_FAILED)
        context.state = True

    async def forward(self, context: rpc.Context, request: ttypes.Forward) -> ttypes.Outcome:
        """Runs a request that another instance took from a caller."""
        handler = self._check(context)
        group_request = peer_messages.from_forward(request, self._loop_time())
        if group_request is None:
            reason = outcomes.NotRunReason.INVALID_REQUEST
            return peer_messages.to_outcome(outcomes.NotRun(reason, f"kind {request.kind}"))
        return peer_messages.to_outcome(await handler.forwarded(group_request))

    async def digest(self, context: rpc.Context, sender: ttypes.Digest) -> ttypes.Digest:
        """Takes a peer's digest."""
        handler = self._check(context)
        return peer_messages.to_digest(handler.digest(peer_messages.from_digest(sender)))

    async def leaving(self, context: rpc.Context, sender: ttypes.Digest) -> ttypes.Digest:
        """Takes the notice that a peer is leaving."""
        handler = self._check(context)
        return peer_messages.to_digest(handler.digest(peer_messages.from_digest(sender)))

    async def push_head(self, context: rpc.Context, sender: ttypes.Digest, head: bytes) -> None:
        """Takes a new head of the configuration."""
        handler = self._check(context)
        await handler.push_head(peer_messages.from_digest(sender), head)

    async def fetch_configuration(
        self, context: rpc.Context, known_parts: list[str]
    ) -> ttypes.Configuration:
        """Returns the head and the parts that the peer does not know."""
        handler = self._check(context)
        transfer = await handler.fetch_configuration(known_parts)
        parts = [ttypes.Part(key, value) for key, value in transfer.parts.items()]
        return ttypes.Configuration(transfer.version, transfer.head, parts)

    async def report(self, context: rpc.Context, minutes: int) -> bytes:
        """Returns the encoded report of this instance to operators."""
        return self._check(context).report(minutes)

    def _check(self, context: rpc.Context) -> Handler:
        if context.state is not True or self._handler is None:
            raise self._refused(context, errors.PeerError.NOT_AUTHENTICATED)
        return self._handler

    def _refused(self, context: rpc.Context, error: errors.PeerError) -> ttypes.PeerFailure:
        """Returns the failure, logged; the connection closes after its answer."""
        self._log.warning("Rejected {}: {}", context.peer, errors.DESCRIPTIONS[error].cause)
        asyncio.get_running_loop().call_soon(context.close)
        return ttypes.PeerFailure(error.value, errors.describe(error))

    def _connection_failed(self, context: rpc.Context, failure: failures.WireFailure) -> None:
        self._log.warning("Closed the connection of {}: {}", context.peer, failure)

    def _call_failed(self, context: rpc.Context, method: str, error: Exception) -> None:
        self._log.opt(exception=error).error("Call {} of {} failed", method, context.peer)


class Link:
    """The way to one peer; opens its connection at need. Implements interfaces.Peer."""

    __slots__ = (
        "_address",
        "_connecting",
        "_connection",
        "_in_flight",
        "_instance_id",
        "_loop",
        "_on_lost",
        "_secret",
        "_tls",
        "_used_at",
    )

    def __init__(
        self,
        address: str,
        instance_id: str,
        secret: bytes,
        on_lost: collections.abc.Callable[[], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Describes the link.

        Args:
          address: IP number and port of the peer.
          instance_id: The id of this instance.
          secret: The fleet's peer secret.
          on_lost: Called when the peer can't be reached or an open connection breaks.
          tls: The TLS context, or None for plain TCP.
        """
        self._address = address
        self._instance_id = instance_id
        self._secret = secret
        self._on_lost = on_lost
        self._tls = tls
        self._loop = asyncio.get_running_loop()
        self._connection: rpc.Connection | None = None
        self._connecting: asyncio.Task[rpc.Connection] | None = None
        self._in_flight = 0
        self._used_at = self._loop.time()

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request at the peer. Raises LinkLost."""
        connection = await self._connected()
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
        """Exchanges digests. Raises LinkLost."""
        return peer_messages.from_digest(
            await self._control("digest", peer_messages.to_digest(sender))
        )

    async def leaving(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Tells the peer that this instance is leaving. Raises LinkLost."""
        return peer_messages.from_digest(
            await self._control("leaving", peer_messages.to_digest(sender))
        )

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        """Hands a new head of the configuration to the peer. Raises LinkLost."""
        await self._control("push_head", peer_messages.to_digest(sender), head)

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Asks for the peer's configuration. Raises LinkLost."""
        answer = await self._control("fetch_configuration", known_parts)
        parts = {part.key: part.value for part in answer.parts}
        return interfaces.ConfigurationTransfer(answer.version, answer.head, parts)

    async def report(self, minutes: int) -> bytes:
        """Asks for the peer's report to operators. Raises LinkLost."""
        content: bytes = await self._control("report", minutes)
        return content

    def close(self) -> None:
        """Closes the connection; calls in flight fail with LinkLost."""
        if self._connecting is not None:
            self._connecting.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _control(self, method: str, *fields: Any) -> Any:
        try:
            return await self._call(await self._connected(), method, *fields)
        except failures.FrameTooLarge as failure:
            raise interfaces.LinkLost(f"{self._address}: {failure}", sent=False) from failure

    async def _call(self, connection: rpc.Connection, method: str, *fields: Any) -> Any:
        self._in_flight += 1
        try:
            return await link_calls.call(connection, self._address, method, *fields)
        finally:
            self._in_flight -= 1
            self._used_at = self._loop.time()

    async def _connected(self) -> rpc.Connection:
        """Returns the open connection, opening it if needed. Raises LinkLost."""
        if self._connection is not None and not self._connection.closed:
            return self._connection
        if self._connecting is None:
            self._connecting = self._loop.create_task(self._connect())
            self._connecting.add_done_callback(self._opened)
        attempt = self._connecting
        # One waiting call that is cancelled must not cancel the attempt that others wait for.
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
        expected = _proof(self._secret, _ACCEPTING, nonce, challenge.nonce)
        if not hmac.compare_digest(expected, challenge.proof):
            raise failures.WireFailure(errors.describe(errors.PeerError.AUTHENTICATION_FAILED))
        await connection.call("prove", _proof(self._secret, _OPENING, nonce, challenge.nonce))

    def _opened(self, task: asyncio.Task[rpc.Connection]) -> None:
        self._connecting = None
        if task.cancelled():
            return
        if task.exception() is not None:
            self._on_lost()
            return
        self._connection = task.result()
        self._connection.on_close(self._closed)
        self._loop.call_later(IDLE_LIMIT_S, self._close_if_idle, self._connection)

    def _closed(self) -> None:
        if self._connection is not None:
            self._connection = None
            self._on_lost()

    def _close_if_idle(self, connection: rpc.Connection) -> None:
        if connection.closed:
            return
        idle_s = 0.0 if self._in_flight else self._loop.time() - self._used_at
        if idle_s >= IDLE_LIMIT_S:
            self._connection = None
            connection.close()
        else:
            self._loop.call_later(IDLE_LIMIT_S - idle_s, self._close_if_idle, connection)


def _proof(secret: bytes, role: bytes, opening_nonce: bytes, accepting_nonce: bytes) -> bytes:
    return hmac.digest(secret, role + opening_nonce + accepting_nonce, "sha256")
