"""Serves other instances: forwarded statements, and connections to members they don't reach."""

import asyncio
import collections.abc
import contextlib

import loguru

from bilberrystack.pooling import member_link
from bilberrystack.pooling import owner_server
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="relay")

READ_BYTES = 65_536

# An instance that asks says at once what it wants.
ASK_TIMEOUT_S = 2.0

IsMember = collections.abc.Callable[[model.Endpoint], bool]


class Relay:
    """Serves the connections of other instances."""

    __slots__ = ("_is_member", "_lifetime", "_owner")

    def __init__(self, lifetime: str, is_member: IsMember, owner: owner_server.OwnerServer) -> None:
        self._lifetime = lifetime
        self._owner = owner
        self._is_member = is_member

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers which process this is, or joins the connection to a member's."""
        try:
            member_link.guard(writer)
            async with asyncio.timeout(ASK_TIMEOUT_S):
                line = await member_link.read_line(reader)
            if line == b"lifetime":
                member_link.write(writer, f"{self._lifetime}\n".encode())
                return
            if line == b"forward":
                await self._owner.serve(reader, writer)
                return
            target = _endpoint(line)
            if target is None or not self._is_member(target):
                _LOG.warning("relay to an address that is no member's refused")
                return
            await self._join(reader, writer, target)
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError) as error:
            _LOG.info("relayed connection ended", failure=type(error).__name__)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _join(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: model.Endpoint,
    ) -> None:
        far_reader, far_writer = await member_link.connect(target, READ_BYTES)
        try:
            ways = [
                asyncio.ensure_future(_pump(reader, far_writer)),
                asyncio.ensure_future(_pump(far_reader, writer)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        finally:
            far_writer.close()


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(READ_BYTES):
        member_link.write(writer, data)
        await writer.drain()


def _endpoint(line: bytes) -> model.Endpoint | None:
    host, _, port = line.decode(errors="replace").rpartition(":")
    return model.Endpoint(host, int(port)) if host and port.isdecimal() else None
