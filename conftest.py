"""Marks exactly the tests listed in KNOWN-RED.txt as expected failures and prints their names."""

import pathlib

import pytest

_KNOWN_RED = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def _known_red():
    lines = _KNOWN_RED.read_text().splitlines() if _KNOWN_RED.exists() else []
    return [line.strip() for line in lines if line and not line.startswith((" ", "#"))]


def pytest_report_header():
    return [f"known red: {name}" for name in _known_red()]


def pytest_collection_modifyitems(items):
    known = set(_known_red())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))
