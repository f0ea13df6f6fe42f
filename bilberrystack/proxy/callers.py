"""The callers' listener: Thrift over framed connections with multiplexed requests."""

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

_SESSION_ID_BYTES = 16
_SESSION_ID_PATTERN = re.compile(r"[0-9a-f]{32}")
_KINDS_BY_VALUE = {kind.value: kind for kind in requests.Kind}


OnOutcome = collections.abc.Callable[[requests.Kind, outcomes.Outcome], None]


@dataclasses.dataclass(slots=True)
class _ConnectionState:
    """The state of an authenticated connection.

    Attributes:
      caller: The name of the authenticated caller.
      transactions: The ids of open transactions that were begun on this connection.
    """

    caller: str
    transactions: set[str] = dataclasses.field(default_factory=set)


class Listener:
    """Handler of the calls on all connections of callers."""

    __slots__ = (
        "_entry",
        "_instance_id",
        "_log",
        "_logged_rejections",
        "_on_outcome",
        "_open_transactions",
    )

    def __init__(
        self,
        entry_role: entry.Entry,
        instance_id: str,
        on_outcome: OnOutcome = lambda _kind, _outcome: None,
    ) -> None:
        """Create a handler.

        Args:
          entry_role: The entry role, which executes requests.
          instance_id: This instance's id.
          on_outcome: Called with the kind of each request and the outcome returned to the caller.
        """
        self._entry = entry_role
        self._on_outcome = on_outcome
        self._instance_id = instance_id
        self._open_transactions = 0
        self._logged_rejections: set[tuple[str, int]] = set()
        self._log = loguru.logger.bind(component="callers")

    @property
    def open_transactions(self) -> int:
        """The number of open transactions that were begun on open connections."""
        return self._open_transactions

    def server(self) -> rpc.Server:
        """Return a server for this listener, not yet started."""
        return rpc.Server(
            SERVICE, self, on_failure=self._connection_failed, on_error=self._call_failed
        )

    async def open_session(self, context: rpc.Context, caller: str, secret: str) -> ttypes.Session:
        """Authenticate the connection and open a session.

        Raises:
          CallerFailure: The authentication failed, or this instance opens no sessions now.
        """
        self._authenticate(context, caller, secret)
        session = secrets.token_hex(_SESSION_ID_BYTES)
        token = self._entry.new_token(session, caller, complete=True)
        return ttypes.Session(session, token, self._instance_id)

    async def resume_session(
        self, context: rpc.Context, caller: str, secret: str, session: str
    ) -> ttypes.Session:
        """Authenticate the connection for a session that was opened on another connection.

        The new token contains no watermarks. A client that still has the session's tokens must send
        them with its requests.

        Raises:
          CallerFailure: The authentication failed, this instance opens no sessions now, or the
            session id is malformed.
        """
        self._authenticate(context, caller, secret)
        if _SESSION_ID_PATTERN.fullmatch(session) is None:
            raise self._reject(context, errors.CallerError.INVALID_SESSION)
        token = self._entry.new_token(session, caller, complete=False)
        return ttypes.Session(session, token, self._instance_id)

    async def execute(self, context: rpc.Context, request: ttypes.Request) -> ttypes.Outcome:
        """Run a request.

        Raises:
          CallerFailure: The connection is not authenticated, or the request is rejected.
        """
        state: _ConnectionState | None = context.state
        if state is None:
            raise self._reject(context, errors.CallerError.NOT_AUTHENTICATED)
        kind = _KINDS_BY_VALUE.get(request.kind)
        if kind is None:
            reason = outcomes.NotRunReason.INVALID_REQUEST
            return _encode_not_run(outcomes.NotRun(reason, f"unknown kind {request.kind}"))
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
            raise self._reject(context, reply)
        self._on_outcome(kind, reply.outcome)
        if kind is requests.Kind.BEGIN:
            self._record_begin(context, state, reply.outcome)
        elif request.transaction in state.transactions and _ends_transaction(kind, reply.outcome):
            state.transactions.discard(request.transaction)
            self._open_transactions -= 1
        return _encode_outcome(reply)

    def connection_closed(self, context: rpc.Context) -> None:
        """Stop counting the transactions of a closed connection.

        They can be continued on another connection.
        """
        state: _ConnectionState | None = context.state
        if state is not None:
            self._open_transactions -= len(state.transactions)
            state.transactions.clear()

    def _authenticate(self, context: rpc.Context, caller: str, secret: str) -> None:
        """Check that the secret is one of the caller's secrets. Raises CallerFailure if not."""
        if self._entry.leaving:
            raise self._reject(context, errors.CallerError.LEAVING)
        if not self._entry.serving:
            raise self._reject(context, errors.CallerError.STALE_CONFIGURATION)
        declaration = self._entry.callers.get(caller)
        accepted_digests = () if declaration is None else declaration.secret_sha256
        digest = hashlib.sha256(secret.encode()).hexdigest()
        matches = [hmac.compare_digest(digest, accepted.lower()) for accepted in accepted_digests]
        if not any(matches):
            raise self._reject(context, errors.CallerError.AUTHENTICATION_FAILED)
        state: _ConnectionState | None = context.state
        if state is None:
            context.state = _ConnectionState(caller)
        elif state.caller != caller:
            raise self._reject(context, errors.CallerError.AUTHENTICATION_FAILED)

    def _record_begin(
        self, context: rpc.Context, state: _ConnectionState, outcome: outcomes.Outcome
    ) -> None:
        """Count an open transaction, which a graceful shutdown waits for."""
        transaction = outcome.transaction if isinstance(outcome, outcomes.Answer) else None
        if transaction is not None and not context.closed:
            state.transactions.add(transaction)
            self._open_transactions += 1

    def _reject(self, context: rpc.Context, error: errors.CallerError) -> ttypes.CallerFailure:
        """Return a failure, after logging the first one of each connection and kind."""
        key = (context.peer, error.value)
        if error is not errors.CallerError.LEAVING and key not in self._logged_rejections:
            if len(self._logged_rejections) >= _MAX_LOGGED_REJECTIONS:
                self._logged_rejections.clear()
            self._logged_rejections.add(key)
            self._log.warning(
                "Rejected a call from the caller at {}: {}",
                context.peer,
                errors.DESCRIPTIONS[error].cause,
            )
        return ttypes.CallerFailure(error.value, errors.describe(error))

    def _connection_failed(self, context: rpc.Context, failure: failures.WireFailure) -> None:
        self._log.warning("Closed the connection of the caller at {}: {}", context.peer, failure)

    def _call_failed(self, context: rpc.Context, method: str, error: Exception) -> None:
        self._log.opt(exception=error).error(
            "Call {} from the caller at {} failed", method, context.peer
        )


# Maximum number of rejections remembered in order to log each only once.
_MAX_LOGGED_REJECTIONS = 1024

_TRANSACTION_ENDING_KINDS = frozenset((requests.Kind.COMMIT, requests.Kind.ABORT))


def _ends_transaction(kind: requests.Kind, outcome: outcomes.Outcome) -> bool:
    """Return whether a request with this kind and outcome ended its transaction."""
    aborted = outcomes.NotRunReason.TRANSACTION_ABORTED
    return kind in _TRANSACTION_ENDING_KINDS or (
        isinstance(outcome, outcomes.NotRun) and outcome.reason is aborted
    )


def _encode_outcome(reply: entry.Reply) -> ttypes.Outcome:
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
            return _encode_not_run(outcome)
        case outcomes.Unknown():
            return ttypes.Outcome(unknown=ttypes.Unknown(outcome.reason.value, outcome.detail))


def _encode_not_run(outcome: outcomes.NotRun) -> ttypes.Outcome:
    retry_after_ms = int(outcome.retry_after_s * 1000)
    return ttypes.Outcome(
        not_run=ttypes.NotRun(outcome.reason.value, outcome.detail, retry_after_ms)
    )
