"""Translates between the messages of schema/members.thrift and the types of the core."""

from typing import Any

from thrift import Thrift
from thrift.protocol import TProtocol

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.gen.members import ttypes

# Contact older than this is reported as this; the field is a signed number of 32 bits.
MAX_CONTACT_MS = 2**31 - 1


def to_position(wire: Any) -> positions.Position:
    """Returns a position. Raises Thrift.TException if a field is missing."""
    wire.validate()
    return positions.Position(wire.term, wire.index)


def from_position(position: positions.Position) -> Any:
    """Returns the message of a position."""
    return ttypes.Position(position.term, position.index)


def to_key(wire: Any) -> requests.RequestKey:
    """Returns an idempotency key. Raises Thrift.TException if a field is missing."""
    wire.validate()
    return requests.RequestKey(wire.session, wire.sequence)


def from_key(key: requests.RequestKey) -> Any:
    """Returns the message of an idempotency key."""
    return ttypes.RequestKey(key.session, key.sequence)


def to_status(wire: Any) -> members.MemberStatus:
    """Returns a member's report. Raises Thrift.TException if a field is missing."""
    wire.validate()
    contact_ms = wire.primary_contact_ms
    return members.MemberStatus(
        member=wire.member,
        promised_term=wire.promised_term,
        last_log=to_position(wire.last_log),
        applied=to_position(wire.applied),
        primary=wire.primary,
        primary_contact_s=None if contact_ms < 0 else contact_ms / 1000,
        slots=wire.slots,
        connection_limit=wire.connection_limit,
        leaving=wire.leaving,
        discarded_entries=wire.discarded_entries,
        previous_term_end=to_position(wire.previous_term_end),
    )


def from_status(status: members.MemberStatus) -> Any:
    """Returns the message of a member's report."""
    contact = status.primary_contact_s
    return ttypes.Status(
        member=status.member,
        promised_term=status.promised_term,
        last_log=from_position(status.last_log),
        applied=from_position(status.applied),
        primary=status.primary,
        primary_contact_ms=-1 if contact is None else min(int(contact * 1000), MAX_CONTACT_MS),
        slots=status.slots,
        leaving=status.leaving,
        discarded_entries=status.discarded_entries,
        connection_limit=status.connection_limit,
        previous_term_end=from_position(status.previous_term_end),
    )


def from_fence(granted: bool, status: members.MemberStatus) -> Any:
    """Returns the message that answers fence."""
    return ttypes.FenceReply(granted, from_status(status))


def to_reply(wire: Any) -> members.MemberReply:
    """Returns a member's reply. Raises Thrift.TException if a field is missing or unknown."""
    wire.validate()
    if wire.refusal is None:
        if wire.body is None or wire.position is None:
            raise _malformed("a reply has neither an answer nor a refusal")
        position = to_position(wire.position)
        return members.Executed(wire.body, position, bool(wire.duplicate), wire.promised_term)
    try:
        refusal = members.Refusal(wire.refusal)
    except ValueError as error:
        raise _malformed(f"unknown refusal {wire.refusal}") from error
    at = None if wire.position is None else to_position(wire.position)
    return members.Refused(refusal, wire.detail or "", wire.promised_term, at)


def from_reply(reply: members.MemberReply) -> Any:
    """Returns the message of a member's reply."""
    match reply:
        case members.Executed():
            return ttypes.Reply(
                body=reply.body,
                position=from_position(reply.position),
                duplicate=reply.duplicate,
                promised_term=reply.promised_term,
            )
        case members.Refused():
            return ttypes.Reply(
                refusal=int(reply.refusal),
                detail=reply.detail,
                position=None if reply.position is None else from_position(reply.position),
                promised_term=reply.promised_term,
            )


def _malformed(detail: str) -> Thrift.TException:
    return TProtocol.TProtocolException(TProtocol.TProtocolException.INVALID_DATA, detail)
