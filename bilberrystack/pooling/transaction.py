"""One transaction: pinned to a member connection from its first statement to its end."""

import asyncio
import dataclasses
from typing import Protocol

from bilberrystack.pooling import execution
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """How the client began the transaction.

    Attributes:
      id: The client's id of the statement that began it.
      text: That statement.
      read_only: Whether it only reads.
    """

    id: str
    text: str
    read_only: bool


class Pinned(Protocol):
    """A transaction of one session, here or at an owner.

    Attributes:
      route: The database, as it was when the transaction began.
      failed: Whether it can only be ended.
      unannounced: Whether it was rolled back without the client having been told yet.
    """

    route: model.Route
    failed: bool
    unannounced: bool

    @property
    def pinned(self) -> bool: ...

    async def run(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome: ...
    async def commit(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome: ...
    def leave(self) -> None: ...


class Transaction:
    """A transaction that runs at a member connection of this instance.

    The member is chosen at the first statement, so that a client that thinks after its BEGIN holds
    no connection.
    """

    __slots__ = (
        "_dialect",
        "_executor",
        "_leader",
        "_link",
        "_opening",
        "_positioned",
        "_wrote",
        "failed",
        "route",
        "unannounced",
    )

    def __init__(
        self,
        opening: Opening,
        route: model.Route,
        executor: execution.Executor,
        dialect: interfaces.Dialect,
    ) -> None:
        self.route = route
        self.failed = False
        # Whether it was rolled back without the client having been told yet.
        self.unannounced = False
        self._opening = opening
        self._executor = executor
        self._dialect = dialect
        self._link: member_link.MemberLink | None = None
        self._leader: permission.Leader | None = None
        self._positioned = False
        self._wrote = False

    @property
    def pinned(self) -> bool:
        """Whether it holds a member connection."""
        return self._link is not None

    async def run(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        """Runs a read or a write of the transaction; a failure ends the transaction."""
        outcome = await self._run(work, trace)
        if outcome.failure is not None:
            state = None if outcome.reply is None else outcome.reply.state
            self.failed = self._link is None or state is not statements.TransactionState.TRANSACTION
        return outcome

    async def _run(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        first = self._link is None
        if first:
            refused = await self._begin(work, trace)
            if refused is not None:
                return refused
        link = self._link
        assert link is not None
        trace.member = link.member.id
        try:
            await self._executor.prepare(link, work.values, work.shape)
        except execution.NotPrepared as error:
            self._unpin()
            trace.cause = str(error)
            return execution.failed(statements.ErrorCode.ABORTED, "the transaction was rolled back")
        query = self._dialect.query(work.id, work.text)
        try:
            reply = await self._executor.run_pinned(link, query, work.ends_at_s, trace)
        except member_link.Lost as error:
            self._unpin()
            trace.cause = str(error)
            return execution.failed(statements.ErrorCode.ABORTED, "the transaction was rolled back")
        if reply is None:
            # The connection comes back to the pool by itself, and is rolled back there.
            self._link = None
            return execution.failed(statements.ErrorCode.TIMEOUT, "no answer in time")
        self._wrote = self._wrote or work.access is statements.Access.WRITE
        if reply.failure is not None:
            if reply.failure.code is statements.ErrorCode.READ_ONLY:
                self._executor.learn_deposed(link)
            trace.cause = reply.failure.code.value
            return execution.from_member(reply.failure, reply)
        return await self._result(link, work, reply, trace)

    async def _result(
        self,
        link: member_link.MemberLink,
        work: execution.Work,
        reply: statements.Reply,
        trace: execution.Trace,
    ) -> execution.Outcome:
        reads = work.access is statements.Access.READ
        if (
            reads
            and not self._positioned
            and not await self._executor.confirmed(link, reply, trace)
        ):
            self._unpin()
            return execution.failed(statements.ErrorCode.ABORTED, "the primary was not confirmed")
        return execution.Outcome(reply.rows, reply.done, None, reply, self._leader)

    async def _begin(
        self, work: execution.Work, trace: execution.Trace
    ) -> execution.Outcome | None:
        """Chooses a member and begins there; returns why it could not."""
        if self._opening.read_only:
            need = await self._executor.needed(work, trace)
        else:
            need = execution.primary_need(work)
        refused = execution.failed(statements.ErrorCode.BUSY, "no member was free")
        for attempt in range(1, execution.NOT_RUN_RETRIES + 1):
            try:
                link = await self._executor.acquire(need, trace)
            except (group.Unavailable, execution.Untrusted) as error:
                trace.cause = str(error)
                return refused
            try:
                reply = await self._open(link, work, need)
            except (execution.NotPrepared, member_link.Lost) as error:
                self._executor.group.release(link)
                trace.cause = str(error)
                continue
            if reply is None:
                trace.cause = "no answer to the transaction's begin"
                return refused
            if reply.failure is None:
                self._link = link
                self._positioned = need.after is not None
                self._leader = self._executor.group.permission.leader
                return None
            self._executor.group.release(link)
            refused = execution.from_member(reply.failure, reply)
            if reply.failure.code not in statements.NOT_RUN:
                return refused
            self._executor.learn(reply.failure, link, need, trace)
            if execution.too_busy(reply.failure, need):
                if not self._executor.may_ask_again(work):
                    return refused
                await asyncio.sleep(execution.busy_pause_s(attempt))
        return refused

    async def _open(
        self, link: member_link.MemberLink, work: execution.Work, need: group.Need
    ) -> statements.Reply | None:
        await self._executor.prepare(link, work.values, work.shape)
        query = self._dialect.query(self._opening.id, self._opening.text, need.after)
        return await self._executor.group.run(link, query, work.route.timeout_s)

    async def commit(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        """Commits; the transaction is over whatever the outcome is."""
        if self.failed:
            self._unpin()
            return execution.failed(statements.ErrorCode.ABORTED, "the transaction had failed")
        if self._link is None:
            refused = await self._begin(work, trace)
            if refused is not None:
                return refused
        link = self._link
        assert link is not None
        trace.member = link.member.id
        query = self._dialect.query(work.id, work.text)
        try:
            reply = await self._executor.run_pinned(link, query, work.ends_at_s, trace)
        except member_link.Lost as error:
            self._unpin()
            trace.cause = str(error)
            return self._unknown("the connection to the member ended")
        if reply is None:
            self._link = None
            return self._unknown("no answer in time")
        if reply.failure is not None:
            self._unpin()
            trace.cause = reply.failure.code.value
            return execution.from_member(reply.failure, reply)
        if not self._wrote:
            self._unpin()
            return execution.Outcome((), reply.done, None, reply, None)
        outcome = await self._executor.write_done(link, reply, trace)
        self._unpin()
        return outcome

    def _unknown(self, text: str) -> execution.Outcome:
        """Returns the outcome of a commit without an answer."""
        code = statements.ErrorCode.UNKNOWN_OUTCOME if self._wrote else statements.ErrorCode.ABORTED
        return execution.failed(code, text)

    def leave(self) -> None:
        """Rolls back, because the client asked for it, rested too long, or has gone."""
        self._unpin()

    def _unpin(self) -> None:
        if self._link is not None:
            link, self._link = self._link, None
            self._executor.group.release(link)
