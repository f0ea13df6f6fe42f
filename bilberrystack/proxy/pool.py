"""Data connections of one member: bounded, kept open and never shared by two statements."""

import asyncio
import collections
import collections.abc
import types

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import waits

# Longest attempt to open a connection, in seconds; opening takes about 12 ms at the users.
OPEN_TIMEOUT_S = 1.0

# Pauses after a refused connection, in seconds. The limit of a member is freed by other owners that
# give connections up within seconds of a view change.
FIRST_REFUSAL_PAUSE_S = 0.02
LAST_REFUSAL_PAUSE_S = 0.32

# How long a connection may wait for an outstanding answer before it is closed, in seconds.
DRAIN_LIMIT_S = 5.0


class Lease:
    """Exclusive use of one connection.

    As a context manager it returns the connection to the pool at the end, and closes it if the
    block raised or discard() was called.

    Attributes:
      connection: The connection.
      draining: Whether an outstanding answer is awaited in the background.
      generation: The pool's generation when the connection was opened or handed out.
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
        """Whether the connection was returned or closed."""
        return self._ended

    def give_back(self) -> None:
        """Returns an idle connection to the pool. Later calls have no effect."""
        if not self._ended:
            self._ended = True
            self._pool._returned(self)

    def discard(self) -> None:
        """Closes the connection. Later calls have no effect."""
        if not self._ended:
            self._ended = True
            self.connection.close()
            self._pool._discarded(self)

    def __enter__(self) -> "Lease":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if kind is None:
            self.give_back()
        else:
            self.discard()


class Pool:
    """The data connections of one member."""

    __slots__ = (
        "_closed",
        "_generation",
        "_idle",
        "_leased",
        "_loop",
        "_member",
        "_on_available",
        "_opener",
        "_share",
        "_waiters",
        "_warm",
    )

    def __init__(
        self,
        member: interfaces.Member,
        share: int,
        on_available: collections.abc.Callable[[], None],
    ) -> None:
        """Prepares a pool without connections.

        Args:
          member: The member.
          share: How many data connections the pool may hold.
          on_available: Called when a connection may have become available.
        """
        self._member = member
        self._on_available = on_available
        self._share = share
        self._loop = asyncio.get_running_loop()
        self._idle: list[Lease] = []
        self._leased: set[Lease] = set()
        self._waiters: collections.deque[asyncio.Future[Lease]] = collections.deque()
        self._opener: asyncio.Task[None] | None = None
        self._generation = 0
        self._warm = 0
        self._closed = False

    @property
    def idle(self) -> int:
        """The number of connections that carry nothing."""
        return len(self._idle)

    @property
    def leased(self) -> int:
        """The number of connections in use, those with an outstanding answer included."""
        return len(self._leased)

    @property
    def size(self) -> int:
        """The number of open connections."""
        return len(self._idle) + len(self._leased)

    @property
    def share(self) -> int:
        """The number of data connections that the pool may hold."""
        return self._share

    @property
    def available(self) -> bool:
        """Whether one more statement can have a connection, perhaps after it was opened."""
        return self._share - len(self._leased) > len(self._waiters)

    def set_share(self, share: int) -> None:
        """Changes the bound; connections above it are closed once they are idle."""
        self._share = share
        while self._idle and self.size > share:
            self._idle.pop().connection.close()
        self._open_more()

    def keep_warm(self, count: int) -> None:
        """Opens connections ahead of their use, up to a count and the share."""
        self._warm = count
        self._open_more()

    def take(self) -> Lease | None:
        """Returns an idle connection; None if there is none or others wait for one."""
        if not self._idle or self._waiters:
            return None
        lease = self._idle.pop()
        self._leased.add(lease)
        return lease

    async def lease(self, deadline: float) -> Lease | None:
        """Waits for a connection.

        Args:
          deadline: Instant on the runtime's clock at which the wait ends.
        Returns:
          The lease, None at the deadline.
        Raises:
          interfaces.LinkLost: The member can't be reached.
        """
        lease = self.take()
        if lease is not None:
            return lease
        waiter: asyncio.Future[Lease] = self._loop.create_future()
        self._waiters.append(waiter)
        self._open_more()
        try:
            if await waits.until(waiter, deadline):
                return waiter.result()
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        self._abandon(waiter)
        return None

    def forget(self) -> None:
        """Closes idle connections now and the others when they are returned."""
        self._generation += 1
        for lease in self._idle:
            lease.connection.close()
        self._idle.clear()
        self._open_more()

    def close(self) -> None:
        """Closes every connection, those in use too."""
        self._closed = True
        if self._opener is not None:
            self._opener.cancel()
        self.forget()
        for lease in tuple(self._leased):
            lease.discard()
        self._fail_waiters(interfaces.LinkLost("the pool is closed", sent=False))

    def _returned(self, lease: Lease) -> None:
        self._leased.discard(lease)
        stale = lease.generation != self._generation
        if self._closed or stale or self.size >= self._share:
            lease.connection.close()
            self._open_more()
        else:
            self._hand_out(lease.connection)
        self._on_available()

    def _discarded(self, lease: Lease) -> None:
        self._leased.discard(lease)
        self._open_more()
        self._on_available()

    def _hand_out(self, connection: interfaces.MemberConnection) -> None:
        lease = Lease(self, connection, self._generation)
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._leased.add(lease)
                waiter.set_result(lease)
                return
        self._idle.append(lease)

    def _abandon(self, waiter: asyncio.Future[Lease]) -> None:
        """Takes care of a connection that was handed to a waiter that has gone."""
        if not waiter.done():
            waiter.cancel()
            self._waiters.remove(waiter)
        elif not waiter.cancelled() and waiter.exception() is None:
            waiter.result().give_back()

    def _open_more(self) -> None:
        if self._opener is None and self._is_short():
            self._opener = self._loop.create_task(self._open())

    def _is_short(self) -> bool:
        if self._closed or self.size >= self._share:
            return False
        return bool(self._waiters) or self.size < self._warm

    async def _open(self) -> None:
        """Opens connections one after the other while they are wanted."""
        pause_s = FIRST_REFUSAL_PAUSE_S
        try:
            while self._is_short():
                generation = self._generation
                try:
                    async with asyncio.timeout(OPEN_TIMEOUT_S):
                        connection = await self._member.connect()
                except interfaces.ConnectionRefused:
                    if not self._waiters:
                        return
                    await asyncio.sleep(pause_s)
                    pause_s = min(2 * pause_s, LAST_REFUSAL_PAUSE_S)
                    continue
                except (interfaces.LinkLost, TimeoutError) as failure:
                    # Waiters decide whether to try another member; warming waits for the next use.
                    self._fail_waiters(interfaces.LinkLost(str(failure) or "timeout", sent=False))
                    return
                pause_s = FIRST_REFUSAL_PAUSE_S
                if self._closed or generation != self._generation:
                    connection.close()
                    continue
                self._hand_out(connection)
        finally:
            self._opener = None

    def _fail_waiters(self, failure: interfaces.LinkLost) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(failure)
