"""How an instance finds the others: digests to peers, and the platform's list of instances."""

import asyncio
import collections.abc
import dataclasses
import random
from typing import Literal

import loguru
import msgspec

from bilberrystack.core import membership
from bilberrystack.proxy import interfaces

DIGEST_INTERVAL_S = 1.0

# A pending watch counts as a call of the store, so it is renewed rarely.
WATCH_WAIT_S = 60.0

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

_DECODER = msgspec.json.Decoder(list[ListedInstance])


class Links:
    """One link to each instance, created at first use."""

    __slots__ = ("_addresses", "_links", "_open_link")

    def __init__(self, open_link: collections.abc.Callable[[str, str], interfaces.Peer]) -> None:
        """Takes the factory of links, which gets an instance's id and its address."""
        self._open_link = open_link
        self._links: dict[str, interfaces.Peer] = {}
        self._addresses: dict[str, str] = {}

    def to(self, instance: membership.Instance) -> interfaces.Peer:
        """Returns the link to an instance at its current address."""
        link = self._links.get(instance.id)
        if link is not None and self._addresses[instance.id] == instance.address:
            return link
        if link is not None:
            link.close()
        link = self._open_link(instance.id, instance.address)
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


@dataclasses.dataclass(slots=True)
class Discovery:
    """Keeps a membership up to date.

    Attributes:
      own: This instance.
      view: The membership.
      links: The links to other instances.
      own_digest: Returns the digest that this instance sends.
      heard: Called with every digest of a peer.
      changed: Called after the membership may have changed.
      endpoints_leaving: Called with the addresses of leaving endpoints after every new list.
      chooser: Chooses the peers of a round.
    """

    own: membership.Instance
    view: membership.Membership
    links: Links
    own_digest: collections.abc.Callable[[], interfaces.Digest]
    heard: collections.abc.Callable[[interfaces.Digest], None]
    changed: collections.abc.Callable[[], None]
    endpoints_leaving: collections.abc.Callable[[frozenset[str]], None]
    chooser: random.Random
    _exchanges: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    _versions: dict[str, int] = dataclasses.field(default_factory=dict)

    def majority_contact_at(self, now: float) -> float | None:
        """Returns the latest instant since which most failure domains were heard from."""
        return self.view.majority_contact_at(now)

    def lagging(self, version: int) -> list[str]:
        """Returns the live instances that aren't known to have at least a version."""
        others = (name for name in self.view.live if name != self.own.id)
        return [name for name in others if self._versions.get(name, 0) < version]

    async def push_head(self, head: bytes) -> None:
        """Sends a head to one instance of each failure domain, as far as they can be reached."""

        async def push(instance: membership.Instance) -> None:
            try:
                await self.links.to(instance).push_head(self.own_digest(), head)
            except interfaces.LinkLost:
                self.link_lost(instance.id)

        await asyncio.gather(*(push(instance) for instance in self._one_of_each_domain()))

    def take_digest(self, digest: interfaces.Digest) -> membership.Instance:
        """Takes a message that came from an instance directly; returns the instance."""
        instance = membership.Instance(digest.instance, digest.failure_domain, digest.address)
        self.view.heard(asyncio.get_running_loop().time(), instance, digest.leaving)
        self._versions[instance.id] = digest.configuration_version
        self.changed()
        return instance

    def link_lost(self, instance_id: str) -> None:
        """Takes the loss of a link, or a failed attempt to open one."""
        self.view.link_broken(asyncio.get_running_loop().time(), instance_id)
        self.changed()

    async def send_digests(self) -> None:
        """Exchanges digests with one instance of each failure domain, forever."""
        loop = asyncio.get_running_loop()
        while True:
            self.view.expire(loop.time())
            self.changed()
            for instance in self._targets():
                task = loop.create_task(self._exchange(instance))
                self._exchanges.add(task)
                task.add_done_callback(self._exchanges.discard)
            await asyncio.sleep(DIGEST_INTERVAL_S)

    async def watch_list(self, store: interfaces.Store) -> None:
        """Follows the platform's list of instances, forever."""
        version = 0
        available = True
        while True:
            try:
                found = await store.watch(INSTANCES_KEY, version, WATCH_WAIT_S)
            except interfaces.StoreUnavailable as failure:
                if available:
                    _LOG.warning("The list of instances is not available: {}", failure)
                available = False
                await asyncio.sleep(STORE_PAUSE_S * self.chooser.uniform(0.5, 1.5))
                continue
            available = True
            if found is None:
                continue
            version = found.version
            try:
                self._take_list(_DECODER.decode(found.value))
            except msgspec.MsgspecError as error:
                _LOG.error("Version {} of the list of instances is malformed: {}", version, error)

    async def send_leaving(self) -> None:
        """Tells all known instances that this one is leaving."""
        limit = asyncio.Semaphore(_NOTICES_AT_ONCE)

        async def notify(instance: membership.Instance) -> None:
            async with limit:
                try:
                    await self.links.to(instance).leaving(self.own_digest())
                except interfaces.LinkLost:
                    return

        await asyncio.gather(*(notify(instance) for instance in self.view.others))

    def _targets(self) -> list[membership.Instance]:
        suspects = self.view.suspects
        probed = self.chooser.sample(suspects, min(_PROBED_SUSPECTS, len(suspects)))
        return self._one_of_each_domain() + probed

    def _one_of_each_domain(self) -> list[membership.Instance]:
        by_domain: dict[str, list[membership.Instance]] = {}
        for instance in self.view.live.values():
            if instance.id != self.own.id:
                by_domain.setdefault(instance.failure_domain, []).append(instance)
        return [self.chooser.choice(instances) for instances in by_domain.values()]

    async def _exchange(self, instance: membership.Instance) -> None:
        try:
            digest = await self.links.to(instance).digest(self.own_digest())
        except interfaces.LinkLost:
            self.link_lost(instance.id)
            return
        self.heard(digest)

    def _take_list(self, listed: collections.abc.Iterable[ListedInstance]) -> None:
        proxies = {}
        leaving = set()
        for one in listed:
            if one.kind == "proxy":
                instance = membership.Instance(one.id, one.failure_domain, one.address)
                proxies[instance] = membership.InstanceState(one.state)
            elif one.state == "leaving":
                leaving.add(one.address)
        self.view.take_list(asyncio.get_running_loop().time(), proxies)
        known = {instance.id for instance in self.view.others}
        self._versions = {name: one for name, one in self._versions.items() if name in known}
        self.changed()
        self.endpoints_leaving(frozenset(leaving))
