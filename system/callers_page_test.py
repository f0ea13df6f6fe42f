"""Runs the Python examples of docs/callers.md against real processes."""

import ast
import asyncio
import inspect
import pathlib
import re

import pytest

from bilberrystack import client
from bilberrystack import settings
from bilberrystack.client import sessions
from bilberrystack.core import tokens
from bilberrystack.proxy import entry
from bilberrystack.proxy import transactions
from bilberrystack_standins import replicated_log
from system import site

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "callers.md"


def python_blocks(text):
    """Returns the page's Python blocks, padded so that line numbers are those of the page."""
    blocks = []
    for block in re.finditer(r"^```python\n(.*?)^```", text, re.MULTILINE | re.DOTALL):
        blocks.append("\n" * text.count("\n", 0, block.start(1)) + block.group(1))
    return blocks


async def run_examples(text, names):
    """Runs the blocks in order in one namespace; top-level `await` is allowed."""
    for source in python_blocks(text):
        code = compile(source, PAGE.name, "exec", flags=ast.PyCF_ALLOW_TOP_LEVEL_AWAIT)
        result = eval(code, names)
        if inspect.isawaitable(result):
            await result


def test_examples_of_the_page_run(tmp_path):
    """Guards against examples on the page that do not run."""

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start()
            names = {"ADDRESSES": running_site.caller_addresses, "SECRET": site.CALLER_SECRET}
            await run_examples(PAGE.read_text(), names)
            assert isinstance(names["first"], client.Answer)
            assert isinstance(names["outcome"], client.Answer)
            names["connected"].close()

    asyncio.run(run())


def test_a_wrong_example_is_found():
    """Guards against run_examples passing although an example fails."""
    with pytest.raises(AssertionError):
        asyncio.run(
            run_examples("x\n```python\nimport asyncio\n```\n```python\nassert 0\n```\n", {})
        )


def test_limits_of_the_page_are_those_of_the_program():
    """Guards against a limit that changes in the program but not on the page."""
    text = PAGE.read_text()
    limits = text[text.index("## Limits") :]
    defaults = {
        definition.name: definition.default
        for definition in settings.definitions(settings.Settings)
    }
    expected = (
        f"| the last {replicated_log.RECORDS_PER_SESSION} |",
        f"| {tokens.TOKEN_LIFETIME_S / 3600:.0f} h |",
        f"| {sessions.MAX_REQUESTS_IN_FLIGHT} |",
        f"| {entry.MAX_TOKENS} |",
        f"| {tokens.MAX_TOKEN_BYTES:,} bytes",
        f"{int(defaults['max_frame_bytes']) / 2**20:.0f} MiB |",
        f"| {transactions.IDLE_TIMEOUT_S:.0f} s |",
    )
    assert [row for row in expected if row not in limits] == []
    assert f"{sessions.DEFAULT_TIMEOUT_S:.0f} s by default" in text
    assert f"{sessions.ANSWER_MARGIN_S} s longer" in text
