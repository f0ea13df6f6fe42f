"""Traffic of callers against a site, and the account of what they were answered."""

import asyncio
import dataclasses
import itertools
import random
import time

from bilberrystack import client
from bilberrystack_standins import statements
from system import site

TIMEOUT_S = 5.0

# Keys of the members' data: one list of written tags for each writer.
KEY_PREFIX = "diary/"


@dataclasses.dataclass(slots=True)
class Account:
    """What the callers were answered.

    Attributes:
      reads: Reads answered.
      replica_reads: Reads answered by a replica.
      stale_reads: Reads that missed an acknowledged write of their session.
      acknowledged: Tags of the writes that were answered as done.
      not_run: Tags of the writes that were answered as not run.
      unknown: Tags of the writes whose outcome stayed unknown.
      acknowledged_at: Instants of the acknowledgements, in seconds of a clock of this process.
    """

    reads: int = 0
    replica_reads: int = 0
    stale_reads: int = 0
    acknowledged: list[str] = dataclasses.field(default_factory=list)
    not_run: list[str] = dataclasses.field(default_factory=list)
    unknown: list[str] = dataclasses.field(default_factory=list)
    acknowledged_at: list[float] = dataclasses.field(default_factory=list)

    def longest_gap_s(self) -> float:
        """Returns the longest time between two acknowledgements, in seconds."""
        instants = sorted(self.acknowledged_at)
        pairs = itertools.pairwise(instants)
        return max((later - earlier for earlier, later in pairs), default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the members' final data say about the answers.

    Attributes:
      lost: Acknowledged tags that are missing.
      duplicates: Tags that were written more than once.
      ran_after_refusal: Tags that were answered as not run and were written.
    """

    lost: list[str]
    duplicates: list[str]
    ran_after_refusal: list[str]


class Traffic:
    """Writers that append tags and read them back, each in one session, through all proxies."""

    def __init__(self, where: site.Site, writers: int) -> None:
        self.account = Account()
        self._site = where
        self._writers = writers
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Traffic":
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._write(number)) for number in range(self._writers)]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Lets each writer finish its request and ends."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def acknowledged(self, count: int) -> None:
        """Waits until a number of further writes has been acknowledged."""
        wanted = len(self.account.acknowledged) + count
        while len(self.account.acknowledged) < wanted:
            await asyncio.sleep(0.005)

    async def _write(self, number: int) -> None:
        chooser = random.Random(number)
        key = f"{KEY_PREFIX}{number}"
        written: list[str] = []
        async with self._site.connect() as connected:
            session = await connected.open_session()
            while not self._stopping:
                await self._write_once(session, key, f"{number}-{len(written)}", written)
                # The session roams: its next read goes through a proxy chosen anew.
                session = connected.restore(session.save())
                max_age_s = chooser.choice((0.0, 1.0, 60.0))
                for _ in range(4):
                    await self._read_once(session, key, max_age_s, written)

    async def _write_once(
        self, session: client.Session, key: str, tag: str, written: list[str]
    ) -> None:
        body = statements.append(key, tag)
        outcome = await session.write(site.GROUP, body, timeout_s=TIMEOUT_S)
        match outcome:
            case client.Answer():
                self.account.acknowledged.append(tag)
                self.account.acknowledged_at.append(time.monotonic())
                written.append(tag)
            case client.NotRun():
                self.account.not_run.append(tag)
                written.append("")
            case client.Unknown():
                self.account.unknown.append(tag)
                written.append("")

    async def _read_once(
        self, session: client.Session, key: str, max_age_s: float, written: list[str]
    ) -> None:
        outcome = await session.read(
            site.GROUP, statements.get(key), max_age_s=max_age_s, timeout_s=TIMEOUT_S
        )
        if not isinstance(outcome, client.Answer):
            return
        self.account.reads += 1
        self.account.replica_reads += outcome.from_replica
        (value,) = statements.decode_results(outcome.body)
        if not {tag for tag in written if tag} <= set(value or ()):
            self.account.stale_reads += 1


async def judge(where: site.Site, account: Account, writers: int) -> Verdict:
    """Reads all tags back at age 0 and compares them with the answers."""
    found: list[str] = []
    async with where.connect() as connected:
        session = await connected.open_session()
        for number in range(writers):
            body = statements.get(f"{KEY_PREFIX}{number}")
            outcome = await session.read(site.GROUP, body, max_age_s=0.0, timeout_s=30.0)
            assert isinstance(outcome, client.Answer), outcome
            (value,) = statements.decode_results(outcome.body)
            found += value or ()
    present = set(found)
    return Verdict(
        lost=[tag for tag in account.acknowledged if tag not in present],
        duplicates=[tag for tag in present if found.count(tag) > 1],
        ran_after_refusal=[tag for tag in account.not_run if tag in present],
    )
