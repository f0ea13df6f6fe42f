"""What the reads, writes and transactions of one group owner share."""

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

# A write is sent only if the primary and a majority have answered within this time, in seconds.
# It equals the stated detection time, so that a shorter pause holds no write back.
CONTACT_S = 0.5

# How long a silent member may take to answer a status call, in seconds.
SILENCE_CHECK_S = 0.1

# Pause between status rounds while requests wait for a primary or a majority, in seconds.
SEEK_PAUSE_S = 0.02

# Pause between status rounds while reads wait for a replica to reach a position, in seconds.
PROBE_PAUSE_S = 0.003


def data_share(connection_limit: int, rank: int) -> int:
    """Returns how many data connections an owner may hold to one member.

    One connection of the owner's share is the control connection.
    """
    return ownership.connection_share(connection_limit, rank) - 1


class _WatchedQuorum(quorum.QuorumEvidence):
    """Evidence that tells about each report, whoever records it: heartbeats do so too."""

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
    """Evidence, queue, connections and primary of one group, as one owner knows them."""

    __slots__ = (
        "_contacts",
        "_denied",
        "_last_primary",
        "_loop",
        "_primary",
        "_prober",
        "_promised",
        "_seeker",
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
        self.quorum = _WatchedQuorum(self.members, self._reported)
        self.retries = retries.Budget()
        self.router = routing.Router(
            routing.RoutedMember(one.name, one.address, one.failure_domain == failure_domain)
            for one in declaration.members
        )
        self.slots = slots.Slots(self._usable_slots(rank), self.counters)
        self.admission = self.slots.queue
        self.pools = {
            one.name: pool.Pool(
                self.members[one.name], data_share(one.connections, rank), self.slots.pump
            )
            for one in declaration.members
        }
        self.rounds = rounds.Rounds(self.members, self.quorum, self.last_contact, self.counters)
        self.confirmations = confirmations.Confirmations(self.members, self.quorum, self.counters)
        self.position_waits = position_waits.PositionWaits(self._is_applied)
        self.primary_signal = waits.Signal()
        self._contacts: dict[str, float] = {}
        self._primary: str | None = None
        self._last_primary: str | None = None
        self._term = 0
        self._promised = 0
        self._denied: tuple[str, int] | None = None
        self._seeker: asyncio.Task[None] | None = None
        self._prober: asyncio.Task[None] | None = None
        self._waiting_reads = 0

    @property
    def primary(self) -> str | None:
        """The primary of the highest promised term, None if there is none."""
        return self._primary if self._term >= self._promised else None

    @property
    def last_primary(self) -> str | None:
        """The primary before the current change, or the current one; None if none was known."""
        return self._last_primary

    @property
    def term(self) -> int:
        """The term of the last known primary."""
        return self._term

    def warm_up(self) -> None:
        """Asks for the first reports and opens connections for the members' slots."""
        for one in self.declaration.members:
            self.pools[one.name].keep_warm(one.slots)
        self._seek()

    def last_contact(self, name: str) -> float | None:
        """Returns the instant of a member's last answer of any kind."""
        return self._contacts.get(name)

    def note_contact(self, name: str) -> None:
        """Takes the news that a member answered just now."""
        self._contacts[name] = self._loop.time()
        self.router.record_reachable(name)

    def heard(self, name: str, promised_term: int) -> None:
        """Takes an answer of any kind from a member.

        Args:
          name: The member's declared name.
          promised_term: The promised term in the answer.
        """
        self.note_contact(name)
        self._promised = max(self._promised, promised_term)

    def record_executed(self, name: str, reply: members.Executed) -> None:
        """Takes the position in a reply as evidence about the member's log."""
        if reply.promised_term == reply.position.term:
            self.quorum.record_acceptance(name, reply.position)
            self._infer_primary(name, reply.position)
        self.confirmations.accepted(name, reply.position)
        self.confirmations.evidence_arrived()

    def deny_primary(self, name: str, term: int) -> None:
        """Stops the use of a primary that refused its term, until it reports again."""
        self._denied = (name, term)
        self.refresh_primary()

    def refresh_primary(self) -> None:
        """Takes the primary from the evidence and acts on a change."""
        self._promised = max(self._promised, self.quorum.promised_term)
        name = self.quorum.primary
        term = self.quorum.promised_term
        if name is None or term < self._promised or (name, term) == self._denied:
            self._primary = None
            return
        if self._primary == name and self._term == term:
            return
        self._primary, self._term = name, term
        if self._last_primary is not None and self._last_primary != name:
            self.pools[self._last_primary].forget()
        self._last_primary = name
        self.confirmations.primary_changed(term)
        self.primary_signal.wake()
        self.slots.pump()

    async def is_silent(self, name: str, silence_s: float, deadline: float) -> bool:
        """Tells whether a member has answered nothing for a time and does not do so now."""
        asked_at = self._loop.time()
        if self._contacts.get(name, -math.inf) >= asked_at - silence_s:
            return False
        try:
            async with asyncio.timeout_at(min(asked_at + SILENCE_CHECK_S, deadline)):
                self.quorum.record_report(await self.members[name].status(positions.ZERO, 0.0))
        except (interfaces.LinkLost, TimeoutError):
            return True
        return False

    def place_at_primary(self) -> str | None:
        """Returns the primary if it can take a new statement now, None otherwise."""
        if not self.is_ready():
            self._seek()
            return None
        primary = self.primary
        return primary if primary is not None and self.load(primary) < 1.0 else None

    def load(self, name: str) -> float:
        """Returns the used share of a member's slots; 1.0 or more without a free connection."""
        if not self.pools[name].available:
            return 1.0
        return self.admission.utilization(name)

    def is_ready(self) -> bool:
        """Tells whether the primary is known, and it and a majority have answered lately."""
        primary = self.primary
        horizon = self._loop.time() - CONTACT_S
        if primary is None or self._contacts.get(primary, -math.inf) < horizon:
            return False
        return self._has_majority()

    def refusal_before_send(self) -> outcomes.NotRun:
        """Returns the outcome of a request that was not sent by its deadline."""
        if self.is_ready():
            reason, detail = outcomes.NotRunReason.DEADLINE_BEFORE_SEND, "no slot in time"
        elif self._has_majority():
            reason, detail = outcomes.NotRunReason.NO_PRIMARY, "no primary answers"
        else:
            reason, detail = outcomes.NotRunReason.NO_MAJORITY, "no majority answers"
        return outcomes.NotRun(
            reason, detail, self.admission.expected_wait_s(admission.RequestClass.WRITE)
        )

    def advanced(self) -> None:
        """Lets go on what waits for the position of a replica."""
        self.position_waits.advanced()
        self.slots.pump()

    def read_waits(self) -> None:
        """Keeps status rounds going until read_waits_no_longer() was called as often."""
        self._waiting_reads += 1
        if self._prober is None:
            self._prober = self._loop.create_task(self._probe_loop())

    def read_waits_no_longer(self) -> None:
        """Ends the effect of one read_waits()."""
        self._waiting_reads -= 1

    def set_rank(self, rank: int) -> None:
        """Changes the connection shares to those of a rank."""
        self.admission.set_slots(self._usable_slots(rank))
        for one in self.declaration.members:
            self.pools[one.name].set_share(data_share(one.connections, rank))
        self.slots.pump()

    def close(self) -> None:
        """Ends background work and closes the connections."""
        for task in (self._seeker, self._prober):
            if task is not None:
                task.cancel()
        self.rounds.close()
        self.confirmations.close()
        for one in self.pools.values():
            one.close()

    def _is_applied(self, position: positions.Position) -> bool:
        return self.router.replica_has_applied(position, self._last_primary, self._loop.time())

    def _usable_slots(self, rank: int) -> dict[str, int]:
        """A slot without a connection is of no use."""
        return {
            one.name: min(one.slots, data_share(one.connections, rank))
            for one in self.declaration.members
        }

    def _reported(self, status: members.MemberStatus) -> None:
        """Acts on a member's report after it was recorded as evidence."""
        if status.member not in self.members:
            return
        self.heard(status.member, status.promised_term)
        if self._denied is not None and self._denied[0] == status.member:
            self._denied = None
        self.refresh_primary()
        if status.promised_term == status.last_log.term:
            self._infer_primary(status.member, status.last_log)
        self.confirmations.accepted(status.member, status.last_log)
        self.confirmations.evidence_arrived()
        if self.router.record_status(status):
            self.advanced()

    def _infer_primary(self, name: str, position: positions.Position) -> None:
        """Counts an entry that a replica accepted as accepted by the primary of its term too.

        Entries of a term originate from its primary, which has accepted each of them in that term
        before any replica could.
        """
        if position.term == self._term and self._primary is not None and self._primary != name:
            self.quorum.record_acceptance(self._primary, position)

    def _has_majority(self) -> bool:
        horizon = self._loop.time() - CONTACT_S
        recent = sum(instant >= horizon for instant in self._contacts.values())
        return recent >= quorum.majority(len(self.members))

    def _seek(self) -> None:
        if self._seeker is None:
            self._seeker = self._loop.create_task(self._seek_loop())

    async def _seek_loop(self) -> None:
        """Asks the members for their status while requests wait for a usable primary."""
        try:
            while True:
                await self.rounds.read_index(self._loop.time() + rounds.ROUND_TIMEOUT_S)
                if self.is_ready():
                    break
                await self.primary_signal.wait(self._loop.time() + SEEK_PAUSE_S)
                if not self._has_primary_waiters():
                    break
        finally:
            self._seeker = None
        self.slots.pump()

    def _has_primary_waiters(self) -> bool:
        lanes = (admission.RequestClass.TRANSACTION, admission.RequestClass.WRITE)
        return any(self.admission.class_depth(lane) for lane in lanes)

    async def _probe_loop(self) -> None:
        """Asks the members for their status while reads wait for a replica's position."""
        try:
            while self._waiting_reads:
                await self.rounds.read_index(self._loop.time() + rounds.ROUND_TIMEOUT_S)
                await asyncio.sleep(PROBE_PAUSE_S)
        finally:
            self._prober = None
