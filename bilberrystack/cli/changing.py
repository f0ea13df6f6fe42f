"""Sending of configuration changes and display of their outcomes."""

import collections.abc
import dataclasses
import uuid
from typing import Annotated
from typing import Any

import cyclopts

from bilberrystack import settings
from bilberrystack.cli import exits
from bilberrystack.cli import link
from bilberrystack.cli import output
from bilberrystack.gen.operators import ttypes


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class ChangeOptions:
    """Options of every command that changes declarations.

    Attributes:
      dry_run: Show the differences without applying the change.
      operation_id: Operation id of an earlier attempt to repeat; by default a new id is generated
        and printed.
      expected_version: Refuse the change if another version is in force.
      wait_s: Maximum time to wait until all live instances use the new version, in seconds.
      form: Output format.
    """

    dry_run: Annotated[bool, cyclopts.Parameter(negative="")] = False
    operation_id: str | None = None
    expected_version: int | None = None
    wait_s: Annotated[float, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0))] = 5.0
    form: output.FormatOption = output.OutputFormat.TABLE


def send_change(
    loaded: settings.ClientSettings,
    options: ChangeOptions,
    *,
    edits: collections.abc.Sequence[ttypes.Edit] = (),
    document: str | None = None,
) -> int:
    """Send a change and print its outcome.

    Args:
      loaded: Settings of the command.
      options: Options of the change.
      edits: Edits of single declarations; empty with a document.
      document: Complete new configuration as JSON; None to apply the edits.
    Returns:
      The exit code.
    """
    operation_id = options.operation_id or str(uuid.uuid4())
    change = ttypes.Change(
        operation_id, document, list(edits), options.expected_version, options.dry_run
    )
    if not options.dry_run:
        output.print_note(f"operation id {operation_id}")

    async def command(connection: link.OperatorConnection) -> int:
        outcome = await connection.apply(change)
        accepted = outcome.accepted
        if accepted is None or options.dry_run:
            return show_outcome(outcome, operation_id, options)
        timeout_ms = int(options.wait_s * 1000)
        # The change is already accepted, so a failed wait does not fail the command.
        try:
            in_force = await connection.call(
                "wait", accepted.version, timeout_ms, server_wait_s=options.wait_s
            )
        except (link.Unreachable, ttypes.OperatorFailure) as error:
            output.print_note(f"accepted as version {accepted.version}; the wait failed: {error}")
            return exits.OK
        return show_outcome(outcome, operation_id, options, in_force)

    return link.run(loaded, command)


def show_outcome(
    outcome: ttypes.ChangeOutcome,
    operation_id: str,
    options: ChangeOptions,
    in_force: ttypes.InForce | None = None,
) -> int:
    """Print the outcome of a change.

    Args:
      outcome: The outcome.
      operation_id: Operation id of the change.
      options: Options of the change.
      in_force: Distribution of the new version to the instances; None if it is not known.
    Returns:
      The exit code.
    """
    fields, code = _outcome_fields(outcome, in_force)
    if options.form is output.OutputFormat.JSON:
        output.print_json({"operation_id": operation_id, "dry_run": options.dry_run, **fields})
        return code
    match fields["outcome"]:
        case "accepted" if options.dry_run:
            show_differences(f"Would be version {fields['version']}", fields["differences"])
        case "accepted":
            line = f"accepted as version {fields['version']}"
            if in_force is not None:
                line += f"; in force at {in_force.have} of {in_force.all} instances"
            print(line)
        case "rejected":
            rows = [
                (problem["field"], problem["value"], problem["rule"])
                for problem in fields["problems"]
            ]
            output.print_table("Rejected; nothing has changed", ("field", "value", "rule"), rows)
        case "conflict":
            print(f"conflict: based on version {fields['mine']}, in force is {fields['current']}")
        case _:
            print(f"unknown: {fields['detail']}")
    return code


def show_differences(title: str, differences: collections.abc.Iterable[dict[str, Any]]) -> None:
    """Print differences between configurations as a table.

    Args:
      title: Title of the table.
      differences: Differences as returned by difference_fields.
    """
    rows = [
        (difference["field"], difference["before"], difference["after"])
        for difference in differences
    ]
    output.print_table(title, ("field", "before", "after"), rows)


def difference_fields(difference: ttypes.Difference) -> dict[str, Any]:
    """Convert a difference to the fields of a JSON object."""
    return {"field": difference.field, "before": difference.before, "after": difference.after}


def _outcome_fields(
    outcome: ttypes.ChangeOutcome, in_force: ttypes.InForce | None
) -> tuple[dict[str, Any], int]:
    if outcome.accepted is not None:
        fields = {
            "outcome": "accepted",
            "version": outcome.accepted.version,
            "differences": [
                difference_fields(difference) for difference in outcome.accepted.differences
            ],
        }
        if in_force is not None:
            fields |= {"in_force": in_force.have, "instances": in_force.all}
            fields |= {"lagging": in_force.lagging}
        return fields, exits.OK
    if outcome.rejected is not None:
        problems = [
            {"field": problem.field, "value": problem.value, "rule": problem.rule}
            for problem in outcome.rejected.problems
        ]
        return {"outcome": "rejected", "problems": problems}, exits.REFUSED
    if outcome.conflict is not None:
        conflict = outcome.conflict
        fields = {"outcome": "conflict", "mine": conflict.mine, "current": conflict.current}
        return fields, exits.REFUSED
    return {"outcome": "unknown", "detail": outcome.undetermined.detail}, exits.UNKNOWN
