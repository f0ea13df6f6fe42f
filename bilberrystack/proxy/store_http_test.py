"""Tests of the store client over sockets, with the stand-in store in the same event loop."""

import asyncio
import contextlib

import aiohttp
import pytest
from aiohttp import web

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import store_http
from bilberrystack_standins import process
from bilberrystack_standins import store_server
from bilberrystack_standins import store_state

LONG_S = 600.0


@contextlib.asynccontextmanager
async def serving(app, **settings):
    runner, address = await process.serve_http(app, "127.0.0.1:0")
    async with store_http.HttpStore(f"http://{address}", **settings) as store:
        yield store, address
    await runner.cleanup()


@contextlib.asynccontextmanager
async def started(**settings):
    server = store_server.StoreServer(store_state.StoreState())
    async with serving(server.application(), **settings) as (store, _address):
        yield server, store


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.asyncio
async def test_update_requires_the_current_version():
    """Guards against operators overwriting each other's changes."""
    async with started() as (_server, store):
        assert await store.get("a/b ü&c=d") is None
        assert await store.put("a/b ü&c=d", b"\x00\xff", 0) == 1
        with pytest.raises(interfaces.VersionConflict):
            await store.put("a/b ü&c=d", b"", 0)
        assert await store.put("a/b ü&c=d", b"2", 1) == 2
        assert await store.get("a/b ü&c=d") == interfaces.StoredObject("a/b ü&c=d", b"2", 2)
        with pytest.raises(interfaces.VersionConflict):
            await store.put("absent", b"", 3)
        await store.put("a/c", b"", 0)
        assert await store.keys("a/") == ["a/b ü&c=d", "a/c"]


@pytest.mark.asyncio
async def test_watch_returns_on_a_change_or_after_its_wait():
    """Guards against instances that miss a change, or that poll the store."""
    async with started() as (server, store):
        assert await store.watch("k", 0, 0.001) is None
        waiting = asyncio.create_task(store.watch("k", 1, LONG_S))
        await until(lambda: server.state.call_counts["watch"] == 2)
        await store.put("k", b"1", 0)
        assert not waiting.done()
        await store.put("k", b"2", 1)
        assert await waiting == interfaces.StoredObject("k", b"2", 2)
        assert (await store.watch("k", 1, LONG_S)).version == 2
        assert server.state.call_counts == {"watch": 3, "put": 2}


@pytest.mark.asyncio
async def test_failed_calls_raise_store_unavailable():
    """Guards against reporting a failing store as an absent object or a conflict."""
    async with started(call_timeout_s=0.05) as (server, store):
        await store.put("k", b"1", 0)
        waiting = asyncio.create_task(store.watch("k", 1, LONG_S))
        await until(lambda: server.state.call_counts["watch"] == 1)
        server.set_faults(off=True)
        with pytest.raises(interfaces.StoreUnavailable):
            await waiting
        for call in (store.get("k"), store.put("k", b"2", 1), store.keys("")):
            with pytest.raises(interfaces.StoreUnavailable):
                await call
        server.set_faults(off=False, delay_ms=LONG_S * 1000)
        with pytest.raises(interfaces.StoreUnavailable):
            await store.get("k")
    with pytest.raises(interfaces.StoreUnavailable):
        await store.get("k")


@pytest.mark.asyncio
async def test_update_whose_answer_is_lost_takes_effect_once():
    """Guards against an HTTP client that repeats an update, which then fails with a conflict."""
    async with started() as (server, store):
        await store.put("k", b"1", 0)
        server.set_faults(lose_answers=1)
        with pytest.raises(interfaces.StoreUnavailable):
            await store.put("k", b"2", 1)
        assert await store.get("k") == interfaces.StoredObject("k", b"2", 2)
        assert server.state.call_counts["put"] == 2


@pytest.mark.asyncio
async def test_value_over_the_size_limit_is_rejected():
    """Guards against configuration parts that exceed the platform's limit."""
    async with started() as (_server, store):
        largest = bytes(store_state.MAX_VALUE_BYTES)
        await store.put("k", largest, 0)
        with pytest.raises(interfaces.StoreUnavailable, match="400"):
            await store.put("k", largest + b"1", 1)


@pytest.mark.parametrize("body", [b"", b"{}", b'{"key":"k","value":1,"version":1}'])
@pytest.mark.asyncio
async def test_malformed_response_raises_store_unavailable(body):
    """Guards against treating the response of an intermediary as an object."""

    async def answer(_request):
        return web.Response(body=body)

    app = web.Application()
    app.add_routes([web.get("/object", answer)])
    async with serving(app) as (store, _address):
        with pytest.raises(interfaces.StoreUnavailable):
            await store.get("k")


@pytest.mark.asyncio
async def test_control_endpoints_set_faults_and_the_lagging_list():
    """Guards against a list that becomes visible before its lag has passed, or out of order."""
    server = store_server.StoreServer(store_state.StoreState())
    instance = store_state.Instance("p1", "proxy", "127.0.0.1:1", "addis-yeka")
    async with serving(server.application()) as (store, address):
        async with aiohttp.ClientSession(f"http://{address}") as session:
            wanted = {
                "instances": [{**encode_instance(instance), "state": "leaving"}],
                "lag_ms": 20,
            }
            async with session.post("/control/instances", json=wanted) as answer:
                assert answer.status == 204
            assert await store.get(store_state.INSTANCES_KEY) is None
            listed = await store.watch(store_state.INSTANCES_KEY, 0, LONG_S)
            assert b'"state":"leaving"' in listed.value
            async with session.post("/control/faults", json={"of": True}) as answer:
                assert answer.status == 400
            async with session.get("/control/calls") as answer:
                assert await answer.json() == {"get": 1, "watch": 1}
    state = store_state.StoreState()
    state.set_instances([instance], 2.0)
    state.set_instances([], 1.0)
    state.advance(1.5)
    assert state.get(store_state.INSTANCES_KEY) is None
    state.advance(2.0)
    assert state.get(store_state.INSTANCES_KEY).value == b"[]"


def encode_instance(instance):
    return {
        "id": instance.id,
        "kind": instance.kind,
        "address": instance.address,
        "failure_domain": instance.failure_domain,
    }
