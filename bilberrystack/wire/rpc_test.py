"""Tests of calls over real sockets on the loopback interface."""

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
    """Answers execute with the request's own body, later for lower sequence numbers."""

    def __init__(self):
        self.release = {}

    async def open_session(self, _context, caller, _secret):
        if caller == "unknown":
            raise ttypes.CallerFailure(7, "no such caller")
        return ttypes.Session("s", b"t", "i")

    async def execute(self, _context, request):
        if request.body == b"wait":
            await self.release.setdefault(request.sequence, asyncio.Event()).wait()
        answer = ttypes.Answer(request.body, b"", str(request.sequence), False, None, False)
        return ttypes.Outcome(answer=answer)


def request(sequence, body):
    return ttypes.Request(sequence, [], "g", ttypes.Kind.READ, body, None, 1000, None)


async def started(handler, failed=None):
    server = rpc.Server(SERVICE, handler)
    if failed is not None:
        server.on_failure = lambda _context, failure: failed.append(failure)
    await server.start(HOST, 0, max_frame_bytes=10_000)
    return server


def test_answers_out_of_order_reach_their_own_calls():
    """Guards against handing an answer to another call when answers overtake each other."""

    async def run():
        handler = Handler()
        async with await started(handler) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                calls = [
                    asyncio.create_task(connection.call("execute", request(number, b"wait")))
                    for number in range(5)
                ]
                while len(handler.release) < len(calls):
                    await asyncio.sleep(0)
                for number in reversed(range(5)):
                    handler.release[number].set()
                results = await asyncio.gather(*calls)
                assert [result.answer.served_by for result in results] == list("01234")

    asyncio.run(run())


def test_declared_exception_is_raised_at_the_caller():
    """Guards against losing the type of a declared failure."""

    async def run():
        async with await started(Handler()) as server:
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
    """Guards against one broken client closing the connections of others."""

    async def run():
        failed = []
        async with await started(Handler(), failed) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as good:
                reader, writer = await asyncio.open_connection(HOST, server.port)
                writer.write(data)
                assert await reader.read() == b""
                writer.close()
                result = await good.call("execute", request(1, b"x"))
                assert result.answer.body == b"x"
                assert [type(one) for one in failed] == [failure]

    asyncio.run(run())


def test_missing_required_field_is_malformed():
    """Guards against handlers that see None where the schema requires a value."""
    frame = codec.encode("execute", 1, 1, Caller.execute_args(request(1, None)))
    with pytest.raises(failures.MalformedFrame):
        codec.decode(frame[codec.LENGTH.size :], lambda _header: Caller.execute_args)


def test_closed_connection_tells_whether_the_call_was_sent():
    """Guards against reporting a call that was sent as provably not run."""

    async def run():
        async with await started(Handler()) as server:
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
    """Guards against relying on classes that only asyncio's own loop uses."""

    async def run():
        async with await started(Handler()) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                result = await connection.call("execute", request(1, b"x"))
                assert result.answer.body == b"x"

    uvloop.run(run())


def test_broken_message_does_not_disturb_the_next_one():
    """Guards against state that a half-read message leaves in the shared protocol."""
    frame = codec.encode("execute", 1, 5, Caller.execute_args(request(1, b"x")))
    body = frame[codec.LENGTH.size :]
    for end in range(len(body)):
        with pytest.raises(failures.MalformedFrame):
            codec.decode(body[:end], lambda _header: Caller.execute_args)
        header, args = codec.decode(body, lambda _header: Caller.execute_args)
        assert header.sequence == 5
        assert args.request.body == b"x"


def test_answer_written_just_before_the_close_is_sent():
    """Guards against a stop that drops the answers of the last turn of the loop."""

    class Closing(Handler):
        async def execute(self, context, one):
            outcome = await super().execute(context, one)
            asyncio.get_running_loop().call_soon(context.close)
            return outcome

    async def run():
        async with await started(Closing()) as server:
            with await rpc.connect(SERVICE, HOST, server.port) as connection:
                result = await connection.call("execute", request(1, b"x"))
                assert result.answer.body == b"x"

    asyncio.run(run())
