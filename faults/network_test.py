"""Tests the effects of pauses, kills and cuts on simulated processes and messages."""

import asyncio

import pytest

from bilberrystack.proxy import interfaces
from faults import network
from faults import paused_loop


def run(scenario):
    async def main():
        net = network.Network(asyncio.get_running_loop(), network.ADDIS, 1)
        net.add_process("a", "addis-bole")
        net.add_process("b", "addis-kirkos")
        await scenario(net)

    paused_loop.run(main)


async def echo():
    return "answer"


def start_in_process(net, process, coroutine):
    return net.loop.create_task(coroutine, context=paused_loop.process_context(process))


def test_paused_process_handles_all_messages_when_it_resumes():
    async def scenario(net):
        ticks = []

        async def tick():
            while True:
                await asyncio.sleep(0.1)
                ticks.append(net.loop.time())

        start_in_process(net, "b", tick())
        connection = await start_in_process(net, "a", net.open("a", "b"))
        net.pause("b")
        calls = [start_in_process(net, "a", net.call(connection, echo)) for _ in range(3)]
        await asyncio.sleep(1.0)
        assert ticks == [] and not any(call.done() for call in calls)
        resumed_at = net.loop.time()
        net.resume("b")
        await asyncio.gather(*calls)
        assert ticks[0] == pytest.approx(resumed_at)
        assert net.loop.time() < resumed_at + 0.01

    run(scenario)


def test_timer_cancelled_during_a_pause_does_not_fire_afterwards():
    async def scenario(net):
        fired = []
        context = paused_loop.process_context("a")
        timer = net.loop.call_later(0.1, fired.append, "old", context=context)
        net.pause("a")
        await asyncio.sleep(0.2)
        timer.cancel()
        net.resume("a")
        await asyncio.sleep(0.1)
        assert fired == []

    run(scenario)


def test_killed_process_runs_no_code_and_its_connections_break():
    async def scenario(net):
        cleaned = []

        async def sleep_and_clean_up():
            try:
                await asyncio.sleep(10)
            finally:
                cleaned.append(True)

        work_task = start_in_process(net, "b", sleep_and_clean_up())
        connection = await start_in_process(net, "a", net.open("a", "b"))
        await asyncio.sleep(0)
        net.kill("b")
        work_task.cancel()
        with pytest.raises(interfaces.LinkLost):
            await start_in_process(net, "a", net.call(connection, echo))
        await asyncio.sleep(20)
        assert cleaned == []

    run(scenario)


def test_message_sent_into_a_cut_path_arrives_after_healing_although_its_sender_closed():
    async def scenario(net):
        handled = []

        async def handle():
            handled.append(net.loop.time())

        connection = await start_in_process(net, "a", net.open("a", "b"))
        net.cut("a", "b", bidirectional=False)
        call = start_in_process(net, "a", net.call(connection, handle))
        await asyncio.sleep(1.0)
        call.cancel()
        net.close(connection)
        healed_at = net.loop.time()
        net.heal("a")
        await asyncio.sleep(0.1)
        assert len(handled) == 1 and handled[0] >= healed_at

    run(scenario)


def test_busy_loop_ends_the_run_instead_of_blocking_the_clock():
    async def main():
        while True:
            await asyncio.sleep(0)

    with pytest.raises(paused_loop.StalledLoopError):
        paused_loop.run(main)
