"""Multiplexed Thrift RPC: a connection carries many calls at the same time.

Replies are matched to calls by sequence id, so they may arrive in any order.
"""

import asyncio
import collections.abc
import dataclasses
import ssl
from typing import Any
from typing import cast

from thrift import Thrift

from bilberrystack.wire import codec
from bilberrystack.wire import failures

# Maximum number of unanswered calls that a server accepts on one connection.
MAX_CALLS_IN_FLIGHT = 4096

# Name of the field of a generated result class that holds the return value.
_SUCCESS_FIELD = "success"


@dataclasses.dataclass(eq=False, slots=True)
class Context:
    """Accepted connection as passed to handlers.

    Attributes:
      peer: Remote address, for logs.
      state: State that the handler attaches to the connection.
    """

    peer: str
    state: Any = None
    _protocol: "_FramedProtocol | None" = None

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._protocol is None or self._protocol.closing

    def close(self) -> None:
        """Close the connection after sending all queued frames."""
        if self._protocol is not None:
            self._protocol.close_transport()


@dataclasses.dataclass(eq=False, slots=True)
class TrafficCounters:
    """Byte counters of a set of connections, including the length prefixes of frames.

    Attributes:
      received: Number of bytes received.
      sent: Number of bytes sent.
    """

    received: int = 0
    sent: int = 0


class _FramedProtocol(asyncio.Protocol):
    """Asyncio protocol that exchanges frames and stops reading while writing is paused."""

    __slots__ = ("_queued_frames", "_reader", "_traffic", "_transport")

    def __init__(self, max_frame_bytes: int, traffic: TrafficCounters) -> None:
        self._reader = codec.FrameReader(max_frame_bytes)
        self._traffic = traffic
        self._transport: asyncio.Transport | None = None
        self._queued_frames: list[bytes] = []

    def _queue_frame(self, frame: bytes) -> None:
        """Queue a frame, which is sent at the end of the current event loop iteration.

        All frames of an iteration are sent with one system call, since a system call costs more
        than the processing of a small statement.
        """
        self._traffic.sent += len(frame)
        self._queued_frames.append(frame)
        if len(self._queued_frames) == 1:
            asyncio.get_running_loop().call_soon(self._flush_queue)

    def _flush_queue(self) -> None:
        frames, self._queued_frames = self._queued_frames, []
        if frames and self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(frames))

    @property
    def closing(self) -> bool:
        """Whether the transport is closed, closing or not open yet."""
        return self._transport is None or self._transport.is_closing()

    def close_transport(self) -> None:
        """Send all queued frames and close the transport."""
        if self._transport is not None:
            self._flush_queue()
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports implement the methods of asyncio.Transport but don't derive from it.
        self._transport = cast(asyncio.Transport, transport)

    def pause_writing(self) -> None:
        # Backpressure: while the peer reads too slowly, no further messages are accepted from it.
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self._traffic.received += len(data)
        try:
            for frame in self._reader.feed(data):
                header, payload = codec.decode(frame, self._select_payload_class)
                if payload is not None:
                    self._handle_message(header, payload)
        except failures.WireFailure as failure:
            self._handle_failure(failure)

    def _select_payload_class(self, header: codec.Header) -> type[Any] | None:
        raise NotImplementedError

    def _handle_message(self, header: codec.Header, payload: Any) -> None:
        raise NotImplementedError

    def _handle_failure(self, failure: failures.WireFailure) -> None:
        raise NotImplementedError


class Connection(_FramedProtocol):
    """Client side of a connection.

    It must be closed, or used as a context manager.
    """

    __slots__ = (
        "_close_callbacks",
        "_close_reason",
        "_last_sequence",
        "_max_frame_bytes",
        "_pending_calls",
        "_service",
    )

    def __init__(
        self, service: codec.Service, max_frame_bytes: int, traffic: TrafficCounters
    ) -> None:
        super().__init__(max_frame_bytes, traffic)
        self._service = service
        self._max_frame_bytes = max_frame_bytes
        self._pending_calls: dict[int, tuple[str, asyncio.Future[Any]]] = {}
        self._last_sequence = 0
        self._close_reason: str | None = None
        self._close_callbacks: list[collections.abc.Callable[[], None]] = []

    @property
    def closed(self) -> bool:
        """Whether the connection is closed and accepts no further calls."""
        return self._close_reason is not None

    def on_close(self, callback: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called once when the connection closes."""
        self._close_callbacks.append(callback)

    async def call(self, method: str, *fields: Any) -> Any:
        """Call a method and wait for its reply.

        Args:
          method: The method's name.
          fields: The arguments in the order of the schema.
        Returns:
          The return value; None for a void method.
        Raises:
          Thrift.TException: An exception that the schema declares for the method.
          ConnectionClosed: The connection closed before the reply arrived.
          RemoteFailure: The peer answered with a TApplicationException.
          FrameTooLarge: The call exceeds the frame size limit and was not sent.
        """
        args_class, _result_class = self._service.methods[method]
        if self._close_reason is not None or self._transport is None:
            raise failures.ConnectionClosed(self._close_reason or "not connected", sent=False)
        self._last_sequence = self._last_sequence % 0x7FFFFFFF + 1
        sequence = self._last_sequence
        frame = codec.encode(method, Thrift.TMessageType.CALL, sequence, args_class(*fields))
        if len(frame) - codec.LENGTH_PREFIX.size > self._max_frame_bytes:
            raise failures.FrameTooLarge(f"{len(frame)} bytes, limit {self._max_frame_bytes}")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_calls[sequence] = (method, future)
        try:
            self._queue_frame(frame)
            return _unpack_result(await future)
        finally:
            self._pending_calls.pop(sequence, None)

    def close(self) -> None:
        """Close the connection; calls in flight fail with ConnectionClosed."""
        self._terminate("closed by this side")

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._terminate(f"connection lost: {exc}" if exc else "closed by the other side")

    def _select_payload_class(self, header: codec.Header) -> type[Any] | None:
        pending = self._pending_calls.get(header.sequence)
        if pending is None:
            return None  # The call was cancelled, so its reply is discarded.
        method, _future = pending
        if header.method != method:
            raise failures.MalformedFrame(f"answer to {header.method} where {method} was called")
        if header.message_type == Thrift.TMessageType.EXCEPTION:
            return cast(type[Any], Thrift.TApplicationException)
        return self._service.methods[method][1]

    def _handle_message(self, header: codec.Header, payload: Any) -> None:
        _method, future = self._pending_calls[header.sequence]
        if not future.done():
            future.set_result(payload)

    def _handle_failure(self, failure: failures.WireFailure) -> None:
        self._terminate(str(failure))

    def _terminate(self, reason: str) -> None:
        if self._close_reason is not None:
            return
        self._close_reason = reason
        self.close_transport()
        for _method, future in self._pending_calls.values():
            if not future.done():
                future.set_exception(failures.ConnectionClosed(reason, sent=True))
        for callback in self._close_callbacks:
            callback()


def _unpack_result(payload: Any) -> Any:
    if isinstance(payload, Thrift.TApplicationException):
        raise failures.RemoteFailure(payload.message or "failed")
    for name in payload.__slots__:
        value = getattr(payload, name)
        if name != _SUCCESS_FIELD and value is not None:
            raise value
    return getattr(payload, _SUCCESS_FIELD, None)


async def connect(
    service: codec.Service,
    host: str,
    port: int,
    *,
    tls: ssl.SSLContext | None = None,
    max_frame_bytes: int = codec.MAX_FRAME_BYTES,
    traffic: TrafficCounters | None = None,
) -> Connection:
    """Open a connection.

    Args:
      service: The service that the server provides.
      host: IP address of the server.
      port: Port of the server.
      tls: TLS context; None for plain TCP.
      max_frame_bytes: Maximum size of sent and received frames, in bytes.
      traffic: Counters that the connection updates; None for counters of its own.
    Returns:
      The connection.
    Raises:
      OSError: The connection or the TLS handshake failed.
    """
    loop = asyncio.get_running_loop()
    _transport, protocol = await loop.create_connection(
        lambda: Connection(service, max_frame_bytes, traffic or TrafficCounters()),
        host,
        port,
        ssl=tls,
    )
    return protocol


OnFailure = collections.abc.Callable[[Context, failures.WireFailure], None]


class _ServerConnection(_FramedProtocol):
    """Server side of a connection."""

    __slots__ = ("_context", "_handler", "_on_failure", "_server", "_service", "_tasks")

    def __init__(self, server: "Server", max_frame_bytes: int) -> None:
        super().__init__(max_frame_bytes, server.traffic)
        self._server = server
        self._service = server.service
        self._handler = server.handler
        self._context = Context("")
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._context = Context(str(transport.get_extra_info("peername")), None, self)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        on_closed = getattr(self._handler, "connection_closed", None)
        if on_closed is not None:
            on_closed(self._context)

    def close(self) -> None:
        self._context.close()

    @property
    def calls_in_flight(self) -> int:
        return len(self._tasks)

    def _select_payload_class(self, header: codec.Header) -> type[Any] | None:
        if self.closing:
            return None
        method_classes = self._service.methods.get(header.method)
        if method_classes is None:
            raise failures.MalformedFrame(f"unknown method {header.method!r}")
        if len(self._tasks) >= MAX_CALLS_IN_FLIGHT:
            raise failures.MalformedFrame(f"over {MAX_CALLS_IN_FLIGHT} calls in flight")
        return method_classes[0]

    def _handle_message(self, header: codec.Header, payload: Any) -> None:
        task = asyncio.get_running_loop().create_task(self._serve_call(header, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_call(self, header: codec.Header, args: Any) -> None:
        result_class = self._service.methods[header.method][1]
        fields = [getattr(args, name) for name in args.__slots__]
        try:
            value = await getattr(self._handler, header.method)(self._context, *fields)
        except Thrift.TException as failure:
            result = _failure_result(result_class, failure)
        except Exception as error:
            self._server.on_error(self._context, header.method, error)
            result = Thrift.TApplicationException(
                Thrift.TApplicationException.INTERNAL_ERROR, type(error).__name__
            )
        else:
            result = result_class()
            if _SUCCESS_FIELD in result.__slots__:
                result.success = value
        self._send_reply(header, result)

    def _send_reply(self, header: codec.Header, result: Any) -> None:
        if self.closing:
            return
        is_exception = isinstance(result, Thrift.TApplicationException)
        message_type = Thrift.TMessageType.EXCEPTION if is_exception else Thrift.TMessageType.REPLY
        self._queue_frame(codec.encode(header.method, message_type, header.sequence, result))

    def _handle_failure(self, failure: failures.WireFailure) -> None:
        self._server.on_failure(self._context, failure)
        self.close_transport()


def _failure_result(result_class: type[Any], failure: Thrift.TException) -> Any:
    """Return the result that reports an exception raised by a handler.

    An exception that the schema declares for the method is stored in its field of the result; any
    other exception becomes an application exception.
    """
    for field_spec in result_class.thrift_spec:
        # The type arguments of the success field may hold no class, for example for list or binary.
        if field_spec is None or field_spec[2] == _SUCCESS_FIELD:
            continue
        if isinstance(failure, field_spec[3][0]):
            return result_class(**{field_spec[2]: failure})
    if isinstance(failure, Thrift.TApplicationException):
        return failure
    return Thrift.TApplicationException(
        Thrift.TApplicationException.INTERNAL_ERROR, type(failure).__name__
    )


def _ignore_failure(_context: Context, _failure: failures.WireFailure) -> None:
    """Ignore a connection failure; the default of Server.on_failure."""


def _ignore_error(_context: Context, _method: str, _error: Exception) -> None:
    """Ignore an unexpected error of a handler; the default of Server.on_error."""


@dataclasses.dataclass(eq=False, slots=True)
class Server:
    """RPC server with one listener.

    It must be closed, or used as an asynchronous context manager.

    Attributes:
      service: The service that the server provides.
      handler: Object with a coroutine method for each method of the service, which is called with
        the Context and the arguments, and optionally with a method connection_closed(context).
      connections: The open connections.
      traffic: Byte counters of all connections since the start of the server.
      on_failure: Function called once when a connection is closed because of a malformed or
        oversized frame.
      on_error: Function called when a handler raises an exception that is no TException.
    """

    service: codec.Service
    handler: Any
    connections: set[_ServerConnection] = dataclasses.field(default_factory=set)
    traffic: TrafficCounters = dataclasses.field(default_factory=TrafficCounters)
    on_failure: OnFailure = _ignore_failure
    on_error: collections.abc.Callable[[Context, str, Exception], None] = _ignore_error
    _listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    @property
    def calls_in_flight(self) -> int:
        """Number of calls whose replies have not been written yet."""
        return sum(connection.calls_in_flight for connection in self.connections)

    async def start(
        self,
        host: str,
        port: int,
        *,
        tls: ssl.SSLContext | None = None,
        max_frame_bytes: int = codec.MAX_FRAME_BYTES,
    ) -> None:
        """Start to listen.

        Args:
          host: IP address of the listener.
          port: Port of the listener; 0 selects a free port.
          tls: TLS context; None for plain TCP.
          max_frame_bytes: Maximum size of received frames, in bytes.
        Raises:
          OSError: The address is not available.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _ServerConnection(self, max_frame_bytes), host, port, ssl=tls, backlog=1024
        )

    def stop_listening(self) -> None:
        """Stop accepting connections; open connections continue."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Stop accepting connections and close all open connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()

    async def __aenter__(self) -> "Server":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.close()
