"""Tests that no message is longer than 1 MiB, and that longer ones have a complete outcome."""

import asyncio

import msgspec
import pytest

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import frames
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import session as client_session
from bilberrystack.routing import statements
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

MAX_BYTES = wire.MAX_LINE_BYTES


async def _connect(site, database):
    """Open a session of a client that reads lines of any length."""
    endpoint = site.settings[0].sessions_endpoint
    reader, writer = await asyncio.open_connection(
        endpoint.host, endpoint.port, limit=4 * MAX_BYTES
    )
    client = line_site.Client(reader, writer)
    assert await client.send(f"START {database} tester") == ["READY I -"]
    return client


def _padded(text, length=MAX_BYTES):
    """Return a message of a length in bytes, of which the first characters are given."""
    return text + "x" * (length - len(text))


async def test_a_message_at_the_limit_is_passed_on():
    """Guards against a statement that is refused although the protocol allows it."""
    async with line_site.Site(1) as site:
        session = await _connect(site, "strict")
        message = _padded("QUERY w1 WRITE x ")
        assert (await session.send(message))[0] == "DONE proof-a-w1"
        text = message.removeprefix("QUERY w1 ")
        assert site.group.executed_statements[0].text == text
        row, done, _ = await session.send("QUERY r1 READ x")
        assert row == "ROW " + text.removeprefix("WRITE x ") and done == "DONE proof-a-r1"


@pytest.mark.parametrize("excess", [1, 2, 8_000_000])
async def test_a_message_above_the_limit_is_refused_completely(excess):
    """Guards against a refusal that the client never reads, because the connection is reset."""
    async with line_site.Site(1) as site:
        session = await _connect(site, "strict")
        await session.query("BEGIN")
        await session.query("WRITE y 1")
        answer = await session.send(_padded("QUERY w1 WRITE x ", MAX_BYTES + excess))
        assert len(answer) == 1 and answer[0].startswith("ERR TOOBIG")
        assert await session.read_answer() == []
        assert [run.text for run in site.group.executed_statements] == ["WRITE y 1"]
        assert (await (await _connect(site, "strict")).query("READ y"))[0] == "ROW -"
        assert site.group.committed_entries == []


@pytest.mark.parametrize("database", ["aged", "own"])
@pytest.mark.parametrize("in_transaction", [False, True])
async def test_a_read_without_room_for_a_position_runs_at_the_primary(database, in_transaction):
    """Guards against a message that AFTER makes longer than a member accepts."""
    async with line_site.Site(1) as site:
        session = await _connect(site, database)
        await session.query("WRITE x 1")
        if in_transaction:
            await session.query("BEGIN READ")
        message = _padded("QUERY r1 READ ")
        assert (await session.send(message))[1] == "DONE proof-a-r1"
        executed = site.group.executed_statements[-1]
        assert (executed.member_id, executed.text) == ("a", message.removeprefix("QUERY r1 "))


async def test_statements_that_a_member_knows_under_a_longer_name_are_refused():
    """Guards against a message that is too long only at the member.

    Nothing runs, and the session and its transaction go on.
    """
    async with line_site.Site(1) as site:
        session = await _connect(site, "strict")
        answer = await session.send(_padded("QUERY q PREPARE p WRITE "))
        assert answer[0].startswith("ERR TOOBIG") and answer[1].startswith("READY I")
        await session.query("PREPARE p WRITE s")
        await session.query("BEGIN")
        answer = await session.send(_padded("QUERY w EXEC p x "))
        assert answer[0].startswith("ERR TOOBIG") and answer[1].startswith("READY T")
        assert (await session.query("EXEC p x 1", "w1"))[0] == "DONE proof-a-w1"
        assert (await session.query("COMMIT", "c1"))[0] == "DONE proof-a-c1"
        assert site.group.committed_entries[0].writes == (("x", "1"),)


async def test_a_begin_without_room_for_a_position_is_refused():
    """Guards against a BEGIN READ that a member refuses only after the client's first read."""
    async with line_site.Site(1) as site:
        session = await _connect(site, "aged")
        request_id = "b" * (MAX_BYTES - len("QUERY  BEGIN READ"))
        answer = await session.send(f"QUERY {request_id} BEGIN READ")
        assert answer[0].startswith("ERR TOOBIG") and answer[1].startswith("READY I")
        assert (await session.query("READ x", "r1"))[0] == "ROW -"


@pytest.mark.parametrize(
    ("text", "outcome"), [("WRITE x 1", "ERR UNSURE"), ("READ x", "ERR FAILED")]
)
async def test_a_line_of_a_member_above_the_limit_is_a_lost_answer(monkeypatch, text, outcome):
    """Guards against the rest of a long line that is taken for the next answer."""
    execute = line_group.LineMember._execute

    def answer_too_long(member, request_id, words, min_position, connection):
        answer = execute(member, request_id, words, min_position, connection)
        return answer + "x" * MAX_BYTES if request_id == "q1" else answer

    monkeypatch.setattr(line_group.LineMember, "_execute", answer_too_long)
    async with line_site.Site(1) as site:
        session = await _connect(site, "strict")
        answer = await session.query(text, "q1")
        assert answer[0].startswith(outcome) and answer[1].startswith("READY I")
        assert site.group.commit_counts["q1"] == text.startswith("WRITE")
        assert (await session.query("READ y", "r1"))[:2] == ["ROW -", "DONE proof-a-r1"]


async def test_no_encoder_returns_a_message_above_the_limit():
    """Guards against a message that its receiver ends the connection for."""
    position = positions.Position(10**18 - 1, 10**18 - 1)
    item = "x" * (MAX_BYTES - len("QUERY r READ "))
    assert len(wire.encode_query("r", f"READ {item}")) == MAX_BYTES + len("\r\n")
    assert wire.encode_result_line(b"x" * MAX_BYTES)
    with pytest.raises(interfaces.TooLong):
        wire.encode_result_line(b"x" * (MAX_BYTES + 1))
    for text in (f"READ {item}x", f"READ {item[1:]}\xe4"):
        with pytest.raises(interfaces.TooLong):
            wire.encode_query("r", text)
    with pytest.raises(interfaces.TooLong):
        wire.encode_prepare("p", statements.Access.READ, item)
    while not wire.has_room_for_position("r", f"READ {item}"):
        item = item[1:]
    assert len(wire.encode_query("r", f"READ {item}", position)) == MAX_BYTES


async def test_definitions_of_a_session_fit_into_a_frame():
    """Guards against a session that ends the link to an owner on which others are waiting."""
    longest_frame = client_session.MAX_DEFINITION_BYTES + 2 * MAX_BYTES
    assert longest_frame + 1_000_000 < frames.MAX_FRAME_BYTES
    async with line_site.Site(1) as site:
        session = await _connect(site, "strict")
        for number in range(3):
            assert await session.send(_padded(f"QUERY q SET v{number} ")) == ["DONE -", "READY I -"]
        assert (await session.send(_padded("QUERY q PREPARE p READ \xe4", 900_000)))[0] == "DONE -"
        for message in ("QUERY q SET v3 ", "QUERY q PREPARE q READ "):
            answer = await session.send(_padded(message, 200_000))
            assert answer[0].startswith("ERR TOOBIG") and answer[1] == "READY I -"
        assert await session.send(_padded("QUERY q SET v2 ")) == ["DONE -", "READY I -"]
        assert await session.query("FORGET p") == ["DONE -", "READY I -"]
        assert await session.send(_padded("QUERY q SET v3 ")) == ["DONE -", "READY I -"]
        assert (await session.query("READ x", "r1"))[:2] == ["ROW -", "DONE proof-a-r1"]
        assert site.group.executed_statements[0].session_values.keys() == {"v0", "v1", "v2", "v3"}


async def test_a_result_that_no_frame_can_carry_is_a_failure(monkeypatch):
    """Guards against a long result that ends the link to an owner on which others are waiting."""
    execute = line_group.LineMember._execute

    def answer_many_rows(member, request_id, words, min_position, connection):
        answer = execute(member, request_id, words, min_position, connection)
        return (_padded("ROW ") + "\r\n") * 9 + answer if request_id == "q1" else answer

    monkeypatch.setattr(line_group.LineMember, "_execute", answer_many_rows)
    async with line_site.Site(1) as site:
        endpoint = site.settings[0].peers_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n")
        for number, code in ((1, "failed"), (2, "")):
            request = msgspec.structs.replace(
                frames.rollback_request(0),
                **{"sequence_number": number, "kind": "read", "id": f"q{number}"},
                **{"text": "READ x", "service": line_site.SERVICE, "database": "strict"},
                **{"timeout_s": 10.0, "latency_objective_s": 10.0},
            )
            writer.write(frames.pack(request))
            outcome = frames.unpack_outcome(await frames.read_body(reader))
            assert (outcome.sequence_number, outcome.error_code) == (number, code)
        writer.close()
