"""Tests that messages of other processes neither stop an instance nor close its socket."""

import asyncio
import contextlib
import gc
import math
import random
import time

import msgspec
import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import execution
from bilberrystack.pooling import frames
from bilberrystack.pooling import member_link
from bilberrystack.pooling import messages
from bilberrystack.routing import model
from bilberrystack.routing import statements
from bilberrystack_standins import line_site

SENDER = ("127.0.0.9", 7002)
UNEXPECTED_VALUES = [
    "",
    "store-1",
    "a",
    "x:99999",
    "\0",
    -1,
    0,
    1,
    2**63 - 1,
    -0.5,
    math.nan,
    math.inf,
    None,
]
POSITION = messages.Position(1, 1)


def _valid_messages():
    """Return a valid message of each kind."""
    report = messages.Report("a", 0.1, False, 0.1, True, 1, POSITION)
    grant = messages.Grant("store-1", "a", 1, 0, POSITION, 0.1, "")
    return [
        messages.Heartbeat("proxy-9", "life", 1.0, [report], 1, ["store-1"]),
        messages.Grants("proxy-9", "life", 1, 1.0, 1.5, [grant], 1),
        messages.Withdrawal("proxy-9", "life", 1, "store-1", 1),
        messages.Acknowledgement("life", 1, "store-1", 1),
        messages.ProbeRequest("store-1", "a"),
        messages.CoordinatorDeparture("life", 1),
    ]


def _corrupted(message, rng):
    """Return the encoding of a message after replacing one or two fields and perhaps a byte.

    Some encodings are truncated.
    """
    fields = list(msgspec.to_builtins(message))
    for _ in range(rng.randint(1, 2)):
        fields[rng.randrange(len(fields))] = rng.choice(UNEXPECTED_VALUES)
    data = bytearray(msgspec.msgpack.encode(fields))
    if rng.random() < 0.3:
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.randint(0, len(data))] if rng.random() < 0.2 else data)


@pytest.mark.asyncio
async def test_an_instance_serves_despite_corrupted_datagrams():
    """Guards against an exception in the datagram callback.

    It would close the socket, and with it end all grants.
    """
    rng = random.Random(17)
    async with line_site.Site(2) as site:
        session = await site.connect("strict")
        assert (await session.query("WRITE x 1"))[0].startswith("DONE proof")
        for instance in site.instances:
            for _ in range(400):
                for message in _valid_messages():
                    instance._fleet.datagram_received(_corrupted(message, rng), SENDER)
        await asyncio.sleep(1.0)
        assert (await session.query("READ x"))[0] == "ROW 1"
        assert all(instance.ready for instance in site.instances)


@pytest.mark.asyncio
async def test_forged_grants_are_ignored():
    """Guards against grants of another process than the coordinator.

    The coordinator is recognized by its incarnation, which the store names.
    """
    async with line_site.Site(2) as site:
        session = await site.connect("strict")
        await session.query("WRITE x 1")
        forged = messages.Grants(
            *("proxy-9", "forged", 99, 0.0, 1e9),
            [messages.Grant("store-1", "b", 9, 0, POSITION, 0.0, "")],
            1,
        )
        for instance in site.instances:
            instance._fleet.datagram_received(messages.encode(forged), SENDER)
            leader = instance.executor(line_site.SERVICE).group.permission.leader
            assert leader is None or leader.member == "a"
        assert (await session.query("READ x"))[0] == "ROW 1"


@pytest.mark.asyncio
async def test_an_error_in_one_datagram_does_not_close_the_socket(monkeypatch):
    """Guards against an unexpected error that ends an instance's grants."""
    async with line_site.Site(1) as site:
        fleet = site.instances[0]._fleet

        def fail(*_):
            raise KeyError("unexpected")

        monkeypatch.setattr(type(fleet), "_handle", fail)
        fleet.datagram_received(messages.encode(messages.CoordinatorDeparture("life", 1)), SENDER)


@pytest.mark.asyncio
async def test_odd_values_from_other_processes_end_nothing():
    """Guards against nesting, numbers and ports that no code expects, in datagrams and frames."""
    nested = b"\x91" * 100_000 + b"\xc0"
    async with line_site.Site(2) as site:
        for instance in site.instances:
            instance._fleet.datagram_received(nested, SENDER)
        grants = messages.Grants(
            *("proxy-9", "forged", 1, 1.0, 1.5),
            [messages.Grant("store-1", "a", 1, 0, POSITION, 0.1, "127.0.0.1:" + "9" * 5_000)],
            1,
        )
        instance._fleet.datagram_received(messages.encode(grants), SENDER)
        endpoint = site.settings[0].peers_endpoint
        for body in (nested, msgspec.msgpack.encode([1, "write"])):
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
            writer.write(b"forward\n" + len(body).to_bytes(4) + body)
            assert await reader.read() == b""
            writer.close()
        session = await site.connect("strict")
        assert (await session.query("WRITE x 1"))[0].startswith("DONE proof")


@pytest.mark.asyncio
async def test_a_request_of_another_version_is_declined():
    """Guards against one request that ends the link on which others are waiting."""
    async with line_site.Site(1) as site:
        endpoint = site.settings[0].peers_endpoint
        request = msgspec.structs.replace(
            frames.rollback_request(0), sequence_number=7, kind="read", consistency="future"
        )
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n" + frames.pack(request))
        outcome = frames.unpack_outcome(await frames.read_body(reader))
        assert (outcome.sequence_number, outcome.declined) == (7, True)
        writer.close()


UNENCODABLE_REQUESTS = {
    "id with a blank": {"id": "a READ x"},
    "empty id": {"id": ""},
    "reserved id": {"id": "-"},
    "text with a line end": {"text": "READ x\r\nQUERY - DEMOTE 9"},
    "value with a line end": {"values": {"v": "1\r\nQUERY - DEMOTE 9"}},
    "name with a blank": {"values": {"v 1": "2"}},
    "prepared statement with a line end": {"prepared_statement": ("read", "s\r\nQUERY - RESET")},
    "begin with a line end": {
        "begin": frames.ForwardedBegin("b", "BEGIN\r\nQUERY - DEMOTE 9", False),
        "transaction_number": 9,
        "kind": "run",
    },
}


@pytest.mark.asyncio
@pytest.mark.parametrize("odd", UNENCODABLE_REQUESTS.values(), ids=UNENCODABLE_REQUESTS)
async def test_a_request_that_no_member_can_receive_is_refused(odd):
    """Guards against text of another instance that becomes a statement of its own at a member.

    The answer says that the request did not run, and the link goes on.
    """
    async with line_site.Site(1) as site:
        endpoint = site.settings[0].peers_endpoint
        valid = msgspec.structs.replace(
            frames.rollback_request(0),
            **{"sequence_number": 7, "kind": "read", "id": "r1", "text": "READ x"},
            **{"service": line_site.SERVICE, "database": "strict", "timeout_s": 5.0},
            **{"latency_objective_s": 5.0},
        )
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(b"forward\n" + frames.pack(msgspec.structs.replace(valid, **odd)))
        outcome = frames.unpack_outcome(await frames.read_body(reader))
        assert (outcome.sequence_number, outcome.error_code) == (7, "bad")
        assert not outcome.declined and not outcome.has_reply
        writer.write(frames.pack(msgspec.structs.replace(valid, sequence_number=8)))
        outcome = frames.unpack_outcome(await frames.read_body(reader))
        assert (outcome.sequence_number, outcome.done) == (8, b"DONE proof-a-r1")
        assert [run.request_id for run in site.group.executed_statements] == ["r1"]
        writer.close()


@pytest.mark.asyncio
@pytest.mark.parametrize(
    "result",
    [((b"ROW a\r\nDONE x\r\nREADY I -",), b"DONE 1"), ((), b"DONE 1\r\n"), ((), None)],
    ids=["row with a line end", "proof with a line end", "no proof"],
)
@pytest.mark.parametrize(
    ("text", "answer"), [("READ x", "ERR FAILED"), ("WRITE x 1", "ERR UNSURE")]
)
async def test_a_result_that_no_line_can_carry_is_a_failure(monkeypatch, text, answer, result):
    """Guards against rows of another instance that a client takes for further answers."""
    odd = execution.Outcome(*result)

    async def run(*_):
        return odd

    monkeypatch.setattr(execution.Executor, "run_read", run)
    monkeypatch.setattr(execution.Executor, "run_write", run)
    async with line_site.Site(1) as site:
        session = await site.connect("strict")
        received = await session.query(text)
        assert received[0].startswith(answer) and received[1:] == ["READY I -"]
        odd = execution.failure_outcome(statements.ErrorCode.BUSY, "a\r\nREADY I -")
        received = await session.query(text)
        assert received[0].startswith("ERR BUSY") and received[1:] == ["READY I -"]


@pytest.mark.asyncio
@pytest.mark.parametrize("relay", [None, model.Endpoint("127.0.0.1", 9)])
async def test_a_connection_with_an_odd_name_is_not_opened(relay):
    """Guards against a name that ends the first message to a member, and one of another type."""
    member = model.Member(
        *("a", "store-1\r\nQUERY - DEMOTE 9", model.Endpoint("127.0.0.1", 9), "a", 2),
        *(False, None, 1),
    )
    with pytest.raises(member_link.NotOpened):
        await member_link.open_link(member, relay, "proxy-0", wire, time.monotonic)


def test_an_outcome_of_another_version_is_an_error():
    """Guards against a client session that ends because an owner knows more error codes."""
    request = frames.encode_outcome(
        7,
        execution.failure_outcome(statements.ErrorCode.BUSY, "full"),
        execution.Trace(),
        0.0,
        None,
    )
    odd = msgspec.structs.replace(request, error_code="future", state="future", has_reply=True)
    outcome = frames.decode_outcome(odd, execution.Trace(), 0.0)
    assert outcome.failure.code is statements.ErrorCode.OTHER
    assert outcome.reply.state is statements.TransactionState.FAILED


@pytest.mark.parametrize(
    "row",
    [
        b"ROW replica " + b"9" * 5_000 + b" 3.1 0 0 0 0",
        b"ROW replica 99999999999999999999 3.1 0 0 0 0",
        b"ROW replica -3 3.1 0 0 0 0",
        b"ROW replica 3 3.1 0 nan 0 0",
        b"ROW replica 3 3.1 0 inf 0 0",
        b"ROW replica 3 3.1 x 0 0 0",
    ],
)
def test_odd_numbers_of_a_member_are_no_status(row):
    """Guards against a term that no datagram can carry: it ended the heartbeats of an instance."""
    assert wire.parse_member_status(row) is None


def test_an_odd_position_is_none():
    """Guards against a position that no datagram can carry."""
    assert wire.parse_position("3." + "9" * 5_000) is None
    assert wire.parse_position("99999999999999999999.1") is None


def test_a_request_with_too_many_values_is_malformed():
    """Guards against a frame whose decoding stops an instance for half a second."""
    values = {str(number): "" for number in range(frames.MAX_VALUES + 1)}
    request = msgspec.structs.replace(frames.rollback_request(0), values=values)
    with pytest.raises(msgspec.ValidationError):
        frames.unpack_request(frames.pack(request)[frames.LENGTH_BYTES :])
    values.popitem()
    unpacked = frames.unpack_request(frames.pack(request)[frames.LENGTH_BYTES :])
    assert unpacked.values == values


_ODD_NUMBERS = (0, 1, -1, 7, 2**63 - 1, -(2**63))
_ODD_TIMES_S = (0.0, -1.0, 1.0, 1e308, float("nan"), float("inf"))
_ODD_TEXTS = ("", "READ x", "WRITE x 1", "COMMIT", "-", "store-1", "strict", "\0" * 9, "x" * 5_000)

FIRST_BYTES = (
    b"START strict t\r\nQUERY q1 WRITE x 1\r\nQUERY q2 BEGIN\r\nQUERY q3 SET a b\r\nBYE\r\n",
    b"START strict t\r\nQUERY q1 PREPARE p READ z\r\nQUERY q2 EXEC p 1\r\nQUERY q3 COMMIT\r\n",
    b"GET /ready HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /metrics HTTP/1.1\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n\x81\x00",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"127.0.0.1:99999\n",
    b"\0\xff\r\n\n",
)


def _odd_request(rng):
    """Return a forwarded request of the right types whose values are drawn."""
    number, time_s, text = _ODD_NUMBERS, _ODD_TIMES_S, _ODD_TEXTS
    begin = frames.ForwardedBegin(rng.choice(text), rng.choice(("BEGIN", "BEGIN READ")), True)
    last_write = (*rng.choices(number, k=3), rng.choice(time_s))
    request = frames.ForwardedRequest(
        *(rng.choice(number), rng.choice(("read", "write", "run", "commit", "leave", "x"))),
        *(*rng.choices(text, k=2), rng.choice(("read", "write", "x"))),
        *(rng.choice((None, ("read", "z"), ("x", ""))), rng.choice(time_s)),
        *("store-1", rng.choice(text), rng.choice(("primary", "bounded_age", "x"))),
        *(*rng.choices(time_s, k=2), rng.choice(number), rng.choice((None, *time_s))),
        *({rng.choice(text): rng.choice(text)}, rng.choice((None, last_write))),
        *(rng.choice(number), rng.choice((None, begin)), rng.choice(number)),
    )
    return b"forward\n" + frames.pack(request)


async def _send_odd_bytes(endpoint, rng):
    data = bytearray(rng.choice([*FIRST_BYTES, *(_odd_request(rng) for _ in range(4))]))
    for _ in range(rng.randrange(4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    writer.write(bytes(data[: rng.randint(0, len(data))] if rng.random() < 0.3 else data))
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.read(2_000)
    writer.transport.abort()


@pytest.mark.asyncio
async def test_no_bytes_at_a_listener_end_more_than_their_connection():
    """Guards against an unhandled exception, of clients, other instances, probes and operators."""
    rng = random.Random(5)
    unhandled = []
    async with line_site.Site(2) as site:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        settings = site.settings[0]
        endpoints = (
            *(settings.sessions_endpoint, settings.readiness_endpoint, settings.metrics_endpoint),
            *(settings.peers_endpoint,) * 3,
        )
        for _ in range(30):
            await asyncio.gather(*(_send_odd_bytes(rng.choice(endpoints), rng) for _ in range(20)))
        session = await site.connect("strict")
        assert (await session.query("WRITE x 1"))[0].startswith("DONE proof")
        assert site.instances[0].ready
    gc.collect()
    assert unhandled == []
