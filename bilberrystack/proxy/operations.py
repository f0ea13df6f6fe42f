"""The services of an instance for operators: their calls, metrics and the hourly history."""

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

# Interval at which the primaries of owned groups are checked; the resolution of their ages.
PRIMARY_CHECK_INTERVAL_S = 1.0

_LOG = loguru.logger.bind(component="operators")


@dataclasses.dataclass(frozen=True, slots=True)
class OperationsSettings:
    """The settings of the operators' and metrics' listeners.

    Attributes:
      operators_host: The IP address of the operators' listener.
      operators_port: The port of the operators' listener; 0 for any free port.
      operator_secret: The secret whose knowledge operators prove.
      metrics_host: The IP address of the metrics' listener.
      metrics_port: The port of the metrics' listener; 0 for any free port.
    """

    operators_host: str
    operators_port: int
    operator_secret: str
    metrics_host: str
    metrics_port: int


@dataclasses.dataclass(eq=False, slots=True)
class InstanceRecorder:
    """Counters of an instance since its start.

    Attributes:
      outcome_counters: The outcomes returned to callers, and the primary changes.
      exported_metrics: The exported metrics; None until the metrics' listener is set up.
    """

    outcome_counters: tally.OutcomeCounters = dataclasses.field(
        default_factory=tally.OutcomeCounters
    )
    exported_metrics: metrics.Metrics | None = None

    def record_primary_change(self, change: supervisor.CompletedPrimaryChange) -> None:
        """Record a primary change.

        The first primary of a group is not counted, because its promotion interrupts no service.
        """
        if change.previous is None:
            return
        gap_s = change.silence_s + change.duration_s
        self.outcome_counters.record_primary_change(
            "unplanned" if change.silence_s else "planned", gap_s, time.time()
        )
        if self.exported_metrics is not None:
            self.exported_metrics.observe_primary_change("silence", change.silence_s)
            self.exported_metrics.observe_primary_change("change", change.duration_s)
            self.exported_metrics.observe_primary_change("gap", gap_s)


@dataclasses.dataclass(frozen=True, slots=True)
class OperationsPorts:
    """The ports of the operators' and metrics' listeners.

    Attributes:
      operators: The port of the operators' listener.
      metrics: The port of the metrics' listener.
    """

    operators: int
    metrics: int


class PrimaryAges:
    """The time since each owned group's current primary was first observed by this instance."""

    __slots__ = ("_first_seen",)

    def __init__(self) -> None:
        self._first_seen: dict[str, tuple[str | None, int, float]] = {}

    def update(self, views: collections.abc.Iterable[interfaces.GroupView], now: float) -> None:
        """Update the primaries of all owned groups.

        Args:
          views: The views of all owned groups.
          now: The current time, in seconds of the event loop's clock.
        """
        first_seen = {}
        for view in views:
            known = self._first_seen.get(view.group)
            unchanged = known is not None and known[:2] == (view.primary, view.term)
            first_seen[view.group] = (
                known if unchanged and known else (view.primary, view.term, now)
            )
        self._first_seen = first_seen

    def age_s(self, group: str, now: float) -> float | None:
        """Return the seconds since a group's primary was first observed; None if there is none."""
        known = self._first_seen.get(group)
        return None if known is None or known[0] is None else now - known[2]


class InstanceObserver:
    """The status of one instance for operators. Implements fleet.LocalInstance."""

    __slots__ = ("_listeners", "_node", "_primary_ages", "_recorder", "_store")

    def __init__(
        self,
        running_node: node.Node,
        recorder: InstanceRecorder,
        store: metrics.StoreCounters,
        listeners: dict[str, rpc.Server],
    ) -> None:
        """Create an observer of an instance.

        Args:
          running_node: The instance's node.
          recorder: The instance's counters.
          store: The counters of store calls.
          listeners: The instance's listeners by name.
        """
        self._node = running_node
        self._primary_ages = PrimaryAges()
        self._recorder = recorder
        self._store = store
        self._listeners = listeners

    async def track_primaries(self) -> None:
        """Update the ages of the owned groups' primaries at intervals, until cancelled."""
        while True:
            self._primary_ages.update(self._node.group_views, asyncio.get_running_loop().time())
            await asyncio.sleep(PRIMARY_CHECK_INTERVAL_S)

    def digest(self) -> interfaces.Digest:
        """Return the digest that the instance sends to its peers."""
        return self._node.local_digest()

    def report(self, minutes: int) -> reports.InstanceReport:
        """Return the instance's report.

        Args:
          minutes: The number of latest minutes to include.
        """
        now = asyncio.get_running_loop().time()
        digest = self._node.local_digest()
        outcome_counters = self._recorder.outcome_counters
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
                _group_report(view, self._primary_ages.age_s(view.group, now))
                for view in self._node.group_views
            ),
            refusals=dict(outcome_counters.refusals),
            unknowns=dict(outcome_counters.unknowns),
            minutes=tuple(outcome_counters.history.minutes_since(first_minute)) if minutes else (),
        )

    def take_snapshot(self) -> metrics.InstanceSnapshot:
        """Return the current values of the instance's metrics."""
        digest = self._node.local_digest()
        views = self._node.group_views
        return metrics.InstanceSnapshot(
            tally=self._recorder.outcome_counters,
            owners=self._node.owner_counters,
            store=self._store,
            connections={name: len(server.connections) for name, server in self._listeners.items()},
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
            reports.member_report(member.name, member.status, member.age_s, view.primary, position)
            for member in view.members
        ),
        queue_depth=view.queue_depth,
        in_flight=view.in_flight,
        open_transactions=view.open_transactions,
        last_change=view.last_change,
    )


@contextlib.asynccontextmanager
async def serve(
    settings: OperationsSettings,
    *,
    running_node: node.Node,
    store: interfaces.Store,
    recorder: InstanceRecorder,
    listeners: dict[str, rpc.Server],
    tls: ssl.SSLContext | None = None,
) -> collections.abc.AsyncGenerator[OperationsPorts, None]:
    """Return a context manager that serves operators and metrics of a running instance.

    Args:
      settings: The settings of the listeners.
      running_node: The instance's node.
      store: The platform's store.
      recorder: The instance's counters.
      listeners: The other listeners of the instance by name; must contain "callers".
      tls: The TLS context of the listeners; None for plain TCP.
    """
    listeners = dict(listeners)
    counting_store = counted_store.ensure_counted(store)
    observer = InstanceObserver(running_node, recorder, counting_store, listeners)
    instances = fleet.Fleet(observer, running_node.view, running_node.peer_link)
    running_node.set_report_provider(lambda minutes: reports.encode(observer.report(minutes)))
    history = summaries.HourlySummaries(counting_store, instances, time.time)
    handler = _create_operator_handler(settings, running_node, counting_store, instances, history)
    exported_metrics = metrics.Metrics(observer.take_snapshot)
    recorder.exported_metrics = exported_metrics
    server = rpc.Server(operators.SERVICE, handler, on_error=_log_error)
    listeners["operators"] = server
    metrics_server = metrics.MetricsServer(
        exported_metrics, settings.metrics_host, settings.metrics_port, tls
    )
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(history.run()), loop.create_task(observer.track_primaries())]
    try:
        async with server, metrics_server:
            await server.start(settings.operators_host, settings.operators_port, tls=tls)
            yield OperationsPorts(server.port, metrics_server.port)
    finally:
        for task in tasks:
            task.cancel()


def _create_operator_handler(
    settings: OperationsSettings,
    running_node: node.Node,
    store: interfaces.Store,
    instances: fleet.Fleet,
    history: summaries.HourlySummaries,
) -> operators.OperatorHandler:
    """Return the handler of the operators' calls."""
    current = running_node.configuration
    assert isinstance(current, configuration.Configuration)
    return operators.OperatorHandler(
        instance=running_node.local_digest().instance,
        secret=settings.operator_secret,
        configuration=current,
        acceptor=acceptance.Acceptor(store, current, instances, freshness.may_accept_changes),
        fleet=instances,
        history=history,
        wall_time=time.time,
        on_change=_log_change,
        on_authentication_failure=lambda peer: _LOG.warning(
            "Rejected the authentication of the operator at {}: wrong proof", peer
        ),
    )


def _log_change(change: changes.Change, outcome: changes.ChangeOutcome) -> None:
    _LOG.info(
        "Change {} by operator {}: {}",
        change.operation_id,
        change.operator or "unknown",
        _describe_outcome(outcome),
    )


def _describe_outcome(outcome: changes.ChangeOutcome) -> str:
    match outcome:
        case changes.Accepted(version):
            return f"accepted as version {version}"
        case changes.Rejected(problems):
            return f"rejected with {len(problems)} problems, the first is {problems[0]}"
        case changes.Conflict(base_version, current_version):
            return (
                f"conflict, based on version {base_version}, version {current_version} is in force"
            )
        case changes.Undetermined(detail):
            return f"unknown outcome, {detail}"


def _log_error(context: rpc.Context, method: str, error: Exception) -> None:
    _LOG.opt(exception=error).error("Call {} from the operator at {} failed", method, context.peer)
