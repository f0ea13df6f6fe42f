"""A replica receives nothing for a while, and the primary of a synchronous group goes dark."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet
import members
import scenario
import sessions
from record import Record

ZONES = ["addis-bole", "addis-kirkos", "addis-yeka"]
MEMBERS = {"i-a": "addis-bole", "i-b": "addis-kirkos", "i-c": "addis-yeka"}
OPTIONS = members.Options(slots=2, max_connections=16, work_s=0.0045, sync_replicas=1)

SERVICE, WRITES, READS = "diary-store-1", "submissions", "reports"
WRITE_TIMEOUT_S, READ_TIMEOUT_S = 2.0, 6.0
CLIENTS = 6
WRITE_INTERVAL_S, READ_INTERVAL_S = 0.02, 0.05

ROUNDS = 10
PAUSE_S = (1.5, 4.0)
DEAF_BEFORE_DARK_S = 0.4
DARK_S = 3.0
REJOIN_S = members.STEP_DOWN_S + 0.5


class Clients:
    """Clients of one database that send single statements.

    Attributes:
      acknowledged: Ids of the writes that were answered with success.
    """

    def __init__(self, record: Record, database: str, timeout_s: float, interval_s: float) -> None:
        self.acknowledged: set[str] = set()
        self._record = record
        self._database = database
        self._timeout_s = timeout_s
        self._interval_s = interval_s

    async def run(self, host: str, number: int) -> None:
        """Send statements to one machine until cancelled."""
        while True:
            try:
                async with sessions.Session(
                    self._record, host, fleet.FRONT_PORT, self._database
                ) as session:
                    while await self._send(session, number):
                        await asyncio.sleep(self._interval_s)
            except sessions.Ended:
                await asyncio.sleep(0.1)

    async def _send(self, session: sessions.Session, number: int) -> bool:
        """Send one statement; return whether the session can go on."""
        request_id = sessions.new_id("s")
        write = self._database == WRITES
        text = f"WRITE item{number} {request_id}" if write else f"READ item{number}"
        answer = await session.query(request_id, text, self._timeout_s + 1)
        if write and not answer.error:
            self.acknowledged.add(request_id)
        return answer.state == "I"


def check(promoted: members.Member, clients: Clients, record: Record) -> None:
    """Record the acknowledged commits that a promoted member lacks."""
    lost = clients.acknowledged - {entry.request_id for entry in promoted.log}
    if lost:
        record.violation(
            f"LOST: {promoted.id} was promoted without {len(lost)} acknowledged commits,"
            f" the first is {min(lost)}"
        )


async def disrupt(site: scenario.Site) -> None:
    """Let a replica receive nothing, then the primary go dark; end both."""
    group, primary = site.group, site.group.primary
    replicas = [member for member in group.members.values() if member is not primary]
    deaf = max(replicas, key=lambda member: member.id)
    site.record.write(f"{deaf.id} receives nothing")
    deaf.receives = False
    await asyncio.sleep(DEAF_BEFORE_DARK_S)
    site.record.write(f"{primary.id} goes dark")
    await primary.go_dark()
    await asyncio.sleep(DARK_S)
    site.record.write(f"{deaf.id} receives again, {primary.id} is back")
    deaf.receives = True
    group.replicate(group.primary)
    await primary.wake()
    await asyncio.sleep(REJOIN_S)
    await group.register(site.platform)


async def run(record: Record, trouble: bool) -> None:
    """Run clients, disrupt the group in rounds, and check each promotion."""
    group = members.Group(SERVICE, MEMBERS, OPTIONS, record)
    routes = [
        scenario.route(WRITES, SERVICE, "primary", timeout_ms=2000, target_latency_ms=120),
        scenario.route(
            READS,
            SERVICE,
            "bounded_staleness",
            timeout_ms=6000,
            target_latency_ms=400,
            max_staleness_ms=1500,
        ),
    ]
    writers = Clients(record, WRITES, WRITE_TIMEOUT_S, WRITE_INTERVAL_S)
    readers = Clients(record, READS, READ_TIMEOUT_S, READ_INTERVAL_S)
    promotions: list[members.Member] = []

    def on_promoted(promoted: members.Member) -> None:
        promotions.append(promoted)
        check(promoted, writers, record)

    group.on_promoted = on_promoted
    async with scenario.Site(record, group, routes, ZONES) as site:
        nodes = site.fleet.nodes
        tasks = [
            asyncio.create_task(clients.run(nodes[number % len(nodes)].host, number))
            for clients in (writers, readers)
            for number in range(CLIENTS)
        ]
        for _ in range(ROUNDS):
            await asyncio.sleep(random.uniform(*PAUSE_S))
            if trouble:
                await disrupt(site)
            if record.violations:
                break
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    if not writers.acknowledged or (trouble and not promotions):
        raise scenario.Unusable("no write was acknowledged, or nobody was promoted")


if __name__ == "__main__":
    scenario.main(__file__, run)
