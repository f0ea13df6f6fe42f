"""Admission control: the request queue of one database group and the slots of its members."""

import collections
import collections.abc
import dataclasses
import enum
import itertools

# Maximum number of queued requests. At 1,000 statements per second this is several seconds of work,
# which exceeds the deadlines that callers use.
MAX_QUEUE_DEPTH = 4096

# Number of callers whose first ticket is examined in one search for a grantable ticket.
MAX_SCANNED_CALLERS = 16

# Weight of the newest service time in the exponential moving average.
SERVICE_TIME_WEIGHT = 0.05

# Minimum time between the expected end of the wait and the deadline, as a number of service times.
# Without it, a full queue grants slots to statements that are answered just after their deadline:
# at twice the capacity, 5% instead of 51% of the statements were answered in time
# (faults/queueing.py).
DEADLINE_HEADROOM_SERVICE_TIMES = 4

# Service time assumed before the first measurement, in seconds.
INITIAL_SERVICE_TIME_S = 0.002


class RequestClass(enum.IntEnum):
    """Class of a request; each class has a queue of its own.

    TRANSACTION contains the statements of open transactions and the resolution of requests. It has
    priority, because its requests finish work that was already started. The other classes are
    served round robin. READ tickets can only be granted a replica's slot, PRIMARY_READ tickets the
    slot of any member.
    """

    TRANSACTION = 0
    WRITE = 1
    BEGIN = 2
    READ = 3
    PRIMARY_READ = 4


_NEW_WORK_CLASSES = (RequestClass.WRITE, RequestClass.BEGIN)
_READ_CLASSES = (RequestClass.READ, RequestClass.PRIMARY_READ)

# Result of Ticket.choose_member if no ticket of the same class can be granted a slot now.
NO_FREE_SLOT = ""


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request that needs a slot.

    Attributes:
      caller: The caller's declared name; the queue is fair between callers.
      request_class: Class of the request.
      deadline: Time on the event loop's clock after which a slot is of no use.
      choose_member: Returns the name of a member with a free slot that the request can use now;
        None if there is none for this request; NO_FREE_SLOT if there is none for the whole class.
      granted_member: Name of the member whose slot the ticket holds; None without a slot.
    """

    caller: str
    request_class: RequestClass
    deadline: float
    choose_member: collections.abc.Callable[[], str | None]
    granted_member: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRejection:
    """Refusal of a ticket without queueing it.

    Attributes:
      queue_full: Whether the queue is full; if not, the expected wait is too long for the deadline.
      wait_s: Expected wait in seconds, which serves as the retry hint.
    """

    queue_full: bool
    wait_s: float


class _FairQueue:
    """Queue of the tickets of one request class, served round robin between callers."""

    __slots__ = ("_tickets_by_caller", "depth")

    def __init__(self) -> None:
        self._tickets_by_caller: collections.OrderedDict[str, collections.deque[Ticket]] = (
            collections.OrderedDict()
        )
        self.depth = 0

    def append(self, ticket: Ticket) -> None:
        caller_queue = self._tickets_by_caller.get(ticket.caller)
        if caller_queue is None:
            caller_queue = self._tickets_by_caller[ticket.caller] = collections.deque()
        caller_queue.append(ticket)
        self.depth += 1

    def remove(self, ticket: Ticket) -> bool:
        caller_queue = self._tickets_by_caller.get(ticket.caller)
        if caller_queue is None or ticket not in caller_queue:
            return False
        caller_queue.remove(ticket)
        self.depth -= 1
        if not caller_queue:
            del self._tickets_by_caller[ticket.caller]
        return True

    def pop_placeable(self, max_callers: int) -> tuple[Ticket, str] | None:
        """Removes and returns the first ticket that can be granted a slot, with the member's name.

        Only the first ticket of each caller is examined. The caller of the returned ticket moves to
        the end of the round-robin order.

        Args:
          max_callers: Number of callers to examine.
        Returns:
          The ticket and the member; None if no examined ticket can be granted.
        """
        for caller, caller_queue in itertools.islice(self._tickets_by_caller.items(), max_callers):
            ticket = caller_queue[0]
            member = ticket.choose_member()
            if member is None:
                continue
            if member == NO_FREE_SLOT:
                return None
            caller_queue.popleft()
            self.depth -= 1
            if caller_queue:
                self._tickets_by_caller.move_to_end(caller)
            else:
                del self._tickets_by_caller[caller]
            return ticket, member
        return None


class AdmissionController:
    """Grants the slots of a group's members to the queued requests."""

    __slots__ = ("_class_order", "_held_classes", "_in_use", "_queues", "_service_time_s", "_slots")

    def __init__(self, slots: dict[str, int]) -> None:
        self._slots = dict(slots)
        self._in_use = dict.fromkeys(slots, 0)
        self._queues = {request_class: _FairQueue() for request_class in RequestClass}
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._held_classes: set[RequestClass] = set()
        self._class_order = [
            RequestClass.WRITE,
            RequestClass.BEGIN,
            RequestClass.READ,
            RequestClass.PRIMARY_READ,
        ]

    @property
    def depth(self) -> int:
        """The number of queued tickets."""
        return sum(queue.depth for queue in self._queues.values())

    @property
    def in_flight(self) -> int:
        """The number of slots in use."""
        return sum(self._in_use.values())

    def class_depth(self, request_class: RequestClass) -> int:
        """Returns the number of queued tickets of a request class."""
        return self._queues[request_class].depth

    def set_slots(self, slots: dict[str, int]) -> None:
        """Changes the members' slot counts; slots in use remain in use.

        Args:
          slots: New number of slots by member name.
        """
        self._slots.update(slots)

    def free_slots(self, member: str) -> int:
        """Returns the number of a member's free slots."""
        return self._slots[member] - self._in_use[member]

    def utilization(self, member: str) -> float:
        """Returns the share of a member's slots that is in use."""
        return self._in_use[member] / self._slots[member]

    def offer(self, ticket: Ticket, now: float) -> QueueRejection | None:
        """Grants the ticket a slot immediately, queues it, or rejects it.

        Args:
          ticket: The ticket; granted_member is set if it gets a slot immediately.
          now: Seconds of the event loop's clock.
        Returns:
          The rejection; None if the ticket was granted a slot or queued.
        """
        if self._may_bypass_queue(ticket.request_class):
            member = ticket.choose_member()
            if member:
                self._assign_slot(ticket, member)
                return None
        wait_s = self.expected_wait_s(ticket.request_class)
        if self.depth >= MAX_QUEUE_DEPTH:
            return QueueRejection(True, wait_s)
        if wait_s + DEADLINE_HEADROOM_SERVICE_TIMES * self._service_time_s > ticket.deadline - now:
            return QueueRejection(False, wait_s)
        self._queues[ticket.request_class].append(ticket)
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a ticket from the queue, or releases its slot if one was granted."""
        if self._queues[ticket.request_class].remove(ticket):
            return
        if ticket.granted_member is not None:
            self.release(ticket, None)

    def release(self, ticket: Ticket, service_time_s: float | None) -> None:
        """Releases a granted slot.

        Args:
          ticket: The ticket that holds the slot.
          service_time_s: Duration of the statement in seconds; None if the moving average must not
            include it.
        """
        assert ticket.granted_member is not None
        self._in_use[ticket.granted_member] -= 1
        ticket.granted_member = None
        if service_time_s is not None:
            self._service_time_s += SERVICE_TIME_WEIGHT * (service_time_s - self._service_time_s)

    def next_grant(self) -> Ticket | None:
        """Grants a slot to one queued ticket.

        Returns:
          The ticket; None if no queued ticket can be granted a slot now.
        """
        for request_class in (RequestClass.TRANSACTION, *self._class_order):
            queue = self._queues[request_class]
            if queue.depth == 0 or request_class in self._held_classes:
                continue
            # All new work needs the primary, so the result for one caller holds for all of them.
            placement = queue.pop_placeable(
                1 if request_class in _NEW_WORK_CLASSES else MAX_SCANNED_CALLERS
            )
            if placement is None:
                continue
            ticket, member = placement
            self._assign_slot(ticket, member)
            if request_class is not RequestClass.TRANSACTION:
                self._class_order.remove(request_class)
                self._class_order.append(request_class)
            return ticket
        return None

    def hold(self, request_class: RequestClass) -> None:
        """Suspends the granting of slots to a request class; its tickets stay queued."""
        self._held_classes.add(request_class)

    def resume_all(self) -> None:
        """Resumes the granting of slots to all request classes."""
        self._held_classes.clear()

    def expected_wait_s(self, request_class: RequestClass) -> float:
        """Returns the expected wait of a new ticket, in seconds.

        The expected wait is the queue depth per slot, multiplied by the average service time.
        """
        if request_class in _READ_CLASSES:
            depth = sum(self._queues[read_class].depth for read_class in _READ_CLASSES)
            slots = sum(self._slots.values())
        else:
            depth = self._queues[RequestClass.TRANSACTION].depth
            if request_class in _NEW_WORK_CLASSES:
                depth += sum(self._queues[work_class].depth for work_class in _NEW_WORK_CLASSES)
            slots = min(self._slots.values())
        return depth / slots * self._service_time_s

    def _may_bypass_queue(self, request_class: RequestClass) -> bool:
        if request_class is RequestClass.TRANSACTION:
            return self._queues[request_class].depth == 0
        if request_class in self._held_classes:
            return False
        return (
            self._queues[request_class].depth == 0
            and self._queues[RequestClass.TRANSACTION].depth == 0
        )

    def _assign_slot(self, ticket: Ticket, member: str) -> None:
        self._in_use[member] += 1
        ticket.granted_member = member
