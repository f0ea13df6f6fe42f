"""Tests that a connection takes only the answer to the statement that is out."""

import asyncio

import pytest
import pytest_asyncio

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import member_link
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import statements
from bilberrystack_standins import scripted_member

pytestmark = pytest.mark.asyncio

READY_I = b"READY I 1.1\r\n"
READY_T = b"READY T 1.1\r\n"
STATUS_ROW = b"ROW primary 1 1.1 0 0 0 1\r\nDONE -\r\n"
BUSY = b"ERR BUSY full\r\n"


@pytest_asyncio.fixture
async def member():
    started = scripted_member.ScriptedMember()
    started.port = await started.start()
    started.links = []
    yield started
    for link in started.links:
        link.close()
    await started.close()


async def _open(member):
    record = model.Member(
        "a", "store", model.Endpoint("127.0.0.1", member.port), "zone", 3, False, None, 1
    )
    clock = asyncio.get_running_loop().time
    link = await member_link.open_link(record, None, "proxy", wire, clock)
    member.links.append(link)
    return link


async def _wait_for_fault(link):
    async with asyncio.timeout(5):
        while link.fault is None:
            await asyncio.sleep(0.001)


def _read(link, request_id):
    return link.run(wire.encode_query(request_id, "READ x"), answers.READ)


def _write(link, request_id):
    return link.run(wire.encode_query(request_id, "WRITE x 1"), answers.WRITE)


def _begin(link):
    return link.run(wire.encode_query("b", "BEGIN"), answers.BEGIN)


def _commit(link):
    return link.run(wire.encode_query("c", "COMMIT"), answers.COMMIT)


def _set(link):
    return link.run(wire.encode_set_value("v", "1"), answers.PREPARATION)


def _ask_status(link):
    return link.run(wire.encode_status_query(), answers.STATUS)


async def test_data_on_an_idle_connection_end_it(member):
    """Guards against a second answer that waits in the buffer for the next statement."""
    link = await _open(member)
    await _read(link, "r1")
    member.send(b"ROW row-r1\r\nDONE proof-r1\r\n" + READY_I)
    await _wait_for_fault(link)
    with pytest.raises(member_link.NotSent):
        await _read(link, "r2")
    assert link.fault is answers.Fault.UNASKED
    assert member.texts() == ["READ x"]


async def test_data_behind_the_answer_to_start_end_the_connection(member):
    """Guards against a second READY that is in the buffer before the first statement."""
    member.start_data = READY_I
    link = await _open(member)
    await _wait_for_fault(link)
    assert not link.usable


async def test_data_in_a_transaction_between_statements_end_it(member):
    """Guards against a second answer to BEGIN that is taken for the one to the next statement."""
    link = await _open(member)
    await _begin(link)
    member.send(b"DONE -\r\n" + READY_T)
    await _wait_for_fault(link)
    with pytest.raises(member_link.NotSent):
        await _write(link, "w1")


async def test_data_right_behind_an_answer_end_the_connection_after_it(member):
    """Guards against the rest of the buffer, which the next statement would read first."""
    member.data_after["READ"] = [b"ROW row-r1\r\nDONE proof-r1\r\n" + READY_I]
    link = await _open(member)
    assert (await _read(link, "r1")).done == b"DONE proof-r1"
    assert link.fault is answers.Fault.UNASKED
    assert not link.usable


async def test_data_right_behind_a_preparation_leave_it_undone(member):
    """Guards against a preparation whose own answer has not been looked at."""
    member.data_before["SET"] = [b"DONE -\r\n" + READY_I]
    link = await _open(member)
    with pytest.raises(member_link.AnswerMismatch):
        await _set(link)
    assert not link.usable


async def _fill(link):
    """Let the connection have each kind of answer once, a transaction among them."""
    await _read(link, "r0")
    await _begin(link)
    await _write(link, "w0")
    await _commit(link)
    await _set(link)
    await _ask_status(link)
    await _read(link, "r00")


@pytest.mark.parametrize(
    ("word", "data", "fault"),
    [
        ("READ", b"ROW row-r0\r\nDONE proof-r0\r\n" + READY_I, "REPEATED"),
        ("READ", b"DONE proof-w0\r\n" + READY_T, "REPEATED"),
        ("READ", b"DONE -\r\n" + READY_I, "PROOF_MISSING"),
        ("READ", STATUS_ROW + READY_I, "PROOF_MISSING"),
        ("READ", READY_I, "MALFORMED"),
        ("READ", b"DONE proof-new\r\n" + READY_T, "STATE"),
        ("READ", b"ERR FAILED new\r\n" + READY_T, "STATE"),
        ("READ", b"ROW row-r0\r\nDONE proof-r0\r\n", "MALFORMED"),
        ("READ", b"ROW row-r0\r\nDONE proo", "MALFORMED"),
        ("READ", b"ERR BUSY f", "MALFORMED"),
        ("READ", b"REA", "MALFORMED"),
        ("WRITE", b"DONE proof-w0\r\n" + READY_I, "REPEATED"),
        ("WRITE", b"DONE -\r\n" + READY_I, "PROOF_MISSING"),
        ("WRITE", b"ROW row-r0\r\nDONE proof-new\r\n" + READY_I, "ROW_COUNT"),
        ("WRITE", b"DONE proof-c\r\n" + READY_T, "REPEATED"),
        ("WRITE", b"DONE proof-", "MALFORMED"),
        ("WRITE", b"ERR BUSY f", "MALFORMED"),
        ("BEGIN", b"DONE -\r\n" + READY_I, "STATE"),
        ("BEGIN", b"DONE proof-w0\r\n" + READY_T, "REPEATED"),
        ("BEGIN", STATUS_ROW + READY_T, "ROW_COUNT"),
        ("SET", b"DONE -\r\n" + READY_T, "STATE"),
        ("STATUS", b"DONE -\r\n" + READY_I, "ROW_COUNT"),
        ("STATUS", b"ROW row-r0\r\nDONE proof-r0\r\n" + READY_I, "REPEATED"),
    ],
)
async def test_data_that_are_not_the_answer_end_the_connection(member, word, data, fault):
    """Guards against an answer to an earlier statement that is taken for this one's."""
    link = await _open(member)
    await _fill(link)
    member.data_before[word] = [data]
    run = {"READ": _read, "WRITE": _write}.get(word)
    call = (
        run(link, "q") if run else {"BEGIN": _begin, "SET": _set, "STATUS": _ask_status}[word](link)
    )
    with pytest.raises(member_link.AnswerMismatch) as raised:
        await call
    assert raised.value.fault is link.fault is answers.Fault[fault]
    assert not link.usable


@pytest.mark.parametrize(
    ("word", "data", "fault"),
    [
        ("READ", b"DONE -\r\n" + READY_T, "PROOF_MISSING"),
        ("READ", b"ROW row-r0\r\nDONE proof-r0\r\n" + READY_I, "REPEATED"),
        ("WRITE", b"DONE -\r\n" + READY_T, "PROOF_MISSING"),
        ("WRITE", b"ERR READONLY a\r\n" + READY_I, "STATE"),
        ("COMMIT", b"DONE -\r\n" + READY_T, "PROOF_MISSING"),
        ("COMMIT", b"DONE proof-w0\r\n" + READY_T, "REPEATED"),
        ("COMMIT", b"DONE proof-new\r\n" + READY_T, "STATE"),
        ("ROLLBACK", b"DONE -\r\n" + READY_T, "STATE"),
    ],
)
async def test_in_a_transaction_other_answers_end_the_connection(member, word, data, fault):
    """Guards against a transaction that goes on with an answer to another statement."""
    link = await _open(member)
    await _read(link, "r0")
    await _begin(link)
    await _write(link, "w0")
    member.data_before[word] = [data]
    expectation = {
        "READ": answers.READ,
        "WRITE": answers.WRITE,
        "COMMIT": answers.COMMIT,
        "ROLLBACK": answers.ROLLBACK,
    }[word]
    with pytest.raises(member_link.AnswerMismatch) as raised:
        await link.run(wire.encode_query("q", word), expectation)
    assert raised.value.fault is answers.Fault[fault]
    assert not link.usable


async def test_a_copy_is_no_begin_at_a_member_whose_log_is_behind(member):
    """Guards against a read outside its transaction, behind a BEGIN that was rejected as BEHIND."""
    member.errors["AFTER"] = ["BEHIND a"]
    member.data_before["AFTER"] = [b"DONE -\r\nREADY T 1.1\r\n"]
    link = await _open(member)
    query = wire.encode_query("b", "BEGIN READ", positions.Position(1, 2))
    with pytest.raises(member_link.AnswerMismatch) as raised:
        await link.run(query, answers.begin(positions.Position(1, 2)))
    assert raised.value.fault is answers.Fault.POSITION


def _roll_back(link):
    return link.run(wire.encode_rollback(), answers.ROLLBACK)


async def test_only_a_begin_at_a_known_position_is_verified(member, monkeypatch):
    """Guards against a round trip and a challenge for each BEGIN."""
    monkeypatch.setattr(answers, "draw_challenge", lambda: (True, False, False))
    link = await _open(member)
    await _begin(link)
    await _write(link, "w1")
    await _commit(link)
    await _begin(link)
    await _roll_back(link)
    assert member.texts() == ["BEGIN", "WRITE x 1", "COMMIT", "BEGIN", "ROLLBACK"]
    await _begin(link)
    assert link.state is statements.TransactionState.TRANSACTION
    assert member.texts()[5:] == [
        *("BEGIN", "PREPARE c READ -", "ROLLBACK", "PREPARE c READ -", "BEGIN")
    ]
    assert (await _write(link, "w2")).done == b"DONE proof-w2"
    assert member.states[-1] == "T"
    await link.run(wire.encode_query("c2", "COMMIT"), answers.COMMIT)
    assert member.committed == ["w1", "w2"]


async def test_an_answer_to_a_preparation_in_a_transaction_looks_like_one_to_begin(member):
    """Guards against a copy of it that passes for the answer to a BEGIN that was rejected."""
    link = await _open(member)
    await _begin(link)
    await _write(link, "w1")
    await _set(link)
    await _roll_back(link)
    member.errors["BEGIN"] = ["READONLY a"] * 9
    member.data_before["BEGIN"] = [b"DONE -\r\nREADY T 1.2\r\n"]
    with pytest.raises(member_link.AnswerMismatch):
        await _begin(link)
    assert not link.usable


@pytest.mark.parametrize("copies", range(1, 6))
async def test_late_copies_are_no_begin(member, monkeypatch, copies):
    """Guards against a transaction that goes on behind a BEGIN that was rejected as READONLY."""
    monkeypatch.setattr(answers, "draw_challenge", lambda: (True, True, True, False))
    link = await _open(member)
    await _begin(link)
    await _roll_back(link)
    member.errors["BEGIN"] = ["READONLY a"] * 9
    member.data_before["BEGIN"] = [(b"DONE -\r\n" + READY_T) * copies]
    with pytest.raises(member_link.AnswerMismatch):
        await _begin(link)
    assert not link.usable


async def test_a_begin_that_is_rejected_in_its_challenge_is_a_lost_one(member, monkeypatch):
    """Guards against statements outside a transaction at a member that has just lost the lead."""
    monkeypatch.setattr(answers, "draw_challenge", lambda: (False, True))
    link = await _open(member)
    await _begin(link)
    await _roll_back(link)
    member.errors["BEGIN"] = ["", "READONLY a"]
    with pytest.raises(member_link.AnswerMismatch):
        await _begin(link)
    assert not link.usable


async def test_an_answer_that_is_cut_off_is_a_lost_one(member):
    """Guards against an answer that is taken as complete although the connection has ended."""
    link = await _open(member)
    member.data_before["READ"] = [b"ROW row-q\r\nDONE proof-q\r\n"]
    running = asyncio.create_task(_read(link, "q"))
    while not member.received:
        await asyncio.sleep(0)
    await member.close()
    with pytest.raises(member_link.Lost):
        await running
    assert not link.usable


async def test_the_first_error_of_its_kind_needs_no_verification(member):
    """Guards against another round trip for each rejection by a busy member."""
    member.errors["WRITE"] = ["BUSY full"]
    link = await _open(member)
    await _read(link, "r1")
    assert (await _write(link, "w1")).failure.code is statements.ErrorCode.BUSY
    assert member.texts() == ["READ x", "WRITE x 1"]


async def test_a_busy_member_is_taken_at_its_word_again_and_again(member):
    """Guards against a connection, or an unknown outcome, for each rejection of a busy member."""
    member.errors["WRITE"] = ["BUSY full"] * 3
    link = await _open(member)
    for number in range(3):
        reply = await _write(link, f"w{number}")
        assert reply.failure.code is statements.ErrorCode.BUSY
    assert (await _write(link, "w3")).done == b"DONE proof-w3"
    assert link.usable
    assert member.texts() == [
        *("WRITE x 1", "WRITE x 1", "RESET", "RESET"),
        *("WRITE x 1", "RESET", "RESET", "WRITE x 1"),
    ]


async def test_a_repeated_rejection_does_not_hide_that_a_write_ran(member):
    """Guards against a write that is sent again although it ran: its rejection was a copy."""
    member.errors["WRITE"] = ["BUSY full"]
    link = await _open(member)
    await _write(link, "w1")
    member.data_before["WRITE"] = [BUSY + READY_I]
    with pytest.raises(member_link.AnswerMismatch) as raised:
        await _write(link, "w2")
    assert raised.value.fault is answers.Fault.ERROR_UNVERIFIED
    assert member.committed == ["w2"]
    assert not link.usable


async def test_a_repeated_rejection_in_a_transaction_is_verified_there(member):
    """Guards against a rolled back transaction for the second rejection by a busy member."""
    member.errors["WRITE"] = ["BUSY full"] * 2
    link = await _open(member)
    await _set(link)
    await _begin(link)
    for _ in range(2):
        assert (await _write(link, "w1")).state is statements.TransactionState.TRANSACTION
    assert (await _write(link, "w1")).done == b"DONE proof-w1"
    assert member.texts()[2:] == ["WRITE x 1", "WRITE x 1", "SET v 1", "SET v 1", "WRITE x 1"]


async def test_an_error_behind_a_preparation_is_verified(member):
    """Guards against the error of a SET that is taken for the one of the write behind it.

    A second copy was taken for the answer to the SET, so that all later answers are late by one.
    """
    link = await _open(member)
    await _set(link)
    await _read(link, "r1")
    member.data_before["SET"] = [b"DONE -\r\n" + READY_I]
    member.errors["SET"] = ["BUSY new"]
    with pytest.raises(member_link.AnswerMismatch):
        await link.run_all(
            [
                (wire.encode_set_value("v", "1"), answers.PREPARATION),
                (wire.encode_query("w1", "WRITE x 1"), answers.WRITE),
            ]
        )
    assert not link.usable


async def test_the_next_user_knows_the_answers_of_the_former(member):
    """Guards against a second answer that reaches the connection's next user."""
    link = await _open(member)
    await _read(link, "r1")
    successor = link.transfer()
    member.data_before["READ"] = [b"ROW row-r1\r\nDONE proof-r1\r\n" + READY_I]
    with pytest.raises(member_link.AnswerMismatch):
        await _read(successor, "r2")


async def test_a_connection_is_replaced_when_it_remembers_enough_answers(member, monkeypatch):
    """Guards against memory that grows with each answer of a connection."""
    monkeypatch.setattr(answers, "MAX_ANSWERS", 3)
    link = await _open(member)
    for number in range(3):
        assert not link.worn_out
        await _read(link, f"r{number}")
    assert link.worn_out
