"""Tests that what the store returns is decoded while other work goes on."""

import asyncio
import json
import urllib.parse

import pytest

from bilberrystack.platform import client
from bilberrystack.pooling import counters
from bilberrystack.pooling import http
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import json_parts_test
from bilberrystack.pooling import turns
from bilberrystack.routing import model

pytestmark = pytest.mark.asyncio

ENDPOINT = model.Endpoint("127.0.0.1", 1)

SPEC = (
    b'{"service": "store-1", "address": "127.0.0.1:7000", "zone": "a", "slots": 2, '
    b'"state": "ready", "seq": 1, "born": 1, "db_role": "replica"}'
)

# Unreadable contents of 1 MB: nested too deeply, or with many tokens and a word that is no JSON.
UNREADABLE = {
    "one array inside the other": json_parts_test.NESTED["one array inside the other"],
    "one object inside the other": json_parts_test.NESTED["one object inside the other"],
    "empty arrays": json_parts_test.NESTED["empty arrays"][:-1] + b",x]",
    "numbers": json_parts_test.NESTED["numbers"][:-1] + b",x]",
    "empty strings": json_parts_test.NESTED["empty strings"][:-1] + b",x]",
}

# Turns of the event loop in which the other work has to get its share.
MIN_TURNS = json_parts_test.TEXT_BYTES // turns.MAX_STEP_BYTES


def _entry(name, spec):
    return b'{"meta": {"name": "%s", "rev": 5}, "spec": %s, "status": null}' % (name, spec)


def _client(monkeypatch, body):
    """Return a client for a store that answers each call with a body."""

    async def call(*_args, **_keywords):
        return http.Response(200, body, {})

    monkeypatch.setattr(http.Client, "call", call)
    return client.Client(ENDPOINT, ENDPOINT, counters.Counters())


async def _run_beside(work):
    """Return the result of some work, and the number of turns of the event loop that it took."""
    task = asyncio.ensure_future(work)
    turn_count = 0
    while not task.done():
        turn_count += 1
        await asyncio.sleep(0)
    return task.result(), turn_count


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_a_list_is_decoded_while_other_work_goes_on(monkeypatch, content):
    """Guards against an unreadable entry that stops an instance at each list of the members."""
    entries = [_entry(b"a", SPEC), _entry(b"odd", content), _entry(b"b", SPEC)]
    body = b'{"items": [%s], "more": false, "current_rev": 9}' % b", ".join(entries)
    members = _client(monkeypatch, body).members
    snapshot, turn_count = await _run_beside(members.list())
    assert set(snapshot.items) == {"a", "b"}
    assert turn_count >= MIN_TURNS


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_a_watch_is_decoded_while_other_work_goes_on(monkeypatch, content):
    """Guards against an unreadable entry that stops an instance at each of its changes."""
    entries = [_entry(b"a", SPEC), _entry(b"odd", content), _entry(b"b", SPEC)]
    events = b", ".join(b'{"object": %s, "deleted": false}' % entry for entry in entries)
    members = _client(monkeypatch, b'{"events": [%s], "current_rev": 9}' % events).members
    changes, turn_count = await _run_beside(members.watch(interfaces.Revision(0, 1), 1.0))
    assert {name for name, item in changes.items.items() if item is not None} == {"a", "b"}
    assert changes.items["odd"] is None
    assert turn_count >= MIN_TURNS


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_a_lease_is_decoded_while_other_work_goes_on(monkeypatch, content):
    """Guards against an unreadable lease that stops each instance that reads it."""
    store = _client(monkeypatch, _entry(b"promotion", content))
    lease, turn_count = await _run_beside(store.read_coordinator_lease())
    assert lease.exists and lease.coordinator is None
    assert turn_count >= MIN_TURNS


async def test_many_readable_objects_are_decoded_while_other_work_goes_on(monkeypatch):
    """Guards against a watch after an outage, which returns the changes of many seconds at once."""
    event = b'{"object": %s, "deleted": false}' % _entry(b"a", SPEC)
    body = b'{"events": [%s], "current_rev": 9}' % b", ".join([event] * 5_000)
    members = _client(monkeypatch, body).members
    changes, turn_count = await _run_beside(members.watch(interfaces.Revision(0, 1), 1.0))
    assert set(changes.items) == {"a"}
    assert turn_count >= len(body) // turns.MAX_STEP_BYTES


class PagedStore:
    """Answers list calls with one object a page, in the order of the names' bytes.

    Attributes:
      targets: The targets of the calls.
    """

    def __init__(self, entries):
        self.targets = []
        self._entries = entries

    async def call(self, _method, target, *_args, **_keywords):
        """Answer a call like http.Client.call."""
        self.targets.append(target)
        query = urllib.parse.urlsplit(target).query
        after = urllib.parse.unquote_to_bytes(query.removeprefix("after="))
        names = sorted(name for name in self._entries if name > after)
        more = json.dumps(len(names) > 1).encode()
        body = b'{"items": [%s], "more": %s, "current_rev": 9}' % (self._entries[names[0]], more)
        return http.Response(200, body, {})


@pytest.mark.parametrize(
    ("name", "encoded"),
    [
        (b"n\xff", b"n\xff"),
        ("n\ud800".encode(errors="surrogatepass"), b"n\\ud800"),
        ("n\udcff".encode(errors="surrogatepass"), b"n\\udcff"),
        (b"n&more=", b"n&more="),
    ],
    ids=["not UTF-8", "high surrogate", "low surrogate", "characters of a query"],
)
async def test_an_unreadable_name_alone_in_its_page_does_not_end_the_list(
    monkeypatch, name, encoded
):
    """Guards against members that seem to be gone because a page before theirs has no good name."""
    store = PagedStore(
        {b"a": _entry(b"a", SPEC), name: _entry(encoded, SPEC), b"z": _entry(b"z", SPEC)}
    )
    monkeypatch.setattr(http.Client, "call", store.call)
    snapshot = await client.Client(ENDPOINT, ENDPOINT, counters.Counters()).members.list()
    assert {"a", "z"} <= set(snapshot.items)
    assert len(store.targets) == 3


async def test_a_name_beside_unreadable_metadata_continues_the_list(monkeypatch):
    """Guards against members that seem to be gone because of another writer's metadata."""
    odd = b'{"meta": {"name": "n", "rev": []}, "spec": %s}' % SPEC
    store = PagedStore({b"a": _entry(b"a", SPEC), b"n": odd, b"z": _entry(b"z", SPEC)})
    monkeypatch.setattr(http.Client, "call", store.call)
    snapshot = await client.Client(ENDPOINT, ENDPOINT, counters.Counters()).members.list()
    assert set(snapshot.items) == {"a", "z"}


@pytest.mark.parametrize("odd", [b'{"spec": 1}', b'{"meta": {"name": ["n"]}}', _entry(b"", b"1")])
async def test_a_page_without_any_name_does_not_end_the_list_in_silence(monkeypatch, odd):
    """Guards against a list that shows all objects behind such a page as gone."""
    store = PagedStore({b"a": _entry(b"a", SPEC), b"n": odd, b"z": _entry(b"z", SPEC)})
    monkeypatch.setattr(http.Client, "call", store.call)
    members = client.Client(ENDPOINT, ENDPOINT, counters.Counters()).members
    with pytest.raises(interfaces.NotDone, match="names no object"):
        await members.list()


async def test_a_store_that_repeats_a_page_does_not_keep_the_reader_busy(monkeypatch):
    """Guards against a list without an end."""
    body = b'{"items": [%s], "more": true, "current_rev": 9}' % _entry(b"a", SPEC)
    responses = [http.Response(200, body, {})] * 5

    async def call(*_args, **_keywords):
        return responses.pop()

    monkeypatch.setattr(http.Client, "call", call)
    members = client.Client(ENDPOINT, ENDPOINT, counters.Counters()).members
    with pytest.raises(interfaces.NotDone, match="names no object"):
        await members.list()
