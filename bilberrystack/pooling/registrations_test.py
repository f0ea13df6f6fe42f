"""Tests which instances stay known and registered, and for how long."""

import pytest

from bilberrystack.platform import objects
from bilberrystack.pooling import coordinator
from bilberrystack.pooling import directory
from bilberrystack.pooling import registrations
from bilberrystack.pooling import views
from bilberrystack.routing import model
from bilberrystack.routing import running_time
from bilberrystack_standins import line_site

KIND = objects.INSTANCE_KIND

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


def _registration(incarnation):
    return {"lifetime": incarnation, "address": "127.0.0.1:1", "zone": "a"}


@pytest.mark.asyncio
async def test_the_registration_of_a_returned_instance_is_not_removed(monkeypatch):
    """The coordinator removed the registration of a machine that had just come back.

    It had not heard the earlier process for 20 s, and its list was from before the return.
    """
    known = [
        model.Instance(name, incarnation, model.Endpoint("127.0.0.1", 1), "a")
        for name, incarnation in (("proxy-9", "former"), ("proxy-8", "lost"))
    ]
    monkeypatch.setattr(views, "LIST_INTERVAL_S", 0.1)
    async with line_site.Site(1) as site:
        await site.platform.put(KIND, "proxy-9", _registration("returned"))
        await site.platform.put(KIND, "proxy-8", _registration("lost"))
        monkeypatch.setattr(directory.Directory, "registered_instances", lambda _: known)
        monkeypatch.setattr(
            coordinator.Coordinator, "expired_instances", lambda *_: ["proxy-9", "proxy-8"]
        )
        # The one that was lost comes last.
        await site.wait_until(lambda: "proxy-8" not in site.platform.object_names(KIND))
        assert site.platform.get(KIND, "proxy-9")["lifetime"] == "returned"


@pytest.mark.asyncio
async def test_a_stop_leaves_the_registration_of_the_next_process():
    """Guards against an end of a process that removes its successor's registration."""
    async with line_site.Site(1) as site:
        await site.platform.put(KIND, "proxy-0", _registration("successor"))
        site.instances[0].request_stop()
        await site.wait_until_stopped()
        assert "proxy-0" in site.platform.object_names(KIND)
