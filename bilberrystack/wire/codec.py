"""Encodes and decodes Thrift messages in memory.

A message is one frame: a length of 4 bytes, big endian, and a Thrift message in the compact
protocol with the library's C accelerator.
"""

import collections.abc
import dataclasses
import struct
from typing import Any

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from bilberrystack.wire import failures

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)

# Creating a protocol costs as much as encoding a small message, so one is used for all messages. A
# message is encoded or decoded as a whole before the next one begins.
_protocol = _FACTORY.getProtocol(TTransport.TMemoryBuffer())


@dataclasses.dataclass(slots=True)
class Service:
    """The messages of one generated service.

    Attributes:
      name: The service's name, for messages to people.
      calls: For each method the generated classes of its arguments and its result.
    """

    name: str
    calls: dict[str, tuple[type[Any], type[Any]]]


def service(module: Any) -> Service:
    """Collects the methods of a generated service module.

    Args:
      module: The module that the Thrift compiler generated for a service.
    Returns:
      The service's methods by name.
    """
    calls = {}
    for name in vars(module):
        if not name.endswith("_args"):
            continue
        method = name.removesuffix("_args")
        calls[method] = (getattr(module, name), getattr(module, f"{method}_result"))
    return Service(module.__name__.rsplit(".", 1)[-1], calls)


def encode(method: str, message_type: int, sequence: int, payload: Any) -> bytes:
    """Encodes one message with its length prefix.

    Args:
      method: The method's name.
      message_type: One of Thrift.TMessageType.
      sequence: The id that matches an answer to its call.
      payload: A generated struct or a TApplicationException.
    Returns:
      The frame, ready to be sent.
    """
    buffer = TTransport.TMemoryBuffer()
    protocol = _use(buffer)
    try:
        protocol.writeMessageBegin(method, message_type, sequence)
        payload.write(protocol)
        protocol.writeMessageEnd()
    except Exception:
        _renew()
        raise
    body: bytes = buffer.getvalue()
    return LENGTH.pack(len(body)) + body


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """The header of a message.

    Attributes:
      method: The method's name.
      message_type: One of Thrift.TMessageType.
      sequence: The id that matches an answer to its call.
    """

    method: str
    message_type: int
    sequence: int


ChooseClass = collections.abc.Callable[[Header], type[Any] | None]


def decode(frame: bytes, choose_class: ChooseClass) -> tuple[Header, Any]:
    """Decodes a message.

    Args:
      frame: The message without its length prefix.
      choose_class: Returns the generated class of the payload; None if nobody wants it.
    Returns:
      The header and the payload, which is None if nobody wants it. Raises MalformedFrame.
    """
    protocol = _use(TTransport.TMemoryBuffer(frame))
    header = None
    try:
        header = Header(*protocol.readMessageBegin())
        payload_class = choose_class(header)
        if payload_class is None:
            _renew()
            return header, None
        payload = payload_class()
        payload.read(protocol)
        protocol.readMessageEnd()
        _validate(payload)
    except failures.WireFailure:
        _renew()
        raise
    except Exception as error:
        _renew()
        place = "header" if header is None else header.method
        raise failures.MalformedFrame(f"{place}: {error}") from error
    return header, payload


def _use(buffer: TTransport.TMemoryBuffer) -> Any:
    """Returns the protocol for one message in a buffer."""
    _protocol.trans = buffer
    return _protocol


def _renew() -> None:
    """Replaces the protocol after a message that was not read or written to its end."""
    global _protocol  # noqa: PLW0603
    _protocol = _FACTORY.getProtocol(TTransport.TMemoryBuffer())


def _validate(payload: Any) -> None:
    """Checks required fields of the payload and of the structs directly inside it."""
    if isinstance(payload, Thrift.TApplicationException):
        return
    payload.validate()
    for name in payload.__slots__:
        value = getattr(payload, name)
        if hasattr(value, "validate"):
            value.validate()


class FrameReader:
    """Splits a byte stream into frames."""

    __slots__ = ("_buffer", "_max_frame_bytes")

    def __init__(self, max_frame_bytes: int) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the frames that are complete. Raises FrameTooLarge."""
        if not self._buffer:
            frames, used = self._split(data)
            self._buffer += data[used:]
            return frames
        self._buffer += data
        frames, used = self._split(self._buffer)
        del self._buffer[:used]
        return frames

    def _split(self, data: bytes | bytearray) -> tuple[list[bytes], int]:
        """Returns the complete frames and the number of bytes that they take."""
        frames = []
        start = 0
        while len(data) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(data, start)
            if length > self._max_frame_bytes:
                raise failures.FrameTooLarge(f"{length} bytes, limit {self._max_frame_bytes}")
            end = start + LENGTH.size + length
            if len(data) < end:
                break
            frames.append(bytes(data[start + LENGTH.size : end]))
            start = end
        return frames, start
