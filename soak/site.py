"""Site of the soak: serving processes, and the stand-ins and links that run in this process."""

import asyncio
import collections
import collections.abc
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import aiohttp

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site
from bilberrystack_standins import platform_server
from soak import account
from soak import links

SERVICE = "store-1"
MEMBERS = ("a", "b", "c")
GROUP_OPTIONS = line_group.GroupOptions(slots=4, max_connections=24, promotion_delay_s=0.15)

# Time for which a leaving member serves after its record says that it drains.
DRAIN_S = 2.5

# The same for a departure, which outlasts the time within which the member has to be out of use.
DEPARTURE_DRAIN_S = 9.0

# Time from SIGTERM to SIGKILL.
SHUTDOWN_GRACE_S = 3.0

# Pause between the exit of a process and its restart.
RESTART_PAUSE_S = 0.1

# Interval between two readiness checks of an instance.
READINESS_INTERVAL_S = 0.05

# Time in which a new process starts its interpreter and reaches the first line of its program.
# Before that line no signal handler is installed, so a SIGHUP ends the process.
INTERPRETER_START_S = 0.15

# Interval between two copies of the store's contents, and the age up to which they are kept.
COPY_INTERVAL_S = 0.25
COPY_RETENTION_S = 15.0

# The coordinator lease in the store.
LEASE_KIND, LEASE_NAME = "bilberrystack-duties", "promotion"

SESSIONS_PORT, READY_PORT, PEERS_PORT = 7000, 7001, 7002


class InstanceProcess:
    """One instance, whose process is restarted after each exit.

    Attributes:
      name: Name of the instance.
      store: Link between the instance and the store.
      host: Loopback address of the instance.
      unexpected_exits: Number of exits that no fault caused.
      disturbances: Start and end of these faults, on the event loop's clock.
    """

    def __init__(
        self, name: str, store: links.Link, platform_address: str, folder: pathlib.Path
    ) -> None:
        """Prepares an instance without starting it.

        Args:
          name: Name of the instance.
          store: Link between the instance and the store.
          platform_address: Address to which the instance sends its promotion requests.
          folder: Folder for the settings file and the log file.
        """
        self.name = name
        self.store = store
        self.host = line_site.unused_loopback_address()
        self.unexpected_exits = 0
        self.disturbances: list[tuple[float, float]] = []
        self._platform_address = platform_address
        self._folder = folder
        self._exit_expected = False
        self._started_at_s = 0.0
        self._child: subprocess.Popen[bytes] | None = None
        self._log = open(folder / f"{name}.log", "ab")  # noqa: SIM115 - closed by close

    @property
    def address(self) -> str:
        """Address on which the instance accepts sessions."""
        return f"{self.host}:{SESSIONS_PORT}"

    def start(self) -> None:
        """Writes the settings file and starts the process, unless another fault has started it."""
        if self._child is not None and self._child.poll() is None:
            return
        settings = {
            "node_name": self.name,
            "ip": self.host,
            "zone": "a",
            "listen": {"front": self.address, "ready": f"{self.host}:{READY_PORT}"},
            "internal_ports": [PEERS_PORT, PEERS_PORT + 1],
            "bounds": {"grace_s": SHUTDOWN_GRACE_S},
            "platform": {"address": self.store.address, "history_s": 20},
            "cloud": {"address": self._platform_address},
            "bootstrap": self._child is None,
        }
        self._exit_expected = False
        self._started_at_s = asyncio.get_running_loop().time()
        settings_path = self._folder / f"{self.name}.json"
        settings_path.write_text(json.dumps(settings))
        self._child = subprocess.Popen(
            [sys.executable, "-m", "bilberrystack.platform"],
            env=os.environ | {"BILBERRYSTACK_CONFIG": str(settings_path)},
            stdout=self._log,
            stderr=self._log,
        )

    def restart_if_ended(self) -> None:
        """Restarts the process after an exit that no fault caused, as the platform does."""
        if not self._exit_expected and self._child is not None and self._child.poll() is not None:
            self.unexpected_exits += 1
            self.start()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it still runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    async def reload(self) -> None:
        """Makes the process reload its settings file, once it handles signals."""
        handles_signals_at_s = self._started_at_s + INTERPRETER_START_S
        await asyncio.sleep(max(0.0, handles_signals_at_s - asyncio.get_running_loop().time()))
        self.signal(signal.SIGHUP)

    @contextlib.contextmanager
    def disturbed(self) -> collections.abc.Iterator[None]:
        """Records the time of a fault of the process or of its link to the store."""
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        try:
            yield
        finally:
            self.disturbances.append((started_at_s, loop.time()))

    async def pause(self, duration_s: float) -> None:
        """Suspends the process for a time, like a suspended machine."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kills the process and restarts it."""
        self._exit_expected = True
        self.signal(signal.SIGKILL)
        await self._wait_for_exit(SHUTDOWN_GRACE_S)
        await asyncio.sleep(RESTART_PAUSE_S)
        self.start()

    async def stop_gracefully(self) -> None:
        """Stops the process, by SIGKILL once the grace period has passed, and restarts it."""
        self._exit_expected = True
        self.signal(signal.SIGTERM)
        if not await self._wait_for_exit(SHUTDOWN_GRACE_S):
            self.signal(signal.SIGKILL)
            await self._wait_for_exit(SHUTDOWN_GRACE_S)
        await asyncio.sleep(RESTART_PAUSE_S)
        self.start()

    async def _wait_for_exit(self, timeout_s: float) -> bool:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        child = self._child
        while child is not None and child.poll() is None:
            if loop.time() >= deadline_s:
                return False
            await asyncio.sleep(0.01)
        return True

    def close(self) -> None:
        """Kills the process without a restart and closes its log."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
            self._child.wait()
        self._log.close()

    def log_lines(self) -> list[str]:
        """Returns the lines that the process has written to its log."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines()


class Site:
    """A group of three members, a store and instances. Use it as an asynchronous context manager.

    Attributes:
      group: The group, whose members run in this process.
      platform: The store and the platform, which run in this process.
      processes: The instances.
      links: Link in front of each member, by member id.
      in_rotation: Addresses of the ready instances, by name.
      leaving_since_s: When each leaving member announced it, on the event loop's clock.
      configuration_version: Version of the last declared configuration.
      departures: Notice and end of each departure of a member.
    """

    def __init__(
        self,
        instance_count: int,
        folder: pathlib.Path | None = None,
        options: line_group.GroupOptions = GROUP_OPTIONS,
    ) -> None:
        """Prepares a site without starting it.

        Args:
          instance_count: Number of instances to start.
          folder: Folder for the settings and logs of the instances; None for a temporary folder.
          options: Options of the group.
        """
        self.group = line_group.LineGroup(SERVICE, MEMBERS, options)
        self.platform = platform_server.PlatformServer({SERVICE: self.group})
        self.platform.sync_replicas = options.sync_replicas
        self.processes: list[InstanceProcess] = []
        self.links: dict[str, links.Link] = {}
        self.in_rotation: dict[str, str] = {}
        self.leaving_since_s: dict[str, float] = {}
        self.configuration_version = 1
        self.departures: list[account.Departure] = []
        self._instance_count = instance_count
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self._copies: collections.deque[tuple[float, platform_server.StoreCopy]] = (
            collections.deque(maxlen=round(COPY_RETENTION_S / COPY_INTERVAL_S))
        )

    async def __aenter__(self) -> "Site":
        if self._folder is None:
            self._folder = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        await self.group.start()
        await self.platform.start()
        await self.declare(None)
        for member in self.group.members.values():
            link = await self._stack.enter_async_context(links.Link(member.port))
            self.links[member.id] = link
            await self.register(member)
        for number in range(self._instance_count):
            store = await self._stack.enter_async_context(links.Link(self.platform.port))
            name = f"proxy-{number}"
            process = InstanceProcess(name, store, self.platform.address, self._folder)
            self.processes.append(process)
            process.start()
            self._tasks.append(asyncio.create_task(self._check_readiness(process)))
        self._tasks.append(asyncio.create_task(self._report_roles()))
        self._tasks.append(asyncio.create_task(self._copy_store()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            process.close()
        await self._stack.aclose()
        await self.platform.stop()
        await self.group.stop()

    async def declare(self, database: str | None) -> None:
        """Declares the next configuration.

        Args:
          database: Name of a database to add to those of the site; None for none.
        """
        self.configuration_version += 1
        routes = [*line_site.ROUTES]
        if database is not None:
            routes.append(platform_server.route(database, SERVICE, "primary"))
        await self.platform.declare_configuration(self.configuration_version, routes)

    async def register(self, member: line_group.LineMember, state: str = "") -> None:
        """Writes a member's record, with the address of the link in front of the member.

        Args:
          member: The member.
          state: State in the record; "draining" and "ready" start and end the member's leaving.
        """
        await self.platform.register_member(member, state, self.links[member.id].address)
        if state == "draining":
            self.leaving_since_s[member.id] = asyncio.get_running_loop().time()
        elif state == "ready":
            self.leaving_since_s.pop(member.id, None)

    async def _report_roles(self) -> None:
        roles_changed = asyncio.Event()
        self.group.role_change_events.append(roles_changed)
        while True:
            await roles_changed.wait()
            roles_changed.clear()
            for member in self.group.members.values():
                if member.is_running and not member.record_withheld:
                    await self.register(member)

    async def _copy_store(self) -> None:
        while True:
            self._copies.append((asyncio.get_running_loop().time(), self.platform.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore_store(self, age_s: float) -> None:
        """Makes the store return from the oldest copy that is at most this old."""
        oldest_s = asyncio.get_running_loop().time() - age_s
        copies = [older for copied_at_s, older in self._copies if copied_at_s >= oldest_s]
        await self.platform.restore(copies[0] if copies else self._copies[-1][1])

    async def _check_readiness(self, process: InstanceProcess) -> None:
        """Keeps an instance in rotation while it is ready, and restarts it after an exit."""
        url = f"http://{process.host}:{READY_PORT}/ready"
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as response:
                        ready = response.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    ready = False
                if ready:
                    self.in_rotation[process.name] = process.address
                else:
                    self.in_rotation.pop(process.name, None)
                process.restart_if_ended()
                await asyncio.sleep(READINESS_INTERVAL_S)

    def coordinator(self) -> InstanceProcess | None:
        """Returns the instance that the store names as the coordinator; None if it names none."""
        if LEASE_NAME not in self.platform.object_names(LEASE_KIND):
            return None
        holder = self.platform.get(LEASE_KIND, LEASE_NAME)["holder"]
        return next(
            (process for process in self.processes if holder and process.name == holder["name"]),
            None,
        )

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits for a condition and returns whether it was met in time."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while not condition():
            if loop.time() >= deadline_s:
                return False
            await asyncio.sleep(0.02)
        return True
