"""Measures one proxy process: throughput, added latency, and memory of idle connections.

All loads run on one machine in one run, together with a load that uses the members directly.
"""

import asyncio
import asyncio.subprocess
import contextlib
import dataclasses
import pathlib
import sys
from typing import Any

import cyclopts
import msgspec
import psutil
from hdrh import histogram

from bilberrystack import client
from system import large_site
from system import load

OUTPUT = pathlib.Path("build/measure.json")

# Members are large enough for the proxy to be the bottleneck.
SLOTS = 16
CONNECTIONS = 64
GROUP_COUNT = 6
LOAD_PROCESSES = 4

# Number of statements in flight of each load process.
IN_FLIGHT = 32

# Numbers of idle connections at which the memory is measured.
IDLE_CONNECTION_COUNTS = (1000, 8800)

app = cyclopts.App(name="throughput", help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Measurements of one load.

    Attributes:
      name: Description of the load.
      statements_per_s: Statements answered per second.
      p50_ms: Median latency in milliseconds.
      p99_ms: 99th percentile of the latency in milliseconds.
      failures: Number of statements that were not answered.
      core_share: Processor time of the proxy as a share of one core; 0 without a proxy.
    """

    name: str
    statements_per_s: float
    p50_ms: float
    p99_ms: float
    failures: int
    core_share: float


async def run_load(
    name: str, process: psutil.Process | None, processes: int, seconds: float, **options: Any
) -> LoadResult:
    """Runs load processes and combines their measurements.

    Args:
      name: Description of the load.
      process: The proxy, whose processor time is measured; None without a proxy.
      processes: Number of load processes.
      seconds: Duration of the measurement in seconds.
      options: Flags of the load processes by parameter name.
    """
    warm_up_s = 1.0
    arguments = _arguments({**options, "warm_up_s": warm_up_s, "seconds": seconds})
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", load.__name__, *arguments, stdout=asyncio.subprocess.PIPE
        )
        for _ in range(processes)
    ]
    await asyncio.sleep(warm_up_s + seconds / 4)
    core_share = 0.0 if process is None else await _core_share(process, seconds / 2)
    outputs = [(await child.communicate())[0] for child in children]
    results = [msgspec.json.decode(output, type=load.Result) for output in outputs]
    latencies = load.new_histogram()
    for result in results:
        latencies.add(histogram.HdrHistogram.decode(result.latencies))
    return LoadResult(
        name=name,
        statements_per_s=sum(result.answers / result.seconds for result in results),
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        failures=sum(result.failures for result in results),
        core_share=core_share,
    )


def _arguments(options: dict[str, Any]) -> list[str]:
    arguments = []
    for name, value in options.items():
        values = value if isinstance(value, list) else [value]
        for single_value in values:
            arguments += [f"--{name.replace('_', '-')}", str(single_value)]
    return arguments


async def _core_share(process: psutil.Process, seconds: float) -> float:
    processor_s_before = sum(process.cpu_times()[:2])
    await asyncio.sleep(seconds)
    return (sum(process.cpu_times()[:2]) - processor_s_before) / seconds


async def idle_memory(address: str, process: psutil.Process) -> dict[int, float]:
    """Returns the proxy's memory per idle caller connection in bytes, by number of connections."""
    bytes_before = process.memory_info().rss
    bytes_per_connection = {}
    async with contextlib.AsyncExitStack() as stack:
        for count in range(1, max(IDLE_CONNECTION_COUNTS) + 1):
            caller_client = client.connect([address], large_site.CALLER, large_site.CALLER_SECRET)
            connected = await stack.enter_async_context(caller_client)
            await connected.open_session()
            if count in IDLE_CONNECTION_COUNTS:
                bytes_per_connection[count] = (process.memory_info().rss - bytes_before) / count
    return bytes_per_connection


async def measure(seconds: float) -> tuple[list[LoadResult], dict[int, float]]:
    """Runs all loads against one proxy and its members.

    Args:
      seconds: Duration of the measurement of each load, in seconds.

    Returns:
      The results of the loads, and the bytes per idle connection by number of connections.
    """
    async with large_site.LargeSite(3, SLOTS, CONNECTIONS, members_per_farm=3) as site:
        await site.start(1, GROUP_COUNT)
        await asyncio.sleep(3)
        proxy = site.proxies[0]
        process = psutil.Process(proxy.pid)
        target = proxy.ready.callers
        memory = await idle_memory(target, process)
        results = []
        direct = {"target": site.addresses, "kind": "direct", "in_flight": 1}
        results.append(await run_load("direct reads, 1 in flight", None, 1, seconds, **direct))
        for kind, processes, in_flight in [
            ("read", 1, 1),
            ("write", 1, 1),
            ("read", LOAD_PROCESSES, IN_FLIGHT),
            ("write", LOAD_PROCESSES, IN_FLIGHT),
        ]:
            name = f"proxy {kind}s, {processes * in_flight} in flight"
            options = {"target": target, "kind": kind, "in_flight": in_flight}
            options["groups"] = site.groups
            results.append(await run_load(name, process, processes, seconds, **options))
    return results, memory


@app.default
def main(*, seconds: float = 6.0) -> None:
    """Measures, prints the results and adds them to build/measure.json.

    Args:
      seconds: Duration of the measurement of each load, in seconds.
    """
    results, memory = asyncio.run(measure(seconds))
    for result in results:
        print(
            f"{result.name:32} {result.statements_per_s:8.0f}/s"
            f"  p50 {result.p50_ms:6.2f} ms  p99 {result.p99_ms:6.2f} ms"
            f"  proxy {result.core_share:4.0%} of a core  failures {result.failures}"
        )
    for count, size in memory.items():
        print(f"{count} idle caller connections: {size:.0f} bytes each")
    stored_figures = msgspec.json.decode(OUTPUT.read_bytes()) if OUTPUT.exists() else {}
    direct, single_read, *_others = results
    stored_figures["proxy_statements_per_s"] = results[3].statements_per_s
    stored_figures["proxy_added_p50_ms"] = single_read.p50_ms - direct.p50_ms
    stored_figures["bytes_per_idle_connection"] = memory[max(memory)]
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(stored_figures)))


if __name__ == "__main__":
    app()
