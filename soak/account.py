"""Checks the recorded trace of a soak run against the guarantees of the session mode."""

import collections
import collections.abc
import dataclasses
import math

from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server
from soak import history
from soak import replaced_primaries

# Maximum age of the data that a read returns, by database. For a read in a transaction the age
# counts from the first byte of the transaction.
MAX_AGE_S = {"strict": 0.0, "aged": 1.5, "own": 2.5}

# A member that leaves may receive new statements for at most this time after its notice.
LAST_STATEMENT_LIMIT_S = 2.0

# The same for a departure, in which the coordinator fails too.
DEPARTURE_LIMIT_S = 7.0

# An instance may send late statements for this long after a fault of its process or of its link to
# the store.
CALM_S = 4.0

# A statement sent at most this long before its connection ended may have crossed the end of the
# connection on the way, so it does not count as interrupted.
CROSSING_TOLERANCE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a guarantee.

    Attributes:
      guarantee: The guarantee, in words.
      detail: Statement, member, instance or token that shows the violation.
    """

    guarantee: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A member's departure. Times are on the event loop's clock, in seconds.

    Attributes:
      member_id: The member.
      announced_at_s: When the store had accepted its record that says that it leaves.
      ended_at_s: When it stopped.
    """

    member_id: str
    announced_at_s: float
    ended_at_s: float


@dataclasses.dataclass(slots=True)
class Trace:
    """Everything that was recorded in a run and that the checks use.

    Attributes:
      operations: Operations of the clients, with their replies.
      executed_statements: Statements that members executed, in the order of their execution.
      commit_counts: Number of commits by request id.
      committed_entries: Every log entry that any member ever committed.
      final_log: Log of the group's last primary at the end of the run.
      promotions: Promotions that took effect, with the logs of the promoted members.
      promotion_requests: Promotion requests in the order of their arrival.
      leaving_since_s: When each member that leaves announced it, on the event loop's clock.
      synchronous: Whether a commit is acknowledged once a replica has received it.
      varied_rows: Whether members return several rows or none for some items.
      planned_only: Whether the run had planned work only and no failures.
      departures: Departures of members.
      disturbances: Start and end of the faults of each instance, by its name.
    """

    operations: list[history.Operation]
    executed_statements: list[line_group.ExecutedStatement]
    commit_counts: collections.abc.Mapping[str, int]
    committed_entries: list[line_group.CommittedEntry]
    final_log: list[line_group.CommittedEntry]
    promotion_requests: list[platform_server.PromotionRequest]
    promotions: list[line_group.Promotion] = dataclasses.field(default_factory=list)
    leaving_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    synchronous: bool = False
    varied_rows: bool = False
    planned_only: bool = False
    departures: list[Departure] = dataclasses.field(default_factory=list)
    disturbances: dict[str, list[tuple[float, float]]] = dataclasses.field(default_factory=dict)


def check(trace: Trace) -> list[Violation]:
    """Returns the violations of guarantees in a trace."""
    executed_by_request: dict[str, list[line_group.ExecutedStatement]] = collections.defaultdict(
        list
    )
    for executed in trace.executed_statements:
        executed_by_request[executed.request_id].append(executed)
    violations: list[Violation] = []
    violations += _check_statements(trace, executed_by_request)
    violations += [
        Violation("a replaced primary acknowledges no write", detail)
        for detail in replaced_primaries.find_acknowledged_commits(
            trace.operations, trace.committed_entries, trace.promotions
        )
    ]
    violations += _check_executions(trace)
    violations += _check_transactions(trace, executed_by_request)
    violations += _check_freshness(trace, executed_by_request)
    violations += _check_promotion_requests(trace)
    violations += _check_departures(trace)
    if trace.synchronous:
        violations += _check_lost_commits(trace)
    if trace.planned_only:
        violations += _check_leaving_members(trace)
        violations += _check_interruptions(trace, executed_by_request)
    return violations


def _check_statements(
    trace: Trace,
    executed_by_request: collections.abc.Mapping[str, list[line_group.ExecutedStatement]],
) -> list[Violation]:
    """Checks the replies to single statements.

    Writes are committed at most once, rejected statements not at all, and a reply is the one that
    the member gave.
    """
    violations = []
    for operation in trace.operations:
        for statement in operation.statements:
            location = f"{statement.id} {statement.text} at {operation.instance}"
            if trace.commit_counts.get(statement.id, 0) > 1:
                violations.append(Violation("a write is committed at most once", location))
            if statement.rejected and trace.commit_counts.get(statement.id, 0):
                violations.append(
                    Violation(
                        "a rejected statement is not committed",
                        f"{location}: {statement.error_code}",
                    )
                )
            if statement.succeeded and not _is_reply_of_member(
                statement, executed_by_request[statement.id], trace.varied_rows
            ):
                violations.append(
                    Violation(
                        "a reply matches the member's execution", f"{location}: {statement.proof}"
                    )
                )
            if statement.error_code == "NOSTMT":
                violations.append(
                    Violation("an acknowledged prepared statement is known", location)
                )
    return violations


def _check_executions(trace: Trace) -> list[Violation]:
    """Checks that members execute only statements that clients sent, with unchanged text."""
    violations = []
    sent = {
        statement.id: statement
        for operation in trace.operations
        for statement in operation.statements
    }
    for executed in trace.executed_statements:
        sent_statement = sent.get(executed.request_id)
        if sent_statement is None or sent_statement.expected_text != executed.text:
            violations.append(
                Violation(
                    "members execute only what clients sent",
                    f"{executed.request_id} {executed.text}",
                )
            )
        elif sent_statement.expected_shape != executed.shape:
            violations.append(
                Violation(
                    "a prepared statement keeps its shape",
                    f"{executed.request_id} {executed.shape}",
                )
            )
    return violations


def _is_reply_of_member(
    statement: history.Statement,
    executed_statements: list[line_group.ExecutedStatement],
    varied_rows: bool,
) -> bool:
    return any(
        statement.proof == _expected_proof(statement, executed)
        and _rows_match_log(statement, executed, varied_rows)
        for executed in executed_statements
    )


def _expected_proof(statement: history.Statement, executed: line_group.ExecutedStatement) -> str:
    return f"proof-{executed.member_id}-{statement.id}"


def _rows_match_log(
    statement: history.Statement, executed: line_group.ExecutedStatement, varied_rows: bool
) -> bool:
    if not statement.expected_text.startswith("READ"):
        return not statement.rows
    item = statement.expected_text.split(" ")[1]
    for entry in reversed(executed.log[: executed.applied_count]):
        for name, value in reversed(entry.writes):
            if name == item:
                return statement.rows == line_group.rows_of_item(item, value, varied_rows)
    return statement.rows == line_group.rows_of_item(item, "-", varied_rows)


def _check_transactions(
    trace: Trace,
    executed_by_request: collections.abc.Mapping[str, list[line_group.ExecutedStatement]],
) -> list[Violation]:
    """Checks that a transaction has a member connection to itself, and checks session values."""
    violations = []
    transactions: dict[int, list[tuple[int, int, history.Operation]]] = collections.defaultdict(
        list
    )
    order = {id(executed): index for index, executed in enumerate(trace.executed_statements)}
    for operation in trace.operations:
        own_executed = [
            executed
            for statement in operation.statements
            for executed in executed_by_request[statement.id]
        ]
        for executed in own_executed:
            if executed.session_values != operation.session_values:
                violations.append(
                    Violation(
                        "a session keeps its values",
                        f"{executed.request_id} {executed.session_values}",
                    )
                )
            if executed.in_transaction != operation.is_transaction:
                violations.append(
                    Violation(
                        "transactions do not interleave", f"{executed.request_id} {executed.text}"
                    )
                )
        if operation.is_transaction and own_executed:
            if len({executed.connection_number for executed in own_executed}) > 1:
                violations.append(
                    Violation("a transaction keeps its connection", own_executed[0].request_id)
                )
            indexes = [order[id(executed)] for executed in own_executed]
            transactions[own_executed[0].connection_number].append(
                (min(indexes), max(indexes), operation)
            )
    for connection, spans in transactions.items():
        for first, last, operation in spans:
            own = {statement.id for statement in operation.statements}
            between = trace.executed_statements[first : last + 1]
            if any(
                executed.connection_number == connection and executed.request_id not in own
                for executed in between
            ):
                violations.append(
                    Violation("transactions do not interleave", f"connection {connection}")
                )
    return violations


def _check_freshness(
    trace: Trace,
    executed_by_request: collections.abc.Mapping[str, list[line_group.ExecutedStatement]],
) -> list[Violation]:
    """Checks that a read sees each commit that was acknowledged early enough.

    The COMMIT of a transaction that wrote nothing is a read, too. Only commits that a promotion
    rolled back are exempt. A commit that the log of a primary lacks for another reason, such as a
    restart, still counts.
    """
    rolled_back = replaced_primaries.find_rolled_back(trace.committed_entries, trace.promotions)
    entry_of_request = {
        entry.request_id: entry for entry in trace.committed_entries if id(entry) not in rolled_back
    }
    acknowledged = sorted(
        (
            (
                statement.answered_at_s,
                operation.session_number,
                entry_of_request[statement.id],
            )
            for operation in trace.operations
            for statement in operation.statements
            if statement.succeeded
            and statement.answered_at_s is not None
            and statement.id in entry_of_request
        ),
        key=lambda acknowledgement: acknowledgement[0],
    )
    violations = []
    for operation in trace.operations:
        oldest_s = operation.started_at_s - MAX_AGE_S.get(operation.database, 0.0)
        for statement in operation.statements:
            if not statement.succeeded or not _is_read(statement, operation):
                continue
            visible = {
                id(entry)
                for executed in executed_by_request[statement.id]
                if statement.proof == _expected_proof(statement, executed)
                for entry in executed.log[: executed.applied_count]
            }
            for answered_at_s, session_number, entry in acknowledged:
                if answered_at_s >= operation.started_at_s:
                    break
                own = operation.database == "own" and session_number == operation.session_number
                if (own or answered_at_s < oldest_s) and id(entry) not in visible:
                    detail = f"{statement.id} of {operation.database} lacks {entry.request_id}"
                    violations.append(
                        Violation("a read is as fresh as its database guarantees", detail)
                    )
                    break
    return violations


def _is_read(statement: history.Statement, operation: history.Operation) -> bool:
    """Returns whether a statement is a read, or the COMMIT of a transaction that wrote nothing.

    An execution of a prepared statement is told by the text that the member has to execute.
    """
    if statement.expected_text.startswith("READ"):
        return True
    return statement.expected_text == "COMMIT" and not any(
        other.expected_text.startswith("WRITE") for other in operation.statements
    )


def _check_lost_commits(trace: Trace) -> list[Violation]:
    """Checks that each promoted member and the last primary have each acknowledged commit.

    Commits that a replaced primary made after the promotion count as well.
    """
    lacked: set[int] = set()
    for promotion in trace.promotions:
        promoted_log = {id(entry) for entry in promotion.log}
        lacked.update(
            id(entry)
            for entry in trace.committed_entries
            if entry.term < promotion.term and id(entry) not in promoted_log
        )
    surviving = {id(entry) for entry in trace.final_log} - lacked
    lost = {entry.request_id for entry in trace.committed_entries if id(entry) not in surviving}
    return [
        Violation("an acknowledged commit survives a promotion", statement.id)
        for operation in trace.operations
        for statement in operation.statements
        if statement.succeeded and statement.id in lost
    ]


def _check_promotion_requests(trace: Trace) -> list[Violation]:
    """Checks that each fencing token has one coordinator and that tokens never decrease."""
    violations = []
    coordinators: dict[int, set[str]] = collections.defaultdict(set)
    highest = -math.inf
    for request in trace.promotion_requests:
        coordinators[request.fencing_token].add(request.coordinator)
        if request.fencing_token < highest:
            violations.append(
                Violation(
                    "fencing tokens never decrease",
                    f"{request.coordinator} {request.fencing_token}",
                )
            )
        highest = max(highest, request.fencing_token)
    for token, names in coordinators.items():
        if len(names) > 1:
            violations.append(
                Violation("a fencing token has one coordinator", f"{token} {sorted(names)}")
            )
    return violations


def _check_leaving_members(trace: Trace) -> list[Violation]:
    """Checks that a leaving member gets no new statement after LAST_STATEMENT_LIMIT_S."""
    return [
        Violation(
            "a leaving member gets no new statement",
            f"{executed.request_id} at {executed.member_id}",
        )
        for executed in trace.executed_statements
        if not executed.in_transaction
        and executed.member_id in trace.leaving_since_s
        and executed.executed_at_s
        > trace.leaving_since_s[executed.member_id] + LAST_STATEMENT_LIMIT_S
    ]


def _check_departures(trace: Trace) -> list[Violation]:
    """Checks that a member gets no new statement DEPARTURE_LIMIT_S after its notice.

    Statements that an instance sends during a fault of it or up to CALM_S later are exempt.
    """
    instances = {
        statement.id: operation.instance
        for operation in trace.operations
        for statement in operation.statements
    }
    violations = []
    for executed in trace.executed_statements:
        if executed.in_transaction:
            continue
        spans = trace.disturbances.get(instances.get(executed.request_id, ""), [])
        if any(start <= executed.executed_at_s <= end + CALM_S for start, end in spans):
            continue
        for departure in trace.departures:
            late_s = executed.executed_at_s - departure.announced_at_s - DEPARTURE_LIMIT_S
            if (
                executed.member_id == departure.member_id
                and late_s > 0
                and executed.executed_at_s < departure.ended_at_s
            ):
                violations.append(
                    Violation(
                        "a member that leaves is out of use in time",
                        f"{executed.request_id} at {executed.member_id}, {late_s:.1f} s late",
                    )
                )
    return violations


def _check_interruptions(
    trace: Trace,
    executed_by_request: collections.abc.Mapping[str, list[line_group.ExecutedStatement]],
) -> list[Violation]:
    """Checks that planned work loses the reply of no statement.

    Statements that no member executed and that were sent at most CROSSING_TOLERANCE_S before the
    end of the connection are exempt.
    """
    return [
        Violation(
            "planned work interrupts no statement",
            f"{statement.id} {statement.text} at {operation.instance}",
        )
        for operation in trace.operations
        for statement in operation.statements
        if statement.disconnected_at_s is not None
        and (
            executed_by_request.get(statement.id)
            or statement.disconnected_at_s - statement.sent_at_s > CROSSING_TOLERANCE_S
        )
    ]
