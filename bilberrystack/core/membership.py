"""Which instances are live: the platform's list, corrected by what is heard directly.

The list lags in both directions, so a digest, a leaving notice or a broken link takes precedence
over it.
"""

import collections.abc
import dataclasses
import enum

from bilberrystack.core import ownership

# An instance that the list does not include is live for this time after it was heard from.
HEARD_LIMIT_S = 5.0

# A digest without the leaving flag clears a leaving notice only after this time: an answer that was
# on its way when the notice was sent is older than the notice, while a restarted instance keeps
# sending digests.
LEAVING_HOLD_S = 5.0

# Failure domains that neither the list nor any digest has named for this time no longer count for
# a majority.
DOMAIN_MEMORY_S = 3600.0


class InstanceState(enum.Enum):
    """States of the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the proxy.

    Attributes:
      id: Its id, unique among all instances.
      failure_domain: Its failure domain.
      address: IP number and port for peers.
    """

    id: str
    failure_domain: str
    address: str


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known about one instance.

    Attributes:
      instance: Its id, failure domain and address.
      listed: Its state in the platform's list, None if it is not in the list.
      heard_at: When a digest of it last arrived.
      leaving_at: When it last said that it is leaving, None if it did not.
      suspected_at: When a link to it broke, None if it was heard from since.
    """

    instance: Instance
    listed: InstanceState | None = None
    heard_at: float | None = None
    leaving_at: float | None = None
    suspected_at: float | None = None


class Membership:
    """One instance's view of all instances."""

    __slots__ = (
        "_domain_seen_at",
        "_heard_domains",
        "_informed",
        "_known",
        "_live",
        "_majority_contact_at",
        "_own",
        "_own_leaving",
        "_version",
    )

    def __init__(self, own: Instance, now: float) -> None:
        self._own = own
        self._own_leaving = False
        self._informed = False
        self._known: dict[str, _Known] = {}
        self._live: dict[str, Instance] = {own.id: own}
        self._version = 1
        self._domain_seen_at: dict[str, float] = {own.failure_domain: now}
        self._heard_domains: dict[str, float] = {}
        self._majority_contact_at: float | None = None

    @property
    def version(self) -> int:
        """Increases whenever the live instances change."""
        return self._version

    @property
    def informed(self) -> bool:
        """Whether the platform's list has been read. Before, this instance knows itself alone."""
        return self._informed

    @property
    def live(self) -> collections.abc.Mapping[str, Instance]:
        """The live instances by id, this one included until it leaves."""
        return self._live

    @property
    def candidates(self) -> tuple[ownership.Candidate, ...]:
        """The live instances as candidates for ownership."""
        return tuple(ownership.Candidate(one.id, one.failure_domain) for one in self._live.values())

    @property
    def suspects(self) -> tuple[Instance, ...]:
        """Instances whose link broke and that are still listed or were heard from recently."""
        return tuple(one.instance for one in self._known.values() if one.suspected_at is not None)

    @property
    def others(self) -> tuple[Instance, ...]:
        """All known instances but this one, leaving and suspect ones included."""
        return tuple(one.instance for one in self._known.values())

    def majority_contact_at(self, now: float) -> float | None:
        """Returns the latest instant since which a majority of failure domains was heard from.

        This instance's own domain counts as heard from now.

        Args:
          now: Seconds of the runtime's clock.
        Returns:
          The instant; None if a majority was never heard from.
        """
        if len(self._domain_seen_at) == 1:
            return now
        return self._majority_contact_at

    def instance(self, instance_id: str) -> Instance | None:
        """Returns a known instance, live or not."""
        if instance_id == self._own.id:
            return self._own
        known = self._known.get(instance_id)
        return None if known is None else known.instance

    def take_list(
        self, now: float, listed: collections.abc.Mapping[Instance, InstanceState]
    ) -> None:
        """Takes the platform's list of proxies.

        A list in which most proxies are leaving is not believed as to leaving: planned stops are
        few at a time, and removing that many from the view would be an outage of its own.
        """
        self._informed = True
        leaving = sum(state is InstanceState.LEAVING for state in listed.values())
        plausible = leaving * 2 <= len(listed)
        for known in self._known.values():
            known.listed = None
        for instance, state in listed.items():
            self._domain_seen_at[instance.failure_domain] = now
            if instance.id == self._own.id:
                continue
            known = self._known.setdefault(instance.id, _Known(instance))
            if known.heard_at is None:
                known.instance = instance
            known.listed = state if plausible else InstanceState.LIVE
        self._update(now)

    def heard(self, now: float, instance: Instance, leaving: bool) -> None:
        """Takes a message that came from an instance directly."""
        if instance.id == self._own.id:
            return
        known = self._known.setdefault(instance.id, _Known(instance))
        known.instance = instance
        known.heard_at = now
        known.suspected_at = None
        if leaving:
            known.leaving_at = now
        elif known.leaving_at is not None and now - known.leaving_at > LEAVING_HOLD_S:
            known.leaving_at = None
        self._domain_seen_at[instance.failure_domain] = now
        self._heard_domains[instance.failure_domain] = now
        self._update(now)

    def link_broken(self, now: float, instance_id: str) -> None:
        """Takes the loss of a link, or a failed attempt to open one."""
        known = self._known.get(instance_id)
        if known is not None and known.suspected_at is None:
            known.suspected_at = now
            self._update(now)

    def leave(self, now: float) -> None:
        """Takes this instance out of its own view."""
        self._own_leaving = True
        self._update(now)

    def expire(self, now: float) -> None:
        """Drops what is out of date; to be called about once per second."""
        self._update(now)

    def _update(self, now: float) -> None:
        self._forget(now)
        live = {} if self._own_leaving else {self._own.id: self._own}
        for known in self._known.values():
            if _is_live(known, now):
                live[known.instance.id] = known.instance
        if live != self._live:
            self._live = live
            self._version += 1
        self._majority_contact_at = self._majority_instant(now)

    def _forget(self, now: float) -> None:
        gone = [
            name
            for name, known in self._known.items()
            if known.listed is None and not _heard_recently(known, now)
        ]
        for name in gone:
            del self._known[name]
        old = [
            domain
            for domain, seen_at in self._domain_seen_at.items()
            if now - seen_at > DOMAIN_MEMORY_S and domain != self._own.failure_domain
        ]
        for domain in old:
            if not any(one.instance.failure_domain == domain for one in self._known.values()):
                del self._domain_seen_at[domain]

    def _majority_instant(self, now: float) -> float | None:
        own = self._own.failure_domain
        heard = {
            domain: instant
            for domain, instant in self._heard_domains.items()
            if domain in self._domain_seen_at
        }
        heard[own] = now
        needed = len(self._domain_seen_at) // 2 + 1
        if len(heard) < needed:
            return None
        return sorted(heard.values(), reverse=True)[needed - 1]


def _heard_recently(known: _Known, now: float) -> bool:
    return known.heard_at is not None and now - known.heard_at <= HEARD_LIMIT_S


def _is_live(known: _Known, now: float) -> bool:
    if known.suspected_at is not None or known.leaving_at is not None:
        return False
    return known.listed is InstanceState.LIVE or (
        known.listed is None and _heard_recently(known, now)
    )
