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

# Pause after a failed call, so that an outage is not answered with a storm of calls. It grows with
# the number of instances, since the store's rates do not.
RETRY_DELAY_S = 0.4
RETRY_DELAY_PER_INSTANCE_S = 0.02
MAX_RETRY_DELAY_S = 1.6


class ObjectCache:
    """A cache of all store objects of one kind that follows the store."""

    __slots__ = (
        "_batch_delay_s",
        "_check_requested",
        "_clock",
        "_instance_count",
        "_items",
        "_kind",
        "_listed",
        "_on_change",
        "_relisted",
        "_revision",
        "_store_lost",
        "_verified_at_s",
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
        clock: interfaces.Clock | None = None,
        instance_count: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        """Create an empty cache.

        Args:
          kind: The kind of objects.
          on_change: Called after each change of the cache.
          history_s: How long the store keeps its history, in seconds.
          batch_delay_s: Pause in seconds between a change and the next watch, which then returns
            all changes of that time at once; each watch costs a store call.
          clock: Returns the current time in seconds; None if `verified_at_s` is not needed.
          instance_count: Returns how many instances share the store.
        """
        self._instance_count = instance_count
        self._clock = clock
        self._verified_at_s = float("-inf")
        self._kind = kind
        self._on_change = on_change
        self._watch_timeout_s = min(MAX_WATCH_S, history_s * WATCH_HISTORY_FRACTION)
        self._batch_delay_s = batch_delay_s
        self._items: dict[str, object] = {}
        self._watch_enabled = asyncio.Event()
        self._watch_enabled.set()
        self._check_requested = asyncio.Event()
        self._watch_task: asyncio.Task[interfaces.Changes] | None = None
        self._revision: interfaces.Revision | None = None
        self._store_lost = False
        self._listed = False
        # Whether the last list was needed because of the history; cleared by the next changes.
        self._relisted = False

    @property
    def items(self) -> collections.abc.Mapping[str, object]:
        """The cached objects by name."""
        return self._items

    @property
    def loaded(self) -> bool:
        """Whether the store has been read at least once."""
        return self._revision is not None

    @property
    def era(self) -> int:
        """The era of the store that the objects come from; 0 before the first list."""
        return 0 if self._revision is None else self._revision.era

    @property
    def verified_at_s(self) -> float:
        """Instant at which the cached objects were last known to be the newest ones."""
        return self._verified_at_s

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
                await asyncio.sleep(self._retry_delay_s())
            else:
                self._note_store_regained()
                if await self._wait_for_request(next(intervals_s) * random.uniform(0.9, 1.1)):
                    # Many instances may have been told at the same moment.
                    await asyncio.sleep(random.uniform(0, RETRY_DELAY_S))

    def _retry_delay_s(self) -> float:
        shared_s = RETRY_DELAY_PER_INSTANCE_S * self._instance_count()
        return max(RETRY_DELAY_S, min(MAX_RETRY_DELAY_S, shared_s)) * random.uniform(0.5, 1.5)

    async def _wait_for_request(self, timeout_s: float) -> bool:
        """Wait until a check is requested; return False if none is within the time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._check_requested.wait()
        except TimeoutError:
            # The regular list is due.
            return False
        self._check_requested.clear()
        return True

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
        list_needed = True
        while True:
            try:
                if list_needed:
                    await self._list()
                    self._note_store_regained()
                    list_needed = False
                await self._watch_once()
            except interfaces.HistoryGone:
                _LOG.info(
                    "watched revision is not in the store's history; listing again",
                    kind=self._kind.name,
                    revision=str(self._revision),
                )
                if self._relisted:
                    # The last list did not help, so that the next one waits.
                    await asyncio.sleep(self._retry_delay_s())
                self._relisted = list_needed = True
            except interfaces.StoreFailure as failure:
                self._note_store_lost(failure)
                await asyncio.sleep(self._retry_delay_s())

    async def _watch_once(self) -> None:
        assert self._revision is not None
        await self._watch_enabled.wait()
        changes = await self._watch_changes(self._revision)
        if changes is None:
            return
        self._relisted = False
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

    async def _watch_changes(self, revision: interfaces.Revision) -> interfaces.Changes | None:
        """Watch for changes; return None if the watch was cancelled."""
        self._watch_task = asyncio.ensure_future(self._kind.watch(revision, self._watch_timeout_s))
        try:
            await asyncio.wait({self._watch_task})
            return None if self._watch_task.cancelled() else self._watch_task.result()
        finally:
            self._watch_task.cancel()
            self._watch_task = None

    def request_check(self) -> None:
        """Have `check` or `poll` list at once, because a newer object is known to exist."""
        self._check_requested.set()

    async def check(
        self, watched_interval_s: float, unwatched_interval_s: float, *, allow_stale: bool = True
    ) -> None:
        """List at intervals until cancelled, and apply changes that the watch has missed.

        Args:
          watched_interval_s: Interval while changes are watched for. The lists may be seconds old
            and cost a tenth of a call.
          unwatched_interval_s: Interval while changes are not watched for.
          allow_stale: Whether a list may be seconds old; otherwise each one verifies the cache.
        """
        while True:
            interval_s = watched_interval_s if self.watch_enabled else unwatched_interval_s
            requested = await self._wait_for_request(interval_s * random.uniform(0.8, 1.2))
            if self._revision is None:
                continue
            try:
                replaced = await self._list(allow_stale)
                if allow_stale and requested and not replaced:
                    # The cheap list was too old to contain what the other instance knows of.
                    await self._list()
            except interfaces.StoreFailure as failure:
                # The watch notices an outage too, and logs it once.
                _LOG.debug(
                    "check for missed changes failed", kind=self._kind.name, failure=str(failure)
                )
                # Answers of other instances may request a check many times a second.
                await asyncio.sleep(self._retry_delay_s())

    async def _list(self, allow_stale: bool = False) -> bool:
        """List the objects, and replace the cached ones unless the list is older.

        Returns:
          Whether the cached objects were replaced.
        """
        known = self._revision
        began_at_s = None if self._clock is None else self._clock()
        snapshot = await self._kind.list(allow_stale)
        if allow_stale and known is not None and snapshot.revision.era > known.era:
            # A list that may be stale can hold contents from before the store's return.
            allow_stale = False
            snapshot = await self._kind.list()
        if began_at_s is not None and not allow_stale:
            self._verified_at_s = max(self._verified_at_s, began_at_s)
        previous = self._revision
        # An up-to-date list is newer than what was known before it, whatever its revision.
        certainly_newer = not allow_stale and previous == known
        if previous is not None and snapshot.revision <= previous and not certainly_newer:
            return False
        replaced = not self._listed or snapshot.items != self._items
        restored = previous is not None and (
            snapshot.revision.era != previous.era or snapshot.revision < previous
        )
        if restored or (replaced and self._watch_task is not None):
            _LOG.warning(
                (
                    "store's history has changed; cache continues from a new list"
                    if restored
                    else "watch has missed changes; cache replaced by a newer snapshot"
                ),
                kind=self._kind.name,
                revision=str(previous),
                found=str(snapshot.revision),
                replaced=replaced,
            )
        if restored or replaced or (self._watch_task is None and not allow_stale):
            self._revision = snapshot.revision
            if self._watch_task is not None:
                self._watch_task.cancel()
        if replaced:
            self._listed = True
            self._items = dict(snapshot.items)
            self._on_change()
        return replaced

    def _note_store_lost(self, failure: interfaces.StoreFailure) -> None:
        if not self._store_lost:
            self._store_lost = True
            _LOG.warning(
                "store unavailable; cache may be out of date",
                kind=self._kind.name,
                revision=str(self._revision),
                failure=type(failure).__name__,
                detail=str(failure),
            )

    def _note_store_regained(self) -> None:
        if self._store_lost:
            self._store_lost = False
            _LOG.info("store available again", kind=self._kind.name, revision=str(self._revision))
