"""Settings of the session mode, which the platform adapter reads from the settings file."""

import collections.abc
import dataclasses

from bilberrystack.accounts import authorization
from bilberrystack.routing import model


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a serving process.

    Attributes:
      name: The name of the machine, which is also the name of the instance.
      failure_domain: The failure domain of the machine.
      sessions_endpoint: The address to listen at for client sessions.
      readiness_endpoint: The address to listen at for the platform's readiness probe.
      peers_endpoint: The address to listen at for other instances, over TCP and UDP.
      metrics_endpoint: The address to listen at for the collection of metrics.
      store_endpoint: The address of the platform's store.
      platform_endpoint: The address of the platform's own API.
      store_history_s: How long the store keeps its history, in seconds; a watch has to be shorter.
      grace_s: Seconds between the request to stop and the end of the process.
      cores: Processing power that the machine gives the process, in cores.
      memory_bytes: Memory that the process may take.
      budget_bytes: What the connections of clients and other instances may make the process hold;
        0 for a fraction of the memory.
      descriptors: Descriptors that the process may open, including those for files.
      first_start: Whether the whole system starts for the first time, so that the store can't have
        lost anything.
      revocation: How soon a revoked key is out of use.
      region: The region of the failure domain.
      regions: The region of each failure domain.
      quota_slack: Operations by which a client account may exceed its quota in a window.
      crossing_price_s_per_mb: Price of a megabyte that leaves the failure domain, as the wait in
        seconds that it is worth; 0 for none.
    """

    name: str
    failure_domain: str
    sessions_endpoint: model.Endpoint
    readiness_endpoint: model.Endpoint
    peers_endpoint: model.Endpoint
    metrics_endpoint: model.Endpoint
    store_endpoint: model.Endpoint
    platform_endpoint: model.Endpoint
    store_history_s: float
    grace_s: float
    cores: float = 1.0
    memory_bytes: int = 512_000_000
    budget_bytes: int = 0
    descriptors: int = 4_096
    first_start: bool = False
    revocation: authorization.RevocationTerms = authorization.DEFAULT_TERMS
    quota_slack: float = 0.0
    region: str = ""
    regions: collections.abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    crossing_price_s_per_mb: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """The reasons why settings cannot be used.

    Attributes:
      problems: One line for each problem.
    """

    problems: tuple[str, ...]
