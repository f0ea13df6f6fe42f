"""The line protocol of clients and members.

A message is one line that ends in CR LF: a message type, then fields separated by single spaces.
The last field extends to the end of the line and may contain spaces.

The `encode_` functions return bytes with the line end, ready to be sent. They raise NotEncodable
for a field that its message can't carry: one with CR LF or without a UTF-8 form, one before the
last with a blank, and an empty one. Only the last field of a client's own text may be empty. A
message that would be too long is TooLong, a kind of NotEncodable.
"""

import collections.abc
import math

from bilberrystack.core import positions
from bilberrystack.pooling import interfaces
from bilberrystack.routing import statements

# Maximum length of a message, without its line end, as the protocol specifies.
MAX_LINE_BYTES = 1_048_576

# Longest number of a member that the messages between instances can carry.
MAX_DIGITS = 18

# Longest text that the proxy adds before a statement: AFTER, a position and two blanks.
_MAX_POSITION_PREFIX_BYTES = len("AFTER ") + 2 * MAX_DIGITS + len(". ")

# Request id that the protocol reserves for statements that the proxy itself issues.
PROXY_REQUEST_ID = "-"

_LINE_END = "\r\n"
_PROXY_QUERY = ["QUERY", PROXY_REQUEST_ID]

_ERROR_CODES = {
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
    "NOAUTH": statements.ErrorCode.NOT_AUTHORIZED,
    "TOOBIG": statements.ErrorCode.TOO_BIG,
    "BAD": statements.ErrorCode.BAD,
}
# OTHER stands for error codes of members that the proxy does not know; clients receive FAILED.
_ERROR_WORDS = {code: word for word, code in _ERROR_CODES.items()} | {
    statements.ErrorCode.OTHER: "FAILED"
}
# Codes of statements that ran. Their text may be any; taking another message in it for a part of
# the text promises nothing to the client.
_FREE_TEXT_CODES = (statements.ErrorCode.FAILED, statements.ErrorCode.TIMEOUT)
_TRANSACTION_STATES = {
    "I": statements.TransactionState.IDLE,
    "T": statements.TransactionState.TRANSACTION,
    "E": statements.TransactionState.FAILED,
}
_TRANSACTION_STATE_WORDS = {state: word for word, state in _TRANSACTION_STATES.items()}
_ACCESS_MODES = {"READ": statements.Access.READ, "WRITE": statements.Access.WRITE}
_ACCESS_WORDS = {access: word for word, access in _ACCESS_MODES.items()}


def parse_client_message(line: bytes) -> statements.ClientMessage:
    """Parse a message of a client.

    Args:
      line: The line without its line end.
    Returns:
      The message; Malformed if the line is not a valid message. A QUERY whose id or text can't be
      passed on unchanged is a RefusedQuery, since the protocol answers each QUERY with READY.
    """
    try:
        text = line.decode()
    except UnicodeDecodeError:
        if line.startswith(b"QUERY "):
            return statements.RefusedQuery("the line is not UTF-8")
        return statements.Malformed("the line is not UTF-8")
    word, _, rest = text.partition(" ")
    match word:
        case "START":
            return _parse_start(rest)
        case "QUERY":
            request_id, separator, statement_text = rest.partition(" ")
            if not separator or not statement_text:
                return statements.Malformed("QUERY without a request id or a statement")
            if request_id in ("", PROXY_REQUEST_ID):
                return statements.RefusedQuery("the request id is empty or reserved")
            return statements.Query(request_id, statement_text)
        case "BYE":
            return statements.Goodbye()
        case _:
            return statements.Malformed("unknown message type")


def _parse_start(fields: str) -> statements.Start | statements.Malformed:
    database, separator, key = fields.partition(" ")
    if not database:
        return statements.Malformed("START without a database name")
    if not separator:
        return statements.Start(database)
    if not key:
        return statements.Malformed("START with an empty key")
    if " " in key:
        return statements.Malformed("START with too many fields")
    return statements.Start(database, key)


def parse_statement(text: str) -> statements.Statement:
    """Parse the text of a client's statement.

    Statements that only the proxy may send to a member are not accepted from a client, such as
    DEMOTE or a statement with the prefix AFTER.

    Args:
      text: The statement as the client sent it.
    Returns:
      The statement; Malformed if the text is not a valid statement of a client.
    """
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
        case ["READ", *item] if " ".join(item):
            return statements.DirectStatement(statements.Access.READ)
        case ["WRITE", item, _, *_] if item:
            return statements.DirectStatement(statements.Access.WRITE)
        case ["SET", name, value, *rest] if name:
            return statements.SetValue(name, " ".join([value, *rest]))
        case ["PREPARE", name, access, shape, *rest] if name and access in _ACCESS_MODES:
            return statements.Prepare(name, _ACCESS_MODES[access], " ".join([shape, *rest]))
        case ["EXEC", name, item, *rest] if name and item:
            return statements.Execute(name, " ".join([item, *rest]))
        case ["FORGET", *name] if " ".join(name):
            return statements.Forget(" ".join(name))
        case _:
            return statements.Malformed("unknown statement")


def parse_member_message(line: bytes) -> statements.MemberMessage:
    """Parse a message of a member.

    Args:
      line: The line without its line end.
    Returns:
      The message; Malformed if the line is not a valid message. The text of a Failure starts with
      the member's error code, so that a code that the proxy does not know is preserved.
    """
    if line.startswith(b"ROW ") or line == b"ROW":
        return statements.Row(line)
    words = line.decode(errors="replace").split(" ", 2)
    code = _ERROR_CODES.get(words[1], statements.ErrorCode.OTHER) if len(words) > 1 else None
    if _contains_message(line) and not (words[0] == "ERR" and code in _FREE_TEXT_CODES):
        return statements.Malformed("a message that was cut off, and another one")
    if line.startswith(b"DONE "):
        return statements.Done(line)
    match words:
        case ["ERR", word, *text]:
            assert code is not None
            return statements.Failure(code, " ".join([word, *text]))
        case ["READY", state, position] if state in _TRANSACTION_STATES:
            return statements.Ready(_TRANSACTION_STATES[state], parse_position(position))
        case _:
            return statements.Malformed("unknown message type")


def _contains_message(line: bytes) -> bool:
    """Return whether another message begins inside a line that is no row.

    A member may send an answer a second time and cut it off. What it sends next then continues the
    line, and a write that ran could be taken as rejected.
    """
    return (
        line.find(b"DONE ", 1) > 0
        or line.find(b"ERR ", 1) > 0
        or line.find(b"READY ", 1) > 0
        or line.find(b"ROW ", 1) > 0
    )


def may_join_rows(row: bytes) -> bool:
    """Return whether a row may be one that was cut off inside its text and continued by another.

    Data may look like that, too.

    Args:
      row: The line of the row, without its line end.
    """
    return row.find(b"ROW ", 1) > 0 or row.endswith(b"ROW", 1)


def parse_proof(done: bytes) -> bytes | None:
    """Return the proof in the last line of a result.

    Args:
      done: The line, without its line end.
    Returns:
      The proof; None if the member has answered without running a read, a write or a commit.
    """
    proof = done.removeprefix(b"DONE ")
    return None if proof in (b"", b"-") else proof


def parse_position(text: str) -> positions.Position | None:
    """Parse a log position of the form TERM.INDEX; return None for any other text, such as "-"."""
    term, point, index = text.partition(".")
    if not point or not _is_count(term) or not _is_count(index):
        return None
    return positions.Position(int(term), int(index))


def _is_count(text: str) -> bool:
    """Return whether a text is a number that the messages between instances can carry."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS


def parse_member_status(row: bytes) -> statements.MemberStatus | None:
    """Parse the row with which a member answers STATUS, HOLD and DEMOTE.

    Args:
      row: The line of the row, with the leading ROW and without its line end.
    Returns:
      The member's status; None if the row is malformed.
    """
    words = row.decode(errors="replace").split(" ")
    if len(words) < 8 or words[1] not in ("primary", "replica"):
        return None
    # Fields after ROW: role, newest known term, received position, term of the HOLD in force (0 if
    # there is none), replication lag in milliseconds, active statements, connections. The term of a
    # HOLD says nothing about the member's log or about a completed promotion.
    if not all(map(_is_count, (words[2], words[4], *words[6:8]))):
        return None
    try:
        term, held_term = int(words[2]), int(words[4])
        lag_ms, active_statements, connections = float(words[5]), int(words[6]), int(words[7])
    except ValueError:
        return None
    if not math.isfinite(lag_ms):
        return None
    return statements.MemberStatus(
        primary=words[1] == "primary",
        term=term,
        received_position=parse_position(words[3]),
        lag_s=lag_ms / 1000,
        active_statements=active_statements,
        connections=connections,
        held=held_term > 0,
    )


def encode_ready(state: statements.TransactionState, position: positions.Position | None) -> bytes:
    """Encode the message that a session is ready for its next statement.

    Args:
      state: Transaction state of the session.
      position: Log position after the last statement; None if there is none.
    """
    return _encode_message(["READY", _TRANSACTION_STATE_WORDS[state]], _format_position(position))


def encode_done() -> bytes:
    """Encode the success of a statement that the proxy answers without a member."""
    return _encode_message(["DONE"], "-")


def encode_error(code: statements.ErrorCode, text: str) -> bytes:
    """Encode the message that a statement or a session failed.

    Args:
      code: Reason of the failure.
      text: Explanation for the client.
    Raises:
      interfaces.NotEncodable: The message can't carry the text.
    """
    return _encode_message(["ERR", _ERROR_WORDS[code]], text)


def encode_result_line(received: bytes) -> bytes:
    """Encode a line of a member's result for the client.

    Args:
      received: The line as received from the member, without its line end.
    Raises:
      interfaces.NotEncodable: It is empty, more than one line or too long.
    """
    _check_length(received)
    if not received or _LINE_END.encode() in received:
        raise interfaces.NotEncodable("the line of the result is not one line")
    return received + _LINE_END.encode()


def encode_member_start(service: str, client_name: str, member: str) -> bytes:
    """Encode the first message on a connection to a member.

    The member rejects the connection if the group or the id is not its own.

    Args:
      service: Name of the database group.
      client_name: Name of the client account that uses the connection, or of this instance.
      member: Id of the member.
    Raises:
      interfaces.NotEncodable: The message can't carry one of the names.
    """
    return _encode_message(["START", service, client_name], member)


def encode_query(
    request_id: str, text: str, min_position: positions.Position | None = None
) -> bytes:
    """Encode a client's statement for a member.

    Args:
      request_id: Request id that the client chose.
      text: The statement as the client sent it.
      min_position: Log position that the member must have reached to run the statement; None if
        any position will do.
    Raises:
      interfaces.NotEncodable: The message can't carry the id or the text.
    """
    if request_id == PROXY_REQUEST_ID:
        raise interfaces.NotEncodable("the request id is reserved")
    prefix = [] if min_position is None else ["AFTER", _format_position(min_position)]
    return _encode_message(["QUERY", request_id, *prefix], text)


def has_room_for_position(request_id: str, text: str) -> bool:
    """Return whether a statement can be sent with any position that a member has to have.

    Args:
      request_id: Request id that the client chose.
      text: The statement as it is sent to the member.
    """
    longest = len(f"QUERY {request_id} {text}{_LINE_END}".encode()) + _MAX_POSITION_PREFIX_BYTES
    return longest <= MAX_LINE_BYTES


def format_execute(name: str, arguments: str) -> str:
    """Return the text of a statement that runs a prepared statement.

    Args:
      name: Name of the prepared statement at the member.
      arguments: Text that follows the name.
    """
    return f"EXEC {name} {arguments}"


def encode_status_query() -> bytes:
    """Encode the query for a member's role, term, log position and load."""
    return _encode_proxy_query("STATUS")


def encode_demote(term: int) -> bytes:
    """Encode the command that makes a primary of a lower term a replica.

    Args:
      term: The new term, higher than the newest term that the proxy knows.
    """
    return _encode_proxy_query(f"DEMOTE {term}")


def encode_hold(term: int) -> bytes:
    """Encode the command that stops a replica from receiving log entries.

    Args:
      term: A term above the newest one that the proxy knows.
    """
    return _encode_proxy_query(f"HOLD {term}")


def encode_resume() -> bytes:
    """Encode the command that ends a HOLD."""
    return _encode_proxy_query("RESUME")


def encode_reset() -> bytes:
    """Encode the command that discards a connection's session values and prepared statements."""
    return _encode_proxy_query("RESET")


def encode_read_only_begin() -> bytes:
    """Encode the beginning of a transaction that only reads, and that no client has requested."""
    return _encode_proxy_query("BEGIN READ")


def encode_rollback() -> bytes:
    """Encode the rollback of the transaction that is open on a connection to a member."""
    return _encode_proxy_query("ROLLBACK")


def encode_set_value(name: str, value: str) -> bytes:
    """Encode the statement that sets a session value on a connection to a member.

    Args:
      name: Name of the value.
      value: The value, which may be empty.
    Raises:
      interfaces.NotEncodable: The message can't carry the name or the value.
    """
    return _encode_message([*_PROXY_QUERY, "SET", name], value, may_be_empty=True)


def encode_prepare(name: str, access: statements.Access, text: str) -> bytes:
    """Encode the statement that prepares a statement at a member.

    Args:
      name: Name of the prepared statement at the member.
      access: Whether the prepared statement reads or writes.
      text: Text of the prepared statement, which may be empty.
    Raises:
      interfaces.NotEncodable: The message can't carry the name or the text.
    """
    fields = [*_PROXY_QUERY, "PREPARE", name, _ACCESS_WORDS[access]]
    return _encode_message(fields, text, may_be_empty=True)


def _encode_proxy_query(text: str) -> bytes:
    return _encode_message(_PROXY_QUERY, text)


def _encode_message(
    fields: collections.abc.Sequence[str], last: str, *, may_be_empty: bool = False
) -> bytes:
    """Encode a message.

    Args:
      fields: The message type and the fields before the last one.
      last: The last field, which may contain blanks.
      may_be_empty: Whether the last field may be empty.
    Raises:
      interfaces.NotEncodable: The message can't carry one of the fields.
    """
    if not all(fields) or not (last or may_be_empty):
        raise interfaces.NotEncodable("a field is empty")
    if any(" " in field for field in fields):
        raise interfaces.NotEncodable("a field before the last one has a blank")
    text = " ".join([*fields, last])
    if _LINE_END in text:
        raise interfaces.NotEncodable("a field has a line end")
    try:
        line = text.encode()
    except UnicodeEncodeError as error:
        raise interfaces.NotEncodable("a field has no UTF-8 form") from error
    _check_length(line)
    return line + _LINE_END.encode()


def _check_length(line: bytes) -> None:
    if len(line) > MAX_LINE_BYTES:
        raise interfaces.TooLong("the message would be longer than 1 MiB")


def _format_position(position: positions.Position | None) -> str:
    return "-" if position is None else f"{position.term}.{position.index}"
