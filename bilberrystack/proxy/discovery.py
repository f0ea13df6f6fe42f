"""How an instance finds the others: digests to peers, and the platform's list of instances."""

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

# With more failure domains the rounds of digests get rarer. At 11 domains and a round a second the
# digests alone took 2.1 KB/s of the 3 KB/s that control may cost a node.
MAX_DIGESTS_PER_S = 6

# A pending watch counts as a call of the store, so it is renewed rarely.
WATCH_WAIT_S = 60.0

# Time beyond the wait that the store has for its answer.
ANSWER_LIMIT_S = 5.0

# Pause before the store is asked again after it did not answer, randomised by half.
STORE_PAUSE_S = 1.0

INSTANCES_KEY = "instances"

# Suspect instances probed in addition to the digests of one round.
_PROBED_SUSPECTS = 3

# Leaving notices sent at the same time.
_NOTICES_AT_ONCE = 32


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the platform's list."""

    id: str
    kind: Literal["proxy", "endpoint"]
    address: str
    failure_domain: str
    state: Literal["live", "leaving"]


_LOG = loguru.logger.bind(component="discovery")


def digest_interval_s(digests: int) -> float:
    """Returns the seconds between two rounds of so many digests.

    It has to stay well below freshness.MAX_CONTACT_AGE_S, so that a lost digest stops no instance.
    """
    return max(DIGEST_INTERVAL_S, digests / MAX_DIGESTS_PER_S)


_DECODER = msgspec.json.Decoder(list[ListedInstance])


class Discovery:
    """Keeps the view of the other instances up to date and tells them about this one."""

    __slots__ = (
        "_changed",
        "_chooser",
        "_endpoints_leaving",
        "_exchanges",
        "_heard",
        "_links",
        "_list_changed",
        "_own",
        "_own_digest",
        "_view",
    )

    def __init__(
        self,
        *,
        own: membership.Instance,
        open_link: links.OpenLink,
        own_digest: links.OwnDigest,
        heard: collections.abc.Callable[[interfaces.Digest], None],
        changed: collections.abc.Callable[[], None],
        endpoints_leaving: collections.abc.Callable[[frozenset[str]], None],
        chooser: random.Random,
    ) -> None:
        """Starts with a view of this instance alone.

        Args:
          own: This instance.
          open_link: Opens a link to an address.
          own_digest: Returns the digest that this instance sends.
          heard: Called with every digest that a peer answers with.
          changed: Called after the view may have changed.
          endpoints_leaving: Called with the addresses of leaving endpoints after every new list.
          chooser: Chooses the peers of a round.
        """
        self._own = own
        self._own_digest = own_digest
        self._heard = heard
        self._changed = changed
        self._endpoints_leaving = endpoints_leaving
        self._chooser = chooser
        self._view = membership.Membership(own, asyncio.get_running_loop().time())
        self._links = links.Links(open_link, own_digest, self.link_lost)
        self._list_changed = asyncio.Event()
        self._exchanges: set[asyncio.Task[None]] = set()

    @property
    def view(self) -> membership.Membership:
        """The view of all instances."""
        return self._view

    @property
    def links(self) -> links.Links:
        """The links to the other instances."""
        return self._links

    def majority_contact_at(self, now: float) -> float | None:
        """Returns the latest instant since which most failure domains were heard from."""
        return self._view.majority_contact_at(now)

    def take_digest(self, digest: interfaces.Digest) -> membership.Instance:
        """Takes a message that came from an instance directly; returns the instance."""
        instance = membership.Instance(digest.instance, digest.failure_domain, digest.address)
        self._view.record_message(asyncio.get_running_loop().time(), instance, digest.leaving)
        self._changed()
        return instance

    def link_lost(self, instance_id: str) -> None:
        """Takes the loss of a link, or a failed attempt to open one."""
        self._view.record_link_failure(asyncio.get_running_loop().time(), instance_id)
        self._changed()

    async def send_digests(self) -> None:
        """Exchanges digests with one instance of each failure domain, forever.

        A list with other live instances is followed by a round at once: until it has heard from
        most failure domains, an instance accepts no configuration changes.
        """
        loop = asyncio.get_running_loop()
        while True:
            self._view.remove_expired(loop.time())
            self._changed()
            targets = self._targets()
            for instance in targets:
                task = loop.create_task(self._exchange(instance))
                self._exchanges.add(task)
                task.add_done_callback(self._exchanges.discard)
            self._list_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(digest_interval_s(len(targets))):
                    await self._list_changed.wait()

    async def watch_list(self, store: interfaces.Store) -> None:
        """Follows the platform's list of instances, forever."""
        version: int | None = None
        available = True
        while True:
            try:
                async with asyncio.timeout(WATCH_WAIT_S + ANSWER_LIMIT_S):
                    found = await _next_list(store, version)
            except (interfaces.StoreUnavailable, TimeoutError) as failure:
                if available:
                    _LOG.warning("The list of instances is not available: {!r}", failure)
                available = False
                await asyncio.sleep(STORE_PAUSE_S * self._chooser.uniform(0.5, 1.5))
                continue
            available = True
            if found is not None:
                version = found.version
                self._take_encoded_list(found)
            elif version is None:
                version = 0
                self._take_list(())

    async def send_leaving(self) -> None:
        """Tells all known instances that this one is leaving."""
        limit = asyncio.Semaphore(_NOTICES_AT_ONCE)

        async def notify(instance: membership.Instance) -> None:
            async with limit:
                try:
                    await self._links.to(instance).leaving(self._own_digest())
                except interfaces.LinkLost:
                    return

        await asyncio.gather(*(notify(instance) for instance in self._view.known_instances))

    def _targets(self) -> list[membership.Instance]:
        suspects = self._view.suspected_instances
        probed = self._chooser.sample(suspects, min(_PROBED_SUSPECTS, len(suspects)))
        return self._one_of_each_domain() + probed

    def _one_of_each_domain(self) -> list[membership.Instance]:
        by_domain: dict[str, list[membership.Instance]] = {}
        for instance in self._view.live.values():
            if instance.id != self._own.id:
                by_domain.setdefault(instance.failure_domain, []).append(instance)
        return [self._chooser.choice(instances) for instances in by_domain.values()]

    async def _exchange(self, instance: membership.Instance) -> None:
        try:
            digest = await self._links.to(instance).digest(self._own_digest())
        except interfaces.LinkLost:
            return
        if digest.instance != instance.id:
            # Another instance has taken over the address.
            self.link_lost(instance.id)
        self._heard(digest)

    def _take_encoded_list(self, found: interfaces.StoredObject) -> None:
        try:
            listed = _DECODER.decode(found.value)
        except msgspec.MsgspecError as error:
            _LOG.error("Version {} of the instances is malformed: {}", found.version, error)
            return
        self._take_list(listed)

    def _take_list(self, listed: collections.abc.Iterable[ListedInstance]) -> None:
        proxies = {}
        leaving = set()
        for one in listed:
            if one.kind == "proxy":
                instance = membership.Instance(one.id, one.failure_domain, one.address)
                proxies[instance] = membership.InstanceState(one.state)
            elif one.state == "leaving":
                leaving.add(one.address)
        before = self._view.version
        self._view.update_platform_list(asyncio.get_running_loop().time(), proxies)
        if self._view.version != before:
            self._list_changed.set()
        self._changed()
        self._endpoints_leaving(frozenset(leaving))


async def _next_list(
    store: interfaces.Store, version: int | None
) -> interfaces.StoredObject | None:
    """Returns the current list at first, then the next one; None if there is none."""
    if version is None:
        return await store.get(INSTANCES_KEY)
    return await store.watch(INSTANCES_KEY, version, WATCH_WAIT_S)
