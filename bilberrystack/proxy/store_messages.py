"""JSON messages of the platform's object API."""

import msgspec


class Object(msgspec.Struct, frozen=True):
    """A stored object; the value is encoded in JSON as base64.

    Attributes:
      key: The object's key.
      value: The object's value, at most 1 MB.
      version: The object's version, from 1.
    """

    key: str
    value: bytes
    version: int


class Update(msgspec.Struct, frozen=True):
    """A conditional update of an object.

    Attributes:
      value: The new value.
      expected_version: The version that the object must have; 0 if it must be absent.
    """

    value: bytes
    expected_version: int


class UpdateResult(msgspec.Struct, frozen=True):
    """The result of an update that took effect.

    Attributes:
      version: The object's new version.
    """

    version: int


class Keys(msgspec.Struct, frozen=True):
    """The keys that start with a requested prefix.

    Attributes:
      keys: The keys, in ascending order.
    """

    keys: list[str]
