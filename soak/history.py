"""Record of the statements that the soak's clients sent and of the replies that they received."""

import dataclasses

# Error codes that guarantee that the statement had no lasting effect.
NO_EFFECT_CODES = (
    "BUSY",
    "ABORTED",
    "BEHIND",
    "READONLY",
    "WRONGNODE",
    "TOOMANY",
    "NODB",
    "NOSTMT",
)


@dataclasses.dataclass(slots=True)
class Statement:
    """A statement of a client and its reply. Times are on the event loop's clock, in seconds.

    Attributes:
      id: Request id that the client chose.
      text: Text that the client sent.
      expected_text: Text that a member has to execute for it; for an execution of a prepared
        statement, the text of the prepared statement.
      sent_at_s: When the client began to send the statement.
      expected_shape: Shape of the prepared statement that a member has to execute; empty for none.
      answered_at_s: When the complete reply had arrived; None if the connection ended first.
      disconnected_at_s: When the connection ended before the reply; None if it did not.
      rows: Rows of the reply.
      proof: Text of the DONE line, which names the member and the request; empty without success.
      error_code: Code of the ERR line; empty after success and without a reply.
    """

    id: str
    text: str
    expected_text: str
    sent_at_s: float
    expected_shape: str = ""
    answered_at_s: float | None = None
    disconnected_at_s: float | None = None
    rows: tuple[str, ...] = ()
    proof: str = ""
    error_code: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the client received a DONE line."""
        return bool(self.proof)

    @property
    def rejected(self) -> bool:
        """Whether the error code guarantees that the statement had no lasting effect."""
        return self.error_code in NO_EFFECT_CODES


@dataclasses.dataclass(slots=True)
class Operation:
    """A single statement outside a transaction, or a transaction.

    Attributes:
      session_number: Number of the client's session.
      database: Name of the database, which stands for the consistency of its reads.
      instance: Name of the instance that served the session.
      session_values: Values that the session had set when the operation started.
      started_at_s: When the client began to send the first byte, on the event loop's clock.
      is_transaction: Whether the operation is a transaction.
      statements: Its reads and writes, and the COMMIT of a transaction.
    """

    session_number: int
    database: str
    instance: str
    session_values: dict[str, str]
    started_at_s: float
    is_transaction: bool
    statements: list[Statement] = dataclasses.field(default_factory=list)
