"""Replication of a stand-in member: pulls entries from the primary that it follows."""

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

# How long a primary holds a pull that has nothing to deliver. It bounds the age of the contact that
# a replica reports, so it is well below the detection time of 500 ms (design 2.3).
PULL_WAIT_MS = 100
# Pause before a replica reconnects to a primary that it can't reach.
RETRY_S = 0.05


def from_pulled(pulled: replicated_log.Pulled) -> Any:
    """Returns the message of a reply to a pull."""
    entries = [
        ttypes.Entry(
            position=member_messages.from_position(entry.position),
            key=None if entry.key is None else member_messages.from_key(entry.key),
            body=entry.body,
            cancelled=entry.cancelled,
            result=entry.result,
        )
        for entry in pulled.entries
    ]
    return ttypes.PullReply(pulled.accepted, pulled.matched, entries, pulled.term)


def to_pulled(wire: Any) -> replicated_log.Pulled:
    """Returns a reply to a pull. Raises Thrift.TException if a field is missing."""
    entries = []
    for entry in wire.entries:
        entry.validate()
        position = member_messages.to_position(entry.position)
        key = None if entry.key is None else member_messages.to_key(entry.key)
        entries.append(
            replicated_log.Entry(position, key, entry.body, entry.cancelled, entry.result)
        )
    return replicated_log.Pulled(wire.accepted, wire.matched, entries, wire.term)


@dataclasses.dataclass(frozen=True, slots=True)
class _InTransit:
    """A reply that the receive lag holds back."""

    received_at: float
    after: positions.Position
    pulled: replicated_log.Pulled


class Replication:
    """Keeps a replica up to date; closing it is safe at any time.

    Call restart whenever the member follows another primary.
    """

    __slots__ = ("_changes", "_in_transit", "_on_change", "_state", "_switches", "_tasks")

    def __init__(
        self,
        state: member_state.MemberState,
        switches: member_faults.FaultSwitches,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        """Creates it stopped.

        Args:
          state: The member's state.
          switches: The member's faults, for lag and isolation.
          on_change: Called after the state took entries.
        """
        self._state = state
        self._switches = switches
        self._on_change = on_change
        self._changes = waiting.Changes()
        self._in_transit: collections.deque[_InTransit] = collections.deque()
        self._tasks: list[asyncio.Task[None]] = []

    def restart(self) -> None:
        """Drops what is in transit and pulls from the primary that the state follows, if any."""
        self.close()
        address = self._state.primary_address
        if address is None:
            return
        loop = asyncio.get_running_loop()
        term = self._state.promised_term
        self._tasks = [
            loop.create_task(self._pull_for_ever(address, term)),
            loop.create_task(self._deliver_for_ever(term)),
        ]

    def close(self) -> None:
        """Stops."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._in_transit.clear()

    async def _pull_for_ever(self, address: str, term: int) -> None:
        host, _separator, port = address.rpartition(":")
        while True:
            try:
                with await rpc.connect(SERVICE, host, int(port)) as connection:
                    await self._pull_from(connection, term)
            except (OSError, ValueError, failures.WireFailure, Thrift.TException):
                pass
            await asyncio.sleep(RETRY_S)

    async def _pull_from(self, connection: rpc.Connection, term: int) -> None:
        """Pulls until the primary refuses; entries still in transit count as received."""
        while True:
            after = self._next_after()
            pulled = await self._pull(connection, term, after)
            now = asyncio.get_running_loop().time()
            if not pulled.accepted or not self._state.contacted(pulled.term, now):
                return
            if pulled.entries or not pulled.matched:
                self._in_transit.append(_InTransit(now, after, pulled))
                self._changes.notify()
            if not pulled.matched:
                await self._changes.wait_for(lambda: not self._in_transit)

    async def _pull(
        self, connection: rpc.Connection, term: int, after: positions.Position
    ) -> replicated_log.Pulled:
        wanted = member_messages.from_position(after)
        await self._switches.members_reachable()
        wire = await connection.call(
            "pull", term, wanted, member_state.MAX_PULL_ENTRIES, PULL_WAIT_MS
        )
        await self._switches.members_reachable()
        return to_pulled(wire)

    def _next_after(self) -> positions.Position:
        if self._in_transit:
            return self._in_transit[-1].pulled.entries[-1].position
        return self._state.pull_after

    async def _deliver_for_ever(self, term: int) -> None:
        while True:
            await self._changes.wait_for(lambda: bool(self._in_transit))
            first = self._in_transit[0]
            await self._receive_lag(first.received_at)
            now = asyncio.get_running_loop().time()
            if self._state.append(term, first.after, first.pulled, now):
                self._in_transit.popleft()
            else:
                # What follows does not fit either; the next pull starts from the state.
                self._in_transit.clear()
            self._changes.notify()
            self._on_change()

    async def _receive_lag(self, received_at: float) -> None:
        """Waits until the lag has passed since an instant, and less if it is lowered."""
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
