"""One statement at one member: slot, connection, deadline and what happens after it."""

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

# Pause before a statement that provably did not run is offered again, in seconds.
RESEND_PAUSE_S = 0.01

# After this long without an answer, in seconds, the member of a read is asked for its status, and
# another one is tried if it does not answer that either; for the statement of a primary, the
# members are asked whether there is a new one.
SILENCE_S = 0.25

# The last part of the time to the deadline is kept for resolving an outstanding write: this share
# of it, and at most this many seconds.
RESOLVE_SHARE = 0.1
MAX_RESOLVE_S = 0.05

# Refusals that say that the member is not the primary to use.
_WRONG_PRIMARY = (members.Refusal.NOT_PRIMARY, members.Refusal.STALE_TERM)

# Refusals after which the same statement may succeed without a change of primary.
_PASSING = (members.Refusal.CONNECTION_LIMIT, members.Refusal.LEAVING)

StatementCall = collections.abc.Callable[
    [interfaces.MemberConnection, int], collections.abc.Coroutine[Any, Any, members.MemberReply]
]


class Outstanding(Exception):
    """The wait for an answer ended before the answer came; the connection is being drained."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """A member answered.

    Attributes:
      reply: The answer.
      member: The member's name.
      lease: The connection, if the caller asked to keep it; otherwise None.
    """

    reply: members.MemberReply
    member: str
    lease: pool.Lease | None


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The statement may have reached the member and its answer is not known."""

    reason: outcomes.UnknownReason
    detail: str


Result = Replied | Interrupted | outcomes.NotRun


def resolve_from(now: float, deadline: float) -> float:
    """Returns the instant from which the rest of the time to a deadline is kept for resolving."""
    return deadline - min(MAX_RESOLVE_S, RESOLVE_SHARE * (deadline - now))


async def pause(state: group_state.GroupState, deadline: float) -> None:
    """Waits a moment before another attempt; a new primary ends the wait."""
    now = asyncio.get_running_loop().time()
    await state.primary_signal.wait(min(now + RESEND_PAUSE_S, deadline))


async def perform(
    state: group_state.GroupState,
    ticket: admission.Ticket,
    lease: pool.Lease,
    call: collections.abc.Coroutine[Any, Any, members.MemberReply],
    deadline: float,
    *,
    term: int | None = None,
    reusable: bool = True,
) -> members.MemberReply:
    """Runs a statement on a leased connection and gives its slot back.

    Args:
      state: The group.
      ticket: Holds the slot.
      lease: The connection.
      call: The statement.
      deadline: Instant on the runtime's clock at which the wait ends.
      term: The term of the primary that the statement is for, whose wait ends with a newer
        primary; None for a read, whose wait ends when its member is silent.
      reusable: Whether the connection may be returned to the pool after a late answer.
    Returns:
      The answer; the lease is the caller's again. In every other case it is taken care of here.
    Raises:
      Outstanding: The answer is late; slot and connection stay taken until it comes.
      interfaces.LinkLost: The connection broke; it is closed.
    """
    loop = asyncio.get_running_loop()
    name = ticket.granted_member
    assert name is not None
    started = loop.time()
    work = loop.create_task(call)
    try:
        await _wait(state, name, work, deadline, term)
    except asyncio.CancelledError:
        _drain(state, ticket, lease, work, reusable)
        raise
    if not work.done():
        _drain(state, ticket, lease, work, reusable)
        state.counters.late_answers += 1
        raise Outstanding
    failure = _failure(work)
    if failure is not None:
        _break(state, ticket, lease)
        raise failure
    reply = work.result()
    state.heard(name, reply.promised_term)
    state.slots.release(ticket, loop.time() - started)
    return reply


def _break(state: group_state.GroupState, ticket: admission.Ticket, lease: pool.Lease) -> None:
    """Closes a broken connection and gives the slot back."""
    lease.discard()
    state.slots.release(ticket)
    state.counters.lost_links += 1


async def _wait(
    state: group_state.GroupState,
    name: str,
    work: asyncio.Task[members.MemberReply],
    deadline: float,
    term: int | None,
) -> None:
    """Waits for a statement; see perform."""
    loop = asyncio.get_running_loop()
    interrupt = None if term is None else state.primary_signal
    while True:
        check_at = min(deadline, loop.time() + SILENCE_S)
        if await waits.until(work, check_at, interrupt) or loop.time() >= deadline:
            return
        if term is not None and state.term > term:
            return
        if loop.time() < check_at:
            continue
        if term is not None:
            # Another owner may have changed the primary.
            await state.rounds.read_index(min(deadline, check_at + SILENCE_S))
        elif await state.is_silent(name, SILENCE_S, deadline):
            return


def _failure(work: asyncio.Task[members.MemberReply]) -> BaseException | None:
    if work.cancelled():
        return interfaces.LinkLost("the call was cancelled", sent=True)
    return work.exception()


def _drain(
    state: group_state.GroupState,
    ticket: admission.Ticket,
    lease: pool.Lease,
    work: asyncio.Task[members.MemberReply],
    reusable: bool,
) -> None:
    """Waits in the background for an outstanding answer; the slot and connection stay taken."""

    lease.draining = True

    def give_up() -> None:
        lease.discard()
        work.cancel()

    timer = asyncio.get_running_loop().call_later(pool.DRAIN_LIMIT_S, give_up)

    def ended(_work: asyncio.Task[members.MemberReply]) -> None:
        timer.cancel()
        if _failure(work) is None and reusable:
            lease.give_back()
        else:
            lease.discard()
        state.slots.release(ticket)

    work.add_done_callback(ended)


async def lease_for(
    state: group_state.GroupState, ticket: admission.Ticket, deadline: float
) -> pool.Lease | None:
    """Waits for a connection to the member whose slot a ticket holds.

    Returns:
      The lease; None if there is none by the deadline or the member can't be reached. The slot is
      given back then.
    """
    name = ticket.granted_member
    assert name is not None
    connections = state.pools[name]
    lease = connections.take()
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


async def at_primary(
    state: group_state.GroupState,
    lane: admission.RequestClass,
    caller: str,
    call: StatementCall,
    *,
    deadline: float,
    answer_by: float,
    keep: bool = False,
) -> Result:
    """Runs a statement at the primary, and offers it again while it provably did not run.

    Args:
      state: The group.
      lane: The lane in which it waits.
      caller: The caller's declared name.
      call: Makes the statement's call on a connection, for a term.
      deadline: Instant on the runtime's clock until which the statement may be sent.
      answer_by: Instant until which its answer is awaited.
      keep: Whether the caller keeps the connection after the answer.
    Returns:
      The answer, the interruption, or the refusal if it was not sent by the deadline.
    """
    loop = asyncio.get_running_loop()
    while True:
        if loop.time() >= deadline:
            return state.refusal_before_send()
        ticket = await state.slots.acquire(lane, caller, deadline, state.place_at_primary)
        if ticket is None:
            return state.refusal_before_send()
        if isinstance(ticket, outcomes.NotRun):
            return ticket
        result = await _attempt(
            state, ticket, call, deadline=deadline, answer_by=answer_by, keep=keep
        )
        if result is not None:
            return result
        await pause(state, deadline)


async def _attempt(
    state: group_state.GroupState,
    ticket: admission.Ticket,
    call: StatementCall,
    *,
    deadline: float,
    answer_by: float,
    keep: bool,
) -> Result | None:
    """Sends a statement once; returns None if it provably did not run and may be sent again."""
    name = ticket.granted_member
    assert name is not None
    lease = await lease_for(state, ticket, deadline)
    if lease is None:
        return None
    if name != state.primary:
        lease.give_back()
        state.slots.release(ticket)
        return None
    term = state.term
    work = call(lease.connection, term)
    try:
        reply = await perform(state, ticket, lease, work, answer_by, term=term, reusable=not keep)
    except Outstanding:
        reason = outcomes.UnknownReason.DEADLINE_AFTER_SEND
        return Interrupted(reason, f"{name} has not answered")
    except interfaces.LinkLost as failure:
        if not failure.sent:
            return None
        return Interrupted(outcomes.UnknownReason.CONNECTION_LOST, str(failure))
    if isinstance(reply, members.Refused) and reply.refusal in _WRONG_PRIMARY:
        lease.give_back()
        state.deny_primary(name, term)
        return None
    if isinstance(reply, members.Refused) and reply.refusal in _PASSING:
        lease.give_back()
        return None
    if keep and isinstance(reply, members.Executed):
        return Replied(reply, name, lease)
    lease.give_back()
    return Replied(reply, name, None)
