"""Tests that the stand-in of the store is as strict as the protocol."""

import aiohttp
import pytest

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
