"""The callers' listener: Thrift over framed connections, many requests in flight on each."""

import collections.abc
import dataclasses
import hashlib
import hmac
import re
import secrets

import loguru

from bilberrystack.core import errors
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.gen.callers import Caller
from bilberrystack.gen.callers import ttypes
from bilberrystack.proxy import entry
from bilberrystack.wire import codec
from bilberrystack.wire import failures
from bilberrystack.wire import rpc

SERVICE = codec.service(Caller)

_SESSION_BYTES = 16
_SESSION_PATTERN = re.compile(r"[0-9a-f]{32}")
_KINDS = {kind.value: kind for kind in requests.Kind}


OnOutcome = collections.abc.Callable[[requests.Kind, outcomes.Outcome], None]


@dataclasses.dataclass(slots=True)
class _Authenticated:
    """What the listener keeps for a connection.

    Attributes:
      caller: The authenticated caller.
      transactions: Transactions that were begun on this connection and have not ended.
    """

    caller: str
    transactions: set[str] = dataclasses.field(default_factory=set)


class Listener:
    """Handles the calls of all callers' connections."""

    __slots__ = (
        "_entry",
        "_instance_id",
        "_log",
        "_on_outcome",
        "_open_transactions",
        "_reported",
    )

    def __init__(
        self,
        entry_role: entry.Entry,
        instance_id: str,
        on_outcome: OnOutcome = lambda _kind, _outcome: None,
    ) -> None:
        """Creates a handler.

        Args:
          entry_role: Runs the requests.
          instance_id: This instance's id.
          on_outcome: Called with every outcome that a caller is told.
        """
        self._entry = entry_role
        self._on_outcome = on_outcome
        self._instance_id = instance_id
        self._open_transactions = 0
        self._reported: set[tuple[str, int]] = set()
        self._log = loguru.logger.bind(component="callers")

    @property
    def open_transactions(self) -> int:
        """Transactions that were begun on open connections and have not ended."""
        return self._open_transactions

    def server(self) -> rpc.Server:
        """Returns a server for this handler, not yet started."""
        return rpc.Server(
            SERVICE, self, on_failure=self._connection_failed, on_error=self._call_failed
        )

    async def open_session(self, context: rpc.Context, caller: str, secret: str) -> ttypes.Session:
        """Authenticates the connection and starts a session. Raises CallerFailure."""
        self._authenticate(context, caller, secret)
        session = secrets.token_hex(_SESSION_BYTES)
        token = self._entry.new_token(session, caller, complete=True)
        return ttypes.Session(session, token, self._instance_id)

    async def resume_session(
        self, context: rpc.Context, caller: str, secret: str, session: str
    ) -> ttypes.Session:
        """Authenticates the connection for a session that was opened elsewhere.

        The token knows no watermarks; a client that still has the session's tokens sends those.
        Raises CallerFailure.
        """
        self._authenticate(context, caller, secret)
        if _SESSION_PATTERN.fullmatch(session) is None:
            raise self._failure(context, errors.CallerError.INVALID_SESSION)
        token = self._entry.new_token(session, caller, complete=False)
        return ttypes.Session(session, token, self._instance_id)

    async def execute(self, context: rpc.Context, request: ttypes.Request) -> ttypes.Outcome:
        """Runs a request. Raises CallerFailure."""
        state: _Authenticated | None = context.state
        if state is None:
            raise self._failure(context, errors.CallerError.NOT_AUTHENTICATED)
        kind = _KINDS.get(request.kind)
        if kind is None:
            reason = outcomes.NotRunReason.INVALID_REQUEST
            return _not_run(outcomes.NotRun(reason, f"unknown kind {request.kind}"))
        max_age_ms = request.max_age_ms
        reply = await self._entry.execute(
            state.caller,
            entry.CallerRequest(
                request.sequence,
                request.tokens,
                request.group,
                kind,
                request.body,
                None if max_age_ms is None else max_age_ms / 1000,
                request.timeout_ms / 1000,
                request.transaction,
            ),
        )
        if isinstance(reply, errors.CallerError):
            raise self._failure(context, reply)
        self._on_outcome(kind, reply.outcome)
        if kind is requests.Kind.BEGIN:
            self._begun(context, state, reply.outcome)
        elif request.transaction in state.transactions and _ends(kind, reply.outcome):
            state.transactions.discard(request.transaction)
            self._open_transactions -= 1
        return _outcome(reply)

    def connection_closed(self, context: rpc.Context) -> None:
        """Forgets the transactions of a connection; they can be continued on another one."""
        state: _Authenticated | None = context.state
        if state is not None:
            self._open_transactions -= len(state.transactions)
            state.transactions.clear()

    def _authenticate(self, context: rpc.Context, caller: str, secret: str) -> None:
        """Raises CallerFailure unless the secret is one of the caller's."""
        if self._entry.leaving:
            raise self._failure(context, errors.CallerError.LEAVING)
        if not self._entry.serving:
            raise self._failure(context, errors.CallerError.STALE_CONFIGURATION)
        declaration = self._entry.callers.get(caller)
        accepted = () if declaration is None else declaration.secret_sha256
        digest = hashlib.sha256(secret.encode()).hexdigest()
        matches = [hmac.compare_digest(digest, one.lower()) for one in accepted]
        if not any(matches):
            raise self._failure(context, errors.CallerError.AUTHENTICATION_FAILED)
        state: _Authenticated | None = context.state
        if state is None:
            context.state = _Authenticated(caller)
        elif state.caller != caller:
            raise self._failure(context, errors.CallerError.AUTHENTICATION_FAILED)

    def _begun(
        self, context: rpc.Context, state: _Authenticated, outcome: outcomes.Outcome
    ) -> None:
        """Counts an open transaction, which a graceful stop waits for."""
        transaction = outcome.transaction if isinstance(outcome, outcomes.Answer) else None
        if transaction is not None and not context.closed:
            state.transactions.add(transaction)
            self._open_transactions += 1

    def _failure(self, context: rpc.Context, error: errors.CallerError) -> ttypes.CallerFailure:
        """Returns the failure, logged once for each connection and kind."""
        key = (context.peer, error.value)
        if error is not errors.CallerError.LEAVING and key not in self._reported:
            if len(self._reported) >= _MAX_REPORTED:
                self._reported.clear()
            self._reported.add(key)
            self._log.warning("Rejected {}: {}", context.peer, errors.DESCRIPTIONS[error].cause)
        return ttypes.CallerFailure(error.value, errors.describe(error))

    def _connection_failed(self, context: rpc.Context, failure: failures.WireFailure) -> None:
        self._log.warning("Closed the connection of {}: {}", context.peer, failure)

    def _call_failed(self, context: rpc.Context, method: str, error: Exception) -> None:
        self._log.opt(exception=error).error("Call {} of {} failed", method, context.peer)


# Rejections remembered so that each is logged once.
_MAX_REPORTED = 1024

_ENDING = frozenset((requests.Kind.COMMIT, requests.Kind.ABORT))


def _ends(kind: requests.Kind, outcome: outcomes.Outcome) -> bool:
    """Tells whether a transaction is over after one of its requests."""
    aborted = outcomes.NotRunReason.TRANSACTION_ABORTED
    return kind in _ENDING or (isinstance(outcome, outcomes.NotRun) and outcome.reason is aborted)


def _outcome(reply: entry.Reply) -> ttypes.Outcome:
    outcome = reply.outcome
    match outcome:
        case outcomes.Answer():
            answer = ttypes.Answer(
                outcome.body,
                reply.token,
                outcome.served_by,
                outcome.from_replica,
                outcome.transaction,
                outcome.duplicate,
            )
            return ttypes.Outcome(answer=answer)
        case outcomes.NotRun():
            return _not_run(outcome)
        case outcomes.Unknown():
            return ttypes.Outcome(unknown=ttypes.Unknown(outcome.reason.value, outcome.detail))


def _not_run(outcome: outcomes.NotRun) -> ttypes.Outcome:
    retry_after_ms = int(outcome.retry_after_s * 1000)
    return ttypes.Outcome(
        not_run=ttypes.NotRun(outcome.reason.value, outcome.detail, retry_after_ms)
    )
