"""The hourly history of service levels in the store, summed over all instances.

Instances keep the counts of each minute in memory only. The live instance with the lowest id adds
the sums of complete hours over all instances to one object in the store. When an instance stops,
its counts since the last summary are lost, at most one hour.
"""

import asyncio
import collections.abc
from typing import Protocol

import msgspec

from bilberrystack.core import burn
from bilberrystack.core import reports
from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces

HOURS_KEY = "burn/hours"
MAX_HOURS = 30 * 24
MINUTES_PER_HOUR = 60

# Delay after the end of an hour, until all instances have counted its last minute.
SUMMARY_DELAY_S = 30.0

_DECODER = msgspec.msgpack.Decoder(list[burn.MinuteCounts])


class Collector(Protocol):
    """Collects the reports of all live instances; see fleet.Fleet."""

    @property
    def has_lowest_id(self) -> bool: ...

    async def collect_reports(self, minutes: int) -> list[reports.InstanceReply]: ...


class HourlySummaries:
    """Writes and reads hourly sums; `minute` of a sum is the first minute of its hour."""

    __slots__ = ("_fleet", "_store", "_wall_time")

    def __init__(
        self,
        store: interfaces.Store,
        fleet: Collector,
        wall_time: collections.abc.Callable[[], float],
    ) -> None:
        """Create the summaries.

        Args:
          store: The platform's store.
          fleet: Collects the reports of all live instances.
          wall_time: Returns seconds since the epoch.
        """
        self._store = store
        self._fleet = fleet
        self._wall_time = wall_time

    async def run(self) -> None:
        """Write a summary after every full hour, until cancelled."""
        while True:
            seconds_per_hour = 60.0 * MINUTES_PER_HOUR
            await asyncio.sleep(
                seconds_per_hour - self._wall_time() % seconds_per_hour + SUMMARY_DELAY_S
            )
            if self._fleet.has_lowest_id:
                await self.write()

    async def write(self) -> bool:
        """Add the complete hours that are missing in the store.

        Returns:
          Whether they are in the store now. If not, the next call tries again.
        """
        collected = await self._fleet.collect_reports(burn.HISTORY_MINUTES)
        minutes = burn.merge_histories(
            reply.report.minutes for reply in collected if reply.report is not None
        )
        try:
            stored = await self._read_object()
            hours = _decode_hours(stored)
            missing_hours = _complete_hours(minutes, int(self._wall_time() // 60), hours)
            if missing_hours:
                content = msgspec.msgpack.encode((hours + missing_hours)[-MAX_HOURS:])
                version = stored.version if stored is not None else 0
                put = self._store.put(HOURS_KEY, content, version)
                await configuration.await_store(put, configuration.ANSWER_TIMEOUT_S)
        except interfaces.StoreUnavailable:
            return False
        except interfaces.VersionConflict:
            return True  # Another instance wrote the same hours first.
        return True

    async def read(self) -> list[burn.MinuteCounts] | None:
        """Return the hourly sums, oldest first; None if the store is unavailable."""
        try:
            return _decode_hours(await self._read_object())
        except interfaces.StoreUnavailable:
            return None

    async def _read_object(self) -> interfaces.StoredObject | None:
        return await configuration.await_store(
            self._store.get(HOURS_KEY), configuration.ANSWER_TIMEOUT_S
        )


def _decode_hours(stored: interfaces.StoredObject | None) -> list[burn.MinuteCounts]:
    if stored is None:
        return []
    try:
        return _DECODER.decode(stored.value)
    except msgspec.DecodeError:
        return []


def _complete_hours(
    minutes: collections.abc.Sequence[burn.MinuteCounts],
    now_minute: int,
    known_hours: list[burn.MinuteCounts],
) -> list[burn.MinuteCounts]:
    """Return the sums of the ended hours that are newer than the newest known hour."""
    newest_hour = known_hours[-1].minute if known_hours else 0
    current_hour = now_minute - now_minute % MINUTES_PER_HOUR
    hours = {counts.minute - counts.minute % MINUTES_PER_HOUR for counts in minutes}
    return [
        burn.sum_minutes(minutes, hour, hour + MINUTES_PER_HOUR - 1)
        for hour in sorted(hours)
        if newest_hour < hour < current_hour
    ]
