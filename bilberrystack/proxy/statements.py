"""Runs single statements at members: slot, connection, deadline and late answers."""

import asyncio
import collections.abc
import dataclasses
from typing import Any

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import outcomes
from bilberrystack.proxy import group_state
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import pool
from bilberrystack.proxy import waits

# Pause before a statement that certainly did not run is queued again, in seconds.
RESEND_PAUSE_S = 0.01

# Time without an answer after which members are probed, in seconds. For a read, the proxy requests
# the status of its member, and tries another member if the status call fails too. For a statement
# at the primary, it runs a status round to learn whether there is a new primary.
PROBE_AFTER_S = 0.25

# The last part of the time to the deadline is reserved for resolving a write that is not answered:
# this share of the time, but at most this many seconds.
RESOLVE_SHARE = 0.1
MAX_RESOLVE_S = 0.05

# Refusals by a member that is not the primary of the current term.
_NOT_CURRENT_PRIMARY = (members.Refusal.NOT_PRIMARY, members.Refusal.STALE_TERM)

# Refusals after which the same statement may succeed without a primary change.
_TRANSIENT_REFUSALS = (members.Refusal.CONNECTION_LIMIT, members.Refusal.LEAVING)

StatementCall = collections.abc.Callable[
    [interfaces.MemberConnection, int], collections.abc.Coroutine[Any, Any, members.MemberReply]
]


class AnswerOutstanding(Exception):
    """The wait for an answer ended before the answer arrived. The connection is being drained."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """A member's reply to a statement.

    Attributes:
      reply: The reply.
      member: The member's name.
      lease: The connection, if it was to be kept; otherwise None.
    """

    reply: members.MemberReply
    member: str
    lease: pool.Lease | None


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """A statement that may have run and whose answer is not known.

    Attributes:
      reason: Why the answer is not known.
      detail: A description for the caller.
    """

    reason: outcomes.UnknownReason
    detail: str


Result = Replied | Interrupted | outcomes.NotRun


def resolution_start(now: float, deadline: float) -> float:
    """Returns the instant at which the time reserved for resolving a request begins."""
    return deadline - min(MAX_RESOLVE_S, RESOLVE_SHARE * (deadline - now))


async def wait_before_retry(state: group_state.GroupState, deadline: float) -> None:
    """Waits RESEND_PAUSE_S before another attempt. A new primary ends the wait."""
    now = asyncio.get_running_loop().time()
    await state.primary_signal.wait(min(now + RESEND_PAUSE_S, deadline))


async def run_on_connection(
    state: group_state.GroupState,
    ticket: admission.Ticket,
    lease: pool.Lease,
    call: collections.abc.Coroutine[Any, Any, members.MemberReply],
    deadline: float,
    *,
    term: int | None = None,
    reusable: bool = True,
) -> members.MemberReply:
    """Runs a statement on a leased connection and releases its slot.

    Args:
      state: The group's state.
      ticket: The ticket that holds the slot.
      lease: The connection.
      call: The statement's call on the connection.
      deadline: Instant on the event loop's clock at which the wait ends.
      term: For a statement at the primary, the primary's term; the wait ends early when a newer
        primary is known. None for a read; the wait ends early when the member is unresponsive.
      reusable: Whether the connection may be returned to the pool after a late answer.
    Returns:
      The reply. The calling code has to return or discard the lease; if an exception is raised,
      this function does so.
    Raises:
      AnswerOutstanding: No answer within the wait; slot and connection stay in use until the answer
        arrives or the connection is closed.
      interfaces.LinkLost: The connection broke and was closed.
    """
    loop = asyncio.get_running_loop()
    name = ticket.granted_member
    assert name is not None
    started = loop.time()
    call_task = loop.create_task(call)
    try:
        await _wait_for_answer(state, name, call_task, deadline, term)
    except asyncio.CancelledError:
        _drain(state, ticket, lease, call_task, reusable)
        raise
    if not call_task.done():
        _drain(state, ticket, lease, call_task, reusable)
        state.counters.late_answers += 1
        raise AnswerOutstanding
    failure = _error_of(call_task)
    if failure is not None:
        _close_broken(state, ticket, lease)
        raise failure
    reply = call_task.result()
    state.record_answer(name, reply.promised_term)
    state.slots.release(ticket, loop.time() - started)
    return reply


def _close_broken(
    state: group_state.GroupState, ticket: admission.Ticket, lease: pool.Lease
) -> None:
    """Closes a broken connection and releases the slot."""
    lease.discard()
    state.slots.release(ticket)
    state.counters.lost_links += 1


async def _wait_for_answer(
    state: group_state.GroupState,
    name: str,
    call_task: asyncio.Task[members.MemberReply],
    deadline: float,
    term: int | None,
) -> None:
    """Waits for a statement's answer, under the conditions described at run_on_connection."""
    loop = asyncio.get_running_loop()
    interrupt = None if term is None else state.primary_signal
    while True:
        check_at = min(deadline, loop.time() + PROBE_AFTER_S)
        if await waits.until_done(call_task, check_at, interrupt) or loop.time() >= deadline:
            return
        if term is not None and state.term > term:
            return
        if loop.time() < check_at:
            continue
        if term is not None:
            # Another owner may have promoted a new primary; a status round finds it.
            await state.rounds.read_index(min(deadline, check_at + PROBE_AFTER_S))
        elif await state.is_unresponsive(name, PROBE_AFTER_S, deadline):
            return


def _error_of(call_task: asyncio.Task[members.MemberReply]) -> BaseException | None:
    if call_task.cancelled():
        return interfaces.LinkLost("the call was cancelled", sent=True)
    return call_task.exception()


def _drain(
    state: group_state.GroupState,
    ticket: admission.Ticket,
    lease: pool.Lease,
    call_task: asyncio.Task[members.MemberReply],
    reusable: bool,
) -> None:
    """Waits in the background for an outstanding answer. Slot and connection stay in use."""

    lease.draining = True

    def abandon() -> None:
        lease.discard()
        call_task.cancel()

    timer = asyncio.get_running_loop().call_later(pool.DRAIN_TIMEOUT_S, abandon)

    def on_done(_task: asyncio.Task[members.MemberReply]) -> None:
        timer.cancel()
        if _error_of(call_task) is None and reusable:
            lease.return_to_pool()
        else:
            lease.discard()
        state.slots.release(ticket)

    call_task.add_done_callback(on_done)


async def lease_connection(
    state: group_state.GroupState, ticket: admission.Ticket, deadline: float
) -> pool.Lease | None:
    """Waits for a connection to the member whose slot a ticket holds.

    Args:
      state: The group's state.
      ticket: The ticket that holds the slot.
      deadline: Instant on the event loop's clock at which the wait ends.
    Returns:
      The lease. None if no connection is available by the deadline or the member can't be reached;
      the slot is released in this case.
    """
    name = ticket.granted_member
    assert name is not None
    connections = state.pools[name]
    lease = connections.take_idle()
    if lease is not None:
        return lease
    try:
        lease = await connections.lease(deadline)
    except interfaces.LinkLost:
        state.router.record_unreachable(name, asyncio.get_running_loop().time())
    finally:
        if lease is None:
            state.slots.release(ticket)
    return lease


async def run_at_primary(
    state: group_state.GroupState,
    request_class: admission.RequestClass,
    caller: str,
    call: StatementCall,
    *,
    deadline: float,
    answer_deadline: float,
    keep_lease: bool = False,
) -> Result:
    """Runs a statement at the primary, and queues it again while it certainly did not run.

    Args:
      state: The group's state.
      request_class: The class in whose queue the statement waits.
      caller: The caller's declared name.
      call: Creates the statement's call from a connection and the primary's term.
      deadline: Instant on the event loop's clock until which the statement may be sent.
      answer_deadline: Instant until which the answer is awaited.
      keep_lease: Whether an executed statement's connection stays leased and is part of the result.
    Returns:
      The reply; the interruption if the answer is not known; the refusal if the statement was not
      sent by the deadline.
    """
    loop = asyncio.get_running_loop()
    while True:
        if loop.time() >= deadline:
            return state.refusal_before_send()
        ticket = await state.slots.acquire(request_class, caller, deadline, state.available_primary)
        if ticket is None:
            return state.refusal_before_send()
        if isinstance(ticket, outcomes.NotRun):
            return ticket
        result = await _send_once(
            state,
            ticket,
            call,
            deadline=deadline,
            answer_deadline=answer_deadline,
            keep_lease=keep_lease,
        )
        if result is not None:
            return result
        await wait_before_retry(state, deadline)


async def _send_once(
    state: group_state.GroupState,
    ticket: admission.Ticket,
    call: StatementCall,
    *,
    deadline: float,
    answer_deadline: float,
    keep_lease: bool,
) -> Result | None:
    """Sends a statement once. Returns None if it certainly did not run and may be sent again."""
    name = ticket.granted_member
    assert name is not None
    lease = await lease_connection(state, ticket, deadline)
    if lease is None:
        return None
    if name != state.primary:
        lease.return_to_pool()
        state.slots.release(ticket)
        return None
    term = state.term
    member_call = call(lease.connection, term)
    try:
        reply = await run_on_connection(
            state, ticket, lease, member_call, answer_deadline, term=term, reusable=not keep_lease
        )
    except AnswerOutstanding:
        reason = outcomes.UnknownReason.DEADLINE_AFTER_SEND
        return Interrupted(reason, f"{name} has not answered")
    except interfaces.LinkLost as failure:
        if not failure.sent:
            return None
        return Interrupted(outcomes.UnknownReason.CONNECTION_LOST, str(failure))
    if isinstance(reply, members.Refused) and reply.refusal in _NOT_CURRENT_PRIMARY:
        lease.return_to_pool()
        state.reject_primary(name, term)
        return None
    if isinstance(reply, members.Refused) and reply.refusal in _TRANSIENT_REFUSALS:
        lease.return_to_pool()
        return None
    if keep_lease and isinstance(reply, members.Executed):
        return Replied(reply, name, lease)
    lease.return_to_pool()
    return Replied(reply, name, None)
