"""The reference page of all failures that callers, operators and logs show."""

import collections.abc
import enum

from bilberrystack.core import errors
from bilberrystack.core import outcomes

_N = outcomes.NotRunReason
_U = outcomes.UnknownReason
_D = errors.Description

NOT_RUN: dict[enum.IntEnum, errors.Description] = {
    _N.QUEUE_FULL: _D(
        "the group's queue is full, or its expected wait exceeds the limit",
        "retry after the hint; if it lasts, look at slow statements and at the members' slots",
    ),
    _N.DEADLINE_BEFORE_SEND: _D(
        "the deadline passed before the request was sent to a member",
        "retry with a longer deadline; check the queue in `bilberrystack status`",
    ),
    _N.NO_PRIMARY: _D(
        "no member is known as primary and answers",
        "retry; a change of primary takes about a second",
    ),
    _N.NO_MAJORITY: _D(
        "less than a majority of the group's members answers",
        "bring members back; the proxy changes no primary without a majority",
    ),
    _N.REPLICAS_BEHIND: _D(
        "no member reached the position that the read needs in time",
        "retry, accept an older age, or look at the replicas' lag",
    ),
    _N.UNKNOWN_GROUP: _D(
        "the group is not declared",
        "check the name; declare it with `bilberrystack group add`",
    ),
    _N.NOT_PERMITTED: _D(
        "the caller is not granted the group, or the transaction is another caller's",
        "grant it with `bilberrystack caller grant`",
    ),
    _N.INVALID_STATEMENT: _D(
        "the member refused the statement as invalid",
        "correct the statement",
    ),
    _N.CANCELLED: _D(
        "the request was cancelled by resolving its key and will never run",
        "send it again with a new sequence number if it is still wanted",
    ),
    _N.TRANSACTION_ABORTED: _D(
        "the transaction is over: aborted, idle for too long, or its connection broke",
        "begin a new transaction",
    ),
    _N.LEAVING: _D(
        "the instance is stopping",
        "retry; the client library uses another instance",
    ),
    _N.STALE_CONFIGURATION: _D(
        "the instance has contact neither to the store nor to most failure domains",
        "retry at another instance; if all refuse, check the network between failure domains",
    ),
    _N.OWNER_UNREACHABLE: _D(
        "no owner of the group could be reached",
        "retry; owners move to other instances within seconds",
    ),
    _N.INVALID_REQUEST: _D(
        "the request itself is malformed, as an unknown kind",
        "use a client library of the same protocol version",
    ),
}

UNKNOWN: dict[enum.IntEnum, errors.Description] = {
    _U.DEADLINE_AFTER_SEND: _D(
        "the deadline passed after the request was sent and before its outcome was known",
        "resolve the request by its key; never repeat one that must not run twice",
    ),
    _U.CONNECTION_LOST: _D(
        "the connection broke after the request was sent",
        "resolve the request by its key; never repeat one that must not run twice",
    ),
    _U.KEY_TOO_OLD: _D(
        "the member keeps the key's record no longer",
        "compare the data itself; resolve within the session's last 256 requests",
    ),
    _U.NOT_CONFIRMED: _D(
        "a primary executed the request, and no majority confirmed it in time",
        "resolve the request by its key",
    ),
}

SECTIONS: tuple[
    tuple[str, str, type[enum.IntEnum], collections.abc.Mapping[enum.IntEnum, errors.Description]],
    ...,
] = (
    ("Not run", "The request did not run and will not run later.", _N, NOT_RUN),
    ("Unknown", "The request may have run or may still run.", _U, UNKNOWN),
    ("Callers", "Codes of CallerFailure.", errors.CallerError, errors.DESCRIPTIONS),
    ("Instances", "Codes of PeerFailure, in logs.", errors.PeerError, errors.DESCRIPTIONS),
    ("Operators", "Codes of OperatorFailure.", errors.OperatorError, errors.DESCRIPTIONS),
)


def page() -> str:
    """Returns the page in Markdown."""
    lines = [
        "# Failures",
        "",
        "Generated from `bilberrystack/core` by `bilberrystack docs errors`; do not edit.",
    ]
    for title, meaning, kind, descriptions in SECTIONS:
        lines += ["", f"## {title}", "", meaning, ""]
        lines += ["| code | name | cause | remedy |", "|---|---|---|---|"]
        for error in kind:
            one = descriptions[error]
            lines.append(f"| {error.value} | {error.name} | {one.cause} | {one.remedy} |")
    return "\n".join(lines) + "\n"
