"""Stand-ins of database members that speak the line protocol and replicate asynchronously."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import random
import socket
from typing import Any

from platform_api import Platform
from record import Record

MAX_LINE_BYTES = 1_048_700

# Time until a former primary that reaches its successor becomes a replica.
STEP_DOWN_S = 1.0

# Spread of the durations of statements, as the standard deviation of their logarithm.
WORK_SPREAD = 0.7

# Statements that take one of the member's slots.
SLOT_WORDS = frozenset({"READ", "WRITE", "EXEC", "COMMIT"})


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A committed entry of the log.

    Attributes:
      term: Term of the primary that committed it.
      number: Its number in the log.
      request_id: Id of the request that committed it.
      writes: Request id, item and data of each write.
    """

    term: int
    number: int
    request_id: str
    writes: tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(slots=True)
class Options:
    """Options of a group.

    Attributes:
      slots: Statements that a member runs at the same time.
      queue: Statements that wait for a slot before the member answers BUSY.
      max_connections: Connections that a member accepts.
      work_s: Duration of a read, a write or a commit.
      connect_s: Time for which a new connection takes a slot.
      receive_s: Time until a replica has received a commit.
      apply_s: Time until a replica has applied a commit that it has received.
      promote_s: Time until a promotion takes effect.
      sync_replicas: Replicas that receive a commit before it is acknowledged.
    """

    slots: int = 2
    queue: int = 16
    max_connections: int = 16
    work_s: float = 0.005
    connect_s: float = 0.012
    receive_s: float = 0.001
    apply_s: float = 0.06
    promote_s: float = 0.3
    sync_replicas: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A statement that a member has run.

    Attributes:
      member: Id of the member.
      connection: Number of the member connection.
      request_id: Id of the request.
      text: The statement.
      transaction: Id of the BEGIN of the transaction in which it ran; empty outside one.
      values: The session values of the connection.
      answer: Rows and proof, as sent.
    """

    member: str
    connection: int
    request_id: str
    text: str
    transaction: str
    values: dict[str, str]
    answer: tuple[str, ...]


class Connection:
    """A member's state of one connection."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.state = "I"
        self.transaction = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list[tuple[str, str, str]] = []

    def end_transaction(self) -> list[tuple[str, str, str]]:
        """End the transaction; return its writes."""
        writes, self.writes = self.writes, []
        self.state, self.transaction = "I", ""
        return writes


class Member:
    """One member.

    Attributes:
      id: The member's id.
      group: Its group.
      zone: Its zone.
      primary: Whether it regards itself as the primary.
      term: The newest term that it knows.
      log: The entries that it has received.
      applied: Number of entries that reads see.
      receives: Whether it receives entries.
      leads_when_back: Whether a promotion takes effect as soon as the member is back.
      dark: Whether it is silent: it neither reads nor answers, and accepts no connection.
    """

    def __init__(self, group: "Group", member_id: str, zone: str, primary: bool) -> None:
        self.id = member_id
        self.group = group
        self.zone = zone
        self.primary = primary
        self.term = 1
        self.log: list[Entry] = []
        self.applied = 0
        self.receives = True
        self.leads_when_back = False
        self.connections = 0
        self.busy = 0
        self.port = 0
        self._awake = asyncio.Event()
        self._awake.set()
        self._slots = asyncio.Semaphore(group.options.slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._full_queue: list[socket.socket] = []

    @property
    def dark(self) -> bool:
        """Whether the member is silent."""
        return not self._awake.is_set()

    async def start(self) -> None:
        """Listen, after a stop at the same port as before."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Stop abruptly; the log is kept."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    @property
    def running(self) -> bool:
        """Whether the member runs and is reachable."""
        return self._server is not None and not self.dark

    async def go_dark(self) -> None:
        """Fall silent: nothing is read or answered, and no connection is accepted."""
        self._awake.clear()
        assert self._server is not None
        self._server.close()
        # A listener whose queue is full drops the opening packets of new connections.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._full_queue.append(listener)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._full_queue.append(filler)

    async def wake(self) -> None:
        """End the silence."""
        for held in self._full_queue:
            held.close()
        self._full_queue.clear()
        await self.start()
        self._awake.set()
        self.group.rejoin(self)
        if self.leads_when_back:
            self.leads_when_back = False
            self.group.lead(self)

    def position(self, count: int | None = None) -> str:
        """Return the position after a number of entries, by default the applied ones."""
        count = self.applied if count is None else count
        return f"{self.log[count - 1].term}.{self.log[count - 1].number}" if count else "1.0"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            await self._awake.wait()
            words = (await reader.readline()).decode().split()
            if not words:
                return
            refusal = self._refusal(words)
            if refusal:
                writer.write(f"ERR {refusal} {self.id}\r\n".encode())
                return
            async with self._slots:
                await asyncio.sleep(self.group.options.connect_s)
            writer.write(f"READY I {self.position()}\r\n".encode())
            connection = Connection(next(self.group.connection_numbers))
            while line := await reader.readline():
                await self._awake.wait()
                answer = await self._answer(line.decode().rstrip("\r\n"), connection)
                await self._awake.wait()
                text = "".join(f"{part}\r\n" for part in answer)
                writer.write(f"{text}READY {connection.state} {self.position()}\r\n".encode())
        except (OSError, EOFError):
            # The caller has gone; its transaction is rolled back.
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    def _refusal(self, words: list[str]) -> str:
        if words[0] != "START" or len(words) < 3:
            return "BAD"
        if words[1] != self.group.name or (len(words) > 3 and words[3] != self.id):
            return "WRONGNODE"
        return "TOOMANY" if self.connections > self.group.options.max_connections else ""

    async def _answer(self, line: str, connection: Connection) -> tuple[str, ...]:
        """Run a statement; return the lines of the answer."""
        _, request_id, text = line.split(" ", 2)
        words = text.split(" ")
        after = ""
        if words[0] == "AFTER":
            after, words = words[1], words[2:]
        if words[0] not in SLOT_WORDS:
            return self._execute(request_id, words, after, connection)
        options = self.group.options
        if self.busy >= options.slots + options.queue:
            self.group.record.write(f"member {self.id} c{connection.number} {request_id} BUSY")
            return (f"ERR BUSY {self.id}",)
        self.group.arrivals[request_id] = self.group.record.now_s
        self.busy += 1
        try:
            async with self._slots:
                await asyncio.sleep(options.work_s * _spread())
                await self._awake.wait()
                answer = self._execute(request_id, words, after, connection)
            received = await self._wait_for_replicas(request_id)
        finally:
            self.busy -= 1
        return answer if received else (f"ERR FAILED {self.id} lost the lead",)

    async def _wait_for_replicas(self, request_id: str) -> bool:
        """Wait until enough replicas have received what a request has just committed, if anything.

        Returns:
          Whether they have; False if the member has lost the lead before.
        """
        if not self.log or self.log[-1].request_id != request_id:
            return True
        length = len(self.log)
        while self.primary and not self.group.received(self, length):
            await self.group.wait_for_change()
        return self.primary

    def _execute(
        self, request_id: str, words: list[str], after: str, connection: Connection
    ) -> tuple[str, ...]:
        if after and _parse(after) > _parse(self.position()):
            return (f"ERR BEHIND {self.id}",)
        if connection.state == "E" and words[0] != "ROLLBACK":
            return ("ERR BAD the transaction has failed",)
        match words:
            case ["BEGIN", *rest]:
                if not rest and not self.primary:
                    return (f"ERR READONLY {self.id}",)
                connection.state, connection.transaction = "T", request_id
                self._log(connection, request_id, "BEGIN")
                return ("DONE -",)
            case ["ROLLBACK"]:
                connection.end_transaction()
                self._log(connection, request_id, "ROLLBACK")
                return ("DONE -",)
            case ["COMMIT"]:
                return self._commit(request_id, connection)
            case ["READ" | "WRITE", *_]:
                return self._read_or_write(request_id, words, connection)
            case ["EXEC", name, *rest]:
                if name not in connection.prepared:
                    return (f"ERR NOSTMT {name}",)
                access, _ = connection.prepared[name]
                return self._read_or_write(request_id, [access, *rest], connection)
            case ["SET", name, *value]:
                connection.values[name] = " ".join(value)
                return ("DONE -",)
            case ["PREPARE", name, access, *shape]:
                connection.prepared[name] = (access, " ".join(shape))
                return ("DONE -",)
            case ["RESET"]:
                connection.values.clear()
                connection.prepared.clear()
                return ("DONE -",)
            case ["STATUS"]:
                return self._status()
            case ["DEMOTE", term]:
                if self.primary and int(term) > self.term:
                    self.primary, self.term = False, int(term)
                    self.group.notify()
                return self._status()
            case _:
                return ("ERR BAD",)

    def _status(self) -> tuple[str, ...]:
        role = "primary" if self.primary else "replica"
        received = self.position(len(self.log))
        row = f"ROW {role} {self.term} {received} 0 0 {self.busy} {self.connections}"
        return row, "DONE -"

    def _read_or_write(
        self, request_id: str, words: list[str], connection: Connection
    ) -> tuple[str, ...]:
        if words[0] == "WRITE" and not self.primary:
            connection.state = "E" if connection.state == "T" else "I"
            return (f"ERR READONLY {self.id}",)
        answer: tuple[str, ...] = (f"DONE proof.{self.id}.{request_id}",)
        if words[0] == "READ":
            answer = (f"ROW {self._value(words[1])}", *answer)
        self.group.runs.append(
            Run(
                self.id,
                connection.number,
                request_id,
                " ".join(words),
                connection.transaction,
                dict(connection.values),
                answer,
            )
        )
        self._log(connection, request_id, " ".join(words))
        if words[0] == "WRITE":
            write = (request_id, words[1], " ".join(words[2:]))
            if connection.state == "T":
                connection.writes.append(write)
            else:
                self._append(request_id, (write,))
        return answer

    def _commit(self, request_id: str, connection: Connection) -> tuple[str, ...]:
        if connection.state != "T":
            return ("ERR BAD not in a transaction",)
        begun = connection.transaction
        writes = connection.end_transaction()
        if writes and not self.primary:
            return (f"ERR READONLY {self.id}",)
        answer = (f"DONE proof.{self.id}.{request_id}",)
        self.group.runs.append(
            Run(self.id, connection.number, request_id, "COMMIT", begun, {}, answer)
        )
        self._log(connection, request_id, f"COMMIT of {begun}")
        if writes:
            self._append(request_id, tuple(writes))
        return answer

    def _log(self, connection: Connection, request_id: str, text: str) -> None:
        begun = connection.transaction or "-"
        self.group.record.write(
            f"member {self.id} c{connection.number} ran {request_id} {text} (transaction {begun})"
        )

    def _append(self, request_id: str, writes: tuple[tuple[str, str, str], ...]) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        entry = Entry(self.term, number, request_id, writes)
        self.log.append(entry)
        self.applied = len(self.log)
        self.group.committed.append(entry)
        if self.group.primary is not self:
            self.group.committed_late[request_id] = self.id
        self.group.replicate(self)

    def receive(self, entries: list[Entry], term: int) -> None:
        """Receive the log of the primary of a term, and apply it later."""
        if not self.running or not self.receives or term < self.term or self.primary:
            return
        kept = 0
        while kept < min(len(self.log), len(entries)) and self.log[kept] == entries[kept]:
            kept += 1
        if kept == len(entries) and len(entries) <= len(self.log) and term == self.term:
            return
        self.term = term
        self.log = list(entries)
        self.applied = min(self.applied, kept)
        self.group.notify()
        loop = asyncio.get_running_loop()
        loop.call_later(self.group.options.apply_s, self._apply, self.log, len(entries))

    def _apply(self, log: list[Entry], count: int) -> None:
        if self.log[:count] == log[:count]:
            self.applied = max(self.applied, count)

    def _value(self, item: str) -> str:
        for entry in reversed(self.log[: self.applied]):
            for _, name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "none"


class Group:
    """The members of one service.

    Attributes:
      name: The service's name.
      options: Its options.
      record: The record of the run.
      members: The members by id; the first one starts as the primary.
      runs: All statements that members have run.
      committed: All committed entries.
      committed_late: The member that committed a request after another had been promoted, by the id
        of the request.
      arrivals: When each statement that takes a slot was accepted by a member.
      on_promotion_accepted: Called with the member that a promotion call names.
      on_promoted: Called with the member that a promotion has made the primary.
    """

    def __init__(
        self, name: str, members: dict[str, str], options: Options, record: Record
    ) -> None:
        """Create the members.

        Args:
          name: The service's name.
          members: The zone of each member by id.
          options: The options.
          record: The record of the run.
        """
        self.name = name
        self.options = options
        self.record = record
        self.connection_numbers = itertools.count(1)
        self.runs: list[Run] = []
        self.committed: list[Entry] = []
        self.committed_late: dict[str, str] = {}
        self.arrivals: dict[str, float] = {}
        self.on_promotion_accepted: collections.abc.Callable[[Member], None] = lambda _: None
        self.on_promoted: collections.abc.Callable[[Member], None] = lambda _: None
        self._changed = asyncio.Condition()
        self._notifications: set[asyncio.Task[None]] = set()
        self.members = {
            member_id: Member(self, member_id, zone, number == 0)
            for number, (member_id, zone) in enumerate(members.items())
        }

    async def start(self, platform: Platform) -> None:
        """Start the members and register them."""
        for member in self.members.values():
            await member.start()
        await self.register(platform)

    async def register(self, platform: Platform) -> None:
        """Write the members' entries, as members do after each change of their role."""
        for member in self.members.values():
            if member.running:
                await platform.put("servers", member.id, self._entry(member, platform))

    def _entry(self, member: Member, platform: Platform) -> dict[str, Any]:
        role = "primary" if member.primary else "replica"
        known = platform.spec("servers", member.id)
        entry = {
            "service": self.name,
            "address": f"127.0.0.1:{member.port}",
            "zone": member.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1 if known is None else known["seq"],
            "born": 1_700_000_000_000,
            "db_role": role,
        }
        if known is not None and known != entry:
            entry["seq"] = known["seq"] + 1
        return entry

    @property
    def primary(self) -> Member:
        """The primary of the newest term."""
        primaries = [member for member in self.members.values() if member.primary]
        return max(primaries, key=lambda member: member.term)

    def replicate(self, primary: Member) -> None:
        """Send the log of the primary to the replicas."""
        loop = asyncio.get_running_loop()
        for member in self.members.values():
            if member is not primary:
                loop.call_later(
                    self.options.receive_s, member.receive, list(primary.log), primary.term
                )

    def received(self, primary: Member, length: int) -> bool:
        """Return whether enough replicas have received a part of the primary's log."""
        count = sum(
            member is not primary and member.log[:length] == primary.log[:length]
            for member in self.members.values()
        )
        return count >= self.options.sync_replicas

    async def wait_for_change(self) -> None:
        """Wait until a replica has received something."""
        async with self._changed:
            await self._changed.wait()

    def notify(self) -> None:
        """Wake those who wait for replicas."""
        task = asyncio.get_running_loop().create_task(self._notify())
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def promote(self, member_id: str) -> int:
        """Answer a promotion call, which takes effect later; return the HTTP status."""
        member = self.members.get(member_id)
        if member is None or not member.running:
            return 409
        if not member.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.options.promote_s, self.lead, member)
            self.on_promotion_accepted(member)
        return 200

    def lead(self, member: Member) -> None:
        """Make a member the primary; one that is dark leads as soon as it is back."""
        if member.dark:
            member.leads_when_back = True
        if not member.running:
            return
        former = [other for other in self.members.values() if other.primary]
        member.term = max(other.term for other in self.members.values()) + 1
        member.primary = True
        member.applied = len(member.log)
        self.record.write(
            f"member {member.id} leads term {member.term} at {member.position(len(member.log))}"
        )
        self.on_promoted(member)
        for other in former:
            if other is not member:
                loop = asyncio.get_running_loop()
                loop.call_later(STEP_DOWN_S, self._step_down, other, member)
        self.replicate(member)

    def rejoin(self, member: Member) -> None:
        """Have a member that is back, and the others, follow the primary of the newest term."""
        newest = self.primary
        loop = asyncio.get_running_loop()
        for other in self.members.values() if newest is member else (member,):
            if other is not newest:
                delay_s = STEP_DOWN_S if other.primary else self.options.receive_s
                loop.call_later(delay_s, self._step_down, other, newest)

    def _step_down(self, former: Member, successor: Member) -> None:
        """Make a former primary a replica, a second after it could reach its successor."""
        if former.running and successor.running and former.term < successor.term:
            former.primary = False
            self.notify()
            self.replicate(successor)


def _spread() -> float:
    """Return a factor for the duration of a statement, 1 on average, as on the sheets."""
    return min(5.0, random.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD))


def _parse(position: str) -> tuple[int, int]:
    term, _, number = position.partition(".")
    return int(term), int(number)
