"""The platform's object API as a deterministic state machine, without I/O."""

import collections
import collections.abc
from typing import Literal

import msgspec

from bilberrystack.proxy import interfaces

# The platform's limit on the size of a value (design 1.5).
MAX_VALUE_BYTES = 1_000_000

# Key of the object with the platform's list of instances.
INSTANCES_KEY = "instances"


class Instance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry of the platform's list of instances.

    Attributes:
      id: The instance's id.
      kind: "proxy" for an instance of bilberrystack, "endpoint" for one that runs a database
        member.
      address: The instance's address, such as "127.0.0.1:7001".
      failure_domain: The instance's failure domain.
      state: Whether the instance is live or leaving.
    """

    id: str
    kind: Literal["proxy", "endpoint"]
    address: str
    failure_domain: str
    state: Literal["live", "leaving"] = "live"


class ValueTooLarge(Exception):
    """A value is longer than MAX_VALUE_BYTES; the object is unchanged."""


class StoreState:
    """Versioned objects, and the platform's list of instances, which becomes visible after a lag.

    The list is the object INSTANCES_KEY, a JSON list of Instance. All times are in seconds of the
    caller's clock.

    Attributes:
      call_counts: The number of calls by kind; the caller counts them.
    """

    __slots__ = ("_objects", "_pending_lists", "call_counts")

    def __init__(self) -> None:
        self._objects: dict[str, interfaces.StoredObject] = {}
        self._pending_lists: collections.deque[tuple[float, bytes]] = collections.deque()
        self.call_counts: collections.Counter[str] = collections.Counter()

    @property
    def next_change_at(self) -> float | None:
        """The time at which the next list of instances becomes visible; None if none is pending."""
        return self._pending_lists[0][0] if self._pending_lists else None

    def get(self, key: str) -> interfaces.StoredObject | None:
        """Returns an object; None if absent."""
        return self._objects.get(key)

    def version(self, key: str) -> int:
        """Returns an object's version; 0 if absent."""
        stored = self._objects.get(key)
        return stored.version if stored else 0

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object if it has the expected version.

        Args:
          key: The object's key.
          value: The new value.
          expected_version: The version that the object must have; 0 if it must be absent.
        Returns:
          The new version.
        Raises:
          interfaces.VersionConflict: The object has another version.
          ValueTooLarge: The value is longer than MAX_VALUE_BYTES.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{key}: {len(value)} bytes")
        version = self.version(key)
        if version != expected_version:
            raise interfaces.VersionConflict(f"{key}: version {version}, not {expected_version}")
        self._objects[key] = interfaces.StoredObject(key, value, version + 1)
        return version + 1

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that start with a prefix, sorted."""
        return sorted(key for key in self._objects if key.startswith(prefix))

    def set_instances(
        self, instances: collections.abc.Sequence[Instance], visible_at: float
    ) -> None:
        """Sets the list of instances, visible from visible_at on but not before older lists."""
        if self._pending_lists:
            visible_at = max(visible_at, self._pending_lists[-1][0])
        self._pending_lists.append((visible_at, msgspec.json.encode(instances)))

    def advance(self, now: float) -> None:
        """Makes visible the lists of instances whose time has come."""
        while self._pending_lists and self._pending_lists[0][0] <= now:
            _visible_at, value = self._pending_lists.popleft()
            self.put(INSTANCES_KEY, value, self.version(INSTANCES_KEY))
