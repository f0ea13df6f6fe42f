"""One process of callers that keeps a number of statements in flight and counts the answers.

Prints one JSON line with the count of answers and the latencies as an encoded HDR histogram.
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

# Latencies are kept in microseconds, up to a minute, with three digits.
MAX_LATENCY_US = 60_000_000
KEY = "load"

Statement = collections.abc.Callable[[], collections.abc.Awaitable[bool]]

app = cyclopts.App(name="load", help=__doc__)


class Result(msgspec.Struct):
    """What one process measured.

    Attributes:
      answers: Statements that were answered.
      failures: Statements with another outcome.
      seconds: How long it measured.
      latencies: An encoded HDR histogram of microseconds.
    """

    answers: int
    failures: int
    seconds: float
    latencies: str


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


async def keep_in_flight(statements_: list[Statement], warm_up_s: float, seconds: float) -> Result:
    """Runs each statement again and again, one at a time each, and measures after the warm-up."""
    latencies = new_histogram()
    counts = [0, 0]
    begin = time.perf_counter() + warm_up_s
    end = begin + seconds

    async def repeat(statement: Statement) -> None:
        while (started := time.perf_counter()) < end:
            answered = await statement()
            if started < begin:
                continue
            latencies.record_value(max(1, int((time.perf_counter() - started) * 1e6)))
            counts[0 if answered else 1] += 1

    await asyncio.gather(*(repeat(one) for one in statements_))
    return Result(counts[0], counts[1], seconds, latencies.encode().decode())


async def through_proxy(
    address: str, groups: list[str], kind: str, *, in_flight: int, warm_up_s: float, seconds: float
) -> Result:
    """Measures statements through a proxy, one session for each statement in flight."""
    async with client.connect([address], large_site.CALLER, large_site.CALLER_SECRET) as connected:
        running = []
        for number in range(in_flight):
            session = await connected.open_session()
            running.append(_session_statement(session, groups[number % len(groups)], kind))
        return await keep_in_flight(running, warm_up_s, seconds)


def _session_statement(session: client.Session, group: str, kind: str) -> Statement:
    async def read() -> bool:
        outcome = await session.read(group, statements.get(KEY), max_age_s=60.0)
        return isinstance(outcome, client.Answer)

    async def write() -> bool:
        outcome = await session.write(group, statements.put(KEY, 1))
        return isinstance(outcome, client.Answer)

    return read if kind == "read" else write


async def directly(
    addresses: list[str], in_flight: int, warm_up_s: float, seconds: float
) -> Result:
    """Measures reads at members without a proxy, one connection for each read in flight."""
    running = []
    for number in range(in_flight):
        address = addresses[number % len(addresses)]
        declaration = declarations.MemberDeclaration("m", address, "", 1, 1)
        connection = await member_link.open_member(declaration, "load").connect()

        async def read(opened: member_link.DataConnection = connection) -> bool:
            await opened.read(statements.get(KEY), positions.ZERO, 0.0)
            return True

        running.append(read)
    return await keep_in_flight(running, warm_up_s, seconds)


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
    """Runs the load.

    Args:
      target: The proxy's address, or the members' addresses for kind "direct".
      groups: The database groups to use, in turn.
      kind: What to send.
      in_flight: Statements in flight.
      warm_up_s: Time before measuring.
      seconds: Time of measuring.
    """
    if kind == "direct":
        work = directly(target, in_flight, warm_up_s, seconds)
    else:
        work = through_proxy(
            target[0],
            groups or [],
            kind,
            in_flight=in_flight,
            warm_up_s=warm_up_s,
            seconds=seconds,
        )
    print(msgspec.json.encode(uvloop.run(work)).decode(), flush=True)


if __name__ == "__main__":
    app()
