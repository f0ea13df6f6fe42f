"""Waiting for conditions on state that changes between turns of the event loop."""

import asyncio
import collections.abc

Condition = collections.abc.Callable[[], bool]


class Changes:
    """Wakes those who wait for a condition. Whoever changes the state calls notify."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: set[tuple[Condition, asyncio.Future[None]]] = set()

    def notify(self) -> None:
        """Checks the conditions of all who wait."""
        for condition, future in self._waiting:
            if not future.done() and condition():
                future.set_result(None)

    async def wait_for(self, condition: Condition, timeout_s: float | None = None) -> bool:
        """Waits until a condition holds; returns False if timeout_s passed before."""
        if condition():
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = (condition, future)
        self._waiting.add(waiting)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return condition()
        finally:
            self._waiting.discard(waiting)
        return True
