"""The entry role: checks a caller's request and takes it to an owner of its database group."""

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

# Clients carry one token for each request in flight; the limit bounds the verification of one
# request to about a millisecond.
MAX_TOKENS = 128

# First and longest pause before the owners are tried again after none of them could serve.
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.2

# Attempts to reach the one owner that holds a transaction. An owner that is gone has aborted its
# transactions, so waiting longer only delays the caller.
TRANSACTION_ATTEMPTS = 4

_REPEATABLE = frozenset(
    (
        requests.Kind.READ,
        requests.Kind.IDEMPOTENT_WRITE,
        requests.Kind.BEGIN,
        requests.Kind.RESOLVE,
    )
)
_IN_TRANSACTION = frozenset((requests.Kind.STATEMENT, requests.Kind.COMMIT, requests.Kind.ABORT))
_HAS_EFFECT = frozenset((requests.Kind.IDEMPOTENT_WRITE, requests.Kind.RESOLVE))
_CANCELLED = outcomes.NotRunReason.CANCELLED

# Reasons of an owner after which another owner may be able to serve the request.
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
    """The configuration as the entry and the node see it."""

    @property
    def declarations(self) -> declarations.Declarations: ...

    @property
    def version(self) -> int: ...

    def on_change(self, callback: collections.abc.Callable[[], None]) -> None:
        """Registers a function to be called after every change of the declarations."""

    def serving_allowed(self, now: float) -> bool:
        """Tells whether the configuration is certain enough to serve requests."""


class Router(Protocol):
    """Where the owners of a group are."""

    def owners(self, group: str) -> collections.abc.Sequence[str]:
        """Returns the ids of the instances that own a group, by rank."""

    def executor(self, instance_id: str) -> "Executor | None":
        """Returns the way to an instance; None if its address is not known."""


class Executor(Protocol):
    """An instance that executes requests of groups that it owns; raises LinkLost."""

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome: ...


class RetryBudget(Protocol):
    """Bounds retries to a share of recent requests."""

    def record_request(self, now: float) -> None: ...

    def try_acquire(self, now: float) -> bool:
        """Takes one retry from the budget; False if it is spent."""


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
      sequence: Its number inside the session.
      tokens: The session's tokens.
      group: The database group's name.
      kind: What the request does.
      body: The statement.
      max_age_s: The oldest data that a read accepts, in seconds; None for the group's default.
      timeout_s: Seconds until the answer is of no use.
      transaction: The transaction's id for STATEMENT, COMMIT and ABORT.
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
    """An outcome with the session's new token.

    Attributes:
      outcome: The outcome.
      token: The token after an answer, None without one.
    """

    outcome: outcomes.Outcome
    token: bytes | None = None


def transaction_owner(transaction: str) -> str:
    """Returns the id of the instance that holds a transaction, which its id begins with."""
    return transaction.partition("/")[0]


class Entry:
    """The entry role of one instance."""

    __slots__ = (
        "_configuration",
        "_leaving",
        "_loop_time",
        "_permitted",
        "_retries",
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
        self._retries = retries
        self._wall_time = wall_time
        self._loop_time = asyncio.get_running_loop().time
        self._leaving = False
        self._permitted: dict[str, frozenset[str]] = {}
        configuration.on_change(self._permitted.clear)

    @property
    def serving(self) -> bool:
        """Whether the configuration is certain enough to serve requests."""
        return self._configuration.serving_allowed(self._loop_time())

    @property
    def leaving(self) -> bool:
        """Whether new sessions and new work are refused."""
        return self._leaving

    @property
    def callers(self) -> collections.abc.Mapping[str, declarations.CallerDeclaration]:
        """The declared callers by name."""
        return self._configuration.declarations.callers

    def leave(self) -> None:
        """Refuses new sessions and new work from now on; open transactions can be finished."""
        self._leaving = True

    def new_token(self, session: str, caller: str, complete: bool) -> bytes:
        """Issues the first token of an opened or resumed session."""
        watermarks = tokens.SessionWatermarks(session, caller, complete, {})
        return self._signer.sign(watermarks, self._wall_time())

    async def execute(self, caller: str, request: CallerRequest) -> Reply | errors.CallerError:
        """Runs a request of an authenticated caller.

        Args:
          caller: The caller's declared name.
          request: The request.
        Returns:
          The outcome by the deadline, or why the session's tokens were not accepted.
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
        refused = self._refusal(caller, request, now)
        if refused is not None:
            return Reply(refused)
        outcome = await self._run(self._group_request(caller, session, request, now))
        if not isinstance(outcome, outcomes.Answer):
            return Reply(outcome)
        session = session.with_position(request.group, outcome.position)
        return Reply(outcome, self._signer.sign(session, wall_now))

    def _refusal(self, caller: str, request: CallerRequest, now: float) -> outcomes.NotRun | None:
        """Returns why a request is not let in; None if it is."""
        if not self._configuration.serving_allowed(now):
            return outcomes.NotRun(
                outcomes.NotRunReason.STALE_CONFIGURATION, "configuration may be out of date"
            )
        if request.group not in self._groups_of(caller):
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
        finishes = request.transaction is not None or request.kind is requests.Kind.RESOLVE
        if self._leaving and not finishes:
            return outcomes.NotRun(outcomes.NotRunReason.LEAVING, "the instance is stopping")
        if request.timeout_s <= 0:
            return outcomes.NotRun(
                outcomes.NotRunReason.DEADLINE_BEFORE_SEND, "the timeout is not positive"
            )
        return None

    def _groups_of(self, caller: str) -> frozenset[str]:
        groups = self._permitted.get(caller)
        if groups is None:
            declaration = self.callers.get(caller)
            groups = frozenset() if declaration is None else frozenset(declaration.groups)
            self._permitted[caller] = groups
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
        self._retries.record_request(self._loop_time())
        if request.transaction is not None:
            return await self._run_in_transaction(request, request.transaction)
        return await self._run_at_owners(request)

    async def _run_in_transaction(
        self, request: requests.GroupRequest, transaction: str
    ) -> outcomes.Outcome:
        """Takes a request to the owner that holds its transaction."""
        owner_id = transaction_owner(transaction)
        pause_s = MIN_PAUSE_S
        maybe_ran = False
        for _ in range(TRANSACTION_ATTEMPTS):
            try:
                return await self._attempt(owner_id, request)
            except interfaces.LinkLost as lost:
                failure = lost
            maybe_ran = maybe_ran or failure.sent
            if failure.sent and request.kind is requests.Kind.COMMIT:
                return await self._resolve(request, owner_id, str(failure))
            if failure.sent and request.kind is requests.Kind.STATEMENT:
                break
            if not await self._pause(pause_s, request.deadline):
                break
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        if maybe_ran:
            return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, str(failure))
        return outcomes.NotRun(outcomes.NotRunReason.OWNER_UNREACHABLE, str(failure))

    async def _run_at_owners(
        self, request: requests.GroupRequest, last: str | None = None
    ) -> outcomes.Outcome:
        """Takes a request to the owners of its group in the order of their ranks.

        Args:
          request: The request.
          last: The owner to try after the others, if any.
        Returns:
          The outcome.
        """
        pause_s = MIN_PAUSE_S
        maybe_ran = False
        refused = outcomes.NotRun(outcomes.NotRunReason.OWNER_UNREACHABLE, "no owner is reachable")
        while True:
            owners = self._router.owners(request.group)
            if last is not None:
                owners = sorted(owners, key=lambda one: one == last)
            for owner_id in owners:
                try:
                    outcome = await self._attempt(owner_id, request)
                except interfaces.LinkLost as lost:
                    if not lost.sent:
                        continue
                    if request.kind not in _REPEATABLE:
                        return await self._resolve(request, owner_id, str(lost))
                    maybe_ran = maybe_ran or request.kind in _HAS_EFFECT
                    if not self._retries.try_acquire(self._loop_time()):
                        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, str(lost))
                    continue
                if not _may_move_on(outcome):
                    return _definite(outcome, maybe_ran)
                refused = outcome
            if not await self._pause(pause_s, request.deadline):
                return _definite(refused, maybe_ran)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _resolve(
        self, request: requests.GroupRequest, lost_owner: str, detail: str
    ) -> outcomes.Outcome:
        """Finds out what became of a request that may have reached a member, without sending it."""
        resolve = dataclasses.replace(
            request, kind=requests.Kind.RESOLVE, body=b"", transaction=None
        )
        outcome = await self._run_at_owners(resolve, last=lost_owner)
        if isinstance(outcome, outcomes.Answer):
            return outcome
        if isinstance(outcome, outcomes.NotRun) and outcome.reason is _CANCELLED:
            return outcome
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, detail)

    async def _attempt(self, owner_id: str, request: requests.GroupRequest) -> outcomes.Outcome:
        """Sends a request to one owner. Raises LinkLost."""
        owner = self._router.executor(owner_id)
        if owner is None:
            raise interfaces.LinkLost(f"instance {owner_id} is not known", sent=False)
        return await owner.forward(request)

    async def _pause(self, pause_s: float, deadline: float) -> bool:
        """Waits before the next round of attempts; False if the deadline comes first."""
        if self._loop_time() + pause_s >= deadline:
            return False
        await asyncio.sleep(pause_s)
        return True


def _may_move_on(outcome: outcomes.Outcome) -> TypeGuard[outcomes.NotRun]:
    return isinstance(outcome, outcomes.NotRun) and outcome.reason in _OWNER_CANNOT_SERVE


def _definite(outcome: outcomes.Outcome, maybe_ran: bool) -> outcomes.Outcome:
    """Returns the outcome of a request of which an earlier attempt may have run.

    The refusal of a later attempt says nothing about the earlier one, unless the key is cancelled.
    """
    if not maybe_ran or not isinstance(outcome, outcomes.NotRun) or outcome.reason is _CANCELLED:
        return outcome
    return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, outcome.detail)
