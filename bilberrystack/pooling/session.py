"""One client session: its values, its prepared statements and its transaction."""

import asyncio
import contextlib
import typing
from typing import Protocol

import loguru

from bilberrystack.accounts import accounts
from bilberrystack.accounts import authorization
from bilberrystack.core import positions
from bilberrystack.pooling import connection_budget
from bilberrystack.pooling import counters
from bilberrystack.pooling import execution
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import line_stream
from bilberrystack.pooling import member_link
from bilberrystack.pooling import transaction
from bilberrystack.pooling import turns
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import running_time
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="session")

# A connection that doesn't send its start message within this time is closed.
START_TIMEOUT_S = 5.0

# How long a graceful stop waits for the next operation of a session that has just begun or has just
# set values.
OPERATION_WAIT_S = 1.0

# How long a session waits for the first configuration of an instance that has just started; a
# client waits 2 s for the answer to its start message.
CONFIGURATION_TIMEOUT_S = 1.7

# How long a transaction may go on after its session's key was found to be revoked.
REVOKED_TRANSACTION_S = 2.0

# Bytes that a client may leave unread before the session stops reading from it.
MAX_UNREAD_BYTES = 4_194_304

# A client that leaves more than MAX_UNREAD_BYTES unread for this long loses its session.
WRITE_TIMEOUT_S = 10.0

# Longer request ids are cut in log lines. A line with an id of 1 MiB exceeds the buffer of the log
# output, and several shorter ones leave no room for other lines.
MAX_LOGGED_ID_CHARACTERS = 64

# How long the rest of a refused line is discarded until the client closes its connection.
DISCARD_TIMEOUT_S = 1.0
DISCARD_CHUNK_BYTES = 262_144

# Work of a request for its turn of the event loop, as turns.MESSAGE_WORK_BYTES. With 512, 160
# clients that pipeline made connections to members time out after 0.5 s on a busy machine.
PIPELINED_WORK_BYTES = 8 * turns.MESSAGE_WORK_BYTES

# Values and prepared statements per session, so that a client can't exhaust the memory.
MAX_SESSION_DEFINITIONS = 512

# Names, values and texts of these together. A forwarded statement carries them in one frame, and a
# frame that is too long ends the link on which other sessions wait.
MAX_DEFINITION_BYTES = 4_194_304


class Host(Protocol):
    """The instance that serves a session, as the session uses it."""

    @property
    def dialect(self) -> interfaces.Dialect: ...
    @property
    def counters(self) -> counters.Counters: ...
    @property
    def configuration(self) -> model.Configuration | None: ...
    @property
    def revocation(self) -> authorization.RevocationTerms: ...
    @property
    def running_time(self) -> running_time.RunningTime: ...
    @property
    def stopping(self) -> bool: ...
    @property
    def refuses_work(self) -> bool: ...

    def clock(self) -> float: ...
    def authorize(
        self, route: model.Route, key_digest: bytes | None
    ) -> accounts.Account | authorization.Denial | None: ...
    def runner(self, service: str, primary_only: bool, account: str) -> execution.Runner | None: ...
    def begin(
        self, begin_request: transaction.BeginRequest, route: model.Route, account: str
    ) -> transaction.SessionTransaction | None: ...
    async def wait_for_configuration(self, timeout_s: float) -> bool: ...


class Session:
    """Serves one client connection until it ends."""

    __slots__ = (
        "_account",
        "_budget",
        "_database",
        "_denied_since_s",
        "_host",
        "_key_digest",
        "_last_write",
        "_operation_expected_since_s",
        "_position",
        "_prepared_statements",
        "_reader",
        "_reading_paused",
        "_request_in_progress",
        "_request_limit",
        "_transaction",
        "_usage",
        "_values",
        "_writer",
    )

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: Host
    ) -> None:
        """Create a session that waits for its start message.

        Args:
          reader: The client connection's reader.
          writer: The client connection's writer.
          host: The instance that serves the session.
        """
        self._reader = reader
        self._writer = writer
        self._host = host
        self._usage = connection_budget.usage_of(reader)
        self._database = ""
        self._key_digest: bytes | None = None
        # The account of the present operation; empty for none.
        self._account = ""
        self._denied_since_s: float | None = None
        self._budget = turns.Budget()
        self._values: dict[str, str] = {}
        self._prepared_statements: dict[str, execution.PreparedStatement] = {}
        self._transaction: transaction.SessionTransaction | None = None
        self._last_write: freshness.LastWritePosition | None = None
        self._position: positions.Position | None = None
        self._request_in_progress = True
        self._request_limit: asyncio.Timeout | None = None
        self._reading_paused = False
        self._operation_expected_since_s: float | None = None

    @property
    def quiescent(self) -> bool:
        """Whether the session has neither an open transaction nor a request in progress."""
        return not self._request_in_progress and self._transaction is None

    @property
    def expects_operation(self) -> bool:
        """Whether the session has just begun or set values, so that an operation is likely."""
        since_s = self._operation_expected_since_s
        return since_s is not None and self._host.clock() - since_s < OPERATION_WAIT_S

    @property
    def state(self) -> statements.TransactionState:
        """The session state that is reported to the client."""
        if self._transaction is None:
            return statements.TransactionState.IDLE
        if self._transaction.failed:
            return statements.TransactionState.FAILED
        return statements.TransactionState.TRANSACTION

    def close(self) -> None:
        """Close the client's connection, which ends `serve`."""
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()

    def close_when_idle(self) -> None:
        """Close the connection at the second call in a row that finds the session quiescent.

        The first call stops reading, so that a request that has been read meanwhile is answered. A
        request that has arrived since then is read and answered, too: between the two calls this
        process may stand still, for much longer than a request takes to cross the network.
        """
        if self._reading_paused:
            if line_stream.has_received_data(self._writer):
                self._resume_reading()
            else:
                self.close()
            return
        self._reading_paused = True
        # The transport has been closed, or the reader has paused it because of unread data.
        with contextlib.suppress(OSError, RuntimeError):
            self._transport.pause_reading()

    @property
    def _transport(self) -> asyncio.Transport:
        # uvloop's transports don't derive from the standard library's class.
        return typing.cast(asyncio.Transport, self._writer.transport)

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            with contextlib.suppress(OSError, RuntimeError):
                self._transport.resume_reading()

    def abandon_transaction(self) -> None:
        """Roll the transaction back, if no statement of it runs; its next statement reports it."""
        if self._request_in_progress or self._transaction is None or self._transaction.failed:
            return
        self._transaction.roll_back()
        self._transaction.failed = self._transaction.rollback_unreported = True

    def end_request(self) -> None:
        """Answer the running statement at once; close the session if none runs."""
        if not self._request_in_progress:
            self.close_when_idle()
        elif self._request_limit is not None and not self._request_limit.expired():
            self._request_limit.reschedule(asyncio.get_running_loop().time())

    async def serve(self) -> None:
        """Answer requests until the client disconnects or violates the protocol, or until `close`.

        A transaction that is open at the end is rolled back.
        """
        try:
            if await self._start():
                while await self._serve_request():
                    pass
        except (EOFError, OSError, TimeoutError):
            # The client has disconnected, or became unresponsive inside a message.
            pass
        except asyncio.LimitOverrunError:
            await self._refuse_long_line()
        finally:
            if self._transaction is not None:
                self._end_transaction()
            self.close()

    async def _refuse_long_line(self) -> None:
        """Refuse a line that is too long, after which the session ends.

        What the client still sends is read and discarded. A connection that is closed with unread
        data is reset, and the reset discards a refusal that the client has not read yet.
        """
        if self._transaction is not None:
            self._end_transaction()
        self._send(
            self._host.dialect.encode_error(statements.ErrorCode.TOO_BIG, "the line is too long")
        )
        with contextlib.suppress(OSError, RuntimeError, TimeoutError):
            self._writer.write_eof()
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while await self._reader.read(DISCARD_CHUNK_BYTES):
                    pass

    async def _start(self) -> bool:
        """Handle the start message; return whether the session is accepted."""
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await line_stream.read_line(self._reader)
        dialect = self._host.dialect
        if self._host.refuses_work:
            self._send(
                dialect.encode_error(statements.ErrorCode.BUSY, "the instance stops, try another")
            )
            return False
        match dialect.parse_client_message(line):
            case statements.Start(database, key):
                self._database = database
                self._key_digest = None if key is None else accounts.digest(key)
            case statements.Malformed(reason):
                self._send(dialect.encode_error(statements.ErrorCode.BAD, reason))
                return False
            case _:
                self._send(
                    dialect.encode_error(
                        statements.ErrorCode.BAD, "a session begins with its database"
                    )
                )
                return False
        if not await self._host.wait_for_configuration(CONFIGURATION_TIMEOUT_S):
            self._send(
                dialect.encode_error(
                    statements.ErrorCode.BUSY, "no configuration yet, come back in 1 s"
                )
            )
            return False
        route = self._route()
        if route is None:
            self._send(dialect.encode_error(statements.ErrorCode.NO_DATABASE, "no such database"))
            return False
        verdict = self._host.authorize(route, self._key_digest)
        if isinstance(verdict, authorization.Denial):
            self._count_denial(verdict)
            self._send(dialect.encode_error(_denial_code(verdict), verdict.value))
            return False
        self._send(dialect.encode_ready(self.state, None))
        self._operation_expected_since_s = self._host.clock()
        self._request_in_progress = False
        return True

    def _route(self) -> model.Route | None:
        configuration = self._host.configuration
        return None if configuration is None else configuration.routes.get(self._database)

    async def _serve_request(self) -> bool:
        """Answer one request; return whether the session continues."""
        line = await self._next_line()
        self._request_in_progress = True
        self._operation_expected_since_s = None
        self._resume_reading()
        work_bytes = self._usage.begin(line)
        try:
            match self._host.dialect.parse_client_message(line):
                case statements.Query(request_id, text):
                    await self._answer_query(request_id, text)
                case statements.RefusedQuery(reason):
                    self._reply_error(statements.ErrorCode.BAD, reason)
                case statements.Goodbye():
                    return False
                case _:
                    self._send(
                        self._host.dialect.encode_error(statements.ErrorCode.BAD, "not a request")
                    )
                    return False
            await self._limit_unread()
            if self._budget.spend(len(line) + PIPELINED_WORK_BYTES):
                # A client may have sent many requests at once.
                await asyncio.sleep(0)
        finally:
            self._request_in_progress = False
            self._usage.end(work_bytes)
        may_end = self._transaction is None and self._operation_expected_since_s is None
        # A client may have sent its next request without waiting for the answer.
        if not (self._host.stopping and may_end):
            return True
        return line_stream.has_unread_data(self._reader) or line_stream.has_received_data(
            self._writer
        )

    async def _next_line(self) -> bytes:
        """Read a line; roll the pinned transaction back if the client is idle for too long."""
        open_transaction = self._transaction
        configuration = self._host.configuration
        if open_transaction is None or not open_transaction.pinned or configuration is None:
            return await line_stream.read_line(self._reader)
        task = asyncio.ensure_future(line_stream.read_line(self._reader))
        try:
            if not await self._ends_in_time(task, configuration.transaction_idle_timeout_s):
                _LOG.info(
                    "transaction exceeded its idle limit; rolled back", database=self._database
                )
                open_transaction.roll_back()
                open_transaction.failed = open_transaction.rollback_unreported = True
            return await task
        finally:
            task.cancel()

    async def _ends_in_time(self, task: asyncio.Task[bytes], timeout_s: float) -> bool:
        """Wait for a task; return False if it does not end within a time of silence.

        The time limit is extended once after a stall, since the client's line may have arrived
        without having been read.
        """
        began_at_s = self._host.clock()
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        now_s = self._host.clock()
        if not done and self._host.running_time.stood_still(began_at_s, now_s):
            left_s = timeout_s - self._host.running_time.elapsed_s(began_at_s, now_s)
            done, _ = await asyncio.wait({task}, timeout=left_s)
        return bool(done)

    async def _answer_query(self, request_id: str, text: str) -> None:
        arrived_at_s = self._host.clock()
        dialect = self._host.dialect
        statement = dialect.parse_statement(text)
        if self._transaction is not None and self._transaction.failed:
            self._answer_in_failed_transaction(statement)
            return
        if not self._is_authorized(statement):
            return
        match statement:
            case statements.Begin(read_only):
                self._begin(request_id, text, read_only)
            case statements.SetValue() | statements.Prepare() | statements.Forget():
                self._define(statement)
            case statements.Rollback() if self._transaction is not None:
                self._transaction.roll_back()
                self._transaction = None
                self._reply(dialect.encode_done())
            case statements.Commit() if self._transaction is not None:
                request = self._request(
                    request_id, text, statements.Access.READ, None, arrived_at_s
                )
                await self._run(request, statement)
            case statements.DirectStatement(access):
                request = self._request(request_id, text, access, None, arrived_at_s)
                await self._run(request, statement)
            case statements.Execute(name, arguments):
                prepared = self._prepared_statements.get(name)
                if prepared is None:
                    self._reply_error(
                        statements.ErrorCode.NO_STATEMENT, "no such prepared statement"
                    )
                    return
                member_text = dialect.format_execute(prepared.name, arguments)
                try:
                    dialect.encode_query(request_id, member_text)
                except interfaces.NotEncodable as error:
                    self._reply_not_encodable(error)
                    return
                request = self._request(
                    request_id, member_text, prepared.access, prepared, arrived_at_s
                )
                await self._run(request, statement)
            case _:
                self._reply_error(statements.ErrorCode.BAD, "not a statement, or not in this state")

    def _is_authorized(self, statement: statements.Statement) -> bool:
        """Return whether the session's key permits a statement; answer the statement if not."""
        match statement:
            case (
                statements.Begin()
                | statements.DirectStatement()
                | statements.Execute()
                | statements.Commit()
            ):
                pass
            case _:
                # It reaches a member only with one of the others.
                return True
        route = self._route() if self._transaction is None else self._transaction.route
        if route is None:
            return True
        verdict = self._host.authorize(route, self._key_digest)
        if not isinstance(verdict, authorization.Denial):
            self._denied_since_s = None
            if self._transaction is None:
                self._account = "" if verdict is None else verdict.name
            return True
        if self._transaction is None:
            self._count_denial(verdict)
            self._reply_error(_denial_code(verdict), verdict.value)
            return False
        return self._may_end_transaction(verdict, statement)

    def _may_end_transaction(
        self, denial: authorization.Denial, statement: statements.Statement
    ) -> bool:
        """Return whether an open transaction may go on although its key is denied.

        Otherwise it is rolled back, and its statement is answered.
        """
        now_s = self._host.clock()
        if self._denied_since_s is None:
            self._denied_since_s = now_s
        if (
            not self._host.revocation.strict
            and now_s - self._denied_since_s < REVOKED_TRANSACTION_S
        ):
            return True
        self._count_denial(denial)
        assert self._transaction is not None
        self._transaction.roll_back()
        self._transaction.failed = True
        if isinstance(statement, statements.Commit):
            self._transaction = None
        self._reply_error(statements.ErrorCode.ABORTED, denial.value)
        return False

    def _count_denial(self, denial: authorization.Denial) -> None:
        self._host.counters.denials.inc({"reason": denial.name.lower()})
        _LOG.info("session denied", database=self._database, reason=denial.value)

    def _answer_in_failed_transaction(self, statement: statements.Statement) -> None:
        """Answer a statement inside a failed transaction, which accepts only its end."""
        match statement:
            case statements.Rollback():
                self._end_transaction()
                self._reply(self._host.dialect.encode_done())
            case statements.Commit():
                self._end_transaction()
                self._reply_error(statements.ErrorCode.ABORTED, "the transaction had failed")
            case _ if self._transaction is not None and self._transaction.rollback_unreported:
                self._transaction.rollback_unreported = False
                self._reply_error(statements.ErrorCode.ABORTED, "the transaction was rolled back")
            case _:
                self._reply_error(statements.ErrorCode.BAD, "the transaction has failed")

    def _end_transaction(self) -> None:
        assert self._transaction is not None
        self._transaction.roll_back()
        self._transaction = None

    def _begin(self, request_id: str, text: str, read_only: bool) -> None:
        if self._transaction is not None:
            self._reply_error(statements.ErrorCode.BAD, "already in a transaction")
            return
        if read_only and not self._host.dialect.has_room_for_position(request_id, text):
            self._reply_error(statements.ErrorCode.TOO_BIG, "the request id is too long")
            return
        route = self._route()
        begin_request = transaction.BeginRequest(request_id, text, read_only)
        begun = None if route is None else self._host.begin(begin_request, route, self._account)
        if begun is None:
            self._reply_error(statements.ErrorCode.NO_DATABASE, "no such database")
            return
        self._transaction = begun
        self._reply(self._host.dialect.encode_done())

    def _define(
        self, statement: statements.SetValue | statements.Prepare | statements.Forget
    ) -> None:
        """Store a session value or prepared statement, or drop a prepared statement.

        It is sent to a member only when a statement requires it there.
        """
        if len(self._values) + len(self._prepared_statements) >= MAX_SESSION_DEFINITIONS:
            self._reply_error(
                statements.ErrorCode.TOO_BIG, "too many values and prepared statements"
            )
            return
        dialect = self._host.dialect
        try:
            self._check_definition_bytes(statement)
            match statement:
                case statements.SetValue(name, value):
                    dialect.encode_set_value(name, value)
                    self._values[name] = value
                case statements.Prepare(name, access, text):
                    prepared = execution.PreparedStatement(access, text)
                    dialect.encode_prepare(prepared.name, access, text)
                    self._prepared_statements[name] = prepared
                case statements.Forget(name):
                    self._prepared_statements.pop(name, None)
        except interfaces.NotEncodable as error:
            self._reply_not_encodable(error)
            return
        self._operation_expected_since_s = self._host.clock()
        self._reply(dialect.encode_done())

    def _check_definition_bytes(
        self, statement: statements.SetValue | statements.Prepare | statements.Forget
    ) -> None:
        """Raise TooLong if a definition exceeds what a session may have."""
        match statement:
            case statements.SetValue(added, text) | statements.Prepare(added, _, text):
                pass
            case _:
                return
        values = dict(self._values)
        prepared = {name: each.text for name, each in self._prepared_statements.items()}
        (values if isinstance(statement, statements.SetValue) else prepared)[added] = text
        size = sum(
            len(name.encode()) + len(definition.encode())
            for name, definition in [*values.items(), *prepared.items()]
        )
        if size > MAX_DEFINITION_BYTES:
            raise interfaces.TooLong("too long values and prepared statements")
        if not self._usage.define(size):
            raise interfaces.TooLong("no room for more values and prepared statements")

    def _request(
        self,
        request_id: str,
        text: str,
        access: statements.Access,
        prepared_statement: execution.PreparedStatement | None,
        arrived_at_s: float,
    ) -> execution.Request | None:
        """Return the request to run; None if the database has no route any more."""
        route = self._route() if self._transaction is None else self._transaction.route
        if route is None:
            return None
        return execution.Request(
            request_id,
            text,
            access,
            prepared_statement,
            arrived_at_s,
            route,
            self._values,
            self._last_write,
            self._account,
        )

    async def _run(
        self, request: execution.Request | None, statement: statements.Statement
    ) -> None:
        """Run a statement at a member and send its outcome to the client."""
        runner = (
            None
            if request is None
            else self._host.runner(request.route.service, request.primary_only, request.account)
        )
        if request is None or runner is None:
            self._reply_error(statements.ErrorCode.NO_DATABASE, "no such database")
            return
        if self._transaction is None and self._host.refuses_work:
            self._reply_error(statements.ErrorCode.BUSY, "the instance stops, try another")
            return
        trace = execution.Trace()
        wrote = False
        try:
            async with asyncio.timeout(None) as self._request_limit:
                outcome, wrote = await self._execute(request, statement, runner, trace)
        except TimeoutError:
            trace.cause = "the instance stops"
            outcome = self._unfinished_outcome(request, statement)
        finally:
            self._request_limit = None
        self._record_position(outcome, wrote)
        outcome, result = self._encode_result(request, statement, outcome)
        self._log_request(request, statement, outcome, trace)
        if outcome.failure is not None:
            self._reply_error(outcome.failure.code, outcome.failure.text)
        else:
            self._reply(result)

    def _encode_result(
        self,
        request: execution.Request,
        statement: statements.Statement,
        outcome: execution.Outcome,
    ) -> tuple[execution.Outcome, bytes]:
        """Encode the result of a statement.

        Returns:
          The outcome and the lines of its result. A result that no line can carry is a failure; the
          statement has run then.
        """
        if outcome.failure is not None:
            return outcome, b""
        # Another instance may send a result without its last line, which can't be encoded either.
        lines = [*outcome.rows, outcome.done or b""]
        encode = self._host.dialect.encode_result_line
        try:
            return outcome, b"".join(encode(line) for line in lines)
        except interfaces.NotEncodable as error:
            _LOG.warning("result that can't be sent to the client", error=str(error))
        code = statements.ErrorCode.FAILED
        if self._transaction is not None:
            self._transaction.roll_back()
            self._transaction.failed = True
            code = statements.ErrorCode.ABORTED
        elif isinstance(statement, statements.Commit) or request.access is statements.Access.WRITE:
            code = statements.ErrorCode.UNKNOWN_OUTCOME
        return execution.failure_outcome(code, "the result can't be sent", outcome.reply), b""

    async def _execute(
        self,
        request: execution.Request,
        statement: statements.Statement,
        runner: execution.Runner,
        trace: execution.Trace,
    ) -> tuple[execution.Outcome, bool]:
        """Run a statement; return its outcome and whether that of a write."""
        current = self._transaction
        match statement:
            case statements.Commit():
                assert current is not None
                outcome = await current.commit(request, trace)
                self._transaction = None
                return outcome, outcome.leader is not None
            case _ if current is not None:
                return await current.run(request, trace), False
            case _ if request.access is statements.Access.WRITE:
                return await runner.run_write(request, trace), True
            case _:
                return await runner.run_read(request, trace), False

    def _unfinished_outcome(
        self, request: execution.Request, statement: statements.Statement
    ) -> execution.Outcome:
        """Return the outcome of a statement that is still running when the instance ends."""
        current = self._transaction
        if current is not None:
            current.roll_back()
            if not isinstance(statement, statements.Commit):
                current.failed = True
                return execution.failure_outcome(
                    statements.ErrorCode.ABORTED, "the transaction was rolled back"
                )
            self._transaction = None
        elif request.access is statements.Access.READ:
            return execution.failure_outcome(statements.ErrorCode.TIMEOUT, "no answer in time")
        return execution.failure_outcome(
            statements.ErrorCode.UNKNOWN_OUTCOME, "no answer before the instance stopped"
        )

    def _record_position(self, outcome: execution.Outcome, wrote: bool) -> None:
        reply = outcome.reply
        if reply is None or reply.position is None:
            return
        self._position = reply.position
        if wrote and outcome.done is not None and outcome.leader is not None:
            sample = freshness.Sample(reply.request_sent_at_s, reply.position)
            self._last_write = freshness.LastWritePosition(outcome.leader.term, sample)

    def _log_request(
        self,
        request: execution.Request,
        statement: statements.Statement,
        outcome: execution.Outcome,
        trace: execution.Trace,
    ) -> None:
        """Count a request and log how it was processed."""
        took_s = self._host.clock() - request.arrived_at_s
        kind = "commit" if isinstance(statement, statements.Commit) else request.access.value
        code = "done" if outcome.failure is None else outcome.failure.code.value
        self._host.counters.requests.inc({"kind": kind, "outcome": code})
        self._host.counters.request_seconds.observe({"kind": kind}, took_s)
        _LOG.info(
            "request ended",
            id=request.id[:MAX_LOGGED_ID_CHARACTERS],
            database=self._database,
            account=self._account,
            kind=kind,
            consistency=request.route.consistency.value,
            transaction=self._transaction is not None or kind == "commit",
            outcome=code,
            took_ms=round(took_s * 1000),
            **trace.fields(),
        )

    def _reply_error(self, code: statements.ErrorCode, text: str) -> None:
        dialect = self._host.dialect
        try:
            line = dialect.encode_error(code, text)
        except interfaces.NotEncodable:
            # The text of another instance.
            line = dialect.encode_error(code, "no explanation")
        self._reply(line)

    def _reply_not_encodable(self, error: interfaces.NotEncodable) -> None:
        """Answer a statement that did not run, because no member can receive it."""
        too_long = isinstance(error, interfaces.TooLong)
        code = statements.ErrorCode.TOO_BIG if too_long else statements.ErrorCode.BAD
        self._reply_error(code, str(error))

    def _reply(self, lines: bytes) -> None:
        self._send(lines + self._host.dialect.encode_ready(self.state, self._position))

    def _send(self, data: bytes) -> None:
        with contextlib.suppress(member_link.Lost):
            member_link.write(self._writer, data)

    async def _limit_unread(self) -> None:
        """Wait while the client has too much unread; raise TimeoutError if that lasts too long."""
        unread_bytes = self._writer.transport.get_write_buffer_size()
        if unread_bytes > MAX_UNREAD_BYTES:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._usage.wait_until_read(self._writer)
        elif unread_bytes and self._usage.leaves_unread(unread_bytes):
            await self._usage.wait_until_read(self._writer)


def _denial_code(denial: authorization.Denial) -> statements.ErrorCode:
    """Return the code with which a denied statement is answered; it has not run."""
    match denial:
        case authorization.Denial.UNKNOWN_KEY:
            return statements.ErrorCode.NOT_AUTHORIZED
        case authorization.Denial.NOT_VERIFIED:
            return statements.ErrorCode.BUSY
