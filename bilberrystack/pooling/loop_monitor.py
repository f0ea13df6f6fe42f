"""Measures how late the event loop runs, and in which time this process could hear others."""

import asyncio

import loguru

from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="loop")

# Interval between measurements. Conclusions from the silence of others come later by up to this.
TICK_INTERVAL_S = 0.04

# A measurement that is late by more than this shows a stall; the time beyond it is not counted as
# silence of others. Shorter delays count in full, so that a busy process finds a dead primary in
# about the usual time. The shortest limit for the silence of a member that accepts connections is
# 0.8 s, and its answer is at most about 0.45 s old.
STALL_LIMIT_S = 0.15

# Pause after a stall before its end is counted. One pass of the loop reads as little as one
# datagram; heartbeats of 200 instances during a stall of 1.5 s are about 750.
READ_PAUSE_S = 0.1

# Passes of the loop before time is counted: the socket, its reader's task, and the task that waits
# for that one.
READ_PASSES = 3


class LoopMonitor:
    """Counts running time, and reports stalls of the event loop."""

    __slots__ = ("_clock", "_metrics", "_running_time")

    def __init__(
        self,
        clock: interfaces.Clock,
        measured: running_time.RunningTime,
        metrics: counters.Counters,
    ) -> None:
        """Create a monitor that does not measure yet.

        Args:
          clock: Returns the current time in seconds.
          measured: The running time to count.
          metrics: Receives the delays.
        """
        self._clock = clock
        self._running_time = measured
        self._metrics = metrics

    async def run(self) -> None:
        """Measure until cancelled."""
        counted_until_s = self._clock()
        self._running_time.count_until(counted_until_s)
        pause_s = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = self._clock()
            delay_s = max(0.0, now_s - counted_until_s - pause_s - TICK_INTERVAL_S)
            self._metrics.loop_delay_seconds.observe({}, delay_s)
            pause_s = 0.0
            if delay_s > STALL_LIMIT_S:
                self._report_stall(now_s, delay_s)
                pause_s = READ_PAUSE_S
                await asyncio.sleep(pause_s)
            for _ in range(READ_PASSES):
                await asyncio.sleep(0)
            self._running_time.count_until(now_s)
            counted_until_s = now_s

    def _report_stall(self, now_s: float, delay_s: float) -> None:
        disregarded_s = delay_s - STALL_LIMIT_S
        self._running_time.record_stall(now_s - disregarded_s, now_s)
        self._metrics.loop_stalls.inc({})
        _LOG.warning(
            "event loop stood still; others are not taken for silent in this time",
            stalled_ms=round(delay_s * 1000),
            disregarded_ms=round(disregarded_s * 1000),
        )
