"""Tells commits at replaced primaries from those that a promotion rolled back."""

import collections.abc
import math

from bilberrystack_standins import line_group
from soak import history


def find_acknowledged_commits(
    operations: collections.abc.Iterable[history.Operation],
    committed_entries: collections.abc.Iterable[line_group.CommittedEntry],
    promotions: collections.abc.Sequence[line_group.Promotion],
) -> list[str]:
    """Returns a description of each acknowledged commit at a primary that was replaced before it.

    A primary is replaced once a promotion to a newer term has taken effect, also if the promoted
    member has ended since. A commit has its own term and time, so that neither a later step-down
    nor a later lead of its member changes the result.

    Args:
      operations: Operations of the clients, with their replies.
      committed_entries: Every log entry that any member ever committed.
      promotions: Promotions that took effect, in their order.
    """
    late_commits = {
        entry.request_id: (entry, replacement)
        for entry in committed_entries
        if (replacement := _replacement_before(entry, promotions)) is not None
        or entry.newer_primary_existed
    }
    return [
        f"{statement.id} {statement.text} at {operation.instance}: "
        + _describe(statement, *late_commits[statement.id])
        for operation in operations
        for statement in operation.statements
        if statement.succeeded and statement.id in late_commits
    ]


def find_rolled_back(
    committed_entries: collections.abc.Iterable[line_group.CommittedEntry],
    promotions: collections.abc.Sequence[line_group.Promotion],
) -> set[int]:
    """Returns the identities of the commits that a promotion cut off.

    Such a commit precedes the effect of each promotion to a newer term, and the log of one of the
    promoted members lacks it. A commit that a replaced primary made afterwards was never part of
    the log that the promotion took over, and no later promotion rolls it back either.

    Args:
      committed_entries: Every log entry that any member ever committed.
      promotions: Promotions that took effect, in their order.
    """
    kept_by_term = {
        promotion.term: {id(entry) for entry in promotion.log} for promotion in promotions
    }
    return {
        id(entry)
        for entry in committed_entries
        if _replacement_before(entry, promotions) is None
        and any(term > entry.term and id(entry) not in kept for term, kept in kept_by_term.items())
    }


def _describe(
    statement: history.Statement,
    entry: line_group.CommittedEntry,
    replacement: line_group.Promotion | None,
) -> str:
    acknowledged_at_s = math.nan if statement.answered_at_s is None else statement.answered_at_s
    effect = "a member led a newer term"
    if replacement is not None:
        effect = (
            f"{replacement.member_id} led term {replacement.term} from"
            f" {replacement.effective_at_s:.3f} s"
        )
    return (
        f"{effect}, committed by {entry.member_id} in term {entry.term} at"
        f" {entry.committed_at_s:.3f} s, acknowledged at {acknowledged_at_s:.3f} s"
    )


def _replacement_before(
    entry: line_group.CommittedEntry, promotions: collections.abc.Iterable[line_group.Promotion]
) -> line_group.Promotion | None:
    """Returns the first promotion to a newer term that was in effect before a commit, if any."""
    return next(
        (
            promotion
            for promotion in promotions
            if promotion.term > entry.term and promotion.effective_at_s < entry.committed_at_s
        ),
        None,
    )
