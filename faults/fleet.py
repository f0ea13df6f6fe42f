"""A simulation: members, instances and client sessions on a simulated network."""

import asyncio
import collections.abc
import dataclasses
import functools
import random
from typing import Any

import msgspec

from bilberrystack.core import changes
from bilberrystack.core import declarations
from bilberrystack.core import outcomes
from bilberrystack.core import parts
from bilberrystack.proxy import configuration
from bilberrystack.proxy import discovery
from bilberrystack.proxy import interfaces
from bilberrystack_standins import replicated_log
from bilberrystack_standins import statements
from faults import checker
from faults import clients
from faults import history
from faults import instances
from faults import members
from faults import network
from faults import paused_loop
from faults import programmes
from faults import store

# The groups must accept writes again within this time after all faults are healed.
RECOVERY_TIMEOUT_S = 20.0

START_TIMEOUT_S = 30.0

# Time until a change shows in the platform's list of instances.
INSTANCE_LIST_LAG_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SimulationSize:
    """Number of database groups and of instances of a simulation."""

    group_count: int = 1
    instance_count: int = 3


class Simulation:
    """The simulated processes of one run, with operations that inject faults.

    Attributes:
      loop: Event loop on a paused clock.
      profile: Profile of the simulated site.
      rng: Random number generator for the choices of faults and sessions.
      net: Simulated network.
      record: History of the run.
      declarations: Configuration that the run starts with.
      servers_by_group: Members by group and member name.
      servers_by_address: Members by address.
      store: The platform's store.
      instances: Instances by name.
      session_tasks: Tasks that run the sessions.
      stop_tasks: Tasks that stop and replace instances.
      operator_tasks: Tasks that change the configuration.
    """

    def __init__(
        self, profile: network.SiteProfile, seed: int, size: SimulationSize | None = None
    ) -> None:
        size = size or SimulationSize()
        loop = asyncio.get_running_loop()
        assert isinstance(loop, paused_loop.PausedLoop)
        random.seed(seed)
        self.loop = loop
        self.profile = profile
        self.rng = random.Random(f"fleet {seed}")
        self.net = network.Network(loop, profile, seed)
        self.record = history.History()
        self.declarations = _build_declarations(profile, size.group_count)
        self.servers_by_group: dict[str, dict[str, members.MemberServer]] = {}
        self.servers_by_address: dict[str, members.MemberServer] = {}
        self.store = store.StoreServer(self.net)
        self.instances: dict[str, instances.ProxyInstance] = {}
        self.session_tasks: list[asyncio.Task[Any]] = []
        self.stop_tasks: list[asyncio.Task[Any]] = []
        self.operator_tasks: list[asyncio.Task[Any]] = []
        self._size = size
        self._impairment_starts: dict[str, float] = {}
        self._session_count = 0
        self._change_count = 0
        self._first_head: interfaces.StoredObject | None = None
        self._replacement_count = 0
        self._add_members()

    @property
    def now(self) -> float:
        return self.loop.time()

    @property
    def open_instances(self) -> list[str]:
        """The instances that are neither impaired nor leaving, as a load balancer offers them."""
        return [
            name
            for name, instance in self.instances.items()
            if not instance.leaving and name not in self._impairment_starts
        ]

    def instance(self, name: str) -> instances.ProxyInstance:
        return self.instances[name]

    def primary(self, group: str) -> members.MemberServer | None:
        """Return the primary of the highest term, reachable or not; None if there is none."""
        primaries = [
            server for server in self.servers_by_group[group].values() if server.state.is_primary
        ]
        return max(primaries, key=lambda server: server.state.promised_term, default=None)

    def impaired_since(self, instance: str, start: float) -> bool:
        """Return whether an instance was down, paused or isolated at any time since start."""
        if instance in self._impairment_starts:
            return True
        return any(
            period.instance == instance and period.end >= start
            for period in self.record.unavailable_periods
        )

    async def start(self) -> None:
        """Start all processes and wait until each group has a primary."""
        for server in self.servers_by_address.values():
            server.start()
        self._store_configuration()
        self._update_instance_list()
        for index in range(self._size.instance_count):
            await self.add_instance(f"n{index}")
        self._update_instance_list()
        await self.wait_until(self._views_agree)
        await self.wait_until(lambda: all(self.primary(group) for group in self.servers_by_group))
        await asyncio.sleep(0.3)

    async def add_instance(self, name: str) -> None:
        """Start one more instance, in the next failure domain."""
        domain = self.profile.failure_domains[
            len(self.instances) % len(self.profile.failure_domains)
        ]
        self.schedule_list_update()
        self.net.add_process(name, domain)
        instance = instances.ProxyInstance(self, name, domain)
        self.instances[name] = instance
        await self.run_in_process(name, instance.start)

    async def run_in_process(self, process: str, coroutine_function: Any) -> Any:
        """Run a coroutine function as a simulated process and return its result."""
        return await self.loop.create_task(
            coroutine_function(), context=paused_loop.process_context(process)
        )

    def add_client(self) -> clients.Client:
        """Add a client with a session of its own."""
        self._session_count += 1
        name = f"s{self._session_count}"
        self.net.add_process(name, "clients")
        return clients.Client(self, name, random.Random(self.rng.random()))

    def run_clients(
        self, session_programmes: collections.abc.Iterable[list[programmes.ProgrammeStep]]
    ) -> None:
        """Start one session for each programme."""
        for steps in session_programmes:
            client = self.add_client()
            session_task = self.loop.create_task(
                client.run(steps), context=paused_loop.process_context(client.name)
            )
            self.session_tasks.append(session_task)

    async def wait_until(
        self, condition: collections.abc.Callable[[], Any], timeout_s: float = START_TIMEOUT_S
    ) -> bool:
        """Wait for a condition and return whether it became true before the timeout."""
        end_at = self.now + timeout_s
        while not condition() and self.now < end_at:
            await asyncio.sleep(0.01)
        return bool(condition())

    def pause(self, process: str) -> None:
        """Pause a process; messages to it are queued until it resumes."""
        self._begin_impairment(process)
        self.net.pause(process)

    def resume(self, process: str) -> None:
        self._end_impairment(process)
        self.net.resume(process)

    def kill(self, process: str) -> None:
        self._begin_impairment(process)
        self.net.kill(process)
        self.schedule_list_update()

    def isolate(self, process: str) -> None:
        """Cut all network paths of a process."""
        self._begin_impairment(process)
        self.net.isolate(process)

    def rejoin(self, process: str) -> None:
        """End the isolation of a process."""
        self._end_impairment(process)
        self.net.heal(process)

    def heal(self) -> None:
        """End all cuts, pauses and delays; killed processes are not restarted."""
        self.net.heal()
        self.net.late_replies = (0.0, 0.0)
        self.store.heal()
        for process in list(self._impairment_starts):
            if not self.loop.is_killed(process):
                self.resume(process)

    def clear_lags(self) -> None:
        for server in self.servers_by_address.values():
            server.receive_lag_s = 0.0
            server.set_apply_lag(0.0)

    def owner(self, group: str) -> str:
        """Return the owner of rank 0 as seen by the first open instance that knows one."""
        for name in self.open_instances:
            node = self.instances[name].node
            owners = node.owners(group) if node is not None else ()
            if owners:
                return owners[0]
        return next(iter(self.instances))

    def begin_stop(self, name: str) -> None:
        """Begin the graceful stop of an instance, unless it is leaving or impaired."""
        if name in self.open_instances:
            self.record.instance_stops.append(history.DepartureNotice(self.now, name))
            self.stop_tasks.append(self.loop.create_task(self._stop(name)))
            self.schedule_list_update()

    async def _stop(self, name: str) -> None:
        await self.run_in_process(name, self.instances[name].stop)
        self._impairment_starts.setdefault(name, self.now)
        self.net.kill(name)
        self.schedule_list_update()

    def replace_instance(self) -> None:
        """Start a new instance in place of one that was killed or stopped."""
        self._replacement_count += 1
        name = f"n{self._size.instance_count + self._replacement_count}"
        self.stop_tasks.append(self.loop.create_task(self.add_instance(name)))

    def apply_configuration(self, instance: str = "") -> None:
        """Declare one more client account at an instance, by default at a random open one."""
        self._change_count += 1
        name = f"c{self._change_count}"
        instance = instance or self.rng.choice(self.open_instances or list(self.instances))
        self.operator_tasks.append(self.loop.create_task(self._submit_change(instance, name)))

    async def _submit_change(self, instance: str, name: str) -> None:
        declaration = declarations.CallerDeclaration(name, ("11" * 32,), ())
        edit = changes.Edit(changes.EditKind.ADD_CALLER, name, declaration)
        change = changes.Change(f"operation {name}", edits=(edit,))
        outcome = await self.run_in_process(
            instance, lambda: self.instances[instance].accept_change(change)
        )
        if isinstance(outcome, changes.Accepted):
            self.record.accepted_versions.append(
                history.AcceptedVersion(self.now, outcome.version, name)
            )

    def deliver_first_configuration(self) -> None:
        """Deliver the first configuration to every open instance, as a delayed store reply."""
        assert self._first_head is not None
        for name in self.open_instances:
            current = self.instances[name].configuration
            assert current is not None
            coroutine_function = functools.partial(current.apply_stored, self._first_head)
            self.operator_tasks.append(
                self.loop.create_task(self.run_in_process(name, coroutine_function))
            )

    def schedule_list_update(self, lag_s: float = INSTANCE_LIST_LAG_S) -> None:
        """Update the platform's list of instances after its lag."""
        self.loop.call_later(lag_s, self._update_instance_list)

    def _update_instance_list(self) -> None:
        listed = [
            discovery.ListedInstance(
                instance.name,
                "proxy",
                instance.address,
                instance.failure_domain,
                "leaving" if instance.leaving else "live",
            )
            for instance in self.instances.values()
            if not self.loop.is_killed(instance.name)
        ]
        listed += [
            discovery.ListedInstance(
                server.declaration.name,
                "endpoint",
                server.process,
                server.declaration.failure_domain,
                "leaving" if server.state.leaving else "live",
            )
            for server in self.servers_by_address.values()
        ]
        self.store.write(discovery.INSTANCES_KEY, msgspec.json.encode(listed))

    async def finish(self) -> history.History:
        """Heal all faults, wait for recovery and return the complete history."""
        self.heal()
        self.clear_lags()
        await self.wait_until(
            lambda: all(task.done() for task in self.session_tasks + self.stop_tasks), 60.0
        )
        await asyncio.sleep(checker.CONFIGURATION_DEADLINE_S)
        for task in self.session_tasks + self.stop_tasks + self.operator_tasks:
            if task.done():
                task.result()
        self.record.recovered = await self._wait_for_recovery()
        for name in self.open_instances:
            current = self.instances[name].configuration
            assert current is not None
            self.record.declared_callers[name] = frozenset(current.declarations.callers)
        for process in list(self._impairment_starts):
            self._end_impairment(process)
        return self.collect()

    def collect(self) -> history.History:
        """Return the history with the current logs."""
        for group, servers in self.servers_by_group.items():
            primary = self.primary(group) or next(iter(servers.values()))
            self.record.logs[group] = [_log_entry(entry) for entry in primary.state.entries]
        self.record.ended_at = self.now
        return self.record

    async def _wait_for_recovery(self) -> bool:
        prober = self.add_client()
        end_at = self.now + RECOVERY_TIMEOUT_S
        opened = False
        while self.now < end_at:
            if not opened:
                await self.run_in_process(prober.name, prober.open)
                opened = True
            answered = [
                await self._probe_group(prober, group) for group in range(self._size.group_count)
            ]
            if all(answered) and await self.wait_until(self._logs_agree, 1.0):
                return True
            prober.roam()
        return False

    async def _probe_group(self, prober: clients.Client, group: int) -> bool:
        step = programmes.ProgrammeStep(programmes.Action.WRITE, group=group)
        call = await self.run_in_process(prober.name, lambda: prober.run_step(step))
        return isinstance(call.outcome, outcomes.Answer)

    def _logs_agree(self) -> bool:
        return all(
            len(
                {
                    (server.state.last_log, server.state.promised_term)
                    for server in self._running_servers(group)
                }
            )
            == 1
            for group in self.servers_by_group
        )

    def _views_agree(self) -> bool:
        nodes = [instance.node for instance in self.instances.values() if instance.node is not None]
        return all(
            len(node.view.live) == len(nodes)
            and node.view.majority_contact_at(self.now) is not None
            for node in nodes
        )

    def _running_servers(self, group: str) -> list[members.MemberServer]:
        servers = self.servers_by_group[group].values()
        return [server for server in servers if not self.loop.is_killed(server.process)]

    def _store_configuration(self) -> None:
        digests, contents = parts.encode_parts(self.declarations)
        for key, content in contents.items():
            self.store.write(configuration.PART_PREFIX + key, content)
        head = parts.next_head(parts.EMPTY_HEAD, digests, "first", "")
        self.store.write(configuration.HEAD_KEY, parts.encode_head(head))
        self._first_head = self.store.objects[configuration.HEAD_KEY]

    def _add_members(self) -> None:
        for group, declaration in self.declarations.groups.items():
            servers = {
                member.name: members.MemberServer(self.net, member, group, self.record)
                for member in declaration.members
            }
            for server in servers.values():
                self.net.add_process(server.process, server.declaration.failure_domain)
                server.peers = {peer.process: peer for peer in servers.values()}
                self.servers_by_address[server.process] = server
            self.servers_by_group[group] = servers

    def _begin_impairment(self, process: str) -> None:
        self.record.failures.append(process)
        self._impairment_starts.setdefault(process, self.now)

    def _end_impairment(self, process: str) -> None:
        start = self._impairment_starts.pop(process, None)
        if start is not None:
            self.record.unavailable_periods.append(
                history.UnavailablePeriod(process, start, self.now)
            )


def _build_declarations(profile: network.SiteProfile, groups: int) -> declarations.Declarations:
    declared = {}
    for group_index in range(groups):
        group_members = tuple(
            declarations.MemberDeclaration(
                name=f"g{group_index}.m{index}",
                address=f"127.0.{group_index}.{index + 1}:7000",
                failure_domain=domain,
                connections=profile.connection_limit,
                slots=profile.slots,
            )
            for index, domain in enumerate(profile.failure_domains)
        )
        declared[f"g{group_index}"] = declarations.GroupDeclaration(
            f"g{group_index}", group_members
        )
    caller = declarations.CallerDeclaration(clients.CALLER, ("00" * 32,), tuple(declared))
    return declarations.Declarations(1, declared, {clients.CALLER: caller})


def _log_entry(entry: replicated_log.Entry) -> history.LogEntry:
    operations = statements.decode(entry.body) if entry.body else []
    return history.LogEntry(
        position=(entry.position.term, entry.position.index),
        key=None if entry.key is None else (entry.key.session, entry.key.sequence),
        writes=tuple(
            (operation.key, operation.value)
            for operation in operations
            if isinstance(operation, statements.Put)
        ),
        cancelled=entry.cancelled,
    )
