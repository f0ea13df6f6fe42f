"""The platform's object API as a deterministic state, without I/O."""

import collections
import collections.abc
from typing import Literal

import msgspec

from bilberrystack.proxy import interfaces

# The platform's limit of a value (design 1.5).
MAX_VALUE_BYTES = 1_000_000

INSTANCES_KEY = "instances"


class Instance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry of the platform's list of instances.

    Attributes:
      id: The instance's id.
      kind: Whether it runs our software or a database member.
      address: Its address, as "127.0.0.1:7001".
      failure_domain: Its failure domain.
      state: Whether it is live or leaving.
    """

    id: str
    kind: Literal["proxy", "endpoint"]
    address: str
    failure_domain: str
    state: Literal["live", "leaving"] = "live"


class ValueTooLarge(Exception):
    """A value is longer than MAX_VALUE_BYTES; nothing changed."""


class StoreState:
    """Objects with versions, and the platform's lagging list of instances.

    The list is the object INSTANCES_KEY, a JSON list of Instance. All times are seconds of the
    driver's clock.

    Attributes:
      calls: The number of calls by kind, as the driver counts them.
    """

    __slots__ = ("_objects", "_pending", "calls")

    def __init__(self) -> None:
        self._objects: dict[str, interfaces.StoredObject] = {}
        self._pending: collections.deque[tuple[float, bytes]] = collections.deque()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def next_change_at(self) -> float | None:
        """The instant at which the next list of instances gets visible; None if there is none."""
        return self._pending[0][0] if self._pending else None

    def get(self, key: str) -> interfaces.StoredObject | None:
        """Returns an object, None if absent."""
        return self._objects.get(key)

    def version(self, key: str) -> int:
        """Returns an object's version, 0 if absent."""
        stored = self._objects.get(key)
        return stored.version if stored else 0

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes if the object has expected_version (0: absent).

        Returns:
          The new version. Raises interfaces.VersionConflict and ValueTooLarge.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{key}: {len(value)} bytes")
        version = self.version(key)
        if version != expected_version:
            raise interfaces.VersionConflict(f"{key}: version {version}, not {expected_version}")
        self._objects[key] = interfaces.StoredObject(key, value, version + 1)
        return version + 1

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that start with a prefix, in order."""
        return sorted(key for key in self._objects if key.startswith(prefix))

    def set_instances(
        self, instances: collections.abc.Sequence[Instance], visible_at: float
    ) -> None:
        """Sets the list of instances, visible from an instant on but never before older lists."""
        if self._pending:
            visible_at = max(visible_at, self._pending[-1][0])
        self._pending.append((visible_at, msgspec.json.encode(instances)))

    def advance(self, now: float) -> None:
        """Makes the lists of instances visible whose lag has passed."""
        while self._pending and self._pending[0][0] <= now:
            _visible_at, value = self._pending.popleft()
            self.put(INSTANCES_KEY, value, self.version(INSTANCES_KEY))
