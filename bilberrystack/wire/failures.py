"""Failures of the framed Thrift connections."""


class WireFailure(Exception):
    """Base of all failures of a framed connection."""


class MalformedFrame(WireFailure):
    """A frame could not be decoded, or lacks a required field."""


class FrameTooLarge(WireFailure):
    """A frame is longer than the limit."""


class ConnectionClosed(WireFailure):
    """The connection closed before the answer arrived.

    Attributes:
      sent: Whether any byte of the call may have reached the other side.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class RemoteFailure(WireFailure):
    """The other side answered with a TApplicationException."""
