"""Shows that the account finds each broken promise in a history made by hand."""

import pytest

from bilberrystack_standins import line_group
from bilberrystack_standins import platform_server
from soak import account
from soak import history


def _statement(number, runs, **fields):
    found = history.Statement(f"q{number}", runs, runs, asked_at_s=1.0)
    found.told_at_s = 1.1
    found.proof = f"proof-a-q{number}"
    for name, value in fields.items():
        setattr(found, name, value)
    return found


def _operation(*statements, database="strict", transaction=False, began_at_s=1.0, session=1):
    return history.Operation(
        session, database, "proxy-0", {}, began_at_s, transaction, list(statements)
    )


def _run(number, text, **fields):
    base = {
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
    return line_group.ExecutedStatement(**(base | fields))


def _seen(operations, runs, **fields):
    base = {"commits": {}, "entries": [], "kept": [], "promotions": []}
    return account.Seen(operations=operations, runs=runs, **(base | fields))


def _commit(number, deposed=False):
    return line_group.CommittedEntry(1, number, (("x", "1"),), f"q{number}", deposed)


WRITE, READ = "WRITE x 1", "READ x"


def test_a_good_history_breaks_nothing():
    """A checker that always finds something would prove nothing."""
    entry = _commit(1)
    write, read = _statement(1, WRITE), _statement(2, READ, rows=("1",))
    runs = [_run(1, WRITE), _run(2, READ, log=[entry], applied_count=1)]
    operations = [_operation(write), _operation(read, began_at_s=2.0)]
    seen = _seen(operations, runs, commits={"q1": 1}, entries=[entry], kept=[entry])
    assert account.check(seen) == []


def _lost_read():
    entry = _commit(1)
    write, read = _statement(1, WRITE), _statement(2, READ, rows=("-",))
    return _seen(
        [_operation(write), _operation(read, began_at_s=2.0)],
        [_run(1, WRITE), _run(2, READ, log=[entry], applied_count=0)],
        commits={"q1": 1},
        entries=[entry],
        kept=[entry],
    )


def _mixed():
    one = _operation(_statement(1, READ, rows=("-",)), _statement(3, "COMMIT"), transaction=True)
    other = _operation(_statement(2, READ, rows=("-",)))
    runs = [
        _run(1, READ, in_transaction=True),
        _run(2, READ),
        _run(3, "COMMIT", in_transaction=True),
    ]
    return _seen([one, other], runs)


BROKEN = {
    "a write runs at most once": _seen(
        [_operation(_statement(1, WRITE))], [_run(1, WRITE)], commits={"q1": 2}
    ),
    "a refusal that says not run is true": _seen(
        [_operation(_statement(1, WRITE, proof="", code="BUSY"))],
        [_run(1, WRITE)],
        commits={"q1": 1},
    ),
    "an answer is the member's own": _seen(
        [_operation(_statement(1, READ, rows=("2",)))], [_run(1, READ)]
    ),
    "a replaced primary acknowledges nothing": _seen(
        [_operation(_statement(1, WRITE))], [_run(1, WRITE)], entries=[_commit(1, deposed=True)]
    ),
    "members run what clients ask": _seen([], [_run(1, READ)]),
    "a session keeps its values": _seen(
        [_operation(_statement(1, READ, rows=("-",)))],
        [_run(1, READ, session_values={"v": "other"})],
    ),
    "transactions don't mix": _mixed(),
    "a transaction keeps its connection": _seen(
        [
            _operation(
                _statement(1, READ, rows=("-",)),
                _statement(2, READ, rows=("-",)),
                transaction=True,
            )
        ],
        [
            _run(1, READ, in_transaction=True),
            _run(2, READ, in_transaction=True, connection_number=2),
        ],
    ),
    "a read is as new as its database promises": _lost_read(),
    "tokens never fall": _seen(
        [],
        [],
        promotions=[
            platform_server.PromotionRequest("s", "a", "one", 2),
            platform_server.PromotionRequest("s", "a", "two", 1),
        ],
    ),
    "a token has one holder": _seen(
        [],
        [],
        promotions=[
            platform_server.PromotionRequest("s", "a", "one", 2),
            platform_server.PromotionRequest("s", "a", "two", 2),
        ],
    ),
    "a leaving member gets nothing new": _seen(
        [_operation(_statement(1, READ, rows=("-",)))],
        [_run(1, READ, executed_at_s=9.0)],
        left_at_s={"a": 1.0},
        calm=True,
    ),
    "planned work cuts nothing off": _seen(
        [_operation(_statement(1, WRITE, proof="", told_at_s=None, cut_at_s=1.05))],
        [_run(1, WRITE)],
        calm=True,
    ),
}


@pytest.mark.parametrize("promise", BROKEN)
def test_a_broken_promise_is_found(promise):
    """A promise that is broken must not pass unseen."""
    assert promise in {one.promise for one in account.check(BROKEN[promise])}
