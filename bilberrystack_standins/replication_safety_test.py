"""Random interleavings of fences, promotions, writes and replication among three members.

The property (design 2.2 and 2.3): an entry that a majority accepted in the term of the entry stays
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


class PrimaryChangeAttempt:
    """A proposer's knowledge about its primary change."""

    def __init__(self, term):
        self.term = term
        self.grants = {}
        self.primary = None


class Group(hypothesis.stateful.RuleBasedStateMachine):
    """Members, two proposers, and replies to pulls that have not been delivered yet."""

    def __init__(self, member_class=member_state.MemberState):
        super().__init__()
        self.member_class = member_class
        self.journals = {name: [] for name in NAMES}
        self.members = {name: self.new_member(name) for name in NAMES}
        self.attempts = [PrimaryChangeAttempt(0) for _ in PROPOSERS]
        self.pending_replies = []
        self.quorum = quorum.QuorumEvidence(NAMES)
        self.committed = []
        self.committed_term = 0
        self.primary_by_term = {}
        self.sequence = 0

    def new_member(self, name):
        return self.member_class(name, journal=self.journals[name].append)

    def choose_candidate(self, grants):
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
        attempt = self.attempts[proposer] = PrimaryChangeAttempt(term + 1)
        for name in fenced:
            if self.members[name].fence(attempt.term):
                attempt.grants[name] = self.members[name].last_log

    @hypothesis.stateful.rule(proposer=proposers, followers=subsets)
    def finish(self, proposer, followers):
        attempt = self.attempts[proposer]
        if attempt.primary is None and len(attempt.grants) >= quorum.majority(len(NAMES)):
            attempt.primary = self.choose_candidate(attempt.grants)
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
            term, after_position = replica.promised_term, replica.pull_position
            reply = primary.entries_after(term, after_position, limit)
            self.pending_replies.append((name, term, after_position, reply))

    @hypothesis.stateful.rule(reply_index=strategies.integers(0, 3))
    def deliver(self, reply_index):
        if reply_index < len(self.pending_replies):
            name, term, after_position, reply = self.pending_replies.pop(reply_index)
            self.members[name].accept_pull_result(term, after_position, reply, 0.0)

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
        members_with_entries = 0
        for member in self.members.values():
            has_committed = member.entries[: len(self.committed)] == self.committed
            assert (
                has_committed or not member.is_primary or member.promised_term < self.committed_term
            )
            members_with_entries += has_committed
        assert members_with_entries >= quorum.majority(len(NAMES))

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
                assert self.primary_by_term.setdefault(member.promised_term, name) == name

    def equal_positions_have_equal_prefixes(self):
        logs = [member.entries for member in self.members.values()]
        for log in logs:
            for other in logs:
                for index in reversed(range(min(len(log), len(other)))):
                    if log[index].position == other[index].position:
                        assert log[: index + 1] == other[: index + 1]
                        break

    def keys_are_recorded_once_and_data_follows_the_log(self):
        for member in self.members.values():
            entries = member.entries
            keys = [entry.key for entry in entries if entry.key is not None]
            assert len(keys) == len(set(keys))
            execution_count = sum(entry.body != b"" for entry in entries)
            reply = member.read(statements.get("n"), positions.ZERO, 0.0)
            assert statements.decode_results(reply.body) == [execution_count or None]


class PromisesTermAgain(member_state.MemberState):
    """Promises a term that it has promised already."""

    def fence(self, term):
        return super().fence(term) or term == self.promised_term


class AcceptsAnyTerm(member_state.MemberState):
    """Accepts entries of a primary whose term is not the promised one."""

    def accept_pull_result(self, term, after_position, pull_result, now):
        self._promised_term, promised = pull_result.term, self._promised_term
        try:
            return super().accept_pull_result(pull_result.term, after_position, pull_result, now)
        finally:
            self._promised_term = promised


class ForgetsPromisedTerm(member_state.MemberState):
    """Loses its promised term at a restart."""

    def restore(self, changes):
        super().restore(changes)
        self._promised_term = self.last_log.term


class PromotesFirstGrant(Group):
    """Promotes the first member that promised the term, regardless of its log."""

    def choose_candidate(self, grants):
        return next(iter(grants))


def first_term(group):
    """Makes a the primary with a write that b has but c lacks, so that a majority has it."""
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


def delayed_reply_of_the_former_primary(group):
    first_term(group)
    group.catch_up("c")
    group.write("a", repeat=False, run=True)
    group.pull("c", 1)
    group.fence(0, ["b", "c"], fresh=True)
    group.finish(0, ["c"])
    group.catch_up("c")
    group.check()
    group.deliver(0)


def restart_between_two_promises(group):
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
    """Guards against acknowledged writes that are lost in a primary change."""
    hypothesis.stateful.run_state_machine_as_test(Group, settings=SETTINGS)


@pytest.mark.parametrize(
    ("scenario", "naive_member", "naive_group"),
    [
        (second_proposer_reuses_the_term, PromisesTermAgain, Group),
        (delayed_reply_of_the_former_primary, AcceptsAnyTerm, Group),
        (restart_between_two_promises, ForgetsPromisedTerm, Group),
        (shorter_log_grants_first, member_state.MemberState, PromotesFirstGrant),
    ],
)
def test_property_fails_without_its_mechanism(scenario, naive_member, naive_group):
    """Guards against a property that holds even for faulty members and groups."""
    group = Group()
    scenario(group)
    group.check()
    naive = naive_group(naive_member)
    with pytest.raises(AssertionError):
        scenario(naive)
        naive.check()
