"""Connections that are read from only as far as the budget of the process allows."""

import asyncio
import collections.abc
import contextlib
import typing

import loguru

from bilberrystack.budget import ledger
from bilberrystack.budget import limits
from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces

_LOG = loguru.logger.bind(component="budget")

# Bytes that are received at once by a connection with a permit.
RECEIVE_BYTES = 65_536

# Interval of the checks while a connection waits for a permit.
CHECK_INTERVAL_S = 0.25

# Interval between two log lines about refused and dropped connections.
LOG_INTERVAL_S = 1.0

# What a message of a client takes until it is answered, as a multiple of its size: the received
# bytes, the line, its text, the statement in it, its encoded form, also for a second member. With a
# factor of 5, 160 clients with messages of 1 MiB took twice what was counted. Texts with characters
# outside ASCII take up to four bytes a character.
CLIENT_WORK_FACTOR = 9
WIDE_CLIENT_WORK_FACTOR = 15

# The same for a frame of another instance, whose values are decoded but not encoded as a whole.
FRAME_WORK_FACTOR = 4

# What a request of another instance takes beside its bytes: a task, the decoded request, its trace.
REQUEST_BYTES = 4_096

Served = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


class _Transport:
    """A transport that reads only if its user and the budget both want it to."""

    __slots__ = ("_gated", "_paused", "_transport", "write")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._paused = False
        self._gated = False
        self.write = transport.write

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`."""
        self._paused = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, if the budget allows it."""
        self._paused = False
        if not self._gated:
            self._transport.resume_reading()

    def gate(self, closed: bool) -> None:
        """Stop reading while the budget does not allow it."""
        if closed is self._gated:
            return
        self._gated = closed
        with contextlib.suppress(OSError, RuntimeError):
            if closed:
                self._transport.pause_reading()
            elif not self._paused:
                self._transport.resume_reading()


class Reader(asyncio.StreamReader):
    """A stream reader that holds the floor, and more only with a permit.

    It is read from while its user waits for data. Beyond the floor it asks for a permit, unless a
    whole message has arrived.
    """

    def __init__(self, connection: "Connection", limit: int) -> None:
        super().__init__(limit=limit)
        self._connection = connection
        self._longest_message = limit
        self._separator = b""
        self._needed_bytes = 0
        self._searched_bytes = 0

    def feed_data(self, data: collections.abc.Iterable[typing.SupportsIndex]) -> None:
        """Buffer data, and stop reading at the floor; called by the protocol."""
        super().feed_data(data)
        self._connection.update_gate()

    @property
    def usage(self) -> "Usage":
        """What the code that serves the connection tells the budget."""
        return self._connection.usage

    @property
    def room(self) -> int:
        """Number of bytes that may be received at once now; 0 if none may."""
        # The stream reader has no public way to see what it holds.
        held = len(self._buffer)  # type: ignore[attr-defined]
        if held < limits.FLOOR_BYTES:
            if not self._connection.holder.permit_bytes:
                return limits.FLOOR_BYTES - held
            return RECEIVE_BYTES
        if not self._needed_bytes or self._has_message(held):
            return 0
        if not self._connection.holder.permit_bytes:
            self._connection.request_permit(self._needed_bytes)
            if not self._connection.holder.permit_bytes:
                return 0
        return RECEIVE_BYTES

    def _has_message(self, held: int) -> bool:
        if not self._separator:
            return held >= self._needed_bytes
        if held >= self._longest_message + len(self._separator):
            # The line is too long.
            return True
        start = max(0, self._searched_bytes - len(self._separator))
        self._searched_bytes = held
        return bool(self._buffer.find(self._separator, start) >= 0)  # type: ignore[attr-defined]

    @contextlib.contextmanager
    def _needs(self, byte_count: int, separator: bytes) -> collections.abc.Iterator[None]:
        """Read from the connection until a message has arrived."""
        self._release_unused_permit()
        self._needed_bytes, self._separator, self._searched_bytes = byte_count, separator, 0
        self._connection.update_gate()
        try:
            yield
        finally:
            self._needed_bytes = 0
            self._connection.update_gate()

    def _release_unused_permit(self) -> None:
        """Return the permit of a message that was not a request."""
        if len(self._buffer) < limits.FLOOR_BYTES:  # type: ignore[attr-defined]
            self._connection.release_permit()

    async def readuntil(self, separator: typing.Any = b"\n") -> bytes:
        """Read a line, as StreamReader does; the separator is a byte string."""
        # A line that has arrived needs no permit; the gate is looked at before the next wait.
        if self._buffer.find(separator) >= 0:  # type: ignore[attr-defined]
            return await super().readuntil(separator)
        with self._needs(self._longest_message, separator):
            return await super().readuntil(separator)

    async def readexactly(self, n: int) -> bytes:
        """Read a number of bytes, as StreamReader does."""
        with self._needs(n, b""):
            return await super().readexactly(n)

    async def read(self, n: int = -1) -> bytes:
        """Read what has arrived, as StreamReader does."""
        with self._needs(1, b""):
            data = await super().read(n)
        self._release_unused_permit()
        return data


class Connection(asyncio.BufferedProtocol):
    """An accepted connection, and its part of the budget.

    Attributes:
      holder: What it holds.
      refusal: What it is told if it is dropped while none of its requests runs.
    """

    def __init__(
        self, budget: "Budget", kind: limits.Kind, served: Served, limit: int, refusal: bytes
    ) -> None:
        self.holder = ledger.Holder(kind, budget.clock())
        self.refusal = refusal
        self._budget = budget
        self._transport: _Transport | None = None
        self._accepted = False
        self._reader = Reader(self, limit)
        self._protocol = asyncio.StreamReaderProtocol(self._reader, self._serve)
        self._served = served
        self._work_factor = CLIENT_WORK_FACTOR if kind is limits.Kind.CLIENT else FRAME_WORK_FACTOR

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._served(reader, writer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports implement the methods of asyncio.Transport but don't derive from it.
        plain = typing.cast(asyncio.Transport, transport)
        plain.set_write_buffer_limits(ledger.MIN_UNSENT_BYTES)
        self._transport = _Transport(plain)
        self._accepted = self._budget.accept(self)
        if not self._accepted:
            self.drop()
            return
        self._protocol.connection_made(typing.cast(asyncio.BaseTransport, self._transport))

    def get_buffer(self, sizehint: int) -> memoryview:
        # All connections share the buffer: data are copied out of it before the next call.
        return self._budget.receive_buffer[: self._reader.room or 1]

    def buffer_updated(self, nbytes: int) -> None:
        if self.holder.permit_bytes:
            self._budget.ledger.record_progress(self.holder, self._budget.clock())
        self._protocol.data_received(bytes(self._budget.receive_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._budget.forget(self)
        if self._accepted:
            self._protocol.connection_lost(exc)

    def update_gate(self) -> None:
        """Read from the connection, or stop, as what it holds and its permit demand."""
        if self._transport is not None:
            self._transport.gate(self._reader.room == 0)

    def request_permit(self, message_bytes: int) -> None:
        """Ask for a permit for a message; it may be given at once."""
        wanted_bytes = limits.FLOOR_BYTES + message_bytes * self._work_factor
        self._budget.request_permit(self, wanted_bytes)

    def release_permit(self) -> None:
        """Return the permit, if the connection has one."""
        if self.holder.permit_bytes:
            self._budget.release_permit(self)

    @property
    def usage(self) -> "Usage":
        """What the code that serves the connection tells the budget."""
        return Usage(self._budget, self)

    def drop(self) -> None:
        """End the connection at once, with a refusal if none of its requests runs."""
        assert self._transport is not None
        with contextlib.suppress(OSError, RuntimeError):
            if self.holder.running or self._transport.get_write_buffer_size():
                self._transport.abort()
            else:
                self._transport.write(self.refusal)
                self._transport.close()


class Usage:
    """Tells the budget what the requests of one connection hold."""

    __slots__ = ("_budget", "_connection", "_request_ended")

    def __init__(self, budget: "Budget", connection: Connection) -> None:
        self._budget = budget
        self._connection = connection
        self._request_ended = asyncio.Event()

    def begin(self, message: bytes) -> int:
        """Count a request that is run; return what it takes, for `end`.

        Args:
          message: The received message.
        """
        size = len(message)
        work_bytes = 0
        if self._connection.holder.kind is not limits.Kind.CLIENT:
            # One connection carries the requests of many clients.
            work_bytes = REQUEST_BYTES + size * FRAME_WORK_FACTOR
        elif size > limits.FLOOR_BYTES:
            # The floor covers the messages of ordinary clients.
            factor = CLIENT_WORK_FACTOR if message.isascii() else WIDE_CLIENT_WORK_FACTOR
            work_bytes = size * factor
        self._budget.ledger.begin(self._connection.holder, work_bytes)
        if work_bytes:
            self._budget.relieve()
        return work_bytes

    def end(self, work_bytes: int) -> None:
        """Count the end of a request.

        Args:
          work_bytes: What `begin` returned.
        """
        self._budget.ledger.end(self._connection.holder, work_bytes, self._budget.clock())
        self._request_ended.set()
        if work_bytes:
            self._budget.relieve()

    async def wait_for_room(self) -> None:
        """Wait while the running requests of the connection take its share."""
        while self._budget.ledger.holds_its_share(self._connection.holder):
            self._request_ended.clear()
            await self._request_ended.wait()

    def define(self, byte_count: int) -> bool:
        """Count the definitions of a session; return whether there is room for them.

        Args:
          byte_count: Size of all definitions of the session.
        """
        if self._budget.ledger.define(self._connection.holder, byte_count):
            return True
        self._budget.count_refusal(limits.Kind.CLIENT, ledger.Reason.DEFINITIONS)
        return False

    def leaves_unread(self, byte_count: int) -> bool:
        """Return whether the other side has more unread than its share.

        Args:
          byte_count: Number of bytes that it has not taken.
        """
        return byte_count > self._budget.ledger.unsent_share(self._connection.holder.kind)

    async def wait_until_read(self, writer: asyncio.StreamWriter) -> None:
        """Wait until the other side has read most of its answers, or has closed the connection.

        Args:
          writer: The connection's writer.
        """
        holder = self._connection.holder
        self._budget.ledger.set_unsent(holder, writer.transport.get_write_buffer_size())
        self._budget.relieve()
        try:
            await writer.drain()
        finally:
            self._budget.ledger.set_unsent(holder, 0)
            self._budget.relieve()


class _NoUsage(Usage):
    """The usage of a connection that no budget accepted."""

    __slots__ = ()

    def __init__(self) -> None:
        """Create a usage without a budget."""

    def begin(self, message: bytes) -> int:
        return 0

    def end(self, work_bytes: int) -> None:
        return

    async def wait_for_room(self) -> None:
        return

    def define(self, byte_count: int) -> bool:
        return True

    def leaves_unread(self, byte_count: int) -> bool:
        return False

    async def wait_until_read(self, writer: asyncio.StreamWriter) -> None:
        await writer.drain()


def usage_of(reader: asyncio.StreamReader) -> Usage:
    """Return the usage of a connection, by its reader."""
    return reader.usage if isinstance(reader, Reader) else _NoUsage()


class Budget:
    """The connections of this process, and what they hold.

    Attributes:
      ledger: Decides what they may hold.
      clock: Returns the current time in seconds.
      receive_buffer: Receives the data of all connections, one after the other.
    """

    def __init__(
        self,
        process_limits: limits.Limits,
        clock: interfaces.Clock,
        metrics: counters.Counters,
    ) -> None:
        """Create a budget of which nothing is used.

        Args:
          process_limits: What connections may hold.
          clock: Returns the current time in seconds.
          metrics: The metrics.
        """
        self.ledger = ledger.Ledger(process_limits)
        self.clock = clock
        self.receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._metrics = metrics
        self._connections: dict[ledger.Holder, Connection] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._refused: dict[str, int] = {}
        self._logged_at_s = float("-inf")
        self._metrics.budget_bytes.set({}, process_limits.budget_bytes)

    def protocol_factory(
        self, kind: limits.Kind, served: Served, max_line_bytes: int, refusal: bytes
    ) -> collections.abc.Callable[[], Connection]:
        """Return what creates the protocol of each accepted connection.

        Args:
          kind: Who opens the connections.
          served: Serves a connection until its end.
          max_line_bytes: The longest line that is read.
          refusal: What a connection is told that is refused or dropped.
        """
        return lambda: Connection(self, kind, served, max_line_bytes, refusal)

    def export(self) -> None:
        """Set the metrics of what is held."""
        for kind, count, held_bytes in ledger.connections_by_kind(self.ledger):
            self._metrics.connections.set({"kind": kind}, count)
            self._metrics.held_bytes.set({"kind": kind}, held_bytes)

    def accept(self, connection: Connection) -> bool:
        """Count a new connection; return whether there is room for it."""
        kind = connection.holder.kind
        holder, dropped = self.ledger.open(kind, self.clock())
        if holder is None or dropped is not None:
            self.count_refusal(kind, ledger.Reason.CONNECTIONS)
        if dropped is not None:
            self._drop(dropped)
        if holder is None:
            return False
        connection.holder = holder
        self._connections[holder] = connection
        return True

    def forget(self, connection: Connection) -> None:
        """Return what an ended connection held."""
        self.ledger.close(connection.holder)
        self._connections.pop(connection.holder, None)
        self._grant()

    def request_permit(self, connection: Connection, wanted_bytes: int) -> None:
        """Let a connection wait for a permit, if it does not wait yet."""
        if connection.holder.wanted_bytes or connection.holder not in self._connections:
            return
        self.ledger.request_permit(connection.holder, wanted_bytes)
        self._grant()

    def release_permit(self, connection: Connection) -> None:
        """Return the permit of a connection."""
        self.ledger.release_permit(connection.holder)
        self._grant()

    def relieve(self) -> None:
        """Drop connections if the budget is exceeded, and give permits where there is room."""
        for holder, reason in self.ledger.victims(self.clock()):
            self.count_refusal(holder.kind, reason)
            self._drop(holder)
        self._grant()

    def _drop(self, holder: ledger.Holder) -> None:
        connection = self._connections.pop(holder, None)
        if connection is not None:
            connection.drop()

    def _grant(self) -> None:
        if not self.ledger.has_waiting:
            return
        for holder in self.ledger.grant(self.clock()):
            self._connections[holder].update_gate()
        if self.ledger.has_waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        self.relieve()

    def count_refusal(self, kind: limits.Kind, reason: ledger.Reason) -> None:
        """Count a refused connection or request, and log the counts from time to time."""
        self._metrics.budget_refusals.inc({"kind": kind.value, "reason": reason.value})
        name = f"{kind.value}_{reason.value}"
        self._refused[name] = self._refused.get(name, 0) + 1
        if self.clock() - self._logged_at_s >= LOG_INTERVAL_S:
            self._logged_at_s = self.clock()
            _LOG.warning(
                "connections or requests refused for want of room",
                held_mb=round(self.ledger.total_bytes / 1e6),
                budget_mb=round(self.ledger.limits.budget_bytes / 1e6),
                **self._refused,
            )
            self._refused = {}
