"""Tests of waits with a deadline."""

import asyncio
import random

import pytest

from bilberrystack.proxy import waits
from faults import paused_loop


def test_wait_never_ends_before_its_deadline():
    """Guards against loops that spin until a deadline because a timer fired slightly too early."""

    async def main():
        loop = asyncio.get_running_loop()
        numbers = random.Random(1)
        for _ in range(2000):
            deadline = loop.time() + numbers.random()
            assert not await waits.until_done(loop.create_future(), deadline)
            assert loop.time() >= deadline

    paused_loop.run(main)


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_wait_does_not_cancel_the_future():
    """Guards against cancelling a statement that may have reached a member."""
    future = asyncio.create_task(asyncio.sleep(2.0, "done"))
    assert not await waits.until_done(future, 1.0)
    waiting = asyncio.create_task(waits.until_done(future, 9.0))
    await asyncio.sleep(0.1)
    waiting.cancel()
    assert await future == "done"


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_signal_notifies_waiters_and_interrupts_other_waits():
    """Guards against requests that miss a primary change while they wait."""
    signal = waits.Signal()
    future = asyncio.get_running_loop().create_future()
    waiting = [
        asyncio.create_task(signal.wait(9.0)),
        asyncio.create_task(waits.until_done(future, 9.0, signal)),
    ]
    await asyncio.sleep(1.0)
    signal.notify()
    assert await asyncio.gather(*waiting) == [True, False]
    assert not await signal.wait(2.0)
