"""What callers get from the client library."""

import dataclasses

from bilberrystack.core import outcomes

NotRun = outcomes.NotRun
NotRunReason = outcomes.NotRunReason
Unknown = outcomes.Unknown
UnknownReason = outcomes.UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to a request that ran.

    Attributes:
      body: The answer.
      served_by: The name of the member that served it.
      from_replica: Whether that member was a replica.
      duplicate: Whether an earlier run of the same request recorded the answer.
    """

    body: bytes
    served_by: str
    from_replica: bool
    duplicate: bool


Outcome = Answer | NotRun | Unknown


class ClientFailure(Exception):
    """Base of the failures of this library."""


class Rejected(ClientFailure):
    """A proxy rejected the caller or the session.

    Attributes:
      code: The number of a bilberrystack.core.errors.CallerError.
    """

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(f"{detail} (code {code})")
        self.code = code


class NoProxy(ClientFailure):
    """No proxy accepted a connection in time."""


class TransactionFailed(ClientFailure):
    """A transaction did not begin or did not commit.

    Attributes:
      outcome: NotRun if it provably has no effect, Unknown if it may have been committed.
    """

    def __init__(self, outcome: NotRun | Unknown) -> None:
        super().__init__(f"{outcome.reason.name.lower()}: {outcome.detail}")
        self.outcome = outcome
