"""Terms of the coordinator lease: until when its holder may act, and when others may acquire it.

The lease outlives a short outage of the store. A holder that is suspended or cut off has to be
replaced sooner, because nobody else can replace a primary that leaves. The record of the lease
therefore names standbys, which may acquire the lease `CONTACT_DURATION_S` after its last renewal.
Beyond that time the holder may act only while it is supported by every standby: a standby
acknowledges the holder's answers, and does not acquire the lease within `CONTACT_DURATION_S` of the
last answer that it has acknowledged.

Instants are seconds on the clock of one instance; no clocks are compared between instances. An
acknowledgement returns the holder's own time of sending, so that a delay only shortens support.
"""

import collections.abc
import math

# A holder with supporters keeps its lease through a store outage of nearly this length. Instances
# that are not standbys wait this long before they replace a holder.
LEASE_DURATION_S = 8.0

# The holder stops acting this long before its lease ends, because a promotion request takes up to
# 0.6 s. Others wait this much longer.
EXPIRY_MARGIN_S = 1.0

# How long the holder may act after the sending of a renewal, or of an answer that a standby has
# acknowledged. A frozen holder has to be replaced, and after it a leaving primary, within 7 s.
CONTACT_DURATION_S = 2.0

# Standbys wait this much longer. It covers differences in the speed of two clocks.
STANDBY_MARGIN_S = 0.3

# Number of standbys. With more of them, more failures at the same time leave one that can act; with
# fewer, the lease is less likely to end because a standby fails during a store outage.
STANDBY_COUNT = 5

# An instance becomes a standby if it has acknowledged an answer that is younger than this.
STANDBY_MAX_AGE_S = 1.0

# Stands for every instance in the record of a holder whose answers nobody has acknowledged yet.
ANY_INSTANCE = "*"

_NEVER_S = -math.inf


class Supporters:
    """The holder's view of the instances that acknowledge its answers."""

    __slots__ = ("_acknowledged_at_s",)

    def __init__(self) -> None:
        self._acknowledged_at_s: dict[str, float] = {}

    def acknowledge(self, incarnation: str, answered_at_s: float) -> None:
        """Record an acknowledgement.

        Args:
          incarnation: The incarnation that acknowledges an answer.
          answered_at_s: When this instance sent that answer.
        """
        known_s = self._acknowledged_at_s.get(incarnation, _NEVER_S)
        if known_s == math.inf:
            # A late datagram of the ended process.
            known_s = _NEVER_S
        self._acknowledged_at_s[incarnation] = max(known_s, answered_at_s)

    def record_end(self, incarnation: str) -> None:
        """Record that a process has certainly ended, so that it can't acquire the lease.

        The lease must be in force: the process has then not tried to acquire it before its end.
        """
        self._acknowledged_at_s[incarnation] = math.inf

    def clear(self) -> None:
        """Discard all acknowledgements, before answers under another token."""
        self._acknowledged_at_s.clear()

    def supported_until_s(self, standbys: collections.abc.Iterable[str]) -> float:
        """Return until when every standby supports the holder.

        Args:
          standbys: The incarnations that the stored record names, or may name.
        Returns:
          The instant; infinity if there are no standbys.
        """
        return min(
            (
                self._acknowledged_at_s.get(standby, _NEVER_S) + CONTACT_DURATION_S
                for standby in standbys
            ),
            default=math.inf,
        )

    def choose_standbys(
        self, current: collections.abc.Iterable[str], now_s: float
    ) -> tuple[str, ...]:
        """Return the standbys to name in the next renewal: the current ones first, while they last.

        Args:
          current: The standbys of the last renewal, which stay if nobody else is heard.
          now_s: The current time.
        """
        recent = sorted(
            incarnation
            for incarnation, at_s in self._acknowledged_at_s.items()
            if now_s - STANDBY_MAX_AGE_S < at_s < math.inf
        )
        if not recent:
            return tuple(current)
        retained = [incarnation for incarnation in current if incarnation in recent]
        added = [incarnation for incarnation in recent if incarnation not in retained]
        return tuple([*retained, *added][:STANDBY_COUNT])


def ends_at_s(renewed_at_s: float, supported_until_s: float) -> float:
    """Return when the holder stops acting on its lease.

    Args:
      renewed_at_s: When it sent its last successful renewal.
      supported_until_s: Until when every standby supports it.
    """
    unsupported_end_s = renewed_at_s + CONTACT_DURATION_S
    supported_end_s = renewed_at_s + LEASE_DURATION_S - EXPIRY_MARGIN_S
    return min(supported_end_s, max(unsupported_end_s, supported_until_s))


def acquirable_at_s(
    unchanged_since_s: float, is_standby: bool, acknowledged_at_s: float = _NEVER_S
) -> float:
    """Return from when an instance may acquire a lease that is not renewed.

    Args:
      unchanged_since_s: An instant after the sending of the last renewal.
      is_standby: Whether the record names the instance as a standby.
      acknowledged_at_s: When it received the last answer that it has acknowledged.
    """
    expired_at_s = unchanged_since_s + LEASE_DURATION_S + EXPIRY_MARGIN_S
    if not is_standby:
        return expired_at_s
    released_at_s = max(unchanged_since_s, acknowledged_at_s) + CONTACT_DURATION_S
    return min(expired_at_s, released_at_s + STANDBY_MARGIN_S)


def names_standby(standbys: collections.abc.Collection[str], incarnation: str) -> bool:
    """Return whether the standbys of a record include an incarnation."""
    return incarnation in standbys or ANY_INSTANCE in standbys
