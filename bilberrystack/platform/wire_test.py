"""Guards against messages that are taken for others, and against texts that change on the way."""

import pytest

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.routing import statements


@pytest.mark.parametrize(
    "text",
    [
        *("", "SELECT 1", "READ", "READ a b", "READ ", "WRITE a", "BEGIN WRITE", "COMMIT now"),
        *("SET", "SET a", "PREPARE a b c", "PREPARE a READ", "EXEC", "EXEC a", "FORGET"),
        *("STATUS", "DEMOTE 9", "HOLD 9", "RESET", "AFTER 1.2 READ a", "begin"),
    ],
)
def test_what_is_no_statement_of_a_client_is_malformed(text):
    """A client must not give orders to members, nor smuggle a statement into another one."""
    assert isinstance(wire.parse_statement(text), statements.Malformed)


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("BEGIN", statements.Begin(False)),
        ("BEGIN READ", statements.Begin(True)),
        ("READ 1a4", statements.DirectStatement(statements.Access.READ)),
        ("WRITE 1a4 some data", statements.DirectStatement(statements.Access.WRITE)),
        ("SET zone a b", statements.SetValue("zone", "a b")),
        ("PREPARE s1 WRITE q2c x", statements.Prepare("s1", statements.Access.WRITE, "q2c x")),
        ("EXEC s1 1a4 x y", statements.Execute("s1", "1a4 x y")),
        ("FORGET s1", statements.Forget("s1")),
    ],
)
def test_statements_keep_the_rest_of_their_line(text, found):
    """The last field extends to the end of the line."""
    assert wire.parse_statement(text) == found


@pytest.mark.parametrize("line", [b"", b"START", b"START ", b"QUERY a", b"QUERY a ", b"\xff\xfe"])
def test_lines_that_are_no_messages_are_malformed(line):
    """Unreadable bytes must end in an error of that connection alone."""
    assert isinstance(wire.parse_client(line), statements.Malformed)


def test_members_lines_are_told_apart():
    """A row that begins like another kind is still a row."""
    assert wire.parse_member(b"ROW DONE x") == statements.Row(b"ROW DONE x")
    assert wire.parse_member(b"DONE 7.1f") == statements.Done(b"DONE 7.1f")
    failure = wire.parse_member(b"ERR READONLY i-1")
    assert failure == statements.Failure(statements.ErrorCode.READ_ONLY, "READONLY i-1")
    unknown = wire.parse_member(b"ERR NEWCODE x")
    assert unknown == statements.Failure(statements.ErrorCode.OTHER, "NEWCODE x")
    ready = statements.Ready(statements.TransactionState.FAILED, positions.Position(3, 12))
    assert wire.parse_member(b"READY E 3.12") == ready
    assert wire.parse_member(b"READY I -") == statements.Ready(
        statements.TransactionState.IDLE, None
    )
    assert isinstance(wire.parse_member(b"READY X -"), statements.Malformed)


def test_a_hold_is_no_term_of_the_log():
    """A replica that was told to hold would look as if a promotion had taken effect."""
    found = wire.parse_status(b"ROW replica 3 3.1209 9 12 2 17")
    assert found == statements.MemberStatus(False, 3, positions.Position(3, 1209), 0.012, 2, 17)
    assert wire.parse_status(b"ROW replica x 3.1209 9 12 2 17") is None
    assert wire.parse_status(b"ROW") is None


def test_a_forwarded_text_is_unchanged():
    """Members check the text that the client sent."""
    after = positions.Position(3, 1207)
    assert wire.query("5c", "READ 1a4", after) == b"QUERY 5c AFTER 3.1207 READ 1a4\r\n"
    assert wire.query("5c", "WRITE 1a4 x  y ") == b"QUERY 5c WRITE 1a4 x  y \r\n"
