"""Plays clients against a whole site in one process and checks each answer against the execution.

Instances forward to the owners of the group, the primary changes as planned meanwhile, and the
conditions of the soak hold: data with any characters, and members with faulty answers.
"""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from bilberrystack.routing import model
from bilberrystack_standins import line_group
from bilberrystack_standins import line_site
from bilberrystack_standins import platform_server
from soak import account
from soak import callers
from soak import conditions
from soak import links
from soak import site as soak_site

pytestmark = pytest.mark.asyncio

INSTANCE_COUNT = 5
CLIENT_COUNT = 10

# The connection limit allows two owners with three connections each; the other instances forward.
OWNER_COUNT, MAX_CONNECTIONS = 2, 7

# Time for which clients work before the primary is announced to leave, and after its end.
LOAD_S = 1.5

MIN_SUCCEEDED_STATEMENTS = 50

PLAYS = {
    "usual conditions": conditions.Conditions(),
    "any characters": conditions.Conditions(any_characters=True),
    "faulty answers": conditions.Conditions(faulty_answers=True),
    "any characters and faulty answers": conditions.Conditions(True, True),
    "several rows or none": conditions.Conditions(True, True, varied_rows=True),
}


def _owner_count(site):
    executors = [instance.executor(line_site.SERVICE) for instance in site.instances]
    return sum(executor is not None and executor.group.owned for executor in executors)


def _start_clients(site, seed, any_characters, record, habits=callers.USUAL_HABITS):
    """Start clients that use all instances; return their tasks."""
    return [
        asyncio.create_task(
            callers.run_client(
                _addresses(site),
                random.Random(f"{seed} {number}"),
                record,
                random.Random(f"data {seed} {number}") if any_characters else None,
                habits,
            )
        )
        for number in range(CLIENT_COUNT)
    ]


def _addresses(site):
    """Return the addresses of the instances, by name."""
    return {
        settings.name: f"{settings.sessions_endpoint.host}:{settings.sessions_endpoint.port}"
        for settings in site.settings
    }


async def _change_primary(site):
    """Announce that the primary leaves, and end it once another member is the primary."""
    first = site.group.members["a"]
    await site.platform.register_member(first, "draining")
    await site.wait_until(lambda: any(member is not first for member in site.group.primaries))
    await asyncio.sleep(0.5)
    await first.stop()


def _trace(site, record):
    members = site.group.members.values()
    last_primary = max(members, key=lambda member: (member.is_primary, member.term))
    return account.Trace(
        operations=record,
        executed_statements=[
            executed
            for executed in site.group.executed_statements
            if not executed.request_id.startswith(callers.PROBE_PREFIX)
        ],
        commit_counts=site.group.commit_counts,
        committed_entries=site.group.committed_entries,
        final_log=last_primary.log,
        promotion_requests=site.platform.promotion_requests,
        promotions=site.group.promotions,
        synchronous=bool(site.group.options.sync_replicas),
        varied_rows=site.group.options.varied_rows,
    )


async def _crash_primary(site):
    """End the primary at once, and wait for the next one."""
    first = site.group.members["a"]
    await first.stop()
    await site.wait_until(lambda: any(member is not first for member in site.group.primaries))


async def _play(play, seed, replace_primary, habits=callers.USUAL_HABITS, **options):
    """Run clients while the primary is replaced.

    Returns:
      The number of statements that succeeded, the wrong replies and the violated guarantees.
    """
    group_options = dataclasses.replace(
        conditions.group_options(PLAYS[play], seed), max_connections=MAX_CONNECTIONS, **options
    )
    record = []
    async with line_site.Site(INSTANCE_COUNT, group_options) as site:
        await site.wait_until(lambda: _owner_count(site) == OWNER_COUNT)
        clients = _start_clients(site, seed, PLAYS[play].any_characters, record, habits)
        await asyncio.sleep(LOAD_S)
        await replace_primary(site)
        await asyncio.sleep(LOAD_S)
        for client in clients:
            client.cancel()
        results = await asyncio.gather(*clients, return_exceptions=True)
        violations = account.check(_trace(site, record))
    wrong_replies = [result for result in results if not isinstance(result, asyncio.CancelledError)]
    succeeded = sum(
        statement.succeeded for operation in record for statement in operation.statements
    )
    return succeeded, wrong_replies, {each.guarantee: each.detail for each in violations}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("play", PLAYS)
async def test_clients_receive_the_answers_to_their_own_statements(play, seed):
    """Guards against answers of other requests, and against statements that nobody sent.

    An answer is right, an error, or UNSURE. A statement that was refused with the promise that it
    did not run has not been committed, and a write is committed at most once.
    """
    succeeded, wrong_replies, violations = await _play(play, seed, _change_primary)
    assert (wrong_replies, violations) == ([], {})
    assert succeeded > MIN_SUCCEEDED_STATEMENTS


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("play", PLAYS)
async def test_acknowledged_commits_survive_a_crash_of_the_primary(play, seed):
    """Guards against a member that is promoted by an answer to STATUS that was not the present one.

    Such a promotion lost 18 acknowledged commits.
    """
    succeeded, wrong_replies, violations = await _play(
        play, seed, _crash_primary, sync_replicas=1, receive_lag_s=0.05
    )
    assert (wrong_replies, violations) == ([], {})
    assert succeeded > MIN_SUCCEEDED_STATEMENTS


READ_ONLY_TRANSACTIONS = callers.Habits(read_only_share=0.5, empty_share=0.2)


@pytest.mark.parametrize("replace_primary", [_change_primary, _crash_primary])
async def test_read_only_and_empty_transactions_are_as_fresh_as_their_databases(replace_primary):
    """Guards against a BEGIN READ at a replica that lacks the position, and unchecked commits."""
    succeeded, wrong_replies, violations = await _play(
        "usual conditions", 1, replace_primary, READ_ONLY_TRANSACTIONS, apply_lag_s=0.3
    )
    assert (wrong_replies, violations) == ([], {})
    assert succeeded > MIN_SUCCEEDED_STATEMENTS


# Time for which a promoted member applies what it had received.
PROMOTION_APPLY_LAG_S = 1.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_read_runs_before_a_promoted_member_has_applied_its_log(seed):
    """Guards against reads at a new primary that lack commits which it has received."""
    succeeded, wrong_replies, violations = await _play(
        "usual conditions",
        seed,
        _change_primary,
        callers.Habits(("strict",), write_share=0.3, max_pause_s=0.003),
        apply_lag_s=1.0,
        promotion_apply_lag_s=PROMOTION_APPLY_LAG_S,
    )
    assert (wrong_replies, violations) == ([], {})
    assert succeeded > MIN_SUCCEEDED_STATEMENTS


# Clients read often, since the first members that notice a restart end the reads from an empty log.
RESTART_CLIENT_COUNT = 24
MANY_WRITES = callers.Habits(("strict",), max_pause_s=0.005)

# With so few writes no rejected write shows that the primary has restarted.
FEW_WRITES = dataclasses.replace(MANY_WRITES, write_share=0.002)

# Time for which each item is written before a play with few writes.
FIRST_WRITES_S = 0.7

# The record of a restarted member is written so much later, unless its role has changed before.
NEWS_DELAY_S = 2.0


@contextlib.asynccontextmanager
async def _open_site_with_store_links(group_options):
    """Start a site; return it and the links between its instances and the store, by name."""
    async with line_site.Site(0, group_options) as site, contextlib.AsyncExitStack() as stack:
        store_links = {}
        for number in range(INSTANCE_COUNT):
            link = await stack.enter_async_context(links.Link(site.platform.port))
            name = f"proxy-{number}"
            store_links[name] = link
            site.start_instance(name, model.Endpoint("127.0.0.1", link.port))
        await site.wait_until(lambda: all(started.ready for started in site.instances))
        yield site, store_links


def _cut_off_from_store(site, store_links):
    """Cut the coordinator and one more instance off from the store."""
    coordinator = site.platform.get(soak_site.LEASE_KIND, soak_site.LEASE_NAME)["holder"]["name"]
    other = next(name for name in store_links if name != coordinator)
    for name in (coordinator, other):
        store_links[name].faults.refusing = True
        store_links[name].reset()


async def _stop_clients(clients):
    """Stop clients; return those that received a wrong reply."""
    for client in clients:
        client.cancel()
    results = await asyncio.gather(*clients, return_exceptions=True)
    return [result for result in results if not isinstance(result, asyncio.CancelledError)]


async def _play_restart(pause_s, habits, cut_off, seed):
    """Run clients while the primary starts again without its log.

    Returns:
      The wrong replies, the violations, and the number of succeeded reads of the primary route.
    """
    restart = platform_server.Restart(False, pause_s, platform_server.News.LATE, NEWS_DELAY_S)
    record = []
    group_options = conditions.group_options(conditions.Conditions(), seed)
    async with _open_site_with_store_links(group_options) as (site, store_links):
        clients = _start_clients(site, seed, False, record)
        await asyncio.sleep(FIRST_WRITES_S)
        wrong_replies = await _stop_clients(clients)
        clients = [
            asyncio.create_task(
                callers.run_client(
                    _addresses(site), random.Random(f"{seed} reads {number}"), record, habits=habits
                )
            )
            for number in range(RESTART_CLIENT_COUNT)
        ]
        await asyncio.sleep(FIRST_WRITES_S)
        if cut_off:
            _cut_off_from_store(site, store_links)
        news = asyncio.create_task(site.platform.restart_member(site.group.members["a"], restart))
        await site.wait_until(lambda: site.group.promotions)
        await asyncio.sleep(LOAD_S)
        wrong_replies += await _stop_clients(clients)
        await news
        violations = account.check(_trace(site, record))
    read_count = sum(
        statement.succeeded and statement.expected_text.startswith("READ")
        for operation in record
        if operation.database == "strict"
        for statement in operation.statements
    )
    return wrong_replies, violations, read_count


@pytest.mark.parametrize("cut_off", [False, True])
@pytest.mark.parametrize("pause_s", [0.01, 0.3])
@pytest.mark.parametrize("habits", [MANY_WRITES, FEW_WRITES], ids=["many writes", "few writes"])
async def test_no_read_runs_on_the_empty_log_of_a_restarted_primary(habits, pause_s, cut_off):
    """Guards against reads that lack commits until the next primary leads.

    The record of the new process is late, so that instances have to notice it by themselves.
    """
    wrong_replies, violations, read_count = await _play_restart(pause_s, habits, cut_off, seed=1)
    stale = [each for each in violations if " of strict lacks " in each.detail]
    assert wrong_replies == []
    assert violations == [], f"{len(stale)} of {read_count} reads of the primary route are stale"
    assert read_count > MIN_SUCCEEDED_STATEMENTS


# Time within which a write succeeds again after the last fault.
RECOVERY_S = 15.0

# Time for which the primary is dark, longer than it takes to replace one.
DARK_S = 3.0


async def _end_primary_for_a_time(primary):
    """End a primary like a killed process, and start it again with its log."""
    await primary.stop()
    await asyncio.sleep(DARK_S)
    await primary.start()


async def _darken_primary(primary):
    """Take a primary off the network for a time."""
    primary.go_dark()
    await asyncio.sleep(DARK_S)
    await primary.end_darkness()


async def _restart_replica_before_fault(site, news, fault):
    """Let the only replica with the last commits start again empty, just before the primary fails.

    Args:
      site: The site.
      news: When the record of the replica is written.
      fault: Makes the primary fail; returns once it is back.
    """
    primary, replica, late_replica = site.group.members.values()
    late_replica.replication_stopped = True
    await asyncio.sleep(0.3)
    restart = platform_server.Restart(False, 0.1, news, NEWS_DELAY_S)
    restarting = asyncio.create_task(site.platform.restart_member(replica, restart))
    await site.wait_until(lambda: not replica.is_running)
    failing = asyncio.create_task(fault(primary))
    # Entries that were sent before the fault are lost on the way.
    await asyncio.sleep(2 * site.group.options.receive_lag_s)
    late_replica.replication_stopped = False
    await asyncio.gather(failing, restarting)
    client = await site.connect("strict")
    async with asyncio.timeout(RECOVERY_S):
        while True:
            answer = await client.query("WRITE item0 last", callers.probe_id())
            if answer[0].startswith("DONE"):
                return
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("news", [platform_server.News.EARLY, platform_server.News.LATE])
@pytest.mark.parametrize("fault", [_end_primary_for_a_time, _darken_primary])
async def test_a_replica_that_restarts_without_its_log_costs_no_acknowledged_commit(fault, news):
    """Guards against a promotion that takes the empty replica for one that knows all commits.

    The last commits are at the dark primary only, so that no other member may lead before it is
    back.
    """
    succeeded, wrong_replies, violations = await _play(
        "usual conditions",
        1,
        lambda site: _restart_replica_before_fault(site, news, fault),
        sync_replicas=1,
        receive_lag_s=0.05,
    )
    assert (wrong_replies, violations) == ([], {})
    assert succeeded > MIN_SUCCEEDED_STATEMENTS


async def _lose_clients_of_members(site):
    """Make the far ends of the members' connections unreachable, and wait until they are dropped.

    The primary accepts no connection until then.
    """
    for member in site.group.members.values():
        member.lose_clients()
    await asyncio.sleep(line_group.UNREACHABLE_LIMIT_S)
    for number in range(INSTANCE_COUNT):
        client = await site.connect("strict", number)
        async with asyncio.timeout(RECOVERY_S):
            while (await client.query("READ item0", callers.probe_id()))[-2][:4] != "DONE":
                await asyncio.sleep(0.05)
    assert site.platform.promotion_requests == []


async def test_connections_with_an_unreachable_far_end_replace_no_primary():
    """Guards against a full member that is taken for a silent one, and use that never resumes."""
    succeeded, wrong_replies, violations = await _play(
        "usual conditions", 1, _lose_clients_of_members
    )
    assert (wrong_replies, violations) == ([], {})
    assert succeeded > MIN_SUCCEEDED_STATEMENTS
