"""Client library for callers.

Example:

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
    """Client of one caller.

    It must be closed, or used as an asynchronous context manager.
    """

    __slots__ = ("_gateway",)

    def __init__(self, proxy_gateway: gateway.Gateway) -> None:
        self._gateway = proxy_gateway

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        self.close()

    async def open_session(self, *, timeout_s: float = sessions.DEFAULT_TIMEOUT_S) -> Session:
        """Open a session.

        Args:
          timeout_s: Time to find a proxy, in seconds.
        Returns:
          The session.
        Raises:
          Rejected: A proxy rejected the caller.
          NoProxy: No proxy accepted the caller within the timeout.
        """
        opened = await self._gateway.open_session(_deadline(timeout_s))
        return self.restore(SavedSession(opened.id, (opened.token,), sessions.first_sequence()))

    async def resume_session(
        self, session_id: str, *, timeout_s: float = sessions.DEFAULT_TIMEOUT_S
    ) -> Session:
        """Resume a session whose tokens are lost.

        The first read of each group is slower, because it requires a read index.

        Args:
          session_id: The session's id.
          timeout_s: Time to find a proxy, in seconds.
        Returns:
          The session.
        Raises:
          Rejected: A proxy rejected the caller or the session.
          NoProxy: No proxy accepted the session within the timeout.
        """
        resumed = await self._gateway.resume_session(session_id, _deadline(timeout_s))
        return self.restore(SavedSession(resumed.id, (resumed.token,), sessions.first_sequence()))

    def restore(self, saved: SavedSession) -> Session:
        """Restore a session that was saved with Session.save, also by another process."""
        return Session(self._gateway, saved)

    def close(self) -> None:
        """Close all connections; requests in flight receive no answer."""
        self._gateway.close()


def connect(
    addresses: collections.abc.Sequence[str],
    caller: str,
    secret: str,
    *,
    tls: ssl.SSLContext | None = None,
    chooser: random.Random | None = None,
) -> Client:
    """Create a client, which connects when it sends its first request.

    Args:
      addresses: Addresses of the proxies, or of a load balancer, each an IP address and a port.
      caller: Declared name of the caller.
      secret: Secret of the caller.
      tls: TLS context; None for plain TCP.
      chooser: Random number generator for the order of the addresses and for retry delays.
    Returns:
      The client, to be used as an asynchronous context manager.
    """
    proxy_gateway = gateway.Gateway(addresses, caller, secret, tls, chooser or random.Random())
    return Client(proxy_gateway)


def _deadline(timeout_s: float) -> float:
    return asyncio.get_running_loop().time() + timeout_s
