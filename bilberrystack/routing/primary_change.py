"""State machine of the primary change of a database group: failover and planned change.

The coordinator runs one `PrimaryChange` for each group. The state machine takes the observed state
of the members and returns the next action. The caller carries out the action and reports its
result. The silence of members and each wait for them count in running time; ends of grants and of
earlier requests count all time. The state machine never requests a promotion while a grant of the
group may be in use, nor while the effect of an earlier request is awaited. While an earlier request
may still take effect, grants of another member than that of the request are conditional.
"""

import collections.abc
import dataclasses
import enum
import math

from bilberrystack.routing import candidates
from bilberrystack.routing import member_logs
from bilberrystack.routing import member_view
from bilberrystack.routing import newest_term
from bilberrystack.routing import pending_promotions
from bilberrystack.routing import permission
from bilberrystack.routing import running_time

# A primary that no instance has reached for this long is unresponsive and is replaced. The target
# is an outage below 1 s, including 0.3 to 1 s for the promotion itself; round trips to members are
# below 10 ms.
UNRESPONSIVE_TIMEOUT_S = 0.8

# Time limit for a primary that has not answered any instance yet. When a whole fleet starts,
# members are slow to accept its connections: a SYN that finds the accept queue full is
# retransmitted after 1 s.
FIRST_CONTACT_TIMEOUT_S = UNRESPONSIVE_TIMEOUT_S + 1.0

# Time limit for a primary if the coordinator hears too few other instances. By then, an instance
# that hears more of them has acquired the coordinator lease, provided it reaches the store.
ISOLATED_TIMEOUT_S = 3.0

# Time limit for a primary whose address refuses connections: no process listens there.
REFUSED_TIMEOUT_S = 0.25

# Time after which a primary whose record is missing from the store is replaced. Records that
# expired during an outage of the store are restored within 2 s of its return.
MISSING_RECORD_TIMEOUT_S = 2.5

# Time that a planned change waits for a replica to receive the complete log of the old primary.
CATCH_UP_TIMEOUT_S = 0.4

# Time after which a group whose members all report themselves as replicas gets a new primary. A
# promotion requested by another instance may still take effect within that time.
NO_PRIMARY_TIMEOUT_S = 0.3

# Interval between orders to a replica that still reports a HOLD.
RESUME_RETRY_INTERVAL_S = 1.0

_LEAVING_REASON = "primary leaves"


class Phase(enum.Enum):
    """Phase of a primary change."""

    STEADY = "steady"
    FENCING = "fencing"
    CALLING = "calling"
    SETTLING = "settling"


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Action: withdraw the group's grants and collect the acknowledgements."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Action: order the old primary to step down at a term."""

    member: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Action: request the promotion of a member.

    Attributes:
      member: Id of the member.
      request: Number of the request among the pending ones of the group.
    """

    member: str
    request: int = dataclasses.field(default=0, compare=False)


class PromotionReply(enum.Enum):
    """Result of a promotion request to the platform."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_MADE = "not_made"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Action: order replicas to receive nothing more, so that no commit is acknowledged."""

    members: tuple[str, ...]
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Action: order a replica to receive log entries again."""

    member: str


Action = Withdraw | Fence | Promote | Hold | Resume


class PrimaryChange:
    """State machine of the primary change of one group."""

    __slots__ = (
        "_candidate",
        "_first_settled_at_s",
        "_fixed_at_s",
        "_known_since_s",
        "_leader",
        "_leader_gone_since_s",
        "_leader_reported",
        "_leaving_replaceable_at_s",
        "_logs",
        "_missing_since_s",
        "_newest",
        "_no_primary_since_s",
        "_observed_since_s",
        "_pending",
        "_phase",
        "_reason",
        "_rejected_at_s",
        "_request",
        "_requested_at_s",
        "_resumed_at_s",
        "_running_time",
        "_settled_at_s",
        "_started_at_s",
        "_stepped_down",
    )

    def __init__(
        self,
        settled_at_s: float,
        leaving_replaceable_at_s: float | None = None,
        pending: pending_promotions.PendingPromotions | None = None,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
        *,
        newest: newest_term.NewestTerm | None = None,
        logs: member_logs.MemberLogs | None = None,
    ) -> None:
        """Starts to observe a group.

        Args:
          settled_at_s: Time from which no promotion request and no grant of the previous
            coordinator is in effect. No grants are given before.
          leaving_replaceable_at_s: Time from which no grant of the previous coordinator is in
            effect, so that a primary that leaves can be replaced; None for `settled_at_s`. If a
            promotion request of the previous coordinator still takes effect, no grant suffers.
          pending: Promotion requests of earlier coordinators; None for none.
          running: Time in which this process ran.
          newest: Newest term and primary of the group that are known already; None for none.
          logs: What the members have shown of their logs already; None for nothing.
        """
        self._logs = member_logs.MemberLogs() if logs is None else logs
        self._leader_gone_since_s: float | None = None
        self._running_time = running
        self._newest = newest_term.NewestTerm() if newest is None else newest
        self._pending = pending_promotions.PendingPromotions() if pending is None else pending
        self._phase = Phase.STEADY
        self._leader: permission.Leader | None = None
        # Whether the leader is the primary by the newest reports.
        self._leader_reported = False
        self._first_settled_at_s = settled_at_s
        self._settled_at_s = settled_at_s
        self._leaving_replaceable_at_s = (
            settled_at_s if leaving_replaceable_at_s is None else leaving_replaceable_at_s
        )
        self._started_at_s = 0.0
        # Since when each member is known, and since when any is.
        self._known_since_s: dict[str, float] = {}
        self._observed_since_s: float | None = None
        self._requested_at_s: float | None = None
        # Number of the last promotion request; 0 before the first.
        self._request = 0
        self._candidate: str | None = None
        self._stepped_down: set[str] = set()
        self._fixed_at_s = math.inf
        self._no_primary_since_s: float | None = None
        self._missing_since_s: float | None = None
        self._reason = ""
        self._rejected_at_s: dict[str, float] = {}
        self._resumed_at_s: dict[str, float] = {}

    @property
    def phase(self) -> Phase:
        """Current phase of the primary change."""
        return self._phase

    @property
    def leader(self) -> permission.Leader | None:
        """The last observed primary; None if none has been observed."""
        return self._leader

    @property
    def leader_reported(self) -> bool:
        """Whether the newest reports name the last observed primary as the primary."""
        return self._leader_reported

    @property
    def without_primary(self) -> bool:
        """Whether no member is known to be the primary of the newest term."""
        return not self._leader_reported or self._no_primary_since_s is not None

    @property
    def promotion_awaited(self) -> bool:
        """Whether the group waits for the effect of a promotion request."""
        return bool(self._pending.awaited)

    @property
    def condition(self) -> frozenset[str]:
        """Ids of the members that have to confirm each answer of the leader; empty for none.

        They may be promoted at any moment, by a request that is pending or by a second copy.
        """
        return self._pending.confirming.difference(self._leader_ids)

    @property
    def may_have_ended(self) -> frozenset[str]:
        """Ids of the members in the condition that confirm also by the end of their process.

        No pending request names them.
        """
        return self.condition - self._pending.members

    @property
    def promotable(self) -> frozenset[str]:
        """Ids of the members, other than the leader, that may be promoted, also silent ones."""
        promotable = self._pending.members | self._pending.repeatable
        return promotable.difference(self._leader_ids)

    @property
    def _leader_ids(self) -> tuple[str, ...]:
        return () if self._leader is None else (self._leader.member,)

    @property
    def reason(self) -> str:
        """Reason for the last primary change; empty if there was none."""
        return self._reason

    def grantable_primary(self, now_s: float) -> permission.Leader | None:
        """Returns the primary for which grants may be given.

        There is none during a primary change, while the effect of a promotion request is awaited,
        if a member knows a newer term than the primary's, and if the last report of the primary
        names it as a replica. A member that is only silent remains the primary by its last report.
        Grants are conditional while other members may be promoted at any moment.
        """
        if self._phase is not Phase.STEADY or now_s < self._settled_at_s:
            return None
        if self.promotion_awaited or not self._leader_reported:
            return None
        # Without a report, a primary is one by its record in the store alone, in no known term.
        return self._leader if self._leader is not None and self._leader.term > 0 else None

    def record_fenced(self, member: str) -> None:
        """Records that a member has stepped down as the primary.

        Only the last observed primary can have acknowledged the newest commits. Another one, of an
        older term, shows nothing about them.

        Args:
          member: Id of the member.
        """
        self._stepped_down.add(member)

    def record_held(self, now_s: float) -> None:
        """Records that replicas were ordered to receive nothing more.

        Positions that are asked for from now on contain all acknowledged commits, whether or not
        each replica has carried the order out: the grants of the old primary have ended.
        """
        self._fixed_at_s = now_s

    def record_reply(self, member: str, reply: PromotionReply, now_s: float) -> None:
        """Records the result of a promotion request.

        Args:
          member: Member that the request named.
          reply: Result of the request; a request with an unknown result may still take effect.
          now_s: Current time.
        """
        match reply:
            case PromotionReply.ACCEPTED | PromotionReply.UNKNOWN:
                if reply is PromotionReply.ACCEPTED:
                    self._pending.record_accepted(self._request)
                else:
                    self._pending.record_unanswered(self._request)
                self._settled_at_s = max(
                    self._settled_at_s, now_s + pending_promotions.PROMOTION_EFFECT_S
                )
                return
            case PromotionReply.REJECTED:
                self._rejected_at_s[member] = now_s
                self._pending.record_rejected(self._request, now_s)
            case PromotionReply.NOT_MADE:
                self._pending.remove(self._request)
        self._requested_at_s = None
        self._phase = Phase.FENCING

    def step(
        self,
        views: collections.abc.Sequence[member_view.MemberView],
        grants_end_at_s: float,
        now_s: float,
        isolated: bool = False,
        sync_replicas: int = 0,
    ) -> Action | None:
        """Advances the state machine and returns the next action.

        Args:
          views: Observed state of the group's members.
          grants_end_at_s: Time at which the last grant ends whose withdrawal has not been
            acknowledged.
          now_s: Current time.
          isolated: Whether the coordinator hears too few instances to distinguish a dead primary
            from one that only the coordinator can't reach.
          sync_replicas: Number of replicas that receive a commit before it is acknowledged.
        Returns:
          The action; None to wait.
        """
        leader = self.observe(views, now_s)
        match self._phase:
            case Phase.STEADY:
                return self._step_steady(leader, views, now_s, isolated)
            case Phase.FENCING:
                return self._step_fencing(views, grants_end_at_s, sync_replicas, now_s)
            case Phase.CALLING:
                return self._step_calling(leader, now_s)
            case Phase.SETTLING:
                if now_s >= self._settled_at_s:
                    self._phase = Phase.STEADY
        return None

    def observe(
        self, views: collections.abc.Sequence[member_view.MemberView], now_s: float
    ) -> member_view.MemberView | None:
        """Takes the newest reports into account for grants, without a decision.

        Args:
          views: Observed state of the group's members.
          now_s: Current time.
        Returns:
          The primary of the newest term; None if there is none.
        """
        self._pending.update(views, now_s)
        self._newest.observe(views)
        self._logs.update(views, now_s)
        known = self._newest.leader
        if known is not None and (self._leader is None or known.term > self._leader.term):
            self._leader = known
        if self._leader is None or any(
            view.id == self._leader.member and view.in_store for view in views
        ):
            self._leader_gone_since_s = None
        elif self._leader_gone_since_s is None:
            self._leader_gone_since_s = now_s
        leader = self._newest_primary(views)
        self._leader_reported = (
            leader is not None and permission.Leader(leader.id, leader.term) == self._leader
        )
        return leader

    @property
    def _fenced(self) -> bool:
        """Whether the last observed primary has stepped down in this change."""
        return self._leader is not None and self._leader.member in self._stepped_down

    def _silent_s(self, view: member_view.MemberView, now_s: float) -> float:
        """Returns for how long a member could have been heard and was not."""
        return self._running_time.elapsed_s(view.last_contact_at_s, now_s)

    def _newest_primary(
        self, views: collections.abc.Sequence[member_view.MemberView]
    ) -> member_view.MemberView | None:
        # A process that has taken a primary's place may call itself the primary of the same term.
        lost = self._logs.lost
        primaries = [
            view
            for view in views
            if view.primary and view.term == self._newest.term and view.id not in lost
        ]
        return max(primaries, key=lambda view: view.last_contact_at_s, default=None)

    def _take(self, leader: member_view.MemberView) -> None:
        self._leader = permission.Leader(leader.id, leader.term)
        self._leader_reported = True
        if leader.term > 0:
            # A member that has not reported yet is the primary by its record in the store alone.
            self._newest.record_primary(self._leader)

    def _step_steady(
        self,
        leader: member_view.MemberView | None,
        views: collections.abc.Sequence[member_view.MemberView],
        now_s: float,
        isolated: bool,
    ) -> Action | None:
        self._record_known(views, now_s)
        if not views:
            return None
        if leader is not None:
            self._take(leader)
        if leader is None and self._awaits_first_reports(views, now_s):
            return None
        reason = self._change_reason(leader, now_s, isolated)
        if not reason or self.promotion_awaited or now_s < self._earliest_change_s(reason):
            return self._resume_held(views, now_s)
        if not any(view.in_store and not view.primary and not view.leaving for view in views):
            return None
        self._phase = Phase.FENCING
        self._reason = reason
        self._started_at_s = now_s
        self._requested_at_s = None
        self._stepped_down.clear()
        self._fixed_at_s = math.inf
        return Withdraw(reason)

    def _record_known(
        self, views: collections.abc.Sequence[member_view.MemberView], now_s: float
    ) -> None:
        """Records since when members are known.

        The silence of a member begins when it could first have answered, and the group's lack of a
        primary when a primary could first have been found.
        """
        self._known_since_s = {view.id: self._known_since_s.get(view.id, now_s) for view in views}
        if not views:
            self._observed_since_s = self._no_primary_since_s = None
        elif self._observed_since_s is None:
            self._observed_since_s = now_s

    def _resume_held(
        self, views: collections.abc.Sequence[member_view.MemberView], now_s: float
    ) -> Resume | None:
        """Returns the order for a replica that an earlier change has held and that answers."""
        for view in views:
            answers = self._silent_s(view, now_s) < UNRESPONSIVE_TIMEOUT_S
            due_s = self._resumed_at_s.get(view.id, permission.NEVER_S) + RESUME_RETRY_INTERVAL_S
            if view.held and not view.primary and answers and now_s >= due_s:
                self._resumed_at_s[view.id] = now_s
                return Resume(view.id)
        return None

    def _earliest_change_s(self, reason: str) -> float:
        """Returns the time from which a primary change for a reason may begin."""
        if reason == _LEAVING_REASON and self._settled_at_s == self._first_settled_at_s:
            return self._leaving_replaceable_at_s
        return self._settled_at_s

    def _awaits_first_reports(
        self, views: collections.abc.Sequence[member_view.MemberView], now_s: float
    ) -> bool:
        """Returns whether a member that has not reported yet may turn out to be the primary."""
        assert self._observed_since_s is not None
        observed_s = self._running_time.elapsed_s(self._observed_since_s, now_s)
        awaits_contact = any(
            view.last_contact_at_s == permission.NEVER_S and view.refusing_since_s is None
            for view in views
        )
        if awaits_contact and observed_s < FIRST_CONTACT_TIMEOUT_S:
            return True
        return observed_s < UNRESPONSIVE_TIMEOUT_S and any(view.term == 0 for view in views)

    def _change_reason(
        self, leader: member_view.MemberView | None, now_s: float, isolated: bool
    ) -> str:
        if leader is None:
            if self._no_primary_since_s is None:
                self._no_primary_since_s = now_s
            without_s = self._running_time.elapsed_s(self._no_primary_since_s, now_s)
            return "no primary" if without_s >= NO_PRIMARY_TIMEOUT_S else ""
        self._no_primary_since_s = None
        if leader.in_store:
            self._missing_since_s = None
        elif self._missing_since_s is None:
            self._missing_since_s = now_s
        if leader.leaving:
            return _LEAVING_REASON
        if (
            self._missing_since_s is not None
            and self._running_time.elapsed_s(self._missing_since_s, now_s)
            >= MISSING_RECORD_TIMEOUT_S
        ):
            return "primary left the store"
        unresponsive_s = self._running_time.elapsed_s(
            max(leader.last_contact_at_s, self._known_since_s[leader.id]), now_s
        )
        if isolated and unresponsive_s < ISOLATED_TIMEOUT_S:
            return ""
        if leader.refusing_since_s is not None and unresponsive_s >= REFUSED_TIMEOUT_S:
            return "primary refuses connections"
        contacted = leader.last_contact_at_s > permission.NEVER_S
        limit_s = UNRESPONSIVE_TIMEOUT_S if contacted else FIRST_CONTACT_TIMEOUT_S
        return "primary is silent" if unresponsive_s >= limit_s else ""

    def _leader_gone(self, now_s: float) -> bool:
        """Returns whether the last observed primary is gone and does not return with its log."""
        return (
            self._leader is not None
            and self._leader_gone_since_s is not None
            and self._running_time.elapsed_s(self._leader_gone_since_s, now_s)
            >= pending_promotions.MEMBER_GONE_S
        )

    def _choose_candidate(
        self,
        views: collections.abc.Sequence[member_view.MemberView],
        sync_replicas: int,
        now_s: float,
    ) -> member_view.MemberView | None:
        """Returns the member to promote; None to wait."""
        excluded = {
            view.id
            for view in views
            if self._silent_s(view, now_s) >= UNRESPONSIVE_TIMEOUT_S
            or now_s - self._rejected_at_s.get(view.id, permission.NEVER_S)
            < pending_promotions.PROMOTION_EFFECT_S
        }
        # The limit of an asynchronous group counts from the begin, because its commits need no
        # replica, and the newest one may be lost in any case.
        fixed_at_s = self._fixed_at_s if sync_replicas > 0 else self._started_at_s
        situation = candidates.Situation(
            views=views,
            old_primary=None if self._leader is None else self._leader.member,
            fenced=self._fenced,
            fixed_at_s=fixed_at_s,
            sync_replicas=sync_replicas,
            excluded=frozenset(excluded),
            lost=self._logs.lost,
            old_primary_gone=self._leader_gone(now_s),
        )
        waited_s = self._running_time.elapsed_s(self._started_at_s, now_s)
        return candidates.choose(situation, waited_s >= CATCH_UP_TIMEOUT_S)

    def _step_fencing(
        self,
        views: collections.abc.Sequence[member_view.MemberView],
        grants_end_at_s: float,
        sync_replicas: int,
        now_s: float,
    ) -> Action | None:
        reachable = [
            view
            for view in views
            if view.primary
            and self._silent_s(view, now_s) < UNRESPONSIVE_TIMEOUT_S
            and view.id not in self._stepped_down
        ]
        newest = self._newest.term
        waited_s = self._running_time.elapsed_s(self._started_at_s, now_s)
        if reachable and waited_s < UNRESPONSIVE_TIMEOUT_S:
            return Fence(reachable[0].id, newest + 1)
        if now_s <= grants_end_at_s:
            return None
        if sync_replicas > 0 and self._fixed_at_s == math.inf:
            if self._fenced:
                self._fixed_at_s = now_s
                return None
            replicas = [view.id for view in views if not view.primary]
            return Hold(tuple(replicas), newest + 1)
        candidate = self._choose_candidate(views, sync_replicas, now_s)
        if candidate is None:
            if waited_s > pending_promotions.PROMOTION_EFFECT_S:
                self._abort(now_s)
            return None
        if self._is_behind(candidate, views) and waited_s < CATCH_UP_TIMEOUT_S:
            return None
        self._phase = Phase.CALLING
        self._candidate = candidate.id
        self._requested_at_s = now_s
        replaced_term = self._leader.term if self._leader else 0
        self._request = self._pending.add(candidate.id, replaced_term, now_s)
        return Promote(candidate.id, self._request)

    def _is_behind(
        self,
        candidate: member_view.MemberView,
        views: collections.abc.Sequence[member_view.MemberView],
    ) -> bool:
        """Returns whether a member has more of the log than the candidate, after a step-down."""
        if not self._fenced:
            return False
        known = [view.received_position for view in views if view.received_position is not None]
        return candidate.received_position is not None and max(known) > candidate.received_position

    def _step_calling(self, leader: member_view.MemberView | None, now_s: float) -> Action | None:
        old_term = self._leader.term if self._leader is not None else 0
        if leader is not None and leader.term > old_term and leader.id == self._candidate:
            self._take(leader)
            self._settled_at_s = max(now_s, self._first_settled_at_s)
            self._phase = Phase.STEADY
            self._no_primary_since_s = None
            return None
        if (
            self._requested_at_s is not None
            and self._running_time.elapsed_s(self._requested_at_s, now_s)
            > pending_promotions.PROMOTION_EFFECT_S
        ):
            self._abort(now_s)
        return None

    def _abort(self, now_s: float) -> None:
        """Returns to the steady phase; a request that may still take effect stays pending."""
        self._phase = Phase.SETTLING
        self._settled_at_s = max(self._settled_at_s, now_s)
        self._requested_at_s = None
        self._no_primary_since_s = None
