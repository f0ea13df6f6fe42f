"""What the coordinator does: polls members, grants the use of primaries, and replaces primaries."""

import asyncio
import collections.abc
import dataclasses
import random

import loguru

from bilberrystack.core import positions
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import messages
from bilberrystack.pooling import pool
from bilberrystack.pooling import primary_records
from bilberrystack.pooling import promotion_requests
from bilberrystack.pooling import quota_messages
from bilberrystack.pooling import tasks
from bilberrystack.quotas import allocation
from bilberrystack.quotas import shares
from bilberrystack.routing import lease_terms
from bilberrystack.routing import member_logs
from bilberrystack.routing import member_view
from bilberrystack.routing import model
from bilberrystack.routing import newest_term
from bilberrystack.routing import permission
from bilberrystack.routing import primary_change
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="supervisor")

# Interval between decisions; each advances a primary change by one step.
STEP_INTERVAL_S = 0.04

# Interval between status queries to the primary while no change is under way; a status query takes
# one of a member's slots for 0.5 ms. The positions in the answers tell the instances which position
# a replica needs.
PRIMARY_POLL_INTERVAL_S = 0.4

# Interval between status queries to replicas while no change is under way. It may be long, because
# client requests that a failed replica leaves unanswered reveal the failure sooner.
REPLICA_POLL_INTERVAL_S = 3.0

# Interval between status queries to all members during a primary change.
CHANGE_POLL_INTERVAL_S = 0.05

# A member that is or may be the primary, has not answered anything for this long and owes the
# answer to a status query is probed, by other instances too.
PRIMARY_PROBE_AFTER_S = 0.4

# A status query counts as unanswered after this time. Members answer within milliseconds unless
# all their slots are taken.
STATUS_OVERDUE_S = 0.2

# Instances that are asked at a time to probe a suspected member; the member has to accept a
# connection for each probe.
MAX_PROBING_INSTANCES = 8

# The reports in a heartbeat are disregarded once the heartbeat is older than this.
HEARTBEAT_MAX_AGE_S = 1.2

# An owner counts as heard while its last heartbeat is younger than this. Heartbeats arrive every
# 0.4 s, and at once when the coordinator requests a probe.
HEARD_WINDOW_S = 0.6

# The coordinator has to hear at least half of the owners that sent a heartbeat within this time,
# itself included. Otherwise it waits longer before it replaces an unresponsive primary, which other
# instances may still reach, and resigns after MINORITY_TIMEOUT_S.
MAJORITY_WINDOW_S = 10.0

# The registration of an instance that has sent no heartbeat for this long is removed, because
# replaced machines leave theirs behind. An instance that returns registers again.
INSTANCE_EXPIRY_S = 20.0

# If a larger fraction of the instances is unresponsive, a network partition is more likely than
# their end, and no registration is removed.
MAX_EXPIRED_FRACTION = 1 / 3

# A coordinator that hears less than half of the owners for this long resigns.
MINORITY_TIMEOUT_S = 1.0

# How often, and how far apart, a new coordinator asks the instances that have not sent their quota
# claims. Datagrams may be lost, and instances that have lost power are back after 1 to 2 s.
ANNOUNCEMENT_COUNT = 12
ANNOUNCEMENT_INTERVAL_S = 0.3

# Pause before the records of promotion requests are read again after a failure.
PROMOTIONS_RETRY_DELAY_S = 0.3

# Interval between repetitions of a withdrawal that has not been acknowledged.
WITHDRAWAL_RETRY_INTERVAL_S = 0.06


@dataclasses.dataclass(slots=True)
class _PeerState:
    """The last heartbeat of another instance.

    Attributes:
      name: The instance's name.
      endpoint: The address that the heartbeat came from.
      heard_at_s: When the heartbeat arrived.
      reports: The member reports in it by member id.
      configuration_version: The version in force at the instance.
      is_owner: Whether the instance owns any group.
    """

    name: str
    endpoint: model.Endpoint
    heard_at_s: float
    reports: dict[str, messages.Report]
    configuration_version: int
    is_owner: bool


@dataclasses.dataclass(slots=True)
class _GroupState:
    """The coordinator's state of one group.

    Attributes:
      change_machine: The state machine that decides on primary changes.
      change_number: The number of the last primary change under this lease; 0 before the first.
      unacknowledged_until_s: When the grants end whose withdrawal has not been acknowledged, by the
        incarnation that holds them.
      granted_until_s: When the grants in use end, by the incarnation that holds them.
      withdrawal_sent_at_s: When the last withdrawal was sent.
      action_running: Whether an order to a member or a promotion request is in progress.
      contradicted: Whether the newest reports name no member as the primary that was granted last.
      primary_term: Newest term of a primary that was seen under this lease; 0 before the first.
      granted: Whether a grant was given under this lease.
    """

    change_machine: primary_change.PrimaryChange
    change_number: int = 0
    unacknowledged_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    granted_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawal_sent_at_s: float = 0.0
    action_running: bool = False
    contradicted: bool = False
    primary_term: int = 0
    granted: bool = False


class Coordinator:
    """Decides on the primaries of all groups while this instance holds the coordinator lease.

    Attributes:
      send: Sends a datagram to another instance; set by the owner of the socket.
      configuration_version: Returns the version of the configuration in force here.
    """

    __slots__ = (
        "_change_numbers",
        "_clock",
        "_dialect",
        "_group_states",
        "_groups",
        "_lease",
        "_majority_heard_at_s",
        "_member_logs",
        "_member_processes",
        "_metrics",
        "_newest_terms",
        "_own_instance",
        "_own_tokens",
        "_peers",
        "_peers_heard_for",
        "_platform",
        "_primary_records",
        "_promotion_requests",
        "_promotions_loaded_for",
        "_promotions_task",
        "_quota_limits",
        "_quotas",
        "_running_time",
        "_status_pending",
        "_status_queried_at_s",
        "_tasks",
        "_token",
        "_token_since_s",
        "_unfinished_changes",
        "configuration_version",
        "send",
    )

    def __init__(
        self,
        *,
        own_instance: model.Instance,
        lease: coordinator_lease.CoordinatorLease,
        platform: interfaces.Platform,
        groups: collections.abc.Mapping[str, group.Group],
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
        metrics: counters.Counters,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
    ) -> None:
        self._own_instance = own_instance
        self._lease = lease
        self._platform = platform
        self._groups = groups
        self._dialect = dialect
        self._clock = clock
        self._tasks = background_tasks
        self._metrics = metrics
        self._running_time = running
        self._token: int | None = None
        self._majority_heard_at_s = 0.0
        self._token_since_s = 0.0
        self._group_states: dict[str, _GroupState] = {}
        # The number of the last primary change of each group. Instances ignore grants with a lower
        # number, also after an interruption of the lease.
        self._change_numbers: dict[str, int] = {}
        self._peers: dict[str, _PeerState] = {}
        # The token under which the peers were heard. They are kept over an interruption of the
        # lease, so that a coordinator that hears too few owners still knows that afterwards.
        self._peers_heard_for: int | None = None
        # The promotion requests of all coordinators, also after an interruption of the lease.
        self._promotion_requests = promotion_requests.PromotionRequests(
            platform, clock, background_tasks, metrics, running
        )
        # The newest term and primary of each group, also after an interruption of the lease.
        self._newest_terms: dict[str, newest_term.NewestTerm] = {}
        # What the members of each group have shown of their logs, also after an interruption.
        self._member_logs: dict[str, member_logs.MemberLogs] = {}
        # The start of each member's process, as its record says, and when this instance learned of
        # it; a time before every other one for the first process that it knows.
        self._member_processes: dict[str, tuple[int, float]] = {}
        self._primary_records = primary_records.PrimaryRecords(
            platform, clock, background_tasks, running
        )
        # The token under which the requests of earlier coordinators were read.
        self._promotions_loaded_for: int | None = None
        self._promotions_task: asyncio.Task[None] | None = None
        self._own_tokens: set[int] = set()
        # The members of each group that the former coordinator may have requested to promote, as
        # its last withdrawal or grant has shown this instance.
        self._unfinished_changes: dict[str, frozenset[str]] = {}
        self._quotas = allocation.ShareAllocator()
        self._quota_limits: dict[str, shares.Limit] = {}
        self._status_queried_at_s: dict[str, float] = {}
        self._status_pending: set[str] = set()
        self.configuration_version: collections.abc.Callable[[], int] = lambda: 0
        self.send: collections.abc.Callable[[messages.Message, model.Endpoint], None] = (
            lambda _message, _to: None
        )

    async def run(self) -> None:
        """Take the decisions that are due at each interval, until cancelled."""
        while True:
            self.step()
            self._count_pending_promotions()
            self._load_promotions_if_due()
            await asyncio.sleep(STEP_INTERVAL_S)

    def _count_pending_promotions(self) -> None:
        count = self._promotion_requests.pending_count if self._token is not None else 0
        self._metrics.promotions_pending.set({}, count)

    def _load_promotions_if_due(self) -> None:
        """Read the promotion requests of earlier coordinators if that was not done yet."""
        running = self._promotions_task is not None and not self._promotions_task.done()
        if self._token is None or self._promotions_loaded_for == self._token or running:
            return
        self._promotions_task = self._tasks.start(self._load_promotions(self._token))

    async def _load_promotions(self, token: int) -> None:
        """Read the promotion requests of earlier coordinators, which may still take effect."""
        try:
            snapshot = await self._platform.promotions.list()
            registered = await self._platform.instances.list()
        except interfaces.StoreFailure as failure:
            _LOG.info(
                "promotion requests of earlier coordinators not read; retrying",
                failure=type(failure).__name__,
                detail=str(failure),
            )
            await asyncio.sleep(PROMOTIONS_RETRY_DELAY_S)
            return
        if token != self._token:
            return
        self._tasks.start(self._announce(registered.items, token))
        now_s = self._clock()
        self._quotas.set_registered(
            {
                item.name: item.incarnation
                for item in registered.items.values()
                if isinstance(item, model.Instance)
            },
            now_s,
        )
        self._load_primaries(
            [item for item in snapshot.items.values() if isinstance(item, interfaces.PrimaryRecord)]
        )
        self._load_requests(
            [
                item
                for item in snapshot.items.values()
                if isinstance(item, interfaces.PromotionRecord)
            ]
        )
        self._promotions_loaded_for = token

    def _load_requests(self, records: list[interfaces.PromotionRecord]) -> None:
        """Take account of the requests of earlier coordinators, also of those without a record.

        A request is made without a record if the store does not answer. The withdrawal before it
        has told the instances that a change was under way.
        """
        self._promotion_requests.load(records)
        recorded = {record.service for record in records if not record.repeatable}
        for service, members in self._unfinished_changes.items():
            if service not in recorded:
                self._promotion_requests.add_unrecorded(service, members)
        self._unfinished_changes.clear()

    def _find_unfinished_changes(self) -> dict[str, frozenset[str]]:
        """Return the members that the former coordinator may have requested to promote."""
        changes = {}
        for service, served_group in self._groups.items():
            token, _ = served_group.permission.change_number
            members = served_group.permission.possibly_promoted(frozenset(served_group.pools))
            if members and token not in self._own_tokens:
                changes[service] = members
        return changes

    async def _announce(self, registered: collections.abc.Mapping[str, object], token: int) -> None:
        """Ask all instances for their quota claims; nothing is lent before all have answered.

        Instances that own no group would otherwise read the lease only seconds later.
        """
        announcement = messages.CoordinatorAnnouncement(self._own_instance.incarnation, token)
        for _ in range(ANNOUNCEMENT_COUNT):
            unreported = self._quotas.unreported
            if token != self._token or not self._quota_limits:
                return
            for item in registered.values():
                if isinstance(item, model.Instance) and item.name in unreported:
                    self.send(announcement, item.endpoint)
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    def _load_primaries(self, records: list[interfaces.PrimaryRecord]) -> None:
        """Take account of the primaries that coordinators have granted."""
        self._primary_records.replace(records)
        for record in records:
            newest = self._newest_term_of(record.service)
            if record.term > newest.term:
                _LOG.info(
                    "newest term of a group known from the store",
                    service=record.service,
                    member=record.member,
                    term=record.term,
                )
            newest.record_primary(permission.Leader(record.member, record.term))

    def _newest_term_of(self, service: str) -> newest_term.NewestTerm:
        return self._newest_terms.setdefault(service, newest_term.NewestTerm())

    def _grantable_primary(
        self, service: str, state: _GroupState, now_s: float
    ) -> permission.Leader | None:
        """Return the primary that grants may name.

        There is none while requests may be unknown, and until the primary of a new term is stored.
        """
        if self._promotions_loaded_for != self._token:
            return None
        leader = state.change_machine.grantable_primary(now_s)
        if leader is None or not self._primary_records.permits_grants(service, leader.term):
            return None
        return leader

    def _store_primary(self, service: str, state: _GroupState, now_s: float) -> None:
        """Store the primary that is to be granted, if it is not stored."""
        leader = state.change_machine.grantable_primary(now_s)
        if leader is not None and self._promotions_loaded_for == self._token:
            self._primary_records.store(service, leader)

    def _log_newer_primary(
        self, service: str, state: _GroupState, views: list[member_view.MemberView]
    ) -> None:
        """Log a primary of a newer term, with the request that may have led to it.

        It is called before pending requests are compared with the same reports.
        """
        primaries = [view for view in views if view.primary and view.term > state.primary_term]
        if not primaries:
            return
        newest = max(primaries, key=lambda view: view.term)
        former_term, state.primary_term = state.primary_term, newest.term
        self._promotion_requests.record_newer_primary(service, newest, former_term, self._token)

    def _record_grant(
        self, service: str, state: _GroupState, leader: permission.Leader, until_s: float
    ) -> None:
        """Take account of a grant for log lines."""
        self._lease.grants_end_at_s = max(self._lease.grants_end_at_s, until_s)
        if state.granted:
            return
        state.granted = True
        _LOG.info(
            "first grant of a group under this lease",
            service=service,
            member=leader.member,
            term=leader.term,
            token=self._token,
            change=state.change_number,
            held_ms=round((self._clock() - self._token_since_s) * 1000),
        )

    def step(self) -> None:
        """Take the decisions that are due, if this instance is the coordinator."""
        token = self._lease.token
        if token != self._token:
            self._token = token
            self._group_states.clear()
            if token not in (None, self._peers_heard_for):
                self._peers_heard_for = token
                self._peers.clear()
            self._majority_heard_at_s = self._token_since_s = self._clock()
            if token is not None:
                self._quotas.begin(token, self._clock())
                self._unfinished_changes = self._find_unfinished_changes()
                self._own_tokens.add(token)
        if token is None:
            return
        if self._lacks_majority():
            unheard_s = self._running_time.elapsed_s(self._majority_heard_at_s, self._clock())
            if unheard_s > MINORITY_TIMEOUT_S:
                self._majority_heard_at_s = self._clock()
                self._tasks.start(self._lease.resign("less than half of the owners are heard"))
        else:
            self._majority_heard_at_s = self._clock()
        for service, served_group in list(self._groups.items()):
            state = self._group_states.get(service)
            if state is None:
                change = primary_change.PrimaryChange(
                    self._lease.settled_at_s,
                    self._lease.leaving_replaceable_at_s,
                    self._promotion_requests.pending_of(service),
                    self._running_time,
                    newest=self._newest_term_of(service),
                    logs=self._member_logs.setdefault(service, member_logs.MemberLogs()),
                )
                number = self._change_numbers.get(service, 0)
                state = self._group_states[service] = _GroupState(change, number)
            self._step_group(service, served_group, state, token)
        for removed in self._group_states.keys() - self._groups.keys():
            del self._group_states[removed]
        for gone in self._primary_records.remove_gone(self._groups.keys()):
            self._newest_terms.pop(gone, None)
            self._member_logs.pop(gone, None)

    def _lacks_majority(self) -> bool:
        """Return whether less than half of the recently active owners are heard now.

        Instances that own no group don't count: they have no connections to members to report, and
        send heartbeats seldom.
        """
        silences_s = [self._silent_s(peer) for peer in self._peers.values() if peer.is_owner]
        active_count = sum(silent_s < MAJORITY_WINDOW_S for silent_s in silences_s)
        heard_count = sum(silent_s < HEARD_WINDOW_S for silent_s in silences_s)
        return 2 * (heard_count + 1) < active_count + 1

    def _silent_s(self, peer: _PeerState) -> float:
        """Return for how long an instance could have been heard and was not."""
        return self._running_time.elapsed_s(peer.heard_at_s, self._clock())

    def expired_instances(
        self, registered: collections.abc.Collection[model.Instance]
    ) -> list[str]:
        """Return the names of the instances that have ended without removing their registration.

        Args:
          registered: The instances that are registered in the store.
        """
        held_s = self._running_time.elapsed_s(self._token_since_s, self._clock())
        if self._token is None or held_s < INSTANCE_EXPIRY_S or self._lacks_majority():
            return []
        heard = {
            peer.name for peer in self._peers.values() if self._silent_s(peer) < INSTANCE_EXPIRY_S
        }
        unheard = [
            instance.name
            for instance in registered
            if instance.name not in heard | {self._own_instance.name}
        ]
        return unheard if len(unheard) <= len(registered) * MAX_EXPIRED_FRACTION else []

    def _step_group(
        self, service: str, served_group: group.Group, state: _GroupState, token: int
    ) -> None:
        now_s = self._clock()
        self._poll_members(service, served_group, state, now_s)
        self._resend_withdrawal(service, state, token, now_s)
        views = self._member_views(served_group, now_s)
        self._log_newer_primary(service, state, views)
        self._record_primary_position(service, served_group, state, now_s)
        if state.action_running:
            self._observe(state, served_group, views, now_s)
            return
        phase_before = state.change_machine.phase
        grants_end_s = self._unacknowledged_grants_end_s(state)
        action = state.change_machine.step(
            views,
            grants_end_s,
            now_s,
            self._lacks_majority(),
            served_group.service.sync_replicas,
        )
        self._promotion_requests.record_resolved(service)
        self._log_contradiction(state, served_group, views)
        if state.change_machine.phase is not phase_before:
            # The candidates' positions are needed at once.
            self._poll_members(service, served_group, state, now_s)
            _LOG.info(
                "primary change entered another phase",
                service=service,
                phase=state.change_machine.phase.value,
                reason=state.change_machine.reason,
                token=token,
                members=_describe(views, now_s),
            )
        match action:
            case primary_change.Withdraw():
                self._withdraw_grants(service, served_group, state, token, now_s)
            case primary_change.Fence(member, term):
                self._start_action(state, self._fence(served_group, state, member, term))
            case primary_change.Hold(members, term):
                self._start_action(state, self._hold(served_group, state, members, term))
            case primary_change.Resume(member):
                self._start_action(state, self._resume(served_group, member))
            case primary_change.Promote(member, number):
                self._start_action(state, self._promote(service, state, member, number))
        self._store_primary(service, state, now_s)
        self._grant_to_self(served_group, state, token, now_s)

    def _record_primary_position(
        self, service: str, served_group: group.Group, state: _GroupState, now_s: float
    ) -> None:
        """Take account of the position that the primary has shown in answers to statements."""
        leader, newest = state.change_machine.leader, served_group.history.newest_sample()
        if newest is not None and leader is not None and leader.term == served_group.history.term:
            self._member_logs[service].record_primary_position(leader, newest, now_s)

    def _observe(
        self,
        state: _GroupState,
        served_group: group.Group,
        views: list[member_view.MemberView],
        now_s: float,
    ) -> None:
        """Take the newest reports into account for grants, without a decision."""
        state.change_machine.observe(views, now_s)
        self._log_contradiction(state, served_group, views)

    def _log_contradiction(
        self, state: _GroupState, served_group: group.Group, views: list[member_view.MemberView]
    ) -> None:
        """Log that the reports begin, or cease, to contradict the primary that was granted last.

        Also log which members have lost the entries of their logs, or have received them again.
        """
        service = served_group.service.name
        for member, lost in self._member_logs[service].take_changed().items():
            _LOG.info(
                (
                    "member has lost entries of its log"
                    if lost
                    else "member has received the lost entries of its log again"
                ),
                service=service,
                member=member,
                members=_describe(views, self._clock()),
            )
        change = state.change_machine
        contradicted = change.leader is not None and not change.leader_reported
        if contradicted is state.contradicted or change.phase is not primary_change.Phase.STEADY:
            return
        state.contradicted = contradicted
        _LOG.info(
            (
                "grants withheld: no member reports itself as the primary of the newest term"
                if contradicted
                else "grants no longer withheld: the primary reports itself again"
            ),
            service=service,
            leader=None if change.leader is None else change.leader.member,
            term=None if change.leader is None else change.leader.term,
            members=_describe(views, self._clock()),
        )

    def _start_action(
        self, state: _GroupState, action: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Start an action; no further decision on the group is taken until it has ended."""
        state.action_running = True
        task = self._tasks.start(action)
        task.add_done_callback(lambda _: setattr(state, "action_running", False))

    def _poll_members(
        self, service: str, served_group: group.Group, state: _GroupState, now_s: float
    ) -> None:
        """Send the status queries that are due, and have an unresponsive primary probed."""
        change = state.change_machine
        steady = (
            change.phase is primary_change.Phase.STEADY
            and not change.without_primary
            and not change.promotion_awaited
        )
        leader, promotable = change.leader, change.promotable
        for member, member_pool in served_group.pools.items():
            queried_at_s = self._status_queried_at_s.get(member, float("-inf"))
            may_lead = leader is None or leader.member == member
            polled_often = may_lead or member in promotable
            interval_s = (
                (PRIMARY_POLL_INTERVAL_S if polled_often else REPLICA_POLL_INTERVAL_S)
                if steady
                else CHANGE_POLL_INTERVAL_S
            )
            if may_lead and steady and self._position_is_recent(served_group, now_s):
                continue
            if member not in self._status_pending and now_s - queried_at_s >= interval_s:
                self._status_queried_at_s[member] = now_s
                self._status_pending.add(member)
                self._tasks.start(self._query_status(served_group, member))
            if may_lead and self._is_status_overdue(
                member_pool.observations.contact_at_s, queried_at_s, now_s
            ):
                self._probe_suspect(service, served_group, member, now_s)

    def _position_is_recent(self, served_group: group.Group, now_s: float) -> bool:
        """Return whether an answer has shown the primary's position recently: no query is due."""
        age_s = served_group.history.newest_age_s(now_s)
        return age_s is not None and age_s < PRIMARY_POLL_INTERVAL_S

    async def _query_status(self, served_group: group.Group, member: str) -> None:
        try:
            await served_group.query_member(member, self._dialect.encode_status_query())
        finally:
            self._status_pending.discard(member)

    def _is_status_overdue(self, contact_at_s: float, queried_at_s: float, now_s: float) -> bool:
        """Return whether a member is unresponsive and owes the answer to a status query."""
        return (
            self._running_time.elapsed_s(contact_at_s, now_s) >= PRIMARY_PROBE_AFTER_S
            and queried_at_s > contact_at_s
            and self._running_time.elapsed_s(queried_at_s, now_s) >= STATUS_OVERDUE_S
        )

    def _probe_suspect(
        self, service: str, served_group: group.Group, member: str, now_s: float
    ) -> None:
        """Have this and some other instances probe a member that has become unresponsive."""
        self._status_queried_at_s[member] = now_s
        self._tasks.start(served_group.probe(member))
        owners = [peer for peer in self._peers.values() if peer.is_owner]
        for owner in random.sample(owners, min(MAX_PROBING_INSTANCES, len(owners))):
            self.send(messages.ProbeRequest(service, member), owner.endpoint)

    def _member_views(
        self, served_group: group.Group, now_s: float
    ) -> list[member_view.MemberView]:
        return [
            self._member_view(served_group, member_pool, now_s)
            for member_pool in served_group.pools.values()
        ]

    def _member_view(
        self, served_group: group.Group, member_pool: pool.MemberPool, now_s: float
    ) -> member_view.MemberView:
        """Combine what this instance and the others know about a member.

        Status reports of others from before a restart are those of a process that has ended.
        """
        process_known_at_s = self._process_known_at_s(member_pool.member, now_s)
        observations = member_pool.observations
        status = observations.status
        contact_at_s, status_at_s = observations.contact_at_s, observations.status_at_s
        primary = (
            member_pool.member.role is model.Role.PRIMARY if status is None else status.primary
        )
        term = 0 if status is None else status.term
        received = None if status is None else status.received_position
        for peer in self._peers.values():
            report = peer.reports.get(member_pool.member.id)
            if report is None or self._silent_s(peer) > HEARTBEAT_MAX_AGE_S:
                continue
            contact_at_s = max(contact_at_s, peer.heard_at_s - report.contact_age_s)
            reported_status_at_s = peer.heard_at_s - report.status_age_s
            if report.term and reported_status_at_s > max(status_at_s, process_known_at_s):
                status_at_s = reported_status_at_s
                primary, term = report.primary, report.term
                received = _to_position(report.received)
        return member_view.MemberView(
            id=member_pool.member.id,
            in_store=member_pool.member.id not in served_group.members_without_record,
            leaving=member_pool.member.leaving,
            primary=primary,
            term=term,
            received_position=received,
            last_contact_at_s=contact_at_s,
            refusing_since_s=observations.refusing_since_s,
            polled_at_s=observations.status_at_s,
            polled_position=None if status is None else status.received_position,
            held=status is not None and status.held,
            polled_primary=status is not None and status.primary,
            polled_term=0 if status is None else status.term,
        )

    def _process_known_at_s(self, member: model.Member, now_s: float) -> float:
        """Return when this instance learned that a member's process replaced an earlier one."""
        known = self._member_processes.get(member.id)
        if known is None or known[0] != member.started_ms:
            known = (member.started_ms, permission.NEVER_S if known is None else now_s)
            self._member_processes[member.id] = known
        return known[1]

    def _unacknowledged_grants_end_s(self, state: _GroupState) -> float:
        """Return when the last grant ends whose withdrawal has not been acknowledged."""
        return max(state.unacknowledged_until_s.values(), default=float("-inf"))

    def _withdraw_grants(
        self,
        service: str,
        served_group: group.Group,
        state: _GroupState,
        token: int,
        now_s: float,
    ) -> None:
        state.change_number += 1
        self._change_numbers[service] = state.change_number
        state.unacknowledged_until_s = {
            incarnation: until_s
            for incarnation, until_s in state.granted_until_s.items()
            if until_s > now_s
        }
        state.granted_until_s.clear()
        served_group.permission.withdraw((token, state.change_number))
        state.withdrawal_sent_at_s = float("-inf")
        self._resend_withdrawal(service, state, token, now_s)

    def _resend_withdrawal(
        self, service: str, state: _GroupState, token: int, now_s: float
    ) -> None:
        """Send a withdrawal to the instances that have not acknowledged it, if that is due."""
        if (
            not state.unacknowledged_until_s
            or now_s - state.withdrawal_sent_at_s < WITHDRAWAL_RETRY_INTERVAL_S
        ):
            return
        state.withdrawal_sent_at_s = now_s
        message = messages.Withdrawal(
            self._own_instance.name,
            self._own_instance.incarnation,
            token,
            service,
            state.change_number,
        )
        for incarnation, until_s in list(state.unacknowledged_until_s.items()):
            if until_s < now_s:
                del state.unacknowledged_until_s[incarnation]
            elif incarnation in self._peers:
                self.send(message, self._peers[incarnation].endpoint)

    async def _fence(
        self, served_group: group.Group, state: _GroupState, member: str, term: int
    ) -> None:
        """Order the old primary to step down."""
        status = await served_group.query_member(member, self._dialect.encode_demote(term))
        _LOG.info(
            "old primary ordered to step down",
            service=served_group.service.name,
            member=member,
            term=term,
            stepped_back=status is not None and not status.primary,
        )
        if status is not None and not status.primary:
            state.change_machine.record_fenced(member)

    async def _hold(
        self, served_group: group.Group, state: _GroupState, members: tuple[str, ...], term: int
    ) -> None:
        """Order replicas to receive nothing more."""
        reports = await asyncio.gather(
            *(
                served_group.query_member(member, self._dialect.encode_hold(term))
                for member in members
            )
        )
        _LOG.info(
            "replicas ordered to receive nothing more",
            service=served_group.service.name,
            term=term,
            held=[
                member
                for member, report in zip(members, reports, strict=True)
                if report is not None and report.held
            ],
            asked=len(members),
        )
        state.change_machine.record_held(self._clock())

    async def _resume(self, served_group: group.Group, member: str) -> None:
        """Order a replica to receive log entries again."""
        await served_group.query_member(member, self._dialect.encode_resume())
        status = await served_group.query_member(member, self._dialect.encode_status_query())
        _LOG.info(
            "replica ordered to receive log entries again",
            service=served_group.service.name,
            member=member,
            held=None if status is None else status.held,
        )

    async def _promote(self, service: str, state: _GroupState, member: str, number: int) -> None:
        token = self._lease.token
        if token is None or token != self._token:
            state.change_machine.record_reply(
                member, primary_change.PromotionReply.NOT_MADE, self._clock()
            )
            return
        leader = state.change_machine.leader
        reply = await self._promotion_requests.make(
            promotion_requests.Request(
                service=service,
                member=member,
                number=number,
                replaced_term=0 if leader is None else leader.term,
                change_number=state.change_number,
                coordinator=self._own_instance.name,
                token=token,
            ),
            # A coordinator that was suspended may have lost the lease to another instance since.
            may_send=lambda: self._lease.token == token,
        )
        state.change_machine.record_reply(member, reply, self._clock())
        if not self._promotion_requests.pending_of(service).contains(number):
            self._promotion_requests.remove_record(service, number)

    def _grant_to_self(
        self, served_group: group.Group, state: _GroupState, token: int, now_s: float
    ) -> None:
        leader = self._grantable_primary(served_group.service.name, state, now_s)
        if leader is None:
            return
        until_s = min(now_s + permission.GRANT_DURATION_S, self._lease.ends_at_s)
        self._record_grant(served_group.service.name, state, leader, until_s)
        change, change_number = state.change_machine, (token, state.change_number)
        if served_group.permission.grant(
            leader, until_s, change_number, change.condition, change.may_have_ended
        ):
            served_group.dispatch()

    def receive(
        self,
        message: messages.Heartbeat | messages.Acknowledgement,
        sender: model.Endpoint,
    ) -> None:
        """Handle a message of another instance to the coordinator.

        Args:
          message: The message; it is dropped if this instance is not the coordinator.
          sender: The address that the message came from.
        """
        if self._token is None or self._lease.token != self._token:
            # A lease that has ended must not go on because of an acknowledgement: only a renewal
            # begins the pause in which the grants from before end.
            return
        match message:
            case messages.Heartbeat():
                reports = {report.member: report for report in message.reports}
                now_s = self._clock()
                self._record_support(message, sender, now_s)
                self._peers[message.incarnation] = _PeerState(
                    name=message.sender,
                    endpoint=sender,
                    heard_at_s=now_s,
                    reports=reports,
                    configuration_version=message.configuration_version,
                    is_owner=bool(message.owned_services),
                )
                self._answer_heartbeat(message, sender, self._token, now_s)
            case messages.Acknowledgement(incarnation, token, service, change_number):
                state = self._group_states.get(service)
                if state is not None and (token, change_number) == (
                    self._token,
                    state.change_number,
                ):
                    state.unacknowledged_until_s.pop(incarnation, None)

    def _record_support(
        self, heartbeat: messages.Heartbeat, sender: model.Endpoint, now_s: float
    ) -> None:
        """Record which standbys can't acquire the lease yet."""
        if heartbeat.acknowledged_token != self._token:
            return
        acknowledged_at_s = min(heartbeat.acknowledged_at_s, now_s)
        self._lease.supporters.acknowledge(heartbeat.incarnation, acknowledged_at_s)
        # Two processes can't use one address at a time. An earlier one has therefore ended once
        # another one at its address has received an answer that was sent after it was heard.
        for incarnation, peer in self._peers.items():
            if (
                incarnation != heartbeat.incarnation
                and (peer.name, peer.endpoint) == (heartbeat.sender, sender)
                and peer.heard_at_s < acknowledged_at_s
            ):
                self._lease.supporters.record_end(incarnation)

    def _answer_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: model.Endpoint, token: int, now_s: float
    ) -> None:
        """Send grants for the groups that the sender of a heartbeat owns."""
        valid_s = min(permission.GRANT_DURATION_S, self._lease.ends_at_s - now_s)
        grants, conditional_grants = [], []
        for service in heartbeat.owned_services:
            state, served_group = self._group_states.get(service), self._groups.get(service)
            if state is None or served_group is None:
                continue
            if self._contradicts_primary(heartbeat, state, served_group):
                views = self._member_views(served_group, now_s)
                self._log_newer_primary(service, state, views)
                self._observe(state, served_group, views, now_s)
            leader = self._grantable_primary(service, state, now_s)
            if leader is None:
                continue
            # An earlier grant may end later, and the receiver goes on to use it.
            state.granted_until_s[heartbeat.incarnation] = max(
                now_s + valid_s, state.granted_until_s.get(heartbeat.incarnation, now_s)
            )
            self._record_grant(service, state, leader, now_s + valid_s)
            grant = self._build_grant(served_group, leader, state.change_number, heartbeat, now_s)
            change = state.change_machine
            if change.condition:
                members, may_have_ended = sorted(change.condition), sorted(change.may_have_ended)
                conditional_grants.append(messages.ConditionalGrant(grant, members, may_have_ended))
            else:
                grants.append(grant)
        answer = messages.Grants(
            coordinator=self._own_instance.name,
            incarnation=self._own_instance.incarnation,
            token=token,
            requested_at_s=heartbeat.sent_at_s,
            valid_s=valid_s,
            grants=grants,
            configuration_version=max(
                self.configuration_version(),
                *(peer.configuration_version for peer in self._peers.values()),
            ),
            answered_at_s=now_s,
            renewal=self._told_renewal(heartbeat.incarnation),
            quotas=self._assign_claimed_quotas(heartbeat),
            conditional_grants=conditional_grants,
        )
        self.send(answer, sender)

    def configure_quotas(self, limits: collections.abc.Mapping[str, shares.Limit]) -> None:
        """Set the limits of the client accounts that have any."""
        self._quota_limits = dict(limits)
        self._quotas.configure(limits)

    def assign_quotas(
        self, incarnation: str, name: str, claims: shares.Claims, registered: bool
    ) -> shares.Assignment | None:
        """Take an instance's claims, and return what it may use of the accounts' quotas.

        Args:
          incarnation: The instance's incarnation.
          name: The instance's name.
          claims: What it has and needs.
          registered: Whether the store has acknowledged the registration of its process.
        Returns:
          The assignment; None if nothing changes, or if this instance is not the coordinator.
        """
        if self._token is None or self._lease.token != self._token:
            return None
        if registered:
            self._quotas.add_registered(name, incarnation)
        return self._quotas.receive(incarnation, name, claims, self._clock())

    def _assign_claimed_quotas(
        self, heartbeat: messages.Heartbeat
    ) -> messages.QuotaAssignment | None:
        if heartbeat.quota_claims is None:
            return None
        assignment = self.assign_quotas(
            heartbeat.incarnation,
            heartbeat.sender,
            quota_messages.decode_claims(heartbeat.quota_claims),
            heartbeat.registered,
        )
        return None if assignment is None else quota_messages.encode_assignment(assignment)

    def _contradicts_primary(
        self, heartbeat: messages.Heartbeat, state: _GroupState, served_group: group.Group
    ) -> bool:
        """Return whether a heartbeat reports another role of the primary, or a newer term."""
        leader = state.change_machine.leader
        return leader is not None and any(
            report.member in served_group.pools
            and report.status_age_s < HEARTBEAT_MAX_AGE_S
            and (
                report.term > leader.term
                or (report.member == leader.member and report.term > 0 and not report.primary)
            )
            for report in heartbeat.reports
        )

    def _told_renewal(self, receiver: str) -> messages.Renewal | None:
        """Return the last renewal of the lease, as an answer tells it to an incarnation."""
        renewal = self._lease.renewal
        if renewal is None:
            return None
        return messages.Renewal(
            era=renewal.revision.era,
            revision=renewal.revision.number,
            age_s=renewal.age_s,
            names_receiver=lease_terms.names_standby(renewal.standbys, receiver),
        )

    def _build_grant(
        self,
        served_group: group.Group,
        leader: permission.Leader,
        change_number: int,
        heartbeat: messages.Heartbeat,
        now_s: float,
    ) -> messages.Grant:
        newest = served_group.history.newest_sample()
        position, age_s = None, 0.0
        if newest is not None and served_group.history.term == leader.term:
            position = messages.Position(newest.position.term, newest.position.index)
            age_s = now_s - newest.request_sent_at_s
        return messages.Grant(
            service=served_group.service.name,
            member=leader.member,
            term=leader.term,
            change_number=change_number,
            position=position,
            position_age_s=age_s,
            relay_address=self._choose_relay(leader.member, heartbeat.incarnation, now_s),
        )

    def _choose_relay(self, member: str, requester: str, now_s: float) -> str:
        """Return the address of the instance that reached a member last.

        Args:
          member: The member's id.
          requester: The incarnation that the relay is for; it is not chosen itself.
          now_s: The current time.
        Returns:
          HOST:PORT of the instance; an empty string if none has reached the member recently.
        """
        address, newest_at_s = "", now_s - primary_change.UNRESPONSIVE_TIMEOUT_S
        for served_group in self._groups.values():
            member_pool = served_group.pools.get(member)
            if member_pool is not None and member_pool.observations.contact_at_s > newest_at_s:
                address, newest_at_s = (
                    str(self._own_instance.endpoint),
                    member_pool.observations.contact_at_s,
                )
        for incarnation, peer in self._peers.items():
            report = peer.reports.get(member)
            if report is None or incarnation == requester:
                continue
            contact_at_s = peer.heard_at_s - report.contact_age_s
            if contact_at_s > newest_at_s:
                address, newest_at_s = str(peer.endpoint), contact_at_s
        return address

    def announce_departure(self) -> None:
        """Notify the other instances that the coordinator lease becomes free."""
        if self._token is None:
            return
        message = messages.CoordinatorDeparture(self._own_instance.incarnation, self._token)
        for peer in self._peers.values():
            self.send(message, peer.endpoint)


def _describe(views: list[member_view.MemberView], now_s: float) -> list[str]:
    """Return role, term, position and time since the last contact of members, for log lines."""
    return [
        f"{view.id} {'p' if view.primary else 'r'} {view.term} {view.received_position}"
        f" {round(min(now_s - view.last_contact_at_s, 99) * 1000)}ms"
        for view in views
    ]


def _to_position(received: messages.Position | None) -> positions.Position | None:
    return None if received is None else positions.Position(received.term, received.index)
