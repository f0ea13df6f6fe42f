"""What the session mode needs of a platform. The adapter implements it, tests stand in for it."""

import collections.abc
import dataclasses
from typing import Protocol

from bilberrystack.core import positions
from bilberrystack.routing import model
from bilberrystack.routing import statements

# Returns seconds on a clock that never jumps and also counts a suspension of the machine.
Clock = collections.abc.Callable[[], float]


class Dialect(Protocol):
    """The protocol of clients and members; see platform/wire.py."""

    @property
    def MAX_LINE_BYTES(self) -> int: ...

    def parse_client(self, line: bytes) -> statements.ClientMessage: ...
    def parse_statement(self, text: str) -> statements.Statement: ...
    def parse_member(self, line: bytes) -> statements.MemberMessage: ...
    def parse_status(self, row: bytes) -> statements.MemberStatus | None: ...
    def ready(
        self, state: statements.TransactionState, position: positions.Position | None
    ) -> bytes: ...
    def done(self) -> bytes: ...
    def error(self, code: statements.ErrorCode, text: str) -> bytes: ...
    def line(self, received: bytes) -> bytes: ...
    def start_member(self, service: str, caller: str, member: str) -> bytes: ...
    def query(
        self, request_id: str, text: str, after: positions.Position | None = None
    ) -> bytes: ...
    def execute(self, name: str, arguments: str) -> str: ...
    def status(self) -> bytes: ...
    def demote(self, term: int) -> bytes: ...
    def reset(self) -> bytes: ...
    def rollback(self) -> bytes: ...
    def set_value(self, name: str, value: str) -> bytes: ...
    def prepare(self, name: str, access: statements.Access, shape: str) -> bytes: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """The object in the store that says who holds the promotion duty.

    Attributes:
      holder: The instance that holds it; None if it was released.
      token: Rises with each new holder.
      revision: The object's revision, which rises with each renewal too.
    """

    holder: model.Instance | None
    token: int
    revision: int


class StoreFailure(Exception):
    """A call to the store or the platform did not succeed."""


class NotDone(StoreFailure):
    """The call had no effect and can be made again later."""


class NoAnswer(StoreFailure):
    """The call may have had an effect, or may still have one."""


class Conflict(StoreFailure):
    """The object has changed since it was read."""


class HistoryGone(StoreFailure):
    """The watch's starting point is too old; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind, decoded; those that can't be decoded are left out.

    Attributes:
      items: The objects by name.
      revision: Where a watch continues.
    """

    items: dict[str, object]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch returned: decoded objects by name, None for those that are gone."""

    items: dict[str, object | None]
    revision: int


class Kind(Protocol):
    """A kind of objects that can be listed and watched."""

    @property
    def name(self) -> str: ...

    async def list(self, may_be_old: bool = False) -> Snapshot: ...
    async def watch(self, revision: int, wait_s: float) -> Changes: ...


class Known(Protocol):
    """What an instance knows of configurations; see directory.Directory."""

    @property
    def configuration(self) -> model.Configuration | None: ...
    @property
    def version(self) -> int: ...

    def learn_version(self, version: int) -> None: ...


class Platform(Protocol):
    """The store and the platform's calls; see platform/client.py."""

    @property
    def configurations(self) -> Kind: ...
    @property
    def members(self) -> Kind: ...
    @property
    def instances(self) -> Kind: ...

    async def announce(self, instance: model.Instance) -> None: ...
    async def withdraw(self, name: str) -> None: ...
    async def read_duty(self) -> Duty | None: ...
    async def take_duty(self, holder: model.Instance, seen: Duty | None) -> Duty: ...
    async def renew_duty(self, held: Duty) -> Duty: ...
    async def release_duty(self, held: Duty) -> None: ...
    async def promote(
        self,
        service: str,
        member: str,
        holder: str,
        token: int,
        *,
        may_send: collections.abc.Callable[[], bool],
    ) -> bool: ...
