"""Two of a zone's three machines are stopped in turn while clients go on connecting."""

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

ZONES = ["quito-norte"] * 3
MEMBERS = {"i-a": "quito-norte", "i-b": "quito-sur", "i-c": "cumbaya"}
OPTIONS = members.Options(slots=5, queue=40, max_connections=55, work_s=0.055)

SERVICE, DATABASE = "trials-db-1", "reports"
TIMEOUT_S = 3.0
ITEMS = 50

# Sessions of one read that begin in a second. The three members can run 272 reads in a second.
SESSIONS_PER_S = 255
DURATION_S = 44.0
ROLLS_AT_S = (6.0, 24.0)
SIGTERM_INTERVAL_S = 1.3

# A client tries an operation at most this often.
MAX_ATTEMPTS = 3

# Requests that were sent no later than this after the SIGTERM may be excused.
EXCUSED_UNTIL_S = 3.0


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a client.

    Attributes:
      node: The machine that took it.
      sent_at_s: When it was sent.
      ended_at_s: When the answer was complete or the connection ended.
      answered: Whether a complete answer arrived.
    """

    node: fleet.Node
    sent_at_s: float
    ended_at_s: float = 0.0
    answered: bool = False


class Ingress:
    """Chooses the machine of each new connection, as the platform does."""

    def __init__(self, nodes: list[fleet.Node]) -> None:
        self._nodes = nodes
        self._misses = dict.fromkeys(nodes, 0)

    async def probe(self) -> None:
        """Ask all machines each second whether they are ready, until cancelled."""
        while True:
            answers = await asyncio.gather(
                *(asyncio.to_thread(node.is_ready) for node in self._nodes)
            )
            for node, ready in zip(self._nodes, answers, strict=True):
                self._misses[node] = 0 if ready else self._misses[node] + 1
            await asyncio.sleep(1)

    def choose(self) -> fleet.Node:
        """Return a machine in rotation; any one if fewer than half of the zone's are."""
        rotation = [node for node in self._nodes if self._misses[node] < 2]
        return random.choice(rotation if 2 * len(rotation) >= len(self._nodes) else self._nodes)


class Clients:
    """Clients whose sessions serve a single read.

    Attributes:
      requests: All requests by id.
    """

    def __init__(self, record: Record, ingress: Ingress) -> None:
        self.requests: dict[str, Request] = {}
        self._record = record
        self._ingress = ingress

    async def run_operation(self) -> None:
        """Read an item; try again at a failure."""
        for _ in range(MAX_ATTEMPTS):
            node = self._ingress.choose()
            try:
                async with sessions.Session(
                    self._record, node.host, fleet.FRONT_PORT, DATABASE
                ) as session:
                    if await self._read(session, node):
                        return
            except sessions.Ended:
                continue

    async def _read(self, session: sessions.Session, node: fleet.Node) -> bool:
        """Read an item; return whether that succeeded."""
        request_id = sessions.new_id("r")
        request = self.requests[request_id] = Request(node, self._record.now_s)
        try:
            answer = await session.query(
                request_id, f"READ item{random.randrange(ITEMS)}", TIMEOUT_S + 1
            )
            request.answered = True
        finally:
            request.ended_at_s = self._record.now_s
        return not answer.error


async def stop_and_start(
    node: fleet.Node, stopped_at_s: dict[str, list[float]], record: Record
) -> None:
    """Stop a machine's process as the platform does, and start it again."""
    record.write(f"SIGTERM {node.name}")
    stopped_at_s.setdefault(node.name, []).append(record.now_s)
    node.signal(signal.SIGTERM)
    await asyncio.sleep(fleet.GRACE_S)
    node.kill()
    record.write(f"start {node.name}")
    node.start()


async def roll(
    nodes: list[fleet.Node], stopped_at_s: dict[str, list[float]], record: Record, trouble: bool
) -> None:
    """Stop and start machines in turn, several times."""
    began_at_s = record.now_s
    for roll_at_s in ROLLS_AT_S if trouble else ():
        await asyncio.sleep(began_at_s + roll_at_s - record.now_s)
        async with asyncio.TaskGroup() as stops:
            for node in nodes:
                stops.create_task(stop_and_start(node, stopped_at_s, record))
                await asyncio.sleep(SIGTERM_INTERVAL_S)


def check(
    group: members.Group, clients: Clients, stopped_at_s: dict[str, list[float]], record: Record
) -> None:
    """Record the requests that a member had and whose connections ended without an answer."""
    for request_id, request in clients.requests.items():
        stops = [
            at_s for at_s in stopped_at_s.get(request.node.name, []) if at_s < request.sent_at_s
        ]
        if request.answered or not stops or request_id not in group.arrivals:
            continue
        stopped_s = stops[-1]
        if request.ended_at_s - request.sent_at_s >= TIMEOUT_S:
            continue
        sent_after_s = request.sent_at_s - stopped_s
        text = (
            f"{request_id} was sent {sent_after_s:.3f} s after the SIGTERM of {request.node.name},"
            f" a member had it, and its connection ended at {request.ended_at_s - stopped_s:.3f} s"
        )
        if EXCUSED_UNTIL_S < sent_after_s <= fleet.GRACE_S + 1:
            record.violation(f"LOST: {text}")
        else:
            record.write(f"not counted: {text}")


async def run(record: Record, trouble: bool) -> None:
    """Run clients, stop machines in turn, and check for lost requests."""
    group = members.Group(SERVICE, MEMBERS, OPTIONS, record)
    route = scenario.route(
        DATABASE,
        SERVICE,
        "bounded_staleness",
        timeout_ms=round(TIMEOUT_S * 1000),
        target_latency_ms=800,
        max_staleness_ms=1500,
    )
    stopped_at_s: dict[str, list[float]] = {}
    async with scenario.Site(record, group, [route], ZONES) as site:
        nodes = site.fleet.nodes
        ingress = Ingress(nodes)
        clients = Clients(record, ingress)
        probing = asyncio.create_task(ingress.probe())
        rolling = asyncio.create_task(roll(nodes[:2], stopped_at_s, record, trouble))
        operations: set[asyncio.Task[None]] = set()
        ends_at_s = record.now_s + DURATION_S
        while record.now_s < ends_at_s:
            operation = asyncio.create_task(clients.run_operation())
            operations.add(operation)
            operation.add_done_callback(operations.discard)
            await asyncio.sleep(random.expovariate(SESSIONS_PER_S))
        await rolling
        await asyncio.wait(operations, timeout=TIMEOUT_S * 2)
        probing.cancel()
    if 2 * sum(request.answered for request in clients.requests.values()) < len(clients.requests):
        raise scenario.Unusable("most requests were not answered")
    check(group, clients, stopped_at_s, record)


if __name__ == "__main__":
    scenario.main(__file__, run)
