"""Which groups and members there are, from the copies of the store."""

import collections.abc

import loguru

from bilberrystack.pooling import interfaces
from bilberrystack.pooling import tasks
from bilberrystack.pooling import views
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="directory")

# A member whose entry has left the store is kept for so long, counted while the store answers:
# entries that expired during an outage are back within 2 s of its end. Its limit is the 7 s after
# which a member that is gone may get no request.
KEEP_MISSING_S = 4.0

# Members register one by one when a site starts, and a change may come late by this much: a leaving
# member serves for 7 s, and a dead primary shows by its silence.
GATHER_MEMBERS_S = 1.0

# Configurations may come each 0.06 s; each has 3 s to be in force.
GATHER_CONFIGURATIONS_S = 0.25


class Directory:
    """The newest configuration, the members and the other instances."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_kept",
        "_missing_since_s",
        "configurations",
        "instances",
        "members",
    )

    def __init__(
        self,
        platform: interfaces.Platform,
        clock: interfaces.Clock,
        changed: collections.abc.Callable[[], None],
        history_s: float,
    ) -> None:
        self.configurations = views.View(
            platform.configurations,
            changed,
            history_s=history_s,
            gather_s=GATHER_CONFIGURATIONS_S,
        )
        self.members = views.View(
            platform.members, changed, history_s=history_s, gather_s=GATHER_MEMBERS_S
        )
        self.instances = views.View(platform.instances, changed)
        self._clock = clock
        self._configuration: model.Configuration | None = None
        self._kept: dict[str, model.Member] = {}
        self._missing_since_s: dict[str, float] = {}

    @property
    def known(self) -> bool:
        """Whether configuration and members have been read."""
        return self._configuration is not None and self.members.known

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; it never goes back within the process's lifetime."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force, 0 before the first one."""
        return 0 if self._configuration is None else self._configuration.version

    def learn_version(self, version: int) -> None:
        """Takes that a configuration of a version is in force at some instance."""
        if self._configuration is not None and version > self.version:
            self.configurations.check_soon()

    def watch_closely(self, wanted: bool) -> None:
        """Takes whether this instance owns a group or watches over primaries.

        Each change costs a call for each instance that watches, so that only those do that need to
        know of members at once. The others hear of new configurations from the duty's holder.
        """
        self.configurations.watch_closely(wanted)
        self.members.watch_closely(wanted)

    def works(self) -> list[tasks.Work]:
        """Returns what follows the store, each part until cancelled."""
        return [
            self.configurations.follow,
            self._check_configurations,
            self.members.follow,
            self._check_members,
            self.instances.reread,
        ]

    async def _check_configurations(self) -> None:
        pause_s = views.CHECK_CONFIGURATIONS_S
        await self.configurations.check(pause_s, pause_s)

    async def _check_members(self) -> None:
        await self.members.check(views.CHECK_MEMBERS_S, views.CHECK_UNWATCHED_S)

    @property
    def missing(self) -> frozenset[str]:
        """Members whose entries have left the store a short time ago."""
        return frozenset(self._missing_since_s)

    def refresh(self) -> None:
        """Takes what the copies of the store hold now."""
        for found in self.configurations.items.values():
            if not isinstance(found, model.Configuration):
                continue
            if self._configuration is None or found.version > self._configuration.version:
                self._configuration = found
                _LOG.info("configuration in force", version=found.version, routes=len(found.routes))
        self._refresh_members()

    def _refresh_members(self) -> None:
        now_s = self._clock()
        present = {
            name: found
            for name, found in self.members.items.items()
            if isinstance(found, model.Member)
        }
        for name, found in present.items():
            before = self._kept.get(name)
            if before != found:
                _LOG.info(
                    "member by its entry",
                    member=name,
                    service=found.service,
                    endpoint=str(found.endpoint),
                    leaving=found.leaving,
                    role=None if found.role is None else found.role.value,
                )
            if self._missing_since_s.pop(name, None) is not None:
                _LOG.info("member's entry is back", member=name)
        for name in self._kept.keys() - present.keys() - self._missing_since_s.keys():
            self._missing_since_s[name] = now_s
            _LOG.info("member's entry has left the store", member=name)
        for name, since_s in list(self._missing_since_s.items()):
            if self.members.lost:
                self._missing_since_s[name] = now_s
            elif now_s - since_s >= KEEP_MISSING_S:
                del self._missing_since_s[name]
                self._kept.pop(name, None)
                _LOG.info("member is gone", member=name)
        self._kept = {
            name: found for name, found in self._kept.items() if name in self._missing_since_s
        } | present

    def members_of(self, service: str) -> list[model.Member]:
        """Returns a group's members, with those that have just left the store."""
        return [one for one in self._kept.values() if one.service == service]

    def all_instances(self) -> list[model.Instance]:
        """Returns all instances that have announced themselves, this one included."""
        return [one for one in self.instances.items.values() if isinstance(one, model.Instance)]
