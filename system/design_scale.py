"""Costs at the design scale that can be measured in one process: the views, and their changes."""

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

INSTANCES = 660
GROUPS = 800
CALLERS = 800
DOMAINS = 11
CHANGES_PER_DAY = 1100
REPLACEMENTS_PER_DAY = 180
SECONDS_PER_DAY = 86_400

app = cyclopts.App(name="design_scale", help=__doc__)


def document() -> declarations.Declarations:
    """Returns declarations of the design scale: one caller for each group."""
    groups = {}
    callers = {}
    for number in range(GROUPS):
        name = f"diary-store-{number}"
        members = tuple(
            declarations.MemberDeclaration(
                f"{name}-{place}",
                f"10.{place}.{number // 250}.{number % 250}:7001",
                f"domain-{(number + place) % DOMAINS}",
                16,
                2,
            )
            for place in range(3)
        )
        groups[name] = declarations.GroupDeclaration(name, members)
        caller = f"caller-{number}"
        callers[caller] = declarations.CallerDeclaration(caller, (f"{number:064x}",), (name,))
    return declarations.Declarations(1, groups, callers)


def instances(first: int = 0) -> dict[membership.Instance, membership.InstanceState]:
    """Returns a list of instances of the design scale."""
    return {
        membership.Instance(
            f"instance-{number}",
            f"domain-{number % DOMAINS}",
            f"10.9.{number // 250}.{number % 250}:7401",
        ): membership.InstanceState.LIVE
        for number in range(first, first + INSTANCES)
    }


@dataclasses.dataclass(slots=True)
class Views:
    """What a node keeps of the whole site."""

    document: declarations.Declarations
    head: parts.Head
    contents: dict[str, bytes]
    membership: membership.Membership
    owners: ownership.OwnerTable


def build() -> Views:
    """Builds the views of one node."""
    whole = document()
    digests, contents = parts.encode_parts(whole)
    head = parts.next_head(parts.EMPTY_HEAD, digests, "operation-0", "0" * 16)
    listed = instances()
    view = membership.Membership(next(iter(listed)), 0.0)
    view.update_platform_list(0.0, listed)
    owners = ownership.OwnerTable()
    owners.set_candidates(view.owner_candidates)
    owners.set_groups(whole.groups.keys())
    return Views(whole, head, contents, view, owners)


def replace_one(views: Views) -> float:
    """Returns the seconds that one replaced instance costs a node."""
    listed = instances(first=1)
    started = time.perf_counter()
    views.membership.update_platform_list(1.0, listed)
    views.owners.set_candidates(views.membership.owner_candidates)
    return time.perf_counter() - started


@app.default
def main() -> None:
    """Prints the costs."""
    tracemalloc.start()
    views = build()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"views of {INSTANCES} instances and {GROUPS} groups: {memory / 2**20:.1f} MB")
    head_bytes = len(parts.encode_head(views.head))
    part_bytes = sum(map(len, views.contents.values())) / len(views.contents)
    print(f"head {head_bytes} bytes, mean part {part_bytes:.0f} bytes")
    daily = CHANGES_PER_DAY * (head_bytes + part_bytes)
    print(f"configuration changes: {daily / SECONDS_PER_DAY:.0f} bytes/s")
    entry = discovery.ListedInstance(
        "instance-659", "proxy", "10.9.2.159:7401", "domain-10", "live"
    )
    list_bytes = INSTANCES * len(msgspec.json.encode(entry))
    # A replacement changes the list twice: one instance leaves, one comes.
    listed = 2 * REPLACEMENTS_PER_DAY * list_bytes / SECONDS_PER_DAY
    print(f"instance list {list_bytes} bytes, its changes: {listed:.0f} bytes/s")
    print(f"one replaced instance: {replace_one(views) * 1000:.1f} ms of processor time")


if __name__ == "__main__":
    app()
