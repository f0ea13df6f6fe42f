"""Tests the failover of a group whose commits are acknowledged by a replica first."""

import pytest

from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio


async def test_replicas_are_held_for_the_promotion_and_receive_the_log_afterwards():
    """Guards against commits that are acknowledged while a member is chosen, and lost with it."""
    site = line_site.Site(2)
    site.platform.sync_replicas = 1
    async with site:
        replicas = [site.group.members[name] for name in "bc"]
        held_terms = []
        promote = site.group.promote

        def record_holds(member):
            held_terms.extend(replica.held_term for replica in replicas)
            return promote(member)

        site.group.promote = record_holds
        await site.group.members["a"].stop()
        await site.wait_until(lambda: any(replica.is_primary for replica in replicas))
        assert held_terms == [2, 2]
        await site.wait_until(lambda: not any(replica.held_term for replica in replicas))
        session = await site.connect("strict")
        answer = ["ERR BUSY"]
        while answer[0].startswith("ERR BUSY"):
            answer = await session.query("WRITE x 1")
        assert answer[0].startswith("DONE proof")
        await site.wait_until(lambda: all(len(replica.log) == 1 for replica in replicas))
