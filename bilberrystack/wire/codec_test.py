"""Tests of the codec against the pure-Python protocol of the Thrift library."""

import pytest
from hypothesis import given
from hypothesis import strategies
from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from bilberrystack.gen.callers import Caller
from bilberrystack.gen.callers import ttypes
from bilberrystack.wire import codec
from bilberrystack.wire import failures

METHODS = strategies.sampled_from(["execute", "open_session", "x" * 200, "é"])
TYPES = strategies.sampled_from([1, 2, 3, 4])
SEQUENCES = strategies.integers(1, 0x7FFFFFFF)


def encode_with_library(method, message_type, sequence, payload):
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocol(buffer)
    protocol.writeMessageBegin(method, message_type, sequence)
    payload.write(protocol)
    protocol.writeMessageEnd()
    return buffer.getvalue()


def request(body):
    return Caller.execute_args(ttypes.Request(7, [b"t"], "g", 2, body, None, 1000, None))


@given(METHODS, TYPES, SEQUENCES, strategies.binary(max_size=300))
def test_frames_are_those_of_the_library(method, message_type, sequence, body):
    """Guards against an encoding that is incompatible with other Thrift implementations."""
    for payload in (request(body), Thrift.TApplicationException(6, "failed")):
        expected = encode_with_library(method, message_type, sequence, payload)
        frame = codec.encode(method, message_type, sequence, payload)
        assert frame == codec.LENGTH_PREFIX.pack(len(expected)) + expected
        header, decoded = codec.decode(expected, lambda _header: type(payload))  # noqa: B023
        assert header == codec.Header(method, message_type, sequence)
        assert field_values(decoded) == field_values(payload)


def field_values(payload):
    names = getattr(payload, "__slots__", None) or ("type", "message")
    return [getattr(payload, name) for name in names]


@given(strategies.binary(max_size=40))
def test_arbitrary_bytes_are_malformed_or_a_message(frame):
    """Guards against exceptions other than WireFailure, which the connection doesn't handle."""
    try:
        _header, args = codec.decode(frame, lambda _header: Caller.execute_args)
    except failures.MalformedFrame:
        return
    assert isinstance(args, Caller.execute_args)


@pytest.mark.parametrize("length", range(1, 40))
def test_truncated_message_is_malformed(length):
    """Guards against reads beyond the end of a frame."""
    encoded = codec.encode("execute", 1, 300, request(b"x" * 20))[codec.LENGTH_PREFIX.size :]
    with pytest.raises(failures.MalformedFrame):
        codec.decode(encoded[:length], lambda _header: Caller.execute_args)


def test_failed_encoding_does_not_disturb_the_next_message():
    """Guards against leftover bytes of a failed encoding in the shared protocol."""
    with pytest.raises(UnicodeEncodeError):
        codec.encode("execute", 1, 1, request("no bytes" * 3 + "\udc80"))
    expected = encode_with_library("execute", 1, 2, request(b"x"))
    assert codec.encode("execute", 1, 2, request(b"x"))[codec.LENGTH_PREFIX.size :] == expected
