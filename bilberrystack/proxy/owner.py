"""The owner role for a database group together with the supervision of its primary."""

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
    """Implements interfaces.GroupOwner; owns the group, its supervisor and the member links."""

    __slots__ = ("_group", "_links", "_supervisor")

    def __init__(
        self,
        owned: group.Group,
        supervising: supervisor.Supervisor,
        links: dict[str, interfaces.Member],
    ) -> None:
        self._group = owned
        self._supervisor = supervising
        self._links = links

    @property
    def counters(self) -> counters.GroupCounters:
        """The counts of this owner."""
        return self._group.counters

    @property
    def connections(self) -> dict[str, int]:
        """The data connections to all members, "idle" and "leased"."""
        return self._group.connections

    async def execute(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request; see interfaces.GroupOwner."""
        return await self._group.execute(request)

    def set_rank(self, rank: int) -> None:
        """Changes the owner's rank."""
        self._group.set_rank(rank)

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Tells which endpoint addresses are leaving."""
        self._group.set_leaving_endpoints(addresses)
        self._supervisor.set_leaving_endpoints(addresses)

    def view(self) -> interfaces.GroupView:
        """Returns what this owner knows about the group."""
        return self._group.view()

    async def close(self) -> None:
        """Ends the role; open transactions are aborted."""
        await self._supervisor.close()
        await self._group.close()
        for link in self._links.values():
            link.close()


def open_owner(
    declaration: declarations.GroupDeclaration,
    rank: int,
    *,
    instance_id: str,
    failure_domain: str,
    open_member: OpenMember,
    randomness: random.Random,
    on_change: supervisor.OnPrimaryChange = supervisor.ignore_primary_change,
) -> Owner:
    """Begins the owner role for a group. To be called on the running loop.

    Args:
      declaration: The group.
      rank: The owner's rank, from 0.
      instance_id: The instance's id.
      failure_domain: The instance's failure domain.
      open_member: Opens a link to a declared member.
      randomness: The source of backoff times.
      on_change: Called after every change of primary that this owner made.
    Returns:
      The owner; close it at the end of the role.
    """
    links = {one.name: open_member(one) for one in declaration.members}
    owned = group.open_group(declaration, links, instance_id, failure_domain, rank)
    supervising = supervisor.Supervisor(owned, instance_id, failure_domain, randomness, on_change)
    supervising.start()
    return Owner(owned, supervising, links)
