"""Plays successions of coordinators whose processes are killed, cut off or frozen, on paused time.

The instances are those of `lease_takeover_test.py`, whose processes are also restarted under their
names here, whose probes are answered as the state of the process and of the network demands, and
whose writes the store may carry out seconds after they got no answer. The play records until when
each coordinator has granted anything, which has to be over when a successor may replace a primary.
"""

import asyncio
import collections

import pytest

from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import lease_takeover_test as takeover
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model
from bilberrystack.routing import permission

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

PLAY_S = 120.0

# Time without an answer after which a call to the store ends.
STORE_TIMEOUT_S = 0.3

ProcessState = coordinator_lease.ProcessState


class Process(takeover.Node):
    """One process of an instance, which can be killed.

    Attributes:
      ended: Whether the process was killed.
      tasks: What the process runs.
    """

    def __init__(self, fleet, number, restarts=0):
        super().__init__(fleet, number)
        self.number = number
        self.restarts = restarts
        self.ended = False
        self.tasks = []
        self.own_instance = model.Instance(
            f"proxy-{number}",
            f"process-{number}-{restarts}",
            model.Endpoint("127.0.0.1", number + 1),
            "a",
        )
        self.lease = Lease(
            self.own_instance,
            self,
            takeover._now,
            counters.Counters(),
            first_start=restarts == 0,
        )
        self.lease.fleet = fleet
        self.lease.check_after_s = 2.5 * takeover.HEARTBEAT_INTERVAL_S
        self.lease.is_primary_leaving = lambda: fleet.primary_leaves
        # The processes heard under a token, as in coordinator.Coordinator.
        self.heard_for = None
        self.peers = {}

    @property
    def acts(self):
        return not self.ended and super().acts

    def start(self):
        self.tasks = [
            asyncio.create_task(self.lease.maintain()),
            asyncio.create_task(self.send_heartbeats()),
        ]

    def kill(self):
        self.ended = True
        for task in self.tasks:
            task.cancel()

    async def write_coordinator_lease(self, replaced, coordinator, token, standbys=()):
        await self._reach_store()
        if self.fleet.random.random() < self.fleet.late_writes:
            self.fleet.start(self._write_late(replaced, coordinator, token, standbys))
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise interfaces.NoAnswer
        written = self.fleet.store.write(replaced, coordinator, token, standbys)
        await self._answer()
        return written

    async def _write_late(self, replaced, coordinator, token, standbys):
        await asyncio.sleep(self.fleet.random.uniform(0.1, 5.0))
        try:
            self.fleet.store.write(replaced, coordinator, token, standbys)
        except interfaces.Conflict:
            return
        self.fleet.late_writes_executed += 1

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(takeover.HEARTBEAT_INTERVAL_S)
            await self.resumed.wait()
            receiver = self.fleet.node_of(self.lease.coordinator)
            if receiver is not None and receiver is not self:
                acknowledgement = self.lease.acknowledgement
                self.fleet.send(
                    self,
                    receiver,
                    receiver.receive_process_heartbeat,
                    self,
                    acknowledgement,
                    takeover._now(),
                )

    def receive_process_heartbeat(self, sender, acknowledgement, sent_at_s):
        if self.ended or self.lease.token is None:
            return
        if self.heard_for != self.lease.token:
            self.heard_for, self.peers = self.lease.token, {}
        incarnation = sender.own_instance.incarnation
        if incarnation not in self.peers:
            for other, name in self.peers.items():
                if name == sender.own_instance.name:
                    self.lease.supporters.record_end(other)
        self.peers[incarnation] = sender.own_instance.name
        self.receive_heartbeat(sender, acknowledgement)
        self.fleet.record_grant(self, sent_at_s)

    def receive_answer(self, *arguments):
        if not self.ended:
            super().receive_answer(*arguments)


class Lease(coordinator_lease.CoordinatorLease):
    """A lease whose probes the fleet answers."""

    async def _probe(self, coordinator, token):
        return await self.fleet.probe(self._own_instance, coordinator)


class Fleet(takeover.Fleet):
    """Instances whose processes are restarted, and the grants of their coordinators."""

    def __init__(self, seed):
        super().__init__(seed)
        self.nodes = [Process(self, number) for number in range(takeover.INSTANCE_COUNT)]
        self.late_writes = 0.0
        self.late_writes_executed = 0
        self.datagram_delays_s = (0.001, 0.001, 0.02, 0.3)
        self.granted_until_s = collections.defaultdict(float)
        self.reasons = collections.Counter()

    async def __aenter__(self):
        for node in self.nodes:
            node.start()
        await self.advance(6.0)
        return self

    async def __aexit__(self, *arguments):
        for node in self.nodes:
            node.kill()
        await super().__aexit__(*arguments)

    def start(self, coroutine):
        self._tasks.append(asyncio.create_task(coroutine))

    def record_grant(self, node, requested_at_s):
        valid_s = min(permission.GRANT_DURATION_S, node.lease.ends_at_s - takeover._now())
        key = (node.own_instance.incarnation, node.lease.token)
        self.granted_until_s[key] = max(self.granted_until_s[key], requested_at_s + valid_s)

    async def advance(self, seconds):
        """Advance the clock; check that no grant of another lease is in use by a successor."""
        ends_at_s = takeover._now() + seconds
        while takeover._now() < ends_at_s:
            await super().advance(takeover.STEP_S)
            now_s = takeover._now()
            for node in self.nodes:
                if not node.acts:
                    continue
                self.record_grant(node, now_s)
                if now_s < node.lease.leaving_replaceable_at_s:
                    continue
                own = (node.own_instance.incarnation, node.lease.token)
                in_use = {
                    key: until_s
                    for key, until_s in self.granted_until_s.items()
                    if key != own and until_s > now_s
                }
                assert not in_use, (own, now_s, in_use)

    async def probe(self, prober, coordinator):
        source = next(node for node in self.nodes if node.own_instance.name == prober.name)
        target = next(node for node in self.nodes if node.own_instance.name == coordinator.name)
        await asyncio.sleep(self.random.uniform(0.002, 0.05))
        if target.ended:
            return ProcessState.REFUSING
        if source.cut_from_peers or target.cut_from_peers:
            return self.random.choice([ProcessState.REFUSING, ProcessState.UNRESPONSIVE])
        if not target.resumed.is_set():
            await asyncio.sleep(coordinator_lease.PROBE_TIMEOUT_S)
            return ProcessState.UNRESPONSIVE
        if target.own_instance.incarnation != coordinator.incarnation:
            return ProcessState.REPLACED
        return ProcessState.ALIVE

    async def restart(self, node, down_s):
        """Kill a process, and start another one under its name after a time."""
        node.kill()
        await asyncio.sleep(down_s)
        successor = Process(self, node.number, node.restarts + 1)
        successor.cut_from_store = node.cut_from_store
        self.nodes[node.number] = successor
        successor.start()


@pytest.fixture(autouse=True)
def counted_reasons(monkeypatch):
    """Count the reasons for which leases were acquired, over all plays of a test."""
    reasons = collections.Counter()
    original = coordinator_lease.CoordinatorLease._acquire

    async def acquire(lease, record, reason):
        await original(lease, record, reason)
        if lease._held_record is not None:
            reasons[reason] += 1

    monkeypatch.setattr(coordinator_lease.CoordinatorLease, "_acquire", acquire)
    return reasons


async def _play(fleet, seconds):
    """Play overlapping faults of random instances, the coordinator above all."""
    ends_at_s = takeover._now() + seconds
    while takeover._now() < ends_at_s:
        running = [node for node in fleet.nodes if not node.ended]
        node = fleet.holder if fleet.random.random() < 0.6 else None
        node = node or fleet.random.choice(running)
        fleet.primary_leaves = fleet.random.random() < 0.5
        match fleet.random.randrange(8):
            case 0:
                node.resumed.clear()
            case 1:
                node.cut_from_store = True
            case 2:
                node.cut_from_peers = True
            case 3:
                fleet.store.down = True
            case 4:
                fleet.datagram_loss = fleet.random.choice([0.0, 0.3, 0.8])
                fleet.answer_loss = fleet.random.choice([0.0, 0.3, 0.6])
            case 5:
                fleet.late_writes = fleet.random.choice([0.0, 0.3, 0.6])
            case 6:
                if not node.ended:
                    fleet.start(fleet.restart(node, fleet.random.uniform(0.05, 2.5)))
            case 7:
                fleet.start(node.lease.resign("test"))
        await fleet.advance(fleet.random.uniform(0.2, 4.0))
        fleet.store.down = False
        for healed in fleet.nodes:
            if fleet.random.random() < 0.5:
                healed.resumed.set()
                healed.cut_from_store = healed.cut_from_peers = False


@pytest.mark.parametrize("seed", range(10))
async def test_no_grant_of_a_former_coordinator_is_in_use_when_its_successor_acts(seed):
    """Writes were acknowledged at the old primary while a successor promoted another member."""
    async with Fleet(seed) as fleet:
        await _play(fleet, PLAY_S)


async def test_the_plays_bring_about_each_reason_to_acquire_the_lease(counted_reasons):
    """Guards against plays that leave a reason or late writes of the store out."""
    executed = 0
    for seed in range(10):
        async with Fleet(seed) as fleet:
            await _play(fleet, PLAY_S)
        executed += fleet.late_writes_executed
    assert executed > 0
    assert counted_reasons.keys() == {
        "expired",
        "never held before",
        "released",
        "held by an earlier incarnation of this instance",
        "coordinator process has ended",
    }


@pytest.mark.parametrize("mistake", ["refusal", "grants", "margin"])
async def test_the_plays_find_grants_of_two_coordinators(mistake, monkeypatch):
    """Guards against plays that can't find a successor that acts too early."""
    match mistake:
        case "refusal":
            original = Fleet.probe

            async def probe(fleet, prober, coordinator):
                state = await original(fleet, prober, coordinator)
                return ProcessState.REPLACED if state is ProcessState.REFUSING else state

            monkeypatch.setattr(Fleet, "probe", probe)
        case "grants":
            monkeypatch.setattr(permission, "GRANT_DURATION_S", 0.0)
            monkeypatch.setattr(
                Fleet,
                "record_grant",
                lambda fleet, node, requested_at_s: fleet.granted_until_s.update(
                    {
                        (node.own_instance.incarnation, node.lease.token): min(
                            requested_at_s + 1.5, node.lease.ends_at_s
                        )
                    }
                ),
            )
        case "margin":
            monkeypatch.setattr(lease_terms, "STANDBY_MARGIN_S", -1.0)
    with pytest.raises(AssertionError):
        for seed in range(40):
            async with Fleet(seed) as fleet:
                await _play(fleet, PLAY_S)
