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
