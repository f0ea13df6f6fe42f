"""The owner roles of one instance, which follow membership and declarations."""

import asyncio
import collections
import collections.abc
import dataclasses
from typing import Protocol
from typing import runtime_checkable

import loguru

from bilberrystack.core import declarations
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces

OpenOwner = collections.abc.Callable[[declarations.GroupDeclaration, int], interfaces.GroupOwner]

# An owner role that lost its rank is retained for this time. Other instances may still forward
# requests to it until they learn of the change, and a rank regained within this time needs no new
# connections.
ROLE_RETENTION_S = 5.0

# Maximum time for open requests and transactions of a role to end before it is closed.
DRAIN_GRACE_S = 30.0

_DRAIN_POLL_INTERVAL_S = 0.05

# The rank of a retained role: the smallest share of connections and the lowest heartbeat rate.
_RETAINED_ROLE_RANK = 2


@runtime_checkable
class _CountingOwner(Protocol):
    """An owner that maintains counters."""

    @property
    def counters(self) -> counters.GroupCounters: ...

    @property
    def connections(self) -> dict[str, int]: ...


@dataclasses.dataclass(eq=False, slots=True)
class _Role:
    """The owner role for one group.

    Attributes:
      declaration: The group's declaration at the time the role was opened.
      owner: The group owner.
      rank: The owner's rank, from 0.
      lost_at: The time at which this instance lost its rank, in seconds of the event loop's clock;
        None while it has one.
      in_flight: The number of requests that the owner is executing.
    """

    declaration: declarations.GroupDeclaration
    owner: interfaces.GroupOwner
    rank: int
    lost_at: float | None = None
    in_flight: int = 0

    @property
    def has_open_work(self) -> bool:
        """Whether the role has open requests or transactions."""
        return self.in_flight > 0 or self.owner.view().open_transactions > 0

    async def execute(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request, counted in `in_flight` until it ends."""
        self.in_flight += 1
        try:
            return await self.owner.execute(request)
        finally:
            self.in_flight -= 1


class OwnedGroups:
    """The owner roles of one instance; must be closed when the instance stops."""

    __slots__ = (
        "_drain_tasks",
        "_draining",
        "_leaving",
        "_leaving_endpoints",
        "_log",
        "_loop_time",
        "_open_owner",
        "_roles",
    )

    def __init__(self, open_owner: OpenOwner) -> None:
        """Create an empty set of owner roles.

        Args:
          open_owner: Opens the owner role for a group, given its declaration and the rank.
        """
        self._open_owner = open_owner
        self._roles: dict[str, _Role] = {}
        self._draining: dict[str, list[_Role]] = {}
        self._leaving = False
        self._leaving_endpoints: frozenset[str] = frozenset()
        self._loop_time = asyncio.get_running_loop().time
        self._drain_tasks: set[asyncio.Task[None]] = set()
        self._log = loguru.logger.bind(component="ownership")

    @property
    def views(self) -> tuple[interfaces.GroupView, ...]:
        """The state of each owned group, as its owner reports it."""
        return tuple(role.owner.view() for role in self._roles.values())

    @property
    def counters(self) -> list[counters.GroupCounters]:
        """The counters of all owners that maintain them."""
        return [owner.counters for owner in self._counting_owners()]

    @property
    def connections(self) -> collections.Counter[str]:
        """The number of data connections to members, by state: "idle" and "leased"."""
        total: collections.Counter[str] = collections.Counter()
        for owner in self._counting_owners():
            total.update(owner.connections)
        return total

    @property
    def has_open_work(self) -> bool:
        """Whether any owner of this instance has open requests or transactions."""
        draining = (role for roles in self._draining.values() for role in roles)
        return any(role.has_open_work for role in (*self._roles.values(), *draining))

    def _counting_owners(self) -> list[_CountingOwner]:
        owners = (role.owner for role in self._roles.values())
        return [owner for owner in owners if isinstance(owner, _CountingOwner)]

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request; refuse it as not run if this instance does not own its group."""
        if request.transaction is not None:
            return await self._continue_transaction(request)
        if self._leaving:
            return outcomes.NotRun(outcomes.NotRunReason.LEAVING, "the owner is stopping")
        role = self._roles.get(request.group)
        if role is None:
            reason = outcomes.NotRunReason.OWNER_UNREACHABLE
            return outcomes.NotRun(reason, f"this instance does not own group {request.group}")
        return await role.execute(request)

    def update(
        self,
        declared: collections.abc.Mapping[str, declarations.GroupDeclaration],
        ranks: collections.abc.Mapping[str, int],
    ) -> None:
        """Open, re-rank or end roles to match the declarations and this instance's ranks.

        Args:
          declared: All declared groups by name.
          ranks: The rank of this instance in each group that it owns, by group name.
        """
        now = self._loop_time()
        for group, role in list(self._roles.items()):
            if group not in declared:
                self._start_draining(group)
            elif group not in ranks and role.lost_at is None:
                self._mark_lost(role, now)
        for group, rank in ranks.items():
            self._open_or_update(declared[group], rank)
        self.close_expired_roles(now)

    def close_expired_roles(self, now: float) -> None:
        """End the roles whose retention has passed; must be called about once per second."""
        for group, role in list(self._roles.items()):
            if role.lost_at is not None and (
                self._leaving or now - role.lost_at >= ROLE_RETENTION_S
            ):
                self._start_draining(group)

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Set the addresses of leaving endpoints at all owners, current and future."""
        self._leaving_endpoints = addresses
        for role in self._roles.values():
            role.owner.set_leaving_endpoints(addresses)

    def leave(self) -> None:
        """Refuse new requests; requests of open transactions are still accepted."""
        self._leaving = True

    async def close(self) -> None:
        """Close all owners immediately; open transactions are aborted."""
        for task in self._drain_tasks:
            task.cancel()
        draining = [role for roles in self._draining.values() for role in roles]
        roles = [*self._roles.values(), *draining]
        self._roles.clear()
        self._draining.clear()
        await asyncio.gather(*(role.owner.close() for role in roles))

    async def _continue_transaction(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request at the role that holds its transaction, including draining roles."""
        aborted = outcomes.NotRunReason.TRANSACTION_ABORTED
        outcome: outcomes.Outcome = outcomes.NotRun(aborted, "the transaction is not open here")
        for role in list(self._draining.get(request.group, ())):
            outcome = await role.execute(request)
            if not (isinstance(outcome, outcomes.NotRun) and outcome.reason is aborted):
                return outcome
        current_role = self._roles.get(request.group)
        return outcome if current_role is None else await current_role.execute(request)

    def _open_or_update(self, declaration: declarations.GroupDeclaration, rank: int) -> None:
        """Open the role for a group, or update the rank of the open role."""
        role = self._roles.get(declaration.name)
        if role is not None and role.declaration.members != declaration.members:
            self._start_draining(declaration.name)
            role = None
        if role is None:
            owner = self._open_owner(declaration, rank)
            owner.set_leaving_endpoints(self._leaving_endpoints)
            self._roles[declaration.name] = _Role(declaration, owner, rank)
            self._log.info("Opened the owner role of group {} with rank {}", declaration.name, rank)
            return
        role.lost_at = None
        if role.rank != rank:
            role.rank = rank
            role.owner.set_rank(rank)

    def _mark_lost(self, role: _Role, now: float) -> None:
        role.lost_at = now
        if role.rank != _RETAINED_ROLE_RANK:
            role.rank = _RETAINED_ROLE_RANK
            role.owner.set_rank(_RETAINED_ROLE_RANK)

    def _start_draining(self, group: str) -> None:
        """Remove a role and close it once its open requests and transactions have ended."""
        role = self._roles.pop(group)
        self._draining.setdefault(group, []).append(role)
        task = asyncio.get_running_loop().create_task(self._drain(group, role))
        self._drain_tasks.add(task)
        task.add_done_callback(self._drain_tasks.discard)

    async def _drain(self, group: str, role: _Role) -> None:
        deadline = self._loop_time() + DRAIN_GRACE_S
        while role.has_open_work and self._loop_time() < deadline:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        roles = self._draining[group]
        roles.remove(role)
        if not roles:
            del self._draining[group]
        await role.owner.close()
        self._log.info("Closed the owner role of group {}", group)
