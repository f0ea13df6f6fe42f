"""Operators' calls at one instance.

Operators change declarations and read status. No call modifies state that the system manages.
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
WAIT_POLL_INTERVAL_S = 0.25


def operator_proof(secret: str, nonce: bytes, operator_name: str) -> bytes:
    """Return the HMAC that proves an operator's knowledge of the secret.

    Args:
      secret: The operators' secret.
      nonce: The nonce from the instance's challenge.
      operator_name: The operator's name.
    """
    message = nonce + operator_name.encode()
    return hmac.digest(secret.encode(), message, hashlib.sha256)


class Fleet(summaries.Collector, Protocol):
    """All live instances; see fleet.Fleet."""

    @property
    def instance_count(self) -> int: ...

    async def lagging_instances(self, version: int) -> list[str]: ...


class Acceptor(Protocol):
    """Validates changes and puts them in force; see acceptance.Acceptor."""

    async def accept(self, change: changes.Change) -> changes.ChangeOutcome: ...

    def preview(
        self, change: changes.Change
    ) -> result.Result[tuple[differences.Difference, ...], changes.Problems]: ...


class Configuration(Protocol):
    """The configuration of this instance; see configuration.Configuration."""

    @property
    def declarations(self) -> declarations.Declarations: ...


OnChange = collections.abc.Callable[[changes.Change, changes.ChangeOutcome], None]


@dataclasses.dataclass(slots=True)
class _Session:
    """The state of an operator's connection.

    Attributes:
      nonce: The nonce that the operator has to sign; None after one attempt.
      operator: The operator's name; None before authentication.
    """

    nonce: bytes | None = None
    operator: str | None = None


class OperatorHandler:
    """Handler of operators' calls, to be served with rpc.Server(SERVICE, handler)."""

    __slots__ = (
        "_acceptor",
        "_configuration",
        "_fleet",
        "_instance",
        "_on_authentication_failure",
        "_on_change",
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
        history: summaries.HourlySummaries,
        wall_time: collections.abc.Callable[[], float],
        on_change: OnChange = lambda _change, _outcome: None,
        on_authentication_failure: collections.abc.Callable[[str], None] = lambda _peer: None,
    ) -> None:
        """Create the handler.

        Args:
          instance: This instance's id.
          secret: The operators' secret.
          configuration: The configuration of this instance.
          acceptor: Validates changes and puts them in force.
          fleet: All live instances.
          history: The hourly history of service levels.
          wall_time: Returns seconds since the epoch.
          on_change: Called with each change, other than dry runs, and its outcome.
          on_authentication_failure: Called with the peer address of a connection whose
            authentication failed.
        """
        self._instance = instance
        self._secret = secret
        self._configuration = configuration
        self._acceptor = acceptor
        self._fleet = fleet
        self._summaries = history
        self._wall_time = wall_time
        self._on_change = on_change
        self._on_authentication_failure = on_authentication_failure

    async def hello(self, context: rpc.Context) -> ttypes.Challenge:
        """Return a challenge with the nonce that the operator has to sign."""
        session = _Session(secrets.token_bytes(NONCE_BYTES))
        context.state = session
        return ttypes.Challenge(self._instance, session.nonce)

    async def authenticate(self, context: rpc.Context, name: str, proof: bytes) -> None:
        """Authenticate the connection with an operator's proof.

        Raises:
          OperatorFailure: The proof is wrong, or there is no unused nonce.
        """
        session = context.state
        nonce = session.nonce if isinstance(session, _Session) else None
        if nonce is not None:
            session.nonce = None  # A nonce is valid for one attempt.
            if hmac.compare_digest(proof, operator_proof(self._secret, nonce, name)):
                session.operator = name
                return
        self._on_authentication_failure(context.peer)
        raise _operator_failure(errors.OperatorError.AUTHENTICATION_FAILED)

    async def apply(self, context: rpc.Context, message: ttypes.Change) -> ttypes.ChangeOutcome:
        """Put a change in force, or return its differences if it is a dry run.

        Raises:
          OperatorFailure: The connection is not authenticated.
        """
        operator = _authenticated_operator(context)
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
        """Return the declarations in force at this instance.

        Raises:
          OperatorFailure: The connection is not authenticated.
        """
        _authenticated_operator(context)
        current = self._configuration.declarations
        return ttypes.Document(current.version, documents.to_json(current))

    async def diff(self, context: rpc.Context, document: str) -> list[ttypes.Difference]:
        """Return the differences between the declarations in force and a document.

        Raises:
          OperatorFailure: The connection is not authenticated, or the document is invalid.
        """
        _authenticated_operator(context)
        preview = documents.parse(document).bind(
            lambda replacement: self._acceptor.preview(
                changes.Change("diff", replacement=replacement)
            )
        )
        if isinstance(preview, result.Failure):
            detail = "; ".join(str(problem) for problem in preview.failure())
            raise _operator_failure(errors.OperatorError.INVALID_DOCUMENT, detail)
        return [_encode_difference(difference) for difference in preview.unwrap()]

    async def wait(self, context: rpc.Context, version: int, timeout_ms: int) -> ttypes.InForce:
        """Wait until a version is in force at every live instance.

        Args:
          context: The connection.
          version: The configuration version.
          timeout_ms: The maximum wait, in milliseconds.
        Returns:
          The number of live instances that have the version, the number of all live instances, and
          the ids of those that do not have the version.
        Raises:
          OperatorFailure: The connection is not authenticated, or the timeout is out of range.
        """
        _authenticated_operator(context)
        if not 0 <= timeout_ms <= MAX_WAIT_S * 1000:
            detail = f"timeout_ms must be from 0 to {MAX_WAIT_S * 1000:.0f}"
            raise _operator_failure(errors.OperatorError.INVALID_ARGUMENT, detail)
        now = asyncio.get_running_loop().time
        deadline = now() + timeout_ms / 1000
        lagging = await self._fleet.lagging_instances(version)
        while lagging and now() < deadline:
            await asyncio.sleep(min(WAIT_POLL_INTERVAL_S, deadline - now()))
            lagging = await self._fleet.lagging_instances(version)
        count = self._fleet.instance_count
        return ttypes.InForce(max(0, count - len(lagging)), count, sorted(lagging))

    async def status(self, context: rpc.Context) -> bytes:
        """Return the status of all groups and instances as JSON.

        Raises:
          OperatorFailure: The connection is not authenticated.
        """
        _authenticated_operator(context)
        collected = await self._fleet.collect_reports(0)
        now = asyncio.get_running_loop().time()
        declared = self._configuration.declarations
        return msgspec.json.encode(
            reports.combine_reports(self._instance, declared, collected, now)
        )

    async def report(self, context: rpc.Context, short_minutes: int, long_minutes: int) -> bytes:
        """Return the error budget burn of all instances as JSON.

        Args:
          context: The connection.
          short_minutes: The length of the short window, in minutes.
          long_minutes: The length of the long window, in minutes.
        Raises:
          OperatorFailure: The connection is not authenticated, or a window is out of range.
        """
        _authenticated_operator(context)
        if not 0 < short_minutes <= long_minutes <= burn.HISTORY_MINUTES:
            detail = f"windows must satisfy 0 < short <= long <= {burn.HISTORY_MINUTES} minutes"
            raise _operator_failure(errors.OperatorError.INVALID_ARGUMENT, detail)
        collected, hours = await asyncio.gather(
            self._fleet.collect_reports(burn.HISTORY_MINUTES), self._summaries.read()
        )
        answered = [reply.report for reply in collected if reply.report is not None]
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
            case result.Success(found_differences):
                return encode_outcome(changes.Accepted(current + 1), found_differences)
            case result.Failure(found_problems):
                return encode_outcome(changes.Rejected(found_problems), ())
        raise AssertionError("a result is a success or a failure")


def decode_change(
    message: ttypes.Change, operator: str
) -> result.Result[changes.Change, changes.Problems]:
    """Return the change in a message, or all problems with its form.

    Args:
      message: The message.
      operator: The name of the operator who made the change.
    """
    found_problems: list[problems.Problem] = []
    replacement = None
    if message.document is not None:
        if message.edits:
            found_problems.append(problems.Problem("change", "", "has both a document and edits"))
        parsed = documents.parse(message.document)
        found_problems += parsed.failure() if isinstance(parsed, result.Failure) else ()
        replacement = parsed.value_or(None)
    elif not message.edits:
        found_problems.append(problems.Problem("change", "", "has neither a document nor edits"))
    edits = [_decode_edit(edit, found_problems) for edit in message.edits]
    if found_problems:
        return result.Failure(tuple(found_problems))
    return result.Success(
        changes.Change(
            message.operation_id,
            replacement,
            tuple(edit for edit in edits if edit is not None),
            message.expected_version,
            operator,
        )
    )


def _decode_edit(
    message: ttypes.Edit, found_problems: list[problems.Problem]
) -> changes.Edit | None:
    try:
        kind = changes.EditKind(message.kind)
        name = message.name or ""
    except ValueError:
        found_problems.append(problems.Problem("edit.kind", str(message.kind), "is not known"))
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
            found_problems.append(problems.Problem("edit.declaration", kind.name, "is not taken"))
            return None
        section, declaration_class = classes[kind]
        field = f"{section}.{name}".rstrip(".")
        parsed: result.Result[Any, changes.Problems] = documents.parse_declaration(
            field, message.declaration, declaration_class
        )
        if isinstance(parsed, result.Failure):
            found_problems += parsed.failure()
            return None
        declaration = parsed.unwrap()
    return changes.Edit(kind, name, declaration, tuple(message.groups or ()))


def encode_outcome(
    outcome: changes.ChangeOutcome,
    found_differences: collections.abc.Iterable[differences.Difference],
) -> ttypes.ChangeOutcome:
    """Return the message for an outcome.

    Args:
      outcome: The outcome.
      found_differences: The differences found by a dry run; empty for other changes.
    """
    match outcome:
        case changes.Accepted(version):
            accepted = ttypes.Accepted(
                version, [_encode_difference(difference) for difference in found_differences]
            )
            return ttypes.ChangeOutcome(accepted=accepted)
        case changes.Rejected(found_problems):
            encoded = [
                ttypes.Problem(problem.field, problem.value, problem.rule)
                for problem in found_problems
            ]
            return ttypes.ChangeOutcome(rejected=ttypes.Rejected(encoded))
        case changes.Conflict(base_version, current_version):
            return ttypes.ChangeOutcome(conflict=ttypes.Conflict(base_version, current_version))
        case changes.Undetermined(detail):
            return ttypes.ChangeOutcome(undetermined=ttypes.Undetermined(detail))


def _encode_difference(difference: differences.Difference) -> ttypes.Difference:
    return ttypes.Difference(difference.field, difference.before, difference.after)


def _authenticated_operator(context: rpc.Context) -> str:
    """Return the authenticated operator's name. Raises OperatorFailure."""
    session = context.state
    if not isinstance(session, _Session) or session.operator is None:
        raise _operator_failure(errors.OperatorError.NOT_AUTHENTICATED)
    return session.operator


def _operator_failure(error: errors.OperatorError, detail: str = "") -> ttypes.OperatorFailure:
    return ttypes.OperatorFailure(int(error), detail or errors.describe(error))
