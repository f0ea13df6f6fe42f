"""A member of a database group as a deterministic state machine, without I/O.

The caller transfers entries between members: it calls `entries_after` of the primary with the
replica's `pull_position` and passes the result to the replica's `accept_pull_result`. `replicate`
does one such exchange between two members in memory.
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

# Maximum number of entries in the reply to one pull.
MAX_PULL_ENTRIES = 512


class MemberState:
    """The state of one member. All times are in seconds of the caller's clock.

    Attributes:
      name: The member's declared name.
      slots: Maximum number of concurrent statements; reported, but not enforced here.
      connection_limit: Maximum number of connections; reported, but not enforced here.
      leaving: Whether the member's endpoint is leaving; reported, without other effect here.
    """

    __slots__ = (
        "_applied_log",
        "_discarded_entry_count",
        "_is_primary",
        "_journal",
        "_matched_index",
        "_primary_address",
        "_primary_contact_at",
        "_promised_term",
        "_rewind_step",
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
        journal: applied_log.ChangeWriter | None = None,
    ) -> None:
        """Creates an empty member.

        Args:
          name: The member's declared name.
          slots: Maximum number of concurrent statements.
          connection_limit: Maximum number of connections.
          apply_lag_s: Seconds between the receipt of an entry by a replica and its application.
          journal: Called with each durable change, before the method that makes the change
            returns.
        """
        self.name = name
        self.slots = slots
        self.connection_limit = connection_limit
        self.leaving = False
        self._journal = journal or _ignore_change
        self._applied_log = applied_log.AppliedLog(apply_lag_s, self._journal)
        self._promised_term = 0
        self._is_primary = False
        self._primary_address: str | None = None
        self._primary_contact_at: float | None = None
        self._discarded_entry_count = 0
        self._matched_index = 0
        self._rewind_step = 1
        self._transactions: dict[collections.abc.Hashable, transactions.Transaction] = {}

    @property
    def promised_term(self) -> int:
        """The highest term that the member has promised."""
        return self._promised_term

    @property
    def is_primary(self) -> bool:
        """Whether the member is the primary of its promised term."""
        return self._is_primary

    @property
    def primary_address(self) -> str | None:
        """The address of the primary that the member follows; None if it follows none."""
        return self._primary_address

    @property
    def last_log(self) -> positions.Position:
        """The position of the member's last log entry."""
        return self._log.last

    @property
    def applied(self) -> positions.Position:
        """The position of the last applied entry, as of the latest call with a time."""
        return self._database.applied

    @property
    def entries(self) -> list[replicated_log.Entry]:
        """A copy of the log's entries."""
        return self._log.entries_after(0)

    @property
    def pull_position(self) -> positions.Position:
        """The position after which the replica pulls entries from its primary."""
        return self._log.position_at(self._matched_index)

    @property
    def apply_lag_s(self) -> float:
        """Seconds between the receipt of an entry by a replica and its application."""
        return self._applied_log.apply_lag_s

    @apply_lag_s.setter
    def apply_lag_s(self, lag_s: float) -> None:
        self._applied_log.apply_lag_s = lag_s

    @property
    def next_apply_at(self) -> float | None:
        """The time at which the next received entry becomes visible; None if all are applied."""
        return self._applied_log.next_apply_at

    def restore(self, changes: collections.abc.Iterable[replicated_log.DurableChange]) -> None:
        """Replays the durable changes of an earlier process into an empty member.

        The member restarts as a replica without a primary, because the changes do not record
        whether it was the primary of its promised term.
        """
        for change in changes:
            match change:
                case replicated_log.Promised():
                    self._promised_term = change.term
                case replicated_log.Appended():
                    self._log.append(change.entry)
                case replicated_log.Truncated():
                    self._log.truncate(change.index)
        self._matched_index = len(self._log)
        self._applied_log.apply_all()

    def status(self, now: float) -> members.MemberStatus:
        """Returns the member's status report."""
        self.advance(now)
        contact_age_s = None if self._primary_contact_at is None else now - self._primary_contact_at
        return members.MemberStatus(
            member=self.name,
            promised_term=self._promised_term,
            last_log=self._log.last,
            applied=self._database.applied,
            primary=self._is_primary,
            primary_contact_s=contact_age_s,
            slots=self.slots,
            connection_limit=self.connection_limit,
            leaving=self.leaving,
            discarded_entries=self._discarded_entry_count,
            previous_term_end=self._log.previous_term_end,
        )

    def advance(self, now: float) -> None:
        """Applies the received entries whose apply lag has elapsed."""
        self._applied_log.advance(now)

    def fence(self, term: int) -> bool:
        """Promises a term if it is higher than the promised one; returns whether it did."""
        if term <= self._promised_term:
            return False
        self._promise(term)
        return True

    def promote(self, term: int) -> bool:
        """Makes the member the primary of the term that it has promised.

        Refused if the member already follows a primary of that term or has an entry of that term:
        a term has at most one primary, and a restarted primary needs a new term.

        Returns:
          Whether the member is now the primary of the term.
        """
        if self._is_primary and term == self._promised_term:
            return True
        if term != self._promised_term or term == self._log.last.term:
            return False
        if self._primary_address is not None:
            return False
        self._is_primary = True
        self._applied_log.apply_all()
        self._append_own(None, b"", False, b"")
        return True

    def follow(self, term: int, primary_address: str) -> bool:
        """Makes the member a replica in a term, unless it has promised a newer one.

        Returns:
          Whether the member now follows the primary; False for the primary of the same term,
          which stays primary.
        """
        if term < self._promised_term or (term == self._promised_term and self._is_primary):
            return False
        if term > self._promised_term:
            self._promise(term)
        if self._primary_address != primary_address:
            self._primary_address = primary_address
            self._primary_contact_at = None
            self._matched_index = len(self._log)
            self._rewind_step = 1
        return True

    def read(
        self, body: bytes, min_position: positions.Position, now: float
    ) -> members.MemberReply:
        """Runs a read-only statement if the applied position is at least min_position."""
        self.advance(now)
        if self._database.applied < min_position:
            detail = f"applied {self._database.applied}, wanted {min_position}"
            return self._refused(members.Refusal.BEHIND, detail)
        try:
            operations = statements.decode(body)
            if statements.contains_write(operations):
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
        return members.Executed(result, position, False, self._promised_term)

    def resolve(self, term: int, key: requests.RequestKey) -> members.MemberReply:
        """Makes the outcome of a key known: returns the recorded answer, or cancels the key."""
        refused = self._check_primary(term) or self._check_key(key)
        if refused is not None:
            return refused
        position = self._append_own(key, b"", True, b"")
        return self._refused(members.Refusal.CANCELLED, "cancelled", position)

    def begin(self, connection: collections.abc.Hashable, term: int) -> members.MemberReply:
        """Opens a transaction on a connection, which may have only one."""
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
        """Runs a statement in the connection's transaction; its writes are buffered."""
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
        """Commits the connection's transaction; its writes and its key become one log entry.

        The transaction commits only if no key that it accessed has changed since the access;
        otherwise the reply is CONFLICT. Every reply except Executed ends the transaction without
        effect.
        """
        transaction = self._transactions.pop(connection, None)
        refused = self._check_key(key) if self._is_primary else None
        if refused is not None:
            return refused
        if transaction is None:
            return self._refused(members.Refusal.NO_TRANSACTION, "no open transaction")
        conflicting_key = transaction.find_conflict(self._database)
        if conflicting_key is not None:
            detail = f"{conflicting_key!r} was changed by another transaction"
            return self._refused(members.Refusal.CONFLICT, detail)
        body = transaction.encode_writes()
        result = statements.encode_results([])
        position = self._append_own(key, body, False, result)
        return members.Executed(result, position, False, self._promised_term)

    def abort(self, connection: collections.abc.Hashable) -> members.MemberReply:
        """Aborts the connection's transaction."""
        if self._transactions.pop(connection, None) is None:
            return self._refused(members.Refusal.NO_TRANSACTION, "no open transaction")
        return self._executed([], self._log.last)

    def connection_closed(self, connection: collections.abc.Hashable) -> None:
        """Aborts the transaction of a closed connection."""
        self._transactions.pop(connection, None)

    def entries_after(
        self, term: int, after_position: positions.Position, limit: int = MAX_PULL_ENTRIES
    ) -> replicated_log.PullResult:
        """Returns entries for a replica that follows this member in a term."""
        if not self._is_primary or term != self._promised_term:
            return replicated_log.PullResult(False, False, [], self._promised_term)
        if not self._log.contains(after_position):
            return replicated_log.PullResult(True, False, [], self._promised_term)
        return replicated_log.PullResult(
            True, True, self._log.entries_after(after_position.index, limit), self._promised_term
        )

    def record_primary_contact(self, term: int, now: float) -> bool:
        """Records a reply of the primary; returns whether the member follows the reply's term."""
        if self._is_primary or term != self._promised_term:
            return False
        self._primary_contact_at = now
        return True

    def accept_pull_result(
        self,
        term: int,
        after_position: positions.Position,
        pull_result: replicated_log.PullResult,
        now: float,
    ) -> bool:
        """Appends the entries of the primary's reply to a pull.

        Entries that the log contains already are skipped. At the first entry that differs, the rest
        of the log is discarded and counted. A reply that did not match moves `pull_position` back;
        the step doubles each time.

        Args:
          term: The term in which the replica pulled.
          after_position: The position after which it pulled.
          pull_result: The reply.
          now: The time at which the entries arrived.
        Returns:
          Whether the reply was accepted; it must come from the primary of the promised term.
        """
        self.advance(now)
        if (
            not pull_result.accepted
            or term != pull_result.term
            or not self.record_primary_contact(term, now)
        ):
            return False
        if not self._log.contains(after_position):
            return False
        if not pull_result.matched:
            self._matched_index = max(0, after_position.index - self._rewind_step)
            self._rewind_step *= 2
            return True
        self._rewind_step = 1
        self._matched_index = after_position.index
        for entry in pull_result.entries:
            self._discarded_entry_count += self._applied_log.receive(entry, now)
            self._matched_index = entry.position.index
        return True

    @property
    def _log(self) -> replicated_log.Log:
        return self._applied_log.log

    @property
    def _database(self) -> replicated_log.Database:
        return self._applied_log.database

    def _promise(self, term: int) -> None:
        self._promised_term = term
        self._is_primary = False
        self._primary_address = None
        self._primary_contact_at = None
        self._transactions.clear()
        self._journal(replicated_log.Promised(term))

    def _append_own(
        self, key: requests.RequestKey | None, body: bytes, cancelled: bool, result: bytes
    ) -> positions.Position:
        position = positions.Position(self._promised_term, len(self._log) + 1)
        return self._applied_log.append_own(
            replicated_log.Entry(position, key, body, cancelled, result)
        )

    def _check_primary(self, term: int) -> members.Refused | None:
        if term < self._promised_term:
            return self._refused(members.Refusal.STALE_TERM, f"promised term {self._promised_term}")
        if term > self._promised_term or not self._is_primary:
            return self._refused(members.Refusal.NOT_PRIMARY, f"not primary of term {term}")
        return None

    def _check_key(self, key: requests.RequestKey) -> members.MemberReply | None:
        """Returns the reply to a key that is recorded or too old; None for a new key."""
        try:
            record = self._database.find_record(key)
        except replicated_log.KeyTooOld as error:
            return self._refused(members.Refusal.KEY_TOO_OLD, str(error))
        if record is None:
            return None
        if record.cancelled:
            return self._refused(members.Refusal.CANCELLED, "cancelled", self._log.last)
        return members.Executed(record.result, self._log.last, True, self._promised_term)

    def _executed(self, results: list[Any], position: positions.Position) -> members.Executed:
        body = statements.encode_results(results)
        return members.Executed(body, position, False, self._promised_term)

    def _refused(
        self,
        refusal: members.Refusal,
        detail: str,
        position: positions.Position | None = None,
    ) -> members.Refused:
        return members.Refused(refusal, detail, self._promised_term, position)


def replicate(
    primary: MemberState, replica: MemberState, now: float, limit: int = MAX_PULL_ENTRIES
) -> bool:
    """Performs one pull in memory; returns whether the replica accepted the primary's reply."""
    term = replica.promised_term
    after_position = replica.pull_position
    return replica.accept_pull_result(
        term, after_position, primary.entries_after(term, after_position, limit), now
    )


def _ignore_change(_change: replicated_log.DurableChange) -> None:
    """Does nothing; the default journal."""
