"""Tests which answers prove that the coordinator's process has ended."""

import asyncio

import pytest

from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import instance_lines
from bilberrystack.routing import model

INCARNATION, SUCCESSOR = "0123456789abcdef", "fedcba9876543210"


async def _probe(answer):
    """Probe a process that answers the request for its incarnation with some bytes."""

    async def serve(reader, writer):
        await reader.readline()
        writer.write(answer)
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        coordinator = model.Instance("proxy-0", INCARNATION, model.Endpoint(host, port), "a")
        return await coordinator_lease.probe(coordinator)


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("answer", "state"),
    [
        (instance_lines.encode_incarnation(INCARNATION), coordinator_lease.ProcessState.ALIVE),
        (instance_lines.encode_incarnation(SUCCESSOR), coordinator_lease.ProcessState.REPLACED),
    ],
)
async def test_an_incarnation_tells_the_process_from_its_successor(answer, state):
    """Guards against a killed coordinator that is replaced only once its lease has expired."""
    assert await _probe(answer) is state


def test_a_new_incarnation_has_the_form_that_probes_expect():
    """Guards against a restarted process that no probe recognizes as a successor."""
    incarnation = instance_lines.new_incarnation()
    assert instance_lines.is_incarnation(incarnation.encode())
    assert incarnation != instance_lines.new_incarnation()


@pytest.mark.asyncio
@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"\n",
        b"\r\n",
        INCARNATION.encode(),
        INCARNATION[:8].encode() + b"\n",
        b"READY I -\r\n",
        b"ERR BUSY the instance has no room, try another\r\n",
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"\xff" * 16 + b"\n",
    ],
)
async def test_an_answer_that_is_no_incarnation_does_not_prove_an_end(answer):
    """An empty line, or that of a member or an HTTP server, counted as a newer process."""
    state = await _probe(answer)
    assert state not in (
        coordinator_lease.ProcessState.REPLACED,
        coordinator_lease.ProcessState.ALIVE,
    )
