"""Keeps a copy of one kind of the store's objects: lists once, then watches."""

import asyncio
import collections.abc
import itertools
import random

import loguru

from bilberrystack.pooling import interfaces

_LOG = loguru.logger.bind(component="views")

# How long one watch waits at most: the store's own limit. Keep-alive of the connection notices
# sooner if it went silent.
MAX_WATCH_S = 30.0

# Part of the store's history that one watch waits: its revision has to be in there at its end.
HISTORY_PART = 0.85

# A watch may be lost without a word while the store is in trouble, and then stays silent for its
# whole time. A cheap reading in these intervals shows what it has missed. A configuration has to be
# in force within 3 s of its acceptance, and a leaving member left out within 7 s; an instance that
# finds a newer configuration tells the others.
CHECK_CONFIGURATIONS_S = 2.0
CHECK_MEMBERS_S = 4.0

# The same for members where they are not watched: only owners of a group turn to its members.
CHECK_UNWATCHED_S = 8.0

# Pauses between readings of a kind that is not watched: short while a fleet starts, then long.
FIRST_READINGS_S = (0.5, 1.0, 1.5, 2.0)
READING_S = 5.0

# Pause after a call that failed, so that an outage isn't answered with a storm of calls.
RETRY_S = 0.4


class View:
    """A copy of one kind, which follows the store."""

    __slots__ = (
        "_changed",
        "_close",
        "_gather_s",
        "_items",
        "_kind",
        "_lost",
        "_read",
        "_revision",
        "_soon",
        "_watch",
        "_watch_s",
    )

    def __init__(
        self,
        kind: interfaces.Kind,
        changed: collections.abc.Callable[[], None],
        *,
        history_s: float = MAX_WATCH_S,
        gather_s: float = 0.0,
    ) -> None:
        """Creates an empty copy.

        Args:
          kind: The kind in the store.
          changed: Called after each change of the copy.
          history_s: How long the store keeps its history.
          gather_s: Pause after a change before the next watch begins, which then brings all changes
            of that time; each watch is paid for.
        """
        self._kind = kind
        self._changed = changed
        self._watch_s = min(MAX_WATCH_S, history_s * HISTORY_PART)
        self._gather_s = gather_s
        self._items: dict[str, object] = {}
        self._close = asyncio.Event()
        self._close.set()
        self._soon = asyncio.Event()
        self._watch: asyncio.Task[interfaces.Changes] | None = None
        self._revision: int | None = None
        self._lost = False
        self._read = False

    @property
    def items(self) -> collections.abc.Mapping[str, object]:
        """The objects by name."""
        return self._items

    @property
    def known(self) -> bool:
        """Whether the store has been read at least once."""
        return self._revision is not None

    @property
    def lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._lost

    async def reread(self) -> None:
        """Reads the kind again and again until cancelled, at a fraction of a watch's price.

        For kinds whose changes may be known seconds late.
        """
        pauses = itertools.chain(FIRST_READINGS_S, itertools.repeat(READING_S))
        while True:
            try:
                await self._list(may_be_old=self.known)
            except interfaces.StoreFailure as failure:
                self._note_lost(failure)
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
            else:
                await asyncio.sleep(next(pauses) * random.uniform(0.9, 1.1))

    @property
    def watched(self) -> bool:
        """Whether changes are watched for, and not only looked for at intervals."""
        return self._close.is_set()

    def watch_closely(self, wanted: bool) -> None:
        """Takes whether changes have to be known at once, which costs a call for each."""
        if wanted:
            self._close.set()
            return
        self._close.clear()
        if self._watch is not None:
            self._watch.cancel()

    async def follow(self) -> None:
        """Follows the store until cancelled."""
        while True:
            try:
                await self._step()
            except interfaces.HistoryGone:
                _LOG.info("history is gone, listing again", kind=self._kind.name)
                await self._list_again()
            except interfaces.StoreFailure as failure:
                self._note_lost(failure)
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def _step(self) -> None:
        if self._revision is None:
            await self._list()
            return
        await self._close.wait()
        changes = await self._changes(self._revision)
        if changes is None:
            return
        self._note_regained()
        if changes.revision < self._revision:
            # `check` has read a newer copy while these were on their way.
            return
        self._revision = changes.revision
        for name, item in changes.items.items():
            if item is None:
                self._items.pop(name, None)
            else:
                self._items[name] = item
        if changes.items:
            self._changed()
            await asyncio.sleep(self._gather_s)

    async def _changes(self, revision: int) -> interfaces.Changes | None:
        """Watches for changes; returns None if `check` has found them first."""
        self._watch = asyncio.ensure_future(self._kind.watch(revision, self._watch_s))
        try:
            await asyncio.wait({self._watch})
            return None if self._watch.cancelled() else self._watch.result()
        finally:
            self._watch.cancel()
            self._watch = None

    def check_soon(self) -> None:
        """Lets `check` read at once, because another instance knows of a newer object."""
        self._soon.set()

    async def check(self, watched_s: float, unwatched_s: float) -> None:
        """Looks until cancelled whether the watch has missed anything.

        Args:
          watched_s: Between two readings, which may be seconds old and cost a tenth of a call.
          unwatched_s: The same while no watch waits.
        """
        while True:
            told = False
            pause_s = watched_s if self.watched else unwatched_s
            try:
                async with asyncio.timeout(pause_s * random.uniform(0.8, 1.2)):
                    await self._soon.wait()
                told = True
            except TimeoutError:
                # The usual reading is due.
                pass
            self._soon.clear()
            if self._revision is None:
                continue
            try:
                missed = self._take_missed(await self._kind.list(may_be_old=True))
                if told and not missed:
                    # The cheap answer was too old to have what another instance knows of.
                    self._take_missed(await self._kind.list())
            except interfaces.StoreFailure as failure:
                # The watch notices an outage too, and logs it once.
                _LOG.debug("copy not checked", kind=self._kind.name, failure=str(failure))

    def _take_missed(self, snapshot: interfaces.Snapshot) -> bool:
        """Takes a newer copy; returns whether it was one."""
        assert self._revision is not None
        if snapshot.revision <= self._revision or snapshot.items == self._items:
            return False
        if self._watch is not None:
            _LOG.info(
                "watch has missed changes",
                kind=self._kind.name,
                revision=self._revision,
                found=snapshot.revision,
            )
            self._watch.cancel()
        self._revision = snapshot.revision
        self._items = dict(snapshot.items)
        self._changed()
        return True

    async def _list_again(self) -> None:
        try:
            await self._list()
        except interfaces.StoreFailure as failure:
            self._note_lost(failure)
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def _list(self, may_be_old: bool = False) -> None:
        snapshot = await self._kind.list(may_be_old)
        self._note_regained()
        if self._revision is not None and snapshot.revision < self._revision:
            # An older answer must not take back what is known.
            return
        self._revision = snapshot.revision
        if self._items != snapshot.items or not self._read:
            self._read = True
            self._items = dict(snapshot.items)
            self._changed()

    def _note_lost(self, failure: interfaces.StoreFailure) -> None:
        if not self._lost:
            self._lost = True
            _LOG.warning(
                "store lost",
                kind=self._kind.name,
                revision=self._revision,
                failure=type(failure).__name__,
                detail=str(failure),
            )

    def _note_regained(self) -> None:
        if self._lost:
            self._lost = False
            _LOG.info("store regained", kind=self._kind.name, revision=self._revision)
