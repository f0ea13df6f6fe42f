"""Validation of complete sets of declarations. All problems are reported, not only the first."""

import collections
import collections.abc
import ipaddress
import re

from returns import result

from bilberrystack.core import declarations
from bilberrystack.core import problems

NAME_RULE = "must be 1 to 63 lower-case letters, digits, dots or hyphens and begin with no mark"
MAX_AGE_LIMIT_MS = 24 * 3600 * 1000

# Maximum number of members of a group. More members make each acknowledgement wait for more answers
# without tolerating more of the failures that occur in practice.
MAX_MEMBERS = 9
MAX_SECRETS = 2

# Minimum number of connections that a member accepts. The owner of rank 0 uses half of them, the
# owners of ranks 1 and 2 an eighth each and at least two. Below 8 connections, the sum exceeds the
# limit.
MIN_CONNECTIONS = 8

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")

Problems = tuple[problems.Problem, ...]


def validate(
    new: declarations.Declarations, current: declarations.Declarations
) -> result.Result[declarations.Declarations, Problems]:
    """Validates a complete set of declarations.

    Args:
      new: The set to validate.
      current: The set in force, which limits the changes of members.
    Returns:
      The new set, or all problems.
    """
    found_problems = [
        *_check_groups(new.groups),
        *_check_unique_addresses(new.groups),
        *_check_callers(new),
        *_check_targets(new.targets),
        *_check_member_changes(new.groups, current.groups),
    ]
    return result.Failure(tuple(found_problems)) if found_problems else result.Success(new)


def groups_with_changed_members(
    new: declarations.Declarations, current: declarations.Declarations
) -> list[str]:
    """Returns the names of the groups that are declared in both sets with different members."""
    common = new.groups.keys() & current.groups.keys()
    return sorted(
        name
        for name in common
        if _addresses_by_member(new.groups[name]) != _addresses_by_member(current.groups[name])
    )


def _check_name(field: str, name: str) -> collections.abc.Iterator[problems.Problem]:
    if not _NAME.fullmatch(name):
        yield problems.Problem(field, repr(name), NAME_RULE)


def _check_range(
    field: str, value: float, lower: float, upper: float
) -> collections.abc.Iterator[problems.Problem]:
    if not lower <= value <= upper:
        yield problems.Problem(field, str(value), f"must be from {lower} to {upper}")


def _check_groups(
    groups: dict[str, declarations.GroupDeclaration],
) -> collections.abc.Iterator[problems.Problem]:
    for name, group in groups.items():
        field = f"groups.{name}"
        yield from _check_name(f"{field}.name", name)
        if group.name != name:
            yield problems.Problem(f"{field}.name", repr(group.name), "must equal its key")
        yield from _check_range(f"{field}.members", len(group.members), 1, MAX_MEMBERS)
        yield from _check_range(
            f"{field}.default_max_age_ms", group.default_max_age_ms, 0, MAX_AGE_LIMIT_MS
        )
        names = collections.Counter(member.name for member in group.members)
        for member in group.members:
            yield from _check_member(f"{field}.members.{member.name}", member)
        for duplicate in (name for name, count in names.items() if count > 1):
            rule = "must be unique inside the group"
            yield problems.Problem(f"{field}.members.{duplicate}.name", repr(duplicate), rule)


def _check_member(
    field: str, member: declarations.MemberDeclaration
) -> collections.abc.Iterator[problems.Problem]:
    yield from _check_name(f"{field}.name", member.name)
    yield from _check_name(f"{field}.failure_domain", member.failure_domain)
    if not _is_address(member.address):
        rule = "must be an IP number and a port from 1 to 65535"
        yield problems.Problem(f"{field}.address", repr(member.address), rule)
    yield from _check_range(f"{field}.slots", member.slots, 1, 10_000)
    yield from _check_range(f"{field}.connections", member.connections, MIN_CONNECTIONS, 1_000_000)
    # The share of the owner of rank 0 includes the control connection.
    if member.connections // 2 - 1 < member.slots:
        rule = f"half of it less one must be at least the {member.slots} slots"
        yield problems.Problem(f"{field}.connections", str(member.connections), rule)


def _is_address(text: str) -> bool:
    host, _separator, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 1 <= int(port) <= 65535):
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def _check_unique_addresses(
    groups: dict[str, declarations.GroupDeclaration],
) -> collections.abc.Iterator[problems.Problem]:
    fields_by_address = collections.defaultdict(list)
    for name, group in groups.items():
        for member in group.members:
            fields_by_address[member.address].append(f"groups.{name}.members.{member.name}.address")
    for address, fields in fields_by_address.items():
        for field in fields[1:]:
            yield problems.Problem(field, repr(address), f"is already the value of {fields[0]}")


def _check_callers(new: declarations.Declarations) -> collections.abc.Iterator[problems.Problem]:
    for name, caller in new.callers.items():
        field = f"callers.{name}"
        yield from _check_name(f"{field}.name", name)
        if caller.name != name:
            yield problems.Problem(f"{field}.name", repr(caller.name), "must equal its key")
        yield from _check_range(f"{field}.secret_sha256", len(caller.secret_sha256), 1, MAX_SECRETS)
        for digest in caller.secret_sha256:
            if not _SHA256.fullmatch(digest):
                # The value may be an unhashed secret and must not appear in messages.
                rule = "must be 64 lower-case hexadecimal digits"
                yield problems.Problem(f"{field}.secret_sha256", "****", rule)
        yield from _check_grants(field, caller, new.groups)


def _check_grants(
    field: str,
    caller: declarations.CallerDeclaration,
    groups: dict[str, declarations.GroupDeclaration],
) -> collections.abc.Iterator[problems.Problem]:
    for group, count in collections.Counter(caller.groups).items():
        if group not in groups:
            yield problems.Problem(f"{field}.groups", repr(group), "is not a declared group")
        if count > 1:
            yield problems.Problem(f"{field}.groups", repr(group), "must be named once")


def _check_targets(targets: declarations.Targets) -> collections.abc.Iterator[problems.Problem]:
    yield from _check_range("targets.replica_read_share", targets.replica_read_share, 0, 1)
    yield from _check_range("targets.unknown_outcome_share", targets.unknown_outcome_share, 0, 1)
    yield from _check_range("targets.failover_gap_ms", targets.failover_gap_ms, 1, 3_600_000)


def _addresses_by_member(group: declarations.GroupDeclaration) -> dict[str, str]:
    return {member.name: member.address for member in group.members}


def _check_member_changes(
    new: dict[str, declarations.GroupDeclaration],
    current: dict[str, declarations.GroupDeclaration],
) -> collections.abc.Iterator[problems.Problem]:
    """Yields the changes of members that are not allowed.

    Only one member may be added or removed at a time: majorities of two member sets that differ by
    one member always have a member in common.
    """
    for name in new.keys() & current.keys():
        current_addresses = _addresses_by_member(current[name])
        new_addresses = _addresses_by_member(new[name])
        changed = current_addresses.keys() ^ new_addresses.keys()
        if len(changed) > 1:
            rule = "one member may be added or removed at a time"
            yield problems.Problem(f"groups.{name}.members", ", ".join(sorted(changed)), rule)
        for member in current_addresses.keys() & new_addresses.keys():
            if current_addresses[member] != new_addresses[member]:
                field = f"groups.{name}.members.{member}.address"
                rule = (
                    f"can't change from {current_addresses[member]}; "
                    "remove the member, then add a new one"
                )
                yield problems.Problem(field, repr(new_addresses[member]), rule)
