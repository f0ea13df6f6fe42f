"""Command line of the fault soak."""

import asyncio
import concurrent.futures
import pathlib
import sys

import cyclopts
import loguru

from soak import soaking

app = cyclopts.App(name="soak", help="Runs series of faults against real serving processes.")


def _run_seed(
    seed: int, logs: pathlib.Path | None, restores: bool, departures: bool, restarts: bool
) -> soaking.Report:
    loguru.logger.remove()
    log_folder = None
    if logs is not None:
        log_folder = logs / f"seed-{seed}"
        log_folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(
        soaking.run_seed(
            seed, log_folder, restores=restores, departures=departures, restarts=restarts
        )
    )


@app.default
def main(
    *,
    first_seed: int = 1,
    seeds: int = 50,
    processes: int = 3,
    logs: pathlib.Path | None = None,
    restores: bool = False,
    departures: bool = False,
    restarts: bool = False,
) -> None:
    """Runs seeds and prints a line for each; the exit code is 1 if a guarantee was violated.

    Args:
      first_seed: The first seed.
      seeds: Number of consecutive seeds to run.
      processes: Number of seeds that run concurrently, with four processes each.
      logs: Folder for the logs of the instances; without it the logs are discarded.
      restores: Whether the store also returns from older copies.
      departures: Whether the primary leaves while the coordinator fails, in place of other faults.
      restarts: Whether members start again with or without their logs, in place of other faults.
    """
    failed_seeds = []
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        seed_range = range(first_seed, first_seed + seeds)
        options = [[logs] * seeds, [restores] * seeds, [departures] * seeds, [restarts] * seeds]
        for report in pool.map(_run_seed, seed_range, *options):
            for line in soaking.describe(report):
                print(line, flush=True)
            if report.violations:
                failed_seeds.append(report.seed)
    print(f"{seeds} seeds, broken: {failed_seeds or 'none'}")
    sys.exit(1 if failed_seeds else 0)


app()
