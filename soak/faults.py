"""Series of overlapping faults, drawn from a seed."""

import asyncio
import collections.abc
import dataclasses
import random

from bilberrystack_standins import line_group
from soak import account
from soak import links
from soak import site

# Time within which all faults of a series start.
START_WINDOW_S = 6.0

# Maximum duration of a fault.
MAX_DURATION_S = 2.5

# Maximum age of the copy that a restored store returns from.
MAX_COPY_AGE_S = 10.0

# Number of faults in one series.
MIN_FAULTS, MAX_FAULTS = 4, 14

Fault = collections.abc.Callable[["Draw"], collections.abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Draw:
    """Target of a fault and the source of its random details.

    Attributes:
      target: The site that the fault acts on.
      rng: Source of the fault's details, seeded before the series starts.
    """

    target: site.Site
    rng: random.Random

    def process(self) -> site.InstanceProcess:
        """Returns a random instance."""
        return self.rng.choice(self.target.processes)

    def member(self) -> line_group.LineMember:
        """Returns a random member."""
        return self.rng.choice(list(self.target.group.members.values()))

    def primary(self) -> line_group.LineMember:
        """Returns a member that considers itself the primary, or a random one if none does."""
        return next(iter(self.target.group.primaries), None) or self.member()

    def duration_s(self) -> float:
        """Returns a random duration of the fault in seconds."""
        return self.rng.uniform(0.3, MAX_DURATION_S)


async def restart_gracefully(draw: Draw) -> None:
    """Stops an instance gracefully and starts it again."""
    await draw.process().stop_gracefully()


async def kill(draw: Draw) -> None:
    """Kills an instance and starts it again."""
    await draw.process().kill()


async def kill_all(draw: Draw) -> None:
    """Kills all instances at once."""
    await asyncio.gather(*(process.kill() for process in draw.target.processes))


async def pause(draw: Draw) -> None:
    """Suspends an instance for the duration of the fault."""
    await draw.process().pause(draw.duration_s())


async def reload(draw: Draw) -> None:
    """Makes an instance reload its settings file."""
    await draw.process().reload()


async def configure(draw: Draw) -> None:
    """Declares several configurations in quick succession."""
    for number in range(draw.rng.randint(1, 5)):
        await draw.target.declare(f"extra-{number}")
        await asyncio.sleep(0.05)


async def leave(draw: Draw) -> None:
    """Drains and restarts the primary, which returns as an idle member."""
    member = draw.primary()
    await draw.target.register(member, "draining")
    await asyncio.sleep(site.DRAIN_S)
    await member.stop()
    await member.start()
    await draw.target.register(member, "ready")


async def crash(draw: Draw) -> None:
    """Kills a member, the primary more often than not, and starts it again with its log."""
    member = draw.primary() if draw.rng.random() < 0.6 else draw.member()
    await member.stop()
    await asyncio.sleep(draw.duration_s())
    await member.start()
    await draw.target.register(member)


async def stop_replication(draw: Draw) -> None:
    """Stops the replication of the log to a member."""
    member = draw.member()
    member.replication_stopped = True
    await asyncio.sleep(draw.duration_s())
    member.replication_stopped = False


async def lose_answers(draw: Draw) -> None:
    """Makes a member execute the next statements and lose their replies."""
    draw.member().answers_to_lose = draw.rng.randint(1, 5)


async def reject_statements(draw: Draw) -> None:
    """Makes a member reject the next statements as too busy."""
    draw.member().statements_to_reject = draw.rng.randint(1, 30)


async def stall_member(draw: Draw) -> None:
    """Stalls the data to a member, from it, or in both directions."""
    link = draw.target.links[draw.member().id]
    directions = draw.rng.choice(
        ([links.Direction.TO_TARGET], [links.Direction.FROM_TARGET], list(links.Direction))
    )
    link.faults.stalled.update(directions)
    await asyncio.sleep(draw.duration_s())
    link.faults.stalled.clear()


async def reset_member(draw: Draw) -> None:
    """Resets all connections to a member."""
    draw.target.links[draw.member().id].reset()


async def delay_member(draw: Draw) -> None:
    """Delays all data from and to a member."""
    link = draw.target.links[draw.member().id]
    link.faults.delay_s = draw.rng.uniform(0.02, 0.3)
    await asyncio.sleep(draw.duration_s())
    link.faults.delay_s = 0.0


async def cut_store(draw: Draw) -> None:
    """Disconnects an instance from the store, by stalled or by refused connections."""
    link = draw.process().store
    if draw.rng.random() < 0.5:
        link.faults.stalled.update(links.Direction)
    else:
        link.faults.refusing = True
        link.reset()
    await asyncio.sleep(draw.duration_s())
    link.faults.refusing = False
    link.faults.stalled.clear()


async def stop_store(draw: Draw) -> None:
    """Makes the store unreachable for all instances."""
    for process in draw.target.processes:
        process.store.faults.refusing = True
        process.store.reset()
    await asyncio.sleep(draw.duration_s())
    for process in draw.target.processes:
        process.store.faults.refusing = False


async def refuse_calls(draw: Draw) -> None:
    """Makes the store refuse the next calls."""
    draw.target.platform.calls_to_refuse = draw.rng.randint(1, 20)


async def lose_changes(draw: Draw) -> None:
    """Makes the store lose the responses to changes, which it executes at once or seconds later."""
    if draw.rng.random() < 0.5:
        draw.target.platform.responses_to_lose = draw.rng.randint(1, 3)
    else:
        draw.target.platform.next_update_delay_s = draw.rng.uniform(0.5, MAX_DURATION_S)


async def drop_store_history(draw: Draw) -> None:
    """Drops the store's history of changes, so that instances have to list all objects again."""
    draw.target.platform.drop_history()


async def restore_store(draw: Draw) -> None:
    """Takes the store away from all instances; it returns from an older copy.

    Instances reach it again one after the other.
    """
    target = draw.target
    for process in target.processes:
        process.store.faults.refusing = True
        process.store.reset()
    await asyncio.sleep(draw.duration_s())
    await target.restore_store(draw.rng.uniform(0.0, MAX_COPY_AGE_S))
    for process in draw.rng.sample(target.processes, len(target.processes)):
        process.store.faults.refusing = False
        await asyncio.sleep(draw.rng.uniform(0.0, 0.5))


async def suspend_coordinator(process: site.InstanceProcess, duration_s: float) -> None:
    """Suspends the coordinator."""
    await process.pause(duration_s)


async def cut_coordinator_from_store(process: site.InstanceProcess, duration_s: float) -> None:
    """Refuses the coordinator's connections to the store."""
    process.store.faults.refusing = True
    process.store.reset()
    await asyncio.sleep(duration_s)
    process.store.faults.refusing = False


async def stall_coordinators_store(process: site.InstanceProcess, duration_s: float) -> None:
    """Stalls the coordinator's connections to the store."""
    process.store.faults.stalled.update(links.Direction)
    await asyncio.sleep(duration_s)
    process.store.faults.stalled.clear()


async def kill_coordinator(process: site.InstanceProcess, _duration_s: float) -> None:
    """Kills the coordinator and starts it again."""
    await process.kill()


async def depart(draw: Draw) -> None:
    """Makes the primary leave while the coordinator is suspended, cut off from the store or killed.

    The member serves for longer than it may receive new statements, and returns as an idle one.
    """
    loop = asyncio.get_running_loop()
    fault = draw.rng.choice(COORDINATOR_FAULTS)
    lead_s = draw.rng.uniform(-0.5, 0.8)
    disturbance = asyncio.ensure_future(
        _disturb_coordinator(draw.target, fault, max(0.0, -lead_s), site.DEPARTURE_DRAIN_S + 1.0)
    )
    await asyncio.sleep(max(0.0, lead_s))
    member = draw.primary()
    await draw.target.register(member, "draining")
    announced_at_s = loop.time()
    await asyncio.sleep(site.DEPARTURE_DRAIN_S)
    draw.target.departures.append(account.Departure(member.id, announced_at_s, loop.time()))
    await member.stop()
    await member.start()
    await draw.target.register(member, "ready")
    await disturbance


async def _disturb_coordinator(
    target: site.Site,
    fault: collections.abc.Callable[[site.InstanceProcess, float], collections.abc.Awaitable[None]],
    delay_s: float,
    duration_s: float,
) -> None:
    await asyncio.sleep(delay_s)
    process = target.coordinator()
    if process is None:
        return
    with process.disturbed():
        await fault(process, duration_s)


COORDINATOR_FAULTS = (
    suspend_coordinator,
    cut_coordinator_from_store,
    stall_coordinators_store,
    kill_coordinator,
)

PLANNED: tuple[Fault, ...] = (restart_gracefully, reload, configure, leave)
UNPLANNED: tuple[Fault, ...] = (
    *(kill, kill_all, pause, crash, stop_replication, lose_answers, reject_statements),
    *(stall_member, reset_member, delay_member),
    *(cut_store, stop_store, refuse_calls, lose_changes, drop_store_history),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a series.

    Attributes:
      start_s: Start of the fault, in seconds after the start of the series.
      fault: Function that causes the fault and ends it.
      seed: Seed of the fault's random details.
    """

    start_s: float
    fault: Fault
    seed: int

    def __str__(self) -> str:
        name = getattr(self.fault, "__name__", str(self.fault))
        return f"{self.start_s:.2f} s {name}"


def draw_series(seed: int, planned_only: bool) -> list[ScheduledFault]:
    """Returns the series of faults that belongs to a seed, in the order of their starts.

    Args:
      seed: Determines the whole series.
      planned_only: Whether the series has planned work only, such as restarts.
    """
    rng = random.Random(seed)
    faults = PLANNED if planned_only else PLANNED + UNPLANNED * 2
    series = [
        ScheduledFault(rng.uniform(0.0, START_WINDOW_S), rng.choice(faults), rng.randrange(1 << 30))
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    return sorted(series, key=lambda scheduled: scheduled.start_s)


def add_restores(
    series: collections.abc.Sequence[ScheduledFault], seed: int
) -> list[ScheduledFault]:
    """Returns a series with one or two restores of the store, in the order of the starts.

    Args:
      series: The other faults, which stay as they are.
      seed: Determines the restores.
    """
    rng = random.Random(f"restores {seed}")
    restores = [
        ScheduledFault(rng.uniform(0.0, START_WINDOW_S), restore_store, rng.randrange(1 << 30))
        for _ in range(rng.randint(1, 2))
    ]
    return sorted([*series, *restores], key=lambda scheduled: scheduled.start_s)


def draw_departures(seed: int) -> list[ScheduledFault]:
    """Returns a series with a departure and harmless faults, in the order of the starts.

    Args:
      seed: Determines the whole series.
    """
    rng = random.Random(f"departures {seed}")
    harmless = (configure, lose_answers, reject_statements, drop_store_history, reset_member)
    series = [ScheduledFault(rng.uniform(0.5, 2.5), depart, rng.randrange(1 << 30))]
    series += [
        ScheduledFault(rng.uniform(0.0, 8.0), rng.choice(harmless), rng.randrange(1 << 30))
        for _ in range(rng.randint(0, 6))
    ]
    return sorted(series, key=lambda scheduled: scheduled.start_s)


async def run_series(
    series: collections.abc.Sequence[ScheduledFault], target: site.Site, planned_only: bool
) -> None:
    """Causes the faults of a series and waits for the end of all of them.

    Args:
      series: The faults in the order of their starts.
      target: The site that the faults act on.
      planned_only: Whether each fault has to end before the next one starts.
    """
    loop = asyncio.get_running_loop()
    series_started_at_s = loop.time()
    running: list[asyncio.Task[None]] = []
    for scheduled in series:
        await asyncio.sleep(max(0.0, series_started_at_s + scheduled.start_s - loop.time()))
        fault = scheduled.fault(Draw(target, random.Random(scheduled.seed)))
        running.append(asyncio.ensure_future(fault))
        if planned_only:
            await asyncio.wait({running[-1]})
    await asyncio.gather(*running)
