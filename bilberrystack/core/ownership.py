"""Assignment of database groups to owner instances by rendezvous hashing."""

import collections.abc
import dataclasses
import hashlib

OWNERS_PER_GROUP = 3

# Minimum number of connections of an owner to a member: one control and one data connection.
MIN_CONNECTION_SHARE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live instance that can own groups.

    Attributes:
      instance: The instance's id.
      failure_domain: Its failure domain.
    """

    instance: str
    failure_domain: str


def connection_share(limit: int, rank: int) -> int:
    """Returns the number of connections that an owner may hold to a member.

    The number includes the control connection.

    Args:
      limit: Number of connections that the member accepts.
      rank: The owner's rank, from 0.
    Returns:
      Half of the limit for rank 0, an eighth for other ranks, at least MIN_CONNECTION_SHARE.
    """
    divisor = 2 if rank == 0 else 8
    return max(MIN_CONNECTION_SHARE, limit // divisor)


def owners(group: str, candidates: collections.abc.Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Returns a group's owners in the order of their ranks.

    The instance with the lowest score of each failure domain ranks before all other instances.

    Args:
      group: The group's declared name.
      candidates: The live instances.
    Returns:
      Up to OWNERS_PER_GROUP instances.
    """
    ranked = sorted(
        candidates, key=lambda candidate: (score(group, candidate.instance), candidate.instance)
    )
    domains: set[str] = set()
    first_per_domain: list[Candidate] = []
    remaining: list[Candidate] = []
    for candidate in ranked:
        target = remaining if candidate.failure_domain in domains else first_per_domain
        target.append(candidate)
        domains.add(candidate.failure_domain)
    return tuple((first_per_domain + remaining)[:OWNERS_PER_GROUP])


class OwnerTable:
    """Owners of the declared groups, updated incrementally when instances join or leave.

    After a departure only the groups that the instance owned are hashed again. After a join only
    the previous owners and the new instance of each group are hashed, because the new owners are
    among them.
    """

    __slots__ = ("_candidates", "_owners")

    def __init__(self) -> None:
        self._candidates: frozenset[Candidate] = frozenset()
        self._owners: dict[str, tuple[Candidate, ...]] = {}

    def set_candidates(self, candidates: collections.abc.Iterable[Candidate]) -> None:
        """Sets the live instances and updates the owners of all groups."""
        updated = frozenset(candidates)
        joined = updated - self._candidates
        left = self._candidates - updated
        self._candidates = updated
        if not joined and not left:
            return
        for group, previous_owners in self._owners.items():
            if left.isdisjoint(previous_owners):
                if joined:
                    self._owners[group] = owners(group, (*previous_owners, *joined))
            else:
                self._owners[group] = owners(group, updated)

    def set_groups(self, groups: collections.abc.Collection[str]) -> None:
        """Sets the names of the declared groups and removes the owners of all other groups."""
        for group in set(self._owners).difference(groups):
            del self._owners[group]
        for group in groups:
            if group not in self._owners:
                self._owners[group] = owners(group, self._candidates)

    def owners_of(self, group: str) -> tuple[Candidate, ...]:
        """Returns a group's owners in the order of their ranks; empty for an undeclared group."""
        return self._owners.get(group, ())


def score(group: str, instance: str) -> bytes:
    """Returns an instance's rendezvous score for a group; the lowest score ranks first."""
    text = f"{len(group)}:{group}{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
