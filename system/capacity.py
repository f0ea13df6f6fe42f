"""Measures the resource use of idle proxies at several site sizes and fits lines to it."""

import asyncio
import dataclasses
import pathlib
import statistics

import cyclopts
import msgspec
import psutil

from system import large_site

OUTPUT = pathlib.Path("build/capacity.json")

# Site sizes (proxies, groups, failure domains). Each series varies one factor: owner roles per
# proxy, proxies, or failure domains.
SIZES_BY_GROUPS = [(4, 4, 3), (4, 12, 3), (4, 24, 3), (4, 48, 3)]
SIZES_BY_PROXIES = [(2, 6, 3), (4, 12, 3), (8, 24, 3), (16, 48, 3)]
SIZES_BY_DOMAINS = [(11, 11, 3), (11, 11, 6), (11, 11, 11)]

# Time from the start of a site to its measurement.
SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Resource use of an idle proxy, as the mean over all proxies of a site.

    Attributes:
      proxies: Number of proxies.
      groups: Number of database groups.
      domains: Number of failure domains.
      owned_per_proxy: Number of owner roles per proxy, of any rank.
      core_share: Processor time as a share of one core.
      memory_mb: Resident memory of the process, in megabytes.
      bytes_per_s: Bytes read and written on sockets and pipes per second.
      store_calls_per_s: Calls to the store per second, from all proxies together.
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
    """Starts a site, lets it idle and returns the resource use of its proxies.

    Args:
      proxy_count: Number of proxies.
      group_count: Number of database groups.
      domains: Number of failure domains.
      seconds: Duration of the measurement in seconds.
    """
    async with large_site.LargeSite(domains) as site:
        await site.start(proxy_count, group_count)
        await asyncio.sleep(SETTLE_S)
        processes = [psutil.Process(proxy.pid) for proxy in site.proxies]
        calls_before = sum((await site.store.call_counts()).values())
        usage_before = [_usage(process) for process in processes]
        await asyncio.sleep(seconds)
        usage_after = [_usage(process) for process in processes]
        calls = sum((await site.store.call_counts()).values()) - calls_before
        memory_mb = statistics.fmean(process.memory_info().rss for process in processes) / 2**20
    processor_s = statistics.fmean(
        after[0] - before[0] for after, before in zip(usage_after, usage_before, strict=True)
    )
    traffic_bytes = statistics.fmean(
        after[1] - before[1] for after, before in zip(usage_after, usage_before, strict=True)
    )
    return Cost(
        proxies=proxy_count,
        groups=group_count,
        domains=domains,
        owned_per_proxy=3 * group_count / proxy_count,
        core_share=processor_s / seconds,
        memory_mb=memory_mb,
        bytes_per_s=traffic_bytes / seconds,
        store_calls_per_s=calls / seconds,
    )


def _usage(process: psutil.Process) -> tuple[float, float]:
    """Returns the processor seconds and the bytes read and written by a process.

    The bytes include those of sockets, because uvloop reads sockets with read().
    """
    times = process.cpu_times()
    counters = process.io_counters()
    return times.user + times.system, counters.read_chars + counters.write_chars


def fit(costs: list[Cost], factor: str, quantity: str) -> tuple[float, float]:
    """Fits a line to a measured quantity over a factor.

    Args:
      costs: The measurements.
      factor: Attribute of Cost for the x axis.
      quantity: Attribute of Cost for the y axis.

    Returns:
      The slope and the intercept.
    """
    line = statistics.linear_regression(
        [getattr(cost, factor) for cost in costs], [getattr(cost, quantity) for cost in costs]
    )
    return line.slope, line.intercept


app = cyclopts.App(name="capacity", help=__doc__)


@app.default
def main(*, seconds: float = 20.0) -> None:
    """Measures all sizes, prints the results and writes them to build/capacity.json.

    Args:
      seconds: Duration of the measurement of each size, in seconds.
    """
    series = {
        "owned_per_proxy": SIZES_BY_GROUPS,
        "proxies": SIZES_BY_PROXIES,
        "domains": SIZES_BY_DOMAINS,
    }
    results: dict[str, list[Cost]] = {}
    for factor, sizes in series.items():
        results[factor] = []
        for size in sizes:
            cost = asyncio.run(measure(*size, seconds))
            results[factor].append(cost)
            _print_cost(cost)
    lines = {
        f"{quantity} by {factor}": fit(costs, factor, quantity)
        for factor, costs in results.items()
        for quantity in ("core_share", "memory_mb", "bytes_per_s")
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
