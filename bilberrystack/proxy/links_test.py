"""Tests of the time limits of links, on a paused clock."""

import asyncio

import pytest

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import links

DIGEST = interfaces.Digest("a", "d1", "127.0.0.1:1", False, 1, None)


class FakePeer:
    """A peer that may be partitioned, so that calls neither return nor fail."""

    def __init__(self, partitioned):
        self.partitioned = partitioned
        self.close_count = 0
        self.answer = asyncio.Event()

    async def forward(self, _request):
        await self.answer.wait()
        return outcomes.Answer(b"x", positions.ZERO, "m", False)

    async def digest(self, sender):
        if self.partitioned:
            await asyncio.Event().wait()
        return sender

    def close(self):
        self.close_count += 1


def request(timeout_s):
    deadline = asyncio.get_running_loop().time() + timeout_s
    key = requests.RequestKey("s", 1)
    return requests.GroupRequest(key, "c", "g", fakes.Kind.READ, b"", None, 0.0, deadline)


def check(test):
    async def main():
        lost = []
        await test(
            lambda peer: links.BoundedLink(peer, lambda: DIGEST, lambda: lost.append(1)), lost
        )

    fakes.run_on_paused_clock(main)


def test_link_to_an_unresponsive_peer_fails():
    """Guards against requests that wait until their deadline in a partition without an error."""

    async def test(open_link, lost):
        peer = FakePeer(partitioned=True)
        started = asyncio.get_running_loop().time()
        with pytest.raises(interfaces.LinkLost) as raised:
            await open_link(peer).forward(request(30.0))
        elapsed_s = asyncio.get_running_loop().time() - started
        assert raised.value.sent and lost and peer.close_count == 1
        timeout_s = links.UNRESPONSIVE_TIMEOUT_S
        assert timeout_s <= elapsed_s <= timeout_s + 2 * links.PROBE_INTERVAL_S

    check(test)


def test_link_with_a_slow_request_does_not_fail():
    """Guards against treating a slow statement as a failure of the owner."""

    async def test(open_link, lost):
        peer = FakePeer(partitioned=False)
        running = asyncio.create_task(open_link(peer).forward(request(30.0)))
        await asyncio.sleep(20.0)
        peer.answer.set()
        assert (await running).body == b"x" and not lost and not peer.close_count

    check(test)


def test_request_ends_at_its_deadline():
    """Guards against late answers, and against suspecting a peer because of a slow statement."""

    async def test(open_link, lost):
        link = open_link(FakePeer(partitioned=False))
        started = asyncio.get_running_loop().time()
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.forward(request(3.0))
        assert raised.value.sent and not lost
        assert asyncio.get_running_loop().time() - started == pytest.approx(3.0)
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.forward(request(0.0))
        assert not raised.value.sent

    check(test)


def test_pause_of_this_process_does_not_fail_a_link():
    """Guards against failing all links after this process was stopped and resumed."""

    async def test(open_link, lost):
        peer = FakePeer(partitioned=False)
        link = open_link(peer)
        running = asyncio.create_task(link.forward(request(60.0)))
        await asyncio.sleep(0.1)
        link._probe_timer.cancel()  # A stopped process runs the timer only when it resumes.
        await asyncio.sleep(10.0)
        link._check_responsiveness(asyncio.get_running_loop().time() - 10.0)
        await asyncio.sleep(5.0)
        assert not lost and not running.done()
        peer.answer.set()
        await running

    check(test)


def test_control_calls_time_out():
    """Guards against a digest that waits indefinitely for a stopped peer."""

    async def test(open_link, lost):
        with pytest.raises(interfaces.LinkLost):
            await open_link(FakePeer(partitioned=True)).digest(DIGEST)
        assert lost

    check(test)
