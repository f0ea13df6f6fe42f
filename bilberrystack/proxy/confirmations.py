"""Waits until positions are durable, by long polls that all waiting requests share."""

import asyncio
import collections.abc
import dataclasses
import enum

from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import waits

# Length of one long poll, in seconds.
POLL_S = 0.5

# How long after the end of a long poll its answer is still awaited, in seconds.
POLL_GRACE_S = 0.5

# Pause after a poll that failed, in seconds.
POLL_PAUSE_S = 0.05


class Verdict(enum.Enum):
    """How a wait for durability ended."""

    DURABLE = 1
    LOST = 2
    SUPERSEDED = 3
    LATE = 4


@dataclasses.dataclass(eq=False, slots=True)
class _Wait:
    position: positions.Position
    done: asyncio.Future[Verdict]


class Confirmations:
    """The waits for durability in one group, with at most one poll in flight for each member."""

    __slots__ = (
        "_accepted",
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
        counts: counters.GroupCounters,
    ) -> None:
        """Prepares waits.

        Args:
          links: The members by name.
          evidence: Takes the reports of the polls and tells what is durable. Whoever adds to it
            calls evidence_arrived().
          counts: Where polls are counted.
        """
        self._loop = asyncio.get_running_loop()
        self._members = links
        self._quorum = evidence
        self._counters = counts
        # A dictionary keeps the order of the waits, so that runs repeat exactly.
        self._waits: dict[_Wait, None] = {}
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._term = 0
        self._accepted: dict[str, positions.Position] = dict.fromkeys(links, positions.ZERO)

    async def wait(self, position: positions.Position, deadline: float) -> Verdict:
        """Waits until a position is durable or known to be lost.

        Args:
          position: The position.
          deadline: Instant on the runtime's clock at which the wait ends.
        Returns:
          The verdict. LOST may rest on incomplete evidence about a term that has ended, and
          SUPERSEDED says that the primary has changed: resolve the request to know its outcome.
        """
        if self._quorum.is_durable(position):
            return Verdict.DURABLE
        if position.term < self._term:
            return Verdict.SUPERSEDED
        waiting = _Wait(position, self._loop.create_future())
        self._waits[waiting] = None
        self._poll_members()
        try:
            if await waits.until(waiting.done, deadline):
                return waiting.done.result()
            return Verdict.LATE
        finally:
            self._waits.pop(waiting, None)

    def evidence_arrived(self) -> None:
        """Ends the waits that the evidence decides."""
        for waiting in tuple(self._waits):
            if self._quorum.is_durable(waiting.position):
                self._end(waiting, Verdict.DURABLE)
            elif self._quorum.is_lost(waiting.position):
                self._end(waiting, Verdict.LOST)

    def accepted(self, name: str, position: positions.Position) -> None:
        """Tells what a member is known to have, so that it is not polled for it."""
        self._accepted[name] = max(position, self._accepted[name])

    def primary_changed(self, term: int) -> None:
        """Ends the waits for positions of older terms that are still undecided."""
        self._term = term
        self.evidence_arrived()
        for waiting in tuple(self._waits):
            if waiting.position.term < term:
                self._end(waiting, Verdict.SUPERSEDED)

    def close(self) -> None:
        """Ends the polls and the waits."""
        for poll in tuple(self._polls.values()):
            poll.cancel()
        for waiting in tuple(self._waits):
            self._end(waiting, Verdict.LATE)

    def _end(self, waiting: _Wait, verdict: Verdict) -> None:
        self._waits.pop(waiting, None)
        if not waiting.done.done():
            waiting.done.set_result(verdict)

    def _poll_members(self) -> None:
        for name in self._members:
            if name not in self._polls and self._wanted(name) is not None:
                self._polls[name] = self._loop.create_task(self._poll(name))

    def _wanted(self, name: str) -> positions.Position | None:
        """Returns the highest position that a wait needs and the member is not known to have."""
        wanted = max((one.position for one in self._waits), default=positions.ZERO)
        return wanted if wanted > self._accepted[name] else None

    async def _poll(self, name: str) -> None:
        try:
            while (wanted := self._wanted(name)) is not None:
                self._counters.confirmation_polls += 1
                try:
                    async with asyncio.timeout(POLL_S + POLL_GRACE_S):
                        status = await self._members[name].status(wanted, POLL_S)
                except (interfaces.LinkLost, TimeoutError):
                    await asyncio.sleep(POLL_PAUSE_S)
                    continue
                self._quorum.record_report(status)
                if status.promised_term > wanted.term and self._wanted(name) is not None:
                    # The member answers such a poll at once; don't ask in a tight loop.
                    await asyncio.sleep(POLL_PAUSE_S)
        finally:
            del self._polls[name]
