"""Guards against lag estimates that exclude caught-up replicas or send reads to lagging ones."""

from bilberrystack.routing import replica_lag

# Largest maximum age of reads on the users' sites, in seconds.
MAX_AGE_S = 2.5


def test_a_replica_that_fell_behind_is_tried_again():
    """Two replicas that had caught up received no reads for 20 s, which overloaded the primary."""
    estimate = replica_lag.LagEstimate()
    estimate.record_missing(MAX_AGE_S, 100.0)
    assert estimate.seconds(100.0) > MAX_AGE_S
    assert estimate.seconds(101.0) < MAX_AGE_S


def test_a_second_missing_position_does_not_lower_the_estimate():
    """A missing position of a smaller age must not replace the larger estimate."""
    estimate = replica_lag.LagEstimate()
    estimate.record_missing(2.0, 100.0)
    estimate.record_missing(1.0, 100.1)
    assert estimate.seconds(100.1) > 2.0


def test_served_reads_lower_the_estimate():
    """Guards against an estimate that stays high although the replica serves reads again."""
    estimate = replica_lag.LagEstimate()
    estimate.record_missing(2.0, 100.0)
    for _ in range(100):
        estimate.record_present(100.0)
    assert estimate.seconds(100.0) < 0.4


def test_a_replica_without_a_missing_position_is_not_behind():
    """Guards against a new replica that receives no reads at first."""
    assert replica_lag.LagEstimate().seconds(5.0) == 0.0
