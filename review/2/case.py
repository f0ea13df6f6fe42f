"""A primary is dark for some seconds, and the replica that is promoted meanwhile goes dark too."""

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

ZONES = ["quito-norte", "quito-sur", "cumbaya"]
MEMBERS = {"i-a": "quito-norte", "i-b": "quito-sur", "i-c": "cumbaya"}
OPTIONS = members.Options(slots=5, queue=40, max_connections=55, work_s=0.011, promote_s=0.6)

SERVICE, DATABASE = "trials-db-1", "bookings"
TIMEOUT_S = 1.0
CLIENTS = 9
WRITE_INTERVAL_S = 0.02

ROUNDS = 5
PAUSE_S = (4.0, 6.0)
PRIMARY_DARK_S = 2.3
# The new primary goes dark this long after the call that promotes it.
DARK_AFTER_CALL_S = (0.0, OPTIONS.promote_s + 0.05)
NEW_PRIMARY_DARK_S = 5.0

# A commit at the old primary does not count if its link was disrupted this shortly before.
THAW_SLACK_S = 0.3


class Clients:
    """Clients that write.

    Attributes:
      sent_at_s: When each write was sent.
      acknowledged: Ids of the writes that were answered with success.
    """

    def __init__(self, record: Record) -> None:
        self.sent_at_s: dict[str, float] = {}
        self.acknowledged: set[str] = set()
        self._record = record

    async def run(self, host: str, number: int) -> None:
        """Write at one machine until cancelled."""
        while True:
            try:
                async with sessions.Session(
                    self._record, host, fleet.FRONT_PORT, DATABASE
                ) as session:
                    while await self._write(session, number):
                        await asyncio.sleep(WRITE_INTERVAL_S)
            except sessions.Ended:
                await asyncio.sleep(0.1)

    async def _write(self, session: sessions.Session, number: int) -> bool:
        """Write an item; return whether the session can go on."""
        request_id = sessions.new_id("w")
        self.sent_at_s[request_id] = self._record.now_s
        answer = await session.query(request_id, f"WRITE item{number} {request_id}", TIMEOUT_S + 1)
        if not answer.error:
            self.acknowledged.add(request_id)
        return answer.state == "I"


class Disruption:
    """Darkens the primary, and the member whose promotion is accepted meanwhile.

    Attributes:
      count: Number of members of the second kind.
      ended_at_s: When the last primary was back.
    """

    def __init__(self, site: scenario.Site) -> None:
        self.count = 0
        self.ended_at_s = 0.0
        self._site = site
        self._armed = False
        self._silences: set[asyncio.Task[None]] = set()
        site.group.on_promotion_accepted = self._on_promotion_accepted

    async def run(self) -> None:
        """Run one round."""
        primary = self._site.group.primary
        self._armed = True
        self._site.record.write(f"{primary.id} goes dark")
        await primary.go_dark()
        await asyncio.sleep(PRIMARY_DARK_S)
        self.ended_at_s = self._site.record.now_s
        self._site.record.write(f"{primary.id} is back")
        await primary.wake()
        self._armed = False
        if self._silences:
            await asyncio.wait(self._silences)
        await asyncio.sleep(members.STEP_DOWN_S + 0.5)
        await self._site.group.register(self._site.platform)

    def _on_promotion_accepted(self, member: members.Member) -> None:
        if self._armed:
            self._armed = False
            silence = asyncio.create_task(self._silence(member))
            self._silences.add(silence)
            silence.add_done_callback(self._silences.discard)

    async def _silence(self, member: members.Member) -> None:
        await asyncio.sleep(random.uniform(*DARK_AFTER_CALL_S))
        self.count += 1
        self._site.record.write(f"{member.id} goes dark too")
        await member.go_dark()
        await asyncio.sleep(NEW_PRIMARY_DARK_S)
        self._site.record.write(f"{member.id} is back")
        await member.wake()


async def run(record: Record, trouble: bool) -> None:
    """Run clients, disrupt the group in rounds, and check what was committed."""
    group = members.Group(SERVICE, MEMBERS, OPTIONS, record)
    route = scenario.route(DATABASE, SERVICE, "primary", timeout_ms=1000, target_latency_ms=200)
    clients = Clients(record)
    async with scenario.Site(record, group, [route], ZONES) as site:
        nodes = site.fleet.nodes
        tasks = [
            asyncio.create_task(clients.run(nodes[number % len(nodes)].host, number))
            for number in range(CLIENTS)
        ]
        disruption = Disruption(site)
        for _ in range(ROUNDS):
            await asyncio.sleep(random.uniform(*PAUSE_S))
            if trouble:
                await disruption.run()
            counted_from_s = disruption.ended_at_s + THAW_SLACK_S
            for request_id, member in group.committed_late.items():
                if (
                    request_id in clients.acknowledged
                    and clients.sent_at_s[request_id] >= counted_from_s
                ):
                    record.violation(
                        f"ONE: {request_id} was committed at {member} and acknowledged after"
                        " another member had been promoted"
                    )
            group.committed_late.clear()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    if not clients.acknowledged or (trouble and not disruption.count):
        raise scenario.Unusable("no write was acknowledged, or nobody was promoted")


if __name__ == "__main__":
    scenario.main(__file__, run)
