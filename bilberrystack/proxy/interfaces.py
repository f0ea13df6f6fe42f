"""Protocols of the proxy's external dependencies: members, the platform's store and peers.

Adapters over sockets and in-memory fakes both implement these protocols. All times are in seconds
on the event loop's clock.
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
      sent: Whether any byte of the request may have reached the remote end. False means that the
        request certainly did not run.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ConnectionRefused(LinkLost):
    """The member refused a connection, normally because its connection limit is reached."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class MemberConnection(Protocol):
    """A data connection. Carries one statement at a time and at most one transaction.

    Every call raises LinkLost when the connection breaks. The connection must be closed after a
    call on it was cancelled.
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

    The control calls (status, fence, promote, follow) share one dedicated connection, which is
    opened on first use. They raise LinkLost when the member can't be reached. They have no timeout
    of their own; the calling code sets one.
    """

    @property
    def name(self) -> str: ...

    @property
    def address(self) -> str: ...

    @property
    def failure_domain(self) -> str: ...

    async def connect(self) -> MemberConnection:
        """Opens a data connection.

        Raises:
          ConnectionRefused: The member refuses the connection, normally because its connection
            limit is reached.
          LinkLost: The member can't be reached.
        """

    async def status(self, wait_for: positions.Position, wait_s: float) -> members.MemberStatus:
        """Returns the member's status report (a long poll).

        Args:
          wait_for: The member answers once its last log position reaches this position or its
            promised term changes.
          wait_s: The longest time, in seconds, after which the member answers anyway.
        """

    async def fence(self, term: int) -> tuple[bool, members.MemberStatus]:
        """Asks the member to promise a term.

        Returns:
          Whether the promise was granted, which requires a term above the promised one, and the
          member's status report.
        """

    async def promote(self, term: int) -> members.MemberStatus:
        """Makes the member the primary of a term, if it has promised exactly this term."""

    async def follow(self, term: int, primary_address: str) -> members.MemberStatus:
        """Makes the member a replica in a term, if it has not promised a newer one."""

    def close(self) -> None: ...


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform's store. Versions start at 1."""

    key: str
    value: bytes
    version: int


class StoreUnavailable(Exception):
    """The store did not answer. An update may have taken effect nevertheless."""


class VersionConflict(Exception):
    """The expected version of a conditional update is not the current one; nothing changed."""


class Store(Protocol):
    """The platform's object API."""

    async def get(self, key: str) -> StoredObject | None: ...

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Updates an object conditionally.

        Args:
          key: The object's key.
          value: The new content.
          expected_version: The version that the update replaces; 0 if the object must not exist.
        Returns:
          The new version.
        Raises:
          VersionConflict: The object has another version.
          StoreUnavailable: The store did not answer.
        """

    async def watch(self, key: str, after_version: int, wait_s: float) -> StoredObject | None:
        """Waits for a newer version of an object.

        Args:
          key: The object's key.
          after_version: The version that the caller has.
          wait_s: The longest wait, in seconds.
        Returns:
          The object once its version exceeds after_version; None after wait_s seconds.
        """

    async def keys(self, prefix: str) -> list[str]: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The state that an instance reports to its peers.

    Attributes:
      instance: The instance's id.
      failure_domain: The instance's failure domain.
      address: The address at which peers reach the instance.
      leaving: Whether the instance is shutting down.
      configuration_version: The version of the configuration in use.
      store_contact_s: Seconds since the store last answered; None if it never did.
    """

    instance: str
    failure_domain: str
    address: str
    leaving: bool
    configuration_version: int
    store_contact_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationTransfer:
    """A configuration as sent from one peer to another: the head and the requested parts."""

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
        """Returns the peer's encoded operator report.

        Args:
          minutes: How many of the latest minutes the report covers.
        """

    def close(self) -> None: ...


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """An owner's view of a member, for operators.

    Attributes:
      name: The member's declared name.
      status: The member's latest status report; None if it never answered.
      age_s: Seconds since the member's last answer of any kind; None if it never answered.
    """

    name: str
    status: members.MemberStatus | None
    age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView:
    """An owner's view of its group, for operators.

    Attributes:
      group: The group's name.
      rank: The owner's rank, from 0.
      primary: The primary's name; None if there is none.
      term: The highest promised term reported by any member.
      confirmed: The highest confirmed position.
      members: The owner's view of each member.
      queue_depth: Number of requests in the queue.
      in_flight: Number of requests sent to members and not yet answered.
      open_transactions: Number of transactions pinned to this owner.
      last_change: The last primary change known to this owner: which instance decided it, and the
        reason. Empty if none is known.
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
        """Runs a request and returns its outcome by the deadline. Raises only when cancelled."""

    def set_rank(self, rank: int) -> None:
        """Changes the owner's rank, which determines its connection share and its heartbeats."""

    def set_leaving_endpoints(self, addresses: frozenset[str]) -> None:
        """Sets the addresses of endpoints that the platform's list or a peer reports as leaving."""

    def view(self) -> GroupView: ...

    async def close(self) -> None:
        """Ends the owner role and aborts open transactions."""
