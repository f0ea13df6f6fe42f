"""Selection of the member that runs a statement: the one with the lowest expected cost."""

import collections.abc
import dataclasses

# Cost of running a statement in another failure domain, in seconds, where `crossing` is disabled.
# It exceeds the round trip of 1 ms because traffic between failure domains is billed.
CROSS_DOMAIN_PENALTY_S = 0.015

# Cost, in seconds, of running a read on the primary that a replica may serve. Such a read goes to
# the primary only if its expected time there is shorter by this much. Only the primary can run
# writes, so that its capacity is kept for them.
PRIMARY_PENALTY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLoad:
    """Known and estimated load of a member.

    Attributes:
      member: Id of the member.
      slots: Number of statements that it runs concurrently.
      in_flight: Statements of this instance in flight at the member.
      others_in_flight: Estimated number of statements of other instances in flight at the member.
      service_time_s: Recent average service time of a statement, in seconds.
      same_domain: Whether it is in this instance's failure domain.
      primary: Whether it is the primary.
      domain: Its failure domain.
      links: Number of this instance's connections to it.
      usable: Whether it accepts connections, as far as this instance knows.
      status_active: Statements at it by its last status report; None if it has sent none.
      status_at_s: When that report was asked for.
      crossing_cost_s: Cost of reaching it from another failure domain, in seconds.
    """

    member: str
    slots: int
    in_flight: int
    others_in_flight: float
    service_time_s: float
    same_domain: bool
    primary: bool
    domain: str = ""
    links: int = 0
    usable: bool = True
    status_active: int | None = None
    status_at_s: float = float("-inf")
    crossing_cost_s: float = CROSS_DOMAIN_PENALTY_S


def expected_time_s(load: MemberLoad) -> float:
    """Returns the expected time of a statement at a member, in seconds.

    The time includes the wait in the member's queue and the cost of reaching another failure
    domain.
    """
    queued = max(0.0, load.in_flight + load.others_in_flight + 1 - load.slots)
    time_s = load.service_time_s * (1 + queued / load.slots)
    return time_s if load.same_domain else time_s + load.crossing_cost_s


def choose(loads: collections.abc.Iterable[MemberLoad], prefer_replicas: bool) -> str | None:
    """Returns the member with the lowest expected cost.

    Args:
      loads: Loads of the members that may run the statement.
      prefer_replicas: Whether the primary is charged a penalty.
    Returns:
      Id of the member; None if `loads` is empty.
    """

    def cost(load: MemberLoad) -> tuple[float, float, str]:
        penalty_s = PRIMARY_PENALTY_S if prefer_replicas and load.primary else 0.0
        return expected_time_s(load) + penalty_s, load.in_flight / load.slots, load.member

    best = min(loads, key=cost, default=None)
    return None if best is None else best.member
