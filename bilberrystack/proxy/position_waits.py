"""Waits for replicas to apply a position. A wait occupies neither a slot nor the queue."""

import asyncio
import collections.abc
import heapq
import itertools

from bilberrystack.core import positions
from bilberrystack.proxy import waits


class PositionWaits:
    """The reads that wait for a replica, ordered by position, lowest first."""

    __slots__ = ("_heap", "_is_applied", "_loop", "_tie_breaker", "_waiting_count")

    def __init__(self, is_applied: collections.abc.Callable[[positions.Position], bool]) -> None:
        """Initializes the waits.

        Args:
          is_applied: Returns whether a replica has applied a position. If it is true of a position,
            it must be true of all lower positions.
        """
        self._loop = asyncio.get_running_loop()
        self._is_applied = is_applied
        self._heap: list[tuple[positions.Position, int, asyncio.Future[None]]] = []
        self._tie_breaker = itertools.count()
        self._waiting_count = 0

    @property
    def count(self) -> int:
        """The number of waiting reads."""
        return self._waiting_count

    async def wait(self, position: positions.Position, deadline: float) -> bool:
        """Waits until a replica has applied a position.

        Args:
          position: The position.
          deadline: Instant on the event loop's clock at which the wait ends.
        Returns:
          Whether a replica has applied the position.
        """
        if self._is_applied(position):
            return True
        reached = self._loop.create_future()
        heapq.heappush(self._heap, (position, next(self._tie_breaker), reached))
        self._waiting_count += 1
        try:
            return await waits.until_done(reached, deadline)
        finally:
            self._waiting_count -= 1
            reached.cancel()

    def end_reached_waits(self) -> None:
        """Ends the waits for positions that a replica has applied."""
        while self._heap:
            position, _, reached = self._heap[0]
            if not reached.done():
                if not self._is_applied(position):
                    return
                reached.set_result(None)
            heapq.heappop(self._heap)
