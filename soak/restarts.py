"""Series in which members start again, with or without their logs, and other faults meet that."""

import asyncio
import dataclasses
import enum
import random

from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server
from soak import faults
from soak import site

# Number of restarts in one series, and the time between their starts. In a group with synchronous
# replicas, two logs that are lost at the same time may be the only ones with a commit.
MIN_RESTARTS, MAX_RESTARTS = 2, 3
RESTART_INTERVAL_S = 7.0

MIN_PAUSE_S, MAX_PAUSE_S = 0.01, 2.0

# Maximum time until the record of a restarted member is written if it is late.
MAX_NEWS_DELAY_S = 3.0

# Maximum duration of the other fault. A dark primary is replaced within it.
MAX_DURATION_S = 4.0

# Time for which the other replica receives nothing before a replica restarts and the primary goes
# dark.
REPLICA_LAG_S = 0.3

# Other faults start this long before or after the end of the member's process.
MAX_LEAD_S, MAX_LAG_S = 0.5, 0.5

# Maximum number of harmless faults in one series.
MAX_HARMLESS_FAULTS = 4


class Companion(enum.Enum):
    """What else happens while a member restarts."""

    NOTHING = "alone"
    SILENCE = "its link is dark"
    CUT_STORE = "an instance is cut off from the store"
    STOPPED_STORE = "the store is away"
    PAUSED_COORDINATOR = "the coordinator is suspended"
    KILLED_COORDINATOR = "the coordinator is killed"
    PAUSED_INSTANCES = "all instances but one are suspended"
    DARK_PRIMARY = "the primary is dark"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRestart:
    """A restart of a member and the fault that meets it.

    Attributes:
      restart: How the member restarts.
      of_primary: Whether it is the primary.
      companion: The other fault.
      companion_start_s: Start of the other fault, in seconds after the end of the process.
      duration_s: Duration of the other fault.
    """

    restart: platform_server.Restart
    of_primary: bool
    companion: Companion
    companion_start_s: float
    duration_s: float

    def __str__(self) -> str:
        role = "primary" if self.of_primary else "replica"
        log = "with" if self.restart.keeps_log else "without"
        return (
            f"restart of the {role} {log} its log after {self.restart.pause_s:.2f} s, news"
            f" {self.restart.news.name} {self.restart.news_delay_s:.1f} s;"
            f" {self.companion.value} at {self.companion_start_s:+.2f} s"
        )

    async def __call__(self, draw: faults.Draw) -> None:
        """Restarts the member, and causes and ends the other fault."""
        target = draw.target
        primary = draw.primary()
        replicas = [member for member in target.group.members.values() if member is not primary]
        member = primary if self.of_primary else draw.rng.choice(replicas)
        if self.companion is Companion.DARK_PRIMARY:
            # Only the primary and the replica that restarts have the last commits.
            for replica in replicas:
                replica.replication_stopped = replica is not member
            await asyncio.sleep(REPLICA_LAG_S)
        companion = asyncio.ensure_future(self._run_companion(draw, member, primary))
        await asyncio.sleep(max(0.0, -self.companion_start_s))
        address = target.links[member.id].address
        await target.platform.restart_member(member, self.restart, address)
        await companion

    async def _run_companion(
        self, draw: faults.Draw, member: line_group.LineMember, primary: line_group.LineMember
    ) -> None:
        await asyncio.sleep(max(0.0, self.companion_start_s))
        target = draw.target
        coordinator = target.coordinator() or draw.process()
        match self.companion:
            case Companion.SILENCE:
                await _darken(target, member, self.duration_s)
            case Companion.CUT_STORE:
                await faults.cut_store(draw)
            case Companion.STOPPED_STORE:
                await faults.stop_store(draw)
            case Companion.PAUSED_COORDINATOR:
                await coordinator.pause(self.duration_s)
            case Companion.KILLED_COORDINATOR:
                await coordinator.kill()
            case Companion.PAUSED_INSTANCES:
                others = [process for process in target.processes if process is not coordinator]
                paused = [coordinator, *others[1:]]
                await asyncio.gather(*(process.pause(self.duration_s) for process in paused))
            case Companion.DARK_PRIMARY:
                primary.is_isolated = True
                for replica in target.group.members.values():
                    replica.replication_stopped = False
                await _darken(target, primary, self.duration_s)
                primary.end_isolation()


async def _darken(target: site.Site, member: line_group.LineMember, duration_s: float) -> None:
    """Takes the link of a member off the network for a time."""
    link = target.links[member.id]
    link.go_dark()
    await asyncio.sleep(duration_s)
    await link.end_darkness()


def _draw_restart(rng: random.Random) -> MemberRestart:
    companion = rng.choice(list(Companion))
    dark = companion is Companion.DARK_PRIMARY
    restart = platform_server.Restart(
        keeps_log=rng.random() < 0.25 and not dark,
        # Most failures need a process that is back before anybody has noticed its end.
        pause_s=rng.choice((rng.uniform(MIN_PAUSE_S, 0.3), rng.uniform(0.3, MAX_PAUSE_S))),
        news=rng.choice(list(platform_server.News)),
        news_delay_s=rng.uniform(0.0, MAX_NEWS_DELAY_S),
    )
    start_s = rng.uniform(-MAX_LEAD_S, MAX_LAG_S)
    return MemberRestart(
        restart,
        of_primary=rng.random() < 0.7 and not dark,
        companion=companion,
        # A primary that is dark before the end of a replica acknowledges nothing in between.
        companion_start_s=rng.uniform(0.0, restart.pause_s) if dark else start_s,
        duration_s=rng.uniform(0.3, MAX_DURATION_S),
    )


def draw_series(seed: int) -> list[faults.ScheduledFault]:
    """Returns a series with restarts of members and harmless faults, in the order of the starts.

    Args:
      seed: Determines the whole series.
    """
    rng = random.Random(f"restarts {seed}")
    series = [
        faults.ScheduledFault(
            rng.uniform(0.5, 1.5) + number * RESTART_INTERVAL_S,
            _draw_restart(rng),
            rng.randrange(1 << 30),
        )
        for number in range(rng.randint(MIN_RESTARTS, MAX_RESTARTS))
    ]
    harmless = (
        faults.configure,
        faults.lose_answers,
        faults.reject_statements,
        faults.delay_member,
    )
    series += [
        faults.ScheduledFault(
            rng.uniform(0.0, series[-1].start_s), rng.choice(harmless), rng.randrange(1 << 30)
        )
        for _ in range(rng.randint(0, MAX_HARMLESS_FAULTS))
    ]
    return sorted(series, key=lambda scheduled: scheduled.start_s)


def group_options(seed: int) -> line_group.GroupOptions:
    """Returns the options of the group of a seed: every second one waits for a replica."""
    if seed % 2 == 0:
        return dataclasses.replace(site.GROUP_OPTIONS, seed=seed)
    return dataclasses.replace(site.GROUP_OPTIONS, seed=seed, sync_replicas=1, receive_lag_s=0.05)
