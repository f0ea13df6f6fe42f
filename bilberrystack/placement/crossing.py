"""Decides how many statements of a group leave this instance's failure domain, and for which one.

The expected time at home is compared with the cost of each other domain. Each destination has a
share of the statements. It is raised in small steps while leaving pays off and the destination
reports free capacity, and halved as soon as it does not. Statements are then chosen by a counter,
so that the share is spread evenly.

Only the candidates that are passed in are ordered or left out. None is added.
"""

import collections.abc
import dataclasses
import enum
import math

from bilberrystack.placement import capacity
from bilberrystack.placement import estimates
from bilberrystack.placement import selection

BYTES_PER_MB = 1_000_000

# Interval between two changes of a share. Several statements are answered in it at 50 a second.
UPDATE_INTERVAL_S = 0.2

# A raise adds at most this to the share, in proportion to the gain: small gains are mostly chance.
RAISE_STEP = 0.1

# A share is multiplied by this when leaving costs more than it gains by half of the margin below,
# or an answer shows that the destination is full. It becomes 0 below MIN_SHARE.
LOWER_FACTOR = 0.5
MIN_SHARE = 0.02

# Factor where leaving costs more than it gains by less than that.
SLOW_LOWER_FACTOR = 0.6

# The shares add up to this at most. The rest stays at home and shows when home has recovered.
MAX_TOTAL_SHARE = 0.9

# Leaving has to gain this much, and this fraction of its cost, before a share is raised. A share is
# lowered only when leaving gains nothing, so that a small difference changes nothing.
MARGIN_S = 0.005
MARGIN_FRACTION = 0.25

# Weights of the newest interval in the mean gain if it is higher or lower than the mean. Near its
# capacity, a domain's waits change several-fold within a second, and shares that followed single
# intervals swung between 0.1 and 0.4.
RISING_GAIN_WEIGHT = 0.25
FALLING_GAIN_WEIGHT = 0.5

# The gain of an interval counts up to this many margins each way, so that a large gain does not
# delay a reduction.
GAIN_LIMIT_MARGINS = 2.0

# After a share was lowered it is not raised for this long, so that a load which swings within a
# second moves no traffic to and fro.
HOLD_S = 1.0

# Round trips that are assumed until answers have been measured.
ASSUMED_DOMAIN_TIME_S = 0.002
ASSUMED_REGION_TIME_S = 0.06

# Service time that is assumed until statements have been measured.
ASSUMED_WORK_S = 0.015

# Answers that an interval must have for its mean to count as the service time without load.
MIN_ANSWERS = 10

# Weight of a link's standing delay beyond the delay itself: each further byte delays all others on
# the link as well.
LINK_LOAD_WEIGHT = 1.0

# Weight of the newest statement in the mean of bytes, and of the newest interval in rates.
SIZE_WEIGHT = 0.05
RATE_WEIGHT = 0.5

# Shares end after this time without a statement: what they rest on is outdated.
RESET_AFTER_S = 2.0

# Bytes of a statement and its answer that are assumed before the first one.
ASSUMED_STATEMENT_BYTES = 500.0

# A statement that has waited this long at home, or this fraction of its maximum wait, may leave
# although the share does not include it, if the destination has free slots.
OVERDUE_S = 0.1
OVERDUE_FRACTION = 0.8

# How long a domain is avoided after a lost answer, and the limit of this time, which doubles.
AVOID_S = 1.0
MAX_AVOID_S = 8.0


class Reason(enum.Enum):
    """Why a statement left the failure domain."""

    # Leaving is not weighed: one region and no price, or only one member may run the statement.
    NOT_WEIGHED = "not_weighed"
    NO_MEMBER_AT_HOME = "no_member_at_home"
    SHARE = "share"
    OVERDUE = "overdue"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What is known of the deployment.

    Attributes:
      domain: This instance's failure domain.
      regions: Region of each failure domain. A domain without an entry is in this instance's.
      price_s_per_mb: Price of a megabyte that leaves the failure domain, in seconds.
    """

    domain: str
    regions: collections.abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    price_s_per_mb: float = 0.0

    def leaves_region(self, domain: str) -> bool:
        """Return whether a domain is in another region."""
        own = self.regions.get(self.domain, "")
        return self.regions.get(domain, own) != own

    @property
    def can_be_enabled(self) -> bool:
        """Whether leaving is weighed for any group."""
        return self.price_s_per_mb > 0 or len(set(self.regions.values())) > 1

    def enabled(self, loads: collections.abc.Iterable[selection.MemberLoad]) -> bool:
        """Return whether leaving is weighed for a group with these members."""
        if self.price_s_per_mb > 0 or not self.can_be_enabled:
            return self.price_s_per_mb > 0
        return len({self.leaves_region(load.domain) for load in loads}) > 1


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Which members a statement may be sent to.

    Attributes:
      tiers: The members in order of preference. A later tier is used only if no member of an
        earlier one has a free connection.
      reason: Why members of another failure domain are among them.
      weighed: Whether there was a choice between home and another domain.
    """

    tiers: tuple[tuple[selection.MemberLoad, ...], ...]
    reason: Reason
    weighed: bool

    def choose(
        self, available: collections.abc.Container[str], prefer_replicas: bool
    ) -> str | None:
        """Return the member with the lowest expected cost of the first tier that has one.

        Args:
          available: Ids of the members to choose from.
          prefer_replicas: Whether the primary is charged a penalty.
        Returns:
          Id of the member; None if none of the members is available.
        """
        for tier in self.tiers:
            loads = [load for load in tier if load.member in available]
            if loads:
                return selection.choose(loads, prefer_replicas)
        return None


@dataclasses.dataclass(slots=True)
class Destination:
    """What is known of another failure domain, and the share that is sent to it.

    Attributes:
      times: Times of its answers.
      share: Fraction of the statements that is sent there.
      credit: Statements that are due to be sent there; below 1 none is.
      sent: Statements that were sent there in the present interval.
      sent_per_s: Recent rate of these statements.
      avoid_until_s: Until when it is avoided because an answer was lost.
      avoid_s: How long it is avoided after the next loss.
      held_until_s: Until when its share is not raised.
      gain_s: Mean gain of sending a statement there, within limits.
      tokens: Overdue statements that may be sent there; below 1 none may.
      tokens_at_s: When these were last counted.
      raised_for_s: Time of the status report for which the share was last raised.
      last_change: Sign of the last change of its share.
      direction_changes: How often a raise has followed a reduction, or the reverse.
    """

    times: estimates.AnswerTimes = dataclasses.field(default_factory=estimates.AnswerTimes)
    share: float = 0.0
    credit: float = 0.0
    sent: int = 0
    sent_per_s: float = 0.0
    avoid_until_s: float = -math.inf
    avoid_s: float = AVOID_S
    held_until_s: float = -math.inf
    gain_s: float = 0.0
    tokens: float = 1.0
    tokens_at_s: float = -math.inf
    raised_for_s: float = -math.inf
    last_change: int = 0
    direction_changes: int = 0

    def set_share(self, share: float) -> None:
        """Set the share and count changes of direction."""
        change = (share > self.share) - (share < self.share)
        if change and self.last_change and change != self.last_change:
            self.direction_changes += 1
        self.last_change = change or self.last_change
        self.share = share

    def lower(self, factor: float, now_s: float) -> None:
        """Multiply the share by a factor, and hold it."""
        lowered = self.share * factor
        self.set_share(lowered if lowered >= MIN_SHARE else 0.0)
        self.held_until_s = now_s + HOLD_S

    def avoid(self, now_s: float) -> None:
        """Send nothing there for a time, because an answer was lost."""
        if now_s < self.avoid_until_s:
            return
        self.set_share(0.0)
        self.credit = 0.0
        self.avoid_until_s = now_s + self.avoid_s
        self.avoid_s = min(MAX_AVOID_S, 2 * self.avoid_s)


def is_overdue(waited_s: float, max_wait_s: float) -> bool:
    """Return whether a statement has waited so long at home that it may leave.

    Args:
      waited_s: How long it has waited.
      max_wait_s: How long it may wait at most.
    """
    return waited_s >= min(OVERDUE_S, OVERDUE_FRACTION * max_wait_s)


class Crossing:
    """The decisions of one group at one instance.

    Attributes:
      policy: What is known of the deployment.
    """

    __slots__ = (
        "_arrivals",
        "_arrivals_per_s",
        "_capacity",
        "_destinations",
        "_home_costs",
        "_home_times",
        "_interval_times",
        "_phase",
        "_statement_bytes",
        "_updated_at_s",
        "_wanted",
        "_work",
        "policy",
    )

    def __init__(self, policy: Policy, phase: float = 0.0) -> None:
        """Create the decisions without measurements.

        Args:
          policy: What is known of the deployment.
          phase: Start of the counters, from 0 to 1. Instances with different phases send the same
            share at different times.
        """
        self.policy = policy
        self._phase = phase
        self._destinations: dict[str, Destination] = {}
        self._capacity = capacity.Capacity()
        self._home_times = estimates.AnswerTimes()
        self._home_costs: list[float] = []
        self._interval_times: list[float] = []
        self._work = estimates.WindowedMinimum(estimates.LONG_WINDOW_S)
        self._statement_bytes = ASSUMED_STATEMENT_BYTES
        self._arrivals = 0
        self._arrivals_per_s = 0.0
        self._wanted: frozenset[str] = frozenset()
        self._updated_at_s = -math.inf

    @property
    def direction_changes(self) -> int:
        """How often a share has changed its direction."""
        return sum(destination.direction_changes for destination in self._destinations.values())

    @property
    def shares(self) -> dict[str, float]:
        """The share that is sent to each other failure domain."""
        return {name: destination.share for name, destination in self._destinations.items()}

    def is_wanted(self, domain: str, now_s: float) -> bool:
        """Return whether knowledge of a domain's free capacity would change a decision."""
        return domain in self._wanted and now_s < self._updated_at_s + RESET_AFTER_S

    def record_answer(self, domain: str, took_s: float, size_bytes: int, now_s: float) -> None:
        """Record an answer to a statement.

        Args:
          domain: Failure domain of the member.
          took_s: Time from the sending to the answer, in seconds.
          size_bytes: Bytes of the statement and the answer.
          now_s: Current time.
        """
        self._times(domain).record(took_s, now_s)
        self._interval_times.append(max(0.0, took_s - self.network_s(domain, now_s)))
        self._statement_bytes += SIZE_WEIGHT * (size_bytes - self._statement_bytes)
        if domain in self._destinations and now_s >= self._destinations[domain].avoid_until_s:
            self._destinations[domain].avoid_s = AVOID_S

    def record_status(self, domain: str, took_s: float, now_s: float) -> None:
        """Record the time that a status query took."""
        self._times(domain).record_status_query(took_s, now_s)

    def record_rejection(self, domain: str, now_s: float) -> None:
        """Lower the share of a domain in which a member was full."""
        destination = self._destinations.get(domain)
        if destination is not None and destination.share > 0 and now_s >= destination.held_until_s:
            destination.lower(LOWER_FACTOR, now_s)

    def record_loss(self, domain: str, now_s: float) -> None:
        """Avoid a domain because an answer was lost or a connection could not be opened."""
        if domain != self.policy.domain:
            self._destination(domain).avoid(now_s)

    def network_s(self, domain: str, now_s: float) -> float:
        """Return how much longer the way to a domain takes than that to a member at home."""
        if domain == self.policy.domain:
            return 0.0
        there_s = self._times(domain).unloaded_s(now_s)
        if there_s is None:
            leaves_region = self.policy.leaves_region(domain)
            return ASSUMED_REGION_TIME_S if leaves_region else ASSUMED_DOMAIN_TIME_S
        return max(0.0, there_s - (self._home_times.unloaded_s(now_s) or 0.0))

    def work_s(self, now_s: float) -> float:
        """Return the mean service time of a statement without load."""
        measured_s = self._work.value(now_s)
        return ASSUMED_WORK_S if measured_s is None else measured_s

    def added_cost_s(self, domain: str, now_s: float) -> float:
        """Return the cost of a crossing beyond the time that it takes, in seconds.

        It consists of the price of its bytes and of the load of the link. Without a price it is the
        constant that also applies where leaving is not weighed.
        """
        price_s = self.policy.price_s_per_mb * self._statement_bytes / BYTES_PER_MB
        if self.policy.price_s_per_mb == 0:
            price_s = selection.CROSS_DOMAIN_PENALTY_S
        return price_s + LINK_LOAD_WEIGHT * self._times(domain).standing_delay_s(now_s)

    def away_cost_s(self, domain: str, now_s: float) -> float:
        """Return the expected time and cost of a statement in another domain, in seconds."""
        assumed_s = self.work_s(now_s) + self.network_s(domain, now_s)
        return self._times(domain).mean_s(assumed_s, now_s) + self.added_cost_s(domain, now_s)

    def home_cost_s(
        self,
        home: collections.abc.Sequence[selection.MemberLoad],
        waiting: int,
        prefer_replicas: bool,
        now_s: float,
    ) -> float:
        """Return the expected wait and service time at home, in seconds.

        Args:
          home: The members at home.
          waiting: Statements that wait for a connection.
          prefer_replicas: Whether the primary is to be spared.
          now_s: Current time.
        """
        time_s = self._home_times.mean_s(self.work_s(now_s), now_s)
        time_s *= 1 + waiting / max(1, sum(load.links for load in home))
        spared = prefer_replicas and all(load.primary for load in home)
        return time_s + (selection.PRIMARY_PENALTY_S if spared else 0.0)

    def decide(
        self,
        loads: collections.abc.Sequence[selection.MemberLoad],
        *,
        waiting: int,
        overdue: bool,
        max_wait_s: float,
        prefer_replicas: bool,
        deciders: int,
        now_s: float,
    ) -> Decision:
        """Return the members that a statement may be sent to.

        Args:
          loads: Loads of the members that may run the statement.
          waiting: Statements that wait for a connection.
          overdue: Whether home does not serve this one in time.
          max_wait_s: How long it may wait at most.
          prefer_replicas: Whether the primary is to be spared.
          deciders: Number of instances that may send statements to the same members.
          now_s: Current time.
        """
        if len(loads) < 2 or not self.policy.enabled(loads):
            return Decision((tuple(loads),), Reason.NOT_WEIGHED, False)
        usable = [load for load in loads if load.usable] or loads
        home = tuple(load for load in usable if load.domain == self.policy.domain)
        away = self._away(usable, now_s)
        if not home or not away:
            reason = Reason.NOT_WEIGHED if home else Reason.NO_MEMBER_AT_HOME
            return Decision((home or away,), reason, False)
        home_cost_s = self.home_cost_s(home, waiting, prefer_replicas, now_s)
        self._home_costs.append(home_cost_s)
        if now_s >= self._updated_at_s + UPDATE_INTERVAL_S:
            self._update(away, deciders, now_s)
        due = self._due()
        if due is not None:
            there = tuple(load for load in away if load.domain == due)
            if there:
                return Decision((there, home), Reason.SHARE, True)
        for name in {load.domain for load in away}:
            late = home_cost_s - self.away_cost_s(name, now_s) > max_wait_s
            there = tuple(load for load in away if load.domain == name)
            if (overdue or late) and self._may_take_overdue(there, deciders, now_s):
                tiers = (there, home) if late else (home, there)
                return Decision(tiers, Reason.OVERDUE, True)
        return Decision((home,), Reason.SHARE, True)

    def record_placement(self, decision: Decision, domain: str) -> None:
        """Count a statement that was given a connection.

        Args:
          decision: The decision that allowed it.
          domain: Failure domain of the member.
        """
        if not decision.weighed:
            return
        self._arrivals += 1
        for destination in self._destinations.values():
            # No more than one statement is made up for, so that none follow each other at once.
            destination.credit = min(1.0, destination.credit + destination.share)
        if domain != self.policy.domain:
            destination = self._destination(domain)
            destination.sent += 1
            if decision.reason is Reason.OVERDUE:
                destination.tokens -= 1.0
            else:
                destination.credit -= 1.0

    def _away(
        self, loads: collections.abc.Sequence[selection.MemberLoad], now_s: float
    ) -> tuple[selection.MemberLoad, ...]:
        """Return the members of other domains, without those to avoid if there are others.

        Members at home count as others.
        """
        away = [load for load in loads if load.domain != self.policy.domain]
        answering = [load for load in away if self._destination(load.domain).avoid_until_s <= now_s]
        if not answering and len(away) == len(loads):
            answering = away
        return tuple(
            dataclasses.replace(load, crossing_cost_s=self._selection_cost_s(load.domain, now_s))
            for load in answering
        )

    def _selection_cost_s(self, domain: str, now_s: float) -> float:
        """Return the cost of a crossing that a member's measured service time does not contain."""
        unmeasured = 1.0 - self._times(domain).confidence(now_s)
        return self.added_cost_s(domain, now_s) + unmeasured * self.network_s(domain, now_s)

    def _due(self) -> str | None:
        """Return the domain to which the next statement is to be sent; None for home."""
        due = [
            (destination.credit + destination.share, name)
            for name, destination in self._destinations.items()
            if destination.share > 0 and destination.credit + destination.share >= 1.0
        ]
        return max(due)[1] if due else None

    def _may_take_overdue(
        self, loads: collections.abc.Sequence[selection.MemberLoad], deciders: int, now_s: float
    ) -> bool:
        """Return whether an overdue statement may be sent to a domain.

        Such statements are limited to this instance's part of the rate that the known free slots
        can run.
        """
        destination = self._destination(loads[0].domain)
        free = self._capacity.free_slots(loads, now_s)
        added = (now_s - destination.tokens_at_s) * free / self.work_s(now_s) / deciders
        destination.tokens_at_s = now_s
        destination.tokens = min(1.0, destination.tokens + (added if free > 0 else 0.0))
        return free > 0 and destination.tokens >= 1.0

    def _update(
        self, away: collections.abc.Sequence[selection.MemberLoad], deciders: int, now_s: float
    ) -> None:
        """Change the shares by what was seen since the last change."""
        elapsed_s = now_s - self._updated_at_s
        self._updated_at_s = now_s
        if elapsed_s <= 0 or not self._home_costs:
            return
        home_cost_s = sum(self._home_costs) / len(self._home_costs)
        self._home_costs.clear()
        self._record_interval(elapsed_s, now_s)
        if elapsed_s > RESET_AFTER_S:
            for destination in self._destinations.values():
                destination.set_share(0.0)
        by_domain: dict[str, list[selection.MemberLoad]] = {}
        for load in away:
            self._capacity.observe(load)
            by_domain.setdefault(load.domain, []).append(load)
        for name in by_domain:
            self._smooth_gain(name, home_cost_s - self.away_cost_s(name, now_s), now_s)
        self._wanted = frozenset(
            name
            for name in by_domain
            if self._destinations[name].gain_s > 0 or self._destinations[name].share > 0
        )
        raising = [name for name in by_domain if self._may_raise(name, now_s)]
        for name, destination in self._destinations.items():
            if name not in by_domain:
                destination.set_share(0.0)
            elif destination.gain_s < 0:
                large = destination.gain_s < -self._margin_s(name, now_s) / 2
                if destination.share > 0:
                    destination.lower(LOWER_FACTOR if large else SLOW_LOWER_FACTOR, now_s)
            else:
                step = 0.0
                if name in raising:
                    ratio = destination.gain_s / self._margin_s(name, now_s) / GAIN_LIMIT_MARGINS
                    step = RAISE_STEP * ratio / len(raising)
                self._limit(destination, by_domain[name], step, deciders, now_s)
        self._normalise()

    def _margin_s(self, domain: str, now_s: float) -> float:
        return max(MARGIN_S, MARGIN_FRACTION * self.away_cost_s(domain, now_s))

    def _smooth_gain(self, domain: str, gain_s: float, now_s: float) -> None:
        destination = self._destinations[domain]
        limit_s = GAIN_LIMIT_MARGINS * self._margin_s(domain, now_s)
        gain_s = max(-limit_s, min(limit_s, gain_s))
        rises = gain_s > destination.gain_s
        weight = RISING_GAIN_WEIGHT if rises else FALLING_GAIN_WEIGHT
        destination.gain_s += weight * (gain_s - destination.gain_s)

    def _may_raise(self, domain: str, now_s: float) -> bool:
        """Return whether leaving pays off by more than the margin, and the share is not held."""
        destination = self._destinations[domain]
        pays_off = destination.gain_s > self._margin_s(domain, now_s)
        return pays_off and now_s >= destination.held_until_s

    def _record_interval(self, elapsed_s: float, now_s: float) -> None:
        """Update rates and the service time without load from the interval that has ended."""
        self._arrivals_per_s += RATE_WEIGHT * (self._arrivals / elapsed_s - self._arrivals_per_s)
        self._arrivals = 0
        for destination in self._destinations.values():
            destination.sent_per_s += RATE_WEIGHT * (
                destination.sent / elapsed_s - destination.sent_per_s
            )
            destination.sent = 0
        if len(self._interval_times) >= MIN_ANSWERS:
            self._work.record(sum(self._interval_times) / len(self._interval_times), now_s)
        self._interval_times.clear()

    def _limit(
        self,
        destination: Destination,
        loads: collections.abc.Sequence[selection.MemberLoad],
        step: float,
        deciders: int,
        now_s: float,
    ) -> None:
        """Raise a share by a step, or lower it, by the capacity that is known to be free.

        An instance may add its part of what is free to what it sends already. A status report
        permits one raise.
        """
        free = self._capacity.free_slots(loads, now_s)
        known_at_s = max(load.status_at_s for load in loads)
        confidence = self._capacity.confidence(loads, now_s)
        if self._capacity.overfull(loads) or confidence < 0.5:
            if destination.share > 0:
                destination.lower(LOWER_FACTOR, now_s)
            return
        added_per_s = free / self.work_s(now_s) / deciders
        limit = confidence * destination.share + added_per_s / max(self._arrivals_per_s, 1.0)
        if step > 0 and free > 0 and known_at_s > destination.raised_for_s:
            raised = min(1.0, destination.share + step, limit)
            if raised > destination.share:
                destination.set_share(raised)
                destination.raised_for_s = known_at_s

    def _normalise(self) -> None:
        """Scale the shares so that they add up to MAX_TOTAL_SHARE at most."""
        total = sum(destination.share for destination in self._destinations.values())
        if total > MAX_TOTAL_SHARE:
            for destination in self._destinations.values():
                destination.share *= MAX_TOTAL_SHARE / total

    def _times(self, domain: str) -> estimates.AnswerTimes:
        return self._home_times if domain == self.policy.domain else self._destination(domain).times

    def _destination(self, domain: str) -> Destination:
        destination = self._destinations.get(domain)
        if destination is None:
            destination = self._destinations[domain] = Destination(credit=self._phase)
        return destination
