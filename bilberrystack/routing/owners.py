"""Selection of the owners of a database group.

An owner is an instance that holds connections to the group's members; all other instances forward
statements to an owner. A member limits the connections that it accepts from all instances together.
If the limit gives each instance a useful share, every instance owns every group. Otherwise a group
has only as many owners as can hold several connections to each member. Owners are taken in turn
from each failure domain, the machines with the most cores first, and by rendezvous hashing between
machines of equal size.
"""

import collections
import collections.abc
import itertools

from bilberrystack.core import ownership
from bilberrystack.routing import model

# Fraction of a member's connection limit that is kept free for restarts: the member counts the
# connections of an instance that lost power for another 3 s.
RESERVED_FRACTION = 0.1

# Smallest useful share of connections per member: an idle open transaction would occupy the only
# connection of a smaller share.
MIN_CONNECTIONS_PER_OWNER = 2

# Connections per member and owner if only some of the instances own a group.
TARGET_CONNECTIONS_PER_OWNER = 3

# The same where each connection belongs to one client account: with fewer connections an account
# would seldom find one of its own.
TARGET_ACCOUNT_CONNECTIONS_PER_OWNER = 12

# The same where the instances are in several regions. A connection to a member in another region is
# in use for at least the round trip, so that few instances, most of them near the members, use the
# members' connections best.
TARGET_REGIONAL_CONNECTIONS_PER_OWNER = 6

# Owners of a group where connections belong to accounts, at least: the loss of one must not cost
# the group more than a third of its connections.
MIN_ACCOUNT_OWNERS = 3


def connections_per_owner(max_connections: int, owners: int) -> int:
    """Returns how many connections an owner holds to each member.

    Args:
      max_connections: Connections that a member accepts from all instances together.
      owners: Number of instances that share them.
    """
    return max(1, int(max_connections * (1 - RESERVED_FRACTION)) // max(1, owners))


def owner_count(max_connections: int, instances: int) -> int:
    """Returns how many instances own a group.

    Args:
      max_connections: Connections that a member accepts from all instances together.
      instances: Number of running instances.
    """
    if connections_per_owner(max_connections, instances) >= MIN_CONNECTIONS_PER_OWNER:
        return instances
    usable = int(max_connections * (1 - RESERVED_FRACTION))
    return max(1, min(instances, usable // TARGET_CONNECTIONS_PER_OWNER))


def account_owner_count(max_connections: int, instances: int) -> int:
    """Returns how many instances own a group whose connections belong to client accounts.

    Args:
      max_connections: Connections that a member accepts from all instances together.
      instances: Number of running instances.
    """
    usable = int(max_connections * (1 - RESERVED_FRACTION))
    wanted = max(MIN_ACCOUNT_OWNERS, usable // TARGET_ACCOUNT_CONNECTIONS_PER_OWNER)
    return max(1, min(instances, usable, wanted))


def regional_owner_count(max_connections: int, instances: int, regions: int) -> int:
    """Returns how many instances own a group if the instances are in several regions.

    Args:
      max_connections: Connections that a member accepts from all instances together.
      instances: Number of running instances.
      regions: Number of regions.
    """
    usable = int(max_connections * (1 - RESERVED_FRACTION))
    wanted = max(2 * regions, usable // TARGET_REGIONAL_CONNECTIONS_PER_OWNER)
    return max(1, min(instances, usable, wanted))


def choose(
    service: model.Service,
    instances: collections.abc.Collection[model.Instance],
    *,
    accounts_enabled: bool = False,
    regions: collections.abc.Mapping[str, str] | None = None,
) -> tuple[model.Instance, ...]:
    """Returns a group's owners, in turn from each failure domain, largest machines first.

    Owners do most of the work. With fewer owners, each one observes a larger part of a member's
    load.

    Args:
      service: The group.
      instances: All running instances.
      accounts_enabled: Whether connections belong to client accounts.
      regions: Region of each failure domain; None or a single region for no distinction.
    """
    regions = regions or {}
    by_region: dict[str, list[model.Instance]] = collections.defaultdict(list)
    for instance in instances:
        by_region[regions.get(instance.failure_domain, "")].append(instance)
    limit = service.max_connections
    if accounts_enabled:
        target_count = account_owner_count(limit, len(instances))
    elif len(by_region) > 1:
        target_count = regional_owner_count(limit, len(instances), len(by_region))
    else:
        target_count = owner_count(limit, len(instances))
    if target_count >= len(instances):
        return tuple(instances)
    if len(by_region) == 1:
        return _choose_in_domains(service, instances, target_count)
    # Members are no weight: their loss would move owners when connections are scarcest.
    shares = _divide(target_count, {region: len(by_region[region]) for region in sorted(by_region)})
    return tuple(
        owner
        for region, count in shares.items()
        for owner in _choose_in_domains(service, by_region[region], count)
    )


def _divide(count: int, weights: collections.abc.Mapping[str, int]) -> dict[str, int]:
    """Returns how many owners each region has: one at least, then in proportion to weights."""
    shares = dict.fromkeys(weights, 1)
    for _ in range(count - len(weights)):
        neediest = max(weights, key=lambda region: (weights[region] / shares[region], region))
        shares[neediest] += 1
    return shares


def _choose_in_domains(
    service: model.Service, instances: collections.abc.Iterable[model.Instance], count: int
) -> tuple[model.Instance, ...]:
    """Returns instances in turn from each failure domain, largest machines first."""
    domains: dict[str, list[model.Instance]] = collections.defaultdict(list)
    for instance in sorted(
        instances,
        key=lambda instance: (
            -instance.cores,
            ownership.score(service.name, instance.name),
            instance.name,
        ),
    ):
        domains[instance.failure_domain].append(instance)
    by_domain = [domains[name] for name in sorted(domains)]
    interleaved = itertools.chain.from_iterable(itertools.zip_longest(*by_domain))
    return tuple(instance for instance in interleaved if instance is not None)[:count]


def ranked_for_account(
    account: str, owners: collections.abc.Iterable[model.Instance]
) -> tuple[model.Instance, ...]:
    """Returns a group's owners in the order in which an account's statements prefer them.

    All instances that know the same owners return the same order, so that the connections of an
    account are at one owner. The order does not depend on the group: groups that share owners count
    an account's operations at the same one. With its quota divided among four owners an account of
    3 operations per second was refused 4 to 19% of them, with one owner at most 4% (a trial).

    Args:
      account: Name of the account.
      owners: The group's owners.
    """
    return tuple(
        sorted(owners, key=lambda owner: (ownership.score(account, owner.name), owner.name))
    )
