"""One connection to a member, and the session state that it holds."""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import loguru

from bilberrystack.core import positions
from bilberrystack.placement import crossing
from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import line_stream
from bilberrystack.pooling import turns
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="link")

# Network round trips take less than 10 ms. Starting a session on a new connection takes 12 ms of a
# member's slot, after the statements in the member's queue.
CONNECT_TIMEOUT_S = 0.5
START_TIMEOUT_S = 1.5

# The kernel closes a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1200

# With these values the kernel closes an unresponsive connection that has no unacknowledged data
# after about two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

# Values and preparations of the last session that an idle connection keeps, since all connections
# together could keep 5 MB each. Opening another connection costs 12 ms of a member's slot.
MAX_RETAINED_BYTES = 262_144

# Name of the statement that challenges prepare. Those of sessions begin with "p"
# (execution.PreparedStatement).
CHALLENGE_NAME = "c"


class LinkFailure(ConnectionError):
    """A connection to a member can't be used."""


class Refused(LinkFailure):
    """No process listens at the address, or the way to it refuses connections."""


class Unreachable(LinkFailure):
    """The address did not answer in time, or the connection broke before it was ready."""


class NotOpened(LinkFailure):
    """No connection was opened, because its first messages can't carry a name or an address."""


class Rejected(LinkFailure):
    """The member rejected the connection.

    Attributes:
      failure: The member's answer.
    """

    def __init__(self, failure: statements.Failure) -> None:
        super().__init__(failure.text)
        self.failure = failure


class Lost(LinkFailure):
    """The connection ended, or the member violated the protocol, while a statement was running."""


class NotSent(Lost):
    """The connection had ended before the statement, which was not sent."""


class AnswerMismatch(Lost):
    """The received data can't be the answer to the statement, which may have run.

    This is no failure of the member.

    Attributes:
      fault: Why they can't be the answer.
    """

    def __init__(self, fault: answers.Fault) -> None:
        super().__init__(f"the answer belongs to another statement: {fault.value}")
        self.fault = fault


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Set the socket options that make the kernel close a connection to an unresponsive peer."""
    sock = writer.get_extra_info("socket")
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    ):
        # Setting an option fails on a connection that has just been reset. The next read or write
        # reports the reset.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write to a connection.

    Raises:
      Lost: The connection is closed, which uvloop reports in several ways.
    """
    try:
        if writer.is_closing():
            raise Lost("the connection is closed")
        writer.write(data)
    except (OSError, RuntimeError) as error:
        raise Lost("the connection is closed") from error


class Reader(asyncio.StreamReader):
    """A stream reader that reports received data to an observer before it buffers them.

    Attributes:
      on_data: Called with the number of bytes received.
    """

    def __init__(self, limit: int) -> None:
        """Create a reader.

        Args:
          limit: The longest line that it accepts, in bytes.
        """
        super().__init__(limit=limit)
        self.on_data: collections.abc.Callable[[int], None] = lambda _byte_count: None

    def feed_data(self, data: collections.abc.Iterable[typing.SupportsIndex]) -> None:
        """Report and buffer data; called by the protocol of the connection."""
        received = bytes(data)
        self.on_data(len(received))
        super().feed_data(received)


class MemberLink:
    """A connection to a member, from its acquisition by one request to its release.

    A connection runs one statement at a time. `transfer` hands it to its next user and makes this
    object unusable, so that a late user can neither send on it nor read another user's answers.

    A member may send an answer twice, the second time late. The connection is closed when data
    arrive that can't be the answer to the statement that is out, and when none is out.

    Attributes:
      member: The member.
      account: Name of the client account whose statements the connection may run; empty if it is
        this instance's own. A member knows it from the start of the connection on.
      in_use: Whether a request has acquired the connection.
      opened_at_s: When the connection was opened, in seconds of the clock.
      idle_since_s: When the connection was opened or last released, in seconds of the clock.
      reported: The last status report that the member sent on the connection; None if it sent none.
      led_term: The newest term in which the process at the other end has shown that it is the
        primary and has applied the log with which it leads; 0 for none. A connection lasts no
        longer than that process.
      state: The state of the connection's session after the last answer.
      position: The member's log position in the last answer; None if it showed none.
      values: The session values that are set on the connection.
      prepared_names: The names of the statements that are prepared on the connection.
      answer_outstanding: Whether a statement was sent whose answer has not been read completely.
      fault: Why the connection was closed because of unexpected data; None if it was not.
      on_fault: Called when the connection is closed because of unexpected data.
      departure_reason: Why the request that uses the connection was sent to the member's failure
        domain.
    """

    __slots__ = (
        "_answers",
        "_claimed_position",
        "_claimed_term",
        "_clock",
        "_dialect",
        "_last_preparation",
        "_reader",
        "_released",
        "_writer",
        "account",
        "answer_outstanding",
        "departure_reason",
        "fault",
        "idle_since_s",
        "in_use",
        "led_term",
        "member",
        "on_fault",
        "opened_at_s",
        "position",
        "prepared_names",
        "reported",
        "state",
        "values",
    )

    def __init__(
        self,
        member: model.Member,
        reader: Reader,
        writer: asyncio.StreamWriter,
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        *,
        account: str = "",
    ) -> None:
        self.member = member
        self.account = account
        self.in_use = False
        self.opened_at_s = self.idle_since_s = clock()
        self.reported: statements.MemberStatus | None = None
        self.led_term = 0
        self.state = statements.TransactionState.IDLE
        self.position: positions.Position | None = None
        self.values: dict[str, str] = {}
        self.prepared_names: set[str] = set()
        self.answer_outstanding = False
        self.fault: answers.Fault | None = None
        self.departure_reason = crossing.Reason.NOT_WEIGHED
        self.on_fault: collections.abc.Callable[[answers.Fault], None] = lambda _: None
        self._released = False
        # The newest term that the process has claimed to lead, and the position that it had
        # received by its first such report.
        self._claimed_term = 0
        self._claimed_position: positions.Position | None = None
        self._answers = answers.AnswerHistory()
        self._last_preparation = dialect.encode_reset()
        self._reader = reader
        self._writer = writer
        self._dialect = dialect
        self._clock = clock

    @property
    def usable(self) -> bool:
        """Whether the connection is open, as far as this side knows, and was not released."""
        return not (self._released or self._writer.is_closing() or self._reader.at_eof())

    @property
    def released(self) -> bool:
        """Whether the connection was handed to its next user."""
        return self._released

    @property
    def worn_out(self) -> bool:
        """Whether the connection is to be replaced: it remembers no more answers, or too much."""
        return self._answers.full or self._retained_bytes > MAX_RETAINED_BYTES

    @property
    def _retained_bytes(self) -> int:
        """What an idle connection keeps of the session that used it last."""
        return len(self._last_preparation) + sum(map(len, self.values.values()))

    def transfer(self) -> "MemberLink":
        """Hand the connection to its next user; this object can't use it any more.

        Returns:
          The connection in the same state, not in use.
        """
        assert not self._released and not self.answer_outstanding
        self._released = True
        successor = MemberLink(
            *(self.member, self._reader, self._writer, self._dialect, self._clock),
            account=self.account,
        )
        successor.state = self.state
        successor.position = self.position
        successor.values = self.values
        successor.prepared_names = self.prepared_names
        successor.on_fault = self.on_fault
        successor.opened_at_s = self.opened_at_s
        successor.reported = self.reported
        successor.led_term = self.led_term
        successor._claimed_term = self._claimed_term
        successor._claimed_position = self._claimed_position
        successor._answers = self._answers
        successor._last_preparation = self._last_preparation
        successor.observe_data()
        return successor

    def observe_data(self) -> None:
        """Close the connection on data without a statement; called once the session has started."""
        self._reader.on_data = self._check_asked
        if line_stream.has_unread_data(self._reader):
            self._end(answers.Fault.UNASKED)

    def record_status(
        self, status: statements.MemberStatus, applied_position: positions.Position | None
    ) -> None:
        """Record a status report that the member sent on the connection.

        A promoted member leads with all that it has received, but may still apply it. It has done
        so once it shows an entry of its own term, or the number of the last entry that it had
        received by its first such report. Later reports don't count, since a primary commits all
        the time.

        Args:
          status: The report.
          applied_position: The log position in the answer that contained the report; None if it
            showed none.
        """
        self.reported = status
        if not status.primary or status.term <= self.led_term:
            return
        if status.term > self._claimed_term:
            self._claimed_term = status.term
            self._claimed_position = status.received_position
        if (
            applied_position is None
            or self._claimed_position is None
            or applied_position.term >= status.term
            or applied_position.index >= self._claimed_position.index
        ):
            self.led_term = status.term

    def shows_lead_of(self, leader: permission.Leader) -> bool:
        """Return whether the process at the other end has shown that it is a leader."""
        return leader.member == self.member.id and 0 < self.led_term == leader.term

    def _check_asked(self, _byte_count: int) -> None:
        if not self.answer_outstanding:
            self._end(answers.Fault.UNASKED)

    def _end(self, fault: answers.Fault) -> None:
        """Close the connection because of data that don't belong to the statement that is out."""
        if self.fault is not None or self._writer.is_closing():
            return
        self.fault = fault
        _LOG.warning(
            "connection closed: the member sent data that answer no statement, or another one",
            member=self.member.id,
            reason=fault.value,
            in_use=self.in_use,
        )
        self.close()
        self.on_fault(fault)

    async def run(self, query: bytes, expectation: answers.Expectation) -> statements.Reply:
        """Send one statement and wait for its whole answer.

        Args:
          query: The statement as encoded by the dialect.
          expectation: What its answer can be.
        Returns:
          The member's answer.
        Raises:
          NotSent: The connection had ended before; the statement was not sent.
          AnswerMismatch: The data received are not its answer; the statement may have run.
          Lost: The connection ended; the statement may have run.
        """
        return (await self.run_all([(query, expectation)]))[0]

    async def run_all(
        self, queries: collections.abc.Sequence[tuple[bytes, answers.Expectation]]
    ) -> list[statements.Reply]:
        """Send several statements in one write and wait for the answers to all of them.

        Args:
          queries: The statements as encoded by the dialect, and what the answer to each can be.
        Returns:
          The member's answers, in the order of the statements.
        Raises:
          NotSent: The connection had ended or was released, or was waiting for another answer; it
            is closed in that case. Nothing was sent.
          AnswerMismatch: The data received are not the answers; some of the statements may have
            run.
          Lost: The connection ended; some of the statements may have run.
        """
        if self._released:
            raise NotSent("the connection was released")
        if self.answer_outstanding:
            self.close()
            raise NotSent("another statement has no answer yet")
        if self._writer.is_closing() or self._reader.at_eof():
            # The transport stays open for sending after the member has closed its side.
            self.close()
            raise NotSent("the connection had ended before the statement")
        try:
            self.answer_outstanding = True
            replies = await self._exchange(queries)
            self.answer_outstanding = False
        except AnswerMismatch as mismatch:
            self._end(mismatch.fault)
            raise
        except Lost:
            self.close()
            raise
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
            self.close()
            raise Lost(f"{type(error).__name__} while a statement was out") from error
        if line_stream.has_unread_data(self._reader):
            # The rest of a second copy, or the true answer if a second copy was taken for it.
            self._end(answers.Fault.UNASKED)
            if not queries[-1][1].proven and queries[-1][1].row_count is answers.RowCount.NONE:
                raise AnswerMismatch(answers.Fault.UNASKED)
        return replies

    async def _exchange(
        self, queries: collections.abc.Sequence[tuple[bytes, answers.Expectation]]
    ) -> list[statements.Reply]:
        """Send statements, read their answers, and verify the last one if that is necessary."""
        sent_at_s = self._clock()
        write(self._writer, b"".join(query for query, _ in queries))
        replies = []
        verified = True
        for query, expectation in queries:
            reply = await self._read_reply(sent_at_s)
            verified = self._accept(reply, expectation)
            replies.append(reply)
            if expectation is answers.PREPARATION:
                self._last_preparation = query
        if replies[-1].may_join_rows and queries[-1][1].row_count is answers.RowCount.ANY:
            replies[-1] = await self._read_again(*queries[-1], replies[-1])
        elif verified:
            return replies
        elif replies[-1].failure is not None:
            await self._verify_error()
        elif queries[-1][1].begins_transaction:
            await self._verify_begin(*queries[-1])
        else:
            replies[-1] = await self._verify_report(replies[-1])
        return replies

    async def _verify_begin(self, query: bytes, expectation: answers.Expectation) -> None:
        """Check that a BEGIN was accepted whose answer may be a second copy of an earlier one.

        A challenge is sent behind it, in which the transaction may begin anew. If the BEGIN was
        rejected, its answer or those to the challenge show it.

        Args:
          query: The BEGIN.
          expectation: What its answer can be.
        Raises:
          AnswerMismatch: It is not known whether the BEGIN was accepted.
        """
        steps = self._draw_challenge(query, expectation)
        write(self._writer, b"".join(step for step, _ in steps))
        for _, step_expectation in steps:
            reply = await self._read_reply(self._clock())
            self._check_challenge_answer(reply, step_expectation)

    async def _verify_report(self, report: statements.Reply) -> statements.Reply:
        """Return the answer to a status query whose first answer may be a second copy.

        A challenge is sent behind it. If its answers arrive, the member's own report has been read
        before them. A report that the connection has not had is no second copy.

        Args:
          report: A report that the connection has had before.
        Returns:
          The member's answer, which is not older than the query.
        Raises:
          AnswerMismatch: It is not known which report that is.
        """
        begin = self._dialect.encode_read_only_begin()
        steps = self._draw_challenge(begin, answers.BEGIN)
        write(self._writer, b"".join(query for query, _ in steps))
        for _, expectation in steps:
            reply = await self._read_reply(report.request_sent_at_s)
            while reply.failure is None and reply.rows:
                if self._accept(reply, answers.STATUS):
                    self._end(answers.Fault.UNASKED)
                    return reply
                if (reply.rows, reply.position) != (report.rows, report.position):
                    raise AnswerMismatch(answers.Fault.REPEATED)
                reply = await self._read_reply(report.request_sent_at_s)
            self._check_challenge_answer(reply, expectation)
        return report

    def _draw_challenge(
        self, begin: bytes, begin_expectation: answers.Expectation
    ) -> list[tuple[bytes, answers.Expectation]]:
        """Return a random sequence of statements, and what the answer to each can be.

        It begins transactions, rolls them back and prepares a statement that no session uses, which
        takes no slot, and leaves the state of the connection as it is. The answers differ in their
        state only, which late copies can't imitate but by chance (`answers.CHALLENGE_LENGTH`).

        Args:
          begin: The statement that begins a transaction.
          begin_expectation: What its answer can be.
        """
        # The last preparation, as in _verify_error, may be a SET of 1 MiB.
        prepare = self._dialect.encode_prepare(CHALLENGE_NAME, statements.Access.READ, "-")
        rollback = self._dialect.encode_rollback()
        former = in_transaction = self.state is statements.TransactionState.TRANSACTION
        steps = []
        for wanted in answers.draw_challenge():
            if wanted is in_transaction:
                steps.append((prepare, answers.PREPARATION))
            else:
                steps.append((begin, begin_expectation) if wanted else (rollback, answers.ROLLBACK))
            in_transaction = wanted
        if in_transaction is not former:
            steps.append((begin, begin_expectation) if former else (rollback, answers.ROLLBACK))
        return steps

    def _check_challenge_answer(
        self, reply: statements.Reply, expectation: answers.Expectation
    ) -> None:
        """Take an answer for the one to a statement of a challenge.

        Raises:
          AnswerMismatch: It belongs to another statement, or the challenge was rejected.
        """
        if reply.done is None or self._dialect.parse_proof(reply.done) is not None:
            raise AnswerMismatch(answers.Fault.REPEATED)
        self._accept(reply, expectation)

    async def _read_again(
        self, query: bytes, expectation: answers.Expectation, first: statements.Reply
    ) -> statements.Reply:
        """Run a read a second time, since a row of its first result may not be the member's.

        A second copy that is cut off inside a row is continued by the next row, and data may look
        like that, too. In the second case the second result is the same.

        Args:
          query: The read.
          expectation: What its answer can be.
          first: Its first answer.
        Returns:
          The second answer.
        Raises:
          AnswerMismatch: A row of the second result may not be the member's either.
        """
        assert first.done is not None
        # A member may give the same proof to both.
        self._answers.forget_proof(self._dialect.parse_proof(first.done))
        write(self._writer, query)
        reply = await self._read_reply(first.request_sent_at_s)
        verified = self._accept(reply, expectation)
        if reply.failure is not None:
            if not verified:
                await self._verify_error()
        elif reply.may_join_rows and reply.rows != first.rows:
            raise AnswerMismatch(answers.Fault.MALFORMED)
        return reply

    async def _verify_error(self) -> None:
        """Check that the error received last is the answer to the statement sent last.

        The last preparation is sent again, twice. That changes nothing, needs no slot of a member
        that is busy, and is answered without rows and proof. If the error was a second copy, the
        answer to the statement itself arrives instead of the first or, behind a second copy of an
        earlier answer to a preparation, of the second.

        Raises:
          AnswerMismatch: The error is not known to be that answer.
        """
        write(self._writer, self._last_preparation * 2)
        for _ in range(2):
            reply = await self._read_reply(self._clock())
            if (
                reply.done is None
                or self._dialect.parse_proof(reply.done) is not None
                or self._answers.check_success(reply, None, answers.PREPARATION, self.state)
                is not answers.Verdict.CERTAIN
            ):
                raise AnswerMismatch(answers.Fault.ERROR_UNVERIFIED)

    def _accept(self, reply: statements.Reply, expectation: answers.Expectation) -> bool:
        """Take an answer for the one to the statement that is out; return whether that is certain.

        Raises:
          AnswerMismatch: The answer belongs to another statement.
        """
        result: answers.Fault | answers.Verdict
        if reply.failure is not None:
            result = self._answers.check_failure(reply, reply.failure, expectation, self.state)
        else:
            assert reply.done is not None
            proof = self._dialect.parse_proof(reply.done)
            result = self._answers.check_success(reply, proof, expectation, self.state)
        if isinstance(result, answers.Fault):
            raise AnswerMismatch(result)
        self.state = reply.state
        self.position = reply.position
        return result is not answers.Verdict.UNVERIFIED

    async def _read_reply(self, sent_at_s: float) -> statements.Reply:
        rows: list[bytes] = []
        may_join_rows = False
        done: bytes | None = None
        failure: statements.Failure | None = None
        budget = turns.Budget()
        while True:
            line = await line_stream.read_line(self._reader)
            if budget.spend(len(line) + turns.MESSAGE_WORK_BYTES):
                # Lines that have arrived together are read without a turn of the event loop.
                await asyncio.sleep(0)
            match self._dialect.parse_member_message(line):
                case statements.Row(text) if done is None and failure is None:
                    rows.append(text)
                    may_join_rows = may_join_rows or self._dialect.may_join_rows(text)
                case statements.Done(text) if done is None and failure is None:
                    done = text
                case statements.Failure() as reported if done is None and failure is None:
                    failure = reported
                case statements.Ready(state, position) if done or failure:
                    return statements.Reply(
                        tuple(rows),
                        done,
                        failure,
                        state,
                        position,
                        sent_at_s,
                        self._clock(),
                        may_join_rows and done is not None,
                    )
                case _:
                    raise AnswerMismatch(answers.Fault.MALFORMED)

    def close(self) -> None:
        """Close the connection, unless it was released.

        The member rolls back a transaction that is open on it.
        """
        if self._released:
            return
        # A closed connection is part of a reference cycle, which may last until the next full
        # garbage collection.
        self._last_preparation = b""
        self.values.clear()
        # Closing a connection that the peer has reset is not an error.
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()


async def connect(
    endpoint: model.Endpoint, max_line_bytes: int, timeout_s: float = CONNECT_TIMEOUT_S
) -> tuple[Reader, asyncio.StreamWriter]:
    """Open a TCP connection and configure its socket.

    Args:
      endpoint: The address to connect to.
      max_line_bytes: Limit of the reader's buffer, the longest line that it accepts.
      timeout_s: Time limit of the TCP connection setup.
    Returns:
      The connection's reader and writer.
    Raises:
      Refused: No process listens at the address, or the way to it refuses connections.
      Unreachable: The address did not answer in time, or there is no route to it.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await _open_connection(endpoint, max_line_bytes)
    except ConnectionRefusedError as error:
        raise Refused(str(endpoint)) from error
    except (OSError, TimeoutError, OverflowError, ValueError) as error:
        # An address that no socket accepts belongs to nobody.
        raise Unreachable(str(endpoint)) from error
    configure_socket(writer)
    return reader, writer


async def _open_connection(
    endpoint: model.Endpoint, max_line_bytes: int
) -> tuple[Reader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = Reader(max_line_bytes)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, endpoint.host, endpoint.port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def open_link(
    member: model.Member,
    relay: model.Endpoint | None,
    instance_name: str,
    dialect: interfaces.Dialect,
    clock: interfaces.Clock,
    *,
    account: str = "",
) -> MemberLink:
    """Open a connection to a member, directly or through another instance.

    Args:
      member: The member; the connection's start message names its service and id.
      relay: The instance that relays the connection; None for a direct connection.
      instance_name: The name by which the member knows this instance.
      dialect: The member's protocol.
      clock: Returns the current time in seconds, for the instants in the answers.
      account: The client account that the connection is for; empty for this instance itself.
    Returns:
      The connection, ready for a statement.
    Raises:
      NotOpened: A name or an address can't be sent.
      Refused, Unreachable: The member was not reached.
      Rejected: The member rejected the connection.
    """
    target = member.endpoint if relay is None else relay
    try:
        first_lines = dialect.encode_member_start(
            member.service, account or instance_name, member.id
        )
        if relay is not None:
            first_lines = instance_lines.encode_relay_request(member.endpoint) + first_lines
    except interfaces.NotEncodable as error:
        raise NotOpened(str(error)) from error
    reader, writer = await connect(target, dialect.MAX_LINE_BYTES)
    link = MemberLink(member, reader, writer, dialect, clock, account=account)
    try:
        write(writer, first_lines)
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await line_stream.read_line(reader)
    except (OSError, EOFError, Lost, asyncio.LimitOverrunError, TimeoutError) as error:
        link.close()
        raise Unreachable(str(target)) from error
    except asyncio.CancelledError:
        link.close()
        raise
    match dialect.parse_member_message(line):
        case statements.Ready(_, position):
            link.position = position
            link.observe_data()
            return link
        case statements.Failure() as failure:
            link.close()
            raise Rejected(failure)
        case _:
            link.close()
            raise Unreachable(str(target))
