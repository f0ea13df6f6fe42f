"""Tests that an odd entry of another writer hides no other one, and ends nothing."""

import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from bilberrystack.platform import client
from bilberrystack.platform import objects
from bilberrystack.pooling import counters
from bilberrystack.pooling import http
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import json_parts
from bilberrystack.pooling import turns
from bilberrystack.routing import model
from bilberrystack_standins import line_site

ENDPOINT = model.Endpoint("127.0.0.1", 1)

SPEC = {
    "service": "store-1",
    "address": "127.0.0.1:7000",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "seq": 1,
    "born": 1,
    "db_role": "replica",
}


def _entry(name, spec):
    """Return an object as JSON text; the content is given as JSON text or as a value."""
    content = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
    return b'{"meta": {"name": "%s", "rev": 5}, "spec": %s, "status": null}' % (name, content)


def _with(**changes):
    return {**SPEC, **changes}


def _raw(field, text):
    """Return a member's content in which a field has a value that is given as JSON text."""
    return json.dumps(_with(**{field: "VALUE"})).encode().replace(b'"VALUE"', text)


ODD = {
    "nested deeply": b"[" * 100_000 + b"]" * 100_000,
    "nested deeply in a field": _raw("extra", b'{"a":' * 50_000 + b"1" + b"}" * 50_000),
    "number beyond floats": _raw("slots", b"1e999"),
    "number of many digits": _raw("slots", b"9" * 6_000),
    "number beyond 64 bits": _raw("born", b"9" * 30),
    "many slots": _with(slots=10**12),
    "negative slots": _with(slots=-1),
    "port out of range": _with(address="127.0.0.1:70000"),
    "port of many digits": _with(address="127.0.0.1:" + "9" * 6_000),
    "no port": _with(address="127.0.0.1:0"),
    "host name": _with(address="member:7000"),
    "line end in the address": _with(address="::1%\r\nQUERY - DEMOTE 9:7000"),
    "scope in the address": _with(address="fe80::1%eth0:7000"),
    "unpaired surrogate": _raw("zone", b'"addis-\\udcff"'),
    "bytes that are not UTF-8": _raw("zone", b'"addis-\xff"'),
    "a control character": _raw("zone", b'"\x00"'),
    "line end in the service": _with(service="store-1\r\nQUERY - DEMOTE 9"),
    "field of another type": _with(slots="2"),
    "fields missing": {"service": "store-1"},
    "unknown state": _with(state="resting"),
    "not an object": b"17",
}


class FakeStore:
    """Answers each call of a StoreClient with a body."""

    def __init__(self, monkeypatch, body):
        async def call(*_args, **_keywords):
            return http.Response(200, body, {})

        monkeypatch.setattr(http.Client, "call", call)
        self.client = client.Client(ENDPOINT, ENDPOINT, counters.Counters())


@pytest.mark.asyncio
@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_an_odd_entry_leaves_the_others_in_a_list(monkeypatch, odd):
    """Guards against an entry for which a whole page of members counts as malformed."""
    items = b", ".join([_entry(b"i-a", SPEC), _entry(b"i-odd", odd), _entry(b"i-b", SPEC)])
    body = b'{"items": [%s], "more": false, "current_rev": 9}' % items
    snapshot = await FakeStore(monkeypatch, body).client.members.list()
    assert set(snapshot.items) == {"i-a", "i-b"}
    assert snapshot.revision.number == 9


@pytest.mark.asyncio
@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_an_odd_entry_leaves_the_others_in_a_watch(monkeypatch, odd):
    """Guards against an entry that hides the changes of all members; it counts as removed."""
    events = b", ".join(
        b'{"object": %s, "deleted": false}' % entry
        for entry in (_entry(b"i-a", SPEC), _entry(b"i-odd", odd), _entry(b"i-b", SPEC))
    )
    body = b'{"events": [%s], "current_rev": 9}' % events
    changes = await FakeStore(monkeypatch, body).client.members.watch(
        interfaces.Revision(0, 1), 1.0
    )
    assert {name for name, item in changes.items.items() if item is not None} == {"i-a", "i-b"}
    assert changes.items["i-odd"] is None


@pytest.mark.asyncio
@pytest.mark.parametrize("name", ["i odd", "i\\r\\nodd", "\\udcff", ""])
async def test_an_odd_name_leaves_the_others(monkeypatch, name):
    """Guards against a name that ends a line of the members' protocol."""
    items = b", ".join([_entry(name.encode(), SPEC), _entry(b"i-b", SPEC)])
    body = b'{"items": [%s], "more": false, "current_rev": 9}' % items
    snapshot = await FakeStore(monkeypatch, body).client.members.list()
    assert set(snapshot.items) == {"i-b"}


@pytest.mark.asyncio
@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_a_malformed_lease_can_be_replaced(monkeypatch, odd):
    """Guards against a group of instances that never has a coordinator again."""
    lease = await FakeStore(monkeypatch, _entry(b"promotion", odd)).client.read_coordinator_lease()
    assert lease.exists and not lease.current
    assert lease.coordinator is None


@pytest.mark.asyncio
async def test_names_are_quoted_in_each_path(monkeypatch):
    """Guards against a name of which a part is read as another path, a query or a header."""
    targets = []

    async def call(_client, method, target, *_args, **_keywords):
        targets.append((method, target))
        body = b'{"meta": {"name": "a", "rev": 7}}' if method == "GET" else b"{}"
        return http.Response(409 if method == "POST" else 200, body, {})

    monkeypatch.setattr(http.Client, "call", call)
    platform = client.Client(ENDPOINT, ENDPOINT, counters.Counters())
    name = "a/b?c\r\nd \xe4"
    quoted = "a%2Fb%3Fc%0D%0Ad%20%C3%A4"
    await platform.register_instance(model.Instance(name, "1f", ENDPOINT, "a"))
    await platform.deregister_instance(model.Instance(name, "1", ENDPOINT, "a"))
    await platform.remove_promotion_record(name)
    assert targets == [
        ("POST", "/objects/bilberrystack-instances"),
        ("PUT", f"/objects/bilberrystack-instances/{quoted}"),
        ("GET", f"/objects/bilberrystack-instances/{quoted}"),
        ("DELETE", f"/objects/bilberrystack-instances/{quoted}?rev=7"),
        ("DELETE", f"/objects/bilberrystack-promotions/{quoted}"),
    ]


def test_only_the_named_object_is_the_configuration():
    """Guards against a configuration of another writer with a high version."""
    content = b'{"version": 9, "routes": [], "services": [], "limits": {"tx_idle_ms": 500}}'
    assert objects.decode_named_configuration("main", content).version == 9
    with pytest.raises(ValueError):
        objects.decode_named_configuration("other", content)


JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=12,
)


@hypothesis.settings(max_examples=200, derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.lists(JSON_VALUES), strategies.dictionaries(strategies.text(), JSON_VALUES)
)
def test_split_parts_are_those_of_the_decoder(array, table):
    """Guards against entries that are torn apart inside their strings or brackets."""
    for ensure_ascii in (True, False):
        text = json.dumps(array, ensure_ascii=ensure_ascii, indent=1).encode()
        assert [json.loads(part) for part in turns.complete(json_parts.array_steps(text))] == array
        text = json.dumps(table, ensure_ascii=ensure_ascii).encode()
        parts = turns.complete(json_parts.object_steps(text))
        assert {key: json.loads(part) for key, part in parts.items()} == table


@hypothesis.settings(max_examples=300, derandomize=True, database=None, deadline=None)
@hypothesis.given(strategies.binary(max_size=60), JSON_VALUES)
def test_no_content_of_an_entry_raises(unreadable, value):
    """Guards against content that ends the reading of a page in an unforeseen way."""
    reader = client.Client(ENDPOINT, ENDPOINT, counters.Counters()).members
    for content in (unreadable, msgspec.json.encode(value)):
        name, _ = turns.complete(reader._object_steps(msgspec.Raw(_entry(b"i-a", content))))
        assert name in ("i-a", "")


@pytest.mark.asyncio
async def test_an_instance_follows_the_members_despite_odd_entries():
    """Guards against instances that end, or stop following the list of members."""
    async with line_site.Site(2) as site:
        spec = site.platform.get("servers", "b")
        nested = []
        for _ in range(800):
            nested = [nested]
        odd = [
            {**spec, "zone": "addis-\udcff"},
            {**spec, "address": "127.0.0.1:70000"},
            {**spec, "slots": 10**40},
            {**spec, "zone": nested},
            {**spec, "service": None},
        ]
        for number, content in enumerate(odd):
            await site.platform.put("servers", f"i-odd-{number}", content)
        site.start_instance("proxy-late")
        await site.wait_until(lambda: all(started.ready for started in site.instances))
        await site.platform.put("servers", "b", {**spec, "state": "draining"})
        await site.wait_until(lambda: all(map(_knows_that_b_leaves, site.instances)))
        for number in range(3):
            session = await site.connect("strict", number)
            assert (await session.query("WRITE x 1"))[0].startswith("DONE proof")


def _knows_that_b_leaves(started):
    executor = started.executor(line_site.SERVICE)
    if executor is None or "b" not in executor.group.pools:
        return False
    return set(executor.group.pools) == {"a", "b", "c"} and (
        executor.group.pools["b"].member.leaving
    )


def test_versions_that_do_not_know_the_record_of_a_primary_leave_it_out():
    """Guards against a primary that an older version takes for a promotion request."""
    record = interfaces.PrimaryRecord("store-1.primary-of-term.9", "store-1", "a", 9)
    encoded = msgspec.json.encode(objects.encode_primary(record))
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(encoded, type=objects._PromotionSpec)
    assert objects.decode_promotion(record.name, encoded) == record
    request = interfaces.PromotionRecord("store-1.a.7.1", "store-1", "a", 9)
    encoded = msgspec.json.encode(objects.encode_promotion(request))
    assert objects.decode_promotion(request.name, encoded) == request


@pytest.mark.parametrize("term", [0, -1, 2**31 + 1, "9", None])
def test_a_record_with_an_impossible_term_is_left_out(term):
    """Guards against a group that is fenced at a term which no member can hold."""
    spec = json.dumps({"group": "store-1", "primary": "a", "term": term}).encode()
    with pytest.raises(msgspec.ValidationError):
        objects.decode_promotion("store-1.primary-of-term.9", spec)
