"""Serving processes are killed in turn while they forward transactions to a busy primary."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import attempts
import fleet
import members
import scenario
from record import Record

# Eight machines share 16 connections to each member, so that four of them hold the connections and
# the other four forward.
ZONES = ["addis-bole", "addis-kirkos", "addis-yeka"] * 2 + ["addis-bole", "addis-kirkos"]
MEMBERS = {"i-a": "addis-bole", "i-b": "addis-kirkos", "i-c": "addis-yeka"}
OPTIONS = members.Options(slots=2, queue=4, max_connections=16, work_s=0.022)

SERVICE, DATABASE = "diary-store-1", "diaries"
TIMEOUT_MS, TARGET_LATENCY_MS = 1000, 1000
CLIENTS = 40

KILLS = 16
KILL_INTERVAL_S = (2.0, 4.0)
RESTART_DELAY_S = 1.0
LAST_ANSWERS_S = 8.0


async def run(record: Record, trouble: bool) -> None:
    """Run clients, kill processes in turn, and check what members ran."""
    group = members.Group(SERVICE, MEMBERS, OPTIONS, record)
    route = scenario.route(
        DATABASE,
        SERVICE,
        "primary",
        timeout_ms=TIMEOUT_MS,
        target_latency_ms=TARGET_LATENCY_MS,
    )
    clients = attempts.Clients(record, DATABASE, fleet.FRONT_PORT, TIMEOUT_MS / 1000)
    async with scenario.Site(record, group, [route], ZONES) as site:
        nodes = site.fleet.nodes
        tasks = [
            asyncio.create_task(clients.run(nodes[number % len(nodes)].host, number))
            for number in range(CLIENTS)
        ]
        for number in range(KILLS):
            await asyncio.sleep(random.uniform(*KILL_INTERVAL_S))
            if trouble:
                node = nodes[number % len(nodes)]
                record.write(f"SIGKILL {node.name}")
                node.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()
        clients.stopped = True
        await asyncio.wait(tasks, timeout=LAST_ANSWERS_S)
        for task in tasks:
            task.cancel()
    if not clients.committed:
        raise scenario.Unusable("no transaction was committed")
    attempts.check(group, clients.attempts, record)


if __name__ == "__main__":
    scenario.main(__file__, run)
