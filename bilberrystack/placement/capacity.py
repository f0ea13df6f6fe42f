"""Free capacity of other domains' members, as known from their status reports."""

import collections.abc

from bilberrystack.placement import estimates
from bilberrystack.placement import selection

# A member counts as having room up to this many statements for each slot, those that run included.
# With half a statement waiting for each slot, the wait is about half of a service time.
ROOM_PER_SLOT = 1.5

# Above this many statements for each slot a member is overfull.
OVERFULL_PER_SLOT = 2.0

# Weight of the newest report in the mean. A single report shows one moment of a queue that changes
# with each statement.
NEWEST_WEIGHT = 0.5

# A report has its full weight for this long, and loses half of it in each half-life from then on.
# While leaving is considered, members are asked each 0.25 s.
FULL_WEIGHT_S = 0.75
HALF_LIFE_S = 0.5


class Capacity:
    """What members' status reports have shown."""

    __slots__ = ("_active", "_observed_at_s")

    def __init__(self) -> None:
        self._active: dict[str, float] = {}
        self._observed_at_s: dict[str, float] = {}

    def observe(self, load: selection.MemberLoad) -> None:
        """Take over a member's last status report, once."""
        known_at_s = self._observed_at_s.get(load.member)
        if load.status_active is None or known_at_s == load.status_at_s:
            return
        previous = self._active.get(load.member)
        fresh = (
            previous is not None
            and known_at_s is not None
            and load.status_at_s - known_at_s <= FULL_WEIGHT_S + HALF_LIFE_S
        )
        active = float(load.status_active)
        if fresh and previous is not None:
            active = previous + NEWEST_WEIGHT * (active - previous)
        self._active[load.member] = active
        self._observed_at_s[load.member] = load.status_at_s

    def free_slots(
        self, loads: collections.abc.Iterable[selection.MemberLoad], now_s: float
    ) -> float:
        """Return the number of further statements that members have room for, by age.

        Args:
          loads: The members. One that has not been observed has no room.
          now_s: Current time.
        """
        return sum(
            max(0.0, ROOM_PER_SLOT * load.slots - self._active[load.member])
            * self._weight(load.member, now_s)
            for load in loads
            if load.member in self._active
        )

    def confidence(
        self, loads: collections.abc.Iterable[selection.MemberLoad], now_s: float
    ) -> float:
        """Return the weight of the newest report of any of the members, 0 without one."""
        return max((self._weight(load.member, now_s) for load in loads), default=0.0)

    def overfull(self, loads: collections.abc.Iterable[selection.MemberLoad]) -> bool:
        """Return whether all members that have been observed are overfull."""
        observed = [load for load in loads if load.member in self._active]
        return bool(observed) and all(
            self._active[load.member] > OVERFULL_PER_SLOT * load.slots for load in observed
        )

    def _weight(self, member: str, now_s: float) -> float:
        observed_at_s = self._observed_at_s.get(member)
        if observed_at_s is None:
            return 0.0
        return estimates.freshness(now_s - observed_at_s, FULL_WEIGHT_S, HALF_LIFE_S)
