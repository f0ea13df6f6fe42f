"""Encoding and decoding of framed Thrift messages.

A frame consists of a 4-byte big-endian length and a Thrift message in the compact protocol, which
the C accelerator of the Thrift library encodes.
"""

import collections.abc
import dataclasses
import struct
from typing import Any

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from bilberrystack.wire import failures

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)

# Creating a protocol object costs as much as encoding a small message, so all messages share one.
# This is safe because each message is encoded or decoded completely before the next one.
_protocol = _FACTORY.getProtocol(TTransport.TMemoryBuffer())


@dataclasses.dataclass(slots=True)
class Service:
    """Message classes of a generated Thrift service.

    Attributes:
      name: The service's name, for human-readable messages.
      methods: Generated classes of the arguments and of the result, by method name.
    """

    name: str
    methods: dict[str, tuple[type[Any], type[Any]]]


def service(module: Any) -> Service:
    """Collect the message classes of a generated service module.

    Args:
      module: The module that the Thrift compiler generated for the service.
    Returns:
      The service with its methods.
    """
    methods = {}
    for name in vars(module):
        if not name.endswith("_args"):
            continue
        method = name.removesuffix("_args")
        methods[method] = (getattr(module, name), getattr(module, f"{method}_result"))
    return Service(module.__name__.rsplit(".", 1)[-1], methods)


def encode(method: str, message_type: int, sequence: int, payload: Any) -> bytes:
    """Encode a message with its length prefix.

    Args:
      method: The method's name.
      message_type: A constant of Thrift.TMessageType.
      sequence: The sequence id, which matches a reply to its call.
      payload: A generated struct or a TApplicationException.
    Returns:
      The complete frame.
    """
    buffer = TTransport.TMemoryBuffer()
    protocol = _bind_protocol(buffer)
    try:
        protocol.writeMessageBegin(method, message_type, sequence)
        payload.write(protocol)
        protocol.writeMessageEnd()
    except Exception:
        _reset_protocol()
        raise
    body: bytes = buffer.getvalue()
    return LENGTH_PREFIX.pack(len(body)) + body


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """Header of a message.

    Attributes:
      method: The method's name.
      message_type: A constant of Thrift.TMessageType.
      sequence: The sequence id, which matches a reply to its call.
    """

    method: str
    message_type: int
    sequence: int


PayloadClassSelector = collections.abc.Callable[[Header], type[Any] | None]


def decode(frame: bytes, select_class: PayloadClassSelector) -> tuple[Header, Any]:
    """Decode a message.

    Args:
      frame: The message without its length prefix.
      select_class: Function that returns the generated class of the payload, or None to discard
        the message.
    Returns:
      The header and the payload; the payload is None if the message is discarded.
    Raises:
      MalformedFrame: The frame can't be decoded or lacks a required field.
    """
    protocol = _bind_protocol(TTransport.TMemoryBuffer(frame))
    header = None
    try:
        header = Header(*protocol.readMessageBegin())
        payload_class = select_class(header)
        if payload_class is None:
            _reset_protocol()
            return header, None
        payload = payload_class()
        payload.read(protocol)
        protocol.readMessageEnd()
        _validate(payload)
    except failures.WireFailure:
        _reset_protocol()
        raise
    except Exception as error:
        _reset_protocol()
        place = "header" if header is None else header.method
        raise failures.MalformedFrame(f"{place}: {error}") from error
    return header, payload


def _bind_protocol(buffer: TTransport.TMemoryBuffer) -> Any:
    """Return the shared protocol, bound to the buffer of one message."""
    _protocol.trans = buffer
    return _protocol


def _reset_protocol() -> None:
    """Replace the shared protocol after an incompletely read or written message."""
    global _protocol  # noqa: PLW0603
    _protocol = _FACTORY.getProtocol(TTransport.TMemoryBuffer())


def _validate(payload: Any) -> None:
    """Check the required fields of the payload and of the structs nested directly in it."""
    if isinstance(payload, Thrift.TApplicationException):
        return
    payload.validate()
    for name in payload.__slots__:
        value = getattr(payload, name)
        if hasattr(value, "validate"):
            value.validate()


class FrameReader:
    """Splitter of a byte stream into frames."""

    __slots__ = ("_buffer", "_max_frame_bytes")

    def __init__(self, max_frame_bytes: int) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Append received bytes and extract the complete frames.

        Args:
          data: The received bytes.
        Returns:
          The payloads of all complete frames, in order.
        Raises:
          FrameTooLarge: A length prefix exceeds the limit.
        """
        if not self._buffer:
            frames, consumed = self._split_frames(data)
            self._buffer += data[consumed:]
            return frames
        self._buffer += data
        frames, consumed = self._split_frames(self._buffer)
        del self._buffer[:consumed]
        return frames

    def _split_frames(self, data: bytes | bytearray) -> tuple[list[bytes], int]:
        """Return the complete frames and the number of bytes consumed."""
        frames = []
        start = 0
        while len(data) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(data, start)
            if length > self._max_frame_bytes:
                raise failures.FrameTooLarge(f"{length} bytes, limit {self._max_frame_bytes}")
            end = start + LENGTH_PREFIX.size + length
            if len(data) < end:
                break
            frames.append(bytes(data[start + LENGTH_PREFIX.size : end]))
            start = end
        return frames, start
