"""Caches of store objects: list once, then watch for changes.

Kinds whose changes may become known late are polled instead.
"""

import asyncio
import collections.abc
import itertools
import random

import loguru

from bilberrystack.pooling import interfaces

_LOG = loguru.logger.bind(component="views")

# Longest wait of one watch, which is the store's own limit. If the connection becomes unresponsive,
# its keep-alive notices sooner.
MAX_WATCH_S = 30.0

# Longest wait of one watch as a fraction of the store's history: the revision that the watch began
# at has to be in the history when it ends.
WATCH_HISTORY_FRACTION = 0.85

# While the store is in trouble it may lose a watch without an error, and the watch then returns
# nothing until its time has passed. A cheap list at these intervals shows the missed changes. A
# configuration has to be in force within 3 s of its acceptance, and a leaving member out of use
# within 7 s; an instance that finds a newer configuration notifies the others.
CONFIGURATION_CHECK_INTERVAL_S = 2.0
MEMBER_CHECK_INTERVAL_S = 4.0

# Interval between lists of the members while they are not watched. It may be longer, because only
# owners of a group send requests to its members.
UNWATCHED_CHECK_INTERVAL_S = 8.0

# Intervals between lists of a kind that is never watched: short at first, while other instances
# start too, then long.
INITIAL_LIST_INTERVALS_S = (0.5, 1.0, 1.5, 2.0)
LIST_INTERVAL_S = 5.0

# Pause after a failed call, so that an outage is not answered with a storm of calls.
RETRY_DELAY_S = 0.4


class ObjectCache:
    """A cache of all store objects of one kind that follows the store."""

    __slots__ = (
        "_batch_delay_s",
        "_check_requested",
        "_items",
        "_kind",
        "_listed",
        "_on_change",
        "_revision",
        "_store_lost",
        "_watch_enabled",
        "_watch_task",
        "_watch_timeout_s",
    )

    def __init__(
        self,
        kind: interfaces.ObjectKind,
        on_change: collections.abc.Callable[[], None],
        *,
        history_s: float = MAX_WATCH_S,
        batch_delay_s: float = 0.0,
    ) -> None:
        """Create an empty cache.

        Args:
          kind: The kind of objects.
          on_change: Called after each change of the cache.
          history_s: How long the store keeps its history, in seconds.
          batch_delay_s: Pause in seconds between a change and the next watch, which then returns
            all changes of that time at once; each watch costs a store call.
        """
        self._kind = kind
        self._on_change = on_change
        self._watch_timeout_s = min(MAX_WATCH_S, history_s * WATCH_HISTORY_FRACTION)
        self._batch_delay_s = batch_delay_s
        self._items: dict[str, object] = {}
        self._watch_enabled = asyncio.Event()
        self._watch_enabled.set()
        self._check_requested = asyncio.Event()
        self._watch_task: asyncio.Task[interfaces.Changes] | None = None
        self._revision: int | None = None
        self._store_lost = False
        self._listed = False

    @property
    def items(self) -> collections.abc.Mapping[str, object]:
        """The cached objects by name."""
        return self._items

    @property
    def loaded(self) -> bool:
        """Whether the store has been read at least once."""
        return self._revision is not None

    @property
    def store_lost(self) -> bool:
        """Whether the store is unavailable: the last list or watch failed."""
        return self._store_lost

    async def poll(self) -> None:
        """List the objects at intervals until cancelled.

        This costs a fraction of a watch, and suits kinds whose changes may become known seconds
        late.
        """
        intervals_s = itertools.chain(INITIAL_LIST_INTERVALS_S, itertools.repeat(LIST_INTERVAL_S))
        while True:
            try:
                await self._list(allow_stale=self.loaded)
            except interfaces.StoreFailure as failure:
                self._note_store_lost(failure)
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
            else:
                await asyncio.sleep(next(intervals_s) * random.uniform(0.9, 1.1))

    @property
    def watch_enabled(self) -> bool:
        """Whether changes are watched for, and not only checked for at intervals."""
        return self._watch_enabled.is_set()

    def set_watch_enabled(self, enabled: bool) -> None:
        """Set whether changes are watched for.

        Args:
          enabled: Whether changes have to become known at once, which costs a store call for each.
        """
        if enabled:
            self._watch_enabled.set()
            return
        self._watch_enabled.clear()
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def follow(self) -> None:
        """Keep the cache up to date with a list and watches until cancelled."""
        while True:
            try:
                await self._list_or_watch()
            except interfaces.HistoryGone:
                _LOG.info(
                    "watched revision is no longer in the store's history; listing again",
                    kind=self._kind.name,
                )
                await self._relist()
            except interfaces.StoreFailure as failure:
                self._note_store_lost(failure)
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    async def _list_or_watch(self) -> None:
        if self._revision is None:
            await self._list()
            return
        await self._watch_enabled.wait()
        changes = await self._watch_changes(self._revision)
        if changes is None:
            return
        self._note_store_regained()
        if changes.revision < self._revision:
            # `check` has read a newer snapshot while these changes were on their way.
            return
        self._revision = changes.revision
        for name, item in changes.items.items():
            if item is None:
                self._items.pop(name, None)
            else:
                self._items[name] = item
        if changes.items:
            self._on_change()
            await asyncio.sleep(self._batch_delay_s)

    async def _watch_changes(self, revision: int) -> interfaces.Changes | None:
        """Watch for changes; return None if the watch was cancelled."""
        self._watch_task = asyncio.ensure_future(self._kind.watch(revision, self._watch_timeout_s))
        try:
            await asyncio.wait({self._watch_task})
            return None if self._watch_task.cancelled() else self._watch_task.result()
        finally:
            self._watch_task.cancel()
            self._watch_task = None

    def request_check(self) -> None:
        """Have `check` list at once, because another instance knows of a newer object."""
        self._check_requested.set()

    async def check(self, watched_interval_s: float, unwatched_interval_s: float) -> None:
        """List at intervals until cancelled, and apply changes that the watch has missed.

        Args:
          watched_interval_s: Interval while changes are watched for. The lists may be seconds old
            and cost a tenth of a call.
          unwatched_interval_s: Interval while changes are not watched for.
        """
        while True:
            requested = False
            interval_s = watched_interval_s if self.watch_enabled else unwatched_interval_s
            try:
                async with asyncio.timeout(interval_s * random.uniform(0.8, 1.2)):
                    await self._check_requested.wait()
                requested = True
            except TimeoutError:
                # The regular check is due.
                pass
            self._check_requested.clear()
            if self._revision is None:
                continue
            try:
                missed = self._apply_newer_snapshot(await self._kind.list(allow_stale=True))
                if requested and not missed:
                    # The cheap list was too old to contain what the other instance knows of.
                    self._apply_newer_snapshot(await self._kind.list())
            except interfaces.StoreFailure as failure:
                # The watch notices an outage too, and logs it once.
                _LOG.debug(
                    "check for missed changes failed", kind=self._kind.name, failure=str(failure)
                )

    def _apply_newer_snapshot(self, snapshot: interfaces.Snapshot) -> bool:
        """Replace the cached objects if a snapshot is newer and differs.

        Returns:
          Whether the cached objects were replaced.
        """
        assert self._revision is not None
        if snapshot.revision <= self._revision or snapshot.items == self._items:
            return False
        if self._watch_task is not None:
            _LOG.info(
                "watch has missed changes; cache replaced by a newer snapshot",
                kind=self._kind.name,
                revision=self._revision,
                found=snapshot.revision,
            )
            self._watch_task.cancel()
        self._revision = snapshot.revision
        self._items = dict(snapshot.items)
        self._on_change()
        return True

    async def _relist(self) -> None:
        try:
            await self._list()
        except interfaces.StoreFailure as failure:
            self._note_store_lost(failure)
            await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    async def _list(self, allow_stale: bool = False) -> None:
        snapshot = await self._kind.list(allow_stale)
        self._note_store_regained()
        if self._revision is not None and snapshot.revision < self._revision:
            # An older snapshot must not undo newer changes.
            if not allow_stale:
                _LOG.warning(
                    "list ignored: its revision is lower than that of the cache",
                    kind=self._kind.name,
                    revision=self._revision,
                    found=snapshot.revision,
                )
            return
        self._revision = snapshot.revision
        if self._items != snapshot.items or not self._listed:
            self._listed = True
            self._items = dict(snapshot.items)
            self._on_change()

    def _note_store_lost(self, failure: interfaces.StoreFailure) -> None:
        if not self._store_lost:
            self._store_lost = True
            _LOG.warning(
                "store unavailable; cache may be out of date",
                kind=self._kind.name,
                revision=self._revision,
                failure=type(failure).__name__,
                detail=str(failure),
            )

    def _note_store_regained(self) -> None:
        if self._store_lost:
            self._store_lost = False
            _LOG.info("store available again", kind=self._kind.name, revision=self._revision)
