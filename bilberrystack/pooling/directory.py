"""The groups, members and instances that exist, from the caches of the store."""

import collections.abc

import loguru

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import tasks
from bilberrystack.pooling import views
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="directory")

# A member whose record has left the store is retained for this long, counted only while the store
# is available: records that expired during an outage are back within 2 s of its end. The upper
# limit is the 7 s after which a member that has left may get no more requests.
MISSING_MEMBER_RETENTION_S = 4.0

# A store that returns from an older copy holds older records until the members have written theirs
# again, which takes a few heartbeats. Within this time after its return, a record is ignored if it
# is older than a known one. The records of removed members are remembered for as long.
COPY_GUARD_S = 30.0

# Instances whose registrations the store has lost register again within seconds. They stay known
# for this long after its return.
REGISTRATION_GUARD_S = 15.0

# Members register one by one when a site starts. Collecting their records may delay a change by
# this much: a leaving member serves for another 7 s, and a failed primary is detected because it
# becomes unresponsive.
MEMBER_BATCH_DELAY_S = 1.0

# Configurations may arrive every 0.06 s, and each has to be in force within 3 s.
CONFIGURATION_BATCH_DELAY_S = 0.25


class Directory:
    """The newest configuration, the members and the registered instances.

    Attributes:
      configurations: The cache of configurations.
      instances: The cache of instance registrations.
      members: The cache of member records.
    """

    __slots__ = (
        "_awaited_instances",
        "_clock",
        "_configuration",
        "_copy_guard_until_s",
        "_ended_incarnations",
        "_ignored_records",
        "_instance_era",
        "_instance_guard_until_s",
        "_known_instances",
        "_member_era",
        "_missing_since_s",
        "_removed_members",
        "_retained_members",
        "configurations",
        "instances",
        "members",
    )

    def __init__(
        self,
        platform: interfaces.Platform,
        clock: interfaces.Clock,
        on_change: collections.abc.Callable[[], None],
        history_s: float,
    ) -> None:
        """Create an empty directory.

        Args:
          platform: The store.
          clock: Returns the current time in seconds.
          on_change: Called after each change of a cache.
          history_s: How long the store keeps its history, in seconds.
        """
        self.configurations = views.ObjectCache(
            platform.configurations,
            on_change,
            history_s=history_s,
            batch_delay_s=CONFIGURATION_BATCH_DELAY_S,
        )
        self.members = views.ObjectCache(
            platform.members, on_change, history_s=history_s, batch_delay_s=MEMBER_BATCH_DELAY_S
        )
        self.instances = views.ObjectCache(platform.instances, on_change)
        self._clock = clock
        self._configuration: model.Configuration | None = None
        self._retained_members: dict[str, model.Member] = {}
        self._missing_since_s: dict[str, float] = {}
        # The last record of each member that was removed recently, and when.
        self._removed_members: dict[str, tuple[model.Member, float]] = {}
        self._member_era = 0
        self._copy_guard_until_s = float("-inf")
        self._ignored_records: dict[str, model.Member] = {}
        self._known_instances: dict[str, model.Instance] = {}
        # Instances whose registrations may have been lost with the store's return.
        self._awaited_instances: dict[str, model.Instance] = {}
        self._instance_era = 0
        self._instance_guard_until_s = float("-inf")
        # When the registration of each recently ended process left the store.
        self._ended_incarnations: dict[str, float] = {}

    @property
    def loaded(self) -> bool:
        """Whether the configuration and the members have been read."""
        return self._configuration is not None and self.members.loaded

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; its version never decreases while the process runs."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 before the first configuration."""
        return 0 if self._configuration is None else self._configuration.version

    def observe_version(self, version: int) -> None:
        """Check for a new configuration at once if another instance has a newer version in force.

        Args:
          version: The version in force at the other instance.
        """
        if self._configuration is not None and version > self.version:
            self.configurations.request_check()

    def set_watch_enabled(self, enabled: bool) -> None:
        """Set whether changes of configurations and members are watched for.

        Each change costs one store call per watching instance. Only owners of a group and the
        coordinator have to learn of changed members at once; the other instances learn of new
        configurations from the coordinator.
        """
        self.configurations.set_watch_enabled(enabled)
        self.members.set_watch_enabled(enabled)

    def background_work(self) -> list[tasks.CoroutineFactory]:
        """Return the coroutine functions that keep the caches up to date until cancelled."""
        return [
            self.configurations.follow,
            self._check_configurations,
            self.members.follow,
            self._check_members,
            self.instances.poll,
        ]

    async def _check_configurations(self) -> None:
        interval_s = views.CONFIGURATION_CHECK_INTERVAL_S
        await self.configurations.check(interval_s, interval_s)

    async def _check_members(self) -> None:
        await self.members.check(views.MEMBER_CHECK_INTERVAL_S, views.UNWATCHED_CHECK_INTERVAL_S)

    @property
    def missing_members(self) -> frozenset[str]:
        """The ids of retained members whose records have left the store."""
        return frozenset(self._missing_since_s)

    def refresh(self) -> None:
        """Apply the current contents of the caches."""
        for item in self.configurations.items.values():
            if not isinstance(item, model.Configuration):
                continue
            # A version that was lost before its confirmation may be given out again.
            if item.version >= self.version and item != self._configuration:
                self._configuration = item
                _LOG.info("configuration in force", version=item.version, routes=len(item.routes))
        self._refresh_members()
        self._refresh_instances()
        if self.instances.era < max(self.configurations.era, self.members.era):
            self.instances.request_check()

    @property
    def refresh_due(self) -> bool:
        """Whether records that are missing, ignored or awaited have to be looked at again."""
        return bool(self._missing_since_s or self._ignored_records or self._awaited_instances)

    def _refresh_members(self) -> None:
        now_s = self._clock()
        if self.members.era != self._member_era:
            if self._member_era:
                self._copy_guard_until_s = now_s + COPY_GUARD_S
            self._member_era = self.members.era
        present = self._present_members(now_s)
        for name, member in present.items():
            previous = self._retained_members.get(name)
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
        for name in self._retained_members.keys() - present.keys() - self._missing_since_s.keys():
            self._missing_since_s[name] = now_s
            _LOG.info("member record has left the store; member retained for now", member=name)
        self._remove_missing_members(now_s)
        self._retained_members = {
            name: member
            for name, member in self._retained_members.items()
            if name in self._missing_since_s
        } | present

    def _present_members(self, now_s: float) -> dict[str, model.Member]:
        """Return the members whose records are in the store, each as in its newest known record."""
        guarded = now_s < self._copy_guard_until_s
        present: dict[str, model.Member] = {}
        ignored: dict[str, model.Member] = {}
        for name, item in self.members.items.items():
            if not isinstance(item, model.Member):
                continue
            retained = self._retained_members.get(name)
            removed, _ = self._removed_members.get(name, (None, 0.0))
            newest = retained or removed
            if newest is None or not guarded or not _is_outdated(item, newest, retained is None):
                present[name] = item
                continue
            ignored[name] = item
            if retained is not None:
                present[name] = retained
            if self._ignored_records.get(name) != item:
                _LOG.info(
                    "older record of a member ignored",
                    member=name,
                    report=item.report_number,
                    known_report=newest.report_number,
                    removed=retained is None,
                )
        self._ignored_records = ignored
        return present

    def _remove_missing_members(self, now_s: float) -> None:
        """Remove the members whose records have been missing for too long."""
        for name, since_s in list(self._missing_since_s.items()):
            if self.members.store_lost:
                self._missing_since_s[name] = now_s
            elif now_s - since_s >= MISSING_MEMBER_RETENTION_S:
                del self._missing_since_s[name]
                member = self._retained_members.pop(name, None)
                if member is not None:
                    self._removed_members[name] = (member, now_s)
                _LOG.info("member removed: its record has not come back", member=name)
        for name, (_, removed_at_s) in list(self._removed_members.items()):
            if now_s - removed_at_s >= COPY_GUARD_S:
                del self._removed_members[name]

    def members_of(self, service: str) -> list[model.Member]:
        """Return a group's members, including those whose records have just left the store.

        Args:
          service: The group.
        """
        return [member for member in self._retained_members.values() if member.service == service]

    def _refresh_instances(self) -> None:
        now_s = self._clock()
        previous = self._known_instances
        listed = {
            name: item
            for name, item in self.instances.items.items()
            if isinstance(item, model.Instance)
        }
        if self.instances.era != self._instance_era:
            if self._instance_era:
                self._awaited_instances = dict(previous)
                self._instance_guard_until_s = now_s + REGISTRATION_GUARD_S
            self._instance_era = self.instances.era
        elif now_s >= self._instance_guard_until_s:
            self._awaited_instances.clear()
        if now_s < self._instance_guard_until_s:
            # The store's copy can hold registrations of processes that have ended since.
            listed = {
                name: item
                for name, item in listed.items()
                if item.incarnation not in self._ended_incarnations
            }
        for name in listed.keys() & self._awaited_instances.keys():
            del self._awaited_instances[name]
        self._known_instances = self._awaited_instances | listed
        for name, instance in previous.items():
            known = self._known_instances.get(name)
            if known is None or known.incarnation != instance.incarnation:
                self._ended_incarnations[instance.incarnation] = now_s
        for incarnation, ended_at_s in list(self._ended_incarnations.items()):
            if now_s - ended_at_s >= COPY_GUARD_S:
                del self._ended_incarnations[incarnation]

    def registered_instances(self) -> list[model.Instance]:
        """Return the instances that are registered in the store, this one included.

        After the store has returned from an older copy they include those whose registrations it
        may have lost.
        """
        return list(self._known_instances.values())


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
