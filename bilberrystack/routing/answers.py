"""What the answer to a statement can be, and which answers a member connection has had.

An answer carries no request id, and a member may send one twice, the second time late. A connection
therefore takes an answer only if it can be the one to the statement that is out.
"""

import dataclasses
import enum
import random

from bilberrystack.core import positions
from bilberrystack.routing import statements

# A connection is replaced after this many different answers, which bounds the memory for their
# digests to about 0.5 MB. Opening another one takes 12 ms of a member's slot, as long as a
# statement does.
MAX_ANSWERS = 2_000

# Statements of a challenge. Late copies of earlier answers imitate its answers with a probability
# of 1/64, if as many as it has statements arrive in the time of one exchange.
CHALLENGE_LENGTH = 6


class RowCount(enum.Enum):
    """How many rows a success has."""

    NONE = "none"
    ANY = "any"
    ONE = "one"


class Fault(enum.Enum):
    """Why received data can't be the answer to the statement that is out."""

    UNASKED = "unasked"
    MALFORMED = "malformed"
    REPEATED = "repeated"
    PROOF_MISSING = "proof_missing"
    ROW_COUNT = "row_count"
    STATE = "state"
    POSITION = "position"
    ERROR_UNVERIFIED = "error_unverified"


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """What the answer to a statement can be.

    Attributes:
      proven: Whether a success carries a proof.
      row_count: How many rows a success has.
      next_state: The state after a success; None if the statement leaves the state as it is.
      verify_errors: Whether an error that may belong to another statement has to be verified. It
        has not if the connection is closed after any error, or if the answer is not relied on.
      min_position: The position that the member's log has to contain for a success; None for any.
    """

    proven: bool
    row_count: RowCount
    next_state: statements.TransactionState | None
    verify_errors: bool
    min_position: positions.Position | None = None

    @property
    def begins_transaction(self) -> bool:
        """Whether a success begins a transaction."""
        return self.next_state is statements.TransactionState.TRANSACTION

    @property
    def shows_position(self) -> bool:
        """Whether the member had the position in a success after the statement was sent.

        The answer to a preparation or to BEGIN may be an earlier one.
        """
        return self.proven or self.row_count is RowCount.ONE


READ = Expectation(True, RowCount.ANY, None, verify_errors=True)
WRITE = Expectation(True, RowCount.NONE, None, verify_errors=True)
COMMIT = Expectation(True, RowCount.NONE, statements.TransactionState.IDLE, verify_errors=True)
BEGIN = Expectation(
    False, RowCount.NONE, statements.TransactionState.TRANSACTION, verify_errors=True
)
ROLLBACK = Expectation(False, RowCount.NONE, statements.TransactionState.IDLE, verify_errors=False)
PREPARATION = Expectation(False, RowCount.NONE, None, verify_errors=False)
# The choice of a primary, the fence and the freshness of reads depend on status reports, which have
# no proof. Commands that are answered with one have no further effect if they are sent again.
STATUS = Expectation(False, RowCount.ONE, None, verify_errors=False)


def begin(min_position: positions.Position | None) -> Expectation:
    """Return what the answer to a BEGIN can be.

    If the member's log lacks the position, each earlier answer of the connection shows a lower one,
    and a second copy of it can't be taken for a success.

    Args:
      min_position: The position that the member's log has to contain; None for any.
    """
    return dataclasses.replace(BEGIN, min_position=min_position)


def of_access(access: statements.Access) -> Expectation:
    """Return what the answer to a read or a write can be."""
    return READ if access is statements.Access.READ else WRITE


def draw_challenge() -> tuple[bool, ...]:
    """Return behind which statements of a challenge the connection is in a transaction.

    Late copies were sent before the draw and can't follow it, whatever their number and order.
    """
    bits = random.getrandbits(CHALLENGE_LENGTH)
    return tuple(bool(bits >> index & 1) for index in range(CHALLENGE_LENGTH))


class Verdict(enum.Enum):
    """Whether an answer is known to be the one to the statement that is out."""

    CERTAIN = "certain"
    UNVERIFIED = "unverified"


class AnswerHistory:
    """The answers of one connection: proofs and errors that it has had.

    Answers without a proof look alike. After one of them a second copy may have been taken for the
    answer, and the true one may still arrive; the connection is then not known to be in step.
    """

    __slots__ = ("_digests", "_had_begin", "_highest_begin_position", "_in_step")

    def __init__(self) -> None:
        # Digests instead of the answers themselves, which may be 1 MiB long.
        self._digests: set[int] = set()
        self._had_begin = False
        self._highest_begin_position: positions.Position | None = None
        self._in_step = True

    @property
    def full(self) -> bool:
        """Whether the connection has had as many different answers as it remembers."""
        return len(self._digests) >= MAX_ANSWERS

    def check_success(
        self,
        reply: statements.Reply,
        proof: bytes | None,
        expectation: Expectation,
        previous_state: statements.TransactionState,
    ) -> Fault | Verdict:
        """Check and record a success.

        Args:
          reply: The answer.
          proof: Its proof; None if it has none.
          expectation: What the answer can be.
          previous_state: State of the connection before the statement.
        Returns:
          Why the answer belongs to another statement, or whether it is certain that it doesn't. A
          status report that the connection has had before is not certain, nor is the answer to a
          BEGIN that shows no higher position than an earlier one that looks like it. Answers to
          preparations count as certain, because the answer to the next statement shows it if they
          were not.
        """
        if proof is not None and self._is_repeated(proof):
            return Fault.REPEATED
        if expectation.proven and proof is None:
            return Fault.PROOF_MISSING
        if not _row_count_fits(len(reply.rows), expectation.row_count):
            return Fault.ROW_COUNT
        if reply.state is not (expectation.next_state or previous_state):
            return Fault.STATE
        if expectation.min_position is not None and (
            reply.position is None or reply.position < expectation.min_position
        ):
            return Fault.POSITION
        self._in_step = expectation.proven
        if expectation.row_count is RowCount.ONE and self._is_repeated(reply.rows[0]):
            return Verdict.UNVERIFIED
        looks_like_begin = not expectation.proven and (
            reply.state is statements.TransactionState.TRANSACTION
        )
        if (
            looks_like_begin
            and not self._has_new_position(reply)
            and expectation.begins_transaction
        ):
            return Verdict.UNVERIFIED
        return Verdict.CERTAIN

    def check_failure(
        self,
        reply: statements.Reply,
        failure: statements.Failure,
        expectation: Expectation,
        previous_state: statements.TransactionState,
    ) -> Fault | Verdict:
        """Check and record an error.

        An error that the connection has had before may be its second copy. An error that follows
        an answer without a proof may belong to the statement before.

        Args:
          reply: The answer.
          failure: The error.
          expectation: What the answer can be.
          previous_state: State of the connection before the statement.
        Returns:
          Why the error belongs to another statement, or whether it is certain that it doesn't.
        """
        repeated = self._is_repeated(failure.text)
        if not _state_fits_error(reply.state, expectation, previous_state):
            return Fault.STATE
        if not expectation.verify_errors:
            self._in_step = False
            # A busy member rejects one status query after the other. An error of the others ends
            # the connection, for which the member is not to blame if it is a second copy.
            reports_status = expectation.row_count is RowCount.ONE
            return Fault.REPEATED if repeated and not reports_status else Verdict.CERTAIN
        if reply.state is statements.TransactionState.FAILED:
            # Nothing but a rollback follows, whose answer differs from all others that may arrive.
            return Fault.REPEATED if repeated else Verdict.CERTAIN
        in_transaction = reply.state is statements.TransactionState.TRANSACTION
        # The statements before that have no proof take no slot, so that they are never rejected as
        # busy; most first statements of a transaction would need another round trip otherwise.
        own_rejection = in_transaction and failure.code is statements.ErrorCode.BUSY
        if repeated or not (self._in_step or own_rejection):
            return Verdict.UNVERIFIED
        return Verdict.CERTAIN

    def forget_proof(self, proof: bytes | None) -> None:
        """Accept a proof once more, for a statement that is sent again."""
        self._digests.discard(hash(proof))

    def _has_new_position(self, reply: statements.Reply) -> bool:
        """Record an answer that looks like one to BEGIN; return whether it is no second copy."""
        position, highest = reply.position, self._highest_begin_position
        first = not self._had_begin
        self._had_begin = True
        if position is None:
            return first
        if highest is None or position > highest:
            self._highest_begin_position = position
            return True
        return False

    def _is_repeated(self, text: bytes | str) -> bool:
        """Record a proof, an error or a status report; return whether there was an equal one."""
        digest = hash(text)
        repeated = digest in self._digests
        self._digests.add(digest)
        return repeated


def _row_count_fits(row_count: int, expected: RowCount) -> bool:
    match expected:
        case RowCount.NONE:
            return row_count == 0
        case RowCount.ONE:
            return row_count == 1
        case RowCount.ANY:
            return True


def _state_fits_error(
    state: statements.TransactionState,
    expectation: Expectation,
    previous_state: statements.TransactionState,
) -> bool:
    """Return whether an error of a statement can lead from one state to another."""
    if state is statements.TransactionState.FAILED:
        return True
    if previous_state is statements.TransactionState.IDLE:
        return state is statements.TransactionState.IDLE
    ends_transaction = expectation.next_state is statements.TransactionState.IDLE
    return ends_transaction or state is statements.TransactionState.TRANSACTION
