"""Failures of real processes under traffic: killed, paused, isolated, stopped, store off."""

import asyncio
import signal

import pytest

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import store_http
from system import demo
from system import proxies
from system import site
from system import workload

WRITERS = 4
WRITES = 60


async def primary_paused(where, traffic):
    """Pauses the primary for longer than it takes to replace it, then lets it run on."""
    primary = await demo.find_primary(where)
    where.standins.members[primary].pause()
    await traffic.acknowledged(WRITES)
    where.standins.members[primary].resume()


async def primary_isolated(where, traffic):
    """Cuts the primary off from everybody while it believes that it leads."""
    primary = await demo.find_primary(where)
    await where.standins.members[primary].set_faults(
        isolated_from_proxies=True, isolated_from_members=True
    )
    await traffic.acknowledged(WRITES)
    await where.standins.members[primary].set_faults(
        isolated_from_proxies=False, isolated_from_members=False
    )


async def primary_killed_while_store_is_off(where, traffic):
    """Takes away the store first, so that nothing of a failover can depend on it."""
    await where.store.set_faults(off=True)
    await traffic.acknowledged(WRITES)
    primary = await demo.find_primary(where)
    await where.standins.members[primary].kill()
    await traffic.acknowledged(WRITES)
    await where.standins.restart_member(primary)
    await where.store.set_faults(off=False)


async def proxy_killed(where, _traffic):
    """Ends a proxy, whichever role it has, in the middle of requests."""
    await where.proxies["p0"].kill()


async def proxy_paused(where, traffic):
    """Pauses a proxy for longer than its peers wait for it, then lets it run on."""
    where.proxies["p1"].send(signal.SIGSTOP)
    await traffic.acknowledged(WRITES)
    where.proxies["p1"].send(signal.SIGCONT)


async def proxy_stopped(where, _traffic):
    """Stops a proxy gracefully."""
    assert await where.proxies["p2"].stop() == 0


SCENARIOS = [
    primary_paused,
    primary_isolated,
    primary_killed_while_store_is_off,
    proxy_killed,
    proxy_paused,
    proxy_stopped,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda one: one.__name__)
def test_failure_under_traffic_breaks_no_promise(scenario, tmp_path):
    """Guards against lost, repeated and stale data, and against wrong refusals, in a failure."""

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start()
            async with workload.Traffic(where, WRITERS) as traffic:
                await traffic.acknowledged(WRITES)
                await scenario(where, traffic)
                await traffic.acknowledged(WRITES)
            verdict = await workload.judge(where, traffic.account, WRITERS)
            assert verdict == workload.Verdict([], [], [])
            assert traffic.account.stale_reads == 0
            if scenario is proxy_stopped:
                assert traffic.account.unknown == []
                assert traffic.account.not_run == []

    asyncio.run(run())


def test_racing_operators_get_one_acceptance_and_one_conflict(tmp_path):
    """Guards against two changes of one version that both count as accepted."""

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start()
            addresses = [one.ready.operators for one in where.proxies.values()]
            shown = await proxies.operate(addresses[0], "config", "show")
            path = tmp_path / "shown.json"
            path.write_text(shown)
            await asyncio.gather(*(_accepts(address) for address in addresses))
            outcomes = await asyncio.gather(
                *(_apply(address, path) for address in addresses), return_exceptions=True
            )
            accepted = [one for one in outcomes if isinstance(one, str)]
            async with store_http.HttpStore(where.store.url) as store:
                head = await store.get("configuration/head")
            assert isinstance(head, interfaces.StoredObject)
            assert head.version == 1 + len(accepted)

    asyncio.run(run())


async def _accepts(address):
    while '"accepting": true' not in await proxies.operate(address, "status", "--output=json"):
        await asyncio.sleep(0.1)


async def _apply(address, path):
    return await proxies.operate(address, "config", "apply", str(path))
