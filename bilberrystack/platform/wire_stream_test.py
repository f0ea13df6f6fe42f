"""Tests that messages of any characters arrive as they were sent, wherever their bytes are cut."""

import asyncio
import re

import hypothesis
from hypothesis import strategies

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import line_stream
from bilberrystack.routing import statements

EXAMPLES = hypothesis.settings(max_examples=150, derandomize=True, database=None, deadline=None)

# Line ends, words of the protocol and other separators come more often than by chance.
PIECES = strategies.one_of(
    strategies.sampled_from(["\r", "\n", "\r\n", " ", "\t", "\u2028", "\x85", "\x00", "\x1e", "-"]),
    strategies.sampled_from(["READY I -", "DONE ", "QUERY w2 WRITE y 2", "COMMIT", "AFTER 1.2 "]),
    strategies.text(max_size=4),
)
ANY_TEXT = strategies.lists(PIECES, max_size=6).map("".join)
DATA = ANY_TEXT.map(lambda text: re.sub("\r+\n", "\n", text))
LAST_FIELD = DATA.map(lambda text: text or "x")
INNER_FIELD = DATA.map(lambda text: re.sub("\r+\n", "\n", text.replace(" ", "")) or "x")
REQUEST_ID = INNER_FIELD.map(lambda text: "--" if text == "-" else text)
POSITION = strategies.builds(
    positions.Position, strategies.integers(0, 10**18 - 1), strategies.integers(0, 10**18 - 1)
)
ACCESS = strategies.sampled_from(statements.Access)
STATE = strategies.sampled_from(statements.TransactionState)
ERROR_CODE = strategies.sampled_from(
    [code for code in statements.ErrorCode if code is not statements.ErrorCode.OTHER]
)


def _received(data, cuts):
    """Return the lines that a reader gets from bytes that arrive in several parts."""

    async def read():
        reader = asyncio.StreamReader(limit=wire.MAX_LINE_BYTES)
        lines = []

        async def read_lines():
            while True:
                lines.append(await line_stream.read_line(reader))

        task = asyncio.ensure_future(read_lines())
        start = 0
        for cut in [*sorted(cut % (len(data) + 1) for cut in cuts), len(data)]:
            reader.feed_data(data[start:cut])
            start = cut
            await asyncio.sleep(0)
        reader.feed_eof()
        await asyncio.wait({task})
        error = task.exception()
        assert isinstance(error, asyncio.IncompleteReadError) and error.partial == b""
        return lines

    return asyncio.run(read())


CUTS = strategies.lists(strategies.integers(0, 10_000), max_size=12)


@strategies.composite
def _client_messages(draw):
    """Draw a message that a client sends, its line, and its statement if it is a query."""
    item, name, data = draw(INNER_FIELD), draw(INNER_FIELD), draw(DATA)
    access, last, value = draw(ACCESS), draw(LAST_FIELD), draw(DATA)
    word = access.value.upper()
    text, statement = draw(
        strategies.sampled_from(
            [
                ("BEGIN", statements.Begin(False)),
                ("BEGIN READ", statements.Begin(True)),
                ("COMMIT", statements.Commit()),
                ("ROLLBACK", statements.Rollback()),
                (f"READ {last}", statements.DirectStatement(statements.Access.READ)),
                (f"WRITE {item} {data}", statements.DirectStatement(statements.Access.WRITE)),
                (f"SET {name} {value}", statements.SetValue(name, value)),
                (f"PREPARE {name} {word} {last}", statements.Prepare(name, access, last)),
                (f"EXEC {name} {item} {data}", statements.Execute(name, f"{item} {data}")),
                (f"FORGET {last}", statements.Forget(last)),
            ]
        )
    )
    return statements.Query(draw(REQUEST_ID), text), statement


@EXAMPLES
@hypothesis.given(strategies.lists(_client_messages(), min_size=1, max_size=5), CUTS)
def test_messages_of_clients_arrive_as_sent(messages, cuts):
    """Guards against a statement that is cut, joined to the next one, or changed at the member.

    The member reads from the connection what the proxy encodes from the client's messages.
    """
    sent = "".join(f"QUERY {query.id} {query.text}\r\n" for query, _ in messages).encode()
    lines = _received(sent, cuts)
    received = [wire.parse_client_message(line) for line in lines]
    assert received == [query for query, _ in messages]
    assert [wire.parse_statement(query.text) for query in received] == [
        statement for _, statement in messages
    ]
    passed_on = b"".join(wire.encode_query(query.id, query.text) for query in received)
    assert _received(passed_on, cuts) == lines


# The beginnings of messages. In a proof, or in the text of a code that promises that nothing ran,
# they show that a message was cut off and that another one follows.
MESSAGES = ("ROW ", "DONE ", "ERR ", "READY ")
FREE_TEXT_CODES = (statements.ErrorCode.FAILED, statements.ErrorCode.TIMEOUT)


def _holds_message(text):
    return any(message in text for message in MESSAGES)


@EXAMPLES
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.lists(DATA, max_size=3), LAST_FIELD, STATE, POSITION),
        min_size=1,
        max_size=3,
    ),
    CUTS,
)
def test_results_of_members_arrive_as_sent(answers, cuts):
    """Guards against a row or a proof that is cut, or taken for a message of another kind."""
    sent, expected = b"", []
    for rows, proof, state, position in answers:
        lines = [*(f"ROW {row}".encode() for row in rows), f"DONE {proof}".encode()]
        sent += b"".join(line + b"\r\n" for line in lines) + wire.encode_ready(state, position)
        done = None if _holds_message(proof) else statements.Done(lines[-1])
        expected += [*map(statements.Row, lines[:-1]), done, statements.Ready(state, position)]
    received = [wire.parse_member_message(line) for line in _received(sent, cuts)]
    assert len(received) == len(expected)
    for message, sent_message in zip(received, expected, strict=True):
        if sent_message is None:
            assert isinstance(message, statements.Malformed)
        else:
            assert message == sent_message
    for message in received:
        if isinstance(message, statements.Row | statements.Done):
            assert _received(wire.encode_result_line(message.line), cuts) == [message.line]


@EXAMPLES
@hypothesis.given(ERROR_CODE, LAST_FIELD, CUTS)
def test_error_texts_arrive_as_sent(code, text, cuts):
    """Guards against an error text that ends its line, and with it the answer."""
    (line,) = _received(wire.encode_error(code, text), cuts)
    received = wire.parse_member_message(line)
    if _holds_message(text) and code not in FREE_TEXT_CODES:
        assert isinstance(received, statements.Malformed)
    else:
        assert received.code is code and received.text.split(" ", 1)[1] == text


@EXAMPLES
@hypothesis.given(strategies.tuples(ANY_TEXT, ANY_TEXT, ANY_TEXT), ACCESS, POSITION, CUTS)
def test_an_encoder_returns_one_line_or_none(texts, access, position, cuts):
    """Guards against a field of another process that adds a message or a field."""
    first, second, third = texts
    after = ["AFTER", f"{position.term}.{position.index}"]
    word = access.value.upper()
    sent, expected = b"", []
    for encode, fields in (
        (lambda: wire.encode_query(first, second), ["QUERY", first, second]),
        (lambda: wire.encode_query(first, second, position), ["QUERY", first, *after, second]),
        (lambda: wire.encode_set_value(first, second), ["QUERY", "-", "SET", first, second]),
        (
            lambda: wire.encode_prepare(first, access, second),
            ["QUERY", "-", "PREPARE", first, word, second],
        ),
        (lambda: wire.encode_member_start(first, second, third), ["START", first, second, third]),
    ):
        try:
            sent += encode()
            expected.append(fields)
        except interfaces.NotEncodable:
            assert not _can_be_carried(fields)
    received = [line.decode() for line in _received(sent, cuts)]
    assert [
        line.split(" ", len(fields) - 1) for line, fields in zip(received, expected, strict=True)
    ] == expected


def _can_be_carried(fields):
    """Return whether a line has these fields only, and a client may have sent its id."""
    *inner, last = fields
    own_statement = fields[:2] == ["QUERY", "-"] and fields[2] in ("SET", "PREPARE")
    return (
        "\r\n" not in " ".join(fields)
        and all(inner)
        and " " not in "".join(inner)
        and (own_statement or (last != "" and fields[1] != "-"))
    )
