"""Tests of the choice of a member for a read."""

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
    own = routing.Router(routing.Endpoint(name, f"{name}:1", name == "c") for name in "abc")
    for name in "abc":
        report(own, name, 10)
    return own


def choose(router, index, load=None, now=0.0, excluded=()):
    used = load or {}
    return router.choose(P(1, index), "a", now, lambda name: used.get(name, 0.0), excluded)


def test_load_counts_before_nearness_and_position_before_both(router):
    """Guards against a wait at a replica while another one could answer at once."""
    assert choose(router, 10) == "c"
    assert choose(router, 10, {"c": 0.5}) == "b"
    report(router, "b", 11, 11)
    report(router, "c", 11, 10)
    assert choose(router, 11, {"b": 0.5}) == "b"
    assert choose(router, 11, {"b": 1.0}) == "c"


def test_primary_is_never_chosen_here(router):
    """Guards against reads that go to the primary while a replica could serve them."""
    assert choose(router, 10, excluded=("b", "c")) is None
    report(router, "a", 20)
    assert choose(router, 20) is None
    assert choose(router, 10, {"b": 1.0, "c": 1.0}) == admission.NO_SLOT


def test_behind_replica_is_left_alone_until_it_reports_the_position(router):
    """Guards against asking a replica that is far behind again and again."""
    report(router, "b", 12, 10)
    report(router, "c", 10)
    assert choose(router, 12) == "b"
    router.record_behind("b", P(1, 12), 0.0)
    assert choose(router, 12) is None
    assert choose(router, 12, now=2 * routing.UNEXPECTED_S) is None
    assert choose(router, 10, excluded=("c",)) == "b"
    report(router, "b", 12, 12)
    assert choose(router, 12) == "b"


def test_steady_apply_lag_is_not_waited_for_at_the_member(router):
    """Guards against each read taking a slot for a position that is never applied in time."""
    report(router, "b", 12, 10)
    router.record_behind("b", P(1, 12), 0.0)
    report(router, "b", 14, 12)
    assert choose(router, 14, now=0.1) is None
    assert choose(router, 14, now=2 * routing.UNEXPECTED_S) == "b"


def test_leaving_members_get_no_reads(router):
    """Guards against new work on an endpoint that leaves."""
    report(router, "c", 10, leaving=True)
    assert choose(router, 10) == "b"
    router.set_leaving(frozenset({"b:1"}))
    assert choose(router, 10) is None
    assert router.prospect(P(1, 10), "a", 0.0, ()).reason == "no replica"


def test_unreachable_member_is_avoided_for_longer_each_time(router):
    """Guards against reads that keep failing on a dead replica."""
    router.record_unreachable("c", 0.0)
    assert choose(router, 10, now=0.9 * routing.UNREACHABLE_S) == "b"
    assert choose(router, 10, now=1.1 * routing.UNREACHABLE_S) == "c"
    router.record_unreachable("c", 0.0)
    assert choose(router, 10, now=1.1 * routing.UNREACHABLE_S) == "b"
    router.record_reachable("c")
    assert choose(router, 10) == "c"


def test_fruitless_wait_is_not_repeated_until_a_replica_passes(router):
    """Guards against every read waiting in vain while all replicas are far behind."""
    assert router.prospect(P(1, 15), "a", 0.0, ()).worth_waiting
    router.record_fruitless_wait(P(1, 15))
    assert not router.prospect(P(1, 15), "a", 0.0, ()).worth_waiting
    report(router, "a", 20)
    assert not router.prospect(P(1, 16), "a", 0.0, ()).worth_waiting
    report(router, "b", 15)
    assert router.prospect(P(1, 16), "a", 0.0, ()).worth_waiting
