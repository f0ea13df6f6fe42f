"""Operators' declarations of intent: the only state that people write."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDeclaration:
    """A declared member of a database group.

    Attributes:
      name: Unique inside the group.
      address: IP number and port of its endpoint, as "127.0.0.1:7001".
      failure_domain: The failure domain of its endpoint.
      connections: Connections that the member accepts.
      slots: Statements that it executes at the same time.
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
      name: Unique among the groups.
      members: Its members.
      default_max_age_ms: The age in milliseconds that a read accepts when it states none.
    """

    name: str
    members: tuple[MemberDeclaration, ...]
    default_max_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDeclaration:
    """A declared caller.

    Attributes:
      name: Unique among the callers.
      secret_sha256: The hexadecimal SHA-256 digests of the secrets accepted, two during a change.
      groups: The names of the groups that the caller may reach.
    """

    name: str
    secret_sha256: tuple[str, ...]
    groups: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Service-level targets.

    Attributes:
      replica_read_share: The share of reads to be served by replicas, from 0 to 1.
      failover_gap_ms: The longest gap in service during a failover, in milliseconds.
      unknown_outcome_share: The largest share of requests with an unknown outcome, from 0 to 1.
    """

    replica_read_share: float = 0.95
    failover_gap_ms: int = 1000
    unknown_outcome_share: float = 0.0001


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """All declarations of one version.

    Attributes:
      version: The configuration version, from 1; 0 for none.
      groups: Database groups by name.
      callers: Callers by name.
      targets: Service-level targets.
    """

    version: int
    groups: dict[str, GroupDeclaration]
    callers: dict[str, CallerDeclaration]
    targets: Targets = Targets()


EMPTY = Declarations(0, {}, {})
