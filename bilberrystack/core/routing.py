"""Selection of the replica that serves a read."""

import collections.abc
import dataclasses

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import positions

# Time for which a member that could not be reached is not selected, in seconds. The time doubles
# with each failure until the member answers.
UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 4.0

# Time for which only a member's applied position counts after it reported to be behind at a
# position that it had received, in seconds. With a constant apply lag, reads that rely on the
# received position would wait at this member without success.
APPLIED_ONLY_S = 1.0


@dataclasses.dataclass(slots=True)
class _Candidate:
    """State of one member.

    Attributes:
      name: The member's declared name.
      address: Address of its endpoint.
      same_domain: Whether it is in the failure domain of the owner.
      received: Highest log position that it has reported.
      applied: Highest position that it has reported as visible to reads.
      behind_position: Lowest position for which it answered that it is behind and that it has not
        reported as applied since; None if there is none.
      applied_only_until: Time on the event loop's clock until which only its applied position
        counts.
      unreachable_until: Time on the event loop's clock until which it is not selected.
      failure_count: Number of consecutive failures to reach it.
      leaving: Whether its last report says that its endpoint is leaving.
      primary: Whether its last report says that it is the primary.
    """

    name: str
    address: str
    same_domain: bool
    received: positions.Position = positions.ZERO
    applied: positions.Position = positions.ZERO
    behind_position: positions.Position | None = None
    applied_only_until: float = 0.0
    unreachable_until: float = 0.0
    failure_count: int = 0
    leaving: bool = False
    primary: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedMember:
    """A member that reads can be routed to.

    Attributes:
      name: The member's declared name.
      address: Address of its endpoint.
      same_domain: Whether it is in the failure domain of the owner.
    """

    name: str
    address: str
    same_domain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAvailability:
    """Availability of the replicas for one read.

    Attributes:
      ready: Whether a replica can serve the read as soon as it has a free slot.
      worth_waiting: Whether a replica can serve the read now or is expected to after a short wait.
      reason: Reason why the primary has to serve the read; used if worth_waiting is false.
    """

    ready: bool
    worth_waiting: bool
    reason: str


_READY = ReplicaAvailability(True, True, "")
_BEHIND = ReplicaAvailability(False, True, "behind")
_FAR_BEHIND = ReplicaAvailability(False, False, "far behind")
_NO_REPLICA = ReplicaAvailability(False, False, "no replica")


class Router:
    """Selects replicas for reads by log position, load and failure domain."""

    __slots__ = ("_candidates", "_leaving_addresses", "_timed_out_position")

    def __init__(self, routed_members: collections.abc.Iterable[RoutedMember]) -> None:
        self._candidates = {
            member.name: _Candidate(member.name, member.address, member.same_domain)
            for member in routed_members
        }
        self._leaving_addresses: frozenset[str] = frozenset()
        self._timed_out_position: positions.Position | None = None

    def set_leaving_addresses(self, addresses: frozenset[str]) -> None:
        """Sets the addresses of the endpoints that are leaving."""
        self._leaving_addresses = addresses

    def is_leaving(self, name: str) -> bool:
        """Returns whether a member is leaving, by its own report or by its endpoint's address."""
        candidate = self._candidates[name]
        return candidate.leaving or candidate.address in self._leaving_addresses

    def record_status(self, status: members.MemberStatus) -> bool:
        """Records a member's status report.

        Returns:
          True if the member's positions advanced, so that waiting reads may now be served.
        """
        candidate = self._candidates[status.member]
        candidate.leaving = status.leaving
        candidate.primary = status.primary
        return self._update_positions(candidate, status.last_log, status.applied)

    def record_read(self, name: str, position: positions.Position) -> bool:
        """Records the position of a read's answer.

        Returns:
          True if the member's positions advanced.
        """
        return self._update_positions(self._candidates[name], position, position)

    def record_behind(self, name: str, min_position: positions.Position, now: float) -> None:
        """Records that a member answered a read with "behind".

        The member is not selected for reads at or after the position until it has applied it.

        Args:
          name: The member's declared name.
          min_position: Minimum position of the read.
          now: Seconds of the event loop's clock.
        """
        candidate = self._candidates[name]
        candidate.applied_only_until = now + APPLIED_ONLY_S
        if candidate.behind_position is None or min_position < candidate.behind_position:
            candidate.behind_position = min_position

    def record_unreachable(self, name: str, now: float) -> None:
        """Records that a member could not be reached, and excludes it for the backoff time."""
        candidate = self._candidates[name]
        pause_s = min(UNREACHABLE_BACKOFF_S * 2**candidate.failure_count, MAX_UNREACHABLE_BACKOFF_S)
        candidate.failure_count += 1
        candidate.unreachable_until = now + pause_s

    def record_reachable(self, name: str) -> None:
        """Records that a member answered, and ends its exclusion."""
        candidate = self._candidates[name]
        candidate.unreachable_until = 0.0
        candidate.failure_count = 0

    def record_wait_timeout(self, min_position: positions.Position) -> None:
        """Records that no replica applied a position within the maximum wait.

        Until a replica has applied the position, reads at or after it do not wait for replicas.
        """
        if self._timed_out_position is None or min_position < self._timed_out_position:
            self._timed_out_position = min_position

    def replica_availability(
        self,
        min_position: positions.Position,
        primary: str | None,
        now: float,
        excluded: collections.abc.Container[str],
    ) -> ReplicaAvailability:
        """Returns the availability of the replicas for a read, without regard to free slots.

        Args:
          min_position: Minimum position that the read has to reflect.
          primary: Name of the primary; None if there is none.
          now: Seconds of the event loop's clock.
          excluded: Names of members that must not serve the read.
        """
        has_replica = False
        for candidate in self._candidates.values():
            if candidate.name == primary or not self._is_usable(candidate, now, excluded):
                continue
            has_replica = True
            if self._is_ready(candidate, min_position, now):
                return _READY
        if not has_replica:
            return _NO_REPLICA
        if self._timed_out_position is not None and min_position >= self._timed_out_position:
            return _FAR_BEHIND
        return _BEHIND

    def replica_has_applied(
        self, min_position: positions.Position, primary: str | None, now: float
    ) -> bool:
        """Returns whether a usable replica is known to have applied a position."""
        return any(
            candidate.applied >= min_position
            and candidate.name != primary
            and self._is_usable(candidate, now, ())
            for candidate in self._candidates.values()
        )

    def choose_replica(
        self,
        min_position: positions.Position,
        primary: str | None,
        now: float,
        load: collections.abc.Callable[[str], float],
        excluded: collections.abc.Container[str],
    ) -> str | None:
        """Selects a replica with a free slot for a read.

        Args:
          min_position: Minimum position that the read has to reflect.
          primary: Name of the primary, which is never selected; None if there is none.
          now: Seconds of the event loop's clock.
          load: Returns the share of a member's slots that is in use, 1.0 or more if none is free.
          excluded: Names of members that must not serve the read.
        Returns:
          The replica's name; None if no replica with a free slot is ready for the read;
          NO_FREE_SLOT if no replica has a free slot.
        """
        best: _Candidate | None = None
        best_rank = (True, 0.0, True)
        saturated = True
        for candidate in self._candidates.values():
            if candidate.name == primary:
                continue
            used_share = load(candidate.name)
            if used_share >= 1.0:
                continue
            saturated = False
            if not self._is_usable(candidate, now, excluded):
                continue
            if not self._is_ready(candidate, min_position, now):
                continue
            rank = (candidate.applied < min_position, used_share, not candidate.same_domain)
            if best is None or rank < best_rank:
                best, best_rank = candidate, rank
        if best is not None:
            return best.name
        return admission.NO_FREE_SLOT if saturated else None

    def _is_usable(
        self, candidate: _Candidate, now: float, excluded: collections.abc.Container[str]
    ) -> bool:
        if candidate.unreachable_until > now or candidate.name in excluded:
            return False
        return not candidate.leaving and candidate.address not in self._leaving_addresses

    def _is_ready(
        self, candidate: _Candidate, min_position: positions.Position, now: float
    ) -> bool:
        """Returns whether a member is expected to serve a read at a position without delay.

        A member that has received a position is expected to apply it soon, unless it has reported
        to be behind.
        """
        if candidate.applied >= min_position:
            return True
        if candidate.applied_only_until > now:
            return False
        if candidate.behind_position is not None and min_position >= candidate.behind_position:
            return False
        return candidate.received >= min_position

    def _update_positions(
        self, candidate: _Candidate, received: positions.Position, applied: positions.Position
    ) -> bool:
        advanced = received > candidate.received or applied > candidate.applied
        candidate.received = max(candidate.received, received)
        candidate.applied = max(candidate.applied, applied)
        if candidate.behind_position is not None and candidate.applied >= candidate.behind_position:
            candidate.behind_position = None
        if (
            self._timed_out_position is not None
            and candidate.applied >= self._timed_out_position
            and not candidate.primary
        ):
            self._timed_out_position = None
        return advanced
