"""Tests that no write is acknowledged at a replaced primary when promotions are carried out late.

The platform, the members and the instances run in one process, and clients write all the time. The
order of the events is the same in each run.
"""

import asyncio
import contextlib
import random
from unittest import mock

import pytest

from bilberrystack.platform import client
from bilberrystack.pooling import interfaces
from bilberrystack_standins import line_site
from bilberrystack_standins import platform_server
from soak import account
from soak import callers
from soak import site as soak_site
from soak import whole_site_test

pytestmark = pytest.mark.asyncio

INSTANCE_COUNT = 3
CLIENT_COUNT = 12
HABITS = callers.Habits(("strict",), write_share=1.0, max_pause_s=0.01)

# Longest delay of a request. A request that is carried out earlier is carried out by the test.
MAX_DELAY_S = 20.0

# Time between a request without an answer and its late execution, longer than any limit by which
# earlier versions took such a request for void.
DELAY_S = 4.0

# The same with a successor, which first acquires the coordinator lease and waits for 2 s.
SUCCESSOR_DELAY_S = 6.0

# Time that the primary has to change a second time before the late request is carried out anyway.
CHANGE_TIMEOUT_S = 6.0

# Time for which the named member is away, longer than the 10 s after which its request does not
# count while its record is missing.
ABSENCE_S = 13.0

# Time between the last event and the end, in which a replaced primary steps down.
END_S = 2.0

Answer = platform_server.PromotionAnswer


def _late(answer, *times_s):
    return platform_server.PromotionFault((*times_s, MAX_DELAY_S), answer)


async def _request_promotion(site, fault):
    """Make the primary "a" silent until its replacement is requested; return the named member."""
    site.platform.promotion_faults.append(fault)
    first = site.group.members["a"]
    first.go_dark()
    await site.wait_until(lambda: site.platform.promotion_requests)
    await first.end_darkness()
    return site.group.members[site.platform.promotion_requests[0].member]


async def _replace_primary(site, *silent):
    """Make the primary and other members silent until another member leads, if it does in time."""
    change_count = len(site.group.promotions)
    members = {*site.group.primaries, *silent}
    for member in members:
        member.go_dark()
    with contextlib.suppress(TimeoutError):
        await site.wait_until(
            lambda: len(site.group.promotions) > change_count, timeout_s=CHANGE_TIMEOUT_S
        )
    for member in members:
        await member.end_darkness()


async def _carry_out_late(site, _addresses):
    """The request gets no answer and is carried out once the old primary is back in use."""
    await _request_promotion(site, _late(Answer.NEVER))
    await asyncio.sleep(DELAY_S)


async def _carry_out_late_after_a_reset(site, _addresses):
    """The connection of the request is reset, and the request is carried out late."""
    await _request_promotion(site, _late(Answer.RESET))
    await asyncio.sleep(DELAY_S)


async def _accept_and_carry_out_late(site, _addresses):
    """The platform accepts the request, and the member answers as a replica for a time."""
    await _request_promotion(site, _late(Answer.AT_ONCE))
    await asyncio.sleep(DELAY_S)


async def _replace_coordinator(site, addresses):
    """Stop the coordinator, and wait until a successor decides."""
    name = site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME)["holder"]["name"]
    addresses.pop(name)
    number = [settings.name for settings in site.settings].index(name)
    await site.instances[number].terminate()
    await asyncio.sleep(SUCCESSOR_DELAY_S)


async def _carry_out_late_under_a_successor(site, addresses):
    """Another instance has become the coordinator when the request is carried out."""
    await _request_promotion(site, _late(Answer.NEVER))
    await _replace_coordinator(site, addresses)


async def _carry_out_late_unknown_to_a_successor(site, addresses):
    """The store did not answer when the request was to be stored, and the request was made."""

    async def record_promotion(_client, _record):
        raise interfaces.NoAnswer

    with mock.patch.object(client.Client, "record_promotion", record_promotion):
        await _carry_out_late_under_a_successor(site, addresses)


async def _carry_out_late_after_an_absence(site, _addresses):
    """The member has been away with its record, and leads as soon as it is back."""
    named = await _request_promotion(site, _late(Answer.NEVER))
    named.go_dark()
    await site.platform.remove("servers", named.id)
    await asyncio.sleep(ABSENCE_S)
    await named.end_darkness()
    await site.platform.register_member(named)


async def _carry_out_late_after_another_promotion(site, _addresses):
    """A third member leads when the request is carried out."""
    named = await _request_promotion(site, _late(Answer.NEVER))
    await asyncio.sleep(DELAY_S)
    await _replace_primary(site, named)
    await asyncio.sleep(1.0)


async def _carry_out_late_after_the_return_of_the_primary(site, _addresses):
    """The old primary leads again, in a newer term, when the request is carried out."""
    named = await _request_promotion(site, _late(Answer.NEVER))
    await asyncio.sleep(DELAY_S)
    await _replace_primary(site, named)
    await asyncio.sleep(1.0)
    await _replace_primary(site, named)
    await asyncio.sleep(1.0)


async def _carry_out_twice(site, _addresses):
    """The request is carried out and answered, and once more when another member leads."""
    named = await _request_promotion(site, _late(Answer.WHEN_CARRIED_OUT, 0.0))
    await site.wait_until(lambda: named in site.group.primaries)
    await asyncio.sleep(END_S)
    await _replace_primary(site)
    await asyncio.sleep(1.0)


async def _carry_out_twice_under_a_successor(site, addresses):
    """The same, and another instance has become the coordinator meanwhile."""
    await _carry_out_twice(site, addresses)
    await _replace_coordinator(site, addresses)


async def _carry_out_after_a_rejection(site, _addresses):
    """The platform rejects the request, and carries it out once more when another member leads."""
    site.platform.promotion_faults.append(_late(Answer.WHEN_CARRIED_OUT, 0.0))
    site.platform.unpromotable_members = set(site.group.members)
    first = site.group.members["a"]
    first.go_dark()
    await site.wait_until(lambda: site.platform.promotion_requests)
    site.platform.unpromotable_members.clear()
    named = site.group.members[site.platform.promotion_requests[0].member]
    await site.wait_until(lambda: set(site.group.primaries) - {first, named})
    await first.end_darkness()
    await asyncio.sleep(END_S)


async def _wait_for_write(site, addresses):
    """Wait until an instance that runs commits a write."""
    names = [settings.name for settings in site.settings]
    client = await site.connect("strict", names.index(min(addresses)))
    async with asyncio.timeout(whole_site_test.RECOVERY_S):
        while not (await client.query("WRITE x 1", callers.probe_id()))[0].startswith("DONE"):
            await asyncio.sleep(0.05)
    client.close()


PLAYS = {
    "late": _carry_out_late,
    "late after a reset": _carry_out_late_after_a_reset,
    "late after an answer": _accept_and_carry_out_late,
    "late under a successor": _carry_out_late_under_a_successor,
    "late and unknown to a successor": _carry_out_late_unknown_to_a_successor,
    "late after an absence": _carry_out_late_after_an_absence,
    "late after another promotion": _carry_out_late_after_another_promotion,
    "late after the return of the primary": _carry_out_late_after_the_return_of_the_primary,
    "twice": _carry_out_twice,
    "after a rejection": _carry_out_after_a_rejection,
    "twice under a successor": _carry_out_twice_under_a_successor,
}


@pytest.mark.parametrize("play", PLAYS)
async def test_no_write_is_acknowledged_at_a_replaced_primary(play):
    """A request without an answer was taken for void after 2 s, and grants named the old primary.

    When the platform carried it out later, clients were told of the success of writes that the
    old primary committed after the promotion.
    """
    record = []
    async with line_site.Site(INSTANCE_COUNT) as site:
        addresses = whole_site_test._addresses(site)
        clients = [
            asyncio.create_task(
                callers.run_client(
                    addresses, random.Random(f"{play} {number}"), record, habits=HABITS
                )
            )
            for number in range(CLIENT_COUNT)
        ]
        await asyncio.sleep(1.0)
        await PLAYS[play](site, addresses)
        assert site.platform.late_promotions
        site.platform.carry_out_late_promotions()
        await asyncio.sleep(END_S)
        await _wait_for_write(site, addresses)
        wrong_replies = await whole_site_test._stop_clients(clients)
        violations = account.check(whole_site_test._trace(site, record))
    succeeded = sum(
        statement.succeeded for operation in record for statement in operation.statements
    )
    found = {each.guarantee: each.detail for each in violations}
    assert (wrong_replies, found) == ([], {}), f"{len(violations)} violations"
    assert succeeded > whole_site_test.MIN_SUCCEEDED_STATEMENTS
