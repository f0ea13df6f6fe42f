"""Tests of status rounds and of waits for durability, on a paused clock."""

import asyncio

import pytest

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.proxy import confirmations
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import rounds

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

P = positions.Position


class Member:
    """Answers status calls after a delay, or never if `unresponsive` is set."""

    def __init__(self, name, last_log, delay_s=0.001):
        self.name = name
        self.last_log = last_log
        self.promised_term = last_log.term
        self.previous_term_end = positions.ZERO
        self.delay_s = delay_s
        self.unresponsive = False
        self.calls = 0
        self.in_flight = 0
        self.max_in_flight = 0
        self._changed = asyncio.Event()

    def advance(self, position):
        if position.term > self.last_log.term:
            self.previous_term_end = self.last_log
        self.last_log = position
        self.promised_term = max(self.promised_term, position.term)
        self._changed.set()
        self._changed = asyncio.Event()

    async def status(self, wait_for, wait_s):
        self.calls += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            return await self._status(wait_for, wait_s)
        finally:
            self.in_flight -= 1

    async def _status(self, wait_for, wait_s):
        await asyncio.sleep(self.delay_s / 2)
        if self.unresponsive:
            await asyncio.get_running_loop().create_future()
        end = now() + wait_s
        while self.last_log < wait_for and now() < end:
            try:
                await asyncio.wait_for(self._changed.wait(), end - now())
            except TimeoutError:
                break
        report = members.MemberStatus(
            member=self.name,
            promised_term=self.promised_term,
            last_log=self.last_log,
            applied=self.last_log,
            primary=False,
            primary_contact_s=None,
            slots=2,
            connection_limit=16,
            leaving=False,
            discarded_entries=0,
            previous_term_end=self.previous_term_end,
        )
        await asyncio.sleep(self.delay_s / 2)
        return report


class Site:
    def __init__(self, *indices):
        names = "abcde"[: len(indices)]
        self.members = {
            name: Member(name, P(1, index)) for name, index in zip(names, indices, strict=True)
        }
        self.quorum = quorum.QuorumEvidence(names)
        self.counters = counters.GroupCounters()
        self.contacts = dict.fromkeys(names, 0.0)
        self.rounds = rounds.Rounds(self.members, self.quorum, self.contacts.get, self.counters)
        self.confirmations = confirmations.Confirmations(self.members, self, self.counters)

    def record_report(self, status):
        """Records a report as evidence and re-evaluates the waits, as the group's state does."""
        self.quorum.record_report(status)
        self.confirmations.record_accepted(status.member, status.last_log)
        self.confirmations.evaluate_waits()

    def __getattr__(self, name):
        return getattr(self.quorum, name)


def now():
    return asyncio.get_running_loop().time()


async def test_requests_during_a_round_share_the_next():
    """Guards against one round for each read, and against a read index older than the request."""
    site = Site(5, 5, 5)
    first = asyncio.create_task(site.rounds.read_index(now() + 1.0))
    await asyncio.sleep(0.0007)
    for member in site.members.values():
        member.last_log = P(1, 9)
    later = [site.rounds.read_index(now() + 1.0) for _ in range(10)]
    assert set(await asyncio.gather(*later)) == {P(1, 9)}
    assert await first == P(1, 5)
    assert site.counters.rounds == 2


async def test_all_answers_give_the_second_highest_position():
    """Guards against a read index that only the primary has reached."""
    site = Site(9, 7, 6)
    site.members["c"].delay_s += rounds.LAST_ANSWER_WAIT_S / 2
    assert await site.rounds.read_index(now() + 1.0) == P(1, 7)


async def test_unresponsive_member_delays_neither_this_round_nor_the_next():
    """Guards against a paused member that slows down all reads with maximum age 0."""
    site = Site(9, 7, 6)
    site.members["c"].unresponsive = True
    for _ in range(20):
        start = now()
        assert await site.rounds.read_index(start + 1.0) == P(1, 9)
        assert now() - start < 2 * rounds.LAST_ANSWER_WAIT_S
    site.contacts["c"] = -10.0
    start = now()
    await site.rounds.read_index(start + 1.0)
    assert now() - start < rounds.LAST_ANSWER_WAIT_S
    assert site.members["c"].max_in_flight <= rounds.MAX_OUTSTANDING_CALLS


async def test_minority_gives_no_read_index():
    """Guards against the read index of an isolated member, which misses acknowledged writes."""
    site = Site(9, 7, 6)
    site.members["b"].unresponsive = site.members["c"].unresponsive = True
    assert await site.rounds.read_index(now() + 10.0) is None
    assert now() == pytest.approx(rounds.ROUND_TIMEOUT_S, abs=1e-5)
    assert site.quorum.index_for_age(now(), 60.0) is None


async def test_age_of_a_read_index_counts_from_the_start_of_its_round():
    """Guards against measuring the age from the answers, which understates the data's age."""
    site = Site(5, 5, 5)
    for member in site.members.values():
        member.delay_s = 0.4
    await site.rounds.read_index(now() + 1.0)
    assert site.quorum.index_for_age(now(), 0.3) is None
    assert site.quorum.index_for_age(now(), 0.5) == P(1, 5)


async def test_waits_share_one_poll_for_each_member():
    """Guards against one status call for each write and member."""
    site = Site(9, 5, 5)
    waits = [site.confirmations.wait(P(1, 6 + number % 4), now() + 1.0) for number in range(40)]
    pending = asyncio.gather(*waits)
    await asyncio.sleep(0.01)
    site.members["b"].advance(P(1, 9))
    assert set(await pending) == {confirmations.WaitResult.DURABLE}
    assert {member.max_in_flight for member in site.members.values()} == {1}
    assert sum(member.calls for member in site.members.values()) <= 6


async def test_wait_ends_at_its_deadline():
    """Guards against a write that hangs while no majority has accepted it."""
    site = Site(9, 5, 5)
    start = now()
    result = await site.confirmations.wait(P(1, 9), start + 0.2)
    assert result is confirmations.WaitResult.TIMED_OUT and now() == pytest.approx(
        start + 0.2, abs=1e-5
    )


async def test_entry_of_a_replaced_primary_is_not_durable():
    """Guards against acknowledging an entry that the new primary's log does not have."""
    site = Site(9, 5, 5)
    for name in "abc":
        site.quorum.record_acceptance(name, P(1, 5))
    waiting = asyncio.create_task(site.confirmations.wait(P(1, 9), now() + 5.0))
    await asyncio.sleep(0.1)
    for name in "bc":
        site.members[name].advance(P(2, 7))
    assert await waiting is confirmations.WaitResult.LOST
    site.confirmations.primary_changed(2)
    result = await site.confirmations.wait(P(1, 8), now() + 5.0)
    assert result is confirmations.WaitResult.SUPERSEDED


async def test_broken_link_is_polled_again():
    """Guards against a wait that fails when a control connection breaks."""
    site = Site(9, 5, 5)
    broken = site.members["b"]
    answer = broken.status

    async def break_once(wait_for, wait_s):
        broken.status = answer
        raise interfaces.LinkLost("reset", sent=True)

    broken.status = break_once
    waiting = asyncio.create_task(site.confirmations.wait(P(1, 9), now() + 5.0))
    await asyncio.sleep(0.001)
    broken.advance(P(1, 9))
    assert await waiting is confirmations.WaitResult.DURABLE
