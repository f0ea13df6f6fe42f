"""Open transactions, each pinned to one connection of the primary that began it."""

import asyncio
import collections.abc
import dataclasses
import secrets
from typing import Any

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import group_state
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import pool
from bilberrystack.proxy import statements
from bilberrystack.proxy import waits
from bilberrystack.proxy import writes

# A transaction without a statement for this long is aborted, in seconds: it pins one of the
# primary's few connections.
IDLE_LIMIT_S = 30.0

# Data connections to the primary that transactions leave to other statements, if there are more.
RESERVED_CONNECTIONS = 1


@dataclasses.dataclass(eq=False, slots=True)
class _Transaction:
    """An open transaction.

    Attributes:
      name: Its id.
      caller: The caller that opened it.
      session: The session that opened it.
      lease: Its connection.
      member: The primary that began it.
      term: The term of that primary.
      used_at: Instant of its last statement's end.
      busy: Whether a statement is waiting or running.
      committing: The key of the commit that is waiting or running.
      idle_timer: Ends it when it is idle for too long.
    """

    name: str
    caller: str
    session: str
    lease: pool.Lease
    member: str
    term: int
    used_at: float
    busy: bool = False
    committing: requests.RequestKey | None = None
    idle_timer: asyncio.TimerHandle | None = None


class Transactions:
    """The transactions of one group that are pinned at this owner."""

    __slots__ = ("_ended", "_instance_id", "_loop", "_open", "_opening", "_state", "_writes")

    def __init__(
        self, state: group_state.GroupState, settled_by: writes.Writes, instance_id: str
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._writes = settled_by
        self._instance_id = instance_id
        self._open: dict[str, _Transaction] = {}
        self._opening = 0
        self._ended = waits.Signal()
        state.primary_signal.add(self._primary_changed)

    @property
    def open_count(self) -> int:
        """The number of open transactions."""
        return len(self._open)

    async def begin(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Opens a transaction. One whose opening is not answered in time never has an effect."""
        if not await self._wait_for_room(request.deadline):
            detail = "too many open transactions"
            return outcomes.NotRun(outcomes.NotRunReason.QUEUE_FULL, detail, IDLE_LIMIT_S)
        self._opening += 1
        try:
            result = await statements.at_primary(
                self._state,
                admission.RequestClass.BEGIN,
                request.caller,
                _begin,
                deadline=request.deadline,
                answer_by=request.deadline,
                keep=True,
            )
        finally:
            self._opening -= 1
            self._ended.wake()
        match result:
            case statements.Replied(members.Executed() as reply, member, pool.Lease() as lease):
                return self._opened(request, reply, member, lease)
            case statements.Replied(members.Refused(_, detail)):
                return _aborted(detail)
            case statements.Interrupted(_, detail):
                return _aborted(detail)
            case _:
                assert isinstance(result, outcomes.NotRun)
                return result

    async def statement(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a statement in a transaction; its answer is provisional until the commit."""
        transaction = self._claim(request)
        if isinstance(transaction, outcomes.NotRun):
            return transaction
        with _Claim(self, transaction):
            reply = await self._run(
                request, transaction, lambda link: link.statement(request.body), request.deadline
            )
            match reply:
                case members.Executed(body):
                    return _provisional(request, transaction, body)
                case members.Refused(members.Refusal.INVALID_STATEMENT, detail):
                    return outcomes.NotRun(outcomes.NotRunReason.INVALID_STATEMENT, detail)
                case members.Refused(_, detail):
                    self._drop(transaction)
                    return _aborted(detail)
                case statements.Interrupted(_, detail):
                    self._drop(transaction)
                    return _aborted(detail)
                case outcomes.NotRun():
                    return reply

    async def commit(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Commits a transaction; a commit whose answer is lost is resolved by its key."""
        await self._wait_for_copy(request)
        if request.transaction not in self._open:
            # An earlier copy of this commit may have been sent before the transaction ended.
            return await self._writes.resolve(request)
        transaction = self._claim(request)
        if isinstance(transaction, outcomes.NotRun):
            return transaction
        answer_by = statements.resolve_from(self._loop.time(), request.deadline)
        with _Claim(self, transaction, request.key):
            reply = await self._run(
                request, transaction, lambda link: link.commit(request.key), answer_by, commits=True
            )
            match reply:
                case outcomes.NotRun():
                    return reply
                case statements.Interrupted(reason, detail):
                    self._drop(transaction)
                    unresolved = outcomes.Unknown(reason, detail)
                    return await self._writes.resolve(request, unresolved)
                case _:
                    self._end(transaction)
        if _refused_by_primary(reply):
            return _aborted("the primary has changed")
        replied = statements.Replied(reply, transaction.member, None)
        outcome = await self._writes.settle(request, replied)
        return outcome or await self._writes.resolve(request)

    async def abort(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Aborts a transaction; closing its connection aborts it too."""
        transaction = self._claim(request)
        if isinstance(transaction, outcomes.NotRun):
            return transaction
        with _Claim(self, transaction):
            reply = await self._run(
                request, transaction, lambda link: link.abort(), request.deadline
            )
            if isinstance(reply, members.Executed | members.Refused):
                self._end(transaction)
            else:
                self._drop(transaction)
        return _provisional(request, transaction, b"")

    def close_idle(self) -> None:
        """Aborts the transactions that run no statement."""
        for transaction in tuple(self._open.values()):
            if not transaction.busy:
                self._drop(transaction)

    def close(self) -> None:
        """Aborts every transaction by closing its connection."""
        for transaction in tuple(self._open.values()):
            self._drop(transaction)

    def _opened(
        self,
        request: requests.GroupRequest,
        reply: members.Executed,
        member: str,
        lease: pool.Lease,
    ) -> outcomes.Outcome:
        if self._state.term > reply.promised_term:
            lease.discard()
            return _aborted("the primary has changed")
        transaction = _Transaction(
            name=f"{self._instance_id}/{secrets.token_hex(8)}",
            caller=request.caller,
            session=request.key.session,
            lease=lease,
            member=member,
            term=reply.promised_term,
            used_at=self._loop.time(),
        )
        self._open[transaction.name] = transaction
        self._watch_idle(transaction)
        return _provisional(request, transaction, reply.body)

    async def _wait_for_room(self, deadline: float) -> bool:
        while self._loop.time() < deadline:
            primary = self._state.primary
            if primary is None:
                return True
            share = self._state.pools[primary].share
            if len(self._open) + self._opening < max(1, share - RESERVED_CONNECTIONS):
                return True
            await self._ended.wait(deadline)
        return False

    async def _wait_for_copy(self, request: requests.GroupRequest) -> None:
        """Waits while a copy of a commit with the same key is running."""
        while self._loop.time() < request.deadline:
            transaction = self._open.get(request.transaction or "")
            if transaction is None or transaction.committing != request.key:
                return
            await self._ended.wait(request.deadline)

    def _claim(self, request: requests.GroupRequest) -> _Transaction | outcomes.NotRun:
        """Returns the transaction that a request names, if the request may use it now."""
        transaction = self._open.get(request.transaction or "")
        if transaction is None:
            return _aborted("no such open transaction: it has ended, or was idle for too long")
        if (transaction.caller, transaction.session) != (request.caller, request.key.session):
            detail = "the transaction belongs to another session"
            return outcomes.NotRun(outcomes.NotRunReason.NOT_PERMITTED, detail)
        if transaction.busy:
            detail = "the transaction is running another statement"
            return outcomes.NotRun(outcomes.NotRunReason.INVALID_REQUEST, detail)
        return transaction

    async def _run(
        self,
        request: requests.GroupRequest,
        transaction: _Transaction,
        call: collections.abc.Callable[
            [interfaces.MemberConnection],
            collections.abc.Coroutine[Any, Any, members.MemberReply],
        ],
        answer_by: float,
        *,
        commits: bool = False,
    ) -> members.MemberReply | statements.Interrupted | outcomes.NotRun:
        """Runs a statement on the transaction's connection."""
        name = transaction.member

        def place() -> str | None:
            if transaction.term < self._state.term or (commits and not self._state.is_ready()):
                return self._state.place_at_primary()
            return name if self._state.admission.free_slots(name) > 0 else None

        ticket = await self._state.slots.acquire(
            admission.RequestClass.TRANSACTION, request.caller, request.deadline, place
        )
        if ticket is None:
            return self._state.refusal_before_send()
        if isinstance(ticket, outcomes.NotRun):
            return ticket
        if transaction.lease.ended or ticket.granted_member != name:
            self._state.slots.release(ticket)
            self._drop(transaction)
            return _aborted("its connection was closed or the primary has changed")
        try:
            return await statements.perform(
                self._state,
                ticket,
                transaction.lease,
                call(transaction.lease.connection),
                answer_by,
                term=transaction.term,
                reusable=False,
            )
        except statements.Outstanding:
            reason = outcomes.UnknownReason.DEADLINE_AFTER_SEND
            return statements.Interrupted(reason, f"{name} has not answered")
        except interfaces.LinkLost as failure:
            if not failure.sent:
                self._drop(transaction)
                return _aborted(str(failure))
            return statements.Interrupted(outcomes.UnknownReason.CONNECTION_LOST, str(failure))

    def _primary_changed(self) -> None:
        """Aborts idle transactions of replaced primaries; busy ones are interrupted themselves."""
        for transaction in tuple(self._open.values()):
            if transaction.term < self._state.term and not transaction.busy:
                self._drop(transaction)

    def _watch_idle(self, transaction: _Transaction) -> None:
        due = transaction.used_at + IDLE_LIMIT_S + waits.TIMER_SLACK_S
        transaction.idle_timer = self._loop.call_at(due, self._idle_check, transaction)

    def _idle_check(self, transaction: _Transaction) -> None:
        idle_s = self._loop.time() - transaction.used_at
        if transaction.busy:
            transaction.used_at = self._loop.time()
        elif idle_s >= IDLE_LIMIT_S:
            self._drop(transaction)
            return
        self._watch_idle(transaction)

    def _end(self, transaction: _Transaction) -> None:
        """Ends a transaction whose commit or abort was answered."""
        self._remove(transaction)
        transaction.lease.give_back()

    def _drop(self, transaction: _Transaction) -> None:
        """Ends a transaction by closing its connection, unless that is being drained."""
        self._remove(transaction)
        if not transaction.lease.draining:
            transaction.lease.discard()

    def _remove(self, transaction: _Transaction) -> None:
        self._open.pop(transaction.name, None)
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
        self._ended.wake()


class _Claim:
    """Exclusive use of a transaction for one statement; an exception ends the transaction."""

    __slots__ = ("_commit", "_owner", "_transaction")

    def __init__(
        self,
        owner: Transactions,
        transaction: _Transaction,
        commit: requests.RequestKey | None = None,
    ) -> None:
        self._owner = owner
        self._transaction = transaction
        self._commit = commit

    def __enter__(self) -> None:
        self._transaction.busy = True
        self._transaction.committing = self._commit

    def __exit__(self, kind: type[BaseException] | None, *_rest: object) -> None:
        self._transaction.busy = False
        self._transaction.committing = None
        self._transaction.used_at = self._owner._loop.time()
        if kind is not None:
            self._owner._drop(self._transaction)
        else:
            self._owner._ended.wake()


def _begin(
    connection: interfaces.MemberConnection, term: int
) -> collections.abc.Coroutine[Any, Any, members.MemberReply]:
    return connection.begin(term)


def _aborted(detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.NotRunReason.TRANSACTION_ABORTED, detail)


def _refused_by_primary(reply: members.MemberReply) -> bool:
    wrong = (members.Refusal.NOT_PRIMARY, members.Refusal.STALE_TERM)
    return isinstance(reply, members.Refused) and reply.refusal in wrong


def _provisional(
    request: requests.GroupRequest, transaction: _Transaction, body: bytes
) -> outcomes.Answer:
    """Returns an answer that moves no watermark, since nothing durable stands behind it yet."""
    return outcomes.Answer(
        body=body,
        position=request.watermark or positions.ZERO,
        served_by=transaction.member,
        from_replica=False,
        transaction=transaction.name,
    )
