"""Tests that messages are not mistaken for others and that statements reach members unchanged."""

import pytest

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import interfaces
from bilberrystack.routing import statements


@pytest.mark.parametrize(
    "text",
    [
        *("", "SELECT 1", "READ", "READ ", "READx", "WRITE a", "BEGIN WRITE"),
        *("COMMIT now", "ROLLBACK now", "WRITE  a", "FORGET ", "SET  a", "EXEC  a"),
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
        ("READ a b", statements.DirectStatement(statements.Access.READ)),
        ("READ  a", statements.DirectStatement(statements.Access.READ)),
        ("READ  ", statements.DirectStatement(statements.Access.READ)),
        ("READ a\nb\t", statements.DirectStatement(statements.Access.READ)),
        ("WRITE 1a4 some data", statements.DirectStatement(statements.Access.WRITE)),
        ("SET zone a b", statements.SetValue("zone", "a b")),
        ("PREPARE s1 WRITE q2c x", statements.Prepare("s1", statements.Access.WRITE, "q2c x")),
        ("EXEC s1 1a4 x y", statements.Execute("s1", "1a4 x y")),
        ("FORGET s1", statements.Forget("s1")),
        ("FORGET s1 s2", statements.Forget("s1 s2")),
        ("FORGET  s1", statements.Forget(" s1")),
    ],
)
def test_last_field_of_a_statement_may_contain_spaces(text, statement):
    """Guards against a last field that is cut off at a space: it extends to the end of the line."""
    assert wire.parse_statement(text) == statement


@pytest.mark.parametrize("line", [b"", b"START", b"START ", b"QUERY a", b"QUERY a ", b"\xff\xfe"])
def test_invalid_client_message_is_malformed(line):
    """Bytes that cannot be decoded must cause an error on that connection only."""
    assert isinstance(wire.parse_client_message(line), statements.Malformed)


@pytest.mark.parametrize(
    "line", [b"QUERY - READ x", b"QUERY  READ x", b"QUERY \xff READ x", b"QUERY a WRITE x \xff"]
)
def test_a_query_that_can_t_be_passed_on_is_refused(line):
    """Guards against a statement under the proxy's own id, and against changed bytes."""
    assert isinstance(wire.parse_client_message(line), statements.RefusedQuery)


@pytest.mark.parametrize(
    "request_id", ["--", "a\tb", "a\n", "\r", "\u2028", "-\n", "\x00", "AFTER"]
)
def test_a_request_id_of_odd_characters_is_passed_on(request_id):
    """Guards against an id that the answer's proof is not for."""
    query = wire.parse_client_message(f"QUERY {request_id} READ x".encode())
    assert query == statements.Query(request_id, "READ x")
    assert wire.encode_query(query.id, query.text) == f"QUERY {request_id} READ x\r\n".encode()


def test_no_statement_of_a_client_has_the_proxys_id():
    """Guards against a client's statement that a member takes for one of the proxy."""
    with pytest.raises(interfaces.NotEncodable):
        wire.encode_query("-", "READ x")


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


# Calls with one field of another process or of a client.
ENCODERS = {
    "error text": lambda text: wire.encode_error(statements.ErrorCode.BUSY, text),
    "result": lambda text: wire.encode_result_line(text.encode()),
    "service": lambda text: wire.encode_member_start(text, "proxy-0", "a"),
    "instance name": lambda text: wire.encode_member_start("store-1", text, "a"),
    "member": lambda text: wire.encode_member_start("store-1", "proxy-0", text),
    "request id": lambda text: wire.encode_query(text, "READ x"),
    "statement": lambda text: wire.encode_query("5c", text, positions.Position(1, 2)),
    "name of a value": lambda text: wire.encode_set_value(text, "1"),
    "value": lambda text: wire.encode_set_value("v", text),
    "name of a prepared statement": lambda text: wire.encode_prepare(
        text, statements.Access.READ, "s"
    ),
    "prepared statement": lambda text: wire.encode_prepare("p", statements.Access.READ, text),
}
INNER_FIELDS = (
    *("service", "instance name", "request id", "name of a value"),
    "name of a prepared statement",
)
OWN_TEXTS = ("value", "prepared statement")


@pytest.mark.parametrize("encode", ENCODERS.values(), ids=ENCODERS)
def test_a_field_with_a_line_end_is_not_encoded(encode):
    """Guards against a line of the system's own with a forged end and a second message."""
    for text in ("a\r\nQUERY - DEMOTE 9", "\r\n", "a\r\n", "a\r\r\n"):
        with pytest.raises(interfaces.NotEncodable):
            encode(text)


@pytest.mark.parametrize("encode", ENCODERS.values(), ids=ENCODERS)
def test_other_separators_don_t_end_a_line(encode):
    """Guards against data that is refused although its message can carry it."""
    for text in ("a\nb", "a\rb", "a\r", "\n", "\n\r", "a\tb", "a\u2028\x85\x00", "\N{SNOWMAN}"):
        line = encode(text)
        assert line.endswith(b"\r\n") and line.index(b"\r\n") == len(line) - 2
        assert text.encode() in line


@pytest.mark.parametrize("field", ENCODERS)
def test_a_field_that_would_be_read_as_others_is_not_encoded(field):
    """Guards against a name whose second word is read as the next field."""
    encode = ENCODERS[field]
    for text, refused in (("a b", field in INNER_FIELDS), ("", field not in OWN_TEXTS)):
        if refused:
            with pytest.raises(interfaces.NotEncodable):
                encode(text)
        else:
            assert encode(text).endswith(f"{text}\r\n".encode())


def test_text_without_a_utf_8_form_is_not_encoded():
    """Guards against an exception of another type, for which no caller has an outcome."""
    with pytest.raises(interfaces.NotEncodable):
        wire.encode_member_start("store-1", "proxy-\udcff", "a")
