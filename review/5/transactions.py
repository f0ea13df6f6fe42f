"""Single machines are stopped, one after the other, while clients run transactions on them."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet
import members
import scenario
import sessions
from record import Record

ZONES = ["quito-norte", "quito-sur", "cumbaya"]
MEMBERS = {"i-a": "quito-norte", "i-b": "quito-sur", "i-c": "cumbaya"}
OPTIONS = members.Options(slots=6, queue=48, max_connections=185, work_s=0.003)

SERVICE, DATABASE = "trials-db-1", "bookings"
TIMEOUT_S = 1.0
CLIENTS = 90
WRITES = 10
MAX_PAUSE_S = 0.01

STOPS = 8
# A client connects to a stopping machine for this long: the platform takes it out of rotation after
# two misses.
IN_ROTATION_S = 2.9
STOP_INTERVAL_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A statement whose connection ended without an answer, relative to the SIGTERM."""

    request_id: str
    node: str
    sent_s: float
    ended_s: float
    stopped_at_s: float


class Clients:
    """Clients that run transactions at machines in rotation.

    Attributes:
      stopped_at_s: When each stopping machine got SIGTERM, by its name.
      unanswered: The statements without an answer at stopping machines.
      answered: Number of statements that were answered.
    """

    def __init__(self, record: Record, nodes: list[fleet.Node]) -> None:
        self.stopped_at_s: dict[str, float] = {}
        self.unanswered: list[Unanswered] = []
        self.answered = 0
        self._record = record
        self._nodes = nodes

    def _in_rotation(self, node: fleet.Node) -> bool:
        stopped_at_s = self.stopped_at_s.get(node.name)
        return stopped_at_s is None or self._record.now_s - stopped_at_s < IN_ROTATION_S

    async def run(self, number: int) -> None:
        """Run transactions until cancelled."""
        while True:
            node = random.choice([node for node in self._nodes if self._in_rotation(node)])
            try:
                async with sessions.Session(
                    self._record, node.host, fleet.FRONT_PORT, DATABASE
                ) as session:
                    while True:
                        await self._run_transaction(session, node, number)
            except sessions.Ended:
                await asyncio.sleep(0.02)

    async def _run_transaction(
        self, session: sessions.Session, node: fleet.Node, number: int
    ) -> None:
        for text in ["BEGIN", *[f"WRITE item{number} data"] * WRITES, "COMMIT"]:
            await asyncio.sleep(random.uniform(0, MAX_PAUSE_S))
            request_id, sent_at_s = sessions.new_id("t"), self._record.now_s
            try:
                answer = await session.query(request_id, text, TIMEOUT_S + 1)
            except sessions.Ended:
                self._record_unanswered(request_id, node, sent_at_s)
                raise
            self.answered += 1
            if answer.error:
                raise sessions.Ended(answer.error)

    def _record_unanswered(self, request_id: str, node: fleet.Node, sent_at_s: float) -> None:
        stopped_at_s = self.stopped_at_s.get(node.name)
        ended_s = self._record.now_s
        if stopped_at_s is not None and ended_s - sent_at_s < TIMEOUT_S:
            self.unanswered.append(
                Unanswered(
                    request_id,
                    node.name,
                    sent_at_s - stopped_at_s,
                    ended_s - stopped_at_s,
                    stopped_at_s,
                )
            )


async def stop_and_start(node: fleet.Node, clients: Clients, record: Record) -> None:
    """Stop a machine's process as the platform does, and start it again."""
    record.write(f"SIGTERM {node.name}")
    clients.stopped_at_s[node.name] = record.now_s
    node.signal(signal.SIGTERM)
    await asyncio.sleep(fleet.GRACE_S)
    node.kill()
    node.start()
    await asyncio.sleep(STOP_INTERVAL_S)
    del clients.stopped_at_s[node.name]


async def run(record: Record, trouble: bool) -> None:
    """Run clients, stop single machines in turn, and check for lost statements."""
    group = members.Group(SERVICE, MEMBERS, OPTIONS, record)
    route = scenario.route(DATABASE, SERVICE, "primary", timeout_ms=1000, target_latency_ms=400)
    async with scenario.Site(record, group, [route], ZONES) as site:
        nodes = site.fleet.nodes
        clients = Clients(record, nodes)
        tasks = [asyncio.create_task(clients.run(number)) for number in range(CLIENTS)]
        await asyncio.sleep(2)
        for number in range(STOPS):
            if trouble:
                await stop_and_start(nodes[number % len(nodes)], clients, record)
            else:
                await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    if not clients.answered:
        raise scenario.Unusable("no statement was answered")
    for lost in clients.unanswered:
        if lost.request_id in group.arrivals:
            arrived_s = group.arrivals[lost.request_id] - lost.stopped_at_s
            record.violation(
                f"LOST: {lost.request_id} was sent {lost.sent_s:.4f} s after the SIGTERM of"
                f" {lost.node}, its connection ended at {lost.ended_s:.4f} s, and it reached a"
                f" member at {arrived_s:.4f} s"
            )


if __name__ == "__main__":
    scenario.main(__file__, run)
