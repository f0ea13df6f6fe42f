"""Metrics of the session mode in the Prometheus format."""

from aioprometheus import collectors
from aioprometheus.formats import text

PREFIX = "bilberrystack_"

# Upper bounds of the histogram buckets. Latency objectives are 0.12 to 0.8 s, and time limits 2 to
# 12 s.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Counters:
    """The metrics of one instance.

    All label values come from fixed sets in the code, so that the number of series is limited.
    """

    __slots__ = (
        "_registry",
        "budget_bytes",
        "budget_refusals",
        "confirmations",
        "connections",
        "coordinator_probes",
        "denials",
        "departed_bytes",
        "departed_statements",
        "held_bytes",
        "lease_changes",
        "log_lines_dropped",
        "loop_delay_seconds",
        "loop_stalls",
        "member_answer_faults",
        "newer_primaries",
        "promotion_calls",
        "promotions_pending",
        "quota_operations",
        "reads",
        "request_seconds",
        "requests",
        "retries",
        "sessions",
        "statements_to_leaving",
        "store_calls",
        "store_era",
        "wait_seconds",
    )

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self.requests = self._counter("requests_total", "Requests by kind and outcome.")
        self.reads = self._counter("reads_total", "Served reads by the role of the member.")
        self.retries = self._counter("retries_total", "Statements sent anew, by cause.")
        self.confirmations = self._counter(
            "confirmations_total", "Answers of a primary by how they were confirmed."
        )
        self.departed_statements = self._counter(
            "departed_statements_total",
            "Statements that ran in another failure domain or region, by reason.",
        )
        self.departed_bytes = self._counter(
            "departed_bytes_total",
            "Bytes of statements and answers that left the failure domain or region, by reason.",
        )
        self.statements_to_leaving = self._counter(
            "statements_to_leaving_members_total",
            "Connections to leaving members that statements were given.",
        )
        self.member_answer_faults = self._counter(
            "member_answer_faults_total",
            "Connections closed because of a member's data, by reason.",
        )
        self.denials = self._counter(
            "denials_total", "Sessions and statements denied because of their key, by reason."
        )
        self.store_calls = self._counter("store_calls_total", "Calls to the store, by result.")
        self.store_era = self._gauge(
            "store_era", "Era of the store; it rises when the store returns from an older copy."
        )
        self.promotion_calls = self._counter("duty_calls_total", "Calls for promotions, by result.")
        self.promotions_pending = self._gauge(
            "promotions_pending",
            "Promotion requests that may still take effect, at the coordinator.",
        )
        self.newer_primaries = self._counter(
            "newer_primaries_total",
            "Primaries of a newer term that the coordinator has seen, by the promotion request.",
        )
        self.quota_operations = self._counter(
            "quota_operations_total", "Operations of limited accounts at this owner, by result."
        )
        self.coordinator_probes = self._counter(
            "coordinator_probes_total", "Probes of the coordinator's process, by result."
        )
        self.lease_changes = self._counter("duty_leases_total", "Changes of the promotion duty.")
        self.log_lines_dropped = self._counter(
            "log_lines_dropped_total", "Log lines that standard output did not take."
        )
        self.loop_delay_seconds = self._histogram(
            "loop_delay_seconds", "How late the event loop ran a timer, measured every 0.04 s."
        )
        self.loop_stalls = self._counter(
            "loop_stalls_total", "Stalls of the event loop of more than 0.15 s."
        )
        self.budget_bytes = self._gauge(
            "budget_bytes", "What all accepted connections together may make the process hold."
        )
        self.held_bytes = self._gauge(
            "held_bytes", "What accepted connections make the process hold, by kind."
        )
        self.connections = self._gauge("connections", "Accepted connections, by kind.")
        self.budget_refusals = self._counter(
            "budget_refusals_total",
            "Connections and requests refused for want of room, by kind and reason.",
        )
        self.sessions = self._gauge("sessions", "Client sessions that are open.")
        self.request_seconds = self._histogram(
            "request_seconds", "From a request's arrival to its answer, by kind."
        )
        self.wait_seconds = self._histogram(
            "wait_seconds", "Wait of a statement for a connection, by kind."
        )

    def _counter(self, name: str, help_text: str) -> collectors.Counter:
        return collectors.Counter(PREFIX + name, help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> collectors.Gauge:
        return collectors.Gauge(PREFIX + name, help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str) -> collectors.Histogram:
        return collectors.Histogram(
            PREFIX + name, help_text, registry=self._registry, buckets=list(LATENCY_BUCKETS_S)
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self._registry)
