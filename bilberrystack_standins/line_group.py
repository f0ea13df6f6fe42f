"""A database group whose members speak the line protocol of the session mode.

Members replicate asynchronously, run statements in slots, limit their connections and follow the
promotions of the platform's stand-in. A message ends in CR LF; data may have any other character.
Tests can make members unresponsive, stop their replication, or let them lose answers, cut them off,
send them in pieces or send them twice, or make the far ends of connections unreachable.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import errno
import itertools
import math
import random
import time
import zlib

from bilberrystack_standins import dark_port
from bilberrystack_standins import member_answers

# Longest message that a member reads, without its line end.
MAX_MESSAGE_BYTES = 1_048_576

# Statements that occupy a slot, and those that a member rejects if too many wait for one.
_SLOT_STATEMENTS = ("READ", "WRITE", "EXEC", "COMMIT", "STATUS")
_REJECTED_IF_BUSY = (*_SLOT_STATEMENTS, "BEGIN")

# Statements that may carry the prefix AFTER. An EXEC may run a prepared read.
_READ_AFTER_POSITION = ("READ", "EXEC", "BEGIN")

# Time for which a member keeps a connection whose far end is unreachable.
UNREACHABLE_LIMIT_S = 3.0

# Interval at which a member checks whether its process has ended meanwhile.
_END_CHECK_INTERVAL_S = 0.05

# Interval at which a primary sends its log again while no replica has received a commit.
_RESEND_INTERVAL_S = 0.01

# Delay before a member tries again to listen on a port that is in use.
_PORT_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedEntry:
    """A committed entry of the log.

    Attributes:
      term: The term of the primary that committed it.
      index: The index of the entry in the log.
      writes: Names and values of the written items.
      request_id: The id of the request that caused the commit.
      newer_primary_existed: Whether another member was primary of a newer term at the time of the
        commit.
      member_id: The primary that committed it.
      committed_at_s: The time of the commit, on the event loop's clock.
    """

    term: int
    index: int
    writes: tuple[tuple[str, str], ...]
    request_id: str = ""
    newer_primary_existed: bool = False
    member_id: str = ""
    committed_at_s: float = 0.0


@dataclasses.dataclass(slots=True)
class ExecutedStatement:
    """A statement that a member has executed, recorded for the checks of the tests.

    Attributes:
      member_id: The member that executed it.
      request_id: The client's request id.
      text: The text of the statement.
      session_values: The session values that were set on the member connection.
      connection_number: The number of the member connection.
      in_transaction: Whether the connection was in a transaction.
      log: The member's log, of which the first `applied_count` entries were visible.
      applied_count: The number of applied entries.
      executed_at_s: The time of the execution, on the event loop's clock.
      shape: The shape of the prepared statement that was executed; empty if it was none.
      client_name: Who uses the member connection, as its START says.
    """

    member_id: str
    request_id: str
    text: str
    session_values: dict[str, str]
    connection_number: int
    in_transaction: bool
    log: list[CommittedEntry]
    applied_count: int
    executed_at_s: float
    shape: str = ""
    client_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion:
    """A promotion that has taken effect.

    Attributes:
      member_id: The promoted member.
      term: The term that it leads.
      log: Its log at that moment. Commits of earlier terms that are not in it are rolled back.
      effective_at_s: The time of that moment, on the event loop's clock.
    """

    member_id: str
    term: int
    log: tuple[CommittedEntry, ...]
    effective_at_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True)
class GroupOptions:
    """Options of a group.

    Attributes:
      slots: Maximum number of concurrent statements of a member.
      max_waiting: Maximum number of statements that run or wait for a slot; a member rejects others
        with BUSY.
      max_connections: Maximum number of connections of a member.
      sync_replicas: Number of replicas, 0 or 1, that receive a commit before it is acknowledged.
      receive_lag_s: Maximum time between a commit and its receipt by a replica.
      apply_lag_s: Time between the receipt of a commit and its application at a replica.
      service_time_s: Duration of a read, a write or a commit.
      connection_time_s: Time for which a new connection occupies a slot.
      rollback_time_s: Time for which a replica rejects statements with BUSY after a promotion has
        rolled entries of its log back.
      error_text: Text of the members' errors; empty for the id of the member.
      promotion_delay_s: Time between a promotion request and its effect.
      promotion_apply_lag_s: Time after that in which the promoted member applies what it had
        received; 0 if it has applied everything at once.
      step_down_delay_s: Time until a former primary that still runs steps down after a promotion.
        Until then the group has two primaries.
      repeated_share: Share of the answers that are sent a second time.
      repetition_delay_s: Maximum time until the second copy of an answer is sent.
      repeated_start_share: Share of the answers to START that are sent a second time.
      truncated_repetition_share: Share of the second copies that are cut off before their end.
      truncated_share: Share of the answers that are cut off before their end. The member sends
        nothing more on the connection then, and closes it or keeps it open.
      split_share: Share of the answers whose bytes arrive in pieces.
      varied_rows: Whether a read returns several rows or none, depending on the item.
      seed: Determines which answers are sent in which way, and when.
    """

    slots: int = 2
    max_waiting: int = 1000
    max_connections: int = 16
    sync_replicas: int = 0
    receive_lag_s: float = 0.0
    apply_lag_s: float = 0.02
    service_time_s: float = 0.002
    connection_time_s: float = 0.012
    rollback_time_s: float = 0.1
    error_text: str = ""
    promotion_delay_s: float = 0.05
    promotion_apply_lag_s: float = 0.0
    step_down_delay_s: float = 1.0
    repeated_share: float = 0.0
    repetition_delay_s: float = 0.4
    repeated_start_share: float = 0.0
    truncated_repetition_share: float = 0.0
    truncated_share: float = 0.0
    split_share: float = 0.0
    varied_rows: bool = False
    seed: int = 0


_CONNECTION_NUMBERS = itertools.count(1)


class _Connection:
    """A member's state of one connection."""

    __slots__ = (
        "client_name",
        "number",
        "prepared",
        "transaction_kind",
        "transaction_state",
        "values",
        "writes",
    )

    def __init__(self, number: int, client_name: str) -> None:
        self.number = number
        self.client_name = client_name
        self.transaction_state = "I"
        self.transaction_kind = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list[tuple[str, str]] = []


class LineMember:
    """One member of a group.

    Attributes:
      group: The member's group.
      id: The member's id.
      is_primary: Whether the member regards itself as the primary.
      term: The highest term that the member knows.
      held_term: The term of the HOLD in force, during which the member receives no entries; 0 for
        none.
      log: The received entries.
      applied_count: The number of applied entries, which reads see.
      replication_stopped: Whether the member receives no entries, a fault.
      is_isolated: Whether the member and the others exchange no entries and no news of promotions,
        a fault. Promotion requests still reach it.
      unresponsive: Whether the member neither runs nor answers statements, a fault. It still
        accepts connections and answers START.
      address_taken: Whether another member listens at the member's address, a fault.
      answers_to_lose: Number of the next executed statements whose answers are lost, a fault.
      reads_to_fail: Number of the next reads that fail, a fault.
      statements_to_reject: Number of the next statements that are rejected as if the member were
        busy, a fault. It does not count STATUS.
      statuses_to_reject: The same for STATUS.
      answers_to_repeat: Number of the next answers that are sent a second time, a fault.
      starts_to_repeat: Number of the next answers to START that are sent a second time, a fault.
      repetitions_to_truncate: Number of the next second copies that are cut off, a fault.
      answers_to_truncate: Number of the next answers that are cut off, a fault.
      answers_to_split: Number of the next answers whose bytes arrive in pieces, a fault.
      connection_count: The number of open connections.
      empty_connections: The number of connections so far that the client closed without sending
        a line, or whose first line was empty.
      oversized_messages: The number of messages so far that were longer than the protocol allows;
        each ended its connection.
      active_statements: The number of statements that run or wait for a slot.
      port: The port that the member listens on; 0 before the first start.
      born_ms: Start of the member's process in its record, in Unix milliseconds.
      record_withheld: Whether the member does not write its record, a fault. It ends when the
        member becomes or stops being primary.
    """

    def __init__(self, group: "LineGroup", member_id: str, is_primary: bool) -> None:
        self.group = group
        self.id = member_id
        self.is_primary = is_primary
        self.term = 1
        self.held_term = 0
        self.log: list[CommittedEntry] = []
        self.applied_count = 0
        self.replication_stopped = False
        self.is_isolated = False
        self.unresponsive = False
        self.address_taken = False
        self.answers_to_lose = 0
        self.reads_to_fail = 0
        self.statements_to_reject = 0
        self.statuses_to_reject = 0
        self.answers_to_repeat = 0
        self.starts_to_repeat = 0
        self.repetitions_to_truncate = 0
        self.answers_to_truncate = 0
        self.answers_to_split = 0
        self.connection_count = 0
        self.empty_connections = 0
        self.oversized_messages = 0
        self.active_statements = 0
        self.port = 0
        self.born_ms = 0
        self.record_withheld = False
        self._busy_until_s = -math.inf
        self._stop_count = 0
        self._slots = asyncio.Semaphore(group.options.slots)
        self._server: asyncio.Server | None = None
        self._dark_port: dark_port.DarkPort | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._unreachable: set[asyncio.StreamWriter] = set()
        self._random = random.Random(f"{group.options.seed} {member_id}")

    @property
    def address(self) -> str:
        """The address that the member listens on."""
        return f"127.0.0.1:{self.port}"

    @property
    def position(self) -> str:
        """The position of the last applied entry."""
        return self._position_after(self.applied_count)

    def _position_after(self, entry_count: int) -> str:
        if entry_count == 0:
            return "1.0"
        return f"{self.log[entry_count - 1].term}.{self.log[entry_count - 1].index}"

    async def start(
        self, announce: collections.abc.Callable[[], collections.abc.Awaitable[None]] | None = None
    ) -> None:
        """Starts a process, which listens on the same port as the one before.

        It is a replica if another member was promoted meanwhile, and otherwise what it was.

        Args:
          announce: Called after the start of the process, before it listens.
        """
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.held_term = 0
        if self.group.has_newer_primary(self.term):
            self.is_primary = False
        if announce is not None:
            await announce()
        await self._listen()
        for primary in self.group.primaries:
            self.step_down(primary)
        self.group.resume_replication(self)

    async def _listen(self) -> None:
        while self._server is None:
            try:
                self._server = await asyncio.start_server(
                    self._serve, "127.0.0.1", self.port, limit=MAX_MESSAGE_BYTES
                )
            except OSError as error:
                # A connection of another process may occupy the former port for a short time.
                if error.errno != errno.EADDRINUSE or self.port == 0:
                    raise
                await asyncio.sleep(_PORT_RETRY_S)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def is_running(self) -> bool:
        """Whether the member listens."""
        return self._server is not None

    async def stop(self) -> None:
        """Stops abruptly, like a killed process; the log is kept."""
        if self._dark_port is not None:
            self._dark_port.close()
            self._dark_port = None
        if self._server is not None:
            self._server.close()
            self._server = None
        self._stop_count += 1
        self.connection_count = 0
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def restart_without_log(self, pause_s: float) -> None:
        """Ends like a killed process; another one starts under the id and address.

        The new process knows nothing of before: it is a replica without entries in the first term.

        Args:
          pause_s: Time between the end and the start.
        """
        await self.stop()
        self.lose_log()
        await asyncio.sleep(pause_s)
        await self.start()

    def lose_log(self) -> None:
        """Makes a stopped member start as a replica without entries in the first term."""
        self.is_primary, self.term = False, 1
        self.log, self.applied_count = [], 0

    def lose_clients(self) -> None:
        """Makes the far ends of all connections unreachable.

        The clients' sides end. The member keeps the connections, which count, for a time.
        """
        self._unreachable.update(self._writers)
        for writer in list(self._writers):
            writer.transport.abort()

    def go_dark(self) -> None:
        """Takes the member off the network, while its process runs on.

        No connection is accepted or refused, none of the open ones carries data, and the member is
        isolated.
        """
        assert self._server is not None
        self.is_isolated = self.unresponsive = True
        self._server.close()
        self._dark_port = dark_port.DarkPort(self.port)

    async def end_darkness(self) -> None:
        """Returns the member to the network."""
        if self._dark_port is not None:
            self._dark_port.close()
            self._dark_port = self._server = None
            await self._listen()
        self.unresponsive = False
        self.end_isolation()

    def end_isolation(self) -> None:
        """Ends the isolation; a former primary steps down after the delay."""
        self.is_isolated = False
        loop = asyncio.get_running_loop()
        for primary in self.group.primaries:
            for member in self.group.members.values():
                loop.call_later(self.group.options.step_down_delay_s, member.step_down, primary)
        self.group.resume_replication(self)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.connection_count += 1
        stop_count = self._stop_count
        sender = member_answers.AnswerSender(
            writer, self._random, self.group.options.repetition_delay_s
        )
        try:
            try:
                words = (await read_line(reader)).split(" ")
            except asyncio.IncompleteReadError as error:
                self.empty_connections += not error.partial
                return
            refusal = self._refusal(words)
            if refusal:
                writer.write(encode(f"{self._error(refusal)}\r\n"))
                return
            async with self._slots:
                await asyncio.sleep(self.group.options.connection_time_s)
            ready = f"READY I {self.position}\r\n".encode()
            await sender.send(ready, self._draw_delivery(to_start=True))
            connection = _Connection(next(_CONNECTION_NUMBERS), words[2])
            while True:
                text = await read_line(reader)
                if text == "BYE":
                    return
                if self.unresponsive or not await self._answer(text, connection, sender):
                    # The member sends nothing more on this connection, but keeps it open until the
                    # client closes it.
                    await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            # The client has disconnected; its open transaction is rolled back.
            pass
        except asyncio.LimitOverrunError:
            self.oversized_messages += 1
        finally:
            self._writers.discard(writer)
            sender.close()
            if writer in self._unreachable:
                self._unreachable.discard(writer)
                await self._wait_while_running(UNREACHABLE_LIMIT_S, stop_count)
            if stop_count == self._stop_count:
                self.connection_count -= 1
            with contextlib.suppress(OSError):
                writer.close()

    async def _wait_while_running(self, duration_s: float, stop_count: int) -> None:
        """Waits for a time, or until the process that had stopped so often has ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s and stop_count == self._stop_count:
            await asyncio.sleep(_END_CHECK_INTERVAL_S)

    def _refusal(self, words: list[str]) -> str:
        if len(words) < 3 or words[0] != "START":
            return "BAD"
        is_other = len(words) > 3 and (self.address_taken or words[3] != self.id)
        if words[1] != self.group.name or is_other:
            return "WRONGNODE"
        if self.connection_count > self.group.options.max_connections:
            return "TOOMANY"
        return ""

    async def _answer(
        self, line: str, connection: _Connection, sender: member_answers.AnswerSender
    ) -> bool:
        """Runs a statement and sends the answer; returns False if it is lost or cut off."""
        message_type, _, rest = line.partition(" ")
        request_id, _, text = rest.partition(" ")
        words = text.split(" ")
        min_position = ""
        if words[0] == "AFTER" and words[2:3] and words[2] in _READ_AFTER_POSITION:
            min_position, words = words[1], words[2:]
        if message_type != "QUERY":
            answer = self._error("BAD")
        elif self._rejects(words[0]):
            answer = self._error("BUSY")
        elif words[0] == "STATUS":
            async with self._slots:
                answer = self._execute(request_id, words, min_position, connection)
        elif words[0] in _SLOT_STATEMENTS:
            self.active_statements += 1
            try:
                result = await self._run_in_slot(request_id, words, min_position, connection)
            finally:
                self.active_statements -= 1
            if result is None:
                return False
            answer = result
        else:
            answer = self._execute(request_id, words, min_position, connection)
        if self.unresponsive:
            return False
        data = encode(f"{answer}\r\nREADY {connection.transaction_state} {self.position}\r\n")
        await sender.send(data, self._draw_delivery(to_start=False))
        return not sender.ended

    async def _run_in_slot(
        self, request_id: str, words: list[str], min_position: str, connection: _Connection
    ) -> str | None:
        """Runs a read, a write or a commit; returns None if it or its answer is lost."""
        stop_count = self._stop_count
        async with self._slots:
            await asyncio.sleep(self.group.options.service_time_s)
            if self._stop_count > stop_count:
                # The member has crashed, and the statement with it.
                return None
            entry_count = len(self.log)
            answer = self._execute(request_id, words, min_position, connection)
            committed = self.log[entry_count:]
        if committed and not await self._wait_until_received(committed[0]):
            return None
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return None
        return answer

    def _draw_delivery(self, to_start: bool) -> member_answers.Delivery:
        """Chooses how the next answer is sent: as a test has asked for, or by the shares."""
        options = self.group.options
        repeated_share, counter = options.repeated_share, "answers_to_repeat"
        if to_start:
            repeated_share, counter = options.repeated_start_share, "starts_to_repeat"
        repeated = self._is_due(counter, repeated_share)
        return member_answers.Delivery(
            truncated=self._is_due("answers_to_truncate", options.truncated_share),
            split=self._is_due("answers_to_split", options.split_share),
            repeated=repeated,
            repetition_truncated=repeated
            and self._is_due("repetitions_to_truncate", options.truncated_repetition_share),
        )

    def _is_due(self, counter: str, share: float) -> bool:
        """Counts a fault down if a test has asked for it, and draws it otherwise."""
        remaining = getattr(self, counter)
        if remaining > 0:
            setattr(self, counter, remaining - 1)
            return True
        return self._random.random() < share

    def _rejects(self, statement: str) -> bool:
        """Returns whether the member rejects a statement as busy."""
        if statement not in _REJECTED_IF_BUSY:
            return False
        counter = "statuses_to_reject" if statement == "STATUS" else "statements_to_reject"
        return (
            self._is_due(counter, 0.0)
            or asyncio.get_running_loop().time() < self._busy_until_s
            or self.active_statements >= self.group.options.max_waiting
        )

    def _error(self, code: str) -> str:
        return f"ERR {code} {self.group.options.error_text or self.id}"

    def _fail(self, code: str, connection: _Connection) -> str:
        """Returns the answer to a failed statement, after which a transaction can only be ended."""
        if connection.transaction_state == "T":
            connection.transaction_state = "E"
        return self._error(code)

    def _has_lost_the_lead(self, statement: str, connection: _Connection) -> bool:
        """Returns whether the statement is in a transaction that began at a primary no longer one.

        A transaction that wrote nothing can still be committed.
        """
        return (
            connection.transaction_kind == "PLAIN"
            and not self.is_primary
            and statement != "ROLLBACK"
            and (statement != "COMMIT" or bool(connection.writes))
        )

    def _execute(
        self, request_id: str, words: list[str], min_position: str, connection: _Connection
    ) -> str:
        if connection.transaction_state == "E" and words not in (["COMMIT"], ["ROLLBACK"]):
            return self._error("BAD")
        if self._has_lost_the_lead(words[0], connection):
            if words == ["COMMIT"]:
                self._end_transaction(connection)
            return self._fail("READONLY", connection)
        if min_position and _parse_position(min_position) > _parse_position(self.position):
            return self._fail("BEHIND", connection)
        match words:
            case ["BEGIN"] | ["BEGIN", "READ"] if connection.transaction_state == "I":
                return self._begin_transaction("READ" if words[1:] else "PLAIN", connection)
            case ["ROLLBACK"]:
                self._end_transaction(connection)
                return "DONE -"
            case ["COMMIT"] if connection.transaction_state == "E":
                self._end_transaction(connection)
                return self._error("FAILED")
            case ["COMMIT"] if connection.transaction_state == "T":
                return self._commit_transaction(request_id, connection)
            case ["READ" | "WRITE", *_]:
                return self._read_or_write(request_id, words[0], words, connection)
            case ["EXEC", name, *rest]:
                if name not in connection.prepared:
                    return self._fail("NOSTMT", connection)
                access, shape = connection.prepared[name]
                return self._read_or_write(request_id, access, [access, *rest], connection, shape)
            case ["SET", name, *value]:
                connection.values[name] = " ".join(value)
                return "DONE -"
            case ["PREPARE", name, access, *statement]:
                connection.prepared[name] = (access, " ".join(statement))
                return "DONE -"
            case ["FORGET", name]:
                if connection.prepared.pop(name, None) is None:
                    return self._fail("NOSTMT", connection)
                return "DONE -"
            case ["RESET"]:
                connection.values.clear()
                connection.prepared.clear()
                return "DONE -"
            case ["STATUS" | "DEMOTE" | "HOLD" | "RESUME", *_]:
                return self._control(words)
            case _:
                return self._error("BAD")

    def _control(self, words: list[str]) -> str:
        match words:
            case ["STATUS"]:
                pass
            case ["DEMOTE", term]:
                if self.is_primary and int(term) > self.term:
                    self.is_primary, self.term = False, int(term)
                    self.group.notify_role_change(self)
            case ["HOLD", term]:
                if not self.is_primary and int(term) > self.term:
                    self.held_term = int(term)
            case ["RESUME"]:
                self.held_term = 0
            case _:
                return self._error("BAD")
        return self._status()

    def _status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        received_position = self._position_after(len(self.log))
        return (
            f"ROW {role} {self.term} {received_position} {self.held_term} 0"
            f" {self.active_statements} {self.connection_count}\r\nDONE -"
        )

    def _read_or_write(
        self,
        request_id: str,
        access: str,
        words: list[str],
        connection: _Connection,
        shape: str = "",
    ) -> str:
        if access == "WRITE" and not self.is_primary:
            return self._fail("READONLY", connection)
        text = " ".join(words)
        self._record_statement(request_id, text, connection, shape)
        if access == "READ":
            if self.reads_to_fail > 0:
                self.reads_to_fail -= 1
                return self._fail("FAILED", connection)
            rows = rows_of_item(words[1], self.value(words[1]), self.group.options.varied_rows)
            return "".join(f"ROW {row}\r\n" for row in rows) + f"DONE proof-{self.id}-{request_id}"
        write = (words[1], " ".join(words[2:]))
        if connection.transaction_state == "T":
            connection.writes.append(write)
        else:
            self._commit(request_id, (write,))
        return f"DONE proof-{self.id}-{request_id}"

    def _record_statement(
        self, request_id: str, text: str, connection: _Connection, shape: str = ""
    ) -> None:
        self.group.executed_statements.append(
            ExecutedStatement(
                member_id=self.id,
                request_id=request_id,
                text=text,
                session_values=dict(connection.values),
                connection_number=connection.number,
                in_transaction=connection.transaction_state == "T",
                log=self.log,
                applied_count=self.applied_count,
                executed_at_s=asyncio.get_running_loop().time(),
                shape=shape,
                client_name=connection.client_name,
            )
        )

    def _commit_transaction(self, request_id: str, connection: _Connection) -> str:
        writes = tuple(connection.writes)
        self._record_statement(request_id, "COMMIT", connection)
        self._end_transaction(connection)
        if writes:
            self._commit(request_id, writes)
        return f"DONE proof-{self.id}-{request_id}"

    def _begin_transaction(self, kind: str, connection: _Connection) -> str:
        if kind == "PLAIN" and not self.is_primary:
            return self._error("READONLY")
        connection.transaction_state, connection.transaction_kind = "T", kind
        return "DONE -"

    def _end_transaction(self, connection: _Connection) -> None:
        connection.transaction_state, connection.transaction_kind = "I", ""
        connection.writes.clear()

    def _commit(self, request_id: str, writes: tuple[tuple[str, str], ...]) -> None:
        index = self.log[-1].index + 1 if self.log else 1
        entry = CommittedEntry(
            term=self.term,
            index=index,
            writes=writes,
            request_id=request_id,
            newer_primary_existed=self.group.has_newer_primary(self.term),
            member_id=self.id,
            committed_at_s=asyncio.get_running_loop().time(),
        )
        self.log.append(entry)
        self.group.committed_entries.append(entry)
        self.applied_count = len(self.log)
        self.group.commit_counts[request_id] += 1
        self.group.replicate(self)

    async def _wait_until_received(self, entry: CommittedEntry) -> bool:
        """Waits until as many replicas have received an entry as a commit needs.

        Returns:
          Whether they have; False if the member has ended or the entry was rolled back.
        """
        if not self.group.options.sync_replicas:
            return True
        others = [member for member in self.group.members.values() if member is not self]
        while not any(member.has_received(entry) for member in others):
            if self._server is None or not self.has_received(entry):
                return False
            self.group.replicate(self)
            await asyncio.sleep(_RESEND_INTERVAL_S)
        return True

    def has_received(self, entry: CommittedEntry) -> bool:
        """Returns whether the log holds an entry."""
        return self.log[entry.index - 1 : entry.index] == [entry]

    def receive_log(self, primary: "LineMember", entry_count: int | None = None) -> None:
        """Copies the log of the primary and applies it after the apply lag.

        Args:
          primary: The primary.
          entry_count: Number of its first entries to copy; None for all. Fewer than the member has
            received already are ignored.
        """
        entries = primary.log[:entry_count]
        if entry_count is not None and entries == self.log[: len(entries)]:
            return
        if (
            self._server is None
            or self.is_primary
            or self.replication_stopped
            or self.is_isolated
            or primary.is_isolated
            or self.held_term
            or primary.term < self.term
        ):
            return
        if self.log and self.log[-1] not in entries[len(self.log) - 1 : len(self.log)]:
            # Entries are rolled back.
            self._busy_until_s = (
                asyncio.get_running_loop().time() + self.group.options.rollback_time_s
            )
        self.term = primary.term
        self.log = entries
        self.applied_count = min(self.applied_count, len(self.log))
        loop = asyncio.get_running_loop()
        loop.call_later(self.group.options.apply_lag_s, self._apply, len(self.log))

    def step_down(self, primary: "LineMember") -> None:
        """Follows a new primary; entries that only this member has are rolled back."""
        if self._server is None or not primary.is_primary or primary.term <= self.term:
            return
        if self.is_isolated or primary.is_isolated:
            return
        if self.is_primary:
            self.is_primary = False
            self.group.notify_role_change(self)
        self.term = primary.term
        if primary.is_running:
            self.receive_log(primary)

    def _apply(self, entry_count: int) -> None:
        self.applied_count = max(self.applied_count, min(entry_count, len(self.log)))

    def value(self, item: str) -> str:
        """Returns an item's value in the applied log; "-" if it has none."""
        for entry in reversed(self.log[: self.applied_count]):
            for name, value in reversed(entry.writes):
                if name == item:
                    return value
        return "-"


def rows_of_item(item: str, value: str, varied: bool) -> tuple[str, ...]:
    """Returns the rows of a read.

    Args:
      item: The item that is read.
      value: Its value.
      varied: Whether some items have several rows or none.
    """
    row_count = zlib.crc32(item.encode()) % 4 if varied else 1
    return tuple(f"{value}{'+' * number}" for number in range(row_count))


class LineGroup:
    """The members of one group.

    Attributes:
      name: The group's name.
      options: The group's options.
      executed_statements: All statements that members have executed, in order.
      commit_counts: The number of commits by request id.
      committed_entries: All entries committed by any member, also those that were rolled back.
      promotions: All promotions that have taken effect, in order.
      members: The members by id.
      role_change_events: Events that are set whenever a member becomes or stops being primary.
    """

    def __init__(
        self, name: str, members: tuple[str, ...], options: GroupOptions | None = None
    ) -> None:
        """Creates the members; the first one is the primary."""
        self.name = name
        self.options = options or GroupOptions()
        self.executed_statements: list[ExecutedStatement] = []
        self.commit_counts: collections.Counter[str] = collections.Counter()
        self.committed_entries: list[CommittedEntry] = []
        self.promotions: list[Promotion] = []
        self.members = {
            member_id: LineMember(self, member_id, is_primary=member_id == members[0])
            for member_id in members
        }
        self.role_change_events: list[asyncio.Event] = []
        self._random = random.Random(f"{self.options.seed} receipt")

    async def start(self) -> None:
        """Starts all members."""
        for member in self.members.values():
            await member.start()

    async def stop(self) -> None:
        """Stops all members."""
        for member in self.members.values():
            await member.stop()

    @property
    def primaries(self) -> list[LineMember]:
        """The members that regard themselves as the primary."""
        return [member for member in self.members.values() if member.is_primary]

    def notify_role_change(self, changed: LineMember) -> None:
        """Sets the events that wait for a role change, and lets the member write its record."""
        changed.record_withheld = False
        for event in self.role_change_events:
            event.set()

    def replicate(self, primary: LineMember) -> None:
        """Sends the log of the primary to the replicas, which receive it after the receive lag."""
        loop = asyncio.get_running_loop()
        for member in self.members.values():
            if member is primary or member.is_primary:
                continue
            if self.options.receive_lag_s:
                delay_s = self._random.uniform(0, self.options.receive_lag_s)
                loop.call_later(delay_s, member.receive_log, primary, len(primary.log))
            else:
                member.receive_log(primary)

    def resume_replication(self, member: LineMember) -> None:
        """Sends the logs of the running primaries after a member has come back."""
        for primary in self.primaries:
            if primary.is_running and (primary is member or not member.is_primary):
                self.replicate(primary)

    def promote(self, member_id: str) -> bool:
        """Accepts a promotion request, which takes effect after the promotion delay.

        Returns:
          Whether the member exists and runs.
        """
        member = self.members.get(member_id)
        if member is None or not member.is_running:
            return False
        if not member.is_primary or self.has_newer_primary(member.term):
            loop = asyncio.get_running_loop()
            loop.call_later(self.options.promotion_delay_s, self._complete_promotion, member)
        return True

    def has_newer_primary(self, term: int) -> bool:
        """Returns whether a member is primary of a newer term, or was until it started again."""
        return any(promotion.term > term for promotion in self.promotions) or any(
            member.is_primary and member.term > term for member in self.members.values()
        )

    def _complete_promotion(self, promoted: LineMember) -> None:
        if not promoted.is_running:
            return
        # Members that have started again without their logs may all know older terms only.
        newest_term = max((promotion.term for promotion in self.promotions), default=0)
        newest_term = max(newest_term, *(member.term for member in self.members.values()))
        promoted.term = newest_term + 1
        promoted.is_primary = True
        loop = asyncio.get_running_loop()
        if self.options.promotion_apply_lag_s:
            lag_s = self.options.promotion_apply_lag_s
            loop.call_later(lag_s, promoted._apply, len(promoted.log))
        else:
            promoted.applied_count = len(promoted.log)
        now_s = loop.time()
        self.promotions.append(Promotion(promoted.id, promoted.term, tuple(promoted.log), now_s))
        for member in self.members.values():
            member.held_term = 0
            if member is promoted or not member.is_running:
                continue
            if member.is_primary:
                loop.call_later(self.options.step_down_delay_s, member.step_down, promoted)
            elif not member.replication_stopped and not member.is_isolated:
                member.term = promoted.term
                member.receive_log(promoted)
        self.notify_role_change(promoted)


async def read_line(reader: asyncio.StreamReader) -> str:
    """Reads a line up to CR LF and returns it without its end.

    Bytes that are no UTF-8 are kept as surrogates.

    Raises:
      asyncio.LimitOverrunError: The line is longer than the reader's limit.
      asyncio.IncompleteReadError: The connection ended, inside a line or before one.
    """
    return (await reader.readuntil(b"\r\n"))[:-2].decode(errors="surrogateescape")


def encode(text: str) -> bytes:
    """Encodes what `read_line` has returned to the bytes that were read."""
    return text.encode(errors="surrogateescape")


def _parse_position(position: str) -> tuple[int, int]:
    term, _, index = position.partition(".")
    return int(term), int(index)
