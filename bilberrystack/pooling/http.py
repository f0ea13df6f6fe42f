"""HTTP/1.1 with httptools: a client for platform calls and a server for probes and metrics."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import re
import socket
import struct

import httptools

from bilberrystack.pooling import member_link
from bilberrystack.routing import model

# Maximum wait for a connection; round trips to the platform are below 10 ms.
CONNECT_TIMEOUT_S = 0.5

READ_CHUNK_BYTES = 65_536

# Limit for one request; the request of a probe is a few hundred bytes.
MAX_REQUEST_BYTES = 16_384
REQUEST_TIMEOUT_S = 30.0


# What the head of a request can carry: a target of visible ASCII characters, and header fields
# without characters that end a line or a string. Callers quote names in targets.
_TARGET = re.compile(r"/[!-~]*")
_HEADER_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
_TOKEN = re.compile(r"[A-Za-z0-9-]+")


class CallFailure(Exception):
    """An HTTP call got no response."""


class NotSent(CallFailure):
    """The call was not sent."""


class NoResponse(CallFailure):
    """The call was sent, but no complete response arrived in time; its outcome is unknown."""


@dataclasses.dataclass(slots=True)
class Response:
    """The response to a call.

    Attributes:
      status: The HTTP status code.
      body: The body.
      headers: The header fields by name in lower case.
    """

    status: int
    body: bytes
    headers: collections.abc.Mapping[str, str]


# Returns whether a call may still be sent.
MaySend = collections.abc.Callable[[], bool]


def always_permitted() -> bool:
    """Permit a call at any time."""
    return True


class _ResponseParser:
    """The receiver of the httptools callbacks for one response.

    Data behind the response, such as a second one, are no part of it.

    Attributes:
      response: The complete response; None before.
    """

    __slots__ = ("_headers", "_parser", "_parts", "response")

    def __init__(self) -> None:
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self.response: Response | None = None

    def feed(self, data: bytes) -> None:
        """Parse data as they were received.

        Raises:
          httptools.HttpParserError: The data are no response.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.response is None:
                raise httptools.HttpParserError(str(error)) from error

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        """Store a part of the body."""
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """Store the response, which data behind it can't change any more."""
        if self.response is None:
            body = b"".join(self._parts)
            self.response = Response(self._parser.get_status_code(), body, self._headers)
        self._headers, self._parts = {}, []


def _set_reset_at_close(writer: asyncio.StreamWriter, *, enabled: bool) -> None:
    """Set whether the kernel resets a connection when it is closed, also by the process's end.

    A reset discards unsent data, so that the call can't arrive much later. Otherwise the kernel
    goes on to send what a lossy path has held up, until TCP_USER_TIMEOUT_MS.
    """
    # The connection may have been reset; the next read or write reports that.
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0)
        )


class Client:
    """An HTTP client for one address.

    Each call has a connection of its own: a response names no call, so that on a kept connection a
    second response to an earlier call could be taken for the one to the present call.
    """

    __slots__ = ("_endpoint",)

    def __init__(self, endpoint: model.Endpoint) -> None:
        self._endpoint = endpoint

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        *,
        headers: collections.abc.Mapping[str, str] | None = None,
        may_send: MaySend = always_permitted,
    ) -> Response:
        """Make a call.

        Args:
          method: The HTTP method.
          target: The path and query.
          timeout_s: Maximum wait for the whole call, in seconds; then the connection is reset.
          body: A JSON body; empty for none.
          headers: Additional header fields.
          may_send: Checked once the connection is open, right before the request is written.
        Returns:
          The response, with any status.
        Raises:
          NotSent: The connection failed, `may_send` returned false, or the head of the request
            can't carry the target or a header field.
          NoResponse: The call may have been executed, or may still be.
        """
        ends_at_s = asyncio.get_running_loop().time() + timeout_s
        request = self._encode_request(method, target, body, headers or {})
        try:
            reader, writer = await member_link.connect(
                self._endpoint, READ_CHUNK_BYTES, min(CONNECT_TIMEOUT_S, timeout_s)
            )
        except member_link.LinkFailure as error:
            raise NotSent(f"{type(error).__name__} {error}") from error
        if not may_send():
            writer.close()
            raise NotSent("permission to send the call has ended")
        response = await self._exchange(reader, writer, request, ends_at_s)
        writer.close()
        return response

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: bytes,
        ends_at_s: float,
    ) -> Response:
        """Send a request and return the response."""
        try:
            _set_reset_at_close(writer, enabled=True)
            member_link.write(writer, request)
            async with asyncio.timeout_at(ends_at_s):
                response = await self._read_response(reader)
            _set_reset_at_close(writer, enabled=False)
            return response
        except (OSError, EOFError, TimeoutError, httptools.HttpParserError) as error:
            writer.transport.abort()
            raise NoResponse(type(error).__name__) from error
        except asyncio.CancelledError:
            writer.transport.abort()
            raise

    def _encode_request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: collections.abc.Mapping[str, str],
    ) -> bytes:
        """Encode a request; raise NotSent if its head can't carry a value."""
        if not (_TOKEN.fullmatch(method) and _TARGET.fullmatch(target)):
            raise NotSent("the head of the request can't carry the target")
        for name, value in headers.items():
            if not (_TOKEN.fullmatch(name) and _HEADER_VALUE.fullmatch(value)):
                raise NotSent(f"the head of the request can't carry the field {name!r}")
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._endpoint}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append("Content-Type: application/json")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            return "\r\n".join([*lines, "", ""]).encode() + body
        except UnicodeEncodeError as error:
            raise NotSent("a header field has no UTF-8 form") from error

    async def _read_response(self, reader: asyncio.StreamReader) -> Response:
        response_parser = _ResponseParser()
        while response_parser.response is None:
            data = await reader.read(READ_CHUNK_BYTES)
            if not data:
                raise EOFError("connection closed inside a response")
            response_parser.feed(data)
        return response_parser.response


# Returns the status and the body for a request target.
PageRenderer = collections.abc.Callable[[str], tuple[int, bytes]]


class _RequestParser:
    """The receiver of the httptools callbacks for one request."""

    __slots__ = ("complete", "parser", "target")

    def __init__(self) -> None:
        self.target = ""
        self.complete = False
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url.decode("latin-1")

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.complete = True


async def serve_pages(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, render_page: PageRenderer
) -> None:
    """Answer the requests of one connection until it ends.

    Args:
      reader: The connection's input.
      writer: The connection's output.
      render_page: Returns the status and the body for a request target.
    """
    try:
        while await _serve_page(reader, writer, render_page):
            pass
    except (OSError, EOFError, TimeoutError, httptools.HttpParserError):
        # The client has disconnected or does not speak HTTP; only this connection ends.
        pass
    finally:
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()


async def _serve_page(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, render_page: PageRenderer
) -> bool:
    request_parser = _RequestParser()
    received_bytes = 0
    keeps_alive = True
    while not request_parser.complete:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            data = await reader.read(MAX_REQUEST_BYTES)
        received_bytes += len(data)
        if not data or received_bytes > MAX_REQUEST_BYTES:
            return False
        try:
            request_parser.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered like any other. What follows it speaks another protocol.
            keeps_alive = False
            break
    if not request_parser.complete:
        return False
    status, body = render_page(request_parser.target)
    head = f"HTTP/1.1 {status} -\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
    member_link.write(writer, head.encode() + body)
    return keeps_alive and bool(request_parser.parser.should_keep_alive())
