"""Starts stand-in processes for demonstrations and tests, and stops them by their ids."""

import asyncio
import asyncio.subprocess
import collections.abc
import contextlib
import dataclasses
import pathlib
import signal
import sys
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from bilberrystack_standins import member_process
from bilberrystack_standins import store_process
from bilberrystack_standins import store_server

_Ready = TypeVar("_Ready")


class StartFailed(Exception):
    """A process ended before it printed its ready line."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberOptions:
    """How to start a member.

    Attributes:
      name: Its declared name, unique among the members started.
      slots: Statements that it executes at the same time.
      connections: Connections that it accepts.
      data_file: File that keeps its promises and log; None if they are lost when it ends.
      faults: Initial fault switches by name, as in member_faults.Faults.
    """

    name: str
    slots: int = 4
    connections: int = 64
    data_file: pathlib.Path | None = None
    faults: dict[str, float] = dataclasses.field(default_factory=dict)

    def arguments(self) -> list[str]:
        """Returns the command line, without addresses."""
        arguments = ["--name", self.name]
        arguments += ["--slots", str(self.slots), "--connections", str(self.connections)]
        if self.data_file is not None:
            arguments += ["--data-file", str(self.data_file)]
        for name, value in self.faults.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        return arguments


class _Process:
    """A child process that printed its ready line."""

    __slots__ = ("_child",)

    def __init__(self, child: asyncio.subprocess.Process) -> None:
        self._child = child

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._child.pid

    def pause(self) -> None:
        """Stops the process from running until resume."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process run."""
        self._child.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Ends the process at once."""
        await self._end(signal.SIGKILL)

    async def stop(self) -> None:
        """Ends the process in an orderly way, paused or not."""
        await self._end(signal.SIGTERM, signal.SIGCONT)

    async def _end(self, *signals: signal.Signals) -> None:
        for number in signals:
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(number)
        await self._child.wait()


class MemberProcess(_Process):
    """A running member.

    Attributes:
      options: How it was started.
      address: Where it serves schema/members.thrift.
      faults_address: Where it serves its fault switches.
    """

    __slots__ = ("address", "faults_address", "options")

    def __init__(
        self,
        child: asyncio.subprocess.Process,
        options: MemberOptions,
        ready: member_process.Ready,
    ) -> None:
        super().__init__(child)
        self.options = options
        self.address = ready.address
        self.faults_address = ready.faults

    async def set_faults(self, **switches: Any) -> None:
        """Sets fault switches by name. Raises aiohttp.ClientError."""
        await _post(f"http://{self.faults_address}/faults", switches)


class StoreProcess(_Process):
    """A running store.

    Attributes:
      address: Where it serves the object API and the control endpoints.
    """

    __slots__ = ("address",)

    def __init__(self, child: asyncio.subprocess.Process, ready: store_process.Ready) -> None:
        super().__init__(child)
        self.address = ready.address

    @property
    def url(self) -> str:
        """The URL of the object API."""
        return f"http://{self.address}"

    async def set_faults(self, **switches: Any) -> None:
        """Sets fault switches by name, as in store_server.Faults. Raises aiohttp.ClientError."""
        await _post(f"{self.url}/control/faults", switches)

    async def set_instances(self, wanted: store_server.InstanceList) -> None:
        """Sets the platform's list of instances. Raises aiohttp.ClientError."""
        await _post(f"{self.url}/control/instances", msgspec.to_builtins(wanted))

    async def calls(self) -> dict[str, int]:
        """Returns the number of calls by kind. Raises aiohttp.ClientError."""
        async with aiohttp.ClientSession(raise_for_status=True) as session:
            async with session.get(f"{self.url}/control/calls") as answer:
                return msgspec.json.decode(await answer.read(), type=dict[str, int])


class Standins:
    """Stand-in processes. Use it as an asynchronous context manager, which stops them all.

    Attributes:
      members: The members by name.
      store: The store; None if none was started.
    """

    __slots__ = ("members", "store")

    def __init__(self) -> None:
        self.members: dict[str, MemberProcess] = {}
        self.store: StoreProcess | None = None

    async def __aenter__(self) -> "Standins":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.stop()

    async def start_store(self) -> StoreProcess:
        """Starts the store. Raises StartFailed."""
        child, ready = await _start("store_process", [], store_process.Ready)
        self.store = StoreProcess(child, ready)
        return self.store

    async def start_members(
        self, options: collections.abc.Iterable[MemberOptions]
    ) -> list[MemberProcess]:
        """Starts members, all at the same time. Raises StartFailed."""
        results = await asyncio.gather(
            *(self._start_member(one, "127.0.0.1:0") for one in options), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        return [result for result in results if isinstance(result, MemberProcess)]

    async def restart_member(self, name: str) -> MemberProcess:
        """Starts a member that ended again, at the same address. Raises StartFailed."""
        ended = self.members[name]
        return await self._start_member(ended.options, ended.address)

    async def stop(self) -> None:
        """Stops all processes."""
        running: list[_Process] = [*self.members.values()]
        if self.store is not None:
            running.append(self.store)
        await asyncio.gather(*(one.stop() for one in running))

    async def _start_member(self, options: MemberOptions, listen: str) -> MemberProcess:
        arguments = [*options.arguments(), "--listen", listen]
        child, ready = await _start("member_process", arguments, member_process.Ready)
        member = MemberProcess(child, options, ready)
        self.members[options.name] = member
        return member


async def _start(
    module: str, arguments: list[str], ready: type[_Ready]
) -> tuple[asyncio.subprocess.Process, _Ready]:
    """Starts a module of this package and waits for its ready line."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"{__package__}.{module}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    assert child.stdout is not None
    try:
        line = await child.stdout.readline()
    except BaseException:
        child.kill()
        raise
    if not line:
        raise StartFailed(f"{module} ended with code {await child.wait()}")
    return child, msgspec.json.decode(line, type=ready)


async def _post(url: str, body: Any) -> None:
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        async with session.post(url, json=body):
            pass
