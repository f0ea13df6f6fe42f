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


def examples(text):
    """Returns the page's Python blocks, each with its line numbers of the page."""
    found = []
    for block in re.finditer(r"^```python\n(.*?)^```", text, re.MULTILINE | re.DOTALL):
        found.append("\n" * text.count("\n", 0, block.start(1)) + block.group(1))
    return found


async def run_examples(text, names):
    """Runs the blocks one after the other with shared names; all may wait at top level."""
    for source in examples(text):
        code = compile(source, PAGE.name, "exec", flags=ast.PyCF_ALLOW_TOP_LEVEL_AWAIT)
        result = eval(code, names)
        if inspect.isawaitable(result):
            await result


def test_examples_of_the_page_run(tmp_path):
    """Guards against examples that fail when an application copies them."""

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start()
            names = {"ADDRESSES": where.caller_addresses, "SECRET": site.CALLER_SECRET}
            await run_examples(PAGE.read_text(), names)
            assert isinstance(names["first"], client.Answer)
            assert isinstance(names["outcome"], client.Answer)
            names["connected"].close()

    asyncio.run(run())


def test_a_wrong_example_is_found():
    """Guards against a check that passes whatever the page says."""
    with pytest.raises(AssertionError):
        asyncio.run(
            run_examples("x\n```python\nimport asyncio\n```\n```python\nassert 0\n```\n", {})
        )


def test_limits_of_the_page_are_those_of_the_program():
    """Guards against a limit that is changed in the program only."""
    text = PAGE.read_text()
    limits = text[text.index("## Limits") :]
    frame = {one.name: one.default for one in settings.definitions(settings.Settings)}
    shown = (
        f"| the last {replicated_log.RECORDS_PER_SESSION} |",
        f"| {tokens.TOKEN_LIFETIME_S / 3600:.0f} h |",
        f"| {sessions.MAX_IN_FLIGHT} |",
        f"| {entry.MAX_TOKENS} |",
        f"| {tokens.MAX_TOKEN_BYTES:,} bytes",
        f"{int(frame['max_frame_bytes']) / 2**20:.0f} MiB |",
        f"| {transactions.IDLE_LIMIT_S:.0f} s |",
    )
    assert [one for one in shown if one not in limits] == []
    assert f"{sessions.DEFAULT_TIMEOUT_S:.0f} s by default" in text
    assert f"{sessions.ANSWER_MARGIN_S} s longer" in text
