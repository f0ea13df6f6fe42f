"""Tests of the limits in time of links, on a paused clock."""

import asyncio

import pytest

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import links

DIGEST = interfaces.Digest("a", "d1", "127.0.0.1:1", False, 1, None)


class Silent:
    """A peer whose path may be cut: nothing answers and nothing fails."""

    def __init__(self, cut):
        self.cut = cut
        self.closed = 0
        self.answer = asyncio.Event()

    async def forward(self, _request):
        await self.answer.wait()
        return outcomes.Answer(b"x", positions.ZERO, "m", False)

    async def digest(self, sender):
        if self.cut:
            await asyncio.Event().wait()
        return sender

    def close(self):
        self.closed += 1


def request(timeout_s):
    deadline = asyncio.get_running_loop().time() + timeout_s
    key = requests.RequestKey("s", 1)
    return requests.GroupRequest(key, "c", "g", fakes.Kind.READ, b"", None, 0.0, deadline)


def check(test):
    async def main():
        lost = []
        await test(lambda peer: links.Link(peer, lambda: DIGEST, lambda: lost.append(1)), lost)

    fakes.run_on_paused_clock(main)


def test_cut_path_is_given_up_after_the_silence():
    """Guards against requests that hang until their deadline on a path that reports no error."""

    async def test(linked, lost):
        peer = Silent(cut=True)
        started = asyncio.get_running_loop().time()
        with pytest.raises(interfaces.LinkLost) as raised:
            await linked(peer).forward(request(30.0))
        passed = asyncio.get_running_loop().time() - started
        assert raised.value.sent and lost and peer.closed == 1
        limit = links.SILENCE_LIMIT_S
        assert limit <= passed <= limit + 2 * links.PROBE_INTERVAL_S

    check(test)


def test_slow_request_on_a_living_link_is_not_given_up():
    """Guards against taking a long statement for a dead owner."""

    async def test(linked, lost):
        peer = Silent(cut=False)
        running = asyncio.create_task(linked(peer).forward(request(30.0)))
        await asyncio.sleep(20.0)
        peer.answer.set()
        assert (await running).body == b"x" and not lost and not peer.closed

    check(test)


def test_request_ends_at_its_deadline():
    """Guards against late answers, and against suspecting a peer for a slow statement."""

    async def test(linked, lost):
        link = linked(Silent(cut=False))
        started = asyncio.get_running_loop().time()
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.forward(request(3.0))
        assert raised.value.sent and not lost
        assert asyncio.get_running_loop().time() - started == pytest.approx(3.0)
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.forward(request(0.0))
        assert not raised.value.sent

    check(test)


def test_own_pause_does_not_count_as_the_peers_silence():
    """Guards against giving up all links after this process was stopped and resumed."""

    async def test(linked, lost):
        peer = Silent(cut=False)
        link = linked(peer)
        running = asyncio.create_task(link.forward(request(60.0)))
        await asyncio.sleep(0.1)
        link._probe.cancel()  # The timer of a stopped process fires only when it resumes.
        await asyncio.sleep(10.0)
        link._tick(asyncio.get_running_loop().time() - 10.0)
        await asyncio.sleep(5.0)
        assert not lost and not running.done()
        peer.answer.set()
        await running

    check(test)


def test_control_calls_are_bounded():
    """Guards against a digest that waits forever for a stopped peer."""

    async def test(linked, lost):
        with pytest.raises(interfaces.LinkLost):
            await linked(Silent(cut=True)).digest(DIGEST)
        assert lost

    check(test)
