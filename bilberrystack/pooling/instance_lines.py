"""The first lines of connections between instances, which end in a line feed.

The connecting instance asks for the other's incarnation, announces forwarded statements, or names
the member to relay the connection to. Instances of two versions run at the same time during an
upgrade, so the form of these lines must not change.
"""

import asyncio
import os
import re

from bilberrystack.pooling import interfaces
from bilberrystack.routing import model

LINE_END = b"\n"

# Asks for the incarnation of the process, which answers with one line.
INCARNATION_REQUEST = b"lifetime"

# Asks for the configuration in force, which is answered with one frame.
CONFIGURATION_REQUEST = b"configuration"

# Announces frames with forwarded statements.
FORWARDING_REQUEST = b"forward"

INCARNATION_BYTES = 8

_INCARNATION = re.compile(rb"[0-9a-f]{%d}" % (2 * INCARNATION_BYTES))


def new_incarnation() -> str:
    """Return an incarnation that no other process has."""
    return os.urandom(INCARNATION_BYTES).hex()


def is_incarnation(line: bytes) -> bool:
    """Return whether a line has the form of an incarnation, as each instance answers it."""
    return _INCARNATION.fullmatch(line) is not None


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Read a line and strip its line end.

    Raises:
      EOFError: The connection ended, inside a line or before one.
      asyncio.LimitOverrunError: The line is longer than the reader's limit.
    """
    line = await reader.readuntil(LINE_END)
    return line[: -len(LINE_END)]


def encode_incarnation_request() -> bytes:
    """Encode the request for the incarnation of the process."""
    return _encode(INCARNATION_REQUEST)


def encode_incarnation(incarnation: str) -> bytes:
    """Encode the answer to a request for the incarnation.

    Args:
      incarnation: The incarnation.
    Raises:
      interfaces.NotEncodable: It contains a line feed.
    """
    return _encode(incarnation.encode())


def encode_configuration_request() -> bytes:
    """Encode the request for the configuration in force."""
    return _encode(CONFIGURATION_REQUEST)


def encode_forwarding_request() -> bytes:
    """Encode the announcement of forwarded statements."""
    return _encode(FORWARDING_REQUEST)


def encode_relay_request(target: model.Endpoint) -> bytes:
    """Encode the request to relay the connection to a member.

    Args:
      target: The member's address.
    Raises:
      interfaces.NotEncodable: It contains a line feed.
    """
    return _encode(str(target).encode())


def _encode(line: bytes) -> bytes:
    if LINE_END in line:
        raise interfaces.NotEncodable("the line has a line end")
    return line + LINE_END
