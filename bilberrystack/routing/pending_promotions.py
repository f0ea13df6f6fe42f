"""Promotion requests that were made and have not been seen to take effect.

A promotion that the platform has accepted takes effect whatever becomes of its member meanwhile: a
member that is unreachable leads as soon as it is back. Later requests do not cancel it. While one
is pending, any other primary may be replaced at any moment, so that no grant may name it.
"""

import collections.abc
import dataclasses
import enum

from bilberrystack.routing import member_view
from bilberrystack.routing import running_time

# Time within which a promotion takes effect at a member that answers. A promotion takes effect
# within about 1 s of its request; a request without an answer may also be executed late.
PROMOTION_EFFECT_S = 2.0

# A member counts as answering while its status reports are no further apart than this.
MAX_REPORT_GAP_S = 0.8

# A member whose record has been missing from the store for this long is gone, and a request that
# named it is void. Records of members that are silent for some seconds leave the store as well. It
# counts in running time: a process that stands still does not see a record return.
MEMBER_GONE_S = 10.0


class Resolution(enum.Enum):
    """Why a promotion request is no longer pending."""

    IN_EFFECT = "in effect"
    NO_EFFECT = "no effect"
    MEMBER_GONE = "member gone"


@dataclasses.dataclass(slots=True)
class _Request:
    """A pending request.

    Attributes:
      replaced_term: Term of the primary that it replaces; the named member leads a newer one.
      requested_at_s: Time of the request, or at which this instance learned of it.
      answering_since_s: Time since which the member has answered without interruption, and not as
        the new primary; None if it has not answered since the request.
      answered_at_s: Time of its last status report.
      missing_since_s: Time since which its record is missing; None if the store has it.
    """

    replaced_term: int
    requested_at_s: float
    answering_since_s: float | None = None
    answered_at_s: float = 0.0
    missing_since_s: float | None = None


class PendingPromotions:
    """The pending promotion requests of one group."""

    __slots__ = ("_requests", "_resolved", "_running_time")

    def __init__(self, running: running_time.RunningTime = running_time.ALWAYS_RUNNING) -> None:
        """Create a group's collection without requests.

        Args:
          running: Time in which this process ran.
        """
        self._running_time = running
        self._requests: dict[str, _Request] = {}
        self._resolved: dict[str, Resolution] = {}

    @property
    def members(self) -> frozenset[str]:
        """Ids of the members that pending requests name."""
        return frozenset(self._requests)

    def add(self, member: str, replaced_term: int, now_s: float) -> None:
        """Record a request, also one of an earlier coordinator.

        Args:
          member: The member that it names.
          replaced_term: Term of the primary that it replaces; 0 if none was known.
          now_s: Current time.
        """
        known = self._requests.get(member)
        if known is not None:
            replaced_term = min(replaced_term, known.replaced_term)
        self._requests[member] = _Request(replaced_term, now_s)

    def remove(self, member: str) -> None:
        """Remove the request that names a member, which certainly takes no effect."""
        self._requests.pop(member, None)

    def update(self, views: collections.abc.Iterable[member_view.MemberView], now_s: float) -> None:
        """Remove the requests that are no longer pending.

        Args:
          views: Observed state of the group's members.
          now_s: Current time.
        """
        by_id = {view.id: view for view in views}
        resolved = {
            member: resolution
            for member, request in self._requests.items()
            if (resolution := self._resolution(request, by_id.get(member), now_s)) is not None
        }
        for member in resolved:
            del self._requests[member]
        self._resolved.update(resolved)

    def take_resolved(self) -> dict[str, Resolution]:
        """Return the members whose requests `update` has removed since the last call, and why."""
        resolved, self._resolved = self._resolved, {}
        return resolved

    def _resolution(
        self, request: _Request, view: member_view.MemberView | None, now_s: float
    ) -> Resolution | None:
        """Update a request from its member's state; return why it is no longer pending, if so."""
        if view is not None and view.primary and view.term > request.replaced_term:
            return Resolution.IN_EFFECT
        if view is not None and view.in_store:
            request.missing_since_s = None
        elif request.missing_since_s is None:
            request.missing_since_s = now_s
        elif self._running_time.elapsed_s(request.missing_since_s, now_s) >= MEMBER_GONE_S:
            return Resolution.MEMBER_GONE
        if view is None or view.polled_at_s <= max(request.requested_at_s, request.answered_at_s):
            return None
        interrupted = view.polled_at_s - request.answered_at_s > MAX_REPORT_GAP_S
        if request.answering_since_s is None or interrupted:
            request.answering_since_s = view.polled_at_s
        request.answered_at_s = view.polled_at_s
        answered_s = request.answered_at_s - request.answering_since_s
        return Resolution.NO_EFFECT if answered_s >= PROMOTION_EFFECT_S else None
