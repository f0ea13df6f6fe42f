"""Messages between parties in one process: delays, cuts, pauses, kills, late answers.

A cut behaves as TCP does: what was sent is kept and arrives once the path is whole again, even if
the sender has closed its connection since. Nothing tells the parties of a cut.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
from typing import Any

from bilberrystack.proxy import interfaces
from faults import paused_loop


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """The sizes and delays of one user's site (design 1.4).

    Attributes:
      name: Short name.
      domains: The failure domains.
      between_s: One-way delay between two failure domains, in seconds.
      client_s: One-way delay between clients and instances.
      connect_s: Time that opening a connection to a member takes.
      slots: Statements that a member executes at the same time.
      connections: Connections that a member accepts.
      groups: Database groups of three members.
      service_s: Time that a member works on a statement; the users' pages name none.
    """

    name: str
    domains: tuple[str, ...]
    between_s: float
    client_s: float
    connect_s: float
    slots: int
    connections: int
    groups: int = 3
    service_s: float = 0.0005


ADDIS = Profile(
    name="addis",
    domains=("addis-bole", "addis-kirkos", "addis-yeka"),
    between_s=0.0005,
    client_s=0.001,
    connect_s=0.012,
    slots=2,
    connections=16,
)
SIERRA = Profile(
    name="sierra",
    domains=("quito-norte", "quito-sur", "cumbaya"),
    between_s=0.0005,
    client_s=0.003,
    connect_s=0.012,
    slots=5,
    connections=55,
)

# The domain of all callers.
CLIENTS = "clients"

# Inside one failure domain.
LOCAL_S = 0.0001

# Share of a delay that varies from message to message.
JITTER = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that the fakes observed; faults are injected at events.

    Attributes:
      name: What happened, as "write.received" or "fence.granted".
      party: Where it happened.
      peer: The other side.
      group: The database group; empty if there is none.
    """

    name: str
    party: str
    peer: str = ""
    group: str = ""


class Connection:
    """One connection between two parties; src sends requests and dst answers them."""

    __slots__ = (
        "broken",
        "closed",
        "dst",
        "on_client_break",
        "on_server_close",
        "pending",
        "src",
    )

    def __init__(self, src: str, dst: str) -> None:
        self.src = src
        self.dst = dst
        self.closed = False
        self.broken = False
        self.pending: dict[asyncio.Future[Any], None] = {}
        self.on_server_close: collections.abc.Callable[[], None] | None = None
        self.on_client_break: collections.abc.Callable[[], None] | None = None


class Network:
    """The paths between all parties of one run."""

    def __init__(self, loop: paused_loop.PausedLoop, profile: Profile, seed: int) -> None:
        self.loop = loop
        self.profile = profile
        self.random = random.Random(seed)
        self.domains: dict[str, str] = {}
        self.late_answers: tuple[float, float] = (0.0, 0.0)
        self.observers: list[collections.abc.Callable[[Event], None]] = []
        self._cuts: set[tuple[str, str]] = set()
        self._stuck: dict[tuple[str, str], list[tuple[Any, ...]]] = collections.defaultdict(list)
        self._connections: dict[Connection, None] = {}

    def add(self, party: str, domain: str) -> None:
        """Places a party in a failure domain; clients are in the domain "clients"."""
        self.domains[party] = domain

    def emit(self, name: str, party: str, peer: str = "", group: str = "") -> None:
        """Tells the observers of an event."""
        event = Event(name, party, peer, group)
        for observer in list(self.observers):
            observer(event)

    def cut(self, src: str, dst: str, both: bool = True) -> None:
        """Cuts the path from src to dst, and back if both."""
        self._cuts.add((src, dst))
        if both:
            self._cuts.add((dst, src))

    def isolate(self, party: str) -> None:
        """Cuts a party off from every other party."""
        for other in self.domains:
            if other != party:
                self.cut(party, other)

    def heal(self, party: str | None = None) -> None:
        """Makes the paths of a party whole, or all; what was kept arrives after the usual delay."""
        healed = [path for path in self._cuts if party is None or party in path]
        self._cuts.difference_update(healed)
        for path in sorted(healed):
            for message in self._stuck.pop(path, []):
                self._send(*path, *message)

    def pause(self, party: str) -> None:
        self.loop.pause(party)

    def resume(self, party: str) -> None:
        self.loop.resume(party)

    def kill(self, party: str) -> None:
        """Ends a party at once; its host closes its connections."""
        self.loop.kill(party)
        for connection in list(self._connections):
            if party in (connection.src, connection.dst):
                self.reset(connection)

    def reset_between(self, src: str, dst: str) -> None:
        """Breaks the connections from src to dst."""
        for connection in list(self._connections):
            if (connection.src, connection.dst) == (src, dst):
                self.reset(connection)

    def reset(self, connection: Connection) -> None:
        """Breaks a connection; each side notices after the usual delay."""
        if connection.broken:
            return
        connection.broken = True
        self._connections.pop(connection, None)
        src, dst = connection.src, connection.dst
        self._send(dst, src, self._fail_pending, connection)
        if connection.on_server_close is not None:
            self._send(src, dst, connection.on_server_close)

    def delay(self, src: str, dst: str) -> float:
        """Returns the one-way delay of the next message, in seconds."""
        source, destination = self.domains[src], self.domains[dst]
        base = self.profile.between_s
        if CLIENTS in (source, destination):
            base = self.profile.client_s
        elif source == destination:
            base = LOCAL_S
        return base * (1 + JITTER * self.random.random())

    async def open(self, src: str, dst: str, connect_s: float = 0.0) -> Connection:
        """Opens a connection. Raises LinkLost if dst is down; hangs while the path is cut."""
        connection = Connection(src, dst)
        self._connections[connection] = None
        if self.loop.is_dead(dst):
            await asyncio.sleep(2 * self.delay(src, dst))
            raise interfaces.LinkLost(f"{dst} is down", sent=False)
        answered = self.loop.create_future()
        self._send(src, dst, self._send, dst, src, _set_result, answered, None)
        connection.pending[answered] = None
        try:
            await answered
        except interfaces.LinkLost as lost:
            raise interfaces.LinkLost(str(lost), sent=False) from None
        finally:
            connection.pending.pop(answered, None)
        if connect_s:
            await asyncio.sleep(connect_s)
        return connection

    def close(self, connection: Connection) -> None:
        """Closes a connection from the side of src; dst learns of it after the usual delay."""
        if connection.closed:
            return
        connection.closed = True
        self._connections.pop(connection, None)
        for future in list(connection.pending):
            if not future.done():
                future.set_exception(interfaces.LinkLost("closed", sent=True))
        if connection.on_server_close is not None and not connection.broken:
            self._send(connection.src, connection.dst, connection.on_server_close)

    async def call(
        self,
        connection: Connection,
        handler: collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, Any]],
    ) -> Any:
        """Runs handler at dst and returns its result to src.

        Raises:
          LinkLost: The connection is closed or breaks before the answer arrived.
        """
        if connection.closed or connection.broken:
            raise interfaces.LinkLost("the connection is closed", sent=False)
        answered: asyncio.Future[Any] = self.loop.create_future()
        connection.pending[answered] = None
        self._send(connection.src, connection.dst, self._start, connection, handler, answered)
        try:
            return await answered
        finally:
            connection.pending.pop(answered, None)

    def _start(self, connection: Connection, handler: Any, answered: asyncio.Future[Any]) -> None:
        if connection.broken:
            return
        task = self.loop.create_task(handler(), context=paused_loop.as_party(connection.dst))
        task.add_done_callback(
            lambda done: self._answer(connection, done, answered),
            context=paused_loop.as_party(connection.dst),
        )

    def _answer(
        self, connection: Connection, done: asyncio.Task[Any], answered: asyncio.Future[Any]
    ) -> None:
        if connection.broken or done.cancelled():
            return
        src, dst = connection.src, connection.dst
        # An answer that is late on its way to a caller says nothing about the proxy.
        share, most_s = (0.0, 0.0) if self.domains[src] == CLIENTS else self.late_answers
        extra = self.random.random() * most_s if self.random.random() < share else 0.0
        error = done.exception()
        if error is None:
            self._send(dst, src, _set_result, answered, done.result(), extra=extra)
        else:
            self._send(dst, src, _set_exception, answered, error, extra=extra)

    def _fail_pending(self, connection: Connection) -> None:
        if connection.on_client_break is not None:
            connection.on_client_break()
        for future in list(connection.pending):
            if not future.done():
                future.set_exception(interfaces.LinkLost("connection reset", sent=True))

    def _send(self, src: str, dst: str, deliver: Any, *args: Any, extra: float = 0.0) -> None:
        self.loop.call_later(
            self.delay(src, dst) + extra,
            self._arrive,
            src,
            dst,
            deliver,
            *args,
            context=paused_loop.as_party("network"),
        )

    def _arrive(self, src: str, dst: str, deliver: Any, *args: Any) -> None:
        if (src, dst) in self._cuts:
            self._stuck[(src, dst)].append((deliver, *args))
            return
        self.loop.call_soon(deliver, *args, context=paused_loop.as_party(dst))


def _set_result(future: asyncio.Future[Any], value: Any) -> None:
    if not future.done():
        future.set_result(value)


def _set_exception(future: asyncio.Future[Any], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
