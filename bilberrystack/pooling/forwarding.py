"""Statements that one instance forwards to an owner of the group, over one link for each owner."""

import asyncio
import collections.abc
import contextlib
import itertools
from typing import Protocol

import loguru
import msgspec

from bilberrystack.pooling import execution
from bilberrystack.pooling import frames
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.routing import model
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="forwarding")

CONNECT_TIMEOUT_S = 0.3

# An owner that could not be reached, or whose link broke, is left out for so long.
AVOID_S = 2.0

# Beyond a statement's time limit, so that the owner's own answer comes first.
ANSWER_MARGIN_S = 0.1

# Transactions that one link may hold open, so that a peer can't use up the memory.
MAX_TRANSACTIONS = 4_096


class Known(Protocol):
    """What an instance knows of configurations."""

    @property
    def configuration(self) -> model.Configuration | None: ...
    @property
    def version(self) -> int: ...

    def learn_version(self, version: int) -> None: ...


class Refused(Exception):
    """The owner could not be reached, or it declined; the statement did not run."""


class OwnerLink:
    """The link to one owner; it is opened when it is needed."""

    __slots__ = (
        "_clock",
        "_endpoint",
        "_lock",
        "_numbers",
        "_running",
        "_tasks",
        "_writer",
        "avoid_until_s",
    )

    def __init__(
        self, endpoint: model.Endpoint, clock: interfaces.Clock, running: tasks.Tasks
    ) -> None:
        self.avoid_until_s = float("-inf")
        self._endpoint = endpoint
        self._clock = clock
        self._tasks = running
        self._numbers = itertools.count(1)
        self._lock = asyncio.Lock()
        self._writer: asyncio.StreamWriter | None = None
        self._running: dict[int, asyncio.Future[frames.Ended]] = {}

    @property
    def outstanding(self) -> int:
        """Statements without an answer."""
        return len(self._running)

    def next_number(self) -> int:
        """Returns a number that no other statement or transaction of this link has."""
        return next(self._numbers)

    async def call(self, work: frames.Work, timeout_s: float) -> frames.Ended | None:
        """Sends a statement and waits for its end.

        Args:
          work: The statement.
          timeout_s: How long the end is awaited.
        Returns:
          The end; None if it did not come in time or the link broke: the statement may have run.
        Raises:
          Refused: It did not run.
        """
        async with self._lock:
            if self._writer is None or self._writer.is_closing():
                await self._open()
        assert self._writer is not None
        future: asyncio.Future[frames.Ended] = asyncio.get_running_loop().create_future()
        self._running[work.number] = future
        try:
            member_link.write(self._writer, frames.pack(work))
        except member_link.Lost as error:
            self._running.pop(work.number, None)
            raise Refused(str(self._endpoint)) from error
        try:
            async with asyncio.timeout(timeout_s):
                ended = await future
        except TimeoutError:
            self._avoid("no answer in time")
            return None
        except member_link.Lost:
            return None
        finally:
            self._running.pop(work.number, None)
        if ended.declined:
            self._avoid("it can't serve the group")
            raise Refused(str(self._endpoint))
        return ended

    async def _open(self) -> None:
        try:
            reader, writer = await member_link.connect(
                self._endpoint, frames.MAX_FRAME_BYTES, CONNECT_TIMEOUT_S
            )
            member_link.write(writer, b"forward\n")
        except member_link.LinkFailure as failure:
            self._avoid(type(failure).__name__)
            raise Refused(str(self._endpoint)) from failure
        self._writer = writer
        self._tasks.start(self._receive(reader, writer))

    def _avoid(self, reason: str) -> None:
        if self._clock() >= self.avoid_until_s:
            _LOG.info("owner left out", owner=str(self._endpoint), reason=reason)
        self.avoid_until_s = self._clock() + AVOID_S

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                ended = frames.decode_ended(await frames.read(reader))
                future = self._running.get(ended.number)
                if future is not None and not future.done():
                    future.set_result(ended)
        except (OSError, EOFError, msgspec.MsgspecError) as error:
            self._avoid(type(error).__name__)
        finally:
            writer.close()
            for future in self._running.values():
                if not future.done():
                    future.set_exception(member_link.Lost("the link to the owner ended"))

    def leave(self, number: int) -> None:
        """Tells the owner that a transaction is given up."""
        if self._writer is None:
            return
        with contextlib.suppress(member_link.Lost):
            member_link.write(self._writer, frames.pack(frames.leaving(number)))

    def close(self) -> None:
        """Closes the link; the owner rolls back what is open on it."""
        if self._writer is not None:
            self._writer.close()


class Forwarder:
    """Runs a group's statements at its owners. Implements execution.Runner."""

    __slots__ = ("_clock", "_known", "_links", "_own", "_owners")

    def __init__(
        self,
        own: model.Instance,
        links: collections.abc.Callable[[model.Instance], OwnerLink],
        known: Known,
        clock: interfaces.Clock,
    ) -> None:
        """Creates a forwarder without owners.

        Args:
          own: This instance, for the nearness of owners.
          links: Returns the link to an owner.
          known: The configuration, whose version goes with each statement.
          clock: Seconds.
        """
        self._own = own
        self._links = links
        self._known = known
        self._clock = clock
        self._owners: tuple[model.Instance, ...] = ()

    def set_owners(self, owners: tuple[model.Instance, ...]) -> None:
        """Takes the group's owners."""
        self._owners = owners

    def choices(self) -> list[OwnerLink]:
        """Returns the links to owners, the nearest with the least to do first."""
        now_s = self._clock()
        found = [(self._links(one), one) for one in self._owners if one.name != self._own.name]
        found.sort(
            key=lambda pair: (
                pair[0].avoid_until_s > now_s,
                pair[1].failure_domain != self._own.failure_domain,
                pair[0].outstanding,
            )
        )
        return [link for link, _ in found]

    async def run_read(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        """Runs a single read; another owner is asked if one does not answer."""
        refused = execution.failed(statements.Code.BUSY, "no owner was reached")
        for link in self.choices()[: execution.READ_RETRIES + 1]:
            if self._clock() >= work.wait_until_s:
                break
            try:
                return await self._run(link, "read", work, trace)
            except Refused as error:
                trace.cause = f"owner not reached: {error}"
        return refused

    async def run_write(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        """Runs a single write; it is sent to one owner only."""
        for link in self.choices()[: execution.READ_RETRIES + 1]:
            try:
                return await self._run(link, "write", work, trace)
            except Refused as error:
                trace.cause = f"owner not reached: {error}"
        return execution.failed(statements.Code.BUSY, "no owner was reached")

    async def _run(
        self, link: OwnerLink, kind: str, work: execution.Work, trace: execution.Trace
    ) -> execution.Outcome:
        now_s = self._clock()
        version = self._known.version
        sent = frames.encode_statement(work, link.next_number(), kind, now_s, version=version)
        ended = await self.call(link, sent, work.ends_at_s - now_s + ANSWER_MARGIN_S)
        if ended is not None:
            return frames.decode_outcome(ended, trace, self._clock())
        trace.cause = "no answer of the owner"
        code = statements.Code.FAILED if kind == "read" else statements.Code.UNSURE
        return execution.failed(code, "the owner did not answer")

    async def call(
        self, link: OwnerLink, sent: frames.Work, timeout_s: float
    ) -> frames.Ended | None:
        """Sends a statement as `OwnerLink.call` does; learns which configuration the owner has."""
        ended = await link.call(sent, timeout_s)
        if ended is not None:
            self._known.learn_version(ended.version)
        return ended

    @property
    def version(self) -> int:
        """The version of the configuration in force here."""
        return self._known.version

    def begin(self, opening: transaction.Opening, route: model.Route) -> "ForwardedTransaction":
        """Begins a transaction, which is pinned to an owner from its first statement on."""
        return ForwardedTransaction(opening, route, self, self._clock)


class ForwardedTransaction:
    """A transaction that runs at an owner. Implements transaction.Pinned."""

    __slots__ = (
        "_clock",
        "_forwarder",
        "_link",
        "_number",
        "_opening",
        "_wrote",
        "failed",
        "pinned",
        "route",
        "unannounced",
    )

    def __init__(
        self,
        opening: transaction.Opening,
        route: model.Route,
        forwarder: Forwarder,
        clock: interfaces.Clock,
    ) -> None:
        self.route = route
        self.failed = False
        self.pinned = False
        self.unannounced = False
        self._opening = opening
        self._forwarder = forwarder
        self._clock = clock
        self._link: OwnerLink | None = None
        self._number = 0
        self._wrote = False

    async def run(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        """Runs a statement of the transaction; a failure ends the transaction."""
        self._wrote = self._wrote or work.access is statements.Access.WRITE
        outcome = await self._call("run", work, trace)
        if outcome is None:
            self.leave()
            self.failed = True
            return execution.failed(statements.Code.ABORTED, "the owner did not answer")
        return outcome

    async def commit(self, work: execution.Work, trace: execution.Trace) -> execution.Outcome:
        """Commits; the transaction is over whatever the outcome is."""
        if self.failed:
            self.leave()
            return execution.failed(statements.Code.ABORTED, "the transaction had failed")
        outcome = await self._call("commit", work, trace)
        self.pinned = False
        if outcome is None:
            code = statements.Code.UNSURE if self._wrote else statements.Code.ABORTED
            return execution.failed(code, "the owner did not answer")
        return outcome

    async def _call(
        self, kind: str, work: execution.Work, trace: execution.Trace
    ) -> execution.Outcome | None:
        opening = None
        links = [self._link] if self._link is not None else self._forwarder.choices()
        if self._link is None:
            one = self._opening
            opening = frames.Opening(one.id, one.text, one.read_only)
        for link in links[: execution.READ_RETRIES + 1]:
            now_s = self._clock()
            number = link.next_number()
            pinned = self._number or number
            sent = frames.encode_statement(
                *(work, number, kind, now_s),
                pinned=pinned,
                opening=opening,
                version=self._forwarder.version,
            )
            try:
                ended = await self._forwarder.call(
                    link, sent, work.ends_at_s - now_s + ANSWER_MARGIN_S
                )
            except Refused as error:
                trace.cause = f"owner not reached: {error}"
                continue
            self._link, self._number = link, pinned
            if ended is None:
                return None
            self.failed = ended.failed
            self.pinned = ended.pinned
            return frames.decode_outcome(ended, trace, self._clock())
        self.failed = True
        if self._link is not None:
            return execution.failed(statements.Code.ABORTED, "the transaction's owner is gone")
        return execution.failed(statements.Code.BUSY, "no owner was reached")

    def leave(self) -> None:
        """Rolls back, because the client asked for it, rested too long, or has gone."""
        self.pinned = False
        if self._link is not None:
            self._link.leave(self._number)


Runners = collections.abc.Callable[[str], "execution.Executor | None"]


class OwnerServer:
    """Runs the statements that other instances forward."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_known",
        "_links",
        "_runners",
        "_running",
        "_tasks",
        "stopping",
    )

    def __init__(
        self,
        runners: Runners,
        known: Known,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        running: tasks.Tasks,
    ) -> None:
        """Creates a server.

        Args:
          runners: Returns what runs a group's statements here; None for an unknown group.
          known: The configuration.
          dialect: The members' protocol.
          clock: Seconds.
          running: Keeps the statements' tasks.
        """
        self._runners = runners
        self._known = known
        self._running = 0
        self._links: list[dict[int, transaction.Transaction]] = []
        # Whether new work is declined, so that its instance turns to another owner.
        self.stopping = False
        self._dialect = dialect
        self._clock = clock
        self._tasks = running

    @property
    def running(self) -> int:
        """Statements that have not been answered."""
        return self._running

    @property
    def transactions(self) -> int:
        """Transactions that are open."""
        return sum(map(len, self._links))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link; its end rolls back the transactions that are open on it."""
        open_transactions: dict[int, transaction.Transaction] = {}
        self._links.append(open_transactions)
        try:
            while True:
                work = frames.decode_work(await frames.read(reader))
                if work.kind == "leave":
                    left = open_transactions.pop(work.transaction, None)
                    if left is not None:
                        left.leave()
                    continue
                self._tasks.start(self._run(work, writer, open_transactions))
        except msgspec.MsgspecError as error:
            _LOG.warning("malformed frame of an instance", error=str(error))
        finally:
            self._links = [one for one in self._links if one is not open_transactions]
            for left in open_transactions.values():
                left.leave()

    async def _run(
        self,
        work: frames.Work,
        writer: asyncio.StreamWriter,
        open_transactions: dict[int, transaction.Transaction],
    ) -> None:
        self._running += 1
        try:
            ended = await self._ended(work, open_transactions)
        finally:
            self._running -= 1
        # The instance may have gone: its client then has no way to hear the answer here.
        with contextlib.suppress(member_link.Lost):
            member_link.write(writer, frames.pack(ended))

    async def _ended(
        self, work: frames.Work, open_transactions: dict[int, transaction.Transaction]
    ) -> frames.Ended:
        trace = execution.Trace()
        decoded = frames.decode_statement(work, self._clock())
        begun = work.transaction in open_transactions
        runner = None if self.stopping and not begun else self._runners(work.service)
        writes = work.opening is not None and not work.opening.read_only
        if runner is not None and not begun and runner.group.shut_out(decoded.primary or writes):
            runner = None
        current: transaction.Transaction | None = None
        self._known.learn_version(work.version)
        if runner is None:
            outcome = execution.failed(statements.Code.BUSY, "the owner can't serve the group")
        elif self._superseded(work):
            outcome = execution.failed(statements.Code.NO_DATABASE, "no such database any more")
        elif work.transaction:
            current = self._transaction(work, decoded, runner, open_transactions)
            outcome = await self._run_inside(work, decoded, trace, current, open_transactions)
        elif work.kind == "write":
            outcome = await runner.run_write(decoded, trace)
        else:
            outcome = await runner.run_read(decoded, trace)
        return msgspec.structs.replace(
            frames.encode_outcome(work.number, outcome, trace, self._clock(), current),
            declined=runner is None,
            version=self._known.version,
        )

    def _superseded(self, work: frames.Work) -> bool:
        """Tells whether a newer configuration than the sender's has taken the statement's route.

        An open transaction keeps the route that it began with.
        """
        configuration = self._known.configuration
        inside = work.transaction and work.opening is None
        if inside or configuration is None or configuration.version <= work.version:
            return False
        route = configuration.routes.get(work.database)
        return route is None or route.service != work.service

    def _transaction(
        self,
        work: frames.Work,
        decoded: execution.Work,
        runner: execution.Executor,
        open_transactions: dict[int, transaction.Transaction],
    ) -> transaction.Transaction | None:
        known = open_transactions.get(work.transaction)
        if known is not None or work.opening is None:
            return known
        if len(open_transactions) >= MAX_TRANSACTIONS:
            return None
        opening = transaction.Opening(work.opening.id, work.opening.text, work.opening.read_only)
        begun = transaction.Transaction(opening, decoded.route, runner, self._dialect)
        open_transactions[work.transaction] = begun
        return begun

    async def _run_inside(
        self,
        work: frames.Work,
        decoded: execution.Work,
        trace: execution.Trace,
        current: transaction.Transaction | None,
        open_transactions: dict[int, transaction.Transaction],
    ) -> execution.Outcome:
        if current is None:
            return execution.failed(statements.Code.ABORTED, "the transaction was rolled back")
        if work.kind != "commit":
            return await current.run(decoded, trace)
        open_transactions.pop(work.transaction, None)
        return await current.commit(decoded, trace)
