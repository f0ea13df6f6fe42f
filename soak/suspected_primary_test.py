"""Tests that an instance uses the primary again after a short cut between the two."""

import asyncio

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import line_network
from bilberrystack_standins import line_site
from soak import callers
from soak import site as soak_site

pytestmark = pytest.mark.asyncio

INSTANCE_COUNT = 3

# Writes at the same time, each slow enough that the instance opens a second connection.
SESSION_COUNT = 4
OPTIONS = line_group.GroupOptions(service_time_s=0.05)

# Time within which each instance has its first grant.
GRANT_S = 1.0

# Time in which a write is overdue, its connection is reset and a probe has failed, while idle
# connections last.
CUT_S = 1.5

# Time within which a write succeeds again.
RECOVERY_S = 5.0


def _number_of_another_instance(site):
    """Return the number of an instance that is not the coordinator, which probes by itself."""
    lease = site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME)
    names = [settings.name for settings in site.settings]
    return next(number for number in range(len(names)) if names[number] != lease["holder"]["name"])


async def _write_at_once(clients):
    """Write in all sessions at the same time until all succeed, once the instance has a grant."""
    await asyncio.sleep(GRANT_S)
    async with asyncio.timeout(RECOVERY_S):
        while True:
            writes = [client.query("WRITE x 1", callers.probe_id()) for client in clients]
            if all(answer[0].startswith("DONE") for answer in await asyncio.gather(*writes)):
                return


async def test_a_primary_is_used_again_after_a_short_cut():
    """A primary stayed suspected, although the instance had an open connection and a grant.

    Suspected primaries get no statements, so that nothing showed that it answered, and nobody
    probed it again.
    """
    with line_network.Network() as network:
        async with line_site.Site(INSTANCE_COUNT, OPTIONS, network=network) as site:
            await site.wait_until(lambda: site.platform.object_names(soak_site.LEASE_KIND))
            number = _number_of_another_instance(site)
            clients = [await site.connect("strict", number) for _ in range(SESSION_COUNT)]
            await _write_at_once(clients)
            network.cut(site.settings[number].name, "a", line_network.Cut.SILENT)
            overdue = asyncio.create_task(clients[0].query("WRITE x 2", callers.probe_id()))
            await asyncio.sleep(CUT_S)
            network.heal()
            await overdue
            async with asyncio.timeout(RECOVERY_S):
                while True:
                    answer = await clients[1].query("WRITE x 3", callers.probe_id())
                    if answer[0].startswith("DONE"):
                        break
                    await asyncio.sleep(0.1)
