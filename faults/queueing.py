"""Measures what fair queueing and early refusal gain: `python -m faults.queueing`.

On a paused clock, one member with two slots works on statements of 1 ms. The queue is the one of
the owner role.
"""

import asyncio
import dataclasses
import random

from bilberrystack.core import admission
from bilberrystack.proxy import counters
from bilberrystack.proxy import slots
from faults import paused_loop

SLOTS = 2
SERVICE_S = 0.001
SECONDS = 20.0

# A burst of one caller, and the rate of another, as shares of the capacity.
BURST = 2000
LIGHT_LOAD = 0.1
OVERLOAD = 2.0
DEADLINE_S = 0.5


@dataclasses.dataclass(slots=True)
class Tally:
    """How one caller's statements ended.

    Attributes:
      answered: Waits until the answer of those answered in time, in seconds.
      refused: Waits until the refusal of the others, in seconds.
    """

    answered: list[float] = dataclasses.field(default_factory=list)
    refused: list[float] = dataclasses.field(default_factory=list)


class Member:
    """One member behind an owner's queue."""

    def __init__(self) -> None:
        self._slots = slots.Slots({"m": SLOTS}, counters.GroupCounters())
        self._loop = asyncio.get_running_loop()

    async def run(self, caller: str, tally: Tally, deadline_s: float) -> None:
        """Runs one statement and notes how it ended."""
        began = self._loop.time()
        queue = self._slots.queue
        ticket = await self._slots.acquire(
            admission.RequestClass.WRITE,
            caller,
            began + deadline_s,
            lambda: "m" if queue.free_slots("m") else None,
        )
        if not isinstance(ticket, admission.Ticket):
            tally.refused.append(self._loop.time() - began)
            return
        await asyncio.sleep(SERVICE_S)
        self._slots.release(ticket, SERVICE_S)
        waited = self._loop.time() - began
        in_time = waited <= deadline_s
        (tally.answered if in_time else tally.refused).append(waited)


async def _arrive(
    member: Member, caller: str, tally: Tally, load: float, deadline_s: float
) -> None:
    """Sends statements at random instants at a share of the capacity."""
    chooser = random.Random(7)
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    running = []
    while loop.time() < end:
        running.append(loop.create_task(member.run(caller, tally, deadline_s)))
        await asyncio.sleep(chooser.expovariate(load * SLOTS / SERVICE_S))
    await asyncio.gather(*running)


async def light_beside_burst(fair: bool) -> Tally:
    """A light caller while another one sends a burst; without fairness both are one caller."""
    member = Member()
    light, heavy = Tally(), Tally()
    burst = [member.run("heavy", heavy, 60.0) for _ in range(BURST)]
    name = "light" if fair else "heavy"
    await asyncio.gather(*burst, _arrive(member, name, light, LIGHT_LOAD, 60.0))
    return light


async def overload(early_refusal: bool) -> Tally:
    """Twice the capacity, with or without the refusal of statements that can't be in time."""
    expected_wait_s = admission.AdmissionController.expected_wait_s
    if not early_refusal:
        admission.AdmissionController.expected_wait_s = lambda _self, _lane: 0.0  # type: ignore[method-assign]
    try:
        tally = Tally()
        await _arrive(Member(), "caller", tally, OVERLOAD, DEADLINE_S)
        return tally
    finally:
        admission.AdmissionController.expected_wait_s = expected_wait_s  # type: ignore[method-assign]


def percentile_ms(values: list[float], share: float) -> float:
    """Returns a percentile in milliseconds; 0 of nothing."""
    ordered = sorted(values)
    return 1000 * ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def main() -> None:
    """Prints both comparisons."""
    for fair in (False, True):
        light = paused_loop.run(lambda fair=fair: light_beside_burst(fair))  # type: ignore[misc]
        p50, p99 = (percentile_ms(light.answered, share) for share in (0.5, 0.99))
        print(f"light caller beside a burst, fair={fair}: p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    for early in (False, True):
        tally = paused_loop.run(lambda early=early: overload(early))  # type: ignore[misc]
        share = len(tally.answered) / (len(tally.answered) + len(tally.refused))
        waited = percentile_ms(tally.refused, 0.5)
        answered = percentile_ms(tally.answered, 0.5)
        print(
            f"overload of {OVERLOAD}, early refusal={early}: answered {share:.1%}, "
            f"median {answered:.0f} ms, refused after a median of {waited:.1f} ms"
        )


if __name__ == "__main__":
    main()
