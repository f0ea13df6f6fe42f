"""Tests that an instance does not stay up while one of its long-running tasks has ended."""

import asyncio

import pytest

from bilberrystack.pooling import tasks

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


async def test_a_supervised_task_that_fails_is_restarted():
    """An unexpected error ended the heartbeats of an instance for good while it looked ready."""
    starts = []

    async def send_heartbeats():
        starts.append(asyncio.get_running_loop().time())
        raise KeyError("unexpected")

    background_tasks = tasks.Tasks()
    background_tasks.supervise(send_heartbeats)
    await asyncio.sleep(2.1)
    await background_tasks.close()
    assert len(starts) == 5


async def test_a_supervised_task_that_is_cancelled_from_within_is_restarted():
    """The cancellation of a watch must not end the loop that runs it."""
    starts = []

    async def follow():
        starts.append(1)
        raise asyncio.CancelledError

    background_tasks = tasks.Tasks()
    background_tasks.supervise(follow)
    await asyncio.sleep(1.1)
    await background_tasks.close()
    assert len(starts) == 3


async def test_a_supervised_task_ends_when_its_owner_closes():
    """A loop restarted after the close would act for a process that has stopped."""
    background_tasks = tasks.Tasks()
    ended = []

    async def send_heartbeats():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(1)

    background_tasks.supervise(send_heartbeats)
    await asyncio.sleep(0.1)
    await background_tasks.close()
    await asyncio.sleep(2.0)
    assert ended == [1]
