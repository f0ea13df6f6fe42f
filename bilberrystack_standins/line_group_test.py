"""Tests that the stand-in members are as strict as the line protocol."""

import asyncio
import contextlib

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

pytestmark = pytest.mark.asyncio


@contextlib.asynccontextmanager
async def _group(**options):
    """Start a group of the members a, the primary, and b, a replica."""
    group = line_group.LineGroup("s", ("a", "b"), line_group.GroupOptions(**options))
    await group.start()
    try:
        yield group
    finally:
        await group.stop()


async def _open(member):
    reader, writer = await asyncio.open_connection("127.0.0.1", member.port)
    return line_site.Client(reader, writer)


async def _start(member):
    client = await _open(member)
    assert (await client.send(f"START s tester {member.id}"))[0].startswith("READY I ")
    return client


async def _wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("end", ["COMMIT", "ROLLBACK"])
async def test_a_failed_transaction_can_only_be_ended(end):
    """Guards against a proxy that goes on in a transaction after a failed statement."""
    async with _group() as group:
        client = await _start(group.members["a"])
        await client.query("BEGIN")
        await client.query("WRITE x 1", "w1")
        group.members["a"].reads_to_fail = 1
        assert await client.query("READ x", "r1") == ["ERR FAILED a", "READY E 1.0"]
        for text in ("READ x", "WRITE x 2", "SET v 1", "RESET", "STATUS", "BEGIN"):
            assert await client.query(text) == ["ERR BAD a", "READY E 1.0"]
        answer = await client.query(end)
        assert answer == ["DONE -" if end == "ROLLBACK" else "ERR FAILED a", "READY I 1.0"]
        assert group.commit_counts == {}


async def test_a_reset_keeps_the_transaction():
    """Guards against a reset that is taken for a rollback: what follows runs in the transaction."""
    async with _group() as group:
        client = await _start(group.members["a"])
        await client.query("SET v 1")
        await client.query("PREPARE p READ q")
        await client.query("BEGIN")
        await client.query("WRITE x 1", "w1")
        assert await client.query("RESET") == ["DONE -", "READY T 1.0"]
        assert (await client.query("COMMIT", "c1"))[0] == "DONE proof-a-c1"
        assert group.executed_statements[-1].session_values == {}
        assert group.commit_counts["c1"] == 1
        assert (await client.query("EXEC p x"))[0] == "ERR NOSTMT a"


async def test_statements_of_a_transaction_fail_once_the_member_has_lost_the_lead():
    """Guards against reads of a transaction that a former primary still answers."""
    async with _group() as group:
        reader, writer = await _start(group.members["a"]), await _start(group.members["a"])
        for client in (reader, writer):
            assert (await client.query("BEGIN"))[0] == "DONE -"
        await writer.query("WRITE x 1")
        assert (await (await _start(group.members["a"])).query("DEMOTE 2"))[0].startswith(
            "ROW replica"
        )
        assert await writer.query("READ x") == ["ERR READONLY a", "READY E 1.0"]
        assert (await reader.query("COMMIT", "c1"))[0] == "DONE proof-a-c1"
        assert (await reader.query("BEGIN"))[0] == "ERR READONLY a"


async def test_status_occupies_a_slot_and_can_be_rejected():
    """Guards against a proxy that takes every answer to STATUS for a row, or expects it at once."""
    async with _group(slots=1, service_time_s=0.1) as group:
        member = group.members["a"]
        client, other = await _start(member), await _start(member)
        read = asyncio.create_task(other.query("READ x"))
        await _wait_until(lambda: member.active_statements)
        assert (await client.query("STATUS"))[0] == "ROW primary 1 1.0 0 0 0 2"
        assert read.done() or (await asyncio.wait({read}, timeout=0.01))[0]
        member.statuses_to_reject = 1
        assert await client.query("STATUS") == ["ERR BUSY a", "READY I 1.0"]


async def test_statements_beyond_the_waiting_ones_are_rejected():
    """Guards against a proxy that relies on a queue without end."""
    async with _group(slots=1, max_waiting=1, service_time_s=0.1) as group:
        member = group.members["a"]
        client, other = await _start(member), await _start(member)
        read = asyncio.create_task(other.query("READ x"))
        await _wait_until(lambda: member.active_statements)
        for text in ("READ x", "BEGIN", "STATUS"):
            assert (await client.query(text))[0] == "ERR BUSY a"
        assert (await read)[0] == "ROW -"


async def test_the_connections_of_all_callers_count():
    """Guards against a limit that each caller has to itself."""
    async with _group(max_connections=2) as group:
        member = group.members["a"]
        clients = [await _start(member), await _open(member)]
        await clients[1].send(f"START s other {member.id}")
        rejected = await _open(member)
        assert await rejected.send(f"START s third {member.id}") == ["ERR TOOMANY a"]
        clients[0].close()
        await _wait_until(lambda: member.connection_count == 1)
        await _start(member)


async def test_a_new_connection_waits_for_a_slot():
    """Guards against connections that cost a busy member nothing."""
    async with _group(slots=1, service_time_s=0.1) as group:
        member = group.members["a"]
        client = await _start(member)
        read = asyncio.create_task(client.query("READ x"))
        await _wait_until(lambda: member.active_statements)
        await _start(member)
        assert read.done() or (await asyncio.wait({read}, timeout=0.01))[0]


@pytest.mark.parametrize("excess", [0, 1])
async def test_a_message_has_one_mebibyte_at_most(excess):
    """Guards against messages of the proxy that become too long by what it adds to them."""
    async with _group() as group:
        member = group.members["a"]
        client = await _start(member)
        head = "QUERY w1 WRITE x "
        data = "y" * (line_group.MAX_MESSAGE_BYTES - len(head) + excess)
        answer = await client.send(head + data)
        assert answer[:1] == ([] if excess else ["DONE proof-a-w1"])
        assert member.oversized_messages == excess
        assert member.value("x") == ("-" if excess else data)


async def test_bytes_that_are_no_utf8_are_kept():
    """Guards against a stand-in that ends a connection at such bytes, or changes them."""
    async with _group() as group:
        client = await _start(group.members["a"])
        data = b"a\xff\xc3\nb".decode(errors="surrogateescape")
        assert (await client.query(f"WRITE x {data}", "w1"))[0] == "DONE proof-a-w1"
        assert (await client.query("READ x"))[0] == f"ROW {data}"


async def test_errors_have_the_text_of_the_options():
    """Guards against a proxy that relies on the text of an error."""
    async with _group(error_text="a\nREADY I -\rb") as group:
        client = await _start(group.members["b"])
        answer = await client.query("WRITE x 1")
        assert answer == ["ERR READONLY a\nREADY I -\rb", "READY I 1.0"]


@pytest.mark.parametrize(
    "text",
    ["COMMIT", "AFTER 1.0 WRITE x 1", "AFTER x", "AFTER", "UNKNOWN", ""],
)
async def test_statements_that_the_protocol_lacks_are_rejected(text):
    """Guards against a commit without a transaction, and a write with a prefix of reads."""
    async with _group() as group:
        client = await _start(group.members["a"])
        assert await client.query(text) == ["ERR BAD a", "READY I 1.0"]
        assert await client.send("QUERIES q1 READ x") == ["ERR BAD a", "READY I 1.0"]
        assert group.executed_statements == []


async def test_forget_and_bye():
    """Guards against a name that stays known, and a session that outlives its end."""
    async with _group() as group:
        client = await _start(group.members["a"])
        await client.query("PREPARE p READ q")
        assert (await client.query("FORGET p"))[0] == "DONE -"
        assert (await client.query("EXEC p x"))[0] == "ERR NOSTMT a"
        assert await client.send("BYE") == []


async def test_a_hold_ends_with_a_restart_and_needs_a_newer_term():
    """Guards against a hold that a proxy takes for lasting, or that an old coordinator sets."""
    async with _group() as group:
        member = group.members["b"]
        client = await _start(member)
        assert (await client.query("HOLD 1"))[0].split(" ")[4] == "0"
        assert (await client.query("HOLD 2"))[0].split(" ")[4] == "2"
        await member.stop()
        await member.start()
        assert member.held_term == 0


async def test_a_promotion_of_the_present_primary_changes_nothing():
    """Guards against a proxy that waits for a new term after such a promotion.

    A former primary that still believes to be one is not the present primary.
    """
    async with _group(promotion_delay_s=0.0, step_down_delay_s=60.0) as group:
        first, second = group.members["a"], group.members["b"]
        assert group.promote("a")
        await asyncio.sleep(0.02)
        assert (first.is_primary, first.term) == (True, 1)
        assert group.promote("b")
        await _wait_until(lambda: second.is_primary)
        assert (first.is_primary, second.term) == (True, 2)
        assert group.promote("a")
        await _wait_until(lambda: first.term == 3)


async def test_a_replica_that_was_ahead_is_rolled_back_and_busy():
    """Guards against a proxy that expects answers of every replica right after a promotion."""
    async with _group(promotion_delay_s=0.0, step_down_delay_s=0.0) as group:
        first, second = group.members["a"], group.members["b"]
        second.replication_stopped = True
        client = await _start(first)
        assert (await client.query("WRITE x 1", "w1"))[0] == "DONE proof-a-w1"
        second.replication_stopped = False
        assert group.promote("b")
        await _wait_until(lambda: second.is_primary and not first.is_primary)
        assert (first.log, second.log) == ([], [])
        assert (await client.query("READ x"))[0] == "ERR BUSY a"
        await asyncio.sleep(group.options.rollback_time_s)
        assert (await client.query("READ x"))[0] == "ROW -"


async def test_a_commit_waits_for_a_replica():
    """Guards against an acknowledged commit that only the primary has."""
    async with _group(sync_replicas=1) as group:
        primary, replica = group.members["a"], group.members["b"]
        replica.replication_stopped = True
        client = await _start(primary)
        write = asyncio.create_task(client.query("WRITE x 1", "w1"))
        await _wait_until(lambda: primary.log)
        assert not (await asyncio.wait({write}, timeout=0.1))[0]
        replica.replication_stopped = False
        assert (await write)[0] == "DONE proof-a-w1"
        assert replica.log == primary.log


async def test_replicas_receive_commits_at_different_times():
    """Guards against replicas that never differ, so that any of them can be promoted."""
    async with _group(receive_lag_s=0.1, apply_lag_s=0.0) as group:
        primary, replica = group.members["a"], group.members["b"]
        client = await _start(primary)
        lags = []
        for number in range(20):
            assert (await client.query(f"WRITE x {number}"))[0].startswith("DONE")
            lags.append(len(primary.log) - len(replica.log))
        assert 0 < max(lags) < 20
        await _wait_until(lambda: replica.log == primary.log)
        await asyncio.sleep(0.1)
        assert replica.log == primary.log


async def test_a_crash_ends_the_running_statements():
    """Guards against a member that commits after its crash, and sends the commit to replicas."""
    async with _group(slots=1, service_time_s=0.05) as group:
        primary, replica = group.members["a"], group.members["b"]
        clients = [await _start(primary) for _ in range(2)]
        writes = [asyncio.create_task(client.query("WRITE x 1")) for client in clients]
        await _wait_until(lambda: primary.active_statements == 2)
        await primary.stop()
        await primary.start()
        assert await asyncio.gather(*writes) == [[], []]
        await _wait_until(lambda: not primary.active_statements)
        assert (primary.log, replica.log) == ([], [])
        assert (await (await _start(primary)).query("WRITE x 2", "w2"))[0] == "DONE proof-a-w2"


async def test_a_primary_that_restarts_with_its_log_is_what_it_was_unless_another_was_promoted():
    """Guards against a stand-in whose former primary leads again, or whose primary never does."""
    async with _group(promotion_delay_s=0.0) as group:
        first, second = group.members["a"], group.members["b"]
        client = await _start(first)
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        await first.stop()
        await first.start()
        assert (first.is_primary, first.term, first.value("x")) == (True, 1, "1")
        await first.stop()
        assert group.promote("b")
        await _wait_until(lambda: second.is_primary)
        await first.start()
        assert (first.is_primary, first.term, first.log) == (False, 2, second.log)


async def test_a_replica_that_restarts_without_its_log_receives_it_again():
    """Guards against a replica that stays empty until the next commit."""
    async with _group(apply_lag_s=0.0) as group:
        primary, replica = group.members["a"], group.members["b"]
        client = await _start(primary)
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        await _wait_until(lambda: replica.value("x") == "1")
        await replica.stop()
        replica.lose_log()
        assert replica.value("x") == "-"
        await replica.start()
        await _wait_until(lambda: replica.value("x") == "1")
        assert replica.log == primary.log


async def test_terms_rise_although_all_members_have_restarted_without_their_logs():
    """Guards against a term that two primaries lead, and positions that are given out again."""
    async with _group(promotion_delay_s=0.0) as group:
        for member_id, term in (("b", 2), ("a", 3)):
            promoted = group.members[member_id]
            assert group.promote(member_id)
            await _wait_until(lambda leader=promoted: leader.is_primary)
            assert promoted.term == term
            for member in group.members.values():
                await member.stop()
                member.lose_log()
            await group.start()
            assert {member.term for member in group.members.values()} == {1}
            assert group.primaries == []


async def test_a_promotion_is_recorded_with_the_log_of_its_member():
    """Guards against a check that can't tell which commits a promotion rolled back."""
    async with _group(promotion_delay_s=0.0, step_down_delay_s=0.0) as group:
        first, second = group.members["a"], group.members["b"]
        client = await _start(first)
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        second.replication_stopped = True
        assert (await client.query("WRITE x 2"))[0].startswith("DONE")
        assert group.promote("b")
        await _wait_until(lambda: second.is_primary and not first.is_primary)
        kept, _ = group.committed_entries
        assert group.promotions == [line_group.Promotion("b", 2, (kept,))]


async def test_an_isolated_primary_goes_on_until_it_reaches_the_next_one():
    """Guards against a stand-in whose dark primary still replicates, or never steps down."""
    async with _group(promotion_delay_s=0.0, step_down_delay_s=0.01) as group:
        first, second = group.members["a"], group.members["b"]
        first.is_isolated = True
        client = await _start(first)
        assert (await client.query("WRITE x 1"))[0].startswith("DONE")
        assert group.promote("b")
        await _wait_until(lambda: second.is_primary)
        await asyncio.sleep(0.05)
        assert (first.is_primary, first.value("x"), second.log) == (True, "1", [])
        first.end_isolation()
        await _wait_until(lambda: not first.is_primary)
        assert (first.term, first.log) == (2, [])


async def test_a_dark_member_neither_accepts_nor_refuses_connections():
    """Guards against plays in which a silent member still shows life by accepting connections."""
    async with _group() as group:
        member = group.members["a"]
        client = await _start(member)
        member.go_dark()
        read = asyncio.create_task(client.query("READ x"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await _open(member)
        assert member.is_running and not read.done()
        await member.end_darkness()
        await _start(member)
        client.close()
        await asyncio.wait({read})


async def test_a_connection_with_an_unreachable_far_end_counts_until_it_is_dropped(monkeypatch):
    """Guards against a proxy that reckons with a member's connections too early."""
    monkeypatch.setattr(line_group, "UNREACHABLE_LIMIT_S", 0.2)
    async with _group(max_connections=1) as group:
        member = group.members["a"]
        lost = await _start(member)
        member.lose_clients()
        assert await lost.read_answer() == []
        rejected = await _open(member)
        assert await rejected.send(f"START s other {member.id}") == ["ERR TOOMANY a"]
        await _wait_until(lambda: member.connection_count == 0)
        await _start(member)
        member.lose_clients()
        await member.stop()
        assert member.connection_count == 0


async def test_reads_return_several_rows_or_none():
    """Guards against a proxy that expects one row for each read."""
    async with _group(varied_rows=True) as group:
        client = await _start(group.members["a"])
        answers = [await client.query(f"READ item{number}") for number in range(12)]
        assert {len(answer) - 2 for answer in answers} == {0, 1, 2, 3}
