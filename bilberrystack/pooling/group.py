"""One database group as this instance sees it: members, connections, primary and queue."""

import asyncio
import collections.abc
import dataclasses
import enum
import math

import loguru

from bilberrystack.admission import queueing
from bilberrystack.admission import waiting
from bilberrystack.admission import window
from bilberrystack.core import ownership
from bilberrystack.core import positions
from bilberrystack.placement import crossing
from bilberrystack.pooling import confirmation
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import pool
from bilberrystack.pooling import tasks
from bilberrystack.routing import answers
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import owners
from bilberrystack.routing import permission
from bilberrystack.routing import running_time
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="group")

# Connections that an instance may open beyond its share while the member accepts them, for
# transactions that pin a connection while their client is idle.
LINKS_BEYOND_SHARE = 1

# Time limit of a status query, including the wait for a connection.
STATUS_TIMEOUT_S = 0.6

# Time limit of the rollback of an abandoned transaction.
ROLLBACK_TIMEOUT_S = 1.0

# How long after a statement's time limit its answer is still awaited before the connection is
# closed. A lost answer never arrives, and its connection counts toward the member's limit.
LATE_ANSWER_TIMEOUT_S = 0.3

# If an answer has not arrived after this time, its member is suspected, and a probe connection
# distinguishes a slow member from a dead one. Statements take 5 to 55 ms.
SUSPECT_AFTER_S = 0.3

# Time limit of the probe connection.
PROBE_TIMEOUT_S = 0.3

# Interval between probes of a suspected member.
PROBE_INTERVAL_S = 0.5

# Time limit of the check whether a connection's process leads. A member serves a full queue in less
# time, and a lost answer leaves time for another connection.
LEAD_CHECK_TIMEOUT_S = 0.3

# Priority of queries to members that the instance sends itself: ahead of all client requests, whose
# priorities start at 0.
CONTROL_PRIORITY = -2

# A member is slow if its statements take this multiple of the time at the fastest one. The times of
# equal members differ by less under load.
SLOW_MEMBER_FACTOR = 2.0

# How long after its removal a member that was not leaving may still be promoted by a pending
# request. A coordinator drops the request once the record has been missing for 10 s; the member was
# removed after 4 s of that, and the coordinator's cache is up to 8 s late.
REMOVED_MEMBER_S = 15.0

# Kind of queries to members that the instance sends itself.
OWN_QUERY = queueing.Kind("", queueing.Access.READ)

# Stands for an account that has no connection; no account has this name.
_ANY_ACCOUNT = " "


class Unavailable(Exception):
    """No connection became available in time; nothing ran.

    Attributes:
      reason: The cause, as reported to the client.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class LeadCheck(enum.Enum):
    """Whether the process at the other end of a connection leads its group."""

    LEADS = "leads"
    NOT_LEADING = "not leading"
    # It leads, but has not applied all that it had received before.
    APPLYING = "applying"
    BUSY = "busy"
    NO_ANSWER = "no answer"


@dataclasses.dataclass(slots=True)
class Requirements:
    """What a statement requires of the member that runs it.

    Attributes:
      primary_only: Whether only the primary may run the statement.
      deadline_s: Instant at which the statement is rejected if it still waits for a connection.
      max_wait_s: Maximum wait while the members' connections are all in use.
      min_position: The position that the member's log must contain; None for any.
      min_position_age_s: How long ago the primary is known to have had that position.
      excluded_members: Ids of members that have rejected the statement.
      required_member: Id of the only member that may run the statement; None for any.
      priority: Statements with a lower number are served first.
      values: The session's values, for the choice of a connection.
      account: Client account that the statement runs under; empty for none.
      awaits_link: Whether a connection is being opened for the statement.
      enqueued_at_s: Instant at which the wait began; set by `Group.acquire`.
      kind: The statement's kind, by which the time that it holds a connection is estimated.
      arrived_at_s: Instant at which the statement arrived; None if that is when its wait begins.
      objective_at_s: Instant at which the latency objective of its operation ends.
      waits_long: Whether it waits by the long rule of `admission.waiting`.
      overdue: Whether members in this failure domain would run it too late; set by `Group.acquire`.
    """

    primary_only: bool
    deadline_s: float
    max_wait_s: float = math.inf
    min_position: positions.Position | None = None
    min_position_age_s: float = 0.0
    excluded_members: set[str] = dataclasses.field(default_factory=set)
    required_member: str | None = None
    priority: int = 0
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    account: str = ""
    awaits_link: bool = False
    enqueued_at_s: float = 0.0
    kind: queueing.Kind = OWN_QUERY
    arrived_at_s: float | None = None
    objective_at_s: float = math.inf
    waits_long: bool = False
    overdue: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A statement that ran in another failure domain.

    Attributes:
      leaves_region: Whether it also left the region.
      reason: Why it left.
      size_bytes: Bytes of the statement and its answer.
    """

    leaves_region: bool
    reason: crossing.Reason
    size_bytes: int


@dataclasses.dataclass(eq=False, slots=True)
class QueueEntry(queueing.Waiting):
    """A waiting request.

    Attributes:
      requirements: Its requirements.
      future: Receives its connection.
    """

    requirements: Requirements
    future: "asyncio.Future[member_link.MemberLink]"


@dataclasses.dataclass(slots=True)
class Hold:
    """The use of a connection by a request.

    Attributes:
      kind: The request's kind.
      acquired_at_s: When the request got the connection.
      member_pool: The member's pool.
      sent: Whether its first statement has been sent.
    """

    kind: queueing.Kind
    acquired_at_s: float
    member_pool: pool.MemberPool
    sent: bool = False


class Group:
    """The members of one group, the connections to them and the queue of waiting requests.

    Attributes:
      service: The group as declared.
      permission: Which member this instance may treat as the primary.
      history: The log positions that the primary has shown.
      relay: The instance that relays connections to members; None if there is none.
      members_without_record: Ids of members whose records have just left the store.
      on_member_failure: Called with a member's id when a connection to it fails or it reports that
        it is not the primary.
      on_answer_fault: Called when a connection ends because a member sent data that answer no
        statement, or another one.
      on_departure: Called when a statement that left the failure domain was answered.
      crossing: Decides which statements leave the failure domain.
      owned: Whether this instance opens connections to the members.
      accounts_enabled: Whether statements run under client accounts, which share no connections.
      confirmation: Confirms that the primary still leads.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_dispatch_timer",
        "_failure_domain",
        "_holds",
        "_instance_name",
        "_owner_count",
        "_pools",
        "_probed_again",
        "_queue",
        "_removed_at_s",
        "_running_time",
        "_tasks",
        "accounts_enabled",
        "confirmation",
        "crossing",
        "history",
        "members_without_record",
        "on_answer_fault",
        "on_departure",
        "on_member_failure",
        "owned",
        "permission",
        "relay",
        "service",
    )

    def __init__(
        self,
        *,
        service: model.Service,
        failure_domain: str,
        instance_name: str,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
        policy: crossing.Policy | None = None,
    ) -> None:
        """Create a group without members.

        Args:
          service: The group as declared.
          failure_domain: This instance's failure domain.
          instance_name: The name by which members know this instance.
          dialect: The members' protocol.
          clock: Returns the current time in seconds.
          background_tasks: Holds the group's background tasks.
          running: Time in which this process ran.
          policy: When statements leave the failure domain; None for one region without a price.
        """
        self._running_time = running
        self.crossing = crossing.Crossing(
            policy or crossing.Policy(failure_domain), _counter_phase(service.name, instance_name)
        )
        self.service = service
        self.permission = permission.Permission()
        self.history = freshness.PositionHistory()
        self.relay: model.Endpoint | None = None
        self.members_without_record: frozenset[str] = frozenset()
        self.on_member_failure: collections.abc.Callable[[str], None] = lambda _: None
        self.on_answer_fault: collections.abc.Callable[[answers.Fault], None] = lambda _: None
        self.on_departure: collections.abc.Callable[[Departure], None] = lambda _: None
        self._failure_domain = failure_domain
        self._instance_name = instance_name
        self._dialect = dialect
        self._clock = clock
        self._tasks = background_tasks
        self._pools: dict[str, pool.MemberPool] = {}
        # Ids of the suspected members that are about to be probed again.
        self._probed_again: set[str] = set()
        self._removed_at_s: dict[str, float] = {}
        self._queue: queueing.StatementQueue[QueueEntry] = queueing.StatementQueue()
        self._holds: dict[member_link.MemberLink, Hold] = {}
        self._owner_count = 1
        self.owned = True
        self.accounts_enabled = False
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self.confirmation = confirmation.Confirmation(self, dialect, clock, background_tasks)

    @property
    def pools(self) -> collections.abc.Mapping[str, pool.MemberPool]:
        """The members' connection pools by member id."""
        return self._pools

    @property
    def removed_members(self) -> frozenset[str]:
        """Ids of members that can't be asked any more and may still be promoted."""
        now_s = self._clock()
        self._removed_at_s = {
            member_id: removed_at_s
            for member_id, removed_at_s in self._removed_at_s.items()
            if member_id not in self._pools and now_s - removed_at_s < REMOVED_MEMBER_S
        }
        return frozenset(self._removed_at_s)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return len(self._queue)

    @property
    def share(self) -> int:
        """Number of connections to each member that this instance may keep open.

        The members' connection limit, less a reserve, is divided equally among the group's owners.
        """
        return owners.connections_per_owner(self.service.max_connections, self._owner_count)

    def update(
        self,
        service: model.Service,
        members: collections.abc.Iterable[model.Member],
        members_without_record: frozenset[str],
    ) -> None:
        """Replace the declaration and the members of the group.

        Args:
          service: The group as declared.
          members: Its members, including those whose records have just left the store.
          members_without_record: The ids of the latter.
        """
        self.service = service
        self.members_without_record = members_without_record
        current = {member.id: member for member in members}
        for removed_id in self._pools.keys() - current.keys():
            removed = self._pools.pop(removed_id)
            removed.close()
            if not removed.member.leaving:
                self._removed_at_s[removed_id] = self._clock()
        for member in current.values():
            known = self._pools.get(member.id)
            if known is not None and _restarted(known.member, member):
                _LOG.info("member restarted; closing the connections to it", member=member.id)
                known.close()
                known = None
            if known is None:
                self._pools[member.id] = pool.MemberPool(member, self._clock)
            else:
                known.update(member)
        self._adopt_recorded_primary()
        self.dispatch()

    def set_owners(self, count: int, owned: bool) -> None:
        """Set how the members' connections are shared among instances.

        Args:
          count: Number of instances that own the group.
          owned: Whether this instance is one of them.
        """
        self._owner_count = count
        self.owned = owned

    def _adopt_recorded_primary(self) -> None:
        """Use the primary named by the store until a better source names one."""
        if self.permission.leader is not None:
            return
        primaries = [
            member_pool
            for member_pool in self._pools.values()
            if member_pool.member.role is model.Role.PRIMARY
        ]
        if len(primaries) == 1:
            self.permission.observe(
                permission.Leader(primaries[0].member.id, confirmation.UNKNOWN_TERM)
            )

    def close(self) -> None:
        """Close all connections and reject all waiting requests."""
        for member_pool in self._pools.values():
            member_pool.close()
        self._pools.clear()
        for entry in self._queue:
            if not entry.future.done():
                entry.future.set_exception(Unavailable("the database group is gone"))
        self._queue.clear()

    async def acquire(self, requirements: Requirements) -> member_link.MemberLink:
        """Wait for a connection to a member that can run a statement.

        Args:
          requirements: What the statement requires of the member.
        Returns:
          The connection, which the caller returns with `release`.
        Raises:
          Unavailable: No connection became available in time.
        """
        future: asyncio.Future[member_link.MemberLink] = asyncio.get_running_loop().create_future()
        requirements.enqueued_at_s = self._clock()
        entry = _queue_entry(requirements, future)
        self._queue.add(entry)
        self.dispatch()
        if future.done():
            return future.result()
        try:
            self._admit(entry)
            return await self._wait(requirements, future)
        except TimeoutError:
            if future.done() and not future.cancelled() and future.exception() is None:
                return future.result()
            raise Unavailable(self._unavailable_reason(requirements)) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.exception() is None:
                self.release(future.result())
            raise
        finally:
            self._queue.remove(entry)
            if not future.done():
                future.cancel()

    def _admit(self, entry: QueueEntry) -> None:
        """Check the expected wait of a request; raise TimeoutError if it is too long.

        An immediate rejection lets the client try another instance while its latency objective can
        still be met.
        """
        requirements = entry.requirements
        if not self._all_links_busy(requirements):
            return
        if entry.waits_long:
            now_s = self._clock()
            wait_s = self._queue.expected_wait_s(entry, now_s, self._capacity(entry))
            if now_s + wait_s > entry.deadline_s:
                self._refuse_unless_away(entry)
            return
        candidates = self._permitted(requirements)
        ahead = sum(
            (queued.priority, queued.number) < (entry.priority, entry.number) and not queued.control
            for queued in self._queue
        )
        link_count = sum(candidate.link_count for candidate in candidates)
        hold_s = max(candidate.service_time_s for candidate in candidates)
        if waiting.expected_wait_s(ahead, link_count, hold_s) > requirements.max_wait_s:
            self._refuse_unless_away(entry)

    def _refuse_unless_away(self, entry: QueueEntry) -> None:
        """Raise TimeoutError unless a member in another failure domain runs the request at once."""
        entry.requirements.overdue = True
        self.dispatch()
        if not entry.future.done():
            raise TimeoutError

    def _capacity(self, entry: QueueEntry) -> queueing.Capacity:
        """Return how many statements the members can serve for a request, and the group in all."""
        usable_by_id = {
            member_pool.member.id: min(
                member_pool.link_count,
                member_pool.window.limit,
                self._in_flight_limit(member_pool, entry.requirements),
            )
            for member_pool in self._pools.values()
        }
        usable = sum(
            usable_by_id.get(candidate.member.id, 0)
            for candidate in self._candidates(entry.requirements)
        )
        return queueing.Capacity(usable, sum(usable_by_id.values()))

    def _in_flight_limit(self, member_pool: pool.MemberPool, requirements: Requirements) -> float:
        """Return the limit of statements in flight at a member that applies to a request.

        Where every instance owns the group, most of them have few statements, and one may have
        most of the load: the limit would leave slots idle. By the short rule, statements that the
        limit holds back are refused before their turn: with it, 1.5 times the capacity for 2 s was
        served 1.02 times as well as without any limits, instead of 1.22 times.
        """
        if not requirements.waits_long or self.share < owners.TARGET_CONNECTIONS_PER_OWNER:
            return math.inf
        slots = max(1, member_pool.member.slots)
        limit = window.in_flight_limit(slots, self._owner_count)
        return window.usable_limit(limit, slots, requirements.priority)

    def _has_place(self, member_pool: pool.MemberPool, requirements: Requirements) -> bool:
        """Return whether a request may use one more connection to a member."""
        limit = self._in_flight_limit(member_pool, requirements)
        if limit == math.inf:
            return True
        if member_pool.in_flight + member_pool.unsent >= limit:
            return False
        return (
            requirements.kind.access is not queueing.Access.TRANSACTION
            or member_pool.transactions
            < window.transaction_limit(self.share, requirements.priority)
        )

    def _with_place(
        self, candidates: list[pool.MemberPool], requirements: Requirements, now_s: float
    ) -> list[pool.MemberPool]:
        """Return the members to which a waiting request may be sent now.

        While a faster member is full, a slow one is used only by requests that have waited as long
        as the slow one takes longer: they would have ended sooner after a wait.
        """
        with_place = [
            candidate for candidate in candidates if self._has_place(candidate, requirements)
        ]
        if len(with_place) == len(candidates):
            return with_place
        fastest_s = min(
            (candidate.service_time_s for candidate in candidates if candidate.connected),
            default=math.inf,
        )
        waited_s = now_s - requirements.enqueued_at_s
        return [
            candidate
            for candidate in with_place
            if candidate.service_time_s - fastest_s <= waited_s
            or candidate.service_time_s <= fastest_s * SLOW_MEMBER_FACTOR
        ]

    async def _wait(
        self, requirements: Requirements, future: asyncio.Future[member_link.MemberLink]
    ) -> member_link.MemberLink:
        """Wait for a connection; raise TimeoutError if none became available in time."""
        while True:
            left_s = requirements.deadline_s - self._clock()
            done, _ = await asyncio.wait(
                {future}, timeout=max(0.0, min(left_s, requirements.max_wait_s))
            )
            if done:
                return future.result()
            if left_s <= requirements.max_wait_s or self._all_links_busy(requirements):
                raise TimeoutError

    def _all_links_busy(self, requirements: Requirements) -> bool:
        """Return whether candidates exist but every connection to them is in use.

        A connection that may not be used because of the limit of statements in flight counts as in
        use.
        """
        now_s = self._clock()
        max_links = self.share + LINKS_BEYOND_SHARE
        connected = [
            candidate for candidate in self._permitted(requirements) if candidate.connected
        ]
        return bool(connected) and not any(
            self._has_place(candidate, requirements)
            and candidate.can_add_link(max_links, now_s, requirements.account)
            for candidate in connected
        )

    def _unavailable_reason(self, requirements: Requirements) -> str:
        if requirements.primary_only and not self._primary_pool():
            return "no primary at present"
        if self._all_links_busy(requirements):
            return "all connections to members are taken, come back in 0.1 s"
        return "no free connection to a member that can run it"

    def _primary_pool(self) -> pool.MemberPool | None:
        leader = self.permission.leader
        return None if leader is None else self._pools.get(leader.member)

    @property
    def primary_domain(self) -> str | None:
        """Failure domain of the member that is known as the primary; None if none is known."""
        primary_pool = self._primary_pool()
        return None if primary_pool is None else primary_pool.member.failure_domain

    @property
    def primary_leaving(self) -> bool:
        """Whether the member that is known as the primary leaves."""
        primary_pool = self._primary_pool()
        return primary_pool is not None and primary_pool.member.leaving

    def connection_limit_reached(self, primary_only: bool) -> bool:
        """Return whether members reject this instance's connections because of their limit.

        After a power failure, the old connections stay open at the members for 3 s, and only some
        instances get a new one. Without a grant an answer has to be confirmed by all members.

        Args:
          primary_only: Whether only the primary can serve the request.
        """
        now_s = self._clock()
        primary_pool, leader = self._primary_pool(), self.permission.leader
        granted = leader is not None and self.permission.valid_at(leader, now_s)
        if not granted:
            return any(
                member_pool.connection_limit_reached(now_s) for member_pool in self._pools.values()
            )
        if primary_only:
            return primary_pool is not None and primary_pool.connection_limit_reached(now_s)
        return all(
            member_pool.connection_limit_reached(now_s) for member_pool in self._pools.values()
        )

    def _reject_at_connection_limit(self) -> None:
        """Reject waiting requests whose candidates all reject connections.

        Another instance may have a connection to them.
        """
        now_s = self._clock()
        for entry in self._queue:
            candidates = self._candidates(entry.requirements)
            if entry.future.done() or entry.control or not candidates:
                continue
            if all(candidate.connection_limit_reached(now_s) for candidate in candidates):
                entry.future.set_exception(Unavailable("the members have too many connections"))

    def has_candidate(self, requirements: Requirements) -> bool:
        """Return whether any member could run a statement, even if its connections are in use."""
        return bool(self._candidates(requirements))

    def _candidates(self, requirements: Requirements) -> list[pool.MemberPool]:
        if requirements.required_member is not None:
            required = self._pools.get(requirements.required_member)
            return [] if required is None else [required]
        primary_pool = self._primary_pool()
        if requirements.primary_only:
            if (
                primary_pool is None
                or self.permission.change_in_progress
                or primary_pool.observations.suspected
            ):
                return []
            return [primary_pool]
        candidates = [
            member_pool
            for member_pool in self._pools.values()
            if not member_pool.member.leaving
            and member_pool.member.id not in requirements.excluded_members
        ]
        if requirements.min_position is not None:
            candidates = [
                candidate
                for candidate in candidates
                if candidate is primary_pool
                or candidate.likely_has(requirements.min_position, requirements.min_position_age_s)
            ]
        return [
            candidate for candidate in candidates if not candidate.observations.suspected
        ] or candidates

    def dispatch(self) -> None:
        """Assign free connections to waiting requests, and open connections for the others."""
        now_s = self._clock()
        unserved: set[tuple[object, ...]] = set()
        ordered = self._queue.in_order(now_s) if self._any_place(now_s) else []
        for entry in ordered:
            if entry.future.done():
                self._queue.remove(entry)
                continue
            needs = _needs(entry.requirements, now_s)
            if needs in unserved:
                continue
            opening = self._opening_links()
            link = self._assign(entry.requirements, now_s)
            if link is None:
                if self._opening_links() == opening:
                    unserved.add(needs)
            else:
                self._queue.record_assigned(entry, now_s)
                self._start_hold(link, entry.kind, now_s)
                entry.future.set_result(link)
                if not self._any_place(now_s):
                    break
        if len(self._queue) > 0 and self._dispatch_timer is None:
            # Addresses that refused connections are tried again, and members that had reached their
            # limit may accept connections again.
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(pool.RETRY_OPEN_S, self._dispatch_again)

    def _any_place(self, now_s: float) -> bool:
        """Return whether any waiting request may get a connection, or one be opened for it."""
        least_limited = min(
            (entry.requirements for entry in self._queue),
            key=lambda requirements: (requirements.waits_long, requirements.priority),
            default=None,
        )
        if least_limited is None:
            return False
        max_links = self.share + LINKS_BEYOND_SHARE
        is_control = least_limited.required_member is not None
        account = _ANY_ACCOUNT if self.accounts_enabled else ""
        return any(
            (
                is_control
                or member_pool.in_flight + member_pool.unsent
                < self._in_flight_limit(member_pool, least_limited)
            )
            and (
                member_pool.idle_links(ignore_window=True)
                or member_pool.may_open(max_links, math.inf, now_s, account)
            )
            for member_pool in self._pools.values()
        )

    def _opening_links(self) -> int:
        return sum(member_pool.opening_links for member_pool in self._pools.values())

    def _dispatch_again(self) -> None:
        self._dispatch_timer = None
        self._refuse_unservable()
        self.dispatch()

    def _refuse_unservable(self) -> None:
        """Refuse waiting requests whose turn would come after their time limits."""
        for entry in self._queue.unservable(self._clock(), self._capacity):
            if not entry.future.done() and self._all_links_busy(entry.requirements):
                entry.future.set_exception(
                    Unavailable(self._unavailable_reason(entry.requirements))
                )

    def _start_hold(self, link: member_link.MemberLink, kind: queueing.Kind, now_s: float) -> None:
        member_pool = self._pools.get(link.member.id)
        if member_pool is not None:
            member_pool.unsent += 1
            member_pool.transactions += kind.access is queueing.Access.TRANSACTION
            self._holds[link] = Hold(kind, now_s, member_pool)

    def _record_sent(self, link: member_link.MemberLink) -> None:
        """Stop counting a request as unsent: from here its statements count as in flight."""
        hold = self._holds.get(link)
        if hold is not None and not hold.sent:
            hold.sent = True
            hold.member_pool.unsent -= 1

    def _end_hold(self, link: member_link.MemberLink) -> None:
        self._record_sent(link)
        hold = self._holds.pop(link, None)
        if hold is not None:
            hold.member_pool.transactions -= hold.kind.access is queueing.Access.TRANSACTION
            self._queue.record_work(hold.kind, self._clock() - hold.acquired_at_s)

    def _assign(self, requirements: Requirements, now_s: float) -> member_link.MemberLink | None:
        """Acquire a free connection for a request; open one if there is none."""
        candidates = self._candidates(requirements)
        is_control = requirements.required_member is not None
        account = None if is_control else requirements.account
        if not is_control:
            candidates = self._with_place(candidates, requirements, now_s)
        idle_links = {
            candidate.member.id: links
            for candidate in candidates
            if (links := candidate.idle_links(is_control, account))
        }
        max_links = self.share + LINKS_BEYOND_SHARE
        waited_s = now_s - requirements.enqueued_at_s
        openable = {
            candidate.member.id
            for candidate in candidates
            if candidate.may_open(max_links, waited_s, now_s, requirements.account)
        }
        if not idle_links and not openable:
            return None
        if not self.crossing.policy.can_be_enabled:
            available = idle_links or openable
            candidates = [candidate for candidate in candidates if candidate.member.id in available]
        decision = self._decide(candidates, requirements, now_s)
        best = decision.choose(idle_links, prefer_replicas=not requirements.primary_only)
        if best is not None:
            link = pool.choose_link(idle_links[best], requirements.values)
            assert link is not None
            link.in_use = True
            self.crossing.record_placement(decision, link.member.failure_domain)
            link.departure_reason = decision.reason
            return link
        if requirements.account and requirements.awaits_link:
            return None
        best = decision.choose(
            openable,
            prefer_replicas=not requirements.primary_only,
        )
        if best is not None and self._pools[best].opening_links < self._max_opening_links(best):
            self._open_for(requirements, self._pools[best], max_links)
        return None

    def _open_for(
        self, requirements: Requirements, member_pool: pool.MemberPool, max_links: int
    ) -> None:
        """Open a connection for a waiting request, in place of another account's if necessary."""
        if requirements.account:
            requirements.awaits_link = True
            if member_pool.link_count >= max_links:
                member_pool.evict_other_account(requirements.account)
        self._start_opening(member_pool, requirements)

    def _decide(
        self,
        candidates: collections.abc.Iterable[pool.MemberPool],
        requirements: Requirements,
        now_s: float,
    ) -> crossing.Decision:
        """Decide to which of the candidates a statement may be sent."""
        primary_pool = self._primary_pool()
        waited_s = now_s - requirements.enqueued_at_s
        return self.crossing.decide(
            [
                candidate.load(self._failure_domain, candidate is primary_pool)
                for candidate in candidates
            ],
            waiting=max(0, len(self._queue) - 1),
            overdue=requirements.overdue or crossing.is_overdue(waited_s, requirements.max_wait_s),
            max_wait_s=requirements.max_wait_s,
            prefer_replicas=not requirements.primary_only,
            deciders=self._owner_count,
            now_s=now_s,
        )

    def _permitted(self, requirements: Requirements) -> list[pool.MemberPool]:
        """Return the candidates to which a statement may be sent now.

        Members of another domain to which it may not be sent have connections to spare for ever.
        """
        candidates = self._candidates(requirements)
        if not self.crossing.policy.can_be_enabled:
            return candidates
        decision = self._decide(candidates, requirements, self._clock())
        permitted = {load.member for tier in decision.tiers for load in tier}
        return [candidate for candidate in candidates if candidate.member.id in permitted]

    def members_to_query(self) -> list[str]:
        """Return the members whose free capacity would decide whether statements leave."""
        now_s = self._clock()
        return [
            member_pool.member.id
            for member_pool in self._pools.values()
            if self.crossing.is_wanted(member_pool.member.failure_domain, now_s)
        ]

    def _max_opening_links(self, member_id: str) -> int:
        """Return how many connections to a member may be opened at the same time."""
        return max(1, self._pools[member_id].member.slots // 2)

    def _start_opening(
        self, member_pool: pool.MemberPool, requirements: Requirements | None = None
    ) -> None:
        member_pool.opening_links += 1
        self._tasks.start(self._open_link(member_pool, requirements))

    def maintain_links(self, min_links: int) -> None:
        """Open connections ahead of requests, and close those beyond the instance's share.

        Connections within the share stay open: opening one takes a member's slot for 12 ms, as long
        as a statement does.

        Args:
          min_links: Number of connections to each member to open ahead of requests. An instance
            that doesn't own the group keeps none.
        """
        # Which accounts will send requests is not known ahead.
        min_links = min_links if self.owned and not self.accounts_enabled else 0
        max_links = self.share if self.owned else 0
        now_s = self._clock()
        for member_pool in self._pools.values():
            member_pool.close_surplus(max_links, now_s)
            if (
                member_pool.link_count < min_links
                and member_pool.may_open(min_links, 0.0, now_s)
                and not member_pool.member.leaving
            ):
                self._start_opening(member_pool)

    async def _open_link(
        self, member_pool: pool.MemberPool, requirements: Requirements | None
    ) -> None:
        now_s = self._clock()
        account = "" if requirements is None else requirements.account
        relay = self.relay if now_s < member_pool.relay_until_s else None
        try:
            link = await member_link.open_link(
                *(member_pool.member, relay, self._instance_name, self._dialect, self._clock),
                account=account,
            )
        except member_link.LinkFailure as failure:
            member_pool.record_open_failure(failure)
            if not isinstance(failure, member_link.Rejected):
                self.crossing.record_loss(member_pool.member.failure_domain, self._clock())
            self._reject_at_connection_limit()
            if isinstance(failure, member_link.Unreachable):
                member_pool.relay_until_s = (
                    self._clock() + pool.RELAY_PERIOD_S if relay is None else float("-inf")
                )
            _LOG.info(
                "failed to open a connection to a member",
                member=member_pool.member.id,
                through=str(relay or "direct"),
                failure=type(failure).__name__,
                detail=str(failure),
            )
        else:
            if link.fault is None:
                link.on_fault = self._report_answer_fault
            else:
                self._report_answer_fault(link.fault)
                member_pool.record_early_end()
            if self._pools.get(member_pool.member.id) is member_pool:
                member_pool.add(link)
            else:
                link.close()
        finally:
            member_pool.opening_links -= 1
            if requirements is not None:
                requirements.awaits_link = False
        self.dispatch()

    def _report_answer_fault(self, fault: answers.Fault) -> None:
        self.on_answer_fault(fault)

    def release(self, link: member_link.MemberLink) -> None:
        """Return a connection to its pool, after a rollback if a transaction is open on it.

        A connection that still waits for an answer is closed. The caller can't use the connection
        any more, and a second release has no effect.
        """
        if link.released:
            return
        self._end_hold(link)
        member_pool = self._pools.get(link.member.id)
        if member_pool is None or not link.usable or link.answer_outstanding:
            self._discard(link)
        else:
            returned = member_pool.take_back(link)
            if returned.state is not statements.TransactionState.IDLE:
                returned.in_use = True
                self._tasks.start(self._roll_back(returned))
                return
            if returned.worn_out:
                member_pool.discard(returned)
        self.dispatch()

    def _discard(self, link: member_link.MemberLink) -> None:
        member_pool = self._pools.get(link.member.id)
        if member_pool is None:
            link.close()
        else:
            member_pool.discard(link)
        if link.fault is None:
            self.on_member_failure(link.member.id)

    async def _roll_back(self, link: member_link.MemberLink) -> None:
        try:
            async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                reply = await link.run(self._dialect.encode_rollback(), answers.ROLLBACK)
            if reply.failure is not None:
                link.close()
        except (member_link.Lost, TimeoutError):
            link.close()
        if link.state is not statements.TransactionState.IDLE:
            link.close()
        self.release(link)

    async def run(
        self,
        link: member_link.MemberLink,
        query: bytes,
        expectation: answers.Expectation,
        timeout_s: float,
    ) -> statements.Reply | None:
        """Run one statement on a connection.

        Args:
          link: A connection that the caller has acquired.
          query: The encoded statement.
          expectation: What its answer can be.
          timeout_s: Maximum wait for the answer.
        Returns:
          The answer; None if it did not arrive in time. In that case the caller no longer owns the
          connection: it returns to the pool once the answer has arrived.
        Raises:
          member_link.NotSent: The connection had ended before; the statement was not sent.
          member_link.Lost: The connection ended; the statement may have run.
        """
        member_pool = self._pools.get(link.member.id)
        self._record_sent(link)
        if member_pool is not None:
            member_pool.in_flight += 1
        sent_at_s = self._clock()
        task = self._tasks.start(self._exchange(link, query, expectation, member_pool))
        try:
            await asyncio.wait({task}, timeout=max(0.0, min(timeout_s, SUSPECT_AFTER_S)))
            if not task.done() and timeout_s > SUSPECT_AFTER_S:
                if not self._running_time.stood_still(sent_at_s, self._clock()):
                    self._suspect(link.member.id)
                await asyncio.wait({task}, timeout=timeout_s - SUSPECT_AFTER_S)
        except asyncio.CancelledError:
            # Another member has answered first; this one has until the statement's time limit.
            left_s = sent_at_s + timeout_s - self._clock()
            self._tasks.start(
                self._release_after_answer(link, task, max(LATE_ANSWER_TIMEOUT_S, left_s))
            )
            raise
        if not task.done():
            self._tasks.start(self._release_after_answer(link, task, LATE_ANSWER_TIMEOUT_S))
            return None
        return task.result()

    def _suspect(self, member_id: str) -> None:
        """Mark a member that is slow to answer as suspected, and probe it."""
        member_pool = self._pools.get(member_id)
        if member_pool is not None and not member_pool.observations.suspected:
            member_pool.observations.suspected = True
            self.crossing.record_loss(member_pool.member.failure_domain, self._clock())
            _LOG.info(
                "member is slow to answer; probing it", member=member_id, service=self.service.name
            )
            self._tasks.start(self.probe(member_id))

    def _probe_again(self, member_pool: pool.MemberPool) -> None:
        """Probe a member again after a failure, as long as it is suspected.

        It gets no statements meanwhile, whose answers would end the suspicion.
        """
        member_id = member_pool.member.id
        if member_pool.observations.suspected and member_id not in self._probed_again:
            self._probed_again.add(member_id)
            self._tasks.start(self._probe_later(member_pool))

    async def _probe_later(self, member_pool: pool.MemberPool) -> None:
        member_id = member_pool.member.id
        try:
            await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            self._probed_again.discard(member_id)
        if self._pools.get(member_id) is member_pool and member_pool.observations.suspected:
            await self.probe(member_id)

    async def probe(self, member_id: str) -> None:
        """Open and close a TCP connection to a member, and record whether it was accepted.

        It is no sign of life if another member has answered at the address.

        Args:
          member_id: The member's id; an unknown one is ignored.
        """
        member_pool = self._pools.get(member_id)
        if member_pool is None:
            return
        try:
            _, writer = await member_link.connect(member_pool.member.endpoint, 64, PROBE_TIMEOUT_S)
        except member_link.LinkFailure as failure:
            member_pool.record_open_failure(failure)
            self.on_member_failure(member_id)
            _LOG.info(
                "probe connection to a member failed",
                member=member_id,
                failure=type(failure).__name__,
            )
            self._probe_again(member_pool)
        else:
            writer.close()
            if not member_pool.observations.address_taken:
                member_pool.record_contact()
            self.dispatch()

    async def _exchange(
        self,
        link: member_link.MemberLink,
        query: bytes,
        expectation: answers.Expectation,
        member_pool: pool.MemberPool | None,
    ) -> statements.Reply:
        """Run a statement and record what its answer shows of the member."""
        leader = self.permission.leader
        known_position = self._known_position(link)
        try:
            reply = await link.run(query, expectation)
        except member_link.Lost:
            if link.fault is None:
                self.crossing.record_loss(link.member.failure_domain, self._clock())
                self.on_member_failure(link.member.id)
            raise
        finally:
            if member_pool is not None:
                member_pool.in_flight -= 1
                in_transaction = link.state is not statements.TransactionState.IDLE
                if in_transaction and any(entry.waits_long for entry in self._queue):
                    # The transaction keeps its connection; another one may be used now.
                    self.dispatch()
        self._record_crossing(link, query, expectation, reply)
        if member_pool is not None:
            member_pool.record_reply(reply)
            member_pool.record_service_time(reply.received_at_s - reply.request_sent_at_s)
            if reply.failure is None and expectation.shows_position:
                if _lacks(reply, known_position):
                    assert leader is not None
                    link.led_term = 0
                    self.record_step_down(
                        leader, f"position {reply.position} after {known_position}"
                    )
                self._record_primary_position(link, reply)
        return reply

    def _record_crossing(
        self,
        link: member_link.MemberLink,
        query: bytes,
        expectation: answers.Expectation,
        reply: statements.Reply,
    ) -> None:
        """Record what an answer shows of the way to a failure domain and of its load."""
        domain, now_s = link.member.failure_domain, reply.received_at_s
        took_s = reply.received_at_s - reply.request_sent_at_s
        size_bytes = len(query) + sum(map(len, reply.rows)) + len(reply.done or b"")
        if reply.failure is not None and reply.failure.code is statements.ErrorCode.BUSY:
            self.crossing.record_rejection(domain, now_s)
        elif expectation is answers.STATUS:
            self.crossing.record_status(domain, took_s, now_s)
        elif reply.failure is None:
            self.crossing.record_answer(domain, took_s, size_bytes, now_s)
        if domain != self._failure_domain and expectation is not answers.STATUS:
            leaves_region = self.crossing.policy.leaves_region(domain)
            self.on_departure(Departure(leaves_region, link.departure_reason, size_bytes))

    def _known_position(self, link: member_link.MemberLink) -> positions.Position | None:
        """Return the newest known position of the leader that a connection leads to.

        None if there is none, or if the connection has not shown the leader's lead.
        """
        leader = self.permission.leader
        if leader is None or not link.shows_lead_of(leader):
            return None
        return self._newest_position_of(leader)

    def _newest_position_of(self, leader: permission.Leader | None) -> positions.Position | None:
        """Return the newest known position of a leader; None if there is none."""
        newest = self.history.newest_sample()
        if leader is None or newest is None or self.history.term != leader.term:
            return None
        return newest.position

    def _record_primary_position(
        self, link: member_link.MemberLink, reply: statements.Reply
    ) -> None:
        """Add the position in an answer to the history if the primary gave it within a grant.

        The position in an answer inside a transaction may be that of the transaction's begin, which
        does not cover the commits that followed it.
        """
        leader = self.permission.leader
        if leader is None or reply.position is None or not link.shows_lead_of(leader):
            return
        if reply.state is not statements.TransactionState.IDLE:
            return
        if self.permission.valid_at(leader, reply.received_at_s):
            self.history.record(
                leader.term, freshness.Sample(reply.request_sent_at_s, reply.position)
            )

    async def _release_after_answer(
        self,
        link: member_link.MemberLink,
        task: asyncio.Task[statements.Reply],
        timeout_s: float,
    ) -> None:
        """Return a connection to the pool once its late answer has arrived.

        The connection is closed if the answer does not arrive in time.
        """
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done():
            link.close()
            await asyncio.wait({task})
        if not task.cancelled():
            task.exception()
        self.release(link)

    async def query_member(
        self, member_id: str, query: bytes, timeout_s: float = STATUS_TIMEOUT_S
    ) -> statements.MemberStatus | None:
        """Send a member a status query, or a command that it answers with its status.

        Its answer is verified if it may be a second copy of an earlier one.

        Args:
          member_id: The member's id.
          query: The encoded query or command.
          timeout_s: Time limit of the connection and the answer together.
        Returns:
          The member's status report; None if it sent none.
        """
        deadline_s = self._clock() + timeout_s
        known = self._pools.get(member_id)
        now_s = self._clock()
        if known is None or known.unreachable(now_s) or known.connection_limit_reached(now_s):
            return None
        requirements = Requirements(
            primary_only=False,
            deadline_s=deadline_s,
            required_member=member_id,
            priority=CONTROL_PRIORITY,
        )
        try:
            link = await self.acquire(requirements)
            reply = await self._run_status_query(link, query, deadline_s - self._clock())
        except Unavailable:
            return None
        except member_link.Lost:
            self.release(link)
            return None
        if reply is None:
            return None
        self.release(link)
        return self._parse_status(reply)

    def has_ended(self, member_id: str) -> bool:
        """Return whether nothing listens for a member, or its record has left the store.

        The last attempt to connect has just shown it.

        Args:
          member_id: The member's id.
        """
        member_pool = self._pools.get(member_id)
        if member_pool is None:
            return True
        observations = member_pool.observations
        refused = observations.refusing_since_s is not None or observations.address_taken
        return refused and member_pool.unreachable(self._clock())

    def _parse_status(self, reply: statements.Reply) -> statements.MemberStatus | None:
        return self._dialect.parse_member_status(reply.rows[0]) if reply.rows else None

    async def _run_status_query(
        self, link: member_link.MemberLink, query: bytes, timeout_s: float
    ) -> statements.Reply | None:
        """Run a query that is answered with a status report, and record what the report shows.

        Returns:
          The answer; None if it did not arrive in time, as `run` does.
        Raises:
          member_link.Lost: The connection ended.
        """
        leader = self.permission.leader
        known_position = self._newest_position_of(leader)
        member_pool = self._pools.get(link.member.id)
        reply = await self.run(link, query, answers.STATUS, timeout_s)
        status = None if reply is None else self._parse_status(reply)
        if reply is None or status is None:
            return reply
        lacks_position = (
            leader is not None
            and known_position is not None
            and status.primary
            and permission.Leader(link.member.id, status.term) == leader
            and (status.received_position is None or status.received_position < known_position)
        )
        self._record_report(link, status, reply, lacks_position)
        if member_pool is None or self._pools.get(link.member.id) is not member_pool:
            # The member has left, or another process has taken its place meanwhile.
            return reply
        member_pool.observations.status = status
        member_pool.observations.status_at_s = reply.request_sent_at_s
        reported = permission.Leader(link.member.id, status.term)
        leads = status.primary and link.shows_lead_of(reported)
        member_pool.observations.primary_position = reply.position if leads else None
        if leader is not None and lacks_position:
            self.record_step_down(leader, f"{status} after {known_position}")
            return reply
        if status.primary:
            self.observe_primary(reported)
            self.permission.record_lead(reported)
        if (
            leader is not None
            and leader.member == link.member.id
            and leader.term != confirmation.UNKNOWN_TERM
            and not (status.primary and status.term >= leader.term)
        ):
            # The query was sent when the leader was known, so that the report is newer than that.
            self.record_step_down(leader, str(status))
        return reply

    def _record_report(
        self,
        link: member_link.MemberLink,
        status: statements.MemberStatus,
        reply: statements.Reply,
        lacks_position: bool,
    ) -> None:
        """Record on a connection what a status report shows of the process at its other end."""
        if lacks_position:
            # Another process says that it leads the term, without the log. Answers inside a
            # transaction would not show it.
            link.reported = status
            link.led_term = 0
            return
        link.record_status(status, reply.position)
        if status.primary and not link.shows_lead_of(
            permission.Leader(link.member.id, status.term)
        ):
            _LOG.info(
                "primary has not applied the log with which it leads",
                service=self.service.name,
                member=link.member.id,
                received=str(status.received_position),
                applied=str(reply.position),
            )

    async def verify_lead(self, link: member_link.MemberLink, timeout_s: float) -> LeadCheck:
        """Ask the process at the other end of a connection whether it leads the group.

        Another process may have started under the leader's id, without its log. Nothing is sent if
        the process has shown its lead on this connection before.

        Args:
          link: A connection to the leader that the caller has acquired. The caller keeps it, except
            after NO_ANSWER.
          timeout_s: Maximum wait for the answer; LEAD_CHECK_TIMEOUT_S at most.
        """
        leader = self.permission.leader
        if leader is None or leader.member != link.member.id:
            return LeadCheck.NOT_LEADING
        if link.shows_lead_of(leader):
            return LeadCheck.LEADS
        query = self._dialect.encode_status_query()
        try:
            reply = await self._run_status_query(link, query, min(timeout_s, LEAD_CHECK_TIMEOUT_S))
        except member_link.Lost:
            self.release(link)
            return LeadCheck.NO_ANSWER
        if reply is None:
            return LeadCheck.NO_ANSWER
        if reply.failure is not None:
            return LeadCheck.BUSY
        if self.permission.leader != leader:
            return LeadCheck.NOT_LEADING
        if link.shows_lead_of(leader):
            return LeadCheck.LEADS
        reported = link.reported
        claims_lead = reported is not None and reported.primary and reported.term == leader.term
        applying = claims_lead and not self.permission.stepped_down
        return LeadCheck.APPLYING if applying else LeadCheck.NOT_LEADING

    def record_step_down(self, leader: permission.Leader, evidence: str) -> None:
        """Record that a leader is no longer the primary, so that it is used no more.

        Args:
          leader: The leader.
          evidence: What has shown it, for the log.
        """
        if self.permission.record_step_down(leader, self._clock()):
            _LOG.info(
                "member is no longer the primary of its term",
                service=self.service.name,
                member=leader.member,
                term=leader.term,
                evidence=evidence,
            )
        self.on_member_failure(leader.member)

    def observe_primary(self, leader: permission.Leader) -> None:
        """Record a member that reports itself as the primary of a term."""
        if self.permission.observe(leader):
            _LOG.info(
                "primary taken from a member's self-reported role",
                service=self.service.name,
                member=leader.member,
                term=leader.term,
            )
            self.dispatch()


def _needs(requirements: Requirements, now_s: float) -> tuple[object, ...]:
    """Return what decides whether a waiting request gets a connection or one is opened for it.

    During an overload most requests of a long queue need the same. If one of them gets nothing, the
    others need not be tried: trying all took most of the time of a replay.
    """
    waited_s = now_s - requirements.enqueued_at_s
    return (
        requirements.primary_only,
        requirements.required_member,
        requirements.min_position,
        frozenset(requirements.excluded_members),
        requirements.priority,
        requirements.account,
        requirements.waits_long,
        requirements.kind.access,
        int(waited_s / pool.SECOND_LINK_WAIT_S),
    )


def _queue_entry(
    requirements: Requirements, future: "asyncio.Future[member_link.MemberLink]"
) -> QueueEntry:
    """Return the entry of a request whose wait begins."""
    arrived_at_s = requirements.arrived_at_s
    return QueueEntry(
        arrived_at_s=requirements.enqueued_at_s if arrived_at_s is None else arrived_at_s,
        deadline_s=requirements.deadline_s,
        objective_at_s=requirements.objective_at_s,
        priority=requirements.priority,
        account=requirements.account,
        kind=requirements.kind,
        primary_only=requirements.primary_only,
        waits_long=requirements.waits_long,
        control=requirements.required_member is not None,
        requirements=requirements,
        future=future,
    )


def _lacks(reply: statements.Reply, known_position: positions.Position | None) -> bool:
    """Return whether the log of the member that answered lacks a position that its leader had.

    The position in an answer inside a transaction may be that of the transaction's begin.
    """
    if known_position is None or reply.state is not statements.TransactionState.IDLE:
        return False
    return reply.position is None or reply.position < known_position


def _counter_phase(service: str, instance_name: str) -> float:
    """Return a number from 0 to 1 that differs between the instances of a group."""
    score = ownership.score(service, instance_name)
    return int.from_bytes(score, "big") / 256.0 ** len(score)


def _restarted(previous: model.Member, current: model.Member) -> bool:
    return previous.started_ms != current.started_ms or previous.endpoint != current.endpoint
