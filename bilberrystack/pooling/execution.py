"""Runs one statement at a member: choice of the member, preparation, retries and confirmation.

A statement is sent again only if its answer guarantees that nothing ran, or if it only reads.
"""

import asyncio
import collections.abc
import dataclasses
import hashlib
from typing import Protocol

import loguru

from bilberrystack.admission import queueing
from bilberrystack.admission import waiting
from bilberrystack.core import positions
from bilberrystack.pooling import confirmation
from bilberrystack.pooling import counters
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import quota_gate
from bilberrystack.quotas import shares
from bilberrystack.routing import answers
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="execution")

# Maximum number of times that a read is sent again after it ran and failed, or its answer was lost.
MAX_READ_RETRIES = 2

# Maximum number of times that a statement is sent again after answers which guarantee that it did
# not run.
MAX_NOT_RUN_RETRIES = 6

# Initial back-off before a statement is sent again to a busy member that has rejected it, and the
# limit of the back-off, which doubles. A member with a full queue completes a statement every few
# milliseconds.
BUSY_BACKOFF_S = 0.02
MAX_BUSY_BACKOFF_S = 0.16

# A read whose answer takes longer than both this time and this multiple of the member's usual
# service time is also sent to a second member: nothing else reveals lost answers and dead members.
MIN_HEDGE_DELAY_S = 0.12
HEDGE_DELAY_FACTOR = 5.0

# Minimum interval between two checks whether a waiting read is overdue.
MIN_HEDGE_CHECK_INTERVAL_S = 0.005

# Hedged reads allowed per read on average, and the number that may accumulate.
HEDGES_PER_READ = 0.1
MAX_HEDGE_BUDGET = 10.0


# Why an operation is refused that its account's quota has no room for.
QUOTA_REASON = "the account has used up its quota"


class PrimaryNotConfirmable(Exception):
    """The primary can't be confirmed, so the statement was not sent."""


class PreparationFailed(Exception):
    """A connection could not be prepared for the session; the statement did not run."""


@dataclasses.dataclass(slots=True)
class PreparedStatement:
    """A prepared statement of a session.

    Attributes:
      access: Whether it reads or writes.
      text: The statement as the client prepared it.
    """

    access: statements.Access
    text: str

    @property
    def name(self) -> str:
        """The name under which members know it, the same for all sessions."""
        digest = hashlib.blake2s(f"{self.access.value} {self.text}".encode(), digest_size=8)
        return f"p{digest.hexdigest()}"


@dataclasses.dataclass(slots=True)
class Request:
    """A read or a write of a client, or the commit of a transaction.

    Attributes:
      id: The id that the client chose.
      text: The statement as it is sent to the member.
      access: Whether the statement reads or writes.
      prepared_statement: The prepared statement that it executes; None if it executes none.
      arrived_at_s: Instant at which the request was read, in seconds of the instance's clock.
      route: The route of the session's database.
      values: The session's values.
      last_write: Position of the session's last write; None if it has written nothing.
      account: Name of the client account that the statement runs under; empty for none.
      charge: The count of its operation against the account's quota; None before it.
    """

    id: str
    text: str
    access: statements.Access
    prepared_statement: PreparedStatement | None
    arrived_at_s: float
    route: model.Route
    values: dict[str, str]
    last_write: freshness.LastWritePosition | None
    account: str = ""
    charge: quota_gate.Charge | None = None

    @property
    def primary_only(self) -> bool:
        """Whether only the primary may run the statement."""
        reads = self.access is statements.Access.READ
        return not reads or self.route.consistency is model.Consistency.PRIMARY

    @property
    def deadline_s(self) -> float:
        """Instant at which the statement's time limit ends."""
        return self.arrived_at_s + self.route.timeout_s

    @property
    def wait_deadline_s(self) -> float:
        """Instant until which the statement may wait for a member."""
        return self.arrived_at_s + self.route.timeout_s * waiting.WAIT_DEADLINE_FRACTION


@dataclasses.dataclass(slots=True)
class Trace:
    """How a request was processed, for its log line.

    Attributes:
      member: Id of the last member that the request had a connection to, empty for none.
      term: Term of the primary that the outcome relies on, 0 for none.
      after: The position that the member's log had to contain, empty for none.
      after_age_ms: How long ago the primary was known to have that position.
      waited_ms: Total time that the request waited for connections.
      sent: How often the statement was sent to a member.
      confirmed: How an answer of the primary was confirmed: grant, round or none.
      grant_token: Fencing token of the coordinator whose grant confirmed it, 0 for none.
      grant_change: Number of the primary change that preceded that grant, -1 for none.
      grant_left_ms: For how long the grant was still valid when the answer arrived, -1 for none.
      round_age_ms: How long before the confirmation the round that confirmed it began, -1 for none.
      round_asked: Ids of the members that the round asked, separated by spaces, empty for none.
      position: The log position that the member showed in that answer, empty for none.
      reported: The role and the term that the member last reported on the connection of that
        answer, empty if it has reported none.
      connection_age_ms: Age of that connection when the answer arrived, -1 for none.
      leaving_ms: How long that member is known to be leaving, -1 if it isn't.
      cause: The last reason why the request was rejected or sent again, empty for none.
    """

    member: str = ""
    term: int = 0
    after: str = ""
    after_age_ms: int = 0
    waited_ms: int = 0
    sent: int = 0
    confirmed: str = ""
    grant_token: int = 0
    grant_change: int = -1
    grant_left_ms: int = -1
    round_age_ms: int = -1
    round_asked: str = ""
    position: str = ""
    reported: str = ""
    connection_age_ms: int = -1
    leaving_ms: int = -1
    cause: str = ""

    def record_confirmation(
        self,
        now_s: float,
        grant: tuple[permission.ChangeNumber, float] | None = None,
        completed_round: confirmation.Round | None = None,
    ) -> None:
        """Set what confirmed an answer, in place of what confirmed an earlier attempt's.

        Args:
          now_s: The current time.
          grant: The grant's number, and how long it was still valid when the answer arrived.
          completed_round: The round, if no grant confirmed the answer.
        """
        self.confirmed = "none" if grant is None and completed_round is None else "round"
        self.grant_token, self.grant_change, self.grant_left_ms = 0, -1, -1
        self.round_age_ms, self.round_asked = -1, ""
        if grant is not None:
            (self.grant_token, self.grant_change), left_s = grant
            self.confirmed, self.grant_left_ms = "grant", round(left_s * 1000)
        elif completed_round is not None:
            self.round_age_ms = round((now_s - completed_round.began_at_s) * 1000)
            self.round_asked = completed_round.asked

    def fields(self) -> dict[str, str | int]:
        """Return the fields by name, for a log line or another instance."""
        return dataclasses.asdict(self)

    def update(self, fields: dict[str, str | int]) -> None:
        """Set the fields from another instance's trace; unknown ones are ignored."""
        for name, value in fields.items():
            if hasattr(self, name):
                setattr(self, name, value)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result or the failure that is reported to the client.

    Attributes:
      rows: The lines of the result, as received.
      done: The line that proves the result; None if there is no result.
      failure: Why there is no result; None if there is one.
      reply: The member's last answer; None if none arrived.
      leader: The primary that the answer relies on; None for answers of replicas.
    """

    rows: tuple[bytes, ...] = ()
    done: bytes | None = None
    failure: statements.Failure | None = None
    reply: statements.Reply | None = None
    leader: permission.Leader | None = None


def failure_outcome(
    code: statements.ErrorCode, text: str, reply: statements.Reply | None = None
) -> Outcome:
    """Return the outcome of a statement without a result.

    Args:
      code: The error code.
      text: The error text for the client.
      reply: The member's last answer; None if none arrived.
    """
    return Outcome(failure=statements.Failure(code, text), reply=reply)


def member_failure_outcome(failure: statements.Failure, reply: statements.Reply) -> Outcome:
    """Return the outcome of a statement that a member has rejected or failed to run.

    Args:
      failure: The failure that the member reported.
      reply: The member's answer.
    """
    return failure_outcome(failure.code, "at the member", reply)


def quota_outcome(refused: shares.Refused, trace: Trace) -> Outcome:
    """Return the outcome of an operation that the quota of its account has no room for.

    Args:
      refused: The refusal.
      trace: Records the cause.
    """
    trace.cause = QUOTA_REASON
    text = f"{QUOTA_REASON}, come back in {max(0.1, refused.retry_after_s):.1f} s"
    return failure_outcome(statements.ErrorCode.BUSY, text)


def primary_requirements(
    request: Request, accounts_enabled: bool = False, *, transaction: bool = False
) -> group.Requirements:
    """Return the requirements of a statement that only the primary may run.

    Args:
      request: The statement.
      accounts_enabled: Whether the statement's group serves client accounts.
      transaction: Whether the statement is the first one of a transaction.
    """
    route = request.route
    access = queueing.Access.TRANSACTION
    if not transaction:
        reads = request.access is statements.Access.READ
        access = queueing.Access.READ if reads else queueing.Access.WRITE
    return group.Requirements(
        primary_only=True,
        deadline_s=request.wait_deadline_s,
        max_wait_s=waiting.max_wait_s(route.latency_objective_s, route.timeout_s, accounts_enabled),
        priority=route.priority,
        values=request.values,
        account=request.account,
        kind=queueing.Kind(route.database, access),
        arrived_at_s=request.arrived_at_s,
        objective_at_s=request.arrived_at_s + route.latency_objective_s,
        waits_long=waiting.waits_long(route.latency_objective_s, route.timeout_s, accounts_enabled),
    )


def busy_backoff_s(attempts: int) -> float:
    """Return the delay before the next attempt at a busy member.

    Args:
      attempts: Number of attempts so far.
    Returns:
      The delay in seconds.
    """
    return float(min(MAX_BUSY_BACKOFF_S, BUSY_BACKOFF_S * 2 ** (attempts - 1)))


def rejected_by_last_candidate(
    failure: statements.Failure, requirements: group.Requirements
) -> bool:
    """Return whether a busy member rejected a statement that no other member may run."""
    return failure.code is statements.ErrorCode.BUSY and (
        requirements.primary_only or not requirements.excluded_members
    )


def _shows_position(reply: statements.Reply, required: positions.Position | None) -> bool:
    """Return whether the log of the member that answered has a required position."""
    return required is None or (reply.position is not None and reply.position >= required)


def _rejected_as_busy(reply: statements.Reply | None) -> bool:
    """Return whether a busy member rejected a statement of a transaction that is still open."""
    return (
        reply is not None
        and reply.failure is not None
        and reply.failure.code is statements.ErrorCode.BUSY
        and reply.state is statements.TransactionState.TRANSACTION
    )


class Runner(Protocol):
    """Runs single statements of a group, at its members or at an owner of the group."""

    async def run_read(self, request: Request, trace: Trace) -> Outcome: ...
    async def run_write(self, request: Request, trace: Trace) -> Outcome: ...


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt to run a read ended.

    Attributes:
      link: The connection on which it succeeded; None if it failed.
      reply: The answer of a successful attempt; None if it failed.
      outcome: The outcome to report if no other attempt succeeds; None if the read did not run.
      retryable: Whether another attempt may help; after a success, if it can't be confirmed.
    """

    link: member_link.MemberLink | None
    reply: statements.Reply | None
    outcome: Outcome | None
    retryable: bool


@dataclasses.dataclass(slots=True)
class ReadAttempts:
    """The attempts to run one read.

    Attributes:
      running: Tasks of the attempts that have not ended.
      started: Number of attempts that were started.
      executions: Number of failed attempts in which the read ran or may have run.
      hedged: Whether the read was sent to a second member because of a slow answer.
      last_member: Id of the member that the read was last sent to, empty for none.
      overdue_at_s: Instant at which the last attempt becomes overdue; None if it has no connection.
    """

    running: set[asyncio.Task[AttemptResult]] = dataclasses.field(default_factory=set)
    started: int = 0
    executions: int = 0
    hedged: bool = False
    last_member: str = ""
    overdue_at_s: float | None = None

    def time_until_overdue_s(self, now_s: float) -> float:
        """Return how much longer the last attempt may take before it is overdue, in seconds."""
        return MIN_HEDGE_DELAY_S if self.overdue_at_s is None else self.overdue_at_s - now_s

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the last attempt has reached a member and takes unusually long."""
        return self.overdue_at_s is not None and now_s >= self.overdue_at_s

    def may_start(self, now_s: float, request: Request) -> bool:
        """Return whether another attempt may be started."""
        return (
            self.started <= MAX_NOT_RUN_RETRIES + MAX_READ_RETRIES
            and self.executions <= MAX_READ_RETRIES
            and now_s < request.wait_deadline_s
        )

    def cancel(self) -> None:
        """Cancel the running attempts; their connections return to the pool after the answers."""
        for task in self.running:
            task.cancel()


class Executor:
    """Runs statements at the members of a group. Implements Runner.

    Attributes:
      group: The group.
      quota: Counts the operations of accounts.
    """

    __slots__ = ("_clock", "_dialect", "_hedge_budget", "_metrics", "group", "quota")

    def __init__(
        self,
        served_group: group.Group,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        metrics: counters.Counters,
        *,
        quota: quota_gate.QuotaGate | None = None,
    ) -> None:
        """Create an executor.

        Args:
          served_group: The group.
          dialect: The members' protocol.
          clock: Returns the current time in seconds.
          metrics: Receives the counts of reads, retries, confirmations and waits.
          quota: Counts the operations of accounts; None for no limits.
        """
        self.quota = quota_gate.QuotaGate(clock, metrics) if quota is None else quota
        self.group = served_group
        self._hedge_budget = MAX_HEDGE_BUDGET
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics

    def primary_requirements(
        self, request: Request, *, transaction: bool = False
    ) -> group.Requirements:
        """Return the requirements of a statement that only the primary may run.

        Args:
          request: The statement.
          transaction: Whether the statement is the first one of a transaction.
        """
        return primary_requirements(request, self.group.accounts_enabled, transaction=transaction)

    async def read_requirements(
        self, request: Request, trace: Trace, *, transaction: bool = False
    ) -> group.Requirements:
        """Return what a read requires of a member, by its route and session.

        If no known position is recent enough, or if the statement has no room for one, the read
        goes to the primary, whose answer is confirmed.

        Args:
          request: The read.
          trace: Records the required position.
          transaction: Whether the read is the first statement of a transaction.
        """
        requirements = self.primary_requirements(request, transaction=transaction)
        max_age_s = request.route.max_age_s
        if max_age_s is None or request.route.consistency is model.Consistency.PRIMARY:
            return requirements
        if not self._dialect.has_room_for_position(request.id, request.text):
            return requirements
        sample = self._required_sample(request, max_age_s)
        if sample is None and await self.group.confirmation.sample_primary():
            sample = self._required_sample(request, max_age_s)
        if sample is None:
            return requirements
        requirements.primary_only = False
        requirements.min_position = sample.position
        requirements.min_position_age_s = self._clock() - sample.request_sent_at_s
        trace.after = str(sample.position)
        trace.after_age_ms = round(requirements.min_position_age_s * 1000)
        return requirements

    def _required_sample(self, request: Request, max_age_s: float) -> freshness.Sample | None:
        """Return the position that a replica must have; None if no known one is sufficient."""
        history = self.group.history
        by_age = history.sample_for_age(self._clock(), max_age_s)
        if by_age is None or request.last_write is None:
            return by_age
        if request.route.consistency is not model.Consistency.OWN_WRITES:
            return by_age
        by_last_write = history.sample_for_last_write(request.last_write)
        if by_last_write is None:
            return None
        return max(by_age, by_last_write, key=lambda sample: sample.position)

    async def acquire(
        self, requirements: group.Requirements, trace: Trace
    ) -> member_link.MemberLink:
        """Wait for a connection.

        Args:
          requirements: What the statement requires of the member.
          trace: Records the member and the wait.
        Returns:
          The connection, which the caller returns with `Group.release`.
        Raises:
          PrimaryNotConfirmable: Only the primary may run the statement, and it can't be
            confirmed.
          group.Unavailable: No connection became available in time.
        """
        began_at_s = self._clock()
        try:
            link = await self._acquire_confirmable(requirements)
        finally:
            waited_s = self._clock() - began_at_s
            trace.waited_ms += round(waited_s * 1000)
            kind = "primary" if requirements.primary_only else "any"
            self._metrics.wait_seconds.observe({"kind": kind}, waited_s)
        trace.member = link.member.id
        self._trace_leaving(link.member.id, trace)
        return link

    def _trace_leaving(self, member_id: str, trace: Trace) -> None:
        """Record for how long a member that is about to run a statement has been leaving."""
        member_pool = self.group.pools.get(member_id)
        if member_pool is None or member_pool.leaving_since_s is None:
            trace.leaving_ms = -1
            return
        trace.leaving_ms = round((self._clock() - member_pool.leaving_since_s) * 1000)
        self._metrics.statements_to_leaving.inc({})

    async def _acquire_confirmable(
        self, requirements: group.Requirements
    ) -> member_link.MemberLink:
        """Wait for a connection; use the primary only while its answers can be confirmed.

        A connection to the primary has to show that its process leads the group.
        """
        attempts = 0
        while True:
            # During a primary change the request waits for its end; the new primary is then likely
            # to be named by a grant.
            skip_check = (
                requirements.min_position is not None or self.group.permission.change_in_progress
            )
            if not skip_check and not await self.group.confirmation.check_primary():
                raise PrimaryNotConfirmable("the primary can't be confirmed, come back in 1 s")
            link = await self.group.acquire(requirements)
            if requirements.min_position is not None:
                # The member checks its log itself.
                return link
            if not self.group.confirmation.recently_confirmed():
                self.group.release(link)
                continue
            attempts += 1
            match await self.group.verify_lead(link, requirements.deadline_s - self._clock()):
                case group.LeadCheck.LEADS:
                    return link
                case group.LeadCheck.NOT_LEADING:
                    self.group.release(link)
                case group.LeadCheck.BUSY | group.LeadCheck.APPLYING:
                    self.group.release(link)
                    await self._await_busy_primary(requirements, attempts)
                case group.LeadCheck.NO_ANSWER:
                    pass
            if attempts > MAX_NOT_RUN_RETRIES or self._clock() >= requirements.deadline_s:
                raise group.Unavailable("the primary does not show that it leads")

    async def _await_busy_primary(self, requirements: group.Requirements, attempts: int) -> None:
        """Wait before a busy primary is asked again; raise Unavailable if that is too long."""
        backoff_s = busy_backoff_s(attempts)
        limit_s = min(requirements.deadline_s, requirements.enqueued_at_s + requirements.max_wait_s)
        if self._clock() + backoff_s >= limit_s:
            raise group.Unavailable("the primary is too busy, come back in 0.1 s")
        await asyncio.sleep(backoff_s)

    async def prepare(
        self,
        link: member_link.MemberLink,
        request: Request,
    ) -> None:
        """Set a session's values on a connection and prepare its statement there.

        Args:
          link: The connection.
          request: The request that is about to run.
        Raises:
          PreparationFailed: The member rejected a value or the statement, did not answer within the
            request's time limit, or the connection ended. The connection is closed.
        """
        values, prepared_statement = request.values, request.prepared_statement
        queries = []
        if not link.values.keys() <= values.keys():
            queries.append(self._dialect.encode_reset())
            link.values.clear()
            link.prepared_names.clear()
        changed = {name: value for name, value in values.items() if link.values.get(name) != value}
        queries += [self._dialect.encode_set_value(name, value) for name, value in changed.items()]
        missing = (
            prepared_statement is not None and prepared_statement.name not in link.prepared_names
        )
        if prepared_statement is not None and missing:
            queries.append(
                self._dialect.encode_prepare(
                    prepared_statement.name, prepared_statement.access, prepared_statement.text
                )
            )
        if not queries:
            return
        try:
            async with asyncio.timeout(max(0.0, request.deadline_s - self._clock())):
                replies = await link.run_all([(query, answers.PREPARATION) for query in queries])
        except member_link.Lost as error:
            raise PreparationFailed(str(error)) from error
        except TimeoutError as error:
            link.close()
            raise PreparationFailed("the member did not answer in time") from error
        if any(reply.failure is not None for reply in replies):
            link.close()
            raise PreparationFailed("the member refused a value or a statement")
        link.values.update(changed)
        if prepared_statement is not None and missing:
            link.prepared_names.add(prepared_statement.name)

    async def run_read(self, request: Request, trace: Trace) -> Outcome:
        """Run a single read; if its answer is slow, send it to a second member too.

        Args:
          request: The read.
          trace: Records how the read was processed.
        """
        return await self._run_counted(request, trace, self._run_read)

    async def _run_counted(
        self,
        request: Request,
        trace: Trace,
        run: collections.abc.Callable[
            [Request, Trace], collections.abc.Coroutine[None, None, Outcome]
        ],
    ) -> Outcome:
        """Run a single statement if the quota of its account has room for it."""
        charge = await self.quota.begin(request.account, request.wait_deadline_s)
        if isinstance(charge, shares.Refused):
            return quota_outcome(charge, trace)
        request.charge = charge
        try:
            return await run(request, trace)
        finally:
            self.quota.end(charge)

    async def _run_read(self, request: Request, trace: Trace) -> Outcome:
        requirements = await self.read_requirements(request, trace)
        attempts = ReadAttempts()
        self._hedge_budget = min(MAX_HEDGE_BUDGET, self._hedge_budget + HEDGES_PER_READ)
        outcome = failure_outcome(statements.ErrorCode.BUSY, "no member was free")
        try:
            self._start_attempt(attempts, request, requirements, trace)
            while attempts.running:
                timeout_s = request.deadline_s - self._clock()
                if self._may_hedge(attempts, requirements):
                    timeout_s = min(
                        timeout_s,
                        max(
                            MIN_HEDGE_CHECK_INTERVAL_S,
                            attempts.time_until_overdue_s(self._clock()),
                        ),
                    )
                done, _ = await asyncio.wait(
                    attempts.running,
                    timeout=max(0.0, timeout_s),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done and self._clock() >= request.deadline_s:
                    return failure_outcome(statements.ErrorCode.TIMEOUT, "no answer in time")
                if not done and attempts.is_overdue(self._clock()):
                    self._start_hedge(attempts, request, requirements, trace)
                for task in done:
                    attempts.running.discard(task)
                    result = task.result()
                    if result.reply is not None:
                        outcome = await self._finish_read(result, requirements, trace)
                        if outcome.failure is None:
                            return outcome
                        attempts.executions += 1
                    elif result.outcome is not None:
                        outcome = result.outcome
                    if result.retryable and attempts.may_start(self._clock(), request):
                        self._start_attempt(attempts, request, requirements, trace)
        finally:
            attempts.cancel()
        return outcome

    def _start_attempt(
        self,
        attempts: "ReadAttempts",
        request: Request,
        requirements: group.Requirements,
        trace: Trace,
    ) -> None:
        attempts.started += 1
        task = asyncio.get_running_loop().create_task(
            self._run_attempt(request, requirements, trace, attempts)
        )
        attempts.running.add(task)

    def _may_hedge(self, attempts: "ReadAttempts", requirements: group.Requirements) -> bool:
        return bool(
            not requirements.primary_only
            and not attempts.hedged
            and self._hedge_budget >= 1
            and len(self.group.pools) > 1
        )

    def _start_hedge(
        self,
        attempts: "ReadAttempts",
        request: Request,
        requirements: group.Requirements,
        trace: Trace,
    ) -> None:
        """Send a read to a second member because the first is slow to answer."""
        attempts.hedged = True
        if request.charge is not None and not self.quota.take_copy(request.charge):
            return
        self._hedge_budget -= 1
        requirements.excluded_members.add(attempts.last_member)
        if self.group.has_candidate(requirements):
            self._record_retry(trace, "no answer yet")
            self._start_attempt(attempts, request, requirements, trace)

    async def _run_attempt(
        self,
        request: Request,
        requirements: group.Requirements,
        trace: Trace,
        attempts: "ReadAttempts",
    ) -> "AttemptResult":
        """Send a read to one member."""
        link = None
        try:
            link = await self.acquire(requirements, trace)
            attempts.last_member = link.member.id
            member_pool = self.group.pools.get(link.member.id)
            usual_s = 0.0 if member_pool is None else member_pool.service_time_s
            attempts.overdue_at_s = self._clock() + max(
                MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * usual_s
            )
            reply = await self._send(link, request, requirements, trace)
        except (group.Unavailable, PrimaryNotConfirmable) as error:
            trace.cause = str(error)
            return AttemptResult(
                None, None, failure_outcome(statements.ErrorCode.BUSY, str(error)), retryable=False
            )
        except PreparationFailed as error:
            self._record_retry(trace, str(error))
            return AttemptResult(None, None, None, retryable=True)
        except member_link.Lost as error:
            self._record_retry(trace, str(error))
            attempts.executions += 1
            outcome = failure_outcome(
                statements.ErrorCode.FAILED, "the connection to the member ended"
            )
            return AttemptResult(None, None, outcome, retryable=True)
        if reply is None:
            return AttemptResult(
                None,
                None,
                failure_outcome(statements.ErrorCode.TIMEOUT, "no answer in time"),
                False,
            )
        if reply.failure is None and _shows_position(reply, requirements.min_position):
            return AttemptResult(link, reply, None, retryable=True)
        if reply.failure is None:
            # A member that compares positions without their terms serves the read from a log that
            # a promotion has cut off.
            behind = statements.Failure(statements.ErrorCode.BEHIND, "shown by the answer")
            attempts.executions += 1
            self.apply_failure(behind, link, requirements, trace)
            return AttemptResult(
                None,
                None,
                failure_outcome(statements.ErrorCode.FAILED, "the member's log is behind", reply),
                retryable=True,
            )
        attempts.executions += reply.failure.code not in statements.NOT_RUN
        self.apply_failure(reply.failure, link, requirements, trace)
        if rejected_by_last_candidate(reply.failure, requirements):
            attempts.overdue_at_s = None
            await asyncio.sleep(busy_backoff_s(attempts.started))
            if not self.may_retry_busy(request):
                return AttemptResult(
                    None, None, member_failure_outcome(reply.failure, reply), retryable=False
                )
        return AttemptResult(
            None, None, member_failure_outcome(reply.failure, reply), retryable=True
        )

    async def _send(
        self,
        link: member_link.MemberLink,
        request: Request,
        requirements: group.Requirements,
        trace: Trace,
    ) -> statements.Reply | None:
        """Send a single statement and release the connection.

        Raises:
          PreparationFailed: The statement did not run.
          member_link.Lost: The statement may have run.
        """
        charge = request.charge
        if charge is not None and not self.quota.renew(charge):
            self.group.release(link)
            raise group.Unavailable(QUOTA_REASON)
        try:
            await self.prepare(link, request)
        except (asyncio.CancelledError, PreparationFailed):
            self.group.release(link)
            raise
        query = self._dialect.encode_query(request.id, request.text, requirements.min_position)
        trace.sent += 1
        if charge is not None:
            charge.runs += 1
        try:
            reply = await self.group.run(
                link, query, answers.of_access(request.access), request.deadline_s - self._clock()
            )
        except member_link.NotSent as error:
            if charge is not None:
                charge.runs -= 1
            self.group.release(link)
            raise PreparationFailed(str(error)) from error
        except member_link.Lost:
            self.group.release(link)
            raise
        if reply is not None:
            self.group.release(link)
            failure = reply.failure
            if charge is not None and failure is not None and failure.code in statements.NOT_RUN:
                charge.runs -= 1
        return reply

    async def _finish_read(
        self, result: "AttemptResult", requirements: group.Requirements, trace: Trace
    ) -> Outcome:
        """Return the outcome of a read that a member has answered, after any confirmation."""
        link, reply = result.link, result.reply
        assert link is not None and reply is not None
        trace.member = link.member.id
        member_pool = self.group.pools.get(link.member.id)
        leader = self.group.permission.leader
        at_primary = leader is not None and leader.member == link.member.id
        if member_pool is not None and requirements.min_position is not None:
            member_pool.record_present_position()
        self._metrics.reads.inc({"role": "primary" if at_primary else "replica"})
        outcome = Outcome(reply.rows, reply.done, None, reply, leader if at_primary else None)
        if requirements.min_position is not None or await self.confirm_answer(link, reply, trace):
            return outcome
        return failure_outcome(
            statements.ErrorCode.FAILED, "the primary could not be confirmed", reply
        )

    async def confirm_answer(
        self, link: member_link.MemberLink, reply: statements.Reply, trace: Trace
    ) -> bool:
        """Confirm that an answer was given by the primary before any promotion.

        Args:
          link: The connection on which the statement ran.
          reply: The answer.
          trace: Records how the answer was confirmed.
        Returns:
          Whether the answer is confirmed.
        """
        held = self.group.permission
        leader = held.leader
        if leader is None or not link.shows_lead_of(leader):
            trace.record_confirmation(self._clock())
        elif held.valid_at(leader, reply.received_at_s):
            left_s = held.grant_ends_at_s - reply.received_at_s
            trace.record_confirmation(self._clock(), (held.change_number, left_s))
        else:
            completed = await self.group.confirmation.confirming_round(leader)
            trace.record_confirmation(self._clock(), completed_round=completed)
        trace.term = 0 if leader is None else leader.term
        trace.position = "" if reply.position is None else str(reply.position)
        trace.reported = "" if link.reported is None else str(link.reported)
        trace.connection_age_ms = round((reply.received_at_s - link.opened_at_s) * 1000)
        self._metrics.confirmations.inc({"by": trace.confirmed})
        return trace.confirmed != "none"

    async def run_write(self, request: Request, trace: Trace) -> Outcome:
        """Run a single write; send it again only if it is guaranteed not to have run.

        Args:
          request: The write.
          trace: Records how the write was processed.
        """
        return await self._run_counted(request, trace, self._run_write)

    async def _run_write(self, request: Request, trace: Trace) -> Outcome:
        requirements = self.primary_requirements(request)
        outcome = failure_outcome(statements.ErrorCode.BUSY, "no primary was free")
        # A preparation that fails each time counts, too: each attempt costs a connection.
        for _ in range(MAX_NOT_RUN_RETRIES + 1):
            try:
                link = await self.acquire(requirements, trace)
                reply = await self._send(link, request, requirements, trace)
            except (group.Unavailable, PrimaryNotConfirmable) as error:
                trace.cause = str(error)
                return outcome
            except PreparationFailed as error:
                self._record_retry(trace, str(error))
                continue
            except member_link.Lost as error:
                trace.cause = str(error)
                return failure_outcome(
                    statements.ErrorCode.UNKNOWN_OUTCOME, "the connection to the member ended"
                )
            if reply is None:
                return failure_outcome(statements.ErrorCode.UNKNOWN_OUTCOME, "no answer in time")
            if reply.failure is None:
                return await self.committed_outcome(link, reply, trace)
            outcome = member_failure_outcome(reply.failure, reply)
            if reply.failure.code not in statements.NOT_RUN:
                return outcome
            self.apply_failure(reply.failure, link, requirements, trace)
            busy = reply.failure.code is statements.ErrorCode.BUSY
            if self._clock() >= request.wait_deadline_s or (
                busy and not self.may_retry_busy(request)
            ):
                return outcome
            await asyncio.sleep(busy_backoff_s(trace.sent))
        return outcome

    async def run_pinned(
        self,
        link: member_link.MemberLink,
        query: bytes,
        expectation: answers.Expectation,
        deadline_s: float,
        trace: Trace,
        *,
        abandoned: collections.abc.Callable[[], bool],
    ) -> statements.Reply | None:
        """Run a statement inside a transaction, and again while the member is too busy for it.

        Rejecting it would discard the transaction's work so far, and the client would start over.

        Args:
          link: The transaction's connection.
          query: The encoded statement.
          expectation: What its answer can be.
          deadline_s: Instant at which the statement's time limit ends.
          trace: Records how often the statement was sent.
          abandoned: Returns whether the transaction is to be rolled back; the statement is not sent
            again in that case.
        Returns:
          The answer; None if it did not arrive in time.
        Raises:
          member_link.NotSent: The connection had ended before; the statement was not sent.
          member_link.Lost: The connection ended; the statement may have run.
        """
        attempts = 0
        while True:
            attempts += 1
            trace.sent += 1
            reply = await self.group.run(link, query, expectation, deadline_s - self._clock())
            backoff_s = busy_backoff_s(attempts)
            if not _rejected_as_busy(reply) or self._clock() + backoff_s >= deadline_s:
                return reply
            self._record_retry(trace, statements.ErrorCode.BUSY.value)
            await asyncio.sleep(backoff_s)
            if abandoned():
                return reply

    async def committed_outcome(
        self, link: member_link.MemberLink, reply: statements.Reply, trace: Trace
    ) -> Outcome:
        """Return the outcome of a write that a member has committed, after its confirmation.

        Args:
          link: The connection on which the write ran.
          reply: The member's answer.
          trace: Records how the answer was confirmed.
        """
        leader = self.group.permission.leader
        if await self.confirm_answer(link, reply, trace):
            return Outcome((), reply.done, None, reply, leader)
        return failure_outcome(
            statements.ErrorCode.UNKNOWN_OUTCOME, "the primary may have been replaced", reply
        )

    def may_retry_busy(self, request: Request) -> bool:
        """Return whether a statement may be sent again to a member that was too busy for it."""
        route = request.route
        return self._clock() < waiting.retry_until_s(
            request.arrived_at_s,
            route.latency_objective_s,
            route.timeout_s,
            self.group.accounts_enabled,
        )

    def apply_failure(
        self,
        failure: statements.Failure,
        link: member_link.MemberLink,
        requirements: group.Requirements,
        trace: Trace,
    ) -> None:
        """Update what is known of a member, and the requirements of a retry, after a failure.

        Args:
          failure: The failure that the member reported.
          link: The connection to the member.
          requirements: The statement's requirements, which are updated.
          trace: Records the cause of the retry.
        """
        self._record_retry(trace, failure.code.value)
        member_pool = self.group.pools.get(link.member.id)
        match failure.code:
            case statements.ErrorCode.BEHIND:
                if member_pool is not None:
                    member_pool.record_missing_position(requirements.min_position_age_s)
                requirements.excluded_members.add(link.member.id)
            case statements.ErrorCode.READ_ONLY:
                self.record_step_down(link)
            case statements.ErrorCode.NO_STATEMENT:
                link.prepared_names.clear()
            case _:
                requirements.excluded_members.add(link.member.id)
        if not requirements.primary_only and not self.group.has_candidate(requirements):
            requirements.excluded_members.clear()
            if failure.code is statements.ErrorCode.BEHIND:
                # No replica has the position; the primary always does.
                requirements.primary_only = True

    def record_step_down(self, link: member_link.MemberLink) -> None:
        """Record that a member has reported that it is not the primary.

        A process that has lost the lead of an earlier term may lead the present one.
        """
        leader = self.group.permission.leader
        if leader is not None and link.shows_lead_of(leader):
            self.group.record_step_down(leader, statements.ErrorCode.READ_ONLY.value)

    def _record_retry(self, trace: Trace, cause: str) -> None:
        trace.cause = cause
        self._metrics.retries.inc({"cause": cause if len(cause) < 20 else "lost"})
