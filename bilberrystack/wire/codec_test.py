"""Tests of the encoding against the Thrift library's own protocol."""

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


def library_frame(method, message_type, sequence, payload):
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
    """Guards against messages that other Thrift implementations can't read, or can't write."""
    for payload in (request(body), Thrift.TApplicationException(6, "failed")):
        expected = library_frame(method, message_type, sequence, payload)
        frame = codec.encode(method, message_type, sequence, payload)
        assert frame == codec.LENGTH.pack(len(expected)) + expected
        header, read = codec.decode(expected, lambda _header: type(payload))  # noqa: B023
        assert header == codec.Header(method, message_type, sequence)
        assert vars_of(read) == vars_of(payload)


def vars_of(payload):
    names = getattr(payload, "__slots__", None) or ("type", "message")
    return [getattr(payload, name) for name in names]


@given(strategies.binary(max_size=40))
def test_arbitrary_bytes_are_malformed_or_a_message(frame):
    """Guards against an exception that is no WireFailure, which would escape the connection."""
    try:
        _header, args = codec.decode(frame, lambda _header: Caller.execute_args)
    except failures.MalformedFrame:
        return
    assert isinstance(args, Caller.execute_args)


@pytest.mark.parametrize("length", range(1, 40))
def test_truncated_message_is_malformed(length):
    """Guards against reading past the end of a frame."""
    whole = codec.encode("execute", 1, 300, request(b"x" * 20))[codec.LENGTH.size :]
    with pytest.raises(failures.MalformedFrame):
        codec.decode(whole[:length], lambda _header: Caller.execute_args)


def test_failed_encoding_does_not_disturb_the_next_message():
    """Guards against left-over bytes of a message that could not be encoded."""
    with pytest.raises(UnicodeEncodeError):
        codec.encode("execute", 1, 1, request("no bytes" * 3 + "\udc80"))
    expected = library_frame("execute", 1, 2, request(b"x"))
    assert codec.encode("execute", 1, 2, request(b"x"))[codec.LENGTH.size :] == expected
