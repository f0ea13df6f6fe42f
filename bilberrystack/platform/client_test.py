"""Tests what the client of the store concludes from its answers."""

import msgspec
import pytest

from bilberrystack.platform import client
from bilberrystack.pooling import counters
from bilberrystack.pooling import http
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import views
from bilberrystack.routing import model

ENDPOINT = model.Endpoint("127.0.0.1", 1)


def _member(name, revision):
    spec = {"service": "s", "address": "127.0.0.1:1", "zone": "a", "slots": 1, "state": "ready"}
    spec |= {"seq": 1, "born": 1, "db_role": "replica"}
    return {"meta": {"name": name, "rev": revision}, "spec": spec}


@pytest.mark.asyncio
async def test_a_list_is_as_old_as_its_oldest_page(monkeypatch):
    """A member that had left came back from a later page that was answered with older data.

    The list counted as one of the first page's revision, so that no watch corrected it.
    """
    pages = [
        {"items": [_member("a", 5)], "more": True, "current_rev": 20},
        {"items": [_member("b", 6)], "more": False, "current_rev": 10},
    ]

    async def call(*_args, **_keywords):
        return http.Response(200, msgspec.json.encode(pages.pop(0)), {})

    monkeypatch.setattr(http.Client, "call", call)
    members = client.Client(ENDPOINT, ENDPOINT, counters.Counters()).members
    cache = views.ObjectCache(members, lambda: None)
    cache._revision = interfaces.Revision(0, 15)
    cache._items = {"a": object()}
    assert not await cache._list(allow_stale=True)
    assert "b" not in cache.items


HELD = interfaces.LeaseRecord(
    model.Instance("proxy-0", "process-0", ENDPOINT, "a"), 7, interfaces.Revision(1, 5), 1
)


def _answer(monkeypatch, status, body=b"{}"):
    """Have each call answered with a status and a body; return a client."""

    async def call(*_args, **_keywords):
        return http.Response(status, body, {"store-era": "1"})

    monkeypatch.setattr(http.Client, "call", call)
    return client.Client(ENDPOINT, ENDPOINT, counters.Counters())


@pytest.mark.asyncio
@pytest.mark.parametrize("status", [204, 400, 410, 500, 502, 504])
async def test_the_outcome_of_a_change_with_an_unknown_status_is_unknown(status, monkeypatch):
    """A coordinator acted on after its release, which had been stored and answered with 502."""
    store = _answer(monkeypatch, status)
    with pytest.raises(interfaces.NoAnswer):
        await store.write_coordinator_lease(HELD, None, HELD.token)
    with pytest.raises(interfaces.NoAnswer):
        await store.remove_promotion_record("request")


@pytest.mark.asyncio
@pytest.mark.parametrize(
    "body", [b"", b'{"meta": {"name"', b"[]", b'{"meta": {"name": "a", "rev": 6}, "spec": 1}']
)
async def test_the_outcome_of_a_change_with_a_malformed_answer_is_unknown(body, monkeypatch):
    """A coordinator acted on after its release because the answer to it was cut off."""
    store = _answer(monkeypatch, 200, body)
    with pytest.raises(interfaces.NoAnswer):
        await store.write_coordinator_lease(HELD, None, HELD.token)


@pytest.mark.asyncio
@pytest.mark.parametrize("status", [429, 503, 404])
async def test_a_change_that_the_store_refuses_is_not_done(status, monkeypatch):
    """Guards against a coordinator that does not act because the store has refused one call."""
    store = _answer(monkeypatch, status)
    with pytest.raises(interfaces.NotDone):
        await store.write_coordinator_lease(HELD, None, HELD.token)


@pytest.mark.asyncio
@pytest.mark.parametrize("status", [404, 503, 504])
async def test_a_read_without_a_valid_answer_is_not_done(status, monkeypatch):
    """Guards against a read that is taken for a change with an unknown outcome."""
    store = _answer(monkeypatch, status)
    if status == 404:
        assert not (await store.read_coordinator_lease()).exists
        return
    with pytest.raises(interfaces.NotDone):
        await store.read_coordinator_lease()
