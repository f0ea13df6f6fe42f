"""Puts the adapters of a real process together: store, members, configuration, owners."""

import asyncio
import collections.abc
import contextlib
import random
import ssl

import loguru
import msgspec

from bilberrystack.core import declarations
from bilberrystack.core import freshness
from bilberrystack.core import retries
from bilberrystack.proxy import configuration
from bilberrystack.proxy import counted_store
from bilberrystack.proxy import daemon
from bilberrystack.proxy import discovery
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import member_link
from bilberrystack.proxy import operations
from bilberrystack.proxy import owner
from bilberrystack.proxy import store_http
from bilberrystack.proxy import supervisor

CHANGE_PREFIX = "status/primaries/"

_LOG = loguru.logger.bind(component="assembly")


def adapters_of(store_url: str, member_tls: ssl.SSLContext | None = None) -> daemon.OpenAdapters:
    """Returns the function that opens the adapters of a process.

    Args:
      store_url: The base URL of the platform's store.
      member_tls: The TLS context of connections to members, None for plain TCP.
    Returns:
      What daemon.run needs.
    """

    @contextlib.asynccontextmanager
    async def open_adapters(
        settings: daemon.DaemonSettings,
    ) -> collections.abc.AsyncGenerator[daemon.Adapters, None]:
        async with store_http.HttpStore(store_url) as api, asyncio.TaskGroup() as records:
            store = counted_store.CountedStore(api)
            recorder = operations.Recorder()
            keeper = _RecordKeeper(store, records, recorder)
            yield daemon.Adapters(
                store=store,
                open_configuration=_configuration_opener(store),
                open_owner=_owner_opener(settings, member_tls, keeper.keep),
                retries=retries.Budget(),
                recorder=recorder,
            )

    return open_adapters


def _configuration_opener(
    store: interfaces.Store,
) -> collections.abc.Callable[[discovery.Discovery], configuration.Configuration]:
    def open_configuration(found: discovery.Discovery) -> configuration.Configuration:
        return configuration.Configuration(store, found, freshness.may_serve, _LOG.warning)

    return open_configuration


def _owner_opener(
    settings: daemon.DaemonSettings,
    member_tls: ssl.SSLContext | None,
    on_change: supervisor.OnPrimaryChange,
) -> collections.abc.Callable[[declarations.GroupDeclaration, int], interfaces.GroupOwner]:
    randomness = random.Random()

    def open_member(declaration: declarations.MemberDeclaration) -> interfaces.Member:
        return member_link.open_member(declaration, settings.instance_id, member_tls)

    def open_owner(declaration: declarations.GroupDeclaration, rank: int) -> interfaces.GroupOwner:
        return owner.open_owner(
            declaration,
            rank,
            instance_id=settings.instance_id,
            failure_domain=settings.failure_domain,
            open_member=open_member,
            randomness=randomness,
            on_change=on_change,
        )

    return open_owner


class _RecordKeeper:
    """Writes changes of primary to the store, as a record for people; nothing reads it back."""

    __slots__ = ("_recorder", "_store", "_tasks")

    def __init__(
        self, store: interfaces.Store, tasks: asyncio.TaskGroup, recorder: operations.Recorder
    ) -> None:
        self._recorder = recorder
        self._store = store
        self._tasks = tasks

    def keep(self, change: supervisor.CompletedPrimaryChange) -> None:
        """Logs a change and records it in the background, once and best effort."""
        _LOG.info(
            "Group {}: {} is primary in term {}: {}",
            change.group,
            change.primary,
            change.term,
            change.reason,
        )
        self._recorder.change(change)
        self._tasks.create_task(self._record(change))

    async def _record(self, change: supervisor.CompletedPrimaryChange) -> None:
        key = f"{CHANGE_PREFIX}{change.group}"
        try:
            stored = await self._store.get(key)
            version = 0 if stored is None else stored.version
            await self._store.put(key, msgspec.json.encode(change), version)
        except (interfaces.StoreUnavailable, interfaces.VersionConflict):
            _LOG.warning("The change of primary of group {} was not recorded", change.group)
