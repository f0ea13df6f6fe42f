"""Open transactions, each pinned to one connection to the primary on which it was begun."""

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

# A transaction that runs no statement for this long is aborted, in seconds, since it occupies one
# of the few connections to the primary.
IDLE_TIMEOUT_S = 30.0

# Data connections to the primary that are reserved for other statements than transactions. One
# transaction may be open even if the pool has no other connection.
RESERVED_CONNECTION_COUNT = 1


@dataclasses.dataclass(eq=False, slots=True)
class _Transaction:
    """An open transaction.

    Attributes:
      name: The transaction's id.
      caller: The caller that opened the transaction.
      session: The session that opened the transaction.
      lease: The connection to which the transaction is pinned.
      member: The primary on which the transaction was begun.
      term: The term of this primary.
      last_used_at: Instant at which the last statement ended.
      busy: Whether a statement is waiting or running.
      commit_key: The key of the commit that is waiting or running; None if there is none.
      idle_timer: The timer of the next idle check.
    """

    name: str
    caller: str
    session: str
    lease: pool.Lease
    member: str
    term: int
    last_used_at: float
    busy: bool = False
    commit_key: requests.RequestKey | None = None
    idle_timer: asyncio.TimerHandle | None = None


class Transactions:
    """The open transactions of one group at this owner."""

    __slots__ = (
        "_change_signal",
        "_instance_id",
        "_loop",
        "_open",
        "_opening_count",
        "_state",
        "_writes",
    )

    def __init__(
        self, state: group_state.GroupState, group_writes: writes.Writes, instance_id: str
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._writes = group_writes
        self._instance_id = instance_id
        self._open: dict[str, _Transaction] = {}
        self._opening_count = 0
        self._change_signal = waits.Signal()
        state.primary_signal.add_callback(self._primary_changed)

    @property
    def open_count(self) -> int:
        """The number of open transactions."""
        return len(self._open)

    async def begin(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Opens a transaction. If its opening is not answered in time, it never takes effect."""
        if not await self._wait_for_capacity(request.deadline):
            detail = "too many open transactions"
            return outcomes.NotRun(outcomes.NotRunReason.QUEUE_FULL, detail, IDLE_TIMEOUT_S)
        self._opening_count += 1
        try:
            result = await statements.run_at_primary(
                self._state,
                admission.RequestClass.BEGIN,
                request.caller,
                _begin,
                deadline=request.deadline,
                answer_deadline=request.deadline,
                keep_lease=True,
            )
        finally:
            self._opening_count -= 1
            self._change_signal.notify()
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
        """Runs a statement in a transaction. The answer is provisional until the commit."""
        transaction = self._find_usable(request)
        if isinstance(transaction, outcomes.NotRun):
            return transaction
        with _ExclusiveUse(self, transaction):
            reply = await self._run_statement(
                request, transaction, lambda link: link.statement(request.body), request.deadline
            )
            match reply:
                case members.Executed(body):
                    return _provisional_answer(request, transaction, body)
                case members.Refused(members.Refusal.INVALID_STATEMENT, detail):
                    return outcomes.NotRun(outcomes.NotRunReason.INVALID_STATEMENT, detail)
                case members.Refused(_, detail):
                    self._discard(transaction)
                    return _aborted(detail)
                case statements.Interrupted(_, detail):
                    self._discard(transaction)
                    return _aborted(detail)
                case outcomes.NotRun():
                    return reply

    async def commit(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Commits a transaction. A commit whose answer is lost is resolved by its key."""
        await self._wait_for_running_commit(request)
        if request.transaction not in self._open:
            # An earlier copy of this commit may have been sent before the transaction ended.
            return await self._writes.resolve(request)
        transaction = self._find_usable(request)
        if isinstance(transaction, outcomes.NotRun):
            return transaction
        answer_deadline = statements.resolution_start(self._loop.time(), request.deadline)
        with _ExclusiveUse(self, transaction, request.key):
            reply = await self._run_statement(
                request,
                transaction,
                lambda link: link.commit(request.key),
                answer_deadline,
                is_commit=True,
            )
            match reply:
                case outcomes.NotRun():
                    return reply
                case statements.Interrupted(reason, detail):
                    self._discard(transaction)
                    unresolved_outcome = outcomes.Unknown(reason, detail)
                    return await self._writes.resolve(request, unresolved_outcome)
                case _:
                    self._finish(transaction)
        if _refused_by_primary(reply):
            return _aborted("the primary has changed")
        replied = statements.Replied(reply, transaction.member, None)
        outcome = await self._writes.outcome_of_reply(request, replied)
        return outcome or await self._writes.resolve(request)

    async def abort(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Aborts a transaction. If the abort is not answered, closing the connection aborts it."""
        transaction = self._find_usable(request)
        if isinstance(transaction, outcomes.NotRun):
            return transaction
        with _ExclusiveUse(self, transaction):
            reply = await self._run_statement(
                request, transaction, lambda link: link.abort(), request.deadline
            )
            if isinstance(reply, members.Executed | members.Refused):
                self._finish(transaction)
            else:
                self._discard(transaction)
        return _provisional_answer(request, transaction, b"")

    def abort_idle(self) -> None:
        """Aborts the transactions that are not running a statement."""
        for transaction in tuple(self._open.values()):
            if not transaction.busy:
                self._discard(transaction)

    def close(self) -> None:
        """Aborts every transaction by closing its connection."""
        for transaction in tuple(self._open.values()):
            self._discard(transaction)

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
            last_used_at=self._loop.time(),
        )
        self._open[transaction.name] = transaction
        self._schedule_idle_check(transaction)
        return _provisional_answer(request, transaction, reply.body)

    async def _wait_for_capacity(self, deadline: float) -> bool:
        while self._loop.time() < deadline:
            primary = self._state.primary
            if primary is None:
                return True
            max_size = self._state.pools[primary].max_size
            if len(self._open) + self._opening_count < max(1, max_size - RESERVED_CONNECTION_COUNT):
                return True
            await self._change_signal.wait(deadline)
        return False

    async def _wait_for_running_commit(self, request: requests.GroupRequest) -> None:
        """Waits while another copy of the same commit is waiting or running."""
        while self._loop.time() < request.deadline:
            transaction = self._open.get(request.transaction or "")
            if transaction is None or transaction.commit_key != request.key:
                return
            await self._change_signal.wait(request.deadline)

    def _find_usable(self, request: requests.GroupRequest) -> _Transaction | outcomes.NotRun:
        """Returns the transaction of a request; a refusal if the request can't use it now."""
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

    async def _run_statement(
        self,
        request: requests.GroupRequest,
        transaction: _Transaction,
        call: collections.abc.Callable[
            [interfaces.MemberConnection],
            collections.abc.Coroutine[Any, Any, members.MemberReply],
        ],
        answer_deadline: float,
        *,
        is_commit: bool = False,
    ) -> members.MemberReply | statements.Interrupted | outcomes.NotRun:
        """Runs a statement on the transaction's connection.

        Args:
          request: The request.
          transaction: The transaction, reserved for this statement.
          call: Creates the statement's call from the connection.
          answer_deadline: Instant on the event loop's clock until which the answer is awaited.
          is_commit: Whether the statement is a commit, which needs an available primary.
        Returns:
          The reply; the interruption if the answer is not known; the refusal if it was not sent.
        """
        name = transaction.member

        def choose_member() -> str | None:
            if transaction.term < self._state.term or (
                is_commit and not self._state.is_primary_ready()
            ):
                return self._state.available_primary()
            return name if self._state.admission.free_slots(name) > 0 else None

        ticket = await self._state.slots.acquire(
            admission.RequestClass.TRANSACTION, request.caller, request.deadline, choose_member
        )
        if ticket is None:
            return self._state.refusal_before_send()
        if isinstance(ticket, outcomes.NotRun):
            return ticket
        if transaction.lease.ended or ticket.granted_member != name:
            self._state.slots.release(ticket)
            self._discard(transaction)
            return _aborted("its connection was closed or the primary has changed")
        try:
            return await statements.run_on_connection(
                self._state,
                ticket,
                transaction.lease,
                call(transaction.lease.connection),
                answer_deadline,
                term=transaction.term,
                reusable=False,
            )
        except statements.AnswerOutstanding:
            reason = outcomes.UnknownReason.DEADLINE_AFTER_SEND
            return statements.Interrupted(reason, f"{name} has not answered")
        except interfaces.LinkLost as failure:
            if not failure.sent:
                self._discard(transaction)
                return _aborted(str(failure))
            return statements.Interrupted(outcomes.UnknownReason.CONNECTION_LOST, str(failure))

    def _primary_changed(self) -> None:
        """Aborts idle transactions of replaced primaries.

        In a busy transaction the wait for the running statement ends by itself.
        """
        for transaction in tuple(self._open.values()):
            if transaction.term < self._state.term and not transaction.busy:
                self._discard(transaction)

    def _schedule_idle_check(self, transaction: _Transaction) -> None:
        due = transaction.last_used_at + IDLE_TIMEOUT_S + waits.TIMER_SLACK_S
        transaction.idle_timer = self._loop.call_at(due, self._check_idle, transaction)

    def _check_idle(self, transaction: _Transaction) -> None:
        idle_s = self._loop.time() - transaction.last_used_at
        if transaction.busy:
            transaction.last_used_at = self._loop.time()
        elif idle_s >= IDLE_TIMEOUT_S:
            self._discard(transaction)
            return
        self._schedule_idle_check(transaction)

    def _finish(self, transaction: _Transaction) -> None:
        """Ends a transaction whose commit or abort was answered, and reuses its connection."""
        self._remove(transaction)
        transaction.lease.return_to_pool()

    def _discard(self, transaction: _Transaction) -> None:
        """Ends a transaction by closing its connection, unless the connection is being drained."""
        self._remove(transaction)
        if not transaction.lease.draining:
            transaction.lease.discard()

    def _remove(self, transaction: _Transaction) -> None:
        self._open.pop(transaction.name, None)
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
        self._change_signal.notify()


class _ExclusiveUse:
    """Reserves a transaction for one statement. An exception in the block ends the transaction."""

    __slots__ = ("_commit_key", "_transaction", "_transactions")

    def __init__(
        self,
        open_transactions: Transactions,
        transaction: _Transaction,
        commit_key: requests.RequestKey | None = None,
    ) -> None:
        self._transactions = open_transactions
        self._transaction = transaction
        self._commit_key = commit_key

    def __enter__(self) -> None:
        self._transaction.busy = True
        self._transaction.commit_key = self._commit_key

    def __exit__(self, error_type: type[BaseException] | None, *_rest: object) -> None:
        self._transaction.busy = False
        self._transaction.commit_key = None
        self._transaction.last_used_at = self._transactions._loop.time()
        if error_type is not None:
            self._transactions._discard(self._transaction)
        else:
            self._transactions._change_signal.notify()


def _begin(
    connection: interfaces.MemberConnection, term: int
) -> collections.abc.Coroutine[Any, Any, members.MemberReply]:
    return connection.begin(term)


def _aborted(detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.NotRunReason.TRANSACTION_ABORTED, detail)


def _refused_by_primary(reply: members.MemberReply) -> bool:
    not_current_primary = (members.Refusal.NOT_PRIMARY, members.Refusal.STALE_TERM)
    return isinstance(reply, members.Refused) and reply.refusal in not_current_primary


def _provisional_answer(
    request: requests.GroupRequest, transaction: _Transaction, body: bytes
) -> outcomes.Answer:
    """Returns an answer that leaves the watermark unchanged, since nothing is durable yet."""
    return outcomes.Answer(
        body=body,
        position=request.watermark or positions.ZERO,
        served_by=transaction.member,
        from_replica=False,
        transaction=transaction.name,
    )
