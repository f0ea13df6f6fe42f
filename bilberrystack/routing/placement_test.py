"""Guards against statements that wait at a busy member while another one is free."""

from bilberrystack.routing import placement


def _load(member, **changes):
    values = {
        "slots": 2,
        "in_flight": 0,
        "others": 0.0,
        "service_s": 0.02,
        "near": True,
        "primary": False,
    }
    return placement.Load(member=member, **(values | changes))


def test_prefers_the_near_member_while_it_is_free():
    """Bytes between failure domains are paid for."""
    assert placement.choose([_load("far", near=False), _load("near")], True) == "near"


def test_leaves_a_full_near_member_for_a_free_far_one():
    """A round trip of 1 ms is less than a wait for a slot."""
    loads = [_load("near", in_flight=4), _load("far", near=False)]
    assert placement.choose(loads, True) == "far"


def test_spares_the_primary_until_replicas_are_long():
    """Writes have nowhere else to go."""
    idle = _load("primary", primary=True)
    assert placement.choose([idle, _load("replica", in_flight=2)], True) == "replica"
    assert placement.choose([idle, _load("replica", in_flight=8)], True) == "primary"


def test_counts_what_other_instances_have_there():
    """Own requests alone say little about a member that all instances share."""
    loads = [_load("crowded", others=6.0), _load("quiet", near=False)]
    assert placement.choose(loads, True) == "quiet"


def test_chooses_nobody_from_nobody():
    """An empty group must be told from a busy one."""
    assert placement.choose([], True) is None


def test_waits_a_little_for_a_near_member():
    """Bytes between failure domains were the largest price of a calm day, to save 10 ms."""
    loads = [_load("near", in_flight=2), _load("far", near=False)]
    assert placement.choose(loads, True) == "near"
