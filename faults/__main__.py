"""Run cells of the fault matrix: `python -m faults --step WORDS --fault NAME --seeds N`."""

import concurrent.futures
import sys

import cyclopts

from faults import matrix

APP = cyclopts.App(name="faults", help="Runs cells of the fault matrix on a paused clock.")


@APP.default
def main(
    *, step: str = "", fault: str = "", seeds: int = 3, first_seed: int = 1, processes: int = 2
) -> None:
    """Run cells and print those that violate a guarantee.

    Args:
      step: Substring of the names of the steps to run; empty for all steps.
      fault: Name of a fault, or two names joined by "+"; empty for all faults and pairs.
      seeds: Number of seeds per cell.
      first_seed: The first seed.
      processes: Number of worker processes.
    """
    cells = list(matrix.cells(step, fault, range(first_seed, first_seed + seeds)))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(matrix.run_cell, cells, chunksize=4))
    for result in results:
        if not result.passed:
            print(f"BROKEN seed {result.cell.seed}: {result.cell.name}")
        if not result.reached:
            print("  the step was not reached, so no fault was injected")
        for violation in result.violations[:5]:
            print(f"  {violation}")
    passed = sum(result.passed for result in results)
    request_count = sum(result.request_count for result in results)
    answered_count = sum(result.answered_count for result in results)
    print(f"{len(results)} cells run, {passed} held, {len(results) - passed} broken")
    print(f"{request_count} requests, {answered_count} answered")
    sys.exit(0 if passed == len(results) else 1)


if __name__ == "__main__":
    APP()
