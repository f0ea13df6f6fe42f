"""One client session: its values, its prepared statements and its transaction."""

import asyncio
import contextlib
from typing import Protocol

import loguru

from bilberrystack.core import positions
from bilberrystack.pooling import counters
from bilberrystack.pooling import execution
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import transaction
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="session")

# A connection that doesn't say what it wants within this time is closed.
START_TIMEOUT_S = 5.0

# A graceful stop waits so long for the operation of a session that has begun or set values.
OPERATION_FOLLOWS_S = 1.0

# How long a session waits for an instance that has just started and knows no databases yet; a
# client waits 2 s for the answer to its start.
KNOWN_TIMEOUT_S = 1.7

# Bytes that a client may leave unread before the session stops reading from it.
MAX_UNREAD_BYTES = 4_194_304

# A client that reads nothing for so long loses its session.
WRITE_TIMEOUT_S = 10.0

# Values and prepared statements of one session, so that a client can't use up the memory.
MAX_SESSION_NAMES = 512


class Host(Protocol):
    """What a session needs of the instance that serves it."""

    @property
    def dialect(self) -> interfaces.Dialect: ...
    @property
    def counters(self) -> counters.Counters: ...
    @property
    def configuration(self) -> model.Configuration | None: ...
    @property
    def stopping(self) -> bool: ...

    def clock(self) -> float: ...
    def runner(self, service: str, primary: bool) -> execution.Runner | None: ...
    def begin(
        self, opening: transaction.Opening, route: model.Route
    ) -> transaction.Pinned | None: ...
    async def wait_known(self, timeout_s: float) -> bool: ...


class Session:
    """Serves one client connection until it ends."""

    __slots__ = (
        "_busy",
        "_database",
        "_host",
        "_mark",
        "_position",
        "_prepared_at_s",
        "_reader",
        "_shapes",
        "_transaction",
        "_values",
        "_writer",
    )

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: Host
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._database = ""
        self._values: dict[str, str] = {}
        self._shapes: dict[str, execution.Shape] = {}
        self._transaction: transaction.Pinned | None = None
        self._mark: freshness.LastWritePosition | None = None
        self._position: positions.Position | None = None
        self._busy = True
        self._prepared_at_s: float | None = None

    @property
    def resting(self) -> bool:
        """Whether it is outside a transaction and no request is out."""
        return not self._busy and self._transaction is None

    @property
    def preparing(self) -> bool:
        """Whether it has just begun or set values, so that an operation is likely on its way."""
        since_s = self._prepared_at_s
        return since_s is not None and self._host.clock() - since_s < OPERATION_FOLLOWS_S

    @property
    def idle(self) -> bool:
        """Whether no request is out, also inside a transaction."""
        return not self._busy

    @property
    def state(self) -> statements.TransactionState:
        """The state that the client is told."""
        if self._transaction is None:
            return statements.TransactionState.IDLE
        if self._transaction.failed:
            return statements.TransactionState.FAILED
        return statements.TransactionState.TRANSACTION

    def close(self) -> None:
        """Closes the client's connection; `serve` then ends."""
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()

    async def serve(self) -> None:
        """Answers requests until the client leaves, breaks the protocol or is closed."""
        try:
            if await self._start():
                while await self._serve_one():
                    pass
        except (EOFError, OSError, TimeoutError):
            # The client has left, or went silent inside a message.
            pass
        except asyncio.LimitOverrunError:
            self._send(
                self._host.dialect.error(statements.ErrorCode.TOO_BIG, "the line is too long")
            )
        finally:
            if self._transaction is not None:
                self._transaction.leave()
                self._transaction = None
            self.close()

    async def _start(self) -> bool:
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await member_link.read_line(self._reader)
        dialect = self._host.dialect
        match dialect.parse_client(line):
            case statements.Start(database):
                self._database = database
            case _:
                self._send(
                    dialect.error(statements.ErrorCode.BAD, "a session begins with its database")
                )
                return False
        if not await self._host.wait_known(KNOWN_TIMEOUT_S):
            self._send(
                dialect.error(statements.ErrorCode.BUSY, "no configuration yet, come back in 1 s")
            )
            return False
        if self._route() is None:
            self._send(dialect.error(statements.ErrorCode.NO_DATABASE, "no such database"))
            return False
        self._send(dialect.ready(self.state, None))
        self._prepared_at_s = self._host.clock()
        self._busy = False
        return True

    def _route(self) -> model.Route | None:
        configuration = self._host.configuration
        return None if configuration is None else configuration.routes.get(self._database)

    async def _serve_one(self) -> bool:
        """Answers one request; returns whether the session goes on."""
        line = await self._next_line()
        self._busy = True
        self._prepared_at_s = None
        try:
            match self._host.dialect.parse_client(line):
                case statements.Query(request_id, text):
                    await self._answer(request_id, text)
                case statements.Goodbye():
                    return False
                case _:
                    self._send(self._host.dialect.error(statements.ErrorCode.BAD, "not a request"))
                    return False
            await self._flush()
        finally:
            self._busy = False
        ended = self._transaction is None and self._prepared_at_s is None
        return not (self._host.stopping and ended)

    async def _next_line(self) -> bytes:
        """Reads a line; a transaction that rests too long is rolled back meanwhile."""
        open_transaction = self._transaction
        configuration = self._host.configuration
        if open_transaction is None or not open_transaction.pinned or configuration is None:
            return await member_link.read_line(self._reader)
        task = asyncio.ensure_future(member_link.read_line(self._reader))
        try:
            done, _ = await asyncio.wait({task}, timeout=configuration.transaction_idle_timeout_s)
            if not done:
                _LOG.info("transaction rested too long, rolled back", database=self._database)
                open_transaction.leave()
                open_transaction.failed = open_transaction.unannounced = True
            return await task
        finally:
            task.cancel()

    async def _answer(self, request_id: str, text: str) -> None:
        arrived_at_s = self._host.clock()
        dialect = self._host.dialect
        statement = dialect.parse_statement(text)
        if self._transaction is not None and self._transaction.failed:
            self._answer_failed(statement)
            return
        match statement:
            case statements.Begin(read_only):
                self._begin(request_id, text, read_only)
            case statements.SetValue() | statements.Prepare() | statements.Forget():
                self._keep(statement)
            case statements.Rollback() if self._transaction is not None:
                self._transaction.leave()
                self._transaction = None
                self._reply(dialect.done())
            case statements.Commit() if self._transaction is not None:
                work = self._work(request_id, text, statements.Access.READ, None, arrived_at_s)
                await self._run(work, statement)
            case statements.DirectStatement(access):
                work = self._work(request_id, text, access, None, arrived_at_s)
                await self._run(work, statement)
            case statements.Execute(name, arguments):
                shape = self._shapes.get(name)
                if shape is None:
                    self._refuse(statements.ErrorCode.NO_STATEMENT, "no such prepared statement")
                    return
                renamed = dialect.execute(shape.name, arguments)
                work = self._work(request_id, renamed, shape.access, shape, arrived_at_s)
                await self._run(work, statement)
            case _:
                self._refuse(statements.ErrorCode.BAD, "not a statement, or not in this state")

    def _answer_failed(self, statement: statements.Statement) -> None:
        """Answers inside a failed transaction, which only its end gets out of."""
        match statement:
            case statements.Rollback():
                self._end()
                self._reply(self._host.dialect.done())
            case statements.Commit():
                self._end()
                self._refuse(statements.ErrorCode.ABORTED, "the transaction had failed")
            case _ if self._transaction is not None and self._transaction.unannounced:
                self._transaction.unannounced = False
                self._refuse(statements.ErrorCode.ABORTED, "the transaction rested too long")
            case _:
                self._refuse(statements.ErrorCode.BAD, "the transaction has failed")

    def _end(self) -> None:
        assert self._transaction is not None
        self._transaction.leave()
        self._transaction = None

    def _begin(self, request_id: str, text: str, read_only: bool) -> None:
        if self._transaction is not None:
            self._refuse(statements.ErrorCode.BAD, "already in a transaction")
            return
        route = self._route()
        opening = transaction.Opening(request_id, text, read_only)
        begun = None if route is None else self._host.begin(opening, route)
        if begun is None:
            self._refuse(statements.ErrorCode.NO_DATABASE, "no such database")
            return
        self._transaction = begun
        self._reply(self._host.dialect.done())

    def _keep(
        self, statement: statements.SetValue | statements.Prepare | statements.Forget
    ) -> None:
        """Keeps a session's value or name; members get it when a statement needs it."""
        if len(self._values) + len(self._shapes) >= MAX_SESSION_NAMES:
            self._refuse(statements.ErrorCode.TOO_BIG, "too many values and prepared statements")
            return
        match statement:
            case statements.SetValue(name, value):
                self._values[name] = value
            case statements.Prepare(name, access, shape):
                self._shapes[name] = execution.Shape(access, shape)
            case statements.Forget(name):
                self._shapes.pop(name, None)
        self._prepared_at_s = self._host.clock()
        self._reply(self._host.dialect.done())

    def _work(
        self,
        request_id: str,
        text: str,
        access: statements.Access,
        shape: execution.Shape | None,
        arrived_at_s: float,
    ) -> execution.Work | None:
        route = self._route() if self._transaction is None else self._transaction.route
        if route is None:
            return None
        return execution.Work(
            request_id, text, access, shape, arrived_at_s, route, self._values, self._mark
        )

    async def _run(self, work: execution.Work | None, statement: statements.Statement) -> None:
        """Runs a statement at a member and answers with its outcome."""
        runner = None if work is None else self._host.runner(work.route.service, work.primary)
        if work is None or runner is None:
            self._refuse(statements.ErrorCode.NO_DATABASE, "no such database")
            return
        trace = execution.Trace()
        current = self._transaction
        wrote = False
        match statement:
            case statements.Commit():
                assert current is not None
                outcome = await current.commit(work, trace)
                self._transaction = None
                wrote = outcome.leader is not None
            case _ if current is not None:
                outcome = await current.run(work, trace)
            case _ if work.access is statements.Access.WRITE:
                outcome = await runner.run_write(work, trace)
                wrote = True
            case _:
                outcome = await runner.run_read(work, trace)
        self._remember(outcome, wrote)
        self._report(work, statement, outcome, trace)
        if outcome.failure is not None:
            self._refuse(outcome.failure.code, outcome.failure.text)
        else:
            assert outcome.done is not None
            lines = [*outcome.rows, outcome.done]
            self._reply(b"".join(self._host.dialect.line(one) for one in lines))

    def _remember(self, outcome: execution.Outcome, wrote: bool) -> None:
        reply = outcome.reply
        if reply is None or reply.position is None:
            return
        self._position = reply.position
        if wrote and outcome.done is not None and outcome.leader is not None:
            sample = freshness.Sample(reply.request_sent_at_s, reply.position)
            self._mark = freshness.LastWritePosition(outcome.leader.term, sample)

    def _report(
        self,
        work: execution.Work,
        statement: statements.Statement,
        outcome: execution.Outcome,
        trace: execution.Trace,
    ) -> None:
        """Logs how the request was decided, and counts it."""
        took_s = self._host.clock() - work.arrived_at_s
        kind = "commit" if isinstance(statement, statements.Commit) else work.access.value
        code = "done" if outcome.failure is None else outcome.failure.code.value
        self._host.counters.requests.inc({"kind": kind, "outcome": code})
        self._host.counters.request_seconds.observe({"kind": kind}, took_s)
        _LOG.info(
            "request ended",
            id=work.id,
            database=self._database,
            kind=kind,
            consistency=work.route.consistency.value,
            transaction=self._transaction is not None or kind == "commit",
            outcome=code,
            took_ms=round(took_s * 1000),
            **trace.fields(),
        )

    def _refuse(self, code: statements.ErrorCode, text: str) -> None:
        self._reply(self._host.dialect.error(code, text))

    def _reply(self, lines: bytes) -> None:
        self._send(lines + self._host.dialect.ready(self.state, self._position))

    def _send(self, data: bytes) -> None:
        with contextlib.suppress(member_link.Lost):
            member_link.write(self._writer, data)

    async def _flush(self) -> None:
        """Waits until the client has read enough; raises TimeoutError if it doesn't."""
        if self._writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._writer.drain()
