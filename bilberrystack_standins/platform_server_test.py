"""Tests that the stand-in of the store is as strict as the protocol."""

import asyncio
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


async def _request_promotion(server, timeout_s):
    """Ask for the promotion of b; return the status, or the type of the error without an answer."""
    headers = {"Duty-Holder": "one", "Fencing-Token": "1"}
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout_s)) as session:
        try:
            url, body = f"http://{server.address}/promote", {"service": "s", "id": "b"}
            async with session.post(url, json=body, headers=headers) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            return type(error)


Answer = platform_server.PromotionAnswer

# Faults of a request, with its outcome at a caller that waits for 0.1 s, and how often it has been
# carried out then and after all delays.
PROMOTION_FAULTS = {
    "none": (platform_server.PromotionFault(), 200, 1, 1),
    "answer lost": (platform_server.PromotionFault((0.0,), Answer.NEVER), TimeoutError, 1, 1),
    "reset": (platform_server.PromotionFault((0.5,), Answer.RESET), aiohttp.ClientError, 0, 1),
    "late": (platform_server.PromotionFault((0.5,)), TimeoutError, 0, 1),
    "late without an answer": (
        platform_server.PromotionFault((0.5,), Answer.NEVER),
        TimeoutError,
        0,
        1,
    ),
    "accepted": (platform_server.PromotionFault((0.5,), Answer.AT_ONCE), 200, 0, 1),
    "twice": (platform_server.PromotionFault((0.0, 0.5)), 200, 1, 2),
}


@pytest.mark.parametrize("fault", PROMOTION_FAULTS)
async def test_promotion_requests_are_late_twice_or_unanswered(fault):
    """Guards against a dial that changes nothing, or that forgets a request with its caller."""
    dial, outcome, first_count, last_count = PROMOTION_FAULTS[fault]
    group = line_group.LineGroup("s", ("a", "b"))
    server = platform_server.PlatformServer({"s": group})
    await group.start()
    await server.start()
    carried_out = []
    group.promote = lambda member: not carried_out.append(member)
    server.promotion_faults.append(dial)
    try:
        result = await _request_promotion(server, timeout_s=0.1)
        assert result == outcome or issubclass(result, outcome)
        assert carried_out == ["b"] * first_count
        assert len(server.late_promotions) == last_count - first_count
        while server.late_promotions:
            await asyncio.sleep(0.01)
        assert carried_out == ["b"] * last_count
        # Only one request was to be disturbed.
        assert await _request_promotion(server, timeout_s=1.0) == 200
    finally:
        await server.stop()
        await group.stop()


@contextlib.asynccontextmanager
async def _server_and_client():
    server = platform_server.PlatformServer({})
    await server.start()
    try:
        async with aiohttp.ClientSession(f"http://{server.address}") as session:
            yield server, session
    finally:
        await server.stop()


async def test_a_slow_store_executes_a_call_late():
    """Guards against a slow store that answers late but has executed the call at once."""
    async with _server_and_client() as (server, session):
        server.call_delay_s = 0.2
        body = {"meta": {"name": "name"}, "spec": {"value": 1}}
        creating = asyncio.create_task(session.post("/objects/kind", json=body))
        await asyncio.sleep(0.1)
        assert server.object_names("kind") == []
        assert (await creating).status == 200
        assert server.object_names("kind") == ["name"]


async def test_a_late_notification_has_all_changes_up_to_its_time():
    """Guards against watches that are answered at once, or that lose changes of a batch."""
    async with _server_and_client() as (server, session):
        await server.put("kind", "first", 0)
        server.notification_delays_s = (0.2, 0.2)
        target = f"/objects/kind?watch={server.revision}&wait_ms=2000"
        watching = asyncio.create_task(session.get(target))
        await asyncio.sleep(0.05)
        for name in ("second", "third"):
            await server.put("kind", name, 0)
            await asyncio.sleep(0.05)
            assert not watching.done()
        events = (await (await watching).json())["events"]
        assert [event["object"]["meta"]["name"] for event in events] == ["second", "third"]


async def test_a_refused_promotion_request_is_not_carried_out():
    """Guards against a status 429 behind which a promotion takes effect."""
    async with _server_and_client() as (server, session):
        server.promotions_to_refuse = 1
        response = await session.post("/promote", json={"service": "s", "id": "a"})
        assert response.status == 429
        assert server.promotion_requests == []
