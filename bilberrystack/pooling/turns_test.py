"""Tests that work in steps lets other work run, and returns what it would return in one step."""

import asyncio

import pytest

from bilberrystack.pooling import turns


def _count_steps(count):
    for _ in range(count):
        yield
    return count


async def _count_turns(counts):
    while True:
        counts.append(None)
        await asyncio.sleep(0)


def test_all_steps_can_be_done_at_once():
    """Guards against a result that depends on who does the steps."""
    assert turns.complete(_count_steps(3)) == 3


@pytest.mark.asyncio
async def test_the_event_loop_turns_between_steps():
    """Guards against steps that follow each other while other work waits."""
    counts = []
    other = asyncio.ensure_future(_count_turns(counts))
    assert await turns.run(_count_steps(50)) == 50
    other.cancel()
    assert len(counts) >= 50


@pytest.mark.asyncio
async def test_an_error_of_a_step_ends_the_work():
    """Guards against malformed input that is taken for a result."""

    def fail():
        yield
        raise ValueError("malformed")

    with pytest.raises(ValueError, match="malformed"):
        await turns.run(fail())


def test_work_that_does_not_fit_begins_a_step_and_ends_it():
    """Guards against a step that holds a long piece of work beside much other."""
    budget = turns.Budget()
    assert not budget.spend(turns.MAX_STEP_BYTES)
    assert budget.spend(10 * turns.MAX_STEP_BYTES)
    assert budget.spend(1)
    assert not budget.spend(turns.MAX_STEP_BYTES - 1)
