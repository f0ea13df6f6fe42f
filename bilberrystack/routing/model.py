"""Types that describe databases, database groups, members and instances in session mode.

The platform adapter decodes objects of the store into these types; no other code depends on the
format of the store.
"""

import collections.abc
import dataclasses
import enum
import ipaddress

from bilberrystack.accounts import accounts as client_accounts

MAX_PORT = 65_535


class Consistency(enum.Enum):
    """Consistency guarantee for reads of a database."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    OWN_WRITES = "own_writes"


class Role(enum.Enum):
    """Replication role that a member reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """Network address on which a process listens.

    Attributes:
      host: IP address.
      port: TCP port; instances use the UDP port of the same number among themselves.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint | None:
    """Return the endpoint that a text of the form IP:PORT names; None if it names none.

    An address with a scope, as in fe80::1%eth0, is none: any text is valid as a scope, also one
    that ends a line.
    """
    host, _, port = text.rpartition(":")
    if "%" in host:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return None
    return Endpoint(host, int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A database under the name that clients use for it.

    Attributes:
      database: Name with which clients start a session.
      service: Name of the database group that stores the database.
      consistency: Consistency guarantee for its reads.
      timeout_s: Time limit of a single statement, in seconds.
      latency_objective_s: Latency objective of an operation, in seconds.
      priority: Scheduling priority; 0 is the most urgent.
      max_age_s: Maximum age of the data that a read returns, in seconds; None if only the primary
        serves reads.
      anonymous: Whether sessions need no key where accounts are declared.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_age_s: float | None
    anonymous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A database group as declared in the configuration, which calls it a service.

    Attributes:
      name: Name of the group; a member rejects connections that name another one.
      max_connections: Connections that each member accepts from all instances together.
      sync_replicas: Number of replicas that receive a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration that operators declare.

    Attributes:
      version: Version number, which increases with each change.
      routes: Databases by name.
      services: Database groups by name.
      transaction_idle_timeout_s: Idle time, in seconds, after which a transaction may be rolled
        back.
      accounts: The client accounts; None if the deployment declares none.
    """

    version: int
    routes: collections.abc.Mapping[str, Route]
    services: collections.abc.Mapping[str, Service]
    transaction_idle_timeout_s: float
    accounts: client_accounts.Accounts | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of a database group, as recorded in the store.

    Attributes:
      id: Identifier, which a restart does not change.
      service: Name of its database group.
      endpoint: Address on which it listens.
      failure_domain: Failure domain in which it runs.
      slots: Number of statements that it runs concurrently.
      leaving: Whether it is draining and accepts no new work.
      role: Role that it reports for itself; None if the record has none.
      started_ms: Start time in Unix milliseconds. A changed value means that the member has
        restarted and kept no earlier connection or transaction.
      report_number: Number of the report that the record comes from. It counts the reports since
        the member's start.
    """

    id: str
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    leaving: bool
    role: Role | None
    started_ms: int
    report_number: int = 0

    @property
    def record_age_key(self) -> tuple[int, int]:
        """Orders the records of one member by the time at which the member wrote them."""
        return self.started_ms, self.report_number


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A running instance of the proxy.

    Attributes:
      name: Name of the machine on which it runs.
      incarnation: Identifier of the process, which tells apart the processes that run under one
        name in succession.
      endpoint: Address at which other instances reach it.
      failure_domain: Failure domain in which it runs.
      cores: CPU capacity of its machine, in cores.
    """

    name: str
    incarnation: str
    endpoint: Endpoint
    failure_domain: str
    cores: float = 1.0
