"""Tests the answers of the stand-in member that are cut off, sent in pieces or sent twice."""

import asyncio
import collections
import contextlib

import pytest

from bilberrystack_standins import line_group

pytestmark = pytest.mark.asyncio


@contextlib.asynccontextmanager
async def _connection(**options):
    """Start a session at the only member of a group; yield the member, reader and writer."""
    group = line_group.LineGroup("s", ("a",), line_group.GroupOptions(**options))
    await group.start()
    member = group.members["a"]
    reader, writer = await asyncio.open_connection("127.0.0.1", member.port)
    writer.write(b"START s tester a\r\n")
    try:
        yield member, reader, writer
    finally:
        writer.close()
        await group.stop()


async def _available(reader, silence_s=0.1):
    """Return what arrives until nothing has arrived for a time, or the connection ends."""
    received = b""
    with contextlib.suppress(TimeoutError):
        while True:
            async with asyncio.timeout(silence_s):
                data = await reader.read(100)
            if not data:
                break
            received += data
    return received


READY = b"READY I 1.0\r\n"
ANSWER = b"ROW -\r\nDONE proof-a-q1\r\n" + READY


async def test_an_answer_that_is_cut_off_is_followed_by_nothing():
    """Guards against a cut-off answer that ends whole, or is continued by the next answer."""
    closed = []
    for seed in range(12):
        async with _connection(seed=seed) as (member, reader, writer):
            assert await reader.readexactly(len(READY)) == READY
            member.answers_to_truncate = 1
            writer.write(b"QUERY q1 READ x\r\nQUERY q2 READ x\r\n")
            received = await reader.read(100) + await _available(reader)
            assert ANSWER.startswith(received) and 0 < len(received) < len(ANSWER)
            closed.append(reader.at_eof())
            assert [run.request_id for run in member.group.executed_statements] == ["q1"]
    assert set(closed) == {True, False}


async def test_a_second_copy_that_is_cut_off_is_followed_by_nothing():
    """Guards against a member whose later answers continue a copy that was cut off."""
    async with _connection(seed=1, repetition_delay_s=0.0) as (member, reader, writer):
        assert await reader.readexactly(len(READY)) == READY
        member.answers_to_repeat = member.repetitions_to_truncate = 1
        writer.write(b"QUERY q1 READ x\r\n")
        received = await _available(reader)
        assert len(ANSWER) < len(received) < 2 * len(ANSWER)
        assert (ANSWER + ANSWER).startswith(received)
        writer.write(b"QUERY q2 READ x\r\n")
        assert await _available(reader) == b""


async def test_the_pieces_of_an_answer_are_the_whole_answer():
    """Guards against pieces that are lost, or between which a second copy is sent."""
    async with _connection(split_share=1.0, repeated_share=1.0, repetition_delay_s=0.0) as (
        member,
        reader,
        writer,
    ):
        assert await _available(reader) == READY
        for number in range(1, 20):
            writer.write(f"QUERY q{number} READ x\r\n".encode())
            expected = ANSWER.replace(b"q1", b"q%d" % number)
            assert await _available(reader, 0.02) == expected + expected
        assert member.answers_to_split == 0


async def test_the_answer_to_start_comes_twice():
    """Guards against a stand-in that repeats only the answers to statements."""
    async with _connection(repeated_start_share=1.0, repetition_delay_s=0.01) as (
        _,
        reader,
        writer,
    ):
        assert await _available(reader) == READY + READY
        writer.write(b"QUERY q1 READ x\r\n")
        assert await _available(reader) == ANSWER


async def test_the_shares_of_a_seed_determine_the_answers():
    """Guards against faults that cannot be played again with their seed."""

    async def play(seed):
        async with _connection(seed=seed, repeated_share=0.3, repetition_delay_s=0.0) as (
            _,
            reader,
            writer,
        ):
            await reader.readexactly(len(READY))
            for number in range(20):
                writer.write(f"QUERY q{number} READ x\r\n".encode())
            # A second copy may come before or after the next answer.
            received = await _available(reader, 0.5)
            assert all(b"proof-a-q%d\r\n" % number in received for number in range(20))
            return collections.Counter(received.split(b"\r\n"))

    assert await play(1) == await play(1)
    assert await play(1) != await play(2)
