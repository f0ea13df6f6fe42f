"""Frames of the links between instances: a MessagePack body after its length in four bytes.

A link carries ages instead of instants, because the clocks of two machines can't be compared.
"""

import asyncio
from typing import Annotated

import msgspec

from bilberrystack.core import positions
from bilberrystack.pooling import execution
from bilberrystack.pooling import transaction
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

LENGTH_BYTES = 4

# Large enough for a statement of 1 MiB, the begin of its transaction, and its session's values and
# prepared statements, which have 4 MiB together (session.MAX_DEFINITION_BYTES).
MAX_FRAME_BYTES = 8_388_608

# Values of a session in one request; a session accepts 512. A frame has room for over a million,
# whose decoding occupied the event loop for 0.45 s.
MAX_VALUES = 4_096


class ForwardedBegin(msgspec.Struct, frozen=True, array_like=True):
    """The client's request that began a transaction.

    Attributes:
      id: The id that the client chose.
      text: The statement.
      read_only: Whether the transaction only reads.
    """

    id: str
    text: str
    read_only: bool


class ForwardedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that an instance forwards to an owner of the group.

    Attributes:
      sequence_number: Number of the request on the link; 0 for a rollback, which has no answer.
      kind: How the owner runs it: read or write outside a transaction; run, commit or leave (a
        rollback) inside one.
      id: The id that the client chose.
      text: The statement as it is sent to the member.
      access: Whether the statement reads or writes.
      prepared_statement: Access and text of the prepared statement that it executes; None if it
        executes none.
      age_s: Time since the request arrived.
      service: The group.
      database: The database as the client names it.
      consistency: The consistency that the route promises.
      timeout_s: Time limit of the statement.
      latency_objective_s: Latency objective of the operation.
      priority: Priority of the route; requests with a lower number are served first.
      max_age_s: Maximum age of the data that a read may return; None on routes of the primary.
      values: The session's values.
      last_write: The session's last write: the primary's term, term and index of the position, and
        age in seconds; None if it has written nothing.
      transaction_number: Number of the transaction on the link; 0 outside a transaction.
      begin: How the transaction began, with its first statement; otherwise None.
      configuration_version: Version of the configuration in force at the sender.
      account: Name of the client account that the statement runs under; empty for none.
    """

    sequence_number: int
    kind: str
    id: str
    text: str
    access: str
    prepared_statement: tuple[str, str] | None
    age_s: float
    service: str
    database: str
    consistency: str
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_age_s: float | None
    values: Annotated[dict[str, str], msgspec.Meta(max_length=MAX_VALUES)]
    last_write: tuple[int, int, int, float] | None
    transaction_number: int
    begin: ForwardedBegin | None
    configuration_version: int = 0
    account: str = ""


class ForwardedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a forwarded request.

    Attributes:
      sequence_number: Number of the request on the link.
      rows: The lines of the result, as received.
      done: The line that proves the result; None if there is no result.
      error_code: The error code; empty if there is a result.
      error_text: The error text for the client; empty if there is a result.
      has_reply: Whether a member answered the statement.
      state: State of the member connection after the answer.
      position: Term and index of the member's log position after the answer; None if it showed
        none.
      sent_age_s: Time since the statement was sent to the member; 0 without an answer.
      leader: Member id and term of the primary that the outcome relies on; None for replicas.
      trace: How the request was processed, see execution.Trace.
      transaction_failed: Whether the transaction has failed and can only be ended.
      transaction_pinned: Whether the transaction holds a member connection.
      declined: Whether the owner can't serve the group at all, for example because it has just
        started. The request did not run.
      configuration_version: Version of the configuration in force at the owner.
      stopping: Whether the owner begins nothing new on this link any more, since its process stops.
    """

    sequence_number: int
    rows: list[bytes]
    done: bytes | None
    error_code: str
    error_text: str
    has_reply: bool
    state: str
    position: tuple[int, int] | None
    sent_age_s: float
    leader: tuple[str, int] | None
    trace: dict[str, str | int]
    transaction_failed: bool
    transaction_pinned: bool
    declined: bool = False
    configuration_version: int = 0
    stopping: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER: msgspec.msgpack.Decoder[ForwardedRequest] = msgspec.msgpack.Decoder(
    ForwardedRequest
)
_OUTCOME_DECODER: msgspec.msgpack.Decoder[ForwardedOutcome] = msgspec.msgpack.Decoder(
    ForwardedOutcome
)


_STATES = {state.value: state for state in statements.TransactionState}
_ERROR_CODES = {code.value: code for code in statements.ErrorCode}


def pack(message: msgspec.Struct) -> bytes:
    """Encode a message as a frame."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


async def read_body(reader: asyncio.StreamReader) -> bytes:
    """Read the body of one frame.

    Raises:
      EOFError: The link ended, or the frame is too long.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > MAX_FRAME_BYTES:
        raise EOFError("the frame is longer than MAX_FRAME_BYTES")
    return await reader.readexactly(length)


def unpack_request(body: bytes) -> ForwardedRequest:
    """Decode the body of a request's frame.

    Raises:
      msgspec.MsgspecError: The body is malformed.
    """
    return _REQUEST_DECODER.decode(body)


def unpack_outcome(body: bytes) -> ForwardedOutcome:
    """Decode the body of an outcome's frame.

    Raises:
      msgspec.MsgspecError: The body is malformed.
    """
    return _OUTCOME_DECODER.decode(body)


def rollback_request(transaction_number: int) -> ForwardedRequest:
    """Return the request to roll a transaction back.

    Args:
      transaction_number: Number of the transaction on the link.
    """
    return ForwardedRequest(
        *(0, "leave", "", "", "read", None, 0.0, "", "", "primary", 0.0, 0.0, 0, None),
        *({}, None, transaction_number, None),
    )


def stop_notice() -> ForwardedOutcome:
    """Return the notice that the owner begins nothing new on a link; it answers no request."""
    failure = execution.failure_outcome(statements.ErrorCode.BUSY, "the owner stops")
    outcome = encode_outcome(0, failure, execution.Trace(), 0.0, None)
    return msgspec.structs.replace(outcome, declined=True, stopping=True)


def encode_request(
    request: execution.Request,
    sequence_number: int,
    kind: str,
    now_s: float,
    *,
    transaction_number: int = 0,
    begin: ForwardedBegin | None = None,
    configuration_version: int = 0,
) -> ForwardedRequest:
    """Convert a request to the form in which it is forwarded.

    Args:
      request: The request.
      sequence_number: Its number on the link.
      kind: How the owner runs it.
      now_s: The current time.
      transaction_number: Number of its transaction on the link; 0 outside a transaction.
      begin: How the transaction began, with its first statement; otherwise None.
      configuration_version: Version of the configuration in force.
    """
    last_write = request.last_write
    return ForwardedRequest(
        sequence_number=sequence_number,
        kind=kind,
        id=request.id,
        text=request.text,
        access=request.access.value,
        prepared_statement=(
            None
            if request.prepared_statement is None
            else (request.prepared_statement.access.value, request.prepared_statement.text)
        ),
        age_s=now_s - request.arrived_at_s,
        service=request.route.service,
        database=request.route.database,
        consistency=request.route.consistency.value,
        timeout_s=request.route.timeout_s,
        latency_objective_s=request.route.latency_objective_s,
        priority=request.route.priority,
        max_age_s=request.route.max_age_s,
        values=request.values,
        last_write=(
            None
            if last_write is None
            else (
                *(
                    last_write.term,
                    last_write.sample.position.term,
                    last_write.sample.position.index,
                ),
                now_s - last_write.sample.request_sent_at_s,
            )
        ),
        transaction_number=transaction_number,
        begin=begin,
        configuration_version=configuration_version,
        account=request.account,
    )


def decode_request(forwarded: ForwardedRequest, now_s: float) -> execution.Request:
    """Convert a forwarded request to the form that the executor runs.

    Args:
      forwarded: The request as received.
      now_s: The current time.
    """
    last_write = None
    if forwarded.last_write is not None:
        term, log_term, index, age_s = forwarded.last_write
        sample = freshness.Sample(now_s - age_s, positions.Position(log_term, index))
        last_write = freshness.LastWritePosition(term, sample)
    route = model.Route(
        database=forwarded.database,
        service=forwarded.service,
        consistency=model.Consistency(forwarded.consistency),
        timeout_s=forwarded.timeout_s,
        latency_objective_s=forwarded.latency_objective_s,
        priority=forwarded.priority,
        max_age_s=forwarded.max_age_s,
    )
    prepared_statement = None
    if forwarded.prepared_statement is not None:
        prepared_statement = execution.PreparedStatement(
            statements.Access(forwarded.prepared_statement[0]), forwarded.prepared_statement[1]
        )
    return execution.Request(
        id=forwarded.id,
        text=forwarded.text,
        access=statements.Access(forwarded.access),
        prepared_statement=prepared_statement,
        arrived_at_s=now_s - forwarded.age_s,
        route=route,
        values=forwarded.values,
        last_write=last_write,
        account=forwarded.account,
    )


def encode_outcome(
    sequence_number: int,
    outcome: execution.Outcome,
    trace: execution.Trace,
    now_s: float,
    current: transaction.Transaction | None,
) -> ForwardedOutcome:
    """Convert an outcome to the form in which it is returned to the forwarding instance.

    Args:
      sequence_number: Number of the request on the link.
      outcome: The outcome.
      trace: How the request was processed.
      now_s: The current time.
      current: The transaction that the request belongs to; None outside a transaction.
    """
    reply = outcome.reply
    position = None if reply is None else reply.position
    return ForwardedOutcome(
        sequence_number=sequence_number,
        rows=list(outcome.rows),
        done=outcome.done,
        error_code="" if outcome.failure is None else outcome.failure.code.value,
        error_text="" if outcome.failure is None else outcome.failure.text,
        has_reply=reply is not None,
        state=statements.TransactionState.IDLE.value if reply is None else reply.state.value,
        position=None if position is None else (position.term, position.index),
        sent_age_s=0.0 if reply is None else now_s - reply.request_sent_at_s,
        leader=None if outcome.leader is None else (outcome.leader.member, outcome.leader.term),
        trace=trace.fields(),
        transaction_failed=current is not None and current.failed,
        transaction_pinned=current is not None and current.pinned,
    )


def decode_outcome(
    forwarded: ForwardedOutcome, trace: execution.Trace, now_s: float
) -> execution.Outcome:
    """Convert an outcome that an owner has returned.

    Args:
      forwarded: The outcome as received.
      trace: Receives how the owner processed the request.
      now_s: The current time.
    """
    trace.update(forwarded.trace)
    reply = None
    if forwarded.has_reply:
        position = None if forwarded.position is None else positions.Position(*forwarded.position)
        state = _STATES.get(forwarded.state, statements.TransactionState.FAILED)
        sent_at_s = now_s - forwarded.sent_age_s
        reply = statements.Reply((), None, None, state, position, sent_at_s, now_s)
    failure = None
    if forwarded.error_code:
        code = _ERROR_CODES.get(forwarded.error_code, statements.ErrorCode.OTHER)
        failure = statements.Failure(code, forwarded.error_text)
    leader = None if forwarded.leader is None else permission.Leader(*forwarded.leader)
    return execution.Outcome(tuple(forwarded.rows), forwarded.done, failure, reply, leader)
