"""Tests how long members whose records have left the store are retained around a stall."""

from bilberrystack.pooling import member_records
from bilberrystack.routing import model
from bilberrystack.routing import running_time

MEMBER = model.Member(
    "a", "store", model.Endpoint("127.0.0.1", 1), "a", 4, False, model.Role.PRIMARY, 1
)


class _Cache:
    """A cache with the record of one member."""

    def __init__(self):
        self.items = {"a": MEMBER}
        self.era = 1
        self.store_lost = False


class _Observed:
    """Records on a clock that a test advances, and whose process can stand still."""

    def __init__(self):
        self.now_s = 100.0
        self.cache = _Cache()
        self.running = running_time.RunningTime()
        self.records = member_records.MemberRecords(self.cache, lambda: self.now_s, self.running)
        self.records.refresh()

    def advance(self, seconds):
        for _ in range(round(seconds / 0.25)):
            self.now_s += 0.25
            self.running.count_until(self.now_s)
            self.records.refresh()
        return {member.id for member in self.records.members}

    def stall(self, seconds):
        self.running.record_stall(self.now_s, self.now_s + seconds)
        self.now_s += seconds
        self.records.refresh()
        return {member.id for member in self.records.members}


def test_a_member_is_retained_while_the_process_stands_still():
    """A primary was removed whose record had been back before the process could read it."""
    observed = _Observed()
    observed.cache.items = {}
    assert observed.advance(2.5) == {"a"}
    assert observed.stall(2.5) == {"a"}
    observed.cache.items = {"a": MEMBER}
    assert observed.advance(5.0) == {"a"}


def test_a_member_that_has_left_is_removed_in_time_after_a_stall():
    """Guards against statements to a member later than 7 s after it has left."""
    observed = _Observed()
    observed.cache.items = {}
    observed.advance(1.0)
    assert observed.stall(5.5) == set()


def test_a_member_whose_record_stays_away_is_removed():
    """Guards against members that are retained for good."""
    observed = _Observed()
    observed.cache.items = {}
    assert observed.advance(member_records.MISSING_MEMBER_RETENTION_S) == {"a"}
    assert observed.advance(0.5) == set()
