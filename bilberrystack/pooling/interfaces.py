"""Interfaces between the session mode and the platform.

The platform adapter implements them; tests provide stand-ins.
"""

import collections.abc
import dataclasses
from typing import Protocol

from bilberrystack.core import positions
from bilberrystack.routing import model
from bilberrystack.routing import statements

# Returns seconds on a monotonic clock that also advances while the machine is suspended.
Clock = collections.abc.Callable[[], float]


class NotEncodable(ValueError):
    """A message can't carry a field: it would end early, or its fields would be others."""


class TooLong(NotEncodable):
    """A message would be longer than the protocol allows."""


class Dialect(Protocol):
    """The line protocol of clients and members; see platform/wire.py.

    The functions that encode raise NotEncodable instead of returning a message that its receiver
    would read differently.
    """

    @property
    def MAX_LINE_BYTES(self) -> int: ...

    def parse_client_message(self, line: bytes) -> statements.ClientMessage: ...
    def parse_statement(self, text: str) -> statements.Statement: ...
    def parse_member_message(self, line: bytes) -> statements.MemberMessage: ...
    def may_join_rows(self, row: bytes) -> bool: ...
    def parse_proof(self, done: bytes) -> bytes | None: ...
    def parse_member_status(self, row: bytes) -> statements.MemberStatus | None: ...
    def encode_ready(
        self, state: statements.TransactionState, position: positions.Position | None
    ) -> bytes: ...
    def encode_done(self) -> bytes: ...
    def encode_error(self, code: statements.ErrorCode, text: str) -> bytes: ...
    def encode_result_line(self, received: bytes) -> bytes: ...
    def encode_member_start(self, service: str, client_name: str, member: str) -> bytes: ...
    def encode_query(
        self, request_id: str, text: str, min_position: positions.Position | None = None
    ) -> bytes: ...
    def has_room_for_position(self, request_id: str, text: str) -> bool: ...
    def format_execute(self, name: str, arguments: str) -> str: ...
    def encode_status_query(self) -> bytes: ...
    def encode_demote(self, term: int) -> bytes: ...
    def encode_hold(self, term: int) -> bytes: ...
    def encode_resume(self) -> bytes: ...
    def encode_reset(self) -> bytes: ...
    def encode_read_only_begin(self) -> bytes: ...
    def encode_rollback(self) -> bytes: ...
    def encode_set_value(self, name: str, value: str) -> bytes: ...
    def encode_prepare(self, name: str, access: statements.Access, text: str) -> bytes: ...


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A revision of the store.

    When the store returns from an older copy, its revision numbers go back and are given out again,
    and its era rises. Revisions therefore compare by era first.

    Attributes:
      era: Number of the store's history.
      number: Number of the change within that history.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The coordinator lease as stored.

    Attributes:
      coordinator: The instance that holds the lease; None if it was released or never written.
      token: The fencing token, which increases with each new coordinator; 0 if never written.
      revision: The record's revision in the store, which also increases with each renewal. Its
        number is 0 if the record was never written.
      written_era: The era of the store that its writer knew.
      standbys: The incarnations that may acquire the lease soon after its last renewal.
    """

    coordinator: model.Instance | None
    token: int
    revision: Revision
    written_era: int
    standbys: tuple[str, ...] = ()

    @property
    def exists(self) -> bool:
        """Whether the store has the record."""
        return self.revision.number > 0

    @property
    def current(self) -> bool:
        """Whether the record was written in the present era.

        A record from before the store's return may be older than the last one that was written: the
        lease may have had other holders since.
        """
        return self.exists and self.written_era == self.revision.era


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRecord:
    """A promotion request as stored before it is made, so that later coordinators know of it.

    Attributes:
      name: Name of the record.
      service: The group.
      member: Id of the member that the request names.
      replaced_term: Term of the primary that it replaces; 0 if none was known.
      repeatable: Whether it was seen in effect or rejected, and only a second copy of it may take
        effect.
    """

    name: str
    service: str
    member: str
    replaced_term: int
    repeatable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryRecord:
    """The primary of a term as stored before its first grant, for later coordinators.

    Attributes:
      name: Name of the record.
      service: The group.
      member: Id of the primary.
      term: Its term.
    """

    name: str
    service: str
    member: str
    term: int


class StoreFailure(Exception):
    """A call to the store or to the platform did not succeed."""


class NotDone(StoreFailure):
    """The call had no effect and can be retried later."""


class NoAnswer(StoreFailure):
    """The outcome of the call is unknown: it may have taken effect, or still may."""


class Conflict(StoreFailure):
    """The object was not written because it has changed since it was read."""


class HistoryGone(StoreFailure):
    """The revision to watch from is not in the store's history; a new list is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind, decoded; objects that cannot be decoded are left out.

    Attributes:
      items: The objects by name.
      revision: The store's revision to watch from.
    """

    items: dict[str, object]
    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The result of a watch.

    Attributes:
      items: The changed objects by name, decoded; None for each deleted object.
      revision: The store's revision to watch from next.
    """

    items: dict[str, object | None]
    revision: Revision


class ObjectKind(Protocol):
    """A kind of store objects that can be listed and watched.

    `allow_stale` permits a result that is seconds old, which costs a tenth of an up-to-date one.
    """

    @property
    def name(self) -> str: ...

    async def list(self, allow_stale: bool = False) -> Snapshot: ...
    async def watch(self, revision: Revision, wait_s: float) -> Changes: ...


class ConfigurationSource(Protocol):
    """The newest configuration that this instance knows; see directory.Directory."""

    @property
    def configuration(self) -> model.Configuration | None: ...
    @property
    def version(self) -> int: ...

    def observe_version(self, version: int, source: model.Endpoint | None = None) -> None: ...


class Platform(Protocol):
    """Calls to the store and to the platform; see platform/client.py."""

    @property
    def configurations(self) -> ObjectKind: ...
    @property
    def members(self) -> ObjectKind: ...
    @property
    def instances(self) -> ObjectKind: ...
    @property
    def promotions(self) -> ObjectKind: ...

    async def register_instance(self, instance: model.Instance) -> None: ...
    async def deregister_instance(self, instance: model.Instance) -> None: ...
    @property
    def store_era(self) -> int: ...
    async def read_coordinator_lease(self) -> LeaseRecord: ...
    async def write_coordinator_lease(
        self,
        replaced: LeaseRecord,
        coordinator: model.Instance | None,
        token: int,
        standbys: tuple[str, ...] = (),
    ) -> LeaseRecord: ...
    async def record_promotion(self, record: PromotionRecord) -> None: ...
    async def update_promotion_record(self, record: PromotionRecord) -> None: ...
    async def record_primary(self, record: PrimaryRecord) -> None: ...
    async def remove_promotion_record(self, name: str) -> None: ...
    async def promote(
        self,
        service: str,
        member: str,
        coordinator: str,
        token: int,
        *,
        may_send: collections.abc.Callable[[], bool],
    ) -> bool: ...
