"""Status rounds: every member is asked at once, and the answers yield a read index."""

import asyncio
import collections.abc

from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import waits

# How long a round waits for the other answers once a majority has answered, in seconds. With all
# answers the read index is the second highest position instead of the highest, which a replica has
# already. Between failure domains an answer takes about 1 ms.
LAST_ANSWER_WAIT_S = 0.003

# Shortest time from the start of one round to the start of the next, in seconds. It bounds the work
# of rounds under load and adds at most itself to a read of age 0.
ROUND_SPACING_S = 0.002

# When a round without a majority is given up, in seconds.
ROUND_TIMEOUT_S = 0.5

# A member that has been silent for longer is not waited for once a majority has answered, in
# seconds.
SILENT_S = 0.5

# Status calls that may be outstanding at one member; further rounds leave it out until it answers
# or the calls time out.
MAX_OUTSTANDING = 8


class _Round:
    """One round: the answers so far and those who wait for its read index."""

    __slots__ = ("done", "last_answer_timer", "missing", "reported", "sent_at", "timer")

    def __init__(self, done: asyncio.Future[positions.Position | None]) -> None:
        self.done = done
        self.sent_at = 0.0
        self.reported: list[positions.Position] = []
        self.missing: set[str] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.last_answer_timer: asyncio.TimerHandle | None = None


class Rounds:
    """The status rounds of one group: at most one is in flight, and requests share the next."""

    __slots__ = (
        "_calls",
        "_counters",
        "_current",
        "_last_contact",
        "_last_start",
        "_loop",
        "_members",
        "_next",
        "_next_timer",
        "_outstanding",
        "_quorum",
    )

    def __init__(
        self,
        links: collections.abc.Mapping[str, interfaces.Member],
        evidence: quorum.QuorumEvidence,
        last_contact: collections.abc.Callable[[str], float | None],
        counts: counters.GroupCounters,
    ) -> None:
        """Prepares rounds.

        Args:
          links: The members by name.
          evidence: Takes each report, also those that arrive after the end of their round, and
            the read indices.
          last_contact: Returns the instant of a member's last answer.
          counts: Where rounds are counted.
        """
        self._loop = asyncio.get_running_loop()
        self._members = links
        self._quorum = evidence
        self._last_contact = last_contact
        self._counters = counts
        self._current: _Round | None = None
        self._next: _Round | None = None
        self._next_timer: asyncio.TimerHandle | None = None
        self._last_start = -ROUND_SPACING_S
        self._outstanding = dict.fromkeys(links, 0)
        self._calls: set[asyncio.Task[None]] = set()

    async def read_index(self, deadline: float) -> positions.Position | None:
        """Returns the read index of a round that begins after the call.

        Args:
          deadline: Instant on the runtime's clock at which the wait ends.
        Returns:
          The read index; None if no majority answered in time.
        """
        done = self._join()
        if await waits.until(done, deadline):
            return done.result()
        return None

    def close(self) -> None:
        """Ends the calls in flight."""
        for call in tuple(self._calls):
            call.cancel()
        for pending in (self._current, self._next):
            if pending is not None and not pending.done.done():
                pending.done.set_result(None)
        for timer in self._timers():
            timer.cancel()

    def _timers(self) -> list[asyncio.TimerHandle]:
        timers = [self._next_timer]
        if self._current is not None:
            timers += [self._current.timer, self._current.last_answer_timer]
        return [timer for timer in timers if timer is not None]

    def _join(self) -> asyncio.Future[positions.Position | None]:
        if self._next is None:
            self._next = _Round(self._loop.create_future())
        joined = self._next
        if self._current is None:
            self._start_next()
        return joined.done

    def _start_next(self) -> None:
        """Starts the next round, or sets a timer for it if the last start was too recent."""
        if self._next is None or self._next_timer is not None:
            return
        due = self._last_start + ROUND_SPACING_S
        if self._loop.time() < due:
            self._next_timer = self._loop.call_at(due, self._next_due)
            return
        following, self._next = self._next, None
        self._start(following)

    def _next_due(self) -> None:
        self._next_timer = None
        following, self._next = self._next, None
        if following is not None:
            self._start(following)

    def _start(self, started: _Round) -> None:
        self._current = started
        self._counters.rounds += 1
        started.sent_at = self._last_start = self._loop.time()
        started.timer = self._loop.call_later(ROUND_TIMEOUT_S, self._finish, started)
        for name in self._members:
            if self._outstanding[name] >= MAX_OUTSTANDING:
                continue
            started.missing.add(name)
            self._outstanding[name] += 1
            call = self._loop.create_task(self._ask(started, name))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _ask(self, asked: _Round, name: str) -> None:
        status = None
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                status = await self._members[name].status(positions.ZERO, 0.0)
        except (interfaces.LinkLost, TimeoutError):
            pass
        finally:
            self._outstanding[name] -= 1
        asked.missing.discard(name)
        if status is not None:
            asked.reported.append(status.last_log)
            self._quorum.record_report(status)
        if asked is self._current:
            self._judge(asked)

    def _judge(self, asked: _Round) -> None:
        """Ends the round if its answers suffice."""
        count = self._quorum.member_count
        enough = len(asked.reported) >= quorum.majority(count)
        if not asked.missing or (enough and self._are_silent(asked.missing)):
            self._finish(asked)
        elif enough and asked.last_answer_timer is None:
            asked.last_answer_timer = self._loop.call_later(LAST_ANSWER_WAIT_S, self._finish, asked)

    def _are_silent(self, names: set[str]) -> bool:
        horizon = self._loop.time() - SILENT_S
        contacts = (self._last_contact(name) for name in names)
        return all(contact is None or contact < horizon for contact in contacts)

    def _finish(self, finished: _Round) -> None:
        if finished is not self._current:
            return
        for timer in (finished.timer, finished.last_answer_timer):
            if timer is not None:
                timer.cancel()
        index = quorum.read_index(finished.reported, self._quorum.member_count)
        if index is None:
            self._counters.failed_rounds += 1
        else:
            self._quorum.record_read_index(finished.sent_at, index)
        if not finished.done.done():
            finished.done.set_result(index)
        self._current = None
        self._start_next()
