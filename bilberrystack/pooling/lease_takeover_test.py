"""Plays takeovers of the coordinator lease, with suspended and cut-off instances, on paused time.

The instances are production `CoordinatorLease` objects. The store, the datagrams between the
instances and the faults are simulated from a seed.
"""

import asyncio
import math
import random

import pytest

from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model

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

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.own_instance = model.Instance(
            f"proxy-{number}", f"process-{number}", model.Endpoint("127.0.0.1", number + 1), "a"
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

    def __init__(self, seed):
        self.random = random.Random(seed)
        random.seed(seed)
        self.store = Store()
        self.primary_leaves = True
        self.datagram_loss = self.answer_loss = 0.0
        self.datagram_delays_s = (0.001, 0.001, 0.02, 0.3, 2.5)
        self.nodes = [Node(self, number) for number in range(INSTANCE_COUNT)]
        self._tasks = []

    async def __aenter__(self):
        for node in self.nodes:
            self._tasks += [
                asyncio.create_task(node.lease.maintain()),
                asyncio.create_task(node.send_heartbeats()),
            ]
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
