"""JSON messages of the platform's object API."""

import msgspec


class Object(msgspec.Struct, frozen=True):
    """An object; the value is base64 in JSON.

    Attributes:
      key: Its key.
      value: Its value, at most 1 MB.
      version: Its version, from 1.
    """

    key: str
    value: bytes
    version: int


class Change(msgspec.Struct, frozen=True):
    """A conditional update.

    Attributes:
      value: The new value.
      expected_version: The version that the object must have; 0 if it must be absent.
    """

    value: bytes
    expected_version: int


class Changed(msgspec.Struct, frozen=True):
    """The answer to an update that took effect.

    Attributes:
      version: The object's new version.
    """

    version: int


class Keys(msgspec.Struct, frozen=True):
    """The answer to a list of keys.

    Attributes:
      keys: The keys, in order.
    """

    keys: list[str]
