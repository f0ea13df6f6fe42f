"""In-memory members of a database group on the simulated network."""

import asyncio
import collections.abc
from typing import Any

from bilberrystack.core import declarations
from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces
from bilberrystack_standins import member_state
from bilberrystack_standins import replicated_log
from faults import history
from faults import network
from faults import paused_loop

# The primary answers a pull without new entries after this time. It thus bounds the age of a
# replica's last contact with its primary.
PULL_MAX_WAIT_S = 0.05

# A replica closes its connection when a pull is not answered within this time.
PULL_TIMEOUT_S = 0.5


class MemberServer:
    """A member: the stand-in's state machine with slots, connections and replication.

    Attributes:
      declaration: Declaration of the member in the configuration.
      group: Database group of the member.
      process: Address of the member, which also names its simulated process.
      state: State machine.
      receive_lag_s: Time from the arrival of a pull reply until its entries are in the log.
      peers: All members of the group by address.
      executed_count: Number of executed statements.
    """

    def __init__(
        self,
        net: network.Network,
        declaration: declarations.MemberDeclaration,
        group: str,
        record: history.History,
    ) -> None:
        self.net = net
        self.declaration = declaration
        self.group = group
        self.process = declaration.address
        self.state = member_state.MemberState(
            declaration.name,
            slots=declaration.slots,
            connection_limit=declaration.connections,
        )
        self.receive_lag_s = 0.0
        self.peers: dict[str, MemberServer] = {}
        self.executed_count = 0
        self._record = record
        self._slots = asyncio.Semaphore(declaration.slots)
        self._connections: set[network.Connection] = set()
        # A dict, because it keeps the insertion order and so makes runs repeatable.
        self._waiters: dict[asyncio.Future[None], None] = {}
        self._pull_cursor: positions.Position | None = None
        self._replication_task: asyncio.Task[None] | None = None

    @property
    def now(self) -> float:
        return self.net.loop.time()

    @property
    def connection_count(self) -> int:
        """Number of open connections, including control connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start replication."""
        self._replication_task = self.net.loop.create_task(
            self._replicate(), context=paused_loop.process_context(self.process)
        )

    def set_leaving(self) -> None:
        """Announce that the member's endpoint is leaving."""
        self.state.leaving = True
        self._record.leaving_endpoints.append(history.DepartureNotice(self.now, self.process))
        self._notify()

    def set_apply_lag(self, lag_s: float) -> None:
        """Set the time until received entries are visible to reads."""
        self.state.apply_lag_s = lag_s
        self._apply()

    def accept_connection(self, connection: network.Connection) -> bool:
        """Accept a connection unless the connection limit is reached; return whether it did."""
        if len(self._connections) >= self.declaration.connections:
            return False
        self._connections.add(connection)
        connection.on_server_close = lambda: self._on_connection_closed(connection)
        return True

    async def status(self, wait_for: positions.Position, wait_s: float) -> members.MemberStatus:
        """Return the status once the log reaches wait_for, the term changes or wait_s passes."""
        self._emit("status.received")
        term = self.state.promised_term
        await self._wait_until(
            lambda: self.state.last_log >= wait_for or self.state.promised_term != term, wait_s
        )
        return self.state.status(self.now)

    async def fence(self, term: int) -> tuple[bool, members.MemberStatus]:
        self._emit("fence.received")
        granted = self.state.fence(term)
        self._notify_and_emit("fence.granted" if granted else "fence.rejected")
        return granted, self.state.status(self.now)

    async def promote(self, term: int) -> members.MemberStatus:
        self._emit("promote.received")
        self._notify_and_emit("promote.executed" if self.state.promote(term) else "promote.refused")
        return self.state.status(self.now)

    async def follow(self, term: int, primary_address: str) -> members.MemberStatus:
        self._emit("follow.received")
        followed = self.state.primary_address
        if self.state.follow(term, primary_address):
            self._pull_cursor = None
            if primary_address != followed and self._replication_task is not None:
                # A pending pull from an unreachable former primary would delay the first pull from
                # the new primary.
                self._replication_task.cancel()
                self.start()
        self._notify_and_emit("follow.executed")
        return self.state.status(self.now)

    async def read(
        self, body: bytes, min_position: positions.Position, wait_s: float
    ) -> members.MemberReply:
        self._record_arrival("read", starts_work=True)
        await self._wait_until(lambda: self.state.applied >= min_position, wait_s)
        return await self._execute("read", lambda: self.state.read(body, min_position, self.now))

    async def write(self, term: int, key: requests.RequestKey, body: bytes) -> members.MemberReply:
        self._record_arrival("write", starts_work=True)
        return await self._execute("write", lambda: self.state.write(term, key, body))

    async def begin(self, connection: network.Connection, term: int) -> members.MemberReply:
        self._record_arrival("begin", starts_work=True)
        return await self._execute("begin", lambda: self.state.begin(connection, term))

    async def statement(self, connection: network.Connection, body: bytes) -> members.MemberReply:
        self._record_arrival("statement", starts_work=False)
        return await self._execute("statement", lambda: self.state.statement(connection, body))

    async def commit(
        self, connection: network.Connection, key: requests.RequestKey
    ) -> members.MemberReply:
        self._record_arrival("commit", starts_work=False)
        return await self._execute("commit", lambda: self.state.commit(connection, key))

    async def abort(self, connection: network.Connection) -> members.MemberReply:
        self._record_arrival("abort", starts_work=False)
        return await self._execute("abort", lambda: self.state.abort(connection))

    async def resolve(self, term: int, key: requests.RequestKey) -> members.MemberReply:
        self._record_arrival("resolve", starts_work=False)
        return await self._execute("resolve", lambda: self.state.resolve(term, key))

    async def pull(self, term: int, after: positions.Position) -> replicated_log.PullResult:
        """Return log entries to a replica; wait up to PULL_MAX_WAIT_S for new ones."""
        pull_result = self.state.entries_after(term, after)
        if pull_result.accepted and pull_result.matched and not pull_result.entries:
            last = self.state.last_log
            await self._wait_until(
                lambda: self.state.last_log != last or self.state.promised_term != term,
                PULL_MAX_WAIT_S,
            )
            pull_result = self.state.entries_after(term, after)
        return pull_result

    async def _execute(
        self, name: str, execute: collections.abc.Callable[[], members.MemberReply]
    ) -> members.MemberReply:
        async with self._slots:
            await asyncio.sleep(self.net.profile.service_time_s)
            reply = execute()
        self.executed_count += 1
        self._notify_and_emit(
            f"{name}.executed" if isinstance(reply, members.Executed) else f"{name}.refused"
        )
        return reply

    async def _replicate(self) -> None:
        connection: network.Connection | None = None
        while True:
            address = self.state.primary_address
            if address is None:
                await self._wait_until(lambda: self.state.primary_address is not None, 1.0)
                continue
            try:
                if connection is None or connection.dst != address:
                    connection = await asyncio.wait_for(
                        self.net.open(self.process, address), PULL_TIMEOUT_S
                    )
                await self._pull_once(connection, self.peers[address])
            except (interfaces.LinkLost, TimeoutError):
                if connection is not None:
                    self.net.close(connection)
                    connection = None
                await asyncio.sleep(0.01)

    async def _pull_once(self, connection: network.Connection, primary: "MemberServer") -> None:
        term = self.state.promised_term
        after = self._pull_cursor or self.state.pull_position
        pull_result = await asyncio.wait_for(
            self.net.call(connection, lambda: primary.pull(term, after)), PULL_TIMEOUT_S
        )
        if self.receive_lag_s and pull_result.entries:
            self._pull_cursor = pull_result.entries[-1].position
            self.net.loop.call_later(
                self.receive_lag_s, self._accept_pull_result, term, after, pull_result
            )
            return
        self._accept_pull_result(term, after, pull_result)
        if not pull_result.accepted:
            await asyncio.sleep(PULL_MAX_WAIT_S / 5)

    def _accept_pull_result(
        self, term: int, after: positions.Position, pull_result: replicated_log.PullResult
    ) -> None:
        if (
            not self.state.accept_pull_result(term, after, pull_result, self.now)
            or not pull_result.matched
        ):
            self._pull_cursor = None
            return
        if pull_result.entries:
            self._notify_and_emit("replica.received")
        self._schedule_apply()

    def _schedule_apply(self) -> None:
        due = self.state.next_apply_at
        if due is not None:
            self.net.loop.call_at(max(due, self.now) + 1e-6, self._apply)

    def _apply(self) -> None:
        before = self.state.applied
        self.state.advance(self.now)
        if self.state.applied != before:
            self._notify()
        self._schedule_apply()

    def _record_arrival(self, kind: str, starts_work: bool) -> None:
        self._record.statements.append(
            history.ReceivedStatement(self.now, self.process, kind, starts_work)
        )
        self._emit(f"{kind}.received")

    def _emit(self, name: str) -> None:
        self.net.emit(name, self.process, group=self.group)

    def _notify_and_emit(self, event: str) -> None:
        self._notify()
        self._emit(event)

    def _notify(self) -> None:
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait_until(
        self, condition: collections.abc.Callable[[], bool], wait_s: float
    ) -> None:
        deadline = self.now + wait_s
        while not condition() and self.now < deadline - 1e-9:
            waiter = self.net.loop.create_future()
            self._waiters[waiter] = None
            timer = self.net.loop.call_at(deadline, _wake_waiter, waiter)
            await waiter
            timer.cancel()
            self._waiters.pop(waiter, None)

    def _on_connection_closed(self, connection: network.Connection) -> None:
        self._connections.discard(connection)
        self.state.connection_closed(connection)


class DataConnection:
    """A data connection from an instance to a member.

    The connection is a stream without request ids: the current waiter gets the next reply. If the
    connection is reused while a reply is outstanding, a request gets the reply to another one.
    """

    def __init__(self, server: MemberServer, connection: network.Connection) -> None:
        self._server = server
        self._connection = connection
        self._waiter: asyncio.Future[Any] | None = None

    async def read(
        self, body: bytes, min_position: positions.Position, wait_s: float
    ) -> members.MemberReply:
        return await self._call(lambda: self._server.read(body, min_position, wait_s))

    async def write(self, term: int, key: requests.RequestKey, body: bytes) -> members.MemberReply:
        return await self._call(lambda: self._server.write(term, key, body))

    async def begin(self, term: int) -> members.MemberReply:
        return await self._call(lambda: self._server.begin(self._connection, term))

    async def statement(self, body: bytes) -> members.MemberReply:
        return await self._call(lambda: self._server.statement(self._connection, body))

    async def commit(self, key: requests.RequestKey) -> members.MemberReply:
        return await self._call(lambda: self._server.commit(self._connection, key))

    async def abort(self) -> members.MemberReply:
        return await self._call(lambda: self._server.abort(self._connection))

    async def resolve(self, term: int, key: requests.RequestKey) -> members.MemberReply:
        return await self._call(lambda: self._server.resolve(term, key))

    def close(self) -> None:
        self._server.net.close(self._connection)

    async def _call(self, handler: Any) -> Any:
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        loop.create_task(self._server.net.call(self._connection, handler)).add_done_callback(
            self._on_reply
        )
        return await waiter

    def _on_reply(self, call: asyncio.Task[Any]) -> None:
        waiter = self._waiter
        if call.cancelled() or waiter is None or waiter.done():
            return
        error = call.exception()
        if error is None:
            waiter.set_result(call.result())
        else:
            waiter.set_exception(error)


class MemberLink:
    """A link from an instance to a member; implements interfaces.Member."""

    def __init__(self, server: MemberServer, instance: str) -> None:
        self._server = server
        self._instance = instance
        self._control: network.Connection | None = None
        self._opening_task: asyncio.Task[network.Connection] | None = None

    @property
    def name(self) -> str:
        return self._server.declaration.name

    @property
    def address(self) -> str:
        return self._server.declaration.address

    @property
    def failure_domain(self) -> str:
        return self._server.declaration.failure_domain

    async def connect(self) -> DataConnection:
        return DataConnection(self._server, await self._open())

    async def status(self, wait_for: positions.Position, wait_s: float) -> members.MemberStatus:
        return await self._call(lambda: self._server.status(wait_for, wait_s))

    async def fence(self, term: int) -> tuple[bool, members.MemberStatus]:
        return await self._call(lambda: self._server.fence(term))

    async def promote(self, term: int) -> members.MemberStatus:
        return await self._call(lambda: self._server.promote(term))

    async def follow(self, term: int, primary_address: str) -> members.MemberStatus:
        return await self._call(lambda: self._server.follow(term, primary_address))

    def close(self) -> None:
        if self._control is not None:
            self._server.net.close(self._control)
            self._control = None

    async def _call(self, handler: Any) -> Any:
        try:
            return await self._server.net.call(await self._control_connection(), handler)
        except interfaces.LinkLost:
            self.close()
            raise

    async def _control_connection(self) -> network.Connection:
        if self._control is None:
            if self._opening_task is None or self._opening_task.done():
                self._opening_task = asyncio.get_running_loop().create_task(self._open())
            self._control = await asyncio.shield(self._opening_task)
        return self._control

    async def _open(self) -> network.Connection:
        net = self._server.net
        connection = await net.open(
            self._instance, self._server.process, net.profile.connect_time_s
        )
        if not self._server.accept_connection(connection):
            net.close(connection)
            raise interfaces.ConnectionRefused(f"{self.name} is at its connection limit")
        return connection


def _wake_waiter(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
