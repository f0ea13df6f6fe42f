"""A bounded pool of data connections to one member. Each carries one statement at a time."""

import asyncio
import collections
import collections.abc
import types

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import waits

# Timeout for opening a connection, in seconds. In the users' environment opening takes about 12 ms.
OPEN_TIMEOUT_S = 1.0

# First and longest pause after a connection was refused at the member's limit, in seconds. When the
# owners of a group change, the former owners close their connections within seconds.
MIN_REFUSAL_PAUSE_S = 0.02
MAX_REFUSAL_PAUSE_S = 0.32

# How long an outstanding answer is awaited before its connection is closed, in seconds.
DRAIN_TIMEOUT_S = 5.0


class Lease:
    """Exclusive use of one connection.

    As a context manager, returns the connection to the pool at the end of the block. Closes the
    connection instead if the block raises or has called discard().

    Attributes:
      connection: The connection.
      draining: Whether an outstanding answer is awaited in the background.
      generation: The pool's generation when the connection was opened or last returned.
    """

    __slots__ = ("_ended", "_pool", "connection", "draining", "generation")

    def __init__(
        self, pool: "Pool", connection: interfaces.MemberConnection, generation: int
    ) -> None:
        self._pool = pool
        self._ended = False
        self.connection = connection
        self.draining = False
        self.generation = generation

    @property
    def ended(self) -> bool:
        """Whether the connection was returned to the pool or closed."""
        return self._ended

    def return_to_pool(self) -> None:
        """Returns the connection, which must be idle, to the pool. Later calls have no effect."""
        if not self._ended:
            self._ended = True
            self._pool._on_returned(self)

    def discard(self) -> None:
        """Closes the connection. Later calls have no effect."""
        if not self._ended:
            self._ended = True
            self.connection.close()
            self._pool._on_discarded(self)

    def __enter__(self) -> "Lease":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if kind is None:
            self.return_to_pool()
        else:
            self.discard()


class Pool:
    """A pool of data connections to one member."""

    __slots__ = (
        "_active_leases",
        "_closed",
        "_generation",
        "_idle_leases",
        "_loop",
        "_max_size",
        "_member",
        "_on_available",
        "_opening_task",
        "_waiters",
        "_warm_count",
    )

    def __init__(
        self,
        member: interfaces.Member,
        max_size: int,
        on_available: collections.abc.Callable[[], None],
    ) -> None:
        """Initializes a pool without connections.

        Args:
          member: The member.
          max_size: The maximum number of connections.
          on_available: Called when a connection may have become available.
        """
        self._member = member
        self._on_available = on_available
        self._max_size = max_size
        self._loop = asyncio.get_running_loop()
        self._idle_leases: list[Lease] = []
        self._active_leases: set[Lease] = set()
        self._waiters: collections.deque[asyncio.Future[Lease]] = collections.deque()
        self._opening_task: asyncio.Task[None] | None = None
        self._generation = 0
        self._warm_count = 0
        self._closed = False

    @property
    def idle(self) -> int:
        """The number of idle connections."""
        return len(self._idle_leases)

    @property
    def leased(self) -> int:
        """The number of connections in use, including those with an outstanding answer."""
        return len(self._active_leases)

    @property
    def size(self) -> int:
        """The number of open connections."""
        return len(self._idle_leases) + len(self._active_leases)

    @property
    def max_size(self) -> int:
        """The maximum number of connections."""
        return self._max_size

    @property
    def available(self) -> bool:
        """Whether a connection for one more statement is idle or can be opened."""
        return self._max_size - len(self._active_leases) > len(self._waiters)

    def set_max_size(self, max_size: int) -> None:
        """Changes the maximum size. Connections in excess of it are closed once they are idle."""
        self._max_size = max_size
        while self._idle_leases and self.size > max_size:
            self._idle_leases.pop().connection.close()
        self._open_if_needed()

    def keep_warm(self, count: int) -> None:
        """Opens connections in advance.

        Args:
          count: The number of connections to keep open, limited by the maximum size.
        """
        self._warm_count = count
        self._open_if_needed()

    def take_idle(self) -> Lease | None:
        """Leases an idle connection; None if there is none or other statements wait for one."""
        if not self._idle_leases or self._waiters:
            return None
        lease = self._idle_leases.pop()
        self._active_leases.add(lease)
        return lease

    async def lease(self, deadline: float) -> Lease | None:
        """Waits for a connection.

        Args:
          deadline: Instant on the event loop's clock at which the wait ends.
        Returns:
          The lease; None at the deadline.
        Raises:
          interfaces.LinkLost: The member can't be reached.
        """
        lease = self.take_idle()
        if lease is not None:
            return lease
        waiter: asyncio.Future[Lease] = self._loop.create_future()
        self._waiters.append(waiter)
        self._open_if_needed()
        try:
            if await waits.until_done(waiter, deadline):
                return waiter.result()
        except asyncio.CancelledError:
            self._abandon_wait(waiter)
            raise
        self._abandon_wait(waiter)
        return None

    def retire_connections(self) -> None:
        """Closes idle connections now, and the connections in use when they are returned."""
        self._generation += 1
        for lease in self._idle_leases:
            lease.connection.close()
        self._idle_leases.clear()
        self._open_if_needed()

    def close(self) -> None:
        """Closes all connections, including those in use."""
        self._closed = True
        if self._opening_task is not None:
            self._opening_task.cancel()
        self.retire_connections()
        for lease in tuple(self._active_leases):
            lease.discard()
        self._fail_waiters(interfaces.LinkLost("the pool is closed", sent=False))

    def _on_returned(self, lease: Lease) -> None:
        self._active_leases.discard(lease)
        stale = lease.generation != self._generation
        if self._closed or stale or self.size >= self._max_size:
            lease.connection.close()
            self._open_if_needed()
        else:
            self._assign(lease.connection)
        self._on_available()

    def _on_discarded(self, lease: Lease) -> None:
        self._active_leases.discard(lease)
        self._open_if_needed()
        self._on_available()

    def _assign(self, connection: interfaces.MemberConnection) -> None:
        lease = Lease(self, connection, self._generation)
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._active_leases.add(lease)
                waiter.set_result(lease)
                return
        self._idle_leases.append(lease)

    def _abandon_wait(self, waiter: asyncio.Future[Lease]) -> None:
        """Ends a wait; returns a connection that was assigned to it to the pool."""
        if not waiter.done():
            waiter.cancel()
            self._waiters.remove(waiter)
        elif not waiter.cancelled() and waiter.exception() is None:
            waiter.result().return_to_pool()

    def _open_if_needed(self) -> None:
        if self._opening_task is None and self._needs_connection():
            self._opening_task = self._loop.create_task(self._open())

    def _needs_connection(self) -> bool:
        if self._closed or self.size >= self._max_size:
            return False
        return bool(self._waiters) or self.size < self._warm_count

    async def _open(self) -> None:
        """Opens connections one after the other while the pool needs more."""
        pause_s = MIN_REFUSAL_PAUSE_S
        try:
            while self._needs_connection():
                generation = self._generation
                try:
                    async with asyncio.timeout(OPEN_TIMEOUT_S):
                        connection = await self._member.connect()
                except interfaces.ConnectionRefused:
                    if not self._waiters:
                        return
                    await asyncio.sleep(pause_s)
                    pause_s = min(2 * pause_s, MAX_REFUSAL_PAUSE_S)
                    continue
                except (interfaces.LinkLost, TimeoutError) as failure:
                    # The waiting statements decide whether to try another member. Opening in
                    # advance is retried at the next use of the pool.
                    self._fail_waiters(interfaces.LinkLost(str(failure) or "timeout", sent=False))
                    return
                pause_s = MIN_REFUSAL_PAUSE_S
                if self._closed or generation != self._generation:
                    connection.close()
                    continue
                self._assign(connection)
        finally:
            self._opening_task = None

    def _fail_waiters(self, failure: interfaces.LinkLost) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(failure)
