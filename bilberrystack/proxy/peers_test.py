"""Tests of the connections between instances over loopback sockets."""

import asyncio
import dataclasses

import pytest

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.gen.peers import ttypes
from bilberrystack.proxy import fakes_test as fakes
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import peer_messages
from bilberrystack.proxy import peers
from bilberrystack.wire import rpc

HOST = "127.0.0.1"
DIGEST = interfaces.Digest("a", "d1", "127.0.0.1:1", True, 7, 1.5)
ANSWER = outcomes.Answer(b"x", positions.Position(3, 9), "m", True, "i/1", True)


class Handler:
    def __init__(self, outcome=ANSWER):
        self.outcome = outcome
        self.seen = []
        self.hold = False

    async def execute_forwarded(self, request):
        self.seen.append(request)
        if self.hold:
            await asyncio.Event().wait()
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def handle_digest(self, sender):
        self.seen.append(sender)
        return dataclasses.replace(sender, instance="b", store_contact_s=None)

    async def handle_pushed_head(self, sender, head):
        self.seen.append((sender, head))

    async def fetch_configuration(self, known_parts):
        return interfaces.ConfigurationTransfer(3, b"head", {part: b"p" for part in known_parts})


def request(timeout_s=5.0, **fields):
    deadline = asyncio.get_running_loop().time() + timeout_s
    key = requests.RequestKey("s", 4)
    group_request = requests.GroupRequest(
        key, "c", "g", fakes.Kind.READ, b"body", None, 0.25, deadline
    )
    return dataclasses.replace(group_request, **fields)


class Fixture:
    def __init__(self, server, handler):
        self.server = server
        self.handler = handler
        self.lost = []

    def link(self, secret=b"fleet", port=None):
        address = f"{HOST}:{port or self.server.port}"
        return peers.Link(address, "a", secret, lambda: self.lost.append(1))


def check(test, outcome=ANSWER):
    async def main():
        handler = Handler(outcome)
        listener = peers.Listener(b"fleet")
        listener.set_handler(handler)
        async with listener.server() as server:
            await server.start(HOST, 0)
            await test(Fixture(server, handler))

    asyncio.run(main())


@pytest.mark.parametrize(
    "outcome",
    [
        ANSWER,
        outcomes.NotRun(fakes.NotRunReason.QUEUE_FULL, "full", 0.5),
        outcomes.Unknown(outcomes.UnknownReason.NOT_CONFIRMED, "lost"),
    ],
)
def test_request_and_outcome_arrive_unchanged(outcome):
    """Guards against losing a field between entry role and owner."""

    async def test(fixture):
        link = fixture.link()
        watermark = positions.Position(2, 8)
        for sent in (
            request(),
            request(watermark=watermark, transaction="i/1", kind=fakes.Kind.COMMIT),
        ):
            sent_at = asyncio.get_running_loop().time()
            assert await link.forward(sent) == outcome
            received_at = asyncio.get_running_loop().time()
            (seen,) = fixture.handler.seen
            assert dataclasses.replace(seen, deadline=sent.deadline) == sent
            # Only the remaining time is sent, so the deadline is later by the time in transit.
            assert seen.deadline - received_at < sent.deadline - sent_at
            fixture.handler.seen.clear()
        link.close()

    check(test, outcome)


def test_control_calls_arrive_unchanged():
    """Guards against losing the leaving flag, versions or parts in transit."""

    async def test(fixture):
        link = fixture.link()
        answered = dataclasses.replace(DIGEST, instance="b", store_contact_s=None)
        assert await link.digest(DIGEST) == await link.leaving(DIGEST) == answered
        await link.push_head(DIGEST, b"head")
        assert fixture.handler.seen == [DIGEST, DIGEST, (DIGEST, b"head")]
        assert (await link.fetch_configuration(["k"])).parts == {"k": b"p"}
        assert len(fixture.server.connections) == 1
        link.close()

    check(test)


def test_peer_with_another_secret_is_rejected_before_anything_is_sent():
    """Guards against a foreign process that sends or answers requests of the fleet."""

    async def test(fixture):
        link = fixture.link(secret=b"other")
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.forward(request())
        assert not raised.value.sent and fixture.lost and not fixture.handler.seen

    check(test)


def test_impostor_without_the_secret_gets_no_request():
    """Guards against sending requests to a foreign process that uses a peer's address."""

    class Impostor(peers.Listener):
        async def prove(self, context, _proof):
            context.state = True

    async def run():
        impostor = Impostor(b"other")
        handler = Handler()
        impostor.set_handler(handler)
        async with impostor.server() as server:
            await server.start(HOST, 0)
            link = Fixture(server, handler).link()
            with pytest.raises(interfaces.LinkLost) as raised:
                await link.forward(request())
        assert not raised.value.sent and not handler.seen

    asyncio.run(run())


def test_calls_before_authentication_are_rejected_and_close_the_connection():
    """Guards against requests of unauthenticated processes."""

    async def test(fixture):
        connection = await rpc.connect(peers.SERVICE, HOST, fixture.server.port)
        message = peer_messages.to_forward(request(), 1.0)
        with pytest.raises(ttypes.PeerFailure):
            await connection.call("forward", message)
        await fakes.until(lambda: connection.closed)
        connection = await rpc.connect(peers.SERVICE, HOST, fixture.server.port)
        challenge = await connection.call("hello", "a", bytes(16))
        with pytest.raises(ttypes.PeerFailure):
            await connection.call("prove", challenge.proof)
        await fakes.until(lambda: connection.closed)
        assert not fixture.handler.seen

    check(test)


def test_lost_link_reports_whether_the_request_was_sent():
    """Guards against the outcome not run for a request that reached an owner that then failed."""

    async def test(fixture):
        fixture.handler.hold = True
        link = fixture.link()
        call = asyncio.create_task(link.forward(request()))
        await fakes.until(lambda: fixture.handler.seen)
        port = fixture.server.port
        fixture.server.close()
        with pytest.raises(interfaces.LinkLost) as raised:
            await call
        assert raised.value.sent and fixture.lost
        with pytest.raises(interfaces.LinkLost) as raised:
            await fixture.link(port=port).forward(request())
        assert not raised.value.sent

    check(test)


def test_request_may_have_run_after_a_failure_in_the_handler():
    """Guards against the outcome not run after an internal error at the owner."""

    async def test(fixture):
        link = fixture.link()
        with pytest.raises(interfaces.LinkLost) as raised:
            await link.forward(request())
        assert raised.value.sent
        link.close()

    check(test, ValueError("defect"))


def test_idle_connection_is_closed_and_reopened_on_demand(monkeypatch):
    """Guards against unused connections to all instances that stay open."""
    monkeypatch.setattr(peers, "IDLE_TIMEOUT_S", 0.01)

    async def test(fixture):
        link = fixture.link()
        for _ in range(2):
            await link.digest(DIGEST)
            await fakes.until(lambda: not fixture.server.connections)
        assert not fixture.lost

    check(test)


def test_waiting_calls_share_one_attempt_to_connect():
    """Guards against one connection per request after a link broke."""

    async def test(fixture):
        link = fixture.link()
        cancelled = asyncio.create_task(link.forward(request()))
        calls = [asyncio.create_task(link.forward(request())) for _ in range(20)]
        await asyncio.sleep(0)
        cancelled.cancel()
        assert set(await asyncio.gather(*calls)) == {ANSWER}
        assert len(fixture.server.connections) == 1
        link.close()

    check(test)


def test_outcome_of_unknown_kind_is_not_decoded():
    """Guards against misreading an outcome of a newer version."""
    assert peer_messages.from_outcome(ttypes.Outcome()) is None
    assert peer_messages.from_outcome(ttypes.Outcome(not_run=ttypes.NotRun(99, "", 0))) is None
