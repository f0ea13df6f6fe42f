"""Reference page of all failures that are reported to callers and operators and in logs."""

import collections.abc
import enum

from bilberrystack.core import errors
from bilberrystack.core import outcomes

_NotRunReason = outcomes.NotRunReason
_UnknownReason = outcomes.UnknownReason
_Description = errors.Description

NOT_RUN: dict[enum.IntEnum, errors.Description] = {
    _NotRunReason.QUEUE_FULL: _Description(
        "the group's queue is full, or too many of its transactions are open",
        "retry after the hint; if it persists, check for slow statements and the members' slots",
    ),
    _NotRunReason.DEADLINE_BEFORE_SEND: _Description(
        "the request was not sent: its deadline passed, or would pass during the expected wait",
        "retry with a longer deadline; check the queue in `bilberrystack status`",
    ),
    _NotRunReason.NO_PRIMARY: _Description(
        "no member that answers is known to be the primary",
        "retry; a primary change takes about a second",
    ),
    _NotRunReason.NO_MAJORITY: _Description(
        "fewer than a majority of the group's members answer",
        "restore members; the proxy does not change the primary without a majority",
    ),
    _NotRunReason.REPLICAS_BEHIND: _Description(
        "no member reached the position that the read requires in time",
        "retry, accept a higher age, or check the replicas' lag",
    ),
    _NotRunReason.UNKNOWN_GROUP: _Description(
        "the group is not declared",
        "check the name; declare it with `bilberrystack group add`",
    ),
    _NotRunReason.NOT_PERMITTED: _Description(
        "the caller is not granted the group, or the transaction is another caller's",
        "grant it with `bilberrystack caller grant`",
    ),
    _NotRunReason.INVALID_STATEMENT: _Description(
        "the member refused the statement as invalid",
        "correct the statement",
    ),
    _NotRunReason.CANCELLED: _Description(
        "the request was cancelled by resolving its key and will never run",
        "send it again with a new sequence number if it is still wanted",
    ),
    _NotRunReason.TRANSACTION_ABORTED: _Description(
        "the transaction has ended: it was aborted or idle for too long, or its connection broke",
        "begin a new transaction",
    ),
    _NotRunReason.LEAVING: _Description(
        "the instance is stopping",
        "retry; the client library uses another instance",
    ),
    _NotRunReason.STALE_CONFIGURATION: _Description(
        "the instance has contact neither to the store nor to most failure domains",
        "retry at another instance; if all refuse, check the network between failure domains",
    ),
    _NotRunReason.OWNER_UNREACHABLE: _Description(
        "no owner of the group could be reached",
        "retry; other instances become owners within seconds",
    ),
    _NotRunReason.INVALID_REQUEST: _Description(
        "the request is malformed, for example its kind is unknown",
        "use a client library of the same protocol version",
    ),
}

UNKNOWN: dict[enum.IntEnum, errors.Description] = {
    _UnknownReason.DEADLINE_AFTER_SEND: _Description(
        "the deadline passed after the request was sent and before its outcome was known",
        "resolve the request by its key; never repeat a request that must not run twice",
    ),
    _UnknownReason.CONNECTION_LOST: _Description(
        "the connection broke after the request was sent",
        "resolve the request by its key; never repeat a request that must not run twice",
    ),
    _UnknownReason.KEY_TOO_OLD: _Description(
        "the member no longer keeps the record of the key",
        "compare the data itself; resolve within the session's last 256 requests",
    ),
    _UnknownReason.NOT_CONFIRMED: _Description(
        "a primary executed the request, and no majority confirmed it in time",
        "resolve the request by its key",
    ),
}

SECTIONS: tuple[
    tuple[str, str, type[enum.IntEnum], collections.abc.Mapping[enum.IntEnum, errors.Description]],
    ...,
] = (
    ("Not run", "The request did not run and will not run later.", _NotRunReason, NOT_RUN),
    ("Unknown", "The request may have run or may still run.", _UnknownReason, UNKNOWN),
    ("Callers", "Codes of CallerFailure.", errors.CallerError, errors.DESCRIPTIONS),
    ("Instances", "Codes of PeerFailure, in logs.", errors.PeerError, errors.DESCRIPTIONS),
    ("Operators", "Codes of OperatorFailure.", errors.OperatorError, errors.DESCRIPTIONS),
)


def render_page() -> str:
    """Returns the reference page in Markdown."""
    lines = [
        "# Failures",
        "",
        "Generated from `bilberrystack/core` by `bilberrystack docs errors`; do not edit.",
    ]
    for title, meaning, kind, descriptions in SECTIONS:
        lines += ["", f"## {title}", "", meaning, ""]
        lines += ["| code | name | cause | remedy |", "|---|---|---|---|"]
        for error in kind:
            description = descriptions[error]
            lines.append(
                f"| {error.value} | {error.name} | {description.cause} | {description.remedy} |"
            )
    return "\n".join(lines) + "\n"
