"""Which member runs a statement: the one with the shortest expected wait."""

import collections.abc
import dataclasses

# What crossing to another failure domain costs, beyond its 1 ms round trip: bytes between domains
# are paid for.
DISTANCE_S = 0.015

# A read that a replica may serve goes to the primary only if it waits this much less there: writes
# have nowhere else to go.
PRIMARY_RESERVE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What is known of a member's load.

    Attributes:
      member: Its id.
      slots: Statements that it runs at a time.
      in_flight: Statements that this instance has there.
      others: Statements that other instances are thought to have there.
      service_s: How long a statement takes there, as lately measured.
      near: Whether it is in this instance's failure domain.
      primary: Whether it leads.
    """

    member: str
    slots: int
    in_flight: int
    others: float
    service_s: float
    near: bool
    primary: bool


def expected_s(load: Load) -> float:
    """Returns how long a statement is expected to take at a member, from now."""
    waiting = max(0.0, load.in_flight + load.others + 1 - load.slots)
    time_s = load.service_s * (1 + waiting / load.slots)
    return time_s if load.near else time_s + DISTANCE_S


def choose(loads: collections.abc.Iterable[Load], replicas_first: bool) -> str | None:
    """Chooses the member with the shortest expected time.

    Args:
      loads: The members that may run the statement.
      replicas_first: Whether the primary is to be spared.
    Returns:
      The member's id; None if there is none.
    """

    def cost(load: Load) -> tuple[float, float, str]:
        reserve = PRIMARY_RESERVE_S if replicas_first and load.primary else 0.0
        return expected_s(load) + reserve, load.in_flight / load.slots, load.member

    best = min(loads, key=cost, default=None)
    return None if best is None else best.member
