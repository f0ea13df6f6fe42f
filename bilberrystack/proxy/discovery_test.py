"""Tests of the interval between digest rounds."""

import pytest

from bilberrystack.core import freshness
from bilberrystack.proxy import discovery


@pytest.mark.parametrize("domains", [1, 3, 6, 11])
def test_one_lost_digest_round_stops_no_instance(domains):
    """Guards against an interval so long that one lost digest makes a configuration look stale."""
    assert 2 * discovery.digest_interval_s(domains) < freshness.MAX_CONTACT_AGE_S


def test_digests_per_second_are_bounded():
    """Guards against control traffic that grows with the number of failure domains."""
    assert discovery.digest_interval_s(3) == discovery.DIGEST_INTERVAL_S
    assert 11 / discovery.digest_interval_s(11) == discovery.MAX_DIGESTS_PER_S
