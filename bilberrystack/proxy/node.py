"""A proxy instance: its entry role, its owned groups and its view of the other instances."""

import asyncio
import collections.abc
import random
import time
from typing import Any
from typing import Protocol

import loguru

from bilberrystack.core import membership
from bilberrystack.core import outcomes
from bilberrystack.core import ownership
from bilberrystack.core import requests
from bilberrystack.core import tokens
from bilberrystack.proxy import counters
from bilberrystack.proxy import discovery
from bilberrystack.proxy import entry
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import links
from bilberrystack.proxy import owned_groups

_DRAIN_POLL_INTERVAL_S = 0.02
_RESTART_DELAY_S = 1.0
_CANCEL_RETRY_INTERVAL_S = 0.1


class Configuration(entry.ConfigurationView, Protocol):
    """What the node requires of the configuration."""

    @property
    def store_contact_at(self) -> float | None:
        """Time of the store's last answer on the event loop's clock; None if it never answered."""

    def observe_peer_version(self, version: int, peer: interfaces.Peer) -> None:
        """Record that a peer has a version, and fetch it from the peer if it is newer."""

    async def run(self) -> None:
        """Watch the store for new versions until cancelled."""

    async def receive_head(self, head: bytes) -> None:
        """Process a configuration head that a peer pushed."""

    async def build_transfer(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Return the current configuration, without the parts that the peer has."""


class Node:
    """A proxy instance, used as an asynchronous context manager.

    `leave` shuts it down gracefully. Leaving the context stops it immediately.
    """

    __slots__ = (
        "_applied_versions",
        "_configuration",
        "_discovery",
        "_entry",
        "_leaving",
        "_links",
        "_local_instance",
        "_log",
        "_loop_time",
        "_owned_groups",
        "_owner_table",
        "_report_provider",
        "_store",
        "_tasks",
        "_view",
    )

    def __init__(
        self,
        *,
        local_instance: membership.Instance,
        open_configuration: collections.abc.Callable[[discovery.Discovery], Configuration],
        signer: tokens.Signer,
        retries: entry.RetryBudget,
        store: interfaces.Store,
        open_owner: owned_groups.OpenOwner,
        open_link: links.OpenLink,
        rng: random.Random,
        wall_time: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        """Create the components of an instance; background tasks start on context entry.

        Args:
          local_instance: The id, failure domain and peer address of this instance.
          open_configuration: Creates this instance's configuration, given the discovery of peers.
          signer: Signs and verifies session tokens.
          retries: The retry budget of the entry role.
          store: The platform's store.
          open_owner: Opens the owner role for a group, given its declaration and the rank.
          open_link: Opens a link to an address. Its second argument is a callback that the link
            calls whenever it breaks.
          rng: Random source for the choice of peers and for delays.
          wall_time: Returns seconds since the epoch, for the expiry of tokens.
        """
        self._local_instance = local_instance
        self._store = store
        self._loop_time = asyncio.get_running_loop().time
        self._log = loguru.logger.bind(component="node")
        self._leaving = False
        self._report_provider: collections.abc.Callable[[int], bytes] = lambda _minutes: b""
        self._applied_versions: tuple[int, int] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._owner_table = ownership.OwnerTable()
        self._owned_groups = owned_groups.OwnedGroups(open_owner)
        self._discovery = discovery.Discovery(
            local_instance=local_instance,
            open_link=open_link,
            local_digest=self.local_digest,
            on_digest=self._process_digest,
            on_view_change=self._update_ownership,
            on_endpoints_leaving=self._owned_groups.set_leaving_endpoints,
            rng=rng,
        )
        self._view = self._discovery.view
        self._links = self._discovery.links
        self._configuration = open_configuration(self._discovery)
        self._entry = entry.Entry(self._configuration, self, signer, retries, wall_time)

    @property
    def entry_role(self) -> entry.Entry:
        """The entry role of this instance."""
        return self._entry

    @property
    def view(self) -> membership.Membership:
        """The membership view of all instances."""
        return self._view

    @property
    def configuration(self) -> Configuration:
        """The configuration of this instance."""
        return self._configuration

    @property
    def group_views(self) -> tuple[interfaces.GroupView, ...]:
        """The state of each owned group, as its owner reports it."""
        return self._owned_groups.views

    @property
    def owner_counters(self) -> list[counters.GroupCounters]:
        """The counters of the groups that this instance owns."""
        return self._owned_groups.counters

    @property
    def member_connections(self) -> dict[str, int]:
        """The number of data connections to members, by state: "idle" and "leased"."""
        return self._owned_groups.connections

    async def __aenter__(self) -> "Node":
        self._configuration.on_change(self._update_ownership)
        self._update_ownership()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._supervise(self._configuration.run)),
            loop.create_task(self._supervise(self._discovery.send_digests)),
            loop.create_task(
                self._supervise(lambda: self._discovery.follow_instance_list(self._store))
            ),
        ]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        pending = set(self._tasks)
        while pending:
            # asyncio.wait_for may swallow a cancellation, so the tasks are cancelled repeatedly.
            for task in pending:
                task.cancel()
            _done, pending = await asyncio.wait(pending, timeout=_CANCEL_RETRY_INTERVAL_S)
        self._links.close()
        await self._owned_groups.close()

    async def leave(
        self, grace_s: float, has_open_work: collections.abc.Callable[[], bool]
    ) -> bool:
        """Refuse new requests and wait until open requests and transactions have ended.

        Args:
          grace_s: The maximum wait, in seconds.
          has_open_work: Returns whether requests or transactions of callers are open.
        Returns:
          Whether all requests and transactions ended, and all departure notices were sent, within
          the grace period.
        """
        deadline = self._loop_time() + grace_s
        self._leaving = True
        self._entry.leave()
        self._owned_groups.leave()
        self._view.remove_own(self._loop_time())
        self._update_ownership()
        self._log.info("Shutting down: new requests are refused")
        notices = asyncio.get_running_loop().create_task(self._discovery.send_departure_notices())
        while self._owned_groups.has_open_work or has_open_work() or not notices.done():
            if self._loop_time() >= deadline:
                notices.cancel()
                self._log.warning(
                    "Grace period ended; interrupting requests, transactions or departure notices"
                )
                return False
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        return True

    def owners(self, group: str) -> collections.abc.Sequence[str]:
        """Return the ids of the instances that own a group, in the order of their ranks."""
        return [candidate.instance for candidate in self._owner_table.owners_of(group)]

    def executor(self, instance_id: str) -> entry.Executor | None:
        """Return the executor of requests at an instance; None if the instance is unknown."""
        if instance_id == self._local_instance.id:
            return self._owned_groups
        instance = self._view.instance(instance_id)
        return None if instance is None else self._links.link_to(instance)

    async def execute_forwarded(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request that another instance received from a caller."""
        if not self._configuration.serving_allowed(self._loop_time()):
            reason = outcomes.NotRunReason.STALE_CONFIGURATION
            return outcomes.NotRun(reason, "the owner's configuration may be out of date")
        return await self._owned_groups.forward(request)

    def handle_digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Process a peer's digest or departure notice and return the local digest."""
        self._process_digest(sender)
        return self.local_digest()

    async def handle_pushed_head(self, sender: interfaces.Digest, head: bytes) -> None:
        """Process a configuration head that a peer accepted and pushed."""
        self._process_digest(sender)
        await self._configuration.receive_head(head)

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Return the current configuration, without the parts that the peer has."""
        return await self._configuration.build_transfer(known_parts)

    def set_report_provider(self, provider: collections.abc.Callable[[int], bytes]) -> None:
        """Set the function that returns the encoded report of this instance for operators."""
        self._report_provider = provider

    def report(self, minutes: int) -> bytes:
        """Return the encoded report of this instance with its latest minutes."""
        return self._report_provider(minutes)

    def peer_link(self, instance_id: str) -> interfaces.Peer | None:
        """Return the link to another instance; None if the instance is unknown."""
        instance = self._view.instance(instance_id)
        return None if instance is None else self._links.link_to(instance)

    async def _supervise(
        self, run_task: collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, None]]
    ) -> None:
        """Run an endless background task, and restart it if it fails."""
        while True:
            try:
                await run_task()
            except Exception:
                self._log.exception("A background task failed and will be restarted")
            await asyncio.sleep(_RESTART_DELAY_S)

    def local_digest(self) -> interfaces.Digest:
        """Return the digest that this instance sends to its peers."""
        contact_at = self._configuration.store_contact_at
        return interfaces.Digest(
            self._local_instance.id,
            self._local_instance.failure_domain,
            self._local_instance.address,
            self._leaving,
            self._configuration.version,
            None if contact_at is None else self._loop_time() - contact_at,
        )

    def _process_digest(self, digest: interfaces.Digest) -> None:
        instance = self._discovery.record_digest(digest)
        if digest.configuration_version > self._configuration.version:
            self._configuration.observe_peer_version(
                digest.configuration_version, self._links.link_to(instance)
            )

    def _update_ownership(self) -> None:
        """Open, re-rank and close owner roles after a change of membership or declarations."""
        if not self._view.list_received:
            # Before the platform's list has been received, the view may hold only this instance,
            # which would then own every group.
            return
        versions = (self._view.version, self._configuration.version)
        if versions == self._applied_versions:
            self._owned_groups.close_expired_roles(self._loop_time())
            return
        self._applied_versions = versions
        declared = self._configuration.declarations.groups
        self._owner_table.set_candidates(self._view.owner_candidates)
        self._owner_table.set_groups(declared.keys())
        self._links.retain_only({instance.id for instance in self._view.known_instances})
        ranks = {}
        for group in declared:
            owners = self.owners(group)
            if self._local_instance.id in owners:
                ranks[group] = owners.index(self._local_instance.id)
        self._owned_groups.update(declared, ranks)
