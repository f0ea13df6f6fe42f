"""Runs at a group's members what other instances forward to this one, an owner of the group."""

import asyncio
import collections.abc
import contextlib

import loguru
import msgspec

from bilberrystack.pooling import execution
from bilberrystack.pooling import frames
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="owner")

# Transactions that one link may hold open, so that a peer can't use up the memory.
MAX_TRANSACTIONS = 4_096

Runners = collections.abc.Callable[[str], "execution.Executor | None"]


class OwnerServer:
    """Runs the statements that other instances forward."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_known",
        "_links",
        "_runners",
        "_running",
        "_tasks",
        "stopping",
    )

    def __init__(
        self,
        runners: Runners,
        known: interfaces.ConfigurationSource,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        running: tasks.Tasks,
    ) -> None:
        """Creates a server.

        Args:
          runners: Returns what runs a group's statements here; None for an unknown group.
          known: The configuration.
          dialect: The members' protocol.
          clock: Seconds.
          running: Keeps the statements' tasks.
        """
        self._runners = runners
        self._known = known
        self._running = 0
        self._links: list[dict[int, transaction.Transaction]] = []
        # Whether new work is declined, so that its instance turns to another owner.
        self.stopping = False
        self._dialect = dialect
        self._clock = clock
        self._tasks = running

    @property
    def running(self) -> int:
        """Statements that have not been answered."""
        return self._running

    @property
    def transactions(self) -> int:
        """Transactions that are open."""
        return sum(map(len, self._links))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link; its end rolls back the transactions that are open on it."""
        open_transactions: dict[int, transaction.Transaction] = {}
        self._links.append(open_transactions)
        try:
            while True:
                work = frames.decode_work(await frames.read(reader))
                if work.kind == "leave":
                    left = open_transactions.pop(work.transaction, None)
                    if left is not None:
                        left.leave()
                    continue
                self._tasks.start(self._run(work, writer, open_transactions))
        except msgspec.MsgspecError as error:
            _LOG.warning("malformed frame of an instance", error=str(error))
        finally:
            self._links = [one for one in self._links if one is not open_transactions]
            for left in open_transactions.values():
                left.leave()

    async def _run(
        self,
        work: frames.Work,
        writer: asyncio.StreamWriter,
        open_transactions: dict[int, transaction.Transaction],
    ) -> None:
        self._running += 1
        try:
            ended = await self._ended(work, open_transactions)
        finally:
            self._running -= 1
        # The instance may have gone: its client then has no way to hear the answer here.
        with contextlib.suppress(member_link.Lost):
            member_link.write(writer, frames.pack(ended))

    async def _ended(
        self, work: frames.Work, open_transactions: dict[int, transaction.Transaction]
    ) -> frames.Ended:
        trace = execution.Trace()
        decoded = frames.decode_statement(work, self._clock())
        begun = work.transaction in open_transactions
        runner = None if self.stopping and not begun else self._runners(work.service)
        writes = work.opening is not None and not work.opening.read_only
        if runner is not None and not begun and runner.group.shut_out(decoded.primary or writes):
            runner = None
        current: transaction.Transaction | None = None
        self._known.observe_version(work.version)
        if runner is None:
            outcome = execution.failed(statements.Code.BUSY, "the owner can't serve the group")
        elif self._superseded(work):
            outcome = execution.failed(statements.Code.NO_DATABASE, "no such database any more")
        elif work.transaction:
            current = self._transaction(work, decoded, runner, open_transactions)
            outcome = await self._run_inside(work, decoded, trace, current, open_transactions)
        elif work.kind == "write":
            outcome = await runner.run_write(decoded, trace)
        else:
            outcome = await runner.run_read(decoded, trace)
        return msgspec.structs.replace(
            frames.encode_outcome(work.number, outcome, trace, self._clock(), current),
            declined=runner is None,
            version=self._known.version,
        )

    def _superseded(self, work: frames.Work) -> bool:
        """Tells whether a newer configuration than the sender's has taken the statement's route.

        An open transaction keeps the route that it began with.
        """
        configuration = self._known.configuration
        inside = work.transaction and work.opening is None
        if inside or configuration is None or configuration.version <= work.version:
            return False
        route = configuration.routes.get(work.database)
        return route is None or route.service != work.service

    def _transaction(
        self,
        work: frames.Work,
        decoded: execution.Work,
        runner: execution.Executor,
        open_transactions: dict[int, transaction.Transaction],
    ) -> transaction.Transaction | None:
        known = open_transactions.get(work.transaction)
        if known is not None or work.opening is None:
            return known
        if len(open_transactions) >= MAX_TRANSACTIONS:
            return None
        opening = transaction.Opening(work.opening.id, work.opening.text, work.opening.read_only)
        begun = transaction.Transaction(opening, decoded.route, runner, self._dialect)
        open_transactions[work.transaction] = begun
        return begun

    async def _run_inside(
        self,
        work: frames.Work,
        decoded: execution.Work,
        trace: execution.Trace,
        current: transaction.Transaction | None,
        open_transactions: dict[int, transaction.Transaction],
    ) -> execution.Outcome:
        if current is None:
            return execution.failed(statements.Code.ABORTED, "the transaction was rolled back")
        if work.kind != "commit":
            return await current.run(decoded, trace)
        open_transactions.pop(work.transaction, None)
        return await current.commit(decoded, trace)
