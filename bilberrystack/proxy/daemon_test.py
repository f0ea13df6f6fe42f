"""Tests of complete instances over loopback sockets, with the client library."""

import asyncio
import contextlib
import json
import os
import signal

import loguru
import pytest

from bilberrystack import client
from bilberrystack.core import errors
from bilberrystack.gen.callers import ttypes
from bilberrystack.proxy import callers
from bilberrystack.proxy import daemon
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.wire import rpc

HOST = "127.0.0.1"


class Fleet:
    """Running instances, each in its own failure domain, that know each other."""

    def __init__(self, fixtures, running):
        self.fixtures = fixtures
        self.running = running
        self.database = fixtures[0].database
        self.addresses = [f"{HOST}:{instance.callers_server.port}" for instance in running]

    def index_of_owner(self, rank):
        """Return the index of the instance that owns the group with a rank."""
        name = self.running[0].node.owners("g")[rank]
        return [fixture.settings.instance_id for fixture in self.fixtures].index(name)

    def owner(self, rank=0):
        return self.fixtures[self.index_of_owner(rank)].owners[0]

    def connect(self, *indices):
        chosen = [self.addresses[index] for index in indices] or self.addresses
        return client.connect(chosen, "analyst", fakes.SECRET)

    async def connect_raw(self, index=0):
        return await rpc.connect(callers.SERVICE, HOST, self.running[index].callers_server.port)


def list_entry(fixture, running):
    address = f"{HOST}:{running.peers_server.port}"
    return (fixture.settings.instance_id, "proxy", address, fixture.settings.failure_domain, "live")


@contextlib.asynccontextmanager
async def started(count):
    database = fakes.Database()
    fixtures = [fakes.Instance(database, name, f"d-{name}") for name in "abc"[:count]]
    async with contextlib.AsyncExitStack() as stack:
        running = [await stack.enter_async_context(fixture.running()) for fixture in fixtures]
        entries = [
            list_entry(fixture, instance)
            for fixture, instance in zip(fixtures, running, strict=True)
        ]
        for fixture in fixtures:
            fixture.store.set_instances(*entries)
        await fakes.until(
            lambda: all(len(instance.node.owners("g")) == count for instance in running)
        )
        yield Fleet(fixtures, running)


def check(test, count=1):
    async def main():
        async with started(count) as fleet:
            await test(fleet)

    asyncio.run(main())


def request(token, body=b"x", kind=fakes.Kind.READ, sequence=1, **fields):
    values = {"group": "g", "max_age_ms": None, "timeout_ms": 5000, "transaction": None, **fields}
    return ttypes.Request(sequence=sequence, tokens=[token], kind=kind, body=body, **values)


async def failure_of(call):
    with pytest.raises(ttypes.CallerFailure) as raised:
        await call
    return errors.CallerError(raised.value.code)


def test_session_reads_and_writes_through_any_instance():
    """Guards against an entry role that can't reach an owner at another instance."""

    async def test(fleet):
        for index in range(3):
            async with fleet.connect(index) as connected:
                session = await connected.open_session()
                written = await session.write("g", b"w")
                assert isinstance(written, client.Answer) and written.body == b"w"
                assert (await session.read("g", b"x")).body == b"read x"
        seen = fleet.owner().seen
        watermarks = [
            request.watermark.index for request in seen if request.kind is fakes.Kind.READ
        ]
        assert len(seen) == 6 and watermarks == [1, 2, 3]

    check(test, count=3)


def test_caller_must_authenticate():
    """Guards against access with a wrong secret, an unknown name or no session at all."""

    async def test(fleet):
        error = errors.CallerError
        with await fleet.connect_raw() as raw:
            for caller, secret in (("analyst", "wrong"), ("nobody", fakes.SECRET), ("", "")):
                failure = await failure_of(raw.call("open_session", caller, secret))
                assert failure is error.AUTHENTICATION_FAILED
            failure = await failure_of(raw.call("execute", request(b"token")))
            assert failure is error.NOT_AUTHENTICATED
            resumed = raw.call("resume_session", "analyst", fakes.SECRET, "not a session")
            assert await failure_of(resumed) is error.INVALID_SESSION
        assert not fleet.owner().seen

    check(test)


def test_forged_token_is_a_typed_failure_logged_once():
    """Guards against a log line per rejected request, and against closing shared connections."""

    async def test(fleet):
        lines = []
        # Under load, other components may log warnings at the same time, such as about a slow peer.
        sink = loguru.logger.add(
            lines.append,
            level="WARNING",
            filter=lambda record: record["extra"].get("component") == "callers",
        )
        with await fleet.connect_raw() as raw:
            session = await raw.call("open_session", "analyst", fakes.SECRET)
            for _ in range(3):
                failure = await failure_of(raw.call("execute", request(b"forged")))
                assert failure is errors.CallerError.TOKEN_FORGED
            outcome = await raw.call("execute", request(session.token))
            assert outcome.answer.body == b"read x"
        loguru.logger.remove(sink)
        assert len(lines) == 1 and "signed with an unknown key" in lines[0]

    check(test)


def test_answers_on_one_connection_may_arrive_out_of_order():
    """Guards against a slow statement that blocks other requests on its connection."""

    async def test(fleet):
        async with fleet.connect() as connected:
            session = await connected.open_session()
            slow = asyncio.create_task(session.write("g", b"hold"))
            await fakes.until(lambda: fleet.owner().seen)
            assert (await session.read("g", b"x")).body == b"read x"
            assert not slow.done()
            fleet.owner().release.set()
            assert (await slow).body == b"hold"

    check(test)


def test_request_of_unknown_kind_is_not_run():
    """Guards against an RPC failure for a request kind of a newer client."""

    async def test(fleet):
        with await fleet.connect_raw() as raw:
            session = await raw.call("open_session", "analyst", fakes.SECRET)
            outcome = await raw.call("execute", request(session.token, kind=99))
            assert outcome.not_run.reason == fakes.NotRunReason.INVALID_REQUEST

    check(test)


def test_graceful_shutdown_interrupts_no_request():
    """Guards against a graceful shutdown that loses, repeats or refuses a caller's request."""

    async def test(fleet):
        leaving_index = fleet.index_of_owner(0)
        outcomes = []
        stop = asyncio.Event()

        async def send_requests(connected):
            session = await connected.open_session()
            while not stop.is_set():
                outcomes.append(await session.write("g", b"w"))
                async with session.transaction("g") as transaction:
                    outcomes.append(await transaction.execute(b"t"))

        async with contextlib.AsyncExitStack() as stack:
            clients = [await stack.enter_async_context(fleet.connect()) for _ in range(6)]
            workers = [asyncio.create_task(send_requests(connected)) for connected in clients]
            await fakes.until(lambda: len(outcomes) > 50)
            assert await fleet.running[leaving_index].leave(30.0)
            count_before = len(outcomes)
            await fakes.until(lambda: len(outcomes) > count_before + 50)
            stop.set()
            await asyncio.gather(*workers)
        assert {type(outcome) for outcome in outcomes} == {client.Answer}
        assert len(fleet.database.runs) == len(outcomes)
        assert not fleet.running[leaving_index].callers_server.connections

    check(test, count=3)


def test_graceful_shutdown_waits_for_requests_and_transactions():
    """Guards against interrupting open requests and transactions within the grace period."""

    async def test(fleet):
        running = fleet.running[0]
        owner = fleet.owner()
        async with fleet.connect() as connected:
            session = await connected.open_session()
            transaction = session.transaction("g")
            await transaction.__aenter__()
            slow = asyncio.create_task(session.write("g", b"hold"))
            await fakes.until(lambda: len(owner.seen) == 2)
            leaving = asyncio.create_task(running.leave(30.0))
            await fakes.until(lambda: running.node.entry_role.leaving)
            owner.release.set()
            assert (await slow).body == b"hold"
            assert isinstance(await transaction.execute(b"t"), client.Answer)
            assert not leaving.done()
            assert isinstance(await transaction.commit(), client.Answer)
            assert await leaving

    check(test)


def test_signals_end_the_process(capsys):
    """Guards against a process that ignores signals, or that exits with 0 after an interruption."""

    async def serve(signals, hold):
        fixture = fakes.Instance(fakes.Database())
        fixture.store.set_instances()

        @contextlib.asynccontextmanager
        async def open_adapters(_settings):
            yield fixture.adapters

        serving = asyncio.create_task(daemon.serve(fixture.settings, open_adapters))
        printed = ""
        while not printed:
            await asyncio.sleep(0)
            printed = capsys.readouterr().out
        address = json.loads(printed)["callers"]
        async with client.connect([address], "analyst", fakes.SECRET) as connected:
            session = await connected.open_session()
            await fakes.until(lambda: fixture.owners)
            if hold:
                held = asyncio.create_task(session.write("g", b"hold"))
                await fakes.until(lambda: fixture.owners[0].seen)
            for signal_number in signals:
                os.kill(os.getpid(), signal_number)
                await asyncio.sleep(0.01)
            code = await serving
            if hold:
                connected.close()
                held.cancel()
        assert fixture.owners[0].closed
        return code

    assert asyncio.run(serve([signal.SIGTERM], hold=False)) == 0
    assert asyncio.run(serve([signal.SIGINT, signal.SIGTERM], hold=True)) == 1
