"""Clients of the soak: each uses a connection until its process is gone, and keeps a record."""

import asyncio
import itertools
import random

from bilberrystack_standins import line_site
from soak import history

DATABASES = ("strict", "aged", "own")
ITEMS = tuple(f"item{number}" for number in range(12))

# A client gives up an answer after this time; statements have a time limit of 1 s.
ANSWER_S = 4.0

# Operations of one session.
MAX_OPERATIONS = 30

# Longest pause between two operations of a session.
MAX_PAUSE_S = 0.03

# Pause after a connection that could not be had.
AGAIN_S = 0.05

# Begins the ids of statements that are not accounted for.
PROBE = "probe"

_SESSIONS = itertools.count(1)
_REQUESTS = itertools.count(1)


class Ended(Exception):
    """The connection ended, or an answer did not come."""


class Session:
    """One session of a client."""

    def __init__(self, client: line_site.Client, database: str, instance: str) -> None:
        self._client = client
        self._database = database
        self._instance = instance
        self._number = next(_SESSIONS)
        self._values: dict[str, str] = {}
        self._shapes: dict[str, str] = {}

    async def prepare(self, chance: random.Random) -> None:
        """Sets a value and prepares a statement, under names that other sessions use too."""
        if chance.random() < 0.5:
            name, value = f"v{chance.randrange(2)}", f"s{self._number}"
            if await self._plain(f"SET {name} {value}"):
                self._values[name] = value
        if chance.random() < 0.5:
            access = chance.choice(("READ", "WRITE"))
            if await self._plain(f"PREPARE p {access} shape{access}"):
                self._shapes["p"] = access

    async def _plain(self, text: str) -> bool:
        answer = await self._ask(f"r{next(_REQUESTS)}", text)
        return answer[0] == "DONE -"

    async def operate(self, chance: random.Random, record: list[history.Operation]) -> None:
        """Runs one operation and records it."""
        transaction = chance.random() < 0.3
        now_s = asyncio.get_running_loop().time()
        operation = history.Operation(
            self._number, self._database, self._instance, dict(self._values), now_s, transaction
        )
        record.append(operation)
        if not transaction:
            await self._run(operation, *self._statement(chance))
            return
        if not await self._plain("BEGIN"):
            return
        for _ in range(chance.randint(1, 4)):
            found = await self._run(operation, *self._statement(chance))
            if not found.succeeded:
                await self._plain("ROLLBACK")
                return
            await asyncio.sleep(chance.uniform(0, MAX_PAUSE_S))
        match chance.random():
            case share if share < 0.1:
                await self._plain("ROLLBACK")
            case share if share < 0.15:
                raise Ended
            case _:
                await self._run(operation, "COMMIT", "COMMIT")

    def _statement(self, chance: random.Random) -> tuple[str, str]:
        """Returns what is asked, and what a member is to run for it."""
        item = chance.choice(ITEMS)
        access = "WRITE" if chance.random() < 0.4 else "READ"
        runs = f"{access} {item}" + (f" w{next(_REQUESTS)}" if access == "WRITE" else "")
        if self._shapes.get("p") == access and chance.random() < 0.5:
            return runs.replace(access, "EXEC p"), runs
        return runs, runs

    async def _run(self, operation: history.Operation, text: str, runs: str) -> history.Statement:
        loop = asyncio.get_running_loop()
        found = history.Statement(f"q{next(_REQUESTS)}", text, runs, loop.time())
        operation.statements.append(found)
        try:
            answer = await self._ask(found.id, text)
        except Ended:
            found.cut_at_s = loop.time()
            raise
        found.told_at_s = loop.time()
        found.rows = tuple(line[4:] for line in answer if line.startswith("ROW "))
        match answer[-2].split(" "):
            case ["DONE", proof]:
                found.proof = proof
            case ["ERR", code, *_]:
                found.code = code
        return found

    async def _ask(self, request_id: str, text: str) -> list[str]:
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await self._client.query(text, request_id)
        except (OSError, TimeoutError, RuntimeError) as error:
            raise Ended from error
        if len(answer) < 2 or not answer[-1].startswith("READY"):
            raise Ended
        return answer

    def close(self) -> None:
        """Ends the session."""
        self._client.close()


def probe_id() -> str:
    """Returns the id of a statement that is not accounted for."""
    return f"{PROBE}{next(_REQUESTS)}"


async def call(
    instances: dict[str, str], chance: random.Random, record: list[history.Operation]
) -> None:
    """Opens one session after the other until cancelled.

    Args:
      instances: Addresses by name; an instance in rotation is chosen for each session.
      chance: Decides everything.
      record: Takes the operations.
    """
    while True:
        await asyncio.sleep(chance.uniform(0, AGAIN_S))
        if not instances:
            continue
        name = chance.choice(sorted(instances))
        session = await _open(name, instances[name], chance.choice(DATABASES))
        if session is None:
            continue
        try:
            await session.prepare(chance)
            for _ in range(chance.randint(1, MAX_OPERATIONS)):
                await session.operate(chance, record)
                await asyncio.sleep(chance.uniform(0, MAX_PAUSE_S))
        except Ended:
            # The instance or the connection is gone, or the client leaves; the record says it.
            pass
        finally:
            session.close()


async def _open(name: str, address: str, database: str) -> Session | None:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            client = line_site.Client(reader, writer)
            answer = await client.send(f"START {database} soak")
    except (OSError, TimeoutError):
        return None
    if answer != ["READY I -"]:
        writer.close()
        return None
    return Session(client, database, name)
