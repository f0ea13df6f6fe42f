"""Guards which instances count as gone."""

from bilberrystack.pooling import coordinator
from bilberrystack.pooling import counters
from bilberrystack.pooling import messages
from bilberrystack.pooling import tasks
from bilberrystack.routing import model

ENDPOINT = model.Endpoint("127.0.0.1", 1)
INSTANCES = [model.Instance(f"proxy-{number}", f"{number}", ENDPOINT, "a") for number in range(6)]


class FakeLease:
    """A lease that is held from the start."""

    token = 7
    settled_at_s = 0.0
    ends_at_s = 1e9


class Watch:
    """A supervisor of no groups, on a clock that tests advance."""

    def __init__(self):
        self.now_s = 100.0
        self.coordinator = coordinator.Coordinator(
            own=INSTANCES[0],
            lease=FakeLease(),
            platform=None,
            groups={},
            dialect=None,
            clock=lambda: self.now_s,
            running=tasks.Tasks(),
            counted=counters.Counters(),
        )
        self.coordinator.step()

    def advance(self, seconds, heard):
        """Lets time pass in which some instances send heartbeats."""
        for _ in range(int(seconds / 0.4)):
            self.now_s += 0.4
            for number in heard:
                beat = messages.Heartbeat(
                    f"proxy-{number}", f"{number}", self.now_s, [], 0, ["store"]
                )
                self.coordinator.receive(beat, ENDPOINT)

    def gone(self):
        return self.coordinator.gone(INSTANCES)


def test_an_instance_that_is_gone_for_good_is_found():
    """The entry of a replaced machine halved what the owners of a group could share."""
    watch = Watch()
    watch.advance(21.0, heard=(1, 2, 3, 4))
    assert watch.gone() == ["proxy-5"]


def test_a_short_silence_is_no_loss():
    """Machines are cut off or suspended for seconds."""
    watch = Watch()
    watch.advance(21.0, heard=(1, 2, 3, 4, 5))
    watch.advance(15.0, heard=(1, 2, 3, 4))
    assert watch.gone() == []


def test_a_new_holder_waits_before_it_calls_an_instance_gone():
    """It has heard nobody yet."""
    watch = Watch()
    watch.advance(15.0, heard=(1, 2, 3, 4))
    assert watch.gone() == []


def test_a_parted_network_is_no_loss():
    """Instances on the other side of a partition live on and share the connections."""
    watch = Watch()
    watch.advance(21.0, heard=(1, 2, 3))
    assert watch.gone() == ["proxy-4", "proxy-5"]
    watch.advance(21.0, heard=(1, 2))
    assert watch.gone() == []


def test_a_restarted_process_keeps_its_entry():
    """It sends under the same name with another lifetime."""
    watch = Watch()
    watch.advance(21.0, heard=(1, 2, 3, 4, 5))
    beat = messages.Heartbeat("proxy-5", "another", watch.now_s, [], 0, ["store"])
    watch.coordinator.receive(beat, ENDPOINT)
    watch.advance(19.0, heard=(1, 2, 3, 4))
    assert watch.gone() == []
