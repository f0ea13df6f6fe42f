"""Tests primaries that refuse the coordinator, while all other instances use them."""

import asyncio

import pytest

from bilberrystack_standins import line_network
from soak import second_coordinator_test

pytestmark = pytest.mark.asyncio

INSTANCE_COUNT = 5

# Time in which a primary that does not answer anybody would be replaced.
CUT_S = 3.0


async def test_a_primary_that_refuses_only_the_coordinator_is_not_replaced():
    """The coordinator replaced the live primaries of all groups at once.

    It does so 0.25 s after the last contact of any instance, but hears of the others' contacts
    only each 0.4 s.
    """
    promotions = []

    async def refuse_coordinator(play):
        for primary in play.primaries:
            play.site.network.cut(play.coordinator, primary.id, line_network.Cut.REFUSE)
        await asyncio.sleep(CUT_S)
        for group in play.site.groups.values():
            promotions.extend(group.promotions)

    wrong_replies, violations, _, _ = await second_coordinator_test._run_play(
        INSTANCE_COUNT, refuse_coordinator
    )
    assert (wrong_replies, [*filter(None, violations.values())]) == ([], [])
    assert promotions == []
