"""Links to the other instances with time limits that do not depend on the connection.

A network partition may cause no connection error for minutes. A link with requests in flight is
therefore probed with digests, and fails when the peer has not answered for too long.
"""

import asyncio
import collections.abc
from typing import TypeVar

from bilberrystack.core import membership
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import interfaces

# Limits for calls without a deadline. A configuration transfer may carry all parts.
CALL_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 5.0

# Probe interval of a link with requests in flight, and the time without an answer after which the
# link fails. As for a primary, a pause of 500 ms must not cause a failure.
PROBE_INTERVAL_S = 0.2
UNRESPONSIVE_TIMEOUT_S = 0.75

# The peer's deadline is earlier than the local one by this time, so that an answer sent at the
# peer's deadline still arrives in time.
ANSWER_MARGIN_S = 0.005

OpenLink = collections.abc.Callable[[str, collections.abc.Callable[[], None]], interfaces.Peer]
Value = TypeVar("Value")
LocalDigestSource = collections.abc.Callable[[], interfaces.Digest]


class BoundedLink:
    """A link to one peer with time limits. Implements interfaces.Peer."""

    __slots__ = (
        "_last_answer_at",
        "_local_digest",
        "_loop",
        "_on_link_lost",
        "_peer",
        "_probe_task",
        "_probe_timer",
        "_request_timeouts",
    )

    def __init__(
        self,
        peer: interfaces.Peer,
        local_digest: LocalDigestSource,
        on_link_lost: collections.abc.Callable[[], None],
    ) -> None:
        self._peer = peer
        self._local_digest = local_digest
        self._on_link_lost = on_link_lost
        self._loop = asyncio.get_running_loop()
        self._request_timeouts: set[asyncio.Timeout] = set()
        self._last_answer_at = 0.0
        self._probe_timer: asyncio.TimerHandle | None = None
        self._probe_task: asyncio.Task[None] | None = None

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request at the peer, until its deadline.

        Raises:
          LinkLost: The link broke, the peer did not answer, or the deadline passed.
        """
        now = self._loop.time()
        if request.deadline - now <= ANSWER_MARGIN_S:
            raise interfaces.LinkLost("the deadline has passed", sent=False)
        if self._probe_timer is None:
            self._last_answer_at = now
            self._probe_timer = self._loop.call_later(
                PROBE_INTERVAL_S, self._check_responsiveness, now
            )
        timeout = asyncio.timeout_at(request.deadline)
        self._request_timeouts.add(timeout)
        try:
            async with timeout:
                outcome = await self._peer.forward(request)
        except TimeoutError:
            raise interfaces.LinkLost("no answer in time", sent=True) from None
        except interfaces.LinkLost:
            self._on_link_lost()
            raise
        finally:
            self._request_timeouts.discard(timeout)
        self._last_answer_at = self._loop.time()
        return outcome

    async def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Send a digest and return the peer's.

        Raises:
          LinkLost: The link broke or the peer did not answer in time.
        """
        return await self._call_with_timeout(self._peer.digest(sender), CALL_TIMEOUT_S)

    async def leaving(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Send a departure notice and return the peer's digest.

        Raises:
          LinkLost: The link broke or the peer did not answer in time.
        """
        return await self._call_with_timeout(self._peer.leaving(sender), CALL_TIMEOUT_S)

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        """Send a new configuration head to the peer.

        Raises:
          LinkLost: The link broke or the peer did not answer in time.
        """
        await self._call_with_timeout(self._peer.push_head(sender, head), CALL_TIMEOUT_S)

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Fetch the peer's configuration, without the parts that are known.

        Raises:
          LinkLost: The link broke or the peer did not answer in time.
        """
        return await self._call_with_timeout(
            self._peer.fetch_configuration(known_parts), TRANSFER_TIMEOUT_S
        )

    async def report(self, minutes: int) -> bytes:
        """Fetch the peer's encoded report with its latest minutes.

        Raises:
          LinkLost: The link broke or the peer did not answer in time.
        """
        return await self._call_with_timeout(self._peer.report(minutes), CALL_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection; requests in flight fail with LinkLost."""
        if self._probe_timer is not None:
            self._probe_timer.cancel()
            self._probe_timer = None
        if self._probe_task is not None:
            self._probe_task.cancel()
        self._fail_requests_in_flight()
        self._peer.close()

    async def _call_with_timeout(
        self, call: collections.abc.Awaitable[Value], timeout_s: float
    ) -> Value:
        try:
            async with asyncio.timeout(timeout_s):
                answer = await call
        except TimeoutError:
            self._on_link_lost()
            raise interfaces.LinkLost("no answer in time", sent=True) from None
        except interfaces.LinkLost:
            self._on_link_lost()
            raise
        self._last_answer_at = self._loop.time()
        return answer

    def _check_responsiveness(self, scheduled_at: float) -> None:
        """Probe the link while requests are in flight, and fail it if the peer does not answer."""
        self._probe_timer = None
        if not self._request_timeouts:
            return
        now = self._loop.time()
        if now - scheduled_at > 2 * PROBE_INTERVAL_S:
            # The event loop did not run on time, so answers may be waiting unread.
            self._last_answer_at = now
        unanswered_s = now - self._last_answer_at
        if unanswered_s > UNRESPONSIVE_TIMEOUT_S:
            self._fail_link()
            return
        if unanswered_s >= PROBE_INTERVAL_S and self._probe_task is None:
            self._probe_task = self._loop.create_task(self._send_probe())
        self._probe_timer = self._loop.call_later(PROBE_INTERVAL_S, self._check_responsiveness, now)

    async def _send_probe(self) -> None:
        try:
            await self.digest(self._local_digest())
        except interfaces.LinkLost:
            return
        finally:
            self._probe_task = None

    def _fail_link(self) -> None:
        self._fail_requests_in_flight()
        self._peer.close()
        self._on_link_lost()

    def _fail_requests_in_flight(self) -> None:
        for timeout in self._request_timeouts:
            if not timeout.expired():
                timeout.reschedule(self._loop.time())


class LinkRegistry:
    """The links to other instances, created on first use."""

    __slots__ = ("_addresses", "_links", "_local_digest", "_on_link_lost", "_open_link")

    def __init__(
        self,
        open_link: OpenLink,
        local_digest: LocalDigestSource,
        on_link_lost: collections.abc.Callable[[str], None],
    ) -> None:
        """Create a registry without links.

        Args:
          open_link: Opens a link to an address. Its second argument is a callback that the link
            calls whenever it breaks.
          local_digest: Returns the digest that this instance sends.
          on_link_lost: Called with an instance's id when the link to it breaks.
        """
        self._open_link = open_link
        self._local_digest = local_digest
        self._on_link_lost = on_link_lost
        self._links: dict[str, BoundedLink] = {}
        self._addresses: dict[str, str] = {}

    def link_to(self, instance: membership.Instance) -> BoundedLink:
        """Return the link to an instance at its current address, opening it if needed."""
        link = self._links.get(instance.id)
        if link is not None and self._addresses[instance.id] == instance.address:
            return link
        if link is not None:
            link.close()
        link = self._create_link(instance)
        self._links[instance.id] = link
        self._addresses[instance.id] = instance.address
        return link

    def retain_only(self, instance_ids: collections.abc.Collection[str]) -> None:
        """Close the links to all instances but those given."""
        for instance_id in set(self._links).difference(instance_ids):
            self._links.pop(instance_id).close()
            del self._addresses[instance_id]

    def close(self) -> None:
        """Close all links."""
        self.retain_only(())

    def _create_link(self, instance: membership.Instance) -> BoundedLink:
        def notify_link_lost() -> None:
            self._on_link_lost(instance.id)

        return BoundedLink(
            self._open_link(instance.address, notify_link_lost),
            self._local_digest,
            notify_link_lost,
        )
