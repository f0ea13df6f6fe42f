"""Waits until a replica has reached a position, without a slot or a place in the queue."""

import asyncio
import collections.abc
import heapq
import itertools

from bilberrystack.core import positions
from bilberrystack.proxy import waits


class PositionWaits:
    """The reads that wait for a replica, lowest position first."""

    __slots__ = ("_heap", "_is_ready", "_loop", "_order", "_waiting")

    def __init__(self, is_ready: collections.abc.Callable[[positions.Position], bool]) -> None:
        """Prepares waits.

        Args:
          is_ready: Tells whether some replica can serve a position; if one can, then also every
            lower position.
        """
        self._loop = asyncio.get_running_loop()
        self._is_ready = is_ready
        self._heap: list[tuple[positions.Position, int, asyncio.Future[None]]] = []
        self._order = itertools.count()
        self._waiting = 0

    @property
    def count(self) -> int:
        """The number of reads that wait."""
        return self._waiting

    async def wait(self, position: positions.Position, deadline: float) -> bool:
        """Waits until a replica can serve a position; returns whether one can by the deadline."""
        if self._is_ready(position):
            return True
        reached = self._loop.create_future()
        heapq.heappush(self._heap, (position, next(self._order), reached))
        self._waiting += 1
        try:
            return await waits.until(reached, deadline)
        finally:
            self._waiting -= 1
            reached.cancel()

    def advanced(self) -> None:
        """Ends the waits for positions that a replica can serve now."""
        while self._heap:
            position, _, reached = self._heap[0]
            if not reached.done():
                if not self._is_ready(position):
                    return
                reached.set_result(None)
            heapq.heappop(self._heap)
