"""Tests of three groups while an instance takes a refused connection for an ended coordinator.

The platform, the members and the instances run in one process, and clients read and write all the
time. A cut of the network refuses connections like a closed port, while both processes live.
"""

import asyncio
import contextlib
import random

import pytest

from bilberrystack_standins import line_network
from bilberrystack_standins import line_site
from soak import callers
from soak import group_traces
from soak import site as soak_site
from soak import whole_site_test

pytestmark = pytest.mark.asyncio

GROUP_COUNT = 3
CLIENT_COUNT = 24
HABITS = callers.Habits(group_traces.DATABASES, write_share=0.6, max_pause_s=0.01)

# The lease names at most five standbys, so that one of eight instances is none.
MANY_INSTANCES, FEW_INSTANCES = 8, 5

# Time before the faults, in which the coordinator renews its lease and names its standbys.
LOAD_S = 4.0

# Time within which another instance acquires the lease, if it does at all before it expires.
TAKEOVER_TIMEOUT_S = 3.0

# Time between the takeover, or its absence, and the end of the cut.
CUT_S = 6.0

# Time between the end of the cut and that of the clients.
END_S = 2.0

# Time between a renewal of the lease and the beginning of the cut, so that the coordinator renews
# it once more just before the other instance acquires it.
AFTER_RENEWAL_S = 0.7

Cut = line_network.Cut


class _Play:
    """A running site with the names that the plays use.

    Attributes:
      site: The site.
      coordinator: The name of the coordinator before the faults.
      rival: The name of the instance that is cut off from the coordinator.
    """

    def __init__(self, site, addresses):
        self.site = site
        self.addresses = addresses
        self.coordinator = self._holder()
        self.rival = next(name for name in self.names if name != self.coordinator)

    @property
    def names(self):
        return [settings.name for settings in self.site.settings]

    @property
    def primaries(self):
        return [primary for group in self.site.groups.values() for primary in group.primaries]

    def _holder(self):
        holder = self.site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME)["holder"]
        return "" if holder is None else holder["name"]

    def choose_no_standby(self):
        """Choose an instance that the record of the lease does not name."""
        lease = str(self.site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME))
        numbers = [
            number
            for number, started in enumerate(self.site.instances)
            if started._own_instance.incarnation not in lease
        ]
        self.rival = self.names[numbers[0]]

    def cut_rival(self, kind, *, from_all=True, both=True):
        """Cut the rival off from the coordinator, or from all other instances."""
        others = self.names if from_all else [self.coordinator]
        for name in others:
            if name != self.rival:
                self.site.network.cut(self.rival, name, kind, both=both)

    def cut_primaries(self, kind):
        for primary in self.primaries:
            self.site.network.cut(self.rival, primary.id, kind)

    def cut_others_from_store(self):
        for name in self.names:
            if name != self.rival:
                self.site.network.cut(name, line_network.STORE, Cut.SILENT)

    async def wait_for_renewal(self):
        def revision():
            return self.site.platform.get_revision(soak_site.LEASE_KIND, soak_site.LEASE_NAME)

        before = revision()
        await self.site.wait_until(lambda: revision() != before)

    async def leave_after_takeover(self):
        """Announce that all primaries leave, once the rival holds the lease or at the latest."""
        with contextlib.suppress(TimeoutError):
            await self.site.wait_until(
                lambda: self._holder() == self.rival, timeout_s=TAKEOVER_TIMEOUT_S
            )
        for primary in self.primaries:
            await self.site.platform.register_member(primary, "draining")


async def _refused_by_all(play):
    """The others, apart from the store, still support the coordinator."""
    play.choose_no_standby()
    play.cut_rival(Cut.REFUSE)
    play.cut_primaries(Cut.SILENT)
    play.cut_others_from_store()
    await play.leave_after_takeover()


async def _unanswered_by_all(play):
    """The same with a cut that drops packets: nobody acquires the lease before it expires."""
    play.choose_no_standby()
    play.cut_rival(Cut.SILENT)
    play.cut_primaries(Cut.SILENT)
    play.cut_others_from_store()
    await play.leave_after_takeover()


async def _refused_just_after_the_start(play):
    """The refused instance has just started and reads the lease for the first time."""
    play.rival = "proxy-new"
    play.site.start_instance(play.rival)
    play.addresses.update(whole_site_test._addresses(play.site))
    play.cut_rival(Cut.REFUSE)
    play.cut_primaries(Cut.SILENT)
    play.cut_others_from_store()
    await play.leave_after_takeover()


async def _refused_by_all_and_by_the_primaries(play):
    """The primaries do not leave, and refuse connections of the refused instance only."""
    play.choose_no_standby()
    play.cut_rival(Cut.REFUSE)
    play.cut_primaries(Cut.REFUSE)
    play.cut_others_from_store()
    await asyncio.sleep(TAKEOVER_TIMEOUT_S)


async def _refused_one_way(play):
    """Everybody reaches the store, and the others reach the refused instance."""
    await play.wait_for_renewal()
    await asyncio.sleep(AFTER_RENEWAL_S)
    play.cut_rival(Cut.REFUSE, both=False)
    play.cut_primaries(Cut.REFUSE)
    await asyncio.sleep(TAKEOVER_TIMEOUT_S)


async def _refused_by_the_coordinator(play):
    """The refused instance hears all others, and everybody reaches the store."""
    play.cut_rival(Cut.REFUSE, from_all=False)
    await play.leave_after_takeover()


async def _refused_by_the_coordinator_without_the_store(play):
    play.site.network.cut(play.coordinator, line_network.STORE, Cut.SILENT)
    play.cut_rival(Cut.REFUSE, from_all=False)
    await play.leave_after_takeover()


async def _coordinator_stops(play):
    """The coordinator is told to stop and lives on until its grace time ends."""
    play.addresses.pop(play.coordinator)
    play.site.instances[play.names.index(play.coordinator)].request_stop()
    await play.leave_after_takeover()


PLAYS = {
    "refused by all": (MANY_INSTANCES, _refused_by_all),
    "unanswered by all": (MANY_INSTANCES, _unanswered_by_all),
    "refused just after the start": (FEW_INSTANCES, _refused_just_after_the_start),
    "refused by all and by the primaries": (MANY_INSTANCES, _refused_by_all_and_by_the_primaries),
    "refused one way": (FEW_INSTANCES, _refused_one_way),
    "refused by the coordinator": (FEW_INSTANCES, _refused_by_the_coordinator),
    "refused by the coordinator without the store": (
        FEW_INSTANCES,
        _refused_by_the_coordinator_without_the_store,
    ),
    "coordinator stops": (FEW_INSTANCES, _coordinator_stops),
}


async def _run_play(instance_count, run):
    """Run clients during a play.

    Returns:
      The wrong replies, the violations by group, the number of statements that succeeded and the
      tokens of the leases, in their order.
    """
    record = []
    with line_network.Network() as network:
        async with line_site.Site(
            instance_count, soak_site.GROUP_OPTIONS, GROUP_COUNT, network
        ) as site:
            addresses = whole_site_test._addresses(site)
            clients = [
                asyncio.create_task(
                    callers.run_client(addresses, random.Random(number), record, habits=HABITS)
                )
                for number in range(CLIENT_COUNT)
            ]
            await asyncio.sleep(LOAD_S)
            tokens = []
            watching = asyncio.create_task(_record_tokens(site, tokens))
            await run(_Play(site, addresses))
            await asyncio.sleep(CUT_S)
            watching.cancel()
            network.heal()
            await asyncio.sleep(END_S)
            wrong_replies = await whole_site_test._stop_clients(clients)
            violations = group_traces.check(site, record)
    succeeded = sum(
        statement.succeeded for operation in record for statement in operation.statements
    )
    return wrong_replies, violations, succeeded, tokens


async def _record_tokens(site, tokens):
    while True:
        token = site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME)["token"]
        if token not in tokens:
            tokens.append(token)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("play", PLAYS)
async def test_no_write_is_acknowledged_at_a_replaced_primary_beside_a_second_coordinator(play):
    """A refused connection was taken for the end of the coordinator's process.

    The refused instance acquired the lease at once and promoted other members, while the
    coordinator lived and granted the old primaries to all instances that still heard it.
    """
    wrong_replies, violations, succeeded, _ = await _run_play(*PLAYS[play])
    counts = {
        f"{service}: {each.guarantee}": sum(
            other.guarantee == each.guarantee for other in violations[service]
        )
        for service in violations
        for each in violations[service]
    }
    examples = [each.detail for found in violations.values() for each in found[:1]]
    assert (wrong_replies, counts) == ([], {}), examples
    assert succeeded > whole_site_test.MIN_SUCCEEDED_STATEMENTS


# A lease lasts 8 s. During the cut of about 9 s at most one other instance acquires it.
MAX_TOKENS = 2


async def test_two_instances_that_refuse_each_other_do_not_take_the_lease_in_turn():
    """Each took the refused connection for the end of the other process.

    The lease changed hands each 0.75 s, sooner than a new coordinator may replace a primary.
    """
    _, _, _, tokens = await _run_play(FEW_INSTANCES, _refused_by_the_coordinator)
    assert len(tokens) <= MAX_TOKENS
