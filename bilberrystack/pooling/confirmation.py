"""Confirms that a group's primary still leads: by a grant, or by a round of status queries.

Without a grant the other members are asked for their terms. If all of them follow the primary in
its term, no promotion had taken effect. During a conditional grant those that it names are asked.
Some of these confirm the primary also by the end of their process.
All statements that wait for a round share it.
"""

import asyncio
import collections.abc
import dataclasses
from typing import Protocol

import loguru

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import pool
from bilberrystack.pooling import tasks
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="confirmation")

# How long a successful confirmation round allows statements to be sent to the primary, and how long
# a failed one forbids it.
CONFIRMED_ROUND_VALIDITY_S = 1.0
FAILED_ROUND_VALIDITY_S = 0.3

# Interval at which a round checks whether a member has refused a connection, while it waits for the
# status of a member that may have ended.
END_CHECK_INTERVAL_S = 0.01

# Number of times that such a member is asked: its first connection may have ended with the process,
# and a second one shows whether the process runs.
MAX_QUERIES = 2

# Maximum length of the list of asked members in a request's log line.
MAX_LOGGED_ASKED_CHARACTERS = 128

# Stands for the status of a member whose process has ended.
_ENDED = "ended"

# Term of a primary that only the store names; terms of members begin at 1.
UNKNOWN_TERM = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """A completed confirmation round.

    Attributes:
      confirmed: Whether no promotion had taken effect when the round began.
      began_at_s: When it began.
      asked: Ids of the members that were asked, separated by spaces, for log lines.
    """

    confirmed: bool
    began_at_s: float
    asked: str


class ConfirmableGroup(Protocol):
    """The group whose members are queried.

    Attributes:
      service: The group as declared.
      permission: Which member this instance may treat as the primary.
      history: The log positions that the primary has shown.
      owned: Whether this instance opens connections to the members.
      members_without_record: Ids of members whose records have just left the store.
    """

    service: model.Service
    permission: permission.Permission
    history: freshness.PositionHistory
    owned: bool
    members_without_record: frozenset[str]

    @property
    def pools(self) -> collections.abc.Mapping[str, pool.MemberPool]: ...
    @property
    def removed_members(self) -> frozenset[str]:
        """Ids of members that can't be asked any more and may still be promoted."""

    async def query_member(
        self, member_id: str, query: bytes
    ) -> statements.MemberStatus | None: ...
    def has_ended(self, member_id: str) -> bool:
        """Return whether nothing listens for a member, or its record has left the store."""


class Confirmation:
    """Checks whether a group's primary still leads."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_group",
        "_round_results",
        "_round_task",
        "_sample_failed_at_s",
        "_sample_task",
        "_search_task",
        "_tasks",
    )

    def __init__(
        self,
        group: ConfirmableGroup,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
    ) -> None:
        """Create the confirmation of a group.

        Args:
          group: The group.
          dialect: The members' protocol.
          clock: Returns the current time in seconds.
          background_tasks: Holds the tasks of the rounds.
        """
        self._group = group
        self._dialect = dialect
        self._clock = clock
        self._tasks = background_tasks
        self._round_results: dict[permission.Leader, tuple[float, bool]] = {}
        self._round_task: asyncio.Task[Round] | None = None
        self._search_task: asyncio.Task[None] | None = None
        self._sample_task: asyncio.Task[bool] | None = None
        self._sample_failed_at_s = float("-inf")

    def recently_confirmed(self) -> bool:
        """Return whether a grant or a recent round confirms the primary."""
        leader = self._group.permission.leader
        if leader is None:
            return False
        now_s = self._clock()
        result = self._round_results.get(leader)
        fresh = result is not None and result[1] and now_s - result[0] < CONFIRMED_ROUND_VALIDITY_S
        return fresh or self._group.permission.valid_at(leader, now_s)

    async def check_primary(self) -> bool:
        """Check whether answers of the primary can be confirmed, before a statement is sent.

        A statement whose answer can't be confirmed is better rejected before it runs, so that the
        client tries another instance.

        Returns:
          Whether statements may be sent to the primary.
        """
        leader = self._group.permission.leader
        if leader is None or leader.term == UNKNOWN_TERM:
            await self.find_primary()
            leader = self._group.permission.leader
        now_s = self._clock()
        if leader is None:
            return False
        if self._group.permission.valid_at(leader, now_s):
            return True
        result = self._round_results.get(leader)
        if result is None:
            return await self.confirm(leader)
        ended_at_s, confirmed = result
        if now_s - ended_at_s < (
            CONFIRMED_ROUND_VALIDITY_S if confirmed else FAILED_ROUND_VALIDITY_S
        ):
            return confirmed
        if confirmed:
            return await self.confirm(leader)
        # A failed round takes its whole time limit, so requests don't wait for the next one.
        self._start_background_round(leader)
        return False

    async def confirm(self, leader: permission.Leader) -> bool:
        """Ask all other members whether a newer term has begun, after a statement has run.

        Rounds are shared: a request waits for the first round that begins after its call.

        Args:
          leader: The primary whose answer is to be confirmed.
        Returns:
          Whether no promotion had taken effect when the round began.
        """
        return await self.confirming_round(leader) is not None

    async def confirming_round(self, leader: permission.Leader) -> Round | None:
        """Do the same as `confirm`, and return the round that confirms the primary.

        Args:
          leader: The primary whose answer is to be confirmed.
        Returns:
          The round; None if it does not confirm the primary.
        """
        running = self._round_task
        if running is not None:
            await asyncio.wait({running})
            if self._group.permission.leader != leader:
                # Statements of the present leader must not share a round for this one.
                return None
        if self._round_task is running:
            self._round_task = self._tasks.start(self._run_round(leader))
        current = self._round_task
        assert current is not None
        await asyncio.wait({current})
        if self._group.permission.leader != leader:
            return None
        completed = current.result()
        return completed if completed.confirmed else None

    def _start_background_round(self, leader: permission.Leader) -> None:
        """Start a round that no request waits for, unless a round is running."""
        if self._round_task is None or self._round_task.done():
            self._round_task = self._tasks.start(self._run_round(leader))

    async def _run_round(self, leader: permission.Leader) -> Round:
        began_at_s = self._clock()
        condition = self._group.permission.confirming_members(leader, began_at_s)
        other_ids = sorted(condition) or [
            member_id for member_id in self._group.pools if member_id != leader.member
        ]
        answers = await asyncio.gather(
            *(self._query_status(member_id, bool(condition)) for member_id in other_ids)
        )
        # A member of a lower term has not followed the primary into its term. It may have led a
        # newer one and restarted without its log since. A held one awaits a promotion: the commits
        # that the promoted member has to contain were determined after the HOLD.
        removed_ids = self._group.removed_members
        confirmed = (
            bool(other_ids)
            and (bool(condition) or not removed_ids)
            and all(
                status is _ENDED
                or (
                    isinstance(status, statements.MemberStatus)
                    and status.term == leader.term
                    and not status.primary
                    and not status.held
                )
                for status in answers
            )
        )
        self._round_results = {leader: (self._clock(), confirmed)}
        _LOG.info(
            "confirmation round completed",
            service=self._group.service.name,
            leader=leader.member,
            term=leader.term,
            asked=len(other_ids),
            conditional=bool(condition),
            answers=[
                f"{member_id} {status}"
                for member_id, status in zip(other_ids, answers, strict=True)
            ],
            without_record=sorted(self._group.members_without_record),
            removed=sorted(removed_ids),
            confirmed=confirmed,
            took_ms=round((self._clock() - began_at_s) * 1000),
        )
        return Round(confirmed, began_at_s, " ".join(other_ids)[:MAX_LOGGED_ASKED_CHARACTERS])

    async def _query_status(
        self, member_id: str, conditional: bool
    ) -> statements.MemberStatus | str | None:
        """Ask a member for its status.

        Args:
          member_id: The member's id.
          conditional: Whether a conditional grant names the member.
        Returns:
          The status; None without an answer; `_ENDED` if the member confirms the primary by the end
          of its process.
        """
        query = self._dialect.encode_status_query()
        if not conditional or not self._group.permission.may_have_ended(member_id):
            return await self._group.query_member(member_id, query)
        for _ in range(MAX_QUERIES):
            querying = self._tasks.start(self._group.query_member(member_id, query))
            while not querying.done():
                await asyncio.wait({querying}, timeout=END_CHECK_INTERVAL_S)
                if not querying.done() and self._group.has_ended(member_id):
                    querying.cancel()
                    return _ENDED
            if querying.cancelled() or querying.result() is not None:
                return None if querying.cancelled() else querying.result()
        return _ENDED if self._group.has_ended(member_id) else None

    def needs_primary_search(self, now_s: float) -> bool:
        """Return whether the members have to be asked for the primary, because no grant names it.

        Args:
          now_s: The current time.
        """
        leader = self._group.permission.leader
        if not self._group.owned:
            return False
        searching = self._search_task is not None and not self._search_task.done()
        if searching or (
            self._group.permission.change_in_progress and not self._group.permission.stepped_down
        ):
            return False
        return leader is None or not (
            self._group.permission.valid_at(leader, now_s)
            or self._group.permission.confirming_members(leader, now_s)
        )

    async def find_primary(self) -> None:
        """Ask all members for their roles; concurrent calls share one round of queries."""
        running = self._search_task
        if running is None or running.done():
            running = self._search_task = self._tasks.start(self._query_all_members())
        await asyncio.wait({running})

    async def _query_all_members(self) -> None:
        await asyncio.gather(
            *(
                self._group.query_member(member_id, self._dialect.encode_status_query())
                for member_id in self._group.pools
            )
        )

    async def sample_primary(self) -> bool:
        """Ask the primary for its position, if answers to statements show none that is recent.

        Returns:
          Whether the history has a new, confirmed sample.
        """
        running = self._sample_task
        if running is None or running.done():
            if self._clock() - self._sample_failed_at_s < FAILED_ROUND_VALIDITY_S:
                return False
            running = self._sample_task = self._tasks.start(self._sample_primary())
        await asyncio.wait({running})
        if not running.result():
            self._sample_failed_at_s = self._clock()
        return running.result()

    async def _sample_primary(self) -> bool:
        leader = self._group.permission.leader
        if leader is None:
            return False
        sent_at_s = self._clock()
        status = await self._group.query_member(leader.member, self._dialect.encode_status_query())
        if status is None or not status.primary or status.term != leader.term:
            return False
        newest_age_s = self._group.history.newest_age_s(self._clock())
        if newest_age_s is not None and newest_age_s <= self._clock() - sent_at_s:
            return True
        member_pool = self._group.pools.get(leader.member)
        position = None if member_pool is None else member_pool.observations.primary_position
        if position is None or not await self.confirm(leader):
            return False
        self._group.history.record(leader.term, freshness.Sample(sent_at_s, position))
        return True
