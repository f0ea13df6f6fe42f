"""Text format of the declarations that operators write and read.

A document is JSON or TOML. It contains the lists `groups` and `callers`, whose elements include
their names, and the table `targets`. Changes transmit single declarations as JSON in the same
format.
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
    """Returns declarations in the structure of a document, sorted by name."""
    return {
        "groups": [msgspec.to_builtins(group) for _, group in sorted(document.groups.items())],
        "callers": [msgspec.to_builtins(caller) for _, caller in sorted(document.callers.items())],
        "targets": msgspec.to_builtins(document.targets),
    }


def to_json(document: declarations.Declarations) -> str:
    """Returns declarations as a document in indented JSON."""
    return msgspec.json.format(msgspec.json.encode(to_builtins(document)), indent=2).decode()


def parse(text: str, toml: bool = False) -> result.Result[declarations.Declarations, Problems]:
    """Parses a document.

    Args:
      text: Text of the document.
      toml: Whether the text is TOML instead of JSON.
    Returns:
      The declarations with version 0, or a problem for each value that is missing, unknown or has
      the wrong type.
    """
    try:
        raw = msgspec.toml.decode(text) if toml else msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return result.Failure((problems.Problem("document", "", f"is malformed: {error}"),))
    if not isinstance(raw, dict):
        return result.Failure((problems.Problem("document", "", "must be a table"),))
    found_problems = [
        problems.Problem(name, "", "is not a known section")
        for name in raw
        if name not in _SECTIONS
    ]
    groups = _convert_section(
        "groups", raw.get("groups", []), declarations.GroupDeclaration, found_problems
    )
    callers = _convert_section(
        "callers", raw.get("callers", []), declarations.CallerDeclaration, found_problems
    )
    targets = _convert("targets", raw.get("targets", {}), declarations.Targets, found_problems)
    if found_problems:
        return result.Failure(tuple(found_problems))
    return result.Success(declarations.Declarations(0, groups, callers, targets))


def parse_declaration(
    field: str, text: str, kind: type[Decoded]
) -> result.Result[Decoded, Problems]:
    """Parses one declaration from JSON.

    Args:
      field: Path of the declaration, as used in problems.
      text: The JSON text.
      kind: Class of the declaration.
    Returns:
      The declaration, or a problem for each value that is missing, unknown or has the wrong type.
    """
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return result.Failure((problems.Problem(field, "", f"is malformed: {error}"),))
    found_problems: list[problems.Problem] = []
    value = _convert(field, raw, kind, found_problems)
    return result.Failure(tuple(found_problems)) if found_problems else result.Success(value)


def _convert_section(
    section: str, raw: Any, kind: type[Any], found_problems: list[problems.Problem]
) -> dict[str, Any]:
    if not isinstance(raw, list):
        found_problems.append(problems.Problem(section, "", "must be a list"))
        return {}
    declarations_by_name = {}
    for number, element in enumerate(raw):
        name = element.get("name", number) if isinstance(element, dict) else number
        field = f"{section}.{name}"
        value = _convert(field, element, kind, found_problems)
        if value is None:
            continue
        if value.name in declarations_by_name:
            found_problems.append(problems.Problem(field, repr(name), "is declared twice"))
        declarations_by_name[value.name] = value
    return declarations_by_name


def _convert(field: str, raw: Any, kind: Any, found_problems: list[problems.Problem]) -> Any:
    """Converts a value and appends its problems to found_problems; returns None if it has any."""
    arguments = typing.get_args(kind)
    if dataclasses.is_dataclass(kind):
        return _convert_fields(field, raw, kind, found_problems)
    if arguments and dataclasses.is_dataclass(arguments[0]):
        return _convert_list(field, raw, arguments[0], found_problems)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        shown = "****" if field.endswith("secret_sha256") else repr(raw)
        found_problems.append(problems.Problem(field, shown, f"has another type: {error}"))
        return None


def _convert_list(field: str, raw: Any, kind: Any, found_problems: list[problems.Problem]) -> Any:
    if not isinstance(raw, list):
        found_problems.append(problems.Problem(field, repr(raw), "must be a list"))
        return None
    return tuple(
        _convert(f"{field}.{_element_name(element, number)}", element, kind, found_problems)
        for number, element in enumerate(raw)
    )


def _element_name(raw: Any, number: int) -> str:
    return str(raw.get("name", number)) if isinstance(raw, dict) else str(number)


def _convert_fields(field: str, raw: Any, kind: Any, found_problems: list[problems.Problem]) -> Any:
    if not isinstance(raw, dict):
        found_problems.append(problems.Problem(field, repr(raw), "must be a table"))
        return None
    count_before = len(found_problems)
    hints = typing.get_type_hints(kind)
    values = {}
    for definition in dataclasses.fields(kind):
        value = raw.get(definition.name, _MISSING)
        if value is not _MISSING:
            values[definition.name] = _convert(
                f"{field}.{definition.name}", value, hints[definition.name], found_problems
            )
        elif definition.default is dataclasses.MISSING:
            found_problems.append(problems.Problem(f"{field}.{definition.name}", "", "is required"))
    for name in _unknown_names(raw, hints):
        found_problems.append(problems.Problem(f"{field}.{name}", "", "is not a known field"))
    return kind(**values) if len(found_problems) == count_before else None


def _unknown_names(
    raw: dict[Any, Any], known: collections.abc.Container[str]
) -> collections.abc.Iterator[str]:
    return (str(name) for name in raw if name not in known)
