"""Tests of whole instances over sockets on the loopback interface, with the client library."""

import asyncio
import contextlib
import json
import os
import random
import signal

import loguru
import pytest

from bilberrystack import client
from bilberrystack.client import gateway
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
            one.store.list_instances(*listed)
        await fakes.until(lambda: all(len(one.node.owners("g")) == count for one in running))
        yield Fleet(made, running)


def check(test, count=1):
    async def main():
        async with started(count) as fleet:
            await test(fleet)

    asyncio.run(main())


def request(token, body=b"x", kind=fakes.K.READ, sequence=1, **fields):
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
        marks = [one.watermark.index for one in seen if one.kind is fakes.K.READ]
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
        sink = loguru.logger.add(lines.append, level="WARNING")
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
            assert outcome.not_run.reason == fakes.R.INVALID_REQUEST

    check(test)


def test_session_roams_with_its_tokens():
    """Guards against reads that miss the session's writes at another instance."""

    async def test(fleet):
        async with fleet.connect(0) as first:
            session = await first.open_session()
            await session.write("g", b"w")
            saved = session.save()
        async with fleet.connect(1) as second:
            await second.restore(saved).read("g", b"x")
            resumed = await second.resume_session(saved.id)
            await resumed.read("g", b"x")
        reads = [one for one in fleet.owner().seen if one.kind is fakes.K.READ]
        assert reads[0].watermark.index == 1 and reads[1].watermark is None
        assert len({one.key.sequence for one in fleet.owner().seen}) == 3

    check(test, count=3)


@pytest.mark.parametrize("idempotent", [False, True])
def test_write_lost_with_its_proxy_takes_effect_once(idempotent):
    """Guards against a duplicate enrolment or a lost answer when the entry instance dies."""

    async def test(fleet):
        entry_at = fleet.position(1)
        async with fleet.connect(entry_at, fleet.position(2)) as connected:
            session = await connected.open_session()
            used = next(one for one in fleet.running if one.callers_server.connections)
            write = asyncio.create_task(session.write("g", b"hold", idempotent=idempotent))
            await fakes.until(lambda: fleet.owner().seen)
            fleet.owner().release.set()
            used.callers_server.close()
            outcome = await write
            assert outcome.body == b"hold" and outcome.duplicate
        assert fleet.database.runs == [b"hold"]
        second = fakes.K.IDEMPOTENT_WRITE if idempotent else fakes.K.RESOLVE
        assert [one.kind for one in fleet.owner().seen][1] is second

    check(test, count=3)


class BadProxy:
    """A proxy that breaks the connection with every request, is stopped, or is slow."""

    def __init__(self, role, fault):
        self.role = role
        self.fault = fault
        self.executed = 0
        self.resumed = 0

    async def open_session(self, _context, caller, _secret):
        return ttypes.Session("f" * 32, self.role.new_token("f" * 32, caller, True), "x")

    async def resume_session(self, context, caller, secret, _session):
        self.resumed += 1
        if self.fault == "stopped":
            await asyncio.Event().wait()
        return await self.open_session(context, caller, secret)

    async def execute(self, context, request):
        self.executed += 1
        if self.fault == "broken":
            context.close()
        if self.fault != "slow":
            await asyncio.Event().wait()
        await fakes.until(lambda: self.resumed > 10)
        answer = ttypes.Answer(b"slow", request.tokens[0], "m", False, None, False)
        return ttypes.Outcome(answer=answer)


@contextlib.asynccontextmanager
async def behind(fleet, fault):
    """Connects a client to a bad proxy first."""
    handler = BadProxy(fleet.running[0].node.entry_role, fault)
    async with rpc.Server(callers.SERVICE, handler) as bad:
        await bad.start(HOST, 0)
        chooser = random.Random()
        chooser.shuffle = lambda _addresses: None
        addresses = [f"{HOST}:{bad.port}", *fleet.addresses]
        async with client.connect(addresses, "analyst", fakes.SECRET, chooser=chooser) as connected:
            yield handler, await connected.open_session()


@pytest.mark.parametrize("fault", ["broken", "stopped"])
def test_write_that_never_reached_an_owner_is_cancelled_and_sent_again(fault, monkeypatch):
    """Guards against failing, repeating or holding up a write that a proxy did not forward."""
    monkeypatch.setattr(gateway, "PROBE_INTERVAL_S", 0.01)
    monkeypatch.setattr(gateway, "SILENCE_LIMIT_S", 0.03)

    async def test(fleet):
        async with behind(fleet, fault) as (handler, session):
            outcome = await session.write("g", b"w")
        assert outcome.body == b"w" and not outcome.duplicate and handler.executed == 1
        assert fleet.database.runs == [b"w"] and len(fleet.database.cancelled) == 1

    check(test)


def test_slow_answer_of_a_living_proxy_is_waited_for(monkeypatch):
    """Guards against giving up a proxy because a statement takes long."""
    monkeypatch.setattr(gateway, "PROBE_INTERVAL_S", 0.01)
    monkeypatch.setattr(gateway, "SILENCE_LIMIT_S", 1.0)

    async def test(fleet):
        async with behind(fleet, "slow") as (handler, session):
            assert (await session.write("g", b"w")).body == b"slow"
        assert handler.executed == 1 and not fleet.owner().seen

    check(test)


def test_transaction_continues_through_another_proxy():
    """Guards against aborting a transaction because the entry instance died."""

    async def test(fleet):
        async with fleet.connect(fleet.position(1), fleet.position(2)) as connected:
            session = await connected.open_session()
            async with session.transaction("g") as transaction:
                await transaction.execute(b"a")
                used = next(one for one in fleet.running if one.callers_server.connections)
                used.callers_server.close()
                # A statement that is sent while the connection breaks would have no known outcome.
                await fakes.until(lambda: connected._gateway._current.closed)
                await transaction.execute(b"b")
        assert fleet.database.runs == [b"a,b"]

    check(test, count=3)


def test_transaction_aborts_after_an_exception_and_tells_a_failed_commit():
    """Guards against committing half a transaction, and against a lost commit that looks fine."""

    async def test(fleet):
        async with fleet.connect() as connected:
            session = await connected.open_session()
            with pytest.raises(ZeroDivisionError):
                async with session.transaction("g") as transaction:
                    await transaction.execute(b"a")
                    raise ZeroDivisionError
            assert fleet.database.runs == [] and not fleet.owner().transactions
            with pytest.raises(client.TransactionFailed) as raised:
                async with session.transaction("g") as transaction:
                    fleet.owner().transactions.clear()
                    assert isinstance(await transaction.execute(b"b"), client.NotRun)
            assert raised.value.outcome.reason is fakes.R.TRANSACTION_ABORTED
            fleet.owner().refuse = fakes.R.QUEUE_FULL
            with pytest.raises(client.TransactionFailed):
                async with session.transaction("g"):
                    pass

    check(test)


def test_rejected_caller_and_missing_proxies_are_typed():
    """Guards against a client that tries for ever with a wrong secret or a wrong address."""

    async def test(fleet):
        async with client.connect(fleet.addresses, "analyst", "wrong") as connected:
            with pytest.raises(client.Rejected) as raised:
                await connected.open_session()
            assert raised.value.code == errors.CallerError.AUTHENTICATION_FAILED
        fleet.running[0].callers_server.close()
        async with fleet.connect() as connected:
            with pytest.raises(client.NoProxy):
                await connected.open_session(timeout_s=0.05)

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
        made.store.list_instances()

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
