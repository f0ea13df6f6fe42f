"""Status reports of instances for operators, and their combination over all instances."""

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
    """State of a member as known to an owner of its group.

    Attributes:
      name: Declared name of the member.
      role: "primary", "replica" or "unknown".
      term: Highest term that the member has promised; None if it has never answered.
      position: Last log position as text; empty if the member has never answered.
      behind: Number of log entries by which the member is behind the primary; None if unknown.
      leaving: Whether the member's endpoint is leaving.
      age_s: Seconds since the member's last answer; None if it has never answered.
    """

    name: str
    role: str
    term: int | None
    position: str
    behind: int | None
    leaving: bool
    age_s: float | None


class GroupReport(msgspec.Struct, frozen=True):
    """State of a group as known to one of its owners.

    Attributes:
      group: Declared name of the group.
      rank: Rank of the owner, from 0.
      primary: Name of the primary; None if there is none.
      primary_age_s: Seconds since the member became primary, or since this owner first observed it
        as primary; None if unknown.
      term: Highest promised term that this owner has observed.
      confirmed: Highest confirmed position as text.
      members: State of the members.
      queue_depth: Number of queued requests.
      in_flight: Number of requests sent to members and not answered.
      open_transactions: Number of transactions pinned to this owner.
      last_change: Instance that decided the last primary change, and the reason; empty if unknown.
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
    """Status report of one instance.

    Attributes:
      instance: Id of the instance.
      failure_domain: Failure domain of the instance.
      leaving: Whether the instance is leaving.
      serving: Whether its configuration is recent enough to serve requests.
      accepting: Whether it has recent contact to enough failure domains to accept changes.
      configuration_version: Configuration version in force at the instance.
      store_contact_age_s: Seconds since the store's last answer; None if it has never answered.
      callers: Number of open connections of callers.
      groups: State of the groups that the instance owns.
      refusals: Number of requests refused since the instance's start, by reason.
      unknowns: Number of requests with an unknown outcome since the instance's start, by reason.
      minutes: Counts of the latest minutes.
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
    minutes: tuple[burn.MinuteCounts, ...] = ()


_DECODER = msgspec.msgpack.Decoder(InstanceReport)


def encode(report: InstanceReport) -> bytes:
    """Encodes an instance's report for transmission to a peer."""
    return msgspec.msgpack.encode(report)


def decode(content: bytes) -> result.Result[InstanceReport, problems.Problem]:
    """Returns the decoded report of a peer, or the reason why it is malformed."""
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
    """Creates the report about a member.

    Args:
      name: Declared name of the member.
      status: Latest status report of the member; None if it has never answered.
      age_s: Seconds since the member's last answer; None if it has never answered.
      primary: Name of the primary; None if there is none.
      primary_position: Last log position of the primary; None if unknown.
    """
    if status is None:
        return MemberReport(name, "unknown", None, "", None, False, age_s)
    behind = None
    # Indexes of different terms are not comparable.
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
    """State of one instance in the combined status.

    Attributes:
      instance: Id of the instance.
      failure_domain: Failure domain of the instance.
      state: "serving", "leaving", "refusing" or "unreachable".
      configuration_version: Configuration version in force at the instance; None if it is
        unreachable.
      store_contact_age_s: Seconds since the store's last answer to the instance; None if it has
        never answered or the instance is unreachable.
      owns: Rank of the instance in each group that it owns, by group name.
      callers: Number of open connections of callers.
      accepting: Whether the instance accepts operators' changes.
      age_s: Seconds since the instance's report was requested; None if it is unreachable.
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
    """State of one group in the combined status.

    Attributes:
      group: Declared name of the group.
      report: Report of the owner with the most recent information; None if no owner answered.
      owner: Id of the instance that sent the report; empty if no owner answered.
      age_s: Seconds since the report was requested; None if no owner answered.
    """

    group: str
    report: GroupReport | None
    owner: str
    age_s: float | None


class Status(msgspec.Struct, frozen=True):
    """Combined status of all groups and instances.

    Attributes:
      answered_by: Id of the instance that collected the status.
      configuration_version: Configuration version in force at that instance.
      groups: State of all declared groups.
      instances: State of all known instances.
      refusals: Number of requests refused since the instances' starts, by reason.
      unknowns: Number of requests with an unknown outcome since the instances' starts, by reason.
    """

    answered_by: str
    configuration_version: int
    groups: tuple[GroupStatus, ...]
    instances: tuple[InstanceStatus, ...]
    refusals: dict[str, int]
    unknowns: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReply:
    """Reply of one instance to a request for its status report.

    Attributes:
      instance: Id of the instance.
      failure_domain: Failure domain of the instance.
      report: Report of the instance; None if it did not answer.
      requested_at: Time of the request, in seconds of the event loop's clock.
    """

    instance: str
    failure_domain: str
    report: InstanceReport | None
    requested_at: float


def combine_reports(
    own_id: str,
    declared: declarations.Declarations,
    replies: collections.abc.Sequence[InstanceReply],
    now: float,
) -> Status:
    """Combines the reports of all instances.

    Args:
      own_id: Id of the collecting instance.
      declared: Declarations in force at the collecting instance.
      replies: Replies of all instances.
      now: Seconds of the event loop's clock.
    Returns:
      The combined status.
    """
    refusals: collections.Counter[str] = collections.Counter()
    unknowns: collections.Counter[str] = collections.Counter()
    group_reports: dict[str, list[tuple[GroupReport, InstanceReply]]] = collections.defaultdict(
        list
    )
    for reply in replies:
        if reply.report is None:
            continue
        refusals.update(reply.report.refusals)
        unknowns.update(reply.report.unknowns)
        for group in reply.report.groups:
            group_reports[group.group].append((group, reply))
    return Status(
        own_id,
        declared.version,
        tuple(
            _group_status(name, group_reports.get(name, ()), now)
            for name in sorted(declared.groups)
        ),
        tuple(
            _instance_status(reply, now)
            for reply in sorted(replies, key=lambda reply: reply.instance)
        ),
        dict(refusals),
        dict(unknowns),
    )


def _group_status(
    name: str, candidates: collections.abc.Sequence[tuple[GroupReport, InstanceReply]], now: float
) -> GroupStatus:
    if not candidates:
        return GroupStatus(name, None, "", None)
    # A report with a higher term is newer; among reports of one term, the lowest rank knows most.
    best, source = max(candidates, key=lambda candidate: (candidate[0].term, -candidate[0].rank))
    return GroupStatus(name, best, source.instance, now - source.requested_at)


def _instance_status(reply: InstanceReply, now: float) -> InstanceStatus:
    report = reply.report
    if report is None:
        return InstanceStatus(
            reply.instance, reply.failure_domain, "unreachable", None, None, {}, 0, False, None
        )
    state = "serving" if report.serving else "refusing"
    return InstanceStatus(
        reply.instance,
        reply.failure_domain,
        "leaving" if report.leaving else state,
        report.configuration_version,
        report.store_contact_age_s,
        {group.group: group.rank for group in report.groups},
        report.callers,
        report.accepting,
        now - reply.requested_at,
    )
