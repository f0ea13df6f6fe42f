"""A site of the session mode in one process: platform, groups, instances and clients."""

import asyncio
import collections.abc
import itertools
import os

from bilberrystack.platform import client as platform_client
from bilberrystack.platform import wire
from bilberrystack.pooling import counters
from bilberrystack.pooling import instance
from bilberrystack.pooling import settings
from bilberrystack.routing import model
from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server

SERVICE = "store-1"

_NUMBERS = itertools.count()

# Databases of the site: their names say what their reads promise.
ROUTES = [
    platform_server.route("strict", SERVICE, "primary"),
    platform_server.route("aged", SERVICE, "bounded_staleness", 1500),
    platform_server.route("own", SERVICE, "read_own_writes", 2500),
]


class Client:
    """A client session on the line protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._count = 0

    async def ask(self, text: str, request_id: str = "") -> list[str]:
        """Sends a statement and returns the lines of its answer."""
        self._count += 1
        name = request_id or f"q{id(self):x}{self._count}"
        return await self.send(f"QUERY {name} {text}")

    async def send(self, line: str) -> list[str]:
        """Sends a line and returns the lines up to READY or the connection's end."""
        self.writer.write(f"{line}\r\n".encode())
        return await self.answer()

    async def answer(self) -> list[str]:
        """Returns the lines up to READY or the connection's end."""
        lines = []
        while line := await self.reader.readline():
            lines.append(line.decode().rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                break
        return lines

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class Site:
    """Runs everything on loopback; a context manager."""

    def __init__(self, instances: int = 1, options: line_group.GroupOptions | None = None) -> None:
        self.group = line_group.LineGroup(SERVICE, ("a", "b", "c"), options)
        self.platform = platform_server.PlatformServer({SERVICE: self.group})
        self.instances: list[instance.Instance] = []
        self.settings: list[settings.Settings] = []
        self._count = instances
        self._running: list[asyncio.Task[None]] = []
        self._roles: asyncio.Task[None] | None = None
        self._platforms: list[platform_client.Client] = []

    async def __aenter__(self) -> "Site":
        await self.group.start()
        await self.platform.start()
        await self.platform.declare(1, ROUTES)
        for member in self.group.members.values():
            await self.platform.register(member)
        self._roles = asyncio.create_task(self._report_roles())
        for number in range(self._count):
            self.add_instance(f"proxy-{number}")
        await self.until(lambda: all(one.ready for one in self.instances))
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._roles is not None:
            self._roles.cancel()
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for one in self.instances:
            await one.terminate()
        for platform in self._platforms:
            platform.close()
        await self.platform.stop()
        await self.group.stop()

    async def _report_roles(self) -> None:
        """Writes members' entries anew when their roles change, as members do."""
        changed = asyncio.Event()
        self.group.on_roles.append(changed)
        while True:
            await changed.wait()
            changed.clear()
            for member in self.group.members.values():
                if member.id in self.platform.names("servers"):
                    await self.platform.register(member)

    def add_instance(self, name: str) -> instance.Instance:
        """Starts an instance."""
        host = own_address()
        store = model.Endpoint("127.0.0.1", self.platform.port)
        loaded = settings.Settings(
            name=name,
            failure_domain="a",
            sessions_endpoint=model.Endpoint(host, 7000),
            readiness_endpoint=model.Endpoint(host, 7001),
            peers_endpoint=model.Endpoint(host, 7002),
            metrics_endpoint=model.Endpoint(host, 7003),
            store_endpoint=store,
            platform_endpoint=store,
            store_history_s=20.0,
            grace_s=4.0,
        )
        counted = counters.Counters()
        platform = platform_client.Client(store, store, counted)
        started = instance.Instance(loaded, platform, wire, counted)
        self._platforms.append(platform)
        self.settings.append(loaded)
        self.instances.append(started)
        self._running.append(asyncio.create_task(started.run()))
        return started

    async def connect(self, database: str, number: int = 0) -> Client:
        """Opens a session and checks that it is accepted."""
        found = await self.dial(number)
        answer = await found.send(f"START {database} tester")
        assert answer == ["READY I -"], answer
        return found

    async def dial(self, number: int = 0) -> Client:
        """Opens a connection to an instance without a word."""
        endpoint = self.settings[number].sessions_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        return Client(reader, writer)

    async def ended(self, number: int = 0) -> None:
        """Waits for an instance's process to end."""
        await self._running[number]

    async def until(
        self, condition: collections.abc.Callable[[], bool], timeout_s: float = 20.0
    ) -> None:
        """Waits for a condition."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)


def own_address() -> str:
    """Returns a loopback address that no other process or instance of these tests uses.

    Its ports are all free: connections to elsewhere never start at it.
    """
    number = next(_NUMBERS)
    process = os.getpid()
    return f"127.{64 + process // 256 % 128}.{process % 256}.{1 + number % 254}"
