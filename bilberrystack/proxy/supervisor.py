"""Keeps a database group under one reachable primary: heartbeats, failover, planned changes."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
from typing import Protocol

from bilberrystack.core import failover
from bilberrystack.core import members
from bilberrystack.core import quorum
from bilberrystack.proxy import control_calls
from bilberrystack.proxy import promotion

# Intervals between status calls to every member, by rank of the owner.
SURVEY_INTERVAL_S = 1.0
STANDBY_SURVEY_INTERVAL_S = 2.0

# A replica that has not heard from its primary for this long is told again to follow it.
FOLLOW_AGAIN_S = 1.0

TRANSACTION_GRACE_S = 2.0
CATCH_UP_TIMEOUT_S = 1.0
PLANNED_CHANGE_RANK_DELAY_S = 3.0
PLANNED_CHANGE_RETRY_S = 5.0
POLL_S = 0.005

# Between two checks; short against the heartbeat interval, so that a suspicion is acted on at once.
TICK_S = 0.05

# A standby surveys the primary every STANDBY_SURVEY_INTERVAL_S; without an answer for this long it
# sends heartbeats like rank 0.
STANDBY_PATIENCE_S = STANDBY_SURVEY_INTERVAL_S + 0.5


class SupervisedGroup(promotion.PromotedGroup, Protocol):
    """What the supervisor needs of the owner role of a group."""

    @property
    def name(self) -> str: ...

    @property
    def rank(self) -> int: ...

    @property
    def open_transaction_count(self) -> int: ...

    def last_contact(self, name: str) -> float | None: ...

    def hold_new_transactions(self) -> None: ...

    def hold_writes(self) -> None: ...

    def release(self) -> None: ...

    def record_change(self, text: str) -> None: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A completed change of primary.

    Attributes:
      group: The group's name.
      primary: The new primary.
      previous: The primary before; None if none was known.
      term: The new term.
      reason: Why it was changed.
      attempts: Rounds of fencing that it took.
      duration_s: Seconds from the decision to the confirmed first entry.
      silence_s: Seconds from the previous primary's last answer to the decision; 0 if it was not
        suspected.
    """

    group: str
    primary: str
    previous: str | None
    term: int
    reason: str
    attempts: int
    duration_s: float
    silence_s: float = 0.0


OnChange = collections.abc.Callable[[Change], None]


def ignore_change(_change: Change) -> None:
    """Default when nobody listens for changes."""


class Supervisor:
    """Supervises one group from one owner. Use it as an asynchronous context manager."""

    __slots__ = (
        "_calls",
        "_detector",
        "_failure_domain",
        "_group",
        "_instance_id",
        "_last_beat",
        "_last_survey",
        "_leaving",
        "_on_change",
        "_planned_at",
        "_promotion",
        "_task",
        "_watched",
    )

    def __init__(
        self,
        group: SupervisedGroup,
        instance_id: str,
        failure_domain: str,
        randomness: random.Random,
        on_change: OnChange = ignore_change,
    ) -> None:
        self._group = group
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._calls = control_calls.ControlCalls(group)
        self._promotion = promotion.Promotion(group, self._calls, randomness)
        self._on_change = on_change
        self._detector = failover.FailureDetector(_now())
        self._watched: tuple[str, int] | None = None
        self._leaving: frozenset[str] = frozenset()
        self._last_beat = _now()
        self._last_survey = _now()
        self._planned_at: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Supervisor":
        self.start()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.close()

    def start(self) -> None:
        """Starts to supervise."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stops supervising. A change that is under way is given up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._calls.close()

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Tells which endpoint addresses are leaving."""
        self._leaving = frozenset(
            name for name, member in self._group.members.items() if member.address in addresses
        )

    async def _run(self) -> None:
        await self._survey()
        while True:
            self._detector.tick(_now())
            self._watch_primary()
            self._beat()
            await self._change_if_needed()
            await asyncio.sleep(TICK_S)

    def _watch_primary(self) -> None:
        """Restarts the silence when another primary or term is to be watched."""
        primary = self._group.quorum.primary
        watched = None if primary is None else (primary, self._group.quorum.promised_term)
        if watched != self._watched:
            self._watched = watched
            self._detector.reset(_now())
        if primary is not None:
            contact = self._group.last_contact(primary)
            if contact is not None:
                self._detector.record_answer(contact)

    def _beat(self) -> None:
        """Starts the survey or the heartbeat that is due."""
        interval = STANDBY_SURVEY_INTERVAL_S if self._group.rank else SURVEY_INTERVAL_S
        if _now() - self._last_survey >= interval:
            self._calls.run_in_background(self._survey())
        elif self._watched is not None and self._heartbeat_due():
            self._last_beat = _now()
            self._detector.record_heartbeat(_now())
            self._calls.run_in_background(self._calls.status(self._watched[0]))

    def _heartbeat_due(self) -> bool:
        """Any answer of the primary replaces a heartbeat."""
        since_answer = _now() - self._detector.last_answer_at
        if self._group.rank and since_answer < STANDBY_PATIENCE_S:
            return False
        since_beat = _now() - self._last_beat
        return min(since_answer, since_beat) >= failover.HEARTBEAT_INTERVAL_S

    async def _survey(self) -> None:
        """Asks every member for its status and repairs those that don't follow the primary."""
        self._last_survey = _now()
        self._last_beat = _now()
        if self._watched is not None:
            self._detector.record_heartbeat(_now())
        sent_at = _now()
        statuses = await self._calls.statuses()
        self._observe(sent_at, statuses)
        primary = self._group.quorum.primary
        if primary is None:
            return
        term = self._group.quorum.promised_term
        for status in statuses:
            if _needs_to_follow(status, primary, term):
                await self._calls.follow(status.member, term, primary)

    def _observe(self, sent_at: float, statuses: list[members.MemberStatus]) -> None:
        """Keeps the survey's read index, so that reads with a stated age need no round."""
        reported = [status.last_log for status in statuses]
        index = quorum.read_index(reported, len(self._group.members))
        if index is not None:
            self._group.quorum.record_read_index(sent_at, index)

    async def _change_if_needed(self) -> None:
        reason = await self._unplanned_reason()
        if reason:
            preference = failover.CandidatePreference(self._leaving_members(), self._failure_domain)
            await self._change(reason, preference)
        elif self._planned_change_due():
            await self._planned_change()

    def _leaving_members(self) -> frozenset[str]:
        return frozenset(name for name in self._group.members if self._is_leaving(name))

    async def _unplanned_reason(self) -> str:
        """Returns why the primary has to be replaced now; empty if it need not be."""
        if self._watched is None:
            return await self._reason_without_primary()
        if not self._detector.suspects(_now(), self._group.rank, False):
            return ""
        primary, term = self._watched
        statuses = await self._calls.statuses()
        # After a pause of this process the answers are old, and another owner may have acted.
        self._detector.tick(_now())
        if not self._majority_answered(statuses) or self._answers(primary, statuses):
            return ""
        heard = failover.has_recent_replica_contact(statuses, primary, term)
        if not self._detector.suspects(_now(), self._group.rank, heard):
            return ""
        silence = self._detector.oldest_unanswered_age_s(_now())
        return f"no answer from {primary} for {silence:.2f} s"

    async def _reason_without_primary(self) -> str:
        """A group without a primary: a new one, or one whose change was not finished."""
        started = _now()
        patience = failover.RANK_DELAY_S * self._group.rank
        if patience:
            await asyncio.sleep(patience)
        statuses = await self._calls.statuses()
        if _now() - started > patience + failover.PROCESS_PAUSE_S:
            return ""
        if self._group.quorum.primary is not None or not self._majority_answered(statuses):
            return ""
        return "no primary"

    def _majority_answered(self, statuses: list[members.MemberStatus]) -> bool:
        """Fencing without a majority in reach would only raise the terms of a minority."""
        return len(statuses) >= quorum.majority(len(self._group.members))

    @staticmethod
    def _answers(name: str, statuses: list[members.MemberStatus]) -> bool:
        return any(status.member == name for status in statuses)

    def _planned_change_due(self) -> bool:
        if self._watched is None or not self._is_leaving(self._watched[0]):
            self._planned_at = None
            return False
        if self._planned_at is None:
            self._planned_at = _now() + self._group.rank * PLANNED_CHANGE_RANK_DELAY_S
        return _now() >= self._planned_at and bool(self._successors())

    def _is_leaving(self, name: str) -> bool:
        status = self._group.quorum.latest_status(name)
        return name in self._leaving or (status is not None and status.leaving)

    def _successors(self) -> list[str]:
        """Replicas that can take over in a planned change."""
        return [
            name
            for name in self._group.members
            if self._watched is not None
            and name != self._watched[0]
            and not self._is_leaving(name)
            and self._group.quorum.latest_status(name) is not None
        ]

    async def _planned_change(self) -> None:
        assert self._watched is not None
        self._planned_at = _now() + PLANNED_CHANGE_RETRY_S
        primary = self._watched[0]
        self._group.hold_new_transactions()
        try:
            await self._wait_for_transactions()
            # Let replicas come close before writes stop, so that the gap stays short.
            await self._catch_up(primary)
            self._group.hold_writes()
            if not await self._catch_up(primary):
                return
            preference = failover.CandidatePreference(self._leaving_members(), self._failure_domain)
            await self._change(f"{primary} is leaving", preference)
        finally:
            self._group.release()

    async def _wait_for_transactions(self) -> None:
        end = _now() + TRANSACTION_GRACE_S
        while self._group.open_transaction_count and _now() < end:
            await asyncio.sleep(POLL_S)

    async def _catch_up(self, primary: str) -> bool:
        """Waits until a successor has the primary's last entry."""
        status = await self._calls.status(primary)
        if status is None:
            return False
        reached = self._calls.statuses_at_position(
            self._successors(), status.last_log, CATCH_UP_TIMEOUT_S
        )
        async with contextlib.aclosing(reached) as reports:
            async for _report in reports:
                return True
        return False

    async def _change(self, reason: str, preference: failover.CandidatePreference) -> None:
        """Fences and promotes until the change is done or has to be left to the next tick."""
        started = _now()
        previous = None if self._watched is None else self._watched[0]
        silence_s = 0.0 if previous is None else self._detector.oldest_unanswered_age_s(started)
        result = await self._promotion.run(preference)
        if result is None:
            return
        promoted, attempts = result
        change = Change(
            self._group.name,
            promoted.member,
            previous,
            promoted.promised_term,
            reason,
            attempts,
            _now() - started,
            silence_s if silence_s >= failover.DETECTION_TIME_S else 0.0,
        )
        self._group.record_change(
            f"{self._instance_id} made {change.primary} primary in term {change.term}: {reason}"
        )
        self._on_change(change)


def _needs_to_follow(status: members.MemberStatus, primary: str, term: int) -> bool:
    if status.member == primary:
        return False
    if status.promised_term < term:
        return True
    contact = status.primary_contact_s
    return status.promised_term == term and (contact is None or contact > FOLLOW_AGAIN_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
