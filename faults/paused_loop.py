"""Event loop on a paused clock that can pause and kill simulated processes individually.

The clock stands still while callbacks are ready, and then jumps to the next timer. A callback
belongs to the simulated process (instance, member or client) in whose context it was scheduled.
Callbacks of a paused process, including timers, are held until the process resumes and then run
immediately, as after SIGSTOP and SIGCONT. looptime also pauses the clock, but can't pause a single
process.
"""

import asyncio
import collections.abc
import contextvars
import logging
import selectors
from typing import Any

import loguru

CURRENT_PROCESS: contextvars.ContextVar[str | None] = contextvars.ContextVar("party", default=None)


# Number of loop iterations without progress of the clock that counts as a busy loop.
MAX_ITERATIONS_PER_INSTANT = 20_000


class StalledLoopError(Exception):
    """The run can't continue: no callback or timer is left, or a busy loop blocks the clock."""


class _PausedSelector(selectors.SelectSelector):
    """Selector that advances the clock instead of waiting."""

    loop: "PausedLoop"
    iterations = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise StalledLoopError("nothing is ready and no timer is set")
        self.iterations = 0 if timeout > 0 else self.iterations + 1
        if self.iterations > MAX_ITERATIONS_PER_INSTANT:
            raise StalledLoopError("a busy loop blocks the clock")
        self.loop.now += timeout
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop of a run.

    The time starts at 1000 s, so that a time before the start of the run, such as the oldest one
    that the maximum age of a read allows, is not negative.
    """

    def __init__(self) -> None:
        selector = _PausedSelector()
        selector.loop = self
        self.now = 1000.0
        self._held_callbacks: dict[str, list[tuple[Any, ...]]] = {}
        self._killed_processes: set[str] = set()
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        if self._held_callbacks or self._killed_processes:
            callback, args, context = self._wrap_callback(callback, args, context)
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        context = context or contextvars.copy_context()
        handle_cell: list[asyncio.TimerHandle] = []
        handle = super().call_at(
            when, self._run_or_hold, callback, args, context, handle_cell, context=context
        )
        handle_cell.append(handle)
        return handle

    def pause(self, process: str) -> None:
        """Hold all callbacks of a process until it resumes."""
        self._held_callbacks.setdefault(process, [])

    def resume(self, process: str) -> None:
        """Run the held callbacks of a process in order."""
        for callback, args, context, handle_cell in self._held_callbacks.pop(process, []):
            self.call_soon(self._run_held, callback, args, handle_cell, context=context)

    def kill(self, process: str) -> None:
        """Kill a process without running its clean-up code."""
        self._held_callbacks.pop(process, None)
        self._killed_processes.add(process)

    def is_paused(self, process: str) -> bool:
        return process in self._held_callbacks

    def is_killed(self, process: str) -> bool:
        return process in self._killed_processes

    def _run_held(
        self, callback: Any, args: tuple[Any, ...], handle_cell: list[asyncio.TimerHandle]
    ) -> None:
        """Run a held callback, unless it is a timer that was cancelled during the pause."""
        if not (handle_cell and handle_cell[0].cancelled()):
            callback(*args)

    def _run_or_hold(
        self,
        callback: Any,
        args: tuple[Any, ...],
        context: contextvars.Context,
        handle_cell: list[asyncio.TimerHandle],
    ) -> None:
        process = context.get(CURRENT_PROCESS)
        if process in self._killed_processes:
            return
        if process in self._held_callbacks:
            self._held_callbacks[process].append((callback, args, context, handle_cell))
            return
        callback(*args)

    def _wrap_callback(
        self, callback: Any, args: tuple[Any, ...], context: Any
    ) -> tuple[Any, tuple[Any, ...], contextvars.Context]:
        context = context or contextvars.copy_context()
        process = context.get(CURRENT_PROCESS)
        if process in self._held_callbacks or process in self._killed_processes:
            return self._run_or_hold, (callback, args, context, []), context
        return callback, args, context


def process_context(process: str) -> contextvars.Context:
    """Return a context whose callbacks and tasks belong to a simulated process."""
    context = contextvars.copy_context()
    context.run(CURRENT_PROCESS.set, process)
    return context


def run(main: collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine function on a new paused loop and return its result.

    Remaining tasks are dropped with the loop, as those of killed and paused processes can't end.
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
