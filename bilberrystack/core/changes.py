"""Operators' changes: a whole set of declarations, or edits of single ones."""

import dataclasses
import enum
import hashlib
from typing import TypeVar

import msgspec
from returns import result

from bilberrystack.core import declarations
from bilberrystack.core import problems

Problems = tuple[problems.Problem, ...]


class EditKind(enum.IntEnum):
    """What an edit does; the numbers are those of the operators' schema."""

    ADD_GROUP = 1
    REPLACE_GROUP = 2
    REMOVE_GROUP = 3
    ADD_CALLER = 4
    REPLACE_CALLER = 5
    REMOVE_CALLER = 6
    GRANT = 7
    REVOKE = 8
    SET_TARGETS = 9


One = TypeVar("One", declarations.GroupDeclaration, declarations.CallerDeclaration)
Declaration = declarations.GroupDeclaration | declarations.CallerDeclaration | declarations.Targets


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An edit of one declaration.

    Attributes:
      kind: What it does.
      name: The name of the declaration; empty for the targets.
      declaration: The new declaration, for adding and replacing.
      groups: The groups to grant or revoke.
    """

    kind: EditKind
    name: str = ""
    declaration: Declaration | None = None
    groups: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change as an operator asked for it.

    Attributes:
      operation_id: Names the change, so that it can be repeated safely.
      whole: The whole new set of declarations; None for edits.
      edits: Edits, applied in order.
      expected_version: The version that the change is based on; None for the current one.
      operator: Who asked, for logs.
    """

    operation_id: str
    whole: declarations.Declarations | None = None
    edits: tuple[Edit, ...] = ()
    expected_version: int | None = None
    operator: str = ""

    @property
    def fingerprint(self) -> str:
        """A digest of what the change does, independent of the version that it is based on."""
        whole = self.whole and dataclasses.replace(self.whole, version=0)
        content = msgspec.msgpack.encode((whole, self.edits), order="deterministic")
        return hashlib.sha256(content).hexdigest()[:16]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force, or would be after a dry run.

    Attributes:
      version: The version that it produced.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change did not and will not take effect.

    Attributes:
      problems: Why.
    """

    problems: Problems


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another change came first; this one did not and will not take effect.

    Attributes:
      mine: The version that the change is based on.
      current: The version in force.
    """

    mine: int
    current: int


@dataclasses.dataclass(frozen=True, slots=True)
class Undetermined:
    """The change may or may not have taken effect; repeat it with the same operation id."""

    detail: str


ChangeOutcome = Accepted | Rejected | Conflict | Undetermined


def apply(
    change: Change, current: declarations.Declarations
) -> result.Result[declarations.Declarations, Problems]:
    """Applies a change to a set of declarations, without validation of the result.

    Args:
      change: The change.
      current: The current set.
    Returns:
      The new set with the next version, or the edits that don't fit the current set.
    """
    document = change.whole if change.whole is not None else current
    document = dataclasses.replace(
        document,
        version=current.version + 1,
        groups=dict(document.groups),
        callers=dict(document.callers),
    )
    found: list[problems.Problem] = []
    for edit in change.edits:
        document = _edit(document, edit, found)
    return result.Failure(tuple(found)) if found else result.Success(document)


def touched(change: Change, current: declarations.Declarations) -> tuple[object, ...]:
    """Returns the current declarations that a change would replace or remove.

    A change that lost a race may be applied to the newer version if these are the same there.
    Grants combine with other changes of the caller.
    """
    if change.whole is not None:
        return (current.groups, current.callers, current.targets)
    return tuple(_touched(edit, current) for edit in change.edits)


def _touched(edit: Edit, current: declarations.Declarations) -> object:
    match edit.kind:
        case EditKind.REPLACE_GROUP | EditKind.REMOVE_GROUP:
            return current.groups.get(edit.name)
        case EditKind.REPLACE_CALLER | EditKind.REMOVE_CALLER:
            return current.callers.get(edit.name)
        case EditKind.SET_TARGETS:
            return current.targets
    return None


def _edit(
    document: declarations.Declarations, edit: Edit, found: list[problems.Problem]
) -> declarations.Declarations:
    declaration = edit.declaration
    match edit.kind, declaration:
        case EditKind.ADD_GROUP | EditKind.REPLACE_GROUP, declarations.GroupDeclaration():
            _put(document.groups, "groups", edit, declaration, found)
        case EditKind.ADD_CALLER | EditKind.REPLACE_CALLER, declarations.CallerDeclaration():
            _put(document.callers, "callers", edit, declaration, found)
        case EditKind.REMOVE_GROUP, None:
            _remove(document.groups, "groups", edit, found)
        case EditKind.REMOVE_CALLER, None:
            _remove(document.callers, "callers", edit, found)
        case EditKind.GRANT | EditKind.REVOKE, None:
            _change_grants(document.callers, edit, found)
        case EditKind.SET_TARGETS, declarations.Targets():
            return dataclasses.replace(document, targets=declaration)
        case _:
            found.append(problems.Problem("edit", edit.kind.name, "has the wrong declaration"))
    return document


def _put(
    named: dict[str, One], section: str, edit: Edit, new: One, found: list[problems.Problem]
) -> None:
    adds = edit.kind in (EditKind.ADD_GROUP, EditKind.ADD_CALLER)
    if adds and edit.name in named:
        found.append(problems.Problem(f"{section}.{edit.name}", "", "is already declared"))
    elif not adds and edit.name not in named:
        found.append(problems.Problem(f"{section}.{edit.name}", "", "is not declared"))
    else:
        named[edit.name] = new


def _remove(named: dict[str, One], section: str, edit: Edit, found: list[problems.Problem]) -> None:
    if named.pop(edit.name, None) is None:
        found.append(problems.Problem(f"{section}.{edit.name}", "", "is not declared"))


def _change_grants(
    callers: dict[str, declarations.CallerDeclaration],
    edit: Edit,
    found: list[problems.Problem],
) -> None:
    caller = callers.get(edit.name)
    if caller is None:
        found.append(problems.Problem(f"callers.{edit.name}", "", "is not declared"))
        return
    if edit.kind == EditKind.GRANT:
        groups = tuple(dict.fromkeys(caller.groups + edit.groups))
    else:
        groups = tuple(group for group in caller.groups if group not in edit.groups)
    callers[edit.name] = dataclasses.replace(caller, groups=groups)
