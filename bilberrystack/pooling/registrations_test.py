"""Tests how long instances stay known whose registrations the store may have lost."""

from bilberrystack.pooling import registrations
from bilberrystack.routing import model
from bilberrystack.routing import running_time

INSTANCES = {
    name: model.Instance(name, f"process-of-{name}", model.Endpoint("127.0.0.1", 1), "a")
    for name in ("proxy-0", "proxy-1", "proxy-2")
}


class _Cache:
    """A cache of registrations."""

    def __init__(self):
        self.items = dict(INSTANCES)
        self.era = 1


def test_a_process_that_stood_still_keeps_the_instances_that_register_again():
    """After a stall it took itself for the only owner, since it had seen nobody register again."""
    now_s = 100.0
    cache, running = _Cache(), running_time.RunningTime()
    known = registrations.Registrations(cache, lambda: now_s, running)
    known.refresh()
    cache.era, cache.items = 2, {}
    known.refresh()
    running.count_until(now_s)
    running.record_stall(now_s, now_s + registrations.LOST_REGISTRATION_RETENTION_S)
    now_s += registrations.LOST_REGISTRATION_RETENTION_S
    known.refresh()
    assert len(known.instances) == 3
    now_s += registrations.LOST_REGISTRATION_RETENTION_S
    running.count_until(now_s)
    known.refresh()
    assert not known.instances
