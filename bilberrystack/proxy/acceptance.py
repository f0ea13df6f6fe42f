"""Validation and acceptance of operators' changes of the declarations at one instance.

A change takes effect with one conditional update of the stored head. The head records operation
ids, which identify repeated changes and changes whose update was not answered.
"""

import asyncio
import collections.abc
import dataclasses
from typing import Protocol

from returns import result

from bilberrystack.core import changes
from bilberrystack.core import declarations
from bilberrystack.core import differences
from bilberrystack.core import parts
from bilberrystack.core import problems
from bilberrystack.core import validation
from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces

# Maximum time to determine whether an unanswered update of the head took effect.
RESOLVE_TIMEOUT_S = 10.0
RESOLVE_RETRY_INTERVAL_S = 0.25

PUSH_TIMEOUT_S = 2.0

# Maximum attempts to commit a change when concurrent changes of other declarations are committed
# first. After that the operator gets a conflict.
MAX_COMMIT_ATTEMPTS = 5

AcceptanceRule = collections.abc.Callable[[float, float | None], bool]


class Fleet(configuration.PeerContacts, Protocol):
    """The other instances, as the acceptance of a change requires them; see fleet.Fleet."""

    async def lagging_instances(self, version: int) -> list[str]:
        """Return the ids of live instances not known to have a version or a newer one."""

    async def push_head(self, head: bytes) -> None:
        """Send a head to one reachable instance of each failure domain."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Base:
    """The configuration that a change is applied to.

    Attributes:
      head: The head in force at this instance.
      document: The declarations in force at this instance.
      stored_version: The version of the stored head object, 0 if there is none.
      stored_parts: The digests of the parts that the stored head names.
    """

    head: parts.Head
    document: declarations.Declarations
    stored_version: int
    stored_parts: frozenset[str]


class Acceptor:
    """Validates changes and commits them to the store, one at a time."""

    __slots__ = ("_configuration", "_fleet", "_lock", "_may_accept", "_store")

    def __init__(
        self,
        store: interfaces.Store,
        current: configuration.Configuration,
        fleet: Fleet,
        may_accept: AcceptanceRule,
    ) -> None:
        """Create an acceptor.

        Args:
          store: The platform's store.
          current: The instance's configuration.
          fleet: The other instances.
          may_accept: Returns whether changes may be accepted, given the current time and the time
            of the last contact with a majority of failure domains; see core/freshness.py.
        """
        self._store = store
        self._configuration = current
        self._fleet = fleet
        self._may_accept = may_accept
        self._lock = asyncio.Lock()

    async def accept(self, change: changes.Change) -> changes.ChangeOutcome:
        """Validate a change and put it in force.

        Args:
          change: The change. It can safely be repeated with the same operation id.
        Returns:
          The outcome. A rejection applies to this attempt only: an earlier attempt with the same
          operation id whose outcome was unknown may have taken effect.
        """
        if not 1 <= len(change.operation_id) <= parts.MAX_OPERATION_ID_LENGTH:
            rule = f"must have 1 to {parts.MAX_OPERATION_ID_LENGTH} characters"
            return _rejection("operation_id", change.operation_id, rule)
        async with self._lock:
            try:
                return await self._accept(change)
            except interfaces.StoreUnavailable:
                rule = "does not answer; this attempt has changed nothing"
                return _rejection("store", "", rule)

    def preview(
        self, change: changes.Change
    ) -> result.Result[tuple[differences.Difference, ...], changes.Problems]:
        """Determine what a change would alter, without making it.

        Returns:
          The differences from the declarations in force at this instance, or all problems of the
          change.
        """
        current = self._configuration.declarations
        new_document = changes.apply(change, current).bind(
            lambda document: validation.validate(document, current)
        )
        return new_document.map(lambda document: differences.between(current, document))

    async def _accept(self, change: changes.Change) -> changes.ChangeOutcome:
        first_base: _Base | None = None
        for _attempt in range(MAX_COMMIT_ATTEMPTS):
            base = await self._read_base()
            if base is None:
                rule = "can't be read completely, or a peer has a newer one"
                return _rejection("stored configuration", "", rule)
            refusal = self._check_base(change, base, first_base)
            if refusal is not None:
                return refusal
            first_base = first_base or base
            match await self._build_document(change, base):
                case result.Success(document):
                    outcome = await self._commit(change, base, document)
                case result.Failure(found_problems):
                    return changes.Rejected(found_problems)
            if outcome is not None:
                return outcome
        return changes.Conflict(_base_version(change, first_base), self._configuration.version)

    async def _read_base(self) -> _Base | None:
        """Read the stored head and return the base for a change.

        If the store has lost versions, the version in force at this instance is the base, so that
        an accepted configuration is never reverted.

        Returns:
          The base, or None if this instance can't get the newest known version: a change of an
          older version would revert the changes made since.
        Raises:
          StoreUnavailable: The store did not answer.
        """
        stored = await self._configuration.read_head()
        stored_head = parts.EMPTY_HEAD
        if stored is not None:
            await self._configuration.apply_stored(stored)
            decoded = parts.decode_head(stored.value)
            if isinstance(decoded, result.Failure):
                return None
            stored_head = decoded.unwrap()
        newest = max(stored_head.version, self._configuration.newest_known_version)
        if self._configuration.version < newest:
            return None
        return _Base(
            self._configuration.head,
            self._configuration.declarations,
            stored.version if stored is not None else 0,
            frozenset(stored_head.digests),
        )

    def _check_base(
        self, change: changes.Change, base: _Base, first_base: _Base | None
    ) -> changes.ChangeOutcome | None:
        """Return the outcome of a change that can't be applied to a base; None if it can."""
        operation = base.head.find_operation(change.operation_id)
        if operation is not None:
            return _resolve_repetition(change, operation)
        now = asyncio.get_running_loop().time()
        if not self._may_accept(now, self._fleet.majority_contact_at(now)):
            rule = "not heard from lately by this instance; send the change to another one"
            return _rejection("majority of failure domains", "", rule)
        base_version = _base_version(change, first_base or base)
        target_changed = first_base is not None and changes.affected_declarations(
            change, first_base.document
        ) != changes.affected_declarations(change, base.document)
        version_differs = change.expected_version is not None and base_version != base.head.version
        if target_changed or version_differs:
            return changes.Conflict(base_version, base.head.version)
        return None

    async def _build_document(
        self, change: changes.Change, base: _Base
    ) -> result.Result[declarations.Declarations, changes.Problems]:
        """Return the validated declarations after a change, or the problems of the change."""
        new_document = changes.apply(change, base.document).bind(
            lambda document: validation.validate(document, base.document)
        )
        changed_groups = new_document.map(
            lambda document: validation.groups_with_changed_members(document, base.document)
        )
        if not changed_groups.value_or([]):
            return new_document
        # An instance may still use an older member set, whose majorities need not intersect the
        # majorities of the new one.
        lagging = await self._fleet.lagging_instances(base.head.version)
        if not lagging:
            return new_document
        rule = f"can't change before version {base.head.version} is in force everywhere"
        value = "lagging: " + ", ".join(sorted(lagging)[:10])
        return result.Failure(
            tuple(
                problems.Problem(f"groups.{name}.members", value, rule)
                for name in changed_groups.unwrap()
            )
        )

    async def _commit(
        self, change: changes.Change, base: _Base, document: declarations.Declarations
    ) -> changes.ChangeOutcome | None:
        """Store a version; return None if another change was committed first."""
        digests, contents = parts.encode_parts(document)
        head = parts.next_head(base.head, digests, change.operation_id, change.fingerprint)
        await self._store_parts(contents, base.stored_parts)
        try:
            await self._put(configuration.HEAD_KEY, parts.encode_head(head), base.stored_version)
        except interfaces.VersionConflict:
            return None
        except interfaces.StoreUnavailable:
            outcome = await self._resolve(change, base, head)
            if not isinstance(outcome, changes.Accepted):
                return outcome
        self._configuration.apply(head, contents)
        await self._push(head)
        return changes.Accepted(head.version)

    async def _store_parts(
        self, contents: collections.abc.Mapping[str, bytes], stored: frozenset[str]
    ) -> None:
        """Store the parts that the store does not have.

        Parts take effect only through a head that names them.

        Raises:
          StoreUnavailable: The store did not answer.
        """
        for key, content in contents.items():
            if key in stored:
                continue
            try:
                await self._put(configuration.PART_PREFIX + key, content, 0)
            except interfaces.VersionConflict:
                # The key is the digest of the content, so the store has the same content already.
                continue

    async def _put(self, key: str, content: bytes, expected_version: int) -> None:
        call = self._store.put(key, content, expected_version)
        await configuration.await_store(call, configuration.ANSWER_TIMEOUT_S)

    async def _resolve(
        self, change: changes.Change, base: _Base, head: parts.Head
    ) -> changes.ChangeOutcome | None:
        """Determine whether an unanswered update of the head took effect.

        While the stored version is unchanged, the update may still arrive late, so it is repeated.
        It names the version that it replaces, so it takes effect at most once.

        Returns:
          Accepted, Undetermined, or None if another change was committed first.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RESOLVE_TIMEOUT_S
        while loop.time() < deadline:
            try:
                stored = await self._configuration.read_head()
                if stored is not None and stored.version > base.stored_version:
                    return _find_accepted(change, stored)
                await self._put(
                    configuration.HEAD_KEY, parts.encode_head(head), base.stored_version
                )
                return changes.Accepted(head.version)
            except (interfaces.StoreUnavailable, interfaces.VersionConflict):
                await asyncio.sleep(RESOLVE_RETRY_INTERVAL_S)
        detail = f"the store did not answer within {RESOLVE_TIMEOUT_S} s"
        return changes.Undetermined(f"{detail}; repeat with operation id {change.operation_id}")

    async def _push(self, head: parts.Head) -> None:
        try:
            async with asyncio.timeout(PUSH_TIMEOUT_S):
                await self._fleet.push_head(parts.encode_head(head))
        except (TimeoutError, interfaces.LinkLost):
            # The other instances learn of the version from the store or from digests.
            return


def _find_accepted(
    change: changes.Change, stored: interfaces.StoredObject
) -> changes.Accepted | None:
    head = parts.decode_head(stored.value).value_or(parts.EMPTY_HEAD)
    operation = head.find_operation(change.operation_id)
    return None if operation is None else changes.Accepted(operation.version)


def _base_version(change: changes.Change, base: _Base | None) -> int:
    if change.expected_version is not None:
        return change.expected_version
    return base.head.version if base is not None else 0


def _resolve_repetition(
    change: changes.Change, operation: parts.Operation
) -> changes.ChangeOutcome:
    if operation.fingerprint == change.fingerprint:
        return changes.Accepted(operation.version)
    rule = f"was used by another change, which produced version {operation.version}"
    return _rejection("operation_id", change.operation_id, rule)


def _rejection(field: str, value: str, rule: str) -> changes.Rejected:
    return changes.Rejected((problems.Problem(field, value, rule),))
