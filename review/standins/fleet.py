"""The serving processes of the project, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import shlex
import shutil
import signal
import subprocess
import tempfile
import tomllib
import urllib.error
import urllib.request

from record import Record

ROOT = pathlib.Path(__file__).resolve().parents[2]

FRONT_PORT, READY_PORT, FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 8784, 8785, 7440, 7455

# Longest wait until a process is ready.
READY_TIMEOUT_S = 15.0

GRACE_S = 6

# Figures that the process reads from the site, as on the sheets of the small deployments.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": GRACE_S,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "outer_ms": 12000,
    "recovery_s": 12,
    "require_fence": False,
    "thaw_slack_ms": 300,
}


class NotReady(Exception):
    """A process has not become ready in time."""


class Node:
    """One machine and the process on it.

    Attributes:
      name: The machine's name.
      host: Its loopback address.
    """

    def __init__(self, name: str, host: str, zone: str, platform: str, folder: str) -> None:
        self.name = name
        self.host = host
        self._zone = zone
        self._platform = platform
        self._settings_path = pathlib.Path(folder) / f"{name}.json"
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    def start(self, first: bool = False) -> None:
        """Start the process, after the end of an earlier one.

        Args:
          first: Whether the whole system starts for the first time.
        """
        self.kill()
        self._settings_path.write_text(json.dumps(self._settings(first)))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        inherited = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in inherited if name in os.environ}
        environment["BILBERRYSTACK_CONFIG"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                shlex.split(deploy["roles"]["proxy"]["run"]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self, first: bool) -> dict[str, object]:
        return {
            "node_name": self.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": self._zone,
            "region": "addis",
            "listen": {
                "front": f"{self.host}:{FRONT_PORT}",
                "ready": f"{self.host}:{READY_PORT}",
            },
            "internal_ports": [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            "seeds": [],
            "bootstrap": first,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4300},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self._platform, "form": "objects", "history_s": 20},
            "cloud": {"address": self._platform, "duties": ["promotion"]},
        }

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def is_ready(self) -> bool:
        """Ask the process whether it takes new sessions, as the platform does."""
        try:
            with urllib.request.urlopen(
                f"http://{self.host}:{READY_PORT}/ready", timeout=1
            ) as page:
                return bool(page.status == 200)
        except (OSError, urllib.error.URLError):
            return False

    def copy_log(self, folder: str) -> None:
        """Copy what the process has written to a folder."""
        shutil.copy(self._log_path, folder)


class Fleet:
    """The serving processes of a site; `close` ends them.

    Attributes:
      nodes: The machines, in the order of their names.
    """

    def __init__(self, record: Record, platform: str, zones: list[str]) -> None:
        """Prepare one machine for each entry of `zones`.

        Args:
          record: The record of the run.
          platform: Address of the store and of the promotion calls.
          zones: The zone of each machine.
        """
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        pid = os.getpid()
        prefix = f"127.{64 + pid // 256 % 128}.{pid % 256}"
        self.nodes = [
            Node(f"front-{zone}-{number}", f"{prefix}.{number}", zone, platform, self.folder)
            for number, zone in enumerate(zones, start=1)
        ]

    @property
    def folder(self) -> str:
        """The temporary folder of the settings files and logs."""
        return self._folder.name

    def close(self) -> None:
        """Kill all processes and remove their files."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.kill()
        with contextlib.suppress(OSError):
            self._folder.cleanup()

    def start(self) -> None:
        """Start all processes for the first time."""
        for node in self.nodes:
            node.start(first=True)

    async def wait_until_ready(self, nodes: list[Node] | None = None) -> None:
        """Wait until machines take sessions. Raises NotReady."""
        for node in self.nodes if nodes is None else nodes:
            deadline_s = self._record.now_s + READY_TIMEOUT_S
            while not await asyncio.to_thread(node.is_ready):
                if self._record.now_s > deadline_s:
                    raise NotReady(node.name)
                await asyncio.sleep(0.1)
