"""Tests that a coordinator knows the promotion requests of earlier coordinators."""

import asyncio

import pytest

from bilberrystack.routing import pending_promotions
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

KIND = "bilberrystack-promotions"


async def test_a_promotion_is_stored_before_it_is_requested_and_removed_after_its_effect():
    """Guards against a successor that grants the old primary because it knows of no promotion."""
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
        await site.wait_until(lambda: not site.platform.object_names(KIND))


def _replicas(site):
    return [site.group.members[name] for name in "bc"]


async def test_a_new_coordinator_withholds_grants_while_a_stored_request_may_take_effect():
    """Guards against writes at the old primary after a promotion that nobody remembers."""
    async with line_site.Site(0) as site:
        spec = {"service": line_site.SERVICE, "member": "b", "replaced_term": 1}
        await site.platform.put(KIND, "store-1.b.7.1", spec)
        started = site.start_instance("proxy-0")
        await site.wait_until(lambda: started.ready)
        ends_at_s = started.clock() + pending_promotions.PROMOTION_EFFECT_S * 0.7
        held = started.executor(line_site.SERVICE).group.permission
        while started.clock() < ends_at_s:
            leader = held.leader
            assert leader is None or not held.valid_at(leader, started.clock())
            await asyncio.sleep(0.02)
        await site.wait_until(
            lambda: held.leader is not None and held.valid_at(held.leader, started.clock())
        )
        await site.wait_until(lambda: not site.platform.object_names(KIND))
