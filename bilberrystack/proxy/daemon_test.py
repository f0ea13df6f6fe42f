"""Tests of whole instances over sockets on the loopback interface, with the client library."""

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
    """Instances in failure domains of their own that list each other."""

    def __init__(self, made, running):
        self.made = made
        self.running = running
        self.database = made[0].database
        self.addresses = [f"{HOST}:{one.callers_server.port}" for one in running]

    def position(self, rank):
        """Returns the position of the instance with a rank in the group's owners."""
        name = self.running[0].node.owners("g")[rank]
        return [one.settings.instance_id for one in self.made].index(name)

    def owner(self, rank=0):
        return self.made[self.position(rank)].owners[0]

    def connect(self, *positions):
        chosen = [self.addresses[position] for position in positions] or self.addresses
        return client.connect(chosen, "analyst", fakes.SECRET)

    async def raw(self, position=0):
        return await rpc.connect(callers.SERVICE, HOST, self.running[position].callers_server.port)


def listing(made, running):
    peers = f"{HOST}:{running.peers_server.port}"
    return (made.settings.instance_id, "proxy", peers, made.settings.failure_domain, "live")


@contextlib.asynccontextmanager
async def started(count):
    database = fakes.Database()
    made = [fakes.Instance(database, name, f"d-{name}") for name in "abc"[:count]]
    async with contextlib.AsyncExitStack() as stack:
        running = [await stack.enter_async_context(one.running()) for one in made]
        listed = [listing(one, run) for one, run in zip(made, running, strict=True)]
        for one in made:
            one.store.set_instances(*listed)
        await fakes.until(lambda: all(len(one.node.owners("g")) == count for one in running))
        yield Fleet(made, running)


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
    """Guards against an entry that can't reach an owner at another instance."""

    async def test(fleet):
        for position in range(3):
            async with fleet.connect(position) as connected:
                session = await connected.open_session()
                written = await session.write("g", b"w")
                assert isinstance(written, client.Answer) and written.body == b"w"
                assert (await session.read("g", b"x")).body == b"read x"
        seen = fleet.owner().seen
        marks = [one.watermark.index for one in seen if one.kind is fakes.Kind.READ]
        assert len(seen) == 6 and marks == [1, 2, 3]

    check(test, count=3)


def test_caller_must_prove_its_secret():
    """Guards against access with a wrong secret, an unknown name or no session at all."""

    async def test(fleet):
        error = errors.CallerError
        with await fleet.raw() as raw:
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
    """Guards against a flood of log lines, and against closing connections of others' requests."""

    async def test(fleet):
        lines = []
        # Under load other parts may log warnings meanwhile, for example about a slow peer.
        sink = loguru.logger.add(
            lines.append,
            level="WARNING",
            filter=lambda record: record["extra"].get("component") == "callers",
        )
        with await fleet.raw() as raw:
            session = await raw.call("open_session", "analyst", fakes.SECRET)
            for _ in range(3):
                failure = await failure_of(raw.call("execute", request(b"forged")))
                assert failure is errors.CallerError.TOKEN_FORGED
            outcome = await raw.call("execute", request(session.token))
            assert outcome.answer.body == b"read x"
        loguru.logger.remove(sink)
        assert len(lines) == 1 and "signed with an unknown key" in lines[0]

    check(test)


def test_answers_overtake_each_other_on_one_connection():
    """Guards against a slow statement that holds up the others of its connection."""

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


def test_unknown_kind_is_refused():
    """Guards against a failing call for a request of a newer client."""

    async def test(fleet):
        with await fleet.raw() as raw:
            session = await raw.call("open_session", "analyst", fakes.SECRET)
            outcome = await raw.call("execute", request(session.token, kind=99))
            assert outcome.not_run.reason == fakes.NotRunReason.INVALID_REQUEST

    check(test)


def test_planned_stop_interrupts_nothing():
    """Guards against a planned stop that loses, repeats or refuses a caller's request."""

    async def test(fleet):
        leaving_at = fleet.position(0)
        outcomes = []
        stop = asyncio.Event()

        async def work(connected):
            session = await connected.open_session()
            while not stop.is_set():
                outcomes.append(await session.write("g", b"w"))
                async with session.transaction("g") as transaction:
                    outcomes.append(await transaction.execute(b"t"))

        async with contextlib.AsyncExitStack() as stack:
            clients = [await stack.enter_async_context(fleet.connect()) for _ in range(6)]
            workers = [asyncio.create_task(work(one)) for one in clients]
            await fakes.until(lambda: len(outcomes) > 50)
            assert await fleet.running[leaving_at].leave(30.0)
            before = len(outcomes)
            await fakes.until(lambda: len(outcomes) > before + 50)
            stop.set()
            await asyncio.gather(*workers)
        assert {type(one) for one in outcomes} == {client.Answer}
        assert len(fleet.database.runs) == len(outcomes)
        assert not fleet.running[leaving_at].callers_server.connections

    check(test, count=3)


def test_planned_stop_waits_for_requests_and_transactions():
    """Guards against cutting off work in flight before the grace has passed."""

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
    """Guards against a process that ignores its stop or calls a cut-off one graceful."""

    async def serve(signals, hold):
        made = fakes.Instance(fakes.Database())
        made.store.set_instances()

        @contextlib.asynccontextmanager
        async def open_adapters(_settings):
            yield made.adapters

        serving = asyncio.create_task(daemon.serve(made.settings, open_adapters))
        printed = ""
        while not printed:
            await asyncio.sleep(0)
            printed = capsys.readouterr().out
        address = json.loads(printed)["callers"]
        async with client.connect([address], "analyst", fakes.SECRET) as connected:
            session = await connected.open_session()
            await fakes.until(lambda: made.owners)
            if hold:
                held = asyncio.create_task(session.write("g", b"hold"))
                await fakes.until(lambda: made.owners[0].seen)
            for number in signals:
                os.kill(os.getpid(), number)
                await asyncio.sleep(0.01)
            code = await serving
            if hold:
                connected.close()
                held.cancel()
        assert made.owners[0].closed
        return code

    assert asyncio.run(serve([signal.SIGTERM], hold=False)) == 0
    assert asyncio.run(serve([signal.SIGINT, signal.SIGTERM], hold=True)) == 1
