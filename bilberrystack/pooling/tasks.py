"""Background tasks of one owner, whose failures are logged and which end with it."""

import asyncio
import collections.abc
from typing import Any
from typing import TypeVar

import loguru

_LOG = loguru.logger.bind(component="tasks")

Result = TypeVar("Result")

Work = collections.abc.Callable[[], collections.abc.Coroutine[Any, Any, None]]

# Pause before work that failed unexpectedly starts again, so that a lasting fault does not fill the
# processor and the log.
RESTART_PAUSE_S = 0.5


class Tasks:
    """Keeps tasks alive until they end, and cancels them at its own end."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def start(self, work: collections.abc.Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._ended)
        return task

    def keep(self, work: Work) -> None:
        """Starts work that lasts as long as its owner, and again whenever it fails.

        An instance whose heartbeats, lease or watch had ended would stay up and look ready.
        """
        self.start(self._keep(work))

    async def _keep(self, work: Work) -> None:
        while True:
            task = asyncio.ensure_future(work())
            try:
                await asyncio.wait({task})
            finally:
                task.cancel()
            error = None if task.cancelled() else task.exception()
            _LOG.opt(exception=error).error(
                "lasting work ended, starts again", work=work.__qualname__, pause_s=RESTART_PAUSE_S
            )
            await asyncio.sleep(RESTART_PAUSE_S)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, ConnectionError | OSError):
            _LOG.opt(exception=error).error("task failed", task=task.get_name())

    async def close(self) -> None:
        """Cancels all tasks and waits for their ends."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
