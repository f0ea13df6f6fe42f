"""Guards against more connections than a member accepts, and against owners in one place."""

import collections
import dataclasses

import pytest

from bilberrystack.routing import model
from bilberrystack.routing import owners


def _instances(number):
    return [
        model.Instance(f"proxy-{k}", "x", model.Endpoint("10.0.0.1", k), f"zone-{k % 3}")
        for k in range(number)
    ]


@pytest.mark.parametrize(("limit", "number"), [(16, 7), (55, 8), (185, 80)])
def test_all_instances_own_a_group_while_the_share_is_useful(limit, number):
    """Forwarding costs a hop that a small fleet need not pay."""
    service = model.Service("store", limit, 0)
    assert len(owners.choose(service, _instances(number))) == number


@pytest.mark.parametrize("number", [1, 2, 7, 20, 83, 300, 660])
@pytest.mark.parametrize("limit", [1, 4, 16, 38, 185])
def test_the_shares_fit_the_members_limit(limit, number):
    """Connections beyond the limit are turned away at random."""
    chosen = owners.choose(model.Service("store", limit, 0), _instances(number))
    assert chosen
    assert owners.share(limit, len(chosen)) * len(chosen) <= limit


def test_owners_are_spread_over_failure_domains():
    """The loss of one domain must leave owners in the others."""
    chosen = owners.choose(model.Service("store", 38, 0), _instances(83))
    by_domain = collections.Counter(one.failure_domain for one in chosen)
    assert max(by_domain.values()) - min(by_domain.values()) <= 1
    assert len(chosen) == 11


def test_an_instance_that_leaves_moves_few_owners():
    """A moved owner opens connections to every member anew."""
    service = model.Service("store", 38, 0)
    before = set(owners.choose(service, _instances(83)))
    after = set(owners.choose(service, _instances(82)))
    assert len(before - after) <= 1


def test_large_machines_own_groups_before_small_ones():
    """Small machines would be busy with statements that large ones run on the side."""
    service = model.Service("store", 58, 0)
    fleet = [
        dataclasses.replace(one, cores=2.15 if number < 15 else 0.516)
        for number, one in enumerate(_instances(195))
    ]
    chosen = owners.choose(service, fleet)
    assert {one.name for one in fleet[:15]} <= {one.name for one in chosen}
