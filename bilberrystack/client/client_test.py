"""Tests of the client library against proxy instances over loopback sockets."""

import asyncio
import contextlib
import random

import pytest

from bilberrystack import client
from bilberrystack.client import gateway
from bilberrystack.core import errors
from bilberrystack.gen.callers import ttypes
from bilberrystack.proxy import callers
from bilberrystack.proxy import daemon_test
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.wire import codec
from bilberrystack.wire import rpc


def test_session_roams_with_its_tokens():
    """Guards against reads at another instance that don't observe the session's writes."""

    async def test(fleet):
        async with fleet.connect(0) as first_client:
            session = await first_client.open_session()
            await session.write("g", b"w")
            saved = session.save()
        async with fleet.connect(1) as second_client:
            await second_client.restore(saved).read("g", b"x")
            resumed = await second_client.resume_session(saved.id)
            await resumed.read("g", b"x")
        reads = [request for request in fleet.owner().seen if request.kind is fakes.Kind.READ]
        assert reads[0].watermark.index == 1 and reads[1].watermark is None
        assert len({request.key.sequence for request in fleet.owner().seen}) == 3

    daemon_test.check(test, count=3)


@pytest.mark.parametrize("idempotent", [False, True])
def test_write_lost_with_its_proxy_takes_effect_once(idempotent):
    """Guards against a repeated write or a lost answer when the entry instance fails."""

    async def test(fleet):
        entry_index = fleet.index_of_owner(1)
        async with fleet.connect(entry_index, fleet.index_of_owner(2)) as connected:
            session = await connected.open_session()
            entry = next(
                instance for instance in fleet.running if instance.callers_server.connections
            )
            write = asyncio.create_task(session.write("g", b"hold", idempotent=idempotent))
            await fakes.until(lambda: fleet.owner().seen)
            fleet.owner().release.set()
            entry.callers_server.close()
            outcome = await write
            assert outcome.body == b"hold" and outcome.duplicate
        assert fleet.database.runs == [b"hold"]
        second_kind = fakes.Kind.IDEMPOTENT_WRITE if idempotent else fakes.Kind.RESOLVE
        assert [request.kind for request in fleet.owner().seen][1] is second_kind

    daemon_test.check(test, count=3)


class FaultyProxy:
    """Proxy that closes the connection on each request, stops answering, or answers slowly.

    The faults are "broken", "stopped" and "slow". A slow proxy answers a request after eleven
    probes of the client.
    """

    def __init__(self, entry_role, fault):
        self.entry_role = entry_role
        self.fault = fault
        self.execute_count = 0
        self.resume_count = 0

    async def open_session(self, _context, caller, _secret):
        return ttypes.Session("f" * 32, self.entry_role.new_token("f" * 32, caller, True), "x")

    async def resume_session(self, context, caller, secret, _session):
        self.resume_count += 1
        if self.fault == "stopped":
            await asyncio.Event().wait()
        return await self.open_session(context, caller, secret)

    async def execute(self, context, request):
        self.execute_count += 1
        if self.fault == "broken":
            context.close()
        if self.fault != "slow":
            await asyncio.Event().wait()
        await fakes.until(lambda: self.resume_count > 10)
        answer = ttypes.Answer(b"slow", request.tokens[0], "m", False, None, False)
        return ttypes.Outcome(answer=answer)


@contextlib.asynccontextmanager
async def connect_through(fleet, fault):
    """Connects a client that tries a faulty proxy before the instances of the fleet."""
    handler = FaultyProxy(fleet.running[0].node.entry_role, fault)
    async with rpc.Server(callers.SERVICE, handler) as server:
        await server.start(daemon_test.HOST, 0)
        chooser = random.Random()
        chooser.shuffle = lambda _addresses: None
        addresses = [f"{daemon_test.HOST}:{server.port}", *fleet.addresses]
        async with client.connect(addresses, "analyst", fakes.SECRET, chooser=chooser) as connected:
            yield handler, await connected.open_session()


@pytest.mark.parametrize("fault", ["broken", "stopped"])
def test_write_that_never_reached_an_owner_is_cancelled_and_sent_again(fault, monkeypatch):
    """Guards against a failed, repeated or delayed write that the proxy did not forward."""
    monkeypatch.setattr(gateway, "PROBE_INTERVAL_S", 0.01)
    monkeypatch.setattr(gateway, "LIVENESS_TIMEOUT_S", 0.03)

    async def test(fleet):
        async with connect_through(fleet, fault) as (handler, session):
            outcome = await session.write("g", b"w")
        assert outcome.body == b"w" and not outcome.duplicate and handler.execute_count == 1
        assert fleet.database.runs == [b"w"] and len(fleet.database.cancelled) == 1

    daemon_test.check(test)


def test_slow_answer_of_a_living_proxy_is_waited_for(monkeypatch):
    """Guards against closing the connection to a live proxy because of a slow statement."""
    monkeypatch.setattr(gateway, "PROBE_INTERVAL_S", 0.01)
    monkeypatch.setattr(gateway, "LIVENESS_TIMEOUT_S", 1.0)

    async def test(fleet):
        async with connect_through(fleet, "slow") as (handler, session):
            assert (await session.write("g", b"w")).body == b"slow"
        assert handler.execute_count == 1 and not fleet.owner().seen

    daemon_test.check(test)


def test_transaction_continues_through_another_proxy():
    """Guards against aborting a transaction because the entry instance failed."""

    async def test(fleet):
        async with fleet.connect(fleet.index_of_owner(1), fleet.index_of_owner(2)) as connected:
            session = await connected.open_session()
            async with session.transaction("g") as transaction:
                await transaction.execute(b"a")
                entry = next(
                    instance for instance in fleet.running if instance.callers_server.connections
                )
                entry.callers_server.close()
                # The outcome of a statement that is sent before the close is seen would be unknown.
                await fakes.until(lambda: connected._gateway._current.closed)
                await transaction.execute(b"b")
        assert fleet.database.runs == [b"a,b"]

    daemon_test.check(test, count=3)


def test_transaction_aborts_after_an_exception_and_reports_a_failed_commit():
    """Guards against partly committed transactions and against unreported commit failures."""

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
            assert raised.value.outcome.reason is fakes.NotRunReason.TRANSACTION_ABORTED
            fleet.owner().refusal_reason = fakes.NotRunReason.QUEUE_FULL
            with pytest.raises(client.TransactionFailed):
                async with session.transaction("g"):
                    pass

    daemon_test.check(test)


def test_rejected_caller_and_missing_proxies_are_typed():
    """Guards against endless retries with a wrong secret or a wrong address."""

    async def test(fleet):
        async with client.connect(fleet.addresses, "analyst", "wrong") as connected:
            with pytest.raises(client.Rejected) as raised:
                await connected.open_session()
            assert raised.value.code == errors.CallerError.AUTHENTICATION_FAILED
        fleet.running[0].callers_server.close()
        async with fleet.connect() as connected:
            with pytest.raises(client.NoProxy):
                await connected.open_session(timeout_s=0.05)

    daemon_test.check(test)


def test_statement_over_the_frame_limit_is_not_run_at_once():
    """Guards against repeated sending of an oversized statement until the deadline."""

    async def test(fleet):
        async with fleet.connect() as connected:
            session = await connected.open_session()
            outcome = await session.write("g", b"x" * (codec.MAX_FRAME_BYTES + 1))
            assert isinstance(outcome, client.NotRun)
            assert outcome.reason is fakes.NotRunReason.INVALID_REQUEST
            assert isinstance(await session.write("g", b"a"), client.Answer)
            assert fleet.database.runs == [b"a"]

    daemon_test.check(test)


def test_connections_that_a_request_breaks_are_bounded(monkeypatch):
    """Guards against a request that keeps causing connection losses until its deadline."""

    async def test(fleet):
        async with fleet.connect() as connected:
            session = await connected.open_session()
            monkeypatch.setattr(callers.Listener, "execute", close_connection)
            outcome = await session.write("g", b"a", timeout_s=600.0)
            assert isinstance(outcome, client.Unknown)

    async def close_connection(_listener, context, _request):
        context.close()

    daemon_test.check(test)
