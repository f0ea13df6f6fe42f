"""Faults of the fault matrix (design 1.6)."""

import collections.abc
import dataclasses

from faults import fleet
from faults import history
from faults import store

Injector = collections.abc.Callable[[fleet.Simulation, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that can be injected.

    Attributes:
      name: Name on the command line.
      inject: Injects the fault; takes the simulation and the duration in seconds.
      durations_s: Possible durations; the seed selects one.
    """

    name: str
    inject: Injector
    durations_s: tuple[float, ...] = (0.3, 1.0, 3.0)


def _primary_member(simulation: fleet.Simulation) -> str:
    server = simulation.primary("g0")
    return server.process if server else next(iter(simulation.servers_by_address))


def _random_replica(simulation: fleet.Simulation) -> str:
    primary = _primary_member(simulation)
    replicas = [
        server.process
        for server in simulation.servers_by_group["g0"].values()
        if server.process != primary
    ]
    return simulation.rng.choice(replicas)


def _schedule_undo(
    simulation: fleet.Simulation, duration_s: float, undo: collections.abc.Callable[[], None]
) -> None:
    simulation.loop.call_later(duration_s, undo)


def _inject_nothing(simulation: fleet.Simulation, duration_s: float) -> None:
    """Inject no fault: the control case, in which the step alone must not violate a guarantee."""


def _isolate(select_process: collections.abc.Callable[[fleet.Simulation], str]) -> Injector:
    def inject(simulation: fleet.Simulation, duration_s: float) -> None:
        process = select_process(simulation)
        simulation.isolate(process)
        _schedule_undo(simulation, duration_s, lambda: simulation.rejoin(process))

    return inject


def _pause(select_process: collections.abc.Callable[[fleet.Simulation], str]) -> Injector:
    def inject(simulation: fleet.Simulation, duration_s: float) -> None:
        process = select_process(simulation)
        simulation.pause(process)
        _schedule_undo(simulation, duration_s, lambda: simulation.resume(process))

    return inject


def _kill(select_process: collections.abc.Callable[[fleet.Simulation], str]) -> Injector:
    def inject(simulation: fleet.Simulation, duration_s: float) -> None:
        process = select_process(simulation)
        simulation.kill(process)
        if process in simulation.instances:
            _schedule_undo(simulation, duration_s, simulation.replace_instance)

    return inject


def _owner_instance(simulation: fleet.Simulation) -> str:
    return simulation.owner("g0")


def _entry_instance(simulation: fleet.Simulation) -> str:
    """Return an instance that does not own g0; only its clients and other groups depend on it."""
    others = [name for name in simulation.open_instances if name != _owner_instance(simulation)]
    return simulation.rng.choice(others or list(simulation.instances))


def _cut_owner_from_primary(bidirectional: bool, owner_to_primary: bool) -> Injector:
    def inject(simulation: fleet.Simulation, duration_s: float) -> None:
        ends = [_owner_instance(simulation), _primary_member(simulation)]
        if not owner_to_primary:
            ends.reverse()
        simulation.record.failures.append("cut")
        simulation.net.cut(*ends, bidirectional=bidirectional)
        _schedule_undo(simulation, duration_s, lambda: simulation.net.heal(ends[0]))

    return inject


def _cut_entry_from_store_and_peers(simulation: fleet.Simulation, duration_s: float) -> None:
    """Cut a non-owner from store and peers, so that it can't learn of a new configuration.

    Clients and members still reach the instance.
    """
    entry = _entry_instance(simulation)
    others = [name for name in simulation.instances if name != entry]
    for other in (*others, store.STORE):
        simulation.net.cut(entry, other)
    simulation.record.failures.append("cut")
    simulation.record.unavailable_periods.append(
        history.UnavailablePeriod(entry, simulation.now, simulation.now + duration_s)
    )
    if others:
        simulation.apply_configuration(others[0])
    _schedule_undo(simulation, duration_s, lambda: simulation.net.heal(entry))


def _cut_primary_from_replicas(simulation: fleet.Simulation, duration_s: float) -> None:
    """Cut the primary from its replicas only.

    The primary still answers the proxy, but none of its writes reaches a majority.
    """
    simulation.record.failures.append("cut")
    primary = _primary_member(simulation)
    for server in simulation.servers_by_group["g0"].values():
        if server.process != primary:
            simulation.net.cut(primary, server.process)
    _schedule_undo(simulation, duration_s, lambda: simulation.net.heal(primary))


def _delay_apply_at_one_replica(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.servers_by_address[_random_replica(simulation)].set_apply_lag(30.0)
    _schedule_undo(simulation, duration_s, simulation.clear_lags)


def _delay_apply_at_all_replicas(simulation: fleet.Simulation, duration_s: float) -> None:
    primary = _primary_member(simulation)
    for server in simulation.servers_by_group["g0"].values():
        if server.process != primary:
            server.set_apply_lag(30.0)
    _schedule_undo(simulation, duration_s, simulation.clear_lags)


def _cut_closest_replica_from_primary(simulation: fleet.Simulation, duration_s: float) -> None:
    """Cut the primary from the replica that answers the owner first.

    That is the replica in the owner's failure domain, if there is one there. It lacks writes that
    the other replica has.
    """
    simulation.record.failures.append("cut")
    primary = _primary_member(simulation)
    domain = simulation.instances[_owner_instance(simulation)].failure_domain
    replicas = [
        server for server in simulation.servers_by_group["g0"].values() if server.process != primary
    ]
    replicas.sort(key=lambda server: server.declaration.failure_domain != domain)
    simulation.net.cut(primary, replicas[0].process)
    _schedule_undo(simulation, duration_s, lambda: simulation.net.heal(replicas[0].process))


def _delay_replication(simulation: fleet.Simulation, duration_s: float) -> None:
    for server in simulation.servers_by_group["g0"].values():
        server.receive_lag_s = 0.3
    _schedule_undo(simulation, duration_s, simulation.clear_lags)


def _reset_owner_connections(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.record.failures.append("reset")
    simulation.net.reset_between(_owner_instance(simulation), _primary_member(simulation))


def _delay_replies(simulation: fleet.Simulation, duration_s: float) -> None:
    def end_delays() -> None:
        simulation.net.late_replies = (0.0, 0.0)

    simulation.record.failures.append("late answers")
    simulation.net.late_replies = (0.2, 0.4)
    _schedule_undo(simulation, duration_s, end_delays)


def _store_down(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.store.is_down = True
    _schedule_undo(simulation, duration_s, simulation.store.heal)


def _store_slow(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.store.extra_delay_s = 0.5
    _schedule_undo(simulation, duration_s, simulation.store.heal)


def _lose_store_replies(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.store.replies_to_lose = 3


def _racing_operators(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.apply_configuration()
    simulation.apply_configuration()


def _late_configuration(simulation: fleet.Simulation, duration_s: float) -> None:
    """Deliver a store reply that predates the latest configuration change after that change."""
    simulation.apply_configuration()
    _schedule_undo(simulation, duration_s, simulation.deliver_first_configuration)


def _primary_leaves(simulation: fleet.Simulation, duration_s: float) -> None:
    server = simulation.servers_by_address[_primary_member(simulation)]
    if not server.state.leaving:
        server.set_leaving()
        simulation.schedule_list_update()


def _owner_stops(simulation: fleet.Simulation, duration_s: float) -> None:
    simulation.begin_stop(_owner_instance(simulation))


FAULTS = (
    Fault("none", _inject_nothing),
    Fault("primary-isolated", _isolate(_primary_member)),
    Fault("primary-paused", _pause(_primary_member)),
    Fault("primary-paused-briefly", _pause(_primary_member), (0.2, 0.4)),
    Fault("primary-killed", _kill(_primary_member)),
    Fault("primary-cut-from-replicas", _cut_primary_from_replicas),
    Fault("replica-isolated", _isolate(_random_replica)),
    Fault("replica-paused", _pause(_random_replica)),
    Fault("replica-killed", _kill(_random_replica)),
    Fault("replica-far-behind", _delay_apply_at_one_replica, (3.0,)),
    Fault("replicas-far-behind", _delay_apply_at_all_replicas, (3.0,)),
    Fault("replica-cut-from-primary", _cut_closest_replica_from_primary, (3.0,)),
    Fault("replicas-receive-late", _delay_replication),
    Fault("owner-isolated", _isolate(_owner_instance)),
    Fault("owner-paused", _pause(_owner_instance)),
    Fault("owner-killed", _kill(_owner_instance)),
    Fault("owner-stops", _owner_stops),
    Fault("owner-cut-from-primary", _cut_owner_from_primary(True, True)),
    Fault("owner-cut-from-primary-outward", _cut_owner_from_primary(False, True)),
    Fault("owner-cut-from-primary-inward", _cut_owner_from_primary(False, False)),
    Fault("owner-connections-reset", _reset_owner_connections),
    Fault("entry-isolated", _isolate(_entry_instance)),
    Fault("entry-paused", _pause(_entry_instance)),
    Fault("entry-killed", _kill(_entry_instance)),
    Fault("entry-without-store-and-peers", _cut_entry_from_store_and_peers, (8.0,)),
    Fault("late-answers", _delay_replies),
    Fault("store-down", _store_down, (1.0, 8.0)),
    Fault("store-slow", _store_slow, (1.0, 8.0)),
    Fault("store-loses-answers", _lose_store_replies),
    Fault("racing-operators", _racing_operators),
    Fault("late-configuration", _late_configuration),
    Fault("primary-leaves", _primary_leaves),
)

FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}

# Pairs of faults: the second one follows within matrix.MAX_PAIR_GAP_S.
PAIRS = (
    ("primary-isolated", "owner-killed"),
    ("primary-isolated", "primary-isolated"),
    ("primary-isolated", "store-down"),
    ("primary-isolated", "owner-paused"),
    ("primary-paused", "owner-paused"),
    ("primary-paused", "replica-far-behind"),
    ("primary-killed", "owner-killed"),
    ("owner-killed", "entry-killed"),
    ("owner-paused", "entry-isolated"),
    ("owner-isolated", "late-answers"),
    ("owner-stops", "primary-isolated"),
    ("store-down", "owner-killed"),
    ("replica-killed", "primary-paused-briefly"),
    ("primary-leaves", "owner-killed"),
    ("owner-cut-from-primary", "late-answers"),
    ("primary-cut-from-replicas", "primary-isolated"),
    ("replica-cut-from-primary", "primary-isolated"),
)
