"""A transaction, pinned to one member connection from its first statement to its end."""

import asyncio
import dataclasses
from typing import Protocol

from bilberrystack.pooling import execution
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.quotas import shares
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements


@dataclasses.dataclass(frozen=True, slots=True)
class BeginRequest:
    """The client's request that began the transaction.

    Attributes:
      id: The id that the client chose.
      text: The statement.
      read_only: Whether the transaction only reads.
    """

    id: str
    text: str
    read_only: bool


class SessionTransaction(Protocol):
    """The open transaction of a session, run by this instance or by an owner of the group.

    Attributes:
      route: The route of the database when the transaction began.
      failed: Whether the transaction has failed and can only be ended.
      rollback_unreported: Whether it was rolled back and the client has not been informed yet.
    """

    route: model.Route
    failed: bool
    rollback_unreported: bool

    @property
    def pinned(self) -> bool: ...

    async def run(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome: ...
    async def commit(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome: ...
    def roll_back(self) -> None: ...


def _rolled_back_outcome() -> execution.Outcome:
    return execution.failure_outcome(
        statements.ErrorCode.ABORTED, "the transaction was rolled back"
    )


class Transaction:
    """A transaction on a member connection of this instance. Implements SessionTransaction.

    The member is chosen at the first statement, so that a client that is idle after its BEGIN holds
    no connection. Statements run one after the other, in the order of the calls. A rollback
    prevents those that have not begun, and takes effect when the running one has ended.
    """

    __slots__ = (
        "_begin_proven",
        "_begin_request",
        "_dialect",
        "_executor",
        "_leader",
        "_link",
        "_log_confirmed",
        "_reads_at_position",
        "_rolled_back",
        "_statement_lock",
        "_wrote",
        "failed",
        "rollback_unreported",
        "route",
    )

    def __init__(
        self,
        begin_request: BeginRequest,
        route: model.Route,
        executor: execution.Executor,
        dialect: interfaces.Dialect,
    ) -> None:
        """Create a transaction that has not run any statement.

        Args:
          begin_request: The client's request that began the transaction.
          route: The route of the database.
          executor: Runs the statements.
          dialect: The members' protocol.
        """
        self.route = route
        self.failed = False
        self.rollback_unreported = False
        self._begin_proven = False
        self._begin_request = begin_request
        self._executor = executor
        self._dialect = dialect
        self._link: member_link.MemberLink | None = None
        self._leader: permission.Leader | None = None
        # Whether the log at the other end of the connection is known to have all commits that
        # precede the transaction and that its route requires.
        self._log_confirmed = False
        self._reads_at_position = False
        self._rolled_back = False
        self._statement_lock = asyncio.Lock()
        self._wrote = False

    @property
    def pinned(self) -> bool:
        """Whether the transaction holds a member connection."""
        return self._link is not None

    async def run(self, request: execution.Request, trace: execution.Trace) -> execution.Outcome:
        """Run a read or a write of the transaction; a failure may end the transaction.

        Args:
          request: The statement.
          trace: Records how the statement was processed.
        """
        async with self._statement_lock:
            try:
                outcome = await self._run(request, trace)
            finally:
                self._release_if_rolled_back()
            if outcome.failure is not None:
                state = None if outcome.reply is None else outcome.reply.state
                in_transaction = state is statements.TransactionState.TRANSACTION
                self.failed = self._link is None or not in_transaction
            return outcome

    async def _run(self, request: execution.Request, trace: execution.Trace) -> execution.Outcome:
        failed_outcome = await self._begin_if_needed(request, trace)
        if failed_outcome is not None:
            return failed_outcome
        link = self._link
        assert link is not None
        trace.member = link.member.id
        try:
            await self._executor.prepare(link, request)
        except execution.PreparationFailed as error:
            self._release_link()
            trace.cause = str(error)
            return _rolled_back_outcome()
        if self._rolled_back:
            return _rolled_back_outcome()
        try:
            reply = await self._run_pinned(link, request, answers.of_access(request.access), trace)
        except member_link.Lost as error:
            self._release_link()
            trace.cause = str(error)
            if self._may_have_run_alone(request, error):
                return execution.failure_outcome(
                    statements.ErrorCode.UNKNOWN_OUTCOME, "the transaction may not have begun"
                )
            return _rolled_back_outcome()
        if reply is None:
            # The group returns the connection to the pool after the late answer, and rolls the
            # transaction back.
            self._link = None
            return execution.failure_outcome(statements.ErrorCode.TIMEOUT, "no answer in time")
        self._wrote = self._wrote or request.access is statements.Access.WRITE
        self._begin_proven = self._begin_proven or reply.failure is None
        if reply.failure is not None:
            if reply.failure.code is statements.ErrorCode.READ_ONLY:
                self._executor.record_step_down(link)
            trace.cause = reply.failure.code.value
            return execution.member_failure_outcome(reply.failure, reply)
        return await self._confirmed_outcome(link, request, reply, trace)

    def _may_have_run_alone(self, request: execution.Request, error: member_link.Lost) -> bool:
        """Return whether a write may have been committed outside the transaction.

        The answer to BEGIN has no proof. If it was the second copy of an earlier one and the member
        rejected this BEGIN, the first statement ran by itself, and its connection shows no
        transaction.
        """
        return (
            request.access is statements.Access.WRITE
            and not self._begin_proven
            and isinstance(error, member_link.AnswerMismatch)
            and error.fault is answers.Fault.STATE
        )

    async def _run_pinned(
        self,
        link: member_link.MemberLink,
        request: execution.Request,
        expectation: answers.Expectation,
        trace: execution.Trace,
    ) -> statements.Reply | None:
        query = self._dialect.encode_query(request.id, request.text)
        return await self._executor.run_pinned(
            link,
            query,
            expectation,
            request.deadline_s,
            trace,
            abandoned=lambda: self._rolled_back,
        )

    async def _confirmed_outcome(
        self,
        link: member_link.MemberLink,
        request: execution.Request,
        reply: statements.Reply,
        trace: execution.Trace,
    ) -> execution.Outcome:
        if request.access is statements.Access.READ and not self._reads_at_position:
            if not await self._executor.confirm_answer(link, reply, trace):
                self._release_link()
                return execution.failure_outcome(
                    statements.ErrorCode.ABORTED, "the primary was not confirmed"
                )
            self._log_confirmed = True
        return execution.Outcome(reply.rows, reply.done, None, reply, self._leader)

    async def _begin_if_needed(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome | None:
        """Return the outcome if the request can't run in the transaction."""
        if self._rolled_back or self.failed:
            return _rolled_back_outcome()
        if self._link is not None:
            return None
        failed_outcome = await self._begin(request, trace)
        if failed_outcome is None and self._rolled_back:
            return _rolled_back_outcome()
        return failed_outcome

    async def _begin(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome | None:
        """Begin the transaction at a member; return the outcome if that failed."""
        charge = await self._executor.quota.begin(request.account, request.wait_deadline_s)
        if isinstance(charge, shares.Refused):
            return execution.quota_outcome(charge, trace)
        request.charge = charge
        try:
            failed_outcome = await self._begin_at_member(request, trace)
            charge.runs = int(failed_outcome is None)
            return failed_outcome
        finally:
            self._executor.quota.end(charge)

    async def _begin_at_member(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome | None:
        """Choose a member and begin the transaction there; return the outcome if that failed."""
        if self._begin_request.read_only:
            requirements = await self._executor.read_requirements(request, trace, transaction=True)
        else:
            requirements = self._executor.primary_requirements(request, transaction=True)
        failed_outcome = execution.failure_outcome(statements.ErrorCode.BUSY, "no member was free")
        for attempt in range(1, execution.MAX_NOT_RUN_RETRIES + 1):
            try:
                link = await self._executor.acquire(requirements, trace)
            except (group.Unavailable, execution.PrimaryNotConfirmable) as error:
                trace.cause = str(error)
                return failed_outcome
            if request.charge is not None and not self._executor.quota.renew(request.charge):
                self._executor.group.release(link)
                trace.cause = execution.QUOTA_REASON
                return failed_outcome
            try:
                reply = await self._send_begin(link, request, requirements)
            except (execution.PreparationFailed, member_link.Lost) as error:
                self._executor.group.release(link)
                trace.cause = str(error)
                continue
            except asyncio.CancelledError:
                self._executor.group.release(link)
                raise
            if reply is None:
                trace.cause = "no answer to the transaction's begin"
                return failed_outcome
            if reply.failure is None:
                self._link = link
                self._reads_at_position = requirements.min_position is not None
                self._log_confirmed = self._reads_at_position
                self._leader = self._executor.group.permission.leader
                return None
            self._executor.group.release(link)
            failed_outcome = execution.member_failure_outcome(reply.failure, reply)
            if reply.failure.code not in statements.NOT_RUN:
                return failed_outcome
            self._executor.apply_failure(reply.failure, link, requirements, trace)
            if execution.rejected_by_last_candidate(reply.failure, requirements):
                if not self._executor.may_retry_busy(request):
                    return failed_outcome
                await asyncio.sleep(execution.busy_backoff_s(attempt))
            if self._rolled_back:
                return failed_outcome
        return failed_outcome

    async def _send_begin(
        self,
        link: member_link.MemberLink,
        request: execution.Request,
        requirements: group.Requirements,
    ) -> statements.Reply | None:
        await self._executor.prepare(link, request)
        query = self._dialect.encode_query(
            self._begin_request.id, self._begin_request.text, requirements.min_position
        )
        expectation = answers.begin(requirements.min_position)
        return await self._executor.group.run(link, query, expectation, request.route.timeout_s)

    async def commit(self, request: execution.Request, trace: execution.Trace) -> execution.Outcome:
        """Commit the transaction, which is over whatever the outcome is.

        Args:
          request: The commit.
          trace: Records how the commit was processed.
        """
        async with self._statement_lock:
            try:
                return await self._commit(request, trace)
            finally:
                self._release_if_rolled_back()

    async def _commit(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome:
        if self.failed:
            self._release_link()
            return execution.failure_outcome(
                statements.ErrorCode.ABORTED, "the transaction had failed"
            )
        failed_outcome = await self._begin_if_needed(request, trace)
        if failed_outcome is not None:
            return failed_outcome
        link = self._link
        assert link is not None
        trace.member = link.member.id
        try:
            reply = await self._run_pinned(link, request, answers.COMMIT, trace)
        except member_link.NotSent as error:
            self._release_link()
            trace.cause = str(error)
            return _rolled_back_outcome()
        except member_link.Lost as error:
            self._release_link()
            trace.cause = str(error)
            return self._unanswered_commit("the connection to the member ended")
        if reply is None:
            self._link = None
            return self._unanswered_commit("no answer in time")
        if reply.failure is not None:
            self._release_link()
            trace.cause = reply.failure.code.value
            return execution.member_failure_outcome(reply.failure, reply)
        if self._wrote:
            outcome = await self._executor.committed_outcome(link, reply, trace)
        else:
            outcome = await self._read_only_outcome(link, reply, trace)
        self._release_link()
        return outcome

    async def _read_only_outcome(
        self, link: member_link.MemberLink, reply: statements.Reply, trace: execution.Trace
    ) -> execution.Outcome:
        """Return the outcome of the commit of a transaction that wrote nothing.

        A replaced primary still commits it, also after it has stepped down. Its log has to contain
        what was committed before the transaction, not before the commit: once an earlier answer on
        the connection is confirmed, a later primary change makes no difference.
        """
        if self._log_confirmed or await self._executor.confirm_answer(link, reply, trace):
            return execution.Outcome((), reply.done, None, reply, None)
        return execution.failure_outcome(
            statements.ErrorCode.ABORTED, "the primary was not confirmed", reply
        )

    def _unanswered_commit(self, text: str) -> execution.Outcome:
        """Return the outcome of a commit that was not answered: unknown if there were writes."""
        code = statements.ErrorCode.UNKNOWN_OUTCOME if self._wrote else statements.ErrorCode.ABORTED
        return execution.failure_outcome(code, text)

    def roll_back(self) -> None:
        """Roll the transaction back, once its running statement has ended.

        This is done if the client has requested it, was idle for too long inside the transaction or
        has disconnected, and if the link to the instance that forwards the transaction has ended.
        """
        self._rolled_back = True
        if not self._statement_lock.locked():
            self._release_link()

    def _release_if_rolled_back(self) -> None:
        if self._rolled_back:
            self._release_link()

    def _release_link(self) -> None:
        if self._link is not None:
            link, self._link = self._link, None
            self._executor.group.release(link)
