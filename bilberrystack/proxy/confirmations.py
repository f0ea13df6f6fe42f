"""Waits for positions to become durable, using long polls that all waiting requests share."""

import asyncio
import collections.abc
import dataclasses
import enum

from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import waits

# Longest wait of a member before it answers a long poll, in seconds.
POLL_WAIT_S = 0.5

# How long the answer of a long poll is awaited beyond POLL_WAIT_S, in seconds.
POLL_GRACE_S = 0.5

# Pause after a poll that failed or was answered immediately, in seconds.
POLL_RETRY_PAUSE_S = 0.05


class WaitResult(enum.Enum):
    """The result of a wait for durability.

    Attributes:
      DURABLE: The position is durable.
      LOST: The position is known to be missing from the log of a confirmed newer term.
      SUPERSEDED: The position belongs to an older term than the current primary's.
      TIMED_OUT: The deadline passed without a result.
    """

    DURABLE = 1
    LOST = 2
    SUPERSEDED = 3
    TIMED_OUT = 4


@dataclasses.dataclass(eq=False, slots=True)
class _Wait:
    position: positions.Position
    done: asyncio.Future[WaitResult]


class Confirmations:
    """The waits for durability in one group, with at most one poll in flight to each member."""

    __slots__ = (
        "_accepted_positions",
        "_counters",
        "_loop",
        "_members",
        "_polls",
        "_quorum",
        "_term",
        "_waits",
    )

    def __init__(
        self,
        links: collections.abc.Mapping[str, interfaces.Member],
        evidence: quorum.QuorumEvidence,
        group_counters: counters.GroupCounters,
    ) -> None:
        """Initializes the waits.

        Args:
          links: The links to the members by name.
          evidence: Records the reports of the polls and determines which positions are durable.
            Code that adds to the evidence must call evaluate_waits() afterwards.
          group_counters: Counts polls.
        """
        self._loop = asyncio.get_running_loop()
        self._members = links
        self._quorum = evidence
        self._counters = group_counters
        # A dictionary preserves the order of the waits, which makes runs deterministic.
        self._waits: dict[_Wait, None] = {}
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._term = 0
        self._accepted_positions: dict[str, positions.Position] = dict.fromkeys(
            links, positions.ZERO
        )

    async def wait(self, position: positions.Position, deadline: float) -> WaitResult:
        """Waits until a position is durable or known to be lost.

        Args:
          position: The position.
          deadline: Instant on the event loop's clock at which the wait ends.
        Returns:
          The result. LOST may be based on incomplete evidence about a term that has ended, and
          after SUPERSEDED the position may still be durable. In both cases, the request has to be
          resolved to determine its outcome.
        """
        if self._quorum.is_durable(position):
            return WaitResult.DURABLE
        if position.term < self._term:
            return WaitResult.SUPERSEDED
        pending_wait = _Wait(position, self._loop.create_future())
        self._waits[pending_wait] = None
        self._poll_members()
        try:
            if await waits.until_done(pending_wait.done, deadline):
                return pending_wait.done.result()
            return WaitResult.TIMED_OUT
        finally:
            self._waits.pop(pending_wait, None)

    def evaluate_waits(self) -> None:
        """Ends the waits whose result follows from the evidence."""
        for pending_wait in tuple(self._waits):
            if self._quorum.is_durable(pending_wait.position):
                self._end(pending_wait, WaitResult.DURABLE)
            elif self._quorum.is_lost(pending_wait.position):
                self._end(pending_wait, WaitResult.LOST)

    def record_accepted(self, name: str, position: positions.Position) -> None:
        """Records a position that a member has accepted; the member is not polled for it again."""
        self._accepted_positions[name] = max(position, self._accepted_positions[name])

    def primary_changed(self, term: int) -> None:
        """Ends the undecided waits for positions of terms older than the new primary's.

        Args:
          term: The term of the new primary.
        """
        self._term = term
        self.evaluate_waits()
        for pending_wait in tuple(self._waits):
            if pending_wait.position.term < term:
                self._end(pending_wait, WaitResult.SUPERSEDED)

    def close(self) -> None:
        """Cancels the polls and ends all waits with TIMED_OUT."""
        for poll in tuple(self._polls.values()):
            poll.cancel()
        for pending_wait in tuple(self._waits):
            self._end(pending_wait, WaitResult.TIMED_OUT)

    def _end(self, pending_wait: _Wait, result: WaitResult) -> None:
        self._waits.pop(pending_wait, None)
        if not pending_wait.done.done():
            pending_wait.done.set_result(result)

    def _poll_members(self) -> None:
        for name in self._members:
            if name not in self._polls and self._poll_target(name) is not None:
                self._polls[name] = self._loop.create_task(self._poll_member(name))

    def _poll_target(self, name: str) -> positions.Position | None:
        """Returns the position to poll a member for.

        Returns:
          The highest position that a request waits for; None if the member has accepted it.
        """
        target = max(
            (pending_wait.position for pending_wait in self._waits), default=positions.ZERO
        )
        return target if target > self._accepted_positions[name] else None

    async def _poll_member(self, name: str) -> None:
        try:
            while (target := self._poll_target(name)) is not None:
                self._counters.confirmation_polls += 1
                try:
                    async with asyncio.timeout(POLL_WAIT_S + POLL_GRACE_S):
                        status = await self._members[name].status(target, POLL_WAIT_S)
                except (interfaces.LinkLost, TimeoutError):
                    await asyncio.sleep(POLL_RETRY_PAUSE_S)
                    continue
                self._quorum.record_report(status)
                if status.promised_term > target.term and self._poll_target(name) is not None:
                    # A member that has promised a newer term answers such a poll immediately. The
                    # pause prevents a busy loop.
                    await asyncio.sleep(POLL_RETRY_PAUSE_S)
        finally:
            del self._polls[name]
