"""Tests that a caller's text reaches the member unchanged, and a member's rows the caller.

A line ends in CR LF, and its last field extends to the end of the line. Data may have any other
character, among them single carriage returns and line feeds.
"""

import asyncio

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

DATA = {
    "line feed": "a\nb",
    "line feed at the end": "a\n",
    "line feed alone": "\n",
    "line feed and carriage return": "a\n\rb",
    "carriage return": "a\rb",
    "carriage return at the end": "a\r",
    "two carriage returns": "\r\r",
    "tab": "a\tb",
    "other separators": "a\u2028b\x85c\x0bd\x00e",
    "blanks": " a  b ",
}
HIDDEN_STATEMENTS = {
    "a second query": "\nQUERY w2 WRITE y 2",
    "a commit": "\nCOMMIT",
    "a second query after a line end": "\r\r\nQUERY w2 WRITE y 2",
}


@pytest.mark.parametrize("data", DATA.values(), ids=DATA)
async def test_data_with_line_feeds_is_written_and_read_whole(data):
    """Guards against a statement or a row that is cut at a line feed inside its data."""
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        assert (await session.query(f"WRITE x {data}", "w1"))[0] == "DONE proof-a-w1"
        executed = site.group.executed_statements[-1]
        assert (executed.request_id, executed.text) == ("w1", f"WRITE x {data}")
        assert (await session.query("READ x", "r1"))[:2] == [f"ROW {data}", "DONE proof-a-r1"]


@pytest.mark.parametrize("hidden", HIDDEN_STATEMENTS.values(), ids=HIDDEN_STATEMENTS)
async def test_a_statement_hidden_in_data_does_not_run(hidden):
    """Guards against data that a member or the proxy takes for a statement of its own.

    The last case ends the data with a carriage return, and sends a second request behind it.
    """
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        answer = await session.query(f"WRITE x 1{hidden}", "w1")
        assert answer[0] == "DONE proof-a-w1"
        data = hidden.split("\r\n")[0]
        assert site.group.executed_statements[0].text == f"WRITE x 1{data}"
        if "\r\n" in hidden:
            assert (await session.read_answer())[0] == "DONE proof-a-w2"
        else:
            assert len(site.group.executed_statements) == 1


async def test_line_feeds_in_values_and_prepared_statements_arrive_unchanged():
    """Guards against text that is cut when it is set anew on another connection."""
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        assert (await session.query("SET v a\nb"))[0] == "DONE -"
        assert (await session.query("PREPARE p WRITE s\nQUERY - RESET"))[0] == "DONE -"
        assert (await session.query("EXEC p x 1\n2", "w1"))[0] == "DONE proof-a-w1"
        executed = site.group.executed_statements[-1]
        assert executed.text == "WRITE x 1\n2"
        assert executed.session_values == {"v": "a\nb"}


@pytest.mark.parametrize("data", ["a\nb", "a\r", "\nQUERY w2 WRITE y 2"])
async def test_bytes_that_come_one_by_one_are_one_request(data):
    """Guards against a line that ends at the end of a packet, as between the CR and the LF."""
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        for byte in f"QUERY w1 WRITE x {data}\r\n".encode():
            session.writer.write(bytes([byte]))
            await session.writer.drain()
            await asyncio.sleep(0)
        assert (await session.read_answer())[0] == "DONE proof-a-w1"
        assert [run.text for run in site.group.executed_statements] == [f"WRITE x {data}"]


async def test_two_requests_sent_at_once_get_their_own_answers():
    """Guards against a second request that is lost or joined to the first one's data."""
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        session.writer.write(b"QUERY w1 WRITE x a\n\r\nQUERY r1 READ x\r\n")
        assert (await session.read_answer())[0] == "DONE proof-a-w1"
        assert (await session.read_answer())[:2] == ["ROW a\n", "DONE proof-a-r1"]


@pytest.mark.parametrize("text", ["a\nREADY I -", "a\rb", "a\n\rDONE x", "a\r"])
async def test_an_error_text_of_a_member_is_one_line(monkeypatch, text):
    """Guards against an error text whose second line is taken for the next message."""
    execute = line_group.LineMember._execute

    def fail_writes(member, request_id, words, min_position, connection):
        if words[0] == "WRITE":
            return f"ERR FAILED {text}"
        return execute(member, request_id, words, min_position, connection)

    monkeypatch.setattr(line_group.LineMember, "_execute", fail_writes)
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        answer = await session.query("WRITE x 1", "w1")
        assert len(answer) == 2 and answer[0].startswith("ERR FAILED")
        assert (await session.query("READ x", "r1"))[:2] == ["ROW -", "DONE proof-a-r1"]


@pytest.mark.parametrize("data", DATA.values(), ids=DATA)
async def test_data_with_line_feeds_stays_whole_in_a_transaction(data):
    """Guards against a line inside data that runs in a transaction, such as its COMMIT."""
    hidden = f"1\nCOMMIT\n{data}"
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        await session.query("BEGIN")
        assert (await session.query(f"WRITE x {hidden}", "w1"))[0] == "DONE proof-a-w1"
        assert site.group.committed_entries == []
        assert (await session.query("COMMIT", "c1"))[0] == "DONE proof-a-c1"
        assert site.group.committed_entries[0].writes == (("x", hidden),)
        assert (await session.query("READ x", "r1"))[0] == f"ROW {hidden}"


async def test_forwarded_data_with_line_feeds_stays_whole():
    """Guards against data that is cut at an instance between the client and the owner."""
    options = line_group.GroupOptions(max_connections=7)
    async with line_site.Site(5, options) as site:

        def owned():
            executors = [each.executor(line_site.SERVICE) for each in site.instances]
            return [executor is not None and executor.group.owned for executor in executors]

        await site.wait_until(lambda: owned().count(True) == 2)
        session = await site.connect("strict", owned().index(False))
        await session.query("SET v a\nb")
        await session.query("PREPARE p WRITE s\nQUERY - RESET")
        for number, data in enumerate(DATA.values()):
            assert (await session.query(f"EXEC p x {data}", f"w{number}"))[0].startswith("DONE")
            executed = site.group.executed_statements[-1]
            assert (executed.request_id, executed.text) == (f"w{number}", f"WRITE x {data}")
            assert executed.session_values == {"v": "a\nb"}
            assert (await session.query("READ x"))[0] == f"ROW {data}"


REFUSED_QUERIES = {
    "reserved id": b"QUERY - WRITE x 1",
    "empty id": b"QUERY  WRITE x 1",
    "id that is not UTF-8": b"QUERY \xff WRITE x 1",
    "data that is not UTF-8": b"QUERY w1 WRITE x \xe4",
    "half of a character": b"QUERY w1 WRITE x \xf0\x9f",
    "surrogate": b"QUERY w1 SET v \xed\xa0\x80",
}


@pytest.mark.parametrize("line", REFUSED_QUERIES.values(), ids=REFUSED_QUERIES)
async def test_a_query_that_can_t_be_passed_on_is_refused_and_the_session_goes_on(line):
    """Guards against a QUERY without its READY, and against text that reaches a member changed."""
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        await session.query("BEGIN")
        await session.query("WRITE x 0", "w0")
        session.writer.write(line + b"\r\n")
        answer = await session.read_answer()
        assert answer[0].startswith("ERR BAD") and answer[1].startswith("READY T")
        assert (await session.query("COMMIT", "c0"))[0] == "DONE proof-a-c0"
        session.writer.write(line + b"\r\nQUERY r1 READ x\r\n")
        answer = await session.read_answer()
        assert answer[0].startswith("ERR BAD") and answer[1].startswith("READY I")
        assert (await session.read_answer())[:2] == ["ROW 0", "DONE proof-a-r1"]
        assert [run.text for run in site.group.executed_statements] == [
            *("WRITE x 0", "COMMIT", "READ x")
        ]


@pytest.mark.parametrize("request_id", ["--", "a\tb", "a\nb", "\r", "\u2028", "-\n", "\x00"])
async def test_a_request_id_of_odd_characters_arrives_unchanged(request_id):
    """Guards against a proof for another id than the client's."""
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        assert (await session.query("WRITE x 1", request_id))[0] == f"DONE proof-a-{request_id}"
        assert site.group.executed_statements[0].request_id == request_id
