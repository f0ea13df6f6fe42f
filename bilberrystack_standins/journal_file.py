"""A file with the promised terms and the log of a stand-in member, one JSON object per line."""

import os
import pathlib
import types

import msgspec

from bilberrystack_standins import replicated_log

_DECODER = msgspec.json.Decoder(replicated_log.DurableChange)
_ENCODER = msgspec.json.Encoder()


class JournalFile:
    """An append-only file of durable changes. Use it as a context manager, or call close.

    Each change is passed to the operating system before `write` returns, so that it survives the
    end of the process; it is not synced to disk.
    """

    __slots__ = ("_descriptor", "_path")

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file, creating it if it does not exist. Raises OSError."""
        self._path = path
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def read(self) -> list[replicated_log.DurableChange]:
        """Returns the changes written so far and removes an incomplete last line.

        A process that is killed while writing leaves a last line without a newline; no call that
        depends on this change has been answered. Raises msgspec.MsgspecError for any other
        malformed line.
        """
        data = self._path.read_bytes()
        end = data.rfind(b"\n") + 1
        os.ftruncate(self._descriptor, end)
        return [_DECODER.decode(line) for line in data[:end].splitlines()]

    def write(self, change: replicated_log.DurableChange) -> None:
        """Appends a change. Raises OSError."""
        line = _ENCODER.encode(change) + b"\n"
        while line:
            line = line[os.write(self._descriptor, line) :]

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)

    def __enter__(self) -> "JournalFile":
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: types.TracebackType | None,
    ) -> None:
        self.close()
