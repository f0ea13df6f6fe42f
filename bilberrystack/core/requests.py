"""Requests of callers as received by the owner of a database group."""

import dataclasses
import enum

from bilberrystack.core import positions


class Kind(enum.IntEnum):
    """Kind of a request; the values are those of the callers' schema."""

    READ = 1
    WRITE = 2
    IDEMPOTENT_WRITE = 3
    BEGIN = 4
    STATEMENT = 5
    COMMIT = 6
    ABORT = 7
    RESOLVE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Idempotency key of a request: a sequence number within a session."""

    session: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRequest:
    """An authenticated and validated request for one database group.

    Attributes:
      key: Idempotency key.
      caller: Declared name of the caller.
      group: Declared name of the database group.
      kind: Kind of the request.
      body: The statement, opaque to the proxy.
      watermark: The session's watermark of the group; None if it is unknown, so that a read needs a
        read index first.
      max_age_s: Maximum age of the data that a read accepts, in seconds.
      deadline: Time on the event loop's clock after which the answer is of no use.
      transaction: Id of the transaction for STATEMENT, COMMIT and ABORT; None for other kinds.
    """

    key: RequestKey
    caller: str
    group: str
    kind: Kind
    body: bytes
    watermark: positions.Position | None
    max_age_s: float
    deadline: float
    transaction: str | None = None
