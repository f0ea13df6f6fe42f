"""Runs cells of the fault matrix: `python -m faults --step WORDS --fault NAME --seeds N`."""

import concurrent.futures
import sys

import cyclopts

from faults import matrix

APP = cyclopts.App(name="faults", help="Runs cells of the fault matrix on a paused clock.")


@APP.default
def main(
    *, step: str = "", fault: str = "", seeds: int = 3, first_seed: int = 1, processes: int = 2
) -> None:
    """Runs cells and prints the broken ones.

    Args:
      step: Part of the names of the steps to run; empty for all.
      fault: Name of the fault, or two joined by "+"; empty for all and the pairs.
      seeds: Seeds for each cell.
      first_seed: The first seed.
      processes: Processes to run cells in.
    """
    cells = list(matrix.cells(step, fault, range(first_seed, first_seed + seeds)))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(matrix.run, cells, chunksize=4))
    for result in results:
        if not result.held:
            print(f"BROKEN seed {result.cell.seed}: {result.cell.name}")
        if not result.reached:
            print("  the step was not reached, so no fault was injected")
        for violation in result.violations[:5]:
            print(f"  {violation}")
    held = sum(result.held for result in results)
    calls = sum(result.calls for result in results)
    answered = sum(result.answered for result in results)
    print(f"{len(results)} cells run, {held} held, {len(results) - held} broken")
    print(f"{calls} requests, {answered} answered")
    sys.exit(0 if held == len(results) else 1)


if __name__ == "__main__":
    APP()
