"""Statements that one instance forwards to an owner of the group, over one link for each owner."""

import asyncio
import collections.abc
import contextlib
import itertools

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
        known: interfaces.ConfigurationSource,
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
            self._known.observe_version(ended.version)
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
