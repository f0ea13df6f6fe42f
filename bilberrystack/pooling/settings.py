"""Settings of the session mode, as the adapter reads them from the platform's file."""

import dataclasses

from bilberrystack.routing import model


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a serving process is told at its start.

    Attributes:
      name: The machine's name.
      failure_domain: Where it runs.
      sessions: Where clients' sessions are accepted.
      ready: Where the platform asks whether new sessions may come.
      peers: Where other instances are accepted, over TCP and UDP.
      metrics: Where metrics are served.
      store: The platform's store.
      calls: The platform's own calls.
      store_history_s: How long the store keeps its history, which limits a watch.
      grace_s: Time between the request to stop and the end.
      cores: Processor power that the machine gives the process, in cores.
    """

    name: str
    failure_domain: str
    sessions: model.Endpoint
    ready: model.Endpoint
    peers: model.Endpoint
    metrics: model.Endpoint
    store: model.Endpoint
    calls: model.Endpoint
    store_history_s: float
    grace_s: float
    cores: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """Why settings can't be used, one line for each problem."""

    problems: tuple[str, ...]
