"""Chooses the member to promote, by log positions that were asked for in time.

A reported position is a lower limit of what the member has received. It is complete only if it was
asked for after the old primary could acknowledge nothing more. In a synchronous group an
acknowledged commit is at the primary and at `sync_replicas` replicas, so that some of the members
whose positions are known has it once the positions of all but `sync_replicas` - 1 replicas are.
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
    """

    views: collections.abc.Sequence[member_view.MemberView]
    old_primary: str | None
    fenced: bool
    fixed_at_s: float
    sync_replicas: int
    excluded: frozenset[str]

    def is_known(self, view: member_view.MemberView) -> bool:
        """Return whether a member's position was asked for in time."""
        return view.polled_position is not None and view.polled_at_s >= self.fixed_at_s

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

    A member that leaves is chosen if no other has as much; it is replaced afterwards.
    """
    replicas = [view for view in situation.views if view.id != situation.old_primary]
    known = [view for view in replicas if situation.is_known(view)]
    required_count = len(replicas) - situation.sync_replicas
    if situation.old_primary is not None:
        required_count += 1
    final_positions = [
        _position(view.polled_position)
        for view in situation.views
        if situation.fenced and view.id == situation.old_primary and situation.is_known(view)
    ]
    best = max(
        filter(situation.may_lead, known),
        key=lambda view: (_position(view.polled_position), not view.leaving, view.id),
        default=None,
    )
    if best is None:
        return None
    position = _position(best.polled_position)
    if any(position >= final for final in final_positions):
        return best
    newest = max(_position(view.polled_position) for view in known)
    return best if len(known) >= max(1, required_count) and position >= newest else None


def _position(position: positions.Position | None) -> positions.Position:
    assert position is not None
    return position
