"""Promotion of a new primary: fences a majority, promotes a member, and has the others follow."""

import asyncio
import contextlib
import random
from typing import Protocol

from bilberrystack.core import failover
from bilberrystack.core import members
from bilberrystack.proxy import control_calls

MAX_ATTEMPTS = 3

# How long a majority is awaited to accept the new primary's first entry, in seconds.
CONFIRM_TIMEOUT_S = 0.5


class PromotedGroup(control_calls.ControlledGroup, Protocol):
    """The part of a group's owner role that a promotion uses."""

    def primary_changed(self) -> None: ...


class Promotion:
    """Performs primary changes from one owner."""

    __slots__ = ("_calls", "_group", "_rng")

    def __init__(
        self,
        group: PromotedGroup,
        calls: control_calls.ControlCalls,
        rng: random.Random,
    ) -> None:
        self._group = group
        self._calls = calls
        self._rng = rng

    async def run(
        self, preference: failover.CandidatePreference
    ) -> tuple[members.MemberStatus, int] | None:
        """Fences and promotes until a member is primary, up to MAX_ATTEMPTS times.

        Args:
          preference: Determines which member is promoted among those with the same last position.
        Returns:
          The new primary's status report and the number of attempts; None if another owner was
          faster or no attempt succeeded.
        """
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            promoted = await self._run_attempt(preference)
            if promoted is not None:
                return promoted, attempt_number
            await asyncio.sleep(failover.backoff_s(attempt_number, self._rng))
            # If another owner has promoted a primary meanwhile, the next attempt would only depose
            # it.
            if await self._primary_answers():
                return None
        return None

    async def _primary_answers(self) -> bool:
        statuses = await self._calls.statuses()
        return any(status.member == self._group.quorum.primary for status in statuses)

    async def _run_attempt(
        self, preference: failover.CandidatePreference
    ) -> members.MemberStatus | None:
        """Fences the members once and promotes a candidate if a majority granted the term."""
        failure_domains = {name: link.failure_domain for name, link in self._group.members.items()}
        fencing_round = failover.FencingRound(self._group.quorum.promised_term + 1, failure_domains)
        await self._fence(fencing_round)
        if not fencing_round.won:
            return None
        candidate = fencing_round.choose_candidate(preference)
        promoted = await self._calls.promote(candidate, fencing_round.term)
        if promoted is None:
            return None
        others = [name for name in failure_domains if name != candidate]
        for name in others:
            self._calls.run_in_background(self._calls.follow(name, fencing_round.term, candidate))
        self._group.primary_changed()
        # A slow confirmation is no reason to fence again: confirmation would only start over in the
        # next term.
        await self._wait_for_confirmation(promoted, others)
        return promoted

    async def _fence(self, fencing_round: failover.FencingRound) -> None:
        """Fences all members. Returns once the round is won or lost, or no answer is pending."""
        calls = [
            asyncio.ensure_future(self._fence_member(fencing_round, name))
            for name in self._group.members
        ]
        for call in asyncio.as_completed(calls):
            await call
            if fencing_round.won or fencing_round.majority_unreachable:
                break
        for pending in calls:
            if not pending.done():
                self._calls.track(pending)

    async def _fence_member(self, fencing_round: failover.FencingRound, name: str) -> None:
        answer = await self._calls.fence(name, fencing_round.term)
        if answer is None:
            fencing_round.record_no_reply(name)
        else:
            fencing_round.record_reply(*answer)

    async def _wait_for_confirmation(
        self, promoted: members.MemberStatus, others: list[str]
    ) -> None:
        """Waits until a majority has the new primary's first entry, up to CONFIRM_TIMEOUT_S."""
        first_entry = promoted.last_log
        reached = self._calls.statuses_at_position(others, first_entry, CONFIRM_TIMEOUT_S)
        async with contextlib.aclosing(reached) as reports:
            async for _report in reports:
                if self._group.quorum.is_durable(first_entry):
                    return
