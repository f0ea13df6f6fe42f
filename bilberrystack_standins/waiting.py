"""Waits for conditions on state that the tasks of an event loop change."""

import asyncio
import collections.abc

Condition = collections.abc.Callable[[], bool]


class ChangeNotifier:
    """Wakes tasks that wait for a condition. Call notify after each change of the state."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: set[tuple[Condition, asyncio.Future[None]]] = set()

    def notify(self) -> None:
        """Wakes the waiting tasks whose condition now holds."""
        for condition, future in self._waiters:
            if not future.done() and condition():
                future.set_result(None)

    async def wait_for(self, condition: Condition, timeout_s: float | None = None) -> bool:
        """Waits until a condition holds; returns False if it does not hold within timeout_s."""
        if condition():
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = (condition, future)
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return condition()
        finally:
            self._waiters.discard(waiter)
        return True
