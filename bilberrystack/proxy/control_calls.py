"""Control calls to the members of a group, bounded in time, whose answers become evidence."""

import asyncio
import collections.abc
import contextlib
from typing import Any
from typing import Protocol

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.proxy import interfaces

CONTROL_TIMEOUT_S = 0.15
PROMOTE_TIMEOUT_S = 0.5

# Once a majority has answered, the others get this long; waiting for a dead member would delay a
# failover by the whole timeout.
LATE_ANSWER_S = 0.01


class ControlledGroup(Protocol):
    """What control calls need of the owner role of a group."""

    @property
    def quorum(self) -> quorum.Quorum: ...

    @property
    def members(self) -> dict[str, interfaces.Member]: ...

    def record_contact(self, name: str) -> None: ...


class ControlCalls:
    """The control calls of one owner. Close it to end those that nobody waits for."""

    __slots__ = ("_background", "_group")

    def __init__(self, group: ControlledGroup) -> None:
        self._group = group
        self._background: set[asyncio.Future[Any]] = set()

    async def close(self) -> None:
        """Ends the calls in flight that nobody waits for."""
        tasks = tuple(self._background)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, work: collections.abc.Coroutine[Any, Any, Any]) -> None:
        """Runs calls in the background."""
        self.keep(asyncio.get_running_loop().create_task(work))

    def keep(self, call: "asyncio.Future[Any]") -> None:
        """Lets a call finish that nobody waits for."""
        self._background.add(call)
        call.add_done_callback(self._background.discard)

    async def status(
        self, name: str, wait_for: positions.Position = positions.ZERO, wait_s: float = 0.0
    ) -> members.MemberStatus | None:
        """Asks one member; None if it doesn't answer in time."""
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(CONTROL_TIMEOUT_S + wait_s):
                status = await self._group.members[name].status(wait_for, wait_s)
            return self._take(status)
        return None

    async def statuses(self) -> list[members.MemberStatus]:
        """Asks all members; late answers are still recorded, but not waited for."""
        calls = [asyncio.ensure_future(self.status(name)) for name in self._group.members]
        needed = quorum.majority(len(calls))
        pending = set(calls)
        while pending:
            answered = sum(call.done() and call.result() is not None for call in calls)
            patience = LATE_ANSWER_S if answered >= needed else None
            done, pending = await asyncio.wait(
                pending, timeout=patience, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
        results = []
        for call in calls:
            if call.done():
                results.append(call.result())
            else:
                self.keep(call)
        return [status for status in results if status is not None]

    async def reached(
        self, names: collections.abc.Iterable[str], position: positions.Position, wait_s: float
    ) -> collections.abc.AsyncGenerator[members.MemberStatus, None]:
        """Yields the reports of members as they reach a position, for at most wait_s seconds."""
        waits = [asyncio.ensure_future(self.status(name, position, wait_s)) for name in names]
        try:
            for wait in asyncio.as_completed(waits):
                status = await wait
                if status is not None and status.last_log >= position:
                    yield status
        finally:
            for pending in waits:
                pending.cancel()

    async def follow(self, name: str, term: int, primary: str) -> None:
        """Tells a member to follow the primary of a term; a lost call is repeated by a survey."""
        address = self._group.members[primary].address
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                self._take(await self._group.members[name].follow(term, address))

    async def fence(self, name: str, term: int) -> tuple[bool, members.MemberStatus] | None:
        """Asks a member for the promise of a term; None if it doesn't answer in time."""
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                granted, status = await self._group.members[name].fence(term)
            return granted, self._take(status)
        return None

    async def promote(self, name: str, term: int) -> members.MemberStatus | None:
        """Makes a member primary of a term; None if it doesn't say that it is."""
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(PROMOTE_TIMEOUT_S):
                status = self._take(await self._group.members[name].promote(term))
            return status if status.primary and status.promised_term == term else None
        return None

    def _take(self, status: members.MemberStatus) -> members.MemberStatus:
        self._group.record_contact(status.member)
        self._group.quorum.record(status)
        return status
