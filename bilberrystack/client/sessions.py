"""Sessions and transactions of a caller."""

import asyncio
import dataclasses
import time

from bilberrystack.client import gateway
from bilberrystack.client import results
from bilberrystack.core import requests
from bilberrystack.gen.callers import ttypes
from bilberrystack.wire import failures

DEFAULT_TIMEOUT_S = 10.0

# Requests of one session in flight, which bounds the tokens that a request carries.
MAX_IN_FLIGHT = 64

# The proxy answers by the deadline; its answer needs some time to arrive.
ANSWER_MARGIN_S = 0.1

_PAUSE_S = 0.02

# Connections that may break under one request. More would repeat what breaks them, for example a
# request that is longer than the proxy's limit.
MAX_LOST_CONNECTIONS = 16

_Kind = requests.Kind
_Reason = results.NotRunReason

# Kinds that may be sent again after the connection broke. A repeated idempotent write carries the
# same key, so it runs once more only if its record is out of the member's window.
_REPEATABLE = frozenset(
    (_Kind.READ, _Kind.IDEMPOTENT_WRITE, _Kind.BEGIN, _Kind.ABORT, _Kind.RESOLVE)
)
_RESOLVABLE = frozenset((_Kind.WRITE, _Kind.COMMIT))
_WITHOUT_EFFECT = frozenset((_Kind.READ, _Kind.BEGIN))

# Refusals of a proxy after which another one can serve the request.
_MOVE_ON = frozenset((_Reason.LEAVING, _Reason.STALE_CONFIGURATION))


@dataclasses.dataclass(frozen=True, slots=True)
class SavedSession:
    """A session as it can be handed to another process.

    Attributes:
      id: The session's id.
      tokens: What it has seen.
      next_sequence: The next sequence number; a number that is used twice would return the answer
        of the earlier request.
    """

    id: str
    tokens: tuple[bytes, ...]
    next_sequence: int


@dataclasses.dataclass(slots=True)
class _Attempts:
    """One request over all of its attempts.

    Attributes:
      kind: What it does.
      sequence: Its sequence number, the same in all attempts unless it was cancelled.
      group: The database group.
      body: The statement.
      max_age_ms: The oldest data accepted, None for the group's default.
      deadline: When to give up, in seconds of the runtime's clock.
      transaction: The transaction's id, if any.
      maybe_ran: Whether an attempt with an effect may have run.
      resolving: Whether only its outcome is to be found out.
      lost_connections: Connections that broke under it.
    """

    kind: requests.Kind
    sequence: int
    group: str
    body: bytes
    max_age_ms: int | None
    deadline: float
    transaction: str | None
    maybe_ran: bool = False
    resolving: bool = False
    lost_connections: int = 0

    def message(self, tokens: list[bytes], remaining_s: float) -> ttypes.Request:
        """Returns the message of the next attempt."""
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

    def lost(self) -> bool:
        """Takes the loss of an attempt that was sent; returns whether another one may follow."""
        if self.kind in _RESOLVABLE:
            self.resolving = True
        self.maybe_ran = self.maybe_ran or self.kind not in _WITHOUT_EFFECT
        self.lost_connections += 1
        if self.lost_connections > MAX_LOST_CONNECTIONS:
            return False
        return self.resolving or self.kind in _REPEATABLE

    def renew(self, sequence: int) -> None:
        """Goes on under a new key; the former one is cancelled and can't take effect any more."""
        self.sequence = sequence
        self.resolving = False
        self.maybe_ran = False

    def failed(self, refusal: results.NotRun) -> results.NotRun | results.Unknown:
        """Returns the outcome when the last attempt was refused."""
        if not self.maybe_ran or refusal.reason is _Reason.CANCELLED:
            return refusal
        return results.Unknown(results.UnknownReason.CONNECTION_LOST, refusal.detail)


class Session:
    """A session: its reads see its writes at any proxy. Several requests may be in flight."""

    __slots__ = ("_gateway", "_id", "_in_flight", "_loop", "_sequence", "_tokens")

    def __init__(self, gate: gateway.Gateway, saved: SavedSession) -> None:
        self._gateway = gate
        self._id = saved.id
        self._tokens: dict[bytes, None] = dict.fromkeys(saved.tokens)
        self._sequence = saved.next_sequence
        self._in_flight = asyncio.Semaphore(MAX_IN_FLIGHT)
        self._loop = asyncio.get_running_loop()

    @property
    def id(self) -> str:
        """The session's id."""
        return self._id

    def save(self) -> SavedSession:
        """Returns the session for another process; use it only in one at a time."""
        return SavedSession(self._id, tuple(self._tokens), self._sequence)

    async def read(
        self,
        group: str,
        body: bytes,
        *,
        max_age_s: float | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> results.Outcome:
        """Reads from a database group.

        Args:
          group: The group's name.
          body: The statement.
          max_age_s: The oldest data accepted, in seconds; None for the group's default.
          timeout_s: Seconds until the answer is of no use.
        Returns:
          The outcome. Raises Rejected.
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
        """Writes to a database group.

        Args:
          group: The group's name.
          body: The statement.
          idempotent: Whether the statement may run more than once; if not, its outcome is found out
            after a failure, and it is sent again only if the first attempt is cancelled for good.
          timeout_s: Seconds until the answer is of no use.
        Returns:
          The outcome. Raises Rejected.
        """
        kind = _Kind.IDEMPOTENT_WRITE if idempotent else _Kind.WRITE
        outcome, _ = await self._run(kind, group, body, timeout_s)
        return outcome

    def transaction(self, group: str, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> "Transaction":
        """Returns a transaction, to be used as an asynchronous context manager.

        Args:
          group: The group's name.
          timeout_s: Seconds for the beginning and for the commit, each.
        Returns:
          The transaction. It commits at the end of the context, or aborts after an exception.
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
        """Runs a request; returns its outcome and the id of the transaction that it began."""
        deadline = self._loop.time() + timeout_s
        sequence = self._next_sequence()
        attempts = _Attempts(kind, sequence, group, body, max_age_ms, deadline, transaction)
        async with self._in_flight:
            return await self._attempt(attempts)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence - 1

    async def _attempt(self, attempts: _Attempts) -> tuple[results.Outcome, str | None]:
        refusal = results.NotRun(_Reason.DEADLINE_BEFORE_SEND, "no proxy took the request in time")
        while True:
            remaining_s = attempts.deadline - self._loop.time()
            if remaining_s <= 0:
                return attempts.failed(refusal), None
            try:
                proxy = await self._gateway.proxy(self._id, attempts.deadline)
            except results.NoProxy as failure:
                detail = str(failure)
                return attempts.failed(results.NotRun(_Reason.OWNER_UNREACHABLE, detail)), None
            tokens = list(self._tokens)
            message = attempts.message(tokens, attempts.deadline - self._loop.time())
            try:
                async with asyncio.timeout_at(attempts.deadline + ANSWER_MARGIN_S):
                    reply = await proxy.call("execute", message)
            except failures.ConnectionClosed as closed:
                self._gateway.abandon(proxy)
                if closed.sent and not attempts.lost():
                    return _unknown(str(closed)), None
                continue
            except failures.FrameTooLarge as failure:
                return attempts.failed(results.NotRun(_Reason.INVALID_REQUEST, str(failure))), None
            except failures.RemoteFailure as failure:
                if not attempts.lost():
                    return _unknown(str(failure)), None
                await asyncio.sleep(_PAUSE_S)
                continue
            except TimeoutError:
                reason = results.UnknownReason.DEADLINE_AFTER_SEND
                return results.Unknown(reason, "no answer by the deadline"), None
            except ttypes.CallerFailure as failure:
                raise results.Rejected(failure.code, failure.detail) from failure
            if reply.answer is not None:
                return self._answer(reply.answer, tokens)
            if reply.unknown is not None:
                reason = _unknown_reason(reply.unknown.reason)
                return results.Unknown(reason, reply.unknown.detail), None
            refusal = _refusal(reply.not_run)
            if refusal.reason in _MOVE_ON:
                self._gateway.abandon(proxy)
            elif attempts.resolving and refusal.reason is _Reason.CANCELLED:
                attempts.renew(self._next_sequence())
            elif attempts.resolving:
                await asyncio.sleep(_PAUSE_S)
            else:
                return attempts.failed(refusal), None

    def _answer(
        self, answer: ttypes.Answer, sent: list[bytes]
    ) -> tuple[results.Outcome, str | None]:
        """Takes the answer's token in place of the tokens that the request carried."""
        for token in sent:
            self._tokens.pop(token, None)
        self._tokens[answer.token] = None
        outcome = results.Answer(
            answer.body, answer.served_by, answer.from_replica, answer.duplicate
        )
        return outcome, answer.transaction


class Transaction:
    """A transaction of one database group. Its statements run one after the other."""

    __slots__ = ("_group", "_id", "_session", "_timeout_s", "_undone")

    def __init__(self, session: Session, group: str, timeout_s: float) -> None:
        self._session = session
        self._group = group
        self._timeout_s = timeout_s
        self._id: str | None = None
        self._undone: results.NotRun | results.Unknown | None = None

    async def __aenter__(self) -> "Transaction":
        outcome, transaction = await self._session._run(
            _Kind.BEGIN, self._group, b"", self._timeout_s
        )
        if not isinstance(outcome, results.Answer):
            raise results.TransactionFailed(outcome)
        self._id = transaction
        return self

    async def __aexit__(self, kind: type[BaseException] | None, *_exception: object) -> None:
        if self._id is None:
            return
        if kind is not None or self._undone is not None:
            await self.abort()
            if kind is None and self._undone is not None:
                raise results.TransactionFailed(self._undone)
            return
        outcome = await self.commit()
        if not isinstance(outcome, results.Answer):
            raise results.TransactionFailed(outcome)

    async def execute(
        self, body: bytes, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> results.Outcome:
        """Runs a statement. After an unknown outcome the transaction can only be aborted."""
        if self._id is None or self._undone is not None:
            return results.NotRun(_Reason.TRANSACTION_ABORTED, "the transaction is over")
        outcome, _ = await self._session._run(
            _Kind.STATEMENT, self._group, body, timeout_s, transaction=self._id
        )
        aborted = isinstance(outcome, results.NotRun) and outcome.reason in _ENDS_TRANSACTION
        if not isinstance(outcome, results.Answer) and (
            aborted or isinstance(outcome, results.Unknown)
        ):
            self._undone = results.NotRun(_Reason.TRANSACTION_ABORTED, outcome.detail)
        return outcome

    async def commit(self) -> results.Outcome:
        """Commits; the context then ends without another commit."""
        return await self._end(_Kind.COMMIT)

    async def abort(self) -> results.Outcome:
        """Aborts; the context then ends without a commit."""
        return await self._end(_Kind.ABORT)

    async def _end(self, kind: requests.Kind) -> results.Outcome:
        transaction, self._id = self._id, None
        if transaction is None:
            return results.NotRun(_Reason.TRANSACTION_ABORTED, "the transaction is over")
        outcome, _ = await self._session._run(
            kind, self._group, b"", self._timeout_s, transaction=transaction
        )
        return outcome


_ENDS_TRANSACTION = frozenset((_Reason.TRANSACTION_ABORTED, _Reason.OWNER_UNREACHABLE))

_REASONS = {reason.value: reason for reason in results.NotRunReason}
_UNKNOWN_REASONS = {reason.value: reason for reason in results.UnknownReason}


def first_sequence() -> int:
    """Returns a number above those that earlier processes used for the same session."""
    return time.time_ns() // 1000


def _refusal(message: ttypes.NotRun) -> results.NotRun:
    reason = _REASONS.get(message.reason, _Reason.INVALID_REQUEST)
    return results.NotRun(reason, message.detail, message.retry_after_ms / 1000)


def _unknown_reason(number: int) -> results.UnknownReason:
    return _UNKNOWN_REASONS.get(number, results.UnknownReason.CONNECTION_LOST)


def _unknown(detail: str) -> results.Unknown:
    return results.Unknown(results.UnknownReason.CONNECTION_LOST, detail)
