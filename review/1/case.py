"""One serving process is killed while it forwards transactions to a busy primary."""

import asyncio
import pathlib
import os
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import attempts
import fleet
import members
import platform_api
import record as records

ZONES = ("addis-bole", "addis-kirkos", "addis-yeka", "addis-bole", "addis-kirkos")
SERVICE, DATABASE = "diary-store-1", "diaries"
TIMEOUT_S = 2.0

OPTIONS = members.Options(slots=2, queue=4, max_connections=10, work_s=0.014)
CLIENTS = 30
KILLS = 12
KILL_INTERVAL_S = 4.0
RESTART_DELAY_S = 1.0

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": DATABASE,
            "path_prefix": "/",
            "kind": "primary",
            "timeout_ms": TIMEOUT_S * 1000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_connections": OPTIONS.max_connections,
            "sync_replicas": 0,
        }
    ],
    "limits": {"tx_idle_ms": 3000},
}


async def run(record: records.Record, trouble: bool) -> None:
    group = members.Group(
        SERVICE, {"i-a": "addis-bole", "i-b": "addis-kirkos", "i-c": "addis-yeka"}, OPTIONS, record
    )
    platform = platform_api.Platform(record, lambda _, member: group.promote(member))
    await platform.start()
    await platform.put("config", "main", CONFIGURATION)
    await group.start(platform)
    clients = attempts.Clients(record, DATABASE, fleet.FRONT_PORT, TIMEOUT_S)
    with fleet.Fleet(record, platform.address, ZONES) as site:
        site.start()
        await site.wait_until_ready()
        await asyncio.sleep(6)
        tasks = [
            asyncio.create_task(clients.run(site.nodes[number % len(site.nodes)].host, number))
            for number in range(CLIENTS)
        ]
        for number in range(KILLS):
            await asyncio.sleep(KILL_INTERVAL_S * random.uniform(0.5, 1.0))
            node = site.nodes[number % len(site.nodes)]
            if trouble:
                record.write(f"SIGKILL {node.name}")
                node.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()
        await asyncio.sleep(3)
        clients.stopped = True
        await asyncio.wait(tasks, timeout=8)
        for task in tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            for node in site.nodes:
                pathlib.Path(os.environ["KEEP_LOGS"], node.name + ".log").write_text(node.log())
    attempts.check(group, clients.attempts, record)
    done = sum(1 for a in clients.attempts if a.commit_id in a.answers)
    print(
        "attempts",
        len(clients.attempts),
        "committed",
        done,
        "runs",
        len(group.runs),
        "violations",
        len(record.violations),
    )
    for v in record.violations[:10]:
        print(v)


def main() -> int:
    record = records.Record(pathlib.Path(__file__).with_name("record.txt"))
    asyncio.run(run(record, os.environ.get("TROUBLE", "1") != "0"))
    record.close()
    return 1 if record.violations else 0


if __name__ == "__main__":
    sys.exit(main())
