"""Connection of the operators' commands to an instance."""

import asyncio
import collections.abc
import contextlib
import ssl
import sys
from typing import Any
from typing import TypeVar

from bilberrystack import settings
from bilberrystack.cli import exits
from bilberrystack.gen.operators import ttypes
from bilberrystack.proxy import operators
from bilberrystack.wire import failures
from bilberrystack.wire import rpc

Value = TypeVar("Value")


class Unreachable(Exception):
    """The instance can't be reached, or did not answer a read-only call."""


class UnknownOutcome(Exception):
    """The outcome of a change did not arrive, so the change may have taken effect."""


class OperatorConnection:
    """Authenticated connection to an instance."""

    __slots__ = ("_connection", "_timeout_s")

    def __init__(self, connection: rpc.Connection, timeout_s: float) -> None:
        self._connection = connection
        self._timeout_s = timeout_s

    async def call(self, method: str, *fields: Any, server_wait_s: float = 0.0) -> Any:
        """Call a read-only method.

        Args:
          method: The method's name.
          fields: The arguments in the order of the schema.
          server_wait_s: Maximum time that the instance waits before it answers, in seconds.
        Returns:
          The answer.
        Raises:
          Unreachable: The connection closed, the call failed, or no answer arrived in time.
          OperatorFailure: The instance rejected the call.
        """
        try:
            async with asyncio.timeout(self._timeout_s + server_wait_s):
                return await self._connection.call(method, *fields)
        except (failures.WireFailure, TimeoutError) as error:
            raise Unreachable(str(error) or "no answer in time") from error

    async def apply(self, change: ttypes.Change) -> ttypes.ChangeOutcome:
        """Send a change.

        Args:
          change: The change.
        Returns:
          The outcome of the change.
        Raises:
          Unreachable: The connection closed before the change was sent.
          UnknownOutcome: The call failed otherwise, or no answer arrived in time.
          OperatorFailure: The instance rejected the call.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                outcome: ttypes.ChangeOutcome = await self._connection.call("apply", change)
                return outcome
        except failures.ConnectionClosed as closed:
            raise (UnknownOutcome if closed.sent else Unreachable)(str(closed)) from closed
        except (failures.WireFailure, TimeoutError) as error:
            raise UnknownOutcome(str(error) or "no answer in time") from error


@contextlib.asynccontextmanager
async def open_connection(
    loaded: settings.ClientSettings,
) -> collections.abc.AsyncGenerator[OperatorConnection, None]:
    """Open an authenticated connection, which is closed at the end of the context.

    Args:
      loaded: Settings of the command.
    Yields:
      The connection.
    Raises:
      Unreachable: The instance can't be reached or does not answer.
      OperatorFailure: The instance rejected the authentication.
    """
    address = loaded.operator_address
    try:
        async with asyncio.timeout(loaded.timeout_s):
            connection = await rpc.connect(
                operators.SERVICE,
                address.host,
                address.port,
                tls=_create_tls_context(loaded.operator_ca),
            )
    except (OSError, TimeoutError) as error:
        raise Unreachable(f"{address}: {error or 'no answer in time'}") from error
    with connection:
        operator_connection = OperatorConnection(connection, loaded.timeout_s)
        challenge = await operator_connection.call("hello")
        secret = loaded.operator_secret.reveal()
        proof = operators.operator_proof(secret, challenge.nonce, loaded.operator_name)
        await operator_connection.call("authenticate", loaded.operator_name, proof)
        yield operator_connection


def run(
    loaded: settings.ClientSettings,
    command: collections.abc.Callable[[OperatorConnection], collections.abc.Awaitable[int]],
) -> int:
    """Run a command with a connection and print its failures.

    Args:
      loaded: Settings of the command.
      command: The command; it returns an exit code.
    Returns:
      The exit code.
    """

    async def main() -> int:
        async with open_connection(loaded) as operator_connection:
            return await command(operator_connection)

    try:
        return asyncio.run(main())
    except ttypes.OperatorFailure as failure:
        return _print_failure(f"refused: {failure.detail} (code {failure.code})", exits.REFUSED)
    except Unreachable as error:
        return _print_failure(f"unreachable: {error}", exits.UNREACHABLE)
    except UnknownOutcome as error:
        detail = "the change may have taken effect; repeat it with the same operation id"
        return _print_failure(f"unknown: {error}; {detail}", exits.UNKNOWN)


def _print_failure(text: str, code: int) -> int:
    print(text, file=sys.stderr)
    return code


def _create_tls_context(authorities: str | None) -> ssl.SSLContext | None:
    """Create a TLS context that verifies certificates; return None without CA certificates.

    Host names are not verified, because instances are addressed by IP address.
    """
    if authorities is None:
        return None
    context = ssl.create_default_context(cafile=authorities)
    context.check_hostname = False
    return context
