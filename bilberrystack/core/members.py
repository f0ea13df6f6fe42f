"""Reports and replies of the members of a database group."""

import dataclasses
import enum

from bilberrystack.core import positions


class Refusal(enum.IntEnum):
    """Why a member refused a statement before it executed."""

    NOT_PRIMARY = 1
    STALE_TERM = 2
    BEHIND = 3
    CANCELLED = 4
    KEY_TOO_OLD = 5
    NO_TRANSACTION = 6
    CONNECTION_LIMIT = 7
    INVALID_STATEMENT = 8
    LEAVING = 9
    CONFLICT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member's report about itself.

    Attributes:
      member: The member's declared name.
      promised_term: The highest term that the member has promised.
      last_log: The position of its last log entry.
      applied: The position up to which reads see the log.
      primary: Whether the member believes that it is the primary of promised_term.
      primary_contact_s: Seconds since a replica heard from its primary; None if never.
      slots: Statements that it executes at the same time.
      connection_limit: Connections that it accepts.
      leaving: Whether its endpoint is leaving.
      discarded_entries: Unacknowledged entries that it has dropped since its start.
      previous_term_end: The last position before the first entry of last_log's term.
    """

    member: str
    promised_term: int
    last_log: positions.Position
    applied: positions.Position
    primary: bool
    primary_contact_s: float | None
    slots: int
    connection_limit: int
    leaving: bool
    discarded_entries: int
    previous_term_end: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """A statement ran at a member.

    Attributes:
      body: The answer.
      position: The log position that the answer reflects; for a duplicate the primary's last
        position, so that its confirmation covers the recorded entry.
      duplicate: Whether the answer is the recorded one of an earlier run.
      promised_term: The member's promised term when it answered.
    """

    body: bytes
    position: positions.Position
    duplicate: bool
    promised_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A member refused a statement before executing it.

    Attributes:
      refusal: Why.
      detail: A short text for people.
      promised_term: The member's promised term when it answered.
      position: For CANCELLED, the position whose confirmation makes the cancellation durable.
    """

    refusal: Refusal
    detail: str
    promised_term: int
    position: positions.Position | None = None


MemberReply = Executed | Refused
