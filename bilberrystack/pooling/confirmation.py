"""What speaks for a group's primary: a grant, or a round of questions to the other members.

Without a grant the other members are asked for their terms: if none is newer, no promotion had
taken effect. Rounds are shared by all statements that wait for one.
"""

import asyncio
import collections.abc
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

# How long a confirmation round speaks for statements that are about to be sent, and how long a
# failed one does.
TRUST_S = 1.0
DISTRUST_S = 0.3

# Term of a primary that only the store names; terms of members begin at 1.
UNKNOWN_TERM = 0


class Asked(Protocol):
    """The group whose members are asked.

    Attributes:
      service: The group as declared.
      permission: Whom this instance may treat as the primary.
      history: The positions that the primary has shown.
      owned: Whether this instance has connections to the members.
    """

    service: model.Service
    permission: permission.Permission
    history: freshness.PositionHistory
    owned: bool

    @property
    def pools(self) -> collections.abc.Mapping[str, pool.MemberPool]: ...

    async def ask(self, member: str, query: bytes) -> statements.MemberStatus | None: ...


class Confirmation:
    """Finds out whether a group's primary still leads."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_group",
        "_round_ended",
        "_running",
        "_sampling",
        "_seeking",
        "_tasks",
        "_unsampled_at_s",
    )

    def __init__(
        self,
        asked: Asked,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        running: tasks.Tasks,
    ) -> None:
        self._group = asked
        self._dialect = dialect
        self._clock = clock
        self._tasks = running
        self._round_ended: dict[permission.Leader, tuple[float, bool]] = {}
        self._running: asyncio.Task[bool] | None = None
        self._seeking: asyncio.Task[None] | None = None
        self._sampling: asyncio.Task[bool] | None = None
        self._unsampled_at_s = float("-inf")

    def trusted_now(self) -> bool:
        """Tells whether a grant or a recent confirmation round speaks for the primary."""
        leader = self._group.permission.leader
        if leader is None:
            return False
        now_s = self._clock()
        known = self._round_ended.get(leader)
        fresh = known is not None and known[1] and now_s - known[0] < TRUST_S
        return fresh or self._group.permission.valid_at(leader, now_s)

    async def trust(self) -> bool:
        """Tells whether the primary may be sent statements that have to be confirmed afterwards.

        A statement that can't be confirmed is better refused before it runs, so that the client
        turns to another instance.
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
        known = self._round_ended.get(leader)
        if known is None:
            return await self.confirm(leader)
        ended_at_s, confirmed = known
        if now_s - ended_at_s < (TRUST_S if confirmed else DISTRUST_S):
            return confirmed
        if confirmed:
            return await self.confirm(leader)
        # Rounds that fail take their whole time limit. Requests don't wait for the next one.
        self._confirm_meanwhile(leader)
        return False

    async def confirm(self, leader: permission.Leader) -> bool:
        """Asks all other members whether a newer term has begun, after a statement has run.

        Rounds are shared: a request waits for the round that begins after its call.

        Args:
          leader: Whose answer is to be confirmed.
        Returns:
          Whether no promotion had taken effect when the round began.
        """
        running = self._running
        if running is not None:
            await asyncio.wait({running})
        if self._running is running:
            self._running = self._tasks.start(self._round(leader))
        current = self._running
        assert current is not None
        await asyncio.wait({current})
        return self._group.permission.leader == leader and current.result()

    def _confirm_meanwhile(self, leader: permission.Leader) -> None:
        """Starts a round that nobody waits for, unless one is under way."""
        if self._running is None or self._running.done():
            self._running = self._tasks.start(self._round(leader))

    async def _round(self, leader: permission.Leader) -> bool:
        others = [member for member in self._group.pools if member != leader.member]
        asked_at_s = self._clock()
        found = await asyncio.gather(
            *(self._group.ask(member, self._dialect.status()) for member in others)
        )
        confirmed = bool(others) and all(
            one is not None and one.term <= leader.term and not one.primary for one in found
        )
        self._round_ended = {leader: (self._clock(), confirmed)}
        _LOG.info(
            "confirmation round",
            service=self._group.service.name,
            leader=leader.member,
            term=leader.term,
            asked=len(others),
            confirmed=confirmed,
            took_ms=round((self._clock() - asked_at_s) * 1000),
        )
        return confirmed

    def unled(self, now_s: float) -> bool:
        """Tells whether the primary has to be sought, because no grant names it."""
        leader = self._group.permission.leader
        if not self._group.owned:
            return False
        seeking = self._seeking is not None and not self._seeking.done()
        if seeking or (
            self._group.permission.change_in_progress and not self._group.permission.stepped_down
        ):
            return False
        return leader is None or not self._group.permission.valid_at(leader, now_s)

    async def find_primary(self) -> None:
        """Asks all members for their roles; calls at the same time share one round."""
        running = self._seeking
        if running is None or running.done():
            running = self._seeking = self._tasks.start(self._ask_all())
        await asyncio.wait({running})

    async def _ask_all(self) -> None:
        await asyncio.gather(
            *(self._group.ask(one, self._dialect.status()) for one in self._group.pools)
        )

    async def sample_primary(self) -> bool:
        """Asks the primary for its position, when answers alone are too old or too few.

        Returns:
          Whether the history has a new, confirmed sample.
        """
        running = self._sampling
        if running is None or running.done():
            if self._clock() - self._unsampled_at_s < DISTRUST_S:
                return False
            running = self._sampling = self._tasks.start(self._sample_primary())
        await asyncio.wait({running})
        if not running.result():
            self._unsampled_at_s = self._clock()
        return running.result()

    async def _sample_primary(self) -> bool:
        leader = self._group.permission.leader
        if leader is None:
            return False
        asked_at_s = self._clock()
        if await self._group.ask(leader.member, self._dialect.status()) is None:
            return False
        newest_s = self._group.history.newest_age_s(self._clock())
        if newest_s is not None and newest_s <= self._clock() - asked_at_s:
            return True
        one = self._group.pools.get(leader.member)
        position = None if one is None else one.sight.position
        if position is None or not await self.confirm(leader):
            return False
        self._group.history.record(leader.term, freshness.Sample(asked_at_s, position))
        return True
