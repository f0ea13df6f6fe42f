"""Guards what a group does without connections to some of its members."""

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

FULL = member_link.Rejected(statements.Failure(statements.ErrorCode.TOO_MANY_CONNECTIONS, "full"))


def _group():
    service = model.Service("store", 23, 0)
    served = group.Group(
        service=service,
        domain="zone",
        caller="proxy",
        dialect=wire,
        clock=asyncio.get_running_loop().time,
        running=tasks.Tasks(),
    )
    members = [
        model.Member(name, "store", model.Endpoint("10.0.0.1", 1), "zone", 3, False, None, 1)
        for name in "abc"
    ]
    served.update(service, members, frozenset())
    return served


async def test_a_member_that_accepts_no_connection_is_not_waited_for():
    """Each confirmation waited 0.6 s for its status; statements reached their time limit."""
    served = _group()
    served.pools["b"].failed_to_open(FULL)
    began_s = asyncio.get_running_loop().time()
    assert await served.ask("b", wire.status()) is None
    assert asyncio.get_running_loop().time() == began_s


async def test_without_a_grant_all_members_have_to_be_reached():
    """An instance that can't confirm an answer by itself lets another one run the statement."""
    served = _group()
    served.pools["b"].failed_to_open(FULL)
    assert served.shut_out(primary=True)
    served.permission.grant(permission.Leader("a", 1), 1e9, (1, 0))
    assert not served.shut_out(primary=True)
    assert not served.shut_out(primary=False)
    for one in served.pools.values():
        one.failed_to_open(FULL)
    assert served.shut_out(primary=True)
    assert served.shut_out(primary=False)
