"""What an instance serves to operators: their calls, metrics and the hourly history."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import ssl
import time

import loguru

from bilberrystack import metrics
from bilberrystack.core import changes
from bilberrystack.core import freshness
from bilberrystack.core import reports
from bilberrystack.core import tally
from bilberrystack.proxy import acceptance
from bilberrystack.proxy import configuration
from bilberrystack.proxy import counted_store
from bilberrystack.proxy import fleet
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import node
from bilberrystack.proxy import operators
from bilberrystack.proxy import summaries
from bilberrystack.proxy import supervisor
from bilberrystack.wire import rpc

# How exactly it is known since when a primary is in its role.
WATCH_INTERVAL_S = 1.0

_LOG = loguru.logger.bind(component="operators")


@dataclasses.dataclass(frozen=True, slots=True)
class OperationsSettings:
    """What the operators' side of a process needs to know.

    Attributes:
      operators_host: The IP number of the operators' listener.
      operators_port: Its port; 0 for any.
      operator_secret: The secret that operators prove.
      metrics_host: The IP number of the metrics' listener.
      metrics_port: Its port; 0 for any.
    """

    operators_host: str
    operators_port: int
    operator_secret: str
    metrics_host: str
    metrics_port: int


@dataclasses.dataclass(eq=False, slots=True)
class Recorder:
    """What an instance counts from its start.

    Attributes:
      counts: What callers were answered.
      exported: The metrics; None until they are served.
    """

    counts: tally.OutcomeCounters = dataclasses.field(default_factory=tally.OutcomeCounters)
    exported: metrics.Metrics | None = None

    def change(self, change: supervisor.Change) -> None:
        """Takes a change of primary. The first primary of a group ends no service."""
        if change.previous is None:
            return
        gap_s = change.silence_s + change.duration_s
        self.counts.record_primary_change(
            "unplanned" if change.silence_s else "planned", gap_s, time.time()
        )
        if self.exported is not None:
            self.exported.observe_primary_change("silence", change.silence_s)
            self.exported.observe_primary_change("change", change.duration_s)
            self.exported.observe_primary_change("gap", gap_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """The ports of the operators' side.

    Attributes:
      operators: The operators' port.
      metrics: The metrics' port.
    """

    operators: int
    metrics: int


class Primaries:
    """Since when the primaries of the owned groups are in their role, as seen here."""

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[str, tuple[str | None, int, float]] = {}

    def update(self, views: collections.abc.Iterable[interfaces.GroupView], now: float) -> None:
        """Takes the views of all owned groups."""
        since = {}
        for view in views:
            known = self._since.get(view.group)
            same = known is not None and known[:2] == (view.primary, view.term)
            since[view.group] = known if same and known else (view.primary, view.term, now)
        self._since = since

    def age_s(self, group: str, now: float) -> float | None:
        """Returns the seconds since a group's primary was first seen; None if there is none."""
        known = self._since.get(group)
        return None if known is None or known[0] is None else now - known[2]


class Observed:
    """One instance as operators see it. Implements fleet.Own."""

    __slots__ = ("_listeners", "_node", "_primaries", "_recorder", "_store")

    def __init__(
        self,
        running: node.Node,
        recorder: Recorder,
        store: metrics.StoreCounters,
        listeners: dict[str, rpc.Server],
    ) -> None:
        """Observes an instance.

        Args:
          running: The node.
          recorder: What the instance counts.
          store: The counts of the store's calls.
          listeners: Its listeners by name.
        """
        self._node = running
        self._primaries = Primaries()
        self._recorder = recorder
        self._store = store
        self._listeners = listeners

    async def watch(self) -> None:
        """Notes since when the primaries of the owned groups are in their role, forever."""
        while True:
            self._primaries.update(self._node.group_views, asyncio.get_running_loop().time())
            await asyncio.sleep(WATCH_INTERVAL_S)

    def digest(self) -> interfaces.Digest:
        """Returns what the instance tells its peers about itself."""
        return self._node.own_digest()

    def report(self, minutes: int) -> reports.InstanceReport:
        """Returns the instance's report with its latest minutes."""
        now = asyncio.get_running_loop().time()
        digest = self._node.own_digest()
        counts = self._recorder.counts
        first_minute = int(time.time() // 60) - minutes + 1
        return reports.InstanceReport(
            instance=digest.instance,
            failure_domain=digest.failure_domain,
            leaving=digest.leaving,
            serving=self._serving(),
            accepting=freshness.may_accept_changes(now, self._node.view.majority_contact_at(now)),
            configuration_version=digest.configuration_version,
            store_contact_age_s=digest.store_contact_s,
            callers=len(self._listeners["callers"].connections),
            groups=tuple(
                _group_report(view, self._primaries.age_s(view.group, now))
                for view in self._node.group_views
            ),
            refusals=dict(counts.refusals),
            unknowns=dict(counts.unknowns),
            minutes=tuple(counts.history.minutes_since(first_minute)) if minutes else (),
        )

    def sample(self) -> metrics.InstanceSnapshot:
        """Returns what metrics show of the instance."""
        digest = self._node.own_digest()
        views = self._node.group_views
        return metrics.InstanceSnapshot(
            tally=self._recorder.counts,
            owners=self._node.owner_counters,
            store=self._store,
            connections={name: len(one.connections) for name, one in self._listeners.items()},
            member_connections=self._node.member_connections,
            queue_depths=tuple(view.queue_depth for view in views),
            in_flight=sum(view.in_flight for view in views),
            open_transactions=sum(view.open_transactions for view in views),
            configuration_version=digest.configuration_version,
            serving=self._serving(),
            store_contact_age_s=digest.store_contact_s,
            live_instances=len(self._node.view.live),
        )

    def _serving(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._node.configuration.serving_allowed(now)


def _group_report(view: interfaces.GroupView, primary_age_s: float | None) -> reports.GroupReport:
    statuses = {member.name: member.status for member in view.members}
    primary = None if view.primary is None else statuses.get(view.primary)
    position = None if primary is None else primary.last_log
    return reports.GroupReport(
        group=view.group,
        rank=view.rank,
        primary=view.primary,
        primary_age_s=primary_age_s,
        term=view.term,
        confirmed=str(view.confirmed),
        members=tuple(
            reports.member_report(one.name, one.status, one.age_s, view.primary, position)
            for one in view.members
        ),
        queue_depth=view.queue_depth,
        in_flight=view.in_flight,
        open_transactions=view.open_transactions,
        last_change=view.last_change,
    )


@contextlib.asynccontextmanager
async def serving(
    settings: OperationsSettings,
    *,
    running: node.Node,
    store: interfaces.Store,
    recorder: Recorder,
    listeners: dict[str, rpc.Server],
    tls: ssl.SSLContext | None = None,
) -> collections.abc.AsyncGenerator[Ports, None]:
    """Serves operators and metrics of a running instance inside a context.

    Args:
      settings: The settings.
      running: The node.
      store: The platform's store.
      recorder: What the instance counts.
      listeners: The other listeners of the instance by name, "callers" among them.
      tls: The TLS context of the listeners, or None for plain TCP.
    """
    listeners = dict(listeners)
    counted = counted_store.counted(store)
    observed = Observed(running, recorder, counted, listeners)
    found = fleet.Fleet(observed, running.view, running.peer)
    running.set_reporter(lambda minutes: reports.encode(observed.report(minutes)))
    history = summaries.Summaries(counted, found, time.time)
    handler = _operators(settings, running, counted, found, history)
    exported = metrics.Metrics(observed.sample)
    recorder.exported = exported
    server = rpc.Server(operators.SERVICE, handler, on_error=_log_error)
    listeners["operators"] = server
    endpoint = metrics.MetricsServer(exported, settings.metrics_host, settings.metrics_port, tls)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(history.run()), loop.create_task(observed.watch())]
    try:
        async with server, endpoint:
            await server.start(settings.operators_host, settings.operators_port, tls=tls)
            yield Ports(server.port, endpoint.port)
    finally:
        for task in tasks:
            task.cancel()


def _operators(
    settings: OperationsSettings,
    running: node.Node,
    store: interfaces.Store,
    found: fleet.Fleet,
    history: summaries.Summaries,
) -> operators.Operators:
    """Returns the handler of the operators' calls."""
    current = running.configuration
    assert isinstance(current, configuration.Configuration)
    return operators.Operators(
        instance=running.own_digest().instance,
        secret=settings.operator_secret,
        configuration=current,
        acceptor=acceptance.Acceptor(store, current, found, freshness.may_accept_changes),
        fleet=found,
        history=history,
        wall_time=time.time,
        on_change=_log_change,
        on_refusal=lambda peer: _LOG.warning("Rejected an operator at {}: wrong proof", peer),
    )


def _log_change(change: changes.Change, outcome: changes.ChangeOutcome) -> None:
    _LOG.info(
        "Change {} of {}: {}", change.operation_id, change.operator or "unknown", _summary(outcome)
    )


def _summary(outcome: changes.ChangeOutcome) -> str:
    match outcome:
        case changes.Accepted(version):
            return f"accepted as version {version}"
        case changes.Rejected(problems):
            return f"rejected with {len(problems)} problems, first {problems[0]}"
        case changes.Conflict(mine, current):
            return f"conflict, based on version {mine}, version {current} is in force"
        case changes.Undetermined(detail):
            return f"unknown, {detail}"


def _log_error(context: rpc.Context, method: str, error: Exception) -> None:
    _LOG.opt(exception=error).error("Call {} of {} failed", method, context.peer)
