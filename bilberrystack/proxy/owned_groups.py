"""The database groups that this instance owns: opened, ranked and closed as the views change."""

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

# An owner that lost its rank serves on for this time. Other instances learn of the change later,
# and a rank that comes back soon costs no connections.
LINGER_S = 5.0

# Time for requests and transactions of a role that ends.
GRACE_S = 30.0

_POLL_S = 0.05

# The rank of an owner that lingers: the smallest share of connections, the fewest heartbeats.
_LINGERING_RANK = 2


@runtime_checkable
class _Counted(Protocol):
    """An owner that keeps counts."""

    @property
    def counters(self) -> counters.GroupCounters: ...

    @property
    def connections(self) -> dict[str, int]: ...


@dataclasses.dataclass(eq=False, slots=True)
class _Role:
    """The owner role for one group.

    Attributes:
      declaration: The declaration that it was opened with.
      owner: The owner.
      rank: Its rank.
      lost_at: When this instance stopped being one of the group's owners; None while it is.
      in_flight: Requests that the owner executes now.
    """

    declaration: declarations.GroupDeclaration
    owner: interfaces.GroupOwner
    rank: int
    lost_at: float | None = None
    in_flight: int = 0

    @property
    def busy(self) -> bool:
        """Whether requests or transactions are open."""
        return self.in_flight > 0 or self.owner.view().open_transactions > 0

    async def execute(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request and counts it while it runs."""
        self.in_flight += 1
        try:
            return await self.owner.execute(request)
        finally:
            self.in_flight -= 1


class OwnedGroups:
    """The owner roles of one instance. Close it when the instance ends."""

    __slots__ = (
        "_draining",
        "_leaving",
        "_leaving_endpoints",
        "_log",
        "_loop_time",
        "_open_owner",
        "_roles",
        "_tasks",
    )

    def __init__(self, open_owner: OpenOwner) -> None:
        """Takes the factory of owners, which gets a declaration and a rank."""
        self._open_owner = open_owner
        self._roles: dict[str, _Role] = {}
        self._draining: dict[str, list[_Role]] = {}
        self._leaving = False
        self._leaving_endpoints: frozenset[str] = frozenset()
        self._loop_time = asyncio.get_running_loop().time
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = loguru.logger.bind(component="ownership")

    @property
    def views(self) -> tuple[interfaces.GroupView, ...]:
        """What the owners of this instance know about their groups."""
        return tuple(role.owner.view() for role in self._roles.values())

    @property
    def counters(self) -> list[counters.GroupCounters]:
        """The counts of all owners that keep counts."""
        return [owner.counters for owner in self._counted()]

    @property
    def connections(self) -> collections.Counter[str]:
        """The data connections of all owners that keep counts, "idle" and "leased"."""
        total: collections.Counter[str] = collections.Counter()
        for owner in self._counted():
            total.update(owner.connections)
        return total

    @property
    def busy(self) -> bool:
        """Whether requests or transactions are open at any owner of this instance."""
        draining = (role for roles in self._draining.values() for role in roles)
        return any(role.busy for role in (*self._roles.values(), *draining))

    def _counted(self) -> list[_Counted]:
        owners = (role.owner for role in self._roles.values())
        return [owner for owner in owners if isinstance(owner, _Counted)]

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request of a group that this instance owns; refuses others as not run."""
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
        """Takes the declared groups and the ranks that this instance has now.

        Args:
          declared: All declared groups by name.
          ranks: The rank by name for the groups that this instance owns.
        """
        now = self._loop_time()
        for group, role in list(self._roles.items()):
            if group not in declared:
                self._end(group)
            elif group not in ranks and role.lost_at is None:
                self._lose(role, now)
        for group, rank in ranks.items():
            self._take(declared[group], rank)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Ends the roles that were lost long enough ago; to be called about once per second."""
        for group, role in list(self._roles.items()):
            if role.lost_at is not None and (self._leaving or now - role.lost_at >= LINGER_S):
                self._end(group)

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Tells all owners which endpoints are leaving."""
        self._leaving_endpoints = addresses
        for role in self._roles.values():
            role.owner.set_leaving_endpoints(addresses)

    def leave(self) -> None:
        """Refuses new requests from now on; transactions can be continued until they end."""
        self._leaving = True

    async def close(self) -> None:
        """Closes all owners at once; open transactions are aborted."""
        for task in self._tasks:
            task.cancel()
        draining = [role for roles in self._draining.values() for role in roles]
        roles = [*self._roles.values(), *draining]
        self._roles.clear()
        self._draining.clear()
        await asyncio.gather(*(role.owner.close() for role in roles))

    async def _continue_transaction(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request of a transaction at the role that began it, which may have ended."""
        aborted = outcomes.NotRunReason.TRANSACTION_ABORTED
        outcome: outcomes.Outcome = outcomes.NotRun(aborted, "the transaction is not open here")
        for role in list(self._draining.get(request.group, ())):
            outcome = await role.execute(request)
            if not (isinstance(outcome, outcomes.NotRun) and outcome.reason is aborted):
                return outcome
        role_now = self._roles.get(request.group)
        return outcome if role_now is None else await role_now.execute(request)

    def _take(self, declaration: declarations.GroupDeclaration, rank: int) -> None:
        """Opens the role for a group, or gives the open one its rank."""
        role = self._roles.get(declaration.name)
        if role is not None and role.declaration.members != declaration.members:
            self._end(declaration.name)
            role = None
        if role is None:
            owner = self._open_owner(declaration, rank)
            owner.set_leaving_endpoints(self._leaving_endpoints)
            self._roles[declaration.name] = _Role(declaration, owner, rank)
            self._log.info("Opened group {} with rank {}", declaration.name, rank)
            return
        role.lost_at = None
        if role.rank != rank:
            role.rank = rank
            role.owner.set_rank(rank)

    def _lose(self, role: _Role, now: float) -> None:
        role.lost_at = now
        if role.rank != _LINGERING_RANK:
            role.rank = _LINGERING_RANK
            role.owner.set_rank(_LINGERING_RANK)

    def _end(self, group: str) -> None:
        """Lets a role finish what is open and closes it then."""
        role = self._roles.pop(group)
        self._draining.setdefault(group, []).append(role)
        task = asyncio.get_running_loop().create_task(self._drain(group, role))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drain(self, group: str, role: _Role) -> None:
        deadline = self._loop_time() + GRACE_S
        while role.busy and self._loop_time() < deadline:
            await asyncio.sleep(_POLL_S)
        roles = self._draining[group]
        roles.remove(role)
        if not roles:
            del self._draining[group]
        await role.owner.close()
        self._log.info("Closed group {}", group)
