"""Differences between two sets of declarations."""

import dataclasses
from typing import Any

import msgspec

from bilberrystack.core import declarations


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Difference in one declaration or field.

    Attributes:
      field: Path of an added or removed declaration, or of a field that differs.
      before: Previous value as JSON; None if there was none.
      after: New value as JSON; None if there is none.
    """

    field: str
    before: str | None
    after: str | None


def between(
    before: declarations.Declarations, after: declarations.Declarations
) -> tuple[Difference, ...]:
    """Returns the differences between two sets of declarations, in the order of their paths."""
    differences: list[Difference] = []
    _compare("groups", _fields_by_name(before.groups), _fields_by_name(after.groups), differences)
    _compare(
        "callers", _fields_by_name(before.callers), _fields_by_name(after.callers), differences
    )
    _compare("targets", _fields(before.targets), _fields(after.targets), differences)
    return tuple(sorted(differences, key=lambda difference: difference.field))


def _fields_by_name(declarations_by_name: dict[str, Any]) -> dict[str, Any]:
    return {name: _fields(declaration) for name, declaration in declarations_by_name.items()}


def _fields(declaration: Any) -> dict[str, Any]:
    """Returns a declaration as nested dictionaries, with the members by name."""
    fields: dict[str, Any] = msgspec.to_builtins(declaration)
    if "members" in fields:
        fields["members"] = {member["name"]: member for member in fields["members"]}
    return fields


def _compare(
    field: str, before: dict[str, Any], after: dict[str, Any], differences: list[Difference]
) -> None:
    for name in before.keys() | after.keys():
        path = f"{field}.{name}"
        old = before.get(name)
        new = after.get(name)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            _compare(path, old, new, differences)
        else:
            differences.append(Difference(path, _json_text(old), _json_text(new)))


def _json_text(value: Any) -> str | None:
    return None if value is None else msgspec.json.encode(value).decode()
