"""What instances report to operators, and its combination over all instances."""

import collections
import collections.abc
import dataclasses

import msgspec
from returns import result

from bilberrystack.core import burn
from bilberrystack.core import declarations
from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import problems


class MemberReport(msgspec.Struct, frozen=True):
    """A member as an owner sees it.

    Attributes:
      name: Its declared name.
      role: "primary", "replica" or "unknown".
      term: The highest term that it has promised; None if it never answered.
      position: Its last log position as text; empty if it never answered.
      behind: Log entries between it and the primary; None if that is not known.
      leaving: Whether its endpoint is leaving.
      age_s: Seconds since its last answer; None if it never answered.
    """

    name: str
    role: str
    term: int | None
    position: str
    behind: int | None
    leaving: bool
    age_s: float | None


class GroupReport(msgspec.Struct, frozen=True):
    """A group as one of its owners sees it.

    Attributes:
      group: Its declared name.
      rank: The owner's rank, from 0.
      primary: The primary's name; None if there is none.
      primary_age_s: Seconds since the primary's role began, or since this owner first saw it; None
        if that is not known.
      term: The highest promised term seen.
      confirmed: The highest confirmed position as text.
      members: The members.
      queue_depth: Requests that wait.
      in_flight: Requests at members.
      open_transactions: Transactions that this owner has pinned.
      last_change: Who decided the last change of primary, and why; empty if none is known.
    """

    group: str
    rank: int
    primary: str | None
    primary_age_s: float | None
    term: int
    confirmed: str
    members: tuple[MemberReport, ...]
    queue_depth: int
    in_flight: int
    open_transactions: int
    last_change: str


class InstanceReport(msgspec.Struct, frozen=True):
    """What one instance reports about itself.

    Attributes:
      instance: Its id.
      failure_domain: Its failure domain.
      leaving: Whether it is leaving.
      serving: Whether it serves requests under its configuration.
      accepting: Whether it has heard from enough failure domains to accept changes.
      configuration_version: The configuration version in force at it.
      store_contact_age_s: Seconds since the store answered it; None if never.
      callers: Open connections of callers.
      groups: The groups that it owns.
      refusals: Requests refused since its start, by reason.
      unknowns: Requests with an unknown outcome since its start, by reason.
      minutes: Its latest minutes.
    """

    instance: str
    failure_domain: str
    leaving: bool
    serving: bool
    accepting: bool
    configuration_version: int
    store_contact_age_s: float | None
    callers: int
    groups: tuple[GroupReport, ...] = ()
    refusals: dict[str, int] = {}
    unknowns: dict[str, int] = {}
    minutes: tuple[burn.Minute, ...] = ()


_DECODER = msgspec.msgpack.Decoder(InstanceReport)


def encode(report: InstanceReport) -> bytes:
    """Encodes an instance's report for a peer."""
    return msgspec.msgpack.encode(report)


def decode(content: bytes) -> result.Result[InstanceReport, problems.Problem]:
    """Decodes a peer's report, or returns why it is malformed."""
    try:
        return result.Success(_DECODER.decode(content))
    except msgspec.DecodeError as error:
        return result.Failure(problems.Problem("report", "", f"is malformed: {error}"))


def member_report(
    name: str,
    status: members.MemberStatus | None,
    age_s: float | None,
    primary: str | None,
    primary_position: positions.Position | None,
) -> MemberReport:
    """Returns the report about a member.

    Args:
      name: Its declared name.
      status: Its latest status; None if it never answered.
      age_s: Seconds since its last answer; None if it never answered.
      primary: The primary's name; None if there is none.
      primary_position: The primary's last log position; None if it is not known.
    """
    if status is None:
        return MemberReport(name, "unknown", None, "", None, False, age_s)
    behind = None
    # Indices of different terms can't be compared.
    if primary_position is not None and primary_position.term == status.last_log.term:
        behind = max(0, primary_position.index - status.last_log.index)
    return MemberReport(
        name,
        "primary" if name == primary else "replica",
        status.promised_term,
        str(status.last_log),
        behind,
        status.leaving,
        age_s,
    )


class InstanceStatus(msgspec.Struct, frozen=True):
    """An instance in the status of all.

    Attributes:
      instance: Its id.
      failure_domain: Its failure domain.
      state: "serving", "leaving", "refusing" or "unreachable".
      configuration_version: The version in force at it; None if it is unreachable.
      store_contact_age_s: Seconds since the store answered it.
      owns: The groups that it owns, each with its rank.
      callers: Open connections of callers.
      accepting: Whether it accepts operators' changes.
      age_s: Seconds since its report was asked for; None if it is unreachable.
    """

    instance: str
    failure_domain: str
    state: str
    configuration_version: int | None
    store_contact_age_s: float | None
    owns: dict[str, int]
    callers: int
    accepting: bool
    age_s: float | None


class GroupStatus(msgspec.Struct, frozen=True):
    """A group in the status of all.

    Attributes:
      group: Its declared name.
      report: The report of its best informed owner; None if no owner answered.
      owner: The instance that the report comes from; empty if no owner answered.
      age_s: Seconds since that report was asked for; None if no owner answered.
    """

    group: str
    report: GroupReport | None
    owner: str
    age_s: float | None


class Status(msgspec.Struct, frozen=True):
    """The status of all groups and instances.

    Attributes:
      answered_by: The instance that collected it.
      configuration_version: The version in force at that instance.
      groups: All declared groups.
      instances: All known instances.
      refusals: Requests refused since the instances' starts, by reason.
      unknowns: Requests with an unknown outcome since the instances' starts, by reason.
    """

    answered_by: str
    configuration_version: int
    groups: tuple[GroupStatus, ...]
    instances: tuple[InstanceStatus, ...]
    refusals: dict[str, int]
    unknowns: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Collected:
    """The answer of one instance.

    Attributes:
      instance: Its id.
      failure_domain: Its failure domain.
      report: Its report; None if it did not answer.
      asked_at: When it was asked, in seconds of the runtime's clock.
    """

    instance: str
    failure_domain: str
    report: InstanceReport | None
    asked_at: float


def combine(
    own: str,
    declared: declarations.Declarations,
    collected: collections.abc.Sequence[Collected],
    now: float,
) -> Status:
    """Combines the reports of all instances.

    Args:
      own: The id of the collecting instance.
      declared: The declarations in force at it.
      collected: The answers of all instances.
      now: Seconds of the runtime's clock.
    Returns:
      The status.
    """
    refusals: collections.Counter[str] = collections.Counter()
    unknowns: collections.Counter[str] = collections.Counter()
    views: dict[str, list[tuple[GroupReport, Collected]]] = collections.defaultdict(list)
    for one in collected:
        if one.report is None:
            continue
        refusals.update(one.report.refusals)
        unknowns.update(one.report.unknowns)
        for group in one.report.groups:
            views[group.group].append((group, one))
    return Status(
        own,
        declared.version,
        tuple(_group_status(name, views.get(name, ()), now) for name in sorted(declared.groups)),
        tuple(
            _instance_status(one, now) for one in sorted(collected, key=lambda one: one.instance)
        ),
        dict(refusals),
        dict(unknowns),
    )


def _group_status(
    name: str, views: collections.abc.Sequence[tuple[GroupReport, Collected]], now: float
) -> GroupStatus:
    if not views:
        return GroupStatus(name, None, "", None)
    # Of two views the one with the higher term is newer; in one term rank 0 knows most.
    best, source = max(views, key=lambda view: (view[0].term, -view[0].rank))
    return GroupStatus(name, best, source.instance, now - source.asked_at)


def _instance_status(one: Collected, now: float) -> InstanceStatus:
    report = one.report
    if report is None:
        return InstanceStatus(
            one.instance, one.failure_domain, "unreachable", None, None, {}, 0, False, None
        )
    state = "serving" if report.serving else "refusing"
    return InstanceStatus(
        one.instance,
        one.failure_domain,
        "leaving" if report.leaving else state,
        report.configuration_version,
        report.store_contact_age_s,
        {group.group: group.rank for group in report.groups},
        report.callers,
        report.accepting,
        now - one.asked_at,
    )
