"""The text form of declarations that operators write and read.

A document has the lists `groups` and `callers`, whose elements carry their names, and the table
`targets`. It is JSON or TOML. A change transmits a declaration as JSON in the same form.
"""

import collections.abc
import dataclasses
import typing
from typing import Any
from typing import TypeVar

import msgspec
from returns import result

from bilberrystack.core import declarations
from bilberrystack.core import problems

Problems = tuple[problems.Problem, ...]
Decoded = TypeVar("Decoded")

_MISSING = object()
_SECTIONS = ("groups", "callers", "targets")


def to_builtins(document: declarations.Declarations) -> dict[str, Any]:
    """Returns the document form of declarations, in the order of names."""
    return {
        "groups": [msgspec.to_builtins(one) for _, one in sorted(document.groups.items())],
        "callers": [msgspec.to_builtins(one) for _, one in sorted(document.callers.items())],
        "targets": msgspec.to_builtins(document.targets),
    }


def to_json(document: declarations.Declarations) -> str:
    """Returns the document form of declarations as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(to_builtins(document)), indent=2).decode()


def parse(text: str, toml: bool = False) -> result.Result[declarations.Declarations, Problems]:
    """Reads a document.

    Args:
      text: The document.
      toml: Whether it is TOML instead of JSON.
    Returns:
      The declarations, of version 0, or every value that is missing, unknown or of another type.
    """
    try:
        raw = msgspec.toml.decode(text) if toml else msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return result.Failure((problems.Problem("document", "", f"is malformed: {error}"),))
    if not isinstance(raw, dict):
        return result.Failure((problems.Problem("document", "", "must be a table"),))
    found = [
        problems.Problem(name, "", "is not a known section")
        for name in raw
        if name not in _SECTIONS
    ]
    groups = _named("groups", raw.get("groups", []), declarations.GroupDeclaration, found)
    callers = _named("callers", raw.get("callers", []), declarations.CallerDeclaration, found)
    targets = _convert("targets", raw.get("targets", {}), declarations.Targets, found)
    if found:
        return result.Failure(tuple(found))
    return result.Success(declarations.Declarations(0, groups, callers, targets))


def parse_declaration(
    field: str, text: str, kind: type[Decoded]
) -> result.Result[Decoded, Problems]:
    """Reads one declaration from JSON.

    Args:
      field: The path of the declaration, for problems.
      text: The JSON text.
      kind: The declaration's class.
    Returns:
      The declaration, or every problem with its form.
    """
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return result.Failure((problems.Problem(field, "", f"is malformed: {error}"),))
    found: list[problems.Problem] = []
    value = _convert(field, raw, kind, found)
    return result.Failure(tuple(found)) if found else result.Success(value)


def _named(
    section: str, raw: Any, kind: type[Any], found: list[problems.Problem]
) -> dict[str, Any]:
    if not isinstance(raw, list):
        found.append(problems.Problem(section, "", "must be a list"))
        return {}
    named = {}
    for number, one in enumerate(raw):
        name = one.get("name", number) if isinstance(one, dict) else number
        field = f"{section}.{name}"
        value = _convert(field, one, kind, found)
        if value is None:
            continue
        if value.name in named:
            found.append(problems.Problem(field, repr(name), "is declared twice"))
        named[value.name] = value
    return named


def _convert(field: str, raw: Any, kind: Any, found: list[problems.Problem]) -> Any:
    """Converts a value and collects all problems; returns None if there were any."""
    arguments = typing.get_args(kind)
    if dataclasses.is_dataclass(kind):
        return _convert_fields(field, raw, kind, found)
    if arguments and dataclasses.is_dataclass(arguments[0]):
        return _convert_list(field, raw, arguments[0], found)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        shown = "****" if field.endswith("secret_sha256") else repr(raw)
        found.append(problems.Problem(field, shown, f"has another type: {error}"))
        return None


def _convert_list(field: str, raw: Any, kind: Any, found: list[problems.Problem]) -> Any:
    if not isinstance(raw, list):
        found.append(problems.Problem(field, repr(raw), "must be a list"))
        return None
    return tuple(
        _convert(f"{field}.{_label(one, number)}", one, kind, found)
        for number, one in enumerate(raw)
    )


def _label(raw: Any, number: int) -> str:
    return str(raw.get("name", number)) if isinstance(raw, dict) else str(number)


def _convert_fields(field: str, raw: Any, kind: Any, found: list[problems.Problem]) -> Any:
    if not isinstance(raw, dict):
        found.append(problems.Problem(field, repr(raw), "must be a table"))
        return None
    count = len(found)
    hints = typing.get_type_hints(kind)
    values = {}
    for one in dataclasses.fields(kind):
        value = raw.get(one.name, _MISSING)
        if value is not _MISSING:
            values[one.name] = _convert(f"{field}.{one.name}", value, hints[one.name], found)
        elif one.default is dataclasses.MISSING:
            found.append(problems.Problem(f"{field}.{one.name}", "", "is required"))
    for name in _unknown(raw, hints):
        found.append(problems.Problem(f"{field}.{name}", "", "is not a known field"))
    return kind(**values) if len(found) == count else None


def _unknown(
    raw: dict[Any, Any], known: collections.abc.Container[str]
) -> collections.abc.Iterator[str]:
    return (str(name) for name in raw if name not in known)
