"""TCP forwarder on loopback that can delay, reset or refuse connections, or stall a direction."""

import asyncio
import contextlib
import dataclasses
import enum

from bilberrystack_standins import dark_port

READ_BYTES = 65_536

# Interval at which a stalled direction is checked for its release.
STALL_POLL_INTERVAL_S = 0.01


class Direction(enum.Enum):
    """Direction of data on a forwarded connection."""

    TO_TARGET = "there"
    FROM_TARGET = "back"


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Faults that apply to all connections of a link.

    Attributes:
      delay_s: Delay added to each chunk of data, in seconds.
      stalled: Directions in which no data arrives; it is held back until the direction is released.
      refusing: Whether new connections are closed at once.
    """

    delay_s: float = 0.0
    stalled: set[Direction] = dataclasses.field(default_factory=set)
    refusing: bool = False


class Link:
    """Forwards connections to one port on loopback. Use it as an asynchronous context manager.

    Attributes:
      faults: Faults that apply now; a change takes effect on open connections as well.
      port: Port on which the link listens; 0 before it is entered.
    """

    def __init__(self, target_port: int) -> None:
        self.faults = LinkFaults()
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._dark_port: dark_port.DarkPort | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address on which the link listens."""
        return f"127.0.0.1:{self.port}"

    async def __aenter__(self) -> "Link":
        await self._listen()
        return self

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_dark(self) -> None:
        """Stalls all connections, and neither accepts nor refuses new ones."""
        self.faults.stalled.update(Direction)
        if self._server is not None and self._dark_port is None:
            self._server.close()
            self._dark_port = dark_port.DarkPort(self.port)

    async def end_darkness(self) -> None:
        """Accepts connections and forwards data again."""
        self.faults.stalled.clear()
        if self._dark_port is not None:
            self._dark_port.close()
            self._dark_port = None
            await self._listen()

    async def __aexit__(self, *_: object) -> None:
        if self._dark_port is not None:
            self._dark_port.close()
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if not self.faults.refusing:
                await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The target refused or reset its connection, or the link is closing; the accepted
            # connection is reset as well.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        self._writers.add(target_writer)
        copies = [
            asyncio.ensure_future(self._copy(reader, target_writer, Direction.TO_TARGET)),
            asyncio.ensure_future(self._copy(target_reader, writer, Direction.FROM_TARGET)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            self._writers.discard(target_writer)
            with contextlib.suppress(OSError, RuntimeError):
                target_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            while direction in self.faults.stalled:
                await asyncio.sleep(STALL_POLL_INTERVAL_S)
            writer.write(data)
            await writer.drain()
