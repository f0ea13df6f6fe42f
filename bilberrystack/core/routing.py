"""Choice of the member that serves a read."""

import collections.abc
import dataclasses

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import positions

# How long a member that could not be reached is left out of the choice, in seconds. The time
# doubles with each failure until the member answers.
UNREACHABLE_S = 0.5
MAX_UNREACHABLE_S = 4.0

# After a member was behind at a position that it had received, only what it has applied counts for
# this long, in seconds: with a steady apply lag each such read would wait for nothing.
UNEXPECTED_S = 1.0


@dataclasses.dataclass(slots=True)
class _Candidate:
    """What is known about one member.

    Attributes:
      received: The highest log position it has reported.
      applied: The highest position it has reported as visible to reads.
      missed: The position at which it last answered that it is behind.
      unexpected_until: Instant on the runtime's clock until which only its applied position counts.
      avoided_until: Instant on the runtime's clock until which it counts as unreachable.
      failures: How often in succession it could not be reached.
      leaving: Whether it last reported that its endpoint is leaving.
      primary: Whether it last reported to be primary.
    """

    name: str
    address: str
    near: bool
    received: positions.Position = positions.ZERO
    applied: positions.Position = positions.ZERO
    missed: positions.Position | None = None
    unexpected_until: float = 0.0
    avoided_until: float = 0.0
    failures: int = 0
    leaving: bool = False
    primary: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A member as the choice sees it.

    Attributes:
      name: The member's declared name.
      address: The address of its endpoint.
      near: Whether it is in the failure domain of the owner.
    """

    name: str
    address: str
    near: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What a read may expect of the replicas.

    Attributes:
      ready: Whether a replica can serve it as soon as it has a free slot.
      worth_waiting: Whether a replica can serve it at once or is expected to within a short wait.
      reason: Why the primary serves the read, if no wait is worth while.
    """

    ready: bool
    worth_waiting: bool
    reason: str


_READY = Prospect(True, True, "")
_BEHIND = Prospect(False, True, "behind")
_FAR_BEHIND = Prospect(False, False, "far behind")
_NO_REPLICA = Prospect(False, False, "no replica")


class Router:
    """Chooses members by position, load and failure domain."""

    __slots__ = ("_candidates", "_fruitless", "_leaving_addresses")

    def __init__(self, endpoints: collections.abc.Iterable[Endpoint]) -> None:
        self._candidates = {
            one.name: _Candidate(one.name, one.address, one.near) for one in endpoints
        }
        self._leaving_addresses: frozenset[str] = frozenset()
        self._fruitless: positions.Position | None = None

    def set_leaving(self, addresses: frozenset[str]) -> None:
        """Tells which endpoint addresses are leaving."""
        self._leaving_addresses = addresses

    def is_leaving(self, name: str) -> bool:
        """Tells whether a member is leaving, by its own report or by its endpoint's address."""
        candidate = self._candidates[name]
        return candidate.leaving or candidate.address in self._leaving_addresses

    def record_status(self, status: members.MemberStatus) -> bool:
        """Takes a member's report.

        Returns:
          Whether reads that wait for a position may have a place now.
        """
        candidate = self._candidates[status.member]
        candidate.leaving = status.leaving
        candidate.primary = status.primary
        return self._advance(candidate, status.last_log, status.applied)

    def record_read(self, name: str, position: positions.Position) -> bool:
        """Takes the position of a read's answer; returns whether the member has advanced."""
        return self._advance(self._candidates[name], position, position)

    def record_behind(self, name: str, min_position: positions.Position, now: float) -> None:
        """Keeps the member from reads at or past a position until it reports to be there."""
        candidate = self._candidates[name]
        candidate.unexpected_until = now + UNEXPECTED_S
        if candidate.missed is None or min_position < candidate.missed:
            candidate.missed = min_position

    def record_unreachable(self, name: str, now: float) -> None:
        """Leaves a member out of the choice for a while."""
        candidate = self._candidates[name]
        pause_s = min(UNREACHABLE_S * 2**candidate.failures, MAX_UNREACHABLE_S)
        candidate.failures += 1
        candidate.avoided_until = now + pause_s

    def record_reachable(self, name: str) -> None:
        """Ends the effect of record_unreachable."""
        candidate = self._candidates[name]
        candidate.avoided_until = 0.0
        candidate.failures = 0

    def record_fruitless_wait(self, min_position: positions.Position) -> None:
        """Keeps reads at or past a position from waiting until a replica reports to be there."""
        if self._fruitless is None or min_position < self._fruitless:
            self._fruitless = min_position

    def prospect(
        self,
        min_position: positions.Position,
        primary: str | None,
        now: float,
        excluded: collections.abc.Container[str],
    ) -> Prospect:
        """Tells what a read may expect of the replicas, apart from free slots."""
        found = False
        for one in self._candidates.values():
            if one.name == primary or not self._is_usable(one, now, excluded):
                continue
            found = True
            if self._is_ready(one, min_position, now):
                return _READY
        if not found:
            return _NO_REPLICA
        if self._fruitless is not None and min_position >= self._fruitless:
            return _FAR_BEHIND
        return _BEHIND

    def has_applied(
        self, min_position: positions.Position, primary: str | None, now: float
    ) -> bool:
        """Tells whether a usable replica is known to have applied a position."""
        return any(
            one.applied >= min_position and one.name != primary and self._is_usable(one, now, ())
            for one in self._candidates.values()
        )

    def choose(
        self,
        min_position: positions.Position,
        primary: str | None,
        now: float,
        load: collections.abc.Callable[[str], float],
        excluded: collections.abc.Container[str],
    ) -> str | None:
        """Returns a replica with a free slot for a read.

        Args:
          min_position: The position that the read has to see.
          primary: The primary's name, which is not chosen here.
          now: Seconds of the runtime's clock.
          load: Returns the used share of a member's slots, 1.0 or more if none is free.
          excluded: Members that the read has tried.
        Returns:
          The replica; None if no replica with a free slot is ready for the read; NO_SLOT if no
          replica has a free slot.
        """
        best: _Candidate | None = None
        best_rank = (True, 0.0, True)
        saturated = True
        for one in self._candidates.values():
            if one.name == primary:
                continue
            used = load(one.name)
            if used >= 1.0:
                continue
            saturated = False
            if not self._is_usable(one, now, excluded):
                continue
            if not self._is_ready(one, min_position, now):
                continue
            rank = (one.applied < min_position, used, not one.near)
            if best is None or rank < best_rank:
                best, best_rank = one, rank
        if best is not None:
            return best.name
        return admission.NO_SLOT if saturated else None

    def _is_usable(
        self, one: _Candidate, now: float, excluded: collections.abc.Container[str]
    ) -> bool:
        if one.avoided_until > now or one.name in excluded:
            return False
        return not one.leaving and one.address not in self._leaving_addresses

    def _is_ready(self, one: _Candidate, min_position: positions.Position, now: float) -> bool:
        """A member that has received a position is about to apply it, unless it said otherwise."""
        if one.applied >= min_position:
            return True
        if one.unexpected_until > now:
            return False
        if one.missed is not None and min_position >= one.missed:
            return False
        return one.received >= min_position

    def _advance(
        self, one: _Candidate, received: positions.Position, applied: positions.Position
    ) -> bool:
        advanced = received > one.received or applied > one.applied
        one.received = max(one.received, received)
        one.applied = max(one.applied, applied)
        if one.missed is not None and one.applied >= one.missed:
            one.missed = None
        if self._fruitless is not None and one.applied >= self._fruitless and not one.primary:
            self._fruitless = None
        return advanced
