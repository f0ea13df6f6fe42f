"""Permission of an instance to treat a member as the primary of its group.

The coordinator grants each instance the use of a group's primary for a limited time, which counts
from the time at which the instance sent its request. The coordinator promotes another member only
after every instance has acknowledged the withdrawal of its grant, or the grant has expired. An
answer that arrives during a grant therefore precedes any promotion. An answer that arrives without
a grant needs a confirmation by the other members.

A conditional grant is given while requested promotions of some members may still take effect at any
moment. It lasts as long as a grant, and excludes the promotion of all others: an answer needs a
confirmation by those members alone. A member that only a second copy of an earlier request may
promote confirms an answer also by the end of its process: the platform promotes none that does not
run.

A leader is a process that has led its member's group in a term. Another process may start under the
member's id without the log, so that an answer counts as the leader's only if its connection, which
lasts no longer than the process, has shown that the process leads that term.
"""

import dataclasses

# Duration of a grant, in seconds. A promotion waits this long for an instance that can't be
# reached. After this time without a coordinator, an instance has to confirm each answer.
GRANT_DURATION_S = 1.5


# A grant that was requested this long after the leader was found not to be the primary proves the
# finding wrong: the coordinator queries the primary more often than that.
STEP_DOWN_RETENTION_S = 1.0

# A time before every reading of a clock.
NEVER_S = float("-inf")

# Orders the primary changes of a group: the fencing token of the coordinator, then the number of
# the change under that coordinator. A later coordinator has a higher token, so that the change
# numbers of all coordinators are comparable.
ChangeNumber = tuple[int, int]
INITIAL_CHANGE_NUMBER: ChangeNumber = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """A member that is the primary of its group in a term.

    Attributes:
      member: Id of the member.
      term: Term in which it is the primary.
    """

    member: str
    term: int


class Permission:
    """Knowledge of one instance about one group's primary, and its grant to use that primary."""

    __slots__ = (
        "_change_number",
        "_condition",
        "_condition_ends_at_s",
        "_grant_ends_at_s",
        "_leader",
        "_may_have_ended",
        "_stepped_down_at_s",
        "_unfinished",
        "_withdrawn",
    )

    def __init__(self) -> None:
        self._leader: Leader | None = None
        self._grant_ends_at_s = NEVER_S
        # The members that have to confirm an answer during a conditional grant, and its end.
        self._condition: frozenset[str] = frozenset()
        self._may_have_ended: frozenset[str] = frozenset()
        self._condition_ends_at_s = NEVER_S
        self._withdrawn = False
        # Whether no grant has followed the last withdrawal, also after the change was abandoned.
        self._unfinished = False
        self._stepped_down_at_s: float | None = None
        self._change_number = INITIAL_CHANGE_NUMBER

    @property
    def leader(self) -> Leader | None:
        """The primary of the newest known term; None if no primary is known."""
        return self._leader

    @property
    def change_in_progress(self) -> bool:
        """Whether the primary is being replaced, so that no member may be used as the primary."""
        return self._withdrawn or self.stepped_down

    @property
    def stepped_down(self) -> bool:
        """Whether the leader has reported that it is no longer the primary."""
        return self._stepped_down_at_s is not None

    @property
    def change_number(self) -> ChangeNumber:
        """Number of the last grant or withdrawal that was accepted."""
        return self._change_number

    @property
    def grant_ends_at_s(self) -> float:
        """End of the grant; minus infinity without one."""
        return self._grant_ends_at_s

    def valid_at(self, leader: Leader, instant_s: float) -> bool:
        """Returns whether a grant covers an answer of this leader that arrived at a given time."""
        return self._leader == leader and not self._withdrawn and instant_s <= self._grant_ends_at_s

    def confirming_members(self, leader: Leader, instant_s: float) -> frozenset[str]:
        """Returns the members whose confirmation a conditional grant requires at a given time.

        Returns:
          Their ids; an empty set if there is no conditional grant for this leader.
        """
        usable = self._leader == leader and not self._withdrawn
        return self._condition if usable and instant_s <= self._condition_ends_at_s else frozenset()

    def possibly_promoted(self, members: frozenset[str]) -> frozenset[str]:
        """Returns the members that a request of the last known coordinator may still promote.

        Args:
          members: Ids of all members. Any of them may be promoted if no grant has followed the last
            withdrawal; otherwise those that the last grant was conditional on.
        """
        return members if self._unfinished else self._condition

    def may_have_ended(self, member: str) -> bool:
        """Returns whether a confirming member confirms answers also by the end of its process."""
        return member in self._may_have_ended

    def grant(
        self,
        leader: Leader,
        until_s: float,
        change_number: ChangeNumber,
        condition: frozenset[str] = frozenset(),
        may_have_ended: frozenset[str] = frozenset(),
    ) -> bool:
        """Applies a grant of the coordinator.

        Args:
          leader: The primary.
          until_s: End of the grant: the time of the request plus the duration of the grant.
          change_number: Number of the last primary change before the grant. A grant that precedes a
            withdrawal is ignored.
          condition: Ids of the members that have to confirm each answer; empty for none.
          may_have_ended: Those of them that confirm answers also by the end of their process.
        Returns:
          Whether the leader differs from the previous one.
        """
        if self._leader is not None and leader.term < self._leader.term:
            return False
        if change_number < self._change_number:
            return False
        changed = leader != self._leader
        precedes_condition = until_s < self._condition_ends_at_s and not condition
        if precedes_condition and not changed and change_number == self._change_number:
            # A datagram may arrive late. The condition belongs to a request after this grant.
            return False
        self._change_number = change_number
        self._withdrawn = self._unfinished = False
        self._leader = leader
        self._condition, self._may_have_ended = condition, may_have_ended
        if condition:
            self._condition_ends_at_s = until_s
            self._grant_ends_at_s = NEVER_S
        else:
            self._grant_ends_at_s = until_s if changed else max(until_s, self._grant_ends_at_s)
            self._condition_ends_at_s = NEVER_S
        requested_at_s = until_s - GRANT_DURATION_S
        if changed or (
            self._stepped_down_at_s is not None
            and requested_at_s >= self._stepped_down_at_s + STEP_DOWN_RETENTION_S
        ):
            self._stepped_down_at_s = None
        return changed

    def withdraw(self, change_number: ChangeNumber) -> None:
        """Withdraws the grant because the coordinator is about to change the primary.

        Args:
          change_number: Number of the primary change, higher than that of every earlier grant.
        """
        if change_number < self._change_number:
            return
        self._change_number = change_number
        self._withdrawn = self._unfinished = True
        self._end_grants()

    def observe(self, leader: Leader) -> bool:
        """Records a member that reports itself as the primary; this does not grant its use.

        Returns:
          Whether the leader differs from the previous one.
        """
        if self._leader is not None and leader.term <= self._leader.term:
            return False
        self._leader = leader
        self._end_grants()
        self._stepped_down_at_s = None
        return True

    def record_step_down(self, leader: Leader, now_s: float) -> bool:
        """Records that a leader has reported that it is no longer the primary.

        Args:
          leader: The leader.
          now_s: Current time.
        Returns:
          Whether this was not known.
        """
        if self._leader != leader:
            return False
        known = self.stepped_down
        self._end_grants()
        self._stepped_down_at_s = now_s
        return not known

    def record_lead(self, leader: Leader) -> None:
        """Records that a leader has reported itself as the primary, which overrides a step-down."""
        if self._leader == leader:
            self._stepped_down_at_s = None

    def abandon_change(self) -> None:
        """Ends a primary change whose coordinator is gone; answers then need confirmation."""
        self._withdrawn = False
        self._stepped_down_at_s = None
        self._end_grants()

    def _end_grants(self) -> None:
        self._grant_ends_at_s = self._condition_ends_at_s = NEVER_S
