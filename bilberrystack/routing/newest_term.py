"""The newest term and primary of a group that this process knows of.

A member that has restarted without its log knows no term, and one that is unreachable shows none.
The newest term that was seen therefore stays in force when no member shows it any more.
"""

import collections.abc

from bilberrystack.routing import member_view
from bilberrystack.routing import permission


class NewestTerm:
    """The newest term of one group. It never goes back."""

    __slots__ = ("_leader", "_term")

    def __init__(self) -> None:
        self._term = 0
        self._leader: permission.Leader | None = None

    @property
    def term(self) -> int:
        """The newest term that a member or a record has shown; 0 if none has."""
        return self._term

    @property
    def leader(self) -> permission.Leader | None:
        """The primary of the newest term; None if it is not known."""
        if self._leader is None or self._leader.term < self._term:
            return None
        return self._leader

    def observe(self, views: collections.abc.Iterable[member_view.MemberView]) -> None:
        """Take account of the terms that members know.

        Args:
          views: Observed state of the group's members.
        """
        self._term = max(self._term, max((view.term for view in views), default=0))

    def record_primary(self, leader: permission.Leader) -> None:
        """Take account of a primary that has led its term."""
        if self._leader is None or leader.term > self._leader.term:
            self._leader = leader
        self._term = max(self._term, leader.term)
