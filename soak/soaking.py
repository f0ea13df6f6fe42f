"""Runs one series of faults against a site and checks the guarantees."""

import asyncio
import dataclasses
import pathlib
import random

from bilberrystack_standins import line_site
from soak import account
from soak import callers
from soak import conditions as play_conditions
from soak import faults
from soak import history
from soak import restarts as member_restarts
from soak import site

INSTANCE_COUNT = 3
CLIENT_COUNT = 8

# Every fourth seed has planned work only, for which additional guarantees are checked.
PLANNED_ONLY_INTERVAL = 4

# Maximum time until all instances are ready for the first time.
START_TIMEOUT_S = 20.0

# Time after the last fault within which every instance has to commit a write. Leases expire after
# 9 s.
RECOVERY_TIMEOUT_S = 15.0

# Time within which every instance has to serve a new database.
CONFIGURATION_TIMEOUT_S = 3.0

# Maximum rate of an instance's store calls. It has three caches and the lease, and each repeats a
# failed call at most every 0.2 s.
MAX_CALLS_PER_S = 20.0


@dataclasses.dataclass(slots=True)
class Report:
    """Result of one seed.

    Attributes:
      seed: The seed.
      faults: The faults with their start times, as text.
      operation_count: Number of operations that clients started.
      succeeded_statements: Number of statements that succeeded.
      promotion_requests: Number of promotion requests.
      violations: First violation of each guarantee that was violated.
    """

    seed: int
    faults: list[str]
    operation_count: int
    succeeded_statements: int
    promotion_requests: int
    violations: list[account.Violation]


def describe(report: Report) -> list[str]:
    """Returns the lines that the commands print for a report."""
    summary = (
        f"seed {report.seed}: {report.operation_count} operations,"
        f" {report.succeeded_statements} statements"
        f" served, {report.promotion_requests} promotions, {len(report.faults)} faults"
    )
    return [
        summary,
        *(
            f"  broken: {violation.guarantee}: {violation.detail}; {', '.join(report.faults)}"
            for violation in report.violations
        ),
    ]


async def run_seed(
    seed: int,
    folder: pathlib.Path | None = None,
    *,
    restores: bool = False,
    departures: bool = False,
    restarts: bool = False,
    conditions: play_conditions.Conditions | None = None,
) -> Report:
    """Runs the series of faults of a seed under load and checks the guarantees.

    Args:
      seed: Determines the faults and the operations of the clients.
      folder: Folder for the logs of the instances; None for a temporary folder.
      restores: Whether the store also returns from older copies.
      departures: Whether the series has a departure of the primary while the coordinator fails, in
        place of the other faults.
      restarts: Whether members start again with or without their logs, in place of the other
        faults.
      conditions: The clients' data and the members' answers; None for those of the seed, or the
        usual ones in a series with restores, departures or restarts.

    Raises:
      RuntimeError: Not all instances became ready within START_TIMEOUT_S.
    """
    planned_only = seed % PLANNED_ONLY_INTERVAL == 0 and not departures and not restarts
    if restarts:
        series = member_restarts.draw_series(seed)
    elif departures:
        series = faults.draw_departures(seed)
    else:
        series = faults.draw_series(seed, planned_only)
    if restores:
        series = faults.add_restores(series, seed)
    if conditions is None:
        usual = restores or departures or restarts
        conditions = play_conditions.Conditions() if usual else play_conditions.draw(seed)
    options = play_conditions.group_options(conditions, seed)
    if restarts:
        options = member_restarts.group_options(seed)
    record: list[history.Operation] = []
    started_at_s = asyncio.get_running_loop().time()
    async with site.Site(INSTANCE_COUNT, folder, options) as soak_site:
        if not await soak_site.wait_until(
            lambda: len(soak_site.in_rotation) == INSTANCE_COUNT, START_TIMEOUT_S
        ):
            raise RuntimeError("not all instances became ready in time")
        client_tasks = [
            asyncio.create_task(
                callers.run_client(
                    soak_site.in_rotation,
                    random.Random(f"{seed} {number}"),
                    record,
                    random.Random(f"data {seed} {number}") if conditions.any_characters else None,
                )
            )
            for number in range(CLIENT_COUNT)
        ]
        await faults.run_series(series, soak_site, planned_only)
        violations = await _check_recovery(soak_site)
        violations += _check_store_calls(
            soak_site, asyncio.get_running_loop().time() - started_at_s
        )
        for task in client_tasks:
            task.cancel()
        results = await asyncio.gather(*client_tasks, return_exceptions=True)
        violations += [
            account.Violation("replies to clients follow the protocol", repr(result))
            for result in results
            if not isinstance(result, asyncio.CancelledError)
        ]
        violations += _check_exits(soak_site)
        violations += account.check(_trace(soak_site, record, planned_only))
        succeeded = sum(
            statement.succeeded for operation in record for statement in operation.statements
        )
        promotion_requests = len(soak_site.platform.promotion_requests)
    first_violations = {violation.guarantee: violation for violation in reversed(violations)}
    return Report(
        seed,
        [str(scheduled) for scheduled in series],
        len(record),
        succeeded,
        promotion_requests,
        [*first_violations.values()],
    )


def _trace(
    soak_site: site.Site, record: list[history.Operation], planned_only: bool
) -> account.Trace:
    group = soak_site.group
    last_primary = max(group.members.values(), key=lambda member: (member.is_primary, member.term))
    return account.Trace(
        operations=record,
        executed_statements=[
            executed
            for executed in group.executed_statements
            if not executed.request_id.startswith(callers.PROBE_PREFIX)
        ],
        commit_counts=group.commit_counts,
        committed_entries=group.committed_entries,
        final_log=last_primary.log,
        promotion_requests=soak_site.platform.promotion_requests,
        promotions=group.promotions,
        synchronous=bool(group.options.sync_replicas),
        leaving_since_s=soak_site.leaving_since_s,
        planned_only=planned_only,
        departures=soak_site.departures,
        disturbances={process.name: process.disturbances for process in soak_site.processes},
    )


async def _check_recovery(soak_site: site.Site) -> list[account.Violation]:
    """Checks that every instance commits a write, and then serves a new database, in time."""
    violations = []
    for process in soak_site.processes:
        if not await _commits_within(RECOVERY_TIMEOUT_S, process, "strict"):
            violations.append(
                account.Violation("the site recovers in time", f"no write at {process.name}")
            )
    await soak_site.declare("new-database")
    for process in soak_site.processes:
        if not await _commits_within(CONFIGURATION_TIMEOUT_S, process, "new-database"):
            detail = f"no new database at {process.name}"
            violations.append(account.Violation("a new configuration is in force in time", detail))
    return violations


def _check_exits(soak_site: site.Site) -> list[account.Violation]:
    return [
        account.Violation(
            "no process exits by itself", f"{process.name} {process.unexpected_exits} times"
        )
        for process in soak_site.processes
        if process.unexpected_exits
    ]


def _check_store_calls(soak_site: site.Site, duration_s: float) -> list[account.Violation]:
    calls_per_s = len(soak_site.platform.calls) / duration_s / len(soak_site.processes)
    if calls_per_s <= MAX_CALLS_PER_S:
        return []
    return [account.Violation("calls to the store are bounded", f"{calls_per_s:.0f} a second")]


async def _commits_within(timeout_s: float, process: site.InstanceProcess, database: str) -> bool:
    """Retries a write at an instance and returns whether it was committed in time."""
    try:
        async with asyncio.timeout(timeout_s):
            while not await _commits_write(process, database):
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def _commits_write(process: site.InstanceProcess, database: str) -> bool:
    try:
        reader, writer = await asyncio.open_connection(process.host, site.SESSIONS_PORT)
    except OSError:
        return False
    client = line_site.Client(reader, writer)
    try:
        if await client.send(f"START {database} probe") != ["READY I -"]:
            return False
        reply = await client.query("WRITE probe x", callers.probe_id())
        return reply[0].startswith("DONE")
    except OSError:
        return False
    finally:
        client.close()
