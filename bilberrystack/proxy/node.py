"""One instance: its entry role, the groups that it owns, and its view of the other instances."""

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

_POLL_S = 0.02
_RESTART_PAUSE_S = 1.0
_CANCEL_AGAIN_S = 0.1


class Configuration(entry.ConfigurationView, Protocol):
    """The configuration as the node sees it."""

    @property
    def store_contact_at(self) -> float | None:
        """When the store last answered, in seconds of the runtime's clock; None if never."""

    def peer_has(self, version: int, peer: interfaces.Peer) -> None:
        """Tells that a peer has a version, so that a newer one can be fetched from it."""

    async def run(self) -> None:
        """Follows the store until cancelled."""

    async def receive_head(self, head: bytes) -> None:
        """Takes a head that a peer pushed."""

    async def transfer(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Returns the current configuration for a peer."""


class Node:
    """One instance. Use it as an asynchronous context manager.

    It runs until it is left: `leave` ends it gracefully, the end of the context at once.
    """

    __slots__ = (
        "_applied",
        "_configuration",
        "_discovery",
        "_entry",
        "_groups",
        "_leaving",
        "_links",
        "_log",
        "_loop_time",
        "_own",
        "_owners",
        "_reporter",
        "_store",
        "_tasks",
        "_view",
    )

    def __init__(
        self,
        *,
        own: membership.Instance,
        open_configuration: collections.abc.Callable[[discovery.Discovery], Configuration],
        signer: tokens.Signer,
        retries: entry.RetryBudget,
        store: interfaces.Store,
        open_owner: owned_groups.OpenOwner,
        open_link: links.OpenLink,
        chooser: random.Random,
        wall_time: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        """Puts an instance together; nothing runs before it is entered.

        Args:
          own: This instance's id, failure domain and address for peers.
          open_configuration: Opens the declarations in force here, given the other instances.
          signer: Signs and verifies session tokens.
          retries: The retry budget of the entry role.
          store: The platform's store.
          open_owner: Opens the owner role for a group with a rank.
          open_link: Opens a link to an address; the function that it gets is to be called whenever
            the link breaks.
          chooser: Chooses peers and randomises pauses.
          wall_time: Wall-clock seconds, for the lifetime of tokens.
        """
        self._own = own
        self._store = store
        self._loop_time = asyncio.get_running_loop().time
        self._log = loguru.logger.bind(component="node")
        self._leaving = False
        self._reporter: collections.abc.Callable[[int], bytes] = lambda _minutes: b""
        self._applied: tuple[int, int] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._owners = ownership.OwnerTable()
        self._groups = owned_groups.OwnedGroups(open_owner)
        self._discovery = discovery.Discovery(
            own=own,
            open_link=open_link,
            own_digest=self.own_digest,
            heard=self._heard,
            changed=self._apply,
            endpoints_leaving=self._groups.set_leaving_endpoints,
            chooser=chooser,
        )
        self._view = self._discovery.view
        self._links = self._discovery.links
        self._configuration = open_configuration(self._discovery)
        self._entry = entry.Entry(self._configuration, self, signer, retries, wall_time)

    @property
    def entry_role(self) -> entry.Entry:
        """The entry role."""
        return self._entry

    @property
    def view(self) -> membership.Membership:
        """The view of all instances."""
        return self._view

    @property
    def configuration(self) -> Configuration:
        """The declarations in force here."""
        return self._configuration

    @property
    def group_views(self) -> tuple[interfaces.GroupView, ...]:
        """What the owners of this instance know about their groups."""
        return self._groups.views

    @property
    def owner_counters(self) -> list[counters.GroupCounters]:
        """The counts of this instance's owners."""
        return self._groups.counters

    @property
    def member_connections(self) -> dict[str, int]:
        """The data connections to members, "idle" and "leased"."""
        return self._groups.connections

    async def __aenter__(self) -> "Node":
        self._configuration.on_change(self._apply)
        self._apply()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._keep_running(self._configuration.run)),
            loop.create_task(self._keep_running(self._discovery.send_digests)),
            loop.create_task(self._keep_running(lambda: self._discovery.watch_list(self._store))),
        ]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        pending = set(self._tasks)
        while pending:
            # asyncio.wait_for may swallow a cancellation, so it is repeated.
            for task in pending:
                task.cancel()
            _done, pending = await asyncio.wait(pending, timeout=_CANCEL_AGAIN_S)
        self._links.close()
        await self._groups.close()

    async def leave(self, grace_s: float, busy: collections.abc.Callable[[], bool]) -> bool:
        """Stops taking new work and waits until everything open has ended.

        Args:
          grace_s: The longest time to wait, in seconds.
          busy: Tells whether requests or transactions of callers are open.
        Returns:
          Whether everything ended in time.
        """
        deadline = self._loop_time() + grace_s
        self._leaving = True
        self._entry.leave()
        self._groups.leave()
        self._view.remove_own(self._loop_time())
        self._apply()
        self._log.info("Leaving: no new work is taken")
        notices = asyncio.get_running_loop().create_task(self._discovery.send_leaving())
        while self._groups.busy or busy() or not notices.done():
            if self._loop_time() >= deadline:
                notices.cancel()
                self._log.warning("Requests or transactions are still open after the grace period")
                return False
            await asyncio.sleep(_POLL_S)
        return True

    def owners(self, group: str) -> collections.abc.Sequence[str]:
        """Returns the ids of the instances that own a group, by rank."""
        return [candidate.instance for candidate in self._owners.owners_of(group)]

    def executor(self, instance_id: str) -> entry.Executor | None:
        """Returns the way to an instance; None if it is not known."""
        if instance_id == self._own.id:
            return self._groups
        instance = self._view.instance(instance_id)
        return None if instance is None else self._links.to(instance)

    async def forwarded(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request that another instance took from a caller."""
        if not self._configuration.serving_allowed(self._loop_time()):
            reason = outcomes.NotRunReason.STALE_CONFIGURATION
            return outcomes.NotRun(reason, "the owner's configuration may be out of date")
        return await self._groups.forward(request)

    def digest(self, sender: interfaces.Digest) -> interfaces.Digest:
        """Takes a peer's digest, a leaving one too, and returns the own one."""
        self._heard(sender)
        return self.own_digest()

    async def push_head(self, sender: interfaces.Digest, head: bytes) -> None:
        """Takes a head of the configuration that a peer accepted."""
        self._heard(sender)
        await self._configuration.receive_head(head)

    async def fetch_configuration(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Returns the current configuration for a peer."""
        return await self._configuration.transfer(known_parts)

    def set_reporter(self, reporter: collections.abc.Callable[[int], bytes]) -> None:
        """Takes what returns this instance's encoded report to operators."""
        self._reporter = reporter

    def report(self, minutes: int) -> bytes:
        """Returns this instance's encoded report to operators."""
        return self._reporter(minutes)

    def peer(self, instance_id: str) -> interfaces.Peer | None:
        """Returns the link to another instance; None if it is not known."""
        instance = self._view.instance(instance_id)
        return None if instance is None else self._links.to(instance)

    async def _keep_running(
        self, job: collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, None]]
    ) -> None:
        """Runs a job that has no end; a defect in it must not silently end it."""
        while True:
            try:
                await job()
            except Exception:
                self._log.exception("A background job failed and starts again")
            await asyncio.sleep(_RESTART_PAUSE_S)

    def own_digest(self) -> interfaces.Digest:
        """Returns what this instance tells its peers about itself."""
        contact_at = self._configuration.store_contact_at
        return interfaces.Digest(
            self._own.id,
            self._own.failure_domain,
            self._own.address,
            self._leaving,
            self._configuration.version,
            None if contact_at is None else self._loop_time() - contact_at,
        )

    def _heard(self, digest: interfaces.Digest) -> None:
        instance = self._discovery.take_digest(digest)
        if digest.configuration_version > self._configuration.version:
            self._configuration.peer_has(digest.configuration_version, self._links.to(instance))

    def _apply(self) -> None:
        """Brings the owned groups in line with the membership and the declarations."""
        if not self._view.list_received:
            # Until it has read the platform's list, this instance would take every group.
            return
        versions = (self._view.version, self._configuration.version)
        if versions == self._applied:
            self._groups.expire(self._loop_time())
            return
        self._applied = versions
        declared = self._configuration.declarations.groups
        self._owners.set_candidates(self._view.owner_candidates)
        self._owners.set_groups(declared.keys())
        self._links.keep_only({instance.id for instance in self._view.known_instances})
        ranks = {}
        for group in declared:
            owners = self.owners(group)
            if self._own.id in owners:
                ranks[group] = owners.index(self._own.id)
        self._groups.update(declared, ranks)
