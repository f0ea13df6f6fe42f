"""Runs the cells of the fault matrix: every fault, and pairs of them, at every step."""

import asyncio
import collections.abc
import dataclasses
import random
import traceback

from faults import checker
from faults import fleet
from faults import injections
from faults import network
from faults import paused_loop
from faults import programmes
from faults import steps

SESSIONS = 5
STEPS_PER_SESSION = 25
THINK_S = 0.1
READER_THINK_S = 0.4
HURRIED = 0.15
WARM_UP_S = 0.3

# A point that the run did not reach within this time is not reached at all.
REACH_S = 6.0

PAIR_GAP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One cell of the matrix with a seed.

    Attributes:
      step: The name of the step.
      faults: The names of the fault, or of two joined by "+".
      seed: The seed.
    """

    step: str
    faults: str
    seed: int

    @property
    def name(self) -> str:
        """The cell's name in reports."""
        return f"{self.step} x {self.faults}"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a cell's run showed.

    Attributes:
      cell: The cell.
      reached: Whether the point was reached, so that the fault was injected.
      violations: The broken promises.
      calls: Requests that callers sent.
      answered: Requests that were answered.
      trace: When each request ended; equal for runs that repeat exactly.
    """

    cell: Cell
    reached: bool
    violations: list[checker.Violation]
    calls: int
    answered: int
    trace: tuple[float | None, ...] = ()

    @property
    def held(self) -> bool:
        """Whether the fault was injected and every promise was kept."""
        return self.reached and not self.violations


def cells(
    step_filter: str = "", fault_filter: str = "", seeds: collections.abc.Iterable[int] = (1,)
) -> collections.abc.Iterator[Cell]:
    """Yields the cells whose step and faults contain the filters' words.

    Args:
      step_filter: Part of a step's name.
      fault_filter: Name of a fault, or of two joined by "+"; empty for all.
      seeds: The seeds to run each cell under.
    """
    combinations = [fault.name for fault in injections.FAULTS]
    combinations += ["+".join(pair) for pair in injections.PAIRS]
    for seed in seeds:
        for step in steps.STEPS:
            for faults in combinations:
                if step_filter in step.name and fault_filter in ("", faults):
                    yield Cell(step.name, faults, seed)


def run(cell: Cell) -> Result:
    """Runs a cell on a paused clock. An exception inside the run counts as a violation."""
    try:
        return paused_loop.run(lambda: _run(cell))
    except Exception as error:
        where = traceback.extract_tb(error.__traceback__)[-1]
        detail = f"{type(error).__name__}: {error} at {where.name}:{where.lineno}"
        return Result(cell, True, [checker.Violation("ERROR", detail)], 0, 0)


async def _run(cell: Cell) -> Result:
    profile = network.ADDIS if cell.seed % 2 else network.SIERRA
    seed = random.Random(f"{cell.name} {cell.seed}").randrange(1 << 30)
    world = fleet.Fleet(profile, seed)
    await world.start()
    rng = random.Random(seed)
    mixed = [
        programmes.programme(rng, STEPS_PER_SESSION, THINK_S, hurried=HURRIED)
        for _ in range(SESSIONS - 1)
    ]
    # Nothing but the stated age tells this session's reads from arbitrarily old ones. It goes on
    # after the others, so that work still arrives when the time limits of P7 and P9 have passed.
    reader = programmes.programme(
        rng, STEPS_PER_SESSION, READER_THINK_S, weights=programmes.READS, ages=(1.0,)
    )
    world.run_clients([*mixed, reader])
    await asyncio.sleep(WARM_UP_S)
    reached = _arm(world, cell, rng)
    step = steps.BY_NAME[cell.step]
    if step.setup is not None:
        await step.setup(world)
    await world.until(reached.is_set, REACH_S)
    await world.until(lambda: all(task.done() for task in world.tasks), 60.0)
    record = await world.finish()
    answered = sum(call.answered for call in record.calls)
    found = checker.check(record)
    trace = tuple(call.finished_at for call in record.calls)
    return Result(cell, reached.is_set(), found, len(record.calls), answered, trace)


def _arm(world: fleet.Fleet, cell: Cell, rng: random.Random) -> asyncio.Event:
    """Injects the faults at the cell's point; the event tells that it was reached."""
    step = steps.BY_NAME[cell.step]
    reached = asyncio.Event()
    seen = 0

    def observe(event: network.Event) -> None:
        nonlocal seen
        if reached.is_set() or not step.matches(world, event):
            return
        seen += 1
        if seen == step.nth:
            reached.set()
            _inject(world, cell, rng)

    world.net.observers.append(observe)
    return reached


def _inject(world: fleet.Fleet, cell: Cell, rng: random.Random) -> None:
    context = paused_loop.as_party("faults")
    delay_s = 0.0
    for name in cell.faults.split("+"):
        fault = injections.BY_NAME[name]
        duration_s = rng.choice(fault.durations_s)
        world.loop.call_later(delay_s, fault.inject, world, duration_s, context=context)
        delay_s += rng.random() * PAIR_GAP_S
