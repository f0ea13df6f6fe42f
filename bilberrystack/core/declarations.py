"""Operators' declarations of the intended configuration: the only state that people write."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDeclaration:
    """A declared member of a database group.

    Attributes:
      name: Name of the member, unique within the group.
      address: IP address and port of the member's endpoint, for example "127.0.0.1:7001".
      failure_domain: Failure domain of the member's endpoint.
      connections: Number of connections that the member accepts.
      slots: Number of statements that the member executes concurrently.
    """

    name: str
    address: str
    failure_domain: str
    connections: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupDeclaration:
    """A declared database group.

    Attributes:
      name: Unique name of the group.
      members: Members of the group.
      default_max_age_ms: Maximum age of the data, in milliseconds, for reads that do not specify
        one.
    """

    name: str
    members: tuple[MemberDeclaration, ...]
    default_max_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDeclaration:
    """A declared caller.

    Attributes:
      name: Unique name of the caller.
      secret_sha256: Hexadecimal SHA-256 digests of the accepted secrets, two during a rotation.
      groups: Names of the groups that the caller may use.
    """

    name: str
    secret_sha256: tuple[str, ...]
    groups: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Service-level targets.

    Attributes:
      replica_read_share: Minimum share of reads served by replicas, from 0 to 1.
      failover_gap_ms: Maximum gap in service during a failover, in milliseconds.
      unknown_outcome_share: Maximum share of requests with an unknown outcome, from 0 to 1.
    """

    replica_read_share: float = 0.95
    failover_gap_ms: int = 1000
    unknown_outcome_share: float = 0.0001


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """All declarations of one configuration version.

    Attributes:
      version: Configuration version, from 1; 0 if no configuration was accepted.
      groups: Database groups by name.
      callers: Callers by name.
      targets: Service-level targets.
    """

    version: int
    groups: dict[str, GroupDeclaration]
    callers: dict[str, CallerDeclaration]
    targets: Targets = Targets()


EMPTY = Declarations(0, {}, {})
