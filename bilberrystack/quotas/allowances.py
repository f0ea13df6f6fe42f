"""Quota fractions of this instance, and the operations of accounts that they allow.

The coordinator lends fractions of each account's limit. A fraction f allows f x rate operations per
second and f x burst + 1 at once. While no coordinator answers, fractions expire, and operations of
limited accounts are refused.
"""

import collections.abc
import heapq
import math

from bilberrystack.quotas import shares

# Time constant of the smoothed demand. With a longer one, a holder with all the demand takes more
# than 2 s to get the whole limit; with a shorter one, fractions follow the noise of small demands.
DEMAND_TIME_CONSTANT_S = 2.0

# A demand that began later than this counts as if it had lasted this long.
MIN_DEMAND_AGE_S = 0.4

# Demand has fallen if nothing was asked for during this many of its mean intervals, so that other
# holders don't wait for the time constant. Random arrivals leave such a gap once in 150 intervals.
SILENCE_FACTOR = 5.0

# An account with less demand is not claimed, unless it has a fraction or ran an operation within
# the window. A single request falls below this after about 4 s.
MIN_DEMAND_PER_S = 0.02

# A fraction that was not asked for during this time is returned: until then each heartbeat has an
# entry for it. A later request costs an urgent heartbeat.
IDLE_RELEASE_S = 10.0

# An operation waits at most this long for the answer to an urgent heartbeat, which takes 10 ms for
# the delay of the heartbeat and up to 60 ms between regions.
MAX_WAIT_S = 0.1

# Interval between urgent heartbeats for one account. In a trial with 8 to 12 holders and 0.3 of a
# limit of 5 to 20/s, 0.2 s instead left 0.93 to 0.97 served, this 0.93 to 0.99.
URGENT_INTERVAL_S = 0.1

# A reduction of a saturated account by this fraction is acknowledged with an urgent heartbeat.
URGENT_REDUCTION = 0.05

# Shortest time from a heartbeat to an urgent one, so that many accounts without room at different
# times cause at most 20 heartbeats per second.
URGENT_SPACING_S = 0.05

# Interval of retries that is stated if nothing is known about the time at which there is room.
UNKNOWN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0

# Tolerance of rounding in the sum of refills.
_WHOLE_TOKEN = 1.0 - 1e-9

_NEVER_S = -math.inf


class _Bucket:
    """Token bucket of one account for the fraction that this instance holds."""

    __slots__ = (
        "asked_at_s",
        "demand_at_s",
        "demand_began_at_s",
        "fraction",
        "limit",
        "period",
        "refilled_at_s",
        "saturated",
        "taken_at_s",
        "tokens",
        "urgent_at_s",
        "waiting_count",
        "weighted_demand_per_s",
    )

    def __init__(self, limit: shares.Limit, now_s: float) -> None:
        self.limit = limit
        self.fraction = 0.0
        self.saturated = False
        self.tokens = 0.0
        self.refilled_at_s = now_s
        self.period = 0
        self.taken_at_s = _NEVER_S
        self.weighted_demand_per_s = 0.0
        self.demand_at_s = now_s
        self.demand_began_at_s = now_s
        self.asked_at_s = _NEVER_S
        self.urgent_at_s = _NEVER_S
        self.waiting_count = 0

    @property
    def rate_per_s(self) -> float:
        return self.fraction * self.limit.rate_per_s

    def capacity(self) -> float:
        return (
            self.fraction * self.limit.burst + shares.HOLDER_EXTRA if self.fraction > 0.0 else 0.0
        )

    def cut(self) -> None:
        """Discards tokens beyond the capacity, and with them the use of earlier returns."""
        if self.tokens >= self.capacity():
            self.tokens = self.capacity()
            self.period += 1

    def refill(self, now_s: float) -> None:
        self.tokens += self.rate_per_s * max(0.0, now_s - self.refilled_at_s)
        self.refilled_at_s = max(self.refilled_at_s, now_s)
        self.cut()

    def clear(self) -> None:
        self.fraction = 0.0
        self.cut()

    def assign(self, share: shares.Share, now_s: float) -> None:
        """Sets the fraction; the bucket has been refilled. An increase adds no tokens."""
        self.fraction = shares.round_down(share.fraction)
        self.saturated = share.saturated
        self.cut()
        # The one operation beyond the fraction is available at once to a holder that has run none
        # within the window, so that the first request of an account passes after one exchange.
        if (
            self.fraction > 0.0
            and self.limit.rate_per_s > 0.0
            and self.tokens < 1.0
            and now_s - self.taken_at_s > shares.QUOTA_WINDOW_S
        ):
            self.tokens = 1.0
            self.period += 1

    def demand(self, now_s: float) -> float:
        """Returns the smoothed demand per second, as the mean since its begin at first."""
        age_s = max(MIN_DEMAND_AGE_S, now_s - self.demand_began_at_s)
        mean_per_s = self._weighted_demand(now_s) / -math.expm1(-age_s / DEMAND_TIME_CONSTANT_S)
        silence_s = now_s - self.asked_at_s
        if silence_s > 0.0:
            mean_per_s = min(mean_per_s, SILENCE_FACTOR / silence_s)
        # Demand beyond the whole limit would only keep the fraction here after it has ended.
        return min(mean_per_s, max(1.0, self.limit.rate_per_s))

    def _weighted_demand(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.demand_at_s)
        return self.weighted_demand_per_s * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)

    def count_demand(self, now_s: float) -> None:
        if self.demand(now_s) < MIN_DEMAND_PER_S:
            self.weighted_demand_per_s = 0.0
            self.demand_began_at_s = now_s
        self.weighted_demand_per_s = self._weighted_demand(now_s) + 1.0 / DEMAND_TIME_CONSTANT_S
        self.demand_at_s = max(self.demand_at_s, now_s)
        self.asked_at_s = now_s

    def retry_after_s(self) -> float:
        if self.rate_per_s <= 0.0:
            return UNKNOWN_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, (1.0 - self.tokens) / self.rate_per_s)


class Allowances:
    """Fractions that this instance holds, and the tokens of their accounts."""

    __slots__ = (
        "_answered_request_s",
        "_applied",
        "_buckets",
        "_claimed_at_s",
        "_claims_number",
        "_expires_at_s",
        "_limits",
        "_released",
        "_unanswered_since_s",
        "_urgent",
    )

    def __init__(self) -> None:
        self._limits: dict[str, shares.Limit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._applied = shares.INITIAL_ASSIGNMENT
        self._claims_number = 0
        self._claimed_at_s = _NEVER_S
        self._expires_at_s = _NEVER_S
        self._urgent = False
        # When the first urgent request after the last answer became necessary.
        self._unanswered_since_s: float | None = None
        # When the heartbeat was sent that was answered last.
        self._answered_request_s = _NEVER_S
        self._released = False

    @property
    def urgent(self) -> bool:
        """Whether a heartbeat should be sent now: an account may get room, or a new coordinator
        waits for the claims of this instance."""
        return self._urgent and not self._released

    def configure(self, limits: collections.abc.Mapping[str, shares.Limit], now_s: float) -> None:
        """Sets the limits. Fractions stay valid; tokens are cut to the new capacity.

        Args:
          limits: Limits by account. An account without one is never refused.
          now_s: Current time.
        """
        self._refill(now_s)
        self._limits = dict(limits)
        for account, bucket in list(self._buckets.items()):
            limit = self._limits.get(account)
            if limit is None:
                del self._buckets[account]
            else:
                bucket.limit = limit
                bucket.cut()

    def take(self, account: str, now_s: float, *, repeated: bool = False) -> shares.Verdict:
        """Counts an operation if there is room for it.

        Args:
          account: Name of the account.
          now_s: Current time.
          repeated: Whether the operation has waited, so that its demand is already counted.
        """
        limit = self._limits.get(account)
        if limit is None:
            return shares.Taken(account, None)
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = _Bucket(limit, now_s)
        if not repeated:
            bucket.count_demand(now_s)
        self._refill_bucket(bucket, now_s)
        if bucket.tokens >= _WHOLE_TOKEN:
            bucket.tokens = max(0.0, bucket.tokens - 1.0)
            bucket.taken_at_s = now_s
            return shares.Taken(account, bucket.period)
        verdict = self._without_room(bucket, now_s)
        if isinstance(verdict, shares.Wait) and not repeated:
            bucket.waiting_count += 1
        return verdict

    def _without_room(self, bucket: _Bucket, now_s: float) -> shares.Verdict:
        refused = shares.Refused(
            bucket.retry_after_s(), bucket.saturated or self._released or bucket.fraction > 0.0
        )
        if bucket.saturated or self._released:
            return refused
        since_s = self._unanswered_since_s
        if since_s is not None and now_s - since_s >= MAX_WAIT_S:
            # The coordinator is unreachable. The answer to a regular heartbeat ends this.
            return refused
        if now_s - bucket.urgent_at_s >= URGENT_INTERVAL_S:
            spacing_s = self._claimed_at_s + URGENT_SPACING_S - now_s
            if spacing_s > 0.0:
                return shares.Wait(spacing_s)
            bucket.urgent_at_s = now_s
            self._urgent = True
            if self._unanswered_since_s is None:
                self._unanswered_since_s = now_s
        remaining_s = bucket.urgent_at_s + MAX_WAIT_S - now_s
        next_token_s = bucket.retry_after_s()
        answered = self._answered_request_s >= bucket.urgent_at_s
        if remaining_s <= 0.0 or (answered and next_token_s > remaining_s):
            return refused
        return shares.Wait(min(remaining_s, next_token_s))

    def give_back(self, taken: shares.Taken, now_s: float) -> None:
        """Returns an operation that did not run.

        The token is lost if the bucket has overflowed since, as it would have been unused.

        Args:
          taken: The result of `take`, which is returned once.
          now_s: Current time.
        """
        bucket = self._buckets.get(taken.account)
        if bucket is None or taken.period is None:
            return
        self._refill_bucket(bucket, now_s)
        if bucket.period == taken.period:
            bucket.tokens += 1.0
            bucket.cut()

    def claims(self, now_s: float) -> shares.Claims:
        """Returns the claims for a heartbeat that is sent now, and ends `urgent`.

        Args:
          now_s: Current time.
        """
        self._urgent = False
        self._claimed_at_s = now_s
        self._claims_number += 1
        entries: list[shares.Claim] = []
        for account, bucket in list(self._buckets.items()):
            self._refill_bucket(bucket, now_s)
            if now_s - bucket.asked_at_s > IDLE_RELEASE_S:
                bucket.clear()
            demand_per_s = bucket.demand(now_s)
            if (
                bucket.fraction > 0.0
                or demand_per_s >= MIN_DEMAND_PER_S
                or now_s - bucket.taken_at_s <= shares.QUOTA_WINDOW_S
            ):
                claim = shares.Claim(account, bucket.fraction, demand_per_s, bucket.waiting_count)
                bucket.waiting_count = 0
                entries.append(claim)
            else:
                del self._buckets[account]
        if len(entries) > shares.MAX_ENTRIES:
            entries = self._drop_least(entries)
        return shares.Claims(self._claims_number, self._applied, tuple(entries))

    def _drop_least(self, entries: list[shares.Claim]) -> list[shares.Claim]:
        """Returns the entries with the most demand, and gives up the fractions of the others."""
        listed = heapq.nlargest(
            shares.MAX_ENTRIES, entries, key=lambda entry: (entry.demand_per_s, entry.fraction)
        )
        accounts = {entry.account for entry in listed}
        for entry in entries:
            if entry.account not in accounts:
                self._buckets[entry.account].clear()
        return listed

    def apply(
        self,
        coordinator_token: int,
        number: int,
        assigned: collections.abc.Iterable[shares.Share],
        requested_at_s: float,
        now_s: float,
    ) -> bool:
        """Applies an assignment.

        Args:
          coordinator_token: Fencing token of the coordinator.
          number: Number of the assignment.
          assigned: All fractions that this instance may use.
          requested_at_s: When the answered heartbeat was sent, on the clock of this instance.
          now_s: Current time.
        Returns:
          Whether the assignment is newer than the last applied one. Others are ignored.
        """
        if (coordinator_token, number) <= self._applied or self._released:
            return False
        self._applied = (coordinator_token, number)
        self._unanswered_since_s = None
        if number == 0:
            # The new coordinator waits for claims that no earlier assignment changes any more.
            self._urgent = True
            return True
        self._refill(now_s)
        self._expires_at_s = requested_at_s + shares.SHARE_DURATION_S
        self._answered_request_s = requested_at_s
        by_account = {share.account: share for share in assigned}
        for account, bucket in self._buckets.items():
            if account not in by_account:
                bucket.clear()
        for account, share in by_account.items():
            self._assign(account, share, requested_at_s, now_s)
        return True

    def _assign(
        self, account: str, share: shares.Share, requested_at_s: float, now_s: float
    ) -> None:
        limit = self._limits.get(account)
        if limit is None:
            return
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = _Bucket(limit, now_s)
        if share.saturated and bucket.fraction - share.fraction >= URGENT_REDUCTION:
            # Nobody can use this part of the limit until the coordinator has the next claims.
            self._urgent = True
        bucket.assign(share, now_s)
        if now_s - requested_at_s <= shares.TOKEN_DURATION_S and share.tokens > 0.0:
            bucket.tokens += share.tokens
            bucket.cut()

    def release_all(self) -> None:
        """Gives up all fractions for good; the next claims tell the coordinator."""
        self._released = True
        for bucket in self._buckets.values():
            bucket.clear()

    def fractions(self, now_s: float) -> dict[str, float]:
        """Returns the fractions in use by account.

        Args:
          now_s: Current time.
        """
        if now_s >= self._expires_at_s:
            return {}
        return {
            account: bucket.fraction
            for account, bucket in self._buckets.items()
            if bucket.fraction > 0.0
        }

    def _refill(self, now_s: float) -> None:
        for bucket in self._buckets.values():
            self._refill_bucket(bucket, now_s)

    def _refill_bucket(self, bucket: _Bucket, now_s: float) -> None:
        if now_s >= self._expires_at_s:
            bucket.clear()
        bucket.refill(now_s)
