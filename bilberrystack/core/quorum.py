"""Evidence of the log entries that a majority of a database group's members has accepted.

A status report whose promised term equals the term of the last log entry shows that the member
accepted that entry in the entry's own term. Such reports count together even if they were made at
different times: any later fencing majority includes one of the members, and that member was fenced
after it had accepted the entry.
"""

import bisect
import collections.abc
import dataclasses

from bilberrystack.core import members
from bilberrystack.core import positions

# Number of terms whose confirmed index is kept. Older terms only matter to members that are far
# behind.
MAX_CONFIRMED_TERMS = 8

# Number of read indexes kept for reads with a maximum age. When the limit is reached, every second
# entry of the older half is dropped, so that high ages are served less precisely instead of not at
# all.
MAX_OBSERVATIONS = 256


def majority(member_count: int) -> int:
    """Returns the size of the smallest majority of a group with member_count members."""
    return member_count // 2 + 1


def read_index(
    reported: collections.abc.Collection[positions.Position], member_count: int
) -> positions.Position | None:
    """Returns a position at or after every entry that was acknowledged before a status round began.

    An acknowledged entry is stored by a majority q of the n members, so at least q - (n - m) of the
    m members that answered have it. The position with this rank, counted from the highest, is
    therefore at or after the entry.

    Args:
      reported: Last log positions of the m members that answered one status round.
      member_count: Number n of declared members.
    Returns:
      The read index; None if fewer than a majority of the members answered.
    """
    missing = member_count - len(reported)
    rank = majority(member_count) - missing
    if rank < 1:
        return None
    return sorted(reported, reverse=True)[rank - 1]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReadIndexObservation:
    """A read index and the time at which its status round was sent.

    Attributes:
      sent_at: Time of sending, in seconds of the event loop's clock.
      index: The read index.
    """

    sent_at: float
    index: positions.Position


class QuorumEvidence:
    """Evidence about the logs of a database group's members, as collected by one owner."""

    __slots__ = (
        "_accepted_index_by_member",
        "_confirmed_index_by_term",
        "_latest_status_by_member",
        "_members",
        "_observations",
        "_term",
        "_terms_with_known_end",
    )

    def __init__(self, member_names: collections.abc.Iterable[str]) -> None:
        self._members = frozenset(member_names)
        self._term = 0
        self._accepted_index_by_member: dict[str, int] = {}
        self._confirmed_index_by_term: dict[int, int] = {}
        self._terms_with_known_end: set[int] = set()
        self._latest_status_by_member: dict[str, members.MemberStatus] = {}
        self._observations: list[ReadIndexObservation] = []

    @property
    def member_count(self) -> int:
        """The number of declared members."""
        return len(self._members)

    @property
    def term(self) -> int:
        """The highest term with an entry that a member is known to have accepted."""
        return self._term

    @property
    def promised_term(self) -> int:
        """The highest term that any member is known to have promised."""
        promised = (status.promised_term for status in self._latest_status_by_member.values())
        return max(self._term, max(promised, default=0))

    @property
    def primary(self) -> str | None:
        """The member that last reported itself primary of the highest promised term."""
        term = self.promised_term
        for name, status in self._latest_status_by_member.items():
            if status.primary and status.promised_term == term:
                return name
        return None

    @property
    def confirmed(self) -> positions.Position:
        """The highest position that a majority is known to have accepted."""
        if not self._confirmed_index_by_term:
            return positions.ZERO
        term = max(self._confirmed_index_by_term)
        return positions.Position(term, self._confirmed_index_by_term[term])

    def latest_status(self, name: str) -> members.MemberStatus | None:
        """Returns the latest status report of a member; None if it has not reported."""
        return self._latest_status_by_member.get(name)

    def record_report(self, status: members.MemberStatus) -> None:
        """Records a member's status report. Reports of undeclared members are ignored.

        A report that arrives after a newer one does not replace it, but still counts as evidence.
        """
        if status.member not in self._members:
            return
        latest = self._latest_status_by_member.get(status.member)
        if latest is None or _report_version(status) >= _report_version(latest):
            self._latest_status_by_member[status.member] = status
        if status.promised_term == status.last_log.term:
            self.record_acceptance(status.member, status.last_log)
            self._confirm_previous_term(status)

    def record_acceptance(self, name: str, position: positions.Position) -> None:
        """Records that a member accepted an entry in the entry's own term.

        Args:
          name: The member's declared name.
          position: Position of the entry.
        """
        if name not in self._members or position.term < self._term:
            return
        if position.term > self._term:
            self._term = position.term
            self._accepted_index_by_member = {}
        self._accepted_index_by_member[name] = max(
            position.index, self._accepted_index_by_member.get(name, 0)
        )
        self._confirm()

    def is_durable(self, position: positions.Position) -> bool:
        """Returns whether the log up to a position can no longer be lost.

        Only evidence for the position's own term counts: the unconfirmed suffix of a deposed
        primary's log compares lower than the new primary's entries but is not part of its log.
        """
        if position.index == 0:
            return True
        return position.index <= self._confirmed_index_by_term.get(position.term, 0)

    def is_lost(self, position: positions.Position) -> bool:
        """Returns whether an entry is known to be missing in the log of a confirmed newer term.

        This requires that the last position of the entry's term is known; a confirmed entry of a
        newer term alone does not show where the older term ended.
        """
        if position.term not in self._terms_with_known_end:
            return False
        return position.index > self._confirmed_index_by_term[position.term]

    def record_read_index(self, sent_at: float, index: positions.Position) -> None:
        """Records the read index of a status round for reads with a maximum age.

        Args:
          sent_at: Time at which the round was sent, in seconds of the event loop's clock.
          index: Read index of the round.
        """
        bisect.insort(self._observations, ReadIndexObservation(sent_at, index))
        if len(self._observations) > MAX_OBSERVATIONS:
            half = MAX_OBSERVATIONS // 2
            self._observations = self._observations[:half:2] + self._observations[half:]

    def index_for_age(self, now: float, max_age_s: float) -> positions.Position | None:
        """Returns the lowest recorded read index whose data is not older than a maximum age.

        Args:
          now: Seconds of the event loop's clock.
          max_age_s: Maximum age of the data, in seconds.
        Returns:
          The read index; None if no recorded round was sent within the maximum age.
        """
        start = bisect.bisect_left(self._observations, now - max_age_s, key=_sent_at)
        if start == len(self._observations):
            return None
        return self._observations[start].index

    def _confirm(self) -> None:
        accepted_indexes = sorted(self._accepted_index_by_member.values(), reverse=True)
        needed = majority(self.member_count)
        if len(accepted_indexes) < needed:
            return
        self._raise_confirmed(self._term, accepted_indexes[needed - 1])

    def _confirm_previous_term(self, status: members.MemberStatus) -> None:
        """Confirms the previous term up to its end if the report's last term is confirmed."""
        if status.last_log.term in self._confirmed_index_by_term and status.previous_term_end.index:
            end = status.previous_term_end
            self._raise_confirmed(end.term, end.index)
            if end.term in self._confirmed_index_by_term:
                self._terms_with_known_end.add(end.term)

    def _raise_confirmed(self, term: int, index: int) -> None:
        self._confirmed_index_by_term[term] = max(index, self._confirmed_index_by_term.get(term, 0))
        if len(self._confirmed_index_by_term) > MAX_CONFIRMED_TERMS:
            oldest = min(self._confirmed_index_by_term)
            del self._confirmed_index_by_term[oldest]
            self._terms_with_known_end.discard(oldest)


def _report_version(
    status: members.MemberStatus,
) -> tuple[int, positions.Position, positions.Position]:
    return (status.promised_term, status.last_log, status.applied)


def _sent_at(observation: ReadIndexObservation) -> float:
    return observation.sent_at
