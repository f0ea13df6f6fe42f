"""Limits on the time that a statement may wait for a member whose connections are all in use.

A member under overload stays busy for as long as the load lasts. Long waits then delay every
statement without serving more of them. A statement is therefore rejected early, and its client
retries, usually at another instance. If no member can serve the statement at all, as during a
primary change, the wait ends with that change and is worthwhile.
"""

import math

# Fraction of an operation's latency objective that its first statement may wait for a busy member.
# Users count a rejection after a quarter of the objective as late, and the response needs part of
# that time to reach the client.
MAX_WAIT_FRACTION = 0.2

# Fraction of the latency objective during which a statement is sent again to a busy member.
RETRY_FRACTION = 0.3

# Additive increase, multiplicative decrease of the concurrency window: a rejection halves it, and
# ten completed statements add one to it.
WINDOW_DECREASE_FACTOR = 0.5
WINDOW_INCREMENT = 0.1


def max_wait_s(latency_objective_s: float) -> float:
    """Returns the maximum wait for a connection to a busy member, in seconds.

    Args:
      latency_objective_s: Latency objective of the statement's operation, in seconds.
    """
    return latency_objective_s * MAX_WAIT_FRACTION


def retry_until_s(arrived_at_s: float, latency_objective_s: float) -> float:
    """Returns the time until which a statement is sent again to a member that was too busy.

    Args:
      arrived_at_s: Time at which the statement arrived.
      latency_objective_s: Latency objective of the statement's operation, in seconds.
    """
    return arrived_at_s + latency_objective_s * RETRY_FRACTION


def expected_wait_s(queued_ahead: int, connections: int, hold_time_s: float) -> float:
    """Returns the expected wait for a connection to a busy member, in seconds.

    Args:
      queued_ahead: Statements that wait in front of this one.
      connections: Connections of this instance to the members that can run the statement.
      hold_time_s: Time for which a statement holds a connection, in seconds, including its wait in
        the member's own queue.
    """
    return (queued_ahead + 1) * hold_time_s / max(1, connections)


class ConcurrencyWindow:
    """Adaptive limit on the statements that this instance has in flight at one member.

    All instances share a member's queue, but don't know of each other's statements. A rejection
    because of a full queue means that all instances together have too many statements in flight.
    """

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = math.inf

    def has_room(self, in_flight: int) -> bool:
        """Returns whether another statement may be sent.

        Args:
          in_flight: Statements of this instance that the member has not answered.
        """
        return in_flight < max(1.0, self._limit)

    def record_rejection(self, in_flight: int) -> None:
        """Shrinks the window after the member rejected a statement because its queue was full.

        Args:
          in_flight: Other statements of this instance in flight at the member.
        """
        self._limit = max(1.0, min(self._limit, in_flight + 1) * WINDOW_DECREASE_FACTOR)

    def record_completion(self) -> None:
        """Grows the window after the member has run a statement."""
        self._limit += WINDOW_INCREMENT
