"""Discovery of other instances through digests and the platform's list of instances."""

import asyncio
import collections.abc
import contextlib
import random
from typing import Literal

import loguru
import msgspec

from bilberrystack.core import membership
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import links

DIGEST_INTERVAL_S = 1.0

# The interval between digest rounds grows with the number of failure domains. With 11 domains and
# one round per second, digests alone took 2.1 KB/s of the 3 KB/s that control traffic may use per
# node.
MAX_DIGESTS_PER_S = 6

# Each watch counts as a call of the store, so it waits long and is renewed rarely.
WATCH_WAIT_S = 60.0

# Time that the store has for its answer after the wait of a watch has passed.
ANSWER_TIMEOUT_S = 5.0

# Mean delay before a failed store call is repeated; the actual delay varies by up to half.
STORE_RETRY_DELAY_S = 1.0

INSTANCES_KEY = "instances"

# Maximum number of suspected instances probed in each round, in addition to its digests.
_MAX_SUSPECT_PROBES = 3

# Maximum number of departure notices in flight.
_MAX_CONCURRENT_NOTICES = 32


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the platform's list of instances and endpoints."""

    id: str
    kind: Literal["proxy", "endpoint"]
    address: str
    failure_domain: str
    state: Literal["live", "leaving"]


_LOG = loguru.logger.bind(component="discovery")


def digest_interval_s(digests: int) -> float:
    """Return the interval between two digest rounds.

    The interval has to stay well below freshness.MAX_CONTACT_AGE_S, so that a single lost digest
    does not stop an instance from serving.

    Args:
      digests: The number of digests per round.
    Returns:
      The interval in seconds.
    """
    return max(DIGEST_INTERVAL_S, digests / MAX_DIGESTS_PER_S)


_DECODER = msgspec.json.Decoder(list[ListedInstance])


class Discovery:
    """Maintains the membership view and announces this instance to the others."""

    __slots__ = (
        "_exchange_tasks",
        "_links",
        "_list_changed",
        "_local_digest",
        "_local_instance",
        "_on_digest",
        "_on_endpoints_leaving",
        "_on_view_change",
        "_rng",
        "_view",
    )

    def __init__(
        self,
        *,
        local_instance: membership.Instance,
        open_link: links.OpenLink,
        local_digest: links.LocalDigestSource,
        on_digest: collections.abc.Callable[[interfaces.Digest], None],
        on_view_change: collections.abc.Callable[[], None],
        on_endpoints_leaving: collections.abc.Callable[[frozenset[str]], None],
        rng: random.Random,
    ) -> None:
        """Create a discovery whose view contains only this instance.

        Args:
          local_instance: This instance.
          open_link: Opens a link to an address.
          local_digest: Returns the digest that this instance sends.
          on_digest: Called with the digest in each peer's answer.
          on_view_change: Called whenever the view may have changed.
          on_endpoints_leaving: Called after each new list with the addresses of leaving endpoints.
          rng: Random source for the choice of peers and for delays.
        """
        self._local_instance = local_instance
        self._local_digest = local_digest
        self._on_digest = on_digest
        self._on_view_change = on_view_change
        self._on_endpoints_leaving = on_endpoints_leaving
        self._rng = rng
        self._view = membership.Membership(local_instance, asyncio.get_running_loop().time())
        self._links = links.LinkRegistry(open_link, local_digest, self.record_link_loss)
        self._list_changed = asyncio.Event()
        self._exchange_tasks: set[asyncio.Task[None]] = set()

    @property
    def view(self) -> membership.Membership:
        """The membership view of all instances."""
        return self._view

    @property
    def links(self) -> links.LinkRegistry:
        """The links to the other instances."""
        return self._links

    def majority_contact_at(self, now: float) -> float | None:
        """Return the latest time since which a majority of failure domains has sent a message."""
        return self._view.majority_contact_at(now)

    def record_digest(self, digest: interfaces.Digest) -> membership.Instance:
        """Record a digest that arrived from an instance, and return the instance."""
        instance = membership.Instance(digest.instance, digest.failure_domain, digest.address)
        self._view.record_message(asyncio.get_running_loop().time(), instance, digest.leaving)
        self._on_view_change()
        return instance

    def record_link_loss(self, instance_id: str) -> None:
        """Record that a link to an instance broke or could not be opened."""
        self._view.record_link_failure(asyncio.get_running_loop().time(), instance_id)
        self._on_view_change()

    async def send_digests(self) -> None:
        """Exchange digests with one instance of each failure domain at intervals, until cancelled.

        A changed list of instances starts a round immediately: an instance accepts configuration
        changes only after contact with a majority of failure domains.
        """
        loop = asyncio.get_running_loop()
        while True:
            self._view.remove_expired(loop.time())
            self._on_view_change()
            targets = self._choose_digest_targets()
            for instance in targets:
                task = loop.create_task(self._exchange_digest(instance))
                self._exchange_tasks.add(task)
                task.add_done_callback(self._exchange_tasks.discard)
            self._list_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(digest_interval_s(len(targets))):
                    await self._list_changed.wait()

    async def follow_instance_list(self, store: interfaces.Store) -> None:
        """Apply each version of the platform's list of instances, until cancelled."""
        version: int | None = None
        available = True
        while True:
            try:
                async with asyncio.timeout(WATCH_WAIT_S + ANSWER_TIMEOUT_S):
                    stored = await _fetch_list(store, version)
            except (interfaces.StoreUnavailable, TimeoutError) as failure:
                if available:
                    _LOG.warning(
                        "The store's list of instances is unavailable, the last one is kept: {!r}",
                        failure,
                    )
                available = False
                await asyncio.sleep(STORE_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
                continue
            available = True
            if stored is not None:
                version = stored.version
                self._apply_encoded_list(stored)
            elif version is None:
                version = 0
                self._apply_list(())

    async def send_departure_notices(self) -> None:
        """Notify all known instances that this instance is leaving."""
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_NOTICES)

        async def notify(instance: membership.Instance) -> None:
            async with semaphore:
                try:
                    await self._links.link_to(instance).leaving(self._local_digest())
                except interfaces.LinkLost:
                    return

        await asyncio.gather(*(notify(instance) for instance in self._view.known_instances))

    def _choose_digest_targets(self) -> list[membership.Instance]:
        suspects = self._view.suspected_instances
        probe_targets = self._rng.sample(suspects, min(_MAX_SUSPECT_PROBES, len(suspects)))
        return self._sample_per_domain() + probe_targets

    def _sample_per_domain(self) -> list[membership.Instance]:
        by_domain: dict[str, list[membership.Instance]] = {}
        for instance in self._view.live.values():
            if instance.id != self._local_instance.id:
                by_domain.setdefault(instance.failure_domain, []).append(instance)
        return [self._rng.choice(instances) for instances in by_domain.values()]

    async def _exchange_digest(self, instance: membership.Instance) -> None:
        try:
            digest = await self._links.link_to(instance).digest(self._local_digest())
        except interfaces.LinkLost:
            return
        if digest.instance != instance.id:
            # Another instance now uses the address of the expected one.
            self.record_link_loss(instance.id)
        self._on_digest(digest)

    def _apply_encoded_list(self, stored: interfaces.StoredObject) -> None:
        try:
            entries = _DECODER.decode(stored.value)
        except msgspec.MsgspecError as error:
            _LOG.error(
                "Ignored version {} of the list of instances, malformed: {}", stored.version, error
            )
            return
        self._apply_list(entries)

    def _apply_list(self, entries: collections.abc.Iterable[ListedInstance]) -> None:
        proxies = {}
        leaving_addresses = set()
        for entry in entries:
            if entry.kind == "proxy":
                instance = membership.Instance(entry.id, entry.failure_domain, entry.address)
                proxies[instance] = membership.InstanceState(entry.state)
            elif entry.state == "leaving":
                leaving_addresses.add(entry.address)
        previous_version = self._view.version
        self._view.update_platform_list(asyncio.get_running_loop().time(), proxies)
        if self._view.version != previous_version:
            self._list_changed.set()
        self._on_view_change()
        self._on_endpoints_leaving(frozenset(leaving_addresses))


async def _fetch_list(
    store: interfaces.Store, version: int | None
) -> interfaces.StoredObject | None:
    """Return the stored list, or if a version is given, wait for a newer one; None if absent."""
    if version is None:
        return await store.get(INSTANCES_KEY)
    return await store.watch(INSTANCES_KEY, version, WATCH_WAIT_S)
