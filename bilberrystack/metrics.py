"""Metrics of an instance in the Prometheus format.

Values are read from the instance at each scrape. The number of label values is bounded: labels are
reasons, kinds and states, but never requests, sessions, groups or other instances.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import resource
import ssl
from typing import Any
from typing import Protocol

import aiohttp.web
from aioprometheus import collectors
from aioprometheus import service

from bilberrystack.core import tally

PREFIX = "bilberrystack_"

# Counters of a group owner that are exported without a label. Counters by reason have a label.
OWNER_COUNTER_NAMES = (
    "duplicates",
    "watermark_waits",
    "behind_replies",
    "undurable_reads",
    "rounds",
    "failed_rounds",
    "confirmation_polls",
    "retries",
    "denied_retries",
    "resolves",
    "lost_links",
    "late_answers",
    "queue_waits",
    "queue_wait_s",
)


class OwnerCounters(Protocol):
    """Counters of a group owner by reason, which proxy/counters.py implements."""

    primary_read_reasons: collections.Counter[str]


class StoreCounters(Protocol):
    """Counters of calls to the store, which proxy/counted_store.py implements."""

    @property
    def calls(self) -> collections.abc.Mapping[tuple[str, str], int]: ...

    @property
    def sent_bytes(self) -> int: ...

    @property
    def received_bytes(self) -> int: ...


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSnapshot:
    """State of an instance at the time of a scrape.

    Attributes:
      tally: Counters of the outcomes of callers' requests.
      owners: Counters of the current group owners.
      store: Counters of calls to the store.
      connections: Number of accepted connections by listener: "callers", "peers", "operators".
      member_connections: Number of data connections to members by state: "idle", "leased".
      queue_depths: Number of queued requests of each owned group.
      in_flight: Number of requests in flight at members.
      open_transactions: Number of open transactions of the owned groups.
      configuration_version: Configuration version in force.
      serving: Whether the instance serves requests.
      store_contact_age_s: Time since the last answer of the store, in seconds; None if it has never
        answered.
      live_instances: Number of instances that this instance considers live.
    """

    tally: tally.OutcomeCounters
    owners: collections.abc.Sequence[OwnerCounters]
    store: StoreCounters
    connections: collections.abc.Mapping[str, int]
    member_connections: collections.abc.Mapping[str, int]
    queue_depths: tuple[int, ...]
    in_flight: int
    open_transactions: int
    configuration_version: int
    serving: bool
    store_contact_age_s: float | None
    live_instances: int


class OwnerTotals:
    """Sums of the counters of all owners, including owners that have ended.

    The counts of an owner that starts and ends between two scrapes are lost.
    """

    __slots__ = ("_current_owners", "_ended_owner_totals")

    def __init__(self) -> None:
        self._ended_owner_totals: dict[tuple[str, str], float] = {}
        self._current_owners: dict[int, OwnerCounters] = {}

    def update(
        self, owners: collections.abc.Iterable[OwnerCounters]
    ) -> dict[tuple[str, str], float]:
        """Update the sums with the counters of the current owners.

        Args:
          owners: Counters of all current owners.
        Returns:
          The sums by name and reason; the reason is empty for counters without reasons.
        """
        current = {id(counters): counters for counters in owners}
        for key in self._current_owners.keys() - current.keys():
            _add_counts(self._ended_owner_totals, self._current_owners[key])
        self._current_owners = current
        total = self._ended_owner_totals.copy()
        for counters in current.values():
            _add_counts(total, counters)
        return total


def _add_counts(total: dict[tuple[str, str], float], counters: OwnerCounters) -> None:
    """Add the counters of an owner to the sums."""
    counts = {(name, ""): getattr(counters, name) for name in OWNER_COUNTER_NAMES}
    for reason, count in counters.primary_read_reasons.items():
        counts["primary_reads", reason] = count
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count


class Metrics:
    """Metrics of an instance and their registry."""

    __slots__ = (
        "_counters",
        "_gauges",
        "_owner_totals",
        "_primary_change_durations",
        "_take_snapshot",
        "registry",
    )

    def __init__(self, take_snapshot: collections.abc.Callable[[], InstanceSnapshot]) -> None:
        """Create the metrics.

        Args:
          take_snapshot: Function that returns the current values of the instance.
        """
        self.registry = collectors.Registry()
        self._take_snapshot = take_snapshot
        self._owner_totals = OwnerTotals()
        self._counters: dict[str, collectors.Counter] = {}
        self._gauges: dict[str, collectors.Gauge] = {}
        self._primary_change_durations = collectors.Histogram(
            f"{PREFIX}change_of_primary_seconds",
            "Gap in service and duration of changes of primary.",
            registry=self.registry,
            buckets=[0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 14.0],
        )

    def observe_primary_change(self, phase: str, duration_s: float) -> None:
        """Record the duration of a phase of a primary change.

        Args:
          phase: "silence" from the oldest heartbeat that the previous primary did not answer to the
            decision, "change" from the decision to the confirmed new primary, or "gap" for both
            together.
          duration_s: Duration of the phase, in seconds.
        """
        self._primary_change_durations.observe({"phase": phase}, duration_s)

    def refresh(self) -> None:
        """Read the current values from the instance."""
        snapshot = self._take_snapshot()
        self._refresh_outcomes(snapshot.tally)
        self._refresh_owners(snapshot)
        self._refresh_control_plane(snapshot)
        for listener, count in snapshot.connections.items():
            help_text = "Accepted connections, by listener."
            self._set_gauge("connections", help_text, count, listener=listener)
        for state, count in snapshot.member_connections.items():
            help_text = "Data connections to members, by state."
            self._set_gauge("member_connections", help_text, count, state=state)
        depths = snapshot.queue_depths
        self._set_gauge("queue_depth", "Requests that wait in all owned groups.", sum(depths))
        self._set_gauge("queue_depth_max", "Requests in the longest queue.", max(depths, default=0))
        self._set_gauge("owned_groups", "Groups that this instance owns.", len(depths))
        self._set_gauge("in_flight", "Requests at members.", snapshot.in_flight)
        self._set_gauge(
            "open_transactions", "Transactions pinned here.", snapshot.open_transactions
        )

    def _refresh_outcomes(self, counts: tally.OutcomeCounters) -> None:
        self._set_counter("requests_total", "Requests that ended.", counts.ended_requests)
        for place, count in counts.reads.items():
            self._set_counter("reads_total", "Reads answered, by place.", count, place=place)
        for reason, count in counts.refusals.items():
            self._set_counter(
                "refusals_total", "Requests not run, by reason.", count, reason=reason
            )
        for reason, count in counts.unknowns.items():
            self._set_counter("unknown_total", "Unknown outcomes, by reason.", count, reason=reason)
        for kind, count in counts.primary_changes.items():
            self._set_counter("changes_total", "Changes of primary, by kind.", count, kind=kind)

    def _refresh_owners(self, snapshot: InstanceSnapshot) -> None:
        for (name, reason), count in self._owner_totals.update(snapshot.owners).items():
            if reason:
                help_text = "Reads that the primary served, by reason."
                self._set_counter(f"owner_{name}_total", help_text, count, reason=reason)
            else:
                words = name.replace("_", " ")
                self._set_counter(f"owner_{name}_total", f"Count of {words} at owners.", count)

    def _refresh_control_plane(self, snapshot: InstanceSnapshot) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        self._set_counter("processor_seconds_total", "Processor time of the process.", cpu_s)
        for (kind, outcome), count in snapshot.store.calls.items():
            help_text = "Calls of the store, by kind and result."
            self._set_counter("store_calls_total", help_text, count, kind=kind, result=outcome)
        help_text = "Bytes of values exchanged with the store."
        self._set_counter(
            "store_bytes_total", help_text, snapshot.store.sent_bytes, direction="sent"
        )
        received = snapshot.store.received_bytes
        self._set_counter("store_bytes_total", help_text, received, direction="received")
        version = snapshot.configuration_version
        self._set_gauge("configuration_version", "Configuration version in force.", version)
        self._set_gauge("serving", "Whether requests are served.", int(snapshot.serving))
        self._set_gauge("live_instances", "Live instances in this view.", snapshot.live_instances)
        if snapshot.store_contact_age_s is not None:
            age_s = snapshot.store_contact_age_s
            self._set_gauge("store_contact_age_seconds", "Time since the store answered.", age_s)

    def _set_counter(self, name: str, help_text: str, value: float, **labels: str) -> None:
        counter = self._counters.get(name)
        if counter is None:
            counter = collectors.Counter(PREFIX + name, help_text, registry=self.registry)
            self._counters[name] = counter
        counter.set(labels, value)

    def _set_gauge(self, name: str, help_text: str, value: float, **labels: str) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = collectors.Gauge(PREFIX + name, help_text, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)


class _MetricsService(service.Service):
    def __init__(self, metrics: Metrics) -> None:
        super().__init__(metrics.registry)
        self._metrics = metrics

    async def handle_metrics(self, request: aiohttp.web.Request) -> Any:
        self._metrics.refresh()
        return await super().handle_metrics(request)


class MetricsServer:
    """HTTP server for the metrics at /metrics.

    It must be used as an asynchronous context manager.
    """

    __slots__ = ("_address", "_http_service", "_tls")

    def __init__(
        self, metrics: Metrics, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Create a server, which does not listen yet.

        Args:
          metrics: The metrics.
          host: IP address to listen on.
          port: Port to listen on; 0 selects a free port.
          tls: TLS context; None for plain HTTP.
        """
        self._http_service = _MetricsService(metrics)
        self._address = (host, port)
        self._tls = tls

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._http_service.base_url.rpartition(":")[2])

    async def __aenter__(self) -> "MetricsServer":
        await self._http_service.start(*self._address, ssl=self._tls)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await asyncio.shield(self._http_service.stop())
