"""The newest primary of each group, stored so that a later coordinator grants no older one.

A new coordinator knows of terms only what members tell it. The members that know the newest term
may be unreachable by then, or have restarted without their log.
"""

import asyncio
import collections.abc

import loguru

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import tasks
from bilberrystack.routing import permission
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="supervisor")

# Time limit for storing a primary before the first grant of its term. While the store does not
# answer, grants are given without: a group without grants needs a round for each write.
RECORD_TIMEOUT_S = 0.2

# Pause before a primary that could not be stored is stored again. Refused calls have a price too.
RECORD_RETRY_DELAY_S = 5.0

# Records of a group that has been missing from the configuration for this long are removed.
GROUP_GONE_S = 60.0

# No member knows a lower term, so that a record of this one would exclude nothing.
FIRST_TERM = 1


class PrimaryRecords:
    """Stores the newest primary of each group, one record for each term."""

    __slots__ = (
        "_absent_since_s",
        "_clock",
        "_era",
        "_names",
        "_permitted_terms",
        "_platform",
        "_retry_at_s",
        "_running_time",
        "_tasks",
        "_writing",
    )

    def __init__(
        self,
        platform: interfaces.Platform,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
    ) -> None:
        """Create a collection that knows of no record.

        Args:
          platform: Stores the records.
          clock: Returns the current time in seconds.
          background_tasks: Runs the calls to the store.
          running: Time in which this process ran.
        """
        self._platform = platform
        self._clock = clock
        self._tasks = background_tasks
        self._running_time = running
        # Names of the records in the store, by group and term, and the store's era when they were
        # read or written: a store that has returned from an older copy may lack them.
        self._names: dict[str, dict[int, str]] = {}
        self._era = 0
        # The newest term of each group that was stored, or whose attempt to store it has ended.
        self._permitted_terms: dict[str, int] = {}
        self._retry_at_s: dict[str, float] = {}
        self._writing: set[str] = set()
        self._absent_since_s: dict[str, float] = {}

    def replace(self, records: collections.abc.Iterable[interfaces.PrimaryRecord]) -> None:
        """Replace what is known of the store's records by a list of all of them."""
        self._era = self._platform.store_era
        self._names.clear()
        for record in records:
            self._names.setdefault(record.service, {})[record.term] = record.name
            self._permit(record.service, record.term)
        for service, names in self._names.items():
            self._remove_below(service, max(names))

    def permits_grants(self, service: str, term: int) -> bool:
        """Return whether a term's primary was stored, or the attempt to store it has ended."""
        return term <= max(FIRST_TERM, self._permitted_terms.get(service, 0))

    def _permit(self, service: str, term: int) -> None:
        self._permitted_terms[service] = max(term, self._permitted_terms.get(service, 0))

    def store(self, service: str, leader: permission.Leader) -> None:
        """Begin to store the primary that is to be granted, if that is due.

        Args:
          service: The group.
          leader: Its primary.
        """
        if leader.term <= FIRST_TERM or service in self._writing:
            return
        if self._era != self._platform.store_era:
            self._era = self._platform.store_era
            self._names.clear()
        if leader.term in self._names.get(service, {}):
            return
        # Grants of a term wait for the first attempt to store it, which an earlier term's failure
        # must not delay.
        if self.permits_grants(service, leader.term) and self._clock() < self._retry_at_s.get(
            service, float("-inf")
        ):
            return
        self._writing.add(service)
        self._tasks.start(self._write(service, leader))

    async def _write(self, service: str, leader: permission.Leader) -> None:
        name = f"{service}.primary-of-term.{leader.term}"
        record = interfaces.PrimaryRecord(name, service, leader.member, leader.term)
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await self._platform.record_primary(record)
        except interfaces.Conflict:
            # An earlier attempt without an answer, or another coordinator, has stored it.
            self._record_written(record)
        except (interfaces.StoreFailure, TimeoutError) as failure:
            self._retry_at_s[service] = self._clock() + RECORD_RETRY_DELAY_S
            _LOG.warning(
                "primary not stored; a successor may not know of its term",
                service=service,
                member=leader.member,
                term=leader.term,
                failure=type(failure).__name__,
            )
        else:
            self._record_written(record)
        finally:
            self._permit(service, leader.term)
            self._writing.discard(service)

    def _record_written(self, record: interfaces.PrimaryRecord) -> None:
        _LOG.info(
            "primary stored before its first grant",
            service=record.service,
            member=record.member,
            term=record.term,
        )
        self._names.setdefault(record.service, {})[record.term] = record.name
        self._remove_below(record.service, record.term)

    def _remove_below(self, service: str, term: int) -> None:
        """Remove the records of a group's earlier terms, which the newest one makes needless."""
        names = self._names[service]
        for older in [known for known in names if known < term]:
            self._tasks.start(self._remove(names.pop(older)))

    def remove_gone(self, groups: collections.abc.Collection[str]) -> list[str]:
        """Remove the records of groups that have been gone for a time.

        Args:
          groups: The groups of the present configuration; if there are none, none is gone.
        Returns:
          The groups whose records are removed now.
        """
        now_s = self._clock()
        known = self._names.keys() | self._permitted_terms.keys()
        absent = known - set(groups) if groups else set()
        for service in self._absent_since_s.keys() - absent:
            del self._absent_since_s[service]
        for service in absent:
            self._absent_since_s.setdefault(service, now_s)
        gone = [
            service
            for service, since_s in self._absent_since_s.items()
            if self._running_time.elapsed_s(since_s, now_s) >= GROUP_GONE_S
        ]
        for service in gone:
            del self._absent_since_s[service]
            self._permitted_terms.pop(service, None)
            self._retry_at_s.pop(service, None)
            for name in self._names.pop(service, {}).values():
                _LOG.info("record of the primary of a group that is gone removed", record=name)
                self._tasks.start(self._remove(name))
        return gone

    async def _remove(self, name: str) -> None:
        try:
            await self._platform.remove_promotion_record(name)
        except interfaces.StoreFailure as failure:
            # A later coordinator finds it among the others, and removes it.
            _LOG.info(
                "record of an earlier primary not removed",
                record=name,
                failure=type(failure).__name__,
            )
