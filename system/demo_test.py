"""Runs the demonstration with real processes."""

import asyncio

from system import demo


def test_killed_primary_violates_no_guarantee(tmp_path, capsys):
    """Guards against lost, duplicated and stale data when the primary is killed under traffic."""
    assert asyncio.run(demo.demonstrate(tmp_path)) == 0
    printed = capsys.readouterr().out
    assert "killed: member" in printed
    assert "writes lost: 0" in printed
