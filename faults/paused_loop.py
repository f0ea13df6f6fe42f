"""An event loop on a paused clock whose parties can be paused and killed one by one.

The clock stands still while anything is ready and then jumps to the next timer. Every callback
belongs to the party (instance, member or client) in whose context it was scheduled. The callbacks
of a paused party, timers included, are kept until it resumes and then run at once, as those of a
stopped process do. looptime pauses the clock as well, but not a single party.
"""

import asyncio
import collections.abc
import contextvars
import logging
import selectors
from typing import Any

import loguru

PARTY: contextvars.ContextVar[str | None] = contextvars.ContextVar("party", default=None)


# Turns of the loop at one instant after which the run counts as a busy loop.
MAX_TURNS_AT_ONE_INSTANT = 20_000


class Stalled(Exception):
    """The run can't go on: nothing is ready and no timer is set, or the clock never advances."""


class _PausedSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    loop: "PausedLoop"
    turns = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Stalled("nothing is ready and no timer is set")
        self.turns = 0 if timeout > 0 else self.turns + 1
        if self.turns > MAX_TURNS_AT_ONE_INSTANT:
            raise Stalled("a busy loop holds the clock")
        self.loop.now += timeout
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """The loop of one run; its time starts at 1000 s so that ages before the start exist."""

    def __init__(self) -> None:
        selector = _PausedSelector()
        selector.loop = self
        self.now = 1000.0
        self._held: dict[str, list[tuple[Any, ...]]] = {}
        self._dead: set[str] = set()
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        if self._held or self._dead:
            callback, args, context = self._guarded(callback, args, context)
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        context = context or contextvars.copy_context()
        own_handle: list[asyncio.TimerHandle] = []
        handle = super().call_at(
            when, self._fire, callback, args, context, own_handle, context=context
        )
        own_handle.append(handle)
        return handle

    def pause(self, party: str) -> None:
        """Stops everything that a party does."""
        self._held.setdefault(party, [])

    def resume(self, party: str) -> None:
        """Lets a party run all that was held, in order."""
        for callback, args, context, own_handle in self._held.pop(party, []):
            self.call_soon(self._replay, callback, args, own_handle, context=context)

    def kill(self, party: str) -> None:
        """Ends a party without running any of its clean-up."""
        self._held.pop(party, None)
        self._dead.add(party)

    def is_paused(self, party: str) -> bool:
        return party in self._held

    def is_dead(self, party: str) -> bool:
        return party in self._dead

    def _replay(
        self, callback: Any, args: tuple[Any, ...], own_handle: list[asyncio.TimerHandle]
    ) -> None:
        """Runs a held callback, unless it was a timer that has been cancelled meanwhile."""
        if not (own_handle and own_handle[0].cancelled()):
            callback(*args)

    def _fire(
        self,
        callback: Any,
        args: tuple[Any, ...],
        context: contextvars.Context,
        own_handle: list[asyncio.TimerHandle],
    ) -> None:
        party = context.get(PARTY)
        if party in self._dead:
            return
        if party in self._held:
            self._held[party].append((callback, args, context, own_handle))
            return
        callback(*args)

    def _guarded(
        self, callback: Any, args: tuple[Any, ...], context: Any
    ) -> tuple[Any, tuple[Any, ...], contextvars.Context]:
        context = context or contextvars.copy_context()
        party = context.get(PARTY)
        if party in self._held or party in self._dead:
            return self._fire, (callback, args, context, []), context
        return callback, args, context


def as_party(party: str) -> contextvars.Context:
    """Returns a context in which whatever is scheduled belongs to a party."""
    context = contextvars.copy_context()
    context.run(PARTY.set, party)
    return context


def run(main: collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, Any]]) -> Any:
    """Runs a coroutine function on a new paused loop and returns its result.

    Tasks that are left are dropped with the loop: those of killed and paused parties can't end.
    """
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    loguru.logger.disable("bilberrystack")
    loop = PausedLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            task.cancel()
        loop.close()
        asyncio.set_event_loop(None)
