"""Tests until when a coordinator may act on its lease, and when others may acquire it."""

import math

from bilberrystack.routing import lease_terms


def test_a_holder_without_support_acts_for_the_contact_duration_only():
    """A frozen coordinator kept its lease for 9 s, and no leaving primary was replaced."""
    supporters = lease_terms.Supporters()
    supporters.acknowledge("a", 10.0)
    until_s = supporters.supported_until_s(["a", "b"])
    assert until_s == -math.inf
    assert lease_terms.ends_at_s(11.0, until_s) == 11.0 + lease_terms.CONTACT_DURATION_S


def test_a_supported_holder_outlives_a_short_outage_of_the_store():
    """Guards against grants that end in each outage of 4 s, which costs confirmation rounds."""
    supporters = lease_terms.Supporters()
    for standby in ("a", "b"):
        supporters.acknowledge(standby, 15.5)
    until_s = supporters.supported_until_s(["a", "b"])
    assert lease_terms.ends_at_s(11.0, until_s) == 15.5 + lease_terms.CONTACT_DURATION_S
    assert lease_terms.ends_at_s(9.0, until_s + 100) == 9.0 + 7.0


def test_a_holder_without_standbys_keeps_the_whole_lease():
    """Without standbys nobody may acquire the lease early, as in a fleet of an earlier version."""
    assert lease_terms.ends_at_s(10.0, lease_terms.Supporters().supported_until_s([])) == 17.0
    assert lease_terms.acquirable_at_s(10.0, is_standby=False) == 19.0


def test_an_ended_standby_does_not_end_the_support():
    """A killed standby's process can't acquire the lease; its successor is no standby."""
    supporters = lease_terms.Supporters()
    supporters.acknowledge("a", 10.0)
    supporters.acknowledge("b", 5.0)
    supporters.record_end("b")
    assert supporters.supported_until_s(["a", "b"]) == 10.0 + lease_terms.CONTACT_DURATION_S


def test_a_standby_that_answers_after_its_recorded_end_counts_again():
    """A late datagram of an earlier process makes the present one look ended."""
    supporters = lease_terms.Supporters()
    supporters.acknowledge("a", 10.0)
    supporters.record_end("a")
    supporters.acknowledge("a", 11.0)
    assert supporters.supported_until_s(["a"]) == 11.0 + lease_terms.CONTACT_DURATION_S


def test_a_standby_acquires_the_lease_only_after_the_holder_has_stopped():
    """Two coordinators at once could promote two members of a group."""
    for renewed_at_s in (10.0, 11.0, 13.0):
        for acknowledged_at_s in (9.0, 11.0, 12.5):
            supporters = lease_terms.Supporters()
            supporters.acknowledge("a", acknowledged_at_s)
            ends_at_s = lease_terms.ends_at_s(renewed_at_s, supporters.supported_until_s(["a"]))
            acquirable_at_s = lease_terms.acquirable_at_s(renewed_at_s, True, acknowledged_at_s)
            assert acquirable_at_s >= ends_at_s + lease_terms.STANDBY_MARGIN_S


def test_the_takeover_leaves_time_to_replace_a_leaving_primary():
    """A leaving member may receive no requests 7 s after its report."""
    silent_s, settle_s, promotion_s = 1.0, 0.5, 1.0
    takeover_s = lease_terms.acquirable_at_s(silent_s, is_standby=True)
    assert takeover_s + settle_s + promotion_s < 7.0


def test_standbys_are_retained_while_they_acknowledge():
    """Guards against standbys that change with each renewal."""
    supporters = lease_terms.Supporters()
    for number in range(8):
        supporters.acknowledge(f"{number}", 10.0)
    current = supporters.choose_standbys(["7", "6"], 10.5)
    assert current[:2] == ("7", "6")
    assert len(current) == lease_terms.STANDBY_COUNT
    for number in range(7):
        supporters.acknowledge(f"{number}", 12.0)
    supporters.record_end("6")
    chosen = supporters.choose_standbys(current, 12.5)
    assert "7" not in chosen and "6" not in chosen
    assert len(chosen) == lease_terms.STANDBY_COUNT


def test_any_instance_may_replace_a_holder_that_nobody_has_acknowledged():
    """A coordinator that was cut off before its first renewal kept its lease for 9 s."""
    supporters = lease_terms.Supporters()
    standbys = supporters.choose_standbys([lease_terms.ANY_INSTANCE], 10.0)
    assert lease_terms.names_standby(standbys, "a")
    assert lease_terms.ends_at_s(10.0, supporters.supported_until_s(standbys)) == 12.0
    supporters.acknowledge("a", 10.5)
    assert supporters.choose_standbys(standbys, 11.0) == ("a",)
