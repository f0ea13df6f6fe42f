"""Session tokens: the signed watermarks of a session.

A token consists of the id of the signing key (4 bytes), an HMAC-SHA-256 of the key's id and the
payload (32 bytes), and the payload, a msgpack array. Instances store no session state; the token
carries it.
"""

import collections.abc
import dataclasses
import enum
import hashlib
import hmac

import msgspec

from bilberrystack.core import positions

# Wall-clock time for which a token is accepted, in seconds.
TOKEN_LIFETIME_S = 12 * 3600.0

# Size of a token with the watermarks of about 100 groups. Above this size, the least recently used
# watermarks are dropped and the token is marked as incomplete, so that a read of a dropped group
# needs a read index.
MAX_TOKEN_BYTES = 4096

_KEY_ID_BYTES = 4
_MAC_BYTES = 32
_HEADER_BYTES = _KEY_ID_BYTES + _MAC_BYTES


class TokenFailure(enum.Enum):
    """Reason why a token was rejected."""

    FORGED = "forged"
    EXPIRED = "expired"
    OTHER_CALLER = "other caller"
    OTHER_SESSION = "other session"


@dataclasses.dataclass(frozen=True, slots=True)
class SessionWatermarks:
    """Watermarks of a session.

    Attributes:
      session: The session's id.
      caller: The caller's declared name.
      complete: Whether by_group contains every group that the session has used.
      by_group: Highest position that the session has seen, by group; the least recently used group
        first.
    """

    session: str
    caller: str
    complete: bool
    by_group: dict[str, positions.Position]

    def of(self, group: str) -> positions.Position | None:
        """Returns the watermark of a group; None if it is not known."""
        watermark = self.by_group.get(group)
        if watermark is None and self.complete:
            return positions.ZERO
        return watermark

    def with_position(self, group: str, position: positions.Position) -> "SessionWatermarks":
        """Returns the watermarks after an answer that reflects a position of a group."""
        by_group = dict(self.by_group)
        previous = by_group.pop(group, position)
        by_group[group] = max(previous, position)
        return SessionWatermarks(self.session, self.caller, self.complete, by_group)


class _Payload(msgspec.Struct, array_like=True, frozen=True, gc=False):
    session: str
    caller: str
    issued_at_s: int
    complete: bool
    watermarks: dict[str, tuple[int, int]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Payload)


class Signer:
    """Signs tokens with the first key and accepts tokens that were signed with any of its keys."""

    __slots__ = ("_keys", "_lifetime_s", "_signing_id", "_signing_key")

    def __init__(
        self, keys: collections.abc.Sequence[bytes], lifetime_s: float = TOKEN_LIFETIME_S
    ) -> None:
        """Creates a signer.

        Args:
          keys: The signing key, followed during a key rotation by the former key.
          lifetime_s: Wall-clock time for which a token is accepted, in seconds.
        """
        self._keys = {_key_id(key): key for key in reversed(keys)}
        self._signing_key = keys[0]
        self._signing_id = _key_id(keys[0])
        self._lifetime_s = lifetime_s

    def sign(self, watermarks: SessionWatermarks, now_s: float) -> bytes:
        """Issues a token of at most MAX_TOKEN_BYTES.

        Args:
          watermarks: Watermarks of the session.
          now_s: Wall-clock time in seconds, which other instances compare with their own.
        Returns:
          The token.
        """
        limit = MAX_TOKEN_BYTES - _HEADER_BYTES
        body = _encode(watermarks, now_s)
        while len(body) > limit and watermarks.by_group:
            watermarks = _without_least_recently_used(watermarks)
            body = _encode(watermarks, now_s)
        mac = hmac.digest(self._signing_key, self._signing_id + body, "sha256")
        return self._signing_id + mac + body

    def verify(self, token: bytes, caller: str, now_s: float) -> SessionWatermarks | TokenFailure:
        """Verifies a token.

        Args:
          token: The token.
          caller: Name of the authenticated caller that sent it.
          now_s: Wall-clock time in seconds.
        Returns:
          The watermarks of the session, or the reason why the token is rejected.
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
        # A token issued far in the future comes from a wrong clock. It would be accepted for longer
        # than the records of its requests are kept.
        if abs(now_s - payload.issued_at_s) > self._lifetime_s:
            return TokenFailure.EXPIRED
        if payload.caller != caller:
            return TokenFailure.OTHER_CALLER
        by_group = {
            group: positions.Position(term, index)
            for group, (term, index) in payload.watermarks.items()
        }
        return SessionWatermarks(payload.session, payload.caller, payload.complete, by_group)

    def verify_all(
        self, tokens: collections.abc.Sequence[bytes], caller: str, now_s: float
    ) -> SessionWatermarks | TokenFailure:
        """Verifies the tokens of one request and merges their watermarks.

        Args:
          tokens: At least one token.
          caller: Name of the authenticated caller that sent them.
          now_s: Wall-clock time in seconds.
        Returns:
          The merged watermarks, or the reason why a token is rejected.
        """
        merged = self.verify(tokens[0], caller, now_s)
        for token in tokens[1:]:
            if isinstance(merged, TokenFailure):
                return merged
            other = self.verify(token, caller, now_s)
            merged = other if isinstance(other, TokenFailure) else merge_watermarks(merged, other)
        return merged


def merge_watermarks(
    first: SessionWatermarks, second: SessionWatermarks
) -> SessionWatermarks | TokenFailure:
    """Returns the watermarks with the highest position of each group.

    The result is complete only if both arguments are: the token of a resumed session does not
    contain the groups that were used before the resumption.
    """
    if first.session != second.session:
        return TokenFailure.OTHER_SESSION
    merged = dict(first.by_group)
    for group, position in second.by_group.items():
        previous = merged.pop(group, position)
        merged[group] = max(previous, position)
    return SessionWatermarks(
        first.session, first.caller, first.complete and second.complete, merged
    )


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"token key id" + key).digest()[:_KEY_ID_BYTES]


def _encode(watermarks: SessionWatermarks, now_s: float) -> bytes:
    by_group = {
        group: (position.term, position.index) for group, position in watermarks.by_group.items()
    }
    payload = _Payload(
        watermarks.session, watermarks.caller, int(now_s), watermarks.complete, by_group
    )
    return _ENCODER.encode(payload)


def _without_least_recently_used(watermarks: SessionWatermarks) -> SessionWatermarks:
    """Returns the watermarks without the least recently used group, marked as incomplete."""
    remaining = dict(watermarks.by_group)
    del remaining[next(iter(remaining))]
    return SessionWatermarks(watermarks.session, watermarks.caller, False, remaining)
