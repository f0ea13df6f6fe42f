"""The configuration of one instance: watches the head, applies it, hands it to peers."""

import asyncio
import collections.abc
import random
from typing import Protocol
from typing import TypeVar

from returns import result

from bilberrystack.core import declarations
from bilberrystack.core import parts
from bilberrystack.proxy import interfaces

HEAD_KEY = "configuration/head"
PART_PREFIX = "configuration/parts/"

# A pending watch counts against the store's limits, so it is renewed rarely.
WATCH_WAIT_S = 60.0
ANSWER_LIMIT_S = 5.0

# Without digests of most failure domains, contact with the store has to be proven more often than
# a pending watch does, since a watch of a cut-off store looks like one without news.
PROBE_INTERVAL_S = 1.0
PROBE_AFTER_S = 2.0

# An instance that knows of a newer version may serve under its own for this time.
BEHIND_LIMIT_S = 4.0

RETRY_MIN_S = 0.25
RETRY_MAX_S = 8.0
MAX_FETCHES = 8

Value = TypeVar("Value")
OnChange = collections.abc.Callable[[], None]
OnProblem = collections.abc.Callable[[str], None]


class Neighbours(Protocol):
    """What the configuration needs to know about the other instances."""

    def majority_contact_at(self, now: float) -> float | None:
        """Returns the latest instant since which most failure domains were heard from."""


MayServe = collections.abc.Callable[[float, float | None, float | None], bool]


class Configuration:
    """The declarations that one instance works with.

    `run` follows the store until it is cancelled. Versions only increase.
    """

    __slots__ = (
        "_behind_since",
        "_callbacks",
        "_catch_up",
        "_contents",
        "_declarations",
        "_head",
        "_informed",
        "_may_serve",
        "_neighbours",
        "_newest_known",
        "_on_problem",
        "_random",
        "_store",
        "_store_contact_at",
        "_watched_version",
    )

    def __init__(
        self,
        store: interfaces.Store,
        neighbours: Neighbours,
        may_serve: MayServe,
        on_problem: OnProblem = lambda _text: None,
        source: random.Random | None = None,
    ) -> None:
        """Creates a configuration without declarations.

        Args:
          store: The store.
          neighbours: The other instances.
          may_serve: Decides from the time and the contacts with store and instances, as
            core/freshness.py does.
          on_problem: Called with a sentence when a version can't be read or fetched.
          source: Random numbers for pauses between retries.
        """
        self._store = store
        self._neighbours = neighbours
        self._may_serve = may_serve
        self._on_problem = on_problem
        self._random = source or random.Random()
        self._callbacks: list[OnChange] = []
        self._head = parts.EMPTY_HEAD
        self._contents: dict[str, bytes] = {}
        self._declarations = declarations.EMPTY
        self._store_contact_at: float | None = None
        self._watched_version = 0
        self._informed = False
        self._newest_known = 0
        self._behind_since: float | None = None
        self._catch_up: asyncio.Task[None] | None = None

    @property
    def declarations(self) -> declarations.Declarations:
        """The declarations in force at this instance."""
        return self._declarations

    @property
    def version(self) -> int:
        """The configuration version in force at this instance; 0 for none."""
        return self._head.version

    @property
    def newest_known_version(self) -> int:
        """The highest version that this instance or, by their messages, a peer has."""
        return max(self.version, self._newest_known)

    @property
    def head(self) -> parts.Head:
        """The head of the version in force at this instance."""
        return self._head

    @property
    def contents(self) -> collections.abc.Mapping[str, bytes]:
        """The contents of the head's parts by digest."""
        return self._contents

    @property
    def store_contact_at(self) -> float | None:
        """An instant, no later than the true one, at which the store last answered."""
        return self._store_contact_at

    def on_change(self, callback: OnChange) -> None:
        """Registers a function that is called when a new version is in force."""
        self._callbacks.append(callback)

    def serving_allowed(self, now: float) -> bool:
        """Tells whether requests may be served under this configuration."""
        if not self._informed:
            return False
        if self._behind_since is not None and now - self._behind_since > BEHIND_LIMIT_S:
            return False
        contact = self._neighbours.majority_contact_at(now)
        return self._may_serve(now, self._store_contact_at, contact)

    def contact(self, instant: float) -> None:
        """Takes the knowledge that the store answered at or after an instant."""
        self._store_contact_at = max(instant, self._store_contact_at or instant)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch())
                group.create_task(self._probe())
        finally:
            if self._catch_up is not None:
                self._catch_up.cancel()

    async def transfer(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Returns the configuration for a peer, without the parts that it has."""
        wanted = parts.missing_digests(self._head, frozenset(known_parts))
        return interfaces.ConfigurationTransfer(
            self.version,
            parts.encode_head(self._head),
            {key: self._contents[key] for key in wanted},
        )

    async def receive_head(self, head: bytes) -> None:
        """Takes a head that a peer pushed.

        The peer's digest, which comes with it, starts the transfer from the peer; the store is read
        as well, in case the peer stops before it has answered.
        """
        decoded = self._decode(head)
        if decoded is not None and decoded.version > self.version:
            self._note_version(decoded.version)
            await self.refresh()

    def peer_has(self, version: int, peer: interfaces.Peer) -> None:
        """Takes the knowledge that a peer has a version, and catches up if it is newer."""
        if version <= self.version:
            return
        self._note_version(version)
        if self._catch_up is None or self._catch_up.done():
            self._catch_up = asyncio.get_running_loop().create_task(self._catch_up_with(peer))

    async def refresh(self) -> interfaces.StoredObject | None:
        """Reads the head from the store and applies it.

        Returns:
          The stored head, or None if there is none or the store doesn't answer.
        """
        try:
            stored = await self.read_head()
            if stored is not None:
                await self.apply_stored(stored)
        except interfaces.StoreUnavailable:
            return None
        return stored

    async def read_head(self) -> interfaces.StoredObject | None:
        """Reads the head object. Raises StoreUnavailable."""
        sent_at = _now()
        stored = await answer(self._store.get(HEAD_KEY), ANSWER_LIMIT_S)
        self.contact(sent_at)
        self._informed = self._informed or stored is None
        return stored

    async def apply_stored(self, stored: interfaces.StoredObject) -> bool:
        """Fetches what is missing of a stored head and applies it. Raises StoreUnavailable.

        Returns:
          Whether the stored version or a newer one is in force.
        """
        head = self._decode(stored.value)
        if head is None:
            return False
        if head.version > self.version:
            self.apply(head, await self.fetch_parts(head))
        return head.version <= self.version

    async def fetch_parts(self, head: parts.Head) -> dict[str, bytes]:
        """Returns the contents of a head's parts, read from the store as far as they are new.

        Raises StoreUnavailable.
        """
        limit = asyncio.Semaphore(MAX_FETCHES)

        async def fetch(key: str) -> interfaces.StoredObject | None:
            async with limit:
                return await answer(self._store.get(PART_PREFIX + key), ANSWER_LIMIT_S)

        wanted = parts.missing_digests(head, self._contents)
        fetched = await asyncio.gather(*(fetch(key) for key in wanted))
        contents = dict(self._contents)
        for key, stored in zip(wanted, fetched, strict=True):
            if stored is not None:
                contents[key] = stored.value
        return contents

    def apply(self, head: parts.Head, contents: collections.abc.Mapping[str, bytes]) -> None:
        """Puts a version in force unless it is older than the current one or incomplete."""
        if head.version <= self.version:
            return
        match parts.assemble(head, contents):
            case result.Success(document):
                self._head = head
                self._contents = {key: contents[key] for key in parts.missing_digests(head, ())}
                self._declarations = document
            case result.Failure(found):
                self._on_problem(f"version {head.version} can't be read: {found[0]}")
                return
        self._informed = True
        if self.version >= self._newest_known:
            self._behind_since = None
        for callback in self._callbacks:
            callback()

    def _decode(self, content: bytes) -> parts.Head | None:
        decoded = parts.decode_head(content)
        if isinstance(decoded, result.Failure):
            self._on_problem(str(decoded.failure()))
            return None
        return decoded.unwrap()

    def _note_version(self, version: int) -> None:
        self._newest_known = max(version, self._newest_known)
        if self._behind_since is None:
            self._behind_since = _now()

    async def _catch_up_with(self, peer: interfaces.Peer) -> None:
        await self._fetch_from_peer(peer)
        if self.version < self._newest_known:
            await self.refresh()

    async def _fetch_from_peer(self, peer: interfaces.Peer) -> None:
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                transfer = await peer.fetch_configuration(list(self._contents))
        except (interfaces.LinkLost, TimeoutError) as error:
            self._on_problem(f"a peer did not send its configuration: {error}")
            return
        head = self._decode(transfer.head)
        if head is not None:
            self.apply(head, {**self._contents, **transfer.parts})

    async def _watch(self) -> None:
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._watch_once()
                pause_s = RETRY_MIN_S
            except interfaces.StoreUnavailable:
                # Random pauses keep the instances from returning to a recovered store all at once.
                await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.0))
                pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def _watch_once(self) -> None:
        sent_at = _now()
        watch = self._store.watch(HEAD_KEY, self._watched_version, WATCH_WAIT_S)
        stored = await answer(watch, WATCH_WAIT_S + ANSWER_LIMIT_S)
        # An answer may have waited in this process's buffers, so its own instant proves nothing.
        # The store sends an empty answer only after the wait.
        answered_at = sent_at if stored is not None else min(_now(), sent_at + WATCH_WAIT_S)
        self.contact(answered_at)
        if stored is None:
            self._informed = self._informed or self._watched_version == 0
            return
        if not await self.apply_stored(stored):
            raise interfaces.StoreUnavailable("the stored configuration can't be read")
        self._watched_version = stored.version

    async def _probe(self) -> None:
        while True:
            now = _now()
            contact = self._neighbours.majority_contact_at(now)
            if contact is None or now - contact > PROBE_AFTER_S:
                await self.refresh()
            await asyncio.sleep(PROBE_INTERVAL_S)


async def answer(call: collections.abc.Awaitable[Value], limit_s: float) -> Value:
    """Waits for an answer of the store. Raises StoreUnavailable after limit_s seconds."""
    try:
        async with asyncio.timeout(limit_s):
            return await call
    except TimeoutError as error:
        raise interfaces.StoreUnavailable(f"no answer within {limit_s} s") from error


def _now() -> float:
    return asyncio.get_running_loop().time()
