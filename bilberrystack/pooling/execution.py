"""Runs one statement at a member: choice, preparation, retries and confirmation.

A statement is sent anew only if its answer promises that nothing ran, or if it only reads.
"""

import asyncio
import dataclasses
import hashlib
from typing import Protocol

import loguru

from bilberrystack.pooling import counters
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.routing import admission
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="execution")

# Part of a statement's time limit that it may wait for a member; the rest is for its run.
WAIT_PART = 0.85

# Times that a read is sent anew after an answer that says that it ran and failed, or was lost.
READ_RETRIES = 2

# Times that a statement is sent anew after answers that promise that it did not run.
NOT_RUN_RETRIES = 6


# Pause before a statement goes to the same member again that has just turned it away, and the limit
# of the pause, which doubles. A full queue moves on by a statement each few milliseconds.
BUSY_PAUSE_S = 0.02
MAX_BUSY_PAUSE_S = 0.16

# A read whose answer takes longer than this, and than several usual service times, is sent to a
# second member: lost answers and dead members show in nothing else.
HEDGE_S = 0.12
HEDGE_X = 5.0

# Least pause between two looks at a read that waits.
HEDGE_STEP_S = 0.005

# Second sendings for each read on average, and how many may be saved up.
HEDGE_PART = 0.1
HEDGE_BUDGET = 10.0


class Untrusted(Exception):
    """The primary can't be confirmed, so the statement was not sent."""


class NotPrepared(Exception):
    """A connection could not be brought to the session's values; the statement did not run."""


@dataclasses.dataclass(slots=True)
class Shape:
    """A prepared statement."""

    access: statements.Access
    text: str

    @property
    def name(self) -> str:
        """The name that it has at members, the same for all sessions."""
        digest = hashlib.blake2s(f"{self.access.value} {self.text}".encode(), digest_size=8)
        return f"p{digest.hexdigest()}"


@dataclasses.dataclass(slots=True)
class Work:
    """A read or a write of a client, or the end of a transaction.

    Attributes:
      id: The client's id.
      text: What the member is sent.
      access: What it does.
      shape: The prepared statement that it runs; None for another one.
      arrived_at_s: When the request was read.
      route: The database.
      values: The session's values.
      mark: The session's last write; None if there is none.
    """

    id: str
    text: str
    access: statements.Access
    shape: Shape | None
    arrived_at_s: float
    route: model.Route
    values: dict[str, str]
    mark: freshness.LastWritePosition | None

    @property
    def primary(self) -> bool:
        """Whether only the primary may run it."""
        reads = self.access is statements.Access.READ
        return not reads or self.route.consistency is model.Consistency.PRIMARY

    @property
    def ends_at_s(self) -> float:
        """When its time limit is over."""
        return self.arrived_at_s + self.route.timeout_s

    @property
    def wait_until_s(self) -> float:
        """How long it may wait for a member."""
        return self.arrived_at_s + self.route.timeout_s * WAIT_PART

    @property
    def ask_again_until_s(self) -> float:
        """Until when it goes again to members that were too busy for it."""
        return admission.retry_until_s(self.arrived_at_s, self.route.latency_objective_s)


@dataclasses.dataclass(slots=True)
class Trace:
    """How a request was decided, for its log line.

    Attributes:
      member: Where it ran last, empty if nowhere.
      term: The term of the primary that was relied on, 0 for none.
      after: The position that the member's log had to have, empty for none.
      after_age_ms: How old the knowledge of that position was.
      waited_ms: How long it waited for connections.
      sent: How often it was sent to a member.
      confirmed: What an answer of the primary rests on: a grant, a round, or nothing.
      cause: Why it was refused or sent anew last, empty if it was not.
    """

    member: str = ""
    term: int = 0
    after: str = ""
    after_age_ms: int = 0
    waited_ms: int = 0
    sent: int = 0
    confirmed: str = ""
    cause: str = ""

    def fields(self) -> dict[str, str | int]:
        """Returns the fields by name, for a log line or another instance."""
        return dataclasses.asdict(self)

    def update(self, fields: dict[str, str | int]) -> None:
        """Takes the fields of another instance's trace; unknown ones are left out."""
        for name, value in fields.items():
            if hasattr(self, name):
                setattr(self, name, value)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a client is told.

    Attributes:
      rows: The lines of the result, as received.
      done: The line that proves the result; None if there is none.
      failure: Why there is no result; None if there is one.
      reply: The member's last answer; None if none came.
      leader: The primary that an answer rests on; None for replicas.
    """

    rows: tuple[bytes, ...] = ()
    done: bytes | None = None
    failure: statements.Failure | None = None
    reply: statements.Reply | None = None
    leader: permission.Leader | None = None


def failed(code: statements.ErrorCode, text: str, reply: statements.Reply | None = None) -> Outcome:
    """Returns the outcome of a statement without a result."""
    return Outcome(failure=statements.Failure(code, text), reply=reply)


def from_member(found: statements.Failure, reply: statements.Reply) -> Outcome:
    """Returns the outcome of a statement that a member has refused or failed."""
    return failed(found.code, "at the member", reply)


def primary_need(work: Work) -> group.Need:
    """Returns the need of a statement that only the primary may run."""
    return group.Need(
        primary=True,
        give_up_at_s=work.wait_until_s,
        patience_s=admission.max_wait_s(work.route.latency_objective_s),
        priority=work.route.priority,
        values=work.values,
    )


def busy_pause_s(tries: int) -> float:
    """Returns the pause after a number of tries that a busy member has turned away."""
    return float(min(MAX_BUSY_PAUSE_S, BUSY_PAUSE_S * 2 ** (tries - 1)))


def too_busy(found: statements.Failure, need: group.Need) -> bool:
    """Tells whether a statement was turned away by the last member that may serve it."""
    return found.code is statements.ErrorCode.BUSY and (need.primary or not need.avoid)


def _turned_away(reply: statements.Reply | None) -> bool:
    """Tells whether a member was too busy for a statement of a transaction that is still open."""
    return (
        reply is not None
        and reply.failure is not None
        and reply.failure.code is statements.ErrorCode.BUSY
        and reply.state is statements.TransactionState.TRANSACTION
    )


class Runner(Protocol):
    """Runs single statements of a group, here or at an owner."""

    async def run_read(self, work: Work, trace: Trace) -> Outcome: ...
    async def run_write(self, work: Work, trace: Trace) -> Outcome: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How one sending of a read ended.

    Attributes:
      link: Where it succeeded; None if it failed.
      reply: The answer of success; None if it failed.
      outcome: What the client is told if nothing better comes; None if it did not run.
      again: Whether another sending may help, for a success if it can't be confirmed.
    """

    link: member_link.MemberLink | None
    reply: statements.Reply | None
    outcome: Outcome | None
    again: bool


@dataclasses.dataclass(slots=True)
class Attempts:
    """The sendings of one read."""

    running: set[asyncio.Task[Ended]] = dataclasses.field(default_factory=set)
    started: int = 0
    reruns: int = 0
    hedged: bool = False
    member: str = ""
    due_at_s: float | None = None

    def due_in_s(self, now_s: float) -> float:
        """Returns how long the last sending may still take before it counts as overdue."""
        return HEDGE_S if self.due_at_s is None else self.due_at_s - now_s

    def overdue(self, now_s: float) -> bool:
        """Tells whether the last sending has reached a member and takes unusually long."""
        return self.due_at_s is not None and now_s >= self.due_at_s

    def may_start(self, now_s: float, work: Work) -> bool:
        """Tells whether the read may be sent once more."""
        return (
            self.started <= NOT_RUN_RETRIES + READ_RETRIES
            and self.reruns <= READ_RETRIES
            and now_s < work.wait_until_s
        )

    def cancel(self) -> None:
        """Gives up the sendings that still run; their connections wait for the answers."""
        for task in self.running:
            task.cancel()


class Executor:
    """Runs statements at the members of a group."""

    __slots__ = ("_budget", "_clock", "_counters", "_dialect", "group")

    def __init__(
        self,
        served: group.Group,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        counted: counters.Counters,
    ) -> None:
        self.group = served
        self._budget = HEDGE_BUDGET
        self._dialect = dialect
        self._clock = clock
        self._counters = counted

    async def needed(self, work: Work, trace: Trace) -> group.Need:
        """Returns what a read needs of a member by its route and session.

        A read for which no position is young enough goes to the primary, whose answer is confirmed.
        """
        need = primary_need(work)
        max_age_s = work.route.max_age_s
        if max_age_s is None or work.route.consistency is model.Consistency.PRIMARY:
            return need
        sample = self._sample(work, max_age_s)
        if sample is None and await self.group.confirmation.sample_primary():
            sample = self._sample(work, max_age_s)
        if sample is None:
            return need
        need.primary = False
        need.after = sample.position
        need.after_age_s = self._clock() - sample.request_sent_at_s
        trace.after = str(sample.position)
        trace.after_age_ms = round(need.after_age_s * 1000)
        return need

    def _sample(self, work: Work, max_age_s: float) -> freshness.Sample | None:
        history = self.group.history
        by_age = history.sample_for_age(self._clock(), max_age_s)
        if by_age is None or work.mark is None:
            return by_age
        if work.route.consistency is not model.Consistency.OWN_WRITES:
            return by_age
        by_mark = history.sample_for_last_write(work.mark)
        if by_mark is None:
            return None
        return max(by_age, by_mark, key=lambda one: one.position)

    async def acquire(self, need: group.Need, trace: Trace) -> member_link.MemberLink:
        """Waits for a connection.

        Raises:
          Untrusted: It would be one to a primary that can't be confirmed.
          group.Unavailable: None came in time.
        """
        began_at_s = self._clock()
        try:
            link = await self._acquire_trusted(need)
        finally:
            waited_s = self._clock() - began_at_s
            trace.waited_ms += round(waited_s * 1000)
            kind = "primary" if need.primary else "any"
            self._counters.wait_seconds.observe({"kind": kind}, waited_s)
        trace.member = link.member.id
        return link

    async def _acquire_trusted(self, need: group.Need) -> member_link.MemberLink:
        """Waits for a connection; that to a primary only while its answers can be confirmed."""
        while True:
            # A change of primary is waited for; afterwards a grant is likely there.
            checked = need.after is not None or self.group.permission.change_in_progress
            if not checked and not await self.group.confirmation.trust():
                raise Untrusted("the primary can't be confirmed, come back in 1 s")
            link = await self.group.acquire(need)
            if need.after is not None or self.group.confirmation.trusted_now():
                return link
            self.group.release(link)

    async def prepare(
        self, link: member_link.MemberLink, values: dict[str, str], shape: Shape | None
    ) -> None:
        """Brings a connection to a session's values and prepares a statement on it.

        Raises:
          NotPrepared: The member refused, or the connection ended. The connection is closed.
        """
        queries = []
        if not link.values.keys() <= values.keys():
            queries.append(self._dialect.reset())
            link.values.clear()
            link.prepared.clear()
        changed = {name: one for name, one in values.items() if link.values.get(name) != one}
        queries += [self._dialect.set_value(name, one) for name, one in changed.items()]
        missing = shape is not None and shape.name not in link.prepared
        if shape is not None and missing:
            queries.append(self._dialect.prepare(shape.name, shape.access, shape.text))
        if not queries:
            return
        try:
            replies = await link.run_all(queries)
        except member_link.Lost as error:
            raise NotPrepared(str(error)) from error
        if any(reply.failure is not None for reply in replies):
            link.close()
            raise NotPrepared("the member refused a value or a statement")
        link.values.update(changed)
        if shape is not None and missing:
            link.prepared.add(shape.name)

    async def run_read(self, work: Work, trace: Trace) -> Outcome:
        """Runs a single read; one that waits long for its answer is sent to a second member too."""
        need = await self.needed(work, trace)
        attempts = Attempts()
        self._budget = min(HEDGE_BUDGET, self._budget + HEDGE_PART)
        outcome = failed(statements.ErrorCode.BUSY, "no member was free")
        try:
            self._start_read(attempts, work, need, trace)
            while attempts.running:
                timeout_s = work.ends_at_s - self._clock()
                if self._may_hedge(attempts, need):
                    timeout_s = min(timeout_s, max(HEDGE_STEP_S, attempts.due_in_s(self._clock())))
                done, _ = await asyncio.wait(
                    attempts.running,
                    timeout=max(0.0, timeout_s),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done and self._clock() >= work.ends_at_s:
                    return failed(statements.ErrorCode.TIMEOUT, "no answer in time")
                if not done and attempts.overdue(self._clock()):
                    self._hedge(attempts, work, need, trace)
                for task in done:
                    attempts.running.discard(task)
                    ended = task.result()
                    if ended.reply is not None:
                        outcome = await self._read_done(ended, need, trace)
                        if outcome.failure is None:
                            return outcome
                        attempts.reruns += 1
                    elif ended.outcome is not None:
                        outcome = ended.outcome
                    if ended.again and attempts.may_start(self._clock(), work):
                        self._start_read(attempts, work, need, trace)
        finally:
            attempts.cancel()
        return outcome

    def _start_read(self, attempts: "Attempts", work: Work, need: group.Need, trace: Trace) -> None:
        attempts.started += 1
        task = asyncio.get_running_loop().create_task(self._read_once(work, need, trace, attempts))
        attempts.running.add(task)

    def _may_hedge(self, attempts: "Attempts", need: group.Need) -> bool:
        return bool(
            not need.primary
            and not attempts.hedged
            and self._budget >= 1
            and len(self.group.pools) > 1
        )

    def _hedge(self, attempts: "Attempts", work: Work, need: group.Need, trace: Trace) -> None:
        """Sends a read to a second member, because the first has not answered for long."""
        attempts.hedged = True
        self._budget -= 1
        need.avoid.add(attempts.member)
        if self.group.has_way(need):
            self._again(trace, "no answer yet")
            self._start_read(attempts, work, need, trace)

    async def _read_once(
        self, work: Work, need: group.Need, trace: Trace, attempts: "Attempts"
    ) -> "Ended":
        """Sends a read to one member."""
        link = None
        try:
            link = await self.acquire(need, trace)
            attempts.member = link.member.id
            one = self.group.pools.get(link.member.id)
            usual_s = 0.0 if one is None else one.service_s
            attempts.due_at_s = self._clock() + max(HEDGE_S, HEDGE_X * usual_s)
            reply = await self._send(link, work, need, trace)
        except (group.Unavailable, Untrusted) as error:
            trace.cause = str(error)
            return Ended(None, None, failed(statements.ErrorCode.BUSY, str(error)), again=False)
        except NotPrepared as error:
            self._again(trace, str(error))
            return Ended(None, None, None, again=True)
        except member_link.Lost as error:
            self._again(trace, str(error))
            attempts.reruns += 1
            outcome = failed(statements.ErrorCode.FAILED, "the connection to the member ended")
            return Ended(None, None, outcome, again=True)
        if reply is None:
            return Ended(
                None, None, failed(statements.ErrorCode.TIMEOUT, "no answer in time"), False
            )
        if reply.failure is None:
            return Ended(link, reply, None, again=True)
        attempts.reruns += reply.failure.code not in statements.NOT_RUN
        self.learn(reply.failure, link, need, trace)
        if too_busy(reply.failure, need):
            attempts.due_at_s = None
            await asyncio.sleep(busy_pause_s(attempts.started))
            if not self.may_ask_again(work):
                return Ended(None, None, from_member(reply.failure, reply), again=False)
        return Ended(None, None, from_member(reply.failure, reply), again=True)

    async def _send(
        self, link: member_link.MemberLink, work: Work, need: group.Need, trace: Trace
    ) -> statements.Reply | None:
        """Sends a single statement and gives the connection back.

        Raises:
          NotPrepared: The statement did not run.
          member_link.Lost: It may have run.
        """
        try:
            await self.prepare(link, work.values, work.shape)
        except asyncio.CancelledError:
            link.close()
            self.group.release(link)
            raise
        except NotPrepared:
            self.group.release(link)
            raise
        query = self._dialect.query(work.id, work.text, need.after)
        trace.sent += 1
        try:
            reply = await self.group.run(link, query, work.ends_at_s - self._clock())
        except member_link.Lost:
            self.group.release(link)
            raise
        if reply is not None:
            self.group.release(link)
        return reply

    async def _read_done(self, ended: "Ended", need: group.Need, trace: Trace) -> Outcome:
        link, reply = ended.link, ended.reply
        assert link is not None and reply is not None
        trace.member = link.member.id
        one = self.group.pools.get(link.member.id)
        leader = self.group.permission.leader
        at_primary = leader is not None and leader.member == link.member.id
        if one is not None and need.after is not None:
            one.has()
        self._counters.reads.inc({"role": "primary" if at_primary else "replica"})
        outcome = Outcome(reply.rows, reply.done, None, reply, leader if at_primary else None)
        if need.after is not None or await self.confirmed(link, reply, trace):
            return outcome
        return failed(statements.ErrorCode.FAILED, "the primary could not be confirmed", reply)

    async def confirmed(
        self, link: member_link.MemberLink, reply: statements.Reply, trace: Trace
    ) -> bool:
        """Tells whether an answer came from the primary before any promotion.

        Args:
          link: Where the statement ran.
          reply: The answer.
          trace: Takes what the answer rests on.
        """
        leader = self.group.permission.leader
        if leader is None or leader.member != link.member.id:
            trace.confirmed = "none"
        elif self.group.permission.valid_at(leader, reply.received_at_s):
            trace.confirmed = "grant"
        elif await self.group.confirmation.confirm(leader):
            trace.confirmed = "round"
        else:
            trace.confirmed = "none"
        trace.term = 0 if leader is None else leader.term
        self._counters.confirmations.inc({"by": trace.confirmed})
        return trace.confirmed != "none"

    async def run_write(self, work: Work, trace: Trace) -> Outcome:
        """Runs a single write. It is sent anew only after a promise that it did not run."""
        need = primary_need(work)
        outcome = failed(statements.ErrorCode.BUSY, "no primary was free")
        while trace.sent <= NOT_RUN_RETRIES:
            try:
                link = await self.acquire(need, trace)
                reply = await self._send(link, work, need, trace)
            except (group.Unavailable, Untrusted) as error:
                trace.cause = str(error)
                return outcome
            except NotPrepared as error:
                self._again(trace, str(error))
                continue
            except member_link.Lost as error:
                trace.cause = str(error)
                return failed(
                    statements.ErrorCode.UNKNOWN_OUTCOME, "the connection to the member ended"
                )
            if reply is None:
                return failed(statements.ErrorCode.UNKNOWN_OUTCOME, "no answer in time")
            if reply.failure is None:
                return await self.write_done(link, reply, trace)
            outcome = from_member(reply.failure, reply)
            if reply.failure.code not in statements.NOT_RUN:
                return outcome
            self.learn(reply.failure, link, need, trace)
            busy = reply.failure.code is statements.ErrorCode.BUSY
            if self._clock() >= work.wait_until_s or (busy and not self.may_ask_again(work)):
                return outcome
            await asyncio.sleep(busy_pause_s(trace.sent))
        return outcome

    async def run_pinned(
        self, link: member_link.MemberLink, query: bytes, ends_at_s: float, trace: Trace
    ) -> statements.Reply | None:
        """Runs a statement inside a transaction, again while the member is too busy for it.

        What the transaction has done so far would be lost with it, and its client would begin anew.

        Args:
          link: The transaction's connection.
          query: The encoded statement.
          ends_at_s: When the statement's time limit is over.
          trace: Takes how often it was sent.
        Returns:
          The answer; None if it did not come in time.
        Raises:
          member_link.Lost: The connection ended; the statement may have run.
        """
        tries = 0
        while True:
            tries += 1
            trace.sent += 1
            reply = await self.group.run(link, query, ends_at_s - self._clock())
            pause_s = busy_pause_s(tries)
            if not _turned_away(reply) or self._clock() + pause_s >= ends_at_s:
                return reply
            self._again(trace, statements.ErrorCode.BUSY.value)
            await asyncio.sleep(pause_s)

    async def write_done(
        self, link: member_link.MemberLink, reply: statements.Reply, trace: Trace
    ) -> Outcome:
        """Returns the outcome of a write that a member has committed."""
        leader = self.group.permission.leader
        if await self.confirmed(link, reply, trace):
            return Outcome((), reply.done, None, reply, leader)
        return failed(
            statements.ErrorCode.UNKNOWN_OUTCOME, "the primary may have been replaced", reply
        )

    def may_ask_again(self, work: Work) -> bool:
        """Tells whether a statement may go again to a member that was too busy for it."""
        return self._clock() < work.ask_again_until_s

    def learn(
        self,
        found: statements.Failure,
        link: member_link.MemberLink,
        need: group.Need,
        trace: Trace,
    ) -> None:
        """Takes what a member's refusal says of it."""
        self._again(trace, found.code.value)
        one = self.group.pools.get(link.member.id)
        match found.code:
            case statements.ErrorCode.BEHIND:
                if one is not None:
                    one.lacks(need.after_age_s)
                need.avoid.add(link.member.id)
            case statements.ErrorCode.READ_ONLY:
                self.learn_deposed(link)
            case statements.ErrorCode.NO_STATEMENT:
                link.prepared.clear()
            case _:
                need.avoid.add(link.member.id)
        if not need.primary and not self.group.has_way(need):
            need.avoid.clear()
            if found.code is statements.ErrorCode.BEHIND:
                # No replica has the position; the primary always does.
                need.primary = True

    def learn_deposed(self, link: member_link.MemberLink) -> None:
        """Takes that a member doesn't lead any more."""
        leader = self.group.permission.leader
        if leader is not None and leader.member == link.member.id:
            self.group.permission.record_step_down(leader)
            self.group.on_lost(link.member.id)

    def _again(self, trace: Trace, cause: str) -> None:
        trace.cause = cause
        self._counters.retries.inc({"cause": cause if len(cause) < 20 else "lost"})
