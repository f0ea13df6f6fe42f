"""The faults of the fault matrix (design 1.6)."""

import collections.abc
import dataclasses

from faults import fleet
from faults import history
from faults import store

Inject = collections.abc.Callable[[fleet.Fleet, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault.

    Attributes:
      name: Its name on the command line.
      inject: Makes it happen; gets the world and the seconds for which it lasts.
      durations_s: For how long it may last; one is chosen by the seed.
    """

    name: str
    inject: Inject
    durations_s: tuple[float, ...] = (0.3, 1.0, 3.0)


def _primary(world: fleet.Fleet) -> str:
    server = world.primary("g0")
    return server.party if server else next(iter(world.by_address))


def _replica(world: fleet.Fleet) -> str:
    primary = _primary(world)
    choices = [one.party for one in world.members["g0"].values() if one.party != primary]
    return world.random.choice(choices)


def _later(world: fleet.Fleet, duration_s: float, undo: collections.abc.Callable[[], None]) -> None:
    world.loop.call_later(duration_s, undo)


def _nothing(world: fleet.Fleet, duration_s: float) -> None:
    """The cell without a fault shows that the step itself keeps the promises."""


def _isolate(pick: collections.abc.Callable[[fleet.Fleet], str]) -> Inject:
    def inject(world: fleet.Fleet, duration_s: float) -> None:
        party = pick(world)
        world.isolate(party)
        _later(world, duration_s, lambda: world.rejoin(party))

    return inject


def _pause(pick: collections.abc.Callable[[fleet.Fleet], str]) -> Inject:
    def inject(world: fleet.Fleet, duration_s: float) -> None:
        party = pick(world)
        world.pause(party)
        _later(world, duration_s, lambda: world.resume(party))

    return inject


def _kill(pick: collections.abc.Callable[[fleet.Fleet], str]) -> Inject:
    def inject(world: fleet.Fleet, duration_s: float) -> None:
        party = pick(world)
        world.kill(party)
        if party in world.instances:
            _later(world, duration_s, world.replace_instance)

    return inject


def _owner(world: fleet.Fleet) -> str:
    return world.owner("g0")


def _entry(world: fleet.Fleet) -> str:
    """An instance that is not the owner, so that only callers and other groups need it."""
    others = [name for name in world.open_instances if name != _owner(world)]
    return world.random.choice(others or list(world.instances))


def _cut_owner_from_primary(both: bool, outward: bool) -> Inject:
    def inject(world: fleet.Fleet, duration_s: float) -> None:
        ends = [_owner(world), _primary(world)]
        if not outward:
            ends.reverse()
        world.record.faults.append("cut")
        world.net.cut(*ends, both=both)
        _later(world, duration_s, lambda: world.net.heal(ends[0]))

    return inject


def _cut_entry_from_store_and_peers(world: fleet.Fleet, duration_s: float) -> None:
    """An instance that callers and members still reach can't learn of a new configuration."""
    entry = _entry(world)
    others = [name for name in world.instances if name != entry]
    for other in (*others, store.STORE):
        world.net.cut(entry, other)
    world.record.faults.append("cut")
    world.record.absences.append(history.Absence(entry, world.now, world.now + duration_s))
    if others:
        world.apply_configuration(others[0])
    _later(world, duration_s, lambda: world.net.heal(entry))


def _cut_primary_from_replicas(world: fleet.Fleet, duration_s: float) -> None:
    """The primary still answers the proxy, but none of its writes reaches a majority."""
    world.record.faults.append("cut")
    primary = _primary(world)
    for server in world.members["g0"].values():
        if server.party != primary:
            world.net.cut(primary, server.party)
    _later(world, duration_s, lambda: world.net.heal(primary))


def _apply_lag(world: fleet.Fleet, duration_s: float) -> None:
    world.by_address[_replica(world)].set_apply_lag(30.0)
    _later(world, duration_s, world.clear_lags)


def _apply_lag_everywhere(world: fleet.Fleet, duration_s: float) -> None:
    primary = _primary(world)
    for server in world.members["g0"].values():
        if server.party != primary:
            server.set_apply_lag(30.0)
    _later(world, duration_s, world.clear_lags)


def _cut_near_replica_from_primary(world: fleet.Fleet, duration_s: float) -> None:
    """The replica that answers the owner first misses writes that the other one has."""
    world.record.faults.append("cut")
    primary = _primary(world)
    domain = world.instances[_owner(world)].failure_domain
    replicas = [one for one in world.members["g0"].values() if one.party != primary]
    replicas.sort(key=lambda one: one.declaration.failure_domain != domain)
    world.net.cut(primary, replicas[0].party)
    _later(world, duration_s, lambda: world.net.heal(replicas[0].party))


def _receive_lag(world: fleet.Fleet, duration_s: float) -> None:
    for server in world.members["g0"].values():
        server.receive_lag_s = 0.3
    _later(world, duration_s, world.clear_lags)


def _reset(world: fleet.Fleet, duration_s: float) -> None:
    world.record.faults.append("reset")
    world.net.reset_between(_owner(world), _primary(world))


def _late_answers(world: fleet.Fleet, duration_s: float) -> None:
    def end() -> None:
        world.net.late_answers = (0.0, 0.0)

    world.record.faults.append("late answers")
    world.net.late_answers = (0.2, 0.4)
    _later(world, duration_s, end)


def _store_down(world: fleet.Fleet, duration_s: float) -> None:
    world.store.down = True
    _later(world, duration_s, world.store.heal)


def _store_slow(world: fleet.Fleet, duration_s: float) -> None:
    world.store.slow_s = 0.5
    _later(world, duration_s, world.store.heal)


def _store_loses_answers(world: fleet.Fleet, duration_s: float) -> None:
    world.store.lose_answers = 3


def _racing_operators(world: fleet.Fleet, duration_s: float) -> None:
    world.apply_configuration()
    world.apply_configuration()


def _late_configuration(world: fleet.Fleet, duration_s: float) -> None:
    """An answer of the store from before the latest change arrives after it."""
    world.apply_configuration()
    _later(world, duration_s, world.deliver_first_configuration)


def _primary_leaves(world: fleet.Fleet, duration_s: float) -> None:
    server = world.by_address[_primary(world)]
    if not server.state.leaving:
        server.set_leaving()
        world.publish_later()


def _owner_stops(world: fleet.Fleet, duration_s: float) -> None:
    world.stop_soon(_owner(world))


FAULTS = (
    Fault("none", _nothing),
    Fault("primary-isolated", _isolate(_primary)),
    Fault("primary-paused", _pause(_primary)),
    Fault("primary-paused-briefly", _pause(_primary), (0.2, 0.4)),
    Fault("primary-killed", _kill(_primary)),
    Fault("primary-cut-from-replicas", _cut_primary_from_replicas),
    Fault("replica-isolated", _isolate(_replica)),
    Fault("replica-paused", _pause(_replica)),
    Fault("replica-killed", _kill(_replica)),
    Fault("replica-far-behind", _apply_lag, (3.0,)),
    Fault("replicas-far-behind", _apply_lag_everywhere, (3.0,)),
    Fault("replica-cut-from-primary", _cut_near_replica_from_primary, (3.0,)),
    Fault("replicas-receive-late", _receive_lag),
    Fault("owner-isolated", _isolate(_owner)),
    Fault("owner-paused", _pause(_owner)),
    Fault("owner-killed", _kill(_owner)),
    Fault("owner-stops", _owner_stops),
    Fault("owner-cut-from-primary", _cut_owner_from_primary(True, True)),
    Fault("owner-cut-from-primary-outward", _cut_owner_from_primary(False, True)),
    Fault("owner-cut-from-primary-inward", _cut_owner_from_primary(False, False)),
    Fault("owner-connections-reset", _reset),
    Fault("entry-isolated", _isolate(_entry)),
    Fault("entry-paused", _pause(_entry)),
    Fault("entry-killed", _kill(_entry)),
    Fault("entry-without-store-and-peers", _cut_entry_from_store_and_peers, (8.0,)),
    Fault("late-answers", _late_answers),
    Fault("store-down", _store_down, (1.0, 8.0)),
    Fault("store-slow", _store_slow, (1.0, 8.0)),
    Fault("store-loses-answers", _store_loses_answers),
    Fault("racing-operators", _racing_operators),
    Fault("late-configuration", _late_configuration),
    Fault("primary-leaves", _primary_leaves),
)

BY_NAME = {fault.name: fault for fault in FAULTS}

# Pairs of faults: the second one comes up to a second after the first.
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
