"""Guards against reads of a log that lacks what the read's age or session promises."""

from bilberrystack.core import positions
from bilberrystack.routing import freshness


def _sample(asked_at_s, term, index):
    return freshness.Sample(asked_at_s, positions.Position(term, index))


def _history(*samples):
    history = freshness.History()
    for one in samples:
        history.record(one.position.term, one)
    return history


def test_needs_the_lowest_position_inside_the_age():
    """A higher position than needed would send reads to the primary."""
    history = _history(_sample(1.0, 1, 10), _sample(2.0, 1, 20), _sample(3.0, 1, 30))
    assert history.needed_for_age(3.4, 1.5) == _sample(2.0, 1, 20)


def test_a_sample_older_than_the_age_covers_nothing():
    """A commit acknowledged after the sample and before the bound would be missed."""
    assert _history(_sample(1.0, 1, 10)).needed_for_age(3.0, 1.5) is None


def test_merging_keeps_an_instant_inside_every_age():
    """Merged samples must not make the newest one look older or a position younger."""
    history = freshness.History()
    for step in range(200):
        history.record(1, _sample(step * 0.01, 1, step))
    needed = history.needed_for_age(1.99, 1.0)
    assert needed is not None
    assert 0.99 <= needed.asked_at_s <= 0.99 + 2 * freshness.SAMPLE_GAP_S
    assert history.newest() == _sample(1.99, 1, 199)


def test_a_new_term_drops_positions_that_a_promotion_cut_off():
    """A position beyond the cut exists nowhere: every read of it would end as behind."""
    history = _history(_sample(1.0, 1, 50))
    mark = freshness.Mark(1, _sample(1.0, 1, 50))
    history.record(2, _sample(2.0, 1, 40))
    assert history.needed_for_age(2.1, 1.5) == _sample(2.0, 1, 40)
    assert history.needed_for_mark(mark) == _sample(2.0, 1, 40)


def test_a_mark_of_a_newer_term_has_no_position_yet():
    """A position of the older term would not have the session's write."""
    history = _history(_sample(1.0, 1, 50))
    assert history.needed_for_mark(freshness.Mark(2, _sample(2.0, 2, 51))) is None


def test_a_late_answer_does_not_take_the_history_back():
    """Answers arrive out of order when two connections carry them."""
    history = _history(_sample(2.0, 1, 20))
    history.record(1, _sample(1.0, 1, 10))
    history.record(0, _sample(3.0, 0, 99))
    assert history.newest() == _sample(2.0, 1, 20)
