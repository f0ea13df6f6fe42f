"""What the proxy needs of the outside: members, the platform's store and peers.

Adapters with sockets and in-memory fakes both implement these protocols. All times are seconds of
the runtime's clock.
"""

import dataclasses
from typing import Protocol

from bilberrystack.core import members
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests


class LinkLost(Exception):
    """A connection to a member or peer broke.

    Attributes:
      sent: Whether any byte of the request may have reached the other side. False means that the
        request provably did not run.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ConnectionRefused(LinkLost):
    """The member accepts no more connections now."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class MemberConnection(Protocol):
    """A data connection; carries one statement at a time and at most one transaction.

    Every call raises LinkLost when the connection breaks. After a call was cancelled the
    connection must be closed.
    """

    async def read(
        self, body: bytes, min_position: positions.Position, wait_s: float
    ) -> members.MemberReply: ...

    async def write(
        self, term: int, key: requests.RequestKey, body: bytes
    ) -> members.MemberReply: ...

    async def begin(self, term: int) -> members.MemberReply: ...

    async def statement(self, body: bytes) -> members.MemberReply: ...

    async def commit(self, key: requests.RequestKey) -> members.MemberReply: ...

    async def abort(self) -> members.MemberReply: ...

    async def resolve(self, term: int, key: requests.RequestKey) -> members.MemberReply: ...

    def close(self) -> None: ...


class Member(Protocol):
    """One member of a database group.

    The control calls share one connection of their own, opened at first use. They raise LinkLost
    when the member can't be reached; callers bound them with a timeout.
    """

    @property
    def name(self) -> str: ...

    @property
    def address(self) -> str: ...

    @property
    def failure_domain(self) -> str: ...

    async def connect(self) -> MemberConnection:
        """Opens a data connection. Raises ConnectionRefused at the member's limit."""

    async def status(self, wait_for: positions.Position, wait_s: float) -> members.MemberStatus:
        """Returns when last_log reaches wait_for, the promised term changes or wait_s passed."""

    async def fence(self, term: int) -> tuple[bool, members.MemberStatus]:
        """Asks for a promise; the flag tells whether it was granted (term > promised term)."""

    async def promote(self, term: int) -> members.MemberStatus:
        """Makes the member primary of term, if that is the term that it has promised."""

    async def follow(self, term: int, primary_address: str) -> members.MemberStatus:
        """Makes the member a replica in term, if it has not promised a newer one."""

    def close(self) -> None: ...


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform's store with its version, from 1."""

    key: str
    value: bytes
    version: int


class StoreUnavailable(Exception):
    """The store did not answer; a change may have taken effect all the same."""


class VersionConflict(Exception):
    """A conditional update named a version that is not the current one; nothing changed."""


class Store(Protocol):
    """The platform's object API."""

    async def get(self, key: str) -> StoredObject | None: ...

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes if the object has expected_version (0: absent); returns the new version."""

    async def watch(self, key: str, after_version: int, wait_s: float) -> StoredObject | None:
        """Returns the object once its version exceeds after_version; None after wait_s."""

    async def keys(self, prefix: str) -> list[str]: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What an instance tells a peer about itself."""

    instance: str
    failure_domain: str
    address: str
    leaving: bool
    configuration_version: int
    store_contact_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationTransfer:
    """A configuration as one peer hands it to another: the head and the parts asked for."""

    version: int
    head: bytes
    parts: dict[str, bytes]


class Peer(Protocol):
    """A link to another instance. Calls raise LinkLost."""

    async def forward(self, request: requests.GroupRequest) -> outcomes.Outcome: ...

    async def digest(self, sender: Digest) -> Digest: ...

    async def leaving(self, sender: Digest) -> Digest: ...

    async def push_head(self, sender: Digest, head: bytes) -> None: ...

    async def fetch_configuration(self, known_parts: list[str]) -> ConfigurationTransfer: ...

    async def report(self, minutes: int) -> bytes:
        """Returns the peer's encoded report to operators with its latest minutes."""

    def close(self) -> None: ...


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """What an owner knows about a member, for operators.

    Attributes:
      name: The member's declared name.
      status: Its latest report; None if it never answered.
      age_s: Seconds since its last answer of any kind; None if it never answered.
    """

    name: str
    status: members.MemberStatus | None
    age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView:
    """What an owner knows about its group, for operators.

    Attributes:
      group: The group's name.
      rank: The owner's rank, from 0.
      primary: The primary's name, None if there is none.
      term: The highest promised term seen.
      confirmed: The highest confirmed position.
      members: The members.
      queue_depth: Requests that wait.
      in_flight: Requests at members.
      open_transactions: Transactions pinned here.
      last_change: Who decided the last change of primary that this owner knows, and why; empty if
        it knows of none.
    """

    group: str
    rank: int
    primary: str | None
    term: int
    confirmed: positions.Position
    members: tuple[MemberView, ...]
    queue_depth: int
    in_flight: int
    open_transactions: int
    last_change: str


class GroupOwner(Protocol):
    """The owner role of one instance for one database group."""

    async def execute(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a request; never raises but when cancelled, and answers by the deadline."""

    def set_rank(self, rank: int) -> None:
        """Changes the owner's rank, and with it its share of connections and its heartbeats."""

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Tells which endpoint addresses are leaving, by the platform's list or a peer."""

    def view(self) -> GroupView: ...

    async def close(self) -> None:
        """Ends the role; open transactions are aborted."""
