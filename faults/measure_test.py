"""Guards the targets of design 1.3 with a few seeds; `make measure` measures them."""

import pytest

from faults import measure


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("kind", "target_s"), [("isolated", 1.0), ("isolated, store down", 1.0), ("planned", 0.05)]
)
def test_interruption_by_a_change_of_primary_is_within_its_target(kind, target_s, seed):
    gap = measure.measure_gap("sierra", kind, seed)
    assert gap.duration_s is not None and gap.duration_s <= target_s
    assert gap.violation_count == 0


@pytest.mark.parametrize(
    ("lag", "lag_s", "target"), [("apply", 0.05, 0.95), ("receive", 0.05, 0.95), ("one", 30, 0.8)]
)
def test_replicas_serve_their_share_of_reads_without_stale_reads(lag, lag_s, target):
    figures = measure.measure_reads("addis", lag, lag_s, measure.PRODUCT)
    assert figures.read_count > 1000
    assert figures.replica_share >= target
    assert figures.violation_count == 0


def test_pause_shorter_than_the_detection_time_changes_no_primary():
    pauses, changes, violations = measure.count_false_failovers("addis", 1)
    assert (pauses, changes, violations) == (measure.PAUSES_PER_RUN, 0, 0)
