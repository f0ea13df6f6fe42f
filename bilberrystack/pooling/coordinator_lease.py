"""The coordinator lease: which instance may request promotions, and until when.

The lease is a record in the store. The coordinator counts its duration from just before it sent the
last successful renewal; other instances count from when they first read the record in its present
revision, or from when the coordinator told them of it. `routing/lease_terms.py` has the durations.
No clocks are compared between machines. An instance acquires a lease before it expires only if the
coordinator's process has certainly ended.

The store may return from an older copy, in which the record is an earlier one or missing. Its last
holder then writes it again. To other instances a record from before the store's return shows only
that there may be a holder, so that they wait for the full duration.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import random

import loguru

from bilberrystack.pooling import counters
from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model
from bilberrystack.routing import pending_promotions
from bilberrystack.routing import permission
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="duty")

# Each renewal arrives within the time that the coordinator may act without its standbys.
RENEW_INTERVAL_S = lease_terms.CONTACT_DURATION_S * 0.75
STORE_RETRY_DELAY_S = 0.3

# Interval between checks of the coordinator's renewals, which its answers tell of.
RENEWAL_CHECK_INTERVAL_S = 0.5

# An instance with less processing power than this delays its first attempt to acquire the lease, so
# that a larger one gets it: the coordinator of 200 instances used a quarter of a core.
SMALL_MACHINE_CORES = 1.0
SMALL_MACHINE_DELAY_S = 1.0

# Jitter that keeps instances from checking the lease at the same time.
CHECK_JITTER_S = 0.25

# An instance that resigned because it hears too few others does not try to acquire the lease again
# for this long, so that one of the others can.
RESIGN_BACKOFF_S = 2.0

# A fencing token is at least the era of the store times this number, plus the number of the
# revision that it replaces. A store that returns from an older copy can hold a lower token and give
# the revision out again, but its era has risen.
TOKENS_PER_ERA = 2**32

# Maximum wait for the coordinator's process to connect, and again to answer a probe.
PROBE_TIMEOUT_S = 0.5

# Grants and promotion requests of the previous coordinator have ended after this time.
SETTLE_DELAY_S = pending_promotions.PROMOTION_EFFECT_S


# Shortest delay between two checks of a lease that is about to expire.
MIN_CHECK_DELAY_S = 0.05

# Reason to acquire the lease when the system starts for the first time.
_NEVER_HELD = "never held before"

# Reason to acquire a lease that was not renewed in time.
_EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRenewal:
    """The last successful renewal of the lease that this instance holds.

    Attributes:
      revision: The record's revision.
      age_s: Seconds since the renewal was sent.
      standbys: The incarnations that the record names as standbys.
    """

    revision: interfaces.Revision
    age_s: float
    standbys: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ToldRenewal:
    """The last renewal of which the coordinator has told this instance.

    Attributes:
      revision: The record's revision.
      sent_before_s: An instant of this instance's clock after the sending of the renewal.
      names_receiver: Whether the record names this instance as a standby.
    """

    revision: interfaces.Revision
    sent_before_s: float
    names_receiver: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The acknowledgement of a coordinator's answer.

    Attributes:
      token: The coordinator's fencing token.
      answered_at_s: When it sent the answer, on its own clock.
    """

    token: int
    answered_at_s: float


class CoordinatorLease:
    """This instance's view of the coordinator lease.

    Attributes:
      acknowledgement: The coordinator's answer that this instance's heartbeats acknowledge; None
        before the first one.
      check_after_s: Time without contact to the coordinator, in seconds, after which this instance
        reads the lease itself.
      coordinator_heard_at_s: When the coordinator was last known to be alive; minus infinity if it
        never was, or has departed.
      grants_end_at_s: When the last grant given under this instance's lease ends, for log lines.
      is_primary_leaving: Returns whether any group's primary leaves; set by the instance.
      leaving_replaceable_at_s: When grants of the previous coordinator have ended. A primary that
        leaves can be replaced from then on.
      settled_at_s: When its promotion requests have ended too.
      supporters: The instances that support this one while it is the coordinator.
    """

    __slots__ = (
        "_abstained_at",
        "_acknowledged_at_s",
        "_attempted_standbys",
        "_backoff_until_s",
        "_clock",
        "_first_era",
        "_first_start",
        "_held_record",
        "_last_read",
        "_metrics",
        "_own_instance",
        "_platform",
        "_read_before_renewal",
        "_read_in_era",
        "_release_requested",
        "_released",
        "_renewed_at_s",
        "_running_time",
        "_told_renewal",
        "_unchanged_since_s",
        "acknowledgement",
        "check_after_s",
        "coordinator_heard_at_s",
        "grants_end_at_s",
        "is_primary_leaving",
        "leaving_replaceable_at_s",
        "settled_at_s",
        "supporters",
    )

    def __init__(
        self,
        own_instance: model.Instance,
        platform: interfaces.Platform,
        clock: interfaces.Clock,
        metrics: counters.Counters,
        *,
        first_start: bool = False,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
    ) -> None:
        """Create a view of the lease before the first reading.

        Args:
          own_instance: This instance.
          platform: The store.
          clock: Returns the current time in seconds.
          metrics: Counts changes of the lease.
          first_start: Whether the whole system starts for the first time, so that a missing record
            means that there was never a coordinator.
          running: Time in which this process ran.
        """
        self._running_time = running
        self._own_instance = own_instance
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._held_record: interfaces.LeaseRecord | None = None
        self._renewed_at_s = 0.0
        self._read_before_renewal = False
        self._read_in_era = 0
        self._first_start = first_start
        self._first_era: int | None = None
        self._last_read: interfaces.LeaseRecord | None = None
        self._unchanged_since_s = 0.0
        self._released = False
        # Whether the store was asked to release the held lease and may have done so or still do.
        self._release_requested = False
        self._backoff_until_s = float("-inf")
        # Standbys of renewals that may have been stored or may still be.
        self._attempted_standbys: set[str] = set()
        self._told_renewal: ToldRenewal | None = None
        # The revision at which this instance has stopped to acknowledge the coordinator's answers.
        self._abstained_at: interfaces.Revision | None = None
        self._acknowledged_at_s = float("-inf")
        self.acknowledgement: Acknowledgement | None = None
        self.check_after_s = 0.0
        self.coordinator_heard_at_s = float("-inf")
        self.grants_end_at_s = float("-inf")
        self.is_primary_leaving: collections.abc.Callable[[], bool] = lambda: False
        self.leaving_replaceable_at_s = 0.0
        self.settled_at_s = 0.0
        self.supporters = lease_terms.Supporters()

    @property
    def ends_at_s(self) -> float:
        """When this instance stops acting on its lease."""
        stored = () if self._held_record is None else self._held_record.standbys
        supported_until_s = self.supporters.supported_until_s({*stored, *self._attempted_standbys})
        return lease_terms.ends_at_s(self._renewed_at_s, supported_until_s)

    @property
    def renewal(self) -> HeldRenewal | None:
        """The last successful renewal; None if this instance is not the coordinator."""
        if self._held_record is None:
            return None
        age_s = self._clock() - self._renewed_at_s
        return HeldRenewal(self._held_record.revision, age_s, frozenset(self._held_record.standbys))

    @property
    def token(self) -> int | None:
        """The fencing token to act with now; None if this instance is not the coordinator."""
        held = self._held_record
        if held is None or self._release_requested or self._clock() >= self.ends_at_s:
            return None
        return held.token

    @property
    def coordinator(self) -> model.Instance | None:
        """The coordinator as last read from the store; None if there is none."""
        if self._held_record is not None:
            return self._own_instance
        return None if self._last_read is None else self._last_read.coordinator

    async def maintain(self) -> None:
        """Acquire and renew the lease until cancelled."""
        delay_s = SMALL_MACHINE_DELAY_S if self._own_instance.cores < SMALL_MACHINE_CORES else 0.0
        await asyncio.sleep(delay_s + random.uniform(0, CHECK_JITTER_S))
        while True:
            if self._released:
                # The process is about to end; another instance acquires the lease.
                await asyncio.Event().wait()
            try:
                await (self._try_acquire() if self._held_record is None else self._renew())
            except interfaces.StoreFailure as failure:
                self._read_before_renewal = True
                _LOG.info(
                    "coordinator lease could not be read or written; retrying",
                    failure=type(failure).__name__,
                    detail=str(failure),
                    holding=self._held_record is not None,
                )
                await asyncio.sleep(STORE_RETRY_DELAY_S * random.uniform(0.7, 1.3))

    async def _renew(self) -> None:
        held = self._held_record
        assert held is not None
        delay_s = self._renewed_at_s + RENEW_INTERVAL_S - self._clock()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if self._clock() >= self._renewed_at_s + lease_terms.LEASE_DURATION_S:
            self._lose("lease expired without a renewal")
            return
        if self._read_before_renewal or self._platform.store_era != self._read_in_era:
            await self._reconcile(held)
            return
        sent_at_s = self._clock()
        try:
            renewed = await self._write_renewal(held, held)
        except interfaces.Conflict:
            self._read_before_renewal = True
            return
        if not renewed.current:
            # The store has returned from an older copy, and the renewal matched a revision that was
            # given out again.
            self._read_before_renewal = True
        elif self._held_record is held:
            self._record_renewal(renewed, sent_at_s)

    async def _write_renewal(
        self, replaced: interfaces.LeaseRecord, held: interfaces.LeaseRecord
    ) -> interfaces.LeaseRecord:
        """Write the held lease with its present standbys in place of a stored record."""
        standbys = self.supporters.choose_standbys(held.standbys, self._clock())
        self._attempted_standbys.update(standbys)
        return await self._platform.write_coordinator_lease(
            replaced, self._own_instance, held.token, standbys
        )

    def _record_renewal(self, renewed: interfaces.LeaseRecord, sent_at_s: float) -> None:
        if self.token is None:
            self._end_interruption(renewed.token)
        self._held_record, self._renewed_at_s = renewed, sent_at_s
        # An earlier renewal can't be stored any more, since it names an older revision.
        self._attempted_standbys.clear()

    def _end_interruption(self, token: int) -> None:
        """Permit to act on the held lease again, once it is certain that it was not released."""
        self._release_requested = False
        # A promotion request from before the interruption may still take effect.
        self.settled_at_s = self._clock() + SETTLE_DELAY_S
        self.leaving_replaceable_at_s = self.settled_at_s
        _LOG.info(
            "coordinator lease can be used again",
            token=token,
            requests_wait_ms=round(SETTLE_DELAY_S * 1000),
        )

    @property
    def _grants_left_ms(self) -> int:
        """For how long the last given grants still run, for log lines."""
        return round(max(0.0, self.grants_end_at_s - self._clock()) * 1000)

    async def _reconcile(self, held: interfaces.LeaseRecord) -> None:
        """Compare the held lease with the stored one after a failure or a return of the store."""
        sent_at_s = self._clock()
        self._read_in_era = self._platform.store_era
        record = await self._platform.read_coordinator_lease()
        self._read_before_renewal = False
        if self._held_record is not held:
            return
        if record.current and self._is_own(record) and record.token == held.token:
            # A renewal whose response was lost may have changed the record.
            self._held_record = record
        elif (
            record.revision.era > held.revision.era
            and not record.current
            and self.token is not None
        ):
            # Nobody else acquires the lease in this era before the held one has ended.
            written = await self._write_renewal(record, held)
            if self._held_record is held and written.current:
                self._record_renewal(written, sent_at_s)
                _LOG.info(
                    "coordinator lease written again after the store's return",
                    token=held.token,
                    era=written.revision.era,
                    found_token=record.token,
                )
        else:
            self._lose("another instance holds the lease")

    def _lose(self, reason: str) -> None:
        assert self._held_record is not None
        _LOG.warning(
            "coordinator lease lost",
            reason=reason,
            token=self._held_record.token,
            grants_left_ms=self._grants_left_ms,
        )
        self._metrics.lease_changes.inc({"change": "lost"})
        self._last_read, self._held_record = None, None
        self._release_requested = False

    def _is_own(self, record: interfaces.LeaseRecord) -> bool:
        return (
            record.coordinator is not None
            and record.coordinator.incarnation == self._own_instance.incarnation
        )

    async def _try_acquire(self) -> None:
        """Acquire the lease if it is free, or wait until the next check is due."""
        backoff_s = self._backoff_until_s - self._clock()
        if backoff_s > 0:
            await asyncio.sleep(max(backoff_s, MIN_CHECK_DELAY_S))
            return
        unheard_s = self._clock() - self.coordinator_heard_at_s
        if (
            self._last_read is not None
            and unheard_s < self.check_after_s
            and not self._is_takeover_needed()
        ):
            delay_s = self.check_after_s - unheard_s + random.uniform(0, CHECK_JITTER_S)
            await asyncio.sleep(min(delay_s, RENEWAL_CHECK_INTERVAL_S))
            return
        record = await self._platform.read_coordinator_lease()
        previous = self._last_read
        if previous is None or record.revision != previous.revision:
            self._unchanged_since_s = self._clock()
        told = self._told_renewal
        if told is not None and told.revision == record.revision:
            self._unchanged_since_s = min(self._unchanged_since_s, told.sent_before_s)
        self._last_read = record
        self._log_coordinator_change(previous, record)
        if self._is_takeover_needed():
            # This instance reaches the store and the coordinator may not.
            self._abstained_at = record.revision
        if self._first_era is None:
            self._first_era = record.revision.era
        reason = await self._reason_to_acquire(record)
        if reason:
            await self._acquire(record, reason)
        else:
            if previous is None or record.revision != previous.revision:
                self._log_wait(record)
            delay_s = random.uniform(CHECK_JITTER_S, 3 * CHECK_JITTER_S)
            left_s = self._time_until_acquirable_s(record)
            await asyncio.sleep(min(delay_s, max(left_s, MIN_CHECK_DELAY_S)))

    def _is_standby(self, record: interfaces.LeaseRecord) -> bool:
        """Return whether a record permits this instance to acquire the lease early.

        A record from before the store's return may be older than the last one, which may have named
        other standbys.
        """
        return record.current and lease_terms.names_standby(
            record.standbys, self._own_instance.incarnation
        )

    def _time_until_acquirable_s(self, record: interfaces.LeaseRecord) -> float:
        """Return how long this instance has to see the record unchanged before it may acquire it.

        Time in which this process stood still does not count, since it saw no renewal then. That
        only delays the acquisition.
        """
        acquirable_at_s = lease_terms.acquirable_at_s(
            self._unchanged_since_s, self._is_standby(record), self._acknowledged_at_s
        )
        seen_s = self._running_time.elapsed_s(self._unchanged_since_s, self._clock())
        return acquirable_at_s - self._unchanged_since_s - seen_s

    def _is_takeover_needed(self) -> bool:
        """Return whether this standby should replace a coordinator that it hears.

        A coordinator that does not reach the store does not learn that a primary leaves.
        """
        told = self._told_renewal
        return (
            told is not None
            and told.names_receiver
            and self._running_time.elapsed_s(told.sent_before_s, self._clock())
            >= lease_terms.CONTACT_DURATION_S
            and self.is_primary_leaving()
        )

    def record_answer(self, token: int, answered_at_s: float, renewal: ToldRenewal | None) -> None:
        """Record an answer of the coordinator, and acknowledge it if that is permitted.

        An instance that wants to acquire the lease does not acknowledge answers of a coordinator
        that has not renewed it since.

        Args:
          token: The coordinator's fencing token.
          answered_at_s: When it sent the answer, on its own clock.
          renewal: Its last renewal; None if it does not tell it.
        """
        self.coordinator_heard_at_s = self._clock()
        self._told_renewal = renewal
        if renewal is None or (
            self._abstained_at is not None and renewal.revision <= self._abstained_at
        ):
            return
        self._acknowledged_at_s = self._clock()
        self.acknowledgement = Acknowledgement(token, answered_at_s)

    async def _reason_to_acquire(self, record: interfaces.LeaseRecord) -> str:
        """Return why the lease is free, for the log; an empty string if it is or may be held."""
        if self._time_until_acquirable_s(record) <= 0.0:
            return _EXPIRED
        if not record.exists and self._first_start and record.revision.era == self._first_era:
            return _NEVER_HELD
        if not record.current:
            return ""
        if record.coordinator is None:
            return "released"
        if record.coordinator.endpoint == self._own_instance.endpoint:
            # Two processes can't listen there at the same time. By the name alone, the holder may
            # still run at another address.
            return "held by an earlier incarnation of this instance"
        if self._time_until_acquirable_s(record) < PROBE_TIMEOUT_S:
            return ""
        match await self._probe(record.coordinator, record.token):
            case ProcessState.REPLACED:
                return "coordinator process has ended"
            case ProcessState.ALIVE:
                # The coordinator has just answered, so that the next check can wait.
                self.coordinator_heard_at_s = self._clock()
        return ""

    async def _probe(self, coordinator: model.Instance, token: int) -> "ProcessState":
        """Check whether the process of the coordinator is alive."""
        state = await probe(coordinator)
        self._metrics.coordinator_probes.inc({"result": state.value})
        _LOG.info(
            "coordinator probed",
            coordinator=coordinator.name,
            incarnation=coordinator.incarnation,
            endpoint=str(coordinator.endpoint),
            token=token,
            result=state.value,
        )
        return state

    @staticmethod
    def _log_coordinator_change(
        previous: interfaces.LeaseRecord | None, record: interfaces.LeaseRecord
    ) -> None:
        """Log whose grants this instance accepts from now on, if that differs from before."""
        if previous is not None and previous.coordinator == record.coordinator:
            return
        _LOG.info(
            "coordinator read from the store",
            coordinator="" if record.coordinator is None else record.coordinator.name,
            incarnation="" if record.coordinator is None else record.coordinator.incarnation,
            token=record.token,
            revision=str(record.revision),
        )

    def _log_wait(self, record: interfaces.LeaseRecord) -> None:
        """Log a lease whose coordinator this instance does not hear and may not replace yet."""
        coordinator_unheard_s = self._clock() - self.coordinator_heard_at_s
        _LOG.info(
            "coordinator lease not acquired: it is or may be held",
            coordinator="" if record.coordinator is None else record.coordinator.name,
            token=record.token,
            revision=str(record.revision),
            unheard_ms=round(min(coordinator_unheard_s, 99.0) * 1000),
        )

    async def _acquire(self, record: interfaces.LeaseRecord, reason: str) -> None:
        # An answer that arrives late must not be acknowledged while the request is under way.
        self._abstained_at = record.revision
        sent_at_s = self._clock()
        token = next_token(record)
        try:
            acquired = await self._platform.write_coordinator_lease(
                record, self._own_instance, token, (lease_terms.ANY_INSTANCE,)
            )
        except interfaces.Conflict:
            # Another instance acquired it first; the next read shows which one.
            self._last_read = None
            return
        if not acquired.current:
            # The store has returned from an older copy since the record was read.
            self._last_read = None
            return
        if self._released:
            await self._platform.write_coordinator_lease(acquired, None, token)
            return
        self._held_record = acquired
        self._read_in_era = acquired.revision.era
        self._renewed_at_s = sent_at_s
        self._attempted_standbys.clear()
        self.supporters.clear()
        settle_s = 0.0 if reason == _NEVER_HELD else SETTLE_DELAY_S
        self.settled_at_s = self._clock() + settle_s
        # The grants of a coordinator end with its lease, but may outlast its process.
        outlasting_s = 0.0 if reason in (_NEVER_HELD, _EXPIRED) else permission.GRANT_DURATION_S
        self.leaving_replaceable_at_s = self._clock() + outlasting_s
        self._metrics.lease_changes.inc({"change": "taken"})
        _LOG.info(
            "coordinator lease acquired",
            reason=reason,
            token=acquired.token,
            former_token=record.token,
            former="" if record.coordinator is None else record.coordinator.name,
            era=acquired.revision.era,
            grants_wait_ms=round(outlasting_s * 1000),
            requests_wait_ms=round(settle_s * 1000),
        )

    async def release(self) -> None:
        """Release the lease for good at a graceful stop."""
        self._released = True
        await self._release_held("stopping")

    async def resign(self, reason: str) -> None:
        """Release the lease, so that an instance that hears more of the others can acquire it.

        This instance stops acting before the release is sent: its successor counts the time of its
        last grants from the moment at which it finds the lease released. Without an answer of the
        store it acts again only after a renewal, which shows that the release was not stored.

        Args:
          reason: Why, for the log.
        """
        self._backoff_until_s = self._clock() + RESIGN_BACKOFF_S
        held = self._held_record
        if held is None or self._release_requested:
            return
        self._release_requested = True
        try:
            await self._platform.write_coordinator_lease(held, None, held.token)
        except interfaces.StoreFailure as failure:
            # No other instance can acquire a lease whose release is not stored, so it is kept.
            _LOG.info(
                "coordinator lease kept because its release could not be stored",
                reason=reason,
                failure=type(failure).__name__,
            )
            if self._held_record is held:
                self._read_before_renewal = True
                if isinstance(failure, interfaces.NotDone):
                    self._end_interruption(held.token)
            return
        if self._held_record is held:
            self._held_record, self._release_requested = None, False
            self._metrics.lease_changes.inc({"change": "released"})
            self._log_release(held.token, reason)

    def _log_release(self, token: int, reason: str) -> None:
        _LOG.info(
            "coordinator lease released",
            token=token,
            reason=reason,
            grants_left_ms=self._grants_left_ms,
        )

    async def _release_held(self, reason: str) -> None:
        held, self._held_record = self._held_record, None
        if held is None:
            return
        self._metrics.lease_changes.inc({"change": "released"})
        self._log_release(held.token, reason)
        try:
            await self._platform.write_coordinator_lease(held, None, held.token)
        except interfaces.StoreFailure as failure:
            _LOG.warning(
                "release of the coordinator lease not stored; the lease stays taken until it"
                " expires or a probe finds this process ended",
                failure=type(failure).__name__,
            )


def next_token(replaced: interfaces.LeaseRecord) -> int:
    """Return a fencing token greater than those of all earlier coordinators.

    Args:
      replaced: The record of the lease that the new coordinator replaces.
    """
    revision = replaced.revision
    return max(revision.era * TOKENS_PER_ERA + revision.number, replaced.token + 1)


class ProcessState(enum.Enum):
    """The state of another instance's process as a probe found it."""

    ALIVE = "alive"
    REPLACED = "replaced"
    REFUSING = "refusing"
    UNRESPONSIVE = "silent"
    UNKNOWN = "unknown"


async def probe(instance: model.Instance) -> ProcessState:
    """Check whether the process of an instance is alive.

    The process has certainly ended if another incarnation answers at its port. A refused connection
    proves nothing: a network partition may refuse connections to a process that others reach. Nor
    does an answer that is no incarnation, since it shows no other process of an instance.

    Args:
      instance: The instance, with the incarnation that is expected to answer.
    Returns:
      The state of the process.
    """
    try:
        reader, writer = await member_link.connect(instance.endpoint, 256, PROBE_TIMEOUT_S)
    except member_link.Refused:
        return ProcessState.REFUSING
    except member_link.LinkFailure:
        return ProcessState.UNRESPONSIVE
    try:
        member_link.write(writer, instance_lines.encode_incarnation_request())
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            answer = await instance_lines.read_line(reader)
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return ProcessState.UNRESPONSIVE
    finally:
        writer.close()
    if answer == instance.incarnation.encode():
        return ProcessState.ALIVE
    return ProcessState.REPLACED if instance_lines.is_incarnation(answer) else ProcessState.UNKNOWN
