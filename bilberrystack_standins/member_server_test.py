"""Tests of stand-in members over sockets, in one event loop."""

import asyncio
import contextlib

import aiohttp
import pytest

from bilberrystack.core import declarations
from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import member_link
from bilberrystack_standins import journal_file
from bilberrystack_standins import member_faults
from bilberrystack_standins import member_server
from bilberrystack_standins import member_state
from bilberrystack_standins import process
from bilberrystack_standins import statements

LONG_S = 600.0


def key(sequence):
    return requests.RequestKey("s", sequence)


def open_link(server):
    declaration = declarations.MemberDeclaration(
        server.state.name, server.address, "quito-norte", 8, 2
    )
    return member_link.open_member(declaration, "proxy-1")


@contextlib.asynccontextmanager
async def group(size=3, **settings):
    """Starts members; the first becomes the primary of term 1 and the others follow it."""
    async with contextlib.AsyncExitStack() as stack:
        servers = []
        for name in "abcde"[:size]:
            state = member_state.MemberState(name, **settings)
            server = member_server.MemberServer(state, member_faults.Faults(connection_cost_ms=0))
            await server.start()
            servers.append(await stack.enter_async_context(server))
        links = [open_link(server) for server in servers]
        for link in links:
            stack.callback(link.close)
        await links[0].fence(1)
        await links[0].promote(1)
        for link in links[1:]:
            await link.follow(1, servers[0].address)
        yield servers, links


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def write(link, term, sequence, amount=1):
    connection = await link.connect()
    reply = await connection.write(term, key(sequence), statements.add("n", amount))
    connection.close()
    return reply


@pytest.mark.asyncio
async def test_replicas_receive_writes():
    """Guards against a replica that receives entries but does not report or apply them."""
    async with group() as (_servers, links):
        written = await write(links[0], 1, 1)
        for link in links[1:]:
            status = await link.status(written.position, LONG_S)
            assert status.last_log == written.position
            assert status.primary_contact_s is not None
            connection = await link.connect()
            reply = await connection.read(statements.get("n"), written.position, LONG_S)
            assert statements.decode_results(reply.body) == [1]


@pytest.mark.asyncio
async def test_lags_delay_receipt_and_application():
    """Guards against lags without effect, and lowered lags that take effect too late."""
    async with group(size=2) as (servers, links):
        primary, replica = servers
        replica.switches.set(receive_lag_ms=LONG_S * 1000, apply_lag_ms=LONG_S * 1000)
        for sequence in (1, 2):
            written = await write(links[0], 1, sequence)
        delayed_status = await links[1].status(written.position, 0.2)
        assert delayed_status.last_log < written.position
        replica.switches.set(receive_lag_ms=0)
        status = await links[1].status(written.position, LONG_S)
        assert status.last_log == written.position
        connection = await links[1].connect()
        behind = await connection.read(statements.get("n"), written.position, 0.01)
        assert behind.refusal == members.Refusal.BEHIND
        replica.switches.set(apply_lag_ms=0)
        reply = await connection.read(statements.get("n"), written.position, LONG_S)
        assert statements.decode_results(reply.body) == [2]
        assert replica.state.entries == primary.state.entries


@pytest.mark.asyncio
async def test_isolated_primary_is_replaced_and_discards_its_suffix():
    """Guards against acknowledged writes that are lost, and unacknowledged ones that remain."""
    async with group() as (servers, links):
        written = await write(links[0], 1, 1)
        for link in links[1:]:
            await link.status(written.position, LONG_S)
        servers[0].switches.set(isolated_from_members=True)
        await write(links[0], 1, 2, amount=100)
        servers[0].switches.set(isolated_from_proxies=True)
        await links[1].fence(2)
        await links[2].fence(2)
        await links[1].promote(2)
        await links[2].follow(2, servers[1].address)
        again = await write(links[1], 2, 1)
        assert again.duplicate
        delayed_call = asyncio.create_task(links[0].status(positions.ZERO, 0.0))
        await until(lambda: servers[0].calls_in_flight > 0)
        assert not delayed_call.done()
        servers[0].switches.set(isolated_from_proxies=False, isolated_from_members=False)
        assert (await delayed_call).promised_term == 1
        await links[0].follow(2, servers[1].address)
        status = await links[0].status(again.position, LONG_S)
        assert status.discarded_entries == 1
        assert servers[0].state.entries == servers[1].state.entries


@pytest.mark.asyncio
async def test_call_that_arrived_during_isolation_runs_afterwards():
    """Guards against an isolation that drops calls, so that tests never see late execution."""
    async with group(size=1) as (servers, links):
        connection = await links[0].connect()
        servers[0].switches.set(isolated_from_proxies=True)
        call = asyncio.create_task(connection.write(1, key(1), statements.add("n", 1)))
        await until(lambda: servers[0].calls_in_flight == 1)
        connection.close()
        await asyncio.wait([call])
        await until(lambda: servers[0].connection_count == 1)
        assert len(servers[0].state.entries) == 1
        servers[0].switches.set(isolated_from_proxies=False)
        await until(lambda: len(servers[0].state.entries) == 2)


@pytest.mark.asyncio
async def test_connection_closed_during_isolation_does_not_count_toward_the_limit():
    """Guards against closed connections that count toward the limit forever."""
    async with group(size=1, connection_limit=2) as (servers, links):
        servers[0].switches.set(isolated_from_proxies=True)
        opening = asyncio.create_task(links[0].connect())
        await until(lambda: servers[0].calls_in_flight == 1)
        opening.cancel()
        await asyncio.wait([opening])
        servers[0].switches.set(isolated_from_proxies=False)
        await until(lambda: servers[0].calls_in_flight == 0)
        (await links[0].connect()).close()


@pytest.mark.asyncio
async def test_statements_wait_for_a_free_slot():
    """Guards against a member that runs more concurrent statements than it has slots."""
    async with group(size=1, slots=1) as (servers, links):
        connections = [await links[0].connect() for _ in range(2)]
        servers[0].switches.set(service_time_ms=20)
        calls = [
            asyncio.create_task(connection.write(1, key(number), statements.append("l", number)))
            for number, connection in enumerate(connections, 1)
        ]
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        assert [call.done() for call in calls] == [True, False]
        second = await calls[1]
        assert statements.decode_results(second.body) == [2]


@pytest.mark.asyncio
async def test_closed_connection_aborts_its_transaction():
    """Guards against transactions that stay open after their connection is closed."""
    async with group(size=1) as (servers, links):
        connection = await links[0].connect()
        await connection.begin(1)
        await connection.statement(statements.put("x", 1))
        connection.close()
        await until(lambda: servers[0].connection_count == 1)
        other_connection = await links[0].connect()
        refused = await other_connection.commit(key(1))
        assert refused.refusal == members.Refusal.NO_TRANSACTION


@pytest.mark.asyncio
async def test_switches_are_set_over_http():
    """Guards against misspelled switches that are ignored, and an ineffective `leaving` switch."""
    async with group(size=1) as (servers, links):
        app = member_faults.application(servers[0].switches)
        runner, address = await process.serve_http(app, "127.0.0.1:0")
        async with aiohttp.ClientSession(f"http://{address}") as session:
            for invalid in ({"leafing": True}, {"leaving": "yes"}):
                async with session.post("/faults", json=invalid) as answer:
                    assert answer.status == 400
            async with session.post("/faults", json={"leaving": True}) as answer:
                assert (await answer.json())["leaving"] is True
        assert (await links[0].status(positions.ZERO, 0.0)).leaving
        await runner.cleanup()


def test_incomplete_last_line_of_the_journal_is_removed(tmp_path):
    """Guards against a member that cannot restart after it was killed during a write."""
    path = tmp_path / "journal"
    with journal_file.JournalFile(path) as journal:
        state = member_state.MemberState("a", journal=journal.write)
        state.fence(1)
        state.promote(1)
        state.write(1, key(1), statements.put("x", [1, {"y": None}]))
    complete = path.read_bytes()
    path.write_bytes(complete + complete[:20])
    with journal_file.JournalFile(path) as journal:
        restarted = member_state.MemberState("a", journal=journal.write)
        restarted.restore(journal.read())
        assert restarted.entries == state.entries
        restarted.fence(2)
    with journal_file.JournalFile(path) as journal:
        assert len(journal.read()) == 4
