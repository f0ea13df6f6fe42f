"""Observed state of a group's members, as the coordinator combines it from all reports."""

import dataclasses

from bilberrystack.core import positions
from bilberrystack.routing import permission


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """Observed state of one member, combined from the reports of all instances.

    Attributes:
      id: Id of the member.
      in_store: Whether its record is in the store.
      leaving: Whether it is draining and accepts no new work.
      primary: Whether it reported itself as the primary in its last status report.
      term: Newest term that it knows.
      received_position: Position of the last log entry that it has received.
      last_contact_at_s: Time of its last answer to this instance or to one that reported it.
      refusing_since_s: Time since which its address refuses connections; None if it accepts them.
      polled_at_s: Time at which this instance sent the last status query that the member answered.
      polled_position: Position of the last received log entry in that answer.
      polled_primary: Whether the member reported itself as the primary in that answer.
      polled_term: Newest term that it knew in that answer.
      held: Whether a HOLD keeps it from receiving log entries.
    """

    id: str
    in_store: bool
    leaving: bool
    primary: bool
    term: int
    received_position: positions.Position | None
    last_contact_at_s: float
    refusing_since_s: float | None
    polled_at_s: float = permission.NEVER_S
    polled_position: positions.Position | None = None
    held: bool = False
    polled_primary: bool = False
    polled_term: int = 0
