"""Tests of the selection of a replica for a read."""

import pytest

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import routing

P = positions.Position


def report(router, name, received, applied=None, *, leaving=False):
    status = members.MemberStatus(
        member=name,
        promised_term=1,
        last_log=P(1, received),
        applied=P(1, received if applied is None else applied),
        primary=name == "a",
        primary_contact_s=None,
        slots=2,
        connection_limit=16,
        leaving=leaving,
        discarded_entries=0,
        previous_term_end=positions.ZERO,
    )
    return router.record_status(status)


@pytest.fixture
def router():
    router = routing.Router(routing.RoutedMember(name, f"{name}:1", name == "c") for name in "abc")
    for name in "abc":
        report(router, name, 10)
    return router


def choose_replica(router, index, load=None, now=0.0, excluded=()):
    used_share = load or {}
    return router.choose_replica(
        P(1, index), "a", now, lambda name: used_share.get(name, 0.0), excluded
    )


def test_position_precedes_load_and_load_precedes_failure_domain(router):
    """Guards against a wait at a replica while another one could answer immediately."""
    assert choose_replica(router, 10) == "c"
    assert choose_replica(router, 10, {"c": 0.5}) == "b"
    report(router, "b", 11, 11)
    report(router, "c", 11, 10)
    assert choose_replica(router, 11, {"b": 0.5}) == "b"
    assert choose_replica(router, 11, {"b": 1.0}) == "c"


def test_primary_is_never_selected(router):
    """Guards against routing reads to the primary while a replica could serve them."""
    assert choose_replica(router, 10, excluded=("b", "c")) is None
    report(router, "a", 20)
    assert choose_replica(router, 20) is None
    assert choose_replica(router, 10, {"b": 1.0, "c": 1.0}) == admission.NO_FREE_SLOT


def test_behind_replica_is_not_selected_until_it_reports_the_position(router):
    """Guards against repeated reads at a replica that is far behind."""
    report(router, "b", 12, 10)
    report(router, "c", 10)
    assert choose_replica(router, 12) == "b"
    router.record_behind("b", P(1, 12), 0.0)
    assert choose_replica(router, 12) is None
    assert choose_replica(router, 12, now=2 * routing.APPLIED_ONLY_S) is None
    assert choose_replica(router, 10, excluded=("c",)) == "b"
    report(router, "b", 12, 12)
    assert choose_replica(router, 12) == "b"


def test_received_position_does_not_count_during_a_constant_apply_lag(router):
    """Guards against reads that occupy a slot for a position that is never applied in time."""
    report(router, "b", 12, 10)
    router.record_behind("b", P(1, 12), 0.0)
    report(router, "b", 14, 12)
    assert choose_replica(router, 14, now=0.1) is None
    assert choose_replica(router, 14, now=2 * routing.APPLIED_ONLY_S) == "b"


def test_leaving_members_are_not_selected(router):
    """Guards against new reads at an endpoint that is leaving."""
    report(router, "c", 10, leaving=True)
    assert choose_replica(router, 10) == "b"
    router.set_leaving_addresses(frozenset({"b:1"}))
    assert choose_replica(router, 10) is None
    assert router.replica_availability(P(1, 10), "a", 0.0, ()).reason == "no replica"


def test_exclusion_of_an_unreachable_member_doubles_with_each_failure(router):
    """Guards against repeated reads at a replica that is down."""
    router.record_unreachable("c", 0.0)
    assert choose_replica(router, 10, now=0.9 * routing.UNREACHABLE_BACKOFF_S) == "b"
    assert choose_replica(router, 10, now=1.1 * routing.UNREACHABLE_BACKOFF_S) == "c"
    router.record_unreachable("c", 0.0)
    assert choose_replica(router, 10, now=1.1 * routing.UNREACHABLE_BACKOFF_S) == "b"
    router.record_reachable("c")
    assert choose_replica(router, 10) == "c"


def test_timed_out_wait_is_not_repeated_until_a_replica_reaches_the_position(router):
    """Guards against each read waiting until its time-out while all replicas are far behind."""
    assert router.replica_availability(P(1, 15), "a", 0.0, ()).worth_waiting
    router.record_wait_timeout(P(1, 15))
    assert not router.replica_availability(P(1, 15), "a", 0.0, ()).worth_waiting
    report(router, "a", 20)
    assert not router.replica_availability(P(1, 16), "a", 0.0, ()).worth_waiting
    report(router, "b", 15)
    assert router.replica_availability(P(1, 16), "a", 0.0, ()).worth_waiting
