"""The steps of the fault matrix: at which points of which work a fault is injected."""

import collections.abc
import dataclasses

from faults import fleet
from faults import network

Setup = collections.abc.Callable[[fleet.Fleet], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A point at which a fault is injected.

    Attributes:
      name: "work: point".
      event: The event of the fakes that marks the point.
      nth: Which occurrence of the event is meant, from 1.
      setup: What starts the work, beside the sessions that always run.
      trait: Conditions on the event's party: "primary", "replica" or empty.
    """

    name: str
    event: str
    nth: int = 1
    setup: Setup | None = None
    trait: str = ""

    def matches(self, world: fleet.Fleet, event: network.Event) -> bool:
        """Tells whether an event is an occurrence of the point."""
        if event.name != self.event:
            return False
        if not self.trait:
            return True
        primary = world.primary(event.group)
        is_primary = primary is not None and primary.party == event.party
        return is_primary == (self.trait == "primary")


# The former primary comes back while the sessions still run.
ISOLATION_S = 2.0


async def _isolate_primary(world: fleet.Fleet) -> None:
    primary = world.primary("g0")
    assert primary is not None
    world.isolate(primary.party)
    world.loop.call_later(ISOLATION_S, world.rejoin, primary.party)


async def _primary_leaves(world: fleet.Fleet) -> None:
    primary = world.primary("g0")
    assert primary is not None
    primary.set_leaving()
    world.publish_later()


async def _apply_configuration(world: fleet.Fleet) -> None:
    world.apply_configuration()


async def _stop_owner(world: fleet.Fleet) -> None:
    world.stop_soon(world.owner("g0"))


STEPS = (
    Step("write: received by the primary", "write.received", 3, trait="primary"),
    Step("write: executed, not answered", "write.executed", 3, trait="primary"),
    Step("write: received by a replica", "replica.received", 3),
    Step("read: received by a replica", "read.received", 3, trait="replica"),
    Step("read: executed, not answered", "read.executed", 3),
    Step("transaction: begun", "begin.executed", 2),
    Step("transaction: statement executed", "statement.executed", 2),
    Step("transaction: commit received", "commit.received", 2),
    Step("transaction: commit executed, not answered", "commit.executed", 2),
    Step("failover: first fence received", "fence.received", 1, _isolate_primary),
    Step("failover: one of two fences granted", "fence.granted", 1, _isolate_primary),
    Step("failover: both fences granted", "fence.granted", 2, _isolate_primary),
    Step("failover: promote received", "promote.received", 1, _isolate_primary),
    Step("failover: promoted, not answered", "promote.executed", 1, _isolate_primary),
    Step("failover: follow received", "follow.received", 1, _isolate_primary),
    Step("planned change: first fence granted", "fence.granted", 1, _primary_leaves),
    Step("planned change: promoted, not answered", "promote.executed", 1, _primary_leaves),
    Step("configuration: change received", "store.put.received", 1, _apply_configuration),
    Step("configuration: head updated, not answered", "head.updated", 1, _apply_configuration),
    Step("configuration: new head at a peer", "push_head.received", 1, _apply_configuration),
    Step("shutdown: announced", "leaving.received", 1, _stop_owner),
    Step("roam: session moved", "session.roamed", 4),
)

BY_NAME = {step.name: step for step in STEPS}
