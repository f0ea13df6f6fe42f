"""Tests that messages of instances of an earlier version are read, and ours by them.

During a planned replacement both versions serve. Messages are arrays, so a field may only be added
at the end and with a default.
"""

import msgspec
import pytest

from bilberrystack.pooling import execution
from bilberrystack.pooling import frames
from bilberrystack.pooling import messages

# Messages as version 070c807 encoded them, without the fields that were added since.
OLD_HEARTBEAT = ["heartbeat", "p1", "p1-1", 3.5, [], 41, ["main"], 7, 1.5]
OLD_GRANTS = ["grants", "p1", "p1-1", 7, 3.5, 0.8, [], 42, 1.5, None]
OLD_REQUEST = [
    *(4, "read", "q1", "READ x", "read", None, 0.1, "main", "strict", "session", 2.0, 0.3, 1),
    *(None, {}, None, 0, None, 42),
]


def _encode(value):
    return msgspec.msgpack.encode(value)


def test_a_heartbeat_without_quota_fields_is_read():
    """Guards against older instances that get no grants from a newer coordinator."""
    decoded = msgspec.msgpack.decode(_encode(OLD_HEARTBEAT), type=messages.Message)
    assert (decoded.sender, decoded.acknowledged_at_s) == ("p1", 1.5)
    assert (decoded.registered, decoded.quota_claims) == (False, None)


def test_grants_without_quotas_are_read():
    """Guards against newer instances that get no grants from an older coordinator."""
    decoded = msgspec.msgpack.decode(_encode(OLD_GRANTS), type=messages.Message)
    assert (decoded.token, decoded.configuration_version, decoded.answered_at_s) == (7, 42, 1.5)
    assert decoded.quotas is None


def test_a_forwarded_request_without_an_account_is_read():
    """Guards against an owner that refuses the requests of older instances."""
    decoded = msgspec.msgpack.decode(_encode(OLD_REQUEST), type=frames.ForwardedRequest)
    assert (decoded.id, decoded.configuration_version, decoded.account) == ("q1", 42, "")


def _outcome(trace):
    outcome = frames.encode_outcome(7, execution.Outcome(), execution.Trace(), 0.0, None)
    return msgspec.structs.replace(outcome, trace=trace)


def test_the_trace_of_an_older_owner_is_read():
    """Guards against a forwarded answer that is lost for want of the fields of its log line."""
    received = execution.Trace()
    frames.decode_outcome(_outcome({"member": "a", "confirmed": "grant"}), received, 0.0)
    assert (received.confirmed, received.grant_token, received.round_asked) == ("grant", 0, "")


def test_fields_of_a_newer_owners_trace_are_ignored_and_the_known_ones_kept():
    """Guards against an older instance that fails on the fields that a newer owner adds."""
    sent = execution.Trace(grant_token=7, grant_change=2, round_asked="b c")
    received = execution.Trace()
    frames.decode_outcome(_outcome({**sent.fields(), "of_a_later_version": 1}), received, 0.0)
    assert received == sent


@pytest.mark.parametrize(
    ("kind", "old"),
    [
        (messages.Message, OLD_HEARTBEAT),
        (messages.Message, OLD_GRANTS),
        (frames.ForwardedRequest, OLD_REQUEST),
    ],
)
def test_fields_of_the_earlier_version_keep_their_places(kind, old):
    """Guards against a field inserted before others, which an older instance would misread."""
    encoded = _encode(msgspec.msgpack.decode(_encode(old), type=kind))
    assert msgspec.msgpack.decode(encoded)[: len(old)] == old
