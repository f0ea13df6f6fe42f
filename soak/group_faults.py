"""Faults of a site with several groups in one process, and series of them drawn from a seed."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

from bilberrystack_standins import line_group
from bilberrystack_standins import line_network
from bilberrystack_standins import line_site
from bilberrystack_standins import platform_server
from soak import site as soak_site

# Time within which the faults of a series begin, and how many there are.
SERIES_S = 9.0
FAULT_COUNTS = (5, 9)

# Length of a fault. A lease lasts 8 s; a coordinator acts for 2 s after a renewal without standbys.
SHORTEST_S, LONGEST_S = 0.5, 6.0

# Length of the cut of a zone, in which another instance can acquire the lease and promote.
ZONE_CUT_S = (3.0, 7.0)

# Time for which a leaving primary serves after its record says that it drains.
DRAIN_S = (2.5, 7.0)

# Time for which a member is off the network, or its process is down.
MEMBER_OUTAGE_S = (0.3, 4.0)

# Longest pause between the end of a process and the start of the next one.
RESTART_PAUSE_S = 0.5

# Longest delay of a promotion request, and that of a slow store's calls, whose limit is 1 s.
PROMOTION_DELAY_S = 3.0
STORE_DELAY_S = 0.8

Answer = platform_server.PromotionAnswer


class Stage:
    """A site during a play, with the processes that the faults replace.

    Attributes:
      site: The site.
      rng: Source of all random choices.
      cut_kinds: The kinds of the cuts.
      addresses: Addresses of the instances that take new sessions, by name.
    """

    def __init__(
        self, site: line_site.Site, rng: random.Random, cut_kinds: tuple[line_network.Cut, ...]
    ) -> None:
        self.site = site
        self.rng = rng
        self.cut_kinds = cut_kinds
        self.addresses: dict[str, str] = {}
        self._disturbed: set[str] = set()
        for number in range(len(site.instances)):
            self.add_address(number)

    def add_address(self, number: int) -> None:
        """Lets clients open sessions at an instance."""
        settings = self.site.settings[number]
        endpoint = settings.sessions_endpoint
        self.addresses[settings.name] = f"{endpoint.host}:{endpoint.port}"

    def number_of(self, name: str) -> int:
        """Returns the number of the newest process of an instance."""
        names = [settings.name for settings in self.site.settings]
        return len(names) - 1 - names[::-1].index(name)

    @property
    def names(self) -> list[str]:
        """Names of the instances."""
        return sorted({settings.name for settings in self.site.settings})

    @property
    def coordinator(self) -> str:
        """Name of the holder of the coordinator lease; any instance if there is none."""
        lease = self.site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME)
        holder = lease["holder"]
        return self.rng.choice(self.names) if holder is None else str(holder["name"])

    def choose_instance(self) -> str:
        """Returns the coordinator in two of five cases, otherwise any instance."""
        return self.coordinator if self.rng.random() < 0.4 else self.rng.choice(self.names)

    def choose_primaries(self) -> list[line_group.LineMember]:
        """Returns the primaries of all groups, or of one."""
        primaries = [
            max(group.primaries, key=lambda member: member.term)
            for group in self.site.groups.values()
            if group.primaries
        ]
        if primaries and self.rng.random() < 0.5:
            return [self.rng.choice(primaries)]
        return primaries

    def draw_s(self, limits_s: tuple[float, float] = (SHORTEST_S, LONGEST_S)) -> float:
        """Returns a random time."""
        return self.rng.uniform(*limits_s)

    @contextlib.contextmanager
    def disturb(self, name: str) -> collections.abc.Iterator[bool]:
        """Marks a process as disturbed; returns whether no other fault has marked it."""
        free = name not in self._disturbed
        self._disturbed.add(name)
        try:
            yield free
        finally:
            if free:
                self._disturbed.discard(name)


async def _cut(
    stage: Stage,
    sources: list[str],
    targets: list[str],
    limits_s: tuple[float, float] = (SHORTEST_S, LONGEST_S),
) -> None:
    """Cuts machines off from others for a time, in both directions or in one."""
    network = stage.site.network
    kind, both = stage.rng.choice(stage.cut_kinds), stage.rng.random() < 0.7
    pairs = [(source, target) for source in sources for target in targets if source != target]
    for source, target in pairs:
        network.cut(source, target, kind, both=both)
    await asyncio.sleep(stage.draw_s(limits_s))
    for source, target in pairs:
        network.heal(source, target)


async def cut_instance(stage: Stage) -> None:
    """Cuts an instance off from the coordinator, from some instances or from all."""
    name = stage.choose_instance()
    others = stage.names
    targets = stage.rng.choice(
        [[stage.coordinator], stage.rng.sample(others, len(others) // 2), others]
    )
    await _cut(stage, [name], targets)


async def cut_zone(stage: Stage) -> None:
    """Cuts an instance off from all others and from primaries, and the others from the store."""
    name = stage.choose_instance()
    others = [other for other in stage.names if other != name]
    primaries = [member.id for member in stage.choose_primaries()]
    without_store = others if stage.rng.random() < 0.5 else [name]
    await asyncio.gather(
        _cut(stage, [name], [*others, *primaries], ZONE_CUT_S),
        _cut(stage, without_store, [line_network.STORE], ZONE_CUT_S),
    )


async def restart_cut_off(stage: Stage) -> None:
    """Starts an instance anew while it is cut off, and lets primaries leave that it can't reach.

    It is no standby of the coordinator, which the others support without the store.
    """
    name = stage.rng.choice(stage.names)
    others = [other for other in stage.names if other != name]
    leaving = stage.choose_primaries()
    await asyncio.gather(
        _kill(stage, name),
        _cut(stage, [name], others, ZONE_CUT_S),
        _cut(stage, [name], [member.id for member in leaving], ZONE_CUT_S),
        _cut(stage, others, [line_network.STORE], ZONE_CUT_S),
        *(_leave(stage, member) for member in leaving),
    )


async def cut_store(stage: Stage) -> None:
    """Cuts one instance or several off from the store."""
    others = stage.rng.sample(stage.names, stage.rng.randrange(len(stage.names)))
    await _cut(stage, [stage.choose_instance(), *others], [line_network.STORE])


async def cut_members(stage: Stage) -> None:
    """Cuts an instance, or several, off from primaries."""
    others = stage.rng.sample(stage.names, stage.rng.randrange(len(stage.names)))
    primaries = [member.id for member in stage.choose_primaries()]
    await _cut(stage, [stage.choose_instance(), *others], primaries)


async def leave(stage: Stage) -> None:
    """Primaries announce that they leave, serve on for a time, end, and start anew."""
    await asyncio.gather(*(_leave(stage, member) for member in stage.choose_primaries()))


async def _leave(stage: Stage, member: line_group.LineMember) -> None:
    platform = stage.site.platform
    with stage.disturb(member.id) as free:
        if not free:
            return
        await platform.register_member(member, "draining")
        await asyncio.sleep(stage.draw_s(DRAIN_S))
        await member.stop()
        await platform.remove("servers", member.id)
        await asyncio.sleep(stage.draw_s(MEMBER_OUTAGE_S))
        await member.start()
        await platform.register_member(member, "ready")


async def darken(stage: Stage) -> None:
    """Takes primaries off the network for a time."""
    await asyncio.gather(*(_darken(stage, member) for member in stage.choose_primaries()))


async def _darken(stage: Stage, member: line_group.LineMember) -> None:
    with stage.disturb(member.id) as free:
        if free:
            member.go_dark()
            await asyncio.sleep(stage.draw_s(MEMBER_OUTAGE_S))
            await member.end_darkness()


async def crash(stage: Stage) -> None:
    """Ends the processes of primaries, and starts them again with their logs."""
    await asyncio.gather(*(_crash(stage, member) for member in stage.choose_primaries()))


async def _crash(stage: Stage, member: line_group.LineMember) -> None:
    with stage.disturb(member.id) as free:
        if free:
            pause_s = stage.draw_s(MEMBER_OUTAGE_S)
            await stage.site.platform.restart_member(
                member, platform_server.Restart(keeps_log=True, pause_s=pause_s)
            )


async def kill(stage: Stage) -> None:
    """Ends an instance's process at once, and starts it under its name, at any address."""
    await _kill(stage, stage.choose_instance())


async def _kill(stage: Stage, name: str) -> None:
    with stage.disturb(name) as free:
        if not free:
            return
        number = stage.number_of(name)
        stage.addresses.pop(name, None)
        await stage.site.instances[number].terminate()
        await asyncio.sleep(stage.draw_s((0.0, RESTART_PAUSE_S)))
        same = stage.rng.random() < 0.5
        await _start(
            stage, name, stage.site.settings[number].sessions_endpoint.host if same else ""
        )


async def _start(stage: Stage, name: str, host: str = "") -> None:
    started = stage.site.start_instance(name, host=host)
    while not started.ready:
        await asyncio.sleep(0.02)
    stage.add_address(stage.number_of(name))


async def stop(stage: Stage) -> None:
    """Stops an instance gracefully; its successor starts at once or after its end.

    Clients keep using their open sessions meanwhile.
    """
    name = stage.choose_instance()
    with stage.disturb(name) as free:
        if not free:
            return
        number = stage.number_of(name)
        stage.addresses.pop(name, None)
        stage.site.instances[number].request_stop()
        if stage.rng.random() < 0.5:
            await stage.site.wait_until_stopped(number)
        await _start(stage, name)


async def disturb_promotions(stage: Stage) -> None:
    """Lets the next promotion requests be slow, be late without an answer, or be refused."""
    platform = stage.site.platform
    for _ in range(stage.rng.randint(1, 4)):
        if stage.rng.random() < 0.25:
            platform.promotions_to_refuse += 1
            continue
        delay_s = stage.rng.uniform(0.0, PROMOTION_DELAY_S)
        answer = stage.rng.choice([Answer.WHEN_CARRIED_OUT, Answer.NEVER, Answer.RESET])
        platform.promotion_faults.append(platform_server.PromotionFault((delay_s,), answer))


async def slow_store(stage: Stage) -> None:
    """Delays each call to the store for a time."""
    stage.site.platform.call_delay_s = stage.rng.uniform(0.1, STORE_DELAY_S)
    await asyncio.sleep(stage.draw_s())
    stage.site.platform.call_delay_s = 0.0


async def lose_answers(stage: Stage) -> None:
    """Loses the answers to the next changes in the store."""
    stage.site.platform.responses_to_lose += stage.rng.randint(1, 4)


Fault = collections.abc.Callable[[Stage], collections.abc.Awaitable[None]]

# Faults, those of cuts and of leaving primaries several times, since they are drawn so often.
FAULTS: tuple[Fault, ...] = (
    *(cut_instance, cut_instance, cut_zone, restart_cut_off, cut_store, cut_members),
    *(leave, leave, leave, darken, crash, kill, kill, stop, stop),
    *(disturb_promotions, slow_store, lose_answers),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault of a series.

    Attributes:
      at_s: Its start, counted from that of the series.
      fault: The fault.
    """

    at_s: float
    fault: Fault

    def __str__(self) -> str:
        return f"{self.at_s:.1f} s {getattr(self.fault, '__name__', '')}"


def draw_series(rng: random.Random) -> list[ScheduledFault]:
    """Returns faults that overlap, in the order of their starts."""
    drawn = [
        ScheduledFault(rng.uniform(0.0, SERIES_S), rng.choice(FAULTS))
        for _ in range(rng.randint(*FAULT_COUNTS))
    ]
    return sorted(drawn, key=lambda scheduled: scheduled.at_s)


async def run_series(series: list[ScheduledFault], stage: Stage) -> None:
    """Runs a series, and returns once all its faults have ended."""

    async def run(scheduled: ScheduledFault) -> None:
        await asyncio.sleep(scheduled.at_s)
        await scheduled.fault(stage)

    await asyncio.gather(*(run(scheduled) for scheduled in series))
    platform = stage.site.platform
    stage.site.network.heal()
    platform.promotion_faults.clear()
    platform.promotions_to_refuse = platform.responses_to_lose = 0
