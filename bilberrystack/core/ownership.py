"""Which instances own a database group, by rendezvous hashing over the live instances."""

import collections.abc
import dataclasses
import hashlib

OWNERS_PER_GROUP = 3

# Connections of an owner of rank 1 or 2: one for control and one for data.
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
    """Returns how many connections an owner may hold to a member, the control one included.

    Args:
      limit: Connections that the member accepts.
      rank: The owner's rank, from 0.
    Returns:
      The share: half of the limit for rank 0, an eighth for the others.
    """
    divisor = 2 if rank == 0 else 8
    return max(MIN_CONNECTION_SHARE, limit // divisor)


def owners(group: str, candidates: collections.abc.Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Returns a group's owners by rank.

    The best instance of each failure domain comes before a second one of any domain.

    Args:
      group: The group's name.
      candidates: The live instances.
    Returns:
      Up to OWNERS_PER_GROUP instances.
    """
    ranked = sorted(candidates, key=lambda one: (score(group, one.instance), one.instance))
    domains: set[str] = set()
    first: list[Candidate] = []
    rest: list[Candidate] = []
    for candidate in ranked:
        chosen = rest if candidate.failure_domain in domains else first
        chosen.append(candidate)
        domains.add(candidate.failure_domain)
    return tuple((first + rest)[:OWNERS_PER_GROUP])


class OwnerTable:
    """Owners of many groups, updated when instances join or leave.

    A leaving instance costs hashes only for the groups that it owned, a joining one a hash per
    group: the owners after a join are among the former ones and the new instance.
    """

    __slots__ = ("_candidates", "_owners")

    def __init__(self) -> None:
        self._candidates: frozenset[Candidate] = frozenset()
        self._owners: dict[str, tuple[Candidate, ...]] = {}

    def set_candidates(self, candidates: collections.abc.Iterable[Candidate]) -> None:
        """Takes the live instances."""
        after = frozenset(candidates)
        joined = after - self._candidates
        left = self._candidates - after
        self._candidates = after
        if not joined and not left:
            return
        for group, before in self._owners.items():
            if left.isdisjoint(before):
                if joined:
                    self._owners[group] = owners(group, (*before, *joined))
            else:
                self._owners[group] = owners(group, after)

    def set_groups(self, groups: collections.abc.Collection[str]) -> None:
        """Takes the names of the declared groups; owners of others are forgotten."""
        for group in set(self._owners).difference(groups):
            del self._owners[group]
        for group in groups:
            if group not in self._owners:
                self._owners[group] = owners(group, self._candidates)

    def of(self, group: str) -> tuple[Candidate, ...]:
        """Returns a group's owners by rank; none for a group that is not declared."""
        return self._owners.get(group, ())


def score(group: str, instance: str) -> bytes:
    """Returns an instance's rendezvous score for a group; the lowest comes first."""
    text = f"{len(group)}:{group}{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
