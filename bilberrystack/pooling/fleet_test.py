"""Tests what an instance does with messages of coordinators, and without them."""

import types

import loguru
import pytest

from bilberrystack.pooling import counters
from bilberrystack.pooling import fleet
from bilberrystack.pooling import messages
from bilberrystack.pooling import quota_gate
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import running_time

ENDPOINT = model.Endpoint("127.0.0.1", 1)
COORDINATOR = model.Instance("proxy-0", "process-0", ENDPOINT, "a")
OWN = model.Instance("proxy-1", "process-1", ENDPOINT, "a")


def _protocol(served, clock, running):
    return fleet.FleetProtocol(
        own_instance=OWN,
        lease=types.SimpleNamespace(coordinator=COORDINATOR),
        local_coordinator=None,
        groups={"store": served},
        store_directory=None,
        clock=clock,
        background_tasks=None,
        quota=quota_gate.QuotaGate(clock, counters.Counters()),
        running=running,
    )


@pytest.mark.parametrize("stalled", [False, True])
def test_a_withdrawal_expires_only_in_time_in_which_a_grant_could_arrive(stalled):
    """After a stall an instance gave up a change whose grant was among its unread datagrams."""
    now_s = 100.0
    running = running_time.RunningTime()
    served = types.SimpleNamespace(permission=permission.Permission(), dispatch=lambda: None)
    protocol = _protocol(served, lambda: now_s, running)
    withdrawal = messages.Withdrawal("proxy-0", "process-0", 7, "store", 1)
    protocol.datagram_received(messages.encode(withdrawal), ("127.0.0.1", 1))
    assert served.permission.change_in_progress
    if stalled:
        running.count_until(now_s)
    now_s += fleet.WITHDRAWAL_EXPIRY_S
    protocol._expire_withdrawals()
    assert served.permission.change_in_progress == stalled


def test_grants_of_a_second_coordinator_are_logged_once():
    """The logs did not tell that two coordinators were heard at the same time."""
    served = types.SimpleNamespace(permission=permission.Permission(), dispatch=lambda: None)
    protocol, records = _protocol(served, lambda: 100.0, running_time.RunningTime()), []
    grant = messages.Grant("store", "a", 1, 0, None, 0.0, "")
    grants = messages.Grants("proxy-2", "process-2", 8, 100.0, 1.5, [grant], 1, 100.0)
    handler_id = loguru.logger.add(lambda line: records.append(line.record), format="")
    try:
        for _ in range(2):
            protocol.datagram_received(messages.encode(grants), ("127.0.0.1", 2))
    finally:
        loguru.logger.remove(handler_id)
    (line,) = (record["extra"] for record in records)
    assert (line["coordinator"], line["token"], line["known"]) == ("proxy-2", 8, "proxy-0")
    assert served.permission.leader is None


class Receiver:
    """An instance that receives the datagrams of a coordinator, on a clock that the test sets."""

    def __init__(self):
        self.now_s = 100.0
        self.sent = []
        self.groups = {}
        lease = types.SimpleNamespace(
            coordinator=COORDINATOR, acknowledgement=None, record_answer=lambda *_: None
        )
        self.protocol = fleet.FleetProtocol(
            own_instance=OWN,
            lease=lease,
            local_coordinator=None,
            groups=self.groups,
            store_directory=types.SimpleNamespace(version=1, observe_version=lambda *_: None),
            clock=lambda: self.now_s,
            background_tasks=None,
            quota=quota_gate.QuotaGate(lambda: self.now_s, counters.Counters()),
        )
        self.protocol.connection_made(
            types.SimpleNamespace(
                is_closing=lambda: False,
                sendto=lambda data, _to: self.sent.append(messages.decode(data)),
            )
        )

    def add_group(self):
        """Add the group anew; return its permission."""
        served = types.SimpleNamespace(
            permission=permission.Permission(), dispatch=lambda: None, pools={}, owned=True
        )
        self.groups["store"] = served
        return served.permission

    def request(self):
        """Send a heartbeat; return its time."""
        self.protocol._send_heartbeat()
        return self.sent[-1].sent_at_s

    def receive(self, message):
        self.protocol.datagram_received(messages.encode(message), ("127.0.0.1", 1))

    def grant(self, requested_at_s, change_number=0):
        """Deliver the answer to a heartbeat."""
        grant = messages.Grant("store", "a", 2, change_number, None, 0.0, "")
        answer = messages.Grants("proxy-0", "process-0", 7, requested_at_s, 1.5, [grant])
        self.receive(answer)


LEADER = permission.Leader("a", 2)


def test_a_grant_that_answers_a_heartbeat_of_this_process_is_used():
    """Guards against an instance that ignores its grants."""
    receiver = Receiver()
    held = receiver.add_group()
    requested_at_s = receiver.request()
    receiver.now_s += 0.1
    receiver.grant(requested_at_s)
    assert held.valid_at(LEADER, requested_at_s + 1.5)
    assert not held.valid_at(LEADER, requested_at_s + 1.6)


@pytest.mark.parametrize("requested_at_s", [99.9, 2000.0])
def test_an_answer_to_an_earlier_process_grants_nothing(requested_at_s):
    """After a reboot a late answer, on the clock of the boot before, granted for hours."""
    receiver = Receiver()
    held = receiver.add_group()
    receiver.request()
    receiver.now_s += 0.1
    receiver.grant(requested_at_s)
    assert not held.valid_at(LEADER, receiver.now_s)


@pytest.mark.parametrize("known", [False, True])
def test_a_group_that_is_added_again_uses_no_grant_from_before_a_withdrawal(known):
    """A withdrawal was acknowledged without a trace if the group was not configured just then."""
    receiver = Receiver()
    receiver.add_group()
    requested_at_s = receiver.request()
    if not known:
        receiver.groups.clear()
    receiver.receive(messages.Withdrawal("proxy-0", "process-0", 7, "store", 1))
    assert isinstance(receiver.sent[-1], messages.Acknowledgement)
    held = receiver.add_group()
    receiver.grant(requested_at_s)
    assert not held.valid_at(LEADER, receiver.now_s)
    receiver.grant(receiver.request(), change_number=1)
    assert held.valid_at(LEADER, receiver.now_s)
