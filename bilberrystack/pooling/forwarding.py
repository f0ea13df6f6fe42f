"""Forwards statements to an owner of the group, over one link per owner."""

import asyncio
import collections.abc
import contextlib
import itertools

import loguru
import msgspec

from bilberrystack.pooling import execution
from bilberrystack.pooling import frames
from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.pooling import turns
from bilberrystack.routing import model
from bilberrystack.routing import owners as owner_choice
from bilberrystack.routing import running_time
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="forwarding")

CONNECT_TIMEOUT_S = 0.3

# How long an owner that could not be reached, or whose link broke, is avoided.
AVOID_PERIOD_S = 2.0

# How long an owner's outcome is awaited beyond the statement's time limit, so that the owner's own
# time-out is received first.
ANSWER_MARGIN_S = 0.1


class OwnerUnavailable(Exception):
    """The owner could not be reached, or it declined; the statement did not run."""


class OwnerLink:
    """The link to one owner, which is opened when it is needed.

    A sequence number is used once, also over several connections.

    Attributes:
      avoid_until_s: Until when other owners are preferred, in seconds of the clock.
    """

    __slots__ = (
        "_clock",
        "_endpoint",
        "_open_lock",
        "_owner_stops",
        "_pending",
        "_running_time",
        "_sequence_numbers",
        "_tasks",
        "_writer",
        "avoid_until_s",
    )

    def __init__(
        self,
        endpoint: model.Endpoint,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
    ) -> None:
        """Create a link that is not open.

        Args:
          endpoint: The address where the owner serves other instances.
          clock: Returns the current time in seconds.
          background_tasks: Holds the task that receives outcomes.
          running: Time in which this process ran.
        """
        self._running_time = running
        self.avoid_until_s = float("-inf")
        self._endpoint = endpoint
        self._clock = clock
        self._tasks = background_tasks
        self._sequence_numbers = itertools.count(1)
        self._open_lock = asyncio.Lock()
        self._writer: asyncio.StreamWriter | None = None
        # Whether the owner begins nothing new on the present connection any more.
        self._owner_stops = False
        self._pending: dict[int, asyncio.Future[frames.ForwardedOutcome]] = {}

    @property
    def endpoint(self) -> model.Endpoint:
        """The address where the owner serves other instances."""
        return self._endpoint

    @property
    def pending_requests(self) -> int:
        """Number of requests without an outcome on the present connection."""
        return len(self._pending)

    def next_sequence_number(self) -> int:
        """Return a number that no other request or transaction of this link has."""
        return next(self._sequence_numbers)

    async def call(
        self, request: frames.ForwardedRequest, timeout_s: float
    ) -> frames.ForwardedOutcome | None:
        """Send a request and wait for its outcome.

        Args:
          request: The request.
          timeout_s: Maximum wait for the outcome.
        Returns:
          The outcome; None if it did not arrive in time or the link broke. The statement may then
          have run.
        Raises:
          OwnerUnavailable: The statement did not run.
        """
        async with self._open_lock:
            if self._writer is None or self._writer.is_closing():
                await self._open()
        assert self._writer is not None
        if self._owner_stops and (request.begin is not None or not request.transaction_number):
            self._avoid("it stops")
            raise OwnerUnavailable(str(self._endpoint))
        future: asyncio.Future[frames.ForwardedOutcome] = asyncio.get_running_loop().create_future()
        pending = self._pending
        pending[request.sequence_number] = future
        sent_at_s = self._clock()
        try:
            member_link.write(self._writer, frames.pack(request))
        except member_link.Lost as error:
            pending.pop(request.sequence_number, None)
            raise OwnerUnavailable(str(self._endpoint)) from error
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await future
        except TimeoutError:
            self._avoid_as_silent("no answer in time", sent_at_s)
            return None
        except member_link.Lost:
            return None
        finally:
            pending.pop(request.sequence_number, None)
        if outcome.declined:
            self._avoid("it can't serve the group")
            raise OwnerUnavailable(str(self._endpoint))
        return outcome

    async def _open(self) -> None:
        began_at_s = self._clock()
        try:
            reader, writer = await member_link.connect(
                self._endpoint, frames.MAX_FRAME_BYTES, CONNECT_TIMEOUT_S
            )
            member_link.write(writer, instance_lines.encode_forwarding_request())
        except member_link.Unreachable as failure:
            self._avoid_as_silent(type(failure).__name__, began_at_s)
            raise OwnerUnavailable(str(self._endpoint)) from failure
        except member_link.LinkFailure as failure:
            self._avoid(type(failure).__name__)
            raise OwnerUnavailable(str(self._endpoint)) from failure
        self._writer, self._owner_stops = writer, False
        # The former connection may still be read; its end must not fail requests on this one.
        self._pending = {}
        self._tasks.start(self._receive(reader, writer, self._pending))

    def _avoid_as_silent(self, reason: str, since_s: float) -> None:
        """Avoid the owner because it did not answer in time, unless this process stood still.

        Time limits also pass during a stall, which shows nothing about the owner.
        """
        if not self._running_time.stood_still(since_s, self._clock()):
            self._avoid(reason)

    def _avoid(self, reason: str) -> None:
        if self._clock() >= self.avoid_until_s:
            _LOG.info(
                "owner unavailable; preferring other owners",
                owner=str(self._endpoint),
                reason=reason,
            )
        self.avoid_until_s = self._clock() + AVOID_PERIOD_S

    async def _receive(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pending: dict[int, asyncio.Future[frames.ForwardedOutcome]],
    ) -> None:
        budget = turns.Budget()
        try:
            while True:
                body = await frames.read_body(reader)
                if budget.spend(len(body) + turns.MESSAGE_WORK_BYTES):
                    await asyncio.sleep(0)
                outcome = frames.unpack_outcome(body)
                if outcome.stopping and writer is self._writer:
                    self._owner_stops = True
                future = pending.get(outcome.sequence_number)
                if future is not None and not future.done():
                    future.set_result(outcome)
        except (OSError, EOFError, ValueError, RecursionError, msgspec.MsgspecError) as error:
            self._avoid(type(error).__name__)
        finally:
            writer.close()
            for future in pending.values():
                if not future.done():
                    future.set_exception(member_link.Lost("the link to the owner ended"))

    def roll_back(self, transaction_number: int) -> None:
        """Request the rollback of a transaction, without waiting for it.

        Args:
          transaction_number: Number of the transaction on the link.
        """
        if self._writer is None:
            return
        with contextlib.suppress(member_link.Lost):
            member_link.write(
                self._writer, frames.pack(frames.rollback_request(transaction_number))
            )

    def close(self) -> None:
        """Close the link; the owner rolls back the transactions that are open on it."""
        if self._writer is not None:
            self._writer.close()


class Forwarder:
    """Forwards a group's statements to its owners. Implements execution.Runner."""

    __slots__ = (
        "_clock",
        "_directory",
        "_link_to",
        "_own_instance",
        "_owners",
        "_primary_domain",
        "_ranked_by_account",
        "_regions",
    )

    def __init__(
        self,
        own_instance: model.Instance,
        link_to: collections.abc.Callable[[model.Instance], OwnerLink],
        directory: interfaces.ConfigurationSource,
        clock: interfaces.Clock,
        *,
        regions: collections.abc.Mapping[str, str] | None = None,
        primary_domain: collections.abc.Callable[[], str | None] = lambda: None,
    ) -> None:
        """Create a forwarder without owners.

        Args:
          own_instance: This instance, whose failure domain is preferred.
          link_to: Returns the link to an owner.
          directory: The configuration, whose version is sent with each request.
          clock: Returns the current time in seconds.
          regions: Region of each failure domain; None for a single one.
          primary_domain: Returns the failure domain of the group's primary; None if not known.
        """
        self._regions = regions or {}
        self._primary_domain = primary_domain
        self._own_instance = own_instance
        self._link_to = link_to
        self._directory = directory
        self._clock = clock
        self._owners: tuple[model.Instance, ...] = ()
        self._ranked_by_account: dict[str, tuple[model.Instance, ...]] = {}

    def set_owners(self, owners: tuple[model.Instance, ...]) -> None:
        """Set the group's owners."""
        if owners != self._owners:
            self._owners = owners
            self._ranked_by_account.clear()

    def prefers_own_instance(self, account: str, primary_only: bool) -> bool:
        """Return whether this instance, an owner, runs statements instead of another owner.

        Statements that only the primary may run belong to an owner in its region, and those of an
        account to the first available owner in the account's order.

        Args:
          account: Name of the client account; empty for none.
          primary_only: Whether only the primary may run the statements.
        """
        now_s = self._clock()
        region = self._wanted_region(primary_only)
        near = [owner for owner in self._owners if self._region_of(owner) == region]
        if near and self._region_of(self._own_instance) != region:
            return all(self._link_to(owner).avoid_until_s > now_s for owner in near)
        if not account:
            return True
        for owner in self._ranked(account):
            if owner.name == self._own_instance.name:
                return True
            if owner in near and self._link_to(owner).avoid_until_s <= now_s:
                return False
        return False

    def _region_of(self, owner: model.Instance) -> str:
        return self._regions.get(owner.failure_domain, "")

    def _wanted_region(self, primary_only: bool) -> str:
        """Return the region in which a statement should be run."""
        domain = self._primary_domain() if primary_only else None
        return self._regions.get(domain or self._own_instance.failure_domain, "")

    def _ranked(self, account: str) -> tuple[model.Instance, ...]:
        ranked = self._ranked_by_account.get(account)
        if ranked is None:
            ranked = owner_choice.ranked_for_account(account, self._owners)
            self._ranked_by_account[account] = ranked
        return ranked

    def links_by_preference(self, account: str = "", primary_only: bool = False) -> list[OwnerLink]:
        """Return the links to owners other than this instance, the preferred one first.

        Owners that are not to be avoided come first, then those in the region where the statement
        should run. Those of an account's statements follow in the account's own order; others by
        failure domain, then by the fewest pending requests.

        Args:
          account: Name of the client account; empty for none.
          primary_only: Whether only the primary may run the statement.
        """
        now_s = self._clock()
        region = self._wanted_region(primary_only)
        if account:
            ranked = [
                (self._link_to(owner), owner)
                for owner in self._ranked(account)
                if owner.name != self._own_instance.name
            ]
            ranked.sort(
                key=lambda choice: (
                    choice[0].avoid_until_s > now_s,
                    self._region_of(choice[1]) != region,
                )
            )
            return [link for link, _ in ranked]
        choices = [
            (self._link_to(owner), owner)
            for owner in self._owners
            if owner.name != self._own_instance.name
        ]
        choices.sort(
            key=lambda choice: (
                choice[0].avoid_until_s > now_s,
                self._region_of(choice[1]) != region,
                choice[1].failure_domain != self._own_instance.failure_domain,
                choice[0].pending_requests,
            )
        )
        return [link for link, _ in choices]

    async def run_read(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome:
        """Run a single read at an owner; try another owner if one is unavailable.

        Args:
          request: The read.
          trace: Records how the read was processed.
        """
        unavailable = execution.failure_outcome(statements.ErrorCode.BUSY, "no owner was reached")
        links = self.links_by_preference(request.account, request.primary_only)
        for link in links[: execution.MAX_READ_RETRIES + 1]:
            if self._clock() >= request.wait_deadline_s:
                break
            try:
                return await self._run(link, "read", request, trace)
            except OwnerUnavailable as error:
                trace.cause = f"owner not reached: {error}"
        return unavailable

    async def run_write(
        self, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome:
        """Run a single write at an owner.

        The write is sent to another owner only if the previous one is guaranteed not to have run
        it.

        Args:
          request: The write.
          trace: Records how the write was processed.
        """
        links = self.links_by_preference(request.account, request.primary_only)
        for link in links[: execution.MAX_READ_RETRIES + 1]:
            try:
                return await self._run(link, "write", request, trace)
            except OwnerUnavailable as error:
                trace.cause = f"owner not reached: {error}"
        return execution.failure_outcome(statements.ErrorCode.BUSY, "no owner was reached")

    async def _run(
        self, link: OwnerLink, kind: str, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome:
        now_s = self._clock()
        version = self._directory.version
        forwarded = frames.encode_request(
            request, link.next_sequence_number(), kind, now_s, configuration_version=version
        )
        outcome = await self.call(link, forwarded, request.deadline_s - now_s + ANSWER_MARGIN_S)
        if outcome is not None:
            return frames.decode_outcome(outcome, trace, self._clock())
        trace.cause = "no answer of the owner"
        code = (
            statements.ErrorCode.FAILED if kind == "read" else statements.ErrorCode.UNKNOWN_OUTCOME
        )
        return execution.failure_outcome(code, "the owner did not answer")

    async def call(
        self, link: OwnerLink, request: frames.ForwardedRequest, timeout_s: float
    ) -> frames.ForwardedOutcome | None:
        """Send a request over a link, and record the version of the owner's configuration.

        Args:
          link: The link to the owner.
          request: The request.
          timeout_s: Maximum wait for the outcome.
        Returns:
          The outcome; None if it did not arrive in time or the link broke. The statement may then
          have run.
        Raises:
          OwnerUnavailable: The statement did not run.
        """
        outcome = await link.call(request, timeout_s)
        if outcome is not None:
            self._directory.observe_version(outcome.configuration_version, link.endpoint)
        return outcome

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force at this instance."""
        return self._directory.version

    def begin(
        self, begin_request: transaction.BeginRequest, route: model.Route
    ) -> "ForwardedTransaction":
        """Begin a transaction, which is pinned to an owner from its first statement on.

        Args:
          begin_request: The client's request that began the transaction.
          route: The route of the database.
        """
        return ForwardedTransaction(begin_request, route, self, self._clock)


class ForwardedTransaction:
    """A transaction that runs at an owner. Implements transaction.SessionTransaction."""

    __slots__ = (
        "_begin_request",
        "_clock",
        "_forwarder",
        "_link",
        "_number",
        "_wrote",
        "failed",
        "pinned",
        "rollback_unreported",
        "route",
    )

    def __init__(
        self,
        begin_request: transaction.BeginRequest,
        route: model.Route,
        forwarder: Forwarder,
        clock: interfaces.Clock,
    ) -> None:
        self.route = route
        self.failed = False
        self.pinned = False
        self.rollback_unreported = False
        self._begin_request = begin_request
        self._forwarder = forwarder
        self._clock = clock
        self._link: OwnerLink | None = None
        self._number = 0
        self._wrote = False

    async def run(self, request: execution.Request, trace: execution.Trace) -> execution.Outcome:
        """Run a statement of the transaction; a failure may end the transaction.

        Args:
          request: The statement.
          trace: Records how the statement was processed.
        """
        self._wrote = self._wrote or request.access is statements.Access.WRITE
        outcome = await self._call("run", request, trace)
        if outcome is None:
            self.roll_back()
            self.failed = True
            return execution.failure_outcome(
                statements.ErrorCode.ABORTED, "the owner did not answer"
            )
        return outcome

    async def commit(self, request: execution.Request, trace: execution.Trace) -> execution.Outcome:
        """Commit the transaction, which is over whatever the outcome is.

        Args:
          request: The commit.
          trace: Records how the commit was processed.
        """
        if self.failed:
            self.roll_back()
            return execution.failure_outcome(
                statements.ErrorCode.ABORTED, "the transaction had failed"
            )
        outcome = await self._call("commit", request, trace)
        self.pinned = False
        if outcome is None:
            code = (
                statements.ErrorCode.UNKNOWN_OUTCOME
                if self._wrote
                else statements.ErrorCode.ABORTED
            )
            return execution.failure_outcome(code, "the owner did not answer")
        return outcome

    async def _call(
        self, kind: str, request: execution.Request, trace: execution.Trace
    ) -> execution.Outcome | None:
        """Run a request at the transaction's owner, or at the first available one.

        Returns:
          The outcome; None if the owner did not answer.
        """
        begin = None
        if self._link is not None:
            links = [self._link]
        else:
            primary_only = not self._begin_request.read_only or request.primary_only
            links = self._forwarder.links_by_preference(request.account, primary_only)
            begin_request = self._begin_request
            begin = frames.ForwardedBegin(
                begin_request.id, begin_request.text, begin_request.read_only
            )
        for link in links[: execution.MAX_READ_RETRIES + 1]:
            now_s = self._clock()
            sequence_number = link.next_sequence_number()
            transaction_number = self._number or sequence_number
            forwarded = frames.encode_request(
                *(request, sequence_number, kind, now_s),
                transaction_number=transaction_number,
                begin=begin,
                configuration_version=self._forwarder.configuration_version,
            )
            try:
                outcome = await self._forwarder.call(
                    link, forwarded, request.deadline_s - now_s + ANSWER_MARGIN_S
                )
            except OwnerUnavailable as error:
                trace.cause = f"owner not reached: {error}"
                continue
            self._link, self._number = link, transaction_number
            if outcome is None:
                return None
            self.failed = outcome.transaction_failed
            self.pinned = outcome.transaction_pinned
            return frames.decode_outcome(outcome, trace, self._clock())
        self.failed = True
        if self._link is not None:
            return execution.failure_outcome(
                statements.ErrorCode.ABORTED, "the transaction's owner is gone"
            )
        return execution.failure_outcome(statements.ErrorCode.BUSY, "no owner was reached")

    def roll_back(self) -> None:
        """Roll the transaction back.

        This is done if the client has requested it, was idle for too long inside the transaction or
        has disconnected, and if the owner did not answer a statement in time.
        """
        self.pinned = False
        if self._link is not None:
            self._link.roll_back(self._number)
