"""View of the live instances: the platform's list, corrected by direct messages and link failures.

The list may lag behind both joins and departures, so a digest, a departure notice or a broken link
takes precedence over it.
"""

import collections.abc
import dataclasses
import enum

from bilberrystack.core import ownership

# Time after its last message for which an instance that is not in the platform's list counts as
# live, in seconds.
CONTACT_EXPIRY_S = 5.0

# Time after which a digest without the leaving flag cancels a departure notice, in seconds. An
# earlier digest may have been sent before the notice and delivered after it; a restarted instance
# keeps sending digests.
DEPARTURE_NOTICE_HOLD_S = 5.0

# Time after which a failure domain that neither the list nor a digest has named no longer counts
# for the majority, in seconds.
FAILURE_DOMAIN_EXPIRY_S = 3600.0


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the proxy.

    Attributes:
      id: Unique id of the instance.
      failure_domain: Failure domain of the instance.
      address: IP address and port for connections from peers.
    """

    id: str
    failure_domain: str
    address: str


@dataclasses.dataclass(slots=True)
class _KnownInstance:
    """State of another instance. All times are in seconds of the event loop's clock.

    Attributes:
      instance: Id, failure domain and address.
      listed_state: State in the platform's list; None if the instance is not in the list.
      last_message_at: Time of the last direct message; None without a message.
      departure_notice_at: Time of the last departure notice; None without one in force.
      link_failed_at: Time at which a link failed; None if a message has arrived since.
    """

    instance: Instance
    listed_state: InstanceState | None = None
    last_message_at: float | None = None
    departure_notice_at: float | None = None
    link_failed_at: float | None = None


class Membership:
    """View that one instance has of all instances."""

    __slots__ = (
        "_known",
        "_last_message_by_domain",
        "_last_seen_by_domain",
        "_list_received",
        "_live",
        "_majority_contact_at",
        "_own",
        "_own_departed",
        "_version",
    )

    def __init__(self, own: Instance, now: float) -> None:
        self._own = own
        self._own_departed = False
        self._list_received = False
        self._known: dict[str, _KnownInstance] = {}
        self._live: dict[str, Instance] = {own.id: own}
        self._version = 1
        self._last_seen_by_domain: dict[str, float] = {own.failure_domain: now}
        self._last_message_by_domain: dict[str, float] = {}
        self._majority_contact_at: float | None = None

    @property
    def version(self) -> int:
        """Version of the view, which increases with each change of the live instances."""
        return self._version

    @property
    def list_received(self) -> bool:
        """Whether the platform's list has been received; without it, the view may be incomplete."""
        return self._list_received

    @property
    def live(self) -> collections.abc.Mapping[str, Instance]:
        """The live instances by id, including this instance until it leaves."""
        return self._live

    @property
    def owner_candidates(self) -> tuple[ownership.Candidate, ...]:
        """The live instances as candidates for ownership."""
        return tuple(
            ownership.Candidate(instance.id, instance.failure_domain)
            for instance in self._live.values()
        )

    @property
    def suspected_instances(self) -> tuple[Instance, ...]:
        """Instances with a failed link that are still listed or sent a message recently."""
        return tuple(
            known.instance for known in self._known.values() if known.link_failed_at is not None
        )

    @property
    def known_instances(self) -> tuple[Instance, ...]:
        """All known instances except this one, including leaving and suspected instances."""
        return tuple(known.instance for known in self._known.values())

    def majority_contact_at(self, now: float) -> float | None:
        """Returns the latest time since which a majority of the failure domains has sent a message.

        This instance's own failure domain counts with the current time.

        Args:
          now: Seconds of the event loop's clock.
        Returns:
          The time in seconds of the event loop's clock; None if messages of a majority never
          arrived.
        """
        if len(self._last_seen_by_domain) == 1:
            return now
        return self._majority_contact_at

    def instance(self, instance_id: str) -> Instance | None:
        """Returns a known instance, live or not."""
        if instance_id == self._own.id:
            return self._own
        known = self._known.get(instance_id)
        return None if known is None else known.instance

    def update_platform_list(
        self, now: float, listed: collections.abc.Mapping[Instance, InstanceState]
    ) -> None:
        """Applies the platform's list of proxy instances.

        If more than half of the instances are listed as leaving, all listed instances count as
        live: planned stops concern few instances at a time, and removing that many from the view
        would itself cause an outage.

        Args:
          now: Seconds of the event loop's clock.
          listed: The listed instances with their states.
        """
        self._list_received = True
        leaving = sum(state is InstanceState.LEAVING for state in listed.values())
        plausible = leaving * 2 <= len(listed)
        for known in self._known.values():
            known.listed_state = None
        for instance, state in listed.items():
            self._last_seen_by_domain[instance.failure_domain] = now
            if instance.id == self._own.id:
                continue
            known = self._known.setdefault(instance.id, _KnownInstance(instance))
            if known.last_message_at is None:
                known.instance = instance
            known.listed_state = state if plausible else InstanceState.LIVE
        self._update(now)

    def record_message(self, now: float, instance: Instance, leaving: bool) -> None:
        """Records a message that another instance sent directly.

        Args:
          now: Seconds of the event loop's clock.
          instance: The sender.
          leaving: Whether the message says that the sender is leaving.
        """
        if instance.id == self._own.id:
            return
        known = self._known.setdefault(instance.id, _KnownInstance(instance))
        known.instance = instance
        known.last_message_at = now
        known.link_failed_at = None
        if leaving:
            known.departure_notice_at = now
        elif (
            known.departure_notice_at is not None
            and now - known.departure_notice_at > DEPARTURE_NOTICE_HOLD_S
        ):
            known.departure_notice_at = None
        self._last_seen_by_domain[instance.failure_domain] = now
        self._last_message_by_domain[instance.failure_domain] = now
        self._update(now)

    def record_link_failure(self, now: float, instance_id: str) -> None:
        """Records that a link to an instance broke or could not be opened."""
        known = self._known.get(instance_id)
        if known is not None and known.link_failed_at is None:
            known.link_failed_at = now
            self._update(now)

    def remove_own(self, now: float) -> None:
        """Removes this instance from its own view, because it is leaving."""
        self._own_departed = True
        self._update(now)

    def remove_expired(self, now: float) -> None:
        """Removes expired instances and failure domains. To be called about once per second."""
        self._update(now)

    def _update(self, now: float) -> None:
        self._discard_expired(now)
        live = {} if self._own_departed else {self._own.id: self._own}
        for known in self._known.values():
            if _is_live(known, now):
                live[known.instance.id] = known.instance
        if live != self._live:
            self._live = live
            self._version += 1
        self._majority_contact_at = self._compute_majority_contact_at(now)

    def _discard_expired(self, now: float) -> None:
        expired_ids = [
            instance_id
            for instance_id, known in self._known.items()
            if known.listed_state is None and not _has_recent_message(known, now)
        ]
        for instance_id in expired_ids:
            del self._known[instance_id]
        expired_domains = [
            domain
            for domain, seen_at in self._last_seen_by_domain.items()
            if now - seen_at > FAILURE_DOMAIN_EXPIRY_S and domain != self._own.failure_domain
        ]
        for domain in expired_domains:
            if not any(known.instance.failure_domain == domain for known in self._known.values()):
                del self._last_seen_by_domain[domain]

    def _compute_majority_contact_at(self, now: float) -> float | None:
        own = self._own.failure_domain
        last_messages = {
            domain: last_message_at
            for domain, last_message_at in self._last_message_by_domain.items()
            if domain in self._last_seen_by_domain
        }
        last_messages[own] = now
        needed = len(self._last_seen_by_domain) // 2 + 1
        if len(last_messages) < needed:
            return None
        return sorted(last_messages.values(), reverse=True)[needed - 1]


def _has_recent_message(known: _KnownInstance, now: float) -> bool:
    return known.last_message_at is not None and now - known.last_message_at <= CONTACT_EXPIRY_S


def _is_live(known: _KnownInstance, now: float) -> bool:
    if known.link_failed_at is not None or known.departure_notice_at is not None:
        return False
    return known.listed_state is InstanceState.LIVE or (
        known.listed_state is None and _has_recent_message(known, now)
    )
