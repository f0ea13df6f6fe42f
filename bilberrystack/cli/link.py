"""The commands' connection to an instance."""

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
    """The instance could not be reached, or did not answer a call that changes nothing."""


class Unknown(Exception):
    """The answer to a change did not arrive."""


class Link:
    """An authenticated connection."""

    __slots__ = ("_connection", "_timeout_s")

    def __init__(self, connection: rpc.Connection, timeout_s: float) -> None:
        self._connection = connection
        self._timeout_s = timeout_s

    async def call(self, method: str, *fields: Any, extra_s: float = 0.0) -> Any:
        """Calls a method that changes nothing.

        Args:
          method: The method's name.
          fields: Its arguments.
          extra_s: Time that the method itself waits, in seconds.
        Returns:
          The answer. Raises Unreachable or OperatorFailure.
        """
        try:
            async with asyncio.timeout(self._timeout_s + extra_s):
                return await self._connection.call(method, *fields)
        except (failures.WireFailure, TimeoutError) as error:
            raise Unreachable(str(error) or "no answer in time") from error

    async def apply(self, change: ttypes.Change) -> ttypes.ChangeOutcome:
        """Sends a change. Raises Unreachable if it was not sent, otherwise Unknown."""
        try:
            async with asyncio.timeout(self._timeout_s):
                outcome: ttypes.ChangeOutcome = await self._connection.call("apply", change)
                return outcome
        except failures.ConnectionClosed as closed:
            raise (Unknown if closed.sent else Unreachable)(str(closed)) from closed
        except (failures.WireFailure, TimeoutError) as error:
            raise Unknown(str(error) or "no answer in time") from error


@contextlib.asynccontextmanager
async def connected(
    loaded: settings.ClientSettings,
) -> collections.abc.AsyncGenerator[Link, None]:
    """Opens an authenticated connection. Raises Unreachable or OperatorFailure."""
    address = loaded.operator_address
    try:
        async with asyncio.timeout(loaded.timeout_s):
            connection = await rpc.connect(
                operators.SERVICE, address.host, address.port, tls=_tls(loaded.operator_ca)
            )
    except (OSError, TimeoutError) as error:
        raise Unreachable(f"{address}: {error or 'no answer in time'}") from error
    with connection:
        link = Link(connection, loaded.timeout_s)
        challenge = await link.call("hello")
        secret = loaded.operator_secret.reveal()
        proof = operators.operator_proof(secret, challenge.nonce, loaded.operator_name)
        await link.call("authenticate", loaded.operator_name, proof)
        yield link


def run(
    loaded: settings.ClientSettings,
    command: collections.abc.Callable[[Link], collections.abc.Awaitable[int]],
) -> int:
    """Runs a command with a connection; returns its exit code."""

    async def main() -> int:
        async with connected(loaded) as link:
            return await command(link)

    try:
        return asyncio.run(main())
    except ttypes.OperatorFailure as failure:
        return _report(f"refused: {failure.detail} (code {failure.code})", exits.REFUSED)
    except Unreachable as error:
        return _report(f"unreachable: {error}", exits.UNREACHABLE)
    except Unknown as error:
        detail = "the change may have taken effect; repeat it with the same operation id"
        return _report(f"unknown: {error}; {detail}", exits.UNKNOWN)


def _report(text: str, code: int) -> int:
    print(text, file=sys.stderr)
    return code


def _tls(authorities: str | None) -> ssl.SSLContext | None:
    """Instances are addressed by IP number, so certificates are checked, names are not."""
    if authorities is None:
        return None
    context = ssl.create_default_context(cafile=authorities)
    context.check_hostname = False
    return context
