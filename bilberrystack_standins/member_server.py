"""A stand-in member of a database group as a server of schema/members.thrift."""

import asyncio
import collections.abc
import contextlib
import dataclasses
from typing import Any

from thrift import Thrift

from bilberrystack.core import members
from bilberrystack.proxy import member_messages
from bilberrystack.wire import rpc
from bilberrystack_standins import member_faults
from bilberrystack_standins import member_replication
from bilberrystack_standins import member_state
from bilberrystack_standins import waiting


@dataclasses.dataclass(eq=False, slots=True)
class _ProxyConnection:
    """What the member keeps for a connection.

    Attributes:
      carries_statements: Whether it said hello as a data connection.
      closed: Whether it closed; calls that arrived before may still run.
    """

    carries_statements: bool = False
    closed: bool = False


class MemberServer:
    """Serves one member. Use it as an asynchronous context manager, or close it.

    Attributes:
      state: The member's state.
      switches: The member's faults.
    """

    __slots__ = (
        "_apply_timer",
        "_changes",
        "_connections",
        "_host",
        "_replication",
        "_server",
        "_slots",
        "state",
        "switches",
    )

    def __init__(
        self, state: member_state.MemberState, faults: member_faults.Faults | None = None
    ) -> None:
        self.state = state
        self.switches = member_faults.FaultSwitches(
            faults or member_faults.Faults(), self._faults_changed
        )
        self._changes = waiting.Changes()
        self._host = ""
        self._connections: set[rpc.Context] = set()
        self._slots = asyncio.Semaphore(state.slots)
        self._apply_timer: asyncio.TimerHandle | None = None
        self._replication = member_replication.Replication(
            state, self.switches, self._state_changed
        )
        self._server = rpc.Server(member_replication.SERVICE, self)
        self._faults_changed()

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"{self._host}:{self._server.port}"

    @property
    def connection_count(self) -> int:
        """The connections of proxies that are open."""
        return len(self._connections)

    @property
    def calls_in_flight(self) -> int:
        """Calls that have not been answered yet."""
        return self._server.calls_in_flight

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen. Raises OSError."""
        self._host = host
        await self._server.start(host, port)

    def close(self) -> None:
        """Stops serving and replicating."""
        self._server.close()
        self._replication.close()
        if self._apply_timer is not None:
            self._apply_timer.cancel()

    async def __aenter__(self) -> "MemberServer":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.close()

    def connection_closed(self, context: rpc.Context) -> None:
        """Ends the transaction of a connection and frees its place."""
        self._connections.discard(context)
        _connection(context).closed = True
        self.state.connection_closed(context)

    async def hello(self, context: rpc.Context, _instance: str, control: bool) -> Any:
        """Opens the connection; a data connection costs time."""
        async with self._reachable():
            connection = _connection(context)
            if connection.closed:
                return self._refuse(members.Refusal.CONNECTION_LIMIT, "closed")
            if len(self._connections) >= self.state.connection_limit:
                return self._refuse(
                    members.Refusal.CONNECTION_LIMIT,
                    f"{self.state.connection_limit} connections are open",
                )
            self._connections.add(context)
            if not control:
                await asyncio.sleep(self.switches.current.connection_cost_ms / 1000)
            connection.carries_statements = not control
            executed = members.Executed(b"", self.state.applied, False, self.state.promised_term)
            return member_messages.from_reply(executed)

    async def status(self, _context: rpc.Context, wait_for: Any, wait_ms: int) -> Any:
        """Reports once the log reaches a position, the promised term changes or time passed."""
        async with self._reachable():
            wanted = member_messages.to_position(wait_for)
            term = self.state.promised_term
            await self._changes.wait_for(
                lambda: self.state.last_log >= wanted or self.state.promised_term != term,
                wait_ms / 1000,
            )
            return self._status()

    async def fence(self, _context: rpc.Context, term: int) -> Any:
        """Promises a term if it is higher than the promised one."""
        async with self._reachable():
            with self._role_change():
                granted = self.state.fence(term)
            return member_messages.from_fence(granted, self.state.status(_now()))

    async def promote(self, _context: rpc.Context, term: int) -> Any:
        """Makes the member primary of its promised term."""
        async with self._reachable():
            with self._role_change():
                self.state.promote(term)
            return self._status()

    async def follow(self, _context: rpc.Context, term: int, primary_address: str) -> Any:
        """Makes the member a replica."""
        async with self._reachable():
            with self._role_change():
                self.state.follow(term, primary_address)
            return self._status()

    async def read(self, context: rpc.Context, body: bytes, min_position: Any, wait_ms: int) -> Any:
        """Reads once a position is applied; waits for that outside the slots."""
        async with self._reachable():
            wanted = member_messages.to_position(min_position)
            if not await self._changes.wait_for(
                lambda: self.state.applied >= wanted, wait_ms / 1000
            ):
                detail = f"applied {self.state.applied}, wanted {wanted}"
                return self._refuse(members.Refusal.BEHIND, detail)
            return await self._run(context, lambda: self.state.read(body, wanted, _now()))

    async def write(self, context: rpc.Context, term: int, key: Any, body: bytes) -> Any:
        """Runs a statement and records its key."""
        request_key = member_messages.to_key(key)
        async with self._reachable(context):
            return await self._run(context, lambda: self.state.write(term, request_key, body))

    async def begin(self, context: rpc.Context, term: int) -> Any:
        """Opens a transaction."""

        def begin() -> members.MemberReply:
            reply = self.state.begin(context, term)
            if _connection(context).closed:
                self.state.connection_closed(context)
            return reply

        async with self._reachable():
            return await self._run(context, begin)

    async def statement(self, context: rpc.Context, body: bytes) -> Any:
        """Runs a statement inside the connection's transaction."""
        async with self._reachable():
            return await self._run(context, lambda: self.state.statement(context, body))

    async def commit(self, context: rpc.Context, key: Any) -> Any:
        """Commits the connection's transaction."""
        request_key = member_messages.to_key(key)
        async with self._reachable(context):
            return await self._run(context, lambda: self.state.commit(context, request_key))

    async def abort(self, context: rpc.Context) -> Any:
        """Aborts the connection's transaction."""
        async with self._reachable():
            return await self._run(context, lambda: self.state.abort(context))

    async def resolve(self, context: rpc.Context, term: int, key: Any) -> Any:
        """Returns the key's recorded answer or cancels it."""
        request_key = member_messages.to_key(key)
        async with self._reachable(context):
            return await self._run(context, lambda: self.state.resolve(term, request_key))

    async def pull(
        self, _context: rpc.Context, term: int, after: Any, max_entries: int, wait_ms: int
    ) -> Any:
        """Hands entries to a replica; holds the call while there are none."""
        await self.switches.members_reachable()
        position = member_messages.to_position(after)

        def something_to_tell() -> bool:
            serving = self.state.is_primary and self.state.promised_term == term
            return not serving or self.state.last_log != position

        await self._changes.wait_for(something_to_tell, wait_ms / 1000)
        pulled = self.state.entries_after(term, position, max_entries)
        await self.switches.members_reachable()
        return member_replication.from_pulled(pulled)

    @contextlib.asynccontextmanager
    async def _reachable(
        self, loses_answer: rpc.Context | None = None
    ) -> collections.abc.AsyncIterator[None]:
        """Holds a call of a proxy, and its answer, while the member is isolated from proxies."""
        await self.switches.proxies_reachable()
        yield
        if loses_answer is not None and self.switches.take_lost_answer():
            loses_answer.close()
        await self.switches.proxies_reachable()

    @contextlib.contextmanager
    def _role_change(self) -> collections.abc.Iterator[None]:
        before = (self.state.promised_term, self.state.primary_address)
        yield
        if (self.state.promised_term, self.state.primary_address) != before:
            self._replication.restart()
        self._state_changed()

    async def _run(
        self,
        context: rpc.Context,
        statement: collections.abc.Callable[[], members.MemberReply],
    ) -> Any:
        """Runs a statement in a slot, at the end of its service time."""
        if not _connection(context).carries_statements:
            raise Thrift.TApplicationException(
                Thrift.TApplicationException.PROTOCOL_ERROR, "statements need a data connection"
            )
        async with self._slots:
            service_time_ms = self.switches.current.service_time_ms
            if service_time_ms:
                await asyncio.sleep(service_time_ms / 1000)
            reply = statement()
        self._state_changed()
        return member_messages.from_reply(reply)

    def _state_changed(self) -> None:
        """Wakes those who wait, now and when the next received entry gets visible."""
        self.state.advance(_now())
        self._changes.notify()
        if self._apply_timer is not None:
            self._apply_timer.cancel()
            self._apply_timer = None
        next_apply_at = self.state.next_apply_at
        if next_apply_at is not None:
            loop = asyncio.get_running_loop()
            self._apply_timer = loop.call_at(next_apply_at, self._state_changed)

    def _faults_changed(self) -> None:
        self.state.leaving = self.switches.current.leaving
        self.state.apply_lag_s = self.switches.current.apply_lag_ms / 1000
        self._state_changed()

    def _status(self) -> Any:
        return member_messages.from_status(self.state.status(_now()))

    def _refuse(self, refusal: members.Refusal, detail: str) -> Any:
        refused = members.Refused(refusal, detail, self.state.promised_term)
        return member_messages.from_reply(refused)


def _connection(context: rpc.Context) -> _ProxyConnection:
    if context.state is None:
        context.state = _ProxyConnection()
    assert isinstance(context.state, _ProxyConnection)
    return context.state


def _now() -> float:
    return asyncio.get_running_loop().time()
