"""One instance: its listeners, sessions and groups, and its coordination with the others."""

import asyncio
import collections.abc
import contextlib
import functools
import signal
import time

import loguru

from bilberrystack.accounts import accounts
from bilberrystack.accounts import authorization
from bilberrystack.budget import limits
from bilberrystack.placement import crossing
from bilberrystack.pooling import configuration_exchange
from bilberrystack.pooling import connection_budget
from bilberrystack.pooling import coordinator
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import directory
from bilberrystack.pooling import execution
from bilberrystack.pooling import fleet
from bilberrystack.pooling import forwarding
from bilberrystack.pooling import graceful_stop
from bilberrystack.pooling import group
from bilberrystack.pooling import http
from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import loop_monitor
from bilberrystack.pooling import member_link
from bilberrystack.pooling import owner_server
from bilberrystack.pooling import quota_gate
from bilberrystack.pooling import relay
from bilberrystack.pooling import session
from bilberrystack.pooling import settings
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.pooling import views
from bilberrystack.routing import answers
from bilberrystack.routing import model
from bilberrystack.routing import owners
from bilberrystack.routing import running_time
from bilberrystack.routing import statements

_LOG = loguru.logger.bind(component="instance")

# Connections to each member that are opened ahead of requests.
PREOPENED_CONNECTIONS = 1

# Interval between the checks of all groups: connections opened ahead, members whose records have
# left the store, and groups without a known primary.
HOUSEKEEPING_INTERVAL_S = 0.25

# Interval between searches for the primary while no grant names it. It is longer than the
# housekeeping interval because each search costs a status query to every member.
PRIMARY_QUERY_INTERVAL_S = 0.75

# While the store is reachable, a new instance appears in the store's list within this time.
MAX_LISTING_DELAY_S = 2.0

# Pause before a failed registration is tried again.
REGISTRATION_RETRY_DELAY_S = 1.0

LISTEN_BACKLOG = 512

_CLIENT, _INSTANCE, _PROBE = limits.Kind.CLIENT, limits.Kind.INSTANCE, limits.Kind.PROBE

ConnectionHandler = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


def boot_clock() -> float:
    """Return seconds on a monotonic clock that also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Instance:
    """Serves client sessions until it is stopped. Implements session.Host.

    Attributes:
      clock: Returns the current time in seconds.
      counters: The metrics.
      dialect: The line protocol of clients and members.
      running_time: Time in which this process could hear others.
      stopping: Whether a graceful stop is in progress.
    """

    __slots__ = (
        "_accepted_writers",
        "_budget",
        "_configuration_loaded",
        "_configured_quotas",
        "_coordinator",
        "_datagrams",
        "_directory",
        "_exchange",
        "_executors",
        "_fleet",
        "_forwarders",
        "_graceful_stop",
        "_groups",
        "_lease",
        "_loop_monitor",
        "_own_instance",
        "_owner_links",
        "_owner_server",
        "_platform",
        "_quota",
        "_readiness_logged",
        "_registration_lost",
        "_servers",
        "_sessions",
        "_settings",
        "_stop_requested",
        "_tasks",
        "_was_listed",
        "clock",
        "counters",
        "dialect",
        "running_time",
        "stopping",
    )

    def __init__(
        self,
        loaded_settings: settings.Settings,
        platform: interfaces.Platform,
        dialect: interfaces.Dialect,
        metrics: counters.Counters,
        clock: interfaces.Clock = boot_clock,
    ) -> None:
        self.dialect = dialect
        self.counters = metrics
        self.clock = clock
        self.stopping = False
        self._settings = loaded_settings
        self._platform = platform
        self._own_instance = model.Instance(
            loaded_settings.name,
            instance_lines.new_incarnation(),
            loaded_settings.peers_endpoint,
            loaded_settings.failure_domain,
            loaded_settings.cores,
        )
        self._tasks = tasks.Tasks()
        self._quota = quota_gate.QuotaGate(clock, metrics, loaded_settings.quota_slack)
        self.running_time = running_time.RunningTime()
        self._loop_monitor = loop_monitor.LoopMonitor(clock, self.running_time, metrics)
        self._groups: dict[str, group.Group] = {}
        self._forwarders: dict[str, forwarding.Forwarder] = {}
        self._owner_links: dict[model.Endpoint, forwarding.OwnerLink] = {}
        self._executors: dict[str, execution.Executor] = {}
        self._sessions: set[session.Session] = set()
        self._accepted_writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []
        process_limits = limits.compute(
            loaded_settings.memory_bytes, loaded_settings.descriptors, loaded_settings.budget_bytes
        )
        self._budget = connection_budget.Budget(process_limits, clock, metrics)
        self._datagrams: asyncio.DatagramTransport | None = None
        self._stop_requested = asyncio.Event()
        self._configuration_loaded = asyncio.Event()
        self._registration_lost = asyncio.Event()
        self._was_listed = False
        # The configuration whose quotas are in force.
        self._configured_quotas: model.Configuration | None = None
        self._readiness_logged = False
        self._directory = directory.Directory(
            platform,
            clock,
            self._apply_store_change,
            loaded_settings.store_history_s,
            self.running_time,
            revocation=loaded_settings.revocation,
        )
        self._exchange = configuration_exchange.ConfigurationExchange(
            lambda: self._directory.configuration, self._directory.adopt, clock, self._tasks
        )
        self._directory.set_exchange(self._exchange)
        self._lease = coordinator_lease.CoordinatorLease(
            self._own_instance,
            platform,
            clock,
            metrics,
            first_start=loaded_settings.first_start,
            running=self.running_time,
        )
        self._lease.is_primary_leaving = self._is_primary_leaving
        self._coordinator = coordinator.Coordinator(
            own_instance=self._own_instance,
            lease=self._lease,
            platform=platform,
            groups=self._groups,
            dialect=dialect,
            clock=clock,
            background_tasks=self._tasks,
            metrics=metrics,
            running=self.running_time,
        )
        self._fleet = fleet.FleetProtocol(
            own_instance=self._own_instance,
            lease=self._lease,
            local_coordinator=self._coordinator,
            groups=self._groups,
            store_directory=self._directory,
            clock=clock,
            background_tasks=self._tasks,
            quota=self._quota,
            running=self.running_time,
        )
        self._coordinator.send = self._fleet.send
        self._coordinator.configuration_version = lambda: self._directory.version
        self._owner_server = owner_server.OwnerServer(
            self.executor, self._directory, self.dialect, self.clock, self._tasks
        )
        self._graceful_stop = graceful_stop.GracefulStop(self._sessions, self._owner_server, clock)

    @property
    def configuration(self) -> model.Configuration | None:
        """The configuration in force; None before the first one."""
        return self._directory.configuration

    @property
    def revocation(self) -> authorization.RevocationTerms:
        """How soon a revoked key is out of use."""
        return self._settings.revocation

    @property
    def _regions(self) -> collections.abc.Mapping[str, str]:
        """Region of each failure domain, if leaving one has a price; otherwise none.

        With regional owners and crossings without a price, a deployment of two regions scored 0.594
        instead of 0.642.
        """
        priced = self._settings.crossing_price_s_per_mb > 0
        return self._settings.regions if priced else {}

    @property
    def endpoint(self) -> model.Endpoint:
        """The address at which other instances reach this one."""
        return self._own_instance.endpoint

    @property
    def known_instances(self) -> frozenset[str]:
        """The names of the instances that own groups together, as far as this instance knows."""
        return frozenset(known.name for known in self._directory.registered_instances())

    @property
    def ready(self) -> bool:
        """Whether the readiness probe tells the platform to send new sessions."""
        return self._directory.loaded and not self.stopping

    @property
    def refuses_work(self) -> bool:
        """Whether this instance begins nothing new, because it is about to end."""
        return self._graceful_stop.refuses_work

    def executor(self, service: str) -> execution.Executor | None:
        """Return the executor that runs a group's statements at its members.

        Args:
          service: The group.
        Returns:
          The executor; None for an unknown group.
        """
        return self._executors.get(service)

    def authorize(
        self, route: model.Route, key_digest: bytes | None
    ) -> accounts.Account | authorization.Denial | None:
        """Decide under which account a session may begin a statement; see authorization.authorize.

        Args:
          route: The route of the session's database.
          key_digest: Digest of the session's key; None if it has given none.
        """
        configuration = self._directory.configuration
        return authorization.authorize(
            None if configuration is None else configuration.accounts,
            route.anonymous,
            key_digest,
            self._settings.revocation,
            self._directory.configuration_verified_age_s,
        )

    def runner(self, service: str, primary_only: bool, account: str) -> execution.Runner | None:
        """Return what runs a group's statements: the local executor, or a forwarder to an owner.

        Args:
          service: The group.
          primary_only: Whether only the primary may run the statements.
          account: The client account that the statements run under; empty for none.
        Returns:
          The executor or forwarder; None for an unknown group.
        """
        served_group = self._groups.get(service)
        if served_group is None or not self._must_forward(served_group, primary_only, account):
            return self._executors.get(service)
        return self._forwarders[service]

    def _must_forward(self, served_group: group.Group, primary_only: bool, account: str) -> bool:
        """Return whether another instance has to run an account's statements of a group."""
        forwarder = self._forwarders[served_group.service.name]
        if not served_group.owned or not forwarder.prefers_own_instance(account, primary_only):
            return True
        return served_group.connection_limit_reached(primary_only) and bool(
            forwarder.links_by_preference(account, primary_only)
        )

    def begin(
        self, begin_request: transaction.BeginRequest, route: model.Route, account: str
    ) -> transaction.SessionTransaction | None:
        """Begin a transaction, here or at an owner.

        Args:
          begin_request: The client's request that began the transaction.
          route: The route of the session's database.
          account: The client account that the transaction runs under; empty for none.
        Returns:
          The transaction; None for an unknown group.
        """
        served_group = self._groups.get(route.service)
        if served_group is None:
            return None
        primary_only = not begin_request.read_only or route.consistency is model.Consistency.PRIMARY
        if self._must_forward(served_group, primary_only, account):
            return self._forwarders[route.service].begin(begin_request, route)
        executor = self._executors[route.service]
        return transaction.Transaction(begin_request, route, executor, self.dialect)

    def _owner_link(self, owner: model.Instance) -> forwarding.OwnerLink:
        link = self._owner_links.get(owner.endpoint)
        if link is None:
            link = forwarding.OwnerLink(owner.endpoint, self.clock, self._tasks, self.running_time)
            self._owner_links[owner.endpoint] = link
        return link

    async def wait_for_configuration(self, timeout_s: float) -> bool:
        """Wait for the first configuration.

        Args:
          timeout_s: Maximum wait.
        Returns:
          Whether the configuration has been loaded.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._configuration_loaded.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Serve until a signal requests a stop, then stop gracefully."""
        # Before the first connection is accepted: the default action cuts off all sessions.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload_ignored)
        await self._listen()
        _LOG.info("started", name=self._own_instance.name, lifetime=self._own_instance.incarnation)
        for factory in (
            self._loop_monitor.run,
            *self._directory.background_work(),
            self._maintain_registration,
            self._run_housekeeping,
            self._lease.maintain,
            self._coordinator.run,
            self._fleet.send_heartbeats,
        ):
            self._tasks.supervise(factory)
        await self._stop_requested.wait()
        await self._stop()

    async def terminate(self) -> None:
        """Close all connections and sockets at once, as if the process had been killed."""
        for server in self._servers:
            server.close()
        for writer in list(self._accepted_writers):
            writer.transport.abort()
        if self._datagrams is not None:
            self._datagrams.close()
        await self._tasks.close()
        for served_group in self._groups.values():
            served_group.close()
        for link in self._owner_links.values():
            link.close()

    def request_stop(self) -> None:
        """Request a graceful stop."""
        self._stop_requested.set()

    def _log_reload_ignored(self) -> None:
        # The process reads its settings file only at its start.
        _LOG.info("reload ignored: settings take effect only at a restart")

    async def _listen(self) -> None:
        peer_server = relay.Relay(
            *(self._own_instance.incarnation, self._is_member_endpoint, self._owner_server),
            self._exchange,
        )
        refusal = self.dialect.encode_error(
            statements.ErrorCode.BUSY, "the instance has no room, try another"
        )
        loop = asyncio.get_running_loop()
        for endpoint, kind, handler, told in (
            (self._settings.sessions_endpoint, _CLIENT, self._serve_session, refusal),
            (self._settings.readiness_endpoint, _PROBE, self._serve_ready, b""),
            (self._settings.metrics_endpoint, _PROBE, self._serve_metrics, b""),
            (self._settings.peers_endpoint, _INSTANCE, peer_server.serve, b""),
        ):
            self._servers.append(
                await loop.create_server(
                    self._budget.protocol_factory(
                        kind,
                        functools.partial(self._handle_connection, handler),
                        self.dialect.MAX_LINE_BYTES,
                        told,
                    ),
                    endpoint.host,
                    endpoint.port,
                    backlog=LISTEN_BACKLOG,
                    reuse_address=True,
                )
            )
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: self._fleet,
            local_addr=(
                self._settings.peers_endpoint.host,
                self._settings.peers_endpoint.port,
            ),
        )

    async def _handle_connection(
        self, handler: ConnectionHandler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection, and track it until its end so that `terminate` can abort it."""
        self._accepted_writers.add(writer)
        try:
            await handler(reader, writer)
        finally:
            self._accepted_writers.discard(writer)

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        member_link.configure_socket(writer)
        client_session = session.Session(reader, writer, self)
        self._sessions.add(client_session)
        self.counters.sessions.set({}, len(self._sessions))
        try:
            await client_session.serve()
        finally:
            self._sessions.discard(client_session)
            self.counters.sessions.set({}, len(self._sessions))

    async def _serve_ready(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await http.serve_pages(reader, writer, self._ready_page)

    def _ready_page(self, _target: str) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    async def _serve_metrics(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await http.serve_pages(reader, writer, self._metrics_page)

    def _metrics_page(self, target: str) -> tuple[int, bytes]:
        self._budget.export()
        return (200, self.counters.render()) if target == "/metrics" else (404, b"")

    @property
    def _is_listed(self) -> bool:
        """Whether this instance appears in the store's list of instances."""
        return self._own_instance.name in self._directory.instances.items

    def _is_primary_leaving(self) -> bool:
        return any(served_group.primary_leaving for served_group in self._groups.values())

    def _is_member_endpoint(self, endpoint: model.Endpoint) -> bool:
        return any(
            member_pool.member.endpoint == endpoint
            for served_group in self._groups.values()
            for member_pool in served_group.pools.values()
        )

    async def _maintain_registration(self) -> None:
        """Keep this instance registered, and remove the registrations of lost instances."""
        await self._register()
        registered_at_s = self.clock()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(views.LIST_INTERVAL_S):
                    await self._registration_lost.wait()
            overdue = self.clock() - registered_at_s >= MAX_LISTING_DELAY_S and not self._is_listed
            if self._registration_lost.is_set() or overdue:
                self._registration_lost.clear()
                self._fleet.registered = False
                _LOG.info("own registration is missing from the store; registering again")
                await self._register()
                registered_at_s = self.clock()
            registered = self._directory.registered_instances()
            expired = self._coordinator.expired_instances(registered)
            for instance in registered:
                if instance.name in expired:
                    await self._remove_registration(instance)

    async def _register(self) -> None:
        while not self.stopping:
            try:
                await self._platform.register_instance(self._own_instance)
                self._fleet.registered = True
                return
            except interfaces.StoreFailure as failure:
                _LOG.info("registration failed; trying again", failure=type(failure).__name__)
                await asyncio.sleep(REGISTRATION_RETRY_DELAY_S)

    async def _remove_registration(self, instance: model.Instance) -> None:
        try:
            await self._platform.deregister_instance(instance)
        except interfaces.StoreFailure as failure:
            _LOG.info(
                "registration of a lost instance not removed; trying again later",
                instance=instance.name,
                failure=type(failure).__name__,
            )
        else:
            _LOG.info("registration of a lost instance removed", instance=instance.name)

    def _apply_store_change(self) -> None:
        """Apply a change in the store to the groups."""
        self._directory.refresh()
        was_listed, self._was_listed = self._was_listed, self._is_listed
        if was_listed and not self._was_listed:
            self._registration_lost.set()
        configuration = self._directory.configuration
        if configuration is None:
            return
        if configuration is not self._configured_quotas:
            self._configured_quotas = configuration
            self._quota.configure(configuration.accounts)
            self._coordinator.configure_quotas(self._quota.limits)
        for removed in self._groups.keys() - configuration.services.keys():
            self._executors.pop(removed)
            self._forwarders.pop(removed)
            self._groups.pop(removed).close()
        for name, service in configuration.services.items():
            served_group = self._groups.get(name)
            if served_group is None:
                served_group = self._add_group(service)
            self._update_ownership(served_group)
            served_group.update(
                service, self._directory.members_of(name), self._directory.missing_members
            )
        if self._directory.loaded:
            self._configuration_loaded.set()
        if self.ready and not self._readiness_logged:
            self._readiness_logged = True
            _LOG.info("ready", version=configuration.version, groups=len(self._groups))

    def _update_ownership(self, served_group: group.Group) -> None:
        """Determine the owners of a group again, and apply them."""
        others = [
            instance
            for instance in self._directory.registered_instances()
            if instance.name != self._own_instance.name
        ]
        configuration = self._directory.configuration
        served_group.accounts_enabled = (
            configuration is not None and configuration.accounts is not None
        )
        chosen = owners.choose(
            served_group.service,
            [*others, self._own_instance],
            accounts_enabled=served_group.accounts_enabled,
            regions=self._regions,
        )
        owned = any(instance.name == self._own_instance.name for instance in chosen)
        if owned != served_group.owned:
            _LOG.info(
                "owned" if owned else "not owned",
                service=served_group.service.name,
                owners=len(chosen),
            )
            self._fleet.notify_ownership_change()
        served_group.set_owners(max(1, len(chosen)), owned)
        self._forwarders[served_group.service.name].set_owners(chosen)

    def _add_group(self, service: model.Service) -> group.Group:
        served_group = group.Group(
            service=service,
            failure_domain=self._settings.failure_domain,
            instance_name=self._own_instance.name,
            dialect=self.dialect,
            clock=self.clock,
            background_tasks=self._tasks,
            running=self.running_time,
            policy=crossing.Policy(
                self._settings.failure_domain,
                self._regions,
                self._settings.crossing_price_s_per_mb,
            ),
        )
        served_group.on_departure = self._count_departure
        served_group.on_member_failure = lambda _: self._fleet.schedule_urgent_heartbeat()
        served_group.on_answer_fault = self._count_answer_fault
        self._groups[service.name] = served_group
        self._fleet.notify_ownership_change()
        self._forwarders[service.name] = forwarding.Forwarder(
            *(self._own_instance, self._owner_link, self._directory, self.clock),
            regions=self._regions,
            primary_domain=lambda: served_group.primary_domain,
        )
        self._executors[service.name] = execution.Executor(
            served_group, self.dialect, self.clock, self.counters, quota=self._quota
        )
        return served_group

    def _count_departure(self, departure: group.Departure) -> None:
        labels = {
            "from": "region" if departure.leaves_region else "domain",
            "reason": departure.reason.value,
        }
        self.counters.departed_statements.inc(labels)
        self.counters.departed_bytes.add(labels, departure.size_bytes)

    def _count_answer_fault(self, fault: answers.Fault) -> None:
        self.counters.member_answer_faults.inc({"reason": fault.value})

    async def _run_housekeeping(self) -> None:
        queried_at_s = float("-inf")
        expected_listed_at_s = self.clock() + MAX_LISTING_DELAY_S
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            if self._directory.refresh_due:
                self._apply_store_change()
            owned = any(served_group.owned for served_group in self._groups.values())
            # Until the store lists this instance and the others, it may wrongly compute that it is
            # an owner.
            active_owner = owned and (self._is_listed or self.clock() >= expected_listed_at_s)
            self._directory.set_watch_enabled(active_owner or self._lease.token is not None)
            for served_group in self._groups.values():
                # Until this instance is listed, it may not know how many others share the members'
                # connections; many instances that start together would open far too many.
                served_group.maintain_links(PREOPENED_CONNECTIONS if self._is_listed else 0)
                if served_group.owned:
                    for member_id in served_group.members_to_query():
                        self._tasks.start(
                            served_group.query_member(member_id, self.dialect.encode_status_query())
                        )
                if (
                    served_group.confirmation.needs_primary_search(self.clock())
                    and self.clock() >= queried_at_s + PRIMARY_QUERY_INTERVAL_S
                ):
                    queried_at_s = self.clock()
                    self._tasks.start(served_group.confirmation.find_primary())

    async def _stop(self) -> None:
        """Stop gracefully within the grace time."""
        self.stopping = True
        self._owner_server.begin_stop()
        _LOG.info(
            "stopping",
            sessions=len(self._sessions),
            forwarded=self._owner_server.running_requests,
            transactions=self._owner_server.open_transactions,
            grace_s=self._settings.grace_s,
        )
        self._coordinator.announce_departure()
        self._tasks.start(self._deregister_and_release())
        await self._graceful_stop.run(self._settings.grace_s)
        self._fleet.release_quotas()
        _LOG.info(
            "stopped",
            sessions_cut=len(self._sessions),
            forwarded_cut=self._owner_server.running_requests,
        )
        await self.terminate()

    async def _deregister_and_release(self) -> None:
        # A slow store must not delay the release, for which a successor waits.
        await asyncio.gather(self._deregister(), self._lease.release())

    async def _deregister(self) -> None:
        with contextlib.suppress(interfaces.StoreFailure):
            await self._platform.deregister_instance(self._own_instance)
