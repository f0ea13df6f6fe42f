"""Statements of client sessions, and the answers of members.

The protocol adapter parses and encodes these types. The text of a statement is passed to the member
exactly as the client sent it.
"""

import dataclasses
import enum

from bilberrystack.core import positions


class Access(enum.Enum):
    """Whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"


class TransactionState(enum.Enum):
    """Transaction state of a session or of a member connection."""

    IDLE = "idle"
    TRANSACTION = "transaction"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """Reason why a statement has no result."""

    BUSY = "busy"
    ABORTED = "aborted"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_MEMBER = "wrong_member"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NO_STATEMENT = "no_statement"
    FAILED = "failed"
    TIMEOUT = "timeout"
    UNKNOWN_OUTCOME = "unsure"
    NO_DATABASE = "no_database"
    NOT_AUTHORIZED = "not_authorized"
    TOO_BIG = "too_big"
    BAD = "bad"
    OTHER = "other"


# Error codes with which a member guarantees that it did not run the statement.
NOT_RUN = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.NO_STATEMENT,
        ErrorCode.BEHIND,
        ErrorCode.READ_ONLY,
        ErrorCode.WRONG_MEMBER,
        ErrorCode.TOO_MANY_CONNECTIONS,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Statement that starts a transaction, which is restricted to reads if `read_only` is set."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Statement that commits a transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Statement that rolls a transaction back."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectStatement:
    """A read or a write that uses no prepared statement."""

    access: Access


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue:
    """Statement that sets a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Statement that prepares a statement.

    Attributes:
      name: Name of the prepared statement.
      access: Whether the prepared statement reads or writes.
      text: Text of the prepared statement.
    """

    name: str
    access: Access
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Statement that runs a prepared statement.

    Attributes:
      name: Name of the prepared statement.
      arguments: Text that follows the name.
    """

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Statement that deallocates a prepared statement."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A text that is no valid statement or message."""

    reason: str


Statement = (
    Begin | Commit | Rollback | DirectStatement | SetValue | Prepare | Execute | Forget | Malformed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """First message of a client.

    Attributes:
      database: Name of the session's database.
      key: Key of a client account, or any other word; None if the message has none.
    """

    database: str
    key: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Request of a client to run a statement.

    Attributes:
      id: Identifier chosen by the client.
      text: Text of the statement as the client sent it.
    """

    id: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """Message with which a client ends its session."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedQuery:
    """Request of a client that no member can receive unchanged; the session goes on after it."""

    reason: str


ClientMessage = Start | Query | RefusedQuery | Goodbye | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a result, as the line received from the member."""

    line: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """End of a successful result, as the line received from the member."""

    line: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """End of a statement that has no result."""

    code: ErrorCode
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """Message of a member that is ready for the next statement.

    Attributes:
      state: Transaction state of the connection.
      position: Log position of the member; None if the message contains none.
    """

    state: TransactionState
    position: positions.Position | None


MemberMessage = Row | Done | Failure | Ready | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Complete answer of a member to one statement.

    Attributes:
      rows: Rows of the result, as received.
      done: The line that proves the result; None if the statement failed.
      failure: Reason of the failure; None if the statement succeeded.
      state: Transaction state of the connection after the statement.
      position: Log position of the member after the statement; None if the answer contains none.
      request_sent_at_s: Time at which the statement was sent.
      received_at_s: Time at which the answer had been received completely.
      may_join_rows: Whether a row may consist of a part of another answer's row and a whole one.
    """

    rows: tuple[bytes, ...]
    done: bytes | None
    failure: Failure | None
    state: TransactionState
    position: positions.Position | None
    request_sent_at_s: float
    received_at_s: float
    may_join_rows: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status that a member reports about itself.

    Attributes:
      primary: Whether it reports itself as the primary.
      term: Newest term that it knows.
      received_position: Position of the last log entry that it has received.
      lag_s: Replication lag that it reports, in seconds.
      active_statements: Statements that run or are queued at the member.
      connections: Connections that are open to the member, from all instances.
      held: Whether a HOLD keeps it from receiving log entries.
    """

    primary: bool
    term: int
    received_position: positions.Position | None
    lag_s: float
    active_statements: int
    connections: int
    held: bool = False

    def __str__(self) -> str:
        """Return the role, the term and the position, for log lines."""
        role = "primary" if self.primary else "replica"
        return f"{role} {self.term} {self.received_position}"
