"""Tests of reads: served by replicas, never stale, and only of durable positions."""

import asyncio

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import statements as member_statements
from bilberrystack.proxy.group_test import type_and_reason
from bilberrystack.proxy.group_test import with_site
from bilberrystack_standins import statements

Kind = requests.Kind


def value(outcome):
    assert isinstance(outcome, outcomes.Answer), outcome
    return statements.decode_results(outcome.body)[0]


def write_at_primary(site, key, new):
    """Writes without the owner, as another instance would."""
    site.sequence += 1
    state = site.servers["a"].state
    request_key = requests.RequestKey("other", site.sequence)
    state.write(state.promised_term, request_key, statements.put(key, new))
    site.servers["a"]._notify()


@with_site
async def test_undurable_entry_is_never_returned(site):
    """Guards against returning data that a failover may undo."""
    await site.put("k", 0)
    site.cut_replication()
    write_at_primary(site, "k", 1)
    for name in "bc":
        site.servers[name].set_leaving()
    outcome = await site.get("k")
    assert not isinstance(outcome, outcomes.Answer)
    assert site.event_count("read.executed", "a") >= 1


@with_site
async def test_read_at_a_replaced_primary_is_retried_at_another_member(site):
    """Guards against returning, or waiting for, undurable entries of a replaced primary."""
    await site.put("k", 0)
    site.cut_replication()
    write_at_primary(site, "k", 1)
    for name in "bc":
        site.servers[name].set_leaving()
    pending = site.start(Kind.READ, statements.get("k"), timeout_s=3.0)
    await asyncio.sleep(0.1)
    for name in "bc":
        site.servers[name].state.leaving = False
    site.promote("b", 2, ("b", "c"))
    assert value(await pending) == 0


@with_site
async def test_maximum_age_0_returns_every_write_acknowledged_before_the_request(site):
    """Guards against using a read index, an observation or a replica older than the request."""
    site.servers["b"].receive_lag_s = 0.05
    for new in range(1, 40):
        assert isinstance(await site.put("k", new), outcomes.Answer)
        assert value(await site.get("k")) == new
    assert site.owner.counters.primary_reads == 0


@with_site
async def test_maximum_age_is_respected_and_saves_rounds(site):
    """Guards against data above the maximum age, and against a status round for each read."""
    for name in "bc":
        site.servers[name].receive_lag_s = 0.3
    await site.put("k", 0)
    await asyncio.sleep(1.0)
    await site.get("k")
    write_at_primary(site, "k", 1)
    await asyncio.sleep(0.1)
    rounds = site.owner.counters.rounds
    assert value(await site.get("k", age=60.0)) == 0
    assert site.owner.counters.rounds == rounds
    await asyncio.sleep(2.0)
    assert value(await site.get("k", age=1.5)) == 1
    assert site.owner.counters.rounds > rounds


@with_site
async def test_watermark_is_respected_at_any_maximum_age(site):
    """Guards against a session that does not read its own writes."""
    site.servers["b"].state.apply_lag_s = site.servers["c"].state.apply_lag_s = 0.05
    for new in range(1, 20):
        written = await site.put("k", new)
        assert value(await site.get("k", watermark=written.position, age=60.0)) == new
    assert site.owner.counters.primary_reads == 0
    assert site.owner.counters.behind_replies <= 4


@with_site
async def test_unknown_watermark_needs_a_round(site):
    """Guards against a resumed session that does not read its own last write."""
    await site.put("k", 0)
    await site.get("k")
    write_at_primary(site, "k", 1)
    await asyncio.sleep(0.1)
    assert value(await site.get("k", watermark=None, age=60.0)) == 1


@with_site
async def test_replica_far_behind_is_not_tried_again(site):
    """Guards against reads that wait for a replica that is 30 s behind."""
    site.servers["b"].state.apply_lag_s = 30.0
    for new in range(1, 50):
        written = await site.put("k", new)
        assert value(await site.get("k", watermark=written.position)) == new
    assert site.event_count("read.received", "b") <= 3
    assert site.owner.counters.primary_reads == 0


@with_site
async def test_primary_serves_when_all_replicas_are_far_behind(site):
    """Guards against reads that fail, or that all wait, when no replica has their position."""
    for name in "bc":
        site.servers[name].state.apply_lag_s = 30.0
    written = await site.put("k", 1)
    for _ in range(5):
        assert value(await site.get("k", watermark=written.position)) == 1
    start = site.loop.time()
    await site.get("k", watermark=written.position)
    assert site.loop.time() - start < 0.02
    assert site.owner.counters.primary_read_reasons["far behind"] >= 5


@with_site
async def test_unresponsive_replica_does_not_delay_a_read_until_its_deadline(site):
    """Guards against reads with an unknown outcome because one replica is paused."""
    await site.put("k", 1)
    for name in "bc":
        site.net.pause(name)
        start = site.loop.time()
        for _ in range(6):
            assert value(await site.get("k", age=60.0, timeout_s=5.0)) == 1
        assert site.loop.time() - start < 4 * member_statements.PROBE_AFTER_S
        site.net.resume(name)
        await asyncio.sleep(1.0)


@with_site
async def test_isolated_owner_refuses_reads_with_maximum_age_0(site):
    """Guards against a read of age 0 from a member that may have been replaced."""
    await site.put("k", 1)
    await site.get("k")
    for name in "bc":
        site.net.isolate(name)
    outcome = await site.get("k")
    assert type_and_reason(outcome) == (outcomes.NotRun, outcomes.NotRunReason.NO_MAJORITY)


@with_site
async def test_reads_prefer_the_free_replica(site):
    """Guards against reads that queue at one replica while the other is idle."""
    await site.put("k", 1)
    await asyncio.gather(*(site.get("k", age=60.0) for _ in range(40)))
    counts = [site.event_count("read.executed", name) for name in "bc"]
    assert min(counts) >= 15 and site.owner.counters.primary_reads == 0


@with_site
async def test_invalid_statement_is_refused_as_not_run(site):
    """Guards against retries of a statement that can never run."""
    outcome = await site.run(Kind.READ, b"no statement", watermark=positions.ZERO)
    assert type_and_reason(outcome) == (outcomes.NotRun, outcomes.NotRunReason.INVALID_STATEMENT)
