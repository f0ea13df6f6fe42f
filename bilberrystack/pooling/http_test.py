"""Tests HTTP calls: the permission to send them, heads, time limits, responses and their ends."""

import asyncio
import contextlib
import socket
import sys

import pytest

from bilberrystack.pooling import http
from bilberrystack.routing import model

pytestmark = pytest.mark.asyncio

RESPONSE = b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n"


class Server:
    """A server that answers each request after a delay and stores what it has received."""

    def __init__(self, delay_s=0.0):
        self.received = []
        self._delay_s = delay_s

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = http.Client(model.Endpoint("127.0.0.1", port))
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        while data := await reader.read(65_536):
            self.received.append(data)
            await asyncio.sleep(self._delay_s)
            writer.write(RESPONSE)
        writer.close()


async def test_a_call_whose_permission_has_ended_is_not_sent():
    """A coordinator that was suspended before sending would promote with an outdated token."""
    async with Server() as server:
        with pytest.raises(http.NotSent):
            await server.client.call("POST", "/call", 0.5, b"{}", may_send=lambda: False)
        assert server.received == []


async def test_the_permission_is_checked_for_each_call():
    """The check must not be skipped on a reused connection."""
    async with Server() as server:
        permissions = [True, False]
        await server.client.call("POST", "/call", 0.5, b"{}", may_send=lambda: permissions.pop(0))
        with pytest.raises(http.NotSent):
            await server.client.call("POST", "/call", 0.5, may_send=lambda: permissions.pop(0))
        assert len(server.received) == 1


async def test_a_call_without_a_response_ends_in_time():
    """The coordinator stops 1 s before its lease ends, which relies on calls of 0.6 s at most."""
    async with Server(delay_s=5.0) as server:
        started_at_s = asyncio.get_running_loop().time()
        with pytest.raises(http.NoResponse):
            await server.client.call("GET", "/", 0.3)
        assert asyncio.get_running_loop().time() - started_at_s < 0.6


class ScriptedServer(Server):
    """A server whose answers, which name the connection, are followed by other data.

    Attributes:
      connections: Number of connections that were opened.
    """

    def __init__(self, answer, extra_data, delay_s=0.0):
        super().__init__(delay_s)
        self.connections = 0
        self._answer = answer
        self._extra_data = extra_data

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while data := await reader.read(65_536):
            self.received.append(data)
            answer = self._answer.replace(b"?", b"%d" % number)
            if self._delay_s:
                writer.write(answer)
                await asyncio.sleep(self._delay_s)
                writer.write(self._extra_data)
            else:
                writer.write(answer + self._extra_data)
        writer.close()


ANSWER = b"HTTP/1.1 200 -\r\nContent-Length: 1\r\n\r\n?"
CLOSING_ANSWER = b"HTTP/1.1 200 -\r\nConnection: close\r\nContent-Length: 1\r\n\r\n?"
SECOND_ANSWER = b"HTTP/1.1 503 -\r\nOther: x\r\nContent-Length: 3\r\n\r\nold"


@pytest.mark.parametrize("answer", [ANSWER, CLOSING_ANSWER])
@pytest.mark.parametrize(
    "extra_data", [SECOND_ANSWER, SECOND_ANSWER[:5], SECOND_ANSWER[:-1], b"no HTTP\r\n"]
)
async def test_data_behind_a_response_are_no_part_of_it_or_of_the_next(answer, extra_data):
    """Guards against a second response that changes the first, or answers the next call."""
    async with ScriptedServer(answer, extra_data) as server:
        for number in (b"1", b"2"):
            response = await server.client.call("GET", "/", 0.5)
            assert (response.status, response.body) == (200, number)
            assert "other" not in response.headers


async def test_each_call_has_a_connection_of_its_own():
    """Guards against a late second response that is taken for the one to the next call."""
    async with ScriptedServer(ANSWER, SECOND_ANSWER, delay_s=0.02) as server:
        for number in (b"1", b"2"):
            response = await server.client.call("GET", "/", 0.5)
            assert (response.status, response.body) == (200, number)
        assert server.connections == 2


@pytest.mark.parametrize(
    ("target", "headers"),
    [
        ("/names/a\r\nX: 1", {}),
        ("/names/a b", {}),
        ("/names/a\nb", {}),
        ("/names/\xe4", {}),
        ("names", {}),
        ("/call", {"Sender": "a\r\nX: 1"}),
        ("/call", {"Sender": "a\nb"}),
        ("/call", {"Sender": "a\x00"}),
        ("/call", {"Sender": "\udcff"}),
        ("/call", {"Duty Holder": "a"}),
    ],
)
async def test_a_call_whose_head_can_t_carry_a_value_is_not_sent(target, headers):
    """Guards against a name that adds a header field, or a second request, to a call."""
    async with Server() as server:
        with pytest.raises(http.NotSent):
            await server.client.call("POST", target, 0.5, b"{}", headers=headers)
        await server.client.call("POST", "/names/a%0Ab", 0.5, headers={"Sender": "\xe4 b"})
        assert len(server.received) == 1


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 101 -\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nother protocol",
        b"HTTP/1.1 101 -\r\nConnection: upgrade\r\nUpgrade: x\r\nContent-Length: 9\r\n\r\n",
    ],
)
async def test_a_change_of_the_protocol_is_a_response_or_none(answer):
    """Guards against an error of the parser that ends the work that has made the call."""
    async with ScriptedServer(answer, b"") as server:
        with contextlib.suppress(http.NoResponse):
            assert (await server.client.call("GET", "/", 0.3)).status == 101


@pytest.mark.parametrize(
    "request_head",
    [
        b"GET /ready HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        b"CONNECT /ready HTTP/1.1\r\n\r\n",
        b"GET /ready HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n\x81\x00",
    ],
)
async def test_a_request_for_another_protocol_is_answered(request_head):
    """An instance left such a probe without an answer, and logged an unhandled exception."""
    unhandled = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: unhandled.append(context))

    async def serve(reader, writer):
        await http.serve_pages(reader, writer, lambda _target: (200, b"ready\n"))

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(request_head)
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
        writer.close()
    assert unhandled == []


def _listen_without_room():
    """Return a listening socket whose connections take only the first bytes while nobody reads."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


# More than the receiver takes, and less than the sender's kernel does.
_HELD_UP_BODY = b"x" * 100_000

_CALLER = """
import asyncio, sys
from bilberrystack.pooling import http
from bilberrystack.routing import model
client = http.Client(model.Endpoint("127.0.0.1", int(sys.argv[1])))
asyncio.run(client.call("POST", "/promote", 30.0, b"x" * 100_000))
"""


def _read_to_end(connection):
    """Read what was held up; return whether all of it arrives."""
    received_bytes = 0
    connection.settimeout(5.0)
    try:
        while data := connection.recv(65_536):
            received_bytes += len(data)
    except ConnectionResetError:
        return False
    return received_bytes > len(_HELD_UP_BODY)


async def test_a_held_up_request_does_not_arrive_after_its_time_limit():
    """A promotion request arrived after the coordinator had given it up."""
    with _listen_without_room() as listener:
        client = http.Client(model.Endpoint(*listener.getsockname()))
        with pytest.raises(http.NoResponse):
            await client.call("POST", "/promote", 0.2, _HELD_UP_BODY)
        connection, _ = listener.accept()
        with connection:
            assert not await asyncio.to_thread(_read_to_end, connection)


async def test_a_held_up_request_does_not_arrive_after_the_end_of_its_sender():
    """A promotion request of a killed coordinator arrived while its successor was at work."""
    with _listen_without_room() as listener:
        listener.settimeout(10.0)
        arguments = ("-c", _CALLER, str(listener.getsockname()[1]))
        caller = await asyncio.create_subprocess_exec(sys.executable, *arguments)
        connection, _ = await asyncio.to_thread(listener.accept)
        with connection:
            await asyncio.sleep(0.3)
            caller.kill()
            await caller.wait()
            assert not await asyncio.to_thread(_read_to_end, connection)


async def test_a_call_with_a_response_ends_its_connection_without_a_reset():
    """Guards against a server that takes each answered call for one that was broken off."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = http.Client(model.Endpoint(*listener.getsockname()))
        call = asyncio.create_task(client.call("GET", "/page", 5.0))
        connection, _ = await asyncio.to_thread(listener.accept)
        with connection:
            assert await asyncio.to_thread(connection.recv, 65_536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await call).status == 200
            assert await asyncio.to_thread(connection.recv, 65_536) == b""
