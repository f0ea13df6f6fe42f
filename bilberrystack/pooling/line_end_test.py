"""Tests that a caller's text reaches the member unchanged, and a member's rows the caller.

A line ends in CR LF, and its last field extends to the end of the line. Data may have any other
character, among them single carriage returns and line feeds.
"""

import pytest

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
