"""One run's world: members, instances and callers on a network of fakes."""

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

# After every fault is healed, the groups must work again within this time.
RECOVERY_S = 20.0

START_LIMIT_S = 30.0

# How far the platform's list is behind.
LIST_LAG_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """How large a run is."""

    groups: int = 1
    instances: int = 3


class Fleet:
    """The parties of one run and the faults that can happen to them."""

    def __init__(self, profile: network.Profile, seed: int, sizes: Sizes | None = None) -> None:
        sizes = sizes or Sizes()
        loop = asyncio.get_running_loop()
        assert isinstance(loop, paused_loop.PausedLoop)
        random.seed(seed)
        self.loop = loop
        self.profile = profile
        self.random = random.Random(f"fleet {seed}")
        self.net = network.Network(loop, profile, seed)
        self.record = history.History()
        self.declarations = _declarations(profile, sizes.groups)
        self.members: dict[str, dict[str, members.MemberServer]] = {}
        self.by_address: dict[str, members.MemberServer] = {}
        self.store = store.StoreServer(self.net)
        self.instances: dict[str, instances.ProxyInstance] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.stops: list[asyncio.Task[Any]] = []
        self.operators: list[asyncio.Task[Any]] = []
        self._sizes = sizes
        self._impaired: dict[str, float] = {}
        self._sessions = 0
        self._changes = 0
        self._first_head: interfaces.StoredObject | None = None
        self._replacements = 0
        self._add_members()

    @property
    def now(self) -> float:
        return self.loop.time()

    @property
    def open_instances(self) -> list[str]:
        """The instances that run and are not leaving; what a load balancer offers."""
        return [
            name
            for name, instance in self.instances.items()
            if not instance.leaving and name not in self._impaired
        ]

    def instance(self, name: str) -> instances.ProxyInstance:
        return self.instances[name]

    def primary(self, group: str) -> members.MemberServer | None:
        """Returns the primary of the highest term, whoever can reach it."""
        primaries = [one for one in self.members[group].values() if one.state.is_primary]
        return max(primaries, key=lambda one: one.state.promised_term, default=None)

    def impaired_since(self, instance: str, start: float) -> bool:
        """Tells whether an instance was down, paused or cut off at any time since start."""
        if instance in self._impaired:
            return True
        return any(
            absence.instance == instance and absence.end >= start
            for absence in self.record.absences
        )

    async def start(self) -> None:
        """Starts every party and waits until each group has a primary."""
        for server in self.by_address.values():
            server.start()
        self._store_configuration()
        self._publish()
        for number in range(self._sizes.instances):
            await self.add_instance(f"n{number}")
        self._publish()
        await self.until(self._views_agree)
        await self.until(lambda: all(self.primary(group) for group in self.members))
        await asyncio.sleep(0.3)

    async def add_instance(self, name: str) -> None:
        """Starts one more instance, in the next failure domain."""
        domain = self.profile.domains[len(self.instances) % len(self.profile.domains)]
        self.publish_later()
        self.net.add(name, domain)
        instance = instances.ProxyInstance(self, name, domain)
        self.instances[name] = instance
        await self.run_as(name, instance.start)

    async def run_as(self, party: str, work: Any) -> Any:
        """Runs a coroutine function as a party."""
        return await self.loop.create_task(work(), context=paused_loop.as_party(party))

    def client(self) -> clients.Client:
        """Adds a caller with a session of its own."""
        self._sessions += 1
        name = f"s{self._sessions}"
        self.net.add(name, "clients")
        return clients.Client(self, name, random.Random(self.random.random()))

    def run_clients(self, programmes_: collections.abc.Iterable[list[programmes.Step]]) -> None:
        """Starts one session for each programme."""
        for steps in programmes_:
            one = self.client()
            work = self.loop.create_task(one.run(steps), context=paused_loop.as_party(one.name))
            self.tasks.append(work)

    async def until(
        self, condition: collections.abc.Callable[[], Any], limit_s: float = START_LIMIT_S
    ) -> bool:
        """Waits for a condition; tells whether it came true in time."""
        end = self.now + limit_s
        while not condition() and self.now < end:
            await asyncio.sleep(0.01)
        return bool(condition())

    def pause(self, party: str) -> None:
        """Stops a party; what reaches it is queued."""
        self._impair(party)
        self.net.pause(party)

    def resume(self, party: str) -> None:
        self._recover(party)
        self.net.resume(party)

    def kill(self, party: str) -> None:
        self._impair(party)
        self.net.kill(party)
        self.publish_later()

    def isolate(self, party: str) -> None:
        """Cuts a party off from all others."""
        self._impair(party)
        self.net.isolate(party)

    def rejoin(self, party: str) -> None:
        """Ends a party's isolation."""
        self._recover(party)
        self.net.heal(party)

    def heal(self) -> None:
        """Ends all cuts, pauses and delays; killed parties stay dead."""
        self.net.heal()
        self.net.late_answers = (0.0, 0.0)
        self.store.heal()
        for party in list(self._impaired):
            if not self.loop.is_dead(party):
                self.resume(party)

    def clear_lags(self) -> None:
        for server in self.by_address.values():
            server.receive_lag_s = 0.0
            server.set_apply_lag(0.0)

    def owner(self, group: str) -> str:
        """Returns the instance of rank 0 in the view of the first open instance."""
        for name in self.open_instances:
            node = self.instances[name].node
            owners = node.owners(group) if node is not None else ()
            if owners:
                return owners[0]
        return next(iter(self.instances))

    def stop_soon(self, name: str) -> None:
        """Asks an instance to stop gracefully, once."""
        if name in self.open_instances:
            self.record.stops.append(history.Leaving(self.now, name))
            self.stops.append(self.loop.create_task(self._stop(name)))
            self.publish_later()

    async def _stop(self, name: str) -> None:
        await self.run_as(name, self.instances[name].stop)
        self._impaired.setdefault(name, self.now)
        self.net.kill(name)
        self.publish_later()

    def replace_instance(self) -> None:
        """Starts a new instance for one that was killed or stopped."""
        self._replacements += 1
        name = f"n{self._sizes.instances + self._replacements}"
        self.stops.append(self.loop.create_task(self.add_instance(name)))

    def apply_configuration(self, instance: str = "") -> None:
        """Lets an operator declare one more caller at an instance, by default any open one."""
        self._changes += 1
        name = f"c{self._changes}"
        instance = instance or self.random.choice(self.open_instances or list(self.instances))
        self.operators.append(self.loop.create_task(self._apply(instance, name)))

    async def _apply(self, instance: str, name: str) -> None:
        declaration = declarations.CallerDeclaration(name, ("11" * 32,), ())
        edit = changes.Edit(changes.EditKind.ADD_CALLER, name, declaration)
        change = changes.Change(f"operation {name}", edits=(edit,))
        outcome = await self.run_as(instance, lambda: self.instances[instance].accept(change))
        if isinstance(outcome, changes.Accepted):
            self.record.accepted.append(history.Accepted(self.now, outcome.version, name))

    def deliver_first_configuration(self) -> None:
        """Hands the first configuration to every instance, as a late answer of the store does."""
        assert self._first_head is not None
        for name in self.open_instances:
            current = self.instances[name].configuration
            assert current is not None
            work = functools.partial(current.apply_stored, self._first_head)
            self.operators.append(self.loop.create_task(self.run_as(name, work)))

    def publish_later(self, lag_s: float = LIST_LAG_S) -> None:
        """Lets the platform's list show the present state after its lag."""
        self.loop.call_later(lag_s, self._publish)

    def _publish(self) -> None:
        listed = [
            discovery.ListedInstance(
                one.name,
                "proxy",
                one.address,
                one.failure_domain,
                "leaving" if one.leaving else "live",
            )
            for one in self.instances.values()
            if not self.loop.is_dead(one.name)
        ]
        listed += [
            discovery.ListedInstance(
                one.declaration.name,
                "endpoint",
                one.party,
                one.declaration.failure_domain,
                "leaving" if one.state.leaving else "live",
            )
            for one in self.by_address.values()
        ]
        self.store.write(discovery.INSTANCES_KEY, msgspec.json.encode(listed))

    async def finish(self) -> history.History:
        """Heals everything, waits for recovery and returns the whole record."""
        self.heal()
        self.clear_lags()
        await self.until(lambda: all(task.done() for task in self.tasks + self.stops), 60.0)
        await asyncio.sleep(checker.CONFIGURATION_S)
        for task in self.tasks + self.stops + self.operators:
            if task.done():
                task.result()
        self.record.converged = await self._recovered()
        for name in self.open_instances:
            current = self.instances[name].configuration
            assert current is not None
            self.record.declared[name] = frozenset(current.declarations.callers)
        for party in list(self._impaired):
            self._recover(party)
        return self.collect()

    def collect(self) -> history.History:
        """Returns the record with the logs as they are."""
        for group, servers in self.members.items():
            primary = self.primary(group) or next(iter(servers.values()))
            self.record.logs[group] = [_log_entry(one) for one in primary.state.entries]
        self.record.ended_at = self.now
        return self.record

    async def _recovered(self) -> bool:
        prober = self.client()
        end = self.now + RECOVERY_S
        opened = False
        while self.now < end:
            if not opened:
                await self.run_as(prober.name, prober.open)
                opened = True
            answered = [await self._probe(prober, group) for group in range(self._sizes.groups)]
            if all(answered) and await self.until(self._logs_agree, 1.0):
                return True
            prober.roam()
        return False

    async def _probe(self, prober: clients.Client, group: int) -> bool:
        step = programmes.Step(programmes.Action.WRITE, group=group)
        call = await self.run_as(prober.name, lambda: prober.take(step))
        return isinstance(call.outcome, outcomes.Answer)

    def _logs_agree(self) -> bool:
        return all(
            len({(one.state.last_log, one.state.promised_term) for one in self._alive(group)}) == 1
            for group in self.members
        )

    def _views_agree(self) -> bool:
        nodes = [one.node for one in self.instances.values() if one.node is not None]
        return all(
            len(one.view.live) == len(nodes) and one.view.majority_contact_at(self.now) is not None
            for one in nodes
        )

    def _alive(self, group: str) -> list[members.MemberServer]:
        servers = self.members[group].values()
        return [one for one in servers if not self.loop.is_dead(one.party)]

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
                self.net.add(server.party, server.declaration.failure_domain)
                server.peers = {one.party: one for one in servers.values()}
                self.by_address[server.party] = server
            self.members[group] = servers

    def _impair(self, party: str) -> None:
        self.record.faults.append(party)
        self._impaired.setdefault(party, self.now)

    def _recover(self, party: str) -> None:
        start = self._impaired.pop(party, None)
        if start is not None:
            self.record.absences.append(history.Absence(party, start, self.now))


def _declarations(profile: network.Profile, groups: int) -> declarations.Declarations:
    declared = {}
    for number in range(groups):
        group_members = tuple(
            declarations.MemberDeclaration(
                name=f"g{number}.m{index}",
                address=f"127.0.{number}.{index + 1}:7000",
                failure_domain=domain,
                connections=profile.connections,
                slots=profile.slots,
            )
            for index, domain in enumerate(profile.domains)
        )
        declared[f"g{number}"] = declarations.GroupDeclaration(f"g{number}", group_members)
    caller = declarations.CallerDeclaration(clients.CALLER, ("00" * 32,), tuple(declared))
    return declarations.Declarations(1, declared, {clients.CALLER: caller})


def _log_entry(entry: replicated_log.Entry) -> history.LogEntry:
    operations = statements.decode(entry.body) if entry.body else []
    return history.LogEntry(
        position=(entry.position.term, entry.position.index),
        key=None if entry.key is None else (entry.key.session, entry.key.sequence),
        writes=tuple((one.key, one.value) for one in operations if isinstance(one, statements.Put)),
        cancelled=entry.cancelled,
    )
