"""The line protocol that clients and members speak.

A message is a line of words: a kind, then fields separated by blanks; the last field extends to the
end of the line, which CR LF ends.
"""

from bilberrystack.core import positions
from bilberrystack.routing import statements

# Longest message, without the line's end, by the protocol.
MAX_LINE_BYTES = 1_048_576

# Id of the statements that the product issues itself, by the protocol.
OWN_ID = "-"

_CODES = {
    "BUSY": statements.ErrorCode.BUSY,
    "ABORTED": statements.ErrorCode.ABORTED,
    "BEHIND": statements.ErrorCode.BEHIND,
    "READONLY": statements.ErrorCode.READ_ONLY,
    "WRONGNODE": statements.ErrorCode.WRONG_MEMBER,
    "TOOMANY": statements.ErrorCode.TOO_MANY_CONNECTIONS,
    "NOSTMT": statements.ErrorCode.NO_STATEMENT,
    "FAILED": statements.ErrorCode.FAILED,
    "TIMEOUT": statements.ErrorCode.TIMEOUT,
    "UNSURE": statements.ErrorCode.UNKNOWN_OUTCOME,
    "NODB": statements.ErrorCode.NO_DATABASE,
    "TOOBIG": statements.ErrorCode.TOO_BIG,
    "BAD": statements.ErrorCode.BAD,
}
_CODE_WORDS = {code: word for word, code in _CODES.items()} | {statements.ErrorCode.OTHER: "FAILED"}
_STATES = {
    "I": statements.TransactionState.IDLE,
    "T": statements.TransactionState.TRANSACTION,
    "E": statements.TransactionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ACCESS = {"READ": statements.Access.READ, "WRITE": statements.Access.WRITE}
_ACCESS_WORDS = {access: word for word, access in _ACCESS.items()}


def parse_client(line: bytes) -> statements.ClientMessage:
    """Parses a line of a client.

    Args:
      line: The line without its end.
    Returns:
      The message, Malformed if it is none of the protocol's.
    """
    try:
        text = line.decode()
    except UnicodeDecodeError:
        return statements.Malformed("the line is not UTF-8")
    word, _, rest = text.partition(" ")
    match word:
        case "START":
            database = rest.split(" ", 1)[0]
            if not database:
                return statements.Malformed("START names no database")
            return statements.Start(database)
        case "QUERY":
            request_id, blank, statement = rest.partition(" ")
            if not request_id or not blank or not statement:
                return statements.Malformed("QUERY needs an id and a text")
            return statements.Query(request_id, statement)
        case "BYE":
            return statements.Goodbye()
        case _:
            return statements.Malformed("unknown kind of message")


def parse_statement(text: str) -> statements.Statement:
    """Parses the text of a client's request; Malformed if it is none of the protocol's."""
    words = text.split(" ")
    match words:
        case ["BEGIN"]:
            return statements.Begin(read_only=False)
        case ["BEGIN", "READ"]:
            return statements.Begin(read_only=True)
        case ["COMMIT"]:
            return statements.Commit()
        case ["ROLLBACK"]:
            return statements.Rollback()
        case ["READ", item] if item:
            return statements.DirectStatement(statements.Access.READ)
        case ["WRITE", item, _, *_] if item:
            return statements.DirectStatement(statements.Access.WRITE)
        case ["SET", name, value, *rest] if name:
            return statements.SetValue(name, " ".join([value, *rest]))
        case ["PREPARE", name, access, shape, *rest] if name and access in _ACCESS:
            return statements.Prepare(name, _ACCESS[access], " ".join([shape, *rest]))
        case ["EXEC", name, item, *rest] if name and item:
            return statements.Execute(name, " ".join([item, *rest]))
        case ["FORGET", name] if name:
            return statements.Forget(name)
        case _:
            return statements.Malformed("not a statement")


def parse_member(line: bytes) -> statements.MemberMessage:
    """Parses a line of a member, without its end; Malformed if it is none of the protocol's."""
    if line.startswith(b"ROW ") or line == b"ROW":
        return statements.Row(line)
    if line.startswith(b"DONE "):
        return statements.Done(line)
    words = line.decode(errors="replace").split(" ", 2)
    match words:
        case ["ERR", code, *text]:
            return statements.Failure(
                _CODES.get(code, statements.ErrorCode.OTHER), " ".join([code, *text])
            )
        case ["READY", state, position] if state in _STATES:
            return statements.Ready(_STATES[state], parse_position(position))
        case _:
            return statements.Malformed("unknown kind of message")


def parse_position(text: str) -> positions.Position | None:
    """Parses TERM.NUMBER; None for a blank or a text that is no position."""
    term, point, number = text.partition(".")
    if not point or not term.isdecimal() or not number.isdecimal():
        return None
    return positions.Position(int(term), int(number))


def parse_status(row: bytes) -> statements.MemberStatus | None:
    """Parses the row that answers STATUS, HOLD and DEMOTE; None if it is malformed."""
    words = row.decode(errors="replace").split(" ")
    if len(words) < 8 or words[1] not in ("primary", "replica"):
        return None
    # The fourth field is the term of a HOLD in force, 0 for none, and no term of the log.
    try:
        term = int(words[2])
        lag_ms, busy, connections = float(words[5]), int(words[6]), int(words[7])
    except ValueError:
        return None
    return statements.MemberStatus(
        primary=words[1] == "primary",
        term=term,
        received_position=parse_position(words[3]),
        lag_s=lag_ms / 1000,
        active_statements=busy,
        connections=connections,
    )


def ready(state: statements.TransactionState, position: positions.Position | None) -> bytes:
    """Encodes that a session waits for its next request."""
    return f"READY {_STATE_WORDS[state]} {_position(position)}\r\n".encode()


def done() -> bytes:
    """Encodes the success of a statement that no member ran."""
    return b"DONE -\r\n"


def error(code: statements.ErrorCode, text: str) -> bytes:
    """Encodes that a statement has no result."""
    return f"ERR {_CODE_WORDS[code]} {text}\r\n".encode()


def line(received: bytes) -> bytes:
    """Encodes a line of a member's result for the client."""
    return received + b"\r\n"


def start_member(service: str, caller: str, member: str) -> bytes:
    """Encodes the start of a connection to a member, which checks service and id."""
    return f"START {service} {caller} {member}\r\n".encode()


def query(request_id: str, text: str, after: positions.Position | None = None) -> bytes:
    """Encodes a client's statement for a member.

    Args:
      request_id: The client's id.
      text: The statement as the client sent it.
      after: The position that the member's log must have; None for any.
    """
    prefix = "" if after is None else f"AFTER {_position(after)} "
    return f"QUERY {request_id} {prefix}{text}\r\n".encode()


def execute(name: str, arguments: str) -> str:
    """Returns the text that runs a prepared statement under the name it has at the member."""
    return f"EXEC {name} {arguments}"


def status() -> bytes:
    """Encodes the question for a member's role, term and position."""
    return _own("STATUS")


def demote(term: int) -> bytes:
    """Encodes the order to a primary of a lower term to become a replica."""
    return _own(f"DEMOTE {term}")


def reset() -> bytes:
    """Encodes the order to drop session values and prepared statements."""
    return _own("RESET")


def rollback() -> bytes:
    """Encodes the rollback of a transaction whose client has left."""
    return _own("ROLLBACK")


def set_value(name: str, value: str) -> bytes:
    """Encodes a session value."""
    return _own(f"SET {name} {value}")


def prepare(name: str, access: statements.Access, shape: str) -> bytes:
    """Encodes the preparing of a statement."""
    return _own(f"PREPARE {name} {_ACCESS_WORDS[access]} {shape}")


def _own(text: str) -> bytes:
    return f"QUERY {OWN_ID} {text}\r\n".encode()


def _position(position: positions.Position | None) -> str:
    return "-" if position is None else f"{position.term}.{position.index}"
