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


class _Sink:
    """Collects what a protocol writes."""

    def __init__(self) -> None:
        self.written: list[bytes] = []

    def write(self, buf: bytes) -> None:
        """Takes written bytes."""
        self.written.append(buf)


# Creating a protocol costs as much as encoding a small message, and the C accelerator keeps no
# state between structs, so one protocol each writes and reads all of them. Message headers are
# written and read here: the library's methods for them, in Python, took most of the time.
_SINK = _Sink()
_ENCODER = _FACTORY.getProtocol(_SINK)
_DECODER = _FACTORY.getProtocol(TTransport.TMemoryBuffer())

_Compact = TCompactProtocol.TCompactProtocol
_TYPE_SHIFT = _Compact.TYPE_SHIFT_AMOUNT
_MAX_VARINT_SHIFT = 28
_SMALL_VARINTS = tuple(bytes((number,)) for number in range(0x80))


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
    if isinstance(payload, Thrift.TApplicationException):
        sink = _Sink()
        payload.write(_FACTORY.getProtocol(sink))
    else:
        sink = _SINK
        sink.written = []
        payload.write(_ENCODER)
    name = method.encode()
    start = bytes((_Compact.PROTOCOL_ID, _Compact.VERSION | message_type << _TYPE_SHIFT))
    header = start + _varint(sequence) + _varint(len(name)) + name
    length = len(header) + sum(map(len, sink.written))
    return b"".join((LENGTH.pack(length), header, *sink.written))


@dataclasses.dataclass(slots=True)
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
    header, payload_at = _read_header(frame)
    payload_class = choose_class(header)
    if payload_class is None:
        return header, None
    payload = payload_class()
    transport = TTransport.TMemoryBuffer(frame)
    transport.cstringio_buf.seek(payload_at)
    try:
        if payload_class is Thrift.TApplicationException:
            payload.read(_FACTORY.getProtocol(transport))
        else:
            _DECODER.trans = transport
            payload.read(_DECODER)
        _validate(payload)
    except Exception as error:
        raise failures.MalformedFrame(f"{header.method}: {error}") from error
    return header, payload


def _read_header(frame: bytes) -> tuple[Header, int]:
    """Returns the header and the place of the payload. Raises MalformedFrame."""
    try:
        protocol_id, version_and_type = frame[0], frame[1]
        if protocol_id != _Compact.PROTOCOL_ID:
            raise failures.MalformedFrame(f"header: protocol {protocol_id}")
        if version_and_type & _Compact.VERSION_MASK != _Compact.VERSION:
            raise failures.MalformedFrame("header: unknown version")
        sequence, at = _read_varint(frame, 2)
        length, at = _read_varint(frame, at)
        end = at + length
        if end > len(frame):
            raise failures.MalformedFrame("header: longer than its frame")
        method = frame[at:end].decode()
    except (IndexError, UnicodeDecodeError) as error:
        raise failures.MalformedFrame(f"header: {error}") from error
    message_type = version_and_type >> _TYPE_SHIFT & _Compact.TYPE_BITS
    return Header(method, message_type, sequence), end


def _varint(number: int) -> bytes:
    """Encodes a number from 0 as seven bits a byte, the lowest first."""
    if number < 0x80:
        return _SMALL_VARINTS[number]
    encoded = bytearray()
    while number >= 0x80:
        encoded.append(number & 0x7F | 0x80)
        number >>= 7
    encoded.append(number)
    return bytes(encoded)


def _read_varint(frame: bytes, at: int) -> tuple[int, int]:
    """Returns a number and the place after it. Raises IndexError or MalformedFrame."""
    number = shift = 0
    while True:
        byte = frame[at]
        at += 1
        number |= (byte & 0x7F) << shift
        if byte < 0x80:
            return number, at
        shift += 7
        if shift > _MAX_VARINT_SHIFT:
            raise failures.MalformedFrame("header: number out of range")


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
