"""The members of all groups, from their records in the store."""

import collections.abc

import loguru

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import views
from bilberrystack.routing import model
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="directory")

# A member whose record has left the store is retained for this long, counted only while the store
# is available and this process runs: records that expired during an outage are back within 2 s of
# its end.
MISSING_MEMBER_RETENTION_S = 4.0

# While the store is available the member is retained no longer than this, also if this process
# stood still: 7 s after it has left, a member may get no more requests.
MISSING_MEMBER_LIMIT_S = 6.0

# A store that returns from an older copy holds older records until the members have written theirs
# again, which takes a few heartbeats. Within this time after its return, a record is ignored if it
# is older than a known one. The records of removed members are remembered for as long.
COPY_GUARD_S = 30.0


class MemberRecords:
    """The members whose records are in the store, or have just left it.

    After the store has returned from an older copy, a member keeps its newest known record.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_copy_guard_until_s",
        "_era",
        "_ignored",
        "_missing_since_s",
        "_removed",
        "_retained",
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
          cache: The cache of the members' records.
          clock: Returns the current time in seconds.
          running: Time in which this process ran.
        """
        self._cache = cache
        self._clock = clock
        self._running_time = running
        self._retained: dict[str, model.Member] = {}
        self._missing_since_s: dict[str, float] = {}
        # The last record of each member that was removed recently, and when.
        self._removed: dict[str, tuple[model.Member, float]] = {}
        self._ignored: dict[str, model.Member] = {}
        self._era = 0
        self._copy_guard_until_s = float("-inf")

    @property
    def members(self) -> collections.abc.Collection[model.Member]:
        """The members, including those whose records have just left the store."""
        return self._retained.values()

    @property
    def missing(self) -> frozenset[str]:
        """The ids of retained members whose records have left the store."""
        return frozenset(self._missing_since_s)

    @property
    def refresh_due(self) -> bool:
        """Whether missing or ignored records have to be looked at again."""
        return bool(self._missing_since_s or self._ignored)

    def refresh(self) -> None:
        """Apply the current contents of the cache."""
        now_s = self._clock()
        if self._cache.era != self._era:
            if self._era:
                self._copy_guard_until_s = now_s + COPY_GUARD_S
            self._era = self._cache.era
        present = self._present(now_s)
        for name, member in present.items():
            previous = self._retained.get(name)
            if previous != member:
                _LOG.info(
                    "member record added or changed",
                    member=name,
                    service=member.service,
                    endpoint=str(member.endpoint),
                    leaving=member.leaving,
                    role=None if member.role is None else member.role.value,
                )
            if self._missing_since_s.pop(name, None) is not None:
                _LOG.info("member record is back in the store", member=name)
        for name in self._retained.keys() - present.keys() - self._missing_since_s.keys():
            self._missing_since_s[name] = now_s
            _LOG.info("member record has left the store; member retained for now", member=name)
        self._remove_missing(now_s)
        self._retained = {
            name: member for name, member in self._retained.items() if name in self._missing_since_s
        } | present

    def _present(self, now_s: float) -> dict[str, model.Member]:
        """Return the members whose records are in the store, each as in its newest known record."""
        guarded = now_s < self._copy_guard_until_s
        present: dict[str, model.Member] = {}
        ignored: dict[str, model.Member] = {}
        for name, item in self._cache.items.items():
            if not isinstance(item, model.Member):
                continue
            retained = self._retained.get(name)
            removed, _ = self._removed.get(name, (None, 0.0))
            newest = retained or removed
            if newest is None or not guarded or not _is_outdated(item, newest, retained is None):
                present[name] = item
                continue
            ignored[name] = item
            if retained is not None:
                present[name] = retained
            if self._ignored.get(name) != item:
                _LOG.info(
                    "older record of a member ignored",
                    member=name,
                    report=item.report_number,
                    known_report=newest.report_number,
                    removed=retained is None,
                )
        self._ignored = ignored
        return present

    def _remove_missing(self, now_s: float) -> None:
        """Remove the members whose records have been missing for too long."""
        for name, since_s in list(self._missing_since_s.items()):
            if self._cache.store_lost:
                self._missing_since_s[name] = now_s
            elif (
                self._running_time.elapsed_s(since_s, now_s) >= MISSING_MEMBER_RETENTION_S
                or now_s - since_s >= MISSING_MEMBER_LIMIT_S
            ):
                del self._missing_since_s[name]
                member = self._retained.pop(name, None)
                if member is not None:
                    self._removed[name] = (member, now_s)
                _LOG.info("member removed: its record has not come back", member=name)
        for name, (_, removed_at_s) in list(self._removed.items()):
            if now_s - removed_at_s >= COPY_GUARD_S:
                del self._removed[name]


def _is_outdated(record: model.Member, newest: model.Member, removed: bool) -> bool:
    """Return whether a record is from before the last one that is known of its member.

    Args:
      record: The record in the store.
      newest: The last known record.
      removed: Whether the member has been removed since, so that its last record is outdated too.
    """
    if removed:
        return record.record_age_key <= newest.record_age_key
    return record.record_age_key < newest.record_age_key
