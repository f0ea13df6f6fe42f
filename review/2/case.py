"""The primary of a group with a synchronous replica goes dark while the other one lags."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet
import members
import platform_api
import record as records
import sessions

ZONES = ("addis-bole", "addis-kirkos", "addis-yeka")
SERVICE, DATABASE = "diary-store-1", "diaries"
TIMEOUT_S = 2.0

OPTIONS = members.Options(work_s=0.0045, sync_replicas=1)
CLIENTS = 6
ROUNDS = 8
DARK_S = 5.0
DEAF_S = 5.0
DEAF_BEFORE_DARK_S = 0.4
PAUSE_S = 7.0

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": DATABASE,
            "path_prefix": "/",
            "kind": "primary",
            "timeout_ms": TIMEOUT_S * 1000,
            "target_latency_ms": 120,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "host": "reports",
            "path_prefix": "/",
            "kind": "bounded_staleness",
            "timeout_ms": 6000,
            "target_latency_ms": 400,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
            "max_staleness_ms": 1500,
        },
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_connections": OPTIONS.max_connections,
            "sync_replicas": OPTIONS.sync_replicas,
        }
    ],
    "limits": {"tx_idle_ms": 3000},
}


class Writers:
    """Clients that write, and the writes that were acknowledged to them."""

    def __init__(self, record: records.Record) -> None:
        self.acknowledged: dict[str, float] = {}
        self.stopped = False
        self._record = record

    async def run(self, host: str, number: int) -> None:
        while not self.stopped:
            try:
                async with sessions.Session(self._record, host, fleet.FRONT_PORT, DATABASE) as s:
                    while not self.stopped:
                        request_id = sessions.new_id("w")
                        answer = await s.query(
                            request_id, f"WRITE item{number} {request_id}", TIMEOUT_S + 1
                        )
                        if not answer.error:
                            self.acknowledged[request_id] = self._record.now_s
                        if answer.state != "I":
                            break
                        await asyncio.sleep(0.02)
            except sessions.Ended:
                await asyncio.sleep(0.1)


class Readers(Writers):
    async def run(self, host: str, number: int) -> None:
        while not self.stopped:
            try:
                async with sessions.Session(self._record, host, fleet.FRONT_PORT, "reports") as s:
                    while not self.stopped:
                        answer = await s.query(sessions.new_id("r"), f"READ item{number}", 7)
                        if answer.state != "I":
                            break
                        await asyncio.sleep(0.05)
            except sessions.Ended:
                await asyncio.sleep(0.1)


async def run(record: records.Record, trouble: bool) -> None:
    group = members.Group(
        SERVICE, {"i-a": "addis-bole", "i-b": "addis-kirkos", "i-c": "addis-yeka"}, OPTIONS, record
    )
    platform = platform_api.Platform(record, lambda _, member: group.promote(member))
    writers = Writers(record)

    def on_promoted(member: members.Member) -> None:
        kept = {entry.request_id for entry in member.log}
        lost = sorted(set(writers.acknowledged) - kept)
        if lost:
            record.violation(
                f"LOST: {member.id} was promoted without {len(lost)} acknowledged commits,"
                f" the first is {lost[0]}"
            )

    group.on_promoted = on_promoted
    await platform.start()
    await platform.put("config", "main", CONFIGURATION)
    await group.start(platform)
    with fleet.Fleet(record, platform.address, ZONES) as site:
        site.start()
        await site.wait_until_ready()
        await asyncio.sleep(5)
        tasks = [
            asyncio.create_task(writers.run(site.nodes[number % len(site.nodes)].host, number))
            for number in range(CLIENTS)
        ]
        readers = Readers(record)
        tasks += [
            asyncio.create_task(readers.run(site.nodes[number % len(site.nodes)].host, number))
            for number in range(CLIENTS)
        ]
        for _ in range(ROUNDS):
            await asyncio.sleep(PAUSE_S * random.uniform(0.6, 1.0))
            for request_id in list(writers.acknowledged):
                if request_id not in {e.request_id for e in group.primary.log}:
                    del writers.acknowledged[request_id]
            if trouble:
                await disrupt(group, record, platform)
            if record.violations:
                break
        writers.stopped = readers.stopped = True
        await asyncio.wait(tasks, timeout=5)
        for task in tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            for node in site.nodes:
                pathlib.Path(os.environ["KEEP_LOGS"], node.name + ".log").write_text(node.log())
    print("acked", len(writers.acknowledged))
    for v in record.violations[:10]:
        print(v)


async def disrupt(group, record, platform) -> None:
    primary = group.primary
    deaf = max((m for m in group.members.values() if m is not primary), key=lambda m: m.id)
    record.write(f"{deaf.id} receives nothing")
    deaf.receives = False
    await asyncio.sleep(DEAF_BEFORE_DARK_S)
    record.write(f"{primary.id} goes dark")
    await primary.go_dark()
    await asyncio.sleep(DARK_S)
    deaf.receives = True
    group.replicate(group.primary)
    record.write(f"{primary.id} is back")
    await primary.wake()
    await asyncio.sleep(members.STEP_DOWN_S + 0.5)
    await group.register(platform)


def main() -> int:
    record = records.Record(pathlib.Path(__file__).with_name("record.txt"))
    asyncio.run(run(record, os.environ.get("TROUBLE", "1") != "0"))
    record.close()
    return 1 if record.violations else 0


if __name__ == "__main__":
    sys.exit(main())
