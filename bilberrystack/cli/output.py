"""Output of the commands: tables for people, JSON for programs."""

import collections.abc
import enum
import sys
from typing import Annotated
from typing import Any

import cyclopts
import msgspec
import rich.console
import rich.table


class Output(enum.Enum):
    """The form of a command's output."""

    TABLE = "table"
    JSON = "json"


Form = Annotated[Output, cyclopts.Parameter(name="--output")]


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(
    title: str,
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Iterable[Any]],
) -> None:
    """Prints a table; None shows as a hyphen."""
    table = rich.table.Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*(_cell(value) for value in row))
    # Output to a file or a pipe has no width of its own and must not be cut.
    width = None if sys.stdout.isatty() else 200
    rich.console.Console(width=width).print(table)


def note(text: str) -> None:
    """Prints a line about the command itself, apart from its output."""
    print(text, file=sys.stderr)


def seconds(value: float | None) -> str:
    """Returns a duration as text."""
    return "-" if value is None else f"{value:.1f} s"


def _cell(value: Any) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case list() | tuple():
            return ", ".join(str(one) for one in value) or "-"
    return str(value)
