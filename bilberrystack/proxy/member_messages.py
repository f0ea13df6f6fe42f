"""Conversion between the messages of schema/members.thrift and the core's types."""

from typing import Any

from thrift import Thrift
from thrift.protocol import TProtocol

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.gen.members import ttypes

# The largest value of the field for the age of the last contact, a signed 32-bit integer, in
# milliseconds. Older contact is reported with this value.
MAX_CONTACT_MS = 2**31 - 1


def to_position(message: Any) -> positions.Position:
    """Decodes a position. Raises Thrift.TException if a field is missing."""
    message.validate()
    return positions.Position(message.term, message.index)


def from_position(position: positions.Position) -> Any:
    """Encodes a position."""
    return ttypes.Position(position.term, position.index)


def to_key(message: Any) -> requests.RequestKey:
    """Decodes an idempotency key. Raises Thrift.TException if a field is missing."""
    message.validate()
    return requests.RequestKey(message.session, message.sequence)


def from_key(key: requests.RequestKey) -> Any:
    """Encodes an idempotency key."""
    return ttypes.RequestKey(key.session, key.sequence)


def to_status(message: Any) -> members.MemberStatus:
    """Decodes a member's status report. Raises Thrift.TException if a field is missing."""
    message.validate()
    contact_ms = message.primary_contact_ms
    return members.MemberStatus(
        member=message.member,
        promised_term=message.promised_term,
        last_log=to_position(message.last_log),
        applied=to_position(message.applied),
        primary=message.primary,
        primary_contact_s=None if contact_ms < 0 else contact_ms / 1000,
        slots=message.slots,
        connection_limit=message.connection_limit,
        leaving=message.leaving,
        discarded_entries=message.discarded_entries,
        previous_term_end=to_position(message.previous_term_end),
    )


def from_status(status: members.MemberStatus) -> Any:
    """Encodes a member's status report."""
    contact_s = status.primary_contact_s
    return ttypes.Status(
        member=status.member,
        promised_term=status.promised_term,
        last_log=from_position(status.last_log),
        applied=from_position(status.applied),
        primary=status.primary,
        primary_contact_ms=-1 if contact_s is None else min(int(contact_s * 1000), MAX_CONTACT_MS),
        slots=status.slots,
        leaving=status.leaving,
        discarded_entries=status.discarded_entries,
        connection_limit=status.connection_limit,
        previous_term_end=from_position(status.previous_term_end),
    )


def from_fence(granted: bool, status: members.MemberStatus) -> Any:
    """Encodes the reply to a fence call.

    Args:
      granted: Whether the member granted the promise.
      status: The member's status report.
    """
    return ttypes.FenceReply(granted, from_status(status))


def to_reply(message: Any) -> members.MemberReply:
    """Decodes a member's reply. Raises Thrift.TException if a field is missing or invalid."""
    message.validate()
    if message.refusal is None:
        if message.body is None or message.position is None:
            raise _malformed("a reply has neither an answer nor a refusal")
        position = to_position(message.position)
        return members.Executed(
            message.body, position, bool(message.duplicate), message.promised_term
        )
    try:
        refusal = members.Refusal(message.refusal)
    except ValueError as error:
        raise _malformed(f"unknown refusal {message.refusal}") from error
    refusal_position = None if message.position is None else to_position(message.position)
    return members.Refused(refusal, message.detail or "", message.promised_term, refusal_position)


def from_reply(reply: members.MemberReply) -> Any:
    """Encodes a member's reply."""
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
