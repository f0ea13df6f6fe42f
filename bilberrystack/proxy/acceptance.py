"""Accepts operators' changes of the declarations at one instance.

A change takes effect with one conditional update of the head. The operation id in the head tells a
repeated or unanswered change from another one.
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

# Time to learn whether an unanswered update of the head took effect.
RESOLVE_LIMIT_S = 10.0
RESOLVE_PAUSE_S = 0.25

PUSH_LIMIT_S = 2.0

# Races that a change of other declarations is moved on past before the operator is told.
MAX_RACES = 5

MayAccept = collections.abc.Callable[[float, float | None], bool]


class Neighbours(configuration.Neighbours, Protocol):
    """What the acceptance of a change needs of the other instances."""

    async def lagging(self, version: int) -> list[str]:
        """Returns the live instances that aren't known to have at least a version."""

    async def push_head(self, head: bytes) -> None:
        """Sends a head to one instance of each failure domain, as far as they can be reached."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Base:
    """What a change is based on.

    Attributes:
      head: The head in force.
      document: The declarations in force.
      stored_version: The version of the stored head object, 0 if there is none.
      stored_parts: The digests of the parts that the stored head names.
    """

    head: parts.Head
    document: declarations.Declarations
    stored_version: int
    stored_parts: frozenset[str]


class Acceptor:
    """Validates changes and puts them in force, one at a time."""

    __slots__ = ("_configuration", "_lock", "_may_accept", "_neighbours", "_store")

    def __init__(
        self,
        store: interfaces.Store,
        current: configuration.Configuration,
        neighbours: Neighbours,
        may_accept: MayAccept,
    ) -> None:
        """Creates an acceptor.

        Args:
          store: The store.
          current: The instance's configuration.
          neighbours: The other instances.
          may_accept: Decides from the time and the contact with other instances, as
            core/freshness.py does.
        """
        self._store = store
        self._configuration = current
        self._neighbours = neighbours
        self._may_accept = may_accept
        self._lock = asyncio.Lock()

    async def accept(self, change: changes.Change) -> changes.ChangeOutcome:
        """Puts a change in force.

        Args:
          change: The change. Repeating it with the same operation id is safe.
        Returns:
          The outcome. A rejection concerns this attempt: an earlier one with the same operation id
          whose outcome was unknown may have taken effect.
        """
        if not 1 <= len(change.operation_id) <= parts.MAX_OPERATION_ID_LENGTH:
            rule = f"must have 1 to {parts.MAX_OPERATION_ID_LENGTH} characters"
            return _rejected("operation_id", change.operation_id, rule)
        async with self._lock:
            try:
                return await self._accept(change)
            except interfaces.StoreUnavailable:
                rule = "does not answer; this attempt has changed nothing"
                return _rejected("store", "", rule)

    def preview(
        self, change: changes.Change
    ) -> result.Result[tuple[differences.Difference, ...], changes.Problems]:
        """Returns what a change would alter at this instance's version, or why it is refused."""
        current = self._configuration.declarations
        new = changes.apply(change, current).bind(
            lambda document: validation.validate(document, current)
        )
        return new.map(lambda document: differences.between(current, document))

    async def _accept(self, change: changes.Change) -> changes.ChangeOutcome:
        first: _Base | None = None
        for _attempt in range(MAX_RACES):
            base = await self._read_base()
            if base is None:
                rule = "can't be read completely, or a peer has a newer one"
                return _rejected("stored configuration", "", rule)
            refusal = self._check_base(change, base, first)
            if refusal is not None:
                return refusal
            first = first or base
            match await self._prepare(change, base):
                case result.Success(document):
                    outcome = await self._commit(change, base, document)
                case result.Failure(found):
                    return changes.Rejected(found)
            if outcome is not None:
                return outcome
        return changes.Conflict(_based_on(change, first), self._configuration.version)

    async def _read_base(self) -> _Base | None:
        """Reads the stored head. Raises StoreUnavailable.

        If the store lost versions, the one in force at this instance is the base, so that an
        accepted configuration is never reverted. If this instance can't have the newest version,
        there is no base: a change of an older one would revert what lies between.
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
        self, change: changes.Change, base: _Base, first: _Base | None
    ) -> changes.ChangeOutcome | None:
        known = base.head.find_operation(change.operation_id)
        if known is not None:
            return _repeated(change, known)
        now = asyncio.get_running_loop().time()
        if not self._may_accept(now, self._neighbours.majority_contact_at(now)):
            rule = "not heard from lately by this instance; send the change to another one"
            return _rejected("majority of failure domains", "", rule)
        mine = _based_on(change, first or base)
        moved = first is not None and changes.affected_declarations(
            change, first.document
        ) != changes.affected_declarations(change, base.document)
        pinned = change.expected_version is not None and mine != base.head.version
        if moved or pinned:
            return changes.Conflict(mine, base.head.version)
        return None

    async def _prepare(
        self, change: changes.Change, base: _Base
    ) -> result.Result[declarations.Declarations, changes.Problems]:
        new = changes.apply(change, base.document).bind(
            lambda document: validation.validate(document, base.document)
        )
        changed = new.map(
            lambda document: validation.groups_with_changed_members(document, base.document)
        )
        if not changed.value_or([]):
            return new
        # An instance may still use an older member set, whose majorities need not intersect those
        # of the new one.
        lagging = await self._neighbours.lagging(base.head.version)
        if not lagging:
            return new
        rule = f"can't change before version {base.head.version} is in force everywhere"
        value = "lagging: " + ", ".join(sorted(lagging)[:10])
        return result.Failure(
            tuple(
                problems.Problem(f"groups.{name}.members", value, rule) for name in changed.unwrap()
            )
        )

    async def _commit(
        self, change: changes.Change, base: _Base, document: declarations.Declarations
    ) -> changes.ChangeOutcome | None:
        """Stores a version. Returns None if another change came first."""
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
        """Stores new parts. Raises StoreUnavailable; a part alone changes no configuration."""
        for key, content in contents.items():
            if key in stored:
                continue
            try:
                await self._put(configuration.PART_PREFIX + key, content, 0)
            except interfaces.VersionConflict:
                continue  # The same content is stored already.

    async def _put(self, key: str, content: bytes, expected_version: int) -> None:
        call = self._store.put(key, content, expected_version)
        await configuration.answer(call, configuration.ANSWER_LIMIT_S)

    async def _resolve(
        self, change: changes.Change, base: _Base, head: parts.Head
    ) -> changes.ChangeOutcome | None:
        """Learns whether an unanswered update took effect.

        While the stored version is unchanged the update may still arrive late, so it is repeated;
        it names the version that it replaces and takes effect at most once.

        Returns:
          Accepted, Undetermined, or None if another change came first.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RESOLVE_LIMIT_S
        while loop.time() < deadline:
            try:
                stored = await self._configuration.read_head()
                if stored is not None and stored.version > base.stored_version:
                    return _find(change, stored)
                await self._put(
                    configuration.HEAD_KEY, parts.encode_head(head), base.stored_version
                )
                return changes.Accepted(head.version)
            except (interfaces.StoreUnavailable, interfaces.VersionConflict):
                await asyncio.sleep(RESOLVE_PAUSE_S)
        detail = f"the store did not answer within {RESOLVE_LIMIT_S} s"
        return changes.Undetermined(f"{detail}; repeat with operation id {change.operation_id}")

    async def _push(self, head: parts.Head) -> None:
        try:
            async with asyncio.timeout(PUSH_LIMIT_S):
                await self._neighbours.push_head(parts.encode_head(head))
        except (TimeoutError, interfaces.LinkLost):
            # The others follow the store and the digests.
            return


def _find(change: changes.Change, stored: interfaces.StoredObject) -> changes.Accepted | None:
    head = parts.decode_head(stored.value).value_or(parts.EMPTY_HEAD)
    known = head.find_operation(change.operation_id)
    return None if known is None else changes.Accepted(known.version)


def _based_on(change: changes.Change, base: _Base | None) -> int:
    if change.expected_version is not None:
        return change.expected_version
    return base.head.version if base is not None else 0


def _repeated(change: changes.Change, known: parts.Operation) -> changes.ChangeOutcome:
    if known.fingerprint == change.fingerprint:
        return changes.Accepted(known.version)
    rule = f"was used by another change, which produced version {known.version}"
    return _rejected("operation_id", change.operation_id, rule)


def _rejected(field: str, value: str, rule: str) -> changes.Rejected:
    return changes.Rejected((problems.Problem(field, value, rule),))
