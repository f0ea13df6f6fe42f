"""Session tokens: what a session has seen of each database group, signed by an instance.

A token is the signing key's id (4 bytes), an HMAC-SHA-256 over the rest and the key's id (32 bytes)
and a msgpack array. Instances keep nothing about a session; the token carries it.
"""

import collections.abc
import dataclasses
import enum
import hashlib
import hmac

import msgspec

from bilberrystack.core import positions

LIFETIME_S = 12 * 3600.0

# A token with watermarks of about 100 groups. Past it the watermarks used longest ago are dropped
# and the token is no longer complete, so that a read of such a group costs a read index.
MAX_TOKEN_BYTES = 4096

_KEY_ID_BYTES = 4
_MAC_BYTES = 32
_HEADER_BYTES = _KEY_ID_BYTES + _MAC_BYTES


class TokenFailure(enum.Enum):
    """Why tokens were rejected."""

    FORGED = "forged"
    EXPIRED = "expired"
    OTHER_CALLER = "other caller"
    OTHER_SESSION = "other session"


@dataclasses.dataclass(frozen=True, slots=True)
class Watermarks:
    """The state of a session.

    Attributes:
      session: The session's id.
      caller: The caller's declared name.
      complete: Whether the session has never used a group that has no position here.
      marks: The highest position seen by group, the group used last at the end.
    """

    session: str
    caller: str
    complete: bool
    marks: dict[str, positions.Position]

    def of(self, group: str) -> positions.Position | None:
        """Returns the watermark of a group; None if it is not known."""
        known = self.marks.get(group)
        if known is None and self.complete:
            return positions.ZERO
        return known

    def raised(self, group: str, position: positions.Position) -> "Watermarks":
        """Returns the state after an answer that reflects a position of a group."""
        raised = dict(self.marks)
        before = raised.pop(group, position)
        raised[group] = max(before, position)
        return Watermarks(self.session, self.caller, self.complete, raised)


class _Payload(msgspec.Struct, array_like=True, frozen=True, gc=False):
    session: str
    caller: str
    issued_s: int
    complete: bool
    watermarks: dict[str, tuple[int, int]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Payload)


class Signer:
    """Signs with the first key and accepts tokens of every key."""

    __slots__ = ("_keys", "_lifetime_s", "_signing_id", "_signing_key")

    def __init__(
        self, keys: collections.abc.Sequence[bytes], lifetime_s: float = LIFETIME_S
    ) -> None:
        """Takes the current key and, during a rotation, the former one.

        Args:
          keys: The keys, the signing one first.
          lifetime_s: Seconds of wall-clock time for which a token is accepted.
        """
        self._keys = {_key_id(key): key for key in reversed(keys)}
        self._signing_key = keys[0]
        self._signing_id = _key_id(keys[0])
        self._lifetime_s = lifetime_s

    def sign(self, watermarks: Watermarks, now_s: float) -> bytes:
        """Issues a token of at most MAX_TOKEN_BYTES.

        Args:
          watermarks: The state of the session.
          now_s: Wall-clock time, since other instances compare it with theirs.
        Returns:
          The token.
        """
        limit = MAX_TOKEN_BYTES - _HEADER_BYTES
        body = _encode(watermarks, now_s)
        while len(body) > limit and watermarks.marks:
            watermarks = _without_oldest(watermarks)
            body = _encode(watermarks, now_s)
        mac = hmac.digest(self._signing_key, self._signing_id + body, "sha256")
        return self._signing_id + mac + body

    def verify(self, token: bytes, caller: str, now_s: float) -> Watermarks | TokenFailure:
        """Checks a token.

        Args:
          token: The token.
          caller: The authenticated caller that sent it.
          now_s: Wall-clock time.
        Returns:
          The state of the session, or why the token is not accepted.
        """
        key_id = token[:_KEY_ID_BYTES]
        key = self._keys.get(key_id)
        if key is None or len(token) > MAX_TOKEN_BYTES:
            return TokenFailure.FORGED
        body = token[_HEADER_BYTES:]
        expected = hmac.digest(key, key_id + body, "sha256")
        if not hmac.compare_digest(expected, token[_KEY_ID_BYTES:_HEADER_BYTES]):
            return TokenFailure.FORGED
        try:
            payload = _DECODER.decode(body)
        except msgspec.MsgspecError:
            return TokenFailure.FORGED
        # A token from far in the future comes from a wrong clock and would outlive its records.
        if abs(now_s - payload.issued_s) > self._lifetime_s:
            return TokenFailure.EXPIRED
        if payload.caller != caller:
            return TokenFailure.OTHER_CALLER
        marks = {
            group: positions.Position(term, index)
            for group, (term, index) in payload.watermarks.items()
        }
        return Watermarks(payload.session, payload.caller, payload.complete, marks)

    def verify_all(
        self, tokens: collections.abc.Sequence[bytes], caller: str, now_s: float
    ) -> Watermarks | TokenFailure:
        """Checks the tokens of one request and merges them.

        Args:
          tokens: At least one token.
          caller: The authenticated caller that sent them.
          now_s: Wall-clock time.
        Returns:
          The merged state, or why a token is not accepted.
        """
        merged = self.verify(tokens[0], caller, now_s)
        for token in tokens[1:]:
            if isinstance(merged, TokenFailure):
                return merged
            other = self.verify(token, caller, now_s)
            merged = other if isinstance(other, TokenFailure) else merge(merged, other)
        return merged


def merge(first: Watermarks, second: Watermarks) -> Watermarks | TokenFailure:
    """Returns the highest position of every group.

    The result is complete only if both are: a token of a resumed session says nothing about the
    groups that were used before.
    """
    if first.session != second.session:
        return TokenFailure.OTHER_SESSION
    merged = dict(first.marks)
    for group, position in second.marks.items():
        before = merged.pop(group, position)
        merged[group] = max(before, position)
    return Watermarks(first.session, first.caller, first.complete and second.complete, merged)


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"token key id" + key).digest()[:_KEY_ID_BYTES]


def _encode(watermarks: Watermarks, now_s: float) -> bytes:
    marks = {group: (position.term, position.index) for group, position in watermarks.marks.items()}
    payload = _Payload(
        watermarks.session, watermarks.caller, int(now_s), watermarks.complete, marks
    )
    return _ENCODER.encode(payload)


def _without_oldest(watermarks: Watermarks) -> Watermarks:
    """Drops the watermark that was raised longest ago."""
    kept = dict(watermarks.marks)
    del kept[next(iter(kept))]
    return Watermarks(watermarks.session, watermarks.caller, False, kept)
