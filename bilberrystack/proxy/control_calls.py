"""Control calls to the members of a group, with timeouts; answers are recorded as evidence."""

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

# Wait for further answers after a majority has answered. Waiting for a failed member would delay a
# failover by the whole timeout.
LATE_ANSWER_WAIT_S = 0.01


class ControlledGroup(Protocol):
    """The group as control calls require it."""

    @property
    def quorum(self) -> quorum.QuorumEvidence: ...

    @property
    def members(self) -> dict[str, interfaces.Member]: ...

    def record_contact(self, name: str) -> None: ...


class ControlCalls:
    """The control calls of one owner; `close` cancels the calls that run in the background."""

    __slots__ = ("_background_tasks", "_group")

    def __init__(self, group: ControlledGroup) -> None:
        self._group = group
        self._background_tasks: set[asyncio.Future[Any]] = set()

    async def close(self) -> None:
        """Cancel the calls that run in the background."""
        tasks = tuple(self._background_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def run_in_background(self, calls: collections.abc.Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine that makes control calls in the background."""
        self.track(asyncio.get_running_loop().create_task(calls))

    def track(self, call: "asyncio.Future[Any]") -> None:
        """Let a call finish in the background; `close` cancels it."""
        self._background_tasks.add(call)
        call.add_done_callback(self._background_tasks.discard)

    async def status(
        self, name: str, wait_for: positions.Position = positions.ZERO, wait_s: float = 0.0
    ) -> members.MemberStatus | None:
        """Request the status of one member.

        Args:
          name: The member's name.
          wait_for: The log position that the member waits for before it answers.
          wait_s: The maximum time in seconds that the member waits.
        Returns:
          The status, or None if the member doesn't answer in time.
        """
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(CONTROL_TIMEOUT_S + wait_s):
                status = await self._group.members[name].status(wait_for, wait_s)
            return self._record_status(status)
        return None

    async def statuses(self) -> list[members.MemberStatus]:
        """Request the status of all members.

        Once a majority has answered, the wait for each further answer is LATE_ANSWER_WAIT_S. Later
        answers are recorded, but not returned.
        """
        calls = [asyncio.ensure_future(self.status(name)) for name in self._group.members]
        needed = quorum.majority(len(calls))
        pending = set(calls)
        while pending:
            answered = sum(call.done() and call.result() is not None for call in calls)
            timeout_s = LATE_ANSWER_WAIT_S if answered >= needed else None
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
        results = []
        for call in calls:
            if call.done():
                results.append(call.result())
            else:
                self.track(call)
        return [status for status in results if status is not None]

    async def statuses_at_position(
        self, names: collections.abc.Iterable[str], position: positions.Position, wait_s: float
    ) -> collections.abc.AsyncGenerator[members.MemberStatus, None]:
        """Yield the status of each member as it reaches a log position.

        Args:
          names: The names of the members.
          position: The log position to reach.
          wait_s: The maximum wait, in seconds.
        """
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
        """Make a member follow the primary of a term.

        A failed call is ignored, as the supervisor's status poll repeats it.
        """
        address = self._group.members[primary].address
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                self._record_status(await self._group.members[name].follow(term, address))

    async def fence(self, name: str, term: int) -> tuple[bool, members.MemberStatus] | None:
        """Ask a member for the promise of a term.

        Returns:
          Whether the promise was granted, and the member's status; None if the member doesn't
          answer in time.
        """
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                granted, status = await self._group.members[name].fence(term)
            return granted, self._record_status(status)
        return None

    async def promote(self, name: str, term: int) -> members.MemberStatus | None:
        """Make a member the primary of a term.

        Returns:
          The member's status, or None if it doesn't confirm in time that it is the primary.
        """
        with contextlib.suppress(interfaces.LinkLost, TimeoutError):
            async with asyncio.timeout(PROMOTE_TIMEOUT_S):
                status = self._record_status(await self._group.members[name].promote(term))
            return status if status.primary and status.promised_term == term else None
        return None

    def _record_status(self, status: members.MemberStatus) -> members.MemberStatus:
        self._group.record_contact(status.member)
        self._group.quorum.record_report(status)
        return status
