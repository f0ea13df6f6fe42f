"""State of one group at its owner, shared by reads, writes and transactions."""

import asyncio
import collections.abc
import math

from bilberrystack.core import admission
from bilberrystack.core import declarations
from bilberrystack.core import members
from bilberrystack.core import outcomes
from bilberrystack.core import ownership
from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.core import retries
from bilberrystack.core import routing
from bilberrystack.proxy import confirmations
from bilberrystack.proxy import counters
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import pool
from bilberrystack.proxy import position_waits
from bilberrystack.proxy import rounds
from bilberrystack.proxy import slots
from bilberrystack.proxy import waits

# A write is sent only if the primary and a majority have answered within this time, in seconds. It
# equals the stated detection time, so that a shorter pause of a member does not delay writes.
MAX_MEMBER_CONTACT_AGE_S = 0.5

# Timeout of the status call that checks whether a member is unresponsive, in seconds.
STATUS_TIMEOUT_S = 0.1

# Pause between status rounds while requests wait for a primary or a majority, in seconds.
PRIMARY_SEARCH_PAUSE_S = 0.02

# Pause between status rounds while reads wait for a replica to reach a position, in seconds.
POSITION_PROBE_PAUSE_S = 0.003


def data_connection_share(connection_limit: int, rank: int) -> int:
    """Returns how many data connections an owner may have to one member.

    One connection of the owner's share is used as the control connection.

    Args:
      connection_limit: The member's connection limit.
      rank: The owner's rank, from 0.
    """
    return ownership.connection_share(connection_limit, rank) - 1


class _ObservedEvidence(quorum.QuorumEvidence):
    """Quorum evidence that calls a function for each recorded status report.

    Reports are recorded by status rounds, confirmation polls and the supervisor's heartbeats.
    """

    __slots__ = ("_on_report",)

    def __init__(
        self,
        member_names: collections.abc.Iterable[str],
        on_report: collections.abc.Callable[[members.MemberStatus], None],
    ) -> None:
        super().__init__(member_names)
        self._on_report = on_report

    def record_report(self, status: members.MemberStatus) -> None:
        super().record_report(status)
        self._on_report(status)


class GroupState:
    """Evidence, queue, connections and known primary of one group at one owner."""

    __slots__ = (
        "_contact_times",
        "_last_primary",
        "_loop",
        "_position_probe",
        "_primary",
        "_primary_search",
        "_promised_term",
        "_rejected_primary",
        "_term",
        "_waiting_reads",
        "admission",
        "confirmations",
        "counters",
        "declaration",
        "members",
        "pools",
        "position_waits",
        "primary_signal",
        "quorum",
        "retries",
        "rounds",
        "router",
        "slots",
    )

    def __init__(
        self,
        declaration: declarations.GroupDeclaration,
        member_links: collections.abc.Mapping[str, interfaces.Member],
        failure_domain: str,
        rank: int,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.declaration = declaration
        self.members = dict(member_links)
        self.counters = counters.GroupCounters()
        self.quorum = _ObservedEvidence(self.members, self._on_status)
        self.retries = retries.Budget()
        self.router = routing.Router(
            routing.RoutedMember(
                member.name, member.address, member.failure_domain == failure_domain
            )
            for member in declaration.members
        )
        self.slots = slots.Slots(self._usable_slots(rank), self.counters)
        self.admission = self.slots.queue
        self.pools = {
            member.name: pool.Pool(
                self.members[member.name],
                data_connection_share(member.connections, rank),
                self.slots.grant_waiting,
            )
            for member in declaration.members
        }
        self.rounds = rounds.Rounds(self.members, self.quorum, self.last_contact, self.counters)
        self.confirmations = confirmations.Confirmations(self.members, self.quorum, self.counters)
        self.position_waits = position_waits.PositionWaits(self._is_applied)
        self.primary_signal = waits.Signal()
        self._contact_times: dict[str, float] = {}
        self._primary: str | None = None
        self._last_primary: str | None = None
        self._term = 0
        self._promised_term = 0
        self._rejected_primary: tuple[str, int] | None = None
        self._primary_search: asyncio.Task[None] | None = None
        self._position_probe: asyncio.Task[None] | None = None
        self._waiting_reads = 0

    @property
    def primary(self) -> str | None:
        """The primary of the highest promised term; None if there is none."""
        return self._primary if self._term >= self._promised_term else None

    @property
    def last_primary(self) -> str | None:
        """The most recently known primary, also during a primary change; None if none was known."""
        return self._last_primary

    @property
    def term(self) -> int:
        """The term of the most recently known primary."""
        return self._term

    def warm_up(self) -> None:
        """Requests the first status reports and opens connections for the members' slots."""
        for member in self.declaration.members:
            self.pools[member.name].keep_warm(member.slots)
        self._start_primary_search()

    def last_contact(self, name: str) -> float | None:
        """Returns the instant of a member's last answer of any kind."""
        return self._contact_times.get(name)

    def record_contact(self, name: str) -> None:
        """Records that a member answered just now."""
        self._contact_times[name] = self._loop.time()
        self.router.record_reachable(name)

    def record_answer(self, name: str, promised_term: int) -> None:
        """Records an answer of any kind from a member.

        Args:
          name: The member's declared name.
          promised_term: The promised term that the answer contains.
        """
        self.record_contact(name)
        self._promised_term = max(self._promised_term, promised_term)

    def record_executed(self, name: str, reply: members.Executed) -> None:
        """Records the position in a reply as evidence about the member's log."""
        if reply.promised_term == reply.position.term:
            self.quorum.record_acceptance(name, reply.position)
            self._infer_primary_acceptance(name, reply.position)
        self.confirmations.record_accepted(name, reply.position)
        self.confirmations.evaluate_waits()

    def reject_primary(self, name: str, term: int) -> None:
        """Stops the use of a primary that refused its term, until its next status report."""
        self._rejected_primary = (name, term)
        self.refresh_primary()

    def refresh_primary(self) -> None:
        """Updates the primary from the evidence and handles a change."""
        self._promised_term = max(self._promised_term, self.quorum.promised_term)
        name = self.quorum.primary
        term = self.quorum.promised_term
        if name is None or term < self._promised_term or (name, term) == self._rejected_primary:
            self._primary = None
            return
        if self._primary == name and self._term == term:
            return
        self._primary, self._term = name, term
        if self._last_primary is not None and self._last_primary != name:
            self.pools[self._last_primary].retire_connections()
        self._last_primary = name
        self.confirmations.primary_changed(term)
        self.primary_signal.notify()
        self.slots.grant_waiting()

    async def is_unresponsive(self, name: str, max_silence_s: float, deadline: float) -> bool:
        """Returns whether a member has not answered recently and fails a status call now.

        Args:
          name: The member's declared name.
          max_silence_s: The member is probed only if its last answer is older, in seconds.
          deadline: Instant on the event loop's clock at which the status call ends at the latest.
        """
        started_at = self._loop.time()
        if self._contact_times.get(name, -math.inf) >= started_at - max_silence_s:
            return False
        try:
            async with asyncio.timeout_at(min(started_at + STATUS_TIMEOUT_S, deadline)):
                self.quorum.record_report(await self.members[name].status(positions.ZERO, 0.0))
        except (interfaces.LinkLost, TimeoutError):
            return True
        return False

    def available_primary(self) -> str | None:
        """Returns the primary if it can take a new statement now; otherwise None.

        Starts a search for the primary if none is ready.
        """
        if not self.is_primary_ready():
            self._start_primary_search()
            return None
        primary = self.primary
        return primary if primary is not None and self.load(primary) < 1.0 else None

    def load(self, name: str) -> float:
        """Returns the used share of a member's slots; 1.0 or more if no connection is available."""
        if not self.pools[name].available:
            return 1.0
        return self.admission.utilization(name)

    def is_primary_ready(self) -> bool:
        """Returns whether a primary is known and it and a majority have answered recently.

        Recently means within MAX_MEMBER_CONTACT_AGE_S.
        """
        primary = self.primary
        cutoff = self._loop.time() - MAX_MEMBER_CONTACT_AGE_S
        if primary is None or self._contact_times.get(primary, -math.inf) < cutoff:
            return False
        return self._has_majority()

    def refusal_before_send(self) -> outcomes.NotRun:
        """Returns the refusal of a request that could not be sent by its deadline."""
        if self.is_primary_ready():
            reason, detail = outcomes.NotRunReason.DEADLINE_BEFORE_SEND, "no slot in time"
        elif self._has_majority():
            reason, detail = outcomes.NotRunReason.NO_PRIMARY, "no primary answers"
        else:
            reason, detail = outcomes.NotRunReason.NO_MAJORITY, "no majority answers"
        return outcomes.NotRun(
            reason, detail, self.admission.expected_wait_s(admission.RequestClass.WRITE)
        )

    def on_replica_advanced(self) -> None:
        """Ends the waits for positions that a replica has reached, and grants slots."""
        self.position_waits.end_reached_waits()
        self.slots.grant_waiting()

    def add_waiting_read(self) -> None:
        """Registers a read that waits for a replica's position.

        Status rounds run repeatedly while any such read is registered.
        """
        self._waiting_reads += 1
        if self._position_probe is None:
            self._position_probe = self._loop.create_task(self._probe_positions())

    def remove_waiting_read(self) -> None:
        """Unregisters a read that was registered with add_waiting_read()."""
        self._waiting_reads -= 1

    def set_rank(self, rank: int) -> None:
        """Changes the slots and the pool sizes to the connection shares of a rank."""
        self.admission.set_slots(self._usable_slots(rank))
        for member in self.declaration.members:
            self.pools[member.name].set_max_size(data_connection_share(member.connections, rank))
        self.slots.grant_waiting()

    def close(self) -> None:
        """Cancels background tasks and closes the data connections."""
        for task in (self._primary_search, self._position_probe):
            if task is not None:
                task.cancel()
        self.rounds.close()
        self.confirmations.close()
        for member_pool in self.pools.values():
            member_pool.close()

    def _is_applied(self, position: positions.Position) -> bool:
        return self.router.replica_has_applied(position, self._last_primary, self._loop.time())

    def _usable_slots(self, rank: int) -> dict[str, int]:
        """Returns the slots by member, at most one for each connection to the member."""
        return {
            member.name: min(member.slots, data_connection_share(member.connections, rank))
            for member in self.declaration.members
        }

    def _on_status(self, status: members.MemberStatus) -> None:
        """Updates the state from a status report that was recorded as evidence."""
        if status.member not in self.members:
            return
        self.record_answer(status.member, status.promised_term)
        if self._rejected_primary is not None and self._rejected_primary[0] == status.member:
            self._rejected_primary = None
        self.refresh_primary()
        if status.promised_term == status.last_log.term:
            self._infer_primary_acceptance(status.member, status.last_log)
        self.confirmations.record_accepted(status.member, status.last_log)
        self.confirmations.evaluate_waits()
        if self.router.record_status(status):
            self.on_replica_advanced()

    def _infer_primary_acceptance(self, name: str, position: positions.Position) -> None:
        """Records that the primary has accepted an entry of its term that a replica has accepted.

        The entries of a term originate from its primary, which accepts each of them before any
        replica does.
        """
        if position.term == self._term and self._primary is not None and self._primary != name:
            self.quorum.record_acceptance(self._primary, position)

    def _has_majority(self) -> bool:
        cutoff = self._loop.time() - MAX_MEMBER_CONTACT_AGE_S
        recent = sum(contact_time >= cutoff for contact_time in self._contact_times.values())
        return recent >= quorum.majority(len(self.members))

    def _start_primary_search(self) -> None:
        if self._primary_search is None:
            self._primary_search = self._loop.create_task(self._search_primary())

    async def _search_primary(self) -> None:
        """Runs status rounds while requests wait for a ready primary."""
        try:
            while True:
                await self.rounds.read_index(self._loop.time() + rounds.ROUND_TIMEOUT_S)
                if self.is_primary_ready():
                    break
                await self.primary_signal.wait(self._loop.time() + PRIMARY_SEARCH_PAUSE_S)
                if not self._has_primary_waiters():
                    break
        finally:
            self._primary_search = None
        self.slots.grant_waiting()

    def _has_primary_waiters(self) -> bool:
        waiting_classes = (admission.RequestClass.TRANSACTION, admission.RequestClass.WRITE)
        return any(self.admission.class_depth(request_class) for request_class in waiting_classes)

    async def _probe_positions(self) -> None:
        """Runs status rounds while reads wait for a replica to reach a position."""
        try:
            while self._waiting_reads:
                await self.rounds.read_index(self._loop.time() + rounds.ROUND_TIMEOUT_S)
                await asyncio.sleep(POSITION_PROBE_PAUSE_S)
        finally:
            self._position_probe = None
