"""One connection to a member, and what it holds."""

import asyncio
import collections.abc
import contextlib
import socket

from bilberrystack.core import positions
from bilberrystack.pooling import interfaces
from bilberrystack.routing import model
from bilberrystack.routing import statements

# Round trips are below 10 ms; a new connection takes 12 ms of a member's slot, behind its queue.
CONNECT_TIMEOUT_S = 0.5
START_TIMEOUT_S = 1.5

# Time after which unacknowledged bytes end a connection that has gone silent.
USER_TIMEOUT_MS = 1200

# A silent connection without outstanding bytes ends after about two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class LinkFailure(ConnectionError):
    """A connection to a member can't be used."""


class Refused(LinkFailure):
    """No process listens at the address."""


class Unreachable(LinkFailure):
    """The address did not answer in time, or the connection broke before it was ready."""


class Rejected(LinkFailure):
    """The member turned the connection away."""

    def __init__(self, failure: statements.Failure) -> None:
        super().__init__(failure.text)
        self.failure = failure


class Lost(LinkFailure):
    """The connection ended, or the member broke the protocol, while a statement was out."""


def guard(writer: asyncio.StreamWriter) -> None:
    """Lets the system end a connection whose other side has gone silent."""
    sock = writer.get_extra_info("socket")
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    ):
        # A connection that has just been reset takes no options; its next use tells.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes to a connection. Raises Lost if it is closed, which uvloop reports in several ways."""
    try:
        if writer.is_closing():
            raise Lost("the connection is closed")
        writer.write(data)
    except (OSError, RuntimeError) as error:
        raise Lost("the connection is closed") from error


class MemberLink:
    """A connection to a member that runs one statement at a time."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_reader",
        "_writer",
        "in_use",
        "member",
        "position",
        "prepared",
        "rested_since_s",
        "state",
        "values",
    )

    def __init__(
        self,
        member: model.Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
    ) -> None:
        self.member = member
        self.in_use = False
        self.rested_since_s = clock()
        self.state = statements.TransactionState.IDLE
        self.position: positions.Position | None = None
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self._reader = reader
        self._writer = writer
        self._dialect = dialect
        self._clock = clock

    @property
    def usable(self) -> bool:
        """Whether the connection is open, as far as this side knows."""
        return not self._writer.is_closing() and not self._reader.at_eof()

    async def run(self, query: bytes) -> statements.Reply:
        """Sends one statement and waits for its whole answer.

        Args:
          query: The statement as encoded by the dialect.
        Returns:
          The member's answer.
        Raises:
          Lost: The connection ended; the statement may have run.
        """
        return (await self.run_all([query]))[0]

    async def run_all(self, queries: collections.abc.Sequence[bytes]) -> list[statements.Reply]:
        """Sends statements at once and waits for all answers; raises Lost as `run` does."""
        asked_at_s = self._clock()
        try:
            write(self._writer, b"".join(queries))
            return [await self._reply(asked_at_s) for _ in queries]
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
            self.close()
            raise Lost(f"{type(error).__name__} while a statement was out") from error
        except Lost:
            self.close()
            raise

    async def _reply(self, asked_at_s: float) -> statements.Reply:
        rows: list[bytes] = []
        done: bytes | None = None
        failure: statements.Failure | None = None
        while True:
            line = await read_line(self._reader)
            match self._dialect.parse_member(line):
                case statements.Row(text) if done is None and failure is None:
                    rows.append(text)
                case statements.Done(text) if done is None and failure is None:
                    done = text
                case statements.Failure() as found if done is None and failure is None:
                    failure = found
                case statements.Ready(state, position) if done or failure:
                    self.state = state
                    self.position = position
                    return statements.Reply(
                        tuple(rows), done, failure, state, position, asked_at_s, self._clock()
                    )
                case _:
                    raise Lost("the member broke the protocol")

    def close(self) -> None:
        """Closes the connection; the member rolls back what is open on it."""
        # Closing a connection that the other side has reset is no failure.
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Reads a line without its end.

    Raises:
      EOFError: The connection ended, inside a line or before one.
      asyncio.LimitOverrunError: The line is longer than the reader's limit.
    """
    line = await reader.readuntil(b"\n")
    return line[:-2] if line.endswith(b"\r\n") else line[:-1]


async def connect(
    endpoint: model.Endpoint, limit: int, timeout_s: float = CONNECT_TIMEOUT_S
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a guarded connection.

    Args:
      endpoint: Where to.
      limit: Longest line in bytes.
      timeout_s: Time for the connection alone.
    Raises:
      Refused: No process listens there.
      Unreachable: No answer in time, or no way there.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                endpoint.host, endpoint.port, limit=limit
            )
    except ConnectionRefusedError as error:
        raise Refused(str(endpoint)) from error
    except (OSError, TimeoutError) as error:
        raise Unreachable(str(endpoint)) from error
    guard(writer)
    return reader, writer


async def open_link(
    member: model.Member,
    through: model.Endpoint | None,
    caller: str,
    dialect: interfaces.Dialect,
    clock: interfaces.Clock,
) -> MemberLink:
    """Opens a connection to a member, directly or through another instance.

    Args:
      member: The member, whose service and id the connection is bound to.
      through: The instance that relays the connection; None for a direct one.
      caller: The name that the member is told.
      dialect: The member's protocol.
      clock: Seconds for the answers' instants.
    Raises:
      Refused, Unreachable: The member was not reached.
      Rejected: The member turned the connection away.
    """
    target = member.endpoint if through is None else through
    reader, writer = await connect(target, dialect.MAX_LINE_BYTES + 2)
    link = MemberLink(member, reader, writer, dialect, clock)
    try:
        if through is not None:
            write(writer, f"{member.endpoint}\n".encode())
        write(writer, dialect.start_member(member.service, caller, member.id))
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await read_line(reader)
    except (OSError, EOFError, Lost, asyncio.LimitOverrunError, TimeoutError) as error:
        link.close()
        raise Unreachable(str(target)) from error
    except asyncio.CancelledError:
        link.close()
        raise
    match dialect.parse_member(line):
        case statements.Ready(_, position):
            link.position = position
            return link
        case statements.Failure() as failure:
            link.close()
            raise Rejected(failure)
        case _:
            link.close()
            raise Unreachable(str(target))
