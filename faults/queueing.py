"""Measure the benefit of fair queueing and early refusal: `python -m faults.queueing`.

One member with two slots executes statements of 1 ms on a paused clock. The queue is that of the
owner role.
"""

import asyncio
import dataclasses
import random

from bilberrystack.core import admission
from bilberrystack.proxy import counters
from bilberrystack.proxy import slots
from faults import paused_loop

SLOT_COUNT = 2
SERVICE_TIME_S = 0.001
DURATION_S = 20.0

# Number of statements in the burst of the heavy client account.
BURST_SIZE = 2000

# Arrival rates of statements, as shares of the member's capacity.
LIGHT_LOAD = 0.1
OVERLOAD = 2.0
DEADLINE_S = 0.5


@dataclasses.dataclass(slots=True)
class WaitTimes:
    """Waiting times of one client account's statements.

    Attributes:
      answered: Times until the answer of statements that were answered in time, in seconds.
      refused: Times until the refusal or late answer of the other statements, in seconds.
    """

    answered: list[float] = dataclasses.field(default_factory=list)
    refused: list[float] = dataclasses.field(default_factory=list)


class QueuedMember:
    """A member behind an owner's queue."""

    def __init__(self) -> None:
        self._slots = slots.Slots({"m": SLOT_COUNT}, counters.GroupCounters())
        self._loop = asyncio.get_running_loop()

    async def run(self, caller: str, wait_times: WaitTimes, deadline_s: float) -> None:
        """Run one statement and record its waiting time."""
        started_at = self._loop.time()
        queue = self._slots.queue
        ticket = await self._slots.acquire(
            admission.RequestClass.WRITE,
            caller,
            started_at + deadline_s,
            lambda: "m" if queue.free_slots("m") else None,
        )
        if not isinstance(ticket, admission.Ticket):
            wait_times.refused.append(self._loop.time() - started_at)
            return
        await asyncio.sleep(SERVICE_TIME_S)
        self._slots.release(ticket, SERVICE_TIME_S)
        elapsed_s = self._loop.time() - started_at
        in_time = elapsed_s <= deadline_s
        (wait_times.answered if in_time else wait_times.refused).append(elapsed_s)


async def _send_at_random_times(
    member: QueuedMember, caller: str, wait_times: WaitTimes, load_share: float, deadline_s: float
) -> None:
    """Send statements at random times, at a rate that is a share of the member's capacity."""
    rng = random.Random(7)
    loop = asyncio.get_running_loop()
    end_at = loop.time() + DURATION_S
    statement_tasks = []
    while loop.time() < end_at:
        statement_tasks.append(loop.create_task(member.run(caller, wait_times, deadline_s)))
        await asyncio.sleep(rng.expovariate(load_share * SLOT_COUNT / SERVICE_TIME_S))
    await asyncio.gather(*statement_tasks)


async def run_light_beside_burst(fair: bool) -> WaitTimes:
    """Return the waiting times of a light client account during another account's burst.

    Args:
      fair: Whether the queue is fair between the two accounts. Otherwise both share one account.
    """
    member = QueuedMember()
    light_wait_times, heavy_wait_times = WaitTimes(), WaitTimes()
    burst = [member.run("heavy", heavy_wait_times, 60.0) for _ in range(BURST_SIZE)]
    name = "light" if fair else "heavy"
    await asyncio.gather(
        *burst, _send_at_random_times(member, name, light_wait_times, LIGHT_LOAD, 60.0)
    )
    return light_wait_times


async def run_overload(refuse_early: bool) -> WaitTimes:
    """Return the waiting times under a load of OVERLOAD times the capacity.

    Args:
      refuse_early: Whether statements that can't be answered in time are refused on arrival.
    """
    expected_wait_s = admission.AdmissionController.expected_wait_s
    if not refuse_early:
        admission.AdmissionController.expected_wait_s = lambda _self, _request_class: 0.0  # type: ignore[method-assign]
    try:
        wait_times = WaitTimes()
        await _send_at_random_times(QueuedMember(), "caller", wait_times, OVERLOAD, DEADLINE_S)
        return wait_times
    finally:
        admission.AdmissionController.expected_wait_s = expected_wait_s  # type: ignore[method-assign]


def percentile_ms(values: list[float], fraction: float) -> float:
    """Return a percentile in milliseconds, given as a fraction; 0 if there are no values."""
    ordered = sorted(values)
    return 1000 * ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


def main() -> None:
    """Print both comparisons."""
    for fair in (False, True):
        light_wait_times = paused_loop.run(lambda fair=fair: run_light_beside_burst(fair))  # type: ignore[misc]
        p50, p99 = (percentile_ms(light_wait_times.answered, fraction) for fraction in (0.5, 0.99))
        print(f"light caller beside a burst, fair={fair}: p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    for refuse_early in (False, True):
        wait_times = paused_loop.run(lambda refuse_early=refuse_early: run_overload(refuse_early))  # type: ignore[misc]
        fraction = len(wait_times.answered) / (len(wait_times.answered) + len(wait_times.refused))
        elapsed_s = percentile_ms(wait_times.refused, 0.5)
        answered = percentile_ms(wait_times.answered, 0.5)
        print(
            f"overload of {OVERLOAD}, early refusal={refuse_early}: answered {fraction:.1%}, "
            f"median {answered:.0f} ms, refused after a median of {elapsed_s:.1f} ms"
        )


if __name__ == "__main__":
    main()
