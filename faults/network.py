"""Simulated network between processes: delays, cuts, pauses, kills and late replies.

A cut path behaves like TCP: messages are held and delivered once the path is healed, even if
the sender has closed its connection in the meantime. The processes get no notice of a cut.
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
class SiteProfile:
    """Sizes and delays of one user's site (design 1.4).

    Attributes:
      name: Short name of the site.
      failure_domains: Names of the failure domains.
      inter_domain_delay_s: One-way delay between two failure domains, in seconds.
      client_delay_s: One-way delay between clients and instances, in seconds.
      connect_time_s: Time to open a connection to a member, in seconds.
      slots: Number of statements that a member executes concurrently.
      connection_limit: Number of connections that a member accepts.
      groups: Number of database groups, each of three members.
      service_time_s: Time to execute a statement, in seconds; not part of the sites' requirements.
    """

    name: str
    failure_domains: tuple[str, ...]
    inter_domain_delay_s: float
    client_delay_s: float
    connect_time_s: float
    slots: int
    connection_limit: int
    groups: int = 3
    service_time_s: float = 0.0005


ADDIS = SiteProfile(
    name="addis",
    failure_domains=("addis-bole", "addis-kirkos", "addis-yeka"),
    inter_domain_delay_s=0.0005,
    client_delay_s=0.001,
    connect_time_s=0.012,
    slots=2,
    connection_limit=16,
)
SIERRA = SiteProfile(
    name="sierra",
    failure_domains=("quito-norte", "quito-sur", "cumbaya"),
    inter_domain_delay_s=0.0005,
    client_delay_s=0.003,
    connect_time_s=0.012,
    slots=5,
    connection_limit=55,
)

# The network domain of all clients.
CLIENT_DOMAIN = "clients"

# One-way delay inside a failure domain.
SAME_DOMAIN_DELAY_S = 0.0001

# Maximum random increase of a delay, as a share of the delay.
JITTER_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event in a simulated process; faults are injected at events.

    Attributes:
      name: Name of the event, such as "write.received" or "fence.granted".
      process: Process in which the event occurred.
      peer: The other process of an exchange; empty if there is none.
      group: Database group; empty if there is none.
    """

    name: str
    process: str
    peer: str = ""
    group: str = ""


class Connection:
    """A connection between two processes; src sends requests and dst answers them."""

    __slots__ = (
        "broken",
        "closed",
        "dst",
        "on_client_reset",
        "on_server_close",
        "pending_replies",
        "src",
    )

    def __init__(self, src: str, dst: str) -> None:
        self.src = src
        self.dst = dst
        self.closed = False
        self.broken = False
        self.pending_replies: dict[asyncio.Future[Any], None] = {}
        self.on_server_close: collections.abc.Callable[[], None] | None = None
        self.on_client_reset: collections.abc.Callable[[], None] | None = None


class Network:
    """The network paths between all processes of a run.

    Attributes:
      late_replies: Share of the replies that are late, and their maximum extra delay in seconds.
      observers: Callbacks that get each event.
    """

    def __init__(self, loop: paused_loop.PausedLoop, profile: SiteProfile, seed: int) -> None:
        self.loop = loop
        self.profile = profile
        self.rng = random.Random(seed)
        self.domain_by_process: dict[str, str] = {}
        self.late_replies: tuple[float, float] = (0.0, 0.0)
        self.observers: list[collections.abc.Callable[[Event], None]] = []
        self._cuts: set[tuple[str, str]] = set()
        self._held_messages: dict[tuple[str, str], list[tuple[Any, ...]]] = collections.defaultdict(
            list
        )
        self._connections: dict[Connection, None] = {}

    def add_process(self, process: str, domain: str) -> None:
        """Add a process in a failure domain; clients are in the domain "clients"."""
        self.domain_by_process[process] = domain

    def emit(self, name: str, process: str, peer: str = "", group: str = "") -> None:
        """Report an event to the observers."""
        event = Event(name, process, peer, group)
        for observer in list(self.observers):
            observer(event)

    def cut(self, src: str, dst: str, bidirectional: bool = True) -> None:
        """Cut the path from src to dst, and the reverse path if bidirectional."""
        self._cuts.add((src, dst))
        if bidirectional:
            self._cuts.add((dst, src))

    def isolate(self, process: str) -> None:
        """Cut the paths between a process and all other processes."""
        for other in self.domain_by_process:
            if other != process:
                self.cut(process, other)

    def heal(self, process: str | None = None) -> None:
        """Heal the paths of a process, or all paths; held messages arrive as if sent now."""
        healed = [path for path in self._cuts if process is None or process in path]
        self._cuts.difference_update(healed)
        for path in sorted(healed):
            for message in self._held_messages.pop(path, []):
                self._send(*path, *message)

    def pause(self, process: str) -> None:
        self.loop.pause(process)

    def resume(self, process: str) -> None:
        self.loop.resume(process)

    def kill(self, process: str) -> None:
        """Kill a process immediately; its host resets its connections."""
        self.loop.kill(process)
        for connection in list(self._connections):
            if process in (connection.src, connection.dst):
                self.reset(connection)

    def reset_between(self, src: str, dst: str) -> None:
        """Reset all connections from src to dst."""
        for connection in list(self._connections):
            if (connection.src, connection.dst) == (src, dst):
                self.reset(connection)

    def reset(self, connection: Connection) -> None:
        """Reset a connection; each side learns of it after the normal delay."""
        if connection.broken:
            return
        connection.broken = True
        self._connections.pop(connection, None)
        src, dst = connection.src, connection.dst
        self._send(dst, src, self._fail_pending_replies, connection)
        if connection.on_server_close is not None:
            self._send(src, dst, connection.on_server_close)

    def message_delay_s(self, src: str, dst: str) -> float:
        """Return the one-way delay of the next message, in seconds."""
        src_domain, dst_domain = self.domain_by_process[src], self.domain_by_process[dst]
        base_delay_s = self.profile.inter_domain_delay_s
        if CLIENT_DOMAIN in (src_domain, dst_domain):
            base_delay_s = self.profile.client_delay_s
        elif src_domain == dst_domain:
            base_delay_s = SAME_DOMAIN_DELAY_S
        return base_delay_s * (1 + JITTER_SHARE * self.rng.random())

    async def open(self, src: str, dst: str, connect_time_s: float = 0.0) -> Connection:
        """Open a connection; block while the path is cut.

        Args:
          src: Process that opens the connection.
          dst: Process that accepts the connection.
          connect_time_s: Additional time to set up the connection, in seconds.

        Raises:
          LinkLost: dst is down, or the connection broke before dst accepted it.
        """
        connection = Connection(src, dst)
        self._connections[connection] = None
        if self.loop.is_killed(dst):
            await asyncio.sleep(2 * self.message_delay_s(src, dst))
            raise interfaces.LinkLost(f"{dst} is down", sent=False)
        reply = self.loop.create_future()
        self._send(src, dst, self._send, dst, src, _set_result, reply, None)
        connection.pending_replies[reply] = None
        try:
            await reply
        except interfaces.LinkLost as lost:
            raise interfaces.LinkLost(str(lost), sent=False) from None
        finally:
            connection.pending_replies.pop(reply, None)
        if connect_time_s:
            await asyncio.sleep(connect_time_s)
        return connection

    def close(self, connection: Connection) -> None:
        """Close a connection on the side of src; dst learns of it after the normal delay."""
        if connection.closed:
            return
        connection.closed = True
        self._connections.pop(connection, None)
        for future in list(connection.pending_replies):
            if not future.done():
                future.set_exception(interfaces.LinkLost("closed", sent=True))
        if connection.on_server_close is not None and not connection.broken:
            self._send(connection.src, connection.dst, connection.on_server_close)

    async def call(
        self,
        connection: Connection,
        handler: collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, Any]],
    ) -> Any:
        """Run handler in the process dst and return its result to src.

        Raises:
          LinkLost: The connection was closed or broke before the reply arrived.
        """
        if connection.closed or connection.broken:
            raise interfaces.LinkLost("the connection is closed", sent=False)
        reply: asyncio.Future[Any] = self.loop.create_future()
        connection.pending_replies[reply] = None
        self._send(connection.src, connection.dst, self._start_handler, connection, handler, reply)
        try:
            return await reply
        finally:
            connection.pending_replies.pop(reply, None)

    def _start_handler(
        self, connection: Connection, handler: Any, reply: asyncio.Future[Any]
    ) -> None:
        if connection.broken:
            return
        task = self.loop.create_task(handler(), context=paused_loop.process_context(connection.dst))
        task.add_done_callback(
            lambda finished_task: self._send_reply(connection, finished_task, reply),
            context=paused_loop.process_context(connection.dst),
        )

    def _send_reply(
        self, connection: Connection, task: asyncio.Task[Any], reply: asyncio.Future[Any]
    ) -> None:
        if connection.broken or task.cancelled():
            return
        src, dst = connection.src, connection.dst
        # Replies to clients are never late: such a delay would not exercise the proxy.
        share, max_delay_s = (
            (0.0, 0.0) if self.domain_by_process[src] == CLIENT_DOMAIN else self.late_replies
        )
        extra_delay_s = self.rng.random() * max_delay_s if self.rng.random() < share else 0.0
        error = task.exception()
        if error is None:
            self._send(dst, src, _set_result, reply, task.result(), extra_delay_s=extra_delay_s)
        else:
            self._send(dst, src, _set_exception, reply, error, extra_delay_s=extra_delay_s)

    def _fail_pending_replies(self, connection: Connection) -> None:
        if connection.on_client_reset is not None:
            connection.on_client_reset()
        for future in list(connection.pending_replies):
            if not future.done():
                future.set_exception(interfaces.LinkLost("connection reset", sent=True))

    def _send(
        self, src: str, dst: str, callback: Any, *args: Any, extra_delay_s: float = 0.0
    ) -> None:
        self.loop.call_later(
            self.message_delay_s(src, dst) + extra_delay_s,
            self._deliver,
            src,
            dst,
            callback,
            *args,
            context=paused_loop.process_context("network"),
        )

    def _deliver(self, src: str, dst: str, callback: Any, *args: Any) -> None:
        if (src, dst) in self._cuts:
            self._held_messages[(src, dst)].append((callback, *args))
            return
        self.loop.call_soon(callback, *args, context=paused_loop.process_context(dst))


def _set_result(future: asyncio.Future[Any], value: Any) -> None:
    if not future.done():
        future.set_result(value)


def _set_exception(future: asyncio.Future[Any], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
