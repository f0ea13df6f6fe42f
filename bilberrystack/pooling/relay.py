"""Serves connections of other instances.

They forward statements to this instance as an owner, or ask it to relay a connection to a member
that they don't reach.
"""

import asyncio
import collections.abc
import contextlib

import loguru

from bilberrystack.pooling import configuration_exchange
from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import member_link
from bilberrystack.pooling import owner_server
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="relay")

BUFFER_BYTES = 65_536

# Time limit for the first line, which another instance sends as soon as it has connected.
FIRST_LINE_TIMEOUT_S = 2.0

IsMember = collections.abc.Callable[[model.Endpoint], bool]


class Relay:
    """Serves the connections of other instances."""

    __slots__ = ("_exchange", "_incarnation", "_is_member", "_owner_server")

    def __init__(
        self,
        incarnation: str,
        is_member: IsMember,
        server: owner_server.OwnerServer,
        exchange: configuration_exchange.ConfigurationExchange,
    ) -> None:
        """Create a relay.

        Args:
          incarnation: Identifies this process among those that run under the instance's name.
          is_member: Returns whether an address is that of a member.
          server: Runs forwarded statements.
          exchange: Gives other instances the configuration.
        """
        self._exchange = exchange
        self._incarnation = incarnation
        self._owner_server = server
        self._is_member = is_member

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends.

        Its first line asks for this process's incarnation or its configuration, announces forwarded
        statements, or names the member to relay the connection to.

        Args:
          reader: The connection's reader.
          writer: The connection's writer.
        """
        try:
            member_link.configure_socket(writer)
            async with asyncio.timeout(FIRST_LINE_TIMEOUT_S):
                line = await instance_lines.read_line(reader)
            if line == instance_lines.INCARNATION_REQUEST:
                member_link.write(writer, instance_lines.encode_incarnation(self._incarnation))
                return
            if line == instance_lines.CONFIGURATION_REQUEST:
                self._exchange.serve(writer)
                return
            if line == instance_lines.FORWARDING_REQUEST:
                await self._owner_server.serve(reader, writer)
                return
            target = model.parse_endpoint(line.decode(errors="replace"))
            if target is None or not self._is_member(target):
                _LOG.warning("refused to relay a connection to an address that is not a member's")
                return
            await self._relay(reader, writer, target)
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError) as error:
            _LOG.info("connection from another instance ended", failure=type(error).__name__)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: model.Endpoint,
    ) -> None:
        member_reader, member_writer = await member_link.connect(target, BUFFER_BYTES)
        try:
            copy_tasks = [
                asyncio.ensure_future(_copy(reader, member_writer)),
                asyncio.ensure_future(_copy(member_reader, writer)),
            ]
            try:
                await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in copy_tasks:
                    task.cancel()
                await asyncio.gather(*copy_tasks, return_exceptions=True)
        finally:
            member_writer.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(BUFFER_BYTES):
        member_link.write(writer, data)
        await writer.drain()
