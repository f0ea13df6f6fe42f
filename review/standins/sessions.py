"""Client sessions in the line protocol."""

import asyncio
import contextlib
import dataclasses
import itertools

from record import Record

_NUMBERS = itertools.count(1)

# A client gives up if READY takes longer after START.
START_TIMEOUT_S = 2.0


class Ended(Exception):
    """The session ended, or the answer did not arrive in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one statement.

    Attributes:
      rows: The rows.
      proof: The proof; empty after an error.
      error: The error code; empty after a success.
      state: The session's state.
    """

    rows: tuple[str, ...]
    proof: str
    error: str
    state: str


def new_id(prefix: str) -> str:
    """Return a request id that no other request has."""
    return f"{prefix}{next(_NUMBERS):06d}"


class Session:
    """One client session. Use it as an asynchronous context manager."""

    def __init__(self, record: Record, host: str, port: int, database: str) -> None:
        self._record = record
        self._host = host
        self._port = port
        self._database = database
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> "Session":
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(self._host, self._port)
                self._writer.write(f"START {self._database} client\r\n".encode())
                line = await self._line()
        except (OSError, TimeoutError) as error:
            self.close()
            raise Ended(type(error).__name__) from error
        if not line.startswith("READY"):
            self.close()
            raise Ended(line)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._writer.close()

    async def _line(self) -> str:
        assert self._reader is not None
        line = await self._reader.readline()
        if not line:
            raise Ended("the connection ended")
        return line.decode().rstrip("\r\n")

    async def query(self, request_id: str, text: str, timeout_s: float) -> Answer:
        """Send a statement and return its answer. Raises Ended."""
        assert self._writer is not None
        self._record.write(f"client {self._host} sends {request_id} {text}")
        rows: list[str] = []
        proof, error = "", ""
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(timeout_s):
                while True:
                    word, _, rest = (await self._line()).partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "DONE":
                        proof = rest
                    elif word == "ERR":
                        error = rest.split(" ")[0]
                        self._record.write(f"client {self._host} {request_id} ERR {rest}")
                    elif word == "READY":
                        break
        except (OSError, TimeoutError) as failure:
            self._record.write(f"client {self._host} {request_id} {type(failure).__name__}")
            raise Ended(type(failure).__name__) from failure
        if not error:
            self._record.write(f"client {self._host} {request_id} done {proof} {' '.join(rows)}")
        return Answer(tuple(rows), proof, error, rest.split(" ")[0])
