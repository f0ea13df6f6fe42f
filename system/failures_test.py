"""Tests failures under traffic: processes killed, paused, isolated or stopped, store off."""

import asyncio
import signal

import pytest

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import store_http
from system import demo
from system import proxies
from system import site
from system import workload

WRITER_COUNT = 4

# Writes that have to be acknowledged before, during and after a failure.
WRITES_PER_PHASE = 60


async def primary_paused(running_site, traffic):
    """Pauses the primary for longer than its replacement takes, then resumes it."""
    primary = await demo.find_primary(running_site)
    running_site.standins.members[primary].pause()
    await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
    running_site.standins.members[primary].resume()


async def primary_isolated(running_site, traffic):
    """Isolates the primary from proxies and members while it still considers itself the primary."""
    primary = await demo.find_primary(running_site)
    await running_site.standins.members[primary].set_faults(
        isolated_from_proxies=True, isolated_from_members=True
    )
    await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
    await running_site.standins.members[primary].set_faults(
        isolated_from_proxies=False, isolated_from_members=False
    )


async def primary_killed_while_store_is_off(running_site, traffic):
    """Kills the primary while the store is off, so that the failover cannot depend on the store."""
    await running_site.store.set_faults(off=True)
    await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
    primary = await demo.find_primary(running_site)
    await running_site.standins.members[primary].kill()
    await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
    await running_site.standins.restart_member(primary)
    await running_site.store.set_faults(off=False)


async def proxy_killed(running_site, _traffic):
    """Kills a proxy, whatever its owner roles, while requests are in flight."""
    await running_site.proxies["p0"].kill()


async def proxy_paused(running_site, traffic):
    """Pauses a proxy for longer than its peers wait for a reply, then resumes it."""
    running_site.proxies["p1"].send(signal.SIGSTOP)
    await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
    running_site.proxies["p1"].send(signal.SIGCONT)


async def proxy_stopped(running_site, _traffic):
    """Stops a proxy gracefully."""
    assert await running_site.proxies["p2"].stop() == 0


SCENARIOS = [
    primary_paused,
    primary_isolated,
    primary_killed_while_store_is_off,
    proxy_killed,
    proxy_paused,
    proxy_stopped,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_failure_under_traffic_violates_no_guarantee(scenario, tmp_path):
    """Guards against lost, duplicated and stale data and false not-run outcomes in a failure."""

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start()
            async with workload.Traffic(running_site, WRITER_COUNT) as traffic:
                await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
                await scenario(running_site, traffic)
                await traffic.wait_for_acknowledgements(WRITES_PER_PHASE)
            violations = await workload.find_violations(
                running_site, traffic.outcomes, WRITER_COUNT
            )
            assert violations == workload.Violations([], [], [])
            assert traffic.outcomes.stale_reads == 0
            if scenario is proxy_stopped:
                assert traffic.outcomes.unknown == []
                assert traffic.outcomes.not_run == []

    asyncio.run(run())


def test_accepted_changes_of_racing_operators_have_versions_of_their_own(tmp_path):
    """Guards against two changes to the same version that are both reported as accepted."""

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start()
            addresses = [proxy.ready.operators for proxy in running_site.proxies.values()]
            document = await proxies.operate(addresses[0], "config", "show")
            path = tmp_path / "shown.json"
            path.write_text(document)
            await asyncio.gather(*(_wait_until_accepting(address) for address in addresses))
            outcomes = await asyncio.gather(
                *(_apply(address, path) for address in addresses), return_exceptions=True
            )
            accepted = [outcome for outcome in outcomes if isinstance(outcome, str)]
            async with store_http.HttpStore(running_site.store.url) as store:
                head = await store.get("configuration/head")
            assert isinstance(head, interfaces.StoredObject)
            assert head.version == 1 + len(accepted)

    asyncio.run(run())


async def _wait_until_accepting(address):
    while '"accepting": true' not in await proxies.operate(address, "status", "--output=json"):
        await asyncio.sleep(0.1)


async def _apply(address, path):
    return await proxies.operate(address, "config", "apply", str(path))
