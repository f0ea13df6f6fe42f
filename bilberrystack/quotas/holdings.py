"""Who may use which part of an account's limit, as the coordinator knows it."""

import math

from bilberrystack.quotas import shares

# Below this part of the rate, demand is met with reserve. Above, fractions are proportional to it.
SATURATION = 2 / 3

# Reserve of a holder over its smoothed demand: the inverse of `SATURATION`, so that fractions do
# not jump where one rule gives way to the other.
RESERVE = 1.5

# A holder gives way if an instance without room has this many times its demand.
DISPLACEMENT_RATIO = 2.0

_NEVER_S = -math.inf


class Instance:
    """A process that reports, and what it was sent."""

    __slots__ = (
        "acknowledged_number",
        "assignment",
        "claims_number",
        "ended_at_s",
        "expires_at_s",
        "holdings",
        "name",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.claims_number = 0
        self.acknowledged_number = 0
        self.assignment: shares.Assignment | None = None
        self.expires_at_s = _NEVER_S
        self.ended_at_s = math.inf
        self.holdings: dict[str, Holding] = {}

    def lapsed_at_s(self) -> float:
        """Returns from when on the process uses none of its fractions."""
        return min(self.expires_at_s, self.ended_at_s)


class Holding:
    """What an instance may use of one account.

    Attributes:
      bound: The largest fraction that it may use.
      pending: Fractions that it may still apply, with the number of the last assignment of each.
      freed_at_s: Since when it uses nothing; infinity if it uses something.
    """

    __slots__ = (
        "account",
        "assigned",
        "bound",
        "claimed",
        "demand_per_s",
        "freed_at_s",
        "instance",
        "leaving",
        "listed",
        "pending",
    )

    def __init__(self, instance: Instance, account: "Account") -> None:
        self.instance = instance
        self.account = account
        self.claimed = 0.0
        self.pending: list[tuple[int, float]] = []
        self.bound = 0.0
        self.assigned = 0.0
        self.demand_per_s = 0.0
        self.freed_at_s = math.inf
        self.leaving = False
        self.listed = False

    def claim(self, fraction: float, demand_per_s: float, listed: bool, now_s: float) -> None:
        """Records claims; assignments that they acknowledge no longer count."""
        acknowledged_number = self.instance.acknowledged_number
        self.claimed = fraction
        self.demand_per_s = demand_per_s
        self.listed = listed
        self.pending = [entry for entry in self.pending if entry[0] > acknowledged_number]
        self._update(now_s)

    def assign(self, fraction: float, number: int, now_s: float) -> None:
        """Records an assignment, which counts until it is acknowledged."""
        self.assigned = fraction
        if self.pending and self.pending[-1][1] == fraction:
            self.pending.pop()
        self.pending.append((number, fraction))
        self._update(now_s)

    def lapse(self, at_s: float) -> None:
        """Ends all use at a time."""
        self.claimed = self.assigned = self.demand_per_s = 0.0
        self.pending.clear()
        self.listed = False
        self._update(at_s)

    def _update(self, now_s: float) -> None:
        bound = self.claimed
        for _, fraction in self.pending:
            bound = max(bound, fraction)
        # Exact, since fractions are multiples of a power of 2.
        self.account.lent += bound - self.bound
        self.bound = bound
        if bound > 0.0 or (self.listed and not self.leaving):
            self.freed_at_s = math.inf
        else:
            self.freed_at_s = min(self.freed_at_s, now_s)


class Account:
    """The holders of one account, at most `MAX_HOLDERS` within a window."""

    __slots__ = ("free_part", "holdings", "lent", "prune_at_s", "refilled_at_s", "tokens")

    def __init__(self, free_since_s: float) -> None:
        """Creates an account that nobody has used since a time; infinity if that is unknown."""
        self.holdings: dict[str, Holding] = {}
        # Sum of the bounds.
        self.lent = 0.0
        self.prune_at_s = math.inf
        # The free part fills a bucket of its own, for operations that wait at a holder.
        self.free_part = 1.0 if free_since_s < math.inf else 0.0
        self.tokens = 0.0
        self.refilled_at_s = free_since_s if free_since_s < math.inf else _NEVER_S

    def refill(self, limit: shares.Limit | None, now_s: float) -> None:
        """Adds tokens of the free part as it was since the last call."""
        if limit is not None and self.free_part > 0.0:
            elapsed_s = max(0.0, now_s - self.refilled_at_s)
            self.tokens += self.free_part * limit.rate_per_s * elapsed_s
            self.tokens = min(self.tokens, self.free_part * limit.burst)
        self.refilled_at_s = max(self.refilled_at_s, now_s)

    def set_free_part(self, free_part: float, limit: shares.Limit | None) -> None:
        """Sets the free part; an increase adds no tokens."""
        self.free_part = max(0.0, free_part)
        self.tokens = 0.0 if limit is None else min(self.tokens, self.free_part * limit.burst)

    def take_tokens(self, count: float) -> float:
        """Returns up to this many tokens of the free part."""
        taken = max(0.0, min(count, self.tokens))
        self.tokens -= taken
        return taken

    def prune(self, account: str, now_s: float) -> None:
        """Ends holdings whose time is over, and forgets them a window later."""
        if now_s < self.prune_at_s:
            return
        self.prune_at_s = math.inf
        for incarnation, holding in list(self.holdings.items()):
            lapsed_at_s = holding.instance.lapsed_at_s()
            if lapsed_at_s <= now_s:
                holding.lapse(lapsed_at_s)
            if holding.freed_at_s + shares.QUOTA_WINDOW_S < now_s:
                del self.holdings[incarnation]
                holding.instance.holdings.pop(account, None)
            else:
                freed_until_s = holding.freed_at_s + shares.QUOTA_WINDOW_S
                ends_at_s = lapsed_at_s if lapsed_at_s > now_s else freed_until_s
                self.prune_at_s = min(self.prune_at_s, ends_at_s)
        # An instance that reports now has no end yet.
        self.prune_at_s = min(self.prune_at_s, now_s + shares.SHARE_DURATION_S)

    def free(self) -> float:
        """Returns the part that nobody may use; negative while late claims are counted."""
        return 1.0 - self.lent

    def demand_per_s(self) -> float:
        """Returns the demand of all holders that do not give way."""
        demand_per_s = 0.0
        for holding in self.holdings.values():
            if not holding.leaving:
                demand_per_s += holding.demand_per_s
        return demand_per_s

    def target(
        self, holding: Holding, limit: shares.Limit | None, demand_per_s: float, saturated: bool
    ) -> float:
        """Returns the fraction that a holder should have, given the demand of all holders."""
        if holding.leaving or not holding.listed:
            return 0.0
        if limit is None or saturated:
            return holding.demand_per_s / demand_per_s if demand_per_s > 0.0 else 0.0
        listed_count = sum(other.listed for other in self.holdings.values())
        rest = 1.0 - RESERVE * demand_per_s / limit.rate_per_s
        return RESERVE * holding.demand_per_s / limit.rate_per_s + rest / (2 * listed_count)

    def displace(self, demand_per_s: float) -> None:
        """Lets the holder with the least demand give way to one with much more."""
        staying = [holding for holding in self.holdings.values() if not holding.leaving]
        if len(staying) < shares.MAX_HOLDERS:
            return
        least = min(staying, key=lambda holding: holding.demand_per_s)
        if demand_per_s > DISPLACEMENT_RATIO * least.demand_per_s:
            least.leaving = True


def is_saturated(demand_per_s: float, limit: shares.Limit | None) -> bool:
    """Returns whether demand leaves no reserve; true as long as the limit is not known."""
    return limit is None or demand_per_s >= SATURATION * limit.rate_per_s
