"""Tests what a standby that stood still concludes about the coordinator lease."""

import asyncio
import dataclasses

import loguru
import pytest

from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model
from bilberrystack.routing import running_time

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

OWN = model.Instance("proxy-1", "process-1", model.Endpoint("127.0.0.1", 2), "a")
HOLDER = model.Instance("proxy-0", "process-0", model.Endpoint("127.0.0.1", 1), "a")
RECORD = interfaces.LeaseRecord(HOLDER, 7, interfaces.Revision(1, 5), 1, (OWN.incarnation,))

STALL_S = 20.0
STORE_ANSWER_S = 0.004


class Standby:
    """A standby's lease; its process can stand still while an answer of the store is under way.

    Attributes:
      stalls: Whether the process stands still during the next reading.
      acquisitions: Number of attempts to acquire the lease.
    """

    store_era = 1

    def __init__(self):
        self.jumped_s = 0.0
        self.stalls = False
        self.acquisitions = 0
        self.running = running_time.RunningTime()
        self.running.count_until(self.now_s())
        self.lease = coordinator_lease.CoordinatorLease(
            OWN, self, self.now_s, counters.Counters(), running=self.running
        )

    def now_s(self):
        return asyncio.get_running_loop().time() + self.jumped_s

    def stall(self):
        began_at_s = self.now_s()
        self.jumped_s += STALL_S
        self.running.record_stall(began_at_s, self.now_s())

    async def read_coordinator_lease(self):
        if self.stalls:
            self.stall()
        return RECORD

    async def write_coordinator_lease(self, replaced, coordinator, token, standbys=()):
        self.acquisitions += 1
        await asyncio.sleep(STORE_ANSWER_S)
        raise interfaces.Conflict

    async def check(self, seconds):
        """Check the lease for a time in which the process runs."""
        ends_at_s = self.now_s() + seconds
        while self.now_s() < ends_at_s:
            await self.lease._try_acquire()
            self.running.count_until(self.now_s())


@pytest.fixture(autouse=True)
def unresponsive_processes(monkeypatch):
    """No probe reaches a process, so that only the terms of the lease decide."""

    async def probe(_instance):
        return coordinator_lease.ProcessState.UNRESPONSIVE

    monkeypatch.setattr(coordinator_lease, "probe", probe)


async def test_a_standby_that_stood_still_does_not_take_the_lease_for_expired():
    """It tried to replace a coordinator whose renewals it had not been able to see."""
    standby = Standby()
    await standby.check(0.5)
    standby.stalls = True
    await standby.lease._try_acquire()
    assert standby.acquisitions == 0


async def test_a_standby_acquires_an_expired_lease_in_the_usual_time_after_a_stall():
    """Guards against a group without a coordinator because a standby once stood still."""
    standby = Standby()
    standby.stall()
    await standby.check(lease_terms.CONTACT_DURATION_S)
    assert standby.acquisitions == 0
    await standby.check(lease_terms.STANDBY_MARGIN_S + 3 * coordinator_lease.CHECK_JITTER_S)
    assert standby.acquisitions > 0


async def test_a_standby_that_stood_still_goes_on_to_acknowledge_the_coordinator():
    """It took a renewal for overdue and ended the support of a coordinator that renews in time."""
    standby = Standby()
    standby.lease.is_primary_leaving = lambda: True
    told = coordinator_lease.ToldRenewal(RECORD.revision, standby.now_s(), True)
    standby.lease.record_answer(7, 1.0, told)
    standby.stall()
    await standby.lease._try_acquire()
    standby.lease.record_answer(7, 2.0, told)
    assert standby.lease.acknowledgement.answered_at_s == 2.0


async def test_the_line_of_a_takeover_says_how_long_the_new_coordinator_waits():
    """The logs did not tell until when a successor waited for grants of its predecessor."""
    standby, records = Standby(), []

    async def write(replaced, coordinator, token, standbys=()):
        return dataclasses.replace(RECORD, coordinator=coordinator, token=token)

    standby.write_coordinator_lease = write
    handler_id = loguru.logger.add(lambda line: records.append(line.record), format="")
    try:
        await standby.lease._acquire(RECORD, "coordinator process has ended")
        standby.lease.grants_end_at_s = standby.now_s() + 0.25
        await standby.lease.release()
    finally:
        loguru.logger.remove(handler_id)
    acquired, released = (record["extra"] for record in records)
    assert (acquired["grants_wait_ms"], acquired["requests_wait_ms"]) == (1500, 2000)
    assert (released["token"], released["grants_left_ms"]) == (acquired["token"], 250)


@pytest.mark.parametrize("state", coordinator_lease.ProcessState)
async def test_the_lines_of_a_reading_say_who_holds_the_lease_and_what_a_probe_found(
    state, monkeypatch
):
    """The logs did not tell what made an instance take the coordinator for ended."""

    async def probe(_instance):
        return state

    monkeypatch.setattr(coordinator_lease, "probe", probe)
    standby, records = Standby(), []
    handler_id = loguru.logger.add(lambda line: records.append(line.record), format="")
    try:
        await standby.lease._try_acquire()
        await standby.lease._try_acquire()
    finally:
        loguru.logger.remove(handler_id)
    lines = {record["message"]: record["extra"] for record in records}
    read, probed = lines["coordinator read from the store"], lines["coordinator probed"]
    assert (read["coordinator"], read["incarnation"], read["token"]) == ("proxy-0", "process-0", 7)
    assert (probed["coordinator"], probed["token"], probed["result"]) == ("proxy-0", 7, state.value)


async def test_a_coordinator_that_refuses_one_connection_is_not_taken_for_ended(monkeypatch):
    """An instance behind a partition acquired the lease of a coordinator that others followed."""

    async def probe(_instance):
        return coordinator_lease.ProcessState.REFUSING

    monkeypatch.setattr(coordinator_lease, "probe", probe)
    standby = Standby()
    await standby.check(lease_terms.CONTACT_DURATION_S)
    assert standby.acquisitions == 0
    await standby.check(lease_terms.STANDBY_MARGIN_S + 3 * coordinator_lease.CHECK_JITTER_S)
    assert standby.acquisitions > 0


@pytest.mark.parametrize("own_address", [False, True])
async def test_a_holder_of_the_same_name_has_ended_only_if_it_used_the_own_address(own_address):
    """The successor of a machine acquired the lease of the one that it was to replace."""
    endpoint = OWN.endpoint if own_address else HOLDER.endpoint
    holder = dataclasses.replace(OWN, incarnation="process-2", endpoint=endpoint)
    record = dataclasses.replace(RECORD, coordinator=holder, standbys=())
    reason = await Standby().lease._reason_to_acquire(record)
    assert bool(reason) is own_address
