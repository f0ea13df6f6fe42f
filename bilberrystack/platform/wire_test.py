"""Tests that messages are not mistaken for others and that statements reach members unchanged."""

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
def test_text_that_is_no_client_statement_is_malformed(text):
    """A client must not send commands to members, nor hide one statement inside another."""
    assert isinstance(wire.parse_statement(text), statements.Malformed)


@pytest.mark.parametrize(
    ("text", "statement"),
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
def test_last_field_of_a_statement_may_contain_spaces(text, statement):
    """Guards against a last field that is cut off at a space: it extends to the end of the line."""
    assert wire.parse_statement(text) == statement


@pytest.mark.parametrize("line", [b"", b"START", b"START ", b"QUERY a", b"QUERY a ", b"\xff\xfe"])
def test_invalid_client_message_is_malformed(line):
    """Bytes that cannot be decoded must cause an error on that connection only."""
    assert isinstance(wire.parse_client_message(line), statements.Malformed)


def test_member_messages_are_distinguished():
    """A row whose data looks like another message type is still a row."""
    assert wire.parse_member_message(b"ROW DONE x") == statements.Row(b"ROW DONE x")
    assert wire.parse_member_message(b"DONE 7.1f") == statements.Done(b"DONE 7.1f")
    failure = wire.parse_member_message(b"ERR READONLY i-1")
    assert failure == statements.Failure(statements.ErrorCode.READ_ONLY, "READONLY i-1")
    unknown = wire.parse_member_message(b"ERR NEWCODE x")
    assert unknown == statements.Failure(statements.ErrorCode.OTHER, "NEWCODE x")
    ready = statements.Ready(statements.TransactionState.FAILED, positions.Position(3, 12))
    assert wire.parse_member_message(b"READY E 3.12") == ready
    assert wire.parse_member_message(b"READY I -") == statements.Ready(
        statements.TransactionState.IDLE, None
    )
    assert isinstance(wire.parse_member_message(b"READY X -"), statements.Malformed)


def test_term_of_a_hold_is_not_read_as_the_members_term():
    """Otherwise a replica that received a HOLD would look as if a promotion had taken effect."""
    status = wire.parse_member_status(b"ROW replica 3 3.1209 9 12 2 17")
    assert status == statements.MemberStatus(
        False, 3, positions.Position(3, 1209), 0.012, 2, 17, held=True
    )
    assert wire.parse_member_status(b"ROW replica x 3.1209 9 12 2 17") is None
    assert wire.parse_member_status(b"ROW") is None


def test_statement_text_is_sent_unchanged():
    """Guards against a changed text: members check the text that the client sent."""
    min_position = positions.Position(3, 1207)
    assert (
        wire.encode_query("5c", "READ 1a4", min_position) == b"QUERY 5c AFTER 3.1207 READ 1a4\r\n"
    )
    assert wire.encode_query("5c", "WRITE 1a4 x  y ") == b"QUERY 5c WRITE 1a4 x  y \r\n"


@pytest.mark.parametrize(
    "line",
    [
        *(b"DONE 7.1fDONE 7.2a", b"DONE 7.1fERR BUSY a", b"DONE 7.1fREADY I 1.1"),
        *(b"ERR BUSY aDONE 7.2a", b"ERR BUERR BUSY a", b"ERR BUSY aROW x", b"DOROW x"),
        *(b"READY I 1.ROW x", b"READY I 1.DONE 7.2a"),
    ],
)
def test_a_message_that_was_cut_off_is_no_part_of_the_next(line):
    """Guards against a write that ran and is taken as rejected, or that has a wrong proof."""
    assert isinstance(wire.parse_member_message(line), statements.Malformed)
