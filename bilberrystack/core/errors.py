"""Failures reported to callers, peers and operators, with a code, a cause and a remedy."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Human-readable description of a failure.

    Attributes:
      cause: Cause of the failure.
      remedy: Recommended action.
    """

    cause: str
    remedy: str


class CallerError(enum.IntEnum):
    """Failures of a caller's connection or session; the values are CallerFailure codes."""

    AUTHENTICATION_FAILED = 1001
    NOT_AUTHENTICATED = 1002
    LEAVING = 1003
    STALE_CONFIGURATION = 1004
    TOKEN_FORGED = 1101
    TOKEN_EXPIRED = 1102
    TOKEN_OF_OTHER_CALLER = 1103
    TOKENS_OF_OTHER_SESSIONS = 1104
    TOKEN_MISSING = 1105
    TOO_MANY_TOKENS = 1106
    INVALID_SESSION = 1107


class PeerError(enum.IntEnum):
    """Failures between instances; the values are PeerFailure codes."""

    AUTHENTICATION_FAILED = 1201
    NOT_AUTHENTICATED = 1202


class OperatorError(enum.IntEnum):
    """Failures of operators' calls; the values are OperatorFailure codes."""

    AUTHENTICATION_FAILED = 1301
    NOT_AUTHENTICATED = 1302
    INVALID_DOCUMENT = 1303
    INVALID_ARGUMENT = 1304


DESCRIPTIONS: dict[enum.IntEnum, Description] = {
    CallerError.AUTHENTICATION_FAILED: Description(
        "the caller is not declared or the secret is wrong",
        "check the caller's name and secret against the declarations",
    ),
    CallerError.NOT_AUTHENTICATED: Description(
        "the connection has not opened or resumed a session",
        "call open_session or resume_session first on every connection",
    ),
    CallerError.LEAVING: Description(
        "the instance is stopping and accepts no new sessions",
        "connect to another instance",
    ),
    CallerError.STALE_CONFIGURATION: Description(
        "the instance has contact neither to the store nor to most failure domains",
        "connect to another instance",
    ),
    CallerError.TOKEN_FORGED: Description(
        "a session token is malformed or signed with an unknown key",
        "send tokens unchanged; check that all instances use the same token keys",
    ),
    CallerError.TOKEN_EXPIRED: Description(
        "a session token is older than its lifetime",
        "open a new session",
    ),
    CallerError.TOKEN_OF_OTHER_CALLER: Description(
        "a session token was issued to another caller",
        "use a connection of the caller that opened the session",
    ),
    CallerError.TOKENS_OF_OTHER_SESSIONS: Description(
        "the tokens of one request belong to different sessions",
        "send only tokens of one session with a request",
    ),
    CallerError.TOKEN_MISSING: Description(
        "a request came without a session token",
        "send the token of open_session or of the latest answers",
    ),
    CallerError.TOO_MANY_TOKENS: Description(
        "a request carries more session tokens than accepted",
        "replace the tokens that a request carried with the one of its answer",
    ),
    CallerError.INVALID_SESSION: Description(
        "the session id is not one that open_session returns",
        "resume with the id that open_session returned",
    ),
    PeerError.AUTHENTICATION_FAILED: Description(
        "an instance does not know the fleet's peer secret",
        "configure the same peer secret at all instances",
    ),
    PeerError.NOT_AUTHENTICATED: Description(
        "a call came before the connection was authenticated",
        "run the same version at all instances",
    ),
    OperatorError.AUTHENTICATION_FAILED: Description(
        "the operator's proof does not fit the operators' secret of the instance",
        "set BILBERRYSTACK_OPERATOR_SECRET to the secret that the instances have",
    ),
    OperatorError.NOT_AUTHENTICATED: Description(
        "a call came before the connection was authenticated",
        "call hello and authenticate first on every connection",
    ),
    OperatorError.INVALID_DOCUMENT: Description(
        "a document to be compared is malformed or breaks a rule",
        "correct the fields that the detail names",
    ),
    OperatorError.INVALID_ARGUMENT: Description(
        "an argument is outside its range",
        "use a value inside the range that the detail names",
    ),
}


def describe(error: enum.IntEnum) -> str:
    """Returns the cause and the remedy of a failure in one line."""
    description = DESCRIPTIONS[error]
    return f"{description.cause}; {description.remedy}"
