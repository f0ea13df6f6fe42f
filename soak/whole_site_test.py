"""Plays clients against a whole site in one process and checks each answer against the execution.

Instances forward to the owners of the group, the primary changes as planned meanwhile, and the
conditions of the soak hold: data with any characters, and members with faulty answers.
"""

import asyncio
import dataclasses
import random

import pytest

from bilberrystack_standins import line_site
from soak import account
from soak import callers
from soak import conditions

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
}


def _owner_count(site):
    executors = [instance.executor(line_site.SERVICE) for instance in site.instances]
    return sum(executor is not None and executor.group.owned for executor in executors)


def _start_clients(site, seed, any_characters, record):
    """Start clients that use all instances; return their tasks."""
    addresses = {
        settings.name: f"{settings.sessions_endpoint.host}:{settings.sessions_endpoint.port}"
        for settings in site.settings
    }
    return [
        asyncio.create_task(
            callers.run_client(
                addresses,
                random.Random(f"{seed} {number}"),
                record,
                random.Random(f"data {seed} {number}") if any_characters else None,
            )
        )
        for number in range(CLIENT_COUNT)
    ]


async def _change_primary(site):
    """Announce that the primary leaves, and end it once another member is the primary."""
    first = site.group.members["a"]
    await site.platform.register_member(first, "draining")
    await site.wait_until(lambda: any(member is not first for member in site.group.primaries))
    await asyncio.sleep(0.5)
    await first.stop()


def _trace(site, record):
    last_primary = max(site.group.primaries, key=lambda member: member.term)
    return account.Trace(
        operations=record,
        executed_statements=site.group.executed_statements,
        commit_counts=site.group.commit_counts,
        committed_entries=site.group.committed_entries,
        final_log=last_primary.log,
        promotion_requests=site.platform.promotion_requests,
        promotions=site.group.promotions,
        synchronous=bool(site.group.options.sync_replicas),
    )


async def _crash_primary(site):
    """End the primary at once, and wait for the next one."""
    first = site.group.members["a"]
    await first.stop()
    await site.wait_until(lambda: any(member is not first for member in site.group.primaries))


async def _play(play, seed, replace_primary, **options):
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
        clients = _start_clients(site, seed, PLAYS[play].any_characters, record)
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
