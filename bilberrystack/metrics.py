"""Metrics of one instance in the Prometheus format.

Values are read from the instance when they are scraped. Labels are bounded by the program: reasons,
kinds and states, never a request, a session, a group or another instance.
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

# Counts of an owner that metrics export one by one; those by reason are exported apart.
OWNER_COUNTS = (
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
    """The counts of one group owner by reason, as proxy/counters.py keeps them."""

    primary_read_reasons: collections.Counter[str]


class StoreCounters(Protocol):
    """The counts of the store's calls, as proxy/counted_store.py keeps them."""

    @property
    def calls(self) -> collections.abc.Mapping[tuple[str, str], int]: ...

    @property
    def sent_bytes(self) -> int: ...

    @property
    def received_bytes(self) -> int: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What an instance knows at one instant.

    Attributes:
      tally: What callers were answered.
      owners: The counts of the current owners.
      store: The counts of the store's calls.
      connections: Accepted connections by listener: "callers", "peers", "operators".
      member_connections: Data connections to members by state: "idle", "leased".
      queue_depths: Requests that wait, for each owned group.
      in_flight: Requests at members.
      open_transactions: Transactions pinned here.
      configuration_version: The version in force.
      serving: Whether requests are served.
      store_contact_age_s: Seconds since the store answered; None if never.
      live_instances: Live instances in this one's view.
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
    """Sums the counts of owners, also of those that have ended.

    An owner that ends between two scrapes takes its counts since the last one with it.
    """

    __slots__ = ("_ended", "_owners")

    def __init__(self) -> None:
        self._ended: dict[tuple[str, str], float] = {}
        self._owners: dict[int, OwnerCounters] = {}

    def update(
        self, owners: collections.abc.Iterable[OwnerCounters]
    ) -> dict[tuple[str, str], float]:
        """Takes the current owners' counts.

        Args:
          owners: The counts of all current owners.
        Returns:
          The sums by name and reason; the reason is empty for counts without one.
        """
        current = {id(one): one for one in owners}
        for key in self._owners.keys() - current.keys():
            _add(self._ended, self._owners[key])
        self._owners = current
        total = self._ended.copy()
        for one in current.values():
            _add(total, one)
        return total


def _add(total: dict[tuple[str, str], float], counters: OwnerCounters) -> None:
    """Adds an owner's counts to a total."""
    counts = {(name, ""): getattr(counters, name) for name in OWNER_COUNTS}
    for reason, count in counters.primary_read_reasons.items():
        counts["primary_reads", reason] = count
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count


class Metrics:
    """The registry of one instance."""

    __slots__ = ("_counters", "_gauges", "_histogram", "_owner_totals", "_sample", "registry")

    def __init__(self, sample: collections.abc.Callable[[], Sample]) -> None:
        """Creates the registry.

        Args:
          sample: Returns what the instance knows now.
        """
        self.registry = collectors.Registry()
        self._sample = sample
        self._owner_totals = OwnerTotals()
        self._counters: dict[str, collectors.Counter] = {}
        self._gauges: dict[str, collectors.Gauge] = {}
        self._histogram = collectors.Histogram(
            f"{PREFIX}change_of_primary_seconds",
            "Gap in service and duration of changes of primary.",
            registry=self.registry,
            buckets=[0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 14.0],
        )

    def observe_change(self, phase: str, duration_s: float) -> None:
        """Takes the duration of a phase of a change of primary: "silence", "change" or "gap"."""
        self._histogram.observe({"phase": phase}, duration_s)

    def refresh(self) -> None:
        """Reads all values from the instance."""
        sample = self._sample()
        self._refresh_outcomes(sample.tally)
        self._refresh_owners(sample)
        self._refresh_control(sample)
        for state, count in sample.connections.items():
            help_text = "Accepted connections, by listener."
            self._gauge("connections", help_text, count, listener=state)
        for state, count in sample.member_connections.items():
            help_text = "Data connections to members, by state."
            self._gauge("member_connections", help_text, count, state=state)
        depths = sample.queue_depths
        self._gauge("queue_depth", "Requests that wait in all owned groups.", sum(depths))
        self._gauge("queue_depth_max", "Requests in the longest queue.", max(depths, default=0))
        self._gauge("owned_groups", "Groups that this instance owns.", len(depths))
        self._gauge("in_flight", "Requests at members.", sample.in_flight)
        self._gauge("open_transactions", "Transactions pinned here.", sample.open_transactions)

    def _refresh_outcomes(self, counts: tally.OutcomeCounters) -> None:
        self._count("requests_total", "Requests that ended.", counts.ended_requests)
        for place, count in counts.reads.items():
            self._count("reads_total", "Reads answered, by place.", count, place=place)
        for reason, count in counts.refusals.items():
            self._count("refusals_total", "Requests not run, by reason.", count, reason=reason)
        for reason, count in counts.unknowns.items():
            self._count("unknown_total", "Unknown outcomes, by reason.", count, reason=reason)
        for kind, count in counts.primary_changes.items():
            self._count("changes_total", "Changes of primary, by kind.", count, kind=kind)

    def _refresh_owners(self, sample: Sample) -> None:
        for (name, reason), count in self._owner_totals.update(sample.owners).items():
            if reason:
                help_text = "Reads that the primary served, by reason."
                self._count(f"owner_{name}_total", help_text, count, reason=reason)
            else:
                words = name.replace("_", " ")
                self._count(f"owner_{name}_total", f"Count of {words} at owners.", count)

    def _refresh_control(self, sample: Sample) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        seconds = usage.ru_utime + usage.ru_stime
        self._count("processor_seconds_total", "Processor time of the process.", seconds)
        for (kind, outcome), count in sample.store.calls.items():
            help_text = "Calls of the store, by kind and result."
            self._count("store_calls_total", help_text, count, kind=kind, result=outcome)
        help_text = "Bytes of values exchanged with the store."
        self._count("store_bytes_total", help_text, sample.store.sent_bytes, direction="sent")
        received = sample.store.received_bytes
        self._count("store_bytes_total", help_text, received, direction="received")
        version = sample.configuration_version
        self._gauge("configuration_version", "Configuration version in force.", version)
        self._gauge("serving", "Whether requests are served.", int(sample.serving))
        self._gauge("live_instances", "Live instances in this view.", sample.live_instances)
        if sample.store_contact_age_s is not None:
            age_s = sample.store_contact_age_s
            self._gauge("store_contact_age_seconds", "Time since the store answered.", age_s)

    def _count(self, name: str, help_text: str, value: float, **labels: str) -> None:
        counter = self._counters.get(name)
        if counter is None:
            counter = collectors.Counter(PREFIX + name, help_text, registry=self.registry)
            self._counters[name] = counter
        counter.set(labels, value)

    def _gauge(self, name: str, help_text: str, value: float, **labels: str) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = collectors.Gauge(PREFIX + name, help_text, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)


class _Service(service.Service):
    def __init__(self, metrics: Metrics) -> None:
        super().__init__(metrics.registry)
        self._metrics = metrics

    async def handle_metrics(self, request: aiohttp.web.Request) -> Any:
        self._metrics.refresh()
        return await super().handle_metrics(request)


class Endpoint:
    """Serves metrics over HTTP at /metrics. Use it as an asynchronous context manager."""

    __slots__ = ("_address", "_service", "_tls")

    def __init__(
        self, metrics: Metrics, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Creates an endpoint that does not listen yet.

        Args:
          metrics: The metrics.
          host: The IP number to listen on.
          port: The port; 0 for any.
          tls: The TLS context, or None for plain HTTP.
        """
        self._service = _Service(metrics)
        self._address = (host, port)
        self._tls = tls

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._service.base_url.rpartition(":")[2])

    async def __aenter__(self) -> "Endpoint":
        await self._service.start(*self._address, ssl=self._tls)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await asyncio.shield(self._service.stop())
