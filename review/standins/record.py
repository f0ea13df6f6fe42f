"""The record of a run: what was sent, answered and run, with the time since the start."""

import pathlib
import time


class Record:
    """Writes lines to a file.

    Attributes:
      violations: The lines that report a broken rule.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.violations: list[str] = []
        self._started_at_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now_s(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at_s

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s:9.4f} {text}\n")

    def violation(self, text: str) -> None:
        """Write a line that reports a broken rule, and remember it."""
        self.violations.append(text)
        self.write(f"BROKEN {text}")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
