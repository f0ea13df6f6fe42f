"""Monitoring of a database group's primary: heartbeats, failover and planned primary changes."""

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

# Intervals between status polls of all members, at the owner of rank 0 and at standby owners (of
# higher ranks), in seconds.
STATUS_POLL_INTERVAL_S = 1.0
STANDBY_STATUS_POLL_INTERVAL_S = 2.0

# A replica without contact to its primary for this long gets another follow call, in seconds.
REFOLLOW_AFTER_S = 1.0

# How long a planned change waits for open transactions, in seconds.
TRANSACTION_GRACE_S = 2.0

# How long a planned change waits for a replica to catch up with the primary, in seconds.
CATCH_UP_TIMEOUT_S = 1.0

# Delay of a planned change for each rank of the owner, in seconds.
PLANNED_CHANGE_RANK_DELAY_S = 3.0

# Interval between two attempts at a planned change, in seconds.
PLANNED_CHANGE_RETRY_S = 5.0

# Interval between two checks for open transactions, in seconds.
TRANSACTION_POLL_INTERVAL_S = 0.005

# Interval between two checks of the primary, in seconds. It is short compared with the heartbeat
# interval, so that the supervisor acts on a suspicion without delay.
TICK_INTERVAL_S = 0.05

# A standby owner polls the primary only every STANDBY_STATUS_POLL_INTERVAL_S. If the primary has
# not answered for this long, in seconds, the standby sends heartbeats as rank 0 does.
STANDBY_MAX_SILENCE_S = STANDBY_STATUS_POLL_INTERVAL_S + 0.5


class SupervisedGroup(promotion.PromotedGroup, Protocol):
    """The part of a group's owner role that the supervisor uses."""

    @property
    def name(self) -> str: ...

    @property
    def rank(self) -> int: ...

    @property
    def open_transaction_count(self) -> int: ...

    def last_contact(self, name: str) -> float | None: ...

    def hold_new_transactions(self) -> None: ...

    def hold_writes(self) -> None: ...

    def resume_held_work(self) -> None: ...

    def record_primary_change(self, text: str) -> None: ...


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedPrimaryChange:
    """A completed primary change.

    Attributes:
      group: The group's name.
      primary: The name of the new primary.
      previous: The name of the previous primary; None if none was known.
      term: The new term.
      reason: Why the primary was changed.
      attempts: The number of fencing attempts.
      duration_s: Seconds from the decision until the new primary's first entry was confirmed, or
        until the wait for its confirmation timed out.
      silence_s: Age in seconds, at the decision, of the oldest heartbeat that the previous primary
        had not answered; 0 if it was not suspected.
    """

    group: str
    primary: str
    previous: str | None
    term: int
    reason: str
    attempts: int
    duration_s: float
    silence_s: float = 0.0


OnPrimaryChange = collections.abc.Callable[[CompletedPrimaryChange], None]


def ignore_primary_change(_change: CompletedPrimaryChange) -> None:
    """Does nothing. The default callback for primary changes."""


class Supervisor:
    """Monitors one group's primary from one owner, and replaces it when needed.

    Can be used as an asynchronous context manager.
    """

    __slots__ = (
        "_calls",
        "_detector",
        "_failure_domain",
        "_group",
        "_instance_id",
        "_last_heartbeat_at",
        "_last_status_poll_at",
        "_members_at_leaving_endpoints",
        "_on_change",
        "_planned_change_at",
        "_promotion",
        "_task",
        "_watched_primary",
    )

    def __init__(
        self,
        group: SupervisedGroup,
        instance_id: str,
        failure_domain: str,
        rng: random.Random,
        on_change: OnPrimaryChange = ignore_primary_change,
    ) -> None:
        self._group = group
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._calls = control_calls.ControlCalls(group)
        self._promotion = promotion.Promotion(group, self._calls, rng)
        self._on_change = on_change
        self._detector = failover.FailureDetector(_loop_time())
        self._watched_primary: tuple[str, int] | None = None
        self._members_at_leaving_endpoints: frozenset[str] = frozenset()
        self._last_heartbeat_at = _loop_time()
        self._last_status_poll_at = _loop_time()
        self._planned_change_at: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Supervisor":
        self.start()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.close()

    def start(self) -> None:
        """Starts monitoring."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stops monitoring. A primary change in progress is abandoned."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._calls.close()

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Sets the addresses of leaving endpoints."""
        self._members_at_leaving_endpoints = frozenset(
            name for name, member in self._group.members.items() if member.address in addresses
        )

    async def _run(self) -> None:
        await self._poll_statuses()
        while True:
            self._detector.tick(_loop_time())
            self._watch_primary()
            self._start_due_probe()
            await self._change_primary_if_needed()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _watch_primary(self) -> None:
        """Updates the failure detector, and resets it if the primary or the term has changed."""
        primary = self._group.quorum.primary
        watched = None if primary is None else (primary, self._group.quorum.promised_term)
        if watched != self._watched_primary:
            self._watched_primary = watched
            self._detector.reset(_loop_time())
        if primary is not None:
            contact_at = self._group.last_contact(primary)
            if contact_at is not None:
                self._detector.record_answer(contact_at)

    def _start_due_probe(self) -> None:
        """Starts a status poll or a heartbeat if one is due."""
        interval_s = STANDBY_STATUS_POLL_INTERVAL_S if self._group.rank else STATUS_POLL_INTERVAL_S
        if _loop_time() - self._last_status_poll_at >= interval_s:
            self._calls.run_in_background(self._poll_statuses())
        elif self._watched_primary is not None and self._heartbeat_due():
            self._last_heartbeat_at = _loop_time()
            self._detector.record_heartbeat(_loop_time())
            self._calls.run_in_background(self._calls.status(self._watched_primary[0]))

    def _heartbeat_due(self) -> bool:
        """Returns whether a heartbeat is due. Any answer of the primary postpones it."""
        since_answer_s = _loop_time() - self._detector.last_answer_at
        if self._group.rank and since_answer_s < STANDBY_MAX_SILENCE_S:
            return False
        since_heartbeat_s = _loop_time() - self._last_heartbeat_at
        return min(since_answer_s, since_heartbeat_s) >= failover.HEARTBEAT_INTERVAL_S

    async def _poll_statuses(self) -> None:
        """Polls the status of all members and has those that don't follow the primary follow it."""
        self._last_status_poll_at = _loop_time()
        self._last_heartbeat_at = _loop_time()
        if self._watched_primary is not None:
            self._detector.record_heartbeat(_loop_time())
        sent_at = _loop_time()
        statuses = await self._calls.statuses()
        self._record_read_index(sent_at, statuses)
        primary = self._group.quorum.primary
        if primary is None:
            return
        term = self._group.quorum.promised_term
        for status in statuses:
            if _needs_to_follow(status, primary, term):
                await self._calls.follow(status.member, term, primary)

    def _record_read_index(self, sent_at: float, statuses: list[members.MemberStatus]) -> None:
        """Records the poll's read index, so that reads with a maximum age need no status round."""
        last_logs = [status.last_log for status in statuses]
        index = quorum.read_index(last_logs, len(self._group.members))
        if index is not None:
            self._group.quorum.record_read_index(sent_at, index)

    async def _change_primary_if_needed(self) -> None:
        reason = await self._failover_reason()
        if reason:
            preference = failover.CandidatePreference(self._leaving_members(), self._failure_domain)
            await self._change_primary(reason, preference)
        elif self._planned_change_due():
            await self._run_planned_change()

    def _leaving_members(self) -> frozenset[str]:
        return frozenset(name for name in self._group.members if self._is_leaving(name))

    async def _failover_reason(self) -> str:
        """Returns the reason for an unplanned primary change; empty if none is needed."""
        if self._watched_primary is None:
            return await self._missing_primary_reason()
        if not self._detector.suspects(_loop_time(), self._group.rank, False):
            return ""
        primary, term = self._watched_primary
        statuses = await self._calls.statuses()
        # If this process was paused during the calls, the answers are outdated and another owner
        # may have promoted a primary. The tick detects such a pause and resets the detector.
        self._detector.tick(_loop_time())
        if not self._majority_answered(statuses) or self._has_answered(primary, statuses):
            return ""
        recent_replica_contact = failover.has_recent_replica_contact(statuses, primary, term)
        if not self._detector.suspects(_loop_time(), self._group.rank, recent_replica_contact):
            return ""
        silence_s = self._detector.oldest_unanswered_age_s(_loop_time())
        return f"no answer from {primary} for {silence_s:.2f} s"

    async def _missing_primary_reason(self) -> str:
        """Returns the reason to promote a member if the group has no primary; otherwise empty.

        A group has no primary if it is new or if a primary change was not completed. Owners of
        higher ranks wait longer before they act.
        """
        started_at = _loop_time()
        rank_delay_s = failover.RANK_DELAY_S * self._group.rank
        if rank_delay_s:
            await asyncio.sleep(rank_delay_s)
        statuses = await self._calls.statuses()
        if _loop_time() - started_at > rank_delay_s + failover.PROCESS_PAUSE_S:
            return ""
        if self._group.quorum.primary is not None or not self._majority_answered(statuses):
            return ""
        return "no primary"

    def _majority_answered(self, statuses: list[members.MemberStatus]) -> bool:
        """Returns whether a majority answered.

        Without a majority, fencing would only raise the promised terms of a minority.
        """
        return len(statuses) >= quorum.majority(len(self._group.members))

    @staticmethod
    def _has_answered(name: str, statuses: list[members.MemberStatus]) -> bool:
        return any(status.member == name for status in statuses)

    def _planned_change_due(self) -> bool:
        if self._watched_primary is None or not self._is_leaving(self._watched_primary[0]):
            self._planned_change_at = None
            return False
        if self._planned_change_at is None:
            self._planned_change_at = _loop_time() + self._group.rank * PLANNED_CHANGE_RANK_DELAY_S
        return _loop_time() >= self._planned_change_at and bool(self._eligible_successors())

    def _is_leaving(self, name: str) -> bool:
        status = self._group.quorum.latest_status(name)
        return name in self._members_at_leaving_endpoints or (status is not None and status.leaving)

    def _eligible_successors(self) -> list[str]:
        """Returns the replicas that can become the primary in a planned change."""
        return [
            name
            for name in self._group.members
            if self._watched_primary is not None
            and name != self._watched_primary[0]
            and not self._is_leaving(name)
            and self._group.quorum.latest_status(name) is not None
        ]

    async def _run_planned_change(self) -> None:
        assert self._watched_primary is not None
        self._planned_change_at = _loop_time() + PLANNED_CHANGE_RETRY_S
        primary = self._watched_primary[0]
        self._group.hold_new_transactions()
        try:
            await self._wait_for_transactions()
            # Replicas catch up before writes are held, which keeps the interruption short.
            await self._wait_for_catch_up(primary)
            self._group.hold_writes()
            if not await self._wait_for_catch_up(primary):
                return
            preference = failover.CandidatePreference(self._leaving_members(), self._failure_domain)
            await self._change_primary(f"{primary} is leaving", preference)
        finally:
            self._group.resume_held_work()

    async def _wait_for_transactions(self) -> None:
        wait_end = _loop_time() + TRANSACTION_GRACE_S
        while self._group.open_transaction_count and _loop_time() < wait_end:
            await asyncio.sleep(TRANSACTION_POLL_INTERVAL_S)

    async def _wait_for_catch_up(self, primary: str) -> bool:
        """Waits until a successor has the primary's last entry. Returns whether one has it."""
        status = await self._calls.status(primary)
        if status is None:
            return False
        reached = self._calls.statuses_at_position(
            self._eligible_successors(), status.last_log, CATCH_UP_TIMEOUT_S
        )
        async with contextlib.aclosing(reached) as reports:
            async for _report in reports:
                return True
        return False

    async def _change_primary(self, reason: str, preference: failover.CandidatePreference) -> None:
        """Runs a promotion and reports the change. If it fails, the next tick tries again.

        Args:
          reason: Why the primary is changed.
          preference: Determines which member is promoted among those with the same last position.
        """
        started_at = _loop_time()
        previous = None if self._watched_primary is None else self._watched_primary[0]
        silence_s = 0.0 if previous is None else self._detector.oldest_unanswered_age_s(started_at)
        result = await self._promotion.run(preference)
        if result is None:
            return
        promoted, attempts = result
        change = CompletedPrimaryChange(
            self._group.name,
            promoted.member,
            previous,
            promoted.promised_term,
            reason,
            attempts,
            _loop_time() - started_at,
            silence_s if silence_s >= failover.DETECTION_TIME_S else 0.0,
        )
        self._group.record_primary_change(
            f"{self._instance_id} made {change.primary} primary in term {change.term}: {reason}"
        )
        self._on_change(change)


def _needs_to_follow(status: members.MemberStatus, primary: str, term: int) -> bool:
    if status.member == primary:
        return False
    if status.promised_term < term:
        return True
    contact_age_s = status.primary_contact_s
    return status.promised_term == term and (
        contact_age_s is None or contact_age_s > REFOLLOW_AFTER_S
    )


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
