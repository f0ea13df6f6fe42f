"""Plays short series of faults against three groups, and the seeds of past failures."""

import random

import pytest

from soak import group_faults
from soak import group_plays

pytestmark = pytest.mark.asyncio

# In the first one an instance is stopped and another one killed while primaries leave. In the
# second one records reach instances in batches, and all cuts drop packets.
SEEDS = ((7, False), (10, True))


@pytest.mark.parametrize(("seed", "silent"), SEEDS)
async def test_series_of_faults_violates_no_guarantee_of_three_groups(seed, silent):
    """Guards against violations that one group under a coordinator does not show."""
    report = await group_plays.run_seed(seed, silent=silent)
    assert report.violations == []
    assert report.succeeded_statements > 100


async def test_a_seed_determines_the_series():
    """Guards against series that cannot be played again."""
    series = [group_faults.draw_series(random.Random("groups 1")) for _ in range(2)]
    assert series[0] == series[1]
