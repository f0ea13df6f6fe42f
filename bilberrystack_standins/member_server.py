"""A stand-in member of a database group that serves schema/members.thrift."""

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
    """The member's state of a proxy's connection.

    Attributes:
      is_data_connection: Whether the proxy opened it as a data connection, which may run
        statements.
      closed: Whether the connection is closed; calls that arrived before may still run.
    """

    is_data_connection: bool = False
    closed: bool = False


class MemberServer:
    """Serves one member. Use it as an asynchronous context manager, or call close.

    Attributes:
      state: The member's state.
      switches: The member's fault switches.
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
            faults or member_faults.Faults(), self._apply_fault_switches
        )
        self._changes = waiting.ChangeNotifier()
        self._host = ""
        self._connections: set[rpc.Context] = set()
        self._slots = asyncio.Semaphore(state.slots)
        self._apply_timer: asyncio.TimerHandle | None = None
        self._replication = member_replication.Replication(
            state, self.switches, self._state_changed
        )
        self._server = rpc.Server(member_replication.SERVICE, self)
        self._apply_fault_switches()

    @property
    def address(self) -> str:
        """The address that the member listens on."""
        return f"{self._host}:{self._server.port}"

    @property
    def connection_count(self) -> int:
        """The number of open connections of proxies."""
        return len(self._connections)

    @property
    def calls_in_flight(self) -> int:
        """The number of calls that have not been answered yet."""
        return self._server.calls_in_flight

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts listening. Raises OSError."""
        self._host = host
        await self._server.start(host, port)

    def close(self) -> None:
        """Stops the server and replication."""
        self._server.close()
        self._replication.close()
        if self._apply_timer is not None:
            self._apply_timer.cancel()

    async def __aenter__(self) -> "MemberServer":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.close()

    def connection_closed(self, context: rpc.Context) -> None:
        """Aborts the transaction of a closed connection and frees its place in the limit."""
        self._connections.discard(context)
        _connection(context).closed = True
        self.state.connection_closed(context)

    async def hello(self, context: rpc.Context, _instance: str, control: bool) -> Any:
        """Accepts a connection; a data connection takes the connection cost."""
        async with self._while_reachable():
            connection = _connection(context)
            if connection.closed:
                return self._refused_reply(members.Refusal.CONNECTION_LIMIT, "closed")
            if len(self._connections) >= self.state.connection_limit:
                return self._refused_reply(
                    members.Refusal.CONNECTION_LIMIT,
                    f"{self.state.connection_limit} connections are open",
                )
            self._connections.add(context)
            if not control:
                await asyncio.sleep(self.switches.current.connection_cost_ms / 1000)
            connection.is_data_connection = not control
            executed = members.Executed(b"", self.state.applied, False, self.state.promised_term)
            return member_messages.from_reply(executed)

    async def status(self, _context: rpc.Context, wait_for: Any, wait_ms: int) -> Any:
        """Reports when the log reaches a position, the promised term changes or wait_ms elapses."""
        async with self._while_reachable():
            wait_position = member_messages.to_position(wait_for)
            term = self.state.promised_term
            await self._changes.wait_for(
                lambda: self.state.last_log >= wait_position or self.state.promised_term != term,
                wait_ms / 1000,
            )
            return self._status()

    async def fence(self, _context: rpc.Context, term: int) -> Any:
        """Promises a term if it is higher than the term promised so far."""
        async with self._while_reachable():
            with self._role_change():
                granted = self.state.fence(term)
            return member_messages.from_fence(granted, self.state.status(_now()))

    async def promote(self, _context: rpc.Context, term: int) -> Any:
        """Makes the member the primary of its promised term."""
        async with self._while_reachable():
            with self._role_change():
                self.state.promote(term)
            return self._status()

    async def follow(self, _context: rpc.Context, term: int, primary_address: str) -> Any:
        """Makes the member a replica of the primary at an address."""
        async with self._while_reachable():
            with self._role_change():
                self.state.follow(term, primary_address)
            return self._status()

    async def read(self, context: rpc.Context, body: bytes, min_position: Any, wait_ms: int) -> Any:
        """Runs a read when a position is applied; the wait for it occupies no slot."""
        async with self._while_reachable():
            min_applied = member_messages.to_position(min_position)
            if not await self._changes.wait_for(
                lambda: self.state.applied >= min_applied, wait_ms / 1000
            ):
                detail = f"applied {self.state.applied}, wanted {min_applied}"
                return self._refused_reply(members.Refusal.BEHIND, detail)
            return await self._run_in_slot(
                context, lambda: self.state.read(body, min_applied, _now())
            )

    async def write(self, context: rpc.Context, term: int, key: Any, body: bytes) -> Any:
        """Runs a statement and records its idempotency key."""
        request_key = member_messages.to_key(key)
        async with self._while_reachable(context):
            return await self._run_in_slot(
                context, lambda: self.state.write(term, request_key, body)
            )

    async def begin(self, context: rpc.Context, term: int) -> Any:
        """Opens a transaction."""

        def begin() -> members.MemberReply:
            reply = self.state.begin(context, term)
            if _connection(context).closed:
                self.state.connection_closed(context)
            return reply

        async with self._while_reachable():
            return await self._run_in_slot(context, begin)

    async def statement(self, context: rpc.Context, body: bytes) -> Any:
        """Runs a statement in the connection's transaction."""
        async with self._while_reachable():
            return await self._run_in_slot(context, lambda: self.state.statement(context, body))

    async def commit(self, context: rpc.Context, key: Any) -> Any:
        """Commits the connection's transaction."""
        request_key = member_messages.to_key(key)
        async with self._while_reachable(context):
            return await self._run_in_slot(context, lambda: self.state.commit(context, request_key))

    async def abort(self, context: rpc.Context) -> Any:
        """Aborts the connection's transaction."""
        async with self._while_reachable():
            return await self._run_in_slot(context, lambda: self.state.abort(context))

    async def resolve(self, context: rpc.Context, term: int, key: Any) -> Any:
        """Returns the key's recorded answer or cancels it."""
        request_key = member_messages.to_key(key)
        async with self._while_reachable(context):
            return await self._run_in_slot(context, lambda: self.state.resolve(term, request_key))

    async def pull(
        self, _context: rpc.Context, term: int, after_position: Any, max_entries: int, wait_ms: int
    ) -> Any:
        """Returns entries to a replica; waits up to wait_ms while there are none."""
        await self.switches.wait_until_members_reachable()
        position = member_messages.to_position(after_position)

        def reply_is_ready() -> bool:
            is_serving = self.state.is_primary and self.state.promised_term == term
            return not is_serving or self.state.last_log != position

        await self._changes.wait_for(reply_is_ready, wait_ms / 1000)
        pull_result = self.state.entries_after(term, position, max_entries)
        await self.switches.wait_until_members_reachable()
        return member_replication.from_pull_result(pull_result)

    @contextlib.asynccontextmanager
    async def _while_reachable(
        self, losable_context: rpc.Context | None = None
    ) -> collections.abc.AsyncIterator[None]:
        """Delays a proxy's call and its answer while the member is isolated from proxies.

        Args:
          losable_context: The connection to close if the answer is to be lost; None if this call is
            exempt from that fault.
        """
        await self.switches.wait_until_proxies_reachable()
        yield
        if losable_context is not None and self.switches.consume_lost_answer():
            losable_context.close()
        await self.switches.wait_until_proxies_reachable()

    @contextlib.contextmanager
    def _role_change(self) -> collections.abc.Iterator[None]:
        state_before = (self.state.promised_term, self.state.primary_address)
        yield
        if (self.state.promised_term, self.state.primary_address) != state_before:
            self._replication.restart()
        self._state_changed()

    async def _run_in_slot(
        self,
        context: rpc.Context,
        statement: collections.abc.Callable[[], members.MemberReply],
    ) -> Any:
        """Runs a statement in a slot, after the service time has elapsed."""
        if not _connection(context).is_data_connection:
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
        """Wakes waiting calls, now and when the next received entry becomes visible."""
        self.state.advance(_now())
        self._changes.notify()
        if self._apply_timer is not None:
            self._apply_timer.cancel()
            self._apply_timer = None
        next_apply_at = self.state.next_apply_at
        if next_apply_at is not None:
            loop = asyncio.get_running_loop()
            self._apply_timer = loop.call_at(next_apply_at, self._state_changed)

    def _apply_fault_switches(self) -> None:
        self.state.leaving = self.switches.current.leaving
        self.state.apply_lag_s = self.switches.current.apply_lag_ms / 1000
        self._state_changed()

    def _status(self) -> Any:
        return member_messages.from_status(self.state.status(_now()))

    def _refused_reply(self, refusal: members.Refusal, detail: str) -> Any:
        refused = members.Refused(refusal, detail, self.state.promised_term)
        return member_messages.from_reply(refused)


def _connection(context: rpc.Context) -> _ProxyConnection:
    if context.state is None:
        context.state = _ProxyConnection()
    assert isinstance(context.state, _ProxyConnection)
    return context.state


def _now() -> float:
    return asyncio.get_running_loop().time()
