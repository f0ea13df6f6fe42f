"""Failures of operators' calls; the numbers are OperatorFailure codes."""

import enum


class OperatorError(enum.IntEnum):
    """Why an operators' call failed."""

    AUTHENTICATION_FAILED = 1301
    NOT_AUTHENTICATED = 1302
    INVALID_DOCUMENT = 1303
    INVALID_ARGUMENT = 1304


DESCRIPTIONS: dict[enum.IntEnum, tuple[str, str]] = {
    OperatorError.AUTHENTICATION_FAILED: (
        "the operator's proof does not fit the operators' secret of the instance",
        "set BILBERRYSTACK_OPERATOR_SECRET to the secret that the instances have",
    ),
    OperatorError.NOT_AUTHENTICATED: (
        "a call came before the connection was authenticated",
        "call hello and authenticate first on every connection",
    ),
    OperatorError.INVALID_DOCUMENT: (
        "a document to be compared is malformed or breaks a rule",
        "correct the fields that the detail names",
    ),
    OperatorError.INVALID_ARGUMENT: (
        "an argument is outside its range",
        "use a value inside the range that the detail names",
    ),
}


def describe(error: OperatorError) -> str:
    """Returns the cause and the remedy of a failure as one line."""
    cause, remedy = DESCRIPTIONS[error]
    return f"{cause}; {remedy}"
