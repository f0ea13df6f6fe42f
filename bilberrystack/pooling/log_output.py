"""Log lines on standard output, which never block and are bounded."""

import asyncio
import collections.abc
import contextlib
import os
import sys

import loguru

from bilberrystack import logs
from bilberrystack.pooling import counters

# Lines are written together after this time, to save wake-ups and calls to the system.
FLUSH_S = 0.05

# Bytes that wait for standard output; lines beyond are dropped and counted.
MAX_WAITING_BYTES = 262_144

# Lines of one place in the program within logs.INTERVAL_S: each request has one, and an instance
# serves a few hundred a second at most.
MAX_LINES = 5_000


class Output:
    """Takes whole lines and writes them when standard output takes them."""

    __slots__ = ("_counters", "_file", "_flushing", "_waiting")

    def __init__(self, file: int, counted: counters.Counters) -> None:
        self._file = file
        self._counters = counted
        self._waiting = bytearray()
        self._flushing: asyncio.TimerHandle | None = None

    def write(self, line: str) -> None:
        """Takes a line, or drops it if too many wait."""
        data = line.encode(errors="replace")
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self._counters.log_lines_dropped.inc({})
            return
        self._waiting += data
        if self._flushing is None:
            loop = asyncio.get_running_loop()
            self._flushing = loop.call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Writes what standard output takes now; the rest waits for the next time."""
        self._flushing = None
        try:
            written = os.write(self._file, self._waiting) if self._waiting else 0
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the lines any more; there is no place left to say so.
            written = len(self._waiting)
        del self._waiting[:written]


@contextlib.contextmanager
def configured(counted: counters.Counters) -> collections.abc.Iterator[None]:
    """Sends the process's log lines to standard output while the context lasts."""
    file = sys.stdout.fileno()
    os.set_blocking(file, False)
    output = Output(file, counted)
    loguru.logger.remove()
    loguru.logger.add(
        logs.Sink(output.write, json=True, max_lines=MAX_LINES),
        level="INFO",
        format="{exception}",
        diagnose=False,
        backtrace=False,
    )
    try:
        yield
    finally:
        output.flush()
