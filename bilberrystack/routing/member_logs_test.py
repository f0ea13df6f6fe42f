"""Guards against trust in the log of a member that has restarted without it."""

from bilberrystack.core import positions
from bilberrystack.routing import freshness
from bilberrystack.routing import member_logs
from bilberrystack.routing import member_view
from bilberrystack.routing import permission


class Observed:
    """The logs of two members, whose answers a test adds one second apart."""

    def __init__(self):
        self.now_s = 0.0
        self.logs = member_logs.MemberLogs()
        self.views = {}

    def answer(self, member, term, index, *, primary=False, sent_s=0.5, entry_term=None):
        self.now_s += 1.0
        position = positions.Position(entry_term or term, index)
        self.views[member] = member_view.MemberView(
            *(member, True, False, primary, term, position, self.now_s, None),
            *(self.now_s - sent_s, position, False, primary, term),
        )
        self.logs.update(list(self.views.values()), self.now_s)
        return self.logs.lost


def test_a_position_that_goes_back_shows_a_lost_log():
    """Guards against a replica that counts as one that has what it acknowledged."""
    for term, index, entry_term in ((7, 0, 1), (1, 0, 1), (7, 99, 7)):
        observed = Observed()
        assert not observed.answer("b", 7, 100)
        assert observed.answer("b", term, index, entry_term=entry_term) == {"b"}
        assert observed.answer("b", term, index, entry_term=entry_term) == {"b"}
        assert observed.logs.take_changed() == {"b": True}


def test_a_roll_back_by_a_promotion_loses_no_log():
    """Guards against replicas that don't count after each change of the primary."""
    observed = Observed()
    observed.answer("b", 7, 100)
    assert not observed.answer("b", 8, 90, entry_term=7)


def test_an_answer_that_may_be_older_shows_nothing():
    """Guards against answers that overtake each other, and against late copies."""
    observed = Observed()
    observed.answer("b", 7, 100)
    assert not observed.answer("b", 7, 99, sent_s=1.2)
    assert observed.answer("b", 7, 99) == {"b"}
    assert not observed.answer("b", 7, 101)
    assert observed.logs.take_changed() == {}


def test_a_lost_log_is_complete_again_with_what_the_primary_had_afterwards():
    """Guards against a replica that has the position shown before, but not what came after it."""
    observed = Observed()
    observed.answer("a", 7, 110, primary=True)
    observed.answer("b", 7, 100)
    observed.answer("b", 7, 0, entry_term=1)
    observed.answer("b", 7, 50)
    assert observed.answer("b", 7, 105) == {"b"}
    assert observed.answer("a", 7, 120, primary=True) == {"b"}
    assert observed.answer("b", 7, 119) == {"b"}
    assert not observed.answer("b", 7, 120)
    assert observed.logs.take_changed() == {"b": False}


def test_a_primary_that_has_lost_its_log_is_complete_once_it_leads_a_newer_term():
    """Guards against a group that never accepts the member again that it has promoted."""
    observed = Observed()
    observed.answer("a", 1, 100, primary=True)
    observed.answer("a", 1, 0, primary=True)
    assert observed.answer("a", 1, 5, primary=True) == {"a"}
    assert observed.answer("a", 2, 5, entry_term=1) == {"a"}
    assert not observed.answer("a", 3, 5, primary=True, entry_term=1)


def test_positions_in_answers_to_statements_count():
    """Guards against a busy primary, which is not asked for its status, that restarts unnoticed."""
    observed = Observed()
    observed.answer("a", 1, 0, primary=True)
    leader = permission.Leader("a", 1)
    sample = freshness.Sample(observed.now_s, positions.Position(1, 50))
    observed.logs.record_primary_position(leader, sample, observed.now_s)
    assert observed.answer("a", 1, 0, primary=True) == {"a"}


def test_a_replica_catches_up_with_a_busy_primary():
    """Guards against a replica that never counts again, since a busy primary is not asked."""
    observed = Observed()
    observed.answer("a", 7, 100, primary=True)
    observed.answer("b", 7, 100)
    observed.answer("b", 7, 0, entry_term=1)
    observed.answer("b", 7, 1)
    leader, position = permission.Leader("a", 7), positions.Position(7, 120)
    before = freshness.Sample(observed.now_s - 1.5, position)
    observed.logs.record_primary_position(leader, before, observed.now_s)
    assert observed.answer("b", 7, 120) == {"b"}
    after = freshness.Sample(observed.now_s, position)
    observed.logs.record_primary_position(leader, after, observed.now_s)
    assert not observed.answer("b", 7, 120)
