"""The queue of statements that wait for a connection: its order and its expected waits.

If only statements of the short rule wait (see waiting.py), the order is by priority, then arrival.
Otherwise it is:

1. The instance's own queries to members. Statements of open transactions have their connection and
   pass the queue.
2. By priority. Within a priority, statements that can still meet their latency objective come
   first, fair between accounts, and of one account those with the least slack. Late statements
   follow by arrival.
3. One in eight assignments goes to the oldest waiting statement of a lower priority that has waited
   for half of the time until it is late.
"""

import collections
import collections.abc
import dataclasses
import enum
import itertools
import math
from typing import Generic
from typing import TypeVar

# One of this many assignments goes to a lower priority if statements of one wait.
LOWER_PRIORITY_INTERVAL = 8

# Weight of the newest statement in the moving average of the work of a kind.
WORK_WEIGHT = 0.1

# Work that is assumed for a kind before its first statement has ended.
INITIAL_WORK_S = 0.015

# A lower priority gets its assignments once its oldest statement has waited for this part of the
# time until it is late. With assignments from the start, 264 clients that came back at once were
# served in time 0.92 times as often as by the short rule (1.00 without: overload_replay_test.py),
# although the others could still wait.
STARVING_FRACTION = 0.5

# A statement counts as late if the time left until its objective is less than this multiple of the
# usual work of its kind: the work varies, and the answer has to reach the client.
OBJECTIVE_WORK_FACTOR = 3.0

# Deficits are at most this many quanta, so that an account whose members are unavailable does not
# accumulate a claim.
MAX_DEFICIT_QUANTA = 2


class Access(enum.Enum):
    """What a statement does, as far as its work depends on it."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Statements that are expected to hold a connection equally long.

    Attributes:
      database: Name of the database; empty for the instance's own queries.
      access: What they do.
    """

    database: str
    access: Access


@dataclasses.dataclass(eq=False, slots=True)
class Waiting:
    """A statement that waits for a connection.

    Attributes:
      arrived_at_s: When the statement arrived. It does not change if the statement is sent again.
      deadline_s: When it is refused if it still waits.
      objective_at_s: When its latency objective ends.
      priority: Statements with a lower number are served first.
      account: The client account, empty for none.
      kind: Its kind, by which its work is estimated.
      primary_only: Whether only the primary may run it.
      waits_long: Whether it waits by the long rule.
      control: Whether it is a query of the instance itself.
      number: Its place in the order of additions; set by `StatementQueue.add`.
    """

    arrived_at_s: float
    deadline_s: float
    objective_at_s: float
    priority: int
    account: str
    kind: Kind
    primary_only: bool
    waits_long: bool
    control: bool
    number: int = dataclasses.field(default=0, init=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The connections that can serve a waiting statement.

    Attributes:
      usable: Statements that the instance may have in flight at the members that can run it.
      total: The same at all members of the group.
    """

    usable: float
    total: float

    @property
    def share(self) -> float:
        """Part of the group's capacity that can serve the statement."""
        return min(1.0, self.usable / self.total) if self.total > 0 else 1.0


WaitingT = TypeVar("WaitingT", bound=Waiting)


class StatementQueue(Generic[WaitingT]):
    """The waiting statements of one group at one instance.

    Work is the time for which a statement holds a connection, in seconds.
    """

    __slots__ = (
        "_assigned_since_lower",
        "_deficits",
        "_last_turns",
        "_numbers",
        "_turns",
        "_waiting",
        "_work_s",
    )

    def __init__(self) -> None:
        self._waiting: list[WaitingT] = []
        self._numbers = itertools.count()
        self._work_s: dict[Kind, float] = {}
        self._deficits: dict[tuple[int, str], float] = {}
        self._last_turns: dict[tuple[int, str], int] = {}
        self._turns = itertools.count()
        self._assigned_since_lower = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> collections.abc.Iterator[WaitingT]:
        return iter(self._waiting)

    def add(self, waiting: WaitingT) -> None:
        """Adds a statement."""
        waiting.number = next(self._numbers)
        self._waiting.append(waiting)

    def remove(self, waiting: WaitingT) -> None:
        """Removes a statement that no longer waits; one that is not in the queue is ignored."""
        if waiting not in self._waiting:
            return
        self._waiting.remove(waiting)
        turn = (waiting.priority, waiting.account)
        if not any((known.priority, known.account) == turn for known in self._waiting):
            self._deficits.pop(turn, None)
            self._last_turns.pop(turn, None)

    def clear(self) -> None:
        """Removes all statements."""
        self._waiting.clear()
        self._deficits.clear()
        self._last_turns.clear()

    def work_s(self, kind: Kind) -> float:
        """Returns the usual work of a kind of statements, in seconds."""
        return self._work_s.get(kind, INITIAL_WORK_S)

    def record_work(self, kind: Kind, work_s: float) -> None:
        """Records for how long a statement held its connection.

        Args:
          kind: The statement's kind.
          work_s: The time in seconds.
        """
        usual_s = self.work_s(kind)
        self._work_s[kind] = usual_s + WORK_WEIGHT * (work_s - usual_s)

    def in_order(self, now_s: float) -> list[WaitingT]:
        """Returns the waiting statements, the next to be served first.

        Args:
          now_s: The current time.
        """
        if not any(waiting.waits_long for waiting in self._waiting):
            return sorted(self._waiting, key=_by_priority_and_arrival)
        control = sorted(
            (waiting for waiting in self._waiting if waiting.control), key=_by_priority_and_arrival
        )
        others = [waiting for waiting in self._waiting if not waiting.control]
        ordered: list[WaitingT] = []
        for priority in sorted({waiting.priority for waiting in others}):
            of_priority = [waiting for waiting in others if waiting.priority == priority]
            ordered += self._in_order_within_priority(priority, of_priority, now_s)
        lower = [
            waiting
            for waiting in ordered
            if waiting.priority > ordered[0].priority and self._is_starving(waiting, now_s)
        ]
        if lower:
            oldest = min(lower, key=_by_arrival)
            ordered.remove(oldest)
            place = max(0, LOWER_PRIORITY_INTERVAL - 1 - self._assigned_since_lower)
            ordered.insert(place, oldest)
        return control + ordered

    def _in_order_within_priority(
        self, priority: int, statements: list[WaitingT], now_s: float
    ) -> list[WaitingT]:
        """Returns the statements of one priority: in time by deficit round robin, then late ones.

        The work of an account's statements, added up, says in which round of the accounts each one
        is served.
        """
        accounts: dict[str, list[WaitingT]] = collections.defaultdict(list)
        late = []
        for waiting in statements:
            if self._is_late(waiting, now_s):
                late.append(waiting)
            else:
                accounts[waiting.account].append(waiting)
        quantum_s = self._quantum_s(priority)
        keyed = []
        for account, queued in accounts.items():
            queued.sort(key=self._by_slack)
            left_s = -self._deficits.get((priority, account), 0.0)
            last_turn = self._last_turns.get((priority, account), -1)
            for place, waiting in enumerate(queued):
                left_s += self.work_s(waiting.kind)
                turn = max(0, math.ceil(left_s / quantum_s))
                keyed.append(((turn, last_turn, queued[0].number, place), waiting))
        keyed.sort(key=lambda pair: pair[0])
        return [waiting for _, waiting in keyed] + sorted(late, key=_by_arrival)

    def record_assigned(self, waiting: WaitingT, now_s: float) -> None:
        """Removes a statement that has got a connection, and charges its account.

        Args:
          waiting: The statement.
          now_s: The current time.
        """
        work_s = self.work_s(waiting.kind)
        late = self._is_late(waiting, now_s)
        if not waiting.control:
            self._count_priority(waiting)
        if not late:
            self._charge(waiting, work_s)
        self.remove(waiting)

    def _count_priority(self, waiting: WaitingT) -> None:
        priorities = {known.priority for known in self._waiting if not known.control}
        if waiting.priority > min(priorities, default=waiting.priority):
            self._assigned_since_lower = 0
        elif len(priorities) > 1:
            self._assigned_since_lower += 1

    def _charge(self, waiting: WaitingT, work_s: float) -> None:
        """Charges an account; if its deficit is too small, a new round of all accounts begins."""
        turn = (waiting.priority, waiting.account)
        missing_s = work_s - self._deficits.get(turn, 0.0)
        if missing_s > 0:
            quantum_s = self._quantum_s(waiting.priority)
            added_s = math.ceil(missing_s / quantum_s) * quantum_s
            for known in {(known.priority, known.account) for known in self._waiting}:
                if known[0] == waiting.priority:
                    self._deficits[known] = min(
                        self._deficits.get(known, 0.0) + added_s, MAX_DEFICIT_QUANTA * quantum_s
                    )
        self._deficits[turn] = max(0.0, self._deficits.get(turn, 0.0) - work_s)
        self._last_turns[turn] = next(self._turns)

    def _quantum_s(self, priority: int) -> float:
        """Returns the work that each account may do in a round: that of any single statement."""
        work_s = [
            self.work_s(waiting.kind) for waiting in self._waiting if waiting.priority == priority
        ]
        return max(work_s, default=INITIAL_WORK_S)

    def _latest_start_s(self, waiting: Waiting) -> float:
        return waiting.objective_at_s - OBJECTIVE_WORK_FACTOR * self.work_s(waiting.kind)

    def _by_slack(self, waiting: Waiting) -> tuple[float, int]:
        return self._latest_start_s(waiting), waiting.number

    def _is_late(self, waiting: Waiting, now_s: float) -> bool:
        return now_s > self._latest_start_s(waiting)

    def _is_starving(self, waiting: Waiting, now_s: float) -> bool:
        patience_s = self._latest_start_s(waiting) - waiting.arrived_at_s
        return now_s - waiting.arrived_at_s >= patience_s * STARVING_FRACTION

    def expected_wait_s(self, waiting: WaitingT, now_s: float, capacity: Capacity) -> float:
        """Returns the expected wait of a statement in the queue, in seconds.

        Statements that arrive later don't count: how long a burst lasts is not known.

        Args:
          waiting: The statement; it is in the queue.
          now_s: The current time.
          capacity: The connections that can serve it.
        """
        if capacity.usable <= 0:
            return math.inf
        wait_s = self._work_ahead_s(waiting, now_s, capacity, late=False) / capacity.usable
        if now_s + wait_s <= self._latest_start_s(waiting):
            return wait_s
        return self._work_ahead_s(waiting, now_s, capacity, late=True) / capacity.usable

    def unservable(
        self, now_s: float, capacity_of: collections.abc.Callable[[WaitingT], Capacity]
    ) -> list[WaitingT]:
        """Returns the late statements of the long rule that are expected to wait too long.

        Args:
          now_s: The current time.
          capacity_of: Returns the connections that can serve a statement.
        """
        return [
            waiting
            for waiting in self._waiting
            if waiting.waits_long
            and not waiting.control
            and self._is_late(waiting, now_s)
            and now_s + self.expected_wait_s(waiting, now_s, capacity_of(waiting))
            > waiting.deadline_s
        ]

    def _work_ahead_s(
        self, waiting: WaitingT, now_s: float, capacity: Capacity, late: bool
    ) -> float:
        """Returns the work of the queue up to and including a statement, in seconds."""
        ahead_s = 0.0
        accounts_s: dict[str, float] = collections.defaultdict(float)
        own_s = self.work_s(waiting.kind)
        for known in self._waiting:
            if known is waiting or known.control or known.priority > waiting.priority:
                continue
            work_s = self.work_s(known.kind)
            if waiting.primary_only and not known.primary_only:
                work_s *= capacity.share
            if known.priority < waiting.priority:
                ahead_s += work_s
            elif self._is_late(known, now_s):
                ahead_s += work_s if late and _by_arrival(known) < _by_arrival(waiting) else 0.0
            elif late:
                ahead_s += work_s
            elif known.account != waiting.account:
                accounts_s[known.account] += work_s
            elif self._by_slack(known) < self._by_slack(waiting):
                own_s += work_s
        return ahead_s + own_s + sum(min(work_s, own_s) for work_s in accounts_s.values())


def _by_priority_and_arrival(waiting: Waiting) -> tuple[int, int]:
    return waiting.priority, waiting.number


def _by_arrival(waiting: Waiting) -> tuple[float, int]:
    return waiting.arrived_at_s, waiting.number
