"""Tables of the fleet's status and of the burn rates of service levels."""

import collections.abc

from bilberrystack.cli import output
from bilberrystack.core import burn
from bilberrystack.core import reports


def show_status(status: reports.Status) -> None:
    """Print the status of all groups and instances."""
    title = f"Version {status.configuration_version} at {status.answered_by}"
    output.print_table(
        f"Groups. {title}",
        ("group", "primary", "since", "term", "behind", "queue", "last change", "source", "age"),
        (_group_row(group_status) for group_status in status.groups),
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
        (_instance_row(instance_status) for instance_status in status.instances),
    )
    if status.refusals or status.unknowns:
        rows = [("not run", reason, count) for reason, count in sorted(status.refusals.items())]
        rows += [("unknown", reason, count) for reason, count in sorted(status.unknowns.items())]
        output.print_table("Since the instances' starts", ("outcome", "reason", "requests"), rows)


def show_burn(report: burn.BurnReport) -> None:
    """Print the burn rates of all objectives."""
    title = f"Service levels of {report.answered} of {report.instances} instances"
    columns = (
        "objective",
        "target",
        f"{report.short_minutes} min",
        "burn",
        f"{report.long_minutes} min",
        "burn",
        "state",
    )
    rows = [
        (
            objective_burn.objective.value,
            value_text(objective_burn.objective, objective_burn.target),
            value_text(objective_burn.objective, objective_burn.short.value),
            rate_text(objective_burn.short.rate),
            value_text(objective_burn.objective, objective_burn.long.value),
            rate_text(objective_burn.long.rate),
            "BURNING" if objective_burn.is_alerting else "ok",
        )
        for objective_burn in report.burns
    ]
    output.print_table(title, columns, rows)
    if report.hours is None:
        output.print_note("the store does not answer; the hourly history is missing")


def value_text(objective: burn.Objective, value: float | None) -> str:
    """Format a target or a measured value of an objective; None becomes a hyphen."""
    if value is None:
        return "-"
    if objective is burn.Objective.FAILOVER_GAP:
        return f"{value:.0f} ms"
    return f"{value:.4%}"


def rate_text(rate: float) -> str:
    """Format a burn rate."""
    return "no budget" if rate >= burn.MAX_BURN_RATE else f"{rate:.2f}"


def _group_row(group_status: reports.GroupStatus) -> collections.abc.Iterable[object]:
    report = group_status.report
    if report is None:
        return (group_status.group, None, None, None, None, None, "no owner answered", None, None)
    behind = [
        f"{member.name} {'?' if member.behind is None else member.behind}"
        for member in report.members
        if member.role != "primary"
    ]
    return (
        group_status.group,
        report.primary,
        output.duration_text(report.primary_age_s),
        report.term,
        behind,
        report.queue_depth,
        report.last_change,
        group_status.owner,
        output.duration_text(group_status.age_s),
    )


def _instance_row(instance_status: reports.InstanceStatus) -> collections.abc.Iterable[object]:
    return (
        instance_status.instance,
        instance_status.failure_domain,
        instance_status.state,
        instance_status.configuration_version,
        output.duration_text(instance_status.store_contact_age_s),
        [f"{group} ({rank})" for group, rank in sorted(instance_status.owns.items())],
        instance_status.callers,
        "accepts" if instance_status.accepting else "refuses",
        output.duration_text(instance_status.age_s),
    )
