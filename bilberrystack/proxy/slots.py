"""Waiting for the slots that core/admission.py grants."""

import asyncio
import collections.abc

from bilberrystack.core import admission
from bilberrystack.core import outcomes
from bilberrystack.proxy import counters
from bilberrystack.proxy import waits


class Slots:
    """The group's queue, in which requests wait for a slot of a member."""

    __slots__ = ("_counters", "_loop", "_queue", "_waiters")

    def __init__(self, slots: dict[str, int], counts: counters.GroupCounters) -> None:
        self._counters = counts
        self._queue = admission.AdmissionController(slots)
        self._loop = asyncio.get_running_loop()
        self._waiters: dict[admission.Ticket, asyncio.Future[None]] = {}

    @property
    def queue(self) -> admission.AdmissionController:
        """The state of the queue."""
        return self._queue

    async def acquire(
        self,
        lane: admission.RequestClass,
        caller: str,
        deadline: float,
        place: collections.abc.Callable[[], str | None],
        patience: float | None = None,
    ) -> admission.Ticket | outcomes.NotRun | None:
        """Waits for a slot.

        Args:
          lane: What the request waits for.
          caller: The caller's declared name.
          deadline: Instant on the runtime's clock after which the slot is of no use.
          place: Returns the member whose free slot the request can take now, or None.
          patience: Instant at which this wait ends, if that is before the deadline.
        Returns:
          The granted ticket; a refusal if the queue can't take the request; None if no slot was
          granted in time.
        """
        ticket = admission.Ticket(caller, lane, deadline, place)
        rejection = self._queue.offer(ticket, self._loop.time())
        if rejection is not None:
            return _refusal(rejection)
        if ticket.granted_member is not None:
            return ticket
        began_at = self._loop.time()
        waiter = self._waiters[ticket] = self._loop.create_future()
        end = deadline if patience is None else min(patience, deadline)
        granted = False
        try:
            granted = await waits.until(waiter, end)
        finally:
            if not granted:
                self._withdraw(ticket)
        if not granted:
            return None
        self._counters.queue_waits += 1
        self._counters.queue_wait_s += self._loop.time() - began_at
        return ticket

    def release(self, ticket: admission.Ticket, service_s: float | None = None) -> None:
        """Gives a slot back.

        Args:
          ticket: The ticket that holds the slot.
          service_s: Seconds that the statement took; None if it tells nothing about the service.
        """
        self._queue.release(ticket, service_s)
        self.pump()

    def pump(self) -> None:
        """Grants what can be granted. To be called when something changed that tickets wait for."""
        if self._queue.depth == 0:
            return
        while (ticket := self._queue.next_grant()) is not None:
            waiter = self._waiters.pop(ticket)
            if waiter.done():
                self._queue.release(ticket, None)
            else:
                waiter.set_result(None)

    def hold(self, lane: admission.RequestClass) -> None:
        """Holds the requests of a lane back in the queue."""
        self._queue.hold(lane)

    def resume(self) -> None:
        """Ends a hold."""
        self._queue.resume_all()
        self.pump()

    def _withdraw(self, ticket: admission.Ticket) -> None:
        self._waiters.pop(ticket, None)
        self._queue.withdraw(ticket)
        self.pump()


def _refusal(rejection: admission.QueueRejection) -> outcomes.NotRun:
    if rejection.queue_full:
        detail = "the group's queue is full"
        return outcomes.NotRun(outcomes.NotRunReason.QUEUE_FULL, detail, rejection.wait_s)
    detail = f"expected wait of {rejection.wait_s:.3f} s exceeds the deadline"
    return outcomes.NotRun(outcomes.NotRunReason.DEADLINE_BEFORE_SEND, detail, rejection.wait_s)
