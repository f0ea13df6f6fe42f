"""Guards against statements that wait at a busy member while another member is free."""

from bilberrystack.routing import placement


def _load(member, **changes):
    values = {
        "slots": 2,
        "in_flight": 0,
        "others_in_flight": 0.0,
        "service_time_s": 0.02,
        "same_domain": True,
        "primary": False,
    }
    return placement.MemberLoad(member=member, **(values | changes))


def test_prefers_a_free_member_of_the_same_domain():
    """Traffic between failure domains is billed."""
    assert placement.choose([_load("far", same_domain=False), _load("near")], True) == "near"


def test_prefers_a_free_member_of_another_domain_to_a_full_one():
    """A round trip of 1 ms takes less time than the wait for a slot."""
    loads = [_load("near", in_flight=4), _load("far", same_domain=False)]
    assert placement.choose(loads, True) == "far"


def test_avoids_the_primary_until_the_queues_of_replicas_are_long():
    """Only the primary can run writes."""
    idle = _load("primary", primary=True)
    assert placement.choose([idle, _load("replica", in_flight=2)], True) == "replica"
    assert placement.choose([idle, _load("replica", in_flight=8)], True) == "primary"


def test_counts_statements_of_other_instances():
    """All instances share a member, so that this instance's statements are a part of its load."""
    loads = [_load("crowded", others_in_flight=6.0), _load("quiet", same_domain=False)]
    assert placement.choose(loads, True) == "quiet"


def test_chooses_no_member_if_there_is_none():
    """Callers must be able to distinguish an empty group from a busy one."""
    assert placement.choose([], True) is None


def test_accepts_a_short_wait_at_a_member_of_the_same_domain():
    """Under light load, traffic between domains was the largest cost and saved only 10 ms."""
    loads = [_load("near", in_flight=2), _load("far", same_domain=False)]
    assert placement.choose(loads, True) == "near"
