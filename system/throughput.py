"""Measures what one proxy process does: statements, added latency, memory of idle connections.

Everything is measured in one run on one machine, beside direct use of the members.
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

# Members are made large, so that the proxy is what limits.
SLOTS = 16
CONNECTIONS = 64
GROUPS = 6
LOAD_PROCESSES = 4
IN_FLIGHT = 32
IDLE_CONNECTIONS = (1000, 8800)

app = cyclopts.App(name="throughput", help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured load.

    Attributes:
      name: What was measured.
      per_s: Statements answered per second.
      p50_ms: Median latency in milliseconds.
      p99_ms: 99th percentile of the latency in milliseconds.
      failures: Statements that were not answered.
      core_share: Processor time of the proxy as a share of one core; 0 without a proxy.
    """

    name: str
    per_s: float
    p50_ms: float
    p99_ms: float
    failures: int
    core_share: float


async def run_load(
    name: str, process: psutil.Process | None, processes: int, seconds: float, **options: Any
) -> Figure:
    """Runs load processes and adds up what they measured."""
    warm_up_s = 1.0
    arguments = _arguments({**options, "warm_up_s": warm_up_s, "seconds": seconds})
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", load.__name__, *arguments, stdout=asyncio.subprocess.PIPE
        )
        for _ in range(processes)
    ]
    await asyncio.sleep(warm_up_s + seconds / 4)
    share = 0.0 if process is None else await _core_share(process, seconds / 2)
    outputs = [(await child.communicate())[0] for child in children]
    results = [msgspec.json.decode(output, type=load.Result) for output in outputs]
    latencies = load.new_histogram()
    for one in results:
        latencies.add(histogram.HdrHistogram.decode(one.latencies))
    return Figure(
        name=name,
        per_s=sum(one.answers / one.seconds for one in results),
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        failures=sum(one.failures for one in results),
        core_share=share,
    )


def _arguments(options: dict[str, Any]) -> list[str]:
    arguments = []
    for name, value in options.items():
        values = value if isinstance(value, list) else [value]
        for one in values:
            arguments += [f"--{name.replace('_', '-')}", str(one)]
    return arguments


async def _core_share(process: psutil.Process, seconds: float) -> float:
    before = sum(process.cpu_times()[:2])
    await asyncio.sleep(seconds)
    return (sum(process.cpu_times()[:2]) - before) / seconds


async def idle_memory(address: str, process: psutil.Process) -> dict[int, float]:
    """Returns the proxy's bytes for each idle caller connection, by their number."""
    before = process.memory_info().rss
    found = {}
    async with contextlib.AsyncExitStack() as stack:
        for count in range(1, max(IDLE_CONNECTIONS) + 1):
            one = client.connect([address], large_site.CALLER, large_site.CALLER_SECRET)
            connected = await stack.enter_async_context(one)
            await connected.open_session()
            if count in IDLE_CONNECTIONS:
                found[count] = (process.memory_info().rss - before) / count
    return found


async def measure(seconds: float) -> tuple[list[Figure], dict[int, float]]:
    """Runs all loads against one proxy and its members."""
    async with large_site.LargeSite(3, SLOTS, CONNECTIONS, members_per_farm=3) as site:
        await site.start(1, GROUPS)
        await asyncio.sleep(3)
        proxy = site.proxies[0]
        process = psutil.Process(proxy.pid)
        target = proxy.ready.callers
        memory = await idle_memory(target, process)
        figures = []
        direct = {"target": site.addresses, "kind": "direct", "in_flight": 1}
        figures.append(await run_load("direct reads, 1 in flight", None, 1, seconds, **direct))
        for kind, processes, in_flight in [
            ("read", 1, 1),
            ("write", 1, 1),
            ("read", LOAD_PROCESSES, IN_FLIGHT),
            ("write", LOAD_PROCESSES, IN_FLIGHT),
        ]:
            name = f"proxy {kind}s, {processes * in_flight} in flight"
            options = {"target": target, "kind": kind, "in_flight": in_flight}
            options["groups"] = site.groups
            figures.append(await run_load(name, process, processes, seconds, **options))
    return figures, memory


@app.default
def main(*, seconds: float = 6.0) -> None:
    """Measures, prints the figures and adds them to build/measure.json.

    Args:
      seconds: How long each load is measured.
    """
    figures, memory = asyncio.run(measure(seconds))
    for one in figures:
        print(
            f"{one.name:32} {one.per_s:8.0f}/s  p50 {one.p50_ms:6.2f} ms  p99 {one.p99_ms:6.2f} ms"
            f"  proxy {one.core_share:4.0%} of a core  failures {one.failures}"
        )
    for count, size in memory.items():
        print(f"{count} idle caller connections: {size:.0f} bytes each")
    known = msgspec.json.decode(OUTPUT.read_bytes()) if OUTPUT.exists() else {}
    direct, single, *_others = figures
    known["proxy_statements_per_s"] = figures[3].per_s
    known["proxy_added_p50_ms"] = single.p50_ms - direct.p50_ms
    known["bytes_per_idle_connection"] = memory[max(memory)]
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(known)))


if __name__ == "__main__":
    app()
