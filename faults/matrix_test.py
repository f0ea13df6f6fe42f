"""Guards the guarantees P1 to P9 in a part of the fault matrix; `make faults` runs all cells."""

import itertools

import pytest

from faults import injections
from faults import matrix
from faults import steps

ROUNDS = 2


def _cells():
    """Yield each step without a fault, and each fault and pair at ROUNDS steps, in rotation."""
    for step in steps.STEPS:
        yield matrix.Cell(step.name, "none", 1)
    combinations = [fault.name for fault in injections.FAULTS[1:]]
    combinations += ["+".join(pair) for pair in injections.PAIRS]
    rotation = itertools.cycle(steps.STEPS)
    for seed in range(1, ROUNDS + 1):
        for faults in combinations:
            yield matrix.Cell(next(rotation).name, faults, seed)


@pytest.mark.parametrize("cell", list(_cells()), ids=lambda cell: f"{cell.name} seed {cell.seed}")
def test_cell_upholds_every_guarantee(cell):
    result = matrix.run_cell(cell)
    assert result.reached
    assert result.violations == []


@pytest.mark.parametrize("faults", ["primary-isolated+owner-killed", "late-answers"])
def test_run_is_reproducible_from_its_seed(faults):
    cell = matrix.Cell("write: executed, not answered", faults, 3)
    first, second = matrix.run_cell(cell), matrix.run_cell(cell)
    assert (first.request_count, first.answered_count) == (
        second.request_count,
        second.answered_count,
    )
    assert first.finish_times == second.finish_times
