"""The soak's site: serving processes, and the stand-ins and links that this process runs."""

import asyncio
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
from soak import links

SERVICE = "store-1"
MEMBERS = ("a", "b", "c")

# A leaving member serves for so long after its entry has said so.
DRAIN_S = 2.5

# Time between the request to stop and the kill.
GRACE_S = 3.0

# Pause between a process's end and its next start.
RESTART_S = 0.1

# Pause between questions whether an instance is ready.
PROBE_S = 0.05

# A signal ends any Python process before its program's first line, which it reaches in this time.
BOOT_S = 0.15

SESSIONS_PORT, READY_PORT, PEERS_PORT = 7000, 7001, 7002


class Process:
    """One serving process, which is started again when it has ended."""

    def __init__(self, name: str, store: links.Link, calls: str, folder: pathlib.Path) -> None:
        self.name = name
        self.store = store
        self.host = line_site.unused_loopback_address()
        self.exits = 0
        self._calls = calls
        self._folder = folder
        self._expected = False
        self._started_at_s = 0.0
        self._running: subprocess.Popen[bytes] | None = None
        self._log = open(folder / f"{name}.log", "ab")  # noqa: SIM115 - closed by close

    @property
    def address(self) -> str:
        """Where it accepts sessions."""
        return f"{self.host}:{SESSIONS_PORT}"

    def start(self) -> None:
        """Starts the process with its settings, unless another fault has started it."""
        if self._running is not None and self._running.poll() is None:
            return
        settings = {
            "node_name": self.name,
            "ip": self.host,
            "zone": "a",
            "listen": {"front": self.address, "ready": f"{self.host}:{READY_PORT}"},
            "internal_ports": [PEERS_PORT, PEERS_PORT + 1],
            "bounds": {"grace_s": GRACE_S},
            "platform": {"address": self.store.address, "history_s": 20},
            "cloud": {"address": self._calls},
        }
        self._expected = False
        self._started_at_s = asyncio.get_running_loop().time()
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        self._running = subprocess.Popen(
            [sys.executable, "-m", "bilberrystack.platform"],
            env=os.environ | {"BILBERRYSTACK_CONFIG": str(path)},
            stdout=self._log,
            stderr=self._log,
        )

    def restart_if_ended(self) -> None:
        """Starts a process that has ended by itself again, as the platform does."""
        if not self._expected and self._running is not None and self._running.poll() is not None:
            self.exits += 1
            self.start()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process that this object started, if it still runs."""
        if self._running is not None and self._running.poll() is None:
            self._running.send_signal(number)

    async def reload(self) -> None:
        """Tells the process that its settings file has changed."""
        booted_at_s = self._started_at_s + BOOT_S
        await asyncio.sleep(max(0.0, booted_at_s - asyncio.get_running_loop().time()))
        self.signal(signal.SIGHUP)

    async def pause(self, seconds: float) -> None:
        """Stops the process for a while, as a suspended machine does."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kills the process and starts it again."""
        self._expected = True
        self.signal(signal.SIGKILL)
        await self._ended(GRACE_S)
        await asyncio.sleep(RESTART_S)
        self.start()

    async def stop_gracefully(self) -> None:
        """Asks the process to stop, kills it after the grace time, and starts it again."""
        self._expected = True
        self.signal(signal.SIGTERM)
        if not await self._ended(GRACE_S):
            self.signal(signal.SIGKILL)
            await self._ended(GRACE_S)
        await asyncio.sleep(RESTART_S)
        self.start()

    async def _ended(self, timeout_s: float) -> bool:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        running = self._running
        while running is not None and running.poll() is None:
            if loop.time() >= until_s:
                return False
            await asyncio.sleep(0.01)
        return True

    def close(self) -> None:
        """Ends the process for good."""
        if self._running is not None and self._running.poll() is None:
            self._running.send_signal(signal.SIGCONT)
            self._running.kill()
            self._running.wait()
        self._log.close()

    def log_lines(self) -> list[str]:
        """Returns what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines()


class Site:
    """Runs a group of three members, a store, and instances; a context manager."""

    def __init__(self, instances: int, folder: pathlib.Path | None = None) -> None:
        self.group = line_group.LineGroup(
            SERVICE,
            MEMBERS,
            line_group.GroupOptions(slots=4, max_connections=24, promotion_delay_s=0.15),
        )
        self.platform = platform_server.PlatformServer({SERVICE: self.group})
        self.processes: list[Process] = []
        self.links: dict[str, links.Link] = {}
        self.in_rotation: dict[str, str] = {}
        self.left_at_s: dict[str, float] = {}
        self.version = 1
        self._count = instances
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []

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
        for number in range(self._count):
            store = await self._stack.enter_async_context(links.Link(self.platform.port))
            name = f"proxy-{number}"
            process = Process(name, store, self.platform.address, self._folder)
            self.processes.append(process)
            process.start()
            self._tasks.append(asyncio.create_task(self._probe(process)))
        self._tasks.append(asyncio.create_task(self._report_roles()))
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
        """Declares the next configuration, with one more database if a name is given."""
        self.version += 1
        routes = [*line_site.ROUTES]
        if database is not None:
            routes.append(platform_server.route(database, SERVICE, "primary"))
        await self.platform.declare_configuration(self.version, routes)

    async def register(self, member: line_group.LineMember, state: str = "") -> None:
        """Writes a member's entry, with the address of the link before it."""
        await self.platform.register_member(member, state, self.links[member.id].address)
        if state == "draining":
            self.left_at_s[member.id] = asyncio.get_running_loop().time()
        elif state == "ready":
            self.left_at_s.pop(member.id, None)

    async def _report_roles(self) -> None:
        changed = asyncio.Event()
        self.group.role_change_events.append(changed)
        while True:
            await changed.wait()
            changed.clear()
            for member in self.group.members.values():
                if member.is_running:
                    await self.register(member)

    async def _probe(self, process: Process) -> None:
        """Keeps an instance in rotation while it says that it is ready."""
        url = f"http://{process.host}:{READY_PORT}/ready"
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as answer:
                        ready = answer.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    ready = False
                if ready:
                    self.in_rotation[process.name] = process.address
                else:
                    self.in_rotation.pop(process.name, None)
                process.restart_if_ended()
                await asyncio.sleep(PROBE_S)

    async def until(self, condition: collections.abc.Callable[[], bool], timeout_s: float) -> bool:
        """Waits for a condition; returns whether it came."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while not condition():
            if loop.time() >= until_s:
                return False
            await asyncio.sleep(0.02)
        return True
