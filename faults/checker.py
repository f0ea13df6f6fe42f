"""Checks of the promises P1 to P9 over a history; it knows nothing of the mechanisms.

The order of the writes is that of the final log of their group. A read that returned value v of an
item saw the log somewhere from the entry that wrote v up to the entry before the next write of the
item; each check that orders reads is a bound on that range.
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
CONFIGURATION_S = 5.0

# An outcome may arrive this much after the deadline: the way back to the client and jitter.
DEADLINE_SLACK_S = 0.25

WRITES = (requests.Kind.WRITE, requests.Kind.IDEMPOTENT_WRITE)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise."""

    promise: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


class _Log:
    """The final log of a group, indexed by what the checks ask for."""

    def __init__(self, entries: collections.abc.Iterable[history.LogEntry]) -> None:
        self.by_value: dict[str, list[int]] = collections.defaultdict(list)
        self.by_key: dict[tuple[str, int], list[int]] = collections.defaultdict(list)
        self.entries = list(entries)
        self._writes: dict[str, list[int]] = collections.defaultdict(list)
        for index, entry in enumerate(self.entries, start=1):
            if entry.key is not None and not entry.cancelled:
                self.by_key[entry.key].append(index)
            for item, value in entry.writes:
                self.by_value[value].append(index)
                self._writes[item].append(index)

    def first_seen(self, value: str) -> int | None:
        """Returns the lowest index at which a read can see a value; None if it is not there."""
        if not value:
            return 0
        indices = self.by_value.get(value)
        return indices[0] if indices else None

    def last_seen(self, item: str, value: str) -> float:
        """Returns the highest index at which a read of an item can still see a value."""
        start = self.first_seen(value) or 0
        writes = self._writes.get(item, [])
        following = bisect.bisect_right(writes, start)
        return writes[following] - 1 if following < len(writes) else float("inf")


def check(record: history.History) -> list[Violation]:
    """Returns every broken promise of a run."""
    logs = {group: _Log(entries) for group, entries in record.logs.items()}
    found: list[Violation] = []
    if not record.converged:
        found.append(Violation("LIVE", "the groups did not recover after every fault was healed"))
    for group, log in logs.items():
        calls = [call for call in record.calls if call.group == group]
        found += _check_reads(calls, log)
        found += _check_writes(calls, log)
        found += _check_transactions(calls, log)
    found += _check_outcomes(record)
    found += _check_leaving(record)
    found += _check_stops(record)
    found += _check_configuration(record)
    return found


def _check_reads(calls: list[history.Call], log: _Log) -> list[Violation]:
    """P1 and stated ages: what each read returned against what it had to see."""
    found = []
    seen_at = _positions_seen(calls, log)
    writes = [
        (call.finished_at, seen_at[call]) for call in calls if call in seen_at and _is_write(call)
    ]
    highest = _running_maximum(sorted(writes))
    by_session: dict[str, list[history.Call]] = collections.defaultdict(list)
    for call in calls:
        if call.answered and (call.transaction is None or _is_write(call)):
            by_session[call.session].append(call)
    for session_calls in by_session.values():
        for call in session_calls:
            if call.kind is requests.Kind.READ and call.answer is not None:
                earlier = {c: seen_at[c] for c in session_calls if _precedes(c, call, seen_at)}
                found += _check_read(call, earlier, log)
                found += _check_age(call, highest, log)
    return found


def _is_write(call: history.Call) -> bool:
    return call.kind in WRITES or call.kind is requests.Kind.COMMIT


def _precedes(earlier: history.Call, call: history.Call, seen_at: dict[history.Call, int]) -> bool:
    return earlier in seen_at and earlier.finished_at <= call.sent_at


def _positions_seen(calls: list[history.Call], log: _Log) -> dict[history.Call, int]:
    """Returns the index that each answered write, commit and read proves to its caller."""
    committed: dict[str | None, int] = collections.defaultdict(int)
    for call in calls:
        if call.transaction is not None and call.value:
            index = log.first_seen(call.value) or 0
            committed[call.transaction] = max(committed[call.transaction], index)
    seen: dict[history.Call, int] = {}
    for call in calls:
        if not call.answered:
            continue
        if call.kind is requests.Kind.COMMIT:
            seen[call] = committed[call.transaction]
        elif call.kind in WRITES:
            seen[call] = log.first_seen(call.value) or 0
        elif call.kind is requests.Kind.READ and call.answer is not None:
            seen[call] = log.first_seen(call.answer[1]) or 0
    return seen


def _check_read(call: history.Call, earlier: dict[history.Call, int], log: _Log) -> list[Violation]:
    item, value = call.answer or ("", "")
    if item != call.item:
        return [Violation("P4", f"{call.name} got the answer of a read of {item!r}")]
    if log.first_seen(value) is None:
        return [Violation("P2", f"{call.name} returned {value!r}, which is not in the final log")]
    last = log.last_seen(item, value)
    for other, floor in earlier.items():
        if last < floor:
            rule = "read-your-writes" if _is_write(other) else "monotonic reads"
            return [Violation("P1", f"{rule}: {call.name} returned {value!r} after {other.name}")]
    return []


def _check_age(
    call: history.Call, highest: tuple[list[float], list[int]], log: _Log
) -> list[Violation]:
    times, maxima = highest
    covered = bisect.bisect_right(times, call.sent_at - call.age)
    floor = maxima[covered - 1] if covered else 0
    value = (call.answer or ("", ""))[1]
    if log.last_seen(call.item, value) >= floor:
        return []
    return [
        Violation("P1", f"stated age: {call.name} of age {call.age} s at {call.sent_at:.4f} is old")
    ]


def _running_maximum(pairs: list[tuple[float, int]]) -> tuple[list[float], list[int]]:
    times, maxima = [], []
    for at, index in pairs:
        times.append(at)
        maxima.append(max(index, maxima[-1] if maxima else 0))
    return times, maxima


def _check_writes(calls: list[history.Call], log: _Log) -> list[Violation]:
    """P2, P5 and P6: the outcome of each write against the final log."""
    found = []
    for call in calls:
        if call.kind not in WRITES:
            continue
        found_at = log.by_value.get(call.value, [])
        if call.answered and not found_at:
            found.append(Violation("P2", f"{call.name} was acknowledged and is not in the log"))
        if call.not_run and found_at:
            found.append(Violation("P5", f"{call.name} was reported not run and is in the log"))
        if len(found_at) > 1 and call.kind is requests.Kind.WRITE:
            found.append(Violation("P6", f"{call.name} is {len(found_at)} times in the log"))
    return found


def _check_transactions(calls: list[history.Call], log: _Log) -> list[Violation]:
    """P3: a transaction is in the log as a whole and alone, or not at all."""
    found = []
    by_transaction: dict[str, list[history.Call]] = collections.defaultdict(list)
    for call in calls:
        if call.transaction is not None:
            by_transaction[call.transaction].append(call)
    owner_of = {call.value: call.transaction for call in calls if call.value}
    for name, members in by_transaction.items():
        found += _check_transaction(name, members, log)
    for entry in log.entries:
        owners = {owner_of.get(value) for _, value in entry.writes}
        if len(owners) > 1:
            found.append(
                Violation("P3", f"entry {entry.position} mixes {sorted(map(str, owners))}")
            )
    return found


def _check_transaction(name: str, calls: list[history.Call], log: _Log) -> list[Violation]:
    values = {call.value for call in calls if call.value and call.answered}
    every = {call.value for call in calls if call.value}
    commits = [call for call in calls if call.kind is requests.Kind.COMMIT]
    commit = commits[0] if commits else None
    in_log = {value for value in every if log.by_value.get(value)}
    found = []
    if in_log and (commit is None or not values <= in_log):
        found.append(Violation("P3", f"transaction {name} is in the log in part"))
    if len({index for value in in_log for index in log.by_value[value]}) > 1:
        found.append(Violation("P3", f"transaction {name} is spread over entries or repeated"))
    if commit is not None and commit.answered and not values <= in_log:
        found.append(Violation("P2", f"transaction {name} was acknowledged and is not in the log"))
    if commit is not None and commit.not_run and in_log:
        found.append(Violation("P5", f"transaction {name} was reported not run and is in the log"))
    return found


def _check_outcomes(record: history.History) -> list[Violation]:
    """P4: every request gets exactly one whole outcome of its own in time."""
    found = []
    for call in record.calls:
        if call.outcomes > 1:
            found.append(Violation("P4", f"{call.name} got {call.outcomes} outcomes"))
        if call.overdue:
            found.append(Violation("P4", f"{call.name} got no outcome in time"))
        if call.outcome is None:
            if record.ended_at > call.deadline + DEADLINE_SLACK_S:
                found.append(Violation("P4", f"{call.name} got no outcome"))
            continue
        if call.finished_at > call.deadline + DEADLINE_SLACK_S:
            late = call.finished_at - call.deadline
            found.append(Violation("P4", f"{call.name} got its outcome {late:.3f} s late"))
        if call.value and call.answer is not None and call.answer[1] != call.value:
            found.append(Violation("P4", f"{call.name} got the answer of {call.answer[1]!r}"))
    return found


def _check_leaving(record: history.History) -> list[Violation]:
    """P7: no new work at an endpoint a few seconds after it was announced as leaving."""
    found = []
    for leaving in record.leaving_endpoints:
        late = [
            work
            for work in record.work
            if work.new and work.endpoint == leaving.name and work.at > leaving.at + LEAVING_GRACE_S
        ]
        if late:
            after = late[0].at - leaving.at
            found.append(
                Violation(
                    "P7", f"{leaving.name} got {late[0].kind} {after:.2f} s after it was leaving"
                )
            )
    return found


def _check_stops(record: history.History) -> list[Violation]:
    """P8: a graceful stop cuts off no request that was in flight."""
    found = []
    for stop in record.stops:
        for call in record.calls:
            in_flight = call.received_at is not None and call.received_at <= stop.at
            in_flight &= call.finished_at is None or call.finished_at > stop.at
            broken = stop.name in call.cut_off_by or (
                call.instance == stop.name and _cut_off(call, bool(record.faults))
            )
            if in_flight and broken:
                found.append(Violation("P8", f"{call.name} was cut off by the stop of {stop.name}"))
    return found


def _cut_off(call: history.Call, faults: bool) -> bool:
    """Tells whether a stop is why a request was not answered.

    Without any other fault every request has to be answered, but for commits that conflict. With
    one, only the reasons of a stop are held against it.
    """
    match call.outcome:
        case outcomes.Answer():
            return False
        case outcomes.NotRun(reason=reason):
            if not faults:
                return call.kind is not requests.Kind.COMMIT
            return reason in (
                outcomes.NotRunReason.LEAVING,
                outcomes.NotRunReason.OWNER_UNREACHABLE,
            )
        case _:
            return not faults


def _check_configuration(record: history.History) -> list[Violation]:
    """P9: versions never go backwards and take effect everywhere within seconds."""
    found = []
    by_instance: dict[str, list[history.Applied]] = collections.defaultdict(list)
    for applied in record.applied:
        by_instance[applied.instance].append(applied)
    for instance, series in by_instance.items():
        for before, after in itertools.pairwise(series):
            if after.version < before.version:
                found.append(
                    Violation(
                        "P9", f"{instance} went back from {before.version} to {after.version}"
                    )
                )
        for accepted in record.accepted:
            found += _check_in_force(record, instance, series, accepted)
    found += _check_answers_under_old_versions(record)
    for instance, declared in record.declared.items():
        for accepted in record.accepted:
            if accepted.caller and accepted.caller not in declared:
                detail = f"the change of version {accepted.version} is not in force at {instance}"
                found.append(Violation("P9", f"{detail} at the end"))
    return found


def _check_answers_under_old_versions(record: history.History) -> list[Violation]:
    """An instance that can't know of a new version must not go on answering under the old one."""
    found = []
    for call in record.calls:
        if not call.answered or call.answered_under is None:
            continue
        instance, version = call.answered_under
        for accepted in record.accepted:
            late = call.finished_at > accepted.at + CONFIGURATION_S + DEADLINE_SLACK_S
            if late and version < accepted.version:
                detail = f"{instance} answered {call.name} under version {version}"
                found.append(Violation("P9", f"{detail}, long after {accepted.version}"))
                break
    return found


def _check_in_force(
    record: history.History,
    instance: str,
    series: list[history.Applied],
    accepted: history.Accepted,
) -> list[Violation]:
    due = accepted.at + CONFIGURATION_S
    absent = any(
        absence.instance == instance and absence.start <= due and absence.end >= accepted.at
        for absence in record.absences
    )
    at_due = [applied.version for applied in series if applied.at <= due]
    if absent or due > record.ended_at or not at_due or at_due[-1] >= accepted.version:
        return []
    return [Violation("P9", f"version {accepted.version} is not in force at {instance} within 5 s")]
