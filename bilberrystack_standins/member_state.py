"""One member of a database group as a deterministic state machine, without I/O.

Whoever drives it carries entries between members: a replica asks its primary for
`entries_after(...)` the position `pull_after` and hands the reply to `append`. `replicate` does one
such exchange between two members in memory.
"""

import collections.abc
from typing import Any

from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack_standins import applied_log
from bilberrystack_standins import replicated_log
from bilberrystack_standins import statements
from bilberrystack_standins import transactions

MAX_PULL_ENTRIES = 512


class MemberState:
    """The state of one member. All times are seconds of the driver's clock.

    Attributes:
      name: The member's declared name.
      slots: Statements that it executes at the same time; only reported.
      connection_limit: Connections that it accepts; only reported.
      leaving: Whether its endpoint is leaving; only reported.
    """

    __slots__ = (
        "_applied_log",
        "_contact_at",
        "_discarded",
        "_journal",
        "_matched",
        "_primary",
        "_primary_address",
        "_promised",
        "_step",
        "_transactions",
        "connection_limit",
        "leaving",
        "name",
        "slots",
    )

    def __init__(
        self,
        name: str,
        *,
        slots: int = 4,
        connection_limit: int = 64,
        apply_lag_s: float = 0.0,
        journal: applied_log.Journal | None = None,
    ) -> None:
        """Creates an empty member.

        Args:
          name: The member's declared name.
          slots: Statements that it executes at the same time.
          connection_limit: Connections that it accepts.
          apply_lag_s: Seconds for which a replica holds back a received entry from reads.
          journal: Called with each durable change, before the call that makes it returns.
        """
        self.name = name
        self.slots = slots
        self.connection_limit = connection_limit
        self.leaving = False
        self._journal = journal or _ignore
        self._applied_log = applied_log.AppliedLog(apply_lag_s, self._journal)
        self._promised = 0
        self._primary = False
        self._primary_address: str | None = None
        self._contact_at: float | None = None
        self._discarded = 0
        self._matched = 0
        self._step = 1
        self._transactions: dict[collections.abc.Hashable, transactions.Transaction] = {}

    @property
    def promised_term(self) -> int:
        """The highest term that the member has promised."""
        return self._promised

    @property
    def is_primary(self) -> bool:
        """Whether the member is the primary of its promised term."""
        return self._primary

    @property
    def primary_address(self) -> str | None:
        """The address of the primary that it follows; None if it follows none."""
        return self._primary_address

    @property
    def last_log(self) -> positions.Position:
        """The position of its last log entry."""
        return self._log.last

    @property
    def applied(self) -> positions.Position:
        """The position that reads saw at the last call that took the time."""
        return self._database.applied

    @property
    def entries(self) -> list[replicated_log.Entry]:
        """A copy of the log."""
        return self._log.after(0)

    @property
    def pull_after(self) -> positions.Position:
        """The position after which a replica asks its primary for entries."""
        return self._log.position_at(self._matched)

    @property
    def apply_lag_s(self) -> float:
        """Seconds for which a replica holds back a received entry from reads."""
        return self._applied_log.apply_lag_s

    @apply_lag_s.setter
    def apply_lag_s(self, lag_s: float) -> None:
        self._applied_log.apply_lag_s = lag_s

    @property
    def next_apply_at(self) -> float | None:
        """The instant at which the next received entry gets visible; None if there is none."""
        return self._applied_log.next_apply_at

    def restore(self, changes: collections.abc.Iterable[replicated_log.Change]) -> None:
        """Replays the durable changes of an earlier run into an empty member.

        The member comes back as a replica without a primary: it no longer knows whether it is the
        primary of its promised term.
        """
        for change in changes:
            match change:
                case replicated_log.Promised():
                    self._promised = change.term
                case replicated_log.Appended():
                    self._log.append(change.entry)
                case replicated_log.Truncated():
                    self._log.truncate(change.index)
        self._matched = len(self._log)
        self._applied_log.apply_all()

    def status(self, now: float) -> members.MemberStatus:
        """Returns the member's report about itself."""
        self.advance(now)
        contact = None if self._contact_at is None else now - self._contact_at
        return members.MemberStatus(
            member=self.name,
            promised_term=self._promised,
            last_log=self._log.last,
            applied=self._database.applied,
            primary=self._primary,
            primary_contact_s=contact,
            slots=self.slots,
            connection_limit=self.connection_limit,
            leaving=self.leaving,
            discarded_entries=self._discarded,
            previous_term_end=self._log.previous_term_end,
        )

    def advance(self, now: float) -> None:
        """Applies the received entries whose apply lag has passed."""
        self._applied_log.advance(now)

    def fence(self, term: int) -> bool:
        """Promises a term; returns whether it was granted, which needs term > promised term."""
        if term <= self._promised:
            return False
        self._promise(term)
        return True

    def promote(self, term: int) -> bool:
        """Makes the member primary of the term that it has promised.

        Refused if the member already follows a primary of that term or has an entry of it: a term
        has one primary, and a restarted primary needs a new term.

        Returns:
          Whether the member is now the primary of the term.
        """
        if self._primary and term == self._promised:
            return True
        if term != self._promised or term == self._log.last.term:
            return False
        if self._primary_address is not None:
            return False
        self._primary = True
        self._applied_log.apply_all()
        self._append_own(None, b"", False, b"")
        return True

    def follow(self, term: int, primary_address: str) -> bool:
        """Makes the member a replica in a term, unless it has promised a newer one.

        Returns:
          Whether it now follows; false for the primary of the same term, which stays primary.
        """
        if term < self._promised or (term == self._promised and self._primary):
            return False
        if term > self._promised:
            self._promise(term)
        if self._primary_address != primary_address:
            self._primary_address = primary_address
            self._contact_at = None
            self._matched = len(self._log)
            self._step = 1
        return True

    def read(
        self, body: bytes, min_position: positions.Position, now: float
    ) -> members.MemberReply:
        """Runs a statement that only reads, if the applied position is at least min_position."""
        self.advance(now)
        if self._database.applied < min_position:
            detail = f"applied {self._database.applied}, wanted {min_position}"
            return self._refused(members.Refusal.BEHIND, detail)
        try:
            operations = statements.decode(body)
            if statements.writes(operations):
                raise statements.InvalidStatement("a read must not write")
            effect = self._database.evaluate(operations)
        except statements.InvalidStatement as error:
            return self._refused(members.Refusal.INVALID_STATEMENT, str(error))
        return self._executed(effect.results, self._database.applied)

    def write(self, term: int, key: requests.RequestKey, body: bytes) -> members.MemberReply:
        """Runs a statement and records its key and answer in one log entry."""
        refused = self._check_primary(term) or self._check_key(key)
        if refused is not None:
            return refused
        try:
            effect = self._database.evaluate(statements.decode(body))
        except statements.InvalidStatement as error:
            return self._refused(members.Refusal.INVALID_STATEMENT, str(error))
        result = statements.encode_results(effect.results)
        position = self._append_own(key, body, False, result)
        return members.Executed(result, position, False, self._promised)

    def resolve(self, term: int, key: requests.RequestKey) -> members.MemberReply:
        """Makes the outcome of a key definite: returns its recorded answer or cancels it."""
        refused = self._check_primary(term) or self._check_key(key)
        if refused is not None:
            return refused
        position = self._append_own(key, b"", True, b"")
        return self._refused(members.Refusal.CANCELLED, "cancelled", position)

    def begin(self, connection: collections.abc.Hashable, term: int) -> members.MemberReply:
        """Opens the one transaction of a connection."""
        refused = self._check_primary(term)
        if refused is not None:
            return refused
        if connection in self._transactions:
            return self._refused(
                members.Refusal.INVALID_STATEMENT, "the connection has an open transaction"
            )
        self._transactions[connection] = transactions.Transaction()
        return self._executed([], self._log.last)

    def statement(self, connection: collections.abc.Hashable, body: bytes) -> members.MemberReply:
        """Runs a statement inside the connection's transaction; its writes stay buffered."""
        transaction = self._transactions.get(connection)
        if transaction is None:
            return self._refused(members.Refusal.NO_TRANSACTION, "no open transaction")
        try:
            results = transaction.run(body, self._database)
        except statements.InvalidStatement as error:
            return self._refused(members.Refusal.INVALID_STATEMENT, str(error))
        return self._executed(results, self._log.last)

    def commit(
        self, connection: collections.abc.Hashable, key: requests.RequestKey
    ) -> members.MemberReply:
        """Ends the connection's transaction; its writes and its key become one log entry.

        The first of two transactions that touch a key, and of which one writes it, commits; the
        other gets CONFLICT. Every reply but an Executed one ends the transaction without effect.
        """
        transaction = self._transactions.pop(connection, None)
        refused = self._check_key(key) if self._primary else None
        if refused is not None:
            return refused
        if transaction is None:
            return self._refused(members.Refusal.NO_TRANSACTION, "no open transaction")
        changed = transaction.first_changed(self._database)
        if changed is not None:
            detail = f"{changed!r} was changed by another transaction"
            return self._refused(members.Refusal.CONFLICT, detail)
        body = transaction.body()
        result = statements.encode_results([])
        position = self._append_own(key, body, False, result)
        return members.Executed(result, position, False, self._promised)

    def abort(self, connection: collections.abc.Hashable) -> members.MemberReply:
        """Ends the connection's transaction without effect."""
        if self._transactions.pop(connection, None) is None:
            return self._refused(members.Refusal.NO_TRANSACTION, "no open transaction")
        return self._executed([], self._log.last)

    def connection_closed(self, connection: collections.abc.Hashable) -> None:
        """Aborts the transaction of a connection that closed."""
        self._transactions.pop(connection, None)

    def entries_after(
        self, term: int, after: positions.Position, limit: int = MAX_PULL_ENTRIES
    ) -> replicated_log.Pulled:
        """Returns entries for a replica that follows this member in a term."""
        if not self._primary or term != self._promised:
            return replicated_log.Pulled(False, False, [], self._promised)
        if not self._log.contains(after):
            return replicated_log.Pulled(True, False, [], self._promised)
        return replicated_log.Pulled(
            True, True, self._log.after(after.index, limit), self._promised
        )

    def contacted(self, term: int, now: float) -> bool:
        """Notes that the primary answered; returns whether the member follows that term."""
        if self._primary or term != self._promised:
            return False
        self._contact_at = now
        return True

    def append(
        self, term: int, after: positions.Position, pulled: replicated_log.Pulled, now: float
    ) -> bool:
        """Takes the primary's reply to a pull.

        Entries that the log has already are skipped; from the first one that differs, the rest of
        the log is discarded and counted. A reply that did not match moves `pull_after` back, in
        steps that double.

        Args:
          term: The term in which the replica asked.
          after: The position after which it asked.
          pulled: The reply.
          now: The instant at which the entries arrived.
        Returns:
          Whether the reply was taken: it must be from the primary of the promised term.
        """
        self.advance(now)
        if not pulled.accepted or term != pulled.term or not self.contacted(term, now):
            return False
        if not self._log.contains(after):
            return False
        if not pulled.matched:
            self._matched = max(0, after.index - self._step)
            self._step *= 2
            return True
        self._step = 1
        self._matched = after.index
        for entry in pulled.entries:
            self._discarded += self._applied_log.receive(entry, now)
            self._matched = entry.position.index
        return True

    @property
    def _log(self) -> replicated_log.Log:
        return self._applied_log.log

    @property
    def _database(self) -> replicated_log.Database:
        return self._applied_log.database

    def _promise(self, term: int) -> None:
        self._promised = term
        self._primary = False
        self._primary_address = None
        self._contact_at = None
        self._transactions.clear()
        self._journal(replicated_log.Promised(term))

    def _append_own(
        self, key: requests.RequestKey | None, body: bytes, cancelled: bool, result: bytes
    ) -> positions.Position:
        position = positions.Position(self._promised, len(self._log) + 1)
        return self._applied_log.add_own(
            replicated_log.Entry(position, key, body, cancelled, result)
        )

    def _check_primary(self, term: int) -> members.Refused | None:
        if term < self._promised:
            return self._refused(members.Refusal.STALE_TERM, f"promised term {self._promised}")
        if term > self._promised or not self._primary:
            return self._refused(members.Refusal.NOT_PRIMARY, f"not primary of term {term}")
        return None

    def _check_key(self, key: requests.RequestKey) -> members.MemberReply | None:
        """Returns the reply to a key that is recorded or too old; None for a new key."""
        try:
            record = self._database.record(key)
        except replicated_log.TooOld as error:
            return self._refused(members.Refusal.KEY_TOO_OLD, str(error))
        if record is None:
            return None
        if record.cancelled:
            return self._refused(members.Refusal.CANCELLED, "cancelled", self._log.last)
        return members.Executed(record.result, self._log.last, True, self._promised)

    def _executed(self, results: list[Any], position: positions.Position) -> members.Executed:
        body = statements.encode_results(results)
        return members.Executed(body, position, False, self._promised)

    def _refused(
        self,
        refusal: members.Refusal,
        detail: str,
        position: positions.Position | None = None,
    ) -> members.Refused:
        return members.Refused(refusal, detail, self._promised, position)


def replicate(
    primary: MemberState, replica: MemberState, now: float, limit: int = MAX_PULL_ENTRIES
) -> bool:
    """Carries one pull from a replica to a primary and back; returns whether it was taken."""
    term = replica.promised_term
    after = replica.pull_after
    return replica.append(term, after, primary.entries_after(term, after, limit), now)


def _ignore(_change: replicated_log.Change) -> None:
    """Default journal."""
