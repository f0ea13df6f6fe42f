"""Waits with a deadline that create neither a task nor a cancellation of what is awaited."""

import asyncio
import collections.abc
from typing import Any

# Timers may fire early by the resolution of the clock, after which a loop up to the deadline would
# spin, on a paused clock for ever. Waits end this much after their deadline instead, in seconds.
TIMER_SLACK_S = 1e-6


class Signal:
    """Wakes everyone who waits for it; nothing is kept for those who come later."""

    __slots__ = ("_callbacks",)

    def __init__(self) -> None:
        # A dictionary keeps the order of registration, so that runs repeat exactly.
        self._callbacks: dict[collections.abc.Callable[[], None], None] = {}

    def wake(self) -> None:
        """Calls the callbacks that are registered now."""
        for callback in tuple(self._callbacks):
            callback()

    def add(self, callback: collections.abc.Callable[[], None]) -> None:
        """Registers a callback until it is removed."""
        self._callbacks[callback] = None

    def remove(self, callback: collections.abc.Callable[[], None]) -> None:
        """Removes a callback; absent ones are ignored."""
        self._callbacks.pop(callback, None)

    async def wait(self, deadline: float) -> bool:
        """Waits for the next wake.

        Args:
          deadline: Instant on the runtime's clock at which the wait ends.
        Returns:
          Whether the signal woke the wait.
        """
        woken = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not woken.done():
                woken.set_result(None)

        self.add(wake)
        try:
            return await until(woken, deadline)
        finally:
            self.remove(wake)


async def until(
    work: asyncio.Future[Any], deadline: float, interrupt: Signal | None = None
) -> bool:
    """Waits for a future without cancelling it when the wait ends earlier.

    Args:
      work: What to wait for.
      deadline: Instant on the runtime's clock at which the wait ends.
      interrupt: A signal that ends the wait too.
    Returns:
      Whether the future is done.
    """
    if work.done():
        return True
    loop = asyncio.get_running_loop()
    if loop.time() >= deadline:
        return False
    waiter = loop.create_future()

    def wake(_work: asyncio.Future[Any] | None = None) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = loop.call_at(deadline + TIMER_SLACK_S, wake)
    work.add_done_callback(wake)
    if interrupt is not None:
        interrupt.add(wake)
    try:
        await waiter
    finally:
        timer.cancel()
        work.remove_done_callback(wake)
        if interrupt is not None:
            interrupt.remove(wake)
    return work.done()
