"""Whom an instance may treat as the primary of a group, and until when.

The holder of the promotion duty grants each instance the use of a group's primary for a limited
time, counted from the instant at which the instance asked. The holder promotes another member only
once every grant has been withdrawn and acknowledged, or has ended. An answer that arrives inside
the grant is therefore from before any promotion. Without a grant an answer has to be confirmed
afterwards by the other members.
"""

import dataclasses

# How long a grant lasts. A promotion waits this long for an instance that can't be reached, and an
# instance rides out this long without the holder before it has to confirm each answer.
GRANT_S = 1.5


# Before every instant of a clock.
NEVER_S = float("-inf")

# Counts changes of primary: the token of the duty's holder, then the holder's own count. A later
# holder has a higher token, so that pairs of all holders can be compared.
Change = tuple[int, int]
NO_CHANGE: Change = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The primary of a group as far as is known.

    Attributes:
      member: Its id.
      term: Its term.
    """

    member: str
    term: int


class Permission:
    """What one instance knows of one group's primary."""

    __slots__ = ("_change", "_deposed", "_leader", "_until_s", "_withdrawn")

    def __init__(self) -> None:
        self._leader: Leader | None = None
        self._until_s = NEVER_S
        self._withdrawn = False
        self._deposed = False
        self._change = NO_CHANGE

    @property
    def leader(self) -> Leader | None:
        """The primary of the newest known term; None if none is known."""
        return self._leader

    @property
    def changing(self) -> bool:
        """Whether a change of primary is under way, so that nobody is to be asked."""
        return self._withdrawn or self._deposed

    @property
    def deposed(self) -> bool:
        """Whether the leader has said itself that it isn't one any more."""
        return self._deposed

    def valid_at(self, leader: Leader, instant_s: float) -> bool:
        """Tells whether an answer of this leader that arrived at an instant is within a grant."""
        return self._leader == leader and not self._withdrawn and instant_s <= self._until_s

    def grant(self, leader: Leader, until_s: float, change: Change) -> bool:
        """Takes a grant of the holder.

        Args:
          leader: The primary.
          until_s: When the grant ends: the instant at which it was asked for, plus its length.
          change: The last change before the grant; a grant from before a withdrawal is void.
        Returns:
          Whether the leader is another one than before.
        """
        if self._leader is not None and leader.term < self._leader.term:
            return False
        if change < self._change:
            return False
        self._change = change
        self._withdrawn = False
        changed = leader != self._leader
        self._until_s = until_s if changed else max(until_s, self._until_s)
        self._leader = leader
        if changed:
            self._deposed = False
        return changed

    def withdraw(self, change: Change) -> None:
        """Takes the holder's notice that the primary is about to change.

        Args:
          change: The change's number, above those of all grants before it.
        """
        if change < self._change:
            return
        self._change = change
        self._withdrawn = True
        self._until_s = NEVER_S

    def observe(self, leader: Leader) -> bool:
        """Takes a primary that a member's own word names; it comes with no permission.

        Returns:
          Whether the leader is another one than before.
        """
        if self._leader is not None and leader.term <= self._leader.term:
            return False
        self._leader = leader
        self._until_s = NEVER_S
        self._deposed = False
        return True

    def depose(self, leader: Leader) -> None:
        """Takes that a leader has said itself that it isn't one any more."""
        if self._leader == leader:
            self._until_s = NEVER_S
            self._deposed = True

    def lapse(self) -> None:
        """Ends a change whose holder is gone; answers then have to be confirmed by rounds."""
        self._withdrawn = False
        self._deposed = False
        self._until_s = NEVER_S
