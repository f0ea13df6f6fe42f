"""Division of each account's limit among the instances, by the coordinator.

A limit is lent in fractions, by demand. A lent fraction counts until its holder has acknowledged a
smaller one, or can't use it any more, so that the fractions in use never add up to more than 1.
"""

import collections.abc
import dataclasses
import math

from bilberrystack.quotas import holdings
from bilberrystack.quotas import shares

# Fractions change only by more than this part of themselves: demand is measured with noise.
HYSTERESIS = 0.05

# Below saturation a raise takes at most half of the free part, so that several holders that ask at
# the same time all get some; a free part of at most this size may be taken whole. Above, fractions
# in proportion to the demand leave enough, and a free part is lost for all.
WHOLE_FREE_PART = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """How an account is divided.

    Attributes:
      account: Name of the account.
      asked_per_s: Operations asked for per second by instances that hold a place.
      limit: The limit; None if the account has none here.
      saturated: Whether demand leaves no reserve.
      free: The part that may be lent.
      fractions: Largest fraction that each instance may use, by its name.
    """

    account: str
    asked_per_s: float
    limit: shares.Limit | None
    saturated: bool
    free: float
    fractions: dict[str, float]


def _move(
    account: holdings.Account, holding: holdings.Holding, target: float, saturated: bool
) -> float:
    """Returns the fraction to assign to a holder on the way to its target."""
    free = account.free()
    if abs(target - holding.assigned) < HYSTERESIS * max(target, holding.assigned):
        target = holding.assigned
    step = free / 2 if free > WHOLE_FREE_PART and not saturated else free
    return shares.round_down(min(target, holding.bound + step))


class ShareAllocator:
    """Fractions of all accounts that the coordinator has lent under its current token."""

    __slots__ = (
        "_accounts",
        "_begun_at_s",
        "_instances",
        "_known_at_s",
        "_limits",
        "_newest",
        "_number",
        "_registered",
        "_token",
        "_unreported",
    )

    def __init__(self) -> None:
        self._limits: dict[str, shares.Limit] = {}
        self._token = 0
        self._begun_at_s = math.inf
        self._number = 0
        self._instances: dict[str, holdings.Instance] = {}
        self._accounts: dict[str, holdings.Account] = {}
        self._registered: dict[str, str] | None = None
        # The process that has last reported under each instance name.
        self._newest: dict[str, holdings.Instance] = {}
        # Names of registered instances that may use fractions of an earlier coordinator.
        self._unreported: set[str] = set()
        # Since when no fraction of an earlier coordinator can be in use unknown.
        self._known_at_s = math.inf

    def begin(self, token: int, now_s: float) -> None:
        """Starts without knowledge of lent fractions, after the lease was acquired.

        Args:
          token: Fencing token of the lease.
          now_s: Current time, after the acquisition.
        """
        self._token = token
        self._begun_at_s = now_s
        self._instances = {}
        self._newest = {}
        self._accounts = {}
        self._registered = None
        self._unreported = set()
        self._known_at_s = math.inf

    def configure(self, limits: collections.abc.Mapping[str, shares.Limit]) -> None:
        """Sets the limits. Lent fractions stay, also those of accounts that are removed."""
        self._limits = dict(limits)
        for name, account in list(self._accounts.items()):
            if name not in limits and not account.holdings:
                del self._accounts[name]

    def set_registered(self, incarnations: collections.abc.Mapping[str, str], now_s: float) -> None:
        """Sets the registered processes, the only ones that are lent fractions.

        Args:
          incarnations: Incarnation by instance name. The first ones after `begin` must have been
            read after the lease was acquired, so that they include all holders of an earlier
            coordinator.
          now_s: Current time.
        """
        if self._registered is None:
            self._unreported = set(incarnations)
        self._registered = dict(incarnations)
        for incarnation, instance in list(self._instances.items()):
            if instance.lapsed_at_s() + 2 * shares.QUOTA_WINDOW_S < now_s:
                self._forget(incarnation, instance)

    @property
    def unreported(self) -> frozenset[str]:
        """Names of registered instances that may use fractions of an earlier coordinator."""
        return frozenset(self._unreported)

    def add_registered(self, name: str, incarnation: str) -> None:
        """Adds a process that reports itself as registered; no effect before `set_registered`.

        Args:
          name: Its instance name.
          incarnation: Its incarnation.
        """
        if self._registered is not None:
            self._registered[name] = incarnation

    def _forget(self, incarnation: str, instance: holdings.Instance) -> None:
        del self._instances[incarnation]
        if self._newest.get(instance.name) is instance:
            del self._newest[instance.name]
        for name in instance.holdings:
            account = self._accounts[name]
            account.lent -= account.holdings.pop(incarnation).bound

    def receive(
        self, incarnation: str, name: str, claims: shares.Claims, now_s: float
    ) -> shares.Assignment | None:
        """Takes the claims of a heartbeat, and returns what to answer.

        Args:
          incarnation: Incarnation of the sender.
          name: Instance name of the sender.
          claims: Its claims.
          now_s: Current time.
        Returns:
          The assignment. None if the sender is not registered, or knows a later coordinator.
        """
        if self._registered is None or self._registered.get(name) != incarnation:
            return None
        token, number = claims.acknowledged
        if token > self._token:
            return None
        if token < self._token:
            # An assignment of an earlier coordinator may still reach the sender, and the claims may
            # be older than such an assignment. The answer makes it ignore these first.
            return shares.Assignment(0, ())
        instance = self._instances.get(incarnation)
        if instance is None:
            instance = self._add(incarnation, name, now_s)
        if claims.number <= instance.claims_number or instance.ended_at_s <= now_s:
            return instance.assignment
        if instance.expires_at_s <= now_s:
            for holding in instance.holdings.values():
                holding.lapse(instance.expires_at_s)
        instance.claims_number = claims.number
        instance.acknowledged_number = number
        self._number += 1
        instance.assignment = self._assign(incarnation, instance, claims, now_s)
        instance.expires_at_s = now_s + shares.SHARE_DURATION_S
        return instance.assignment

    def _add(self, incarnation: str, name: str, now_s: float) -> holdings.Instance:
        """Adds a process, whose report shows that the former one under its name has ended."""
        former = self._newest.get(name)
        if former is not None:
            former.ended_at_s = min(former.ended_at_s, now_s)
            for account in former.holdings:
                self._accounts[account].prune_at_s = now_s
        instance = self._instances[incarnation] = self._newest[name] = holdings.Instance(name)
        self._unreported.discard(name)
        return instance

    def _assign(
        self, incarnation: str, instance: holdings.Instance, claims: shares.Claims, now_s: float
    ) -> shares.Assignment:
        # Not lapsed while its entries are assigned.
        instance.expires_at_s = math.inf
        entries = {entry.account: entry for entry in claims.entries[: shares.MAX_ENTRIES]}
        for name, holding in list(instance.holdings.items()):
            if name not in entries:
                holding.claim(0.0, 0.0, False, now_s)
                holding.assign(0.0, self._number, now_s)
                self._accounts[name].prune_at_s = now_s
                self._accounts[name].prune(name, now_s)
        return shares.Assignment(
            self._number,
            tuple(self._share(incarnation, instance, entry, now_s) for entry in entries.values()),
        )

    def _share(
        self, incarnation: str, instance: holdings.Instance, entry: shares.Claim, now_s: float
    ) -> shares.Share:
        known = self._all_known(now_s)
        account = self._accounts.get(entry.account)
        if account is None:
            account = self._accounts[entry.account] = holdings.Account(self._known_at_s)
        limit = self._limits.get(entry.account)
        account.refill(limit, now_s)
        account.prune(entry.account, now_s)
        holding = account.holdings.get(incarnation)
        demand_per_s = max(0.0, entry.demand_per_s) if math.isfinite(entry.demand_per_s) else 0.0
        if holding is None:
            if len(account.holdings) >= shares.MAX_HOLDERS:
                account.prune_at_s = now_s
                account.prune(entry.account, now_s)
            if entry.fraction <= 0.0 and len(account.holdings) >= shares.MAX_HOLDERS:
                account.displace(demand_per_s)
                return shares.Share(entry.account, 0.0, True)
            holding = holdings.Holding(instance, account)
            account.prune_at_s = now_s
            account.holdings[incarnation] = holding
            instance.holdings[entry.account] = holding
        holding.claim(shares.round_up(entry.fraction), demand_per_s, True, now_s)
        demand_per_s = account.demand_per_s()
        saturated = holdings.is_saturated(demand_per_s, limit)
        if known:
            target = account.target(holding, limit, demand_per_s, saturated)
            fraction = _move(account, holding, target, saturated)
        else:
            # Fractions of an earlier coordinator stay as they are.
            fraction = shares.round_down(holding.bound + min(0.0, account.free()))
        holding.assign(fraction, self._number, now_s)
        tokens = 0.0
        if limit is not None:
            # Those that the smaller free part can't keep would be lost.
            excess = account.tokens - max(0.0, account.free()) * limit.burst
            capacity = fraction * limit.burst + shares.HOLDER_EXTRA
            tokens = account.take_tokens(min(max(entry.waiting_count, excess), capacity))
        account.set_free_part(account.free() if known else 0.0, limit)
        # Until all is known there may be room that only other instances can tell of.
        return shares.Share(entry.account, fraction, saturated and known, tokens)

    def _all_known(self, now_s: float) -> bool:
        """Returns whether no fraction of an earlier coordinator can be in use unknown."""
        if self._known_at_s == math.inf and self._registered is not None:
            waited_s = now_s - self._begun_at_s
            if not self._unreported or waited_s >= shares.SHARE_DURATION_S:
                self._known_at_s = now_s
        return self._known_at_s < math.inf

    def describe(self, now_s: float) -> list[AccountUse]:
        """Returns how the accounts are divided, by account name.

        Args:
          now_s: Current time.
        """
        uses = []
        for name, account in sorted(self._accounts.items()):
            account.prune(name, now_s)
            limit = self._limits.get(name)
            fractions = {
                holding.instance.name: holding.bound
                for holding in account.holdings.values()
                if holding.bound > 0.0
            }
            free = max(0.0, account.free()) if self._all_known(now_s) else 0.0
            asked_per_s = account.demand_per_s()
            saturated = holdings.is_saturated(asked_per_s, limit)
            uses.append(AccountUse(name, asked_per_s, limit, saturated, free, fractions))
        return uses
