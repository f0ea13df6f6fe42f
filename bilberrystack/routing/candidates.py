"""Chooses the member to promote, by log positions that were asked for in time.

A reported position is a lower limit of what the member has received. It is complete only if it was
asked for after the old primary could acknowledge nothing more. In a synchronous group an
acknowledged commit is at the primary and at `sync_replicas` replicas, so that some of the members
whose positions are known has it once the positions of all but `sync_replicas` - 1 replicas are. A
replica that has restarted without its log is none of them.
"""

import collections.abc
import dataclasses

from bilberrystack.core import positions
from bilberrystack.routing import member_view


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is known when a member is chosen.

    Attributes:
      views: Observed state of the group's members.
      old_primary: Id of the replaced primary; None if none was known.
      fenced: Whether it has stepped down, so that its position is final.
      fixed_at_s: Time since which the old primary can acknowledge nothing more.
      sync_replicas: Number of replicas that receive a commit before it is acknowledged.
      excluded: Ids of members that can't be promoted now.
      lost: Ids of members that have restarted without their logs, and are not known to have
        received again what they had acknowledged.
      old_primary_gone: Whether the replaced primary does not come back with its log.
    """

    views: collections.abc.Sequence[member_view.MemberView]
    old_primary: str | None
    fenced: bool
    fixed_at_s: float
    sync_replicas: int
    excluded: frozenset[str]
    lost: frozenset[str] = frozenset()
    old_primary_gone: bool = False

    def is_known(self, view: member_view.MemberView) -> bool:
        """Return whether a member's position was asked for in time."""
        return view.polled_position is not None and view.polled_at_s >= self.fixed_at_s

    def shows_acknowledged(self, view: member_view.MemberView) -> bool:
        """Return whether a known position contains all that the member has ever acknowledged.

        It doesn't if the member has restarted without its log. A log without entries may be such a
        one, unless nobody has any.
        """
        if view.id in self.lost:
            return False
        others = [other for other in self.views if other.id != view.id]
        return _has_entries(view) or not any(_has_entries(other) for other in others)

    def may_lead(self, view: member_view.MemberView) -> bool:
        """Return whether a member can be promoted, whatever its position is."""
        return not view.primary and view.in_store and view.id not in self.excluded


def choose(situation: Situation, accept_unknown: bool) -> member_view.MemberView | None:
    """Choose the member to promote.

    Args:
      situation: What is known.
      accept_unknown: Whether to choose among the members whose positions are known although those
        of others aren't. It has no effect in a synchronous group, which then waits.
    Returns:
      The member; None to wait.
    """
    if situation.sync_replicas > 0:
        return _choose_synchronous(situation)
    eligible = [view for view in situation.views if situation.may_lead(view) and not view.leaving]
    known = [view for view in eligible if situation.is_known(view)]
    if len(known) < len(eligible) and not accept_unknown:
        return None
    if known:
        return max(known, key=lambda view: (_position(view.polled_position), view.id))
    # Only other instances reach the replicas.
    reported = [view for view in eligible if view.received_position is not None]
    return max(
        reported, key=lambda view: (_position(view.received_position), view.id), default=None
    )


def _choose_synchronous(situation: Situation) -> member_view.MemberView | None:
    """Choose a member that certainly has all acknowledged commits.

    A member that leaves is chosen if no other has as much; it is replaced afterwards. A replica
    that has lost its log does not count among those that show what is acknowledged: its commits may
    exist at the old primary alone, which is waited for. Nothing is waited for once the log of each
    member is known, or the old primary is gone.
    """
    known = [view for view in situation.views if situation.is_known(view)]
    old_primary = next((view for view in known if view.id == situation.old_primary), None)
    if old_primary is not None and situation.fenced and old_primary.id not in situation.lost:
        final = _position(old_primary.polled_position)
        best = _best(situation, [view for view in known if view is not old_primary])
        if best is not None and _position(best.polled_position) >= final:
            return best
    replicas = [view for view in situation.views if view.id != situation.old_primary]
    known_replicas = [view for view in known if view.id != situation.old_primary]
    required_count = len(replicas) - situation.sync_replicas
    if situation.old_primary is not None:
        required_count += 1
    counted = sum(
        situation.old_primary_gone or situation.shows_acknowledged(view) for view in known_replicas
    )
    if counted >= max(1, required_count):
        return _newest(situation, known_replicas)
    all_known = len(known) == len(situation.views)
    if all_known and old_primary is not None and not old_primary.primary:
        return _newest(situation, known)
    return None


def _best(
    situation: Situation, known: collections.abc.Iterable[member_view.MemberView]
) -> member_view.MemberView | None:
    return max(
        filter(situation.may_lead, known),
        key=lambda view: (_position(view.polled_position), not view.leaving, view.id),
        default=None,
    )


def _newest(
    situation: Situation, known: collections.abc.Sequence[member_view.MemberView]
) -> member_view.MemberView | None:
    """Return the best member if none of the known ones has more."""
    best = _best(situation, known)
    newest = max((_position(view.polled_position) for view in known), default=None)
    if best is None or newest is None or _position(best.polled_position) < newest:
        return None
    return best


def _has_entries(view: member_view.MemberView) -> bool:
    shown = (view.polled_position, view.received_position)
    return any(position is not None and position.index > 0 for position in shown)


def _position(position: positions.Position | None) -> positions.Position:
    assert position is not None
    return position
