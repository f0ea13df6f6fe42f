"""Steps of the fault matrix: the points of an operation at which a fault is injected."""

import collections.abc
import dataclasses

from faults import fleet
from faults import network

Setup = collections.abc.Callable[[fleet.Simulation], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class InjectionStep:
    """A point at which a fault is injected.

    Attributes:
      name: Operation and point, as "operation: point".
      event: Name of the simulated event that marks the point.
      occurrence: Occurrence of the event at which the fault is injected, from 1.
      setup: Starts the operation; None if the sessions execute it anyway.
      member_role: Role that the event's member must have: "primary", "replica" or empty for any.
    """

    name: str
    event: str
    occurrence: int = 1
    setup: Setup | None = None
    member_role: str = ""

    def matches(self, simulation: fleet.Simulation, event: network.Event) -> bool:
        """Return whether an event marks this point."""
        if event.name != self.event:
            return False
        if not self.member_role:
            return True
        primary = simulation.primary(event.group)
        is_primary = primary is not None and primary.process == event.process
        return is_primary == (self.member_role == "primary")


# Short enough that the former primary rejoins while the sessions still run.
ISOLATION_DURATION_S = 2.0


async def _isolate_primary(simulation: fleet.Simulation) -> None:
    primary = simulation.primary("g0")
    assert primary is not None
    simulation.isolate(primary.process)
    simulation.loop.call_later(ISOLATION_DURATION_S, simulation.rejoin, primary.process)


async def _primary_leaves(simulation: fleet.Simulation) -> None:
    primary = simulation.primary("g0")
    assert primary is not None
    primary.set_leaving()
    simulation.schedule_list_update()


async def _apply_configuration(simulation: fleet.Simulation) -> None:
    simulation.apply_configuration()


async def _stop_owner(simulation: fleet.Simulation) -> None:
    simulation.begin_stop(simulation.owner("g0"))


STEPS = (
    InjectionStep("write: received by the primary", "write.received", 3, member_role="primary"),
    InjectionStep("write: executed, not answered", "write.executed", 3, member_role="primary"),
    InjectionStep("write: received by a replica", "replica.received", 3),
    InjectionStep("read: received by a replica", "read.received", 3, member_role="replica"),
    InjectionStep("read: executed, not answered", "read.executed", 3),
    InjectionStep("transaction: begun", "begin.executed", 2),
    InjectionStep("transaction: statement executed", "statement.executed", 2),
    InjectionStep("transaction: commit received", "commit.received", 2),
    InjectionStep("transaction: commit executed, not answered", "commit.executed", 2),
    InjectionStep("failover: first fence received", "fence.received", 1, _isolate_primary),
    InjectionStep("failover: one of two fences granted", "fence.granted", 1, _isolate_primary),
    InjectionStep("failover: both fences granted", "fence.granted", 2, _isolate_primary),
    InjectionStep("failover: promote received", "promote.received", 1, _isolate_primary),
    InjectionStep("failover: promoted, not answered", "promote.executed", 1, _isolate_primary),
    InjectionStep("failover: follow received", "follow.received", 1, _isolate_primary),
    InjectionStep("planned change: first fence granted", "fence.granted", 1, _primary_leaves),
    InjectionStep("planned change: promoted, not answered", "promote.executed", 1, _primary_leaves),
    InjectionStep("configuration: change received", "store.put.received", 1, _apply_configuration),
    InjectionStep(
        "configuration: head updated, not answered", "head.updated", 1, _apply_configuration
    ),
    InjectionStep(
        "configuration: new head at a peer", "push_head.received", 1, _apply_configuration
    ),
    InjectionStep("shutdown: announced", "leaving.received", 1, _stop_owner),
    InjectionStep("roam: session moved", "session.roamed", 4),
)

STEPS_BY_NAME = {step.name: step for step in STEPS}
