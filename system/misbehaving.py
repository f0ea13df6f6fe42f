"""A serving process of the session mode or the quorum mode, and crowds of misbehaving clients."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import fcntl
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
from typing import Any

import psutil

from bilberrystack_standins import line_site

SESSIONS_PORT, READY_PORT, PEERS_PORT = 7000, 7001, 7002

# Interval between two samples of memory, descriptors and progress.
SAMPLE_INTERVAL_S = 0.05

# A crowd has settled once its connections have neither sent nor received anything for this long.
QUIET_S = 1.5

# A process that answers no ordinary request for this long counts as hung.
HANG_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the machine, as in the settings file.

    Attributes:
      memory_mb: Memory of the machine.
      max_fds: Largest number of descriptors, of which 200 are reserved for files.
    """

    memory_mb: int
    max_fds: int


class Connection:
    """One connection of a crowd.

    Attributes:
      crowd: The crowd, whose progress the connection reports.
    """

    def __init__(self, sock: socket.socket, crowd: "Crowd") -> None:
        self.crowd = crowd
        self._socket = sock

    async def send(self, data: bytes, piece_bytes: int = 262_144) -> None:
        """Sends data in pieces, without a copy of the data.

        Raises:
          OSError: The other side has closed the connection.
        """
        loop = asyncio.get_running_loop()
        view = memoryview(data)
        for start in range(0, len(view), piece_bytes):
            piece = view[start : start + piece_bytes]
            await loop.sock_sendall(self._socket, piece)
            self.crowd.moved_bytes += len(piece)

    async def receive(self) -> bytes:
        """Receives what has arrived; returns nothing at the end of the connection."""
        data = await asyncio.get_running_loop().sock_recv(self._socket, 65_536)
        self.crowd.moved_bytes += len(data)
        return data

    async def receive_all(self) -> None:
        """Reads until the other side closes the connection."""
        while await self.receive():
            pass

    def end_writing(self) -> None:
        """Ends the sending direction."""
        self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()


# What a client does on its connection, which stays open afterwards.
Behaviour = collections.abc.Callable[[Connection], collections.abc.Awaitable[None]]


class Crowd:
    """Connections that behave in the same way. Use it as an asynchronous context manager.

    Attributes:
      moved_bytes: Number of bytes that were sent and received.
    """

    def __init__(self, host: str, port: int, count: int, behaviour: Behaviour) -> None:
        """Prepares a crowd.

        Args:
          host: IP address of the listener.
          port: Port of the listener.
          count: Number of connections.
          behaviour: What each client does.
        """
        self.moved_bytes = 0
        self._address = host, port
        self._count = count
        self._behaviour = behaviour
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Crowd":
        self._tasks = [asyncio.create_task(self._play()) for _ in range(self._count)]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # The event loop removes the cancelled operations in its next turn.
        await asyncio.sleep(0)
        for sock in self._sockets:
            sock.close()

    async def _play(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self._sockets.append(sock)
        # The process may refuse a connection, or close it at any point.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            await self._behaviour(Connection(sock, self))

    async def settle(self, process: "ServingProcess") -> None:
        """Waits until all clients are done, or nothing has moved for QUIET_S.

        Args:
          process: The process, which must live meanwhile.
        """
        loop = asyncio.get_running_loop()
        last_moved, moved_at_s = -1, loop.time()
        while any(not task.done() for task in self._tasks) and process.lives:
            if self.moved_bytes != last_moved:
                last_moved, moved_at_s = self.moved_bytes, loop.time()
            elif loop.time() - moved_at_s >= QUIET_S:
                break
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class ServingProcess:
    """A serving process whose memory and descriptors are observed.

    Attributes:
      peak_descriptors: Largest number of open descriptors that was sampled.
    """

    def __init__(self, process_id: int) -> None:
        self.peak_descriptors = 0
        self._process = psutil.Process(process_id)
        self._peak_mb = 0.0

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        return self._process.is_running() and self._process.status() != psutil.STATUS_ZOMBIE

    @property
    def peak_mb(self) -> float:
        """Largest resident memory up to now, in MB."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM:"):
                    self._peak_mb = int(line.split()[1]) * 1024 / 1e6
        return self._peak_mb

    async def observe(self) -> None:
        """Samples the descriptors until cancelled."""
        while self.lives:
            with contextlib.suppress(psutil.Error):
                self.peak_descriptors = max(self.peak_descriptors, self._process.num_fds())
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class SessionSite:
    """A site of the session mode with one serving process.

    Attributes:
      site: Platform and members, which run in this process.
      host: Loopback address of the serving process.
      process: The serving process.
    """

    def __init__(self, site: line_site.Site, host: str, process: ServingProcess) -> None:
        self.site = site
        self.host = host
        self.process = process

    async def connect(self) -> line_site.Client:
        """Opens a session; tries again while the process refuses it."""
        async with asyncio.timeout(HANG_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(
                        self.host, SESSIONS_PORT, limit=2 * 1_048_576
                    )
                    client = line_site.Client(reader, writer)
                    if await client.send("START strict tester") == ["READY I -"]:
                        return client
                    client.close()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def is_ready(self) -> bool:
        """Returns whether the readiness probe is answered with success."""
        try:
            reader, writer = await asyncio.open_connection(self.host, READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return line.startswith(b"HTTP/1.1 200")


async def answer_ordinary(client: line_site.Client, request_id: str) -> None:
    """Sends a read in an open session until it is answered with a result.

    A busy member may refuse it, and the client tries again then.

    Raises:
      EOFError: The session has ended.
      TimeoutError: The process hangs.
    """
    async with asyncio.timeout(HANG_S):
        for attempt in range(1_000_000):
            answer = await client.query("READ ordinary", f"{request_id}-{attempt}")
            if not answer or not answer[-1].startswith("READY"):
                raise EOFError(f"the session has ended: {answer}")
            if not answer[0].startswith("ERR"):
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def session_site(limits: Limits) -> collections.abc.AsyncGenerator[SessionSite, None]:
    """Runs a site of the session mode with one serving process.

    Args:
      limits: Limits in its settings file.
    """
    host = line_site.unused_loopback_address()
    with tempfile.TemporaryDirectory() as folder:
        async with line_site.Site(0) as site:
            settings = {
                "node_name": "proxy-0",
                "ip": host,
                "zone": "a",
                "listen": {"front": f"{host}:{SESSIONS_PORT}", "ready": f"{host}:{READY_PORT}"},
                "internal_ports": [PEERS_PORT, PEERS_PORT + 1],
                "platform": {"address": site.platform.address, "history_s": 20},
                "cloud": {"address": site.platform.address},
                "limits": dataclasses.asdict(limits),
                "bootstrap": True,
            }
            child = _start(pathlib.Path(folder), settings)
            process = ServingProcess(child.pid)
            tasks = [
                asyncio.create_task(process.observe()),
                asyncio.create_task(_forget_executed(site)),
            ]
            try:
                served = SessionSite(site, host, process)
                async with asyncio.timeout(HANG_S):
                    while not await served.is_ready():
                        assert child.poll() is None, _read_log(folder)
                        await asyncio.sleep(SAMPLE_INTERVAL_S)
                yield served
            finally:
                for task in tasks:
                    task.cancel()
                child.kill()
                child.wait()


def _start(folder: pathlib.Path, settings: dict[str, Any]) -> subprocess.Popen[bytes]:
    """Starts a serving process with a settings file; its output goes to the file "log"."""
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    with open(folder / "log", "wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "bilberrystack.platform"],
            env=os.environ | {"BILBERRYSTACK_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )


def _read_log(folder: str) -> str:
    return pathlib.Path(folder, "log").read_text()


async def _forget_executed(site: line_site.Site) -> None:
    """Empties the record of executed statements, which would keep all texts of a crowd."""
    while True:
        site.group.executed_statements.clear()
        await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.contextmanager
def exclusive() -> collections.abc.Iterator[None]:
    """Waits until no other test process runs a crowd, and keeps others from it."""
    path = pathlib.Path(tempfile.gettempdir(), f"bilberrystack-crowds-{os.getuid()}.lock")
    with open(path, "w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
