"""Links to the other instances, bounded in time whatever the connection below does.

A cut path reports no error for minutes, so a link with requests in flight is probed with digests
and given up after a silence.
"""

import asyncio
import collections.abc
from typing import TypeVar

from bilberrystack.core import membership
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces

# Limits for calls that have no deadline of their own; a transfer may carry all parts.
CALL_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 5.0

# A link with requests in flight is probed at this interval and given up after this silence, the
# same as for a primary: a pause of 500 ms must do no harm.
PROBE_INTERVAL_S = 0.2
SILENCE_LIMIT_S = 0.75

# The owner's deadline is earlier by this time, so that its last answer still arrives in time.
ANSWER_MARGIN_S = 0.005

OpenLink = collections.abc.Callable[[str, collections.abc.Callable[[], None]], interfaces.Peer]
Value = TypeVar("Value")
OwnDigest = collections.abc.Callable[[], interfaces.Digest]


class Link:
    """A bounded link to one peer. Implements interfaces.Peer."""

    __slots__ = (
        "_answered_at",
        "_in_flight",
        "_loop",
        "_on_lost",
        "_own_digest",
        "_peer",
        "_probe",
        "_probing",
    )

    def __init__(
        self,
        peer: interfaces.Peer,
        own_digest: OwnDigest,
        on_lost: collections.abc.Callable[[], None],
    ) -> None:
        self._peer = peer
        self._own_digest = own_digest
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._in_flight: set[asyncio.Timeout] = set()
        self._answered_at = 0.0
        self._probe: asyncio.TimerHandle | None = None
        self._probing: asyncio.Task[None] | None = None

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request at the peer, until its deadline. Raises LinkLost."""
        now = self._loop.time()
        if request.deadline - now <= ANSWER_MARGIN_S:
            raise interfaces.LinkLost("the deadline has passed", sent=False)
        if self._probe is None:
            self._answered_at = now
            self._probe = self._loop.call_later(PROBE_INTERVAL_S, self._tick, now)
        limit = asyncio.timeout_at(request.deadline)
        self._in_flight.add(limit)
        try:
            async with limit:
                outcome = await self._peer.forward(request)
        except TimeoutError:
            raise interfaces.LinkLost("no answer in time", sent=True) from None
        except interfaces.LinkLost:
            self._on_lost()
            raise
        finally:
            self._in_flight.discard(limit)
        self._answered_at = self._loop.time()
        return outcome

    async def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Exchanges digests. Raises LinkLost."""
        return await self._bounded(self._peer.digest(sender), CALL_TIMEOUT_S)

    async def leaving(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Tells the peer that this instance is leaving. Raises LinkLost."""
        return await self._bounded(self._peer.leaving(sender), CALL_TIMEOUT_S)

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        """Hands a new head of the configuration to the peer. Raises LinkLost."""
        await self._bounded(self._peer.push_head(sender, head), CALL_TIMEOUT_S)

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Asks for the peer's configuration. Raises LinkLost."""
        return await self._bounded(self._peer.fetch_configuration(known_parts), TRANSFER_TIMEOUT_S)

    async def report(self, minutes: int) -> bytes:
        """Asks for the peer's report to operators. Raises LinkLost."""
        return await self._bounded(self._peer.report(minutes), CALL_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connection; requests in flight fail with LinkLost."""
        if self._probe is not None:
            self._probe.cancel()
            self._probe = None
        if self._probing is not None:
            self._probing.cancel()
        self._fail_requests()
        self._peer.close()

    async def _bounded(self, call: collections.abc.Awaitable[Value], limit_s: float) -> Value:
        try:
            async with asyncio.timeout(limit_s):
                answer = await call
        except TimeoutError:
            self._on_lost()
            raise interfaces.LinkLost("no answer in time", sent=True) from None
        except interfaces.LinkLost:
            self._on_lost()
            raise
        self._answered_at = self._loop.time()
        return answer

    def _tick(self, planned_at: float) -> None:
        """Probes the link while requests are in flight, and gives it up after a long silence."""
        self._probe = None
        if not self._in_flight:
            return
        now = self._loop.time()
        if now - planned_at > 2 * PROBE_INTERVAL_S:
            # This loop did not run, so answers may wait unread.
            self._answered_at = now
        silence_s = now - self._answered_at
        if silence_s > SILENCE_LIMIT_S:
            self._give_up()
            return
        if silence_s >= PROBE_INTERVAL_S and self._probing is None:
            self._probing = self._loop.create_task(self._ping())
        self._probe = self._loop.call_later(PROBE_INTERVAL_S, self._tick, now)

    async def _ping(self) -> None:
        try:
            await self.digest(self._own_digest())
        except interfaces.LinkLost:
            return
        finally:
            self._probing = None

    def _give_up(self) -> None:
        self._fail_requests()
        self._peer.close()
        self._on_lost()

    def _fail_requests(self) -> None:
        for limit in self._in_flight:
            if not limit.expired():
                limit.reschedule(self._loop.time())


class Links:
    """One link to each instance, created at first use."""

    __slots__ = ("_addresses", "_links", "_on_lost", "_open_link", "_own_digest")

    def __init__(
        self,
        open_link: OpenLink,
        own_digest: OwnDigest,
        on_lost: collections.abc.Callable[[str], None],
    ) -> None:
        """Creates a registry without links.

        Args:
          open_link: Opens a link to an address; the function that it gets is to be called whenever
            the link breaks.
          own_digest: Returns the digest that this instance sends.
          on_lost: Called with an instance's id when the link to it breaks.
        """
        self._open_link = open_link
        self._own_digest = own_digest
        self._on_lost = on_lost
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}

    def to(self, instance: membership.Instance) -> Link:
        """Returns the link to an instance at its current address."""
        link = self._links.get(instance.id)
        if link is not None and self._addresses[instance.id] == instance.address:
            return link
        if link is not None:
            link.close()
        link = self._new(instance)
        self._links[instance.id] = link
        self._addresses[instance.id] = instance.address
        return link

    def keep_only(self, instance_ids: collections.abc.Collection[str]) -> None:
        """Closes the links to all other instances."""
        for instance_id in set(self._links).difference(instance_ids):
            self._links.pop(instance_id).close()
            del self._addresses[instance_id]

    def close(self) -> None:
        """Closes all links."""
        self.keep_only(())

    def _new(self, instance: membership.Instance) -> Link:
        def lost() -> None:
            self._on_lost(instance.id)

        return Link(self._open_link(instance.address, lost), self._own_digest, lost)
