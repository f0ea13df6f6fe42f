"""Guards against an instance that stays up while part of its work has ended."""

import asyncio

import pytest

from bilberrystack.pooling import tasks

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


async def test_lasting_work_that_fails_starts_again():
    """One unexpected error ended an instance's heartbeats for good, while it looked ready."""
    starts = []

    async def beat():
        starts.append(asyncio.get_running_loop().time())
        raise KeyError("unexpected")

    running = tasks.Tasks()
    running.keep(beat)
    await asyncio.sleep(2.1)
    await running.close()
    assert len(starts) == 5


async def test_lasting_work_that_was_cancelled_from_within_starts_again():
    """A cancelled watch must not take its loop along."""
    starts = []

    async def follow():
        starts.append(1)
        raise asyncio.CancelledError

    running = tasks.Tasks()
    running.keep(follow)
    await asyncio.sleep(1.1)
    await running.close()
    assert len(starts) == 3


async def test_lasting_work_ends_with_its_owner():
    """A loop that started again after the end would act for a process that has stopped."""
    running = tasks.Tasks()
    ended = []

    async def beat():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(1)

    running.keep(beat)
    await asyncio.sleep(0.1)
    await running.close()
    await asyncio.sleep(2.0)
    assert ended == [1]
