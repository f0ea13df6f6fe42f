"""Guards the fakes themselves: what a pause, a kill and a cut do to parties and messages."""

import asyncio

import pytest

from bilberrystack.proxy import interfaces
from faults import network
from faults import paused_loop


def run(scenario):
    async def main():
        net = network.Network(asyncio.get_running_loop(), network.ADDIS, 1)
        net.add("a", "addis-bole")
        net.add("b", "addis-kirkos")
        await scenario(net)

    paused_loop.run(main)


async def echo():
    return "answer"


def as_party(net, party, work):
    return net.loop.create_task(work, context=paused_loop.as_party(party))


def test_a_paused_party_handles_everything_at_once_when_it_resumes():
    async def scenario(net):
        ticks = []

        async def tick():
            while True:
                await asyncio.sleep(0.1)
                ticks.append(net.loop.time())

        as_party(net, "b", tick())
        connection = await as_party(net, "a", net.open("a", "b"))
        net.pause("b")
        calls = [as_party(net, "a", net.call(connection, echo)) for _ in range(3)]
        await asyncio.sleep(1.0)
        assert ticks == [] and not any(call.done() for call in calls)
        resumed_at = net.loop.time()
        net.resume("b")
        await asyncio.gather(*calls)
        assert ticks[0] == pytest.approx(resumed_at)
        assert net.loop.time() < resumed_at + 0.01

    run(scenario)


def test_a_timer_cancelled_during_a_pause_does_not_fire_afterwards():
    async def scenario(net):
        fired = []
        context = paused_loop.as_party("a")
        timer = net.loop.call_later(0.1, fired.append, "old", context=context)
        net.pause("a")
        await asyncio.sleep(0.2)
        timer.cancel()
        net.resume("a")
        await asyncio.sleep(0.1)
        assert fired == []

    run(scenario)


def test_a_killed_party_runs_nothing_and_breaks_its_connections():
    async def scenario(net):
        cleaned = []

        async def work():
            try:
                await asyncio.sleep(10)
            finally:
                cleaned.append(True)

        running = as_party(net, "b", work())
        connection = await as_party(net, "a", net.open("a", "b"))
        await asyncio.sleep(0)
        net.kill("b")
        running.cancel()
        with pytest.raises(interfaces.LinkLost):
            await as_party(net, "a", net.call(connection, echo))
        await asyncio.sleep(20)
        assert cleaned == []

    run(scenario)


def test_a_message_sent_into_a_cut_arrives_after_it_though_its_sender_is_gone():
    async def scenario(net):
        handled = []

        async def handle():
            handled.append(net.loop.time())

        connection = await as_party(net, "a", net.open("a", "b"))
        net.cut("a", "b", both=False)
        call = as_party(net, "a", net.call(connection, handle))
        await asyncio.sleep(1.0)
        call.cancel()
        net.close(connection)
        healed_at = net.loop.time()
        net.heal("a")
        await asyncio.sleep(0.1)
        assert len(handled) == 1 and handled[0] >= healed_at

    run(scenario)


def test_a_busy_loop_ends_the_run_instead_of_holding_the_clock():
    async def main():
        while True:
            await asyncio.sleep(0)

    with pytest.raises(paused_loop.Stalled):
        paused_loop.run(main)
