"""Tests what several late copies of answers lead to, and copies that are cut off."""

import asyncio
import itertools

import pytest

from bilberrystack.platform import wire
from bilberrystack.pooling import answer_outcomes_test
from bilberrystack.pooling import execution
from bilberrystack.pooling import transaction
from bilberrystack.routing import answers

pytestmark = pytest.mark.asyncio

fixture = answer_outcomes_test.fixture
_request = answer_outcomes_test._request

DONE_I = b"DONE -\r\nREADY I 1.1\r\n"
DONE_T = b"DONE -\r\nREADY T 1.1\r\n"
BUSY_I = b"ERR BUSY full\r\nREADY I 1.1\r\n"


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.001)


async def test_two_late_copies_do_not_have_a_write_run_twice(fixture):
    """Guards against a rejection that another copy verifies: the write ran and is sent again."""
    fixture.member.errors["WRITE"] = ["BUSY full"] * 2
    await fixture.write("w1")
    fixture.member.held["WRITE"] = asyncio.Event()
    fixture.member.data_before["WRITE"] = [BUSY_I + DONE_I]
    running = asyncio.create_task(fixture.write("w2"))
    await _until(lambda: "w2" in fixture.member.committed)
    await asyncio.sleep(0.05)
    fixture.member.held["WRITE"].set()
    await running
    assert fixture.member.committed.count("w2") == 1


@pytest.mark.parametrize("copies", [1, 2])
async def test_late_copies_are_no_status_report(fixture, copies):
    """Guards against an old role that is taken for the present one."""
    query = wire.encode_status_query()
    fixture.member.role_and_term = "replica 1"
    for _ in range(2):
        await fixture.group.query_member("a", query)
    fixture.member.role_and_term = "primary 2"
    old = b"ROW replica 1 1.1 0 0 0 1\r\nDONE -\r\nREADY I 1.1\r\n"
    fixture.member.data_before["STATUS"] = [old * copies]
    fixture.member.held["STATUS"] = asyncio.Event()
    asyncio.get_running_loop().call_later(0.05, fixture.member.held["STATUS"].set)
    status = await fixture.group.query_member("a", query)
    assert status is None or (status.primary, status.term) == (True, 2)


async def test_a_sequence_of_copies_passes_for_one_challenge_only(fixture, monkeypatch):
    """Guards against copies that pass for the answers to several challenges, or to most."""
    query, length = wire.encode_status_query(), 4
    old = b"ROW replica 1 1.1 0 0 0 1\r\nDONE -\r\nREADY I 1.1\r\n"
    copies = (DONE_I, DONE_T, DONE_T, DONE_I)
    passed = []
    for challenge in itertools.product((True, False), repeat=length):
        monkeypatch.setattr(answers, "draw_challenge", lambda challenge=challenge: challenge)
        fixture.member.role_and_term = "replica 1"
        assert not (await fixture.group.query_member("a", query)).primary
        fixture.member.role_and_term = "primary 2"
        fixture.member.data_before["STATUS"] = [old + b"".join(copies)]
        fixture.member.held["STATUS"] = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, fixture.member.held["STATUS"].set)
        status = await fixture.group.query_member("a", query)
        if status is not None and not status.primary:
            passed.append(challenge)
        del fixture.member.held["STATUS"]
        await _until(lambda: not fixture.group.pools["a"].idle_links(ignore_window=True))
    assert passed == [(False, True, True, False)]


async def test_no_read_of_a_transaction_runs_behind_a_rejected_begin(fixture):
    """Guards against a read outside its transaction: a copy was taken for the answer to BEGIN."""
    begin = transaction.BeginRequest("b1", "BEGIN", read_only=False)
    first = transaction.Transaction(begin, answer_outcomes_test.ROUTE, fixture.executor, wire)
    await first.run(_request("r1", "READ x", "READ"), execution.Trace())
    first.roll_back()
    async with asyncio.timeout(5):
        while fixture.member.texts()[-1] != "ROLLBACK":
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)
    # The second copy of the answer to the first BEGIN arrives before the second one is rejected.
    fixture.member.errors["BEGIN"] = ["READONLY a"]
    fixture.member.data_before["BEGIN"] = [b"DONE -\r\nREADY T 1.1\r\n"]
    fixture.member.held["BEGIN"] = asyncio.Event()
    asyncio.get_running_loop().call_later(0.05, fixture.member.held["BEGIN"].set)
    second = transaction.Transaction(begin, answer_outcomes_test.ROUTE, fixture.executor, wire)
    await second.run(_request("r2", "READ y", "READ"), execution.Trace())
    await asyncio.sleep(0.05)
    received = fixture.member.received
    index = next((i for i, (_, text) in enumerate(received) if text == "READ y"), None)
    assert index is None or fixture.member.states[index] == "T"


async def test_a_copy_that_is_cut_off_inside_a_row_is_no_part_of_the_next_answer(fixture):
    """Guards against a row that the member did not send for this read."""
    fixture.member.data_before["READ"] = [b"", b"ROW row-r"]
    await fixture.read("r1")
    outcome = await fixture.read("r2")
    assert outcome.failure is not None or outcome.rows == (b"ROW row-r2",)


@pytest.mark.parametrize("part", [b"ROW row-r1", b"ROW row-r1\r", b"ROW ", b"ROW a\r\nROW b"])
async def test_a_read_behind_a_part_of_a_row_is_run_again(fixture, part):
    """Guards against a failed read, and against a part that is not noticed."""
    fixture.member.data_before["READ"] = [b"", part]
    await fixture.read("r1")
    outcome = await fixture.read("r2")
    assert (outcome.rows, outcome.done) == ((b"ROW row-r2",), b"DONE proof-r2")
    assert fixture.member.texts() == ["STATUS"] + ["READ x"] * 3
    assert fixture.faults == []


async def test_parts_of_rows_in_front_of_both_results_are_given_to_nobody(fixture):
    """Guards against a second result that is as wrong as the first one."""
    fixture.member.data_before["READ"] = [b"", b"ROW row-r", b"ROW row"]
    await fixture.read("r1")
    outcome = await fixture.read("r2")
    assert outcome.rows == (b"ROW row-r2",)
    received = fixture.member.received
    assert [number for number, text in received if text != "STATUS"] == [1, 1, 1, 2]
    assert fixture.faults == [answers.Fault.MALFORMED]


@pytest.mark.parametrize("data", ["a ROW b", "ROW", "ROW ROW"])
async def test_data_that_look_like_joined_rows_are_read(fixture, data):
    """Guards against data that no client can read, and against more than one further run."""
    fixture.member.row_text = data
    for number in range(2):
        outcome = await fixture.read(f"r{number}")
        assert outcome.rows == (b"ROW " + data.encode(),)
    assert fixture.member.texts() == ["STATUS"] + ["READ x"] * 4
    assert fixture.faults == []


async def test_a_further_run_that_is_rejected_is_a_rejected_read(fixture):
    """Guards against a lost connection if the member is too busy for the further run."""
    fixture.member.row_text = "a ROW b"
    fixture.member.errors["READ"] = ["", "BUSY full"]
    assert (await fixture.read("r1")).rows == (b"ROW a ROW b",)
    assert fixture.member.texts() == ["STATUS"] + ["READ x"] * 4
    assert {number for number, _ in fixture.member.received} == {1}
    assert fixture.faults == []
