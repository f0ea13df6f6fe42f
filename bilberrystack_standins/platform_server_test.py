"""Tests that the stand-in of the store is as strict as the protocol."""

import contextlib

import aiohttp
import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server

pytestmark = pytest.mark.asyncio


@pytest.mark.parametrize("method", ["DELETE", "PUT"])
async def test_a_change_with_an_older_revision_is_refused(method):
    """Guards against an instance that removes or replaces what another one has just changed."""
    server = platform_server.PlatformServer({})
    await server.start()
    try:
        await server.put("kind", "name", {"value": 1})
        older = server.get_revision("kind", "name")
        await server.put("kind", "name", {"value": 2})
        url = f"http://{server.address}/objects/kind/name"
        body = {"meta": {"name": "name"}, "spec": {"value": 3}}
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, params={"rev": older}, json=body) as response:
                assert response.status == 409
                assert (await response.json())["spec"] == {"value": 2}
            assert server.get("kind", "name") == {"value": 2}
            latest = server.get_revision("kind", "name")
            async with session.request(method, url, params={"rev": latest}, json=body) as response:
                assert response.status == 200
    finally:
        await server.stop()


@contextlib.asynccontextmanager
async def _registered_primary():
    """Start a member, the primary a, whose record has been written twice; return server, member."""
    group = line_group.LineGroup("s", ("a", "b"))
    server = platform_server.PlatformServer({"s": group})
    await group.start()
    try:
        member = group.members["a"]
        await server.register_member(member)
        await server.register_member(member, "draining")
        yield server, member
    finally:
        await group.stop()


@pytest.mark.parametrize("keeps_log", [True, False])
async def test_the_record_of_a_new_process_starts_anew(keeps_log):
    """Guards against a restart that no record shows, or that keeps the former process's state."""
    async with _registered_primary() as (server, member):
        before = server.get("servers", "a")
        assert (before["seq"], before["state"]) == (2, "draining")
        await server.restart_member(member, platform_server.Restart(keeps_log, 0.01))
        after = server.get("servers", "a")
        assert after["born"] > before["born"]
        assert (after["seq"], after["state"]) == (1, "ready")
        assert after["address"] == before["address"]
        assert after["db_role"] == ("primary" if keeps_log else "replica")


@pytest.mark.parametrize("news", platform_server.News)
async def test_the_record_of_a_new_process_is_early_late_or_lost(news):
    """Guards against a dial that changes nothing."""
    async with _registered_primary() as (server, member):
        before = server.get("servers", "a")
        records = []
        original_start = member.start

        async def start(announce=None):
            async def announce_before_listening():
                assert not member.is_running
                await announce()

            await original_start(announce_before_listening if announce else None)
            records.append(server.get("servers", "a") == before)

        member.start = start
        await server.restart_member(member, platform_server.Restart(False, 0.0, news, 0.05))
        records.append(server.get("servers", "a") == before)
        assert (
            records
            == {
                platform_server.News.EARLY: [False, False],
                platform_server.News.LATE: [True, False],
                platform_server.News.LOST: [True, True],
            }[news]
        )
        assert member.record_withheld == (news is platform_server.News.LOST)
        member.group.notify_role_change(member)
        assert not member.record_withheld
