"""Checks what clients and members have seen against the promises of the session mode."""

import collections
import collections.abc
import dataclasses
import math

from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server
from soak import history

# How old a read of a database may be; a transaction counts from its first byte.
MAX_AGE_S = {"strict": 0.0, "aged": 1.5, "own": 2.5}

# Time within which a leaving member gets its last new statement.
DRAIN_S = 2.0

# A request that crosses the end of its connection on the way is not cut off.
CUT_SLACK_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A broken promise."""

    promise: str
    detail: str


@dataclasses.dataclass(slots=True)
class Seen:
    """Everything that is judged.

    Attributes:
      operations: What clients asked for and were told.
      runs: What members ran.
      commits: How often each request was committed.
      entries: Every commit that was ever made, at any member.
      kept: The log that counts in the end.
      promotions: The calls for promotions as they arrived.
      left_at_s: When members said that they leave.
      calm: Whether only planned work was done.
    """

    operations: list[history.Operation]
    runs: list[line_group.ExecutedStatement]
    commits: collections.abc.Mapping[str, int]
    entries: list[line_group.CommittedEntry]
    kept: list[line_group.CommittedEntry]
    promotions: list[platform_server.PromotionRequest]
    left_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    calm: bool = False


def check(seen: Seen) -> list[Broken]:
    """Returns the broken promises."""
    runs: dict[str, list[line_group.ExecutedStatement]] = collections.defaultdict(list)
    for run in seen.runs:
        runs[run.request_id].append(run)
    found: list[Broken] = []
    found += _check_requests(seen, runs)
    found += _check_transactions(seen, runs)
    found += _check_ages(seen, runs)
    found += _check_promotions(seen)
    if seen.calm:
        found += _check_leaving(seen)
        found += _check_cuts(seen, runs)
    return found


def _check_requests(
    seen: Seen, runs: collections.abc.Mapping[str, list[line_group.ExecutedStatement]]
) -> list[Broken]:
    """Writes at most once, true refusals, answers that are the member's own."""
    found = []
    deposed = {entry.request_id for entry in seen.entries if entry.newer_primary_existed}
    asked = {}
    for operation in seen.operations:
        for one in operation.statements:
            asked[one.id] = one
            where = f"{one.id} {one.text} at {operation.instance}"
            if seen.commits.get(one.id, 0) > 1:
                found.append(Broken("a write runs at most once", where))
            if one.refused and seen.commits.get(one.id, 0):
                found.append(Broken("a refusal that says not run is true", f"{where}: {one.code}"))
            if one.succeeded and not _is_proved(one, runs[one.id]):
                found.append(Broken("an answer is the member's own", f"{where}: {one.proof}"))
            if one.succeeded and one.id in deposed:
                found.append(Broken("a replaced primary acknowledges nothing", where))
    for run in seen.runs:
        one = asked.get(run.request_id)
        if one is None or one.runs != run.text:
            found.append(Broken("members run what clients ask", f"{run.request_id} {run.text}"))
    return found


def _is_proved(one: history.Statement, runs: list[line_group.ExecutedStatement]) -> bool:
    return any(
        one.proof == _proof(one, run)
        and (not one.text.startswith(("READ", "EXEC")) or _rows_fit(one, run))
        for run in runs
    )


def _proof(one: history.Statement, run: line_group.ExecutedStatement) -> str:
    return f"proof-{run.member_id}-{one.id}"


def _rows_fit(one: history.Statement, run: line_group.ExecutedStatement) -> bool:
    if not one.runs.startswith("READ"):
        return not one.rows
    item = one.runs.split(" ")[1]
    for entry in reversed(run.log[: run.applied_count]):
        for name, value in reversed(entry.writes):
            if name == item:
                return one.rows == (value,)
    return one.rows == ("-",)


def _check_transactions(
    seen: Seen, runs: collections.abc.Mapping[str, list[line_group.ExecutedStatement]]
) -> list[Broken]:
    """Transactions stay on one connection, and sessions keep their values."""
    found = []
    holders: dict[int, list[tuple[int, int, history.Operation]]] = collections.defaultdict(list)
    order = {id(run): number for number, run in enumerate(seen.runs)}
    for operation in seen.operations:
        ran = [run for one in operation.statements for run in runs[one.id]]
        for run in ran:
            if run.session_values != operation.values:
                found.append(
                    Broken("a session keeps its values", f"{run.request_id} {run.session_values}")
                )
            if run.in_transaction != operation.transaction:
                found.append(Broken("transactions don't mix", f"{run.request_id} {run.text}"))
        if operation.transaction and ran:
            if len({run.connection_number for run in ran}) > 1:
                found.append(Broken("a transaction keeps its connection", ran[0].request_id))
            numbers = [order[id(run)] for run in ran]
            holders[ran[0].connection_number].append((min(numbers), max(numbers), operation))
    for connection, spans in holders.items():
        for first, last, operation in spans:
            own = {one.id for one in operation.statements}
            between = seen.runs[first : last + 1]
            if any(
                run.connection_number == connection and run.request_id not in own for run in between
            ):
                found.append(Broken("transactions don't mix", f"connection {connection}"))
    return found


def _check_ages(
    seen: Seen, runs: collections.abc.Mapping[str, list[line_group.ExecutedStatement]]
) -> list[Broken]:
    """Reads see the commits that were acknowledged early enough, unless a promotion cut them."""
    kept = {id(entry): entry for entry in seen.kept}
    entry_of = {entry.request_id: entry for entry in kept.values()}
    acknowledged = sorted(
        (
            (one.told_at_s, operation.session, entry_of[one.id])
            for operation in seen.operations
            for one in operation.statements
            if one.succeeded and one.told_at_s is not None and one.id in entry_of
        ),
        key=lambda row: row[0],
    )
    found = []
    for operation in seen.operations:
        oldest_s = operation.began_at_s - MAX_AGE_S.get(operation.database, 0.0)
        for one in operation.statements:
            if not one.succeeded or not one.runs.startswith("READ"):
                continue
            visible = {
                id(entry)
                for run in runs[one.id]
                if one.proof == _proof(one, run)
                for entry in run.log[: run.applied_count]
            }
            for told_at_s, session, entry in acknowledged:
                if told_at_s >= operation.began_at_s:
                    break
                own = operation.database == "own" and session == operation.session
                if (own or told_at_s < oldest_s) and id(entry) not in visible:
                    detail = f"{one.id} of {operation.database} lacks {entry.request_id}"
                    found.append(Broken("a read is as new as its database promises", detail))
                    break
    return found


def _check_promotions(seen: Seen) -> list[Broken]:
    """One holder for each token, and tokens never fall."""
    found = []
    holders: dict[int, set[str]] = collections.defaultdict(set)
    highest = -math.inf
    for one in seen.promotions:
        holders[one.fencing_token].add(one.coordinator)
        if one.fencing_token < highest:
            found.append(Broken("tokens never fall", f"{one.coordinator} {one.fencing_token}"))
        highest = max(highest, one.fencing_token)
    for token, names in holders.items():
        if len(names) > 1:
            found.append(Broken("a token has one holder", f"{token} {sorted(names)}"))
    return found


def _check_leaving(seen: Seen) -> list[Broken]:
    """A member that leaves gets nothing new after a while."""
    return [
        Broken("a leaving member gets nothing new", f"{run.request_id} at {run.member_id}")
        for run in seen.runs
        if not run.in_transaction
        and run.member_id in seen.left_at_s
        and run.executed_at_s > seen.left_at_s[run.member_id] + DRAIN_S
    ]


def _check_cuts(
    seen: Seen, runs: collections.abc.Mapping[str, list[line_group.ExecutedStatement]]
) -> list[Broken]:
    """Planned work cuts off no request that has run, or that was sent a while before."""
    return [
        Broken("planned work cuts nothing off", f"{one.id} {one.text} at {operation.instance}")
        for operation in seen.operations
        for one in operation.statements
        if one.cut_at_s is not None
        and (runs.get(one.id) or one.cut_at_s - one.asked_at_s > CUT_SLACK_S)
    ]
