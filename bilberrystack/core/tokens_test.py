"""Tests of session tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import positions
from bilberrystack.core import tokens

P = positions.Position
F = tokens.TokenFailure
SIGNER = tokens.Signer([b"current", b"former"])
NOW = 1_700_000_000.0


def watermarks(*groups, complete=True, session="s"):
    return tokens.SessionWatermarks(session, "analyst", complete, dict(groups))


def test_token_carries_the_session_unchanged():
    """Guards against watermarks that are lost or exchanged on the way through a client."""
    session = watermarks(("a", P(3, 7)), ("b", P(2, 9)))
    assert SIGNER.verify(SIGNER.sign(session, NOW), "analyst", NOW) == session


@given(strategies.data())
def test_changed_token_is_forged(data):
    """Guards against a caller that lowers its watermarks or uses another session."""
    token = bytearray(SIGNER.sign(watermarks(("a", P(3, 7))), NOW))
    offset = data.draw(strategies.integers(0, len(token) - 1))
    token[offset] ^= data.draw(strategies.integers(1, 255))
    assert SIGNER.verify(bytes(token), "analyst", NOW) is F.FORGED


@given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_forged(token):
    """Guards against an unhandled exception for malformed tokens."""
    assert SIGNER.verify(token, "analyst", NOW) is F.FORGED


def test_token_of_the_former_key_is_accepted_and_of_a_removed_one_is_not():
    """Guards against a key rotation that invalidates sessions or never removes the old key."""
    former = tokens.Signer([b"former"]).sign(watermarks(), NOW)
    assert SIGNER.verify(former, "analyst", NOW) == watermarks()
    assert tokens.Signer([b"current"]).verify(former, "analyst", NOW) is F.FORGED


@pytest.mark.parametrize(
    ("caller", "age_s", "failure"),
    [
        ("analyst", tokens.TOKEN_LIFETIME_S + 1, F.EXPIRED),
        ("analyst", -tokens.TOKEN_LIFETIME_S - 1, F.EXPIRED),
        ("sponsor", 0, F.OTHER_CALLER),
    ],
)
def test_token_is_bound_to_its_lifetime_and_caller(caller, age_s, failure):
    """Guards against tokens that outlive the records of requests, and use by other callers."""
    assert SIGNER.verify(SIGNER.sign(watermarks(), NOW - age_s), caller, NOW) is failure


def test_merge_takes_the_highest_position_of_each_group():
    """Guards against a read below the session's own write after concurrent requests."""
    first = SIGNER.sign(watermarks(("a", P(3, 7)), ("b", P(1, 1))), NOW)
    second = SIGNER.sign(watermarks(("a", P(2, 9)), ("b", P(1, 2)), ("c", P(1, 1))), NOW)
    merged = SIGNER.verify_all([first, second], "analyst", NOW)
    assert merged.by_group == {"a": P(3, 7), "b": P(1, 2), "c": P(1, 1)}
    other = SIGNER.sign(watermarks(session="t"), NOW)
    assert SIGNER.verify_all([first, other], "analyst", NOW) is F.OTHER_SESSION
    assert SIGNER.verify_all([first, b"x", second], "analyst", NOW) is F.FORGED


def test_resumed_session_has_no_watermarks_for_other_groups():
    """Guards against a stale read in a session that was resumed without its tokens."""
    assert watermarks().of("a") == positions.ZERO
    assert watermarks(complete=False).of("a") is None
    assert tokens.merge_watermarks(watermarks(), watermarks(complete=False)).of("a") is None


def test_watermark_never_decreases():
    """Guards against a duplicate answer that lowers the watermark."""
    assert watermarks(("a", P(3, 7))).with_position("a", P(2, 9)).of("a") == P(3, 7)


def test_size_is_bounded_and_least_recently_used_groups_are_dropped():
    """Guards against tokens of unbounded size, and against stale reads of dropped groups."""
    session = watermarks()
    for number in range(400):
        session = session.with_position(f"group-{number}", P(5, 10**12))
    session = session.with_position("group-0", P(5, 10**12))
    token = SIGNER.sign(session, NOW)
    kept = SIGNER.verify(token, "analyst", NOW)
    assert len(token) <= tokens.MAX_TOKEN_BYTES
    assert kept.of("group-399") == kept.of("group-0") == P(5, 10**12)
    assert kept.of("group-1") is None
