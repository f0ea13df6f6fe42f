"""Measures what control costs an idle proxy at several sizes and fits lines to it."""

import asyncio
import dataclasses
import pathlib
import statistics

import cyclopts
import msgspec
import psutil

from system import large_site

OUTPUT = pathlib.Path("build/capacity.json")

# One factor is varied at a time: (proxies, groups, failure domains).
BY_GROUPS = [(4, 4, 3), (4, 12, 3), (4, 24, 3), (4, 48, 3)]
BY_PROXIES = [(2, 6, 3), (4, 12, 3), (8, 24, 3), (16, 48, 3)]
BY_DOMAINS = [(11, 11, 3), (11, 11, 6), (11, 11, 11)]

SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What an idle proxy costs, the mean over all proxies of a site.

    Attributes:
      proxies: The number of proxies.
      groups: The number of database groups.
      domains: The number of failure domains.
      owned_per_proxy: Owner roles per proxy, of any rank.
      core_share: Processor time as a share of one core.
      memory_mb: Resident memory of the process, in megabytes.
      bytes_per_s: Bytes read and written on sockets and pipes per second.
      store_calls_per_s: Calls of the store per second, of all proxies together.
    """

    proxies: int
    groups: int
    domains: int
    owned_per_proxy: float
    core_share: float
    memory_mb: float
    bytes_per_s: float
    store_calls_per_s: float


async def measure(proxy_count: int, group_count: int, domains: int, seconds: float) -> Cost:
    """Runs one idle site and returns its cost."""
    async with large_site.LargeSite(domains) as site:
        await site.start(proxy_count, group_count)
        await asyncio.sleep(SETTLE_S)
        watched = [psutil.Process(proxy.pid) for proxy in site.proxies]
        calls_before = sum((await site.store.call_counts()).values())
        before = [_usage(one) for one in watched]
        await asyncio.sleep(seconds)
        after = [_usage(one) for one in watched]
        calls = sum((await site.store.call_counts()).values()) - calls_before
        memory = statistics.fmean(one.memory_info().rss for one in watched) / 2**20
    processor_s = statistics.fmean(a[0] - b[0] for a, b in zip(after, before, strict=True))
    traffic = statistics.fmean(a[1] - b[1] for a, b in zip(after, before, strict=True))
    return Cost(
        proxies=proxy_count,
        groups=group_count,
        domains=domains,
        owned_per_proxy=3 * group_count / proxy_count,
        core_share=processor_s / seconds,
        memory_mb=memory,
        bytes_per_s=traffic / seconds,
        store_calls_per_s=calls / seconds,
    )


def _usage(process: psutil.Process) -> tuple[float, float]:
    """Returns processor seconds and bytes read and written; uvloop reads sockets with read()."""
    times = process.cpu_times()
    counters = process.io_counters()
    return times.user + times.system, counters.read_chars + counters.write_chars


def fit(costs: list[Cost], by: str, what: str) -> tuple[float, float]:
    """Returns slope and intercept of one cost over one factor."""
    line = statistics.linear_regression(
        [getattr(one, by) for one in costs], [getattr(one, what) for one in costs]
    )
    return line.slope, line.intercept


app = cyclopts.App(name="capacity", help=__doc__)


@app.default
def main(*, seconds: float = 20.0) -> None:
    """Measures all sizes, prints the costs and the lines, and writes them to build/capacity.json.

    Args:
      seconds: How long each size is measured.
    """
    series = {"owned_per_proxy": BY_GROUPS, "proxies": BY_PROXIES, "domains": BY_DOMAINS}
    results: dict[str, list[Cost]] = {}
    for factor, sizes in series.items():
        results[factor] = []
        for size in sizes:
            cost = asyncio.run(measure(*size, seconds))
            results[factor].append(cost)
            _print_cost(cost)
    lines = {
        f"{what} by {factor}": fit(costs, factor, what)
        for factor, costs in results.items()
        for what in ("core_share", "memory_mb", "bytes_per_s")
    }
    for name, (slope, intercept) in lines.items():
        print(f"{name}: {intercept:.5g} + {slope:.5g} each")
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.encode({"costs": results, "lines": lines}))


def _print_cost(cost: Cost) -> None:
    print(
        f"{cost.proxies:3} proxies {cost.groups:3} groups {cost.domains:2} domains: "
        f"{cost.core_share:.2%} of a core, {cost.memory_mb:.1f} MB, "
        f"{cost.bytes_per_s:.0f} B/s, store {cost.store_calls_per_s:.2f}/s",
        flush=True,
    )


if __name__ == "__main__":
    app()
