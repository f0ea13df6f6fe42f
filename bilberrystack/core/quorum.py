"""What a majority of a database group's members is known to have accepted.

A report in which the promised term equals the last log entry's term states that the member accepted
that entry in its own term. Such reports may be of different instants and still add up: a later
fencing majority contains one of the members, and it fenced that member after the acceptance.
"""

import bisect
import collections.abc
import dataclasses

from bilberrystack.core import members
from bilberrystack.core import positions

# Terms whose confirmed index is kept; older ones only matter to members that are far behind.
MAX_TERMS = 8

# Observations kept for reads with a stated age. When full, every second old one is dropped, so that
# old ages get coarser instead of impossible.
MAX_OBSERVATIONS = 256


def majority(member_count: int) -> int:
    """Returns the size of the smallest majority of a group."""
    return member_count // 2 + 1


def read_index(
    reported: collections.abc.Collection[positions.Position], member_count: int
) -> positions.Position | None:
    """Returns a position at or past every entry acknowledged before the round began.

    An acknowledged entry is on a majority q of the n members, so at least q - (n - m) of the m that
    answered have it, and the answer with that rank from the top is at or past it.

    Args:
      reported: The last log positions of the members that answered one round.
      member_count: The number of declared members, n.
    Returns:
      The read index; None if less than a majority answered.
    """
    missing = member_count - len(reported)
    rank = majority(member_count) - missing
    if rank < 1:
        return None
    return sorted(reported, reverse=True)[rank - 1]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Observation:
    """A read index and the instant at which its round was sent.

    Attributes:
      sent_at: Seconds of the runtime's clock.
      index: The read index.
    """

    sent_at: float
    index: positions.Position


class Quorum:
    """The evidence that one owner has collected about one database group."""

    __slots__ = (
        "_accepted",
        "_confirmed_by_term",
        "_ended_terms",
        "_latest",
        "_members",
        "_observations",
        "_term",
    )

    def __init__(self, member_names: collections.abc.Iterable[str]) -> None:
        self._members = frozenset(member_names)
        self._term = 0
        self._accepted: dict[str, int] = {}
        self._confirmed_by_term: dict[int, int] = {}
        self._ended_terms: set[int] = set()
        self._latest: dict[str, members.MemberStatus] = {}
        self._observations: list[Observation] = []

    @property
    def member_count(self) -> int:
        """The number of declared members."""
        return len(self._members)

    @property
    def term(self) -> int:
        """The highest term in which an accepted entry is known."""
        return self._term

    @property
    def promised_term(self) -> int:
        """The highest term that any member is known to have promised."""
        promised = (status.promised_term for status in self._latest.values())
        return max(self._term, max(promised, default=0))

    @property
    def primary(self) -> str | None:
        """The member that last reported itself primary of the highest promised term."""
        term = self.promised_term
        for name, status in self._latest.items():
            if status.primary and status.promised_term == term:
                return name
        return None

    @property
    def confirmed(self) -> positions.Position:
        """The highest position that a majority is known to have accepted."""
        if not self._confirmed_by_term:
            return positions.ZERO
        term = max(self._confirmed_by_term)
        return positions.Position(term, self._confirmed_by_term[term])

    def status(self, name: str) -> members.MemberStatus | None:
        """Returns the latest report of a member, None if there is none."""
        return self._latest.get(name)

    def record(self, status: members.MemberStatus) -> None:
        """Takes a member's report. Reports of undeclared members are ignored.

        A report that arrives after a newer one doesn't replace it; as evidence it still counts.
        """
        if status.member not in self._members:
            return
        latest = self._latest.get(status.member)
        if latest is None or _version(status) >= _version(latest):
            self._latest[status.member] = status
        if status.promised_term == status.last_log.term:
            self.accept(status.member, status.last_log)
            self._confirm_previous_term(status)

    def accept(self, name: str, position: positions.Position) -> None:
        """Takes the evidence that a member accepted an entry in the entry's own term."""
        if name not in self._members or position.term < self._term:
            return
        if position.term > self._term:
            self._term = position.term
            self._accepted = {}
        self._accepted[name] = max(position.index, self._accepted.get(name, 0))
        self._confirm()

    def is_durable(self, position: positions.Position) -> bool:
        """Tells whether the log up to a position can no longer be lost.

        Only evidence for the position's own term counts: the suffix of a deposed primary compares
        lower than the new primary's entries without being part of its log.
        """
        if position.index == 0:
            return True
        return position.index <= self._confirmed_by_term.get(position.term, 0)

    def is_lost(self, position: positions.Position) -> bool:
        """Tells whether an entry is known not to be in the log of the confirmed newer term.

        That needs the end of the entry's term: that a newer term is confirmed does not tell where
        the older one ended.
        """
        if position.term not in self._ended_terms:
            return False
        return position.index > self._confirmed_by_term[position.term]

    def observe(self, sent_at: float, index: positions.Position) -> None:
        """Keeps the read index of a round for reads with a stated age.

        Args:
          sent_at: When the round was sent, in seconds of the runtime's clock.
          index: The round's read index.
        """
        bisect.insort(self._observations, Observation(sent_at, index))
        if len(self._observations) > MAX_OBSERVATIONS:
            half = MAX_OBSERVATIONS // 2
            self._observations = self._observations[:half:2] + self._observations[half:]

    def index_for_age(self, now: float, max_age_s: float) -> positions.Position | None:
        """Returns the lowest known position whose data is no older than a stated age.

        Args:
          now: Seconds of the runtime's clock.
          max_age_s: The stated age, in seconds.
        Returns:
          The position, or None if no round was sent within the age.
        """
        start = bisect.bisect_left(self._observations, now - max_age_s, key=_sent_at)
        if start == len(self._observations):
            return None
        return self._observations[start].index

    def _confirm(self) -> None:
        indices = sorted(self._accepted.values(), reverse=True)
        needed = majority(self.member_count)
        if len(indices) < needed:
            return
        self._raise_confirmed(self._term, indices[needed - 1])

    def _confirm_previous_term(self, status: members.MemberStatus) -> None:
        """Extends a confirmed entry to the entries before its term."""
        if status.last_log.term in self._confirmed_by_term and status.previous_term_end.index:
            end = status.previous_term_end
            self._raise_confirmed(end.term, end.index)
            if end.term in self._confirmed_by_term:
                self._ended_terms.add(end.term)

    def _raise_confirmed(self, term: int, index: int) -> None:
        self._confirmed_by_term[term] = max(index, self._confirmed_by_term.get(term, 0))
        if len(self._confirmed_by_term) > MAX_TERMS:
            oldest = min(self._confirmed_by_term)
            del self._confirmed_by_term[oldest]
            self._ended_terms.discard(oldest)


def _version(status: members.MemberStatus) -> tuple[int, positions.Position, positions.Position]:
    return (status.promised_term, status.last_log, status.applied)


def _sent_at(observation: Observation) -> float:
    return observation.sent_at
