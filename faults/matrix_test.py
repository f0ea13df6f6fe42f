"""Guards the promises in a part of the fault matrix; `make faults` runs all of it."""

import itertools

import pytest

from faults import injections
from faults import matrix
from faults import steps

ROUNDS = 2


def _cells():
    """Every step without a fault, and every fault and pair at two steps each, in turn."""
    for step in steps.STEPS:
        yield matrix.Cell(step.name, "none", 1)
    combinations = [fault.name for fault in injections.FAULTS[1:]]
    combinations += ["+".join(pair) for pair in injections.PAIRS]
    rotation = itertools.cycle(steps.STEPS)
    for seed in range(1, ROUNDS + 1):
        for faults in combinations:
            yield matrix.Cell(next(rotation).name, faults, seed)


@pytest.mark.parametrize("cell", list(_cells()), ids=lambda cell: f"{cell.name} seed {cell.seed}")
def test_a_cell_keeps_every_promise(cell):
    result = matrix.run(cell)
    assert result.reached
    assert result.violations == []


@pytest.mark.parametrize("faults", ["primary-isolated+owner-killed", "late-answers"])
def test_a_run_repeats_exactly_for_its_seed(faults):
    cell = matrix.Cell("write: executed, not answered", faults, 3)
    first, second = matrix.run(cell), matrix.run(cell)
    assert (first.calls, first.answered) == (second.calls, second.answered)
    assert first.trace == second.trace
