"""Tests what counts as running time around stalls of the event loop."""

import asyncio
import socket
import time

import loguru
import pytest

from bilberrystack.pooling import counters
from bilberrystack.pooling import loop_monitor
from bilberrystack.routing import running_time

pytestmark = pytest.mark.asyncio


class Monitored:
    """A running monitor on the loop's clock, which a test lets jump ahead."""

    def __init__(self):
        self.jumped_s = 0.0
        self.measured = running_time.RunningTime()
        self.metrics = counters.Counters()
        self.monitor = loop_monitor.LoopMonitor(self.now_s, self.measured, self.metrics)

    async def __aenter__(self):
        self.task = asyncio.create_task(self.monitor.run())
        await asyncio.sleep(0.5)
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def now_s(self):
        return asyncio.get_running_loop().time() + self.jumped_s

    def elapsed_s(self, since_s):
        return self.measured.elapsed_s(since_s, self.now_s())


@pytest.mark.looptime
async def test_a_stall_counts_only_up_to_the_limit():
    """A coordinator that had stood still for 1.4 s found the primary silent and replaced it."""
    async with Monitored() as monitored:
        since_s = monitored.now_s()
        monitored.jumped_s += 1.4
        assert monitored.elapsed_s(since_s) < 0.05
        await asyncio.sleep(1.0)
        counted_s = monitored.elapsed_s(since_s)
        assert 1.0 < counted_s < 1.0 + loop_monitor.STALL_LIMIT_S + 0.05
        assert monitored.measured.stood_still(since_s, monitored.now_s())
        assert not monitored.measured.stood_still(monitored.now_s() - 0.5, monitored.now_s())


@pytest.mark.looptime
async def test_nothing_counts_until_the_arrived_answers_are_read():
    """Timers that were due fired before the answers that had arrived meanwhile were read."""
    async with Monitored() as monitored:
        since_s = monitored.now_s()
        monitored.jumped_s += 1.4
        for _ in range(9):
            await asyncio.sleep(0.01)
            assert monitored.elapsed_s(since_s) < 0.05


@pytest.mark.looptime
@pytest.mark.parametrize("gap_s", [0.03, 0.1, 0.14])
async def test_short_gaps_count_in_full(gap_s):
    """A coordinator on a busy machine would not find that a primary is dead."""
    async with Monitored() as monitored:
        since_s = monitored.now_s()
        for _ in range(10):
            await asyncio.sleep(0.05)
            monitored.jumped_s += gap_s
        await asyncio.sleep(0.1)
        passed_s = monitored.now_s() - since_s
        assert monitored.elapsed_s(since_s) > passed_s - 0.06


@pytest.mark.looptime
@pytest.mark.parametrize("gap_s", [0.3, 0.5])
async def test_the_loss_is_limited_while_stalls_follow_each_other(gap_s):
    """A process that stalls again and again would never find that a primary is dead."""
    async with Monitored() as monitored:
        since_s = monitored.now_s()
        for _ in range(20):
            await asyncio.sleep(0.05)
            monitored.jumped_s += gap_s
        await asyncio.sleep(0.2)
        passed_s = monitored.now_s() - since_s
        assert monitored.elapsed_s(since_s) > passed_s / 5


@pytest.mark.looptime
async def test_a_stall_is_counted_and_logged_once():
    """Guards against stalls of which operators learn nothing."""
    lines = []
    handler = loguru.logger.add(lambda line: lines.append(line.record), level="WARNING")
    try:
        async with Monitored() as monitored:
            monitored.jumped_s += 1.4
            await asyncio.sleep(1.0)
            page = monitored.metrics.render().decode()
    finally:
        loguru.logger.remove(handler)
    [record] = [line for line in lines if line["extra"].get("component") == "loop"]
    assert 1350 < record["extra"]["stalled_ms"] <= 1400
    assert 1200 < record["extra"]["disregarded_ms"] <= 1250
    assert "bilberrystack_loop_stalls_total 1" in page
    assert 'bilberrystack_loop_delay_seconds_bucket{le="0.8"}' in page


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = 0

    def datagram_received(self, data, addr):
        self.received += 1


async def test_datagrams_of_a_stall_are_read_before_its_end_counts():
    """One pass of the loop reads one datagram, and the heartbeats of a stall are hundreds."""
    async with Monitored() as monitored:
        loop = asyncio.get_running_loop()
        transport, receiver = await loop.create_datagram_endpoint(
            _Receiver, local_addr=("127.0.0.1", 0)
        )
        address = transport.get_extra_info("sockname")
        since_s = monitored.now_s()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(100):
                sender.sendto(b"heartbeat", address)
        loop.call_soon(time.sleep, 0.5)
        while monitored.elapsed_s(since_s) < 0.1:
            await asyncio.sleep(0)
        transport.close()
    assert receiver.received == 100
