"""Replaces the primary of a group: fences a majority, promotes a member, lets the others follow."""

import asyncio
import contextlib
import random
from typing import Protocol

from bilberrystack.core import failover
from bilberrystack.core import members
from bilberrystack.proxy import control_calls

MAX_ATTEMPTS = 3
CONFIRM_TIMEOUT_S = 0.5


class PromotedGroup(control_calls.ControlledGroup, Protocol):
    """What a promotion needs of the owner role of a group."""

    def primary_changed(self) -> None: ...


class Promotion:
    """Makes changes of primary from one owner."""

    __slots__ = ("_calls", "_group", "_randomness")

    def __init__(
        self,
        group: PromotedGroup,
        calls: control_calls.ControlCalls,
        randomness: random.Random,
    ) -> None:
        self._group = group
        self._calls = calls
        self._randomness = randomness

    async def run(
        self, preference: failover.CandidatePreference
    ) -> tuple[members.MemberStatus, int] | None:
        """Fences and promotes until a member is primary.

        Args:
          preference: Which member to promote among those with the same last position.
        Returns:
          The new primary's report and the number of attempts; None if another owner was faster or
          no attempt succeeded.
        """
        for number in range(1, MAX_ATTEMPTS + 1):
            promoted = await self._attempt(preference)
            if promoted is not None:
                return promoted, number
            await asyncio.sleep(failover.backoff_s(number, self._randomness))
            # A rival's primary would be deposed by the next attempt, which would gain nothing.
            if await self._has_primary():
                return None
        return None

    async def _has_primary(self) -> bool:
        statuses = await self._calls.statuses()
        return any(status.member == self._group.quorum.primary for status in statuses)

    async def _attempt(
        self, preference: failover.CandidatePreference
    ) -> members.MemberStatus | None:
        """Runs one round of fencing and promotes the winner's candidate."""
        domains = {name: link.failure_domain for name, link in self._group.members.items()}
        attempt = failover.FencingRound(self._group.quorum.promised_term + 1, domains)
        await self._fence(attempt)
        if not attempt.won:
            return None
        candidate = attempt.choose_candidate(preference)
        promoted = await self._calls.promote(candidate, attempt.term)
        if promoted is None:
            return None
        others = [name for name in domains if name != candidate]
        for name in others:
            self._calls.run_in_background(self._calls.follow(name, attempt.term, candidate))
        self._group.primary_changed()
        # A slow confirmation is no reason to fence again: the next term would only start anew.
        await self._confirm(promoted, others)
        return promoted

    async def _fence(self, attempt: failover.FencingRound) -> None:
        """Ends once the attempt is won, or lost, or every member has answered or failed."""
        calls = [
            asyncio.ensure_future(self._fence_member(attempt, name)) for name in self._group.members
        ]
        for call in asyncio.as_completed(calls):
            await call
            if attempt.won or attempt.majority_unreachable:
                break
        for pending in calls:
            if not pending.done():
                self._calls.track(pending)

    async def _fence_member(self, attempt: failover.FencingRound, name: str) -> None:
        answer = await self._calls.fence(name, attempt.term)
        if answer is None:
            attempt.record_no_reply(name)
        else:
            attempt.record_reply(*answer)

    async def _confirm(self, promoted: members.MemberStatus, others: list[str]) -> None:
        """Waits until a majority has the new primary's first entry, but not for long."""
        first = promoted.last_log
        reached = self._calls.statuses_at_position(others, first, CONFIRM_TIMEOUT_S)
        async with contextlib.aclosing(reached) as reports:
            async for _report in reports:
                if self._group.quorum.is_durable(first):
                    return
