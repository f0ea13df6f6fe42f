"""Tests of a group that has no connections to some of its members."""

import asyncio

import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import group
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import running_time
from bilberrystack.routing import statements

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

LIMIT_REACHED = member_link.Rejected(
    statements.Failure(statements.ErrorCode.TOO_MANY_CONNECTIONS, "full")
)


def _group(running=None):
    service = model.Service("store", 23, 0)
    served_group = group.Group(
        service=service,
        failure_domain="zone",
        instance_name="proxy",
        dialect=wire,
        clock=asyncio.get_running_loop().time,
        background_tasks=tasks.Tasks(),
        running=running,
    )
    members = [
        model.Member(name, "store", model.Endpoint("10.0.0.1", 1), "zone", 3, False, None, 1)
        for name in "abc"
    ]
    served_group.update(service, members, frozenset())
    return served_group


async def test_status_query_does_not_wait_for_a_member_at_its_connection_limit():
    """Guards against confirmations that wait 0.6 s for the status of such a member.

    Statements then reached their time limit.
    """
    served_group = _group()
    served_group.pools["b"].record_open_failure(LIMIT_REACHED)
    began_at_s = asyncio.get_running_loop().time()
    assert await served_group.query_member("b", wire.encode_status_query()) is None
    assert asyncio.get_running_loop().time() == began_at_s


async def test_without_a_grant_all_members_must_accept_connections():
    """Guards against an instance that runs a statement although it can't confirm the answer.

    Another instance has to run the statement.
    """
    served_group = _group()
    served_group.pools["b"].record_open_failure(LIMIT_REACHED)
    assert served_group.connection_limit_reached(primary_only=True)
    served_group.permission.grant(permission.Leader("a", 1), 1e9, (1, 0))
    assert not served_group.connection_limit_reached(primary_only=True)
    assert not served_group.connection_limit_reached(primary_only=False)
    for member_pool in served_group.pools.values():
        member_pool.record_open_failure(LIMIT_REACHED)
    assert served_group.connection_limit_reached(primary_only=True)
    assert served_group.connection_limit_reached(primary_only=False)


class _SlowLink:
    """A connection whose answer does not arrive."""

    def __init__(self, member):
        self.member = member

    async def run(self, _query, _expectation):
        await asyncio.Event().wait()


@pytest.mark.parametrize("stalled", [False, True])
async def test_a_member_is_suspected_for_its_own_silence_only(stalled, monkeypatch):
    """After a stall all members with a statement in flight were suspected and probed at once."""

    async def probe(_group, _member):
        """Leave the member suspected."""

    monkeypatch.setattr(group.Group, "probe", probe)
    running = running_time.RunningTime()
    served_group = _group(running)
    link = _SlowLink(served_group.pools["a"].member)
    if stalled:
        running.count_until(asyncio.get_running_loop().time())
    task = asyncio.create_task(served_group.run(link, b"", answers.READ, 2.0))
    await asyncio.sleep(group.SUSPECT_AFTER_S + 0.1)
    assert served_group.pools["a"].observations.suspected != stalled
    task.cancel()
