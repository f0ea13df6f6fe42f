"""Measures the size and the update cost of one node's view of a site at the design scale."""

import dataclasses
import time
import tracemalloc

import cyclopts
import msgspec

from bilberrystack.core import declarations
from bilberrystack.core import membership
from bilberrystack.core import ownership
from bilberrystack.core import parts
from bilberrystack.proxy import discovery

INSTANCE_COUNT = 660
GROUP_COUNT = 800
CALLER_COUNT = 800
DOMAIN_COUNT = 11
CHANGES_PER_DAY = 1100
REPLACEMENTS_PER_DAY = 180
SECONDS_PER_DAY = 86_400

app = cyclopts.App(name="design_scale", help=__doc__)


def build_declarations() -> declarations.Declarations:
    """Returns declarations of the design scale, with one caller for each group."""
    groups = {}
    callers = {}
    for number in range(GROUP_COUNT):
        name = f"diary-store-{number}"
        members = tuple(
            declarations.MemberDeclaration(
                f"{name}-{place}",
                f"10.{place}.{number // 250}.{number % 250}:7001",
                f"domain-{(number + place) % DOMAIN_COUNT}",
                16,
                2,
            )
            for place in range(3)
        )
        groups[name] = declarations.GroupDeclaration(name, members)
        caller = f"caller-{number}"
        callers[caller] = declarations.CallerDeclaration(caller, (f"{number:064x}",), (name,))
    return declarations.Declarations(1, groups, callers)


def list_instances(
    first_number: int = 0,
) -> dict[membership.Instance, membership.InstanceState]:
    """Returns the platform's list of instances at the design scale.

    Args:
      first_number: Number of the first instance in the list.
    """
    return {
        membership.Instance(
            f"instance-{number}",
            f"domain-{number % DOMAIN_COUNT}",
            f"10.9.{number // 250}.{number % 250}:7401",
        ): membership.InstanceState.LIVE
        for number in range(first_number, first_number + INSTANCE_COUNT)
    }


@dataclasses.dataclass(slots=True)
class SiteView:
    """State that a node keeps about the whole site.

    Attributes:
      declared: The declarations in force.
      head: Head of the configuration.
      contents: Contents of the configuration's parts, by digest.
      known_instances: Instances that the node knows.
      owners: Owners of all groups.
    """

    declared: declarations.Declarations
    head: parts.Head
    contents: dict[str, bytes]
    known_instances: membership.Membership
    owners: ownership.OwnerTable


def build_view() -> SiteView:
    """Returns the view of one node."""
    declared = build_declarations()
    digests, contents = parts.encode_parts(declared)
    head = parts.next_head(parts.EMPTY_HEAD, digests, "operation-0", "0" * 16)
    listed = list_instances()
    known_instances = membership.Membership(next(iter(listed)), 0.0)
    known_instances.update_platform_list(0.0, listed)
    owners = ownership.OwnerTable()
    owners.set_candidates(known_instances.owner_candidates)
    owners.set_groups(declared.groups.keys())
    return SiteView(declared, head, contents, known_instances, owners)


def measure_replacement_s(view: SiteView) -> float:
    """Returns the seconds in which a node processes the replacement of one instance."""
    listed = list_instances(first_number=1)
    started_at_s = time.perf_counter()
    view.known_instances.update_platform_list(1.0, listed)
    view.owners.set_candidates(view.known_instances.owner_candidates)
    return time.perf_counter() - started_at_s


@app.default
def main() -> None:
    """Measures and prints the costs."""
    tracemalloc.start()
    view = build_view()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"views of {INSTANCE_COUNT} instances and {GROUP_COUNT} groups:"
        f" {memory_bytes / 2**20:.1f} MB"
    )
    head_bytes = len(parts.encode_head(view.head))
    part_bytes = sum(map(len, view.contents.values())) / len(view.contents)
    print(f"head {head_bytes} bytes, mean part {part_bytes:.0f} bytes")
    daily_bytes = CHANGES_PER_DAY * (head_bytes + part_bytes)
    print(f"configuration changes: {daily_bytes / SECONDS_PER_DAY:.0f} bytes/s")
    listed_instance = discovery.ListedInstance(
        "instance-659", "proxy", "10.9.2.159:7401", "domain-10", "live"
    )
    list_bytes = INSTANCE_COUNT * len(msgspec.json.encode(listed_instance))
    # A replacement changes the list twice: one instance is removed and one is added.
    list_bytes_per_s = 2 * REPLACEMENTS_PER_DAY * list_bytes / SECONDS_PER_DAY
    print(f"instance list {list_bytes} bytes, its changes: {list_bytes_per_s:.0f} bytes/s")
    print(f"one replaced instance: {measure_replacement_s(view) * 1000:.1f} ms of processor time")


if __name__ == "__main__":
    app()
