"""Load generator: callers in one process that keep a number of statements in flight.

Prints one JSON line with the number of answers and the latencies as an encoded HDR histogram.
"""

import asyncio
import collections.abc
import time
from typing import Literal

import cyclopts
import msgspec
import uvloop
from hdrh import histogram

from bilberrystack import client
from bilberrystack.core import declarations
from bilberrystack.core import positions
from bilberrystack.proxy import member_link
from bilberrystack_standins import statements
from system import large_site

# Upper limit of the latency histogram.
MAX_LATENCY_US = 60_000_000
KEY = "load"

# Sends one statement and returns whether it was answered.
SendStatement = collections.abc.Callable[[], collections.abc.Awaitable[bool]]

app = cyclopts.App(name="load", help=__doc__)


class Result(msgspec.Struct):
    """Measurements of one process.

    Attributes:
      answers: Number of statements that were answered.
      failures: Number of statements with another outcome.
      seconds: Duration of the measurement in seconds.
      latencies: Encoded HDR histogram of the latencies in microseconds.
    """

    answers: int
    failures: int
    seconds: float
    latencies: str


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies in microseconds, with three significant digits."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


async def keep_in_flight(senders: list[SendStatement], warm_up_s: float, seconds: float) -> Result:
    """Repeats each statement, one at a time per sender, and measures after the warm-up.

    Args:
      senders: Functions that send a statement; all run concurrently.
      warm_up_s: Time before the measurement, in seconds.
      seconds: Duration of the measurement in seconds.
    """
    latencies = new_histogram()
    counts = [0, 0]
    measurement_start_s = time.perf_counter() + warm_up_s
    end_s = measurement_start_s + seconds

    async def repeat(send_statement: SendStatement) -> None:
        while (started_at_s := time.perf_counter()) < end_s:
            answered = await send_statement()
            if started_at_s < measurement_start_s:
                continue
            latencies.record_value(max(1, int((time.perf_counter() - started_at_s) * 1e6)))
            counts[0 if answered else 1] += 1

    await asyncio.gather(*(repeat(sender) for sender in senders))
    return Result(counts[0], counts[1], seconds, latencies.encode().decode())


async def through_proxy(
    address: str, groups: list[str], kind: str, *, in_flight: int, warm_up_s: float, seconds: float
) -> Result:
    """Measures statements through a proxy, with one session for each statement in flight.

    Args:
      address: Callers' address of the proxy.
      groups: Database groups to use in turn.
      kind: "read" or "write".
      in_flight: Number of statements in flight.
      warm_up_s: Time before the measurement, in seconds.
      seconds: Duration of the measurement in seconds.
    """
    async with client.connect([address], large_site.CALLER, large_site.CALLER_SECRET) as connected:
        senders = []
        for number in range(in_flight):
            session = await connected.open_session()
            senders.append(_session_sender(session, groups[number % len(groups)], kind))
        return await keep_in_flight(senders, warm_up_s, seconds)


def _session_sender(session: client.Session, group: str, kind: str) -> SendStatement:
    async def read() -> bool:
        outcome = await session.read(group, statements.get(KEY), max_age_s=60.0)
        return isinstance(outcome, client.Answer)

    async def write() -> bool:
        outcome = await session.write(group, statements.put(KEY, 1))
        return isinstance(outcome, client.Answer)

    return read if kind == "read" else write


async def without_proxy(
    addresses: list[str], in_flight: int, warm_up_s: float, seconds: float
) -> Result:
    """Measures reads at members without a proxy, with one connection for each read in flight.

    Args:
      addresses: Addresses of the members to use in turn.
      in_flight: Number of reads in flight.
      warm_up_s: Time before the measurement, in seconds.
      seconds: Duration of the measurement in seconds.
    """
    senders = []
    for number in range(in_flight):
        address = addresses[number % len(addresses)]
        declaration = declarations.MemberDeclaration("m", address, "", 1, 1)
        connection = await member_link.open_member(declaration, "load").connect()

        async def read(data_connection: member_link.DataConnection = connection) -> bool:
            await data_connection.read(statements.get(KEY), positions.ZERO, 0.0)
            return True

        senders.append(read)
    return await keep_in_flight(senders, warm_up_s, seconds)


@app.default
def main(
    *,
    target: list[str],
    groups: list[str] | None = None,
    kind: Literal["read", "write", "direct"] = "read",
    in_flight: int = 1,
    warm_up_s: float = 1.0,
    seconds: float = 5.0,
) -> None:
    """Generates load and prints the measurements.

    Args:
      target: Address of the proxy, or addresses of the members for kind "direct".
      groups: Database groups to use in turn.
      kind: Kind of statements; "direct" sends reads to the members without a proxy.
      in_flight: Number of statements in flight.
      warm_up_s: Time before the measurement, in seconds.
      seconds: Duration of the measurement in seconds.
    """
    if kind == "direct":
        measurement = without_proxy(target, in_flight, warm_up_s, seconds)
    else:
        measurement = through_proxy(
            target[0],
            groups or [],
            kind,
            in_flight=in_flight,
            warm_up_s=warm_up_s,
            seconds=seconds,
        )
    print(msgspec.json.encode(uvloop.run(measurement)).decode(), flush=True)


if __name__ == "__main__":
    app()
