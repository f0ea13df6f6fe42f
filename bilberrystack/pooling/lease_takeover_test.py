"""Plays takeovers of the coordinator lease, with suspended and cut-off instances, on paused time.

The instances are production `CoordinatorLease` objects. The store, the datagrams between the
instances and the faults are simulated from a seed. A `ServingNode` also has a production
coordinator, and gives, uses and withdraws grants. Its processes stop gracefully, and start anew
under their names.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import math
import random
import types

import pytest

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import coordinator
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import fleet as fleet_module
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import quota_gate
from bilberrystack.pooling import tasks
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model
from bilberrystack.routing import statements

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

HEARTBEAT_INTERVAL_S = 0.4
STEP_S = 0.02
INSTANCE_COUNT = 6


def _now():
    return asyncio.get_running_loop().time()


class Store:
    """The record of the lease, with conditional writes."""

    def __init__(self):
        self.record = interfaces.LeaseRecord(None, 0, interfaces.Revision(1, 0), 1)
        self.down = False

    def write(self, replaced, coordinator, token, standbys):
        if replaced.revision != self.record.revision:
            raise interfaces.Conflict
        revision = interfaces.Revision(1, self.record.revision.number + 1)
        self.record = interfaces.LeaseRecord(coordinator, token, revision, 1, tuple(standbys))
        return self.record


class Node:
    """One instance: its lease, its path to the store and its datagrams."""

    def __init__(self, fleet, number, generation=0, port=None):
        self.fleet = fleet
        self.number, self.generation = number, generation
        endpoint = model.Endpoint("127.0.0.1", number + 1 if port is None else port)
        self.own_instance = model.Instance(
            f"proxy-{number}", f"process-{number}-{generation}", endpoint, "a"
        )
        self.store_era = 1
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.cut_from_store = self.cut_from_peers = False
        self.lease = coordinator_lease.CoordinatorLease(
            self.own_instance, self, _now, counters.Counters(), first_start=True
        )
        self.lease.check_after_s = 2.5 * HEARTBEAT_INTERVAL_S
        self.lease.is_primary_leaving = lambda: fleet.primary_leaves

    @property
    def acts(self):
        return self.resumed.is_set() and self.lease.token is not None

    def start(self):
        """Return the tasks of the instance."""
        return [
            asyncio.create_task(self.lease.maintain()),
            asyncio.create_task(self.send_heartbeats()),
        ]

    async def _reach_store(self):
        await self.resumed.wait()
        await asyncio.sleep(self.fleet.random.uniform(0.002, 0.3))
        if self.cut_from_store or self.fleet.store.down:
            raise interfaces.NotDone

    async def _answer(self):
        await asyncio.sleep(self.fleet.random.uniform(0.002, 0.05))
        await self.resumed.wait()
        if self.fleet.random.random() < self.fleet.answer_loss:
            raise interfaces.NoAnswer

    async def read_coordinator_lease(self):
        await self._reach_store()
        record = self.fleet.store.record
        await self._answer()
        return record

    async def write_coordinator_lease(self, replaced, coordinator, token, standbys=()):
        await self._reach_store()
        written = self.fleet.store.write(replaced, coordinator, token, standbys)
        await self._answer()
        return written

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self.resumed.wait()
            receiver = self.fleet.node_of(self.lease.coordinator)
            if receiver is not None and receiver is not self:
                acknowledgement = self.lease.acknowledgement
                self.fleet.send(self, receiver, receiver.receive_heartbeat, self, acknowledgement)

    def receive_heartbeat(self, sender, acknowledgement):
        token = self.lease.token
        if token is None:
            return
        incarnation = sender.own_instance.incarnation
        if acknowledgement is not None and acknowledgement.token == token:
            self.lease.supporters.acknowledge(incarnation, acknowledgement.answered_at_s)
        renewal = self.lease.renewal
        self.fleet.send(
            self,
            sender,
            sender.receive_answer,
            self.own_instance,
            token,
            _now(),
            renewal,
            lease_terms.names_standby(renewal.standbys, incarnation),
        )

    def receive_answer(self, coordinator, token, answered_at_s, renewal, names_receiver):
        known = self.lease.coordinator
        if known is None or known.incarnation != coordinator.incarnation:
            return
        told = coordinator_lease.ToldRenewal(
            renewal.revision, _now() - renewal.age_s, names_receiver
        )
        self.lease.record_answer(token, answered_at_s, told)


class Fleet:
    """Instances with a store and a network that lose and delay."""

    def __init__(self, seed, node_type=Node):
        self.random = random.Random(seed)
        random.seed(seed)
        self.store = Store()
        self.primary_leaves = True
        self.datagram_loss = self.answer_loss = 0.0
        self.datagram_delays_s = (0.001, 0.001, 0.02, 0.3, 2.5)
        self.nodes = [node_type(self, number) for number in range(INSTANCE_COUNT)]
        self._tasks = []

    async def __aenter__(self):
        for node in self.nodes:
            self._tasks += node.start()
        await self.advance(6.0)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def node_of(self, instance):
        return next((node for node in self.nodes if node.own_instance == instance), None)

    def send(self, sender, receiver, deliver, *arguments):
        if self.random.random() >= self.datagram_loss:
            delay_s = self.random.choice(self.datagram_delays_s)
            task = asyncio.create_task(self._deliver(sender, receiver, deliver, delay_s, arguments))
            self._tasks.append(task)

    async def _deliver(self, sender, receiver, deliver, delay_s, arguments):
        await asyncio.sleep(delay_s)
        await receiver.resumed.wait()
        if not (sender.cut_from_peers or receiver.cut_from_peers):
            deliver(*arguments)

    @property
    def holder(self):
        return next((node for node in self.nodes if node.acts), None)

    async def advance(self, seconds):
        """Advance the clock; check at each step that at most one instance acts on the lease."""
        ends_at_s = _now() + seconds
        while _now() < ends_at_s:
            await asyncio.sleep(STEP_S)
            acting = [node.own_instance.name for node in self.nodes if node.acts]
            assert len(acting) <= 1, acting

    async def wait_for_takeover(self, former):
        """Return the seconds until another instance acts on the lease."""
        started_at_s = _now()
        while self.holder in (None, former):
            await self.advance(STEP_S)
            assert _now() - started_at_s < 20.0
        return _now() - started_at_s


_PROBE = coordinator_lease.probe


@pytest.fixture(autouse=True)
def unresponsive_processes(monkeypatch):
    """No probe reaches a process, so that only the terms of the lease decide."""

    async def probe(_instance):
        await asyncio.sleep(coordinator_lease.PROBE_TIMEOUT_S)
        return coordinator_lease.ProcessState.UNRESPONSIVE

    monkeypatch.setattr(coordinator_lease, "probe", probe)


def _suspend(node):
    node.resumed.clear()


def _cut_from_store(node):
    node.cut_from_store = True


def _cut_from_all(node):
    node.cut_from_store = node.cut_from_peers = True


@pytest.mark.parametrize("fault", [_suspend, _cut_from_store, _cut_from_all])
@pytest.mark.parametrize("seed", range(6))
async def test_a_coordinator_that_can_not_renew_is_replaced_in_time_for_a_leaving_primary(
    fault, seed
):
    """The lease of a frozen or cut-off coordinator outlasted the 7 s of a leaving primary."""
    async with Fleet(seed) as fleet:
        await fleet.advance(fleet.random.uniform(0.0, 2.0))
        holder = fleet.holder
        fault(holder)
        assert await fleet.wait_for_takeover(holder) < 5.0
        # The former coordinator stays without effect when it is back.
        holder.resumed.set()
        holder.cut_from_store = holder.cut_from_peers = False
        await fleet.advance(3.0)
        assert fleet.holder is not holder


@pytest.mark.parametrize("seed", range(6))
async def test_the_coordinator_keeps_its_lease_through_a_short_outage_of_the_store(seed):
    """Without standbys' support the lease ended in each outage, and answers needed rounds."""
    async with Fleet(seed) as fleet:
        fleet.datagram_delays_s = (0.001, 0.02)
        await fleet.advance(3.0)
        holder = fleet.holder
        fleet.store.down = True
        for _ in range(200):
            await fleet.advance(STEP_S)
            assert fleet.holder is holder
        fleet.store.down = False
        await fleet.advance(4.0)
        assert fleet.holder is holder


async def test_a_coordinator_cut_off_from_the_store_keeps_its_lease_while_no_primary_leaves():
    """Guards against takeovers, which cost 2 s without grants, in partial outages of the store."""
    async with Fleet(1) as fleet:
        fleet.datagram_delays_s = (0.001, 0.02)
        fleet.primary_leaves = False
        await fleet.advance(3.0)
        holder = fleet.holder
        _cut_from_store(holder)
        for _ in range(200):
            await fleet.advance(STEP_S)
            assert fleet.holder is holder


@pytest.mark.parametrize("seed", range(4))
async def test_a_new_coordinator_that_can_not_renew_even_once_is_replaced_in_time(seed):
    """The record of a coordinator named no standbys before its first renewal."""
    async with Fleet(seed) as fleet:
        _suspend(fleet.holder)
        await fleet.wait_for_takeover(fleet.holder)
        successor = fleet.holder
        await fleet.advance(0.5)
        _cut_from_store(successor)
        assert await fleet.wait_for_takeover(successor) < 5.0


async def _play_faults(fleet, seconds):
    """Play overlapping faults of random instances, the coordinator above all."""
    ends_at_s = _now() + seconds
    while _now() < ends_at_s:
        node = fleet.holder if fleet.random.random() < 0.6 else fleet.random.choice(fleet.nodes)
        node = node or fleet.random.choice(fleet.nodes)
        fleet.primary_leaves = fleet.random.random() < 0.5
        match fleet.random.randrange(5):
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
        await fleet.advance(fleet.random.uniform(0.2, 4.0))
        fleet.store.down = False
        for healed in fleet.nodes:
            if fleet.random.random() < 0.5:
                healed.resumed.set()
                healed.cut_from_store = healed.cut_from_peers = False


@pytest.mark.parametrize("seed", range(10))
async def test_at_most_one_instance_acts_on_the_lease_under_overlapping_faults(seed):
    """Two coordinators at once could promote two members of a group, or grant two primaries."""
    async with Fleet(seed) as fleet:
        await _play_faults(fleet, 120.0)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("answer_loss", [0.0, 1.0])
async def test_a_coordinator_does_not_act_on_a_lease_that_it_may_have_released(seed, answer_loss):
    """A coordinator that resigned went on to grant until the store's answer, which may get lost.

    Its successor already counted the time until the last grant has ended.
    """
    async with Fleet(seed) as fleet:
        await fleet.advance(fleet.random.uniform(0.0, 2.0))
        former = fleet.holder
        former.cut_from_peers = True
        await fleet.advance(1.0)
        fleet.answer_loss = answer_loss
        resigning = asyncio.create_task(former.lease.resign("test"))
        while fleet.store.record.coordinator is not None:
            assert not resigning.done()
            await asyncio.sleep(0.001)
        assert not former.acts
        await resigning
        fleet.answer_loss = 0.0
        assert await fleet.wait_for_takeover(former) < 5.0
        await fleet.advance(3.0)


async def test_a_coordinator_whose_release_was_refused_acts_again():
    """Guards against a group without a coordinator because the store refused one call."""
    async with Fleet(1) as fleet:
        holder = fleet.holder
        _cut_from_store(holder)
        await holder.lease.resign("test")
        assert holder.acts
        # What was begun before the interruption may still take effect.
        assert holder.lease.settled_at_s >= _now() + coordinator_lease.SETTLE_DELAY_S


@pytest.mark.parametrize("safeguard", ["support", "acknowledgements"])
async def test_the_play_finds_two_coordinators_without_each_safeguard(safeguard, monkeypatch):
    """Guards against a play that can't find two coordinators at once."""
    if safeguard == "support":
        monkeypatch.setattr(lease_terms.Supporters, "supported_until_s", lambda *_: math.inf)
    else:
        original = lease_terms.acquirable_at_s
        monkeypatch.setattr(
            lease_terms,
            "acquirable_at_s",
            lambda unchanged_s, is_standby, _: original(unchanged_s, is_standby),
        )
    with pytest.raises(AssertionError):
        for seed in range(40):
            async with Fleet(seed) as fleet:
                await _play_faults(fleet, 120.0)


async def test_a_standby_does_not_acknowledge_a_coordinator_whose_renewal_is_overdue():
    """A coordinator cut off from the store kept its lease while a standby acknowledged it."""
    async with Fleet(1) as fleet:
        holder = fleet.holder
        standby = next(node for node in fleet.nodes if node is not holder)
        assert standby.own_instance.incarnation in fleet.store.record.standbys
        _cut_from_store(holder)
        await fleet.advance(3.0)
        held = fleet.store.record
        before = standby.lease.acknowledgement
        for number, acknowledged in ((0, False), (1, True)):
            revision = interfaces.Revision(1, held.revision.number + number)
            told = coordinator_lease.ToldRenewal(revision, _now(), True)
            standby.lease.record_answer(held.token, _now(), told)
            assert (standby.lease.acknowledgement is not before) == acknowledged


SERVICE = model.Service("store", max_connections=16, sync_replicas=0)
MEMBERS = [
    model.Member(name, "store", model.Endpoint("127.0.0.1", 900), "zone", 3, False, None, 1)
    for name in "abc"
]

# The instance whose task runs, which a probe connects from.
_PROBER = contextvars.ContextVar("prober")


@dataclasses.dataclass
class _Member:
    """A simulated member; `silent` if no instance reaches it."""

    primary: bool
    term: int = 1
    leaving: bool = False
    silent: bool = False


class ServingNode(Node):
    """An instance that gives grants as the coordinator and uses those that it receives."""

    def __init__(self, fleet, number, generation=0, port=None):
        super().__init__(fleet, number, generation, port)
        self.stopping = False
        self._tasks = tasks.Tasks()
        metrics = counters.Counters()
        self.group = group.Group(
            service=SERVICE,
            failure_domain="a",
            instance_name=self.own_instance.name,
            dialect=wire,
            clock=_now,
            background_tasks=self._tasks,
        )
        self.lease.is_primary_leaving = lambda: self.group.primary_leaving
        self.coordinator = coordinator.Coordinator(
            own_instance=self.own_instance,
            lease=self.lease,
            platform=self,
            groups={"store": self.group},
            dialect=wire,
            clock=_now,
            background_tasks=self._tasks,
            metrics=metrics,
        )
        self.protocol = fleet_module.FleetProtocol(
            own_instance=self.own_instance,
            lease=self.lease,
            local_coordinator=self.coordinator,
            groups={"store": self.group},
            store_directory=types.SimpleNamespace(version=1, observe_version=lambda *_: None),
            clock=_now,
            background_tasks=self._tasks,
            quota=quota_gate.QuotaGate(_now, metrics),
        )
        self.coordinator.send = self.protocol.send
        self.protocol.connection_made(self)
        self.promotions = types.SimpleNamespace(list=self._list_promotions)
        self.instances = types.SimpleNamespace(list=self._list_instances)

    def start(self):
        _PROBER.set(self)
        loops = (self.lease.maintain, self.protocol.send_heartbeats, self._run)
        self._loops = [asyncio.create_task(loop()) for loop in loops]
        return self._loops

    async def end(self):
        """End the process at once."""
        self.fleet.nodes.remove(self)
        for task in self._loops:
            task.cancel()
        await self._tasks.close()

    async def stop(self):
        """Begin a graceful stop, in which the process serves on."""
        self.stopping = True
        self.coordinator.announce_departure()
        await self.lease.release()

    async def _run(self):
        while True:
            await self.resumed.wait()
            self._observe_members()
            self.coordinator.step()
            self.coordinator._load_promotions_if_due()
            await asyncio.sleep(coordinator.STEP_INTERVAL_S)

    def _observe_members(self):
        known = [
            dataclasses.replace(member, leaving=self.fleet.members[member.id].leaving)
            for member in MEMBERS
        ]
        self.group.update(SERVICE, known, frozenset())
        for name, member in self.fleet.members.items():
            observations = self.group.pools[name].observations
            if not member.silent:
                observations.status = statements.MemberStatus(
                    member.primary, member.term, positions.Position(1, 10), 0.0, 0, 1
                )
                observations.status_at_s = observations.contact_at_s = _now()

    def is_closing(self):
        return False

    def sendto(self, data, to):
        if self.resumed.is_set():
            self.fleet.send_datagram(self, data, model.Endpoint(*to))

    async def write_coordinator_lease(self, replaced, coordinator, token, standbys=()):
        if self.fleet.random.random() >= self.fleet.late_writes:
            return await super().write_coordinator_lease(replaced, coordinator, token, standbys)
        await self._reach_store()
        self.fleet.execute_late(self.fleet.store.write, replaced, coordinator, token, standbys)
        await asyncio.sleep(1.0)
        raise interfaces.NoAnswer

    async def _list(self, items):
        await self._reach_store()
        snapshot = interfaces.Snapshot(dict(items()), interfaces.Revision(1, 1))
        await self._answer()
        return snapshot

    async def _list_promotions(self):
        return await self._list(lambda: self.fleet.records)

    async def _list_instances(self):
        return await self._list(
            lambda: {node.own_instance.name: node.own_instance for node in self.fleet.nodes}
        )

    async def record_promotion(self, record):
        await self._reach_store()
        self.fleet.records[record.name] = record
        await self._answer()

    record_primary = record_promotion

    async def remove_promotion_record(self, name):
        await self._reach_store()
        self.fleet.records.pop(name, None)
        await self._answer()

    async def promote(self, _service, member, _coordinator, _token, *, may_send):
        await asyncio.sleep(self.fleet.random.uniform(0.001, 0.3))
        await self.resumed.wait()
        if not may_send():
            raise interfaces.NotDone
        self.fleet.check_grants(member)
        self.fleet.promotions += 1
        await asyncio.sleep(self.fleet.random.uniform(0.1, 0.4))
        self.fleet.promote(member)
        return True


class ServingFleet(Fleet):
    """Instances that serve a group of three members.

    Attributes:
      members: The members by name.
      records: The records of promotion requests and primaries.
      promotions: Number of promotion requests.
      valid_grants: Grants of a replaced primary that were valid when a promotion was requested.
      late_writes: Fraction of the writes of the lease that the store executes late.
      refusing_pairs: Pairs of instance names of which the first one's connections to the second one
        are refused although its process is alive.
    """

    def __init__(self, seed):
        self.members = {name: _Member(name == "a") for name in "abc"}
        self.records = {}
        self.promotions = 0
        self.valid_grants = []
        self.late_writes = 0.0
        self.refusing_pairs = set()
        super().__init__(seed, ServingNode)

    async def __aexit__(self, *exception):
        for node in list(self.nodes):
            await node.end()
        await super().__aexit__(*exception)

    def execute_late(self, execute, *arguments):
        async def run():
            await asyncio.sleep(self.random.uniform(1.0, 4.0))
            with contextlib.suppress(interfaces.Conflict):
                execute(*arguments)

        self._tasks.append(asyncio.create_task(run()))

    def send_datagram(self, sender, data, to):
        """Send a datagram to the process that uses an address when the datagram arrives."""
        if self.random.random() < self.datagram_loss:
            return

        async def deliver():
            await asyncio.sleep(self.random.choice(self.datagram_delays_s))
            receiver = self.node_at(to)
            if receiver is None:
                return
            await receiver.resumed.wait()
            if receiver in self.nodes and not (sender.cut_from_peers or receiver.cut_from_peers):
                endpoint = sender.own_instance.endpoint
                receiver.protocol.datagram_received(data, (endpoint.host, endpoint.port))

        self._tasks.append(asyncio.create_task(deliver()))

    def node_at(self, endpoint):
        return next((node for node in self.nodes if node.own_instance.endpoint == endpoint), None)

    def start(self, number, generation, port=None):
        """Start another process under the name of an instance."""
        node = ServingNode(self, number, generation, port)
        self.nodes.append(node)
        self._tasks += contextvars.copy_context().run(node.start)

    def promote(self, member):
        newest = max(self.members.values(), key=lambda each: each.term)
        if not self.members[member].primary:
            term = newest.term + 1
            for name in self.members:
                self.members[name] = _Member(name == member, term)

    def check_grants(self, member):
        """Record the grants that are valid anywhere and exclude the promotion of a member."""
        for node in self.nodes:
            held = node.group.permission
            if held.leader is None:
                continue
            condition = held.confirming_members(held.leader, _now())
            if held.valid_at(held.leader, _now()) or (condition and member not in condition):
                left_ms = round((held.grant_ends_at_s - _now()) * 1000)
                self.valid_grants.append((node.own_instance.incarnation, held.leader, left_ms))

    async def advance(self, seconds):
        await super().advance(seconds)
        assert not self.valid_grants, self.valid_grants


@pytest.fixture
def reachable_processes(monkeypatch):
    """Probes connect to the process at an address, if its instance can be reached."""

    async def connect(endpoint, _max_line_bytes, timeout_s):
        prober = _PROBER.get()
        target = prober.fleet.node_at(endpoint)
        if prober.cut_from_peers or (target is not None and target.cut_from_peers):
            await asyncio.sleep(timeout_s)
            raise member_link.Unreachable
        pair = None if target is None else (prober.own_instance.name, target.own_instance.name)
        if target is None or pair in prober.fleet.refusing_pairs:
            raise member_link.Refused
        reader = asyncio.StreamReader()
        if target.resumed.is_set():
            reader.feed_data(target.own_instance.incarnation.encode() + b"\n")
        writer = types.SimpleNamespace(
            is_closing=lambda: False, write=lambda _: None, close=lambda: None
        )
        return reader, writer

    monkeypatch.setattr(coordinator_lease, "probe", _PROBE)
    monkeypatch.setattr(member_link, "connect", connect)


@pytest.fixture
def unreachable_members(monkeypatch):
    """Members take no orders; their reports are part of the play."""

    async def answer_nothing(*_):
        return None

    monkeypatch.setattr(group.Group, "query_member", answer_nothing)
    monkeypatch.setattr(group.Group, "probe", answer_nothing)


async def _replace_process(fleet, node):
    """Have another process follow one under its name, after a kill or beside a graceful stop."""
    number, generation = node.number, node.generation + 1
    if fleet.random.random() < 0.5:
        _fail_primary(fleet)
        await fleet.advance(fleet.random.uniform(0.0, 0.8))
    if fleet.random.random() < 0.5:
        await node.end()
        if fleet.random.random() < 0.5:
            # The successor has the change to make while grants of the ended process are in use.
            _fail_primary(fleet)
        await fleet.advance(fleet.random.uniform(0.1, 1.0))
        fleet.start(number, generation, node.own_instance.endpoint.port)
        return
    await asyncio.wait({asyncio.create_task(node.stop())}, timeout=0.5)
    await fleet.advance(fleet.random.uniform(0.0, 1.0))
    fleet.start(number, generation, 100 * generation + number + 1)
    await fleet.advance(fleet.random.uniform(0.5, 4.0))
    await node.end()


def _harm(fleet):
    """Begin a random fault."""
    node = fleet.holder if fleet.random.random() < 0.5 else fleet.random.choice(fleet.nodes)
    node = node or fleet.random.choice(fleet.nodes)
    match fleet.random.randrange(7):
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
            fleet.late_writes = fleet.random.choice([0.0, 0.2])
        case _:
            pass
    if fleet.random.random() < 0.7:
        _fail_primary(fleet)


def _fail_primary(fleet):
    """Have the primary fall silent, and in most cases leave."""
    primary = next(member for member in fleet.members.values() if member.primary)
    primary.silent = True
    primary.leaving = fleet.random.random() < 0.7


async def _play_promotions(fleet, seconds, *, refusals=False):
    """Play overlapping faults while primaries leave or fall silent, and processes are replaced.

    Args:
      fleet: The instances.
      seconds: The length of the play.
      refusals: Whether the connections between some pairs of instances are refused.
    """
    ends_at_s = _now() + seconds
    while _now() < ends_at_s:
        _harm(fleet)
        if refusals:
            names = [node.own_instance.name for node in fleet.nodes]
            fleet.refusing_pairs = {tuple(fleet.random.sample(names, 2)) for _ in range(6)}
        await fleet.advance(fleet.random.uniform(0.2, 3.0))
        if fleet.random.random() < 0.4:
            node = fleet.holder if fleet.random.random() < 0.4 else None
            await _replace_process(fleet, node or fleet.random.choice(fleet.nodes))
        fleet.store.down = False
        for healed in fleet.nodes:
            if fleet.random.random() < 0.5:
                healed.resumed.set()
                healed.cut_from_store = healed.cut_from_peers = False


@pytest.mark.usefixtures("reachable_processes", "unreachable_members")
@pytest.mark.parametrize("refusals", [False, True])
@pytest.mark.parametrize("seed", range(10))
async def test_no_grant_is_valid_anywhere_when_a_promotion_is_requested(seed, refusals):
    """Commits at a replaced primary were acknowledged under a grant that nobody waited for."""
    async with ServingFleet(seed) as fleet:
        await _play_promotions(fleet, 120.0, refusals=refusals)
        assert fleet.promotions >= 2


def _unlimited_support(monkeypatch):
    monkeypatch.setattr(lease_terms.Supporters, "supported_until_s", lambda *_: math.inf)


def _no_wait_for_own_grants(monkeypatch):
    monkeypatch.setattr(
        coordinator.Coordinator, "_unacknowledged_grants_end_s", lambda *_: -math.inf
    )


def _no_wait_for_grants_of_the_predecessor(monkeypatch):
    acquire = coordinator_lease.CoordinatorLease._acquire

    async def acquire_at_once(lease, record, reason):
        await acquire(lease, record, reason)
        lease.leaving_replaceable_at_s = lease.settled_at_s = _now()

    monkeypatch.setattr(coordinator_lease.CoordinatorLease, "_acquire", acquire_at_once)


@pytest.mark.usefixtures("reachable_processes", "unreachable_members")
@pytest.mark.parametrize(
    "mutate",
    [_unlimited_support, _no_wait_for_own_grants, _no_wait_for_grants_of_the_predecessor],
)
async def test_the_play_finds_a_promotion_without_each_wait(mutate, monkeypatch):
    """Guards against a play that can't find a valid grant of a replaced primary."""
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(60):
            async with ServingFleet(seed) as fleet:
                await _play_promotions(fleet, 120.0)
