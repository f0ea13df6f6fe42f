"""Lines of the protocol that clients and members speak: they end in CR LF, and only there.

The last field of a message extends to the end of the line. Its data may contain single carriage
returns, line feeds and any other separator.
"""

import array
import asyncio
import fcntl
import termios

LINE_END = b"\r\n"


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Read a line and strip its line end.

    Raises:
      EOFError: The connection ended, inside a line or before one.
      asyncio.LimitOverrunError: The line without its end is longer than the reader's limit.
    """
    line = await reader.readuntil(LINE_END)
    return line[: -len(LINE_END)]


def has_unread_data(reader: asyncio.StreamReader) -> bool:
    """Return whether data wait in a reader's buffer."""
    # The stream reader has no public way to see that.
    return bool(reader._buffer)  # type: ignore[attr-defined]


def has_received_data(writer: asyncio.StreamWriter) -> bool:
    """Return whether the kernel holds received data of a connection that were not read yet."""
    sock = writer.get_extra_info("socket")
    byte_count = array.array("i", [0])
    try:
        # The sockets of event loops have no method that looks at data without removing them.
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, byte_count)
    except (AttributeError, OSError, ValueError):
        # The connection is closed.
        return False
    return byte_count[0] > 0
