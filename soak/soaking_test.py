"""Runs short series of faults against real processes, and the seeds of past failures."""

import pytest

from soak import conditions
from soak import soaking

pytestmark = pytest.mark.asyncio

# Seed 8 has planned work only, and the primary leaves in it. Seed 17 has overlapping faults.
SEEDS = (8, 17)

# Seeds that failed in the past, each with its cause.
FAILED_SEEDS = (
    # A SIGHUP reached a restarted process while it still imported its modules, and ended it.
    12,
)


# The coordinator is suspended, killed, and cut off from the store in two ways.
DEPARTURE_SEEDS = (9, 7, 1, 2)

# In the first one the primary of an asynchronous group restarts empty twice. In the second one the
# primary of a synchronous group goes dark after a replica has restarted empty.
RESTART_SEEDS = (2, 15)

# Seeds with data of any characters and with members that answer twice, late, in pieces or in part.
BOTH_CONDITIONS_SEEDS = (13, 18)


@pytest.mark.parametrize("seed", SEEDS + FAILED_SEEDS)
async def test_series_of_faults_violates_no_guarantee(seed):
    """Guards against violations that the models on a paused clock do not show.

    Real processes, sockets and signals behave differently from those models.
    """
    report = await soaking.run_seed(seed)
    assert report.violations == []
    assert report.succeeded_statements > 100


@pytest.mark.parametrize("seed", BOTH_CONDITIONS_SEEDS)
async def test_any_characters_and_faulty_answers_violate_no_guarantee(seed):
    """Guards against answers of other requests and statements that nobody sent."""
    assert conditions.draw(seed) == conditions.Conditions(any_characters=True, faulty_answers=True)
    report = await soaking.run_seed(seed)
    assert report.violations == []
    assert report.succeeded_statements > 100


@pytest.mark.parametrize("seed", [2, 6])
async def test_a_store_that_returns_from_an_older_copy_violates_no_guarantee(seed):
    """Guards against older records, unbounded calls and a second coordinator after its return."""
    report = await soaking.run_seed(seed, restores=True)
    assert report.violations == []
    assert report.succeeded_statements > 100


@pytest.mark.parametrize("seed", DEPARTURE_SEEDS)
async def test_a_leaving_primary_is_out_of_use_in_time_while_the_coordinator_fails(seed):
    """Statements reached a leaving primary for 12 s because its coordinator was frozen."""
    report = await soaking.run_seed(seed, departures=True)
    assert report.violations == []
    assert report.succeeded_statements > 100


@pytest.mark.parametrize("seed", RESTART_SEEDS)
async def test_members_that_restart_without_their_logs_violate_no_guarantee(seed):
    """Guards against reads from the log of a new process, and against its promotion."""
    report = await soaking.run_seed(seed, restarts=True)
    assert report.violations == []
    assert report.succeeded_statements > 100
