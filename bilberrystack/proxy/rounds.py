"""Status rounds: status calls to all members at once, whose answers yield a read index."""

import asyncio
import collections.abc

from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import waits

# How long a round waits for the remaining answers once a majority has answered, in seconds. With
# all answers the read index is the second highest position instead of the highest, and a replica
# has already received it. Between failure domains an answer takes about 1 ms.
LAST_ANSWER_WAIT_S = 0.003

# Minimum interval between the starts of two rounds, in seconds. It limits the cost of rounds under
# load, and delays a read with maximum age 0 by at most this interval.
MIN_ROUND_INTERVAL_S = 0.002

# Timeout of a round without a majority, in seconds.
ROUND_TIMEOUT_S = 0.5

# Once a majority has answered, a round does not wait for members whose last answer is older than
# this, in seconds.
UNRESPONSIVE_AFTER_S = 0.5

# Maximum number of outstanding status calls to one member. Further rounds skip the member until it
# answers or the calls time out.
MAX_OUTSTANDING_CALLS = 8


class _Round:
    """One status round.

    Attributes:
      done: Completed with the read index at the end of the round; None without a majority.
      sent_at: Instant at which the status calls were sent.
      reported_positions: The last log positions in the answers so far.
      unanswered: Names of the members whose answers are outstanding.
      timeout_timer: Ends the round after ROUND_TIMEOUT_S.
      last_answer_timer: Ends the round LAST_ANSWER_WAIT_S after a majority has answered.
    """

    __slots__ = (
        "done",
        "last_answer_timer",
        "reported_positions",
        "sent_at",
        "timeout_timer",
        "unanswered",
    )

    def __init__(self, done: asyncio.Future[positions.Position | None]) -> None:
        self.done = done
        self.sent_at = 0.0
        self.reported_positions: list[positions.Position] = []
        self.unanswered: set[str] = set()
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.last_answer_timer: asyncio.TimerHandle | None = None


class Rounds:
    """The status rounds of one group.

    At most one round is in flight. All requests that arrive during a round share the next one.
    """

    __slots__ = (
        "_calls",
        "_counters",
        "_current",
        "_last_contact",
        "_last_started_at",
        "_loop",
        "_members",
        "_next",
        "_next_timer",
        "_outstanding_calls",
        "_quorum",
    )

    def __init__(
        self,
        links: collections.abc.Mapping[str, interfaces.Member],
        evidence: quorum.QuorumEvidence,
        last_contact: collections.abc.Callable[[str], float | None],
        group_counters: counters.GroupCounters,
    ) -> None:
        """Initializes the rounds.

        Args:
          links: The links to the members by name.
          evidence: Records each status report, even after the end of its round, and each read
            index.
          last_contact: Returns the instant of a member's last answer; None if it never answered.
          group_counters: Counts rounds and failed rounds.
        """
        self._loop = asyncio.get_running_loop()
        self._members = links
        self._quorum = evidence
        self._last_contact = last_contact
        self._counters = group_counters
        self._current: _Round | None = None
        self._next: _Round | None = None
        self._next_timer: asyncio.TimerHandle | None = None
        self._last_started_at = -MIN_ROUND_INTERVAL_S
        self._outstanding_calls = dict.fromkeys(links, 0)
        self._calls: set[asyncio.Task[None]] = set()

    async def read_index(self, deadline: float) -> positions.Position | None:
        """Returns the read index of a round that starts after the call.

        Args:
          deadline: Instant on the event loop's clock at which the wait ends.
        Returns:
          The read index; None if no majority answered in time.
        """
        done = self._join_next_round()
        if await waits.until_done(done, deadline):
            return done.result()
        return None

    def close(self) -> None:
        """Cancels the calls in flight and ends all waits without a read index."""
        for call in tuple(self._calls):
            call.cancel()
        for unfinished in (self._current, self._next):
            if unfinished is not None and not unfinished.done.done():
                unfinished.done.set_result(None)
        for timer in self._timers():
            timer.cancel()

    def _timers(self) -> list[asyncio.TimerHandle]:
        timers = [self._next_timer]
        if self._current is not None:
            timers += [self._current.timeout_timer, self._current.last_answer_timer]
        return [timer for timer in timers if timer is not None]

    def _join_next_round(self) -> asyncio.Future[positions.Position | None]:
        if self._next is None:
            self._next = _Round(self._loop.create_future())
        next_round = self._next
        if self._current is None:
            self._start_next()
        return next_round.done

    def _start_next(self) -> None:
        """Starts the next round, or schedules it if MIN_ROUND_INTERVAL_S has not passed."""
        if self._next is None or self._next_timer is not None:
            return
        due = self._last_started_at + MIN_ROUND_INTERVAL_S
        if self._loop.time() < due:
            self._next_timer = self._loop.call_at(due, self._start_delayed)
            return
        next_round, self._next = self._next, None
        self._start(next_round)

    def _start_delayed(self) -> None:
        self._next_timer = None
        next_round, self._next = self._next, None
        if next_round is not None:
            self._start(next_round)

    def _start(self, status_round: _Round) -> None:
        self._current = status_round
        self._counters.rounds += 1
        status_round.sent_at = self._last_started_at = self._loop.time()
        status_round.timeout_timer = self._loop.call_later(
            ROUND_TIMEOUT_S, self._finish, status_round
        )
        for name in self._members:
            if self._outstanding_calls[name] >= MAX_OUTSTANDING_CALLS:
                continue
            status_round.unanswered.add(name)
            self._outstanding_calls[name] += 1
            call = self._loop.create_task(self._query_member(status_round, name))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _query_member(self, status_round: _Round, name: str) -> None:
        status = None
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                status = await self._members[name].status(positions.ZERO, 0.0)
        except (interfaces.LinkLost, TimeoutError):
            pass
        finally:
            self._outstanding_calls[name] -= 1
        status_round.unanswered.discard(name)
        if status is not None:
            status_round.reported_positions.append(status.last_log)
            self._quorum.record_report(status)
        if status_round is self._current:
            self._finish_if_sufficient(status_round)

    def _finish_if_sufficient(self, status_round: _Round) -> None:
        """Ends the round if it needs no further answers.

        If a majority has answered, waits LAST_ANSWER_WAIT_S for responsive members.
        """
        count = self._quorum.member_count
        enough = len(status_round.reported_positions) >= quorum.majority(count)
        if not status_round.unanswered or (
            enough and self._are_unresponsive(status_round.unanswered)
        ):
            self._finish(status_round)
        elif enough and status_round.last_answer_timer is None:
            status_round.last_answer_timer = self._loop.call_later(
                LAST_ANSWER_WAIT_S, self._finish, status_round
            )

    def _are_unresponsive(self, names: set[str]) -> bool:
        cutoff = self._loop.time() - UNRESPONSIVE_AFTER_S
        contact_times = (self._last_contact(name) for name in names)
        return all(contact is None or contact < cutoff for contact in contact_times)

    def _finish(self, status_round: _Round) -> None:
        if status_round is not self._current:
            return
        for timer in (status_round.timeout_timer, status_round.last_answer_timer):
            if timer is not None:
                timer.cancel()
        index = quorum.read_index(status_round.reported_positions, self._quorum.member_count)
        if index is None:
            self._counters.failed_rounds += 1
        else:
            self._quorum.record_read_index(status_round.sent_at, index)
        if not status_round.done.done():
            status_round.done.set_result(index)
        self._current = None
        self._start_next()
