"""Execution of reads.

A read determines the position that its answer has to reflect, runs at a member that has applied
this position, and is answered once the position of the answer is durable.
"""

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

# How long a read waits for a slot of a replica that has applied its position before the primary may
# serve it, in seconds.
MAX_SLOT_WAIT_S = 0.1

# How long a read waits for any replica to reach its position, in seconds and as a share of the time
# to the deadline. The wait occupies no slot. It covers the longest replication lag of the workload,
# 500 ms.
MAX_POSITION_WAIT_S = 0.6
MAX_POSITION_WAIT_SHARE = 0.5

# How long a member may wait for a position that it has received but not applied, in seconds. The
# wait occupies one of the member's slots.
MEMBER_WAIT_S = 0.01

# How long a read waits for a connection before another member is tried, in seconds. Opening all 7
# connections to one of the smallest members, one after the other, takes 84 ms.
MAX_CONNECTION_WAIT_S = 0.15

# How long a read waits for the position of its answer to become durable before another member is
# tried, in seconds.
MAX_CONFIRMATION_WAIT_S = 0.3


@dataclasses.dataclass(slots=True)
class _PendingRead:
    """The state of a read between attempts.

    Attributes:
      request: The request.
      min_position: The position that the answer has to reflect.
      position_deadline: Instant at which the read stops waiting for a replica to reach
        min_position.
      tried_members: Members whose answer did not become durable; they are not tried again until
        this holds for all members.
      may_have_run: Whether a member may have run the read.
      primary_reason: Why the primary may serve the read; empty while only replicas may.
    """

    request: requests.GroupRequest
    min_position: positions.Position
    position_deadline: float
    tried_members: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    primary_reason: str = ""


class Reads:
    """Serves reads, from replicas where possible."""

    __slots__ = ("_loop", "_state")

    def __init__(self, state: group_state.GroupState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()

    async def run(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a read (design 2.4) and returns its outcome by the deadline."""
        self._state.retries.record_request(self._loop.time())
        age_position = await self._position_for_age(request)
        if age_position is None:
            detail = "no majority answered a status round"
            return outcomes.NotRun(outcomes.NotRunReason.NO_MAJORITY, detail)
        now = self._loop.time()
        max_wait_s = min(MAX_POSITION_WAIT_S, MAX_POSITION_WAIT_SHARE * (request.deadline - now))
        min_position = max(age_position, request.watermark or positions.ZERO)
        pending = _PendingRead(request, min_position, now + max_wait_s)
        while self._loop.time() < request.deadline:
            outcome = await self._attempt(pending)
            if outcome is not None:
                return outcome
        return self._deadline_outcome(pending)

    async def _position_for_age(self, request: requests.GroupRequest) -> positions.Position | None:
        """Returns a position that satisfies the read's maximum age; None if no majority answers."""
        if request.watermark is not None and request.max_age_s > 0:
            known = self._state.quorum.index_for_age(self._loop.time(), request.max_age_s)
            if known is not None:
                return known
        while self._loop.time() < request.deadline:
            index = await self._state.rounds.read_index(request.deadline)
            if index is not None:
                return index
            await statements.wait_before_retry(self._state, request.deadline)
        return None

    async def _attempt(self, pending: _PendingRead) -> outcomes.Outcome | None:
        """Runs the read at one member. Returns None if another attempt may succeed."""
        ticket = await self._acquire_slot(pending)
        if ticket is None:
            return None
        if isinstance(ticket, outcomes.NotRun):
            return ticket
        name = ticket.granted_member
        assert name is not None
        request = pending.request
        wait_deadline = min(request.deadline, self._loop.time() + MAX_CONNECTION_WAIT_S)
        lease = await statements.lease_connection(self._state, ticket, wait_deadline)
        if lease is None:
            self._state.router.record_unreachable(name, self._loop.time())
            return None
        call = lease.connection.read(request.body, pending.min_position, MEMBER_WAIT_S)
        try:
            reply = await statements.run_on_connection(
                self._state, ticket, lease, call, request.deadline
            )
        except statements.AnswerOutstanding:
            return self._handle_outstanding(pending, name)
        except interfaces.LinkLost as failure:
            return self._handle_lost_link(pending, name, failure)
        lease.return_to_pool()
        match reply:
            case members.Executed():
                return await self._answer(pending, name, reply)
            case members.Refused():
                return await self._handle_refusal(pending, name, reply)

    async def _answer(
        self, pending: _PendingRead, name: str, reply: members.Executed
    ) -> outcomes.Outcome | None:
        """Returns the answer once its position is durable; None if it does not become durable."""
        state = self._state
        pending.may_have_run = True
        state.record_executed(name, reply)
        if state.router.record_read(name, reply.position):
            state.on_replica_advanced()
        if not state.quorum.is_durable(reply.position):
            state.counters.undurable_reads += 1
            limit = min(pending.request.deadline, self._loop.time() + MAX_CONFIRMATION_WAIT_S)
            result = await state.confirmations.wait(reply.position, limit)
            if result is not confirmations.WaitResult.DURABLE:
                pending.tried_members.add(name)
                if len(pending.tried_members) == len(state.members):
                    pending.tried_members.clear()
                return None
        from_replica = name != state.last_primary
        if from_replica:
            state.counters.replica_reads += 1
        else:
            state.counters.primary_reads += 1
            state.counters.primary_read_reasons[pending.primary_reason] += 1
        return outcomes.Answer(reply.body, reply.position, name, from_replica)

    async def _handle_refusal(
        self, pending: _PendingRead, name: str, reply: members.Refused
    ) -> outcomes.Outcome | None:
        match reply.refusal:
            case members.Refusal.INVALID_STATEMENT:
                return outcomes.NotRun(outcomes.NotRunReason.INVALID_STATEMENT, reply.detail)
            case members.Refusal.BEHIND:
                self._state.counters.behind_replies += 1
                self._state.router.record_behind(name, pending.min_position, self._loop.time())
                if name == self._state.primary:
                    await statements.wait_before_retry(self._state, pending.request.deadline)
            case _:
                self._state.router.record_unreachable(name, self._loop.time())
        return None

    def _handle_lost_link(
        self, pending: _PendingRead, name: str, failure: interfaces.LinkLost
    ) -> outcomes.Outcome | None:
        self._state.router.record_unreachable(name, self._loop.time())
        if not failure.sent:
            return None
        pending.may_have_run = True
        if self._take_retry():
            return None
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, str(failure))

    def _handle_outstanding(self, pending: _PendingRead, name: str) -> outcomes.Outcome | None:
        pending.may_have_run = True
        now = self._loop.time()
        if now >= pending.request.deadline:
            return None
        self._state.router.record_unreachable(name, now)
        if self._take_retry():
            return None
        detail = f"{name} has not answered"
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, detail)

    def _take_retry(self) -> bool:
        """Takes a retry from the budget. Returns whether the read may be sent again."""
        if self._state.retries.try_acquire(self._loop.time()):
            self._state.counters.retries += 1
            return True
        self._state.counters.denied_retries += 1
        return False

    async def _acquire_slot(
        self, pending: _PendingRead
    ) -> admission.Ticket | outcomes.NotRun | None:
        """Waits for a slot, at a replica if possible and at the primary as the last resort."""
        if not pending.primary_reason:
            ticket = await self._acquire_replica_slot(pending)
            if ticket is not None:
                return ticket
        request = pending.request
        state = self._state

        def choose_member() -> str | None:
            name = self._choose_replica(pending)
            primary = state.primary
            if name or primary is None or primary in pending.tried_members:
                return name or None
            return primary if state.load(primary) < 1.0 else None

        state.add_waiting_read()
        try:
            return await state.slots.acquire(
                admission.RequestClass.PRIMARY_READ, request.caller, request.deadline, choose_member
            )
        finally:
            state.remove_waiting_read()

    async def _acquire_replica_slot(
        self, pending: _PendingRead
    ) -> admission.Ticket | outcomes.NotRun | None:
        """Waits for a slot of a replica. Returns None when the primary may serve the read."""
        state = self._state
        request = pending.request
        while self._loop.time() < request.deadline:
            availability = self._replica_availability(pending)
            if not availability.worth_waiting:
                pending.primary_reason = availability.reason
                return None
            if not availability.ready and not await self._wait_for_position(pending):
                return None
            ticket = await state.slots.acquire(
                admission.RequestClass.READ,
                request.caller,
                request.deadline,
                lambda: self._choose_replica(pending),
                wait_deadline=self._loop.time() + MAX_SLOT_WAIT_S,
            )
            if ticket is not None:
                return ticket
            if (
                self._replica_availability(pending).ready
                or self._loop.time() >= pending.position_deadline
            ):
                pending.primary_reason = "busy"
                return None
        return None

    async def _wait_for_position(self, pending: _PendingRead) -> bool:
        """Waits until a replica has applied the read's position, up to position_deadline.

        Returns:
          Whether a replica has applied the position.
        """
        state = self._state
        state.counters.watermark_waits += 1
        state.add_waiting_read()
        try:
            reached = await state.position_waits.wait(
                pending.min_position, pending.position_deadline
            )
        finally:
            state.remove_waiting_read()
        if not reached:
            pending.primary_reason = "behind"
            state.router.record_wait_timeout(pending.min_position)
        return reached

    def _replica_availability(self, pending: _PendingRead) -> routing.ReplicaAvailability:
        state = self._state
        now = self._loop.time()
        return state.router.replica_availability(
            pending.min_position, state.last_primary, now, pending.tried_members
        )

    def _choose_replica(self, pending: _PendingRead) -> str | None:
        state = self._state
        return state.router.choose_replica(
            pending.min_position,
            state.last_primary,
            self._loop.time(),
            state.load,
            pending.tried_members,
        )

    def _deadline_outcome(self, pending: _PendingRead) -> outcomes.Outcome:
        """Returns the outcome of a read that has no answer at its deadline."""
        if pending.may_have_run:
            detail = "no durable answer in time"
            return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, detail)
        reason = outcomes.NotRunReason.DEADLINE_BEFORE_SEND
        if pending.primary_reason != "busy":
            reason = outcomes.NotRunReason.REPLICAS_BEHIND
        wait_s = self._state.admission.expected_wait_s(admission.RequestClass.READ)
        detail = f"no member with {pending.min_position} had a free slot in time"
        return outcomes.NotRun(reason, detail, wait_s)
