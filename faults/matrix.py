"""Runs the cells of the fault matrix: each fault and each pair of faults at each step."""

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

SESSION_COUNT = 5
STEPS_PER_SESSION = 25
MEAN_THINK_TIME_S = 0.1
READER_MEAN_THINK_TIME_S = 0.4
SHORT_TIMEOUT_SHARE = 0.15
WARM_UP_S = 0.3

# A cell fails if its step does not occur within this time.
STEP_TIMEOUT_S = 6.0

# The second fault of a pair follows the first one within this time.
MAX_PAIR_GAP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A cell of the matrix with a seed.

    Attributes:
      step: Name of the step.
      faults: Name of the fault, or two names joined by "+".
      seed: Seed of all random choices of the run.
    """

    step: str
    faults: str
    seed: int

    @property
    def name(self) -> str:
        """Name of the cell in reports."""
        return f"{self.step} x {self.faults}"


@dataclasses.dataclass(frozen=True, slots=True)
class CellResult:
    """Result of the run of a cell.

    Attributes:
      cell: The cell.
      reached: Whether the step occurred, so that the fault was injected.
      violations: Violated guarantees.
      request_count: Number of requests that the sessions sent.
      answered_count: Number of requests that were answered.
      finish_times: When each request ended, in seconds of the paused clock. Runs with the same
        seed have equal values.
    """

    cell: Cell
    reached: bool
    violations: list[checker.Violation]
    request_count: int
    answered_count: int
    finish_times: tuple[float | None, ...] = ()

    @property
    def passed(self) -> bool:
        """Whether the fault was injected and no guarantee was violated."""
        return self.reached and not self.violations


def cells(
    step_filter: str = "", fault_filter: str = "", seeds: collections.abc.Iterable[int] = (1,)
) -> collections.abc.Iterator[Cell]:
    """Yield the cells that match the filters.

    Args:
      step_filter: Substring of the names of the steps.
      fault_filter: Name of a fault, or two names joined by "+"; empty for all.
      seeds: Seeds to run each cell with.
    """
    combinations = [fault.name for fault in injections.FAULTS]
    combinations += ["+".join(pair) for pair in injections.PAIRS]
    for seed in seeds:
        for step in steps.STEPS:
            for faults in combinations:
                if step_filter in step.name and fault_filter in ("", faults):
                    yield Cell(step.name, faults, seed)


def run_cell(cell: Cell) -> CellResult:
    """Run a cell on a paused clock. An exception during the run counts as a violation."""
    try:
        return paused_loop.run(lambda: _run_cell(cell))
    except Exception as error:
        where = traceback.extract_tb(error.__traceback__)[-1]
        detail = f"{type(error).__name__}: {error} at {where.name}:{where.lineno}"
        return CellResult(cell, True, [checker.Violation("ERROR", detail)], 0, 0)


async def _run_cell(cell: Cell) -> CellResult:
    profile = network.ADDIS if cell.seed % 2 else network.SIERRA
    seed = random.Random(f"{cell.name} {cell.seed}").randrange(1 << 30)
    simulation = fleet.Simulation(profile, seed)
    await simulation.start()
    rng = random.Random(seed)
    mixed = [
        programmes.random_programme(
            rng, STEPS_PER_SESSION, MEAN_THINK_TIME_S, short_timeout_share=SHORT_TIMEOUT_SHARE
        )
        for _ in range(SESSION_COUNT - 1)
    ]
    # Only the maximum age bounds the staleness of this session's reads, as it never writes. The
    # session outlasts the others, so that requests still arrive after the time limits of P7 and P9.
    reader = programmes.random_programme(
        rng,
        STEPS_PER_SESSION,
        READER_MEAN_THINK_TIME_S,
        weights=programmes.READ_ONLY_WEIGHTS,
        ages=(1.0,),
    )
    simulation.run_clients([*mixed, reader])
    await asyncio.sleep(WARM_UP_S)
    reached = _inject_at_step(simulation, cell, rng)
    step = steps.STEPS_BY_NAME[cell.step]
    if step.setup is not None:
        await step.setup(simulation)
    await simulation.wait_until(reached.is_set, STEP_TIMEOUT_S)
    await simulation.wait_until(lambda: all(task.done() for task in simulation.session_tasks), 60.0)
    record = await simulation.finish()
    answered = sum(call.answered for call in record.calls)
    violations = checker.check(record)
    finish_times = tuple(call.finished_at for call in record.calls)
    return CellResult(cell, reached.is_set(), violations, len(record.calls), answered, finish_times)


def _inject_at_step(simulation: fleet.Simulation, cell: Cell, rng: random.Random) -> asyncio.Event:
    """Inject the faults when the cell's step occurs; the returned event is set at that moment."""
    step = steps.STEPS_BY_NAME[cell.step]
    reached = asyncio.Event()
    occurrences = 0

    def observe(event: network.Event) -> None:
        nonlocal occurrences
        if reached.is_set() or not step.matches(simulation, event):
            return
        occurrences += 1
        if occurrences == step.occurrence:
            reached.set()
            _inject_faults(simulation, cell, rng)

    simulation.net.observers.append(observe)
    return reached


def _inject_faults(simulation: fleet.Simulation, cell: Cell, rng: random.Random) -> None:
    context = paused_loop.process_context("faults")
    delay_s = 0.0
    for name in cell.faults.split("+"):
        fault = injections.FAULTS_BY_NAME[name]
        duration_s = rng.choice(fault.durations_s)
        simulation.loop.call_later(delay_s, fault.inject, simulation, duration_s, context=context)
        delay_s += rng.random() * MAX_PAIR_GAP_S
