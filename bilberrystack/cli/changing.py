"""Sends changes and shows their outcomes, for all commands that declare."""

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
      dry_run: Show what would change, and change nothing.
      operation_id: Repeat the change with this id; without it a new one is made and printed.
      expected_version: Refuse the change if another version is in force.
      wait_s: How long to wait until the change is in force at every live instance.
      form: The form of the output.
    """

    dry_run: Annotated[bool, cyclopts.Parameter(negative="")] = False
    operation_id: str | None = None
    expected_version: int | None = None
    wait_s: Annotated[float, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0))] = 5.0
    form: output.Form = output.Output.TABLE


def send(
    loaded: settings.ClientSettings,
    options: ChangeOptions,
    *,
    edits: collections.abc.Sequence[ttypes.Edit] = (),
    document: str | None = None,
) -> int:
    """Sends a change and shows its outcome; returns the exit code."""
    operation_id = options.operation_id or str(uuid.uuid4())
    change = ttypes.Change(
        operation_id, document, list(edits), options.expected_version, options.dry_run
    )
    if not options.dry_run:
        output.note(f"operation id {operation_id}")

    async def command(connected: link.Link) -> int:
        outcome = await connected.apply(change)
        accepted = outcome.accepted
        if accepted is None or options.dry_run:
            return show_outcome(outcome, operation_id, options)
        timeout_ms = int(options.wait_s * 1000)
        # The change is accepted whatever becomes of the wait, so its failure is not the command's.
        try:
            in_force = await connected.call(
                "wait", accepted.version, timeout_ms, extra_s=options.wait_s
            )
        except (link.Unreachable, ttypes.OperatorFailure) as error:
            output.note(f"accepted as version {accepted.version}; the wait failed: {error}")
            return exits.OK
        return show_outcome(outcome, operation_id, options, in_force)

    return link.run(loaded, command)


def show_outcome(
    outcome: ttypes.ChangeOutcome,
    operation_id: str,
    options: ChangeOptions,
    in_force: ttypes.InForce | None = None,
) -> int:
    """Shows the outcome of a change; returns the exit code."""
    fields, code = _describe(outcome, in_force)
    if options.form is output.Output.JSON:
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
            rows = [(one["field"], one["value"], one["rule"]) for one in fields["problems"]]
            output.print_table("Rejected; nothing has changed", ("field", "value", "rule"), rows)
        case "conflict":
            print(f"conflict: based on version {fields['mine']}, in force is {fields['current']}")
        case _:
            print(f"unknown: {fields['detail']}")
    return code


def show_differences(title: str, found: collections.abc.Iterable[dict[str, Any]]) -> None:
    """Shows differences as a table."""
    rows = [(one["field"], one["before"], one["after"]) for one in found]
    output.print_table(title, ("field", "before", "after"), rows)


def difference_fields(one: ttypes.Difference) -> dict[str, Any]:
    """Returns a difference as a table of JSON."""
    return {"field": one.field, "before": one.before, "after": one.after}


def _describe(
    outcome: ttypes.ChangeOutcome, in_force: ttypes.InForce | None
) -> tuple[dict[str, Any], int]:
    if outcome.accepted is not None:
        fields = {
            "outcome": "accepted",
            "version": outcome.accepted.version,
            "differences": [difference_fields(one) for one in outcome.accepted.differences],
        }
        if in_force is not None:
            fields |= {"in_force": in_force.have, "instances": in_force.all}
            fields |= {"lagging": in_force.lagging}
        return fields, exits.OK
    if outcome.rejected is not None:
        problems = [
            {"field": one.field, "value": one.value, "rule": one.rule}
            for one in outcome.rejected.problems
        ]
        return {"outcome": "rejected", "problems": problems}, exits.REFUSED
    if outcome.conflict is not None:
        conflict = outcome.conflict
        fields = {"outcome": "conflict", "mine": conflict.mine, "current": conflict.current}
        return fields, exits.REFUSED
    return {"outcome": "unknown", "detail": outcome.undetermined.detail}, exits.UNKNOWN
