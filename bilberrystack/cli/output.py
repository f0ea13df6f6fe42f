"""Output of the commands as tables or JSON."""

import collections.abc
import enum
import sys
from typing import Annotated
from typing import Any

import cyclopts
import msgspec
import rich.console
import rich.table


class OutputFormat(enum.Enum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"


FormatOption = Annotated[OutputFormat, cyclopts.Parameter(name="--output")]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(
    title: str,
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Iterable[Any]],
) -> None:
    """Print a table.

    Args:
      title: Title of the table.
      columns: Column headers.
      rows: Cell values; None and empty values are printed as a hyphen.
    """
    table = rich.table.Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*(_cell_text(value) for value in row))
    # Without a terminal there is no width to adapt to, and rich would truncate the table.
    width = None if sys.stdout.isatty() else 200
    rich.console.Console(width=width).print(table)


def print_note(text: str) -> None:
    """Print a message to standard error, separate from the output of the command."""
    print(text, file=sys.stderr)


def duration_text(duration_s: float | None) -> str:
    """Format a duration in seconds; None becomes a hyphen."""
    return "-" if duration_s is None else f"{duration_s:.1f} s"


def _cell_text(value: Any) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case list() | tuple():
            return ", ".join(str(item) for item in value) or "-"
    return str(value)
