"""Measure the targets of design 1.3 on a paused clock: `python -m faults.measure`.

The figures consist of the simulated network delays and of the service time in the profile; they do
not include the execution time of the proxy's own code. Figures that need real processes are null.
"""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import json
import pathlib
import random
from typing import Any

import cyclopts

from bilberrystack.core import outcomes
from bilberrystack.core import requests
from faults import checker
from faults import fleet
from faults import history
from faults import mutations
from faults import naive
from faults import network
from faults import paused_loop
from faults import programmes

PROFILES = {"addis": network.ADDIS, "sierra": network.SIERRA}
REPLICA_LAGS_S = (0.005, 0.05, 0.5)
LARGE_LAG_S = 30.0
READ_SESSION_COUNT = 12
READ_STEPS_PER_SESSION = 150
READ_MEAN_THINK_TIME_S = 0.05
WRITE_SESSION_COUNT = 4
PAUSES_PER_RUN = 10
MAX_PAUSE_S = 0.5
OUTPUT_PATH = pathlib.Path("build/measure.json")

PRODUCT = "bilberrystack"
PROXIES: dict[str, naive.Policy | None] = {
    PRODUCT: None,
    "all at the primary": naive.Policy.PRIMARY,
    "replicas if never wrote": naive.Policy.REPLICAS_IF_NEVER_WROTE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFigures:
    """Figures of the reads of one run.

    Attributes:
      profile: Name of the site.
      lag: Kind of the replicas' lag, and its length.
      proxy: Proxy that served the reads, a name of PROXIES.
      read_count: Number of answered reads.
      replica_read_count: Number of reads that replicas served.
      latencies_ms: Latencies of the reads in milliseconds, sorted.
      violation_count: Number of violated guarantees; the baseline proxies violate some.
    """

    profile: str
    lag: str
    proxy: str
    read_count: int
    replica_read_count: int
    latencies_ms: list[float]
    violation_count: int

    @property
    def replica_share(self) -> float:
        return self.replica_read_count / max(1, self.read_count)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceGap:
    """The interruption of writes by one change of primary.

    Attributes:
      duration_s: Time without acknowledged writes; None if no write succeeded afterwards.
      violation_count: Number of violated guarantees in the run.
    """

    duration_s: float | None
    violation_count: int


def percentile(values: collections.abc.Sequence[float], fraction: float) -> float:
    """Return a percentile of sorted values, given as a fraction; 0 if there are no values."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0


def measure_reads(profile: str, lag: str, lag_s: float, proxy: str) -> ReadFigures:
    """Run the read workload at one replica lag through one proxy.

    Args:
      profile: Name of the site.
      lag: "apply" or "receive" for this kind of lag at all replicas; "one" for an apply lag at one
        replica.
      lag_s: Lag in seconds.
      proxy: A name of PROXIES.
    """
    return paused_loop.run(lambda: _measure_reads(profile, lag, lag_s, proxy))


async def _measure_reads(profile: str, lag: str, lag_s: float, proxy: str) -> ReadFigures:
    simulation = fleet.Simulation(
        PROFILES[profile], 1, fleet.SimulationSize(group_count=PROFILES[profile].groups)
    )
    policy = PROXIES[proxy]
    await (naive.start_simulation(simulation, policy) if policy else simulation.start())
    for servers in simulation.servers_by_group.values():
        replicas = [server for server in servers.values() if not server.state.is_primary]
        for server in replicas[:1] if lag == "one" else replicas:
            if lag == "receive":
                server.receive_lag_s = lag_s
            else:
                server.set_apply_lag(lag_s)
    rng = random.Random(2)
    simulation.run_clients(
        programmes.random_programme(
            rng,
            READ_STEPS_PER_SESSION,
            READ_MEAN_THINK_TIME_S,
            groups=len(simulation.servers_by_group),
            weights=programmes.READ_80_PERCENT_WEIGHTS,
            roam_share=0.0 if policy else 0.2,
        )
        for _ in range(READ_SESSION_COUNT)
    )
    await simulation.wait_until(
        lambda: all(task.done() for task in simulation.session_tasks), 120.0
    )
    record = simulation.collect() if policy else await simulation.finish()
    answered = [
        call
        for call in record.calls
        if call.kind is requests.Kind.READ and isinstance(call.outcome, outcomes.Answer)
    ]
    from_replica = [call.outcome.from_replica for call in answered]
    latencies = sorted(1000 * (call.finished_at - call.sent_at) for call in answered)
    violations = len(checker.check(record))
    label = f"{lag} {lag_s:g} s"
    return ReadFigures(
        profile, label, proxy, len(from_replica), sum(from_replica), latencies, violations
    )


def measure_gap(profile: str, kind: str, seed: int) -> ServiceGap:
    """Measure the interruption of writes by one change of primary.

    Args:
      profile: Name of the site.
      kind: Cause of the change, a key of GAP_METRICS.
      seed: Seed of the run.
    """
    return paused_loop.run(lambda: _measure_gap(profile, kind, seed))


async def _measure_gap(profile: str, kind: str, seed: int) -> ServiceGap:
    simulation = fleet.Simulation(PROFILES[profile], seed)
    await simulation.start()
    rng = random.Random(seed)
    simulation.run_clients(
        programmes.random_programme(
            rng, 400, 0.005, weights=programmes.WRITE_ONLY_WEIGHTS, overlap_share=0.0
        )
        for _ in range(WRITE_SESSION_COUNT)
    )
    await asyncio.sleep(0.5 + rng.random())
    if kind == "isolated, store down":
        simulation.store.is_down = True
        await asyncio.sleep(0.5)
    primary = simulation.primary("g0")
    assert primary is not None
    term, start = primary.state.promised_term, simulation.now
    if kind == "planned":
        primary.set_leaving()
        simulation.schedule_list_update()
    else:
        simulation.isolate(primary.process)
    await simulation.wait_until(
        lambda: _first_write_after_term(simulation.record, term) is not None, 20.0
    )
    resumed_at = _first_write_after_term(simulation.record, term)
    if kind == "planned":
        start = max(start, _last_write_of_term(simulation.record, term))
    for task in simulation.session_tasks:
        task.cancel()
    simulation.record.calls = [call for call in simulation.record.calls if call.outcome is not None]
    simulation.session_tasks.clear()
    violations = len(checker.check(await simulation.finish()))
    return ServiceGap(None if resumed_at is None else resumed_at - start, violations)


def _first_write_after_term(record: history.History, term: int) -> float | None:
    """Return when the first write of a later term was acknowledged; None if there is none."""
    acknowledged_at = [
        finished_at for finished_at, position_term in _acknowledged(record) if position_term > term
    ]
    return min(acknowledged_at, default=None)


def _last_write_of_term(record: history.History, term: int) -> float:
    return max(
        (
            finished_at
            for finished_at, position_term in _acknowledged(record)
            if position_term == term
        )
    )


def _acknowledged(record: history.History) -> collections.abc.Iterator[tuple[float, int]]:
    for call in record.calls:
        if isinstance(call.outcome, outcomes.Answer) and call.finished_at is not None:
            yield call.finished_at, call.outcome.position.term


def count_false_failovers(profile: str, seed: int) -> tuple[int, int, int]:
    """Pause the primary repeatedly for at most MAX_PAUSE_S.

    Returns:
      The numbers of pauses, of changes of primary that they caused, and of violated guarantees.
    """
    return paused_loop.run(lambda: _count_false_failovers(profile, seed))


async def _count_false_failovers(profile: str, seed: int) -> tuple[int, int, int]:
    simulation = fleet.Simulation(PROFILES[profile], seed)
    await simulation.start()
    rng = random.Random(seed)
    simulation.run_clients(
        programmes.random_programme(rng, 150, 0.1, weights=programmes.MIXED_WEIGHTS)
        for _ in range(WRITE_SESSION_COUNT)
    )
    primary = simulation.primary("g0")
    assert primary is not None
    term = max(server.state.promised_term for server in simulation.servers_by_group["g0"].values())
    for _ in range(PAUSES_PER_RUN):
        await asyncio.sleep(0.5 + rng.random())
        simulation.pause(primary.process)
        await asyncio.sleep(MAX_PAUSE_S * (0.6 + 0.4 * rng.random()))
        simulation.resume(primary.process)
    await asyncio.sleep(2.0)
    final_term = max(
        server.state.promised_term for server in simulation.servers_by_group["g0"].values()
    )
    return PAUSES_PER_RUN, final_term - term, len(checker.check(await simulation.finish()))


def measure_writes(profile: str, early_ack: bool) -> list[float]:
    """Return the sorted latencies of acknowledged writes in a run without faults, in milliseconds.

    Args:
      profile: Name of the site.
      early_ack: Whether writes are acknowledged before a majority has stored them.
    """
    with mutations.acknowledge_before_majority() if early_ack else mutations.no_mutation():
        return paused_loop.run(lambda: _measure_writes(profile))


async def _measure_writes(profile: str) -> list[float]:
    simulation = fleet.Simulation(PROFILES[profile], 3)
    await simulation.start()
    rng = random.Random(3)
    simulation.run_clients(
        programmes.random_programme(
            rng, 200, 0.05, weights=programmes.WRITE_ONLY_WEIGHTS, overlap_share=0.0
        )
        for _ in range(WRITE_SESSION_COUNT)
    )
    await simulation.wait_until(
        lambda: all(task.done() for task in simulation.session_tasks), 120.0
    )
    calls = [call for call in simulation.record.calls if isinstance(call.outcome, outcomes.Answer)]
    return sorted(1000 * (call.finished_at - call.sent_at) for call in calls)


@dataclasses.dataclass(slots=True)
class Report:
    """Prints the tables and collects the figures.

    Attributes:
      figures: Figures by metric name.
      violations: Number of violated guarantees in the runs of the product.
    """

    figures: dict[str, Any]
    violations: int = 0

    def print_reads(self, all_figures: list[ReadFigures]) -> None:
        print(
            f"{'site':8}{'lag':16}{'proxy':26}{'reads':>7}{'replica':>9}{'p50 ms':>9}{'p99 ms':>9}"
        )
        for figures in all_figures:
            p50, p99 = percentile(figures.latencies_ms, 0.5), percentile(figures.latencies_ms, 0.99)
            print(
                f"{figures.profile:8}{figures.lag:16}{figures.proxy:26}"
                f"{figures.read_count:7}{figures.replica_share:9.3f}"
                f"{p50:9.2f}{p99:9.2f}  violations {figures.violation_count}"
            )
            if figures.proxy == PRODUCT:
                self.violations += figures.violation_count
        for profile in PROFILES:
            # The target of 95% applies to lags up to 50 ms; the figure is the minimum of these.
            shares = [
                figures.replica_share
                for figures in all_figures
                if figures.profile == profile
                and figures.proxy == PRODUCT
                and figures.lag.endswith(("0.005 s", "0.05 s"))
            ]
            self.figures[f"{profile}.replica_read_share"] = round(min(shares), 4)

    def print_gaps(self, profile: str, kind: str, key: str, gaps: list[ServiceGap]) -> None:
        seconds = sorted(gap.duration_s for gap in gaps if gap.duration_s is not None)
        self.violations += sum(gap.violation_count for gap in gaps)
        unresumed_count = len(gaps) - len(seconds)
        p99 = percentile(seconds, 0.99)
        print(
            f"{profile:8}{kind:24}{len(gaps)} changes, "
            f"{unresumed_count} without a write afterwards: "
            f"min {percentile(seconds, 0):.3f}, median {percentile(seconds, 0.5):.3f}, "
            f"p99 {p99:.3f}, max {percentile(seconds, 1):.3f} s"
        )
        self.figures[f"{profile}.{key}"] = None if unresumed_count else round(p99, 4)


GAP_METRICS = {
    "isolated": "failover_gap_p99_s",
    "isolated, store down": "store_down_failover_gap_p99_s",
    "planned": "planned_gap_p99_s",
}

APP = cyclopts.App(name="measure", help="Measures the targets on the paused clock.")


@APP.default
def main(*, seeds: int = 200, pause_seeds: int = 50, processes: int = 2) -> None:
    """Print the tables and write build/measure.json.

    Args:
      seeds: Number of changes of primary of each kind per site.
      pause_seeds: Number of runs with pauses of the primary per site.
      processes: Number of worker processes.
    """
    report = Report({})
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        lags = [(kind, lag) for kind in ("apply", "receive") for lag in REPLICA_LAGS_S]
        lags.append(("one", LARGE_LAG_S))
        cases = [
            (profile, kind, lag, proxy)
            for profile in PROFILES
            for kind, lag in lags
            for proxy in PROXIES
        ]
        report.print_reads(list(pool.map(measure_reads, *zip(*cases, strict=True))))
        for kind, key in GAP_METRICS.items():
            for profile in PROFILES:
                arguments = [(profile, kind, seed) for seed in range(seeds)]
                gaps = list(pool.map(measure_gap, *zip(*arguments, strict=True), chunksize=8))
                report.print_gaps(profile, kind, key, gaps)
        pauses = [(profile, seed) for profile in PROFILES for seed in range(pause_seeds)]
        pause_results = list(pool.map(count_false_failovers, *zip(*pauses, strict=True)))
    report.figures["false_failovers"] = sum(changes for _, changes, _ in pause_results)
    report.violations += sum(violation_count for _, _, violation_count in pause_results)
    print(
        f"{sum(count for count, _, _ in pause_results)} pauses of at most 500 ms caused "
        f"{report.figures['false_failovers']} changes of primary"
    )
    _print_writes(report)
    for key in ("proxy_statements_per_s", "proxy_added_p50_ms", "bytes_per_idle_connection"):
        report.figures[key] = None
    report.figures["violations"] = report.violations
    print(f"violations in all runs of the product: {report.violations}")
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(report.figures, indent=2, sort_keys=True) + "\n")


def _print_writes(report: Report) -> None:
    costs = []
    for profile in PROFILES:
        majority_ms, early_ack_ms = measure_writes(profile, False), measure_writes(profile, True)
        cost = [
            percentile(majority_ms, fraction) - percentile(early_ack_ms, fraction)
            for fraction in (0.5, 0.99)
        ]
        costs.append(cost[0])
        print(
            f"{profile:8}writes: majority p50 {percentile(majority_ms, 0.5):.2f} "
            f"p99 {percentile(majority_ms, 0.99):.2f} ms, "
            f"at once p50 {percentile(early_ack_ms, 0.5):.2f} "
            f"p99 {percentile(early_ack_ms, 0.99):.2f} ms, "
            f"cost p50 {cost[0]:.2f} p99 {cost[1]:.2f} ms"
        )
    report.figures["majority_ack_cost_p50_ms"] = round(max(costs), 3)


if __name__ == "__main__":
    APP()
