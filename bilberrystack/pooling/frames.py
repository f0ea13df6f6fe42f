"""Frames of the links between instances: MessagePack with a length of four bytes in front.

Instants don't cross a link, ages do: clocks of two machines are never compared.
"""

import asyncio

import msgspec

from bilberrystack.core import positions
from bilberrystack.pooling import execution
from bilberrystack.pooling import transaction
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

LENGTH_BYTES = 4

# A statement of 1 MiB with its session's values fits.
MAX_FRAME_BYTES = 8_388_608


class Opening(msgspec.Struct, frozen=True, array_like=True):
    """How a transaction was begun."""

    id: str
    text: str
    read_only: bool


class Work(msgspec.Struct, frozen=True, array_like=True):
    """A statement to run; `transaction` is 0 outside one, `opening` comes with its first one.

    `version` is that of the configuration in force at the sender.
    """

    number: int
    kind: str
    id: str
    text: str
    access: str
    shape: tuple[str, str] | None
    age_s: float
    service: str
    database: str
    consistency: str
    timeout_s: float
    aim_s: float
    priority: int
    max_age_s: float | None
    values: dict[str, str]
    mark: tuple[int, int, int, float] | None
    transaction: int
    opening: Opening | None
    version: int = 0


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """What a client is told, and how it was decided; `version` as in `Work`."""

    number: int
    rows: list[bytes]
    done: bytes | None
    code: str
    text: str
    replied: bool
    state: str
    position: tuple[int, int] | None
    asked_age_s: float
    leader: tuple[str, int] | None
    trace: dict[str, str | int]
    failed: bool
    pinned: bool
    # Whether the owner can't serve the group at all: it has just started, for example.
    declined: bool = False
    version: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_WORK: msgspec.msgpack.Decoder[Work] = msgspec.msgpack.Decoder(Work)
_ENDED: msgspec.msgpack.Decoder[Ended] = msgspec.msgpack.Decoder(Ended)


def pack(message: msgspec.Struct) -> bytes:
    """Returns a message with its length in front."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


async def read(reader: asyncio.StreamReader) -> bytes:
    """Reads the content of one frame; raises EOFError at the link's end or if it is too long."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > MAX_FRAME_BYTES:
        raise EOFError("a frame is too long")
    return await reader.readexactly(length)


def decode_work(data: bytes) -> Work:
    """Decodes a statement; raises msgspec.MsgspecError."""
    return _WORK.decode(data)


def decode_ended(data: bytes) -> Ended:
    """Decodes how a statement ended; raises msgspec.MsgspecError."""
    return _ENDED.decode(data)


def leaving(number: int) -> Work:
    """Returns the message that a transaction is given up."""
    return Work(
        *(0, "leave", "", "", "read", None, 0.0, "", "", "primary", 0.0, 0.0, 0, None),
        *({}, None, number, None),
    )


def encode_statement(
    work: execution.Work,
    number: int,
    kind: str,
    now_s: float,
    *,
    pinned: int = 0,
    opening: Opening | None = None,
    version: int = 0,
) -> Work:
    """Returns a statement as it crosses the link.

    Args:
      work: The statement.
      number: Its number on the link.
      kind: How the owner runs it.
      now_s: The present.
      pinned: The number of its transaction, 0 outside one.
      opening: How the transaction was begun, with its first statement.
      version: The configuration in force.
    """
    mark = work.mark
    return Work(
        number=number,
        kind=kind,
        id=work.id,
        text=work.text,
        access=work.access.value,
        shape=None if work.shape is None else (work.shape.access.value, work.shape.text),
        age_s=now_s - work.arrived_at_s,
        service=work.route.service,
        database=work.route.database,
        consistency=work.route.consistency.value,
        timeout_s=work.route.timeout_s,
        aim_s=work.route.latency_objective_s,
        priority=work.route.priority,
        max_age_s=work.route.max_age_s,
        values=work.values,
        mark=(
            None
            if mark is None
            else (
                *(mark.term, mark.sample.position.term, mark.sample.position.index),
                now_s - mark.sample.request_sent_at_s,
            )
        ),
        transaction=pinned,
        opening=opening,
        version=version,
    )


def decode_statement(work: Work, now_s: float) -> execution.Work:
    """Returns a forwarded statement as the executor takes it."""
    mark = None
    if work.mark is not None:
        term, log_term, index, age_s = work.mark
        sample = freshness.Sample(now_s - age_s, positions.Position(log_term, index))
        mark = freshness.LastWritePosition(term, sample)
    route = model.Route(
        database=work.database,
        service=work.service,
        consistency=model.Consistency(work.consistency),
        timeout_s=work.timeout_s,
        latency_objective_s=work.aim_s,
        priority=work.priority,
        max_age_s=work.max_age_s,
    )
    shape = None
    if work.shape is not None:
        shape = execution.Shape(statements.Access(work.shape[0]), work.shape[1])
    return execution.Work(
        id=work.id,
        text=work.text,
        access=statements.Access(work.access),
        shape=shape,
        arrived_at_s=now_s - work.age_s,
        route=route,
        values=work.values,
        mark=mark,
    )


def encode_outcome(
    number: int,
    outcome: execution.Outcome,
    trace: execution.Trace,
    now_s: float,
    current: transaction.Transaction | None,
) -> Ended:
    """Returns an outcome as it crosses the link.

    Args:
      number: The statement's number on the link.
      outcome: The outcome.
      trace: How it was decided.
      now_s: The present.
      current: The transaction that it belongs to; None outside one.
    """
    reply = outcome.reply
    position = None if reply is None else reply.position
    return Ended(
        number=number,
        rows=list(outcome.rows),
        done=outcome.done,
        code="" if outcome.failure is None else outcome.failure.code.value,
        text="" if outcome.failure is None else outcome.failure.text,
        replied=reply is not None,
        state=statements.TransactionState.IDLE.value if reply is None else reply.state.value,
        position=None if position is None else (position.term, position.index),
        asked_age_s=0.0 if reply is None else now_s - reply.request_sent_at_s,
        leader=None if outcome.leader is None else (outcome.leader.member, outcome.leader.term),
        trace=trace.fields(),
        failed=current is not None and current.failed,
        pinned=current is not None and current.pinned,
    )


def decode_outcome(ended: Ended, trace: execution.Trace, now_s: float) -> execution.Outcome:
    """Returns what an owner has decided; the trace takes how."""
    trace.update(ended.trace)
    reply = None
    if ended.replied:
        position = None if ended.position is None else positions.Position(*ended.position)
        state = statements.TransactionState(ended.state)
        asked_at_s = now_s - ended.asked_age_s
        reply = statements.Reply((), None, None, state, position, asked_at_s, now_s)
    failure = None
    if ended.code:
        failure = statements.Failure(statements.ErrorCode(ended.code), ended.text)
    leader = None if ended.leader is None else permission.Leader(*ended.leader)
    return execution.Outcome(tuple(ended.rows), ended.done, failure, reply, leader)
