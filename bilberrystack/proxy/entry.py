"""The entry role: validates a caller's request and forwards it to an owner of its group."""

import asyncio
import collections.abc
import dataclasses
import time
from typing import Protocol
from typing import TypeGuard

from bilberrystack.core import declarations
from bilberrystack.core import errors
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.core import tokens
from bilberrystack.proxy import interfaces

# A client sends one token for each request in flight. The limit bounds the verification time of one
# request to about 1 ms.
MAX_TOKENS = 128

# First and longest pause before the owners are retried after none of them could serve a request, in
# seconds.
MIN_RETRY_PAUSE_S = 0.01
MAX_RETRY_PAUSE_S = 0.2

# Attempts to reach the owner that holds a transaction. An owner that has stopped has aborted its
# transactions, so more attempts would only delay the caller.
MAX_TRANSACTION_ATTEMPTS = 4

_REPEATABLE = frozenset(
    (
        requests.Kind.READ,
        requests.Kind.IDEMPOTENT_WRITE,
        requests.Kind.BEGIN,
        requests.Kind.RESOLVE,
    )
)
_IN_TRANSACTION = frozenset((requests.Kind.STATEMENT, requests.Kind.COMMIT, requests.Kind.ABORT))
# Repeatable kinds that write data or cancel a key.
_HAS_SIDE_EFFECT = frozenset((requests.Kind.IDEMPOTENT_WRITE, requests.Kind.RESOLVE))
_CANCELLED = outcomes.NotRunReason.CANCELLED

# Refusals by one owner after which another owner may be able to serve the request.
_OWNER_CANNOT_SERVE = frozenset(
    (
        outcomes.NotRunReason.LEAVING,
        outcomes.NotRunReason.OWNER_UNREACHABLE,
        outcomes.NotRunReason.NO_MAJORITY,
        outcomes.NotRunReason.STALE_CONFIGURATION,
    )
)

_TOKEN_ERRORS = {
    tokens.TokenFailure.FORGED: errors.CallerError.TOKEN_FORGED,
    tokens.TokenFailure.EXPIRED: errors.CallerError.TOKEN_EXPIRED,
    tokens.TokenFailure.OTHER_CALLER: errors.CallerError.TOKEN_OF_OTHER_CALLER,
    tokens.TokenFailure.OTHER_SESSION: errors.CallerError.TOKENS_OF_OTHER_SESSIONS,
}


class ConfigurationView(Protocol):
    """Read access to the configuration for the entry role and the node."""

    @property
    def declarations(self) -> declarations.Declarations: ...

    @property
    def version(self) -> int: ...

    def on_change(self, callback: collections.abc.Callable[[], None]) -> None:
        """Registers a function that is called after every change of the declarations."""

    def serving_allowed(self, now: float) -> bool:
        """Returns whether the configuration is recent enough to serve requests."""


class Router(Protocol):
    """Locates the owners of groups."""

    def owners(self, group: str) -> collections.abc.Sequence[str]:
        """Returns the ids of the instances that own a group, in the order of their ranks."""

    def executor(self, instance_id: str) -> "Executor | None":
        """Returns the executor at an instance; None if the instance's address is not known."""


class Executor(Protocol):
    """An instance that executes requests for the groups that it owns.

    Calls raise interfaces.LinkLost.
    """

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome: ...


class RetryBudget(Protocol):
    """Limits retries to a fraction of the recent requests."""

    def record_request(self, now: float) -> None: ...

    def try_acquire(self, now: float) -> bool:
        """Takes one retry from the budget. Returns False if the budget is exhausted."""


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as received from a caller.

    Attributes:
      sequence: The request's number within the session.
      tokens: The session's tokens.
      group: The database group's name.
      kind: The kind of request.
      body: The statement.
      max_age_s: The maximum age of the data that a read accepts, in seconds; None for the group's
        default.
      timeout_s: Seconds until the request times out.
      transaction: The transaction's id for STATEMENT, COMMIT and ABORT; otherwise None.
    """

    sequence: int
    tokens: collections.abc.Sequence[bytes]
    group: str
    kind: requests.Kind
    body: bytes
    max_age_s: float | None
    timeout_s: float
    transaction: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of a request with the session's new token.

    Attributes:
      outcome: The outcome.
      token: The session's token updated by the answer; None if the outcome is not an answer.
    """

    outcome: outcomes.Outcome
    token: bytes | None = None


def transaction_owner(transaction: str) -> str:
    """Returns the id of the instance that holds a transaction: the prefix of the transaction id."""
    return transaction.partition("/")[0]


class Entry:
    """The entry role of one instance."""

    __slots__ = (
        "_configuration",
        "_leaving",
        "_loop_time",
        "_permitted_groups",
        "_retry_budget",
        "_router",
        "_signer",
        "_wall_time",
    )

    def __init__(
        self,
        configuration: ConfigurationView,
        router: Router,
        signer: tokens.Signer,
        retries: RetryBudget,
        wall_time: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._router = router
        self._signer = signer
        self._retry_budget = retries
        self._wall_time = wall_time
        self._loop_time = asyncio.get_running_loop().time
        self._leaving = False
        self._permitted_groups: dict[str, frozenset[str]] = {}
        configuration.on_change(self._permitted_groups.clear)

    @property
    def serving(self) -> bool:
        """Whether the configuration is recent enough to serve requests."""
        return self._configuration.serving_allowed(self._loop_time())

    @property
    def leaving(self) -> bool:
        """Whether the instance is shutting down and refuses new sessions and new work."""
        return self._leaving

    @property
    def callers(self) -> collections.abc.Mapping[str, declarations.CallerDeclaration]:
        """The declared callers by name."""
        return self._configuration.declarations.callers

    def leave(self) -> None:
        """Refuses new sessions and new work from now on. Open transactions can still finish."""
        self._leaving = True

    def new_token(self, session: str, caller: str, complete: bool) -> bytes:
        """Issues the first token of an opened or resumed session.

        Args:
          session: The session's id.
          caller: The caller's declared name.
          complete: Whether the session has used no group yet. True for a new session; False for a
            resumed one, whose positions are not known.
        """
        watermarks = tokens.SessionWatermarks(session, caller, complete, {})
        return self._signer.sign(watermarks, self._wall_time())

    async def execute(self, caller: str, request: CallerRequest) -> Reply | errors.CallerError:
        """Runs a request of an authenticated caller.

        Args:
          caller: The caller's declared name.
          request: The request.
        Returns:
          The reply, by the deadline, or the error for which the session's tokens were rejected.
        """
        if not request.tokens:
            return errors.CallerError.TOKEN_MISSING
        if len(request.tokens) > MAX_TOKENS:
            return errors.CallerError.TOO_MANY_TOKENS
        wall_now = self._wall_time()
        session = self._signer.verify_all(request.tokens, caller, wall_now)
        if isinstance(session, tokens.TokenFailure):
            return _TOKEN_ERRORS[session]
        now = self._loop_time()
        refusal = self._refusal(caller, request, now)
        if refusal is not None:
            return Reply(refusal)
        outcome = await self._run(self._group_request(caller, session, request, now))
        if not isinstance(outcome, outcomes.Answer):
            return Reply(outcome)
        session = session.with_position(request.group, outcome.position)
        return Reply(outcome, self._signer.sign(session, wall_now))

    def _refusal(self, caller: str, request: CallerRequest, now: float) -> outcomes.NotRun | None:
        """Returns the refusal of a request that must not run; None if it may run."""
        if not self._configuration.serving_allowed(now):
            return outcomes.NotRun(
                outcomes.NotRunReason.STALE_CONFIGURATION, "configuration may be out of date"
            )
        if request.group not in self._groups_permitted_to(caller):
            return outcomes.NotRun(
                outcomes.NotRunReason.NOT_PERMITTED,
                f"caller {caller} may not reach a group {request.group}",
            )
        if request.group not in self._configuration.declarations.groups:
            return outcomes.NotRun(
                outcomes.NotRunReason.UNKNOWN_GROUP, f"group {request.group} is not declared"
            )
        if (request.kind in _IN_TRANSACTION) != (request.transaction is not None):
            return outcomes.NotRun(
                outcomes.NotRunReason.INVALID_REQUEST,
                "STATEMENT, COMMIT and ABORT need a transaction id, other kinds have none",
            )
        finishes_open_work = (
            request.transaction is not None or request.kind is requests.Kind.RESOLVE
        )
        if self._leaving and not finishes_open_work:
            return outcomes.NotRun(outcomes.NotRunReason.LEAVING, "the instance is stopping")
        if request.timeout_s <= 0:
            return outcomes.NotRun(
                outcomes.NotRunReason.DEADLINE_BEFORE_SEND, "the timeout is not positive"
            )
        return None

    def _groups_permitted_to(self, caller: str) -> frozenset[str]:
        groups = self._permitted_groups.get(caller)
        if groups is None:
            declaration = self.callers.get(caller)
            groups = frozenset() if declaration is None else frozenset(declaration.groups)
            self._permitted_groups[caller] = groups
        return groups

    def _group_request(
        self, caller: str, session: tokens.SessionWatermarks, request: CallerRequest, now: float
    ) -> requests.GroupRequest:
        max_age_s = request.max_age_s
        if max_age_s is None:
            group = self._configuration.declarations.groups[request.group]
            max_age_s = group.default_max_age_ms / 1000
        return requests.GroupRequest(
            requests.RequestKey(session.session, request.sequence),
            caller,
            request.group,
            request.kind,
            request.body,
            session.of(request.group),
            max_age_s,
            now + request.timeout_s,
            request.transaction,
        )

    async def _run(self, request: requests.GroupRequest) -> outcomes.Outcome:
        self._retry_budget.record_request(self._loop_time())
        if request.transaction is not None:
            return await self._run_in_transaction(request, request.transaction)
        return await self._run_at_owners(request)

    async def _run_in_transaction(
        self, request: requests.GroupRequest, transaction: str
    ) -> outcomes.Outcome:
        """Forwards a request to the owner that holds its transaction."""
        owner_id = transaction_owner(transaction)
        pause_s = MIN_RETRY_PAUSE_S
        may_have_run = False
        for _ in range(MAX_TRANSACTION_ATTEMPTS):
            try:
                return await self._forward(owner_id, request)
            except interfaces.LinkLost as lost:
                failure = lost
            may_have_run = may_have_run or failure.sent
            if failure.sent and request.kind is requests.Kind.COMMIT:
                return await self._resolve(request, owner_id, str(failure))
            if failure.sent and request.kind is requests.Kind.STATEMENT:
                break
            if not await self._wait_before_retry(pause_s, request.deadline):
                break
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
        if may_have_run:
            return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, str(failure))
        return outcomes.NotRun(outcomes.NotRunReason.OWNER_UNREACHABLE, str(failure))

    async def _run_at_owners(
        self, request: requests.GroupRequest, last_owner: str | None = None
    ) -> outcomes.Outcome:
        """Forwards a request to the owners of its group, in the order of their ranks.

        Args:
          request: The request.
          last_owner: The id of an owner to try after all others, if any.
        Returns:
          The outcome.
        """
        pause_s = MIN_RETRY_PAUSE_S
        may_have_run = False
        refusal = outcomes.NotRun(outcomes.NotRunReason.OWNER_UNREACHABLE, "no owner is reachable")
        while True:
            owners = self._router.owners(request.group)
            if last_owner is not None:
                owners = sorted(owners, key=lambda owner_id: owner_id == last_owner)
            for owner_id in owners:
                try:
                    outcome = await self._forward(owner_id, request)
                except interfaces.LinkLost as lost:
                    if not lost.sent:
                        continue
                    if request.kind not in _REPEATABLE:
                        return await self._resolve(request, owner_id, str(lost))
                    may_have_run = may_have_run or request.kind in _HAS_SIDE_EFFECT
                    if not self._retry_budget.try_acquire(self._loop_time()):
                        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, str(lost))
                    continue
                if not _other_owner_may_serve(outcome):
                    return _outcome_after_retries(outcome, may_have_run)
                refusal = outcome
            if not await self._wait_before_retry(pause_s, request.deadline):
                return _outcome_after_retries(refusal, may_have_run)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    async def _resolve(
        self, request: requests.GroupRequest, lost_owner: str, detail: str
    ) -> outcomes.Outcome:
        """Resolves the outcome of a request that may have run, without sending the request again.

        Args:
          request: The request.
          lost_owner: The id of the owner whose link broke; it is tried last.
          detail: The detail of the outcome if it stays unknown.
        """
        resolve = dataclasses.replace(
            request, kind=requests.Kind.RESOLVE, body=b"", transaction=None
        )
        outcome = await self._run_at_owners(resolve, last_owner=lost_owner)
        if isinstance(outcome, outcomes.Answer):
            return outcome
        if isinstance(outcome, outcomes.NotRun) and outcome.reason is _CANCELLED:
            return outcome
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, detail)

    async def _forward(self, owner_id: str, request: requests.GroupRequest) -> outcomes.Outcome:
        """Forwards a request to one owner. Raises interfaces.LinkLost."""
        owner = self._router.executor(owner_id)
        if owner is None:
            raise interfaces.LinkLost(f"instance {owner_id} is not known", sent=False)
        return await owner.forward(request)

    async def _wait_before_retry(self, pause_s: float, deadline: float) -> bool:
        """Waits before the next attempts. Returns False if the deadline would pass meanwhile."""
        if self._loop_time() + pause_s >= deadline:
            return False
        await asyncio.sleep(pause_s)
        return True


def _other_owner_may_serve(outcome: outcomes.Outcome) -> TypeGuard[outcomes.NotRun]:
    return isinstance(outcome, outcomes.NotRun) and outcome.reason in _OWNER_CANNOT_SERVE


def _outcome_after_retries(outcome: outcomes.Outcome, may_have_run: bool) -> outcomes.Outcome:
    """Returns the outcome of a request whose earlier attempts may have run.

    The refusal of a later attempt does not show whether an earlier one ran, except if the key is
    cancelled: then no attempt can take effect.

    Args:
      outcome: The outcome of the last attempt.
      may_have_run: Whether an earlier attempt may have run.
    """
    if not may_have_run or not isinstance(outcome, outcomes.NotRun) or outcome.reason is _CANCELLED:
        return outcome
    return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, outcome.detail)
