"""Tests what the session mode does when the store returns from an older copy of itself."""

import asyncio
import contextlib

import pytest

from bilberrystack.platform import client as platform_client
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import directory
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_records
from bilberrystack.pooling import views
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model
from bilberrystack_standins import line_site
from bilberrystack_standins import platform_server

pytestmark = pytest.mark.asyncio

# Time after its confirmation in which a configuration has to be in force.
APPLY_LIMIT_S = 3.0

LEASE_DURATION_S = 0.8


def _now():
    return asyncio.get_running_loop().time()


@contextlib.asynccontextmanager
async def _platform():
    platform = platform_server.PlatformServer({})
    await platform.start()
    try:
        yield platform
    finally:
        await platform.stop()


@contextlib.contextmanager
def _client(platform):
    endpoint = model.Endpoint("127.0.0.1", platform.port)
    yield platform_client.Client(endpoint, endpoint, counters.Counters())


@contextlib.asynccontextmanager
async def _running(*coroutines):
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_until(condition, timeout_s):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def _declare(platform, version, database):
    await platform.declare_configuration(version, [platform_server.route(database, "s", "primary")])


async def test_a_configuration_is_in_force_in_time_after_the_store_has_lost_changes():
    """Lists of the restored store were ignored for their low revision, and read again unpaused."""
    async with line_site.Site(2) as site:
        older = site.platform.copy()
        for version in range(2, 60):
            await site.platform.declare_configuration(version, line_site.ROUTES)
        await site.wait_until(
            lambda: all(started.configuration.version == 59 for started in site.instances)
        )
        calls_before = len(site.platform.calls)
        await site.platform.restore(older)
        await site.platform.declare_configuration(60, line_site.ROUTES)
        await site.wait_until(
            lambda: all(started.configuration.version == 60 for started in site.instances),
            APPLY_LIMIT_S,
        )
        await asyncio.sleep(1.0)
        # Two instances have three caches and one lease, and a few calls each in this time.
        assert len(site.platform.calls) - calls_before < 60


@pytest.mark.parametrize("extra_changes", [0, 5])
async def test_no_change_is_missed_when_the_store_gives_revisions_out_again(extra_changes):
    """A watch from a revision of the lost history got no 410 and skipped the changes before it."""
    async with _platform() as platform:
        with _client(platform) as client:
            await _declare(platform, 1, "old")
            cache = views.ObjectCache(client.configurations, lambda: None)
            older = platform.copy()
            for version in range(2, 12):
                await _declare(platform, version, "lost")
            async with _running(cache.follow(), cache.check(0.2, 0.2)):
                await _wait_until(lambda: cache.items, 2.0)
                revision = platform.revision
                # The store passes the cache's revision while it is away.
                await platform.stop()
                await platform.restore(older)
                await _declare(platform, 12, "new")
                while platform.revision < revision + extra_changes:
                    await platform.put("other", str(platform.revision), {})
                await platform.start()
                await _wait_until(
                    lambda: cache.items["main"].version == 12
                    and "new" in cache.items["main"].routes,
                    APPLY_LIMIT_S,
                )


async def test_a_version_that_is_given_out_again_is_in_force_with_its_new_routes():
    """A version was lost before its confirmation, and its number confirmed for other routes."""
    async with _platform() as platform:
        await _declare(platform, 1, "first")
        older = platform.copy()
        with _client(platform) as client:
            store_directory = directory.Directory(client, _now, lambda: None, 20.0)
            async with _running(*(work() for work in store_directory.background_work())):

                def routes():
                    store_directory.refresh()
                    known = store_directory.configuration
                    return set() if known is None else set(known.routes)

                await _declare(platform, 2, "lost")
                await _wait_until(lambda: routes() == {"lost"}, 2.0)
                platform.remove_silently("config", "main")
                await platform.restore(older)
                await asyncio.sleep(1.0)
                assert routes() == {"lost"}
                await _declare(platform, 2, "confirmed")
                await _wait_until(lambda: routes() == {"confirmed"}, APPLY_LIMIT_S)


@pytest.fixture
def short_lease(monkeypatch):
    """Make leases short, so that tests on the running clock can wait for their end."""
    for module, name, seconds in (
        (lease_terms, "LEASE_DURATION_S", LEASE_DURATION_S),
        (lease_terms, "EXPIRY_MARGIN_S", 0.1),
        (coordinator_lease, "RENEW_INTERVAL_S", 0.2),
        (coordinator_lease, "CHECK_JITTER_S", 0.02),
        (coordinator_lease, "STORE_RETRY_DELAY_S", 0.05),
        (coordinator_lease, "PROBE_TIMEOUT_S", 0.05),
        (coordinator_lease, "SMALL_MACHINE_DELAY_S", 0.0),
    ):
        monkeypatch.setattr(module, name, seconds)


def _lease(name, client):
    # No process listens at this address, as after the end of the instance.
    endpoint = model.Endpoint(line_site.unused_loopback_address(), 7002)
    own_instance = model.Instance(name, f"process-of-{name}", endpoint, "a")
    return coordinator_lease.CoordinatorLease(own_instance, client, _now, counters.Counters())


@contextlib.asynccontextmanager
async def _process(endpoint, incarnation):
    """Answer the probes of a process."""

    async def serve(reader, writer):
        await reader.readline()
        writer.write(f"{incarnation}\n".encode())
        writer.close()

    async with await asyncio.start_server(serve, endpoint.host, endpoint.port):
        yield


async def _acquire(lease):
    """Acquire the lease and keep it until the block ends, without releasing it."""
    task = asyncio.create_task(lease.maintain())
    await _wait_until(lambda: lease.token is not None, 5.0)
    return task


async def test_a_fencing_token_is_never_lower_than_before_the_restore(short_lease):
    """A coordinator acted with token 27 after its predecessor had acted with 34."""
    async with _platform() as platform:
        with _client(platform) as client:
            first = _lease("first", client)
            first_task = await _acquire(first)
            await first.release()
            first_task.cancel()
            older = platform.copy()
            for number in range(50):
                await platform.put("other", str(number), {})
            second = _lease("second", client)
            second_task = await _acquire(second)
            former_token = second.token
            second_task.cancel()
            await platform.restore(older)
            third = _lease("third", client)
            third_task = await _acquire(third)
            assert third.token > former_token
            third_task.cancel()


class SeparablePlatform:
    """The platform as one instance reaches it, which a test can cut off."""

    def __init__(self, client):
        self._client = client
        self.cut_off = False

    def __getattr__(self, name):
        if self.cut_off:
            raise interfaces.NotDone("cut off")
        return getattr(self._client, name)


@pytest.mark.parametrize("holder_cut_off", [False, True])
@pytest.mark.parametrize("copied", ["before the first lease", "released", "held by another"])
async def test_one_instance_at_a_time_holds_the_lease_after_a_restore(
    short_lease, copied, holder_cut_off
):
    """The restored record named nobody or an ended process while the last coordinator acted."""
    async with _platform() as platform:
        with _client(platform) as client:
            older = platform.copy()
            if copied != "before the first lease":
                former = _lease("former", client)
                former_task = await _acquire(former)
                if copied == "held by another":
                    older = platform.copy()
                await former.release()
                former_task.cancel()
                if copied == "released":
                    older = platform.copy()
            own_platform = SeparablePlatform(client)
            holder, other = _lease("holder", own_platform), _lease("other", client)
            holder_task = await _acquire(holder)
            own_platform.cut_off = holder_cut_off
            await platform.restore(older)
            process = _process(holder.coordinator.endpoint, holder.coordinator.incarnation)
            async with process, _running(other.maintain()):
                ends_at_s = _now() + 4 * LEASE_DURATION_S
                served = set()
                while _now() < ends_at_s:
                    assert holder.token is None or other.token is None
                    served |= {lease for lease in (holder, other) if lease.token is not None}
                    await asyncio.sleep(0.005)
                # The holder goes on, or the other instance takes over once its lease has ended.
                assert (other.token is not None) == holder_cut_off
                assert holder in served or holder_cut_off
            holder_task.cancel()


@pytest.mark.parametrize("noticed_by", ["a failed renewal", "another call"])
async def test_a_renewal_at_a_revision_that_was_given_out_again_keeps_no_lease(
    short_lease, noticed_by
):
    """A conditional update matched the successor's record, and both instances acted."""
    async with _platform() as platform:
        with _client(platform) as client:
            older = platform.copy()
            own_platform = SeparablePlatform(client)
            holder = _lease("holder", own_platform)
            holder_task = await _acquire(holder)
            own_platform.cut_off = True
            if noticed_by == "a failed renewal":
                await asyncio.sleep(0.3)
            revision = platform.get_revision("bilberrystack-duties", "promotion")
            await platform.restore(older)
            # Another instance acquires the lease at the revision that the holder knows.
            while platform.revision < revision - 1:
                await platform.put("other", str(platform.revision), {})
            endpoint = model.Endpoint(line_site.unused_loopback_address(), 7002)
            other = model.Instance("other", "process-of-other", endpoint, "a")
            never_written = interfaces.Revision(platform.era, 0)
            missing = interfaces.LeaseRecord(None, 0, never_written, platform.era)
            with _client(platform) as other_client:
                written = await other_client.write_coordinator_lease(missing, other, 1 << 40)
            assert written.revision.number == revision
            if noticed_by == "another call":
                await client.configurations.list()
            own_platform.cut_off = False
            async with _process(endpoint, other.incarnation):
                await asyncio.sleep(0.4)
                assert holder.token is None
                assert await client.read_coordinator_lease() == written
            holder_task.cancel()


class MisleadingPlatform(SeparablePlatform):
    """A platform of which one response has shown an era that the store does not have."""

    store_era = 99


async def test_a_wrong_era_neither_ends_the_lease_nor_causes_a_storm_of_calls(short_lease):
    """A holder that finds the eras different reads its record once, not before each renewal."""
    async with _platform() as platform:
        with _client(platform) as client:
            holder = _lease("holder", MisleadingPlatform(client))
            holder_task = await _acquire(holder)
            calls_before = len(platform.calls)
            await asyncio.sleep(2 * LEASE_DURATION_S)
            assert holder.token is not None
            # It renews its lease every 0.2 s.
            assert len(platform.calls) - calls_before < 12
            holder_task.cancel()


def _record(report_number, **options):
    return platform_server.member_record("s", "127.0.0.1:7", report_number=report_number, **options)


@contextlib.asynccontextmanager
async def _directory(platform):
    with _client(platform) as client:
        store_directory: directory.Directory

        def refresh():
            store_directory.refresh()

        store_directory = directory.Directory(client, _now, refresh, 20.0)
        async with _running(*(work() for work in store_directory.background_work())):
            await _wait_until(lambda: store_directory.members_of("s"), 2.0)
            yield store_directory


async def test_a_leaving_member_does_not_come_back_as_ready_from_the_copy():
    """The copy held the member's record from before it began to leave."""
    async with _platform() as platform:
        await _declare(platform, 1, "d")
        await platform.put("servers", "a", _record(1))
        older = platform.copy()
        async with _directory(platform) as store_directory:
            await platform.put("servers", "a", _record(9, state="draining"))
            await _wait_until(lambda: store_directory.members_of("s")[0].leaving, 2.0)
            platform.remove_silently("servers", "a")
            await platform.restore(older)
            ends_at_s = _now() + 6.0
            while _now() < ends_at_s:
                assert all(member.leaving for member in store_directory.members_of("s"))
                await asyncio.sleep(0.05)


async def test_a_member_that_has_left_does_not_come_back_from_the_copy(monkeypatch):
    """A member that had left, or crashed for good, was offered work again."""
    monkeypatch.setattr(member_records, "MISSING_MEMBER_RETENTION_S", 0.1)
    async with _platform() as platform:
        await _declare(platform, 1, "d")
        await platform.put("servers", "a", _record(1))
        await platform.put("servers", "b", _record(4))
        older = platform.copy()
        async with _directory(platform) as store_directory:
            await platform.put("servers", "b", _record(9, state="draining"))
            await platform.remove("servers", "b")

            def present():
                store_directory.refresh()
                return {member.id for member in store_directory.members_of("s")}

            await _wait_until(lambda: present() == {"a"}, 5.0)
            await platform.restore(older)
            await platform.put("servers", "a", _record(30, primary=True))
            await _wait_until(
                lambda: any(
                    member.role is model.Role.PRIMARY for member in store_directory.members_of("s")
                ),
                APPLY_LIMIT_S,
            )
            assert present() == {"a"}
            # The member starts again under its id.
            await platform.put("servers", "b", _record(1, started_ms=1_700_000_009_000))
            await _wait_until(lambda: present() == {"a", "b"}, APPLY_LIMIT_S)


async def test_instances_whose_registration_is_lost_stay_known_and_register_again():
    """Without the others each instance would take itself for the only owner of every group."""
    async with line_site.Site(0) as site:
        older = site.platform.copy()
        for number in range(3):
            site.start_instance(f"proxy-{number}")
        await site.wait_until(
            lambda: all(
                started.ready and len(started.known_instances) == 3 for started in site.instances
            )
        )
        await site.platform.restore(older)
        assert site.platform.object_names("bilberrystack-instances") == []

        def registered():
            assert all(len(started.known_instances) == 3 for started in site.instances)
            return len(site.platform.object_names("bilberrystack-instances")) == 3

        await site.wait_until(registered, 10.0)
        await asyncio.sleep(6.0)
        assert registered()
