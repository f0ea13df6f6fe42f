"""Tests that no read relies on a log that a promotion has cut off."""

import asyncio

import pytest

from bilberrystack.pooling import execution
from bilberrystack.pooling import restarted_primary_test
from bilberrystack_standins import line_group

pytestmark = pytest.mark.asyncio

fixture = restarted_primary_test.fixture


async def test_an_aged_read_relies_on_no_replica_whose_answer_shows_an_older_term(
    fixture, monkeypatch
):
    """Guards against members that compare the number of a required position without its term."""
    monkeypatch.setattr(
        line_group, "_parse_position", lambda position: (0, int(position.partition(".")[2]))
    )
    instance = fixture.open_instance(granted=True)
    await instance.run_read(restarted_primary_test._request("r0", "READ x"), execution.Trace())
    # Reads go to a replica that has an idle connection.
    instance.group.maintain_links(1)
    async with asyncio.timeout(5):
        while not all(instance.group.pools[name].connected for name in "bc"):
            await asyncio.sleep(0.01)
    for name in "bc":
        replica = fixture.line_group.members[name]
        replica.replication_stopped = True
        replica.log = [line_group.CommittedEntry(1, index, ()) for index in range(1, 6)]
        replica.applied_count = len(replica.log)
    rows = []
    for number in range(1, 6):
        request = restarted_primary_test._request(
            f"r{number}", "READ x", restarted_primary_test.AGED
        )
        rows.append((await instance.run_read(request, execution.Trace())).rows)
    assert set(rows) == {(b"ROW 1",)}
    instance.group.close()
