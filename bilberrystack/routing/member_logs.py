"""Which members of a group have lost entries of their logs that they had before.

A member may start again under its id without its log. It shows itself by a position, or a term,
that is lower than one that it had shown before the query was sent. What it acknowledged before may
exist nowhere else but at the primary.
"""

import collections.abc
import dataclasses

from bilberrystack.core import positions
from bilberrystack.routing import freshness
from bilberrystack.routing import member_view
from bilberrystack.routing import permission

# Position of a log that shows none, below all others.
_NO_POSITION = positions.Position(0, 0)


@dataclasses.dataclass(slots=True)
class _Shown:
    """What a member has shown of its log.

    Attributes:
      term: The term in its last answer.
      position: The highest position of that term.
      noted_at_s: When that position was noted; answers to queries that were sent earlier may be
        older.
      polled_at_s: When the query for the last answer was sent.
      lower_count: Number of answers in succession that show a log without that position.
      lost_at_s: When the loss was noted; None if the log is complete, as far as known.
    """

    term: int
    position: positions.Position
    noted_at_s: float
    polled_at_s: float
    lower_count: int = 0
    lost_at_s: float | None = None


class MemberLogs:
    """What the members of one group have shown of their logs, also before a restart."""

    __slots__ = ("_changed", "_primary_sample", "_shown")

    def __init__(self) -> None:
        self._shown: dict[str, _Shown] = {}
        self._changed: dict[str, bool] = {}
        # The newest position in a primary's answer to a statement, and that primary's term.
        self._primary_sample: tuple[int, freshness.Sample] | None = None

    @property
    def lost(self) -> frozenset[str]:
        """Ids of members whose logs lack entries that they had, and are not known to have again.

        A single lower answer, which may be a late copy, counts until the next answer.
        """
        return frozenset(
            member
            for member, shown in self._shown.items()
            if shown.lost_at_s is not None or shown.lower_count > 0
        )

    def take_changed(self) -> dict[str, bool]:
        """Return the members that have lost entries, or have them again, since the last call."""
        changed, self._changed = self._changed, {}
        return changed

    def update(
        self, views: collections.abc.Collection[member_view.MemberView], now_s: float
    ) -> None:
        """Take account of the answers of members to this instance.

        Reports of other instances don't count: their time of sending is not known exactly, so that
        an older answer could pass for a newer one.

        Args:
          views: Observed state of the group's members.
          now_s: Current time.
        """
        for view in views:
            if view.polled_position is not None or view.id in self._shown:
                self._update_member(view, view.polled_position or _NO_POSITION, now_s)
        for view in views:
            shown = self._shown.get(view.id)
            if shown is None or shown.lost_at_s is None:
                continue
            if not view.polled_primary and self._has_caught_up(view, shown.lost_at_s, views):
                self._set_lost(view.id, shown, None)

    def record_primary_position(
        self, leader: permission.Leader, sample: freshness.Sample, now_s: float
    ) -> None:
        """Take account of a position in a primary's answer to a statement.

        A primary that shows its position in answers to statements is not asked for its status.

        Args:
          leader: The primary and the term in which it gave the answer.
          sample: The position, and when the statement was sent.
          now_s: Current time.
        """
        self._primary_sample = (leader.term, sample)
        shown = self._shown.get(leader.member)
        if shown is not None and shown.term == leader.term and sample.position > shown.position:
            shown.position, shown.noted_at_s = sample.position, now_s

    def _update_member(
        self, view: member_view.MemberView, position: positions.Position, now_s: float
    ) -> None:
        shown = self._shown.get(view.id)
        if shown is None:
            self._shown[view.id] = _Shown(view.polled_term, position, now_s, view.polled_at_s)
            return
        if view.polled_at_s <= shown.polled_at_s:
            return
        shown.polled_at_s = view.polled_at_s
        lower = (view.polled_term, position) < (shown.term, shown.position)
        if lower and view.polled_at_s <= shown.noted_at_s:
            return
        if lower:
            shown.lower_count += 1
            if shown.lower_count > 1 and shown.lost_at_s is None:
                self._set_lost(view.id, shown, now_s)
            return
        shown.lower_count = 0
        if view.polled_term > shown.term and view.polled_primary:
            # Its log is the group's from now on.
            self._set_lost(view.id, shown, None)
        shown.term, shown.position, shown.noted_at_s = view.polled_term, position, now_s

    def _has_caught_up(
        self,
        view: member_view.MemberView,
        lost_at_s: float,
        views: collections.abc.Collection[member_view.MemberView],
    ) -> bool:
        """Return whether a member has what the primary had after the member's loss was noted."""
        if view.polled_position is None or view.polled_at_s <= lost_at_s:
            return False
        newest = max(known.polled_term for known in views)
        shown_later = [
            known.polled_position
            for known in views
            if known.polled_primary and known.polled_term == newest
            if known.id not in self.lost and known.polled_at_s > lost_at_s
            if known.polled_position is not None
        ]
        if self._primary_sample is not None:
            term, sample = self._primary_sample
            if term == newest and sample.request_sent_at_s > lost_at_s:
                shown_later.append(sample.position)
        return any(view.polled_position >= position for position in shown_later)

    def _set_lost(self, member: str, shown: _Shown, lost_at_s: float | None) -> None:
        if (shown.lost_at_s is None) != (lost_at_s is None):
            self._changed[member] = lost_at_s is not None
        shown.lost_at_s = lost_at_s
