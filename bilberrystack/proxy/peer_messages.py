"""Conversions between the Thrift structs of the peer protocol and the types of the core."""

from typing import Any

from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.gen.peers import ttypes
from bilberrystack.proxy import interfaces

_MAX_MS = 0x7FFFFFFF
_KINDS_BY_VALUE = {kind.value: kind for kind in requests.Kind}
_NOT_RUN_REASONS = {reason.value: reason for reason in outcomes.NotRunReason}
_UNKNOWN_REASONS = {reason.value: reason for reason in outcomes.UnknownReason}


def to_forward(request: requests.GroupRequest, remaining_s: float) -> ttypes.Forward:
    """Return the message for a request.

    Args:
      request: The request.
      remaining_s: The time that the peer has for the request, in seconds.
    """
    watermark = request.watermark
    position = None if watermark is None else ttypes.Position(watermark.term, watermark.index)
    return ttypes.Forward(
        request.key.session,
        request.key.sequence,
        request.caller,
        request.group,
        request.kind.value,
        request.body,
        position,
        _ms(request.max_age_s),
        _ms(remaining_s),
        request.transaction,
    )


def from_forward(message: ttypes.Forward, now: float) -> requests.GroupRequest | None:
    """Return the request in a message.

    Args:
      message: The message.
      now: The current time on the event loop's clock in seconds, to which the deadline is
        relative.
    Returns:
      The request, or None if its kind is unknown.
    """
    kind = _KINDS_BY_VALUE.get(message.kind)
    if kind is None:
        return None
    watermark = message.watermark
    return requests.GroupRequest(
        requests.RequestKey(message.session, message.sequence),
        message.caller,
        message.group,
        kind,
        message.body,
        None if watermark is None else positions.Position(watermark.term, watermark.index),
        message.max_age_ms / 1000,
        now + message.timeout_ms / 1000,
        message.transaction,
    )


def to_outcome(outcome: outcomes.Outcome) -> ttypes.Outcome:
    """Return the message for an outcome."""
    match outcome:
        case outcomes.Answer(body, position, served_by, from_replica, transaction, duplicate):
            encoded_position = ttypes.Position(position.term, position.index)
            answer = ttypes.Answer(
                body, encoded_position, served_by, from_replica, transaction, duplicate
            )
            return ttypes.Outcome(answer=answer)
        case outcomes.NotRun(reason, detail, retry_after_s):
            not_run = ttypes.NotRun(reason.value, detail, _ms(retry_after_s))
            return ttypes.Outcome(not_run=not_run)
        case outcomes.Unknown(reason, detail):
            return ttypes.Outcome(unknown=ttypes.Unknown(reason.value, detail))


def from_outcome(message: Any) -> outcomes.Outcome | None:
    """Return the outcome in a message.

    Returns:
      The outcome; None if its kind, or the reason why the request did not run, is unknown to this
      version. The unknown reason of an unknown outcome is replaced by CONNECTION_LOST.
    """
    answer = message.answer
    if answer is not None:
        return outcomes.Answer(
            answer.body,
            positions.Position(answer.position.term, answer.position.index),
            answer.served_by,
            answer.from_replica,
            answer.transaction,
            answer.duplicate,
        )
    not_run = message.not_run
    if not_run is not None:
        reason = _NOT_RUN_REASONS.get(not_run.reason)
        if reason is None:
            return None
        return outcomes.NotRun(reason, not_run.detail, not_run.retry_after_ms / 1000)
    unknown = message.unknown
    if unknown is None:
        return None
    unknown_reason = _UNKNOWN_REASONS.get(unknown.reason, outcomes.UnknownReason.CONNECTION_LOST)
    return outcomes.Unknown(unknown_reason, unknown.detail)


def to_digest(digest: interfaces.Digest) -> ttypes.Digest:
    """Return the message for a digest."""
    contact_s = digest.store_contact_s
    return ttypes.Digest(
        digest.instance,
        digest.failure_domain,
        digest.address,
        digest.leaving,
        digest.configuration_version,
        -1 if contact_s is None else _ms(contact_s),
    )


def from_digest(message: ttypes.Digest) -> interfaces.Digest:
    """Return the digest in a message."""
    contact_ms = message.store_contact_ms
    return interfaces.Digest(
        message.instance,
        message.failure_domain,
        message.address,
        message.leaving,
        message.configuration_version,
        None if contact_ms < 0 else contact_ms / 1000,
    )


def _ms(seconds: float) -> int:
    """Convert to milliseconds, rounded down so that no age or timeout grows in transit."""
    return min(int(seconds * 1000), _MAX_MS)
