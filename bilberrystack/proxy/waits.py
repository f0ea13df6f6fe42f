"""Waits with a deadline that neither create a task nor cancel the awaited future."""

import asyncio
import collections.abc
from typing import Any

# A timer may fire too early by up to the clock's resolution. A loop that waits until its deadline
# would then spin, and never end on a paused clock. Waits therefore end this much after their
# deadline, in seconds.
TIMER_SLACK_S = 1e-6


class Signal:
    """Notifies all current waiters. A notification without waiters has no effect."""

    __slots__ = ("_callbacks",)

    def __init__(self) -> None:
        # A dictionary preserves the order of registration, which makes runs deterministic.
        self._callbacks: dict[collections.abc.Callable[[], None], None] = {}

    def notify(self) -> None:
        """Calls all currently registered callbacks."""
        for callback in tuple(self._callbacks):
            callback()

    def add_callback(self, callback: collections.abc.Callable[[], None]) -> None:
        """Registers a callback, which stays registered until it is removed."""
        self._callbacks[callback] = None

    def remove_callback(self, callback: collections.abc.Callable[[], None]) -> None:
        """Removes a callback. Has no effect if the callback is not registered."""
        self._callbacks.pop(callback, None)

    async def wait(self, deadline: float) -> bool:
        """Waits for the next notification.

        Args:
          deadline: Instant on the event loop's clock at which the wait ends.
        Returns:
          Whether a notification arrived by the deadline.
        """
        notified = asyncio.get_running_loop().create_future()

        def notify() -> None:
            if not notified.done():
                notified.set_result(None)

        self.add_callback(notify)
        try:
            return await until_done(notified, deadline)
        finally:
            self.remove_callback(notify)


async def until_done(
    future: asyncio.Future[Any], deadline: float, interrupt: Signal | None = None
) -> bool:
    """Waits until a future is done, without cancelling it if the wait ends earlier.

    Args:
      future: The future or task.
      deadline: Instant on the event loop's clock at which the wait ends.
      interrupt: A signal that ends the wait when notified.
    Returns:
      Whether the future is done.
    """
    if future.done():
        return True
    loop = asyncio.get_running_loop()
    if loop.time() >= deadline:
        return False
    wait_end = loop.create_future()

    def notify(_future: asyncio.Future[Any] | None = None) -> None:
        if not wait_end.done():
            wait_end.set_result(None)

    timer = loop.call_at(deadline + TIMER_SLACK_S, notify)
    future.add_done_callback(notify)
    if interrupt is not None:
        interrupt.add_callback(notify)
    try:
        await wait_end
    finally:
        timer.cancel()
        future.remove_done_callback(notify)
        if interrupt is not None:
            interrupt.remove_callback(notify)
    return future.done()
