"""Outcomes of a request: an answer, not run, or unknown."""

import dataclasses
import enum

from bilberrystack.core import positions


class NotRunReason(enum.IntEnum):
    """Reason why a request is certain not to have run."""

    QUEUE_FULL = 1
    DEADLINE_BEFORE_SEND = 2
    NO_PRIMARY = 3
    NO_MAJORITY = 4
    REPLICAS_BEHIND = 5
    UNKNOWN_GROUP = 6
    NOT_PERMITTED = 7
    INVALID_STATEMENT = 8
    CANCELLED = 9
    TRANSACTION_ABORTED = 10
    LEAVING = 11
    STALE_CONFIGURATION = 12
    OWNER_UNREACHABLE = 13
    INVALID_REQUEST = 14


class UnknownReason(enum.IntEnum):
    """Reason why it is unknown whether a request ran."""

    DEADLINE_AFTER_SEND = 1
    CONNECTION_LOST = 2
    KEY_TOO_OLD = 3
    NOT_CONFIRMED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a request that ran.

    Attributes:
      body: The member's answer.
      position: Confirmed log position that the answer reflects.
      served_by: Name of the member that served the request.
      from_replica: Whether that member was a replica.
      transaction: Id of the transaction that BEGIN opened; None for other kinds of requests.
      duplicate: Whether the answer was recorded by an earlier execution with the same key.
    """

    body: bytes
    position: positions.Position
    served_by: str
    from_replica: bool
    transaction: str | None = None
    duplicate: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not run later.

    Attributes:
      reason: Reason why the request did not run.
      detail: Short human-readable description.
      retry_after_s: Seconds after which a retry may succeed; 0 if unknown.
    """

    reason: NotRunReason
    detail: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run or may still run.

    Attributes:
      reason: Reason why the outcome is unknown.
      detail: Short human-readable description.
    """

    reason: UnknownReason
    detail: str


Outcome = Answer | NotRun | Unknown
