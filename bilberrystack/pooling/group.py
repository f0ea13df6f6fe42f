"""One database group as this instance sees it: members, primary, positions and who waits."""

import asyncio
import collections.abc
import dataclasses
import itertools
import math

import loguru

from bilberrystack.core import positions
from bilberrystack.pooling import confirmation
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import pool
from bilberrystack.pooling import tasks
from bilberrystack.routing import admission
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import owners
from bilberrystack.routing import permission
from bilberrystack.routing import placement
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="group")

# Connections beyond the fair share that an instance may open while the member accepts them, for
# transactions that hold one while their client thinks.
EXTRA_LINKS = 1

# An unanswered question to a member ends after this time.
STATUS_TIMEOUT_S = 0.6

# How long the rollback of a left transaction is awaited.
ROLLBACK_TIMEOUT_S = 1.0

# How long an answer is awaited beyond its statement's time limit; then its connection is closed. An
# answer that was lost never comes, and its connection counts toward the member's limit.
LATE_S = 0.3

# An answer that has not come after this time puts its member under suspicion: a bare connection
# then tells a slow member from a dead one. Statements take 5 to 55 ms.
SUSPECT_S = 0.3

# Time for that bare connection.
LOOK_S = 0.3

# Priority of questions to members: before all requests of clients, whose priorities start at 0.
CONTROL_PRIORITY = -2


class Unavailable(Exception):
    """No connection could be had in time; nothing ran."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclasses.dataclass(slots=True)
class Need:
    """What a statement needs of a member.

    Attributes:
      primary: Whether only the primary may run it.
      after: The position that the member's log must have; None for any.
      after_age_s: How long ago the primary is known to have had that position.
      avoid: Members that have turned it away.
      only: The one member that is asked; None for any.
      priority: Lower goes first.
      give_up_at_s: When it is turned away if it still waits.
      patience_s: How long it waits for members that are busy.
      values: The session's values, for the choice of a connection.
      asked_at_s: When it began to wait; `Group.acquire` sets it.
    """

    primary: bool
    give_up_at_s: float
    patience_s: float = math.inf
    after: positions.Position | None = None
    after_age_s: float = 0.0
    avoid: set[str] = dataclasses.field(default_factory=set)
    only: str | None = None
    priority: int = 0
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    asked_at_s: float = 0.0


# A request that waits: its priority, its number in the order of arrival, what it needs, its turn.
Waiting = tuple[int, int, Need, "asyncio.Future[member_link.MemberLink]"]


class Group:
    """The members of one group, the connections to them and the requests that wait."""

    __slots__ = (
        "_caller",
        "_clock",
        "_dialect",
        "_domain",
        "_order",
        "_owners",
        "_pools",
        "_tasks",
        "_waiting",
        "_wake",
        "confirmation",
        "history",
        "missing",
        "on_lost",
        "owned",
        "permission",
        "relay",
        "service",
    )

    def __init__(
        self,
        *,
        service: model.Service,
        domain: str,
        caller: str,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        running: tasks.Tasks,
    ) -> None:
        self.service = service
        self.permission = permission.Permission()
        self.history = freshness.PositionHistory()
        self.relay: model.Endpoint | None = None
        self.missing: frozenset[str] = frozenset()
        self.on_lost: collections.abc.Callable[[str], None] = lambda _: None
        self._domain = domain
        self._caller = caller
        self._dialect = dialect
        self._clock = clock
        self._tasks = running
        self._pools: dict[str, pool.MemberPool] = {}
        self._waiting: list[Waiting] = []
        self._order = itertools.count()
        self._owners = 1
        self.owned = True
        self._wake: asyncio.TimerHandle | None = None
        self.confirmation = confirmation.Confirmation(self, dialect, clock, running)

    @property
    def pools(self) -> collections.abc.Mapping[str, pool.MemberPool]:
        """The members' pools by id."""
        return self._pools

    @property
    def waiting(self) -> int:
        """Requests that wait for a connection."""
        return len(self._waiting)

    @property
    def share(self) -> int:
        """Connections that this instance holds to each member when all instances do the same."""
        return owners.connections_per_owner(self.service.max_connections, self._owners)

    def update(
        self,
        service: model.Service,
        members: collections.abc.Iterable[model.Member],
        missing: frozenset[str],
    ) -> None:
        """Takes the group's members.

        Args:
          service: The group as declared.
          members: Its members, with those whose entries have just left the store.
          missing: The ids of the latter.
        """
        self.service = service
        self.missing = missing
        current = {member.id: member for member in members}
        for gone in self._pools.keys() - current.keys():
            self._pools.pop(gone).close()
        for member in current.values():
            known = self._pools.get(member.id)
            if known is not None and _reborn(known.member, member):
                _LOG.info("member started anew, its connections close", member=member.id)
                known.close()
                known = None
            if known is None:
                self._pools[member.id] = pool.MemberPool(member, self._clock)
            else:
                known.member = member
        self._observe_roles()
        self.dispatch()

    def set_owners(self, count: int, owned: bool) -> None:
        """Takes how many instances share the members' connections, and whether this one does."""
        self._owners = count
        self.owned = owned

    def _observe_roles(self) -> None:
        """Takes the primary that the store names, where nothing better is known."""
        if self.permission.leader is not None:
            return
        named = [one for one in self._pools.values() if one.member.role is model.Role.PRIMARY]
        if len(named) == 1:
            self.permission.observe(
                permission.Leader(named[0].member.id, confirmation.UNKNOWN_TERM)
            )

    def close(self) -> None:
        """Closes all connections and turns away what waits."""
        for one in self._pools.values():
            one.close()
        self._pools.clear()
        for _, _, _, future in self._waiting:
            if not future.done():
                future.set_exception(Unavailable("the database group is gone"))
        self._waiting.clear()

    async def acquire(self, need: Need) -> member_link.MemberLink:
        """Waits for a connection to a member that can run a statement.

        Args:
          need: What the statement needs.
        Returns:
          The connection, which the caller gives back with `release`.
        Raises:
          Unavailable: None came in time.
        """
        future: asyncio.Future[member_link.MemberLink] = asyncio.get_running_loop().create_future()
        need.asked_at_s = self._clock()
        entry = (need.priority, next(self._order), need, future)
        self._waiting.append(entry)
        self._waiting.sort(key=lambda one: one[:2])
        self.dispatch()
        if future.done():
            return future.result()
        try:
            self._admit(entry)
            return await self._wait(need, future)
        except TimeoutError:
            if future.done() and not future.cancelled() and future.exception() is None:
                return future.result()
            raise Unavailable(self._why_unavailable(need)) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.exception() is None:
                self.release(future.result())
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
            if not future.done():
                future.cancel()

    def _admit(self, entry: Waiting) -> None:
        """Lets a statement wait, or raises TimeoutError if its turn would come too late.

        A refusal at once lets the client try elsewhere while its objective can still be met.
        """
        need = entry[2]
        if not self._is_busy(need):
            return
        able = self._candidates(need)
        ahead = sum(one[:2] < entry[:2] and one[2].only is None for one in self._waiting)
        links = sum(one.size for one in able)
        hold_s = max(one.service_s for one in able)
        if admission.expected_wait_s(ahead, links, hold_s) > need.patience_s:
            raise TimeoutError

    async def _wait(
        self, need: Need, future: asyncio.Future[member_link.MemberLink]
    ) -> member_link.MemberLink:
        """Waits for a connection; raises TimeoutError if none came in time."""
        while True:
            left_s = need.give_up_at_s - self._clock()
            done, _ = await asyncio.wait({future}, timeout=max(0.0, min(left_s, need.patience_s)))
            if done:
                return future.result()
            if left_s <= need.patience_s or self._is_busy(need):
                raise TimeoutError

    def _is_busy(self, need: Need) -> bool:
        """Tells whether members could run a statement, but all connections to them are taken."""
        now_s = self._clock()
        share = self.share + EXTRA_LINKS
        able = [one for one in self._candidates(need) if one.connected]
        return bool(able) and not any(one.may_grow(share, now_s) for one in able)

    def _why_unavailable(self, need: Need) -> str:
        if need.primary and not self._leading():
            return "no primary at present"
        if self._is_busy(need):
            return "all connections to members are taken, come back in 0.1 s"
        return "no free connection to a member that can run it"

    def _leading(self) -> pool.MemberPool | None:
        leader = self.permission.leader
        return None if leader is None else self._pools.get(leader.member)

    def shut_out(self, primary: bool) -> bool:
        """Tells whether the members accept no connection of this instance, for they have too many.

        After a loss of power the connections of before linger at the members for 3 s, and only some
        instances get a new one. Without a grant an answer is confirmed by all members.

        Args:
          primary: Whether only the primary will do.
        """
        now_s = self._clock()
        leading, leader = self._leading(), self.permission.leader
        granted = leader is not None and self.permission.valid_at(leader, now_s)
        if not granted:
            return any(one.shut_out(now_s) for one in self._pools.values())
        if primary:
            return leading is not None and leading.shut_out(now_s)
        return all(one.shut_out(now_s) for one in self._pools.values())

    def _turn_away_shut_out(self) -> None:
        """Turns away what waits for members that accept no connection; others may have one."""
        now_s = self._clock()
        for _, _, need, future in self._waiting:
            able = self._candidates(need)
            if future.done() or need.only is not None or not able:
                continue
            if all(one.shut_out(now_s) for one in able):
                future.set_exception(Unavailable("the members have too many connections"))

    def has_way(self, need: Need) -> bool:
        """Tells whether any member could run a statement now, busy or not."""
        return bool(self._candidates(need))

    def _candidates(self, need: Need) -> list[pool.MemberPool]:
        if need.only is not None:
            found = self._pools.get(need.only)
            return [] if found is None else [found]
        leading = self._leading()
        if need.primary:
            if leading is None or self.permission.change_in_progress or leading.sight.suspect:
                return []
            return [leading]
        able = [
            one
            for one in self._pools.values()
            if not one.member.leaving and one.member.id not in need.avoid
        ]
        if need.after is not None:
            able = [
                one for one in able if one is leading or one.may_have(need.after, need.after_age_s)
            ]
        return [one for one in able if not one.sight.suspect] or able

    def dispatch(self) -> None:
        """Gives free connections to the requests that wait, and opens connections for others."""
        now_s = self._clock()
        left = []
        for entry in self._waiting:
            _, _, need, future = entry
            if future.done():
                continue
            link = self._assign(need, now_s)
            if link is None:
                left.append(entry)
            else:
                future.set_result(link)
        self._waiting = left
        if left and self._wake is None:
            # Addresses that refused are tried again, and limits that were reached may have eased.
            loop = asyncio.get_running_loop()
            self._wake = loop.call_later(pool.RETRY_OPEN_S, self._dispatch_again)

    def _dispatch_again(self) -> None:
        self._wake = None
        self.dispatch()

    def _assign(self, need: Need, now_s: float) -> member_link.MemberLink | None:
        candidates = self._candidates(need)
        leading = self._leading()
        control = need.only is not None
        free = {one.member.id: links for one in candidates if (links := one.idle(control))}
        loads = [
            one.load(self._domain, one is leading) for one in candidates if one.member.id in free
        ]
        best = placement.choose(loads, prefer_replicas=not need.primary)
        if best is not None:
            link = pool.pick(free[best], need.values)
            assert link is not None
            link.in_use = True
            return link
        share = self.share + EXTRA_LINKS
        waited_s = now_s - need.asked_at_s
        openable = [one for one in candidates if one.may_open(share, waited_s, now_s)]
        best = placement.choose(
            [one.load(self._domain, one is leading) for one in openable],
            prefer_replicas=not need.primary,
        )
        if best is not None and self._pools[best].opening < self._demand(best):
            self._open(self._pools[best])
        return None

    def _demand(self, member: str) -> int:
        """Returns how many connections to a member may be opened at a time."""
        return max(1, self._pools[member].member.slots // 2)

    def _open(self, one: pool.MemberPool) -> None:
        one.opening += 1
        self._tasks.start(self._open_link(one))

    def warm(self, count: int) -> None:
        """Opens connections ahead of requests, and closes those beyond the fair share.

        Connections within the share stay open: a new one takes a member's slot for 12 ms, as long
        as a statement does.

        Args:
          count: How many connections to each member are opened ahead; an instance that doesn't own
            the group keeps none.
        """
        count = count if self.owned else 0
        keep = self.share if self.owned else 0
        now_s = self._clock()
        for one in self._pools.values():
            one.trim(keep, now_s)
            if one.size < count and one.may_open(count, 0.0, now_s) and not one.member.leaving:
                self._open(one)

    async def _open_link(self, one: pool.MemberPool) -> None:
        now_s = self._clock()
        through = self.relay if now_s < one.relayed_until_s else None
        try:
            link = await member_link.open_link(
                one.member, through, self._caller, self._dialect, self._clock
            )
        except member_link.LinkFailure as failure:
            one.failed_to_open(failure)
            self._turn_away_shut_out()
            if isinstance(failure, member_link.Unreachable):
                one.relayed_until_s = (
                    self._clock() + pool.RELAY_S if through is None else float("-inf")
                )
            _LOG.info(
                "no connection to a member",
                member=one.member.id,
                through=str(through or "direct"),
                failure=type(failure).__name__,
                detail=str(failure),
            )
        else:
            if self._pools.get(one.member.id) is one:
                one.add(link)
            else:
                link.close()
        finally:
            one.opening -= 1
        self.dispatch()

    def release(self, link: member_link.MemberLink) -> None:
        """Takes a connection back. One inside a transaction is rolled back first."""
        one = self._pools.get(link.member.id)
        if one is None or not link.usable:
            self._discard(link)
        elif link.state is not statements.TransactionState.IDLE:
            self._tasks.start(self._roll_back(link))
            return
        else:
            link.in_use = False
            link.rested_since_s = self._clock()
        self.dispatch()

    def _discard(self, link: member_link.MemberLink) -> None:
        one = self._pools.get(link.member.id)
        if one is None:
            link.close()
        else:
            one.discard(link)
        self.on_lost(link.member.id)

    async def _roll_back(self, link: member_link.MemberLink) -> None:
        try:
            async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                await link.run(self._dialect.rollback())
        except (member_link.Lost, TimeoutError):
            link.close()
        if link.state is not statements.TransactionState.IDLE:
            link.close()
        self.release(link)

    async def run(
        self, link: member_link.MemberLink, query: bytes, timeout_s: float
    ) -> statements.Reply | None:
        """Runs one statement on a connection.

        Args:
          link: A connection that the caller has acquired.
          query: The encoded statement.
          timeout_s: How long the answer is awaited.
        Returns:
          The answer; None if it did not come in time. The connection is then no longer the
          caller's: it comes back to the pool once the answer has arrived.
        Raises:
          member_link.Lost: The connection ended; the statement may have run.
        """
        one = self._pools.get(link.member.id)
        if one is not None:
            one.running += 1
        asked_at_s = self._clock()
        task = self._tasks.start(self._exchange(link, query, one))
        try:
            await asyncio.wait({task}, timeout=max(0.0, min(timeout_s, SUSPECT_S)))
            if not task.done() and timeout_s > SUSPECT_S:
                self._suspect(link.member.id)
                await asyncio.wait({task}, timeout=timeout_s - SUSPECT_S)
        except asyncio.CancelledError:
            # Another member has answered; this one may until the statement's time limit.
            left_s = asked_at_s + timeout_s - self._clock()
            self._tasks.start(self._drain(link, task, max(LATE_S, left_s)))
            raise
        if not task.done():
            self._tasks.start(self._drain(link, task, LATE_S))
            return None
        return task.result()

    def _suspect(self, member: str) -> None:
        """Looks at a member that has not answered for long."""
        one = self._pools.get(member)
        if one is not None and not one.sight.suspect:
            one.sight.suspect = True
            _LOG.info("member suspected", member=member, service=self.service.name)
            self._tasks.start(self.look(member))

    async def look(self, member: str) -> None:
        """Looks whether a member's address takes connections; its sight takes what is found."""
        one = self._pools.get(member)
        if one is None:
            return
        try:
            _, writer = await member_link.connect(one.member.endpoint, 64, LOOK_S)
        except member_link.LinkFailure as failure:
            one.failed_to_open(failure)
            self.on_lost(member)
            _LOG.info("member not reached", member=member, failure=type(failure).__name__)
        else:
            writer.close()
            one.contacted()
            self.dispatch()

    async def _exchange(
        self, link: member_link.MemberLink, query: bytes, one: pool.MemberPool | None
    ) -> statements.Reply:
        try:
            reply = await link.run(query)
        except member_link.Lost:
            self.on_lost(link.member.id)
            raise
        finally:
            if one is not None:
                one.running -= 1
        if one is not None:
            one.answered(reply)
            one.took(reply.received_at_s - reply.request_sent_at_s)
            self._sample(link, reply)
        return reply

    def _sample(self, link: member_link.MemberLink, reply: statements.Reply) -> None:
        """Keeps the position that the primary showed within a grant."""
        leader = self.permission.leader
        if leader is None or leader.member != link.member.id or reply.position is None:
            return
        if self.permission.valid_at(leader, reply.received_at_s):
            self.history.record(
                leader.term, freshness.Sample(reply.request_sent_at_s, reply.position)
            )

    async def _drain(
        self,
        link: member_link.MemberLink,
        task: asyncio.Task[statements.Reply],
        timeout_s: float,
    ) -> None:
        """Returns a connection whose answer is late to the pool after that answer.

        It is closed instead if the answer does not come in time.
        """
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done():
            link.close()
            await asyncio.wait({task})
        if not task.cancelled():
            task.exception()
        self.release(link)

    async def ask(
        self, member: str, query: bytes, timeout_s: float = STATUS_TIMEOUT_S
    ) -> statements.MemberStatus | None:
        """Asks a member for its status, or gives it an order that is answered with it.

        Args:
          member: The member's id.
          query: The encoded question.
          timeout_s: How long connection and answer are awaited.
        Returns:
          What the member says of itself; None if it did not say.
        """
        until_s = self._clock() + timeout_s
        known = self._pools.get(member)
        now_s = self._clock()
        if known is None or known.unreachable(now_s) or known.shut_out(now_s):
            return None
        need = Need(primary=False, give_up_at_s=until_s, only=member, priority=CONTROL_PRIORITY)
        try:
            link = await self.acquire(need)
            reply = await self.run(link, query, until_s - self._clock())
        except Unavailable:
            return None
        except member_link.Lost:
            self.release(link)
            return None
        if reply is None:
            return None
        self.release(link)
        found = self._dialect.parse_status(reply.rows[0]) if reply.rows else None
        one = self._pools.get(member)
        if one is not None and found is not None:
            one.sight.status = found
            one.sight.status_at_s = reply.request_sent_at_s
            if found.primary:
                self.observe(permission.Leader(member, found.term))
        return found

    def observe(self, leader: permission.Leader) -> None:
        """Takes a primary that says itself that it leads a term."""
        if self.permission.observe(leader):
            _LOG.info(
                "primary by a member's own word",
                service=self.service.name,
                member=leader.member,
                term=leader.term,
            )
            self.dispatch()


def _reborn(before: model.Member, after: model.Member) -> bool:
    return before.started_ms != after.started_ms or before.endpoint != after.endpoint
