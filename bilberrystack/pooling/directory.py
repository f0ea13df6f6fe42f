"""The groups, members and instances that exist, from the caches of the store."""

import collections.abc

import loguru

from bilberrystack.accounts import authorization
from bilberrystack.pooling import configuration_exchange
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_records
from bilberrystack.pooling import registrations
from bilberrystack.pooling import tasks
from bilberrystack.pooling import views
from bilberrystack.routing import model
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="directory")

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
        "_clock",
        "_configuration",
        "_configuration_check",
        "_exchange",
        "_member_records",
        "_on_change",
        "_registrations",
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
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
        *,
        revocation: authorization.RevocationTerms = authorization.DEFAULT_TERMS,
    ) -> None:
        """Create an empty directory.

        Args:
          platform: The store.
          clock: Returns the current time in seconds.
          on_change: Called after each change of a cache.
          history_s: How long the store keeps its history, in seconds.
          running: Time in which this process ran.
          revocation: How soon a revoked key has to be out of use.
        """
        self._clock = clock
        self._configuration_check = (
            (min(views.CONFIGURATION_CHECK_INTERVAL_S, revocation.bound_s / 3), False)
            if revocation.strict
            else (views.CONFIGURATION_CHECK_INTERVAL_S, True)
        )
        self.configurations = views.ObjectCache(
            platform.configurations,
            on_change,
            history_s=history_s,
            batch_delay_s=CONFIGURATION_BATCH_DELAY_S,
            clock=clock,
            instance_count=self._count_instances,
        )
        self.members = views.ObjectCache(
            *(platform.members, on_change),
            history_s=history_s,
            batch_delay_s=MEMBER_BATCH_DELAY_S,
            instance_count=self._count_instances,
        )
        self.instances = views.ObjectCache(
            platform.instances, on_change, instance_count=self._count_instances
        )
        self._configuration: model.Configuration | None = None
        self._exchange: configuration_exchange.ConfigurationExchange | None = None
        self._on_change = on_change
        self._member_records = member_records.MemberRecords(self.members, clock, running)
        self._registrations = registrations.Registrations(self.instances, clock, running)

    def _count_instances(self) -> int:
        return len(self._registrations.instances)

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

    @property
    def configuration_verified_age_s(self) -> float:
        """Time since the configuration was last known to be the newest one, in seconds."""
        return self._clock() - self.configurations.verified_at_s

    def set_exchange(self, exchange: configuration_exchange.ConfigurationExchange) -> None:
        """Set what fetches configurations from other instances."""
        self._exchange = exchange

    def observe_version(self, version: int, source: model.Endpoint | None = None) -> None:
        """Get a new configuration at once if another instance has a newer version in force.

        Args:
          version: The version in force at the other instance.
          source: Where that instance serves others; None if that is not known.
        """
        if self._configuration is None or version <= self.version:
            return
        reads_store = self.configurations.watch_enabled and not self.configurations.store_lost
        if self._exchange is None or source is None or reads_store:
            self.configurations.request_check()
        else:
            self._exchange.request(source, self.configurations.request_check)

    def adopt(self, configuration: model.Configuration) -> bool:
        """Put a configuration of another instance in force if it is newer than this one's.

        Returns:
          Whether it was newer.
        """
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        _LOG.info(
            "configuration of another instance in force",
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self._on_change()
        return True

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
        interval_s, allow_stale = self._configuration_check
        await self.configurations.check(interval_s, interval_s, allow_stale=allow_stale)

    async def _check_members(self) -> None:
        await self.members.check(views.MEMBER_CHECK_INTERVAL_S, views.UNWATCHED_CHECK_INTERVAL_S)

    @property
    def missing_members(self) -> frozenset[str]:
        """The ids of retained members whose records have left the store."""
        return self._member_records.missing

    def refresh(self) -> None:
        """Apply the current contents of the caches."""
        for item in self.configurations.items.values():
            if not isinstance(item, model.Configuration):
                continue
            # A version that was lost before its confirmation may be given out again.
            if item.version >= self.version and item != self._configuration:
                self._configuration = item
                _LOG.info("configuration in force", version=item.version, routes=len(item.routes))
        self._member_records.refresh()
        self._registrations.refresh()
        if self.instances.era < max(self.configurations.era, self.members.era):
            self.instances.request_check()

    @property
    def refresh_due(self) -> bool:
        """Whether records that are missing, ignored or awaited have to be looked at again."""
        return self._member_records.refresh_due or self._registrations.refresh_due

    def members_of(self, service: str) -> list[model.Member]:
        """Return a group's members, including those whose records have just left the store.

        Args:
          service: The group.
        """
        return [member for member in self._member_records.members if member.service == service]

    def registered_instances(self) -> list[model.Instance]:
        """Return the instances that are registered in the store, this one included."""
        return list(self._registrations.instances)
