"""Tests that messages of other processes neither stop an instance nor close its socket."""

import asyncio
import math
import random

import msgspec
import pytest

from bilberrystack.pooling import messages
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio

SENDER = ("127.0.0.9", 7002)
UNEXPECTED_VALUES = [
    "",
    "store-1",
    "a",
    "x:99999",
    "\0",
    -1,
    0,
    1,
    2**63 - 1,
    -0.5,
    math.nan,
    math.inf,
    None,
]
POSITION = messages.Position(1, 1)


def _valid_messages():
    """Return a valid message of each kind."""
    report = messages.Report("a", 0.1, False, 0.1, True, 1, POSITION)
    grant = messages.Grant("store-1", "a", 1, 0, POSITION, 0.1, "")
    return [
        messages.Heartbeat("proxy-9", "life", 1.0, [report], 1, ["store-1"]),
        messages.Grants("proxy-9", "life", 1, 1.0, 1.5, [grant], 1),
        messages.Withdrawal("proxy-9", "life", 1, "store-1", 1),
        messages.Acknowledgement("life", 1, "store-1", 1),
        messages.ProbeRequest("store-1", "a"),
        messages.CoordinatorDeparture("life", 1),
    ]


def _corrupted(message, rng):
    """Return the encoding of a message after replacing one or two fields and perhaps a byte.

    Some encodings are truncated.
    """
    fields = list(msgspec.to_builtins(message))
    for _ in range(rng.randint(1, 2)):
        fields[rng.randrange(len(fields))] = rng.choice(UNEXPECTED_VALUES)
    data = bytearray(msgspec.msgpack.encode(fields))
    if rng.random() < 0.3:
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.randint(0, len(data))] if rng.random() < 0.2 else data)


async def test_an_instance_serves_despite_corrupted_datagrams():
    """Guards against an exception in the datagram callback.

    It would close the socket, and with it end all grants.
    """
    rng = random.Random(17)
    async with line_site.Site(2) as site:
        session = await site.connect("strict")
        assert (await session.query("WRITE x 1"))[0].startswith("DONE proof")
        for instance in site.instances:
            for _ in range(400):
                for message in _valid_messages():
                    instance._fleet.datagram_received(_corrupted(message, rng), SENDER)
        await asyncio.sleep(1.0)
        assert (await session.query("READ x"))[0] == "ROW 1"
        assert all(instance.ready for instance in site.instances)


async def test_forged_grants_are_ignored():
    """Guards against grants of another process than the coordinator.

    The coordinator is recognized by its incarnation, which the store names.
    """
    async with line_site.Site(2) as site:
        session = await site.connect("strict")
        await session.query("WRITE x 1")
        forged = messages.Grants(
            *("proxy-9", "forged", 99, 0.0, 1e9),
            [messages.Grant("store-1", "b", 9, 0, POSITION, 0.0, "")],
            1,
        )
        for instance in site.instances:
            instance._fleet.datagram_received(messages.encode(forged), SENDER)
            leader = instance.executor(line_site.SERVICE).group.permission.leader
            assert leader is None or leader.member == "a"
        assert (await session.query("READ x"))[0] == "ROW 1"


async def test_an_error_in_one_datagram_does_not_close_the_socket(monkeypatch):
    """Guards against an unexpected error that ends an instance's grants."""
    async with line_site.Site(1) as site:
        fleet = site.instances[0]._fleet

        def fail(*_):
            raise KeyError("unexpected")

        monkeypatch.setattr(type(fleet), "_handle", fail)
        fleet.datagram_received(messages.encode(messages.CoordinatorDeparture("life", 1)), SENDER)
