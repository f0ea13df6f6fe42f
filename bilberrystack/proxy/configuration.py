"""The configuration of one instance: follows the stored head and transfers versions to peers."""

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

# Each watch counts against the store's call limits, so it waits long and is renewed rarely.
WATCH_WAIT_S = 60.0
ANSWER_TIMEOUT_S = 5.0

# Without recent digests from a majority of failure domains, the head is read at this interval to
# prove contact with the store. A pending watch proves nothing: while the store is unreachable, it
# looks the same as one without a change.
PROBE_INTERVAL_S = 1.0
PROBE_CONTACT_AGE_S = 2.0

# Maximum time for which an instance may serve under its version while it knows of a newer one.
MAX_BEHIND_S = 4.0

RETRY_MIN_DELAY_S = 0.25
RETRY_MAX_DELAY_S = 8.0
MAX_CONCURRENT_FETCHES = 8

Value = TypeVar("Value")
OnChange = collections.abc.Callable[[], None]
OnProblem = collections.abc.Callable[[str], None]


class PeerContacts(Protocol):
    """Contact with the other instances, as the configuration requires it."""

    def majority_contact_at(self, now: float) -> float | None:
        """Return the latest time since which a majority of failure domains has sent a message."""


ServingRule = collections.abc.Callable[[float, float | None, float | None], bool]


class Configuration:
    """The declarations in force at one instance.

    `run` follows the store until it is cancelled. The version in force never decreases.
    """

    __slots__ = (
        "_behind_since",
        "_catch_up_task",
        "_declarations",
        "_head",
        "_initialized",
        "_may_serve",
        "_newest_announced_version",
        "_on_change_callbacks",
        "_on_problem",
        "_part_contents",
        "_peers",
        "_rng",
        "_store",
        "_store_contact_at",
        "_watched_version",
    )

    def __init__(
        self,
        store: interfaces.Store,
        peers: PeerContacts,
        may_serve: ServingRule,
        on_problem: OnProblem = lambda _text: None,
        rng: random.Random | None = None,
    ) -> None:
        """Create a configuration without declarations.

        Args:
          store: The platform's store.
          peers: Contact with the other instances.
          may_serve: Returns whether requests may be served, given the current time and the times of
            the last contact with the store and with a majority of failure domains; see
            core/freshness.py.
          on_problem: Called with a description when a version can't be read or fetched.
          rng: Random source for retry delays.
        """
        self._store = store
        self._peers = peers
        self._may_serve = may_serve
        self._on_problem = on_problem
        self._rng = rng or random.Random()
        self._on_change_callbacks: list[OnChange] = []
        self._head = parts.EMPTY_HEAD
        self._part_contents: dict[str, bytes] = {}
        self._declarations = declarations.EMPTY
        self._store_contact_at: float | None = None
        self._watched_version = 0
        self._initialized = False
        self._newest_announced_version = 0
        self._behind_since: float | None = None
        self._catch_up_task: asyncio.Task[None] | None = None

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
        """The highest version that this instance has or that a peer has announced."""
        return max(self.version, self._newest_announced_version)

    @property
    def head(self) -> parts.Head:
        """The head of the version in force at this instance."""
        return self._head

    @property
    def contents(self) -> collections.abc.Mapping[str, bytes]:
        """The contents of the head's parts, by digest."""
        return self._part_contents

    @property
    def store_contact_at(self) -> float | None:
        """Lower bound for the time of the store's last answer, on the event loop's clock.

        None if the store has never answered.
        """
        return self._store_contact_at

    def on_change(self, callback: OnChange) -> None:
        """Register a callback that is called after a new version takes effect."""
        self._on_change_callbacks.append(callback)

    def serving_allowed(self, now: float) -> bool:
        """Return whether requests may be served under the version in force."""
        if not self._initialized:
            return False
        if self._behind_since is not None and now - self._behind_since > MAX_BEHIND_S:
            return False
        peer_contact_at = self._peers.majority_contact_at(now)
        return self._may_serve(now, self._store_contact_at, peer_contact_at)

    def record_store_contact(self, contact_at: float) -> None:
        """Record that the store answered at or after a time on the event loop's clock."""
        self._store_contact_at = max(contact_at, self._store_contact_at or contact_at)

    async def run(self) -> None:
        """Watch the stored head and probe the store until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._watch())
                tasks.create_task(self._probe())
        finally:
            if self._catch_up_task is not None:
                self._catch_up_task.cancel()

    async def build_transfer(self, known_parts: list[str]) -> interfaces.ConfigurationTransfer:
        """Return the version in force for a peer, without the parts that the peer has.

        Args:
          known_parts: The digests of the parts that the peer has.
        Returns:
          The head and the contents of the other parts.
        """
        missing_digests = parts.missing_digests(self._head, frozenset(known_parts))
        return interfaces.ConfigurationTransfer(
            self.version,
            parts.encode_head(self._head),
            {key: self._part_contents[key] for key in missing_digests},
        )

    async def receive_head(self, head: bytes) -> None:
        """Process a head that a peer pushed.

        The peer's digest, which arrives with the head, starts the transfer from the peer. The store
        is read as well, in case the peer stops before the transfer ends.
        """
        decoded = self._decode_head(head)
        if decoded is not None and decoded.version > self.version:
            self._record_known_version(decoded.version)
            await self.refresh()

    def observe_peer_version(self, version: int, peer: interfaces.Peer) -> None:
        """Record that a peer has a version, and fetch it if it is newer than the one in force."""
        if version <= self.version:
            return
        self._record_known_version(version)
        if self._catch_up_task is None or self._catch_up_task.done():
            self._catch_up_task = asyncio.get_running_loop().create_task(self._catch_up_with(peer))

    async def refresh(self) -> interfaces.StoredObject | None:
        """Read the head from the store and apply it.

        Returns:
          The stored head object, or None if there is none or the store is unavailable.
        """
        try:
            stored = await self.read_head()
            if stored is not None:
                await self.apply_stored(stored)
        except interfaces.StoreUnavailable:
            return None
        return stored

    async def read_head(self) -> interfaces.StoredObject | None:
        """Read the head object from the store.

        Returns:
          The stored head object, or None if there is none.
        Raises:
          StoreUnavailable: The store did not answer.
        """
        sent_at = _now()
        stored = await await_store(self._store.get(HEAD_KEY), ANSWER_TIMEOUT_S)
        self.record_store_contact(sent_at)
        self._initialized = self._initialized or stored is None
        return stored

    async def apply_stored(self, stored: interfaces.StoredObject) -> bool:
        """Fetch the missing parts of a stored head and apply it.

        Returns:
          Whether the stored version or a newer one is in force.
        Raises:
          StoreUnavailable: The store did not answer.
        """
        head = self._decode_head(stored.value)
        if head is None:
            return False
        if head.version > self.version:
            self.apply(head, await self.fetch_parts(head))
        return head.version <= self.version

    async def fetch_parts(self, head: parts.Head) -> dict[str, bytes]:
        """Return the contents of a head's parts; missing ones are read from the store.

        A part that the store does not have is absent from the result.

        Raises:
          StoreUnavailable: The store did not answer.
        """
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)

        async def fetch(key: str) -> interfaces.StoredObject | None:
            async with semaphore:
                return await await_store(self._store.get(PART_PREFIX + key), ANSWER_TIMEOUT_S)

        missing_digests = parts.missing_digests(head, self._part_contents)
        fetched = await asyncio.gather(*(fetch(key) for key in missing_digests))
        contents = dict(self._part_contents)
        for key, stored in zip(missing_digests, fetched, strict=True):
            if stored is not None:
                contents[key] = stored.value
        return contents

    def apply(self, head: parts.Head, contents: collections.abc.Mapping[str, bytes]) -> None:
        """Put a version in force unless it is incomplete or not newer than the current one."""
        if head.version <= self.version:
            return
        match parts.assemble(head, contents):
            case result.Success(document):
                self._head = head
                self._part_contents = {
                    key: contents[key] for key in parts.missing_digests(head, ())
                }
                self._declarations = document
            case result.Failure(problems):
                self._on_problem(
                    f"Ignored the unreadable configuration version {head.version}: {problems[0]}"
                )
                return
        self._initialized = True
        if self.version >= self._newest_announced_version:
            self._behind_since = None
        for callback in self._on_change_callbacks:
            callback()

    def _decode_head(self, content: bytes) -> parts.Head | None:
        decoded = parts.decode_head(content)
        if isinstance(decoded, result.Failure):
            self._on_problem(str(decoded.failure()))
            return None
        return decoded.unwrap()

    def _record_known_version(self, version: int) -> None:
        self._newest_announced_version = max(version, self._newest_announced_version)
        if self._behind_since is None:
            self._behind_since = _now()

    async def _catch_up_with(self, peer: interfaces.Peer) -> None:
        await self._fetch_from_peer(peer)
        if self.version < self._newest_announced_version:
            await self.refresh()

    async def _fetch_from_peer(self, peer: interfaces.Peer) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                transfer = await peer.fetch_configuration(list(self._part_contents))
        except (interfaces.LinkLost, TimeoutError) as error:
            self._on_problem(f"The configuration could not be fetched from a peer: {error}")
            return
        head = self._decode_head(transfer.head)
        if head is not None:
            self.apply(head, {**self._part_contents, **transfer.parts})

    async def _watch(self) -> None:
        delay_s = RETRY_MIN_DELAY_S
        while True:
            try:
                await self._watch_once()
                delay_s = RETRY_MIN_DELAY_S
            except interfaces.StoreUnavailable:
                # Random delays prevent all instances from calling a recovered store simultaneously.
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, RETRY_MAX_DELAY_S)

    async def _watch_once(self) -> None:
        sent_at = _now()
        watch = self._store.watch(HEAD_KEY, self._watched_version, WATCH_WAIT_S)
        stored = await await_store(watch, WATCH_WAIT_S + ANSWER_TIMEOUT_S)
        # An answer may have been buffered in this process, so its arrival time proves no contact
        # later than the request. The store sends an empty answer only after the full wait.
        answered_at = sent_at if stored is not None else min(_now(), sent_at + WATCH_WAIT_S)
        self.record_store_contact(answered_at)
        if stored is None:
            self._initialized = self._initialized or self._watched_version == 0
            return
        if not await self.apply_stored(stored):
            raise interfaces.StoreUnavailable(
                "the stored configuration is unreadable or incomplete"
            )
        self._watched_version = stored.version

    async def _probe(self) -> None:
        while True:
            now = _now()
            contact_at = self._peers.majority_contact_at(now)
            if contact_at is None or now - contact_at > PROBE_CONTACT_AGE_S:
                await self.refresh()
            await asyncio.sleep(PROBE_INTERVAL_S)


async def await_store(call: collections.abc.Awaitable[Value], timeout_s: float) -> Value:
    """Wait for the result of a store call.

    Args:
      call: The store call.
      timeout_s: The maximum wait, in seconds.
    Returns:
      The result of the call.
    Raises:
      StoreUnavailable: The store did not answer in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await call
    except TimeoutError as error:
        raise interfaces.StoreUnavailable(f"no answer within {timeout_s} s") from error


def _now() -> float:
    return asyncio.get_running_loop().time()
