"""Runs statements that other instances forward to this one, an owner of the group."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import loguru
import msgspec

from bilberrystack.pooling import connection_budget
from bilberrystack.pooling import execution
from bilberrystack.pooling import frames
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.pooling import turns
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="owner")

# Maximum number of open transactions on one link, so that a peer can't exhaust the memory.
MAX_TRANSACTIONS = 4_096

ExecutorLookup = collections.abc.Callable[[str], "execution.Executor | None"]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A request as received, with what it runs on.

    Attributes:
      request: The request as received.
      decoded: The request as the executor runs it.
      executor: Runs the group's statements; None if this instance can't serve the group.
      route_superseded: Whether a newer configuration has removed or moved the request's route.
      account_removed: Whether a newer configuration has removed the request's client account.
      transaction: The request's transaction; None outside one, or if it is not open.
    """

    request: frames.ForwardedRequest
    decoded: execution.Request
    executor: execution.Executor | None
    route_superseded: bool
    account_removed: bool
    transaction: transaction.Transaction | None


class OwnerServer:
    """Runs the statements that other instances forward.

    Attributes:
      stopping: Whether new work is declined, so that the sender turns to another owner.
      refusing: Whether statements of open transactions are declined, too.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_directory",
        "_executor_of",
        "_link_transactions",
        "_link_writers",
        "_running_requests",
        "_tasks",
        "refusing",
        "stopping",
    )

    def __init__(
        self,
        executor_of: ExecutorLookup,
        directory: interfaces.ConfigurationSource,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
    ) -> None:
        """Create a server.

        Args:
          executor_of: Returns the executor of a group; None for an unknown group.
          directory: The configuration.
          dialect: The members' protocol.
          clock: Returns the current time in seconds.
          background_tasks: Holds the tasks of the requests.
        """
        self._executor_of = executor_of
        self._directory = directory
        self._running_requests = 0
        self._link_transactions: list[dict[int, transaction.Transaction]] = []
        self._link_writers: set[asyncio.StreamWriter] = set()
        self.stopping = False
        self.refusing = False
        self._dialect = dialect
        self._clock = clock
        self._tasks = background_tasks

    @property
    def running_requests(self) -> int:
        """Number of requests that have not been answered."""
        return self._running_requests

    @property
    def open_transactions(self) -> int:
        """Number of transactions that are open, on all links together."""
        return sum(map(len, self._link_transactions))

    def begin_stop(self) -> None:
        """Begin nothing new, and tell the senders so.

        A sender can't tell whether a request that it sends as the process ends has run.
        """
        self.stopping = True
        for writer in self._link_writers:
            self._send_stop_notice(writer)

    def _send_stop_notice(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(member_link.Lost):
            member_link.write(writer, frames.pack(frames.stop_notice()))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link until it ends; then roll back the transactions that are open on it.

        Args:
          reader: The link's reader.
          writer: The link's writer.
        """
        open_transactions: dict[int, transaction.Transaction] = {}
        self._link_transactions.append(open_transactions)
        self._link_writers.add(writer)
        if self.stopping:
            self._send_stop_notice(writer)
        budget = turns.Budget()
        usage = connection_budget.usage_of(reader)
        try:
            while True:
                if usage.leaves_unread(writer.transport.get_write_buffer_size()):
                    await usage.wait_until_read(writer)
                await usage.wait_for_room()
                # No variable here keeps a frame while the next one is awaited.
                frame_bytes = self._take_frame(
                    await frames.read_body(reader), writer, open_transactions, usage
                )
                if budget.spend(frame_bytes + turns.MESSAGE_WORK_BYTES):
                    await asyncio.sleep(0)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            _LOG.warning(
                "malformed frame from another instance; closing the link", error=str(error)
            )
        finally:
            self._link_writers.discard(writer)
            self._link_transactions = [
                transactions
                for transactions in self._link_transactions
                if transactions is not open_transactions
            ]
            for abandoned in open_transactions.values():
                abandoned.roll_back()

    def _take_frame(
        self,
        body: bytes,
        writer: asyncio.StreamWriter,
        open_transactions: dict[int, transaction.Transaction],
        usage: connection_budget.Usage,
    ) -> int:
        """Start the request of a frame, or refuse it; return the size of the frame.

        The transaction is registered before the next frame is read, which may end it.

        Raises:
          msgspec.MsgspecError, RecursionError, ValueError: The frame is malformed.
        """
        request = frames.unpack_request(body)
        if request.kind == "leave":
            abandoned = open_transactions.pop(request.transaction_number, None)
            if abandoned is not None:
                abandoned.roll_back()
            return len(body)
        try:
            accepted = self._accept(request, open_transactions)
        except interfaces.NotEncodable as error:
            _LOG.warning("request that no member can receive refused", error=str(error))
            current = open_transactions.get(request.transaction_number)
            self._refuse(request, writer, current, str(error))
        except (ArithmeticError, LookupError, TypeError, ValueError) as error:
            # Another version's request, for example. The link serves other clients, too.
            _LOG.warning("request that can't be decoded declined", error=str(error))
            self._decline(request, writer)
        else:
            work_bytes = usage.begin(body)
            self._tasks.start(self._answer(accepted, writer, open_transactions, usage, work_bytes))
        return len(body)

    def _decline(self, request: frames.ForwardedRequest, writer: asyncio.StreamWriter) -> None:
        """Answer that this owner can't serve a request, so that the sender turns to another."""
        outcome = self._failure(
            request, statements.ErrorCode.BUSY, "the owner can't serve the group"
        )
        with contextlib.suppress(member_link.Lost):
            member_link.write(writer, frames.pack(msgspec.structs.replace(outcome, declined=True)))

    def _refuse(
        self,
        request: frames.ForwardedRequest,
        writer: asyncio.StreamWriter,
        current: transaction.Transaction | None,
        reason: str,
    ) -> None:
        """Answer that a request did not run and that no owner can run it."""
        outcome = self._failure(request, statements.ErrorCode.BAD, reason, current)
        with contextlib.suppress(member_link.Lost):
            member_link.write(writer, frames.pack(outcome))

    def _failure(
        self,
        request: frames.ForwardedRequest,
        code: statements.ErrorCode,
        text: str,
        current: transaction.Transaction | None = None,
    ) -> frames.ForwardedOutcome:
        return frames.encode_outcome(
            request.sequence_number,
            execution.failure_outcome(code, text),
            execution.Trace(),
            self._clock(),
            current,
        )

    async def _answer(
        self,
        accepted: "AcceptedRequest",
        writer: asyncio.StreamWriter,
        open_transactions: dict[int, transaction.Transaction],
        usage: connection_budget.Usage,
        work_bytes: int,
    ) -> None:
        self._running_requests += 1
        try:
            outcome = await self._run(accepted, open_transactions)
        finally:
            self._running_requests -= 1
            usage.end(work_bytes)
        frame = frames.pack(outcome)
        if len(frame) > frames.MAX_FRAME_BYTES:
            frame = frames.pack(self._without_result(accepted.request, outcome))
        # If the sender has gone, its client can't receive the outcome through this instance.
        with contextlib.suppress(member_link.Lost):
            member_link.write(writer, frame)

    def _without_result(
        self, request: frames.ForwardedRequest, outcome: frames.ForwardedOutcome
    ) -> frames.ForwardedOutcome:
        """Return the outcome of a statement that has run, but whose result no frame can carry."""
        _LOG.warning("result that no frame can carry", rows=len(outcome.rows))
        reads = request.kind != "commit" and request.access == statements.Access.READ.value
        code = statements.ErrorCode.FAILED if reads else statements.ErrorCode.UNKNOWN_OUTCOME
        return msgspec.structs.replace(
            outcome, rows=[], done=None, error_code=code.value, error_text="the result is too long"
        )

    def _accept(
        self,
        request: frames.ForwardedRequest,
        open_transactions: dict[int, transaction.Transaction],
    ) -> "AcceptedRequest":
        """Determine what runs a request; begin its transaction if the request is its first.

        Raises:
          interfaces.NotEncodable: No member can receive the request.
          ArithmeticError, LookupError, TypeError, ValueError: The request can't be decoded.
        """
        decoded = frames.decode_request(request, self._clock())
        self._check_encodable(request, decoded)
        begun = request.transaction_number in open_transactions
        declined = self.refusing or (self.stopping and not begun)
        executor = None if declined else self._executor_of(request.service)
        writes = request.begin is not None and not request.begin.read_only
        if (
            executor is not None
            and not begun
            and executor.group.connection_limit_reached(decoded.primary_only or writes)
        ):
            executor = None
        self._directory.observe_version(request.configuration_version)
        superseded, removed = self._route_superseded(request), self._account_removed(request)
        current: transaction.Transaction | None = None
        if executor is not None and not (superseded or removed) and request.transaction_number:
            current = self._find_or_begin(request, decoded, executor, open_transactions)
        return AcceptedRequest(request, decoded, executor, superseded, removed, current)

    def _check_encodable(
        self, request: frames.ForwardedRequest, decoded: execution.Request
    ) -> None:
        """Raise NotEncodable if a member can't receive what another instance has sent."""
        if decoded.account:
            self._dialect.encode_member_start(decoded.route.service, decoded.account, "-")
        self._dialect.encode_query(decoded.id, decoded.text)
        for name, value in decoded.values.items():
            self._dialect.encode_set_value(name, value)
        prepared = decoded.prepared_statement
        if prepared is not None:
            self._dialect.encode_prepare(prepared.name, prepared.access, prepared.text)
        begin = request.begin
        if begin is not None:
            self._dialect.encode_query(begin.id, begin.text)
            if begin.read_only and not self._dialect.has_room_for_position(begin.id, begin.text):
                raise interfaces.TooLong("the begin has no room for a position")

    async def _run(
        self,
        accepted: "AcceptedRequest",
        open_transactions: dict[int, transaction.Transaction],
    ) -> frames.ForwardedOutcome:
        trace = execution.Trace()
        request, decoded = accepted.request, accepted.decoded
        executor, current = accepted.executor, accepted.transaction
        if executor is None:
            outcome = execution.failure_outcome(
                statements.ErrorCode.BUSY, "the owner can't serve the group"
            )
        elif accepted.route_superseded:
            outcome = execution.failure_outcome(
                statements.ErrorCode.NO_DATABASE, "no such database any more"
            )
        elif accepted.account_removed:
            outcome = execution.failure_outcome(
                statements.ErrorCode.NOT_AUTHORIZED, "no such account any more"
            )
        elif request.transaction_number:
            outcome = await self._run_in_transaction(
                request, decoded, trace, current, open_transactions
            )
        elif request.kind == "write":
            outcome = await executor.run_write(decoded, trace)
        else:
            outcome = await executor.run_read(decoded, trace)
        return msgspec.structs.replace(
            frames.encode_outcome(request.sequence_number, outcome, trace, self._clock(), current),
            declined=executor is None,
            configuration_version=self._directory.version,
        )

    def _route_superseded(self, request: frames.ForwardedRequest) -> bool:
        """Return whether a newer configuration than the sender's has removed or moved the route.

        An open transaction keeps the route with which it began.
        """
        configuration = self._directory.configuration
        in_open_transaction = request.transaction_number and request.begin is None
        if (
            in_open_transaction
            or configuration is None
            or configuration.version <= request.configuration_version
        ):
            return False
        route = configuration.routes.get(request.database)
        return route is None or route.service != request.service

    def _account_removed(self, request: frames.ForwardedRequest) -> bool:
        """Return whether a newer configuration than the sender's has removed the account.

        An open transaction may end under the account with which it began.
        """
        configuration = self._directory.configuration
        return (
            request.account != ""
            and not (request.transaction_number and request.begin is None)
            and configuration is not None
            and configuration.version > request.configuration_version
            and configuration.accounts is not None
            and request.account not in configuration.accounts.by_name
        )

    def _find_or_begin(
        self,
        request: frames.ForwardedRequest,
        decoded: execution.Request,
        executor: execution.Executor,
        open_transactions: dict[int, transaction.Transaction],
    ) -> transaction.Transaction | None:
        """Return the request's transaction, after creating it if the request is its first.

        Returns:
          The transaction; None if it is not open or the link has too many.
        """
        known = open_transactions.get(request.transaction_number)
        if known is not None or request.begin is None:
            return known
        if len(open_transactions) >= MAX_TRANSACTIONS:
            return None
        begin_request = transaction.BeginRequest(
            request.begin.id, request.begin.text, request.begin.read_only
        )
        begun = transaction.Transaction(begin_request, decoded.route, executor, self._dialect)
        open_transactions[request.transaction_number] = begun
        return begun

    async def _run_in_transaction(
        self,
        request: frames.ForwardedRequest,
        decoded: execution.Request,
        trace: execution.Trace,
        current: transaction.Transaction | None,
        open_transactions: dict[int, transaction.Transaction],
    ) -> execution.Outcome:
        if current is None:
            return execution.failure_outcome(
                statements.ErrorCode.ABORTED, "the transaction was rolled back"
            )
        if request.kind != "commit":
            return await current.run(decoded, trace)
        open_transactions.pop(request.transaction_number, None)
        return await current.commit(decoded, trace)
