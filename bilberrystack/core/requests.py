"""Requests of callers as the owner of a database group receives them."""

import dataclasses
import enum

from bilberrystack.core import positions


class Kind(enum.IntEnum):
    """What a request does; the numbers are those of the callers' schema."""

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
    """Idempotency key: a sequence number inside a session."""

    session: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRequest:
    """A request for one database group, after authentication and checks.

    Attributes:
      key: The idempotency key.
      caller: The caller's declared name.
      group: The database group's declared name.
      kind: What the request does.
      body: The statement, opaque to the proxy.
      watermark: The session's watermark of the group; None if it is not known, so that a read
        needs a read index first.
      max_age_s: The oldest data that a read accepts, in seconds.
      deadline: Instant on the runtime's clock after which the answer is of no use.
      transaction: The transaction's id for STATEMENT, COMMIT and ABORT.
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
