"""A site of the session mode in one process: platform, database groups, instances and clients."""

import asyncio
import collections.abc
import itertools
import os
from typing import Any

from bilberrystack.platform import client as platform_client
from bilberrystack.platform import wire
from bilberrystack.pooling import counters
from bilberrystack.pooling import instance
from bilberrystack.pooling import settings
from bilberrystack.routing import model
from bilberrystack_standins import line_group
from bilberrystack_standins import line_network
from bilberrystack_standins import platform_server

SERVICE = "store-1"

_ADDRESS_NUMBERS = itertools.count()

# Routes to the databases of the site, named after the guarantee of their reads.
ROUTES = [
    platform_server.route("strict", SERVICE, "primary"),
    platform_server.route("aged", SERVICE, "bounded_staleness", 1500),
    platform_server.route("own", SERVICE, "read_own_writes", 2500),
]

# Ids of the members of each group; the first one is its first primary. An id belongs to one member
# of the site.
MEMBER_IDS = (("a", "b", "c"), ("d", "e", "f"), ("g", "h", "i"))


def database_name(database: str, group_number: int) -> str:
    """Returns the name of a database of ROUTES in another group; the first group has number 0."""
    return database if group_number == 0 else f"{database}-{group_number + 1}"


def _routes(group_count: int) -> list[Any]:
    """Returns a route of each kind to each group."""
    return [
        {
            **route,
            "name": database_name(route["name"], number),
            "host": database_name(route["host"], number),
            "service": f"store-{number + 1}",
        }
        for number in range(group_count)
        for route in ROUTES
    ]


class Client:
    """A client session in the line protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._request_count = 0

    async def query(self, text: str, request_id: str = "") -> list[str]:
        """Sends a statement and returns the lines of the answer, as `send` does."""
        self._request_count += 1
        request_id = request_id or f"q{id(self):x}{self._request_count}"
        return await self.send(f"QUERY {request_id} {text}")

    async def send(self, line: str) -> list[str]:
        """Sends a line and returns the lines of the answer, up to READY or the connection's end."""
        self.writer.write(line_group.encode(f"{line}\r\n"))
        return await self.read_answer()

    async def read_answer(self) -> list[str]:
        """Returns the received lines, up to READY or the connection's end."""
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            try:
                lines.append(await line_group.read_line(self.reader))
            except asyncio.IncompleteReadError:
                break
        return lines

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class Site:
    """Runs a site on loopback addresses. Use it as an asynchronous context manager.

    Attributes:
      group: The first database group.
      groups: All groups, by name.
      network: The network between the instances, the members and the store.
      platform: The platform.
      instances: The instances, in the order of their start.
      settings: The settings of the instances, in the same order.
    """

    def __init__(
        self,
        instance_count: int = 1,
        options: line_group.GroupOptions | None = None,
        group_count: int = 1,
        network: line_network.Network | None = None,
    ) -> None:
        """Creates a site.

        Args:
          instance_count: Number of instances that it starts with.
          options: Options of each group; None for the usual ones.
          group_count: Number of groups, at most three. The databases of the second one are named
            "strict-2" and so on.
          network: The network in which the site can be cut; the caller enters it. None without
            cuts.
        """
        self.groups = {
            f"store-{number + 1}": line_group.LineGroup(
                f"store-{number + 1}", MEMBER_IDS[number], options
            )
            for number in range(group_count)
        }
        self.group = self.groups[SERVICE]
        self.network = network or line_network.Network()
        self.platform = platform_server.PlatformServer(self.groups)
        self.platform.sync_replicas = self.group.options.sync_replicas
        self.instances: list[instance.Instance] = []
        self.settings: list[settings.Settings] = []
        self._initial_instance_count = instance_count
        self._instance_tasks: list[asyncio.Task[None]] = []
        self._role_reporters: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Site":
        for group in self.groups.values():
            await group.start()
        await self.platform.start()
        self.network.add_endpoint(line_network.STORE, "127.0.0.1", self.platform.port)
        await self.platform.declare_configuration(1, _routes(len(self.groups)))
        for group in self.groups.values():
            for member in group.members.values():
                self.network.add_endpoint(member.id, "127.0.0.1", member.port)
                await self.platform.register_member(member)
            self._role_reporters.append(asyncio.create_task(self._report_roles(group)))
        for number in range(self._initial_instance_count):
            self.start_instance(f"proxy-{number}")
        await self.wait_until(lambda: all(started.ready for started in self.instances))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in [*self._role_reporters, *self._instance_tasks]:
            task.cancel()
        await asyncio.gather(*self._instance_tasks, return_exceptions=True)
        for started in self.instances:
            await started.terminate()
        await self.platform.stop()
        for group in self.groups.values():
            await group.stop()

    async def _report_roles(self, group: line_group.LineGroup) -> None:
        """Writes the members' records again after each role change, as real members do."""
        role_changed = asyncio.Event()
        group.role_change_events.append(role_changed)
        while True:
            await role_changed.wait()
            role_changed.clear()
            for member in group.members.values():
                if (
                    member.id in self.platform.object_names("servers")
                    and member.is_running
                    and not member.record_withheld
                ):
                    await self.platform.register_member(member)

    def start_instance(
        self, name: str, store_endpoint: model.Endpoint | None = None, host: str = ""
    ) -> instance.Instance:
        """Starts an instance.

        Args:
          name: Its name.
          store_endpoint: The address at which it reaches the store; None for the store's own.
          host: The host of its addresses; empty for an unused one.
        """
        host = host or unused_loopback_address()
        self.network.add_host(name, host)
        platform_endpoint = model.Endpoint("127.0.0.1", self.platform.port)
        instance_settings = settings.Settings(
            name=name,
            failure_domain="a",
            sessions_endpoint=model.Endpoint(host, 7000),
            readiness_endpoint=model.Endpoint(host, 7001),
            peers_endpoint=model.Endpoint(host, 7002),
            metrics_endpoint=model.Endpoint(host, 7003),
            store_endpoint=store_endpoint or platform_endpoint,
            platform_endpoint=platform_endpoint,
            store_history_s=20.0,
            grace_s=4.0,
            first_start=True,
        )
        instance_counters = counters.Counters()
        client = platform_client.Client(
            instance_settings.store_endpoint, platform_endpoint, instance_counters
        )
        started = instance.Instance(instance_settings, client, wire, instance_counters)
        self.settings.append(instance_settings)
        self.instances.append(started)
        self._instance_tasks.append(line_network.start_task(name, started.run()))
        return started

    async def connect(self, database: str, instance_number: int = 0) -> Client:
        """Opens a session and checks that it is accepted."""
        client = await self.open_connection(instance_number)
        answer = await client.send(f"START {database} tester")
        assert answer == ["READY I -"], answer
        return client

    async def open_connection(self, instance_number: int = 0) -> Client:
        """Opens a connection to an instance without starting a session."""
        endpoint = self.settings[instance_number].sessions_endpoint
        reader, writer = await asyncio.open_connection(
            endpoint.host, endpoint.port, limit=line_group.MAX_MESSAGE_BYTES
        )
        return Client(reader, writer)

    async def wait_until_stopped(self, instance_number: int = 0) -> None:
        """Waits until an instance has stopped."""
        await self._instance_tasks[instance_number]

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool], timeout_s: float = 20.0
    ) -> None:
        """Waits until a condition holds. Raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)


def unused_loopback_address() -> str:
    """Returns a loopback address that no other process or instance of these tests uses.

    All its ports are free, because it is never the source address of an outgoing connection.
    """
    address_number = next(_ADDRESS_NUMBERS)
    process_id = os.getpid()
    return f"127.{64 + process_id // 256 % 128}.{process_id % 256}.{1 + address_number % 254}"
