"""Tests that a coordinator knows the promotion requests and primaries of earlier coordinators."""

import asyncio

import pytest

from bilberrystack.routing import pending_promotions
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

KIND = "bilberrystack-promotions"


async def test_a_promotion_is_stored_before_it_is_requested_and_until_it_is_not_repeated(
    monkeypatch,
):
    """Guards against a successor that grants another primary because it knows of no promotion."""
    monkeypatch.setattr(pending_promotions, "REPEATABLE_S", 2.0)
    async with line_site.Site(2) as site:
        recorded = []
        promote = site.group.promote

        def record_names(member):
            recorded.extend(site.platform.object_names(KIND))
            return promote(member)

        site.group.promote = record_names
        await site.group.members["a"].stop()
        await site.wait_until(lambda: any(member.is_primary for member in _replicas(site)))
        assert len(recorded) == 1
        promoted = next(member for member in _replicas(site) if member.is_primary)
        newest = f"{line_site.SERVICE}.primary-of-term.{promoted.term}"
        await site.wait_until(
            lambda: site.platform.object_names(KIND) == sorted([*recorded, newest])
        )
        await site.wait_until(lambda: site.platform.get(KIND, recorded[0])["repeatable"])
        in_effect_at_s = asyncio.get_running_loop().time()
        # Only the record of the new primary remains.
        await site.wait_until(lambda: site.platform.object_names(KIND) == [newest])
        assert asyncio.get_running_loop().time() - in_effect_at_s > 1.5
        writes = [call for call in site.platform.calls if recorded[0] in call.path]
        assert [call.method for call in writes] == ["PUT", "DELETE"]


async def test_a_new_coordinator_grants_on_condition_while_a_stored_request_may_be_repeated():
    """Guards against writes at a replaced primary after a request that acts twice.

    The predecessor has seen the request in effect and another member replace its member. The
    successor does not wait for the request, and names its member in each grant.
    """
    async with line_site.Site(0) as site:
        spec = {"service": line_site.SERVICE, "member": "b", "replaced_term": 0, "repeatable": True}
        await site.platform.put(KIND, "store-1.b.7.1", spec)
        started = site.start_instance("proxy-0")
        await site.wait_until(lambda: started.ready)
        held = started.executor(line_site.SERVICE).group.permission
        granted = []
        while len(granted) < 20:
            now_s, leader = started.clock(), held.leader
            if leader is not None:
                assert not held.valid_at(leader, now_s)
                condition = held.confirming_members(leader, now_s)
                granted += [condition] if condition else []
            await asyncio.sleep(0.02)
        assert set(granted) == {frozenset({"b"})}
        assert held.leader.member == "a"
        site.group.promote("b")
        await site.wait_until(
            lambda: held.leader.member == "b" and held.valid_at(held.leader, started.clock())
        )


def _replicas(site):
    return [site.group.members[name] for name in "bc"]


async def test_a_new_coordinator_withholds_grants_while_a_stored_request_may_take_effect(
    monkeypatch,
):
    """Guards against writes at the old primary after a promotion that nobody remembers.

    The platform carries the request out after its member has answered for more than 2 s.
    """
    monkeypatch.setattr(pending_promotions, "REPEATABLE_S", 1.0)
    async with line_site.Site(0) as site:
        spec = {"service": line_site.SERVICE, "member": "b", "replaced_term": 1}
        await site.platform.put(KIND, "store-1.b.7.1", spec)
        started = site.start_instance("proxy-0")
        await site.wait_until(lambda: started.ready)
        ends_at_s = started.clock() + pending_promotions.PROMOTION_EFFECT_S * 1.7
        held = started.executor(line_site.SERVICE).group.permission
        while started.clock() < ends_at_s:
            leader = held.leader
            assert leader is None or not held.valid_at(leader, started.clock())
            await asyncio.sleep(0.02)
        site.group.promote("b")
        await site.wait_until(
            lambda: held.leader is not None and held.valid_at(held.leader, started.clock())
        )
        assert held.leader.member == "b"
        newest = f"{line_site.SERVICE}.primary-of-term.{held.leader.term}"
        await site.wait_until(lambda: site.platform.object_names(KIND) == [newest])


async def test_a_new_coordinator_grants_nothing_below_a_stored_term(monkeypatch):
    """Guards against grants of an older primary while nobody shows the newer term."""
    monkeypatch.setattr(pending_promotions, "REPEATABLE_S", 1.0)
    async with line_site.Site(0) as site:
        spec = {"group": line_site.SERVICE, "primary": "x", "term": 9}
        await site.platform.put(KIND, "store-1.primary-of-term.9", spec)
        started = site.start_instance("proxy-0")
        await site.wait_until(lambda: started.ready)
        held = started.executor(line_site.SERVICE).group.permission
        granted = []
        while not granted:
            leader = held.leader
            if leader is not None and held.valid_at(leader, started.clock()):
                granted.append(leader.term)
            await asyncio.sleep(0.02)
        assert granted[0] > 9
        newest = f"store-1.primary-of-term.{granted[-1]}"
        await site.wait_until(lambda: site.platform.object_names(KIND) == [newest])
