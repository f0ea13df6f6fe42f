"""Tests of the reference page of failures."""

import pathlib

from bilberrystack.core import error_page


def test_page_is_current_and_describes_every_failure():
    """Guards against a failure that the reference page does not describe."""
    page = pathlib.Path(__file__).parents[2] / "docs" / "errors.md"
    assert page.read_text() == error_page.render_page()


def test_codes_of_failures_are_unique():
    """Guards against two failures with the same code."""
    codes = [
        error.value for title, _, kind, _ in error_page.SECTIONS[2:] for error in kind if title
    ]
    assert len(codes) == len(set(codes))
