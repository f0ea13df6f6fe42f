"""Tests that an instance whose process stood still takes nobody for silent because of it."""

import asyncio
import contextlib

import pytest

from soak import site

pytestmark = pytest.mark.asyncio

# Grants and promotion requests of earlier coordinators have ended after this time, so that a
# primary that is taken for silent is replaced at once.
SETTLED_S = 3.0

# A lease that was just renewed outlasts this.
STALL_S = 1.4


@contextlib.asynccontextmanager
async def _running_site(instance_count, folder):
    async with site.Site(instance_count, folder) as running:
        while len(running.in_rotation) < instance_count or running.coordinator() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLED_S)
        yield running


async def _wait_for_renewal(running):
    """Wait until the coordinator has renewed its lease, so that a stall does not end it."""
    lease = running.platform.get(site.LEASE_KIND, site.LEASE_NAME)
    while lease == running.platform.get(site.LEASE_KIND, site.LEASE_NAME):
        await asyncio.sleep(0.01)


async def _stall_coordinator(running):
    """Let the coordinator stand still at several points of its intervals."""
    for number in range(4):
        await _wait_for_renewal(running)
        await asyncio.sleep(0.06 * number)
        await running.coordinator().pause(STALL_S)
        await asyncio.sleep(0.5)


async def test_a_coordinator_that_stood_still_replaces_no_healthy_primary(tmp_path):
    """After 1.4 s in which it did not run it found the primary silent, and replaced it."""
    async with _running_site(1, tmp_path) as running:
        await _stall_coordinator(running)
        assert not running.platform.promotion_requests
        assert running.group.members["a"].is_primary


async def test_a_coordinator_that_stood_still_keeps_its_lease(tmp_path):
    """It found that it heard no other owner and gave the lease up, which costs 2 s of grants."""
    async with _running_site(4, tmp_path) as running:
        token = running.platform.get(site.LEASE_KIND, site.LEASE_NAME)["token"]
        await _stall_coordinator(running)
        assert running.platform.get(site.LEASE_KIND, site.LEASE_NAME)["token"] == token
        assert not running.platform.promotion_requests
