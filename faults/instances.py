"""Instances of the proxy put together with fakes instead of sockets."""

import collections.abc
import random
from typing import Any
from typing import Protocol

from bilberrystack.core import changes
from bilberrystack.core import declarations
from bilberrystack.core import errors
from bilberrystack.core import freshness
from bilberrystack.core import membership
from bilberrystack.core import reports
from bilberrystack.core import retries
from bilberrystack.core import tokens
from bilberrystack.proxy import acceptance
from bilberrystack.proxy import configuration
from bilberrystack.proxy import discovery
from bilberrystack.proxy import entry
from bilberrystack.proxy import fleet
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import node
from bilberrystack.proxy import owner
from faults import history
from faults import members
from faults import network
from faults import paused_loop
from faults import peers
from faults import store

CALLER = "caller"
TOKEN_KEYS = (b"a token key of thirty-two bytes!",)
STOP_GRACE_S = 30.0


class World(Protocol):
    """What an instance needs of the run that it is part of."""

    net: network.Network
    loop: paused_loop.PausedLoop
    record: history.History
    store: store.StoreServer
    by_address: dict[str, members.MemberServer]
    instances: dict[str, "ProxyInstance"]


class _Own:
    """What an instance tells the others about itself."""

    def __init__(self, own: node.Node) -> None:
        self._node = own

    def digest(self) -> interfaces.Digest:
        return self._node.local_digest()

    def report(self, minutes: int) -> reports.InstanceReport:
        raise NotImplementedError


class ProxyInstance:
    """One instance: its node and its configuration.

    Attributes:
      name: Its id, which is also its party.
      address: Its address for peers.
      requests: Requests of callers that it works on.
    """

    def __init__(self, world: World, name: str, failure_domain: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = f"{name}:9000"
        self.requests = 0
        self.node: node.Node | None = None
        self.configuration: configuration.Configuration | None = None
        self._acceptor: acceptance.Acceptor | None = None
        self._world = world
        self._randomness = random.Random(f"{name} {random.random()}")

    @property
    def leaving(self) -> bool:
        """Whether it refuses new work."""
        return self.node is None or self.node.entry_role.leaving

    @property
    def version(self) -> int:
        """The configuration version in force."""
        return 0 if self.configuration is None else self.configuration.version

    async def start(self) -> None:
        """Starts the instance; to be called as its own party."""
        world = self._world
        link = store.StoreLink(world.store, self.name)
        self.node = node.Node(
            local_instance=membership.Instance(self.name, self.failure_domain, self.address),
            open_configuration=lambda others: self._open_configuration(link, others),
            signer=tokens.Signer(TOKEN_KEYS),
            retries=retries.Budget(),
            store=link,
            open_owner=self._open_owner,
            open_link=self._open_link,
            rng=self._randomness,
            wall_time=world.loop.time,
        )
        assert self.configuration is not None
        others = fleet.Fleet(_Own(self.node), self.node.view, self.node.peer_link)
        self._acceptor = acceptance.Acceptor(
            link, self.configuration, others, freshness.may_accept_changes
        )
        await self.node.__aenter__()

    async def stop(self) -> None:
        """Stops the instance gracefully."""
        assert self.node is not None
        await self.node.leave(STOP_GRACE_S, lambda: self.requests > 0)
        await self.node.__aexit__()

    async def open_session(self, session: str) -> bytes:
        """Opens a session of the one caller. Raises LinkLost if the instance can't take it."""
        assert self.node is not None
        role = self.node.entry_role
        if role.leaving or not role.serving:
            raise interfaces.LinkLost(f"{self.name} takes no sessions", sent=False)
        return role.new_token(session, CALLER, True)

    async def execute(self, request: entry.CallerRequest) -> entry.Reply | errors.CallerError:
        """Runs a request of the one caller."""
        assert self.node is not None
        self.requests += 1
        try:
            return await self.node.entry_role.execute(CALLER, request)
        finally:
            self.requests -= 1

    async def accept(self, change: changes.Change) -> changes.ChangeOutcome:
        """Accepts an operator's change."""
        assert self._acceptor is not None
        return await self._acceptor.accept(change)

    def _open_configuration(
        self, link: interfaces.Store, others: discovery.Discovery
    ) -> configuration.Configuration:
        self.configuration = configuration.Configuration(
            link, others, freshness.may_serve, rng=self._randomness
        )
        self.configuration.on_change(self._applied)
        return self.configuration

    def _applied(self, *_document: declarations.Declarations) -> None:
        applied = history.Applied(self._world.loop.time(), self.name, self.version)
        self._world.record.applied.append(applied)

    def _open_owner(
        self, declaration: declarations.GroupDeclaration, rank: int
    ) -> interfaces.GroupOwner:
        return owner.open_owner(
            declaration,
            rank,
            instance_id=self.name,
            failure_domain=self.failure_domain,
            open_member=lambda one: members.MemberLink(
                self._world.by_address[one.address], self.name
            ),
            rng=self._randomness,
        )

    def _open_link(
        self, address: str, on_lost: collections.abc.Callable[[], None]
    ) -> interfaces.Peer:
        name = address.partition(":")[0]
        target = self._world.instances[name]

        def handler() -> Any:
            assert target.node is not None
            return target.node

        return peers.PeerLink(self._world.net, self.name, name, handler, on_lost)
