"""Two of a zone's three machines get SIGTERM one after the other while clients go on connecting."""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet
import members
import platform_api
import record as records
import sessions

ZONES = ("quito-norte",) * 3
SERVICE, DATABASE = "trials-1", "reports"
TIMEOUT_S = 3.0

OPTIONS = members.Options(slots=5, queue=40, max_connections=55, work_s=0.055)
# Sessions of one operation that begin in a second; the members could run 273.
SESSIONS_PER_S = 240
SIGTERM_INTERVAL_S = 1.3

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": DATABASE,
            "path_prefix": "/",
            "kind": "bounded_staleness",
            "timeout_ms": TIMEOUT_S * 1000,
            "target_latency_ms": 800,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
            "max_staleness_ms": 1500,
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


class Ingress:
    """The platform's choice of a machine for each new connection."""

    def __init__(self, site: fleet.Fleet) -> None:
        self._site = site
        self._misses = dict.fromkeys(site.nodes, 0)

    async def probe(self) -> None:
        while True:
            for node in self._site.nodes:
                ready = await asyncio.to_thread(node.is_ready)
                self._misses[node] = 0 if ready else self._misses[node] + 1
            await asyncio.sleep(1)

    def choose(self) -> fleet.Node:
        nodes = self._site.nodes
        rotation = [node for node in nodes if self._misses[node] < 2]
        return random.choice(rotation if 2 * len(rotation) >= len(nodes) else nodes)


@dataclasses.dataclass
class Sent:
    node: str
    sent_s: float
    answered: bool = False
    ended_s: float = 0.0


async def run(record: records.Record, trouble: bool) -> None:
    group = members.Group(
        SERVICE, {"i-a": "quito-norte", "i-b": "quito-sur", "i-c": "cumbaya"}, OPTIONS, record
    )
    platform = platform_api.Platform(record, lambda _, member: group.promote(member))
    sent: dict[str, Sent] = {}
    await platform.start()
    await platform.put("config", "main", CONFIGURATION)
    await group.start(platform)
    terms: dict[str, float] = {}
    with fleet.Fleet(record, platform.address, ZONES) as site:
        site.start()
        await site.wait_until_ready()
        await asyncio.sleep(5)
        ingress = Ingress(site)
        probing = asyncio.create_task(ingress.probe())
        stop_at = record.now_s + 40
        tasks = set()

        async def operation() -> None:
            for _ in range(3):
                node = ingress.choose()
                try:
                    async with sessions.Session(record, node.host, fleet.FRONT_PORT, DATABASE) as s:
                        rid = sessions.new_id("r")
                        sent[rid] = Sent(node.name, record.now_s)
                        try:
                            answer = await s.query(rid, f"READ item{random.randrange(50)}", 4)
                            sent[rid].answered = True
                        finally:
                            sent[rid].ended_s = record.now_s
                        if not answer.error:
                            return
                except sessions.Ended:
                    continue

        async def stop(node: fleet.Node) -> None:
            record.write(f"SIGTERM {node.name}")
            terms[node.name] = record.now_s
            node.signal(signal.SIGTERM)
            await asyncio.sleep(fleet.GRACE_S + 0.5)
            node.kill()
            record.write(f"start {node.name}")
            node.start()

        stops = []
        if trouble:

            async def roll() -> None:
                await asyncio.sleep(8)
                for node in site.nodes[:2]:
                    stops.append(asyncio.create_task(stop(node)))
                    await asyncio.sleep(SIGTERM_INTERVAL_S)

            stops.append(asyncio.create_task(roll()))
        while record.now_s < stop_at:
            t = asyncio.create_task(operation())
            tasks.add(t)
            t.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(SESSIONS_PER_S))
        await asyncio.wait(tasks, timeout=5)
        probing.cancel()
        if os.environ.get("KEEP_LOGS"):
            for node in site.nodes:
                pathlib.Path(os.environ["KEEP_LOGS"], node.name + ".log").write_text(node.log())
    for rid, s in sent.items():
        if s.answered or s.node not in terms or rid not in group.arrivals:
            continue
        at = s.sent_s - terms[s.node]
        if 0 <= at <= fleet.GRACE_S + 1:
            line = f"{rid} sent {at:.3f} s after the SIGTERM of {s.node}, ended {s.ended_s - terms[s.node]:.3f}"
            if at > 3:
                record.violation("LOST: " + line)
            else:
                record.write("lost, may be excused: " + line)
    print(
        "sent",
        len(sent),
        "answered",
        sum(s.answered for s in sent.values()),
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
