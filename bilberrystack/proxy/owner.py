"""The owner role for a database group, including the supervision of its primary."""

import collections.abc
import random

from bilberrystack.core import declarations
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import counters
from bilberrystack.proxy import group
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import supervisor

OpenMember = collections.abc.Callable[[declarations.MemberDeclaration], interfaces.Member]


class Owner:
    """The owner role for one group. Implements interfaces.GroupOwner.

    Owns the group, the supervisor of its primary and the links to its members.
    """

    __slots__ = ("_group", "_member_links", "_supervisor")

    def __init__(
        self,
        owned_group: group.Group,
        primary_supervisor: supervisor.Supervisor,
        member_links: dict[str, interfaces.Member],
    ) -> None:
        self._group = owned_group
        self._supervisor = primary_supervisor
        self._member_links = member_links

    @property
    def counters(self) -> counters.GroupCounters:
        """The counters of this owner."""
        return self._group.counters

    @property
    def connections(self) -> dict[str, int]:
        """The number of data connections to all members, by state: "idle" and "leased"."""
        return self._group.connections

    async def execute(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Run a request; see interfaces.GroupOwner."""
        return await self._group.execute(request)

    def set_rank(self, rank: int) -> None:
        """Set the owner's rank, from 0."""
        self._group.set_rank(rank)

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Set the addresses of leaving endpoints."""
        self._group.set_leaving_endpoints(addresses)
        self._supervisor.set_leaving_endpoints(addresses)

    def view(self) -> interfaces.GroupView:
        """Return the state of the group, as this owner knows it."""
        return self._group.view()

    async def close(self) -> None:
        """End the owner role and close the member links; open transactions are aborted."""
        await self._supervisor.close()
        await self._group.close()
        for link in self._member_links.values():
            link.close()


def open_owner(
    declaration: declarations.GroupDeclaration,
    rank: int,
    *,
    instance_id: str,
    failure_domain: str,
    open_member: OpenMember,
    rng: random.Random,
    on_change: supervisor.OnPrimaryChange = supervisor.ignore_primary_change,
) -> Owner:
    """Open the owner role for a group. Must be called on the running event loop.

    Args:
      declaration: The group's declaration.
      rank: The owner's rank, from 0.
      instance_id: The instance's id.
      failure_domain: The instance's failure domain.
      open_member: Opens a link to a declared member.
      rng: Random source for backoff delays.
      on_change: Called after every primary change that this owner made.
    Returns:
      The owner, which must be closed when the role ends.
    """
    member_links = {member.name: open_member(member) for member in declaration.members}
    owned_group = group.open_group(declaration, member_links, instance_id, failure_domain, rank)
    primary_supervisor = supervisor.Supervisor(
        owned_group, instance_id, failure_domain, rng, on_change
    )
    primary_supervisor.start()
    return Owner(owned_group, primary_supervisor, member_links)
