"""Tests of whole instances over sockets on the loopback interface, with the client library."""

import asyncio
import contextlib

from bilberrystack import client
from bilberrystack.proxy import fakes_test as fakes


def addresses(*instances):
    return [f"127.0.0.1:{one.callers_server.port}" for one in instances]


def listed_as(made, running, state="live"):
    peers = f"127.0.0.1:{running.peers_server.port}"
    return (made.settings.instance_id, "proxy", peers, made.settings.failure_domain, state)


@contextlib.asynccontextmanager
async def fleet(*names):
    """Runs instances in failure domains of their own that list each other."""
    database = fakes.Database()
    made = [fakes.Instance(database, name, f"d-{name}") for name in names]
    async with contextlib.AsyncExitStack() as stack:
        running = [await stack.enter_async_context(one.running()) for one in made]
        listed = [listed_as(one, run) for one, run in zip(made, running, strict=True)]
        for one in made:
            one.store.list_instances(*listed)
        everyone = range(len(made))
        await fakes.until(
            lambda: all(len(running[n].node.view.live) == len(made) for n in everyone)
        )
        yield made, running


def rank0(made, running):
    """Returns the position of the instance that is rank 0 of the group."""
    name = running[0].node.owners("g")[0]
    return [one.settings.instance_id for one in made].index(name)


def test_session_reads_and_writes_through_any_instance():
    """Guards against an entry that can't reach an owner at another instance."""

    async def run():
        async with fleet("a", "b", "c") as (made, running):
            for instance in running:
                async with client.connect(addresses(instance), "analyst", fakes.SECRET) as c:
                    session = await c.open_session()
                    written = await session.write("g", b"w")
                    assert isinstance(written, client.Answer) and written.body == b"w"
                    assert (await session.read("g", b"x")).body == b"read x"
            owner = made[rank0(made, running)].owners[0]
            assert len(owner.seen) == 6
            marks = [one.watermark.index for one in owner.seen if one.kind is fakes.K.READ]
            assert marks == [1, 2, 3]

    asyncio.run(run())
