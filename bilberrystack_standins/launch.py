"""Starts stand-in processes for demonstrations and tests, and stops only these processes."""

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

_ReadyLine = TypeVar("_ReadyLine")


class StartFailed(Exception):
    """A process exited before it printed its ready line."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberOptions:
    """Options of a member process.

    Attributes:
      name: The member's declared name, unique among the started members.
      slots: Maximum number of concurrent statements.
      connections: Maximum number of connections.
      data_file: File with the promised terms and the log; None to lose them when the process exits.
      faults: Initial fault switches by name, as in member_faults.Faults.
    """

    name: str
    slots: int = 4
    connections: int = 64
    data_file: pathlib.Path | None = None
    faults: dict[str, float] = dataclasses.field(default_factory=dict)

    def command_line_arguments(self) -> list[str]:
        """Returns the command-line arguments except for the addresses."""
        arguments = ["--name", self.name]
        arguments += ["--slots", str(self.slots), "--connections", str(self.connections)]
        if self.data_file is not None:
            arguments += ["--data-file", str(self.data_file)]
        for name, value in self.faults.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        return arguments


class _Process:
    """A child process that has printed its ready line."""

    __slots__ = ("_child",)

    def __init__(self, child: asyncio.subprocess.Process) -> None:
        self._child = child

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    def pause(self) -> None:
        """Suspends the process until resume."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self._child.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kills the process."""
        await self._signal_and_wait(signal.SIGKILL)

    async def stop(self) -> None:
        """Terminates the process gracefully, even if it is suspended."""
        await self._signal_and_wait(signal.SIGTERM, signal.SIGCONT)

    async def _signal_and_wait(self, *signals: signal.Signals) -> None:
        for signal_number in signals:
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(signal_number)
        await self._child.wait()


class MemberProcess(_Process):
    """A running member process.

    Attributes:
      options: The options that it was started with.
      address: Address of the service in schema/members.thrift.
      faults_address: Address of the fault switches.
    """

    __slots__ = ("address", "faults_address", "options")

    def __init__(
        self,
        child: asyncio.subprocess.Process,
        options: MemberOptions,
        ready_line: member_process.ReadyLine,
    ) -> None:
        super().__init__(child)
        self.options = options
        self.address = ready_line.address
        self.faults_address = ready_line.faults

    async def set_faults(self, **switches: Any) -> None:
        """Sets fault switches by name, as in member_faults.Faults. Raises aiohttp.ClientError."""
        await _post(f"http://{self.faults_address}/faults", switches)


class StoreProcess(_Process):
    """A running store process.

    Attributes:
      address: Address of the object API and of the control endpoints.
    """

    __slots__ = ("address",)

    def __init__(
        self, child: asyncio.subprocess.Process, ready_line: store_process.ReadyLine
    ) -> None:
        super().__init__(child)
        self.address = ready_line.address

    @property
    def url(self) -> str:
        """The URL of the object API."""
        return f"http://{self.address}"

    async def set_faults(self, **switches: Any) -> None:
        """Sets fault switches by name, as in store_server.Faults. Raises aiohttp.ClientError."""
        await _post(f"{self.url}/control/faults", switches)

    async def set_instances(self, instance_list: store_server.InstanceList) -> None:
        """Sets the platform's list of instances. Raises aiohttp.ClientError."""
        await _post(f"{self.url}/control/instances", msgspec.to_builtins(instance_list))

    async def call_counts(self) -> dict[str, int]:
        """Returns the number of calls by kind. Raises aiohttp.ClientError."""
        async with aiohttp.ClientSession(raise_for_status=True) as session:
            async with session.get(f"{self.url}/control/calls") as answer:
                return msgspec.json.decode(await answer.read(), type=dict[str, int])


class Standins:
    """A set of stand-in processes. Use it as an asynchronous context manager, which stops them.

    Attributes:
      members: The members by name.
      store: The store; None if it has not been started.
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
        child, ready_line = await _start("store_process", [], store_process.ReadyLine)
        self.store = StoreProcess(child, ready_line)
        return self.store

    async def start_members(
        self, options: collections.abc.Iterable[MemberOptions]
    ) -> list[MemberProcess]:
        """Starts members concurrently. Raises StartFailed."""
        results = await asyncio.gather(
            *(self._start_member(member_options, "127.0.0.1:0") for member_options in options),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        return [result for result in results if isinstance(result, MemberProcess)]

    async def restart_member(self, name: str) -> MemberProcess:
        """Restarts a member that has exited, at its former address. Raises StartFailed."""
        exited = self.members[name]
        return await self._start_member(exited.options, exited.address)

    async def stop(self) -> None:
        """Stops all members and the store."""
        running: list[_Process] = [*self.members.values()]
        if self.store is not None:
            running.append(self.store)
        await asyncio.gather(*(process.stop() for process in running))

    async def _start_member(self, options: MemberOptions, listen: str) -> MemberProcess:
        arguments = [*options.command_line_arguments(), "--listen", listen]
        child, ready_line = await _start("member_process", arguments, member_process.ReadyLine)
        member = MemberProcess(child, options, ready_line)
        self.members[options.name] = member
        return member


async def _start(
    module: str, arguments: list[str], line_type: type[_ReadyLine]
) -> tuple[asyncio.subprocess.Process, _ReadyLine]:
    """Starts a module of this package as a process and waits for its ready line."""
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
        raise StartFailed(f"{module} exited with code {await child.wait()}")
    return child, msgspec.json.decode(line, type=line_type)


async def _post(url: str, body: Any) -> None:
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        async with session.post(url, json=body):
            pass
