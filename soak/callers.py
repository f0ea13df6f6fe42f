"""Clients of the soak: each runs sessions on random instances and records its operations."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

from bilberrystack_standins import line_site
from soak import conditions
from soak import history

DATABASES = ("strict", "aged", "own")
ITEMS = tuple(f"item{number}" for number in range(12))

# Maximum wait of a client for a reply. Statements have a time limit of 1 s.
REPLY_TIMEOUT_S = 4.0

MAX_OPERATIONS_PER_SESSION = 30

# Maximum length of data without a request that is shown in a violation.
MAX_UNREAD_BYTES = 1000


# Maximum pause before a client opens its next session, also after a failed attempt.
MAX_RECONNECT_PAUSE_S = 0.05

# Prefix of the request ids that the checks ignore.
PROBE_PREFIX = "probe"

_SESSION_NUMBERS = itertools.count(1)
_REQUEST_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Habits:
    """What clients do.

    Attributes:
      databases: The databases that they choose from.
      write_share: Share of the statements that write.
      max_pause_s: Maximum pause between two operations of a session.
      read_only_share: Share of the transactions that begin with BEGIN READ and only read.
      empty_share: Share of the transactions that have no statement between BEGIN and COMMIT.
    """

    databases: tuple[str, ...] = DATABASES
    write_share: float = 0.4
    max_pause_s: float = 0.03
    read_only_share: float = 0.0
    empty_share: float = 0.0


USUAL_HABITS = Habits()


class SessionEnded(Exception):
    """The connection of the session ended, or a reply did not arrive in time."""


class WrongReply(Exception):
    """The client received what can't be the reply to its request, or data without a request."""


class Session:
    """One session of a client."""

    def __init__(
        self,
        client: line_site.Client,
        database: str,
        instance: str,
        data_rng: random.Random | None,
        habits: Habits = USUAL_HABITS,
    ) -> None:
        """Creates a session on a connection that has been answered READY.

        Args:
          client: The connection.
          database: Name of the database.
          instance: Name of the instance.
          data_rng: Source of data with any characters; None for data of letters and digits.
          habits: What the client does.
        """
        self._data_rng = data_rng
        self._habits = habits
        self._client = client
        self._database = database
        self._instance = instance
        self._number = next(_SESSION_NUMBERS)
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[str, str]] = {}

    async def prepare(self, rng: random.Random) -> None:
        """Sets a value and prepares a statement, each at random.

        The names are shared with other sessions, so that a mix-up between sessions shows.

        Args:
          rng: Source of the random choices.

        Raises:
          SessionEnded: The connection ended, or a reply did not arrive in time.
        """
        if rng.random() < 0.5:
            name, value = f"v{rng.randrange(2)}", self._draw_data(f"s{self._number}")
            if await self._send_unrecorded(f"SET {name} {value}"):
                self._values[name] = value
        if rng.random() < 0.5:
            access = rng.choice(("READ", "WRITE"))
            shape = self._draw_data(f"shape{access}{self._number}")
            if await self._send_unrecorded(f"PREPARE p {access} {shape}"):
                self._prepared["p"] = access, shape

    def _draw_data(self, text: str) -> str:
        return text if self._data_rng is None else conditions.draw_text(text, self._data_rng)

    async def _send_unrecorded(self, text: str) -> bool:
        reply = await self._request(f"r{next(_REQUEST_NUMBERS)}", text)
        if len(reply) != 2 or (reply[0] != "DONE -" and not reply[0].startswith("ERR ")):
            raise WrongReply(text, reply)
        return reply[0] == "DONE -"

    async def run_operation(self, rng: random.Random, record: list[history.Operation]) -> None:
        """Runs one operation and records it.

        Args:
          rng: Source of the random choices.
          record: List to which the operation is added before it starts.

        Raises:
          SessionEnded: The connection ended, a reply did not arrive in time, or the client leaves
            in the middle of a transaction.
        """
        is_transaction = rng.random() < 0.3
        now_s = asyncio.get_running_loop().time()
        operation = history.Operation(
            self._number, self._database, self._instance, dict(self._values), now_s, is_transaction
        )
        record.append(operation)
        if not is_transaction:
            await self._run_statement(operation, *self._draw_statement(rng))
            return
        read_only = self._draws(rng, self._habits.read_only_share)
        if not await self._send_unrecorded("BEGIN READ" if read_only else "BEGIN"):
            return
        for _ in range(0 if self._draws(rng, self._habits.empty_share) else rng.randint(1, 4)):
            statement = await self._run_statement(operation, *self._draw_statement(rng, read_only))
            if not statement.succeeded:
                await self._send_unrecorded("ROLLBACK")
                return
            await asyncio.sleep(rng.uniform(0, self._habits.max_pause_s))
        match rng.random():
            case share if share < 0.1:
                await self._send_unrecorded("ROLLBACK")
            case share if share < 0.15:
                raise SessionEnded
            case _:
                await self._run_statement(operation, "COMMIT", "COMMIT")

    def _draws(self, rng: random.Random, share: float) -> bool:
        """Returns true with a probability. Without any, the seeds' other choices stay the same."""
        return share > 0 and rng.random() < share

    def _draw_statement(self, rng: random.Random, read_only: bool = False) -> tuple[str, str, str]:
        """Returns the text to send, and the text and the shape that a member has to execute."""
        item = rng.choice(ITEMS)
        write_share = 0.0 if read_only else self._habits.write_share
        access = "WRITE" if rng.random() < write_share else "READ"
        expected_text = f"{access} {item}" + (
            f" {self._draw_data(f'w{next(_REQUEST_NUMBERS)}')}" if access == "WRITE" else ""
        )
        prepared_access, shape = self._prepared.get("p", ("", ""))
        if prepared_access == access and rng.random() < 0.5:
            return expected_text.replace(access, "EXEC p", 1), expected_text, shape
        return expected_text, expected_text, ""

    async def _run_statement(
        self, operation: history.Operation, text: str, expected_text: str, shape: str = ""
    ) -> history.Statement:
        loop = asyncio.get_running_loop()
        statement = history.Statement(
            f"q{next(_REQUEST_NUMBERS)}", text, expected_text, loop.time(), shape
        )
        operation.statements.append(statement)
        try:
            reply = await self._request(statement.id, text)
        except SessionEnded:
            statement.disconnected_at_s = loop.time()
            raise
        statement.answered_at_s = loop.time()
        statement.rows = tuple(line[4:] for line in reply if line.startswith("ROW "))
        match reply[-2].split(" "):
            case ["DONE", proof]:
                statement.proof = proof
            case ["ERR", code, *_]:
                statement.error_code = code
        return statement

    async def _request(self, request_id: str, text: str) -> list[str]:
        await self._check_silence()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await self._client.query(text, request_id)
        except (OSError, TimeoutError, RuntimeError) as error:
            raise SessionEnded from error
        if len(reply) < 2 or not reply[-1].startswith("READY"):
            raise SessionEnded
        return reply

    async def _check_silence(self) -> None:
        """Checks that nothing arrived without a request; an ERR may announce a close."""
        data = b""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(0):
                data = await self._client.reader.read(MAX_UNREAD_BYTES)
        if data.startswith(b"ERR "):
            raise SessionEnded
        if data:
            raise WrongReply("data without a request", data)

    def close(self) -> None:
        """Closes the connection, which ends the session."""
        self._client.close()


def probe_id() -> str:
    """Returns a new request id that the checks ignore."""
    return f"{PROBE_PREFIX}{next(_REQUEST_NUMBERS)}"


async def run_client(
    instances: dict[str, str],
    rng: random.Random,
    record: list[history.Operation],
    data_rng: random.Random | None = None,
    habits: Habits = USUAL_HABITS,
) -> None:
    """Opens one session after the other until cancelled.

    Args:
      instances: Addresses of the ready instances by name, read anew for each session.
      rng: Source of all random choices.
      record: List to which the operations are added.
      data_rng: Source of data with any characters; None for data of letters and digits.
      habits: What the client does.

    Raises:
      WrongReply: The client received what can't be the reply to its request.
    """
    while True:
        await asyncio.sleep(rng.uniform(0, MAX_RECONNECT_PAUSE_S))
        if not instances:
            continue
        name = rng.choice(sorted(instances))
        database = rng.choice(habits.databases)
        client = await _open_connection(instances[name], database)
        if client is None:
            continue
        session = Session(client, database, name, data_rng, habits)
        try:
            await session.prepare(rng)
            for _ in range(rng.randint(1, MAX_OPERATIONS_PER_SESSION)):
                await session.run_operation(rng, record)
                await asyncio.sleep(rng.uniform(0, habits.max_pause_s))
        except SessionEnded:
            # The record shows which statement has no reply; the client opens its next session.
            pass
        finally:
            session.close()


async def _open_connection(address: str, database: str) -> line_site.Client | None:
    """Starts a session at an instance; returns None if it isn't accepted."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            client = line_site.Client(reader, writer)
            reply = await client.send(f"START {database} soak")
    except (OSError, TimeoutError):
        return None
    if reply != ["READY I -"]:
        writer.close()
        return None
    return client
