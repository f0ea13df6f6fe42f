"""The differences between two versions of the declarations."""

import dataclasses
from typing import Any

import msgspec

from bilberrystack.core import declarations


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs.

    Attributes:
      field: The path of the declaration or, inside a declaration of both versions, of the field.
      before: The former value as JSON; None if there was none.
      after: The new value as JSON; None if there is none.
    """

    field: str
    before: str | None
    after: str | None


def between(
    before: declarations.Declarations, after: declarations.Declarations
) -> tuple[Difference, ...]:
    """Returns the differences between two sets of declarations, in the order of their paths."""
    found: list[Difference] = []
    _compare("groups", _by_name(before.groups), _by_name(after.groups), found)
    _compare("callers", _by_name(before.callers), _by_name(after.callers), found)
    _compare("targets", _fields(before.targets), _fields(after.targets), found)
    return tuple(sorted(found, key=lambda one: one.field))


def _by_name(named: dict[str, Any]) -> dict[str, Any]:
    return {name: _fields(one) for name, one in named.items()}


def _fields(declaration: Any) -> dict[str, Any]:
    """Returns a declaration as nested tables, with members by name instead of in a list."""
    fields: dict[str, Any] = msgspec.to_builtins(declaration)
    if "members" in fields:
        fields["members"] = {one["name"]: one for one in fields["members"]}
    return fields


def _compare(
    field: str, before: dict[str, Any], after: dict[str, Any], found: list[Difference]
) -> None:
    for name in before.keys() | after.keys():
        path = f"{field}.{name}"
        old = before.get(name)
        new = after.get(name)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            _compare(path, old, new, found)
        else:
            found.append(Difference(path, _text(old), _text(new)))


def _text(value: Any) -> str | None:
    return None if value is None else msgspec.json.encode(value).decode()
