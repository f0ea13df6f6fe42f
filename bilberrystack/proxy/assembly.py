"""Construction of a process's adapters: store, members, configuration and owners."""

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

PRIMARY_CHANGE_PREFIX = "status/primaries/"

_LOG = loguru.logger.bind(component="assembly")


def adapter_opener(store_url: str, member_tls: ssl.SSLContext | None = None) -> daemon.OpenAdapters:
    """Return a function that opens the adapters of a process, for daemon.run.

    Args:
      store_url: The base URL of the platform's store.
      member_tls: The TLS context of connections to members; None for plain TCP.
    """

    @contextlib.asynccontextmanager
    async def open_adapters(
        settings: daemon.DaemonSettings,
    ) -> collections.abc.AsyncGenerator[daemon.Adapters, None]:
        async with store_http.HttpStore(store_url) as http_store, asyncio.TaskGroup() as tasks:
            store = counted_store.CountedStore(http_store)
            recorder = operations.InstanceRecorder()
            change_recorder = _PrimaryChangeRecorder(store, tasks, recorder)
            yield daemon.Adapters(
                store=store,
                open_configuration=_configuration_opener(store),
                open_owner=_owner_opener(settings, member_tls, change_recorder.record),
                retries=retries.Budget(),
                recorder=recorder,
            )

    return open_adapters


def _configuration_opener(
    store: interfaces.Store,
) -> collections.abc.Callable[[discovery.Discovery], configuration.Configuration]:
    def open_configuration(peers: discovery.Discovery) -> configuration.Configuration:
        return configuration.Configuration(store, peers, freshness.may_serve, _LOG.warning)

    return open_configuration


def _owner_opener(
    settings: daemon.DaemonSettings,
    member_tls: ssl.SSLContext | None,
    on_change: supervisor.OnPrimaryChange,
) -> collections.abc.Callable[[declarations.GroupDeclaration, int], interfaces.GroupOwner]:
    rng = random.Random()

    def open_member(declaration: declarations.MemberDeclaration) -> interfaces.Member:
        return member_link.open_member(declaration, settings.instance_id, member_tls)

    def open_owner(declaration: declarations.GroupDeclaration, rank: int) -> interfaces.GroupOwner:
        return owner.open_owner(
            declaration,
            rank,
            instance_id=settings.instance_id,
            failure_domain=settings.failure_domain,
            open_member=open_member,
            rng=rng,
            on_change=on_change,
        )

    return open_owner


class _PrimaryChangeRecorder:
    """Writes primary changes to the store, as a record for operators that no program reads."""

    __slots__ = ("_recorder", "_store", "_tasks")

    def __init__(
        self,
        store: interfaces.Store,
        tasks: asyncio.TaskGroup,
        recorder: operations.InstanceRecorder,
    ) -> None:
        self._recorder = recorder
        self._store = store
        self._tasks = tasks

    def record(self, change: supervisor.CompletedPrimaryChange) -> None:
        """Log and count a primary change, and store it in the background without retries."""
        _LOG.info(
            "Group {}: member {} became primary in term {}: {}",
            change.group,
            change.primary,
            change.term,
            change.reason,
        )
        self._recorder.record_primary_change(change)
        self._tasks.create_task(self._store_record(change))

    async def _store_record(self, change: supervisor.CompletedPrimaryChange) -> None:
        key = f"{PRIMARY_CHANGE_PREFIX}{change.group}"
        try:
            stored = await self._store.get(key)
            version = 0 if stored is None else stored.version
            await self._store.put(key, msgspec.json.encode(change), version)
        except (interfaces.StoreUnavailable, interfaces.VersionConflict):
            _LOG.warning(
                "The primary change of group {} was not recorded in the store", change.group
            )
