"""The instances that are registered in the store."""

import collections.abc

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import views
from bilberrystack.routing import model
from bilberrystack.routing import running_time

# Instances whose registrations the store has lost register again within seconds. They stay known
# for this long after its return, while this process runs and can see them register.
LOST_REGISTRATION_RETENTION_S = 15.0

# A process whose registration has left the store is remembered as ended for this long, since an
# older copy of the store may hold the registration.
ENDED_PROCESS_RETENTION_S = 30.0


class Registrations:
    """The registered instances.

    After the store has returned from an older copy they include those whose registrations it may
    have lost, and leave out the processes that have ended since the copy.
    """

    __slots__ = (
        "_awaited",
        "_cache",
        "_clock",
        "_ended_at_s",
        "_era",
        "_known",
        "_restored_at_s",
        "_running_time",
    )

    def __init__(
        self,
        cache: views.ObjectCache,
        clock: interfaces.Clock,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
    ) -> None:
        """Create an empty collection.

        Args:
          cache: The cache of the registrations.
          clock: Returns the current time in seconds.
          running: Time in which this process ran.
        """
        self._cache = cache
        self._clock = clock
        self._running_time = running
        self._known: dict[str, model.Instance] = {}
        # Instances whose registrations may have been lost with the store's return.
        self._awaited: dict[str, model.Instance] = {}
        self._era = 0
        self._restored_at_s = float("-inf")
        # When the registration of each recently ended process left the store, by incarnation.
        self._ended_at_s: dict[str, float] = {}

    @property
    def instances(self) -> collections.abc.Collection[model.Instance]:
        """The instances, this one included."""
        return self._known.values()

    @property
    def refresh_due(self) -> bool:
        """Whether lost registrations are awaited."""
        return bool(self._awaited)

    def refresh(self) -> None:
        """Apply the current contents of the cache."""
        now_s = self._clock()
        previous = self._known
        if self._cache.era != self._era:
            if self._era:
                self._awaited = dict(previous)
                self._restored_at_s = now_s
            self._era = self._cache.era
        restored_since_s = self._running_time.elapsed_s(self._restored_at_s, now_s)
        guarded = restored_since_s < LOST_REGISTRATION_RETENTION_S
        if not guarded:
            self._awaited.clear()
        listed = {
            name: item
            for name, item in self._cache.items.items()
            if isinstance(item, model.Instance)
            and not (guarded and item.incarnation in self._ended_at_s)
        }
        for name in listed.keys() & self._awaited.keys():
            del self._awaited[name]
        self._known = self._awaited | listed
        self._record_ended(previous, now_s)

    def _record_ended(
        self, previous: collections.abc.Mapping[str, model.Instance], now_s: float
    ) -> None:
        for name, instance in previous.items():
            known = self._known.get(name)
            if known is None or known.incarnation != instance.incarnation:
                self._ended_at_s[instance.incarnation] = now_s
        for incarnation, ended_at_s in list(self._ended_at_s.items()):
            if now_s - ended_at_s >= ENDED_PROCESS_RETENTION_S:
                del self._ended_at_s[incarnation]
