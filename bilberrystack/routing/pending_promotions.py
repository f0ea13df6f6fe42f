"""Promotion requests that were made and may take effect, for the first time or once more.

Nothing limits how late a promotion takes effect. A request without an answer may be on its way to
the platform, one that the platform has accepted may not have reached the member, and a member that
is unreachable leads as soon as it is back. Later requests do not cancel it. While one is pending,
any other primary may be replaced at any moment, so that no grant may name it.

A pending request is *awaited* first: it is expected to take effect at once, and the group waits for
it. Once its member has answered for a time without leading, it is *overdue*: the group goes on
without unconditional grants for any other member, and may request further promotions.

A request that was seen in effect or rejected is *repeatable* for a time: it may be carried out once
more, and what was rejected may be accepted then. While its member leads, that changes nothing. Once
another member leads, the named one has to confirm that primary's answers as long as it answers
itself. A member that does not answer is left out: most such members do not run and can't be
promoted, and the group would stop until they return.
"""

import collections.abc
import dataclasses
import enum

from bilberrystack.routing import member_view
from bilberrystack.routing import running_time

# A request is overdue once its member has answered for this long without leading. A promotion
# usually takes effect within 1 s of its request.
PROMOTION_EFFECT_S = 2.0

# A request is taken to be void once its member has answered for this long without leading, or has
# been missing from the store for this long. The platform names no limit; this is far above the time
# limits of an HTTP server or of a connection that loses packets.
REQUEST_LIFETIME_S = 60.0

# A request that was seen in effect or rejected is taken to be carried out no more after this time.
REPEATABLE_S = REQUEST_LIFETIME_S

# A member counts as answering while its status reports are no further apart than this.
MAX_REPORT_GAP_S = 0.8

# A member whose record has been missing from the store for this long is gone. Requests that name it
# don't count until the record is back. Records of members that are silent for some seconds leave
# the store as well. It counts in running time: a process that stands still does not see a record
# return.
MEMBER_GONE_S = 10.0


class Resolution(enum.Enum):
    """Why a promotion request is no longer pending; the first two make it repeatable."""

    IN_EFFECT = "in effect"
    REJECTED = "rejected"
    NOT_REPEATED = "not repeated"
    NO_EFFECT = "no effect"
    MEMBER_GONE = "member gone"


class _Answer(enum.Enum):
    """What is known of the platform's answer to a request."""

    OUTSTANDING = enum.auto()
    ACCEPTED = enum.auto()
    NONE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """A request that is no longer pending.

    Attributes:
      number: Number of the request.
      member: The member that it names.
      resolution: Why it is no longer pending.
    """

    number: int
    member: str
    resolution: Resolution


@dataclasses.dataclass(slots=True)
class _Request:
    """A pending request.

    Attributes:
      member: The member that it names.
      replaced_term: The named member takes office in a newer term.
      requested_at_s: Time of the request, or at which this instance learned of it.
      answer: What is known of the platform's answer.
      overdue: Whether the group no longer waits for its effect.
      answering_since_s: Time since which the member has answered without interruption, and not as
        the new primary; None if it has not answered since the request.
      answered_at_s: Time of its last status report.
      missing_since_s: Time since which its record is missing; None if the store has it.
      gone: Whether its record has been missing for so long that the member counts as gone.
      repeatable_since_s: Time at which it was seen in effect or rejected; None while it is pending.
      reachable: Whether its member has answered an instance recently, once it is repeatable.
    """

    member: str
    replaced_term: int
    requested_at_s: float
    answer: _Answer
    overdue: bool = False
    answering_since_s: float | None = None
    answered_at_s: float = 0.0
    missing_since_s: float | None = None
    gone: bool = False
    repeatable_since_s: float | None = None
    reachable: bool = True

    @property
    def pending(self) -> bool:
        """Whether it has not been seen in effect, nor rejected."""
        return self.repeatable_since_s is None


class PendingPromotions:
    """The pending promotion requests of one group."""

    __slots__ = ("_effects", "_request_count", "_requests", "_resolved", "_running_time")

    def __init__(self, running: running_time.RunningTime = running_time.ALWAYS_RUNNING) -> None:
        """Create a group's collection without requests.

        Args:
          running: Time in which this process ran.
        """
        self._running_time = running
        self._request_count = 0
        self._requests: dict[int, _Request] = {}
        # The newest term of each member that was counted as the effect of a request.
        self._effects: dict[str, int] = {}
        self._resolved: list[Resolved] = []

    @property
    def awaited(self) -> frozenset[str]:
        """Ids of the members whose promotions the group waits for."""
        return frozenset(
            request.member
            for request in self._requests.values()
            if request.pending and not request.overdue and not request.gone
        )

    @property
    def members(self) -> frozenset[str]:
        """Ids of the members that may become the primary at any moment."""
        return frozenset(
            request.member
            for request in self._requests.values()
            if request.pending and not request.gone
        )

    @property
    def repeatable(self) -> frozenset[str]:
        """Ids of the members that a second copy of a request may promote."""
        return frozenset(
            request.member for request in self._requests.values() if not request.pending
        )

    @property
    def confirming(self) -> frozenset[str]:
        """Ids of the members that have to confirm the answers of another primary."""
        reachable = {
            request.member
            for request in self._requests.values()
            if not request.pending and request.reachable
        }
        return self.members | reachable

    def add(self, member: str, replaced_term: int, now_s: float) -> int:
        """Record a request that is about to be made.

        Args:
          member: The member that it names.
          replaced_term: Term of the primary that it replaces; 0 if none was known.
          now_s: Current time.
        Returns:
          The number of the request.
        """
        return self._add(_Request(member, replaced_term, now_s, _Answer.OUTSTANDING))

    def add_earlier(self, member: str, replaced_term: int, now_s: float) -> int:
        """Record a request of an earlier coordinator, whose answer is not known.

        Args:
          member: The member that it names.
          replaced_term: Term of the primary that it replaces; 0 if none was known.
          now_s: Current time.
        Returns:
          The number of the request.
        """
        return self._add(_Request(member, replaced_term, now_s, _Answer.NONE))

    def _add(self, request: _Request) -> int:
        self._request_count += 1
        self._requests[self._request_count] = request
        return self._request_count

    def record_accepted(self, number: int) -> None:
        """Record that the platform has accepted a request."""
        if number in self._requests:
            self._requests[number].answer = _Answer.ACCEPTED

    def record_unanswered(self, number: int) -> None:
        """Record that a request was sent and will get no answer."""
        if number in self._requests:
            self._requests[number].answer = _Answer.NONE

    def record_rejected(self, number: int, now_s: float) -> None:
        """Record that the platform has rejected a request; a second copy may be accepted."""
        if number in self._requests:
            self._make_repeatable(number, Resolution.REJECTED, now_s)

    def remove(self, number: int) -> None:
        """Remove a request that certainly takes no effect."""
        self._requests.pop(number, None)

    def add_repeatable(self, member: str, now_s: float) -> int:
        """Record a request of an earlier coordinator that was seen in effect or has no record.

        Args:
          member: The member that it names, or may name.
          now_s: Current time, from which it is repeatable for the usual time.
        Returns:
          The number of the request.
        """
        return self._add(_Request(member, 0, now_s, _Answer.NONE, repeatable_since_s=now_s))

    def is_pending(self, number: int) -> bool:
        """Return whether a request may still take effect for the first time."""
        return number in self._requests and self._requests[number].pending

    def contains(self, number: int) -> bool:
        """Return whether a request is pending or repeatable."""
        return number in self._requests

    def names(self, member: str) -> bool:
        """Return whether a pending request names a member, also one that is gone."""
        return any(
            request.pending and request.member == member for request in self._requests.values()
        )

    def update(self, views: collections.abc.Iterable[member_view.MemberView], now_s: float) -> None:
        """Take account of the members' newest reports.

        Args:
          views: Observed state of the group's members.
          now_s: Current time.
        """
        if not self._requests:
            return
        by_id = {view.id: view for view in views}
        for member, view in by_id.items():
            if view.primary:
                self._record_effect(member, view.term, now_s)
        for number, request in list(self._requests.items()):
            observe = self._observe if request.pending else self._observe_repeatable
            resolution = observe(request, by_id.get(request.member), now_s)
            if resolution is not None:
                self._remove_resolved(number, resolution)

    def take_resolved(self) -> list[Resolved]:
        """Return the requests that are no longer pending, or repeatable, since the last call."""
        resolved, self._resolved = self._resolved, []
        return resolved

    def _remove_resolved(self, number: int, resolution: Resolution) -> None:
        request = self._requests.pop(number)
        self._resolved.append(Resolved(number, request.member, resolution))

    def _make_repeatable(self, number: int, resolution: Resolution, now_s: float) -> None:
        request = self._requests[number]
        request.repeatable_since_s = now_s
        self._resolved.append(Resolved(number, request.member, resolution))

    def _record_effect(self, member: str, term: int, now_s: float) -> None:
        """Make the requests repeatable whose effect is that a member leads a term.

        Accepted requests for it have certainly been carried out. Without any, the effect is that of
        one request without an answer: another one may still be on its way. The effect may also be
        that of a repeatable request; the one without an answer is repeatable then, and counts too.
        """
        effective = {
            number: request
            for number, request in self._requests.items()
            if request.pending and request.member == member and request.replaced_term < term
        }
        for request in effective.values():
            request.overdue = True
        accepted = self._numbers(effective, _Answer.ACCEPTED)
        for number in accepted:
            self._make_repeatable(number, Resolution.IN_EFFECT, now_s)
        outstanding = self._numbers(effective, _Answer.OUTSTANDING)
        if not effective or self._effects.get(member, 0) >= term:
            return
        if outstanding and not accepted:
            # The answer, which follows soon, tells whether this is the effect of that request.
            return
        self._effects[member] = term
        unanswered = self._numbers(effective, _Answer.NONE)
        if unanswered and not accepted:
            self._make_repeatable(min(unanswered), Resolution.IN_EFFECT, now_s)
        for request in effective.values():
            request.replaced_term = term

    @staticmethod
    def _numbers(requests: collections.abc.Mapping[int, _Request], answer: _Answer) -> list[int]:
        """Return the numbers of the requests with an answer."""
        return [number for number, request in requests.items() if request.answer is answer]

    def _observe_repeatable(
        self, request: _Request, view: member_view.MemberView | None, now_s: float
    ) -> Resolution | None:
        """Update a repeatable request; return why it is dropped, if so."""
        assert request.repeatable_since_s is not None
        request.reachable = (
            view is not None
            and self._running_time.elapsed_s(view.last_contact_at_s, now_s) < MAX_REPORT_GAP_S
        )
        expired = now_s - request.repeatable_since_s >= REPEATABLE_S
        return Resolution.NOT_REPEATED if expired else None

    def _observe(
        self, request: _Request, view: member_view.MemberView | None, now_s: float
    ) -> Resolution | None:
        """Update a request from its member's state; return why it is no longer pending, if so."""
        if view is not None and view.in_store:
            request.missing_since_s, request.gone = None, False
        elif request.missing_since_s is None:
            request.missing_since_s = now_s
        else:
            missing_s = self._running_time.elapsed_s(request.missing_since_s, now_s)
            request.gone = missing_s >= MEMBER_GONE_S
            if missing_s >= REQUEST_LIFETIME_S:
                return Resolution.MEMBER_GONE
        if view is None or view.polled_at_s <= max(request.requested_at_s, request.answered_at_s):
            return None
        interrupted = view.polled_at_s - request.answered_at_s > MAX_REPORT_GAP_S
        if request.answering_since_s is None or interrupted:
            request.answering_since_s = view.polled_at_s
        request.answered_at_s = view.polled_at_s
        answered_s = request.answered_at_s - request.answering_since_s
        request.overdue = request.overdue or answered_s >= PROMOTION_EFFECT_S
        return Resolution.NO_EFFECT if answered_s >= REQUEST_LIFETIME_S else None
