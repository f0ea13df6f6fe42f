"""What the scenarios share: the configuration, the site, and the run with its exit code."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import sys
import traceback
from typing import Any

import fleet
import members
import platform_api
from record import Record

# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Longest duration of a scenario.
MAX_DURATION_S = 112.0

# Time in which the processes elect a coordinator and open their connections, before the clients.
WARM_UP_S = 6.0


class Unusable(Exception):
    """The scenario could not run as intended, so that it shows nothing."""


def route(
    database: str,
    service: str,
    kind: str,
    *,
    timeout_ms: int,
    target_latency_ms: int,
    max_staleness_ms: int | None = None,
) -> dict[str, Any]:
    """Return a route, as the operator declares it."""
    declared: dict[str, Any] = {
        "name": f"r-{database}",
        "host": database,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_latency_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    if max_staleness_ms is not None:
        declared["max_staleness_ms"] = max_staleness_ms
    return declared


def configuration(group: members.Group, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one service."""
    service = {
        "name": group.name,
        "health_path": "/health",
        "max_connections": group.options.max_connections,
        "sync_replicas": group.options.sync_replicas,
    }
    limits = {"tx_idle_ms": 3000}
    return {"version": 7, "routes": routes, "services": [service], "limits": limits}


class Site:
    """A platform, one group of members and the serving processes.

    Use it as an asynchronous context manager.

    Attributes:
      record: The record of the run.
      group: The members.
      platform: The store and the promotion calls.
      fleet: The serving processes.
    """

    def __init__(
        self, record: Record, group: members.Group, routes: list[dict[str, Any]], zones: list[str]
    ) -> None:
        """Prepare a site without starting it.

        Args:
          record: The record of the run.
          group: The members.
          routes: The routes of the configuration.
          zones: The zone of each serving process.
        """
        self.record = record
        self.group = group
        self.platform = platform_api.Platform(record, lambda _, member: group.promote(member))
        self._routes = routes
        self._zones = zones

    async def __aenter__(self) -> "Site":
        await self.platform.start()
        await self.platform.put("config", "main", configuration(self.group, self._routes))
        await self.group.start(self.platform)
        self.fleet = fleet.Fleet(self.record, self.platform.address, self._zones)
        try:
            self.fleet.start()
            await self.fleet.wait_until_ready()
            await asyncio.sleep(WARM_UP_S)
        except BaseException:
            self.fleet.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        folder = os.environ.get("KEEP_LOGS")
        if folder:
            for node in self.fleet.nodes:
                node.copy_log(folder)
        self.fleet.close()


Scenario = collections.abc.Callable[[Record, bool], collections.abc.Coroutine[Any, Any, None]]


async def _run(scenario: Scenario, record: Record, trouble: bool) -> None:
    """Run a scenario; a SIGTERM or SIGINT cancels it, so that it ends its processes."""
    task = asyncio.ensure_future(scenario(record, trouble))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    await asyncio.wait_for(task, MAX_DURATION_S)


def main(case: str, scenario: Scenario) -> None:
    """Run a scenario and exit.

    Args:
      case: Path of the case's script, beside which the record is written.
      scenario: Runs the scenario, given the record and whether the disruption happens.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(case).with_name("record.txt"))
    try:
        asyncio.run(_run(scenario, record, trouble))
    except (Exception, asyncio.CancelledError) as failure:
        # Any error means that the case could not run; 1 is only for a broken rule.
        traceback.print_exc()
        record.write(f"not run: {type(failure).__name__} {failure}")
        record.close()
        sys.exit(NOT_RUN)
    for line in record.violations[:20]:
        print(line)
    print(f"{len(record.violations)} violations in {record.now_s:.0f} s")
    record.close()
    sys.exit(BROKEN if record.violations else HELD)
