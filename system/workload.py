"""Traffic of callers against a site, with a record and a check of the outcomes."""

import asyncio
import dataclasses
import itertools
import random
import time

from bilberrystack import client
from bilberrystack_standins import statements
from system import site

REQUEST_TIMEOUT_S = 5.0

# Prefix of the keys. Each writer has one key, whose value is the list of the tags it has written.
KEY_PREFIX = "diary/"


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Outcomes of the callers' requests.

    Attributes:
      reads: Number of reads that were answered.
      replica_reads: Number of reads that a replica answered.
      stale_reads: Number of reads that missed an acknowledged write of their session.
      acknowledged: Tags of the writes that were acknowledged.
      not_run: Tags of the writes whose outcome was not-run.
      unknown: Tags of the writes whose outcome stayed unknown.
      acknowledged_at_s: Times of the acknowledgements on the monotonic clock, in seconds.
    """

    reads: int = 0
    replica_reads: int = 0
    stale_reads: int = 0
    acknowledged: list[str] = dataclasses.field(default_factory=list)
    not_run: list[str] = dataclasses.field(default_factory=list)
    unknown: list[str] = dataclasses.field(default_factory=list)
    acknowledged_at_s: list[float] = dataclasses.field(default_factory=list)

    def longest_gap_s(self) -> float:
        """Returns the longest time between two consecutive acknowledgements, in seconds."""
        times_s = sorted(self.acknowledged_at_s)
        pairs = itertools.pairwise(times_s)
        return max((later - earlier for earlier, later in pairs), default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """Contradictions between the outcomes and the final data of the members.

    Attributes:
      lost: Tags of acknowledged writes that the data lacks.
      duplicates: Tags that the data contains more than once.
      ran_although_not_run: Tags of writes with the outcome not-run that the data contains.
    """

    lost: list[str]
    duplicates: list[str]
    ran_although_not_run: list[str]


class Traffic:
    """Writers that append tags and read them back, each in one session, through all proxies.

    Use it as an asynchronous context manager.

    Attributes:
      outcomes: Outcomes of all requests so far.
    """

    def __init__(self, running_site: site.Site, writer_count: int) -> None:
        """Prepares the traffic without starting it.

        Args:
          running_site: The site to use.
          writer_count: Number of concurrent writers.
        """
        self.outcomes = Outcomes()
        self._site = running_site
        self._writer_count = writer_count
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Traffic":
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._write(number)) for number in range(self._writer_count)
        ]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Stops the writers after their current requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def wait_for_acknowledgements(self, count: int) -> None:
        """Waits until a number of further writes have been acknowledged."""
        target_count = len(self.outcomes.acknowledged) + count
        while len(self.outcomes.acknowledged) < target_count:
            await asyncio.sleep(0.005)

    async def _write(self, number: int) -> None:
        rng = random.Random(number)
        key = f"{KEY_PREFIX}{number}"
        written: list[str] = []
        async with self._site.connect() as connected:
            session = await connected.open_session()
            while not self._stopping:
                await self._write_once(session, key, f"{number}-{len(written)}", written)
                # The restored session chooses a proxy anew, so the next read may use another one.
                session = connected.restore(session.save())
                max_age_s = rng.choice((0.0, 1.0, 60.0))
                for _ in range(4):
                    await self._read_once(session, key, max_age_s, written)

    async def _write_once(
        self, session: client.Session, key: str, tag: str, written: list[str]
    ) -> None:
        body = statements.append(key, tag)
        outcome = await session.write(site.GROUP, body, timeout_s=REQUEST_TIMEOUT_S)
        match outcome:
            case client.Answer():
                self.outcomes.acknowledged.append(tag)
                self.outcomes.acknowledged_at_s.append(time.monotonic())
                written.append(tag)
            case client.NotRun():
                self.outcomes.not_run.append(tag)
                written.append("")
            case client.Unknown():
                self.outcomes.unknown.append(tag)
                written.append("")

    async def _read_once(
        self, session: client.Session, key: str, max_age_s: float, written: list[str]
    ) -> None:
        outcome = await session.read(
            site.GROUP, statements.get(key), max_age_s=max_age_s, timeout_s=REQUEST_TIMEOUT_S
        )
        if not isinstance(outcome, client.Answer):
            return
        self.outcomes.reads += 1
        self.outcomes.replica_reads += outcome.from_replica
        (value,) = statements.decode_results(outcome.body)
        if not {tag for tag in written if tag} <= set(value or ()):
            self.outcomes.stale_reads += 1


async def find_violations(
    running_site: site.Site, outcomes: Outcomes, writer_count: int
) -> Violations:
    """Reads all tags with a maximum age of 0 and compares them with the outcomes.

    Args:
      running_site: The site that the traffic used.
      outcomes: Outcomes of the traffic.
      writer_count: Number of writers of the traffic.
    """
    tags: list[str] = []
    async with running_site.connect() as connected:
        session = await connected.open_session()
        for number in range(writer_count):
            body = statements.get(f"{KEY_PREFIX}{number}")
            outcome = await session.read(site.GROUP, body, max_age_s=0.0, timeout_s=30.0)
            assert isinstance(outcome, client.Answer), outcome
            (value,) = statements.decode_results(outcome.body)
            tags += value or ()
    present = set(tags)
    return Violations(
        lost=[tag for tag in outcomes.acknowledged if tag not in present],
        duplicates=[tag for tag in present if tags.count(tag) > 1],
        ran_although_not_run=[tag for tag in outcomes.not_run if tag in present],
    )
