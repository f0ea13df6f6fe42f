"""Shows that the checks find the violation of each guarantee in a trace made by hand."""

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server
from soak import account
from soak import history


def _statement(number, text, **fields):
    statement = history.Statement(f"q{number}", text, text, sent_at_s=1.0)
    statement.answered_at_s = 1.1
    statement.proof = f"proof-a-q{number}"
    for name, value in fields.items():
        setattr(statement, name, value)
    return statement


def _operation(
    *statements, database="strict", is_transaction=False, started_at_s=1.0, session_number=1
):
    return history.Operation(
        session_number, database, "proxy-0", {}, started_at_s, is_transaction, list(statements)
    )


def _executed(number, text, **fields):
    defaults = {
        "member_id": "a",
        "request_id": f"q{number}",
        "text": text,
        "session_values": {},
        "connection_number": 1,
        "in_transaction": False,
        "log": [],
        "applied_count": 0,
        "executed_at_s": 1.0,
    }
    return line_group.ExecutedStatement(**(defaults | fields))


def _trace(operations, executed_statements, **fields):
    defaults = {
        "commit_counts": {},
        "committed_entries": [],
        "final_log": [],
        "promotion_requests": [],
    }
    return account.Trace(
        operations=operations, executed_statements=executed_statements, **(defaults | fields)
    )


def _commit(number, newer_primary_existed=False, committed_at_s=0.0, term=1):
    return line_group.CommittedEntry(
        term=term,
        index=number,
        writes=(("x", "1"),),
        request_id=f"q{number}",
        newer_primary_existed=newer_primary_existed,
        member_id="a",
        committed_at_s=committed_at_s,
    )


WRITE, READ = "WRITE x 1", "READ x"


def test_valid_trace_has_no_violation():
    """Guards against checks that report a violation in every trace."""
    entry = _commit(1)
    write, read = _statement(1, WRITE), _statement(2, READ, rows=("1",))
    executed_statements = [_executed(1, WRITE), _executed(2, READ, log=[entry], applied_count=1)]
    operations = [_operation(write), _operation(read, started_at_s=2.0)]
    trace = _trace(
        operations,
        executed_statements,
        commit_counts={"q1": 1},
        committed_entries=[entry],
        final_log=[entry],
    )
    assert account.check(trace) == []


def _trace_with_stale_read():
    entry = _commit(1)
    write, read = _statement(1, WRITE), _statement(2, READ, rows=("-",))
    return _trace(
        [_operation(write), _operation(read, started_at_s=2.0)],
        [_executed(1, WRITE), _executed(2, READ, log=[entry], applied_count=0)],
        commit_counts={"q1": 1},
        committed_entries=[entry],
        final_log=[entry],
    )


def _trace_with_foreign_statement_in_transaction():
    transaction = _operation(
        _statement(1, READ, rows=("-",)), _statement(3, "COMMIT"), is_transaction=True
    )
    single_read = _operation(_statement(2, READ, rows=("-",)))
    executed_statements = [
        _executed(1, READ, in_transaction=True),
        _executed(2, READ),
        _executed(3, "COMMIT", in_transaction=True),
    ]
    return _trace([transaction, single_read], executed_statements)


# A trace that violates the guarantee, by guarantee.
VIOLATING_TRACES = {
    "a write is committed at most once": _trace(
        [_operation(_statement(1, WRITE))], [_executed(1, WRITE)], commit_counts={"q1": 2}
    ),
    "a rejected statement is not committed": _trace(
        [_operation(_statement(1, WRITE, proof="", error_code="BUSY"))],
        [_executed(1, WRITE)],
        commit_counts={"q1": 1},
    ),
    "a reply matches the member's execution": _trace(
        [_operation(_statement(1, READ, rows=("2",)))], [_executed(1, READ)]
    ),
    "a replaced primary acknowledges no write": _trace(
        [_operation(_statement(1, WRITE))],
        [_executed(1, WRITE)],
        committed_entries=[_commit(1, newer_primary_existed=True)],
    ),
    "a member that leaves is out of use in time": _trace(
        [_operation(_statement(1, WRITE))],
        [_executed(1, WRITE, executed_at_s=17.5)],
        departures=[account.Departure("a", 10.0, 19.0)],
        disturbances={"proxy-1": [(10.0, 19.0)]},
    ),
    "members execute only what clients sent": _trace([], [_executed(1, READ)]),
    "an acknowledged commit survives a promotion": _trace(
        [_operation(_statement(1, WRITE))],
        [_executed(1, WRITE)],
        committed_entries=[_commit(1)],
        synchronous=True,
    ),
    "an acknowledged prepared statement is known": _trace(
        [_operation(_statement(1, "EXEC p x", proof="", error_code="NOSTMT"))], []
    ),
    "a prepared statement keeps its shape": _trace(
        [
            _operation(
                _statement(1, "EXEC p x", expected_text=READ, rows=("-",), expected_shape="s")
            )
        ],
        [_executed(1, READ, shape="other")],
    ),
    "a session keeps its values": _trace(
        [_operation(_statement(1, READ, rows=("-",)))],
        [_executed(1, READ, session_values={"v": "other"})],
    ),
    "transactions do not interleave": _trace_with_foreign_statement_in_transaction(),
    "a transaction keeps its connection": _trace(
        [
            _operation(
                _statement(1, READ, rows=("-",)),
                _statement(2, READ, rows=("-",)),
                is_transaction=True,
            )
        ],
        [
            _executed(1, READ, in_transaction=True),
            _executed(2, READ, in_transaction=True, connection_number=2),
        ],
    ),
    "a read is as fresh as its database guarantees": _trace_with_stale_read(),
    "fencing tokens never decrease": _trace(
        [],
        [],
        promotion_requests=[
            platform_server.PromotionRequest("s", "a", "one", 2),
            platform_server.PromotionRequest("s", "a", "two", 1),
        ],
    ),
    "a fencing token has one coordinator": _trace(
        [],
        [],
        promotion_requests=[
            platform_server.PromotionRequest("s", "a", "one", 2),
            platform_server.PromotionRequest("s", "a", "two", 2),
        ],
    ),
    "a leaving member gets no new statement": _trace(
        [_operation(_statement(1, READ, rows=("-",)))],
        [_executed(1, READ, executed_at_s=9.0)],
        leaving_since_s={"a": 1.0},
        planned_only=True,
    ),
    "planned work interrupts no statement": _trace(
        [_operation(_statement(1, WRITE, proof="", answered_at_s=None, disconnected_at_s=1.05))],
        [_executed(1, WRITE)],
        planned_only=True,
    ),
}


@pytest.mark.parametrize("guarantee", VIOLATING_TRACES)
def test_violation_of_a_guarantee_is_found(guarantee):
    """Guards against a check that misses the violation of its guarantee."""
    assert guarantee in {
        violation.guarantee for violation in account.check(VIOLATING_TRACES[guarantee])
    }


def _trace_of_read(rows, written="w1\nROW w2"):
    """Return a trace with a write of the data and a read with these rows."""
    entry = line_group.CommittedEntry(1, 1, (("x", written),), "q1")
    read = _statement(2, READ, rows=rows)
    executed_statements = [
        _executed(1, f"WRITE x {written}"),
        _executed(2, READ, log=[entry], applied_count=1),
    ]
    return _trace(
        [_operation(_statement(1, f"WRITE x {written}")), _operation(read, started_at_s=2.0)],
        executed_statements,
        commit_counts={"q1": 1},
        committed_entries=[entry],
        final_log=[entry],
    )


def test_data_with_line_feeds_violate_no_guarantee():
    """Guards against checks that take a line feed in data for the end of a line."""
    assert account.check(_trace_of_read(("w1\nROW w2",))) == []


def _trace_of_read_with_varied_rows(rows):
    """Return a trace with a read of an item that has three rows."""
    trace = _trace_of_read(rows, "w1")
    trace.varied_rows = True
    return trace


def test_several_rows_violate_no_guarantee():
    """Guards against a check that expects one row for each read."""
    assert account.check(_trace_of_read_with_varied_rows(("w1", "w1+", "w1++"))) == []


SENT = "WRITE x w1\nQUERY q2 WRITE y 2"
REPLY, STATEMENT = (
    "a reply matches the member's execution",
    "members execute only what clients sent",
)

# Traces in which an answer was changed or belongs to another statement, or in which a statement
# nobody sent was executed, with the only guarantee that each violates.
WRONG_ANSWERS_AND_STATEMENTS = {
    "row cut at a line feed": (REPLY, _trace_of_read(("w1",))),
    "row taken for two": (REPLY, _trace_of_read(("w1", "w2"))),
    "row without its carriage return": (REPLY, _trace_of_read(("w1",), "w1\r")),
    "no row": (REPLY, _trace_of_read(())),
    "row sent twice": (REPLY, _trace_of_read(("w1\nROW w2", "w1\nROW w2"))),
    "row missing at the end": (REPLY, _trace_of_read_with_varied_rows(("w1", "w1+"))),
    "row missing at the start": (REPLY, _trace_of_read_with_varied_rows(("w1+", "w1++"))),
    "all rows missing": (REPLY, _trace_of_read_with_varied_rows(())),
    "row of a write": (
        REPLY,
        _trace([_operation(_statement(1, WRITE, rows=("1",)))], [_executed(1, WRITE)]),
    ),
    "row of a commit": (
        REPLY,
        _trace(
            [_operation(_statement(1, "COMMIT", rows=("1",)), is_transaction=True)],
            [_executed(1, "COMMIT", in_transaction=True)],
        ),
    ),
    "success without a proof": (
        REPLY,
        _trace([_operation(_statement(1, WRITE, proof="-"))], [_executed(1, WRITE)]),
    ),
    "proof of another statement": (
        REPLY,
        _trace([_operation(_statement(1, WRITE, proof="proof-a-q0"))], [_executed(1, WRITE)]),
    ),
    "proof of another member": (
        REPLY,
        _trace([_operation(_statement(1, WRITE, proof="proof-b-q1"))], [_executed(1, WRITE)]),
    ),
    "success without an execution": (REPLY, _trace([_operation(_statement(1, WRITE))], [])),
    "statement cut at a line feed": (
        STATEMENT,
        _trace([_operation(_statement(1, SENT))], [_executed(1, "WRITE x w1")]),
    ),
    "statement hidden in data": (
        STATEMENT,
        _trace([_operation(_statement(1, SENT))], [_executed(1, SENT), _executed(2, "WRITE y 2")]),
    ),
    "statement without its carriage return": (
        STATEMENT,
        _trace([_operation(_statement(1, "WRITE x w1\r"))], [_executed(1, "WRITE x w1")]),
    ),
}


@pytest.mark.parametrize("name", WRONG_ANSWERS_AND_STATEMENTS)
def test_wrong_answers_and_statements_nobody_sent_are_found(name):
    """Guards against a check that passes over a changed answer or a changed statement."""
    guarantee, trace = WRONG_ANSWERS_AND_STATEMENTS[name]
    assert {violation.guarantee for violation in account.check(trace)} == {guarantee}


FRESHNESS = "a read is as fresh as its database guarantees"


def _trace_of_transaction(*texts, started_at_s=2.0, applied_count=0):
    """Return a trace with a write that is acknowledged at 1.1 s, and a transaction.

    Args:
      texts: Texts of the transaction's statements, each executed on the same log.
      started_at_s: When the transaction started.
      applied_count: Whether that log shows the write, 1 or 0.
    """
    entry = _commit(1)
    rows = ("1",) if applied_count else ("-",)
    own = [
        _statement(number, text, rows=rows if text == READ else ())
        for number, text in enumerate(texts, start=2)
    ]
    executed_statements = [
        _executed(number, text, log=[entry], applied_count=applied_count, in_transaction=True)
        for number, text in enumerate(texts, start=2)
    ]
    return _trace(
        [
            _operation(_statement(1, WRITE)),
            _operation(*own, is_transaction=True, started_at_s=started_at_s),
        ],
        [_executed(1, WRITE), *executed_statements],
        commit_counts={"q1": 1},
        committed_entries=[entry],
        final_log=[entry],
    )


def _details(trace):
    return [(violation.guarantee, violation.detail) for violation in account.check(trace)]


def test_a_stale_commit_of_a_transaction_that_wrote_nothing_is_found():
    """Guards against a check that takes only statements with rows for reads.

    Without any statement, the transaction begins at a member only at its COMMIT.
    """
    assert _details(_trace_of_transaction("COMMIT")) == [(FRESHNESS, "q2 of strict lacks q1")]
    assert _details(_trace_of_transaction("COMMIT", applied_count=1)) == []


def test_the_commit_of_a_transaction_with_writes_is_no_read():
    """Guards against a check that is stricter than the guarantee."""
    assert _details(_trace_of_transaction("WRITE y 2", "COMMIT")) == []


def test_the_age_of_a_transaction_counts_from_its_first_byte():
    """Guards against a check that compares a COMMIT with commits of the same time."""
    assert _details(_trace_of_transaction(READ, "COMMIT", started_at_s=1.05)) == []
    found = _details(_trace_of_transaction(READ, "COMMIT", started_at_s=1.2))
    assert found == [
        (FRESHNESS, "q2 of strict lacks q1"),
        (FRESHNESS, "q3 of strict lacks q1"),
    ]


def test_a_stale_prepared_read_is_found():
    """Guards against a check that tells reads by the text that the client sent."""
    trace = _trace_with_stale_read()
    read = trace.operations[1].statements[0]
    read.text = "EXEC p x"
    assert _details(trace) == [(FRESHNESS, "q2 of strict lacks q1")]


# Time between the acknowledgement of a write and a read that may lack it no longer, by database,
# and the session that wrote. The session that reads has the number 1.
FRESHNESS_LIMITS = {"strict": (0.1, 2), "aged": (1.6, 2), "own": (0.1, 1), "own, aged": (2.6, 2)}


def _trace_of_read_from_empty_log(limit, promoted_with_commit=None, lead_s=0.0):
    """Return a trace with a write, and a read at its primary, which has started again since.

    Args:
      limit: A key of FRESHNESS_LIMITS.
      promoted_with_commit: Whether the member that is promoted afterwards has the commit; None if
        no member is promoted.
      lead_s: Time by which the read precedes the limit.
    """
    age_s, writer = FRESHNESS_LIMITS[limit]
    database = limit.split(",")[0]
    entry = _commit(1)
    log = [entry] if promoted_with_commit else []
    read = _operation(
        _statement(2, READ, rows=("-",)), database=database, started_at_s=1.1 + age_s - lead_s
    )
    return _trace(
        [_operation(_statement(1, WRITE), session_number=writer), read],
        [_executed(1, WRITE), _executed(2, READ)],
        commit_counts={"q1": 1},
        committed_entries=[entry],
        final_log=log,
        promotions=(
            [] if promoted_with_commit is None else [line_group.Promotion("b", 2, tuple(log))]
        ),
    )


@pytest.mark.parametrize("limit", FRESHNESS_LIMITS)
@pytest.mark.parametrize("promoted_with_commit", [True, None])
def test_a_read_from_an_empty_log_before_the_next_promotion_is_found(limit, promoted_with_commit):
    """Guards against a check that exempts commits which no promotion has rolled back.

    Without a promotion the group's last log lacks the commit as well.
    """
    trace = _trace_of_read_from_empty_log(limit, promoted_with_commit)
    assert {violation.guarantee for violation in account.check(trace)} == {FRESHNESS}


@pytest.mark.parametrize("limit", FRESHNESS_LIMITS)
def test_a_read_may_lack_commits_that_a_promotion_rolled_back(limit):
    """Guards against a check that is stricter than the guarantee."""
    assert account.check(_trace_of_read_from_empty_log(limit, promoted_with_commit=False)) == []


@pytest.mark.parametrize("limit", ["aged", "own, aged"])
def test_a_read_may_lack_young_commits_of_other_sessions(limit):
    """Guards against a check that is stricter than the guarantee."""
    assert account.check(_trace_of_read_from_empty_log(limit, lead_s=0.2)) == []


def test_a_promotion_of_an_empty_log_loses_acknowledged_commits():
    """Guards against a check that only knows the last log, which may have the commit again."""
    entry = _commit(1)
    trace = _trace(
        [_operation(_statement(1, WRITE))],
        [_executed(1, WRITE)],
        committed_entries=[entry],
        final_log=[entry],
        promotions=[line_group.Promotion("b", 2, ())],
        synchronous=True,
    )
    guarantees = {violation.guarantee for violation in account.check(trace)}
    assert guarantees == {"an acknowledged commit survives a promotion"}


def _trace_of_commit_near_promotion(committed_at_s, term, statement):
    """Return a trace with a commit of "a" and a promotion of "b" to term 2 at 1.05 s."""
    entry = _commit(1, committed_at_s=committed_at_s, term=term)
    operation = _operation(statement, is_transaction=statement.text == "COMMIT")
    return _trace(
        [operation],
        [_executed(1, statement.expected_text, in_transaction=operation.is_transaction)],
        commit_counts={"q1": 1},
        committed_entries=[entry],
        promotions=[line_group.Promotion("b", 2, (), effective_at_s=1.05)],
    )


REPLACED = "a replaced primary acknowledges no write"


@pytest.mark.parametrize(
    "statement",
    [
        _statement(1, WRITE),
        _statement(1, "EXEC p x 1", expected_text=WRITE),
        _statement(1, "COMMIT"),
    ],
    ids=["write", "prepared write", "transaction"],
)
def test_an_acknowledged_commit_after_a_promotion_is_found_by_its_time(statement):
    """Guards against a check that relies on what the replaced primary knew at its commit."""
    violations = account.check(_trace_of_commit_near_promotion(1.06, 1, statement))
    assert [violation.guarantee for violation in violations] == [REPLACED]
    assert violations[0].detail == (
        f"q1 {statement.text} at proxy-0: b led term 2 from 1.050 s, committed by a in term 1 at"
        " 1.060 s, acknowledged at 1.100 s"
    )


@pytest.mark.parametrize(
    "committed_at_s, term, statement",
    [
        (1.04, 1, _statement(1, WRITE)),
        (1.06, 3, _statement(1, WRITE)),
        (1.06, 1, _statement(1, WRITE, proof="", error_code="UNSURE")),
    ],
    ids=["before the promotion", "in a newer term", "unknown outcome"],
)
def test_other_commits_near_a_promotion_violate_no_guarantee(committed_at_s, term, statement):
    """Guards against a check that is stricter than the guarantee."""
    assert account.check(_trace_of_commit_near_promotion(committed_at_s, term, statement)) == []


def _trace_of_read_after_promotions(committed_at_s, *logs_with_commit):
    """Return a trace with a commit of "a" that is acknowledged, and a later read that lacks it.

    Args:
      committed_at_s: When "a" commits it. Members are promoted at 1.05 s and each second later.
      logs_with_commit: Whether the log of each promoted member has the commit.
    """
    entry = _commit(1, committed_at_s=committed_at_s)
    return _trace(
        [
            _operation(_statement(1, WRITE)),
            _operation(_statement(2, READ, rows=("-",)), started_at_s=9.0),
        ],
        [_executed(1, WRITE), _executed(2, READ)],
        commit_counts={"q1": 1},
        committed_entries=[entry],
        promotions=[
            line_group.Promotion("b", term, (entry,) if kept else (), effective_at_s=term - 0.95)
            for term, kept in enumerate(logs_with_commit, start=2)
        ],
    )


@pytest.mark.parametrize("logs_with_commit", [(False,), (False, False), (False, True)])
def test_a_read_may_not_lack_a_commit_that_follows_the_promotion(logs_with_commit):
    """Guards against a check that takes commits at a replaced primary for rolled back.

    No promotion cut them off, neither the one before them nor a later one.
    """
    trace = _trace_of_read_after_promotions(1.06, *logs_with_commit)
    assert {violation.guarantee for violation in account.check(trace)} == {FRESHNESS, REPLACED}


@pytest.mark.parametrize("logs_with_commit", [(False,), (True, False), (False, True)])
def test_a_read_may_lack_a_commit_that_one_of_the_promotions_cut_off(logs_with_commit):
    """Guards against a check that is stricter than the guarantee."""
    assert account.check(_trace_of_read_after_promotions(1.04, *logs_with_commit)) == []


def test_a_read_may_not_lack_a_commit_that_all_promoted_members_had():
    """Guards against a check that exempts all commits before a promotion."""
    trace = _trace_of_read_after_promotions(1.04, True, True)
    assert {violation.guarantee for violation in account.check(trace)} == {FRESHNESS}
