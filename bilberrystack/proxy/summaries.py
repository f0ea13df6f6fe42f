"""The hourly history of service levels in the store, summed over all instances.

Instances keep minutes in memory only. The live instance with the lowest id sums the complete hours
of all instances into one object. It is best effort: an instance that is replaced takes the minutes
since the last summary with it, at most one hour.
"""

import asyncio
import collections.abc
from typing import Protocol

import msgspec

from bilberrystack.core import burn
from bilberrystack.core import reports
from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces

KEY = "burn/hours"
MAX_HOURS = 30 * 24
MINUTES_PER_HOUR = 60

# The summary waits until the minutes of the full hour have been counted everywhere.
DELAY_S = 30.0

_DECODER = msgspec.msgpack.Decoder(list[burn.MinuteCounts])


class Collector(Protocol):
    """All instances, as fleet.Fleet reaches them."""

    @property
    def is_first(self) -> bool: ...

    async def collect(self, minutes: int) -> list[reports.InstanceReply]: ...


class Summaries:
    """Writes and reads the hourly sums. In each, `minute` is the first minute of the hour."""

    __slots__ = ("_fleet", "_store", "_wall_time")

    def __init__(
        self,
        store: interfaces.Store,
        fleet: Collector,
        wall_time: collections.abc.Callable[[], float],
    ) -> None:
        """Creates the summaries.

        Args:
          store: The store.
          fleet: All instances.
          wall_time: Returns seconds since the epoch.
        """
        self._store = store
        self._fleet = fleet
        self._wall_time = wall_time

    async def run(self) -> None:
        """Writes a summary after every full hour until cancelled."""
        while True:
            seconds_per_hour = 60.0 * MINUTES_PER_HOUR
            await asyncio.sleep(seconds_per_hour - self._wall_time() % seconds_per_hour + DELAY_S)
            if self._fleet.is_first:
                await self.write()

    async def write(self) -> bool:
        """Adds the complete hours that are in memory and not in the store.

        Returns:
          Whether they are in the store now. The next summary repeats a failed one.
        """
        collected = await self._fleet.collect(burn.HISTORY_MINUTES)
        minutes = burn.merge_histories(
            one.report.minutes for one in collected if one.report is not None
        )
        try:
            stored = await self._get()
            hours = _decode(stored)
            missing = _complete_hours(minutes, int(self._wall_time() // 60), hours)
            if missing:
                content = msgspec.msgpack.encode((hours + missing)[-MAX_HOURS:])
                version = stored.version if stored is not None else 0
                put = self._store.put(KEY, content, version)
                await configuration.answer(put, configuration.ANSWER_LIMIT_S)
        except interfaces.StoreUnavailable:
            return False
        except interfaces.VersionConflict:
            return True  # Another instance has written the same hours.
        return True

    async def read(self) -> list[burn.MinuteCounts] | None:
        """Returns the hourly sums, oldest first; None if the store does not answer."""
        try:
            return _decode(await self._get())
        except interfaces.StoreUnavailable:
            return None

    async def _get(self) -> interfaces.StoredObject | None:
        return await configuration.answer(self._store.get(KEY), configuration.ANSWER_LIMIT_S)


def _decode(stored: interfaces.StoredObject | None) -> list[burn.MinuteCounts]:
    if stored is None:
        return []
    try:
        return _DECODER.decode(stored.value)
    except msgspec.DecodeError:
        return []


def _complete_hours(
    minutes: collections.abc.Sequence[burn.MinuteCounts],
    now_minute: int,
    known: list[burn.MinuteCounts],
) -> list[burn.MinuteCounts]:
    """Sums the hours that have ended and began after the newest known one."""
    newest = known[-1].minute if known else 0
    current = now_minute - now_minute % MINUTES_PER_HOUR
    first = {one.minute - one.minute % MINUTES_PER_HOUR for one in minutes}
    return [
        burn.sum_minutes(minutes, hour, hour + MINUTES_PER_HOUR - 1)
        for hour in sorted(first)
        if newest < hour < current
    ]
