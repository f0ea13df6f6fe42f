"""Tests of RPC over loopback sockets."""

import asyncio

import pytest
import uvloop

from bilberrystack.gen.callers import Caller
from bilberrystack.gen.callers import ttypes
from bilberrystack.wire import codec
from bilberrystack.wire import failures
from bilberrystack.wire import rpc

SERVICE = codec.service(Caller)
HOST = "127.0.0.1"


class Handler:
    """Handler that echoes the request body.

    Requests with the body "wait" are answered when the event of their sequence number is set.
    """

    def __init__(self):
        self.release_events = {}

    async def open_session(self, _context, caller, _secret):
        if caller == "unknown":
            raise ttypes.CallerFailure(7, "no such caller")
        return ttypes.Session("s", b"t", "i")

    async def execute(self, _context, request):
        if request.body == b"wait":
            await self.release_events.setdefault(request.sequence, asyncio.Event()).wait()
        answer = ttypes.Answer(request.body, b"", str(request.sequence), False, None, False)
        return ttypes.Outcome(answer=answer)


def request(sequence, body):
    return ttypes.Request(sequence, [], "g", ttypes.Kind.READ, body, None, 1000, None)


async def start_server(handler, recorded_failures=None):
    server = rpc.Server(SERVICE, handler)
    if recorded_failures is not None:
        server.on_failure = lambda _context, failure: recorded_failures.append(failure)
    await server.start(HOST, 0, max_frame_bytes=10_000)
    return server


def test_answers_out_of_order_reach_their_own_calls():
    """Guards against replies assigned to the wrong call when they arrive out of order."""

    async def run():
        handler = Handler()
        async with await start_server(handler) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                calls = [
                    asyncio.create_task(connection.call("execute", request(number, b"wait")))
                    for number in range(5)
                ]
                while len(handler.release_events) < len(calls):
                    await asyncio.sleep(0)
                for number in reversed(range(5)):
                    handler.release_events[number].set()
                results = await asyncio.gather(*calls)
                assert [result.answer.served_by for result in results] == list("01234")

    asyncio.run(run())


def test_declared_exception_is_raised_at_the_caller():
    """Guards against a declared exception that loses its type."""

    async def run():
        async with await start_server(Handler()) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                with pytest.raises(ttypes.CallerFailure) as raised:
                    await connection.call("open_session", "unknown", "")
                assert raised.value.code == 7

    asyncio.run(run())


@pytest.mark.parametrize(
    ("data", "failure"),
    [
        (b"\xff\xff\xff\xff", failures.FrameTooLarge),
        (b"\x00\x00\x00\x04abcd", failures.MalformedFrame),
    ],
)
def test_bad_frame_closes_only_its_own_connection(data, failure):
    """Guards against a malformed frame that closes the connections of other clients."""

    async def run():
        recorded_failures = []
        async with await start_server(Handler(), recorded_failures) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as other_connection:
                reader, writer = await asyncio.open_connection(HOST, server.port)
                writer.write(data)
                assert await reader.read() == b""
                writer.close()
                result = await other_connection.call("execute", request(1, b"x"))
                assert result.answer.body == b"x"
                assert [type(recorded) for recorded in recorded_failures] == [failure]

    asyncio.run(run())


def test_missing_required_field_is_malformed():
    """Guards against handlers that receive None for a field that the schema requires."""
    frame = codec.encode("execute", 1, 1, Caller.execute_args(request(1, None)))
    with pytest.raises(failures.MalformedFrame):
        codec.decode(frame[codec.LENGTH_PREFIX.size :], lambda _header: Caller.execute_args)


def test_closed_connection_reports_whether_the_call_was_sent():
    """Guards against a sent call, which may have run, that is reported as not run."""

    async def run():
        async with await start_server(Handler()) as server:
            connection = await rpc.connect(SERVICE, HOST, server.port)
            call = asyncio.create_task(connection.call("execute", request(1, b"wait")))
            await asyncio.sleep(0)
            connection.close()
            with pytest.raises(failures.ConnectionClosed) as raised:
                await call
            assert raised.value.sent
            with pytest.raises(failures.ConnectionClosed) as raised:
                await connection.call("execute", request(2, b"x"))
            assert not raised.value.sent

    asyncio.run(run())


def test_calls_on_uvloop():
    """Guards against a dependency on transport classes that uvloop doesn't use."""

    async def run():
        async with await start_server(Handler()) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                result = await connection.call("execute", request(1, b"x"))
                assert result.answer.body == b"x"

    uvloop.run(run())


def test_broken_message_does_not_disturb_the_next_one():
    """Guards against state that a truncated message leaves in the shared protocol."""
    frame = codec.encode("execute", 1, 5, Caller.execute_args(request(1, b"x")))
    body = frame[codec.LENGTH_PREFIX.size :]
    for end in range(len(body)):
        with pytest.raises(failures.MalformedFrame):
            codec.decode(body[:end], lambda _header: Caller.execute_args)
        header, args = codec.decode(body, lambda _header: Caller.execute_args)
        assert header.sequence == 5
        assert args.request.body == b"x"


def test_answer_written_just_before_the_close_is_sent():
    """Guards against a close that drops replies queued in the same event loop iteration."""

    class Closing(Handler):
        async def execute(self, context, client_request):
            outcome = await super().execute(context, client_request)
            asyncio.get_running_loop().call_soon(context.close)
            return outcome

    async def run():
        async with await start_server(Closing()) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                result = await connection.call("execute", request(1, b"x"))
                assert result.answer.body == b"x"

    asyncio.run(run())
