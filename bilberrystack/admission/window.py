"""Limits on the statements that an instance has in flight at one member."""

import math

# Additive increase, multiplicative decrease of the concurrency window: a rejection halves it, and
# ten completed statements add one to it.
WINDOW_DECREASE_FACTOR = 0.5
WINDOW_INCREMENT = 0.1

# Statements that all owners of a group together may have in flight at a member, in multiples of its
# slots. A member runs 4 and queues 32; owners that did not know of each other's statements had 650
# of 15,932 rejected on a calm day.
IN_FLIGHT_PER_SLOT = 4

# Smallest limit of one owner. With a limit of 1, an owner would send its next statement only after
# the answer to the last one has crossed the network.
MIN_IN_FLIGHT = 2

# Smallest limit beside which one place is kept for the most urgent statements.
MIN_LIMIT_WITH_RESERVE = 3

# Statements with this priority or a lower number may use the reserved place.
URGENT_PRIORITY = 0


def in_flight_limit(slots: int, owners: int) -> int:
    """Returns how many statements one owner of a group may have in flight at a member.

    The limits of all owners together exceed the member's slots, so that they keep it busy.

    Args:
      slots: Number of statements that the member runs concurrently.
      owners: Number of instances that own the group.
    """
    return max(MIN_IN_FLIGHT, math.ceil(IN_FLIGHT_PER_SLOT * slots / max(1, owners)))


def usable_limit(limit: int, slots: int, priority: int) -> int:
    """Returns the part of an owner's limit that statements of a priority may fill.

    One place is kept for the most urgent statements, so that they need not wait for a less urgent
    one to end. The others can still fill all slots, in case they come to one owner only: the place
    is then beyond the limit.

    Args:
      limit: The owner's limit at the member.
      slots: Number of statements that the member runs concurrently.
      priority: Priority of the statement.
    """
    if limit < MIN_LIMIT_WITH_RESERVE:
        return limit
    others_limit = max(limit - 1, min(limit, slots))
    return others_limit if priority > URGENT_PRIORITY else others_limit + 1


# Part of an owner's connections to a member that transactions may not hold, so that clients that
# are idle inside transactions don't stop all other statements.
LINKS_KEPT_FROM_TRANSACTIONS = 0.25


def transaction_limit(links: int, priority: int) -> float:
    """Returns how many of an owner's connections to a member transactions may hold.

    The most urgent transactions are not limited.

    Args:
      links: Number of connections to the member that the owner may keep open.
      priority: Priority of the transaction.
    """
    if priority <= URGENT_PRIORITY:
        return math.inf
    return links - max(1, int(links * LINKS_KEPT_FROM_TRANSACTIONS))


class ConcurrencyWindow:
    """Adaptive limit on the statements that this instance has in flight at one member.

    All instances share a member's queue, but don't know of each other's statements. A rejection
    because of a full queue means that all instances together have too many statements in flight.
    """

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = math.inf

    @property
    def limit(self) -> float:
        """Number of statements that may be in flight; infinite before the first rejection."""
        return max(1.0, self._limit)

    def has_room(self, in_flight: int) -> bool:
        """Returns whether another statement may be sent.

        Args:
          in_flight: Statements of this instance that the member has not answered.
        """
        return in_flight < self.limit

    def record_rejection(self, in_flight: int) -> None:
        """Shrinks the window after the member rejected a statement because its queue was full.

        Args:
          in_flight: Other statements of this instance in flight at the member.
        """
        self._limit = max(1.0, min(self._limit, in_flight + 1) * WINDOW_DECREASE_FACTOR)

    def record_completion(self) -> None:
        """Grows the window after the member has run a statement."""
        self._limit += WINDOW_INCREMENT
