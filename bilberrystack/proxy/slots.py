"""Asynchronous waits for the slots that core/admission.py grants."""

import asyncio
import collections.abc

from bilberrystack.core import admission
from bilberrystack.core import outcomes
from bilberrystack.proxy import counters
from bilberrystack.proxy import waits


class Slots:
    """The queue of one group, in which requests wait for a slot of a member."""

    __slots__ = ("_counters", "_grants", "_loop", "_queue")

    def __init__(self, slots: dict[str, int], group_counters: counters.GroupCounters) -> None:
        self._counters = group_counters
        self._queue = admission.AdmissionController(slots)
        self._loop = asyncio.get_running_loop()
        self._grants: dict[admission.Ticket, asyncio.Future[None]] = {}

    @property
    def queue(self) -> admission.AdmissionController:
        """The admission controller that queues the requests."""
        return self._queue

    async def acquire(
        self,
        request_class: admission.RequestClass,
        caller: str,
        deadline: float,
        choose_member: collections.abc.Callable[[], str | None],
        wait_deadline: float | None = None,
    ) -> admission.Ticket | outcomes.NotRun | None:
        """Waits for a slot.

        Args:
          request_class: The request's class, which determines its queue.
          caller: The caller's declared name.
          deadline: Instant on the event loop's clock at which the request times out.
          choose_member: Returns the member whose free slot the request can take now, or None.
          wait_deadline: Instant at which this wait ends, if earlier than the deadline.
        Returns:
          The granted ticket; a refusal if the queue does not accept the request; None if no slot
          was granted in time.
        """
        ticket = admission.Ticket(caller, request_class, deadline, choose_member)
        rejection = self._queue.offer(ticket, self._loop.time())
        if rejection is not None:
            return _refusal(rejection)
        if ticket.granted_member is not None:
            return ticket
        wait_started_at = self._loop.time()
        grant = self._grants[ticket] = self._loop.create_future()
        wait_end = deadline if wait_deadline is None else min(wait_deadline, deadline)
        granted = False
        try:
            granted = await waits.until_done(grant, wait_end)
        finally:
            if not granted:
                self._withdraw(ticket)
        if not granted:
            return None
        self._counters.queue_waits += 1
        self._counters.queue_wait_s += self._loop.time() - wait_started_at
        return ticket

    def release(self, ticket: admission.Ticket, service_time_s: float | None = None) -> None:
        """Releases a slot.

        Args:
          ticket: The ticket that holds the slot.
          service_time_s: The service time of the statement, in seconds; None if the statement
            should not count in the service time estimate.
        """
        self._queue.release(ticket, service_time_s)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grants slots to waiting requests.

        Must be called whenever a slot, a connection or a member may have become available.
        """
        if self._queue.depth == 0:
            return
        while (ticket := self._queue.next_grant()) is not None:
            grant = self._grants.pop(ticket)
            if grant.done():
                self._queue.release(ticket, None)
            else:
                grant.set_result(None)

    def hold(self, request_class: admission.RequestClass) -> None:
        """Keeps the requests of a class in the queue until resume() is called."""
        self._queue.hold(request_class)

    def resume(self) -> None:
        """Ends the hold on all request classes."""
        self._queue.resume_all()
        self.grant_waiting()

    def _withdraw(self, ticket: admission.Ticket) -> None:
        self._grants.pop(ticket, None)
        self._queue.withdraw(ticket)
        self.grant_waiting()


def _refusal(rejection: admission.QueueRejection) -> outcomes.NotRun:
    if rejection.queue_full:
        detail = "the group's queue is full"
        return outcomes.NotRun(outcomes.NotRunReason.QUEUE_FULL, detail, rejection.wait_s)
    detail = f"expected wait of {rejection.wait_s:.3f} s exceeds the deadline"
    return outcomes.NotRun(outcomes.NotRunReason.DEADLINE_BEFORE_SEND, detail, rejection.wait_s)
