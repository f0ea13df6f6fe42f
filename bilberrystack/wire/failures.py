"""Exceptions of framed Thrift connections."""


class WireFailure(Exception):
    """Base class of all failures of a framed connection."""


class MalformedFrame(WireFailure):
    """A frame can't be decoded or lacks a required field."""


class FrameTooLarge(WireFailure):
    """A frame exceeds the size limit."""


class ConnectionClosed(WireFailure):
    """The connection closed before the answer arrived.

    Attributes:
      sent: Whether any byte of the call may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class RemoteFailure(WireFailure):
    """The peer answered with a TApplicationException."""
