"""Background tasks that end with the object that owns them, and whose failures are logged."""

import asyncio
import collections.abc
from typing import Any
from typing import TypeVar

import loguru

_LOG = loguru.logger.bind(component="tasks")

Result = TypeVar("Result")

# Creates the coroutine of a long-running task, once for each start of the task.
CoroutineFactory = collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, None]]

# Pause before a supervised task that ended unexpectedly is restarted, so that a permanent fault
# neither uses up the processor nor floods the log.
RESTART_DELAY_S = 0.5


class Tasks:
    """Holds references to running tasks, and cancels them when it is closed."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: collections.abc.Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task.

        Args:
          coroutine: What the task runs. A failure is logged, but for connection errors.
        Returns:
          The task.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def supervise(self, factory: CoroutineFactory) -> None:
        """Start a task that runs until `close`, and restart it whenever it ends.

        Without the restart an instance whose heartbeats, lease or watches have ended would stay up
        and look ready.

        Args:
          factory: Creates the coroutine for each start.
        """
        self.start(self._supervise(factory))

    async def _supervise(self, factory: CoroutineFactory) -> None:
        while True:
            task = asyncio.ensure_future(factory())
            try:
                await asyncio.wait({task})
            finally:
                task.cancel()
            error = None if task.cancelled() else task.exception()
            _LOG.opt(exception=error).error(
                "supervised task ended unexpectedly; restarting",
                work=factory.__qualname__,
                pause_s=RESTART_DELAY_S,
            )
            await asyncio.sleep(RESTART_DELAY_S)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, ConnectionError | OSError):
            _LOG.opt(exception=error).error("background task failed", task=task.get_name())

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
