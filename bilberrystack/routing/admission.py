"""How long a statement may wait for a member whose connections are all taken.

A member that is merely busy stays so as long as the load lasts. A long wait then makes all
statements late and serves no more of them, so a statement is turned away soon and its client comes
back, mostly to another instance. Where no member can serve at present, as during a change of
primary, waiting ends with that change and is worth while.
"""

import math

# Part of an operation's latency objective that its first statement may wait for a busy member.
# Users count a refusal after a quarter of the objective as late; the way to the client takes some.
PATIENCE_PART = 0.2

# Part of the latency objective within which a busy member is asked again.
ASK_AGAIN_PART = 0.3

# What is left of the window after an answer that the member is full, and its growth with each
# statement that ran: the usual halving, and one more statement after ten that ran.
WINDOW_CUT = 0.5
WINDOW_GROWTH = 0.1


def patience_s(aim_s: float) -> float:
    """Returns how long a statement may wait for a busy member's connection.

    Args:
      aim_s: The latency objective of its operation.
    """
    return aim_s * PATIENCE_PART


def ask_again_until_s(arrived_at_s: float, aim_s: float) -> float:
    """Returns until when a statement goes again to a member that was too busy for it.

    Args:
      arrived_at_s: When it arrived.
      aim_s: The latency objective of its operation.
    """
    return arrived_at_s + aim_s * ASK_AGAIN_PART


def expected_wait_s(ahead: int, links: int, hold_s: float) -> float:
    """Returns how long a statement is expected to wait for a busy member's connection.

    Args:
      ahead: Statements that wait before it.
      links: Connections of this instance to the members that can run it.
      hold_s: How long a statement holds a connection, with its wait in the member's own queue.
    """
    return (ahead + 1) * hold_s / max(1, links)


class Window:
    """How many statements this instance may have at one member at a time.

    A member's queue is shared with instances that nobody asks. Each answer that it is full says
    that all of them together have too many there.
    """

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = math.inf

    def has_room(self, in_flight: int) -> bool:
        """Tells whether one more statement may be sent.

        Args:
          in_flight: Statements of this instance that the member has not answered.
        """
        return in_flight < max(1.0, self._limit)

    def turned_away(self, in_flight: int) -> None:
        """Takes that the member was full for a statement.

        Args:
          in_flight: Statements of this instance there besides it.
        """
        self._limit = max(1.0, min(self._limit, in_flight + 1) * WINDOW_CUT)

    def ran(self) -> None:
        """Takes that the member has run a statement."""
        self._limit += WINDOW_GROWTH
