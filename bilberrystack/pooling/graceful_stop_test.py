"""Tests that a planned stop answers every request that was read, and how its phases follow."""

import asyncio
import contextlib
import itertools
import signal
import socket
import time

import pytest

from bilberrystack.pooling import graceful_stop
from bilberrystack.pooling import instance
from bilberrystack.pooling import line_stream
from bilberrystack.pooling import session
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

GRACE_S = 4.0


def test_each_phase_leaves_time_for_the_next_one():
    """Guards against work that is begun although it can't end before the process does."""
    elapsed = [step * 0.01 for step in range(700)]
    for grace_s in (2.0, 4.0, 6.0, 30.0):
        phases = [graceful_stop.phase(elapsed_s, grace_s) for elapsed_s in elapsed]
        order = [key for key, _ in itertools.groupby(phases)]
        assert order == list(graceful_stop.Phase)[: len(order)]
        half = phases[: round(grace_s * 50)]
        assert set(half) <= {graceful_stop.Phase.SERVING}
    assert graceful_stop.phase(5.29, 6.0) is graceful_stop.Phase.ANSWERING
    assert graceful_stop.phase(5.31, 6.0) is graceful_stop.Phase.OVER


async def _read_once(site, unanswered):
    """Open a session and read; record a request whose connection ends without an answer."""
    try:
        client = await site.open_connection()
        if not (await client.send("START aged tester"))[-1].startswith("READY"):
            return
    except (OSError, IndexError):
        return
    try:
        answer = await client.query("READ x")
        if not answer or not answer[-1].startswith("READY"):
            unanswered.append(answer)
    except OSError as error:
        unanswered.append(error)
    finally:
        client.close()


@pytest.mark.asyncio
async def test_a_stop_under_load_cuts_off_no_request():
    """Guards against sessions that are accepted to the end and cut off then.

    If few instances are ready, the platform sends new sessions to those that stop, too.
    """
    options = line_group.GroupOptions(service_time_s=0.2)
    async with line_site.Site(1, options) as site:
        unanswered, clients = [], set()
        stopped = asyncio.create_task(site.wait_until_stopped())
        site.instances[0].request_stop()
        while not stopped.done():
            client = asyncio.create_task(_read_once(site, unanswered))
            clients.add(client)
            await asyncio.sleep(0.03)
        await asyncio.gather(*clients)
        assert unanswered == []


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("database", "in_transaction", "text", "code"),
    [
        ("aged", False, "READ x", "TIMEOUT"),
        ("strict", False, "WRITE x 1", "UNSURE"),
        ("strict", True, "WRITE x 1", "ABORTED"),
        ("strict", True, "COMMIT", "UNSURE"),
    ],
)
async def test_a_statement_that_outlasts_the_stop_is_answered(database, in_transaction, text, code):
    """Guards against a request in flight whose connection ends at the end of the grace time."""
    async with line_site.Site() as site:
        routes = [{**route, "timeout_ms": 20_000} for route in line_site.ROUTES]
        await site.platform.declare_configuration(2, routes)
        await site.wait_until(lambda: site.instances[0].configuration.version == 2)
        client = await site.connect(database)
        await client.query("READ x")
        if in_transaction:
            await client.query("BEGIN")
        site.group.options = line_group.GroupOptions(service_time_s=10.0)
        running = asyncio.create_task(client.query(text))
        await asyncio.sleep(0.3)
        site.instances[0].request_stop()
        answer = await running
        assert answer[0].startswith(f"ERR {code}")
        assert answer[-1].startswith("READY")
        await site.wait_until_stopped()


@pytest.mark.asyncio
async def test_a_transaction_is_told_that_it_was_rolled_back():
    """Guards against a statement that meets a connection closed after half of the grace time."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        site.instances[0].request_stop()
        await site.wait_until(lambda: site.instances[0].refuses_work)
        await asyncio.sleep(0.1)
        assert (await client.query("COMMIT", "c1"))[0].startswith("ERR ABORTED")
        assert site.group.commit_counts["c1"] == 0
        await site.wait_until_stopped()


@pytest.mark.asyncio
async def test_nothing_is_begun_shortly_before_the_end():
    """Guards against a session that is accepted when its work can't end in time."""
    async with line_site.Site() as site:
        waiting = await site.connect("strict")
        await waiting.query("SET zone a")
        open_client = await site.connect("strict")
        await open_client.query("BEGIN")
        site.instances[0].request_stop()
        await site.wait_until(lambda: site.instances[0].refuses_work)
        late = await site.open_connection()
        assert (await late.send("START strict tester"))[0].startswith("ERR BUSY")
        await site.wait_until_stopped()


@pytest.mark.asyncio
async def test_a_request_that_was_read_when_its_session_is_closed_is_answered():
    """Guards against a session that is closed between the arrival of a request and its begin."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("READ x")
        started = site.instances[0]
        (served,) = started._sessions
        await site.wait_until(lambda: not served.expects_operation)
        served._reader.feed_data(b"QUERY q1 READ x\r\n")
        served.close_when_idle()
        answer = await client.read_answer()
        assert answer[0] == "ROW -"
        assert answer[-1].startswith("READY I")


async def _connect_without_loop(site, request):
    """Open a session on a socket of its own, and read once.

    Returns:
      The socket, with which the test can send while the event loop stands still.
    """
    endpoint = site.settings[0].sessions_endpoint
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, (endpoint.host, endpoint.port))
    received = b""
    for line, end in ((b"START strict tester", b"READY I -\r\n"), (request, b"READY I 1.0\r\n")):
        await loop.sock_sendall(sock, line + b"\r\n")
        while not received.endswith(end):
            received += await loop.sock_recv(sock, 1000)
    return sock


def _send_during_stall(sock, line):
    """Send a line that arrives while the event loop stands still."""
    sock.send(line + b"\r\n")
    time.sleep(0.05)


@pytest.mark.asyncio
async def test_a_request_that_arrived_during_a_stall_is_answered():
    """Guards against a session that is closed although its client's request has arrived.

    The process stood still between the two steps in which a session is closed, which took it longer
    than the request was under way.
    """
    async with line_site.Site() as site:
        sock = await _connect_without_loop(site, b"QUERY q1 READ x")
        (served,) = site.instances[0]._sessions
        await site.wait_until(lambda: served.quiescent)
        with sock:
            served.close_when_idle()
            _send_during_stall(sock, b"QUERY q2 READ x")
            served.close_when_idle()
            answer = await asyncio.get_running_loop().sock_recv(sock, 1000)
            assert answer.startswith(b"ROW -\r\nDONE proof")


@pytest.mark.asyncio
async def test_a_request_that_arrived_behind_an_answer_is_answered(monkeypatch):
    """Guards against a stop that ends a session with its answer, although a request has arrived."""
    async with line_site.Site() as site:
        sock = await _connect_without_loop(site, b"QUERY q1 READ x")
        (served,) = site.instances[0]._sessions
        reply = session.Session._reply

        def reply_and_stall(replying, lines):
            monkeypatch.undo()
            reply(replying, lines)
            _send_during_stall(sock, b"QUERY q3 READ x")

        with sock:
            await site.wait_until(lambda: served.quiescent)
            site.instances[0].stopping = True
            monkeypatch.setattr(session.Session, "_reply", reply_and_stall)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, b"QUERY q2 READ x\r\n")
            received = b""
            while received.count(b"READY") < 2 and (data := await loop.sock_recv(sock, 1000)):
                received += data
            assert received.count(b"ROW -\r\nDONE proof") == 2


@pytest.mark.asyncio
async def test_a_session_that_arrives_as_the_stop_ends_is_refused(monkeypatch):
    """Guards against a session that is accepted in the turn in which the stop has found no work.

    Its client was told READY, and its statement could reach a member before the process ended.
    """
    async with line_site.Site() as site:
        stopping = site.instances[0]
        client_side, server_side = socket.socketpair()
        server_reader, server_writer = await asyncio.open_connection(sock=server_side)
        client = line_site.Client(*await asyncio.open_connection(sock=client_side))
        client.writer.write(b"START strict tester\r\n")
        await site.wait_until(lambda: line_stream.has_unread_data(server_reader))
        end = stopping._graceful_stop.run
        accepted = []

        async def run():
            # Long enough for the stop to end while it still begins new work.
            await end(10.0)
            # The listener starts this task when it accepts a connection.
            accepted.append(
                asyncio.create_task(stopping._serve_session(server_reader, server_writer))
            )

        monkeypatch.setattr(type(stopping._graceful_stop), "run", lambda *_: run())
        stopping.request_stop()
        await site.wait_until_stopped()
        assert (await client.read_answer())[0].startswith("ERR BUSY")
        await asyncio.gather(*accepted)
        client.close()


@pytest.mark.asyncio
async def test_a_stop_is_graceful_from_the_first_connection_on(monkeypatch):
    """Guards against a SIGTERM that ends the process while it opens its other listeners."""
    handlers = []
    listen = instance.Instance._listen

    async def record_handlers_and_listen(started):
        handlers.extend(map(signal.getsignal, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)))
        await listen(started)

    monkeypatch.setattr(instance.Instance, "_listen", record_handlers_and_listen)
    async with line_site.Site():
        assert len(handlers) == 3
        assert not {signal.SIG_DFL, signal.default_int_handler} & set(handlers)


@pytest.mark.asyncio
async def test_an_idle_session_is_closed():
    """Guards against idle sessions that keep the process until the end of the grace time."""
    async with line_site.Site() as site:
        client = await site.connect("strict")
        await client.query("READ x")
        site.instances[0].request_stop()
        async with asyncio.timeout(1.5):
            assert await client.read_answer() == []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(graceful_stop.ROTATION_REMOVAL_S):
                await site.wait_until_stopped()
