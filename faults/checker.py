"""Checks a history against the guarantees P1 to P9, independently of the proxy's mechanisms.

Writes are ordered by the final log of their group. A read of an item that returned value v observed
a state of the log from the entry that wrote v up to the entry before the next write of the item.
Each check of the order of reads is a bound on this range of log indices.
"""

import bisect
import collections
import collections.abc
import dataclasses
import itertools

from bilberrystack.core import outcomes
from bilberrystack.core import requests
from faults import history

# Design 1.2: "after a few seconds" and "within seconds".
LEAVING_GRACE_S = 5.0
CONFIGURATION_DEADLINE_S = 5.0

# An outcome may arrive this long after the deadline, due to the network delay to the client and
# its jitter.
DEADLINE_TOLERANCE_S = 0.25

WRITE_KINDS = (requests.Kind.WRITE, requests.Kind.IDEMPOTENT_WRITE)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    Attributes:
      guarantee: Code of the guarantee, P1 to P9; "LIVE" for recovery, "ERROR" for an exception.
      detail: Request, entry or instance that violates the guarantee, and how.
    """

    guarantee: str
    detail: str

    def __str__(self) -> str:
        return f"{self.guarantee}: {self.detail}"


class _GroupLog:
    """The final log of a group, indexed by value, request key and item. Indices start at 1."""

    def __init__(self, entries: collections.abc.Iterable[history.LogEntry]) -> None:
        self.indices_by_value: dict[str, list[int]] = collections.defaultdict(list)
        self.indices_by_key: dict[tuple[str, int], list[int]] = collections.defaultdict(list)
        self.entries = list(entries)
        self._writes: dict[str, list[int]] = collections.defaultdict(list)
        for index, entry in enumerate(self.entries, start=1):
            if entry.key is not None and not entry.cancelled:
                self.indices_by_key[entry.key].append(index)
            for item, value in entry.writes:
                self.indices_by_value[value].append(index)
                self._writes[item].append(index)

    def first_visible_index(self, value: str) -> int | None:
        """Return the lowest index at which a read can return a value; None if it is not there."""
        if not value:
            return 0
        indices = self.indices_by_value.get(value)
        return indices[0] if indices else None

    def last_visible_index(self, item: str, value: str) -> float:
        """Return the highest index at which a read of an item can still return a value."""
        start = self.first_visible_index(value) or 0
        writes = self._writes.get(item, [])
        following = bisect.bisect_right(writes, start)
        return writes[following] - 1 if following < len(writes) else float("inf")


def check(record: history.History) -> list[Violation]:
    """Return all violations of guarantees in a run."""
    logs = {group: _GroupLog(entries) for group, entries in record.logs.items()}
    violations: list[Violation] = []
    if not record.recovered:
        violations.append(
            Violation("LIVE", "the groups did not recover after every fault was healed")
        )
    for group, log in logs.items():
        calls = [call for call in record.calls if call.group == group]
        violations += _check_reads(calls, log)
        violations += _check_writes(calls, log)
        violations += _check_transactions(calls, log)
    violations += _check_outcomes(record)
    violations += _check_leaving_endpoints(record)
    violations += _check_graceful_stops(record)
    violations += _check_configuration(record)
    return violations


def _check_reads(calls: list[history.Call], log: _GroupLog) -> list[Violation]:
    """P1 and maximum ages: no read returned a value that is too old for its session or age."""
    violations = []
    proven_indices = _proven_indices(calls, log)
    writes = [
        (call.finished_at, proven_indices[call])
        for call in calls
        if call in proven_indices and _writes_to_log(call)
    ]
    write_maxima = _running_maxima(sorted(writes))
    by_session: dict[str, list[history.Call]] = collections.defaultdict(list)
    for call in calls:
        if call.answered and (call.transaction is None or _writes_to_log(call)):
            by_session[call.session].append(call)
    for session_calls in by_session.values():
        for call in session_calls:
            if call.kind is requests.Kind.READ and call.answer is not None:
                earlier_indices = {
                    c: proven_indices[c]
                    for c in session_calls
                    if _finished_before(c, call, proven_indices)
                }
                violations += _check_read(call, earlier_indices, log)
                violations += _check_age(call, write_maxima, log)
    return violations


def _writes_to_log(call: history.Call) -> bool:
    return call.kind in WRITE_KINDS or call.kind is requests.Kind.COMMIT


def _finished_before(
    earlier_call: history.Call, call: history.Call, proven_indices: dict[history.Call, int]
) -> bool:
    return earlier_call in proven_indices and earlier_call.finished_at <= call.sent_at


def _proven_indices(calls: list[history.Call], log: _GroupLog) -> dict[history.Call, int]:
    """Return the log index that each answered write, commit and read has shown to its client."""
    committed: dict[str | None, int] = collections.defaultdict(int)
    for call in calls:
        if call.transaction is not None and call.value:
            index = log.first_visible_index(call.value) or 0
            committed[call.transaction] = max(committed[call.transaction], index)
    indices: dict[history.Call, int] = {}
    for call in calls:
        if not call.answered:
            continue
        if call.kind is requests.Kind.COMMIT:
            indices[call] = committed[call.transaction]
        elif call.kind in WRITE_KINDS:
            indices[call] = log.first_visible_index(call.value) or 0
        elif call.kind is requests.Kind.READ and call.answer is not None:
            indices[call] = log.first_visible_index(call.answer[1]) or 0
    return indices


def _check_read(
    call: history.Call, earlier_indices: dict[history.Call, int], log: _GroupLog
) -> list[Violation]:
    item, value = call.answer or ("", "")
    if item != call.item:
        return [Violation("P4", f"{call.name} got the answer of a read of {item!r}")]
    if log.first_visible_index(value) is None:
        return [Violation("P2", f"{call.name} returned {value!r}, which is not in the final log")]
    last = log.last_visible_index(item, value)
    for earlier_call, min_index in earlier_indices.items():
        if last < min_index:
            rule = "read-your-writes" if _writes_to_log(earlier_call) else "monotonic reads"
            return [
                Violation("P1", f"{rule}: {call.name} returned {value!r} after {earlier_call.name}")
            ]
    return []


def _check_age(
    call: history.Call, write_maxima: tuple[list[float], list[int]], log: _GroupLog
) -> list[Violation]:
    times, maxima = write_maxima
    preceding_count = bisect.bisect_right(times, call.sent_at - call.max_age_s)
    min_index = maxima[preceding_count - 1] if preceding_count else 0
    value = (call.answer or ("", ""))[1]
    if log.last_visible_index(call.item, value) >= min_index:
        return []
    return [
        Violation(
            "P1", f"stated age: {call.name} of age {call.max_age_s} s at {call.sent_at:.4f} is old"
        )
    ]


def _running_maxima(pairs: list[tuple[float, int]]) -> tuple[list[float], list[int]]:
    times, maxima = [], []
    for at, index in pairs:
        times.append(at)
        maxima.append(max(index, maxima[-1] if maxima else 0))
    return times, maxima


def _check_writes(calls: list[history.Call], log: _GroupLog) -> list[Violation]:
    """P2, P5 and P6: the outcome of each write agrees with the final log."""
    violations = []
    for call in calls:
        if call.kind not in WRITE_KINDS:
            continue
        log_indices = log.indices_by_value.get(call.value, [])
        if call.answered and not log_indices:
            violations.append(
                Violation("P2", f"{call.name} was acknowledged and is not in the log")
            )
        if call.not_run and log_indices:
            violations.append(
                Violation("P5", f"{call.name} was reported not run and is in the log")
            )
        if len(log_indices) > 1 and call.kind is requests.Kind.WRITE:
            violations.append(
                Violation("P6", f"{call.name} is {len(log_indices)} times in the log")
            )
    return violations


def _check_transactions(calls: list[history.Call], log: _GroupLog) -> list[Violation]:
    """P3: the writes of a transaction form one log entry of their own, or are not in the log."""
    violations = []
    by_transaction: dict[str, list[history.Call]] = collections.defaultdict(list)
    for call in calls:
        if call.transaction is not None:
            by_transaction[call.transaction].append(call)
    transaction_by_value = {call.value: call.transaction for call in calls if call.value}
    for name, transaction_calls in by_transaction.items():
        violations += _check_transaction(name, transaction_calls, log)
    for entry in log.entries:
        transactions = {transaction_by_value.get(value) for _, value in entry.writes}
        if len(transactions) > 1:
            violations.append(
                Violation("P3", f"entry {entry.position} mixes {sorted(map(str, transactions))}")
            )
    return violations


def _check_transaction(name: str, calls: list[history.Call], log: _GroupLog) -> list[Violation]:
    values = {call.value for call in calls if call.value and call.answered}
    written_values = {call.value for call in calls if call.value}
    commits = [call for call in calls if call.kind is requests.Kind.COMMIT]
    commit = commits[0] if commits else None
    in_log = {value for value in written_values if log.indices_by_value.get(value)}
    violations = []
    if in_log and (commit is None or not values <= in_log):
        violations.append(Violation("P3", f"transaction {name} is in the log in part"))
    if len({index for value in in_log for index in log.indices_by_value[value]}) > 1:
        violations.append(Violation("P3", f"transaction {name} is spread over entries or repeated"))
    if commit is not None and commit.answered and not values <= in_log:
        violations.append(
            Violation("P2", f"transaction {name} was acknowledged and is not in the log")
        )
    if commit is not None and commit.not_run and in_log:
        violations.append(
            Violation("P5", f"transaction {name} was reported not run and is in the log")
        )
    return violations


def _check_outcomes(record: history.History) -> list[Violation]:
    """P4: each request gets exactly one outcome, complete, its own, and in time."""
    violations = []
    for call in record.calls:
        if call.outcome_count > 1:
            violations.append(Violation("P4", f"{call.name} got {call.outcome_count} outcomes"))
        if call.overdue:
            violations.append(Violation("P4", f"{call.name} got no outcome in time"))
        if call.outcome is None:
            if record.ended_at > call.deadline + DEADLINE_TOLERANCE_S:
                violations.append(Violation("P4", f"{call.name} got no outcome"))
            continue
        if call.finished_at > call.deadline + DEADLINE_TOLERANCE_S:
            late = call.finished_at - call.deadline
            violations.append(Violation("P4", f"{call.name} got its outcome {late:.3f} s late"))
        if call.value and call.answer is not None and call.answer[1] != call.value:
            violations.append(Violation("P4", f"{call.name} got the answer of {call.answer[1]!r}"))
    return violations


def _check_leaving_endpoints(record: history.History) -> list[Violation]:
    """P7: an endpoint gets no new work from LEAVING_GRACE_S after its departure notice."""
    violations = []
    for notice in record.leaving_endpoints:
        late = [
            statement
            for statement in record.statements
            if statement.starts_work
            and statement.endpoint == notice.name
            and statement.received_at > notice.announced_at + LEAVING_GRACE_S
        ]
        if late:
            delay_s = late[0].received_at - notice.announced_at
            violations.append(
                Violation(
                    "P7", f"{notice.name} got {late[0].kind} {delay_s:.2f} s after it was leaving"
                )
            )
    return violations


def _check_graceful_stops(record: history.History) -> list[Violation]:
    """P8: a graceful stop interrupts no request that was in flight."""
    violations = []
    for stop in record.instance_stops:
        for call in record.calls:
            in_flight = call.received_at is not None and call.received_at <= stop.announced_at
            in_flight &= call.finished_at is None or call.finished_at > stop.announced_at
            interrupted = stop.name in call.interrupted_by or (
                call.instance == stop.name and _interrupted_by_stop(call, bool(record.failures))
            )
            if in_flight and interrupted:
                violations.append(
                    Violation("P8", f"{call.name} was cut off by the stop of {stop.name}")
                )
    return violations


def _interrupted_by_stop(call: history.Call, has_other_faults: bool) -> bool:
    """Return whether a request was not answered because of a stop.

    Without another fault each request must be answered, except for commits that conflict. With
    another fault only the reasons LEAVING and OWNER_UNREACHABLE are attributed to the stop.
    """
    match call.outcome:
        case outcomes.Answer():
            return False
        case outcomes.NotRun(reason=reason):
            if not has_other_faults:
                return call.kind is not requests.Kind.COMMIT
            return reason in (
                outcomes.NotRunReason.LEAVING,
                outcomes.NotRunReason.OWNER_UNREACHABLE,
            )
        case _:
            return not has_other_faults


def _check_configuration(record: history.History) -> list[Violation]:
    """P9: versions never decrease, and are in force everywhere within CONFIGURATION_DEADLINE_S."""
    violations = []
    by_instance: dict[str, list[history.AppliedVersion]] = collections.defaultdict(list)
    for applied in record.applied_versions:
        by_instance[applied.instance].append(applied)
    for instance, applied_versions in by_instance.items():
        for before, after in itertools.pairwise(applied_versions):
            if after.version < before.version:
                violations.append(
                    Violation(
                        "P9", f"{instance} went back from {before.version} to {after.version}"
                    )
                )
        for accepted in record.accepted_versions:
            violations += _check_in_force(record, instance, applied_versions, accepted)
    violations += _check_answers_under_old_versions(record)
    for instance, declared in record.declared_callers.items():
        for accepted in record.accepted_versions:
            if accepted.caller and accepted.caller not in declared:
                detail = f"the change of version {accepted.version} is not in force at {instance}"
                violations.append(Violation("P9", f"{detail} at the end"))
    return violations


def _check_answers_under_old_versions(record: history.History) -> list[Violation]:
    """P9: an instance that can't learn of a new version stops answering under the old one."""
    violations = []
    for call in record.calls:
        if not call.answered or call.answering_version is None:
            continue
        instance, version = call.answering_version
        for accepted in record.accepted_versions:
            late = (
                call.finished_at
                > accepted.accepted_at + CONFIGURATION_DEADLINE_S + DEADLINE_TOLERANCE_S
            )
            if late and version < accepted.version:
                detail = f"{instance} answered {call.name} under version {version}"
                violations.append(Violation("P9", f"{detail}, long after {accepted.version}"))
                break
    return violations


def _check_in_force(
    record: history.History,
    instance: str,
    applied_versions: list[history.AppliedVersion],
    accepted: history.AcceptedVersion,
) -> list[Violation]:
    due = accepted.accepted_at + CONFIGURATION_DEADLINE_S
    unavailable = any(
        period.instance == instance and period.start <= due and period.end >= accepted.accepted_at
        for period in record.unavailable_periods
    )
    at_due = [applied.version for applied in applied_versions if applied.applied_at <= due]
    if unavailable or due > record.ended_at or not at_due or at_due[-1] >= accepted.version:
        return []
    return [Violation("P9", f"version {accepted.version} is not in force at {instance} within 5 s")]
