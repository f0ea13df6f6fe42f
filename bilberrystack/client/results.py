"""Outcomes and exceptions of the client library."""

import dataclasses

from bilberrystack.core import outcomes

NotRun = outcomes.NotRun
NotRunReason = outcomes.NotRunReason
Unknown = outcomes.Unknown
UnknownReason = outcomes.UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a request that ran.

    Attributes:
      body: Body of the answer.
      served_by: Name of the member that ran the request.
      from_replica: Whether this member was a replica.
      duplicate: Whether the answer was recorded by an earlier run of the same request.
    """

    body: bytes
    served_by: str
    from_replica: bool
    duplicate: bool


Outcome = Answer | NotRun | Unknown


class ClientFailure(Exception):
    """Base class of the exceptions of the client library."""


class Rejected(ClientFailure):
    """A proxy rejected the caller or the session.

    Attributes:
      code: Value of the bilberrystack.core.errors.CallerError.
    """

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(f"{detail} (code {code})")
        self.code = code


class NoProxy(ClientFailure):
    """No proxy accepted a connection before the deadline."""


class TransactionFailed(ClientFailure):
    """A transaction did not begin or did not commit.

    Attributes:
      outcome: NotRun if the transaction has no effect, Unknown if it may have been committed.
    """

    def __init__(self, outcome: NotRun | Unknown) -> None:
        super().__init__(f"{outcome.reason.name.lower()}: {outcome.detail}")
        self.outcome = outcome
