"""A network between the instances, the members and the store of a site in one process.

All instances of such a site share one event loop and the functions that open connections and send
datagrams. A context variable names the instance whose task runs; tasks, servers and sockets that an
instance creates inherit it. The network replaces both functions for a time and consults the cuts
that are in force between the instance and the target.
"""

import asyncio
import collections.abc
import contextlib
import contextvars
import dataclasses
import enum
import typing
from unittest import mock

from bilberrystack.pooling import fleet
from bilberrystack.pooling import member_link
from bilberrystack.routing import model

# The name of the instance whose task runs; empty for a task of a test.
CURRENT_INSTANCE = contextvars.ContextVar("CURRENT_INSTANCE", default="")

# Name of the store and of the platform's promotion calls.
STORE = "store"

# A kernel closes a connection whose sent data stays unacknowledged for this long.
UNACKNOWLEDGED_LIMIT_S = member_link.TCP_USER_TIMEOUT_MS / 1000

# The same for one without such data, by its keep-alive probes (member_link.configure_socket).
IDLE_LIMIT_S = 2.0


class Cut(enum.Enum):
    """What a cut does to connections. Each kind drops datagrams."""

    SILENT = "drops packets"
    REFUSE = "refuses connections like a closed port and resets open ones"
    RESET = "resets connections, new and open ones"


@dataclasses.dataclass(slots=True)
class NetworkCounts:
    """What cuts have done so far.

    Attributes:
      datagrams: Number of dropped datagrams.
      connections: Number of attempts to connect that failed, by the kind of the cut.
      resets: Number of open connections that were reset.
    """

    datagrams: int = 0
    connections: dict[Cut, int] = dataclasses.field(default_factory=lambda: dict.fromkeys(Cut, 0))
    resets: int = 0


class _Connection:
    """An open connection of an instance, whose data a silent cut holds back in either direction.

    Data that is held when the cut ends is delivered, as TCP sends it again. The connection is reset
    if the cut lasts longer than the kernel waits.
    """

    def __init__(
        self,
        source: str,
        target: str,
        reader: member_link.Reader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.source = source
        self.target = target
        self.outgoing_held = self.incoming_held = False
        self._writer = writer
        self._write, self._close = writer.write, writer.close
        self._feed_data, self._feed_eof = reader.feed_data, reader.feed_eof
        self._sent: list[bytes] = []
        self._received: list[bytes | None] = []
        self._closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        patched = typing.cast(typing.Any, writer)
        patched.write, patched.close = self._hold_or_write, self._hold_or_close
        patched.is_closing = lambda: self._closed or writer.transport.is_closing()
        patched = typing.cast(typing.Any, reader)
        patched.feed_data, patched.feed_eof = self._hold_or_feed, self._hold_or_end

    @property
    def ended(self) -> bool:
        """Whether no more data can be held back."""
        return self._writer.transport.is_closing() and not self.incoming_held

    def set_held(self, outgoing: bool, incoming: bool) -> None:
        """Sets which directions are held, and delivers what was held in the others."""
        self.outgoing_held, self.incoming_held = outgoing, incoming
        if not (outgoing or incoming):
            self._stop_timers()
        elif self._idle_timer is None:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(IDLE_LIMIT_S, self.reset)
        if not outgoing:
            self._deliver_sent()
        if not incoming:
            received, self._received = self._received, []
            for data in received:
                if data is None:
                    self._feed_eof()
                else:
                    self._feed_data(data)

    def _stop_timers(self) -> None:
        for timer in (self._timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._idle_timer = None

    def _deliver_sent(self) -> None:
        sent, self._sent = self._sent, []
        for data in sent:
            self._write(data)
        if self._closed and not self._writer.transport.is_closing():
            self._close()

    def reset(self) -> None:
        """Resets the connection at both ends."""
        self._stop_timers()
        self._sent, self._received = [], []
        self.outgoing_held = self.incoming_held = False
        self._writer.transport.abort()
        # The end that the transport reports may have been held back.
        self._feed_eof()

    def _hold_or_write(self, data: bytes) -> None:
        # A lost acknowledgement has the same effect as lost data.
        if (self.outgoing_held or self.incoming_held) and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(UNACKNOWLEDGED_LIMIT_S, self.reset)
        if self.outgoing_held:
            self._sent.append(bytes(data))
        else:
            self._write(data)

    def _hold_or_close(self) -> None:
        if self._closed:
            return
        self._closed = True
        # The instance's own end is closed at once, also for a task that waits for data.
        self._received = []
        self._feed_eof()
        if not self.outgoing_held:
            self.incoming_held = False
            self._close()
        elif self._timer is None:
            # The other end learns of it when the cut ends, or by the reset.
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(UNACKNOWLEDGED_LIMIT_S, self.reset)

    def _hold_or_feed(self, data: bytes) -> None:
        if self._closed:
            return
        if self.incoming_held:
            self._received.append(bytes(data))
        else:
            self._feed_data(data)

    def _hold_or_end(self) -> None:
        if self.incoming_held:
            self._received.append(None)
        else:
            self._feed_eof()


class Network:
    """Cuts between the instances, members and store of a site. Use it as a context manager.

    Attributes:
      counts: What the cuts have done so far.
    """

    def __init__(self) -> None:
        self.counts = NetworkCounts()
        self._hosts: dict[str, str] = {}
        self._endpoints: dict[tuple[str, int], str] = {}
        self._cuts: dict[tuple[str, str], Cut] = {}
        self._connections: list[_Connection] = []
        self._patches = contextlib.ExitStack()
        self._original_connect = member_link.connect

    def __enter__(self) -> "Network":
        network = self
        original_send = fleet.FleetProtocol.send
        self._original_connect = member_link.connect

        async def connect(
            endpoint: model.Endpoint,
            max_line_bytes: int,
            timeout_s: float = member_link.CONNECT_TIMEOUT_S,
        ) -> tuple[member_link.Reader, asyncio.StreamWriter]:
            return await network._connect(endpoint, max_line_bytes, timeout_s)

        def send(
            protocol: fleet.FleetProtocol, message: typing.Any, receiver: model.Endpoint
        ) -> None:
            if network.carries(CURRENT_INSTANCE.get(), network.name_of(receiver)):
                original_send(protocol, message, receiver)
            else:
                network.counts.datagrams += 1

        self._patches.enter_context(mock.patch.object(member_link, "connect", connect))
        self._patches.enter_context(mock.patch.object(fleet.FleetProtocol, "send", send))
        return self

    def __exit__(self, *_: object) -> None:
        self.heal()
        self._patches.close()

    def add_host(self, name: str, host: str) -> None:
        """Names the owner of all ports of a host; a machine may have had several hosts."""
        self._hosts[host] = name

    def add_endpoint(self, name: str, host: str, port: int) -> None:
        """Names the owner of an endpoint."""
        self._endpoints[host, port] = name

    def name_of(self, endpoint: model.Endpoint) -> str:
        """Returns the name of an endpoint's owner; empty for an unknown one."""
        name = self._endpoints.get((endpoint.host, endpoint.port), "")
        return name or self._hosts.get(endpoint.host, "")

    def carries(self, source: str, target: str) -> bool:
        """Returns whether packets from a machine reach another one."""
        return (source, target) not in self._cuts

    def cut(self, source: str, target: str, kind: Cut, *, both: bool = True) -> None:
        """Cuts the way from a machine to another one, and the way back unless told otherwise."""
        self._cuts[source, target] = kind
        if both:
            self._cuts[target, source] = kind
        self._apply()

    def heal(self, *names: str) -> None:
        """Ends the cuts at machines, or between two; all cuts without a name."""
        for pair in list(self._cuts):
            if len(names) == 0 or (len(names) == 1 and names[0] in pair) or {*names} == {*pair}:
                del self._cuts[pair]
        self._apply()

    def _apply(self) -> None:
        """Applies the cuts to the open connections."""
        self._connections = [each for each in self._connections if not each.ended]
        for connection in self._connections:
            there = self._cuts.get((connection.source, connection.target))
            back = self._cuts.get((connection.target, connection.source))
            if {there, back} & {Cut.REFUSE, Cut.RESET}:
                self.counts.resets += 1
                connection.reset()
            else:
                connection.set_held(there is not None, back is not None)

    async def _connect(
        self, endpoint: model.Endpoint, max_line_bytes: int, timeout_s: float
    ) -> tuple[member_link.Reader, asyncio.StreamWriter]:
        source, target = CURRENT_INSTANCE.get(), self.name_of(endpoint)
        await self._check_connect(source, target, endpoint, timeout_s)
        reader, writer = await self._original_connect(endpoint, max_line_bytes, timeout_s)
        try:
            # The cut may have begun meanwhile.
            await self._check_connect(source, target, endpoint, timeout_s)
        except BaseException:
            writer.transport.abort()
            raise
        if source and target:
            self._connections.append(_Connection(source, target, reader, writer))
        return reader, writer

    async def _check_connect(
        self, source: str, target: str, endpoint: model.Endpoint, timeout_s: float
    ) -> None:
        """Fails like an attempt to connect over a cut, if there is one.

        An attempt whose answer is lost on the way back looks like one that is lost.
        """
        kind = self._cuts.get((source, target))
        if kind is None and (target, source) in self._cuts:
            kind = Cut.SILENT
        if kind is None:
            return
        self.counts.connections[kind] += 1
        match kind:
            case Cut.REFUSE:
                raise member_link.Refused(str(endpoint)) from ConnectionRefusedError()
            case Cut.RESET:
                raise member_link.Unreachable(str(endpoint)) from ConnectionResetError()
            case _:
                await asyncio.sleep(timeout_s)
                raise member_link.Unreachable(str(endpoint)) from TimeoutError()


def run_as(name: str) -> contextvars.Context:
    """Returns a context whose tasks belong to an instance."""
    context = contextvars.copy_context()
    context.run(CURRENT_INSTANCE.set, name)
    return context


def start_task(
    name: str, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None]
) -> asyncio.Task[None]:
    """Starts a task that belongs to an instance."""
    return asyncio.create_task(coroutine, context=run_as(name))
