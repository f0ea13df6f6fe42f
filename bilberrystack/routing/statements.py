"""Statements of client sessions, and what members answer.

The adapter parses and encodes them; the text of a statement that a member runs is kept as the
client sent it.
"""

import dataclasses
import enum

from bilberrystack.core import positions


class Access(enum.Enum):
    """What a prepared statement does."""

    READ = "read"
    WRITE = "write"


class State(enum.Enum):
    """The state of a session or a member connection."""

    IDLE = "idle"
    TRANSACTION = "transaction"
    FAILED = "failed"


class Code(enum.Enum):
    """Why a statement has no result."""

    BUSY = "busy"
    ABORTED = "aborted"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_MEMBER = "wrong_member"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NO_STATEMENT = "no_statement"
    FAILED = "failed"
    TIMEOUT = "timeout"
    UNSURE = "unsure"
    NO_DATABASE = "no_database"
    TOO_BIG = "too_big"
    BAD = "bad"
    OTHER = "other"


# Codes of a member that mean that the statement did not run there.
NOT_RUN = frozenset(
    {
        Code.BUSY,
        Code.NO_STATEMENT,
        Code.BEHIND,
        Code.READ_ONLY,
        Code.WRONG_MEMBER,
        Code.TOO_MANY_CONNECTIONS,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Starts a transaction, for reads alone if `read_only`."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Ends a transaction and keeps its writes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Ends a transaction without its writes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Direct:
    """A read or a write without a prepared statement."""

    access: Access


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Names a statement of one access and shape."""

    name: str
    access: Access
    shape: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Runs a prepared statement; `arguments` is the rest of the text."""

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Drops the name of a prepared statement."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A text that is no statement."""

    reason: str


Statement = Begin | Commit | Rollback | Direct | SetValue | Prepare | Execute | Forget | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A client's first message."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A client's request.

    Attributes:
      id: Chosen by the client.
      text: The statement as the client sent it.
    """

    id: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """A client ends its session."""


ClientMessage = Start | Query | Goodbye | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A line of a result, as received."""

    line: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The end of a result, as received."""

    line: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The end of a statement without a result."""

    code: Code
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """A member waits for the next statement; `position` is its log's, if it says one."""

    state: State
    position: positions.Position | None


MemberMessage = Row | Done | Failure | Ready | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A member's whole answer to one statement.

    Attributes:
      rows: The lines of the result, as received.
      done: The line that proves the result; None if the statement failed.
      failure: Why it failed; None if it succeeded.
      state: The connection's state afterwards.
      position: The member's log position afterwards, if it says one.
      asked_at_s: When the statement was sent.
      answered_at_s: When the whole answer was there.
    """

    rows: tuple[bytes, ...]
    done: bytes | None
    failure: Failure | None
    state: State
    position: positions.Position | None
    asked_at_s: float
    answered_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a member says of itself.

    Attributes:
      primary: Whether it sees itself as the primary.
      term: The newest term that it knows.
      received: The last position that it has received.
      lag_s: How far it is behind by its own account.
      busy: Statements that run or wait there.
      connections: Connections that it has, from all instances.
    """

    primary: bool
    term: int
    received: positions.Position | None
    lag_s: float
    busy: int
    connections: int
