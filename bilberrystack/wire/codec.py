"""Encodes and decodes Thrift messages in memory.

A message is one frame: a length of 4 bytes, big endian, and a Thrift message in the compact
protocol with the library's C accelerator.
"""

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
    protocol = _FACTORY.getProtocol(buffer)
    protocol.writeMessageBegin(method, message_type, sequence)
    payload.write(protocol)
    protocol.writeMessageEnd()
    body: bytes = buffer.getvalue()
    return LENGTH.pack(len(body)) + body


@dataclasses.dataclass(slots=True)
class Incoming:
    """A message whose header has been read and whose payload has not.

    Attributes:
      method: The method's name.
      message_type: One of Thrift.TMessageType.
      sequence: The id that matches an answer to its call.
    """

    method: str
    message_type: int
    sequence: int
    _protocol: Any

    def read(self, payload_class: type[Any]) -> Any:
        """Reads the payload. Raises MalformedFrame."""
        payload = payload_class()
        try:
            payload.read(self._protocol)
            _validate(payload)
        except Exception as error:
            raise failures.MalformedFrame(f"{self.method}: {error}") from error
        return payload


def decode(frame: bytes) -> Incoming:
    """Reads the header of a message.

    Args:
      frame: The message without its length prefix.
    Returns:
      The message. Raises MalformedFrame.
    """
    protocol = _FACTORY.getProtocol(TTransport.TMemoryBuffer(frame))
    try:
        method, message_type, sequence = protocol.readMessageBegin()
    except Exception as error:
        raise failures.MalformedFrame(f"header: {error}") from error
    return Incoming(method, message_type, sequence, protocol)


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
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, start)
            if length > self._max_frame_bytes:
                raise failures.FrameTooLarge(f"{length} bytes, limit {self._max_frame_bytes}")
            end = start + LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[start + LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames
