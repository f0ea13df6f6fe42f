"""What each connection makes the process hold, and which connections are dropped for others.

A connection may always hold the floor. It needs a permit for more, which reserves in advance what
its message can take, so that a connection with a permit can always complete its message. Without
one it is not read from and waits its turn.
"""

import collections.abc
import enum

from bilberrystack.budget import limits

# A connection whose permit others wait for is dropped after this time without new data, or this
# time after the permit was granted. A message of 1 MiB takes 1.7 s on a line of 5 Mbit/s.
STALL_S = 2.0
MAX_PERMIT_S = 10.0

# A connection that has not asked for anything may be closed for a new one after this time.
MIN_IDLE_S = 1.0

# Definitions that a session may always have, and the fraction of its kind's part of the budget that
# all definitions together may take, so that messages have room.
DEFINITION_FLOOR_BYTES = 8_192
DEFINITION_FRACTION = 0.5

# Room that definitions leave for a message of the largest size, which is 1 MiB.
MESSAGE_ROOM_BYTES = 10_000_000

# Range of what a connection may leave unread before it is served no further, and the fraction of
# its kind's part of the budget that is divided between all connections for this.
MIN_UNSENT_BYTES = 16_384
MAX_UNSENT_BYTES = 262_144
UNSENT_FRACTION = 0.5

# Fraction of its kind's part of the budget that the running requests of one connection may take.
WORK_FRACTION = 0.125


class Reason(enum.Enum):
    """Why a connection or a request is refused."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    STALLED = "stalled"
    DEFINITIONS = "definitions"


class Holder:
    """What one connection holds. Only the ledger changes it.

    Attributes:
      kind: Who has opened the connection.
      opened_at_s: When it was accepted.
      progressed_at_s: When it last sent data under its permit, or was answered.
      completed: Number of its requests that were answered.
      running: Number of its requests that are running.
      work_bytes: What its running requests take.
      defined_bytes: Values and prepared statements of its session.
      unsent_bytes: Answers that the other side has not taken.
      permit_bytes: What its permit reserves; 0 without a permit.
      wanted_bytes: What it waits to have reserved; 0 if it does not wait.
      permit_at_s: When the permit was granted.
    """

    __slots__ = (
        "completed",
        "defined_bytes",
        "kind",
        "opened_at_s",
        "permit_at_s",
        "permit_bytes",
        "progressed_at_s",
        "running",
        "unsent_bytes",
        "wanted_bytes",
        "work_bytes",
    )

    def __init__(self, kind: limits.Kind, now_s: float) -> None:
        self.kind = kind
        self.opened_at_s = self.progressed_at_s = self.permit_at_s = now_s
        self.completed = self.running = 0
        self.work_bytes = self.defined_bytes = self.unsent_bytes = 0
        self.permit_bytes = self.wanted_bytes = 0

    @property
    def freed_bytes(self) -> int:
        """What its end frees at once; running requests go on until they are answered."""
        return self.permit_bytes + self.defined_bytes + self.unsent_bytes


class Ledger:
    """Sums up what connections hold, and decides.

    Attributes:
      limits: The limits of the process.
    """

    __slots__ = ("_defined", "_excess", "_holders", "_waiting", "limits")

    def __init__(self, process_limits: limits.Limits) -> None:
        self.limits = process_limits
        self._holders: dict[limits.Kind, dict[Holder, None]] = {kind: {} for kind in limits.Kind}
        self._excess = dict.fromkeys(limits.Kind, 0)
        self._defined = dict.fromkeys(limits.Kind, 0)
        self._waiting: dict[Holder, None] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether a connection waits for a permit."""
        return bool(self._waiting)

    def connections(self, kind: limits.Kind) -> int:
        """Return the number of open connections of a kind."""
        return len(self._holders[kind])

    def held_bytes(self, kind: limits.Kind) -> int:
        """Return what the connections of a kind hold together."""
        return len(self._holders[kind]) * limits.CONNECTION_BYTES + self._excess[kind]

    @property
    def total_bytes(self) -> int:
        """What all connections hold together."""
        return sum(map(self.held_bytes, limits.Kind))

    def unsent_share(self, kind: limits.Kind) -> int:
        """Return what a connection of a kind may leave unread before it is served no further."""
        part = int(self.limits.kind_bytes * UNSENT_FRACTION) // max(1, len(self._holders[kind]))
        return min(MAX_UNSENT_BYTES, max(MIN_UNSENT_BYTES, part))

    def holds_its_share(self, holder: Holder) -> bool:
        """Return whether the running requests of a connection take its share."""
        return holder.work_bytes > self.limits.kind_bytes * WORK_FRACTION

    def open(self, kind: limits.Kind, now_s: float) -> tuple[Holder | None, Holder | None]:
        """Accept a connection if there is room, or if another makes room for it.

        Args:
          kind: Who opens it.
          now_s: The current time.
        Returns:
          The new connection, None if it is refused; and the connection to drop for it, None if
          there is room.
        """
        holders = self._holders[kind]
        dropped = None
        if len(holders) >= self.limits.connections[kind]:
            dropped = self._idlest(kind, now_s)
            if dropped is None:
                return None, None
            self.close(dropped)
        holder = Holder(kind, now_s)
        holders[holder] = None
        return holder, dropped

    def _idlest(self, kind: limits.Kind, now_s: float) -> Holder | None:
        """Return the oldest connection that has not asked for anything."""
        return next(
            (
                holder
                for holder in self._holders[kind]
                if not holder.completed
                and not holder.running
                and now_s - holder.progressed_at_s >= MIN_IDLE_S
            ),
            None,
        )

    def close(self, holder: Holder) -> None:
        """Forget a connection, except for its running requests, unless it is forgotten already."""
        if self._holders[holder.kind].pop(holder, self) is not self:
            self._excess[holder.kind] -= holder.freed_bytes
            self._defined[holder.kind] -= holder.defined_bytes
            self._waiting.pop(holder, None)

    def begin(self, holder: Holder, work_bytes: int) -> None:
        """Count a request that is run; its message no longer needs the permit.

        Args:
          holder: The connection.
          work_bytes: What the request takes until it is answered.
        """
        if holder.permit_bytes or holder.wanted_bytes:
            self.release_permit(holder)
        holder.running += 1
        holder.work_bytes += work_bytes
        self._excess[holder.kind] += work_bytes

    def end(self, holder: Holder, work_bytes: int, now_s: float) -> None:
        """Count the end of a request.

        Args:
          holder: The connection.
          work_bytes: What the request took.
          now_s: The current time.
        """
        holder.running -= 1
        holder.completed += 1
        holder.work_bytes -= work_bytes
        holder.progressed_at_s = now_s
        self._excess[holder.kind] -= work_bytes

    def set_unsent(self, holder: Holder, unsent_bytes: int) -> None:
        """Record the answers that the other side has not taken."""
        before = holder.freed_bytes
        holder.unsent_bytes = unsent_bytes
        self._count(holder, before)

    def define(self, holder: Holder, defined_bytes: int) -> bool:
        """Record the size of a session's definitions, unless there is no room for it.

        Args:
          holder: The connection.
          defined_bytes: The size of all its definitions.
        Returns:
          Whether there is room.
        """
        added = defined_bytes - holder.defined_bytes
        kind = holder.kind
        room = min(
            int(self.limits.kind_bytes * DEFINITION_FRACTION) - self._defined[kind],
            self.limits.kind_bytes
            - MESSAGE_ROOM_BYTES
            - len(self._holders[kind]) * limits.CONNECTION_BYTES
            - self._defined[kind],
        )
        if added > max(0, room) and defined_bytes > DEFINITION_FLOOR_BYTES:
            return False
        if holder in self._holders[kind]:
            self._defined[kind] += added
        before = holder.freed_bytes
        holder.defined_bytes = defined_bytes
        self._count(holder, before)
        return True

    def request_permit(self, holder: Holder, wanted_bytes: int) -> None:
        """Let a connection wait for a permit; `grant` gives it one.

        Args:
          holder: The connection.
          wanted_bytes: What its message can take until it is answered.
        """
        # A message of the largest size is served on a small machine, too, if it is alone.
        idle_bytes = len(self._holders[holder.kind]) * limits.CONNECTION_BYTES
        most = max(limits.FLOOR_BYTES, self.limits.kind_bytes - idle_bytes)
        holder.wanted_bytes = min(wanted_bytes, most)
        self._waiting[holder] = None

    def release_permit(self, holder: Holder) -> None:
        """Return the permit of a connection, or its wait for one."""
        before = holder.freed_bytes
        holder.permit_bytes = holder.wanted_bytes = 0
        self._waiting.pop(holder, None)
        self._count(holder, before)

    def record_progress(self, holder: Holder, now_s: float) -> None:
        """Record that a connection with a permit has sent data."""
        holder.progressed_at_s = now_s

    def grant(self, now_s: float) -> list[Holder]:
        """Give permits to waiting connections while there is room.

        Those that were answered before come first, then those that have waited longest.

        Args:
          now_s: The current time.
        Returns:
          The connections that have a permit now.
        """
        granted = []
        blocked: set[limits.Kind] = set()
        for served_before in (True, False):
            for holder in list(self._waiting):
                if bool(holder.completed) is not served_before or holder.kind in blocked:
                    continue
                if not self._has_room(holder.kind, holder.wanted_bytes):
                    blocked.add(holder.kind)
                    continue
                before = holder.freed_bytes
                holder.permit_bytes, holder.wanted_bytes = holder.wanted_bytes, 0
                holder.permit_at_s = holder.progressed_at_s = now_s
                self._count(holder, before)
                del self._waiting[holder]
                granted.append(holder)
        return granted

    def _has_room(self, kind: limits.Kind, wanted_bytes: int) -> bool:
        return (
            self.held_bytes(kind) + wanted_bytes <= self.limits.kind_bytes
            and self.total_bytes + wanted_bytes <= self.limits.budget_bytes
        )

    def victims(self, now_s: float) -> list[tuple[Holder, Reason]]:
        """Return the connections to drop, and forget them.

        Beyond the budget these are the ones that hold most, those without progress first. While
        others wait for a permit, they are the ones with a permit or unread answers that make no
        progress. A connection that holds no more than its floor is never dropped.

        Args:
          now_s: The current time.
        """
        dropped: list[tuple[Holder, Reason]] = []
        for kind in sorted(limits.Kind, key=self.held_bytes, reverse=True):
            if not self._is_exceeded(kind):
                continue
            for holder in self._by_cost(kind, now_s):
                if not self._is_exceeded(kind):
                    break
                self.close(holder)
                dropped.append((holder, Reason.MEMORY))
        # Kinds compete for the same budget.
        for kind in limits.Kind if self._waiting else ():
            for holder in self._by_cost(kind, now_s):
                if self._is_stalled(holder, now_s):
                    self.close(holder)
                    dropped.append((holder, Reason.STALLED))
        return dropped

    def _is_exceeded(self, kind: limits.Kind) -> bool:
        return (
            self.held_bytes(kind) > self.limits.kind_bytes
            or self.total_bytes > self.limits.budget_bytes
        )

    def _by_cost(self, kind: limits.Kind, now_s: float) -> list[Holder]:
        """Return the connections whose end frees something, those first that do the least."""
        above = [holder for holder in self._holders[kind] if holder.freed_bytes > 0]
        return sorted(
            above,
            key=lambda holder: (
                now_s - holder.progressed_at_s < STALL_S,
                -holder.freed_bytes / (1 + holder.completed),
            ),
        )

    def _is_stalled(self, holder: Holder, now_s: float) -> bool:
        """Return whether a connection keeps others waiting for no good reason."""
        if holder.permit_bytes and now_s - holder.permit_at_s >= MAX_PERMIT_S:
            return True
        stalls = holder.permit_bytes or holder.unsent_bytes
        return bool(stalls) and now_s - holder.progressed_at_s >= STALL_S

    def _count(self, holder: Holder, before: int) -> None:
        if holder in self._holders[holder.kind]:
            self._excess[holder.kind] += holder.freed_bytes - before


def connections_by_kind(ledger: Ledger) -> collections.abc.Iterator[tuple[str, int, int]]:
    """Return the name, the number of connections and the held bytes of each kind, for metrics."""
    for kind in limits.Kind:
        yield kind.value, ledger.connections(kind), ledger.held_bytes(kind)
