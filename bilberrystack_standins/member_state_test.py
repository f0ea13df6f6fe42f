"""Tests of the member state machine."""

import pytest

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack_standins import member_state
from bilberrystack_standins import replicated_log
from bilberrystack_standins import statements

Refusal = members.Refusal


def key(sequence, session="s"):
    return requests.RequestKey(session, sequence)


def new_primary(name="a", term=1):
    member = member_state.MemberState(name)
    assert member.fence(term)
    assert member.promote(term)
    return member


def new_replica(name, term=1, address="a", **settings):
    member = member_state.MemberState(name, **settings)
    assert member.follow(term, address)
    return member


def add(member, term, sequence, amount=1, name="n"):
    return member.write(term, key(sequence), statements.add(name, amount))


def value(member, name="n", now=0.0):
    reply = member.read(statements.get(name), positions.ZERO, now)
    return statements.decode_results(reply.body)[0]


def refusal(reply):
    assert isinstance(reply, members.Refused), reply
    return reply.refusal


def replicate_all(primary, replica, now=0.0, limit=512):
    while replica.last_log != primary.last_log:
        assert member_state.replicate(primary, replica, now, limit)


def test_term_is_granted_once():
    """Guards against a member that promises the same term to two proposers."""
    member = member_state.MemberState("a")
    assert member.fence(3)
    assert not member.fence(3)
    assert not member.fence(2)
    assert member.promised_term == 3


def test_term_learned_by_following_is_not_granted():
    """Guards against granting a term that already has a primary."""
    member = new_replica("b", term=3)
    assert not member.fence(3)


def test_fenced_primary_refuses_writes_and_aborts_its_transactions():
    """Guards against a fenced primary that still accepts writes or commits."""
    member = new_primary()
    member.begin(1, 1)
    member.statement(1, statements.put("x", 1))
    assert member.fence(2)
    assert refusal(add(member, 1, 1)) == Refusal.STALE_TERM
    assert refusal(add(member, 2, 1)) == Refusal.NOT_PRIMARY
    assert refusal(member.commit(1, key(1))) == Refusal.NO_TRANSACTION
    assert value(member, "x") is None


def test_only_the_promised_term_is_promoted():
    """Guards against a second primary in a term, or one in a term that was not granted."""
    member = member_state.MemberState("a")
    member.fence(2)
    assert not member.promote(1)
    assert not member.promote(3)
    assert member.promote(2)
    assert member.promote(2)
    assert member.last_log == positions.Position(2, 1)
    assert not new_replica("b", term=2).promote(2)


def test_follow_keeps_the_primary_of_the_same_term():
    """Guards against a delayed follow message that demotes the primary of the same term."""
    member = new_primary()
    assert not member.follow(1, "b")
    assert member.is_primary
    assert member.follow(2, "b")
    assert not member.is_primary
    assert not member.follow(1, "a")
    assert member.primary_address == "b"


def test_recorded_key_returns_its_answer_without_execution():
    """Guards against a write that is executed twice."""
    member = new_primary()
    first = add(member, 1, 1)
    add(member, 1, 2)
    again = add(member, 1, 1)
    assert again == members.Executed(first.body, member.last_log, True, 1)
    assert value(member) == 2


def test_records_survive_a_primary_change():
    """Guards against records that exist only at the primary that executed the request."""
    old = new_primary()
    add(old, 1, 1)
    old.resolve(1, key(2))
    new = new_replica("b")
    replicate_all(old, new)
    new.fence(2)
    new.promote(2)
    again = add(new, 2, 1)
    assert again.duplicate
    assert again.position == new.last_log
    assert refusal(add(new, 2, 2)) == Refusal.CANCELLED
    assert value(new) == 1


def test_cancelled_key_is_refused():
    """Guards against a delayed duplicate that is executed after its key was cancelled."""
    member = new_primary()
    resolved = member.resolve(1, key(1))
    assert refusal(resolved) == Refusal.CANCELLED
    assert resolved.position == member.last_log
    assert refusal(add(member, 1, 1)) == Refusal.CANCELLED
    add(member, 1, 2)
    again = member.resolve(1, key(1))
    assert refusal(again) == Refusal.CANCELLED
    assert again.position == member.last_log
    assert [entry.cancelled for entry in member.entries] == [False, True, False]
    assert value(member) == 1


def test_resolve_of_an_executed_key_returns_its_answer():
    """Guards against cancelling a request that was executed."""
    member = new_primary()
    first = add(member, 1, 1)
    resolved = member.resolve(1, key(1))
    assert resolved == members.Executed(first.body, first.position, True, 1)


def test_keys_with_dropped_records_are_too_old():
    """Guards against repeating a request whose record has been dropped."""
    member = new_primary()
    for sequence in range(1, replicated_log.RECORDS_PER_SESSION + 2):
        add(member, 1, sequence)
    assert refusal(add(member, 1, 1)) == Refusal.KEY_TOO_OLD
    assert refusal(member.resolve(1, key(1))) == Refusal.KEY_TOO_OLD
    assert add(member, 1, 2).duplicate
    assert value(member) == replicated_log.RECORDS_PER_SESSION + 1


def test_first_committer_wins():
    """Guards against lost updates between transactions."""
    member = new_primary()
    for connection in (1, 2):
        member.begin(connection, 1)
        member.statement(connection, statements.add("n", 1))
    assert value(member) is None
    assert isinstance(member.commit(1, key(1)), members.Executed)
    assert refusal(member.commit(2, key(2))) == Refusal.CONFLICT
    assert refusal(member.commit(2, key(2))) == Refusal.NO_TRANSACTION
    assert value(member) == 1
    assert member.entries[-1].key == key(1)


def test_transaction_conflicts_on_a_key_that_it_read():
    """Guards against write skew: a commit that depends on a value changed since its read."""
    member = new_primary()
    member.begin(1, 1)
    member.statement(1, statements.get("n"))
    member.statement(1, statements.put("copy", 0))
    add(member, 1, 1)
    assert statements.decode_results(member.statement(1, statements.get("n")).body) == [None]
    assert refusal(member.commit(1, key(2))) == Refusal.CONFLICT
    assert value(member, "copy") is None


def test_closed_connection_aborts_its_transaction():
    """Guards against a transaction that stays open after its connection is closed."""
    member = new_primary()
    member.begin(1, 1)
    member.statement(1, statements.put("x", 1))
    member.connection_closed(1)
    assert refusal(member.commit(1, key(1))) == Refusal.NO_TRANSACTION
    assert refusal(member.abort(1)) == Refusal.NO_TRANSACTION


def test_commit_is_resolved_by_its_key():
    """Guards against a commit whose key is not recorded with its writes."""
    member = new_primary()
    member.begin(1, 1)
    member.statement(1, statements.put("x", 1))
    member.statement(1, statements.append("l", "e"))
    done = member.commit(1, key(1))
    assert member.resolve(1, key(1)) == members.Executed(done.body, done.position, True, 1)
    replica = new_replica("b")
    replicate_all(member, replica)
    assert (value(replica, "x"), value(replica, "l")) == (1, ["e"])


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'[{"op":"drop","key":"n"}]', statements.append("n", 1)]
)
def test_invalid_statement_changes_nothing(body):
    """Guards against a partially executed statement that is reported as not run."""
    member = new_primary()
    add(member, 1, 1)
    before = member.last_log
    combined = body if not body.startswith(b"[") else statements.put("x", 1)[:-1] + b"," + body[1:]
    assert refusal(member.write(1, key(2), combined)) == Refusal.INVALID_STATEMENT
    assert member.last_log == before
    assert value(member, "x") is None
    assert not add(member, 1, 2).duplicate


def test_read_must_not_write():
    """Guards against writes that a replica executes outside the log."""
    reply = new_primary().read(statements.put("x", 1), positions.ZERO, 0.0)
    assert refusal(reply) == Refusal.INVALID_STATEMENT


def test_apply_lag_delays_visibility_but_not_receipt():
    """Guards against replicas whose reads see an entry before its apply lag has elapsed."""
    source = new_primary()
    add(source, 1, 1)
    replica = new_replica("b", apply_lag_s=2.0)
    replicate_all(source, replica, now=10.0)
    assert replica.last_log == source.last_log
    assert replica.status(11.9).applied == positions.ZERO
    assert replica.next_apply_at == 12.0
    min_position = source.last_log
    assert refusal(replica.read(statements.get("n"), min_position, 11.9)) == Refusal.BEHIND
    reply = replica.read(statements.get("n"), min_position, 12.0)
    assert (statements.decode_results(reply.body), reply.position) == ([1], min_position)


def test_divergent_suffix_is_discarded_and_counted():
    """Guards against a former primary that keeps or applies entries that no other member has."""
    old = new_primary()
    add(old, 1, 1)
    new = new_replica("b")
    replicate_all(old, new)
    for sequence in range(2, 42):
        add(old, 1, sequence)
    new.fence(2)
    new.promote(2)
    add(new, 2, 100, amount=10)
    assert old.follow(2, "b")
    replicate_all(new, old, limit=1)
    assert old.entries == new.entries
    assert old.status(0.0).discarded_entries == 40
    assert value(old) == 11
    assert old.status(0.0).previous_term_end == positions.Position(1, 2)
    old.fence(3)
    old.promote(3)
    assert add(old, 3, 1).duplicate
    assert not add(old, 3, 2).duplicate


def test_suffix_not_yet_applied_is_discarded():
    """Guards against applying entries that were discarded during their apply lag."""
    old = new_primary()
    replica = new_replica("b", apply_lag_s=5.0)
    replicate_all(old, replica)
    new = new_replica("c")
    replicate_all(old, new)
    add(old, 1, 1)
    replicate_all(old, replica, now=1.0)
    new.fence(2)
    new.promote(2)
    add(new, 2, 2, amount=10)
    replica.follow(2, "c")
    replicate_all(new, replica, now=2.0)
    assert replica.status(7.0).applied == new.last_log
    assert value(replica, now=7.0) == 10


def test_reply_of_an_older_term_is_refused():
    """Guards against entries from a primary whose term is no longer the promised one."""
    source = new_primary()
    replica = new_replica("b")
    position = replica.pull_position
    pull_result = source.entries_after(1, position)
    replica.fence(2)
    assert not replica.accept_pull_result(1, position, pull_result, 0.0)
    assert not replica.accept_pull_result(2, position, pull_result, 0.0)
    assert not source.entries_after(2, position).accepted


def test_restart_keeps_promised_term_log_and_records():
    """Guards against a restarted member that promises a term again or loses a record."""
    changes = []
    member = member_state.MemberState("a", journal=changes.append)
    member.fence(4)
    member.promote(4)
    first = add(member, 4, 1)
    restarted = member_state.MemberState("a")
    restarted.restore(changes)
    assert not restarted.fence(4)
    assert not restarted.promote(4)
    assert not restarted.is_primary
    assert restarted.entries == member.entries
    restarted.fence(5)
    restarted.promote(5)
    assert add(restarted, 5, 1).body == first.body


def test_contact_is_reported_until_the_next_fence():
    """Guards against replicas that report a contact with a primary that was replaced."""
    source = new_primary()
    replica = new_replica("b")
    assert replica.status(0.0).primary_contact_s is None
    member_state.replicate(source, replica, 1.0)
    assert replica.status(1.5).primary_contact_s == 0.5
    replica.fence(2)
    assert replica.status(1.5).primary_contact_s is None
