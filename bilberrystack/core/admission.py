"""The queue of one database group and the slots of its members, without I/O."""

import collections
import collections.abc
import dataclasses
import enum
import itertools

# Requests that may wait. At a thousand statements per second this is several seconds of work, which
# exceeds the deadlines that callers use.
MAX_DEPTH = 4096

# Heads of callers' queues that one search for a grant looks at.
MAX_SCAN = 16

# Weight of the newest service time in the moving average.
SERVICE_WEIGHT = 0.05

# Service times that have to fit between the expected wait and the deadline. Without them a full
# queue grants slots to statements that are answered just after their deadline: at twice the
# capacity 5% of the statements were answered in time instead of 51% (faults/queueing.py).
HEADROOM = 4

# Assumed service time before any was measured, in seconds.
INITIAL_SERVICE_S = 0.002


class Lane(enum.IntEnum):
    """What a ticket waits for.

    TRANSACTION holds the statements of open transactions and the resolution of requests: what
    finishes work goes first. The other lanes take turns. READ is for replicas only, PRIMARY_READ
    for any member.
    """

    TRANSACTION = 0
    WRITE = 1
    BEGIN = 2
    READ = 3
    PRIMARY_READ = 4


_NEW_WORK = (Lane.WRITE, Lane.BEGIN)
_READS = (Lane.READ, Lane.PRIMARY_READ)

# What Ticket.place returns when no ticket of its lane could be placed.
NO_SLOT = ""


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request that needs a slot.

    Attributes:
      caller: The caller's declared name, between which the queue is fair.
      lane: What the request waits for.
      deadline: Instant on the runtime's clock after which the slot is of no use.
      place: Returns the member whose free slot the request can take now, None, or NO_SLOT.
      granted: The member whose slot the ticket holds.
    """

    caller: str
    lane: Lane
    deadline: float
    place: collections.abc.Callable[[], str | None]
    granted: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A ticket is refused at once.

    Attributes:
      full: Whether the queue is full; otherwise the wait is expected to exceed the deadline.
      wait_s: The expected wait in seconds, which serves as the retry hint.
    """

    full: bool
    wait_s: float


class _FairQueue:
    """Tickets of one lane, round robin between callers."""

    __slots__ = ("_by_caller", "depth")

    def __init__(self) -> None:
        self._by_caller: collections.OrderedDict[str, collections.deque[Ticket]] = (
            collections.OrderedDict()
        )
        self.depth = 0

    def append(self, ticket: Ticket) -> None:
        waiting = self._by_caller.get(ticket.caller)
        if waiting is None:
            waiting = self._by_caller[ticket.caller] = collections.deque()
        waiting.append(ticket)
        self.depth += 1

    def remove(self, ticket: Ticket) -> bool:
        waiting = self._by_caller.get(ticket.caller)
        if waiting is None or ticket not in waiting:
            return False
        waiting.remove(ticket)
        self.depth -= 1
        if not waiting:
            del self._by_caller[ticket.caller]
        return True

    def take_placeable(self, scan: int) -> tuple[Ticket, str] | None:
        """Removes the first head that has a place and moves its caller to the end."""
        for caller, waiting in itertools.islice(self._by_caller.items(), scan):
            ticket = waiting[0]
            member = ticket.place()
            if member is None:
                continue
            if member == NO_SLOT:
                return None
            waiting.popleft()
            self.depth -= 1
            if waiting:
                self._by_caller.move_to_end(caller)
            else:
                del self._by_caller[caller]
            return ticket, member
        return None


class Admission:
    """Grants the slots of a group's members to the requests that wait."""

    __slots__ = ("_held", "_in_use", "_queues", "_service_s", "_slots", "_turns")

    def __init__(self, slots: dict[str, int]) -> None:
        self._slots = dict(slots)
        self._in_use = dict.fromkeys(slots, 0)
        self._queues = {lane: _FairQueue() for lane in Lane}
        self._service_s = INITIAL_SERVICE_S
        self._held: set[Lane] = set()
        self._turns = [Lane.WRITE, Lane.BEGIN, Lane.READ, Lane.PRIMARY_READ]

    @property
    def depth(self) -> int:
        """The number of tickets that wait."""
        return sum(queue.depth for queue in self._queues.values())

    @property
    def in_flight(self) -> int:
        """The number of slots that are taken."""
        return sum(self._in_use.values())

    def depth_of(self, lane: Lane) -> int:
        """Returns the number of tickets that wait in a lane."""
        return self._queues[lane].depth

    def set_slots(self, slots: dict[str, int]) -> None:
        """Changes the members' slots; those that are taken stay taken."""
        self._slots.update(slots)

    def free(self, member: str) -> int:
        """Returns the number of a member's free slots."""
        return self._slots[member] - self._in_use[member]

    def load(self, member: str) -> float:
        """Returns the used share of a member's slots."""
        return self._in_use[member] / self._slots[member]

    def offer(self, ticket: Ticket, now: float) -> Rejection | None:
        """Grants a slot at once, queues the ticket, or refuses it.

        Args:
          ticket: The request; its granted member is set if it got a slot at once.
          now: Seconds of the runtime's clock.
        Returns:
          The rejection, or None if the ticket is granted or queued.
        """
        if self._may_pass(ticket.lane):
            member = ticket.place()
            if member:
                self._grant(ticket, member)
                return None
        wait_s = self.expected_wait(ticket.lane)
        if self.depth >= MAX_DEPTH:
            return Rejection(True, wait_s)
        if wait_s + HEADROOM * self._service_s > ticket.deadline - now:
            return Rejection(False, wait_s)
        self._queues[ticket.lane].append(ticket)
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a ticket that waits no longer; one that was granted gives its slot back."""
        if self._queues[ticket.lane].remove(ticket):
            return
        if ticket.granted is not None:
            self.release(ticket, None)

    def release(self, ticket: Ticket, service_s: float | None) -> None:
        """Gives a granted slot back.

        Args:
          ticket: The ticket that holds the slot.
          service_s: Seconds that the statement took; None if it tells nothing about the service.
        """
        assert ticket.granted is not None
        self._in_use[ticket.granted] -= 1
        ticket.granted = None
        if service_s is not None:
            self._service_s += SERVICE_WEIGHT * (service_s - self._service_s)

    def next_grant(self) -> Ticket | None:
        """Grants one slot to a waiting ticket, if any can be placed."""
        for lane in (Lane.TRANSACTION, *self._turns):
            queue = self._queues[lane]
            if queue.depth == 0 or lane in self._held:
                continue
            # All writes want the same member, so that one look is enough for them.
            found = queue.take_placeable(1 if lane in _NEW_WORK else MAX_SCAN)
            if found is None:
                continue
            ticket, member = found
            self._grant(ticket, member)
            if lane is not Lane.TRANSACTION:
                self._turns.remove(lane)
                self._turns.append(lane)
            return ticket
        return None

    def hold(self, lane: Lane) -> None:
        """Holds the tickets of a lane back; they wait in the queue."""
        self._held.add(lane)

    def resume(self) -> None:
        """Ends all holds."""
        self._held.clear()

    def expected_wait(self, lane: Lane) -> float:
        """Returns the expected wait of a new ticket: depth per slot times the service time."""
        if lane in _READS:
            depth = sum(self._queues[one].depth for one in _READS)
            slots = sum(self._slots.values())
        else:
            depth = self._queues[Lane.TRANSACTION].depth
            if lane in _NEW_WORK:
                depth += sum(self._queues[one].depth for one in _NEW_WORK)
            slots = min(self._slots.values())
        return depth / slots * self._service_s

    def _may_pass(self, lane: Lane) -> bool:
        if lane is Lane.TRANSACTION:
            return self._queues[lane].depth == 0
        if lane in self._held:
            return False
        return self._queues[lane].depth == 0 and self._queues[Lane.TRANSACTION].depth == 0

    def _grant(self, ticket: Ticket, member: str) -> None:
        self._in_use[member] += 1
        ticket.granted = member
