"""Tests of reads: from replicas, never stale, never of what a failover may undo."""

import asyncio

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import statements as member_statements
from bilberrystack.proxy.group_test import at_site
from bilberrystack.proxy.group_test import reason
from bilberrystack_standins import statements

Kind = requests.Kind


def value(outcome):
    assert isinstance(outcome, outcomes.Answer), outcome
    return statements.decode_results(outcome.body)[0]


def write_at_primary(site, key, new):
    """Writes past the owner, as another instance would."""
    site.sequence += 1
    state = site.servers["a"].state
    own = requests.RequestKey("other", site.sequence)
    state.write(state.promised_term, own, statements.put(key, new))
    site.servers["a"]._notify()


@at_site
async def test_undurable_suffix_is_never_released(site):
    """Guards against a caller that sees what the next failover undoes."""
    await site.put("k", 0)
    site.hide_replicas()
    write_at_primary(site, "k", 1)
    for name in "bc":
        site.servers[name].set_leaving()
    outcome = await site.get("k")
    assert not isinstance(outcome, outcomes.Answer)
    assert site.count("read.executed", "a") >= 1


@at_site
async def test_read_of_a_replaced_primary_goes_on_elsewhere(site):
    """Guards against releasing, or waiting for, the suffix of a primary that was replaced."""
    await site.put("k", 0)
    site.hide_replicas()
    write_at_primary(site, "k", 1)
    for name in "bc":
        site.servers[name].set_leaving()
    pending = site.start(Kind.READ, statements.get("k"), timeout_s=3.0)
    await asyncio.sleep(0.1)
    for name in "bc":
        site.servers[name].state.leaving = False
    site.promote("b", 2, ("b", "c"))
    assert value(await pending) == 0


@at_site
async def test_age_0_sees_every_write_acknowledged_before_its_arrival(site):
    """Guards against a read index, an observation or a replica from before the arrival."""
    site.servers["b"].receive_lag_s = 0.05
    for new in range(1, 40):
        assert isinstance(await site.put("k", new), outcomes.Answer)
        assert value(await site.get("k")) == new
    assert site.owner.counters.primary_reads == 0


@at_site
async def test_stated_age_is_kept_and_used(site):
    """Guards against data older than stated, and against a round for each read with an age."""
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


@at_site
async def test_watermark_is_seen_whatever_the_age(site):
    """Guards against a session that does not read its own writes."""
    site.servers["b"].state.apply_lag_s = site.servers["c"].state.apply_lag_s = 0.05
    for new in range(1, 20):
        written = await site.put("k", new)
        assert value(await site.get("k", watermark=written.position, age=60.0)) == new
    assert site.owner.counters.primary_reads == 0
    assert site.owner.counters.behind_replies <= 4


@at_site
async def test_unknown_watermark_needs_a_round(site):
    """Guards against a resumed session that reads before its own last write."""
    await site.put("k", 0)
    await site.get("k")
    write_at_primary(site, "k", 1)
    await asyncio.sleep(0.1)
    assert value(await site.get("k", watermark=None, age=60.0)) == 1


@at_site
async def test_replica_far_behind_is_not_tried_again(site):
    """Guards against reads that wait for a replica that is 30 s behind."""
    site.servers["b"].state.apply_lag_s = 30.0
    for new in range(1, 50):
        written = await site.put("k", new)
        assert value(await site.get("k", watermark=written.position)) == new
    assert site.count("read.received", "b") <= 3
    assert site.owner.counters.primary_reads == 0


@at_site
async def test_primary_serves_when_all_replicas_are_far_behind(site):
    """Guards against reads that fail, or each wait, when no replica has their position."""
    for name in "bc":
        site.servers[name].state.apply_lag_s = 30.0
    written = await site.put("k", 1)
    for _ in range(5):
        assert value(await site.get("k", watermark=written.position)) == 1
    start = site.loop.time()
    await site.get("k", watermark=written.position)
    assert site.loop.time() - start < 0.02
    assert site.owner.counters.primary_read_reasons["far behind"] >= 5


@at_site
async def test_silent_replica_does_not_hold_a_read_until_its_deadline(site):
    """Guards against reads that end unknown because one replica is paused."""
    await site.put("k", 1)
    for name in "bc":
        site.net.pause(name)
        start = site.loop.time()
        for _ in range(6):
            assert value(await site.get("k", age=60.0, timeout_s=5.0)) == 1
        assert site.loop.time() - start < 4 * member_statements.SILENCE_S
        site.net.resume(name)
        await asyncio.sleep(1.0)


@at_site
async def test_isolated_owner_serves_only_ages_it_has_covered(site):
    """Guards against a read of age 0 from a member that may have been replaced."""
    await site.put("k", 1)
    await site.get("k")
    for name in "bc":
        site.net.isolate(name)
    outcome = await site.get("k")
    assert reason(outcome) == (outcomes.NotRun, outcomes.NotRunReason.NO_MAJORITY)


@at_site
async def test_reads_prefer_the_free_replica(site):
    """Guards against reads that queue at one replica while the other is idle."""
    await site.put("k", 1)
    await asyncio.gather(*(site.get("k", age=60.0) for _ in range(40)))
    counts = [site.count("read.executed", name) for name in "bc"]
    assert min(counts) >= 15 and site.owner.counters.primary_reads == 0


@at_site
async def test_invalid_statement_is_refused_as_not_run(site):
    """Guards against retries of a statement that can never run."""
    outcome = await site.run(Kind.READ, b"no statement", watermark=positions.ZERO)
    assert reason(outcome) == (outcomes.NotRun, outcomes.NotRunReason.INVALID_STATEMENT)
