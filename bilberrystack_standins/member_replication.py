"""Replication of a stand-in member, which pulls entries from the primary that it follows."""

import asyncio
import collections
import collections.abc
import dataclasses
from typing import Any

from thrift import Thrift

from bilberrystack.core import positions
from bilberrystack.gen.members import Member as member_service
from bilberrystack.gen.members import ttypes
from bilberrystack.proxy import member_messages
from bilberrystack.wire import codec
from bilberrystack.wire import failures
from bilberrystack.wire import rpc
from bilberrystack_standins import member_faults
from bilberrystack_standins import member_state
from bilberrystack_standins import replicated_log
from bilberrystack_standins import waiting

SERVICE = codec.service(member_service)

# Time for which a primary holds a pull while it has no entries to return. It bounds the age of the
# last contact that a replica reports, so it is well below the failure detection time of 500 ms
# (design 2.3).
PULL_WAIT_MS = 100
# Delay before a replica reconnects to a primary that it cannot reach.
RECONNECT_DELAY_S = 0.05


def from_pull_result(pull_result: replicated_log.PullResult) -> Any:
    """Encodes a reply to a pull."""
    entries = [
        ttypes.Entry(
            position=member_messages.from_position(entry.position),
            key=None if entry.key is None else member_messages.from_key(entry.key),
            body=entry.body,
            cancelled=entry.cancelled,
            result=entry.result,
        )
        for entry in pull_result.entries
    ]
    return ttypes.PullReply(pull_result.accepted, pull_result.matched, entries, pull_result.term)


def to_pull_result(wire: Any) -> replicated_log.PullResult:
    """Decodes a reply to a pull. Raises Thrift.TException if a field is missing."""
    entries = []
    for entry in wire.entries:
        entry.validate()
        position = member_messages.to_position(entry.position)
        key = None if entry.key is None else member_messages.to_key(entry.key)
        entries.append(
            replicated_log.Entry(position, key, entry.body, entry.cancelled, entry.result)
        )
    return replicated_log.PullResult(wire.accepted, wire.matched, entries, wire.term)


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedReply:
    """A reply to a pull that the receive lag delays.

    Attributes:
      received_at: The time of its arrival, in seconds of the event loop's clock.
      after_position: The position after which the replica pulled.
      pull_result: The reply.
    """

    received_at: float
    after_position: positions.Position
    pull_result: replicated_log.PullResult


class Replication:
    """Pulls entries for a replica; may be closed at any time.

    Call restart whenever the member follows a different primary.
    """

    __slots__ = ("_changes", "_delayed_replies", "_on_change", "_state", "_switches", "_tasks")

    def __init__(
        self,
        state: member_state.MemberState,
        switches: member_faults.FaultSwitches,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        """Creates it in the stopped state.

        Args:
          state: The member's state.
          switches: The member's fault switches, of which it uses receive lag and isolation.
          on_change: Called after each reply has been passed to the state.
        """
        self._state = state
        self._switches = switches
        self._on_change = on_change
        self._changes = waiting.ChangeNotifier()
        self._delayed_replies: collections.deque[_DelayedReply] = collections.deque()
        self._tasks: list[asyncio.Task[None]] = []

    def restart(self) -> None:
        """Discards delayed replies and pulls from the primary that the state follows, if any."""
        self.close()
        address = self._state.primary_address
        if address is None:
            return
        loop = asyncio.get_running_loop()
        term = self._state.promised_term
        self._tasks = [
            loop.create_task(self._pull_loop(address, term)),
            loop.create_task(self._delivery_loop(term)),
        ]

    def close(self) -> None:
        """Stops replication and discards delayed replies."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._delayed_replies.clear()

    async def _pull_loop(self, address: str, term: int) -> None:
        host, _separator, port = address.rpartition(":")
        while True:
            try:
                with await rpc.connect(SERVICE, host, int(port)) as connection:
                    await self._pull_from(connection, term)
            except (OSError, ValueError, failures.WireFailure, Thrift.TException):
                pass
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _pull_from(self, connection: rpc.Connection, term: int) -> None:
        """Pulls until the primary refuses; each pull continues after the delayed replies."""
        while True:
            after_position = self._next_pull_position()
            pull_result = await self._pull(connection, term, after_position)
            now = asyncio.get_running_loop().time()
            if not pull_result.accepted or not self._state.record_primary_contact(
                pull_result.term, now
            ):
                return
            if pull_result.entries or not pull_result.matched:
                self._delayed_replies.append(_DelayedReply(now, after_position, pull_result))
                self._changes.notify()
            if not pull_result.matched:
                await self._changes.wait_for(lambda: not self._delayed_replies)

    async def _pull(
        self, connection: rpc.Connection, term: int, after_position: positions.Position
    ) -> replicated_log.PullResult:
        wire_position = member_messages.from_position(after_position)
        await self._switches.wait_until_members_reachable()
        wire = await connection.call(
            "pull", term, wire_position, member_state.MAX_PULL_ENTRIES, PULL_WAIT_MS
        )
        await self._switches.wait_until_members_reachable()
        return to_pull_result(wire)

    def _next_pull_position(self) -> positions.Position:
        if self._delayed_replies:
            return self._delayed_replies[-1].pull_result.entries[-1].position
        return self._state.pull_position

    async def _delivery_loop(self, term: int) -> None:
        while True:
            await self._changes.wait_for(lambda: bool(self._delayed_replies))
            delayed = self._delayed_replies[0]
            await self._wait_for_receive_lag(delayed.received_at)
            now = asyncio.get_running_loop().time()
            if self._state.accept_pull_result(
                term, delayed.after_position, delayed.pull_result, now
            ):
                self._delayed_replies.popleft()
            else:
                # The later replies do not match the log either; the next pull starts at the state's
                # position.
                self._delayed_replies.clear()
            self._changes.notify()
            self._on_change()

    async def _wait_for_receive_lag(self, received_at: float) -> None:
        """Waits until the receive lag has elapsed since received_at; follows changes of the lag."""
        loop = asyncio.get_running_loop()
        while True:
            lag_ms = self._switches.current.receive_lag_ms
            remaining_s = received_at + lag_ms / 1000 - loop.time()
            if remaining_s <= 0:
                return
            await self._switches.changes.wait_for(
                lambda: self._switches.current.receive_lag_ms != lag_ms,  # noqa: B023
                remaining_s,
            )
