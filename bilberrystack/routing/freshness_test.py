"""Guards against reads from a log that lacks commits required by the read's age or session."""

from bilberrystack.core import positions
from bilberrystack.routing import freshness


def _sample(request_sent_at_s, term, index):
    return freshness.Sample(request_sent_at_s, positions.Position(term, index))


def _history(*samples):
    history = freshness.PositionHistory()
    for sample in samples:
        history.record(sample.position.term, sample)
    return history


def test_a_read_requires_the_lowest_position_within_its_maximum_age():
    """A higher position than necessary would exclude replicas and send reads to the primary."""
    history = _history(_sample(1.0, 1, 10), _sample(2.0, 1, 20), _sample(3.0, 1, 30))
    assert history.sample_for_age(3.4, 1.5) == _sample(2.0, 1, 20)


def test_a_sample_older_than_the_maximum_age_is_not_used():
    """The read could miss a commit that was acknowledged after the sample, before the bound."""
    assert _history(_sample(1.0, 1, 10)).sample_for_age(3.0, 1.5) is None


def test_merging_keeps_a_sample_within_every_maximum_age():
    """Merging must neither age the newest sample nor give a position a later time."""
    history = freshness.PositionHistory()
    for step in range(200):
        history.record(1, _sample(step * 0.01, 1, step))
    sample = history.sample_for_age(1.99, 1.0)
    assert sample is not None
    assert 0.99 <= sample.request_sent_at_s <= 0.99 + 2 * freshness.MIN_SAMPLE_INTERVAL_S
    assert history.newest_sample() == _sample(1.99, 1, 199)


def test_a_new_term_drops_positions_that_a_promotion_truncated():
    """No log contains such a position, so that every member would reject the read as behind."""
    history = _history(_sample(1.0, 1, 50))
    last_write = freshness.LastWritePosition(1, _sample(1.0, 1, 50))
    history.record(2, _sample(2.0, 1, 40))
    assert history.sample_for_age(2.1, 1.5) == _sample(2.0, 1, 40)
    assert history.sample_for_last_write(last_write) == _sample(2.0, 1, 40)


def test_a_last_write_of_a_newer_term_has_no_position_yet():
    """A log at a position of the older term would lack the session's write."""
    history = _history(_sample(1.0, 1, 50))
    assert (
        history.sample_for_last_write(freshness.LastWritePosition(2, _sample(2.0, 2, 51))) is None
    )


def test_a_late_answer_does_not_replace_a_newer_sample():
    """Guards against answers on two connections that arrive out of order."""
    history = _history(_sample(2.0, 1, 20))
    history.record(1, _sample(1.0, 1, 10))
    history.record(0, _sample(3.0, 0, 99))
    assert history.newest_sample() == _sample(2.0, 1, 20)
