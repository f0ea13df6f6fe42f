"""Tests whose answers confirm in a round that a primary still leads."""

import asyncio

import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import confirmation
from bilberrystack.pooling import tasks
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

LEADER = permission.Leader("a", 7)


class FakeGroup:
    """A group whose members answer status queries as a test has set."""

    def __init__(self, **answers):
        self.service = model.Service("store", 24, 0)
        self.permission = permission.Permission()
        self.permission.observe(LEADER)
        self.history = freshness.PositionHistory()
        self.owned = True
        self.members_without_record = frozenset()
        self.removed_members = frozenset()
        self.pools = {"a": None, **dict.fromkeys(answers)}
        self.answers = answers

    async def query_member(self, member_id, query):
        return self.answers[member_id]

    def has_ended(self, member_id):
        return False


def _status(term, primary=False, *, held=False):
    return statements.MemberStatus(primary, term, None, 0.0, 0, 1, held)


async def _confirms(**answers):
    served = confirmation.Confirmation(
        FakeGroup(**answers), wire, asyncio.get_running_loop().time, tasks.Tasks()
    )
    return await served.confirm(LEADER)


async def test_members_that_follow_the_primary_confirm_it():
    """Guards against instances without grants that refuse what they could serve."""
    assert await _confirms(b=_status(7), c=_status(7))


async def test_a_member_of_a_lower_term_does_not_confirm():
    """Guards against the word of a member that led a newer term and has restarted empty."""
    assert not await _confirms(b=_status(7), c=_status(1))
    assert not await _confirms(b=_status(6), c=_status(6))


async def test_a_newer_term_another_primary_or_silence_does_not_confirm():
    """Guards against answers of a replaced primary."""
    assert not await _confirms(b=_status(7), c=_status(8))
    assert not await _confirms(b=_status(7), c=_status(7, primary=True))
    assert not await _confirms(b=_status(7), c=None)
    assert not await _confirms()


async def test_a_round_of_an_earlier_term_is_not_shared():
    """Guards against a round for a leader's earlier term that confirms its present one."""
    served_group = FakeGroup(b=_status(7), c=_status(7))
    asked = asyncio.Event()

    async def query_member(member_id, _query):
        await asked.wait()
        return served_group.answers[member_id]

    served_group.query_member = query_member
    served = confirmation.Confirmation(
        served_group, wire, asyncio.get_running_loop().time, tasks.Tasks()
    )
    # The second statement waits for a round that begins after the first one, and has just begun to
    # wait when the leader's next term becomes known.
    earlier = [asyncio.create_task(served.confirm(LEADER)) for _ in range(2)]
    await asyncio.sleep(0)
    newer = permission.Leader("a", 8)
    served_group.permission.observe(newer)
    later = asyncio.create_task(served.confirm(newer))
    await asyncio.sleep(0)
    asked.set()
    assert await asyncio.gather(*earlier, later) == [False, False, False]


async def test_a_held_member_does_not_confirm():
    """Guards against commits that a member to be promoted is not known to have."""
    assert not await _confirms(b=_status(7), c=_status(7, held=True))
