"""Which instances hold connections to a group's members; the others forward to them.

A member accepts a limited number of connections from all instances together. While that gives each
instance a useful share, all of them own every group. With more instances as many own a group as get
a useful share: in turn from each failure domain, the largest machines first, by rendezvous hashing.
"""

import collections
import collections.abc
import itertools

from bilberrystack.core import ownership
from bilberrystack.routing import model

# Part of a member's connections that is left free, for restarts: connections of an instance that
# lost power linger for 3 s.
RESERVED_PART = 0.1

# Fewer connections than this are no useful share: a transaction that rests would hold them all.
USEFUL_SHARE = 2

# Connections of each owner where not all instances own a group.
OWNER_SHARE = 3


def share(max_connections: int, owners: int) -> int:
    """Returns how many connections an owner holds to each member.

    Args:
      max_connections: What a member accepts from all instances together.
      owners: How many instances share them.
    """
    return max(1, int(max_connections * (1 - RESERVED_PART)) // max(1, owners))


def count(max_connections: int, instances: int) -> int:
    """Returns how many instances own a group.

    Args:
      max_connections: What a member accepts from all instances together.
      instances: How many instances there are.
    """
    if share(max_connections, instances) >= USEFUL_SHARE:
        return instances
    usable = int(max_connections * (1 - RESERVED_PART))
    return max(1, min(instances, usable // OWNER_SHARE))


def choose(
    service: model.Service, instances: collections.abc.Collection[model.Instance]
) -> tuple[model.Instance, ...]:
    """Returns a group's owners, in turn from each failure domain and the largest machines first.

    Owners do most of the work, and each of few sees more of a member's load than each of many.

    Args:
      service: The group.
      instances: All instances.
    """
    number = count(service.max_connections, len(instances))
    if number >= len(instances):
        return tuple(instances)
    domains: dict[str, list[model.Instance]] = collections.defaultdict(list)
    for one in sorted(
        instances,
        key=lambda one: (-one.cores, ownership.score(service.name, one.name), one.name),
    ):
        domains[one.failure_domain].append(one)
    ordered = [domains[name] for name in sorted(domains)]
    turns = itertools.chain.from_iterable(itertools.zip_longest(*ordered))
    return tuple(one for one in turns if one is not None)[:number]
