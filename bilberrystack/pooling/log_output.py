"""Log output to standard output that never blocks and is limited in size."""

import asyncio
import collections.abc
import contextlib
import os
import sys

import loguru

from bilberrystack import logs
from bilberrystack.pooling import counters

# Lines are collected for this long and written at once, to save wake-ups and system calls.
FLUSH_INTERVAL_S = 0.05

# Size of the buffer for standard output; lines that do not fit are dropped and counted.
MAX_BUFFERED_BYTES = 262_144

# Most lines from one call site within logs.RATE_LIMIT_INTERVAL_S. Each request logs a line, and an
# instance serves a few hundred requests per second at most.
MAX_LINES_PER_CALL_SITE = 5_000


class BufferedOutput:
    """Buffers whole lines and writes them to a non-blocking file descriptor."""

    __slots__ = ("_buffer", "_file_descriptor", "_flush_timer", "_metrics")

    def __init__(self, file_descriptor: int, metrics: counters.Counters) -> None:
        self._file_descriptor = file_descriptor
        self._metrics = metrics
        self._buffer = bytearray()
        self._flush_timer: asyncio.TimerHandle | None = None

    def write(self, line: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full.

        Args:
          line: The line with its line break.
        """
        data = line.encode(errors="replace")
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self._metrics.log_lines_dropped.inc({})
            return
        self._buffer += data
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write what the file descriptor accepts now; the rest stays buffered."""
        self._flush_timer = None
        try:
            written = os.write(self._file_descriptor, self._buffer) if self._buffer else 0
        except BlockingIOError:
            return
        except OSError:
            # The reader of standard output is gone, and there is nowhere else to log that.
            written = len(self._buffer)
        del self._buffer[:written]


@contextlib.contextmanager
def log_to_stdout(metrics: counters.Counters) -> collections.abc.Iterator[None]:
    """Send the log lines of the process to standard output while the context is open.

    Args:
      metrics: Counts the dropped lines.
    """
    file_descriptor = sys.stdout.fileno()
    os.set_blocking(file_descriptor, False)
    output = BufferedOutput(file_descriptor, metrics)
    loguru.logger.remove()
    loguru.logger.add(
        logs.Sink(output.write, json=True, max_lines=MAX_LINES_PER_CALL_SITE),
        level="INFO",
        format="{exception}",
        diagnose=False,
        backtrace=False,
    )
    try:
        yield
    finally:
        output.flush()
