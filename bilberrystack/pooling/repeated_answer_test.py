"""Tests that an answer that a member sends a second time is given to nobody."""

import asyncio

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio


async def _use_session(site, number, statement_count):
    """Run statements of one session; return those that were answered wrongly.

    Each session has an item and values of its own, so that an answer of another shows.
    """
    session = await site.connect("strict")
    wrong, written = [], "-"
    for count in range(statement_count):
        data = f"s{number}-{count}"
        await session.query(f"SET v {data}")
        write = await session.query(f"WRITE item{number} {data}", f"w{number}-{count}")
        if write[0].startswith("DONE"):
            written = data
            if write[0] != f"DONE proof-a-w{number}-{count}":
                wrong.append(write)
        elif not write[0].startswith(("ERR BUSY", "ERR UNSURE")):
            wrong.append(write)
        else:
            written = None
        read = await session.query(f"READ item{number}", f"r{number}-{count}")
        proven = read[1:2] == [f"DONE proof-a-r{number}-{count}"]
        if read[0].startswith(("ROW", "DONE")) and not (
            proven and written in (None, read[0].removeprefix("ROW "))
        ):
            wrong.append(read)
    return wrong


@pytest.mark.parametrize("seed", range(3))
async def test_a_second_answer_is_given_to_no_other_request(seed):
    """Guards against a late second answer that is taken for the answer to the next statement."""
    options = line_group.GroupOptions(
        slots=8, repeated_share=0.1, repetition_delay_s=0.05, seed=seed
    )
    async with line_site.Site(1, options) as site:
        results = await asyncio.gather(*(_use_session(site, number, 40) for number in range(6)))
        assert [wrong for session in results for wrong in session] == []


async def _use_transactions(site, number, count):
    """Run transactions of one session; return those with a wrong answer or outcome."""
    session = await site.connect("strict", number % len(site.instances))
    await session.query("PREPARE put WRITE q")
    wrong = []
    for attempt in range(count):
        commit_id = f"c{number}-{attempt}"
        await session.query("BEGIN")
        write = await session.query(f"EXEC put t{number} {attempt}", f"w{number}-{attempt}")
        read = await session.query(f"READ t{number}", f"r{number}-{attempt}")
        commit = await session.query("COMMIT", commit_id)
        if commit[0].startswith("ERR"):
            await session.query("ROLLBACK")
        for answer, request_id in ((write, f"w{number}-{attempt}"), (commit, commit_id)):
            proven = answer[0] == f"DONE proof-a-{request_id}"
            if not proven and not answer[0].startswith(
                ("ERR BUSY", "ERR ABORTED", "ERR UNSURE", "ERR BAD")
            ):
                wrong.append(answer)
        if read[0].startswith("ROW") and read[1] != f"DONE proof-a-r{number}-{attempt}":
            wrong.append(read)
        commits = site.group.commit_counts[commit_id]
        # After a rejection by a busy member the transaction is open, with nothing to commit.
        written = write[0].startswith("DONE")
        if commits != written and commit[0].startswith("DONE"):
            wrong.append((commit_id, commits, commit))
        if commits and not commit[0].startswith(("DONE", "ERR UNSURE")):
            wrong.append((commit_id, commits, commit))
    return wrong


@pytest.mark.parametrize("seed", range(3))
async def test_second_answers_do_not_change_the_outcome_of_a_transaction(seed):
    """Guards against transactions that are reported as aborted although they were committed.

    Members are busy now and then, so that rejections are sent twice, too.
    """
    options = line_group.GroupOptions(
        slots=4, repeated_share=0.1, repetition_delay_s=0.05, seed=seed
    )
    async with line_site.Site(2, options) as site:
        running = asyncio.gather(*(_use_transactions(site, number, 20) for number in range(8)))
        while not running.done():
            site.group.members["a"].statements_to_reject = 2
            await asyncio.wait({running}, timeout=0.1)
        assert [wrong for session in running.result() for wrong in session] == []
        # All writes were sent inside transactions; one that ran by itself has its own id here.
        assert not [count for count in site.group.commit_counts.values() if count != 1]
        assert not [name for name in site.group.commit_counts if not name.startswith("c")]
        assert sum(site.group.commit_counts.values()) > 10


async def test_connections_that_end_because_of_second_answers_are_counted():
    """Guards against a member that costs connections and outcomes unnoticed."""
    options = line_group.GroupOptions(slots=8, repetition_delay_s=0.0)
    async with line_site.Site(1, options) as site:
        session = await site.connect("strict")
        site.group.members["a"].answers_to_repeat = 1
        await session.query("READ x")
        metrics = site.instances[0].counters
        async with asyncio.timeout(5):
            while b'member_answer_faults_total{reason="unasked"} 1' not in metrics.render():
                await asyncio.sleep(0.01)
        assert (await session.query("WRITE x 1", "w1"))[0] == "DONE proof-a-w1"
