"""Tests that many small messages that arrive together do not stop all other work."""

import asyncio

import msgspec
import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import execution
from bilberrystack.pooling import forwarding
from bilberrystack.pooling import frames
from bilberrystack.pooling import member_link
from bilberrystack.pooling import owner_server
from bilberrystack.pooling import session
from bilberrystack.pooling import tasks
from bilberrystack.pooling import turns
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import statements
from bilberrystack_standins import line_site
from bilberrystack_standins import scripted_member

pytestmark = pytest.mark.asyncio

# Messages that fit into one step, and as many again that the loop may run for each in one turn.
MAX_MESSAGES_PER_TURN = 2 * turns.MAX_STEP_BYTES // turns.MESSAGE_WORK_BYTES

MESSAGE_COUNT = 5_000

REQUEST = msgspec.structs.replace(frames.rollback_request(0), sequence_number=3, kind="read")


def _count_calls(monkeypatch, owner, name):
    """Replace a function by one that counts its calls; return the list that receives them."""
    calls = []
    original = getattr(owner, name)

    def count(*arguments, **keywords):
        calls.append(None)
        return original(*arguments, **keywords)

    monkeypatch.setattr(owner, name, count)
    return calls


async def _most_in_a_turn(calls, count):
    """Wait for a number of calls; return the largest number in one turn of the event loop."""
    most = known = 0
    for _ in range(50_000):
        if known >= count:
            return most
        await asyncio.sleep(0)
        most, known = max(most, len(calls) - known), len(calls)
    raise AssertionError(f"only {known} of {count} messages were handled, {most} in one turn")


@pytest.mark.parametrize("text", ["FORGET name", "SET name value", "no statement", "EXEC name x"])
async def test_requests_of_one_client_that_arrive_together_are_divided(monkeypatch, text):
    """Guards against a client that stops all others: 2 MiB of requests took 1.5 to 2.1 s."""
    async with line_site.Site(1) as site:
        calls = _count_calls(monkeypatch, session.Session, "_answer_query")
        client = await site.connect("strict")
        answers = asyncio.ensure_future(client.reader.read())
        client.writer.write(f"QUERY q {text}\r\n".encode() * MESSAGE_COUNT)
        assert await _most_in_a_turn(calls, MESSAGE_COUNT) <= MAX_MESSAGES_PER_TURN
        answers.cancel()
        client.close()


@pytest.mark.parametrize(
    "request_frame",
    [
        frames.pack(frames.rollback_request(5)),
        frames.pack(msgspec.structs.replace(REQUEST, service="unknown")),
        frames.pack(msgspec.structs.replace(REQUEST, consistency="future")),
    ],
    ids=["rollback", "unknown group", "another version"],
)
async def test_frames_of_one_instance_that_arrive_together_are_divided(monkeypatch, request_frame):
    """Guards against an instance that stops an owner: 2 MiB of requests took 0.1 to 1.5 s."""
    async with line_site.Site(1) as site:
        calls = _count_calls(monkeypatch, owner_server.frames, "unpack_request")
        endpoint = site.settings[0].peers_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        answers = asyncio.ensure_future(reader.read())
        writer.write(b"forward\n" + request_frame * MESSAGE_COUNT)
        assert await _most_in_a_turn(calls, MESSAGE_COUNT) <= MAX_MESSAGES_PER_TURN
        answers.cancel()
        writer.close()


async def test_outcomes_of_one_owner_that_arrive_together_are_divided(monkeypatch):
    """Guards against an owner that stops the instances that forward to it."""
    failure = execution.failure_outcome(statements.ErrorCode.BUSY, "full")
    outcome = frames.pack(frames.encode_outcome(7, failure, execution.Trace(), 0.0, None))

    served = asyncio.Event()

    async def serve(reader, writer):
        writer.write(outcome * MESSAGE_COUNT)
        await reader.read()
        writer.close()
        served.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    endpoint = model.Endpoint("127.0.0.1", server.sockets[0].getsockname()[1])
    calls = _count_calls(monkeypatch, forwarding.frames, "unpack_outcome")
    background_tasks = tasks.Tasks()
    link = forwarding.OwnerLink(endpoint, asyncio.get_running_loop().time, background_tasks)
    call = asyncio.ensure_future(link.call(REQUEST, 30.0))
    assert await _most_in_a_turn(calls, MESSAGE_COUNT) <= MAX_MESSAGES_PER_TURN
    link.close()
    assert await call is None
    await served.wait()
    await background_tasks.close()
    server.close()


async def test_rows_that_arrive_together_are_divided(monkeypatch):
    """Guards against a result that stops all clients: 8 MiB of empty rows took 1.7 s."""
    calls = _count_calls(monkeypatch, wire, "parse_member_message")
    member = scripted_member.ScriptedMember()
    member.data_before["READ"] = [b"ROW\r\n" * MESSAGE_COUNT]
    record = model.Member(
        "a", "store", model.Endpoint("127.0.0.1", await member.start()), "zone", 1, False, None, 1
    )
    clock = asyncio.get_running_loop().time
    link = await member_link.open_link(record, None, "proxy", wire, clock)
    reading = asyncio.ensure_future(link.run(wire.encode_query("r", "READ x"), answers.READ))
    assert await _most_in_a_turn(calls, MESSAGE_COUNT) <= MAX_MESSAGES_PER_TURN
    assert len((await reading).rows) == MESSAGE_COUNT + 1
    link.close()
    await member.close()
