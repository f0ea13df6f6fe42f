"""Tests that no round confirms a write at a primary that is being replaced, or was."""

import asyncio

import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import counters
from bilberrystack.pooling import execution
from bilberrystack.pooling import group
from bilberrystack.pooling import tasks
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements
from bilberrystack_standins import line_group

pytestmark = pytest.mark.asyncio

ROUTE = model.Route("strict", "store", model.Consistency.PRIMARY, 1.0, 0.2, 0, None)
LEADER = permission.Leader("a", 1)


class Instance:
    """An instance without a grant, and the members of its group; the first one is the primary."""

    def __init__(self, members="abc", sync_replicas=0):
        self.service = model.Service("store", 24, sync_replicas)
        options = line_group.GroupOptions(sync_replicas=sync_replicas)
        self.members = line_group.LineGroup("store", tuple(members), options)
        self.tasks = tasks.Tasks()
        clock = asyncio.get_running_loop().time
        self.group = group.Group(
            service=self.service,
            failure_domain="zone",
            instance_name="proxy",
            dialect=wire,
            clock=clock,
            background_tasks=self.tasks,
        )
        self.executor = execution.Executor(self.group, wire, clock, counters.Counters())

    async def __aenter__(self):
        await self.members.start()
        self.group.permission.observe(LEADER)
        self.know(self.members.members)
        return self

    async def __aexit__(self, *_):
        await self.tasks.close()
        self.group.close()
        await self.members.stop()

    def know(self, ids, leaving=""):
        """Apply the members' records as the instance's cache of the store has them."""
        endpoints = {
            member_id: model.Endpoint("127.0.0.1", self.members.members[member_id].port)
            for member_id in ids
        }
        records = [
            model.Member(
                *(member_id, "store", endpoint, "zone", 2, member_id in leaving, None, 1),
            )
            for member_id, endpoint in endpoints.items()
        ]
        self.group.update(self.service, records, frozenset())

    async def write(self, request_id):
        """Return the outcome of a write."""
        now_s = asyncio.get_running_loop().time()
        request = execution.Request(
            *(request_id, "WRITE x 1", statements.Access.WRITE, None, now_s, ROUTE, {}, None)
        )
        return await self.executor.run_write(request, execution.Trace())

    async def promote_unnoticed(self, member_id):
        """Have a member lead a newer term of which the others hear nothing."""
        promoted = self.members.members[member_id]
        for member in self.members.members.values():
            member.is_isolated = True
        assert self.members.promote(member_id)
        while not promoted.is_primary:
            await asyncio.sleep(0.01)


async def test_a_round_of_all_members_confirms_a_write():
    """Guards against tests below that pass since nothing is confirmed."""
    async with Instance() as instance:
        assert (await instance.write("w1")).failure is None
        await instance.promote_unnoticed("c")
        assert (await instance.write("w2")).failure is not None


async def test_a_held_replica_does_not_confirm():
    """Guards against acknowledged commits that the member to be promoted has not received."""
    async with Instance(sync_replicas=1) as instance:
        assert (await instance.write("w1")).failure is None
        # The order to "b" is lost. A coordinator has asked for both positions since.
        await instance.group.query_member("c", wire.encode_hold(LEADER.term + 1))
        outcome = await instance.write("w2")
        await instance.promote_unnoticed("c")
        received = [entry.request_id for entry in instance.members.promotions[0].log]
        assert "w2" in received or outcome.failure is not None


async def test_a_late_resume_confirms_no_commit_that_the_promoted_member_lacks():
    """Guards against a RESUME of an earlier change that ends the HOLD of the present one."""
    async with Instance(sync_replicas=1) as instance:
        assert (await instance.write("w1")).failure is None
        # The order to "b" is lost. A coordinator has asked for both positions since.
        await instance.group.query_member("c", wire.encode_hold(LEADER.term + 1))
        await instance.group.query_member("c", wire.encode_resume())
        instance.members.members["c"].replication_stopped = True
        outcome = await instance.write("w2")
        await instance.promote_unnoticed("c")
        received = [entry.request_id for entry in instance.members.promotions[0].log]
        assert "w2" in received or outcome.failure is not None


async def test_a_member_that_was_removed_does_not_make_a_round_complete():
    """Guards against commits at a primary whose successor has no record in the store.

    A promotion request that names a member stays pending while the member is gone for seconds.
    """
    async with Instance() as instance:
        assert (await instance.write("w1")).failure is None
        instance.know("ab")
        await instance.promote_unnoticed("c")
        outcome = await instance.write("w2")
        committed = [entry.request_id for entry in instance.members.committed_entries]
        assert "w2" not in committed or outcome.failure is not None


async def test_a_member_that_is_gone_for_good_or_left_does_not_make_rounds_fail(monkeypatch):
    """Guards against instances that confirm nothing any more after a real loss."""
    async with Instance() as instance:
        confirm = instance.group.confirmation.confirm
        instance.know("ab")
        assert not await confirm(LEADER)
        instance.know("abc")
        assert await confirm(LEADER)
        instance.know("abc", leaving="c")
        instance.know("ab")
        assert await confirm(LEADER)
        instance.know("abc")
        instance.know("ab")
        assert not await confirm(LEADER)
        monkeypatch.setattr(group, "REMOVED_MEMBER_S", 0.0)
        assert await confirm(LEADER)


def _grant_on_condition(instance, may_have_ended):
    """Grant the use of the primary on condition that member c confirms each answer."""
    until_s = asyncio.get_running_loop().time() + 1e6
    named = frozenset("c")
    instance.group.permission.grant(
        LEADER, until_s, (1, 0), named, named if may_have_ended else frozenset()
    )


async def test_the_end_of_a_member_confirms_a_write_if_only_a_second_copy_may_promote_it():
    """Guards against a group without writes after the end of a former primary.

    Writes stood still for 1.0 s when the former primary's process ended after a planned change.
    """
    async with Instance() as instance:
        _grant_on_condition(instance, may_have_ended=True)
        assert (await instance.write("w1")).failure is None
        named = instance.members.members["c"]
        await named.stop()
        began_at_s = asyncio.get_running_loop().time()
        for number in range(20):
            assert (await instance.write(f"stopped-{number}")).failure is None
            await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - began_at_s < 1.0
        await named.start()
        await instance.promote_unnoticed("c")
        assert (await instance.write("w2")).failure is not None


async def test_a_silent_member_and_one_of_a_pending_request_confirm_by_answers_alone():
    """Guards against commits at a replaced primary whose successor is cut off, or has crashed."""
    async with Instance() as instance:
        _grant_on_condition(instance, may_have_ended=True)
        named = instance.members.members["c"]
        named.go_dark()
        assert (await instance.write("w1")).failure is not None
        await named.end_darkness()
    async with Instance() as instance:
        _grant_on_condition(instance, may_have_ended=False)
        await instance.members.members["c"].stop()
        assert (await instance.write("w1")).failure is not None
