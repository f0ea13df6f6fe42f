"""History of a run, as recorded by clients, members and instances; the input of the checker.

Times are in seconds of the paused clock.
"""

import dataclasses

from bilberrystack.core import outcomes
from bilberrystack.core import requests


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A request that a client sent, and its outcome.

    Attributes:
      session: Id of the session, chosen by the client.
      sequence: Sequence number of the request in its session.
      instance: Instance that the request was first sent to.
      group: Database group.
      kind: Kind of the request.
      item: Item that the request reads or writes; empty for other requests.
      value: Value that the request writes, unique in the run; empty for other requests.
      max_age_s: Maximum age of the data that a read may return, in seconds.
      sent_at: When the client sent the request.
      deadline: When the client stops waiting for the outcome.
      received_at: When an instance received the request; None if no instance did.
      transaction: Name of the transaction that the request belongs to, chosen by the client.
      outcome: Outcome; None if none arrived.
      finished_at: When the outcome arrived; None if none did.
      outcome_count: Number of outcomes that arrived.
      overdue: Whether a reachable instance sent no outcome in time.
      answering_version: The instance that answered, and its configuration version at the time.
      interrupted_by: Instances whose connection broke while they executed the request.
      answer: Item and value in the answer to a read or write.
    """

    session: str
    sequence: int
    instance: str
    group: str
    kind: requests.Kind
    sent_at: float
    deadline: float
    received_at: float | None = None
    item: str = ""
    value: str = ""
    max_age_s: float = 0.0
    transaction: str | None = None
    outcome: outcomes.Outcome | None = None
    finished_at: float | None = None
    outcome_count: int = 0
    overdue: bool = False
    answering_version: tuple[str, int] | None = None
    interrupted_by: list[str] = dataclasses.field(default_factory=list)
    answer: tuple[str, str] | None = None

    @property
    def item_repetitions(self) -> int:
        """Number of times that a read names its item; the answer has one result for each."""
        return 1 + self.sequence % 3

    @property
    def name(self) -> str:
        """Name of the request in reports."""
        return f"{self.session}/{self.sequence} {self.kind.name} {self.item}"

    @property
    def answered(self) -> bool:
        return isinstance(self.outcome, outcomes.Answer)

    @property
    def not_run(self) -> bool:
        return isinstance(self.outcome, outcomes.NotRun)


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry of a group's final log.

    Attributes:
      position: Term and index.
      key: Session and sequence number of the request; None for a new primary's empty entry.
      writes: Written items and values, in order.
      cancelled: Whether the entry only records that the request must not run.
    """

    position: tuple[int, int]
    key: tuple[str, int] | None
    writes: tuple[tuple[str, str], ...]
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedStatement:
    """A statement that a member received.

    Attributes:
      received_at: When the member received the statement.
      endpoint: Address of the member.
      kind: Kind of the statement.
      starts_work: Whether the statement starts new work, as opposed to continuing a transaction.
    """

    received_at: float
    endpoint: str
    kind: str
    starts_work: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureNotice:
    """The announcement that an endpoint or instance is leaving."""

    announced_at: float
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """An accepted configuration version, and the client account that it added."""

    accepted_at: float
    version: int
    caller: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedVersion:
    """A configuration version that an instance put in force."""

    applied_at: float
    instance: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnavailablePeriod:
    """A period during which an instance was down, paused or isolated, and may be outdated."""

    instance: str
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class History:
    """The history of one run.

    Attributes:
      calls: Requests of all sessions.
      logs: Final log of each group.
      statements: Statements that members received.
      leaving_endpoints: Departure notices of endpoints.
      instance_stops: Graceful stops of instances.
      accepted_versions: Accepted configuration versions.
      applied_versions: Configuration versions that instances put in force.
      unavailable_periods: Periods during which processes were down, paused or isolated.
      declared_callers: Client accounts declared at each open instance at the end.
      failures: Injected faults, except for lags, planned changes and faults of the store.
      ended_at: When the run ended.
      recovered: Whether all groups accepted writes after the faults were healed.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    logs: dict[str, list[LogEntry]] = dataclasses.field(default_factory=dict)
    statements: list[ReceivedStatement] = dataclasses.field(default_factory=list)
    leaving_endpoints: list[DepartureNotice] = dataclasses.field(default_factory=list)
    instance_stops: list[DepartureNotice] = dataclasses.field(default_factory=list)
    accepted_versions: list[AcceptedVersion] = dataclasses.field(default_factory=list)
    applied_versions: list[AppliedVersion] = dataclasses.field(default_factory=list)
    unavailable_periods: list[UnavailablePeriod] = dataclasses.field(default_factory=list)
    declared_callers: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    failures: list[str] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0
    recovered: bool = True
