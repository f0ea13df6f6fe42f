"""Tables of the status and of the service-level burn."""

import collections.abc

from bilberrystack.cli import output
from bilberrystack.core import burn
from bilberrystack.core import reports


def show(status: reports.Status) -> None:
    """Shows the status of all groups and instances."""
    title = f"Version {status.configuration_version} at {status.answered_by}"
    output.print_table(
        f"Groups. {title}",
        ("group", "primary", "since", "term", "behind", "queue", "last change", "source", "age"),
        (_group_row(one) for one in status.groups),
    )
    output.print_table(
        "Instances",
        (
            "instance",
            "failure domain",
            "state",
            "version",
            "store",
            "owns",
            "callers",
            "changes",
            "age",
        ),
        (_instance_row(one) for one in status.instances),
    )
    if status.refusals or status.unknowns:
        rows = [("not run", reason, count) for reason, count in sorted(status.refusals.items())]
        rows += [("unknown", reason, count) for reason, count in sorted(status.unknowns.items())]
        output.print_table("Since the instances' starts", ("outcome", "reason", "requests"), rows)


def show_burn(found: burn.BurnReport) -> None:
    """Shows the burn of all objectives."""
    title = f"Service levels of {found.answered} of {found.instances} instances"
    columns = (
        "objective",
        "target",
        f"{found.short_minutes} min",
        "burn",
        f"{found.long_minutes} min",
        "burn",
        "state",
    )
    rows = [
        (
            one.objective.value,
            value_text(one.objective, one.target),
            value_text(one.objective, one.short.value),
            rate_text(one.short.rate),
            value_text(one.objective, one.long.value),
            rate_text(one.long.rate),
            "BURNING" if one.is_alerting else "ok",
        )
        for one in found.burns
    ]
    output.print_table(title, columns, rows)
    if found.hours is None:
        output.note("the store does not answer; the hourly history is missing")


def value_text(objective: burn.Objective, value: float | None) -> str:
    """Returns a target or a value of an objective as text."""
    if value is None:
        return "-"
    if objective is burn.Objective.FAILOVER_GAP:
        return f"{value:.0f} ms"
    return f"{value:.4%}"


def rate_text(rate: float) -> str:
    """Returns a burn rate as text."""
    return "no budget" if rate >= burn.MAX_BURN_RATE else f"{rate:.2f}"


def _group_row(one: reports.GroupStatus) -> collections.abc.Iterable[object]:
    report = one.report
    if report is None:
        return (one.group, None, None, None, None, None, "no owner answered", None, None)
    behind = [
        f"{member.name} {'?' if member.behind is None else member.behind}"
        for member in report.members
        if member.role != "primary"
    ]
    return (
        one.group,
        report.primary,
        output.seconds(report.primary_age_s),
        report.term,
        behind,
        report.queue_depth,
        report.last_change,
        one.owner,
        output.seconds(one.age_s),
    )


def _instance_row(one: reports.InstanceStatus) -> collections.abc.Iterable[object]:
    return (
        one.instance,
        one.failure_domain,
        one.state,
        one.configuration_version,
        output.seconds(one.store_contact_age_s),
        [f"{group} ({rank})" for group, rank in sorted(one.owns.items())],
        one.callers,
        "accepts" if one.accepting else "refuses",
        output.seconds(one.age_s),
    )
