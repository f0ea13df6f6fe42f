"""Status reports and replies of the members of a database group."""

import dataclasses
import enum

from bilberrystack.core import positions


class Refusal(enum.IntEnum):
    """Reason why a member refused a statement before executing it."""

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
    """Status report of a member.

    Attributes:
      member: Declared name of the member.
      promised_term: Highest term that the member has promised.
      last_log: Position of the member's last log entry.
      applied: Position up to which the log is visible to reads.
      primary: Self-reported role: whether the member considers itself the primary of promised_term.
      primary_contact_s: Seconds since the last contact of a replica to its primary; None if there
        was none.
      slots: Number of statements that the member executes concurrently.
      connection_limit: Number of connections that the member accepts.
      leaving: Whether the member's endpoint is leaving.
      discarded_entries: Number of unacknowledged log entries discarded since the member's start.
      previous_term_end: Last position before the first entry of last_log's term.
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
    """Reply of a member that executed a statement.

    Attributes:
      body: The answer.
      position: Log position that the answer reflects; for a duplicate, the primary's last position,
        so that its confirmation covers the recorded entry.
      duplicate: Whether the answer was recorded by an earlier execution.
      promised_term: The member's promised term at the time of the answer.
    """

    body: bytes
    position: positions.Position
    duplicate: bool
    promised_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Reply of a member that refused a statement before executing it.

    Attributes:
      refusal: Reason for the refusal.
      detail: Short human-readable description.
      promised_term: The member's promised term at the time of the answer.
      position: For CANCELLED, the position whose confirmation makes the cancellation durable; None
        for other refusals.
    """

    refusal: Refusal
    detail: str
    promised_term: int
    position: positions.Position | None = None


MemberReply = Executed | Refused
