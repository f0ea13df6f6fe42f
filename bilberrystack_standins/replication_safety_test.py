"""Random interleavings of fences, promotions, writes and replication among three members.

The property is that of design 2.2 and 2.3: an entry that a majority accepted in its own term stays
in the log of every later primary.
"""

import hypothesis
import hypothesis.stateful
import pytest
from hypothesis import strategies

from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.core import requests
from bilberrystack_standins import member_state
from bilberrystack_standins import statements

NAMES = ("a", "b", "c")
PROPOSERS = (0, 1)

names = strategies.sampled_from(NAMES)
proposers = strategies.sampled_from(PROPOSERS)
subsets = strategies.lists(names, unique=True, min_size=1)
SETTINGS = hypothesis.settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True, database=None
)


class Attempt:
    """What a proposer knows about its change of primary."""

    def __init__(self, term):
        self.term = term
        self.grants = {}
        self.primary = None


class Group(hypothesis.stateful.RuleBasedStateMachine):
    """Members, two proposers, and replies to pulls that are still on their way."""

    def __init__(self, member_class=member_state.MemberState):
        super().__init__()
        self.member_class = member_class
        self.journals = {name: [] for name in NAMES}
        self.members = {name: self.new_member(name) for name in NAMES}
        self.attempts = [Attempt(0) for _ in PROPOSERS]
        self.in_flight = []
        self.quorum = quorum.QuorumEvidence(NAMES)
        self.committed = []
        self.committed_term = 0
        self.primaries = {}
        self.sequence = 0

    def new_member(self, name):
        return self.member_class(name, journal=self.journals[name].append)

    def choose(self, grants):
        return max(grants, key=lambda name: grants[name])

    @hypothesis.stateful.initialize()
    def first_primary(self):
        self.fence(0, list(NAMES), fresh=True)
        self.finish(0, list(NAMES))

    @hypothesis.stateful.rule(proposer=proposers, fenced=subsets, fresh=strategies.booleans())
    def fence(self, proposer, fenced, fresh):
        term = self.attempts[proposer].term
        if fresh:
            term = max([term, *(self.members[name].promised_term for name in fenced)])
        attempt = self.attempts[proposer] = Attempt(term + 1)
        for name in fenced:
            if self.members[name].fence(attempt.term):
                attempt.grants[name] = self.members[name].last_log

    @hypothesis.stateful.rule(proposer=proposers, followers=subsets)
    def finish(self, proposer, followers):
        attempt = self.attempts[proposer]
        if attempt.primary is None and len(attempt.grants) >= quorum.majority(len(NAMES)):
            attempt.primary = self.choose(attempt.grants)
            self.members[attempt.primary].promote(attempt.term)
        if attempt.primary is not None:
            for name in followers:
                if name != attempt.primary:
                    self.members[name].follow(attempt.term, attempt.primary)

    @hypothesis.stateful.rule(name=names, repeat=strategies.booleans(), run=strategies.booleans())
    def write(self, name, repeat, run):
        primaries = [member for member in self.members.values() if member.is_primary]
        member = self.members[name]
        if primaries and not member.is_primary:
            member = primaries[0]
        self.sequence += not repeat
        key = requests.RequestKey("s", self.sequence)
        if run:
            member.write(member.promised_term, key, statements.add("n", 1))
        else:
            member.resolve(member.promised_term, key)

    @hypothesis.stateful.rule(name=names, limit=strategies.integers(1, 3))
    def pull(self, name, limit):
        replica = self.members[name]
        primary = self.members.get(replica.primary_address)
        if primary is not None:
            term, after = replica.promised_term, replica.pull_after
            reply = primary.entries_after(term, after, limit)
            self.in_flight.append((name, term, after, reply))

    @hypothesis.stateful.rule(which=strategies.integers(0, 3))
    def deliver(self, which):
        if which < len(self.in_flight):
            name, term, after, reply = self.in_flight.pop(which)
            self.members[name].append(term, after, reply, 0.0)

    @hypothesis.stateful.rule(name=names)
    def catch_up(self, name):
        replica = self.members[name]
        primary = self.members.get(replica.primary_address)
        while primary is not None and replica.last_log != primary.last_log:
            if not member_state.replicate(primary, replica, 0.0):
                break

    @hypothesis.stateful.rule(name=names)
    def restart(self, name):
        changes, self.journals[name] = self.journals[name], []
        self.members[name] = self.new_member(name)
        self.members[name].restore(changes)
        self.journals[name].extend(changes)

    @hypothesis.stateful.invariant()
    def check(self):
        self.committed_entries_stay()
        self.terms_have_one_primary()
        self.equal_positions_have_equal_prefixes()
        self.keys_are_recorded_once_and_data_follows_the_log()

    def committed_entries_stay(self):
        for member in self.members.values():
            self.quorum.record_report(member.status(0.0))
        confirmed = self.quorum.confirmed
        for member in self.members.values():
            self.extend_committed(member, confirmed)
        holders = 0
        for member in self.members.values():
            holds = member.entries[: len(self.committed)] == self.committed
            assert holds or not member.is_primary or member.promised_term < self.committed_term
            holders += holds
        assert holders >= quorum.majority(len(NAMES))

    def extend_committed(self, member, confirmed):
        entries = member.entries[: confirmed.index]
        if not entries or entries[-1].position != confirmed:
            return
        assert entries[: len(self.committed)] == self.committed[: len(entries)]
        if len(entries) > len(self.committed):
            self.committed = entries
        self.committed_term = confirmed.term

    def terms_have_one_primary(self):
        for name, member in self.members.items():
            if member.is_primary:
                assert self.primaries.setdefault(member.promised_term, name) == name

    def equal_positions_have_equal_prefixes(self):
        logs = [member.entries for member in self.members.values()]
        for one in logs:
            for other in logs:
                for index in reversed(range(min(len(one), len(other)))):
                    if one[index].position == other[index].position:
                        assert one[: index + 1] == other[: index + 1]
                        break

    def keys_are_recorded_once_and_data_follows_the_log(self):
        for member in self.members.values():
            entries = member.entries
            keys = [entry.key for entry in entries if entry.key is not None]
            assert len(keys) == len(set(keys))
            runs = sum(entry.body != b"" for entry in entries)
            reply = member.read(statements.get("n"), positions.ZERO, 0.0)
            assert statements.results(reply.body) == [runs or None]


class GrantsTwice(member_state.MemberState):
    """Grants a term that it has promised already."""

    def fence(self, term):
        return super().fence(term) or term == self.promised_term


class TakesAnyTerm(member_state.MemberState):
    """Takes entries of a primary whose term is not the promised one."""

    def append(self, term, after, pulled, now):
        self._promised, promised = pulled.term, self._promised
        try:
            return super().append(pulled.term, after, pulled, now)
        finally:
            self._promised = promised


class Forgets(member_state.MemberState):
    """Forgets on a restart what it has promised."""

    def restore(self, changes):
        super().restore(changes)
        self._promised = self.last_log.term


class FirstGrant(Group):
    """Promotes the first member that granted, whatever its log."""

    def choose(self, grants):
        return next(iter(grants))


def first_term(group):
    """Leaves a as primary with a write that b has and c lacks, held by a majority."""
    group.first_primary()
    group.write("a", repeat=False, run=True)
    group.catch_up("b")


def second_proposer_reuses_the_term(group):
    first_term(group)
    group.fence(0, ["a", "b"], fresh=True)
    group.finish(0, [])
    group.attempts[1].term = 1
    group.fence(1, ["c", "b"], fresh=False)
    group.finish(1, ["b"])


def late_reply_of_the_deposed_primary(group):
    first_term(group)
    group.catch_up("c")
    group.write("a", repeat=False, run=True)
    group.pull("c", 1)
    group.fence(0, ["b", "c"], fresh=True)
    group.finish(0, ["c"])
    group.catch_up("c")
    group.check()
    group.deliver(0)


def restart_between_two_grants(group):
    first_term(group)
    group.fence(0, ["b", "c"], fresh=True)
    group.restart("c")
    group.attempts[1].term = 1
    group.fence(1, ["a", "c"], fresh=False)
    group.finish(0, [])
    group.finish(1, [])


def shorter_log_grants_first(group):
    first_term(group)
    group.check()
    group.fence(0, ["c", "b"], fresh=True)
    group.finish(0, ["b"])


def test_entries_accepted_by_a_majority_stay():
    """Guards against acknowledged writes that a change of primary loses."""
    hypothesis.stateful.run_state_machine_as_test(Group, settings=SETTINGS)


@pytest.mark.parametrize(
    ("scenario", "naive_member", "naive_group"),
    [
        (second_proposer_reuses_the_term, GrantsTwice, Group),
        (late_reply_of_the_deposed_primary, TakesAnyTerm, Group),
        (restart_between_two_grants, Forgets, Group),
        (shorter_log_grants_first, member_state.MemberState, FirstGrant),
    ],
)
def test_property_fails_without_its_mechanism(scenario, naive_member, naive_group):
    """Guards against a property that no fault violates."""
    group = Group()
    scenario(group)
    group.check()
    naive = naive_group(naive_member)
    with pytest.raises(AssertionError):
        scenario(naive)
        naive.check()
