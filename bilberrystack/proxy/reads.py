"""Reads: a position to see, a member that has it, and a durable answer."""

import asyncio
import dataclasses

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.core import routing
from bilberrystack.proxy import confirmations
from bilberrystack.proxy import group_state
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import statements

# How long a read waits for a slot of a replica that has its position, before the primary may serve
# it, in seconds.
SLOT_PATIENCE_S = 0.1

# How long a read waits for any replica to reach its position, in seconds and as a share of the time
# to its deadline. The wait takes no slot, and it covers the longest lag of the workload (500 ms).
POSITION_PATIENCE_S = 0.6
POSITION_PATIENCE_SHARE = 0.5

# How long a member may wait for a position that it has received but not applied, in seconds. The
# wait takes one of its slots.
MEMBER_WAIT_S = 0.01

# How long a read waits for a connection before another member is tried, in seconds. Opening the 7
# connections to one of the smallest members, one after the other, takes 84 ms.
CONNECTION_PATIENCE_S = 0.15

# How long an answer's position may stay unconfirmed before another member is tried, in seconds.
CONFIRM_LIMIT_S = 0.3


@dataclasses.dataclass(slots=True)
class _Progress:
    """One read on its way.

    Attributes:
      request: The request.
      min_position: The position that its answer has to reflect.
      patience_end: Instant at which it stops to wait for a replica to reach its position.
      tried: Members that failed it; not tried again.
      executed: Whether a member may have run it.
      primary_reason: Why the primary may serve it; empty while only replicas may.
    """

    request: requests.GroupRequest
    min_position: positions.Position
    patience_end: float
    tried: set[str] = dataclasses.field(default_factory=set)
    executed: bool = False
    primary_reason: str = ""


class Reads:
    """Serves reads, from replicas where possible."""

    __slots__ = ("_loop", "_state")

    def __init__(self, state: group_state.GroupState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()

    async def run(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a read; see design 2.4."""
        self._state.retries.record_request(self._loop.time())
        floor = await self._floor(request)
        if floor is None:
            detail = "no majority answered a status round"
            return outcomes.NotRun(outcomes.NotRunReason.NO_MAJORITY, detail)
        now = self._loop.time()
        patience_s = min(POSITION_PATIENCE_S, POSITION_PATIENCE_SHARE * (request.deadline - now))
        min_position = max(floor, request.watermark or positions.ZERO)
        progress = _Progress(request, min_position, now + patience_s)
        while self._loop.time() < request.deadline:
            outcome = await self._attempt(progress)
            if outcome is not None:
                return outcome
        return self._late(progress)

    async def _floor(self, request: requests.GroupRequest) -> positions.Position | None:
        """Returns the position that covers the read's stated age."""
        if request.watermark is not None and request.max_age_s > 0:
            known = self._state.quorum.index_for_age(self._loop.time(), request.max_age_s)
            if known is not None:
                return known
        while self._loop.time() < request.deadline:
            index = await self._state.rounds.read_index(request.deadline)
            if index is not None:
                return index
            await statements.pause(self._state, request.deadline)
        return None

    async def _attempt(self, progress: _Progress) -> outcomes.Outcome | None:
        """Tries one member; returns None if another attempt may succeed."""
        ticket = await self._place(progress)
        if ticket is None:
            return None
        if isinstance(ticket, outcomes.NotRun):
            return ticket
        name = ticket.granted_member
        assert name is not None
        request = progress.request
        patience = min(request.deadline, self._loop.time() + CONNECTION_PATIENCE_S)
        lease = await statements.lease_for(self._state, ticket, patience)
        if lease is None:
            self._state.router.record_unreachable(name, self._loop.time())
            return None
        call = lease.connection.read(request.body, progress.min_position, MEMBER_WAIT_S)
        try:
            reply = await statements.perform(self._state, ticket, lease, call, request.deadline)
        except statements.Outstanding:
            return self._outstanding(progress, name)
        except interfaces.LinkLost as failure:
            return self._link_lost(progress, name, failure)
        lease.give_back()
        match reply:
            case members.Executed():
                return await self._answer(progress, name, reply)
            case members.Refused():
                return await self._refused(progress, name, reply)

    async def _answer(
        self, progress: _Progress, name: str, reply: members.Executed
    ) -> outcomes.Outcome | None:
        """Returns the answer once its position is durable, None if it does not get durable."""
        state = self._state
        progress.executed = True
        state.record_executed(name, reply)
        if state.router.record_read(name, reply.position):
            state.advanced()
        if not state.quorum.is_durable(reply.position):
            state.counters.undurable_reads += 1
            limit = min(progress.request.deadline, self._loop.time() + CONFIRM_LIMIT_S)
            verdict = await state.confirmations.wait(reply.position, limit)
            if verdict is not confirmations.Verdict.DURABLE:
                progress.tried.add(name)
                if len(progress.tried) == len(state.members):
                    progress.tried.clear()
                return None
        from_replica = name != state.last_primary
        if from_replica:
            state.counters.replica_reads += 1
        else:
            state.counters.primary_reads += 1
            state.counters.primary_read_reasons[progress.primary_reason] += 1
        return outcomes.Answer(reply.body, reply.position, name, from_replica)

    async def _refused(
        self, progress: _Progress, name: str, reply: members.Refused
    ) -> outcomes.Outcome | None:
        match reply.refusal:
            case members.Refusal.INVALID_STATEMENT:
                return outcomes.NotRun(outcomes.NotRunReason.INVALID_STATEMENT, reply.detail)
            case members.Refusal.BEHIND:
                self._state.counters.behind_replies += 1
                self._state.router.record_behind(name, progress.min_position, self._loop.time())
                if name == self._state.primary:
                    await statements.pause(self._state, progress.request.deadline)
            case _:
                self._state.router.record_unreachable(name, self._loop.time())
        return None

    def _link_lost(
        self, progress: _Progress, name: str, failure: interfaces.LinkLost
    ) -> outcomes.Outcome | None:
        self._state.router.record_unreachable(name, self._loop.time())
        if not failure.sent:
            return None
        progress.executed = True
        if self._may_resend():
            return None
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, str(failure))

    def _outstanding(self, progress: _Progress, name: str) -> outcomes.Outcome | None:
        progress.executed = True
        now = self._loop.time()
        if now >= progress.request.deadline:
            return None
        self._state.router.record_unreachable(name, now)
        if self._may_resend():
            return None
        detail = f"{name} has not answered"
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, detail)

    def _may_resend(self) -> bool:
        """Tells whether a read may be sent again, which the retry budget bounds."""
        if self._state.retries.try_acquire(self._loop.time()):
            self._state.counters.retries += 1
            return True
        self._state.counters.denied_retries += 1
        return False

    async def _place(self, progress: _Progress) -> admission.Ticket | outcomes.NotRun | None:
        """Waits for a slot: of a replica first, of the primary as the last resort."""
        if not progress.primary_reason:
            ticket = await self._place_at_replica(progress)
            if ticket is not None:
                return ticket
        request = progress.request
        state = self._state

        def place() -> str | None:
            name = self._replica(progress)
            primary = state.primary
            if name or primary is None or primary in progress.tried:
                return name or None
            return primary if state.load(primary) < 1.0 else None

        state.read_waits()
        try:
            return await state.slots.acquire(
                admission.RequestClass.PRIMARY_READ, request.caller, request.deadline, place
            )
        finally:
            state.read_waits_no_longer()

    async def _place_at_replica(
        self, progress: _Progress
    ) -> admission.Ticket | outcomes.NotRun | None:
        """Waits for a slot of a replica; returns None when the primary may serve the read."""
        state = self._state
        request = progress.request
        while self._loop.time() < request.deadline:
            prospect = self._prospect(progress)
            if not prospect.worth_waiting:
                progress.primary_reason = prospect.reason
                return None
            if not prospect.ready and not await self._wait_for_position(progress):
                return None
            ticket = await state.slots.acquire(
                admission.RequestClass.READ,
                request.caller,
                request.deadline,
                lambda: self._replica(progress),
                patience=self._loop.time() + SLOT_PATIENCE_S,
            )
            if ticket is not None:
                return ticket
            if self._prospect(progress).ready or self._loop.time() >= progress.patience_end:
                progress.primary_reason = "busy"
                return None
        return None

    async def _wait_for_position(self, progress: _Progress) -> bool:
        """Waits until a replica has the read's position; returns False if that takes too long."""
        state = self._state
        state.counters.watermark_waits += 1
        state.read_waits()
        try:
            reached = await state.position_waits.wait(progress.min_position, progress.patience_end)
        finally:
            state.read_waits_no_longer()
        if not reached:
            progress.primary_reason = "behind"
            state.router.record_wait_timeout(progress.min_position)
        return reached

    def _prospect(self, progress: _Progress) -> routing.ReplicaAvailability:
        state = self._state
        now = self._loop.time()
        return state.router.replica_availability(
            progress.min_position, state.last_primary, now, progress.tried
        )

    def _replica(self, progress: _Progress) -> str | None:
        state = self._state
        return state.router.choose_replica(
            progress.min_position,
            state.last_primary,
            self._loop.time(),
            state.load,
            progress.tried,
        )

    def _late(self, progress: _Progress) -> outcomes.Outcome:
        """Returns the outcome of a read without an answer at its deadline."""
        if progress.executed:
            detail = "no durable answer in time"
            return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, detail)
        reason = outcomes.NotRunReason.DEADLINE_BEFORE_SEND
        if progress.primary_reason != "busy":
            reason = outcomes.NotRunReason.REPLICAS_BEHIND
        wait_s = self._state.admission.expected_wait_s(admission.RequestClass.READ)
        detail = f"no member with {progress.min_position} had a free slot in time"
        return outcomes.NotRun(reason, detail, wait_s)
