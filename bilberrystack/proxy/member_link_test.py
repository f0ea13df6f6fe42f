"""Tests of member links, over sockets to stand-in members on the same event loop."""

import asyncio

import pytest

from bilberrystack.core import declarations
from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import member_link
from bilberrystack.proxy import member_messages
from bilberrystack.wire import rpc
from bilberrystack_standins import member_faults
from bilberrystack_standins import member_server
from bilberrystack_standins import member_state
from bilberrystack_standins import statements

KEY = requests.RequestKey("s", 1)


def open_link(address):
    declaration = declarations.MemberDeclaration("a", address, "addis-bole", 8, 2)
    return member_link.open_member(declaration, "proxy-1")


async def start_member(**settings):
    state = member_state.MemberState("a", **settings)
    server = member_server.MemberServer(state, member_faults.Faults(connection_cost_ms=0))
    await server.start()
    return server


async def make_primary(link, term=1):
    granted, _status = await link.fence(term)
    assert granted
    assert (await link.promote(term)).primary


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.asyncio
async def test_every_call_reaches_the_member():
    """Guards against arguments or answers that are altered in transit."""
    async with await start_member(slots=2, connection_limit=8) as server:
        link = open_link(server.address)
        await make_primary(link)
        assert await link.fence(1) == (False, await link.status(positions.ZERO, 0.0))
        connection = await link.connect()
        written = await connection.write(1, KEY, statements.put("x", "é"))
        assert written.position == positions.Position(1, 2)
        assert await connection.write(1, KEY, b"") == members.Executed(
            written.body, written.position, True, 1
        )
        read = await connection.read(statements.get("x"), written.position, 0.0)
        assert statements.decode_results(read.body) == ["é"]
        assert (await connection.begin(1)).body == b"[]"
        await connection.statement(statements.add("n", 2))
        await connection.commit(requests.RequestKey("s", 2))
        await connection.begin(1)
        await connection.abort()
        cancelled = await connection.resolve(1, requests.RequestKey("s", 3))
        assert cancelled.refusal == members.Refusal.CANCELLED
        assert cancelled.position == server.state.last_log
        status = await link.status(positions.ZERO, 0.0)
        assert status == server.state.status(0.0)
        assert not (await link.follow(2, "127.0.0.1:1")).primary
        connection.close()
        link.close()
        await until(lambda: server.connection_count == 0)


@pytest.mark.asyncio
async def test_status_waits_for_position_and_term():
    """Guards against confirmations that need short polls, or that wait on after a term change."""
    async with await start_member() as server:
        link = open_link(server.address)
        await make_primary(link)
        connection = await link.connect()
        wanted = positions.Position(1, 2)
        waiting = asyncio.create_task(link.status(wanted, 60.0))
        await until(lambda: server.calls_in_flight == 1)
        await connection.write(1, KEY, statements.put("x", 1))
        assert (await waiting).last_log == wanted
        waiting = asyncio.create_task(link.status(positions.Position(1, 3), 60.0))
        await until(lambda: server.calls_in_flight == 1)
        await link.fence(2)
        assert (await waiting).promised_term == 2
        link.close()


@pytest.mark.asyncio
async def test_connection_limit_is_a_refusal():
    """Guards against treating a member at its connection limit as unreachable."""
    async with await start_member(connection_limit=2) as server:
        link = open_link(server.address)
        await link.status(positions.ZERO, 0.0)
        connection = await link.connect()
        with pytest.raises(interfaces.ConnectionRefused):
            await link.connect()
        connection.close()
        await until(lambda: server.connection_count == 1)
        (await link.connect()).close()
        link.close()


@pytest.mark.asyncio
async def test_first_calls_share_one_control_connection():
    """Guards against exhausting the member's connection limit with control connections."""
    async with await start_member() as server:
        link = open_link(server.address)
        await asyncio.gather(*(link.status(positions.ZERO, 0.0) for _ in range(5)))
        assert server.connection_count == 1
        server.close()
        with pytest.raises(interfaces.LinkLost):
            await link.status(positions.ZERO, 0.0)
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.status(positions.ZERO, 0.0)
        assert not raised.value.sent


@pytest.mark.asyncio
async def test_lost_connection_reports_whether_the_statement_was_sent():
    """Guards against reporting a statement that may have run as not run."""
    async with await start_member() as server:
        link = open_link(server.address)
        await make_primary(link)
        connection = await link.connect()
        server.switches.set(lose_answers=1)
        with pytest.raises(interfaces.LinkLost) as raised:
            await connection.write(1, KEY, statements.add("n", 1))
        assert raised.value.sent
        assert connection.closed
        with pytest.raises(interfaces.LinkLost) as raised:
            await connection.write(1, KEY, statements.add("n", 1))
        assert not raised.value.sent
        resolved = await (await link.connect()).resolve(1, KEY)
        assert resolved.duplicate
        assert statements.decode_results(resolved.body) == [1]
        link.close()


@pytest.mark.asyncio
async def test_cancelled_statement_closes_its_connection():
    """Guards against a late answer that is taken for the answer of the next statement."""
    async with await start_member() as server:
        link = open_link(server.address)
        await make_primary(link)
        connection = await link.connect()
        await connection.begin(1)
        server.switches.set(isolated_from_proxies=True)
        call = asyncio.create_task(connection.statement(statements.add("n", 1)))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait([call])
        assert connection.closed
        await until(lambda: server.connection_count == 1)
        link.close()


@pytest.mark.asyncio
async def test_cancelled_control_call_does_not_affect_others():
    """Guards against a heartbeat timeout that aborts a fence call in flight."""
    async with await start_member() as server:
        link = open_link(server.address)
        server.switches.set(isolated_from_proxies=True)
        heartbeat = asyncio.create_task(link.status(positions.ZERO, 0.0))
        fence = asyncio.create_task(link.fence(1))
        await until(lambda: server.calls_in_flight == 1)
        heartbeat.cancel()
        await asyncio.wait([heartbeat])
        server.switches.set(isolated_from_proxies=False)
        assert (await fence)[0]
        assert server.connection_count == 1
        link.close()


@pytest.mark.asyncio
async def test_unresponsive_control_connection_is_replaced(monkeypatch):
    """Guards against calls that wait for minutes on a connection whose remote end is gone."""

    monkeypatch.setattr(member_link, "CONTROL_SILENCE_TIMEOUT_S", -1.0)

    async with await start_member() as server:
        link = open_link(server.address)
        await link.status(positions.ZERO, 0.0)
        server.switches.set(isolated_from_proxies=True)
        call = asyncio.create_task(link.status(positions.ZERO, 0.0))
        await until(lambda: server.calls_in_flight == 1)
        call.cancel()
        await asyncio.wait([call])
        server.switches.set(isolated_from_proxies=False)
        await until(lambda: server.connection_count == 0)
        await link.status(positions.ZERO, 0.0)
        link.close()


@pytest.mark.asyncio
async def test_close_ends_a_connection_attempt():
    """Guards against calls that wait forever on a link that was closed."""
    async with await start_member() as server:
        server.switches.set(isolated_from_proxies=True)
        link = open_link(server.address)
        call = asyncio.create_task(link.status(positions.ZERO, 0.0))
        await until(lambda: server.calls_in_flight == 1)
        link.close()
        with pytest.raises(interfaces.LinkLost) as raised:
            await call
        assert not raised.value.sent


class Malformed:
    """Answers calls with messages that lack required fields."""

    async def hello(self, _context, _instance, _control):
        executed = members.Executed(b"", positions.ZERO, False, 0)
        return member_messages.from_reply(executed)

    async def write(self, _context, _term, _key, _body):
        reply = member_messages.from_reply(members.Executed(b"", positions.ZERO, False, 0))
        reply.body = None
        return reply

    async def status(self, _context, _wait_for, _wait_ms):
        raise ValueError("broken")


@pytest.mark.asyncio
async def test_malformed_answer_is_reported_as_a_lost_link():
    """Guards against reporting a statement as run, or as not run, after a malformed answer."""
    async with rpc.Server(member_link.SERVICE, Malformed()) as server:
        await server.start("127.0.0.1", 0)
        link = open_link(f"127.0.0.1:{server.port}")
        connection = await link.connect()
        with pytest.raises(interfaces.LinkLost) as raised:
            await connection.write(1, KEY, b"")
        assert raised.value.sent
        assert connection.closed
        with pytest.raises(interfaces.LinkLost):
            await link.status(positions.ZERO, 0.0)
        link.close()


@pytest.mark.parametrize("address", ["", "127.0.0.1", "127.0.0.1:x"])
def test_bad_address_is_an_error(address):
    """Guards against a declaration that fails only at the first connection."""
    with pytest.raises(ValueError, match="address"):
        open_link(address)
