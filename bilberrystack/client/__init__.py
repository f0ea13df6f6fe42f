"""Client library for callers.

async with client.connect(addresses, "analyst", secret) as connected:
    session = await connected.open_session()
    outcome = await session.write("diaries", statement)
"""

import asyncio
import collections.abc
import random
import ssl

from bilberrystack.client import gateway
from bilberrystack.client import results
from bilberrystack.client import sessions

Answer = results.Answer
ClientFailure = results.ClientFailure
NoProxy = results.NoProxy
NotRun = results.NotRun
NotRunReason = results.NotRunReason
Outcome = results.Outcome
Rejected = results.Rejected
SavedSession = sessions.SavedSession
Session = sessions.Session
Transaction = sessions.Transaction
TransactionFailed = results.TransactionFailed
Unknown = results.Unknown
UnknownReason = results.UnknownReason


class Client:
    """A caller's access to the proxies. Use it as an asynchronous context manager."""

    __slots__ = ("_gateway",)

    def __init__(self, gate: gateway.Gateway) -> None:
        self._gateway = gate

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.close()

    async def open_session(self, *, timeout_s: float = sessions.DEFAULT_TIMEOUT_S) -> Session:
        """Opens a session. Raises Rejected or NoProxy."""
        opened = await self._gateway.open_session(_deadline(timeout_s))
        return self.restore(SavedSession(opened.id, (opened.token,), sessions.first_sequence()))

    async def resume_session(
        self, session_id: str, *, timeout_s: float = sessions.DEFAULT_TIMEOUT_S
    ) -> Session:
        """Resumes a session whose tokens are lost; its first reads cost a read index each.

        Args:
          session_id: The session's id.
          timeout_s: Seconds to find a proxy.
        Returns:
          The session. Raises Rejected or NoProxy.
        """
        resumed = await self._gateway.resume_session(session_id, _deadline(timeout_s))
        return self.restore(SavedSession(resumed.id, (resumed.token,), sessions.first_sequence()))

    def restore(self, saved: SavedSession) -> Session:
        """Returns a session that another process saved."""
        return Session(self._gateway, saved)

    def close(self) -> None:
        """Closes all connections; requests in flight end without an answer."""
        self._gateway.close()


def connect(
    addresses: collections.abc.Sequence[str],
    caller: str,
    secret: str,
    *,
    tls: ssl.SSLContext | None = None,
    chooser: random.Random | None = None,
) -> Client:
    """Returns a client, which connects with its first request.

    Args:
      addresses: IP numbers and ports of proxies or of the load balancer before them.
      caller: The caller's declared name.
      secret: Its secret.
      tls: The TLS context, or None for plain TCP.
      chooser: Chooses the order of the addresses.
    Returns:
      The client, to be used as an asynchronous context manager.
    """
    gate = gateway.Gateway(addresses, caller, secret, tls, chooser or random.Random())
    return Client(gate)


def _deadline(timeout_s: float) -> float:
    return asyncio.get_running_loop().time() + timeout_s
