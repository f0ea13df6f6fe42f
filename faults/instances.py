"""Proxy instances assembled with simulated links instead of sockets."""

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


class InstanceEnvironment(Protocol):
    """The parts of the simulation that an instance uses."""

    net: network.Network
    loop: paused_loop.PausedLoop
    record: history.History
    store: store.StoreServer
    servers_by_address: dict[str, members.MemberServer]
    instances: dict[str, "ProxyInstance"]


class _LocalReporter:
    """Source of an instance's own digest for the other instances."""

    def __init__(self, local_node: node.Node) -> None:
        self._node = local_node

    def digest(self) -> interfaces.Digest:
        return self._node.local_digest()

    def report(self, minutes: int) -> reports.InstanceReport:
        raise NotImplementedError


class ProxyInstance:
    """A proxy instance with its node and configuration.

    Attributes:
      name: Id of the instance, which also names its simulated process.
      failure_domain: Failure domain of the instance.
      address: Address for peers.
      requests_in_flight: Number of client requests in execution.
      node: Node of the instance; None before the start.
      configuration: Configuration of the instance; None before the start.
    """

    def __init__(self, environment: InstanceEnvironment, name: str, failure_domain: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = f"{name}:9000"
        self.requests_in_flight = 0
        self.node: node.Node | None = None
        self.configuration: configuration.Configuration | None = None
        self._acceptor: acceptance.Acceptor | None = None
        self._environment = environment
        self._rng = random.Random(f"{name} {random.random()}")

    @property
    def leaving(self) -> bool:
        """Whether the instance refuses new work."""
        return self.node is None or self.node.entry_role.leaving

    @property
    def version(self) -> int:
        """Configuration version in force; 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    async def start(self) -> None:
        """Start the instance; to be run in the context of its own process."""
        environment = self._environment
        link = store.StoreLink(environment.store, self.name)
        self.node = node.Node(
            local_instance=membership.Instance(self.name, self.failure_domain, self.address),
            open_configuration=lambda others: self._open_configuration(link, others),
            signer=tokens.Signer(TOKEN_KEYS),
            retries=retries.Budget(),
            store=link,
            open_owner=self._open_owner,
            open_link=self._open_link,
            rng=self._rng,
            wall_time=environment.loop.time,
        )
        assert self.configuration is not None
        others = fleet.Fleet(_LocalReporter(self.node), self.node.view, self.node.peer_link)
        self._acceptor = acceptance.Acceptor(
            link, self.configuration, others, freshness.may_accept_changes
        )
        await self.node.__aenter__()

    async def stop(self) -> None:
        """Stop the instance gracefully."""
        assert self.node is not None
        await self.node.leave(STOP_GRACE_S, lambda: self.requests_in_flight > 0)
        await self.node.__aexit__()

    async def open_session(self, session: str) -> bytes:
        """Open a session of the simulation's client account and return its token.

        Raises:
          LinkLost: The instance is leaving or not serving.
        """
        assert self.node is not None
        role = self.node.entry_role
        if role.leaving or not role.serving:
            raise interfaces.LinkLost(f"{self.name} accepts no sessions", sent=False)
        return role.new_token(session, CALLER, True)

    async def execute(self, request: entry.CallerRequest) -> entry.Reply | errors.CallerError:
        """Execute a request of the simulation's client account."""
        assert self.node is not None
        self.requests_in_flight += 1
        try:
            return await self.node.entry_role.execute(CALLER, request)
        finally:
            self.requests_in_flight -= 1

    async def accept_change(self, change: changes.Change) -> changes.ChangeOutcome:
        """Submit an operator's configuration change and return its outcome."""
        assert self._acceptor is not None
        return await self._acceptor.accept(change)

    def _open_configuration(
        self, link: interfaces.Store, others: discovery.Discovery
    ) -> configuration.Configuration:
        self.configuration = configuration.Configuration(
            link, others, freshness.may_serve, rng=self._rng
        )
        self.configuration.on_change(self._record_applied)
        return self.configuration

    def _record_applied(self, *_document: declarations.Declarations) -> None:
        applied = history.AppliedVersion(self._environment.loop.time(), self.name, self.version)
        self._environment.record.applied_versions.append(applied)

    def _open_owner(
        self, declaration: declarations.GroupDeclaration, rank: int
    ) -> interfaces.GroupOwner:
        return owner.open_owner(
            declaration,
            rank,
            instance_id=self.name,
            failure_domain=self.failure_domain,
            open_member=lambda member: members.MemberLink(
                self._environment.servers_by_address[member.address], self.name
            ),
            rng=self._rng,
        )

    def _open_link(
        self, address: str, on_lost: collections.abc.Callable[[], None]
    ) -> interfaces.Peer:
        name = address.partition(":")[0]
        target = self._environment.instances[name]

        def handler() -> Any:
            assert target.node is not None
            return target.node

        return peers.PeerLink(self._environment.net, self.name, name, handler, on_lost)
