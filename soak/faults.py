"""Series of overlapping faults, drawn from a seed."""

import asyncio
import collections.abc
import dataclasses
import random

from bilberrystack_standins import line_group
from soak import links
from soak import site

# Faults begin within this time; their ends come at most LONGEST_S later.
SPAN_S = 6.0
LONGEST_S = 2.5

# Faults of one series.
FEWEST, MOST = 4, 14

Act = collections.abc.Callable[["Draw"], collections.abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Draw:
    """What a fault may touch.

    Attributes:
      site: The site.
      chance: Decides the fault's details, drawn before the series starts.
    """

    site: site.Site
    chance: random.Random

    def process(self) -> site.Process:
        """Returns any instance."""
        return self.chance.choice(self.site.processes)

    def member(self) -> line_group.LineMember:
        """Returns any member."""
        return self.chance.choice(list(self.site.group.members.values()))

    def primary(self) -> line_group.LineMember:
        """Returns a member that sees itself as the primary, or any if there is none."""
        return next(iter(self.site.group.primaries), None) or self.member()

    def seconds(self) -> float:
        """Returns how long the fault lasts."""
        return self.chance.uniform(0.3, LONGEST_S)


async def roll(draw: Draw) -> None:
    """Stops an instance gracefully and starts it again."""
    await draw.process().stop_gracefully()


async def kill(draw: Draw) -> None:
    """Kills an instance and starts it again."""
    await draw.process().kill()


async def kill_all(draw: Draw) -> None:
    """Kills all instances at once."""
    await asyncio.gather(*(one.kill() for one in draw.site.processes))


async def pause(draw: Draw) -> None:
    """Suspends an instance."""
    await draw.process().pause(draw.seconds())


async def reload(draw: Draw) -> None:
    """Tells an instance that its settings file has changed."""
    await draw.process().reload()


async def configure(draw: Draw) -> None:
    """Declares several configurations in quick succession."""
    for number in range(draw.chance.randint(1, 5)):
        await draw.site.declare(f"extra-{number}")
        await asyncio.sleep(0.05)


async def leave(draw: Draw) -> None:
    """Lets the primary leave; it comes back after its end as a member without work."""
    one = draw.primary()
    await draw.site.register(one, "draining")
    await asyncio.sleep(site.DRAIN_S)
    await one.stop()
    await one.start()
    await draw.site.register(one, "ready")


async def crash(draw: Draw) -> None:
    """Kills a member and starts it again with its log."""
    one = draw.primary() if draw.chance.random() < 0.6 else draw.member()
    await one.stop()
    await asyncio.sleep(draw.seconds())
    await one.start()
    await draw.site.register(one)


async def deafen(draw: Draw) -> None:
    """Lets a member receive nothing."""
    one = draw.member()
    one.replication_stopped = True
    await asyncio.sleep(draw.seconds())
    one.replication_stopped = False


async def lose_answers(draw: Draw) -> None:
    """Lets a member run statements and lose their answers."""
    draw.member().answers_to_lose = draw.chance.randint(1, 5)


async def turn_away(draw: Draw) -> None:
    """Lets a member be too busy for some statements."""
    draw.member().statements_to_reject = draw.chance.randint(1, 30)


async def silence_member(draw: Draw) -> None:
    """Silences the connections to a member, in one direction or both."""
    link = draw.site.links[draw.member().id]
    ways = draw.chance.choice(([links.Way.THERE], [links.Way.BACK], list(links.Way)))
    link.conditions.silent.update(ways)
    await asyncio.sleep(draw.seconds())
    link.conditions.silent.clear()


async def reset_member(draw: Draw) -> None:
    """Resets the connections to a member."""
    draw.site.links[draw.member().id].reset()


async def delay_member(draw: Draw) -> None:
    """Delays all data of a member."""
    link = draw.site.links[draw.member().id]
    link.conditions.delay_s = draw.chance.uniform(0.02, 0.3)
    await asyncio.sleep(draw.seconds())
    link.conditions.delay_s = 0.0


async def cut_store(draw: Draw) -> None:
    """Cuts an instance off from the store, silently or with refusals."""
    link = draw.process().store
    if draw.chance.random() < 0.5:
        link.conditions.silent.update(links.Way)
    else:
        link.conditions.refusing = True
        link.reset()
    await asyncio.sleep(draw.seconds())
    link.conditions.refusing = False
    link.conditions.silent.clear()


async def stop_store(draw: Draw) -> None:
    """Takes the store away from everybody."""
    for process in draw.site.processes:
        process.store.conditions.refusing = True
        process.store.reset()
    await asyncio.sleep(draw.seconds())
    for process in draw.site.processes:
        process.store.conditions.refusing = False


async def refuse_calls(draw: Draw) -> None:
    """Lets the store refuse some calls."""
    draw.site.platform.calls_to_refuse = draw.chance.randint(1, 20)


async def lose_changes(draw: Draw) -> None:
    """Lets the store execute changes whose answers are lost, at once or seconds later."""
    if draw.chance.random() < 0.5:
        draw.site.platform.responses_to_lose = draw.chance.randint(1, 3)
    else:
        draw.site.platform.next_update_delay_s = draw.chance.uniform(0.5, LONGEST_S)


async def forget(draw: Draw) -> None:
    """Lets the store forget its history."""
    draw.site.platform.drop_history()


PLANNED: tuple[Act, ...] = (roll, reload, configure, leave)
UNPLANNED: tuple[Act, ...] = (
    *(kill, kill_all, pause, crash, deafen, lose_answers, turn_away),
    *(silence_member, reset_member, delay_member),
    *(cut_store, stop_store, refuse_calls, lose_changes, forget),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault of a series: when it begins, and the seed of its details."""

    at_s: float
    act: Act
    seed: int

    def __str__(self) -> str:
        return f"{self.at_s:.2f} s {self.act.__name__}"


def series(seed: int, calm: bool) -> list[Step]:
    """Draws a series.

    Args:
      seed: Decides everything.
      calm: Whether only planned work is done, one piece after the other.
    """
    chance = random.Random(seed)
    acts = PLANNED if calm else PLANNED + UNPLANNED * 2
    steps = [
        Step(chance.uniform(0.0, SPAN_S), chance.choice(acts), chance.randrange(1 << 30))
        for _ in range(chance.randint(FEWEST, MOST))
    ]
    return sorted(steps, key=lambda step: step.at_s)


async def play(steps: collections.abc.Sequence[Step], played: site.Site, calm: bool) -> None:
    """Plays a series.

    Args:
      steps: The faults in the order of their beginnings.
      played: Where.
      calm: Whether each step waits for the end of the one before.
    """
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    running: list[asyncio.Task[None]] = []
    for step in steps:
        await asyncio.sleep(max(0.0, began_at_s + step.at_s - loop.time()))
        act = step.act(Draw(played, random.Random(step.seed)))
        running.append(asyncio.ensure_future(act))
        if calm:
            await asyncio.wait({running[-1]})
    await asyncio.gather(*running)
