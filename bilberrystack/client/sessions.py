"""Sessions and transactions of the client library."""

import asyncio
import dataclasses
import time

from bilberrystack.client import gateway
from bilberrystack.client import results
from bilberrystack.core import requests
from bilberrystack.gen.callers import ttypes
from bilberrystack.wire import failures

DEFAULT_TIMEOUT_S = 10.0

# Maximum number of requests in flight per session, which bounds the number of tokens per request.
MAX_REQUESTS_IN_FLIGHT = 64

# Additional wait for the answer after a request's deadline: the proxy answers by the deadline, and
# the answer takes time to arrive.
ANSWER_MARGIN_S = 0.1

# Delay before a request is sent again to the same proxy.
_RETRY_DELAY_S = 0.02

# Maximum number of lost connections per request. The request itself may be the cause, for example
# if it exceeds the proxy's frame size limit; then every further attempt closes a connection.
MAX_LOST_CONNECTIONS = 16

_Kind = requests.Kind
_Reason = results.NotRunReason

# Kinds that may be sent again after a lost connection. A repeated idempotent write carries the same
# key, so it runs again only if the member no longer has a record of the key.
_REPEATABLE_KINDS = frozenset(
    (_Kind.READ, _Kind.IDEMPOTENT_WRITE, _Kind.BEGIN, _Kind.ABORT, _Kind.RESOLVE)
)

# Kinds whose outcome is resolved by their key after a lost connection.
_RESOLVABLE_KINDS = frozenset((_Kind.WRITE, _Kind.COMMIT))

_KINDS_WITHOUT_EFFECT = frozenset((_Kind.READ, _Kind.BEGIN))

# Reasons of a rejection after which another proxy may serve the request.
_RETRY_ELSEWHERE_REASONS = frozenset((_Reason.LEAVING, _Reason.STALE_CONFIGURATION))


@dataclasses.dataclass(frozen=True, slots=True)
class SavedSession:
    """State of a session that can be passed to another process.

    Attributes:
      id: The session's id.
      tokens: Tokens, which encode the positions that the session has observed.
      next_sequence: The next unused sequence number. A request with a used number would receive the
        answer of the earlier request.
    """

    id: str
    tokens: tuple[bytes, ...]
    next_sequence: int


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """State of a request across its attempts.

    Attributes:
      kind: Kind of the request.
      sequence: Sequence number, the same for all attempts until the request is cancelled.
      group: Name of the database group.
      body: The statement.
      max_age_ms: Maximum age of the data that a read accepts, in milliseconds; None for the group's
        default.
      deadline: Time on the event loop's clock after which the request fails, in seconds.
      transaction: Id of the transaction; None outside a transaction.
      may_have_run: Whether an attempt may have taken effect.
      resolving: Whether the next attempt resolves the outcome instead of running the request.
      lost_connections: Number of attempts that ended with a lost connection or an internal error
        of the proxy.
    """

    kind: requests.Kind
    sequence: int
    group: str
    body: bytes
    max_age_ms: int | None
    deadline: float
    transaction: str | None
    may_have_run: bool = False
    resolving: bool = False
    lost_connections: int = 0

    def build_message(self, tokens: list[bytes], remaining_s: float) -> ttypes.Request:
        """Build the message of the next attempt."""
        resolving = self.resolving
        return ttypes.Request(
            self.sequence,
            tokens,
            self.group,
            _Kind.RESOLVE.value if resolving else self.kind.value,
            b"" if resolving else self.body,
            self.max_age_ms,
            max(1, int(remaining_s * 1000)),
            None if resolving else self.transaction,
        )

    def record_unknown_outcome(self) -> bool:
        """Record that an attempt was sent and its outcome is unknown.

        Returns:
          Whether another attempt is allowed.
        """
        if self.kind in _RESOLVABLE_KINDS:
            self.resolving = True
        self.may_have_run = self.may_have_run or self.kind not in _KINDS_WITHOUT_EFFECT
        self.lost_connections += 1
        if self.lost_connections > MAX_LOST_CONNECTIONS:
            return False
        return self.resolving or self.kind in _REPEATABLE_KINDS

    def reissue(self, sequence: int) -> None:
        """Continue with a new sequence number after the old one was cancelled.

        A request can't take effect under a cancelled sequence number.
        """
        self.sequence = sequence
        self.resolving = False
        self.may_have_run = False

    def final_outcome(self, refusal: results.NotRun) -> results.NotRun | results.Unknown:
        """Return the final outcome after the last attempt was rejected."""
        if not self.may_have_run or refusal.reason is _Reason.CANCELLED:
            return refusal
        return results.Unknown(results.UnknownReason.CONNECTION_LOST, refusal.detail)


class Session:
    """Session, whose reads observe its own writes at every proxy.

    Requests of a session may run concurrently.
    """

    __slots__ = ("_gateway", "_id", "_loop", "_request_slots", "_sequence", "_tokens")

    def __init__(self, proxy_gateway: gateway.Gateway, saved: SavedSession) -> None:
        self._gateway = proxy_gateway
        self._id = saved.id
        self._tokens: dict[bytes, None] = dict.fromkeys(saved.tokens)
        self._sequence = saved.next_sequence
        self._request_slots = asyncio.Semaphore(MAX_REQUESTS_IN_FLIGHT)
        self._loop = asyncio.get_running_loop()

    @property
    def id(self) -> str:
        """The session's id."""
        return self._id

    def save(self) -> SavedSession:
        """Save the session for another process.

        Only one process at a time may use a session.

        Returns:
          The state for Client.restore.
        """
        return SavedSession(self._id, tuple(self._tokens), self._sequence)

    async def read(
        self,
        group: str,
        body: bytes,
        *,
        max_age_s: float | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> results.Outcome:
        """Read from a database group.

        Args:
          group: Name of the group.
          body: The statement.
          max_age_s: Maximum age of the data, in seconds; None for the group's default.
          timeout_s: Maximum time to wait for the answer, in seconds.
        Returns:
          The outcome.
        Raises:
          Rejected: A proxy rejected the caller or the session.
        """
        max_age_ms = None if max_age_s is None else int(max_age_s * 1000)
        outcome, _ = await self._run(_Kind.READ, group, body, timeout_s, max_age_ms=max_age_ms)
        return outcome

    async def write(
        self,
        group: str,
        body: bytes,
        *,
        idempotent: bool = False,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> results.Outcome:
        """Write to a database group.

        Args:
          group: Name of the group.
          body: The statement.
          idempotent: Whether the statement may run more than once. Otherwise its outcome is
            resolved after a failure, and it is sent again only after the failed attempt was
            cancelled, so that this attempt can't take effect.
          timeout_s: Maximum time to wait for the answer, in seconds.
        Returns:
          The outcome.
        Raises:
          Rejected: A proxy rejected the caller or the session.
        """
        kind = _Kind.IDEMPOTENT_WRITE if idempotent else _Kind.WRITE
        outcome, _ = await self._run(kind, group, body, timeout_s)
        return outcome

    def transaction(self, group: str, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> "Transaction":
        """Create a transaction.

        Args:
          group: Name of the group.
          timeout_s: Maximum time to wait for the start and for the end of the transaction each, in
            seconds.
        Returns:
          The transaction, to be used as an asynchronous context manager. It commits at the end of
          the context, or aborts after an exception.
        """
        return Transaction(self, group, timeout_s)

    async def _run(
        self,
        kind: requests.Kind,
        group: str,
        body: bytes,
        timeout_s: float,
        *,
        transaction: str | None = None,
        max_age_ms: int | None = None,
    ) -> tuple[results.Outcome, str | None]:
        """Run a request; return its outcome and the id of the transaction that it began, if any."""
        deadline = self._loop.time() + timeout_s
        sequence = self._next_sequence()
        pending = _PendingRequest(kind, sequence, group, body, max_age_ms, deadline, transaction)
        async with self._request_slots:
            return await self._run_attempts(pending)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence - 1

    async def _run_attempts(self, pending: _PendingRequest) -> tuple[results.Outcome, str | None]:
        refusal = results.NotRun(_Reason.DEADLINE_BEFORE_SEND, "no proxy took the request in time")
        while True:
            remaining_s = pending.deadline - self._loop.time()
            if remaining_s <= 0:
                return pending.final_outcome(refusal), None
            try:
                connection = await self._gateway.acquire_connection(self._id, pending.deadline)
            except results.NoProxy as failure:
                detail = str(failure)
                return (
                    pending.final_outcome(results.NotRun(_Reason.OWNER_UNREACHABLE, detail)),
                    None,
                )
            tokens = list(self._tokens)
            message = pending.build_message(tokens, pending.deadline - self._loop.time())
            try:
                async with asyncio.timeout_at(pending.deadline + ANSWER_MARGIN_S):
                    reply = await connection.call("execute", message)
            except failures.ConnectionClosed as closed:
                self._gateway.retire(connection)
                if closed.sent and not pending.record_unknown_outcome():
                    return _unknown_outcome(str(closed)), None
                continue
            except failures.FrameTooLarge as failure:
                return (
                    pending.final_outcome(results.NotRun(_Reason.INVALID_REQUEST, str(failure))),
                    None,
                )
            except failures.RemoteFailure as failure:
                if not pending.record_unknown_outcome():
                    return _unknown_outcome(str(failure)), None
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            except TimeoutError:
                reason = results.UnknownReason.DEADLINE_AFTER_SEND
                return results.Unknown(reason, "no answer by the deadline"), None
            except ttypes.CallerFailure as failure:
                raise results.Rejected(failure.code, failure.detail) from failure
            if reply.answer is not None:
                return self._record_answer(reply.answer, tokens)
            if reply.unknown is not None:
                reason = _decode_unknown_reason(reply.unknown.reason)
                return results.Unknown(reason, reply.unknown.detail), None
            refusal = _decode_refusal(reply.not_run)
            if refusal.reason in _RETRY_ELSEWHERE_REASONS:
                self._gateway.retire(connection)
            elif pending.resolving and refusal.reason is _Reason.CANCELLED:
                pending.reissue(self._next_sequence())
            elif pending.resolving:
                await asyncio.sleep(_RETRY_DELAY_S)
            else:
                return pending.final_outcome(refusal), None

    def _record_answer(
        self, answer: ttypes.Answer, sent: list[bytes]
    ) -> tuple[results.Outcome, str | None]:
        """Replace the tokens that the request carried by the token of its answer."""
        for token in sent:
            self._tokens.pop(token, None)
        self._tokens[answer.token] = None
        outcome = results.Answer(
            answer.body, answer.served_by, answer.from_replica, answer.duplicate
        )
        return outcome, answer.transaction


class Transaction:
    """Transaction of one database group.

    Its statements must run one after the other. It must be used as an asynchronous context manager.
    """

    __slots__ = ("_failure", "_group", "_id", "_session", "_timeout_s")

    def __init__(self, session: Session, group: str, timeout_s: float) -> None:
        self._session = session
        self._group = group
        self._timeout_s = timeout_s
        self._id: str | None = None
        self._failure: results.NotRun | results.Unknown | None = None

    async def __aenter__(self) -> "Transaction":
        outcome, transaction = await self._session._run(
            _Kind.BEGIN, self._group, b"", self._timeout_s
        )
        if not isinstance(outcome, results.Answer):
            raise results.TransactionFailed(outcome)
        self._id = transaction
        return self

    async def __aexit__(
        self, exception_type: type[BaseException] | None, *_exception: object
    ) -> None:
        if self._id is None:
            return
        if exception_type is not None or self._failure is not None:
            await self.abort()
            if exception_type is None and self._failure is not None:
                raise results.TransactionFailed(self._failure)
            return
        outcome = await self.commit()
        if not isinstance(outcome, results.Answer):
            raise results.TransactionFailed(outcome)

    async def execute(
        self, body: bytes, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> results.Outcome:
        """Run a statement in the transaction.

        After an unknown outcome, the transaction can only be aborted.

        Args:
          body: The statement.
          timeout_s: Maximum time to wait for the answer, in seconds.
        Returns:
          The outcome.
        Raises:
          Rejected: A proxy rejected the caller or the session.
        """
        if self._id is None or self._failure is not None:
            return results.NotRun(_Reason.TRANSACTION_ABORTED, "the transaction is over")
        outcome, _ = await self._session._run(
            _Kind.STATEMENT, self._group, body, timeout_s, transaction=self._id
        )
        aborted = (
            isinstance(outcome, results.NotRun) and outcome.reason in _TRANSACTION_ENDING_REASONS
        )
        if not isinstance(outcome, results.Answer) and (
            aborted or isinstance(outcome, results.Unknown)
        ):
            self._failure = results.NotRun(_Reason.TRANSACTION_ABORTED, outcome.detail)
        return outcome

    async def commit(self) -> results.Outcome:
        """Commit the transaction before the end of the context, which then sends nothing."""
        return await self._end(_Kind.COMMIT)

    async def abort(self) -> results.Outcome:
        """Abort the transaction before the end of the context, which then sends nothing."""
        return await self._end(_Kind.ABORT)

    async def _end(self, kind: requests.Kind) -> results.Outcome:
        transaction, self._id = self._id, None
        if transaction is None:
            return results.NotRun(_Reason.TRANSACTION_ABORTED, "the transaction is over")
        outcome, _ = await self._session._run(
            kind, self._group, b"", self._timeout_s, transaction=transaction
        )
        return outcome


# Reasons of a rejected statement that show that its transaction has ended.
_TRANSACTION_ENDING_REASONS = frozenset((_Reason.TRANSACTION_ABORTED, _Reason.OWNER_UNREACHABLE))

_NOT_RUN_REASONS = {reason.value: reason for reason in results.NotRunReason}
_UNKNOWN_REASONS = {reason.value: reason for reason in results.UnknownReason}


def first_sequence() -> int:
    """Return a sequence number above all numbers that earlier processes used for the session."""
    return time.time_ns() // 1000


def _decode_refusal(message: ttypes.NotRun) -> results.NotRun:
    reason = _NOT_RUN_REASONS.get(message.reason, _Reason.INVALID_REQUEST)
    return results.NotRun(reason, message.detail, message.retry_after_ms / 1000)


def _decode_unknown_reason(value: int) -> results.UnknownReason:
    return _UNKNOWN_REASONS.get(value, results.UnknownReason.CONNECTION_LOST)


def _unknown_outcome(detail: str) -> results.Unknown:
    return results.Unknown(results.UnknownReason.CONNECTION_LOST, detail)
