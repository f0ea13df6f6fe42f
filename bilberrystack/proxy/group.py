"""The owner role of one instance for one database group."""

import asyncio
import collections.abc

from loguru import logger

from bilberrystack.core import admission
from bilberrystack.core import declarations
from bilberrystack.core import outcomes
from bilberrystack.core import quorum
from bilberrystack.core import requests
from bilberrystack.proxy import counters
from bilberrystack.proxy import group_state
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import reads
from bilberrystack.proxy import transactions
from bilberrystack.proxy import waits
from bilberrystack.proxy import writes

# How long close() waits for running requests, in seconds. The deadlines of requests are usually
# shorter.
CLOSE_TIMEOUT_S = 30.0


class Group:
    """Runs the requests of one database group; see interfaces.GroupOwner.

    owner.Owner combines it with the supervisor of the group's primary.
    """

    __slots__ = (
        "_closed",
        "_idle_signal",
        "_in_flight",
        "_last_change",
        "_loop",
        "_rank",
        "_reads",
        "_state",
        "_transactions",
        "_writes",
    )

    def __init__(self, state: group_state.GroupState, instance_id: str, rank: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._rank = rank
        self._reads = reads.Reads(state)
        self._writes = writes.Writes(state)
        self._transactions = transactions.Transactions(state, self._writes, instance_id)
        self._last_change = ""
        self._closed = False
        self._in_flight = 0
        self._idle_signal = waits.Signal()

    @property
    def name(self) -> str:
        """The group's declared name."""
        return self._state.declaration.name

    @property
    def quorum(self) -> quorum.QuorumEvidence:
        """The evidence about terms and positions in the group."""
        return self._state.quorum

    @property
    def members(self) -> dict[str, interfaces.Member]:
        """The links to the members by name."""
        return self._state.members

    @property
    def connections(self) -> dict[str, int]:
        """The number of data connections to all members by state, "idle" or "leased"."""
        pools = self._state.pools.values()
        return {
            "idle": sum(pool.idle for pool in pools),
            "leased": sum(pool.leased for pool in pools),
        }

    @property
    def counters(self) -> counters.GroupCounters:
        """The counters of this owner."""
        return self._state.counters

    @property
    def rank(self) -> int:
        """The owner's rank, from 0."""
        return self._rank

    @property
    def open_transaction_count(self) -> int:
        """The number of open transactions at this owner."""
        return self._transactions.open_count

    async def execute(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request and returns its outcome by the deadline. Raises only when cancelled."""
        if self._closed:
            detail = "this instance no longer serves the group"
            outcome: outcomes.Outcome = outcomes.NotRun(outcomes.NotRunReason.LEAVING, detail)
            self._count_outcome(outcome)
            return outcome
        self._in_flight += 1
        try:
            outcome = await self._dispatch(request)
        except Exception:
            logger.exception(
                "group {}: request {} failed with an internal error; outcome unknown",
                self.name,
                request.key,
            )
            detail = "internal error of the proxy"
            outcome = outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, detail)
        finally:
            self._in_flight -= 1
            if self._closed and not self._in_flight:
                self._idle_signal.notify()
        self._count_outcome(outcome)
        return outcome

    def last_contact(self, name: str) -> float | None:
        """Returns the instant of a member's last answer of any kind; None if it never answered."""
        return self._state.last_contact(name)

    def record_contact(self, name: str) -> None:
        """Records that a member answered just now."""
        self._state.record_contact(name)

    def hold_new_transactions(self) -> None:
        """Keeps new transactions in the queue, up to their deadlines."""
        self._state.slots.hold(admission.RequestClass.BEGIN)

    def hold_writes(self) -> None:
        """Keeps new writes in the queue, up to their deadlines."""
        self._state.slots.hold(admission.RequestClass.WRITE)

    def hold_new_work(self) -> None:
        """Keeps new writes and transactions in the queue, up to their deadlines."""
        self.hold_new_transactions()
        self.hold_writes()

    def resume_held_work(self) -> None:
        """Ends the hold on new writes and transactions."""
        self._state.slots.resume()

    def primary_changed(self) -> None:
        """Updates the primary from the evidence and notifies all waits for a new primary."""
        self._state.refresh_primary()
        self._state.primary_signal.notify()
        self._state.slots.grant_waiting()

    def record_primary_change(self, text: str) -> None:
        """Stores a description of the last primary change, for operators."""
        self._last_change = text

    def set_rank(self, rank: int) -> None:
        """Changes the owner's rank, which determines its connection share."""
        self._rank = rank
        self._state.set_rank(rank)

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Sets the addresses of leaving endpoints, which reads avoid."""
        self._state.router.set_leaving_addresses(addresses)
        self._state.slots.grant_waiting()

    def view(self) -> interfaces.GroupView:
        """Returns this owner's view of the group."""
        state = self._state
        return interfaces.GroupView(
            group=self.name,
            rank=self._rank,
            primary=state.primary,
            term=state.quorum.promised_term,
            confirmed=state.quorum.confirmed,
            members=tuple(self._member_view(name) for name in state.members),
            queue_depth=state.admission.depth,
            in_flight=state.admission.in_flight,
            open_transactions=self._transactions.open_count,
            last_change=self._last_change,
        )

    async def close(self) -> None:
        """Ends the owner role.

        Refuses new requests, waits up to CLOSE_TIMEOUT_S for running ones, and aborts open
        transactions.
        """
        self._closed = True
        self._transactions.abort_idle()
        close_deadline = self._loop.time() + CLOSE_TIMEOUT_S
        while self._in_flight and self._loop.time() < close_deadline:
            await self._idle_signal.wait(close_deadline)
        self._transactions.close()
        self._state.close()

    async def _dispatch(self, request: requests.GroupRequest) -> outcomes.Outcome:
        match request.kind:
            case requests.Kind.READ:
                return await self._reads.run(request)
            case requests.Kind.WRITE | requests.Kind.IDEMPOTENT_WRITE:
                return await self._writes.run(request)
            case requests.Kind.BEGIN:
                return await self._transactions.begin(request)
            case requests.Kind.STATEMENT:
                return await self._transactions.statement(request)
            case requests.Kind.COMMIT:
                return await self._transactions.commit(request)
            case requests.Kind.ABORT:
                return await self._transactions.abort(request)
            case requests.Kind.RESOLVE:
                return await self._writes.resolve(request)

    def _count_outcome(self, outcome: outcomes.Outcome) -> None:
        group_counters = self._state.counters
        match outcome:
            case outcomes.Answer(duplicate=True):
                group_counters.duplicates += 1
            case outcomes.NotRun(reason):
                group_counters.refusals[reason.name] += 1
            case outcomes.Unknown(reason):
                group_counters.unknowns[reason.name] += 1

    def _member_view(self, name: str) -> interfaces.MemberView:
        contact_time = self._state.last_contact(name)
        age_s = None if contact_time is None else self._loop.time() - contact_time
        return interfaces.MemberView(name, self._state.quorum.latest_status(name), age_s)


def open_group(
    declaration: declarations.GroupDeclaration,
    member_links: collections.abc.Mapping[str, interfaces.Member],
    instance_id: str,
    failure_domain: str,
    rank: int,
) -> Group:
    """Starts the owner role for a group. Must be called with a running event loop.

    Args:
      declaration: The group's declaration.
      member_links: Links to the group's members, by declared name. Closing the owner does not close
        them.
      instance_id: The instance's id, which is the prefix of transaction ids.
      failure_domain: The instance's failure domain.
      rank: The owner's rank, from 0.
    Returns:
      The owner, to be closed at the end of the role.
    """
    state = group_state.GroupState(declaration, member_links, failure_domain, rank)
    state.warm_up()
    return Group(state, instance_id, rank)
