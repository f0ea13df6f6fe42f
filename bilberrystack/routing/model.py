"""What the session mode knows of databases, members and instances.

The platform's adapter decodes these types from the store once; nothing else reads the store's
spelling.
"""

import collections.abc
import dataclasses
import enum


class Consistency(enum.Enum):
    """What reads of a database promise."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    OWN_WRITES = "own_writes"


class Role(enum.Enum):
    """How a member sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """Where a process listens.

    Attributes:
      host: An IP number.
      port: A TCP port, which UDP shares between instances.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One database as clients name it.

    Attributes:
      database: The name that clients start a session with.
      service: The database group that holds it.
      consistency: What its reads promise.
      timeout_s: Limit of a single statement.
      aim_s: Latency objective of an operation.
      priority: 0 goes first.
      max_age_s: How old a read may be; None on routes of the primary.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_s: float
    aim_s: float
    priority: int
    max_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A database group.

    Attributes:
      name: Its name, which its members expect.
      max_connections: Connections that each member accepts from all instances together.
      sync_replicas: Replicas that have received a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """What operators declare.

    Attributes:
      version: Rises with each change.
      routes: The databases by name.
      services: The database groups by name.
      transaction_idle_s: How long a transaction may rest before it may be rolled back.
    """

    version: int
    routes: collections.abc.Mapping[str, Route]
    services: collections.abc.Mapping[str, Service]
    transaction_idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of a database group, as its entry in the store says.

    Attributes:
      id: Its id, which is also valid after a restart.
      service: Its database group.
      endpoint: Where it listens.
      failure_domain: Where it runs.
      slots: Statements that it runs at a time.
      leaving: Whether it takes no new work.
      role: How it sees itself; None if the entry doesn't say.
      started_ms: When it started, in Unix milliseconds; another value means that it holds nothing
        of before.
    """

    id: str
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    leaving: bool
    role: Role | None
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One running instance of the product.

    Attributes:
      name: The name of the machine that it runs on.
      lifetime: Distinguishes the processes that run under one name, one after the other.
      endpoint: Where other instances reach it.
      failure_domain: Where it runs.
      cores: Processor power of its machine, in cores.
    """

    name: str
    lifetime: str
    endpoint: Endpoint
    failure_domain: str
    cores: float = 1.0
