"""Operators' changes: replacement of all declarations, or edits of single declarations."""

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
    """Kind of an edit; the values are those of the operators' schema."""

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
      kind: Kind of the edit.
      name: Name of the declaration; empty for the targets.
      declaration: The new declaration if the edit adds or replaces one; None otherwise.
      groups: Names of the groups to grant or revoke.
    """

    kind: EditKind
    name: str = ""
    declaration: Declaration | None = None
    groups: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A configuration change requested by an operator.

    Attributes:
      operation_id: Identifies the change, so that it can be repeated safely.
      replacement: Complete new set of declarations; None if the change consists of edits.
      edits: Edits, applied in order.
      expected_version: Configuration version that the change is based on; None for the current one.
      operator: Name of the operator, for logs.
    """

    operation_id: str
    replacement: declarations.Declarations | None = None
    edits: tuple[Edit, ...] = ()
    expected_version: int | None = None
    operator: str = ""

    @property
    def fingerprint(self) -> str:
        """Digest of the change's content, independent of the version that it is based on."""
        replacement = self.replacement and dataclasses.replace(self.replacement, version=0)
        content = msgspec.msgpack.encode((replacement, self.edits), order="deterministic")
        return hashlib.sha256(content).hexdigest()[:16]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force, or would be in force if it were not a dry run.

    Attributes:
      version: Configuration version that the change produced.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change did not and will not take effect.

    Attributes:
      problems: Reasons for the rejection.
    """

    problems: Problems


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The change did not and will not take effect, because another change was accepted before it.

    Attributes:
      base_version: Configuration version that the change is based on.
      current_version: Configuration version in force.
    """

    base_version: int
    current_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Undetermined:
    """It is unknown whether the change took effect; it can be repeated with the same operation id.

    Attributes:
      detail: Description for operators.
    """

    detail: str


ChangeOutcome = Accepted | Rejected | Conflict | Undetermined


def apply(
    change: Change, current: declarations.Declarations
) -> result.Result[declarations.Declarations, Problems]:
    """Applies a change to a set of declarations, without validating the result.

    Args:
      change: The change.
      current: The current set of declarations, which is not modified.
    Returns:
      The new set with the next version, or the problems of edits that can't be applied.
    """
    document = change.replacement if change.replacement is not None else current
    document = dataclasses.replace(
        document,
        version=current.version + 1,
        groups=dict(document.groups),
        callers=dict(document.callers),
    )
    found_problems: list[problems.Problem] = []
    for edit in change.edits:
        document = _apply_edit(document, edit, found_problems)
    return result.Failure(tuple(found_problems)) if found_problems else result.Success(document)


def affected_declarations(change: Change, current: declarations.Declarations) -> tuple[object, ...]:
    """Returns the current declarations that a change would replace or remove.

    A change that lost a race against another change may be applied to the newer version if these
    declarations are equal there. Grants and revocations are not included, because they can be
    combined with other changes of the same caller.
    """
    if change.replacement is not None:
        return (current.groups, current.callers, current.targets)
    return tuple(_affected_by_edit(edit, current) for edit in change.edits)


def _affected_by_edit(edit: Edit, current: declarations.Declarations) -> object:
    match edit.kind:
        case EditKind.REPLACE_GROUP | EditKind.REMOVE_GROUP:
            return current.groups.get(edit.name)
        case EditKind.REPLACE_CALLER | EditKind.REMOVE_CALLER:
            return current.callers.get(edit.name)
        case EditKind.SET_TARGETS:
            return current.targets
    return None


def _apply_edit(
    document: declarations.Declarations, edit: Edit, found_problems: list[problems.Problem]
) -> declarations.Declarations:
    declaration = edit.declaration
    match edit.kind, declaration:
        case EditKind.ADD_GROUP | EditKind.REPLACE_GROUP, declarations.GroupDeclaration():
            _add_or_replace(document.groups, "groups", edit, declaration, found_problems)
        case EditKind.ADD_CALLER | EditKind.REPLACE_CALLER, declarations.CallerDeclaration():
            _add_or_replace(document.callers, "callers", edit, declaration, found_problems)
        case EditKind.REMOVE_GROUP, None:
            _remove(document.groups, "groups", edit, found_problems)
        case EditKind.REMOVE_CALLER, None:
            _remove(document.callers, "callers", edit, found_problems)
        case EditKind.GRANT | EditKind.REVOKE, None:
            _change_grants(document.callers, edit, found_problems)
        case EditKind.SET_TARGETS, declarations.Targets():
            return dataclasses.replace(document, targets=declaration)
        case _:
            found_problems.append(
                problems.Problem("edit", edit.kind.name, "has the wrong declaration")
            )
    return document


def _add_or_replace(
    declarations_by_name: dict[str, One],
    section: str,
    edit: Edit,
    new: One,
    found_problems: list[problems.Problem],
) -> None:
    adds = edit.kind in (EditKind.ADD_GROUP, EditKind.ADD_CALLER)
    if adds and edit.name in declarations_by_name:
        found_problems.append(problems.Problem(f"{section}.{edit.name}", "", "is already declared"))
    elif not adds and edit.name not in declarations_by_name:
        found_problems.append(problems.Problem(f"{section}.{edit.name}", "", "is not declared"))
    else:
        declarations_by_name[edit.name] = new


def _remove(
    declarations_by_name: dict[str, One],
    section: str,
    edit: Edit,
    found_problems: list[problems.Problem],
) -> None:
    if declarations_by_name.pop(edit.name, None) is None:
        found_problems.append(problems.Problem(f"{section}.{edit.name}", "", "is not declared"))


def _change_grants(
    callers: dict[str, declarations.CallerDeclaration],
    edit: Edit,
    found_problems: list[problems.Problem],
) -> None:
    caller = callers.get(edit.name)
    if caller is None:
        found_problems.append(problems.Problem(f"callers.{edit.name}", "", "is not declared"))
        return
    if edit.kind == EditKind.GRANT:
        groups = tuple(dict.fromkeys(caller.groups + edit.groups))
    else:
        groups = tuple(group for group in caller.groups if group not in edit.groups)
    callers[edit.name] = dataclasses.replace(caller, groups=groups)
