"""Tests of a group that has no connections to some of its members."""

import asyncio

import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import group
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

LIMIT_REACHED = member_link.Rejected(
    statements.Failure(statements.ErrorCode.TOO_MANY_CONNECTIONS, "full")
)


def _group():
    service = model.Service("store", 23, 0)
    served_group = group.Group(
        service=service,
        failure_domain="zone",
        instance_name="proxy",
        dialect=wire,
        clock=asyncio.get_running_loop().time,
        background_tasks=tasks.Tasks(),
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
