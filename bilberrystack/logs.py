"""Log output: text or JSON lines on the standard error, limited in rate, without secrets.

Each part of the program logs with `loguru.logger.bind(component=...)`, which is the line's prefix;
other bound values are its fields.
"""

import collections.abc
import sys
import time
from typing import Any

import loguru
import msgspec

MASK = "****"

# Lines of one place in the program within one interval; more are counted and left out.
MAX_LINES = 20
INTERVAL_S = 10.0

Write = collections.abc.Callable[[str], Any]
Clock = collections.abc.Callable[[], float]


class RateLimit:
    """Limits the lines of each place in the program that logs."""

    __slots__ = ("_clock", "_max_lines", "_places")

    def __init__(self, clock: Clock = time.monotonic, max_lines: int = MAX_LINES) -> None:
        self._clock = clock
        self._max_lines = max_lines
        self._places: dict[tuple[str, int], _Place] = {}

    def admit(self, name: str, line: int) -> int | None:
        """Tells whether a place may log now.

        Args:
          name: The place's module.
          line: Its line in the module.
        Returns:
          How many lines of the place were left out since its last one; None to leave out this one.
        """
        now = self._clock()
        place = self._places.setdefault((name, line), _Place(now))
        if now - place.started_at >= INTERVAL_S:
            place.started_at = now
            place.admitted = 0
        if place.admitted >= self._max_lines:
            place.left_out += 1
            return None
        place.admitted += 1
        left_out, place.left_out = place.left_out, 0
        return left_out


class _Place:
    """The lines of one place in the current interval."""

    __slots__ = ("admitted", "left_out", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.admitted = 0
        self.left_out = 0


class Sink:
    """Writes log records."""

    __slots__ = ("_json", "_limit", "_secrets", "_write")

    def __init__(
        self,
        write: Write,
        json: bool,
        secrets: collections.abc.Iterable[str] = (),
        clock: Clock = time.monotonic,
        max_lines: int = MAX_LINES,
    ) -> None:
        """Creates a sink for loguru.

        Args:
          write: Takes each line.
          json: Whether lines are JSON objects.
          secrets: Texts that are masked wherever they occur.
          clock: Returns seconds, for the rate limit.
          max_lines: Lines of one place in the program within INTERVAL_S.
        """
        self._write = write
        self._json = json
        self._limit = RateLimit(clock, max_lines)
        texts = {one for one in secrets if one}
        texts |= {msgspec.json.encode(one).decode()[1:-1] for one in texts}
        # A secret that contains another one is masked first.
        self._secrets = sorted(texts, key=len, reverse=True)

    def __call__(self, message: "loguru.Message") -> None:
        """Takes a record from loguru."""
        record = message.record
        left_out = self._limit.admit(record["name"] or "", record["line"])
        if left_out is None:
            return
        fields = dict(record["extra"])
        component = str(fields.pop("component", "") or record["name"])
        if left_out:
            fields["left_out"] = left_out
        render = _json_line if self._json else _text_line
        self._write(self._masked(render(record, component, fields, _traceback(message))))

    def _masked(self, line: str) -> str:
        for secret in self._secrets:
            line = line.replace(secret, MASK)
        return line


def configure(level: str, json: bool, secrets: collections.abc.Iterable[str] = ()) -> None:
    """Sends the logs of the process to the standard error.

    Args:
      level: The lowest level that is logged, in lower case.
      json: Whether lines are JSON objects.
      secrets: Texts that are masked wherever they occur.
    """
    loguru.logger.remove()
    loguru.logger.add(
        Sink(sys.stderr.write, json, secrets),
        level=level.upper(),
        # The sink renders the record; the format leaves the traceback in the message.
        format="{exception}",
        # Values of variables may hold callers' data.
        diagnose=False,
        backtrace=False,
    )


def _traceback(message: "loguru.Message") -> str:
    return str(message).strip() if message.record["exception"] is not None else ""


def _text_line(
    record: "loguru.Record", component: str, fields: dict[str, Any], traceback: str
) -> str:
    instant = record["time"].isoformat(timespec="milliseconds")
    line = f"{instant} {record['level'].name} {component}: {_one_line(record['message'])}"
    for name, value in fields.items():
        line += f" {name}={_one_line(str(value))}"
    return f"{line}\n{traceback}\n" if traceback else f"{line}\n"


def _one_line(text: str) -> str:
    """Escapes line breaks, so that a text from outside can't forge a line."""
    return text.replace("\r", "\\r").replace("\n", "\\n")


def _json_line(
    record: "loguru.Record", component: str, fields: dict[str, Any], traceback: str
) -> str:
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "component": component,
        "message": record["message"],
        **{name: str(value) for name, value in fields.items()},
    }
    if traceback:
        line["traceback"] = traceback
    return msgspec.json.encode(line).decode() + "\n"
