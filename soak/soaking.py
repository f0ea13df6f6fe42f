"""Plays one series of faults against a site and accounts for it."""

import asyncio
import dataclasses
import pathlib
import random

from bilberrystack_standins import line_site
from soak import account
from soak import callers
from soak import faults
from soak import history
from soak import site

INSTANCES = 3
CLIENTS = 8

# Each fourth seed does planned work only, which has promises of its own.
CALM_EVERY = 4

START_S = 20.0

# After the last fault every instance has to commit a write within this time: leases end after 9 s.
RECOVERY_S = 15.0

# A new database has to be served everywhere within this time.
CONFIGURATION_S = 3.0


@dataclasses.dataclass(slots=True)
class Report:
    """How one seed went.

    Attributes:
      seed: The seed.
      steps: The faults.
      operations: How many operations clients began.
      succeeded: How many statements succeeded.
      promotions: Calls for promotions.
      broken: The broken promises, the first of each kind.
    """

    seed: int
    steps: list[str]
    operations: int
    succeeded: int
    promotions: int
    broken: list[account.Broken]


async def play(seed: int, folder: pathlib.Path | None = None) -> Report:
    """Plays a seed.

    Args:
      seed: Decides the faults and what clients do.
      folder: Takes the logs of the instances; a temporary one if None.
    """
    calm = seed % CALM_EVERY == 0
    steps = faults.series(seed, calm)
    record: list[history.Operation] = []
    async with site.Site(INSTANCES, folder) as played:
        if not await played.until(lambda: len(played.in_rotation) == INSTANCES, START_S):
            raise RuntimeError("the instances did not start")
        calling = [
            asyncio.create_task(
                callers.call(played.in_rotation, random.Random(f"{seed} {number}"), record)
            )
            for number in range(CLIENTS)
        ]
        await faults.play(steps, played, calm)
        broken = await _check_recovery(played)
        for task in calling:
            task.cancel()
        ended = await asyncio.gather(*calling, return_exceptions=True)
        broken += [
            account.Broken("clients are answered by the protocol", repr(one))
            for one in ended
            if not isinstance(one, asyncio.CancelledError)
        ]
        broken += [
            account.Broken("no process ends by itself", f"{one.name} {one.exits} times")
            for one in played.processes
            if one.exits
        ]
        broken += account.check(_seen(played, record, calm))
        succeeded = sum(one.succeeded for each in record for one in each.statements)
        promotions = len(played.platform.promotion_requests)
    first = {one.promise: one for one in reversed(broken)}
    return Report(
        seed, [str(step) for step in steps], len(record), succeeded, promotions, [*first.values()]
    )


def _seen(played: site.Site, record: list[history.Operation], calm: bool) -> account.Seen:
    group = played.group
    leading = max(group.members.values(), key=lambda one: (one.is_primary, one.term))
    return account.Seen(
        operations=record,
        runs=[
            run for run in group.executed_statements if not run.request_id.startswith(callers.PROBE)
        ],
        commits=group.commit_counts,
        entries=group.committed_entries,
        kept=leading.log,
        promotions=played.platform.promotion_requests,
        left_at_s=played.left_at_s,
        calm=calm,
    )


async def _check_recovery(played: site.Site) -> list[account.Broken]:
    """Every instance has to commit a write and to serve a new database soon."""
    broken = []
    for process in played.processes:
        if not await _within(RECOVERY_S, process, "strict"):
            broken.append(account.Broken("the site recovers", f"no write at {process.name}"))
    await played.declare("new-database")
    for process in played.processes:
        if not await _within(CONFIGURATION_S, process, "new-database"):
            detail = f"no new database at {process.name}"
            broken.append(account.Broken("a configuration is in force soon", detail))
    return broken


async def _within(seconds: float, process: site.Process, database: str) -> bool:
    """Tries until an instance has committed a write; returns whether it did in time."""
    try:
        async with asyncio.timeout(seconds):
            while not await _writes(process, database):
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def _writes(process: site.Process, database: str) -> bool:
    try:
        reader, writer = await asyncio.open_connection(process.host, site.SESSIONS_PORT)
    except OSError:
        return False
    client = line_site.Client(reader, writer)
    try:
        if await client.send(f"START {database} probe") != ["READY I -"]:
            return False
        answer = await client.query("WRITE probe x", callers.probe_id())
        return answer[0].startswith("DONE")
    except OSError:
        return False
    finally:
        client.close()
