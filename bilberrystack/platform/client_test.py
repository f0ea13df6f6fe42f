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
