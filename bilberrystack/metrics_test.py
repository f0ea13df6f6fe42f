"""Tests of the metrics and of the counters that they export."""

import asyncio
import urllib.request

import pytest

from bilberrystack import metrics
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.core import tally
from bilberrystack.proxy import configuration_test as fakes
from bilberrystack.proxy import counted_store
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import operations
from bilberrystack.proxy import supervisor

NOW = 1_800_000_000.0


def make_answer(from_replica):
    return outcomes.Answer(b"", positions.ZERO, "a", from_replica)


def make_snapshot(**fields):
    defaults = {
        "tally": tally.OutcomeCounters(),
        "owners": [],
        "store": counted_store.CountedStore(None),
        "connections": {"callers": 3},
        "member_connections": {"idle": 4},
        "queue_depths": (2, 5),
        "in_flight": 0,
        "open_transactions": 0,
        "configuration_version": 7,
        "serving": True,
        "store_contact_age_s": None,
        "live_instances": 1,
    }
    return metrics.InstanceSnapshot(**{**defaults, **fields})


def test_metrics_server_exports_reads_refusals_and_gauges():
    """Guards against counters that are updated but not exported."""
    counts = tally.OutcomeCounters()
    counts.record_outcome(requests.Kind.READ, make_answer(True), NOW)
    counts.record_outcome(requests.Kind.WRITE, make_answer(False), NOW)
    refusal = outcomes.NotRun(outcomes.NotRunReason.QUEUE_FULL, "")
    counts.record_outcome(requests.Kind.READ, refusal, NOW)
    unknown = outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, "")
    counts.record_outcome(requests.Kind.WRITE, unknown, NOW)
    exported = metrics.Metrics(lambda: make_snapshot(tally=counts))
    exported.observe_primary_change("gap", 0.7)

    def scrape(port):
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as response:
            return response.read().decode().splitlines()

    async def run():
        async with metrics.MetricsServer(exported, "127.0.0.1", 0) as server:
            return await asyncio.to_thread(scrape, server.port)

    lines = asyncio.run(run())
    assert {
        'bilberrystack_reads_total{place="replica"} 1',
        'bilberrystack_refusals_total{reason="QUEUE_FULL"} 1',
        'bilberrystack_unknown_total{reason="CONNECTION_LOST"} 1',
        "bilberrystack_requests_total 4",
        "bilberrystack_queue_depth 7",
        "bilberrystack_queue_depth_max 5",
        "bilberrystack_configuration_version 7",
        'bilberrystack_member_connections{state="idle"} 4',
        'bilberrystack_change_of_primary_seconds_count{phase="gap"} 1.0',
    } <= set(lines)
    minute = counts.history.counts_at(NOW)
    assert (minute.reads, minute.replica_reads, minute.refused, minute.unknown) == (1, 1, 1, 1)


def test_counts_of_ended_owners_are_kept():
    """Guards against counters that decrease when a group moves to another instance."""
    totals = metrics.OwnerTotals()
    first_owner, second_owner = counters.GroupCounters(retries=3), counters.GroupCounters(retries=4)
    first_owner.primary_read_reasons["behind"] += 2
    assert totals.update([first_owner, second_owner])["retries", ""] == 7
    second_owner.retries += 1
    for _ in range(2):
        total = totals.update([second_owner])
        assert (total["retries", ""], total["primary_reads", "behind"]) == (8, 2)


def test_every_exported_owner_count_exists():
    """Guards against an exporter that fails after a counter was renamed."""
    for name in metrics.OWNER_COUNTER_NAMES:
        assert hasattr(counters.GroupCounters(), name)


@pytest.mark.asyncio
async def test_store_calls_are_counted_by_result():
    """Guards against calls to the store that the metrics omit."""
    store = fakes.FakeStore()
    counted = counted_store.CountedStore(store)
    await counted.put("k", b"1234", 0)
    await counted.get("k")
    with pytest.raises(interfaces.VersionConflict):
        await counted.put("k", b"1234", 0)
    store.unavailable = True
    with pytest.raises(interfaces.StoreUnavailable):
        await counted.get("k")
    assert counted.calls == {
        ("put", "ok"): 1,
        ("get", "ok"): 1,
        ("put", "conflict"): 1,
        ("get", "unavailable"): 1,
    }
    assert (counted.sent_bytes, counted.received_bytes) == (8, 4)


def test_gap_includes_the_detection_time_and_first_primary_is_ignored():
    """Guards against gaps that omit the detection time or include the start of a group."""
    recorder = operations.InstanceRecorder()
    change = supervisor.CompletedPrimaryChange("g", "b", "a", 2, "no answer", 1, 0.1, 0.8)
    recorder.record_primary_change(change)
    recorder.record_primary_change(
        supervisor.CompletedPrimaryChange("g", "a", None, 1, "no primary", 1, 0.1)
    )
    assert recorder.outcome_counters.primary_changes == {"unplanned": 1}
    assert [minute.gaps_ms for minute in recorder.outcome_counters.history.minutes_since(0)] == [
        [900]
    ]


def test_primary_keeps_its_age_until_the_term_changes():
    """Guards against a primary age that is reset at each observation."""
    primary_ages = operations.PrimaryAges()

    def view(primary, term):
        return interfaces.GroupView("g", 0, primary, term, positions.ZERO, (), 0, 0, 0, "")

    primary_ages.update([view("a", 1)], 10.0)
    primary_ages.update([view("a", 1)], 12.0)
    assert primary_ages.age_s("g", 15.0) == 5.0
    primary_ages.update([view("a", 2)], 16.0)
    assert primary_ages.age_s("g", 17.0) == 1.0
    primary_ages.update([view(None, 2)], 18.0)
    assert primary_ages.age_s("g", 19.0) is None and primary_ages.age_s("h", 19.0) is None
