"""Tests of calls to all live instances."""

import asyncio
import types

import pytest

from bilberrystack.core import reports
from bilberrystack.proxy import fleet
from bilberrystack.proxy import interfaces

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


def digest(name, version):
    return interfaces.Digest(name, "z", "127.0.0.1:1", False, version, 0.0)


class FakePeer:
    """A link to an instance that never answers if `unresponsive`, or fails if `broken`."""

    def __init__(self, name, version=1, unresponsive=False, broken=False):
        self.name = name
        self.version = version
        self.unresponsive = unresponsive
        self.broken = broken
        self.heads = []
        self.calls = 0

    async def _answer(self):
        self.calls += 1
        if self.unresponsive:
            await asyncio.get_running_loop().create_future()
        if self.broken:
            raise interfaces.LinkLost("broken", sent=True)

    async def digest(self, _sender):
        await self._answer()
        return digest(self.name, self.version)

    async def push_head(self, _sender, head):
        await self._answer()
        self.heads.append(head)

    async def report(self, _minutes):
        await self._answer()
        return reports.encode(reports.InstanceReport(self.name, "z", False, True, True, 1, None, 0))


def make(*peers, domains=None):
    domains = domains or {}
    names = ["own", *(peer.name for peer in peers)]
    live = {
        name: types.SimpleNamespace(id=name, failure_domain=domains.get(name, "z"))
        for name in names
    }
    local_instance = types.SimpleNamespace(
        digest=lambda: digest("own", 2),
        report=lambda _minutes: reports.InstanceReport("own", "z", False, True, True, 2, None, 0),
    )
    links = {peer.name: peer for peer in peers}
    return fleet.Fleet(local_instance, types.SimpleNamespace(live=live), links.get)


async def test_instances_that_do_not_answer_lag():
    """Guards against a change of members while an instance is unreachable."""
    peers = [
        FakePeer("a", 2),
        FakePeer("b", 1),
        FakePeer("c", 2, unresponsive=True),
        FakePeer("d", 2, broken=True),
    ]
    all_instances = make(*peers)
    assert sorted(await all_instances.lagging_instances(2)) == ["b", "c", "d"]
    assert await all_instances.lagging_instances(1) == ["c", "d"]


async def test_instance_with_known_version_is_not_called_again():
    """Guards against calling all instances in every poll of a wait for a version."""
    peers = [FakePeer("a", 2), FakePeer("b", 1)]
    all_instances = make(*peers)
    all_instances.record_version("a", 2)
    for _ in range(3):
        await all_instances.lagging_instances(2)
    assert [peer.calls for peer in peers] == [0, 3]


async def test_head_reaches_each_failure_domain_despite_a_broken_instance():
    """Guards against a domain that gets a change late because of one unreachable instance."""
    peers = [FakePeer("a", broken=True), FakePeer("b"), FakePeer("c")]
    all_instances = make(*peers, domains={"a": "x", "b": "x", "c": "y"})
    await all_instances.push_head(b"head")
    assert [peer.heads for peer in peers] == [[], [b"head"], [b"head"]]


async def test_reports_of_unreachable_instances_are_absent():
    """Guards against a status that waits for an unreachable instance, or omits it."""
    all_instances = make(FakePeer("a"), FakePeer("b", unresponsive=True))
    collected = await all_instances.collect_reports(0)
    answered = {reply.instance: reply.report is not None for reply in collected}
    assert answered == {"own": True, "a": True, "b": False}
