"""One serving instance: listeners, sessions, groups, and its part in the fleet."""

import asyncio
import collections.abc
import contextlib
import functools
import os
import signal
import time

import loguru

from bilberrystack.pooling import coordinator
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import directory
from bilberrystack.pooling import execution
from bilberrystack.pooling import fleet
from bilberrystack.pooling import forwarding
from bilberrystack.pooling import group
from bilberrystack.pooling import http
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import owner_server
from bilberrystack.pooling import relay
from bilberrystack.pooling import session
from bilberrystack.pooling import settings
from bilberrystack.pooling import tasks
from bilberrystack.pooling import transaction
from bilberrystack.pooling import views
from bilberrystack.routing import model
from bilberrystack.routing import owners

_LOG = loguru.logger.bind(component="instance")

# Connections to each member that are opened ahead of requests.
WARM_LINKS = 1

# How often groups are looked through: connections ahead, members that left the store, positions.
HOUSEKEEPING_S = 0.25

# How often members are asked who leads, while no grant says it: each question is paid for.
SEEK_PRIMARY_S = 0.75

# Transactions get this part of the grace time to end by themselves.
TRANSACTION_PART = 0.5

# The process ends this long before the grace time does.
END_MARGIN_S = 0.7

# The platform takes an instance out of rotation after two misses of a probe each second.
ROTATION_S = 2.5

# An instance is listed this soon after its start, while the store answers.
LISTED_WITHIN_S = 2.0

# Pause before an announcement that failed is written again.
ANNOUNCE_AGAIN_S = 1.0

BACKLOG = 512

Serve = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


def boot_clock() -> float:
    """Returns seconds on a clock that also counts a suspension of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Instance:
    """Serves sessions until it is stopped. Implements session.Host."""

    __slots__ = (
        "_accepted",
        "_closing",
        "_coordinator",
        "_datagrams",
        "_directory",
        "_executors",
        "_fleet",
        "_forwarders",
        "_groups",
        "_known",
        "_lease",
        "_own",
        "_owner",
        "_owner_links",
        "_platform",
        "_servers",
        "_sessions",
        "_settings",
        "_tasks",
        "_was_ready",
        "clock",
        "counters",
        "dialect",
        "stopping",
    )

    def __init__(
        self,
        loaded: settings.Settings,
        platform: interfaces.Platform,
        dialect: interfaces.Dialect,
        counted: counters.Counters,
        clock: interfaces.Clock = boot_clock,
    ) -> None:
        self.dialect = dialect
        self.counters = counted
        self.clock = clock
        self.stopping = False
        self._settings = loaded
        self._platform = platform
        self._own = model.Instance(
            loaded.name,
            os.urandom(8).hex(),
            loaded.peers,
            loaded.failure_domain,
            loaded.cores,
        )
        self._tasks = tasks.Tasks()
        self._groups: dict[str, group.Group] = {}
        self._forwarders: dict[str, forwarding.Forwarder] = {}
        self._owner_links: dict[model.Endpoint, forwarding.OwnerLink] = {}
        self._executors: dict[str, execution.Executor] = {}
        self._sessions: set[session.Session] = set()
        self._accepted: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []
        self._datagrams: asyncio.DatagramTransport | None = None
        self._closing = asyncio.Event()
        self._known = asyncio.Event()
        self._was_ready = False
        self._directory = directory.Directory(
            platform, clock, self._refresh, loaded.store_history_s
        )
        self._lease = coordinator_lease.CoordinatorLease(self._own, platform, clock, counted)
        self._coordinator = coordinator.Coordinator(
            own=self._own,
            lease=self._lease,
            platform=platform,
            groups=self._groups,
            dialect=dialect,
            clock=clock,
            running=self._tasks,
            counted=counted,
        )
        self._fleet = fleet.Fleet(
            own=self._own,
            lease=self._lease,
            watch=self._coordinator,
            groups=self._groups,
            known=self._directory,
            clock=clock,
            running=self._tasks,
        )
        self._coordinator.send = self._fleet.send
        self._owner = owner_server.OwnerServer(
            self.executor, self._directory, self.dialect, self.clock, self._tasks
        )

    @property
    def configuration(self) -> model.Configuration | None:
        """The configuration in force; None before the first one."""
        return self._directory.configuration

    @property
    def endpoint(self) -> model.Endpoint:
        """Where other instances reach this one."""
        return self._own.endpoint

    @property
    def ready(self) -> bool:
        """Whether new sessions may come."""
        return self._directory.known and not self.stopping

    def executor(self, service: str) -> execution.Executor | None:
        """Returns what runs a group's statements at its members; None if there is no such group."""
        return self._executors.get(service)

    def runner(self, service: str, primary: bool) -> execution.Runner | None:
        """Returns what runs a group's statements, here or at an owner; None for no such group.

        Args:
          service: The group.
          primary: Whether only its primary will do.
        """
        served = self._groups.get(service)
        if served is None or not self._forwards(served, primary):
            return self._executors.get(service)
        return self._forwarders[service]

    def _forwards(self, served: group.Group, primary: bool) -> bool:
        """Tells whether another instance has to run a group's statements."""
        return not served.owned or (
            served.connection_limit_reached(primary)
            and bool(self._forwarders[served.service.name].links_by_preference())
        )

    def begin(
        self, begin_request: transaction.BeginRequest, route: model.Route
    ) -> transaction.SessionTransaction | None:
        """Begins a transaction, here or at an owner; None if there is no such group."""
        served = self._groups.get(route.service)
        if served is None:
            return None
        primary = not begin_request.read_only or route.consistency is model.Consistency.PRIMARY
        if self._forwards(served, primary):
            return self._forwarders[route.service].begin(begin_request, route)
        executor = self._executors[route.service]
        return transaction.Transaction(begin_request, route, executor, self.dialect)

    def _owner_link(self, owner: model.Instance) -> forwarding.OwnerLink:
        found = self._owner_links.get(owner.endpoint)
        if found is None:
            found = forwarding.OwnerLink(owner.endpoint, self.clock, self._tasks)
            self._owner_links[owner.endpoint] = found
        return found

    async def wait_for_configuration(self, timeout_s: float) -> bool:
        """Waits for the first configuration; returns whether it is there."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._known.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Serves until a signal asks for the end, then stops gracefully."""
        await self._listen()
        _LOG.info("started", name=self._own.name, lifetime=self._own.incarnation)
        for work in (
            *self._directory.works(),
            self._announce,
            self._keep_house,
            self._lease.keep,
            self._coordinator.run,
            self._fleet.beat,
        ):
            self._tasks.keep(work)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        await self._closing.wait()
        await self._stop()

    async def abandon(self) -> None:
        """Ends at once, as a process that is killed does."""
        for server in self._servers:
            server.close()
        for writer in list(self._accepted):
            writer.transport.abort()
        if self._datagrams is not None:
            self._datagrams.close()
        await self._tasks.close()
        for one in self._groups.values():
            one.close()
        for link in self._owner_links.values():
            link.close()

    def request_stop(self) -> None:
        """Asks for a graceful stop."""
        self._closing.set()

    def _note_reload(self) -> None:
        # No setting that the file holds changes while a process lives.
        _LOG.info("reload asked for, no setting takes effect before a restart")

    async def _listen(self) -> None:
        limit = self.dialect.MAX_LINE_BYTES + 2
        joined = relay.Relay(self._own.incarnation, self._is_member, self._owner)
        for endpoint, serve in (
            (self._settings.sessions, self._serve_session),
            (self._settings.ready, self._serve_ready),
            (self._settings.metrics, self._serve_metrics),
            (self._settings.peers, joined.serve),
        ):
            self._servers.append(
                await asyncio.start_server(
                    functools.partial(self._accept, serve),
                    endpoint.host,
                    endpoint.port,
                    limit=limit,
                    backlog=BACKLOG,
                    reuse_address=True,
                )
            )
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: self._fleet,
            local_addr=(self._settings.peers.host, self._settings.peers.port),
        )

    async def _accept(
        self, serve: Serve, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection and keeps it in mind until its end."""
        self._accepted.add(writer)
        try:
            await serve(reader, writer)
        finally:
            self._accepted.discard(writer)

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        member_link.configure_socket(writer)
        served = session.Session(reader, writer, self)
        self._sessions.add(served)
        self.counters.sessions.set({}, len(self._sessions))
        try:
            await served.serve()
        finally:
            self._sessions.discard(served)
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
        return (200, self.counters.page()) if target == "/metrics" else (404, b"")

    @property
    def _listed(self) -> bool:
        """Whether the store's list of instances shows this one."""
        return self._own.name in self._directory.instances.items

    def _is_member(self, endpoint: model.Endpoint) -> bool:
        return any(
            one.member.endpoint == endpoint
            for served in self._groups.values()
            for one in served.pools.values()
        )

    async def _announce(self) -> None:
        """Writes the own entry, and again if it was removed; removes those of lost instances."""
        await self._write_entry()
        listed = False
        while True:
            await asyncio.sleep(views.READING_S)
            missing = not self._listed
            if listed and missing:
                _LOG.info("own entry is missing, written again")
                await self._write_entry()
            listed = not missing
            for name in self._coordinator.gone(self._directory.all_instances()):
                await self._remove_entry(name)

    async def _write_entry(self) -> None:
        while True:
            try:
                await self._platform.announce(self._own)
                return
            except interfaces.StoreFailure as failure:
                _LOG.info("own entry not written", failure=type(failure).__name__)
                await asyncio.sleep(ANNOUNCE_AGAIN_S)

    async def _remove_entry(self, name: str) -> None:
        try:
            await self._platform.withdraw(name)
        except interfaces.StoreFailure as failure:
            _LOG.info("entry not removed", instance=name, failure=type(failure).__name__)
        else:
            _LOG.info("entry of a lost instance removed", instance=name)

    def _refresh(self) -> None:
        """Takes a change in the store."""
        self._directory.refresh()
        configuration = self._directory.configuration
        if configuration is None:
            return
        for gone in self._groups.keys() - configuration.services.keys():
            self._executors.pop(gone)
            self._forwarders.pop(gone)
            self._groups.pop(gone).close()
        for name, service in configuration.services.items():
            served = self._groups.get(name)
            if served is None:
                served = self._add_group(service)
            self._share_out(served)
            served.update(service, self._directory.members_of(name), self._directory.missing)
        if self._directory.known:
            self._known.set()
        if self.ready and not self._was_ready:
            self._was_ready = True
            _LOG.info("ready", version=configuration.version, groups=len(self._groups))

    def _share_out(self, served: group.Group) -> None:
        """Takes who owns a group."""
        others = [one for one in self._directory.all_instances() if one.name != self._own.name]
        chosen = owners.choose(served.service, [*others, self._own])
        owned = any(one.name == self._own.name for one in chosen)
        if owned != served.owned:
            _LOG.info(
                "owned" if owned else "not owned", service=served.service.name, owners=len(chosen)
            )
            self._fleet.shared_out()
        served.set_owners(max(1, len(chosen)), owned)
        self._forwarders[served.service.name].set_owners(chosen)

    def _add_group(self, service: model.Service) -> group.Group:
        served = group.Group(
            service=service,
            failure_domain=self._settings.failure_domain,
            instance_name=self._own.name,
            dialect=self.dialect,
            clock=self.clock,
            background_tasks=self._tasks,
        )
        served.on_member_failure = lambda _: self._fleet.beat_soon()
        self._groups[service.name] = served
        self._fleet.shared_out()
        self._forwarders[service.name] = forwarding.Forwarder(
            self._own, self._owner_link, self._directory, self.clock
        )
        self._executors[service.name] = execution.Executor(
            served, self.dialect, self.clock, self.counters
        )
        return served

    async def _keep_house(self) -> None:
        sought_s = float("-inf")
        listed_by_s = self.clock() + LISTED_WITHIN_S
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            if self._directory.missing:
                self._refresh()
            owned = any(served.owned for served in self._groups.values())
            # Before it is listed, an instance may take itself for an owner for a moment.
            owner = owned and (self._listed or self.clock() >= listed_by_s)
            self._directory.watch_closely(owner or self._lease.token is not None)
            for served in self._groups.values():
                # Until it is listed, an instance may not know how many share the members'
                # connections: a fleet that starts would open far too many.
                served.maintain_links(WARM_LINKS if self._listed else 0)
                if (
                    served.confirmation.needs_primary_search(self.clock())
                    and self.clock() >= sought_s + SEEK_PRIMARY_S
                ):
                    sought_s = self.clock()
                    self._tasks.start(served.confirmation.find_primary())

    async def _stop(self) -> None:
        """Stops gracefully: resting sessions end first, transactions get half the grace time."""
        began_at_s = self.clock()
        self.stopping = self._owner.stopping = True
        _LOG.info(
            "stopping",
            sessions=len(self._sessions),
            forwarded=self._owner.running_requests,
            transactions=self._owner.open_transactions,
            grace_s=self._settings.grace_s,
        )
        self._coordinator.leave()
        self._tasks.start(self._leave_store())
        ends_at_s = began_at_s + self._settings.grace_s - END_MARGIN_S
        while self.clock() < ends_at_s:
            stopped_s = self.clock() - began_at_s
            self._close_sessions(stopped_s)
            if not self._serves(stopped_s) and stopped_s >= ROTATION_S:
                break
            await asyncio.sleep(0.02)
        _LOG.info(
            "stopped", sessions_cut=len(self._sessions), forwarded_cut=self._owner.running_requests
        )
        await self.abandon()

    def _serves(self, stopped_s: float) -> bool:
        """Tells whether anything is left to serve, for own clients or for other instances."""
        waited_for = 0 if self._transactions_end(stopped_s) else self._owner.open_transactions
        return bool(self._sessions or self._owner.running_requests or waited_for)

    def _transactions_end(self, stopped_s: float) -> bool:
        return stopped_s >= self._settings.grace_s * TRANSACTION_PART

    def _close_sessions(self, stopped_s: float) -> None:
        transactions_end = self._transactions_end(stopped_s)
        for served in list(self._sessions):
            if (served.quiescent and not served.expects_operation) or (
                transactions_end and served.between_requests
            ):
                served.close()

    async def _leave_store(self) -> None:
        with contextlib.suppress(interfaces.StoreFailure):
            await self._platform.withdraw(self._own.name)
        await self._lease.release()
