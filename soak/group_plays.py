"""Plays series of faults against three groups under one coordinator, in one process.

Run it as `python -m soak.group_plays --first-seed N --seeds M`.
"""

import asyncio
import collections
import concurrent.futures
import contextlib
import dataclasses
import logging
import pathlib
import random
import sys

import cyclopts
import loguru

from bilberrystack_standins import line_network
from bilberrystack_standins import line_site
from soak import account
from soak import callers
from soak import group_faults
from soak import group_traces
from soak import history
from soak import site as soak_site
from soak import soaking

app = cyclopts.App(name="soak.group_plays", help="Plays faults against three groups.")

GROUP_COUNT = 3
INSTANCE_COUNTS = (5, 7)
CLIENT_COUNT = 15
HABITS = callers.Habits(group_traces.DATABASES, write_share=0.5)

# Time before the first fault, in which the coordinator names its standbys.
LOAD_S = 2.0

# Share of the seeds whose watches are answered late, and the limits of the delay.
BATCH_SHARE, BATCH_DELAYS_S = 0.5, (1.0, 2.0)

# Time after the last fault within which each instance has to commit a write of each group.
RECOVERY_TIMEOUT_S = 20.0

# Kinds of the cuts. Refused connections are more frequent, since conclusions are drawn from them.
CUT_KINDS = (*line_network.Cut, line_network.Cut.REFUSE)

# Pause between two attempts.
RETRY_PAUSE_S = 0.1

_WRITES = tuple(line_site.database_name("strict", number) for number in range(GROUP_COUNT))


async def run_seed(seed: int, *, silent: bool = False) -> soaking.Report:
    """Runs the series of faults of a seed under load and checks the guarantees.

    Args:
      seed: Determines the faults and the operations of the clients.
      silent: Whether cuts only drop packets, in place of refusing and resetting too.
    """
    rng = random.Random(f"groups {seed}")
    series = group_faults.draw_series(rng)
    kinds = (line_network.Cut.SILENT,) if silent else CUT_KINDS
    options = dataclasses.replace(
        soak_site.GROUP_OPTIONS, sync_replicas=rng.randrange(2), seed=seed
    )
    record: list[history.Operation] = []
    with line_network.Network() as network:
        async with line_site.Site(
            rng.randint(*INSTANCE_COUNTS), options, GROUP_COUNT, network
        ) as site:
            if rng.random() < BATCH_SHARE:
                site.platform.notification_delays_s = BATCH_DELAYS_S
            stage = group_faults.Stage(site, rng, kinds)
            clients = [
                asyncio.create_task(
                    callers.run_client(
                        stage.addresses, random.Random(f"{seed} {number}"), record, habits=HABITS
                    )
                )
                for number in range(CLIENT_COUNT)
            ]
            await asyncio.sleep(LOAD_S)
            await group_faults.run_series(series, stage)
            violations = await _check_recovery(stage)
            violations += await _stop_clients(clients)
            violations += _check(site, record)
            return soaking.Report(
                seed,
                [str(scheduled) for scheduled in series],
                len(record),
                sum(s.succeeded for operation in record for s in operation.statements),
                len(site.platform.promotion_requests),
                violations,
            )


def _check(site: line_site.Site, record: list[history.Operation]) -> list[account.Violation]:
    """Returns the first violation of each guarantee in each group, with their number."""
    found = []
    for service, violations in group_traces.check(site, record).items():
        counts = collections.Counter(each.guarantee for each in violations)
        for guarantee, count in counts.items():
            first = next(each for each in violations if each.guarantee == guarantee)
            found.append(
                account.Violation(f"{service}: {guarantee}", f"{count} times, {first.detail}")
            )
    return found


async def _stop_clients(clients: list[asyncio.Task[None]]) -> list[account.Violation]:
    for client in clients:
        client.cancel()
    results = await asyncio.gather(*clients, return_exceptions=True)
    return [
        account.Violation("a client receives replies to its requests only", str(result))
        for result in results
        if not isinstance(result, asyncio.CancelledError)
    ]


async def _check_recovery(stage: group_faults.Stage) -> list[account.Violation]:
    """Checks that each instance commits a write of each group again."""
    places = [(name, database) for name in sorted(stage.addresses) for database in _WRITES]
    recovered = await asyncio.gather(*(_recovers(stage, *place) for place in places))
    return [
        account.Violation("an instance commits writes after the last fault", f"{name} {database}")
        for (name, database), written in zip(places, recovered, strict=True)
        if not written
    ]


async def _recovers(stage: group_faults.Stage, name: str, database: str) -> bool:
    """Returns whether a write at an instance succeeds in time, in any of several sessions."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    client = await stage.site.open_connection(stage.number_of(name))
                    await client.send(f"START {database} tester")
                    answer = await client.query("WRITE item0 1", callers.probe_id())
                    client.close()
                    if answer and answer[0].startswith("DONE"):
                        return True
                await asyncio.sleep(RETRY_PAUSE_S)
    return False


def _run_seed(seed: int, silent: bool, logs: pathlib.Path | None) -> soaking.Report:
    loguru.logger.remove()
    logging.getLogger("asyncio").addFilter(_is_no_cancellation)
    # The store's stand-in logs each call that an instance abandons.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
        loguru.logger.add(logs / f"seed-{seed}.log", serialize=True, filter=_add_instance)
    return asyncio.run(run_seed(seed, silent=silent))


def _is_no_cancellation(entry: logging.LogRecord) -> bool:
    """Returns whether a log record is another one than that of a connection whose task ended.

    The streams of Python 3.11 log the cancellation of such a task, which ends with its instance, as
    an error in a callback.
    """
    return "StreamReaderProtocol.connection_made" not in entry.getMessage()


def _add_instance(entry: "loguru.Record") -> bool:
    entry["extra"]["instance"] = line_network.CURRENT_INSTANCE.get()
    return True


@app.default
def main(
    *,
    first_seed: int = 1,
    seeds: int = 50,
    processes: int = 3,
    silent: bool = False,
    logs: pathlib.Path | None = None,
) -> None:
    """Runs seeds and prints a line for each; the exit code is 1 if a guarantee was violated.

    Args:
      first_seed: The first seed.
      seeds: Number of consecutive seeds to run.
      processes: Number of seeds that run concurrently.
      silent: Whether cuts only drop packets.
      logs: Folder for the logs; without it they are discarded.
    """
    failed_seeds = []
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        seed_range = range(first_seed, first_seed + seeds)
        for report in pool.map(_run_seed, seed_range, [silent] * seeds, [logs] * seeds):
            for line in soaking.describe(report):
                print(line, flush=True)
            if report.violations:
                failed_seeds.append(report.seed)
    print(f"{seeds} seeds, broken: {failed_seeds or 'none'}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    app()
