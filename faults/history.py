"""What callers, members and instances saw in one run; all that the checker works on.

Times are seconds of the paused clock.
"""

import dataclasses

from bilberrystack.core import outcomes
from bilberrystack.core import requests


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A request that a caller sent, and its outcome.

    Attributes:
      session: The session's id, as the caller names it.
      sequence: The number of the request in its session.
      instance: The instance it was sent through first.
      group: The database group.
      kind: What it does.
      item: The item that it reads or writes; empty for others.
      value: The value that it writes, unique in the run.
      age: The stated age of a read, in seconds.
      sent_at: When it was sent.
      deadline: When the caller stops to wait.
      received_at: When an instance began to work on it; None if it never arrived.
      transaction: The caller's own name of the transaction it belongs to.
      outcome: Its outcome; None if there was none.
      finished_at: When the outcome arrived.
      outcomes: How many outcomes arrived.
      overdue: Whether a reachable instance gave no outcome in time.
      answered_under: The instance that answered and its configuration version then.
      cut_off_by: Instances that broke the connection while they worked on the request.
      answer: The item and value that the answer to a read holds.
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
    age: float = 0.0
    transaction: str | None = None
    outcome: outcomes.Outcome | None = None
    finished_at: float | None = None
    outcomes: int = 0
    overdue: bool = False
    answered_under: tuple[str, int] | None = None
    cut_off_by: list[str] = dataclasses.field(default_factory=list)
    answer: tuple[str, str] | None = None

    @property
    def arity(self) -> int:
        """How often the read asks for its item; the answer must be as long."""
        return 1 + self.sequence % 3

    @property
    def name(self) -> str:
        """What identifies the request in reports."""
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
      key: Session and sequence number; None for the empty entry of a new primary.
      writes: The items and values that it wrote, in order.
      cancelled: Whether it only records that the request must not run.
    """

    position: tuple[int, int]
    key: tuple[str, int] | None
    writes: tuple[tuple[str, str], ...]
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A statement that arrived at a member; started tells whether it opens new work."""

    at: float
    endpoint: str
    kind: str
    new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """An endpoint or instance that leaves, from the instant at which that was announced."""

    at: float
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A configuration version that was accepted, and the caller that it declared."""

    at: float
    version: int
    caller: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The configuration version in force at an instance at an instant."""

    at: float
    instance: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """A time during which an instance need not be up to date: down, paused or cut off."""

    instance: str
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class History:
    """The record of one run.

    Attributes:
      faults: What failed, apart from lags, planned changes and the store.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    logs: dict[str, list[LogEntry]] = dataclasses.field(default_factory=dict)
    work: list[Work] = dataclasses.field(default_factory=list)
    leaving_endpoints: list[Leaving] = dataclasses.field(default_factory=list)
    stops: list[Leaving] = dataclasses.field(default_factory=list)
    accepted: list[Accepted] = dataclasses.field(default_factory=list)
    applied: list[Applied] = dataclasses.field(default_factory=list)
    absences: list[Absence] = dataclasses.field(default_factory=list)
    # The callers declared at each live instance at the end.
    declared: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0
    converged: bool = True
