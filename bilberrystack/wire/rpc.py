"""Remote procedure calls with Thrift messages, many in flight on one connection.

Answers are matched to calls by sequence id, so they may arrive in any order.
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

MAX_CALLS_IN_FLIGHT = 4096
_SUCCESS_FIELD = "success"


@dataclasses.dataclass(eq=False, slots=True)
class Context:
    """One accepted connection, as handlers see it.

    Attributes:
      peer: The other side's address, for logs.
      state: Whatever the handler keeps for the connection.
    """

    peer: str
    state: Any = None
    _framed: "_Framed | None" = None

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._framed is None or self._framed.closing

    def close(self) -> None:
        """Closes the connection after what was written has been sent."""
        if self._framed is not None:
            self._framed.close_transport()


@dataclasses.dataclass(eq=False, slots=True)
class Traffic:
    """Payload bytes of a set of connections, length prefixes included.

    Attributes:
      received: Bytes received.
      sent: Bytes sent.
    """

    received: int = 0
    sent: int = 0


class _Framed(asyncio.Protocol):
    """Reads frames and applies the transport's flow control to reading."""

    __slots__ = ("_outgoing", "_reader", "_traffic", "_transport")

    def __init__(self, max_frame_bytes: int, traffic: Traffic) -> None:
        self._reader = codec.FrameReader(max_frame_bytes)
        self._traffic = traffic
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []

    def _write(self, frame: bytes) -> None:
        """Sends a frame at the end of this turn of the loop, together with others of the turn.

        A system call costs more than the work on a small statement.
        """
        self._traffic.sent += len(frame)
        self._outgoing.append(frame)
        if len(self._outgoing) == 1:
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        frames, self._outgoing = self._outgoing, []
        if frames and self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(frames))

    @property
    def closing(self) -> bool:
        """Whether the transport is closed, closing or not open yet."""
        return self._transport is None or self._transport.is_closing()

    def close_transport(self) -> None:
        """Sends what was written and closes the transport."""
        if self._transport is not None:
            self._flush()
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports have the methods of asyncio.Transport without deriving from it.
        self._transport = cast(asyncio.Transport, transport)

    def pause_writing(self) -> None:
        # The other side reads too slowly: take no more work from it until it catches up.
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self._traffic.received += len(data)
        try:
            for frame in self._reader.feed(data):
                header, payload = codec.decode(frame, self._payload_class)
                if payload is not None:
                    self._received(header, payload)
        except failures.WireFailure as failure:
            self._failed(failure)

    def _payload_class(self, header: codec.Header) -> type[Any] | None:
        raise NotImplementedError

    def _received(self, header: codec.Header, payload: Any) -> None:
        raise NotImplementedError

    def _failed(self, failure: failures.WireFailure) -> None:
        raise NotImplementedError


class Connection(_Framed):
    """The calling side of a connection. Close it, or use it as a context manager."""

    __slots__ = (
        "_closed_reason",
        "_max_frame_bytes",
        "_on_close",
        "_pending",
        "_sequence",
        "_service",
    )

    def __init__(self, service: codec.Service, max_frame_bytes: int, traffic: Traffic) -> None:
        super().__init__(max_frame_bytes, traffic)
        self._service = service
        self._max_frame_bytes = max_frame_bytes
        self._pending: dict[int, tuple[str, asyncio.Future[Any]]] = {}
        self._sequence = 0
        self._closed_reason: str | None = None
        self._on_close: list[collections.abc.Callable[[], None]] = []

    @property
    def closed(self) -> bool:
        """Whether the connection can carry no more calls."""
        return self._closed_reason is not None

    def on_close(self, callback: collections.abc.Callable[[], None]) -> None:
        """Registers a function to be called once when the connection closes."""
        self._on_close.append(callback)

    async def call(self, method: str, *fields: Any) -> Any:
        """Calls a method and waits for its answer.

        Args:
          method: The method's name.
          fields: The arguments in the order of the schema.
        Returns:
          The result's success value; None for void. Raises the schema's exceptions,
          ConnectionClosed, RemoteFailure, or FrameTooLarge if the call was not sent for its size.
        """
        args_class, _result_class = self._service.calls[method]
        if self._closed_reason is not None or self._transport is None:
            raise failures.ConnectionClosed(self._closed_reason or "not connected", sent=False)
        self._sequence = self._sequence % 0x7FFFFFFF + 1
        sequence = self._sequence
        frame = codec.encode(method, Thrift.TMessageType.CALL, sequence, args_class(*fields))
        if len(frame) - codec.LENGTH.size > self._max_frame_bytes:
            raise failures.FrameTooLarge(f"{len(frame)} bytes, limit {self._max_frame_bytes}")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = (method, future)
        try:
            self._write(frame)
            return _unpack(await future)
        finally:
            self._pending.pop(sequence, None)

    def close(self) -> None:
        """Closes the connection; calls in flight fail with ConnectionClosed."""
        self._end("closed by this side")

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(f"connection lost: {exc}" if exc else "closed by the other side")

    def _payload_class(self, header: codec.Header) -> type[Any] | None:
        pending = self._pending.get(header.sequence)
        if pending is None:
            return None  # The caller stopped waiting for this answer.
        method, _future = pending
        if header.method != method:
            raise failures.MalformedFrame(f"answer to {header.method} where {method} was called")
        if header.message_type == Thrift.TMessageType.EXCEPTION:
            return cast(type[Any], Thrift.TApplicationException)
        return self._service.calls[method][1]

    def _received(self, header: codec.Header, payload: Any) -> None:
        _method, future = self._pending[header.sequence]
        if not future.done():
            future.set_result(payload)

    def _failed(self, failure: failures.WireFailure) -> None:
        self._end(str(failure))

    def _end(self, reason: str) -> None:
        if self._closed_reason is not None:
            return
        self._closed_reason = reason
        self.close_transport()
        for _method, future in self._pending.values():
            if not future.done():
                future.set_exception(failures.ConnectionClosed(reason, sent=True))
        for callback in self._on_close:
            callback()


def _unpack(payload: Any) -> Any:
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
    traffic: Traffic | None = None,
) -> Connection:
    """Opens a connection.

    Args:
      service: The service that the other side serves.
      host: Its IP number.
      port: Its port.
      tls: The TLS context, or None for plain TCP.
      max_frame_bytes: The longest frame sent and accepted.
      traffic: Where the connection's bytes are counted.
    Returns:
      The connection. Raises OSError.
    """
    loop = asyncio.get_running_loop()
    _transport, protocol = await loop.create_connection(
        lambda: Connection(service, max_frame_bytes, traffic or Traffic()), host, port, ssl=tls
    )
    return protocol


OnFailure = collections.abc.Callable[[Context, failures.WireFailure], None]


class _Accepted(_Framed):
    """The serving side of one connection."""

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
        closed = getattr(self._handler, "connection_closed", None)
        if closed is not None:
            closed(self._context)

    def close(self) -> None:
        self._context.close()

    @property
    def calls_in_flight(self) -> int:
        return len(self._tasks)

    def _payload_class(self, header: codec.Header) -> type[Any] | None:
        if self.closing:
            return None
        call = self._service.calls.get(header.method)
        if call is None:
            raise failures.MalformedFrame(f"unknown method {header.method!r}")
        if len(self._tasks) >= MAX_CALLS_IN_FLIGHT:
            raise failures.MalformedFrame(f"over {MAX_CALLS_IN_FLIGHT} calls in flight")
        return call[0]

    def _received(self, header: codec.Header, payload: Any) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(header, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, header: codec.Header, args: Any) -> None:
        result_class = self._service.calls[header.method][1]
        fields = [getattr(args, name) for name in args.__slots__]
        try:
            value = await getattr(self._handler, header.method)(self._context, *fields)
        except Thrift.TException as declared:
            result = _declared_failure(result_class, declared)
        except Exception as error:
            self._server.on_error(self._context, header.method, error)
            result = Thrift.TApplicationException(
                Thrift.TApplicationException.INTERNAL_ERROR, type(error).__name__
            )
        else:
            result = result_class()
            if _SUCCESS_FIELD in result.__slots__:
                result.success = value
        self._answer(header, result)

    def _answer(self, header: codec.Header, result: Any) -> None:
        if self.closing:
            return
        failed = isinstance(result, Thrift.TApplicationException)
        kind = Thrift.TMessageType.EXCEPTION if failed else Thrift.TMessageType.REPLY
        self._write(codec.encode(header.method, kind, header.sequence, result))

    def _failed(self, failure: failures.WireFailure) -> None:
        self._server.on_failure(self._context, failure)
        self.close_transport()


def _declared_failure(result_class: type[Any], failure: Thrift.TException) -> Any:
    """Puts a declared exception into its result field; others become application exceptions."""
    for spec in result_class.thrift_spec:
        # The success field's type arguments need not hold a class, as for a list or a binary.
        if spec is None or spec[2] == _SUCCESS_FIELD:
            continue
        if isinstance(failure, spec[3][0]):
            return result_class(**{spec[2]: failure})
    if isinstance(failure, Thrift.TApplicationException):
        return failure
    return Thrift.TApplicationException(
        Thrift.TApplicationException.INTERNAL_ERROR, type(failure).__name__
    )


def _ignore_failure(_context: Context, _failure: failures.WireFailure) -> None:
    """Default for failures of one connection."""


def _ignore_error(_context: Context, _method: str, _error: Exception) -> None:
    """Default for unexpected errors of a handler."""


@dataclasses.dataclass(eq=False, slots=True)
class Server:
    """A listener. Use it as an asynchronous context manager, or close it.

    Attributes:
      service: The service served.
      handler: An object with an asynchronous method for each call, which takes the Context and the
        call's arguments, and optionally connection_closed(context).
      connections: The open connections.
      traffic: The bytes of all connections since the start.
      on_failure: Called once when a connection is closed for a malformed or too large frame.
      on_error: Called when a handler raised an error that the schema doesn't declare.
    """

    service: codec.Service
    handler: Any
    connections: set[_Accepted] = dataclasses.field(default_factory=set)
    traffic: Traffic = dataclasses.field(default_factory=Traffic)
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
        """Calls whose answers have not been written yet."""
        return sum(connection.calls_in_flight for connection in self.connections)

    async def start(
        self,
        host: str,
        port: int,
        *,
        tls: ssl.SSLContext | None = None,
        max_frame_bytes: int = codec.MAX_FRAME_BYTES,
    ) -> None:
        """Starts to listen. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Accepted(self, max_frame_bytes), host, port, ssl=tls, backlog=1024
        )

    def stop_listening(self) -> None:
        """Accepts no more connections; open ones go on."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()

    async def __aenter__(self) -> "Server":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.close()
