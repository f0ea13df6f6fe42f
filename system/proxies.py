"""Starts proxy processes with the product's command line and stops them."""

import asyncio
import asyncio.subprocess
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys

import msgspec

# Environment variable with the path of the one-file program to run. Without it the package is run.
BINARY_VARIABLE = "SYSTEM_BINARY"

OPERATOR_SECRET = "operators-of-the-demonstration"
SHARED_SETTINGS = {
    "BILBERRYSTACK_ADVERTISED_HOST": "127.0.0.1",
    "BILBERRYSTACK_CALLERS_LISTEN": "127.0.0.1:0",
    "BILBERRYSTACK_PEERS_LISTEN": "127.0.0.1:0",
    "BILBERRYSTACK_OPERATORS_LISTEN": "127.0.0.1:0",
    "BILBERRYSTACK_METRICS_LISTEN": "127.0.0.1:0",
    "BILBERRYSTACK_TOKEN_KEY": "token-key-of-the-demonstration-0123456789",
    "BILBERRYSTACK_PEER_SECRET": "peer-secret-of-the-demonstration-0123456789",
    "BILBERRYSTACK_OPERATOR_SECRET": OPERATOR_SECRET,
}


class CommandFailed(Exception):
    """A command ended with an exit code other than 0.

    Attributes:
      code: The exit code.
      output: Standard output and standard error of the command.
    """

    def __init__(self, arguments: tuple[str, ...], code: int, output: str) -> None:
        super().__init__(f"{' '.join(arguments)} ended with {code}: {output}")
        self.code = code
        self.output = output


class Ready(msgspec.Struct, frozen=True):
    """Line that a proxy prints once it serves.

    Attributes:
      instance: Id of the instance.
      callers: Address for callers.
      peers: Address for peers.
      operators: Address for operators.
      metrics: Address for metrics.
    """

    instance: str
    callers: str
    peers: str
    operators: str = ""
    metrics: str = ""


@dataclasses.dataclass(eq=False, slots=True)
class ProxyProcess:
    """A running proxy.

    Attributes:
      ready: Id and addresses of the proxy.
      failure_domain: Failure domain of the proxy.
    """

    ready: Ready
    failure_domain: str
    _child: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self._child.send_signal(number)

    async def kill(self) -> None:
        """Kills the process."""
        self.send(signal.SIGKILL)
        await self._child.wait()

    async def stop(self) -> int:
        """Stops the process gracefully, even if it is paused, and returns its exit code."""
        self.send(signal.SIGTERM)
        self.send(signal.SIGCONT)
        return await self._child.wait()


def program() -> list[str]:
    """Returns the command line that runs the product, without arguments."""
    binary = os.environ.get(BINARY_VARIABLE, "")
    return [sys.executable, binary] if binary else [sys.executable, "-m", "bilberrystack"]


async def start_proxy(instance: str, failure_domain: str, store_url: str) -> ProxyProcess:
    """Starts a proxy and waits until it serves.

    Args:
      instance: Id of the instance.
      failure_domain: Failure domain of the instance.
      store_url: URL of the store's object API.

    Raises:
      CommandFailed: The process exited before it served.
    """
    environment = {
        **os.environ,
        **SHARED_SETTINGS,
        "BILBERRYSTACK_INSTANCE_ID": instance,
        "BILBERRYSTACK_FAILURE_DOMAIN": failure_domain,
        "BILBERRYSTACK_STORE_URL": store_url,
        "BILBERRYSTACK_LOG_LEVEL": os.environ.get("SYSTEM_LOG_LEVEL", "warning"),
    }
    child = await asyncio.create_subprocess_exec(
        *program(), "run", env=environment, stdout=asyncio.subprocess.PIPE
    )
    assert child.stdout is not None
    line = await child.stdout.readline()
    if not line:
        raise CommandFailed(("run",), await child.wait(), "no ready line")
    return ProxyProcess(msgspec.json.decode(line, type=Ready), failure_domain, child)


async def operate(address: str, *arguments: str) -> str:
    """Runs an operators' command against an instance.

    Args:
      address: Address for operators of the instance.
      arguments: Arguments of the command line.

    Returns:
      The standard output.

    Raises:
      CommandFailed: The exit code was not 0.
    """
    environment = {
        **os.environ,
        "BILBERRYSTACK_OPERATOR_ADDRESS": address,
        "BILBERRYSTACK_OPERATOR_SECRET": OPERATOR_SECRET,
    }
    child = await asyncio.create_subprocess_exec(
        *program(),
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await child.communicate()
    if child.returncode:
        raise CommandFailed(arguments, child.returncode, output.decode() + errors.decode())
    return output.decode()


def write_document(path: pathlib.Path, document: object) -> None:
    """Writes declarations to a JSON file that `config apply` can read."""
    path.write_bytes(msgspec.json.encode(document))
