"""Tests of the stand-in processes."""

import asyncio

import pytest

from bilberrystack.core import declarations
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import member_link
from bilberrystack.proxy import store_http
from bilberrystack_standins import launch
from bilberrystack_standins import statements
from bilberrystack_standins import store_server
from bilberrystack_standins import store_state

LONG_S = 600.0
KEY = requests.RequestKey("s", 1)


def open_link(member):
    declaration = declarations.MemberDeclaration(
        member.options.name, member.address, "cumbaya", 8, 2
    )
    return member_link.open_member(declaration, "proxy-1")


def options(tmp_path):
    return [
        launch.MemberOptions(name, 2, 8, tmp_path / name, {"connection_cost_ms": 1.5})
        for name in "abc"
    ]


async def replace_primary(links, primary, others, term, address):
    for link in (links[primary], *(links[other] for other in others)):
        assert (await link.fence(term))[0]
    assert (await links[primary].promote(term)).primary
    for other in others:
        await links[other].follow(term, address)


@pytest.mark.asyncio
async def test_killed_primary_is_replaced_and_restarts_as_a_replica(tmp_path):
    """Guards against a member process that loses its promised term, log or records at a restart."""
    async with launch.Standins() as standins:
        members = await standins.start_members(options(tmp_path))
        links = {member.options.name: open_link(member) for member in members}
        await replace_primary(links, "a", "bc", 1, members[0].address)
        connection = await links["a"].connect()
        written = await connection.write(1, KEY, statements.add("n", 1))
        await links["b"].status(written.position, LONG_S)
        await members[0].kill()
        with pytest.raises(interfaces.LinkLost):
            await links["a"].status(positions.ZERO, 0.0)
        await replace_primary(links, "b", "c", 2, members[1].address)
        restarted = await standins.restart_member("a")
        assert restarted.address == members[0].address
        status = await links["a"].status(positions.ZERO, 0.0)
        assert (status.promised_term, status.primary) == (1, False)
        assert status.last_log == written.position
        await links["a"].follow(2, members[1].address)
        again = await (await links["b"].connect()).write(2, KEY, statements.add("n", 1))
        assert again.duplicate
        await links["a"].status(again.position, LONG_S)
        for link in links.values():
            link.close()


@pytest.mark.asyncio
async def test_paused_member_answers_after_it_resumes(tmp_path):
    """Guards against a suspension that breaks connections, and a stop that hangs on it."""
    async with launch.Standins() as standins:
        (member,) = await standins.start_members(options(tmp_path)[:1])
        await member.set_faults(leaving=True)
        link = open_link(member)
        assert (await link.status(positions.ZERO, 0.0)).leaving
        member.pause()
        call = asyncio.create_task(link.fence(1))
        await asyncio.sleep(0)
        member.resume()
        assert (await call)[0]
        link.close()
        member.pause()


@pytest.mark.asyncio
async def test_store_process_serves_objects_and_control():
    """Guards against a store that works only in the event loop of the tests."""
    async with launch.Standins() as standins:
        process = await standins.start_store()
        async with store_http.HttpStore(process.url) as store:
            instance = store_state.Instance("p1", "proxy", "127.0.0.1:1", "addis-yeka")
            await process.set_instances(store_server.InstanceList([instance]))
            listed = await store.get(store_state.INSTANCES_KEY)
            assert b"addis-yeka" in listed.value
            await process.set_faults(off=True)
            with pytest.raises(interfaces.StoreUnavailable):
                await store.get("k")
            assert await process.call_counts() == {"get": 2}


@pytest.mark.asyncio
async def test_failed_start_is_reported():
    """Guards against a start that waits forever for a process that has exited."""
    async with launch.Standins() as standins:
        invalid_options = launch.MemberOptions("a", faults={"no_such_switch": 1})
        with pytest.raises(launch.StartFailed):
            await standins.start_members([invalid_options, launch.MemberOptions("b")])
        assert list(standins.members) == ["b"]
