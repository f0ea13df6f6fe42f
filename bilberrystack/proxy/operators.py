"""Operators' calls at one instance.

Operators declare intent and read. No call writes a state that the system owns.
"""

import asyncio
import collections.abc
import dataclasses
import hashlib
import hmac
import secrets
from typing import Any
from typing import Protocol

import msgspec
from returns import result

from bilberrystack.core import burn
from bilberrystack.core import changes
from bilberrystack.core import declarations
from bilberrystack.core import differences
from bilberrystack.core import documents
from bilberrystack.core import errors
from bilberrystack.core import problems
from bilberrystack.core import reports
from bilberrystack.gen.operators import Operator
from bilberrystack.gen.operators import ttypes
from bilberrystack.proxy import summaries
from bilberrystack.wire import codec
from bilberrystack.wire import rpc

SERVICE = codec.service(Operator)

NONCE_BYTES = 32
MAX_WAIT_S = 300.0
WAIT_POLL_S = 0.25


def prove(secret: str, nonce: bytes, operator_name: str) -> bytes:
    """Returns an operator's proof that it knows the secret, without sending it."""
    message = nonce + operator_name.encode()
    return hmac.digest(secret.encode(), message, hashlib.sha256)


class Fleet(summaries.Collector, Protocol):
    """All instances, as fleet.Fleet reaches them."""

    @property
    def instance_count(self) -> int: ...

    async def lagging(self, version: int) -> list[str]: ...


class Acceptor(Protocol):
    """Puts changes in force, as acceptance.Acceptor does."""

    async def accept(self, change: changes.Change) -> changes.ChangeOutcome: ...

    def preview(
        self, change: changes.Change
    ) -> result.Result[tuple[differences.Difference, ...], changes.Problems]: ...


class Configuration(Protocol):
    """The declarations in force here."""

    @property
    def declarations(self) -> declarations.Declarations: ...


OnChange = collections.abc.Callable[[changes.Change, changes.ChangeOutcome], None]


@dataclasses.dataclass(slots=True)
class _Session:
    """An operator's connection.

    Attributes:
      nonce: What the operator has to sign; None after one attempt.
      operator: The operator's name; None before authentication.
    """

    nonce: bytes | None = None
    operator: str | None = None


class Operators:
    """Handles the operators' calls of one instance. Serve it with rpc.Server(SERVICE, handler)."""

    __slots__ = (
        "_acceptor",
        "_configuration",
        "_fleet",
        "_instance",
        "_on_change",
        "_on_refusal",
        "_secret",
        "_summaries",
        "_wall_time",
    )

    def __init__(
        self,
        *,
        instance: str,
        secret: str,
        configuration: Configuration,
        acceptor: Acceptor,
        fleet: Fleet,
        history: summaries.Summaries,
        wall_time: collections.abc.Callable[[], float],
        on_change: OnChange = lambda _change, _outcome: None,
        on_refusal: collections.abc.Callable[[str], None] = lambda _peer: None,
    ) -> None:
        """Creates the handler.

        Args:
          instance: This instance's id.
          secret: The operators' secret.
          configuration: The declarations in force here.
          acceptor: Puts changes in force.
          fleet: All instances.
          history: The hourly history of service levels.
          wall_time: Returns seconds since the epoch.
          on_change: Called with each change that is not a dry run and its outcome, for logs.
          on_refusal: Called with the address of a connection that failed to authenticate.
        """
        self._instance = instance
        self._secret = secret
        self._configuration = configuration
        self._acceptor = acceptor
        self._fleet = fleet
        self._summaries = history
        self._wall_time = wall_time
        self._on_change = on_change
        self._on_refusal = on_refusal

    async def hello(self, context: rpc.Context) -> ttypes.Challenge:
        """Returns what the operator has to sign."""
        session = _Session(secrets.token_bytes(NONCE_BYTES))
        context.state = session
        return ttypes.Challenge(self._instance, session.nonce)

    async def authenticate(self, context: rpc.Context, name: str, proof: bytes) -> None:
        """Checks an operator's proof. Raises OperatorFailure."""
        session = context.state
        nonce = session.nonce if isinstance(session, _Session) else None
        if nonce is not None:
            session.nonce = None  # A nonce serves one attempt.
            if hmac.compare_digest(proof, prove(self._secret, nonce, name)):
                session.operator = name
                return
        self._on_refusal(context.peer)
        raise _failure(errors.OperatorError.AUTHENTICATION_FAILED)

    async def apply(self, context: rpc.Context, message: ttypes.Change) -> ttypes.ChangeOutcome:
        """Puts a change in force, or tells what it would change."""
        operator = _operator(context)
        decoded = decode_change(message, operator)
        if isinstance(decoded, result.Failure):
            return encode_outcome(changes.Rejected(decoded.failure()), ())
        change = decoded.unwrap()
        if message.dry_run:
            return self._dry_run(change)
        outcome = await self._acceptor.accept(change)
        self._on_change(change, outcome)
        return encode_outcome(outcome, ())

    async def show(self, context: rpc.Context) -> ttypes.Document:
        """Returns the declarations in force at this instance."""
        _operator(context)
        current = self._configuration.declarations
        return ttypes.Document(current.version, documents.to_json(current))

    async def diff(self, context: rpc.Context, document: str) -> list[ttypes.Difference]:
        """Returns what a document would change. Raises OperatorFailure if it is refused."""
        _operator(context)
        found = documents.parse(document).bind(
            lambda whole: self._acceptor.preview(changes.Change("diff", replacement=whole))
        )
        if isinstance(found, result.Failure):
            detail = "; ".join(str(problem) for problem in found.failure())
            raise _failure(errors.OperatorError.INVALID_DOCUMENT, detail)
        return [_difference(one) for one in found.unwrap()]

    async def wait(self, context: rpc.Context, version: int, timeout_ms: int) -> ttypes.InForce:
        """Waits until a version is in force at every live instance."""
        _operator(context)
        if not 0 <= timeout_ms <= MAX_WAIT_S * 1000:
            detail = f"timeout_ms must be from 0 to {MAX_WAIT_S * 1000:.0f}"
            raise _failure(errors.OperatorError.INVALID_ARGUMENT, detail)
        now = asyncio.get_running_loop().time
        deadline = now() + timeout_ms / 1000
        lagging = await self._fleet.lagging(version)
        while lagging and now() < deadline:
            await asyncio.sleep(min(WAIT_POLL_S, deadline - now()))
            lagging = await self._fleet.lagging(version)
        count = self._fleet.instance_count
        return ttypes.InForce(max(0, count - len(lagging)), count, sorted(lagging))

    async def status(self, context: rpc.Context) -> bytes:
        """Returns the status of all groups and instances as JSON."""
        _operator(context)
        collected = await self._fleet.collect(0)
        now = asyncio.get_running_loop().time()
        declared = self._configuration.declarations
        return msgspec.json.encode(
            reports.combine_reports(self._instance, declared, collected, now)
        )

    async def report(self, context: rpc.Context, short_minutes: int, long_minutes: int) -> bytes:
        """Returns the service-level burn of all instances as JSON."""
        _operator(context)
        if not 0 < short_minutes <= long_minutes <= burn.HISTORY_MINUTES:
            detail = f"windows must satisfy 0 < short <= long <= {burn.HISTORY_MINUTES} minutes"
            raise _failure(errors.OperatorError.INVALID_ARGUMENT, detail)
        collected, hours = await asyncio.gather(
            self._fleet.collect(burn.HISTORY_MINUTES), self._summaries.read()
        )
        answered = [one.report for one in collected if one.report is not None]
        minutes = burn.merge_histories(report.minutes for report in answered)
        targets = self._configuration.declarations.targets
        minute = int(self._wall_time() // 60)
        burns = burn.evaluate(minutes, targets, minute, short_minutes, long_minutes)
        return msgspec.json.encode(
            burn.BurnReport(
                minute,
                short_minutes,
                long_minutes,
                burns,
                targets,
                minutes,
                hours,
                len(answered),
                len(collected),
            )
        )

    def _dry_run(self, change: changes.Change) -> ttypes.ChangeOutcome:
        current = self._configuration.declarations.version
        if change.expected_version not in (None, current):
            return encode_outcome(changes.Conflict(change.expected_version or 0, current), ())
        match self._acceptor.preview(change):
            case result.Success(found):
                return encode_outcome(changes.Accepted(current + 1), found)
            case result.Failure(refused):
                return encode_outcome(changes.Rejected(refused), ())
        raise AssertionError("a result is a success or a failure")


def decode_change(
    message: ttypes.Change, operator: str
) -> result.Result[changes.Change, changes.Problems]:
    """Reads a change from its message, or returns every problem with its form."""
    found: list[problems.Problem] = []
    whole = None
    if message.document is not None:
        if message.edits:
            found.append(problems.Problem("change", "", "has both a document and edits"))
        parsed = documents.parse(message.document)
        found += parsed.failure() if isinstance(parsed, result.Failure) else ()
        whole = parsed.value_or(None)
    elif not message.edits:
        found.append(problems.Problem("change", "", "has neither a document nor edits"))
    edits = [_edit(one, found) for one in message.edits]
    if found:
        return result.Failure(tuple(found))
    return result.Success(
        changes.Change(
            message.operation_id,
            whole,
            tuple(edit for edit in edits if edit is not None),
            message.expected_version,
            operator,
        )
    )


def _edit(message: ttypes.Edit, found: list[problems.Problem]) -> changes.Edit | None:
    try:
        kind = changes.EditKind(message.kind)
        name = message.name or ""
    except ValueError:
        found.append(problems.Problem("edit.kind", str(message.kind), "is not known"))
        return None
    declaration: Any = None
    if message.declaration is not None:
        classes = {
            changes.EditKind.ADD_GROUP: ("groups", declarations.GroupDeclaration),
            changes.EditKind.REPLACE_GROUP: ("groups", declarations.GroupDeclaration),
            changes.EditKind.ADD_CALLER: ("callers", declarations.CallerDeclaration),
            changes.EditKind.REPLACE_CALLER: ("callers", declarations.CallerDeclaration),
            changes.EditKind.SET_TARGETS: ("targets", declarations.Targets),
        }
        if kind not in classes:
            found.append(problems.Problem("edit.declaration", kind.name, "is not taken"))
            return None
        section, declared = classes[kind]
        field = f"{section}.{name}".rstrip(".")
        parsed: result.Result[Any, changes.Problems] = documents.parse_declaration(
            field, message.declaration, declared
        )
        if isinstance(parsed, result.Failure):
            found += parsed.failure()
            return None
        declaration = parsed.unwrap()
    return changes.Edit(kind, name, declaration, tuple(message.groups or ()))


def encode_outcome(
    outcome: changes.ChangeOutcome, found: collections.abc.Iterable[differences.Difference]
) -> ttypes.ChangeOutcome:
    """Returns the message of an outcome, with the differences that a dry run found."""
    match outcome:
        case changes.Accepted(version):
            accepted = ttypes.Accepted(version, [_difference(one) for one in found])
            return ttypes.ChangeOutcome(accepted=accepted)
        case changes.Rejected(refused):
            listed = [ttypes.Problem(one.field, one.value, one.rule) for one in refused]
            return ttypes.ChangeOutcome(rejected=ttypes.Rejected(listed))
        case changes.Conflict(mine, current):
            return ttypes.ChangeOutcome(conflict=ttypes.Conflict(mine, current))
        case changes.Undetermined(detail):
            return ttypes.ChangeOutcome(undetermined=ttypes.Undetermined(detail))


def _difference(one: differences.Difference) -> ttypes.Difference:
    return ttypes.Difference(one.field, one.before, one.after)


def _operator(context: rpc.Context) -> str:
    """Returns the authenticated operator's name. Raises OperatorFailure."""
    session = context.state
    if not isinstance(session, _Session) or session.operator is None:
        raise _failure(errors.OperatorError.NOT_AUTHENTICATED)
    return session.operator


def _failure(error: errors.OperatorError, detail: str = "") -> ttypes.OperatorFailure:
    return ttypes.OperatorFailure(int(error), detail or errors.describe(error))
