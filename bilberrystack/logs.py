"""Log output as text or JSON lines on standard error, with a rate limit and masked secrets.

Each component logs with `loguru.logger.bind(component=...)`. The component is the prefix of the
log line; other bound values are its fields.
"""

import collections.abc
import sys
import time
from typing import Any

import loguru
import msgspec

# Text that replaces secrets.
MASK = "****"

# Maximum number of lines per call site and interval; further lines are suppressed and counted.
DEFAULT_MAX_LINES = 20
RATE_LIMIT_INTERVAL_S = 10.0

WriteLine = collections.abc.Callable[[str], Any]
Clock = collections.abc.Callable[[], float]


class CallSiteRateLimiter:
    """Rate limiter for the log lines of each call site."""

    __slots__ = ("_call_sites", "_clock", "_max_lines")

    def __init__(self, clock: Clock = time.monotonic, max_lines: int = DEFAULT_MAX_LINES) -> None:
        self._clock = clock
        self._max_lines = max_lines
        self._call_sites: dict[tuple[str, int], _CallSite] = {}

    def admit(self, name: str, line: int) -> int | None:
        """Count a log line of a call site and decide whether it is written.

        Args:
          name: Module of the call site.
          line: Line number of the call site in its module.
        Returns:
          Number of lines suppressed at the call site since the last admitted one; None if this
          line is suppressed.
        """
        now_s = self._clock()
        call_site = self._call_sites.setdefault((name, line), _CallSite(now_s))
        if now_s - call_site.interval_started_at >= RATE_LIMIT_INTERVAL_S:
            call_site.interval_started_at = now_s
            call_site.admitted_lines = 0
        if call_site.admitted_lines >= self._max_lines:
            call_site.suppressed_lines += 1
            return None
        call_site.admitted_lines += 1
        suppressed_lines, call_site.suppressed_lines = call_site.suppressed_lines, 0
        return suppressed_lines


class _CallSite:
    """Counters of a call site for the current interval."""

    __slots__ = ("admitted_lines", "interval_started_at", "suppressed_lines")

    def __init__(self, interval_started_at: float) -> None:
        self.interval_started_at = interval_started_at
        self.admitted_lines = 0
        self.suppressed_lines = 0


class Sink:
    """Loguru sink that formats, masks and writes log records."""

    __slots__ = ("_json", "_rate_limiter", "_secrets", "_write_line")

    def __init__(
        self,
        write_line: WriteLine,
        json: bool,
        secrets: collections.abc.Iterable[str] = (),
        clock: Clock = time.monotonic,
        max_lines: int = DEFAULT_MAX_LINES,
    ) -> None:
        """Create a sink.

        Args:
          write_line: Function that writes a line, which ends with a line break.
          json: Whether lines are JSON objects.
          secrets: Texts that are masked wherever they occur.
          clock: Clock of the rate limit, in seconds.
          max_lines: Maximum number of lines per call site within RATE_LIMIT_INTERVAL_S.
        """
        self._write_line = write_line
        self._json = json
        self._rate_limiter = CallSiteRateLimiter(clock, max_lines)
        secret_texts = {secret for secret in secrets if secret}
        # JSON lines contain secrets in their escaped form.
        secret_texts |= {msgspec.json.encode(text).decode()[1:-1] for text in secret_texts}
        # Longer secrets are masked first, since a secret may contain another one.
        self._secrets = sorted(secret_texts, key=len, reverse=True)

    def __call__(self, message: "loguru.Message") -> None:
        """Write a log message, unless the rate limit suppresses it."""
        record = message.record
        suppressed_lines = self._rate_limiter.admit(record["name"] or "", record["line"])
        if suppressed_lines is None:
            return
        fields = dict(record["extra"])
        component = str(fields.pop("component", "") or record["name"])
        if suppressed_lines:
            fields["left_out"] = suppressed_lines
        render = _json_line if self._json else _text_line
        self._write_line(self._mask_secrets(render(record, component, fields, _traceback(message))))

    def _mask_secrets(self, line: str) -> str:
        for secret in self._secrets:
            line = line.replace(secret, MASK)
        return line


def configure(level: str, json: bool, secrets: collections.abc.Iterable[str] = ()) -> None:
    """Configure the process to log to standard error.

    Args:
      level: Minimum level of logged messages, in lower case.
      json: Whether lines are JSON objects.
      secrets: Texts that are masked wherever they occur.
    """
    loguru.logger.remove()
    loguru.logger.add(
        Sink(sys.stderr.write, json, secrets),
        level=level.upper(),
        # The sink formats the record itself; with this format, the message holds the traceback.
        format="{exception}",
        # Tracebacks with the values of variables could disclose the data of callers.
        diagnose=False,
        backtrace=False,
    )


def _traceback(message: "loguru.Message") -> str:
    return str(message).strip() if message.record["exception"] is not None else ""


def _text_line(
    record: "loguru.Record", component: str, fields: dict[str, Any], traceback: str
) -> str:
    timestamp = record["time"].isoformat(timespec="milliseconds")
    line = (
        f"{timestamp} {record['level'].name} {component}: {_escape_line_breaks(record['message'])}"
    )
    for name, value in fields.items():
        line += f" {name}={_escape_line_breaks(str(value))}"
    return f"{line}\n{traceback}\n" if traceback else f"{line}\n"


def _escape_line_breaks(text: str) -> str:
    """Escape line breaks, so that external text can't forge a log line."""
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
