"""Decisions about changing the primary of a database group.

The failure detector decides when an owner may replace the primary. A fencing round collects the
members' replies to the fencing calls of one term and chooses the member to promote. Neither needs
a clock that is shared between machines.
"""

import collections.abc
import dataclasses
import random

from bilberrystack.core import members
from bilberrystack.core import quorum

HEARTBEAT_INTERVAL_S = 0.2

# A primary that pauses for less than this time is never replaced.
DETECTION_TIME_S = 0.5

# Delay of an answer that does not yet count as a missing answer.
MAX_ANSWER_DELAY_S = 0.05

# Age of the oldest unanswered heartbeat at which an owner suspects the primary. A paused member
# answers the pending heartbeats when it resumes, so a pause shorter than DETECTION_TIME_S never
# reaches this age.
SUSPICION_TIMEOUT_S = DETECTION_TIME_S + MAX_ANSWER_DELAY_S

# Multiplies the suspicion timeout while a replica has recent contact to the primary: then the fault
# may only affect the network path between this owner and the primary.
REPLICA_CONTACT_FACTOR = 3

# Additional wait per rank, so that owners of one group rarely fence at the same time.
RANK_DELAY_S = 0.3

MIN_UNANSWERED_HEARTBEATS = 2

# A longer interval between two ticks means that this process itself was paused.
PROCESS_PAUSE_S = 2 * HEARTBEAT_INTERVAL_S

BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5


class FailureDetector:
    """Detects, at one owner, that the primary of its group does not respond."""

    __slots__ = ("_last_answer_at", "_last_tick_at", "_oldest_unanswered_at", "_unanswered_count")

    def __init__(self, now: float) -> None:
        self._last_answer_at = now
        self._last_tick_at = now
        self._oldest_unanswered_at: float | None = None
        self._unanswered_count = 0

    @property
    def last_answer_at(self) -> float:
        """Time of the primary's last answer, or of the last reset if it has not answered since."""
        return self._last_answer_at

    def reset(self, now: float) -> None:
        """Discards the unanswered heartbeats.

        To be called for a new primary and after a pause of this process.

        Args:
          now: Seconds of the event loop's clock.
        """
        self._last_answer_at = now
        self._oldest_unanswered_at = None
        self._unanswered_count = 0

    def tick(self, now: float) -> None:
        """Records that this process is running; resets the detector after a pause of the process.

        Args:
          now: Seconds of the event loop's clock.
        """
        if now - self._last_tick_at > PROCESS_PAUSE_S:
            self.reset(now)
        self._last_tick_at = now

    def record_heartbeat(self, now: float) -> None:
        """Records that a heartbeat was sent to the primary.

        Args:
          now: Seconds of the event loop's clock.
        """
        if self._oldest_unanswered_at is None:
            self._oldest_unanswered_at = now
        self._unanswered_count += 1

    def record_answer(self, answered_at: float) -> None:
        """Records an answer of the primary to any call.

        Args:
          answered_at: Time of the answer, in seconds of the event loop's clock.
        """
        if answered_at > self._last_answer_at:
            self.reset(answered_at)

    def oldest_unanswered_age_s(self, now: float) -> float:
        """Returns the age of the oldest unanswered heartbeat, in seconds; 0 if there is none."""
        return 0.0 if self._oldest_unanswered_at is None else now - self._oldest_unanswered_at

    def suspects(self, now: float, rank: int, recent_replica_contact: bool) -> bool:
        """Returns whether the primary may be replaced.

        Args:
          now: Seconds of the event loop's clock.
          rank: The owner's rank.
          recent_replica_contact: Whether a replica had contact to the primary within the detection
            time.
        Returns:
          True if the oldest unanswered heartbeat has reached the suspicion timeout of the rank.
        """
        if self._unanswered_count < MIN_UNANSWERED_HEARTBEATS:
            return False
        threshold = SUSPICION_TIMEOUT_S * (REPLICA_CONTACT_FACTOR if recent_replica_contact else 1)
        return self.oldest_unanswered_age_s(now) >= threshold + rank * RANK_DELAY_S


def has_recent_replica_contact(
    statuses: collections.abc.Iterable[members.MemberStatus], primary: str, term: int
) -> bool:
    """Returns whether a replica of the primary's term had contact to it within the detection time.

    Args:
      statuses: Current status reports of the members.
      primary: The primary's name.
      term: The primary's term.
    """
    return any(
        status.member != primary
        and status.promised_term == term
        and status.primary_contact_s is not None
        and status.primary_contact_s < DETECTION_TIME_S
        for status in statuses
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CandidatePreference:
    """Preference between candidates for promotion that have the same last log position.

    Attributes:
      leaving_members: Names of the members that are leaving, which are chosen last.
      failure_domain: Failure domain of the proposing owner.
      retained_primary: Name of the current primary if it should stay primary; empty otherwise.
    """

    leaving_members: frozenset[str] = frozenset()
    failure_domain: str = ""
    retained_primary: str = ""


class FencingRound:
    """The replies of a group's members to the fencing calls of one term."""

    __slots__ = ("_domain_by_member", "_granted", "_highest_term_seen", "_refused", "_term")

    def __init__(self, term: int, domains: dict[str, str]) -> None:
        """Creates a round without replies.

        Args:
          term: The proposed term.
          domains: Failure domain of each declared member, by name.
        """
        self._term = term
        self._domain_by_member = domains
        self._granted: dict[str, members.MemberStatus] = {}
        self._refused: set[str] = set()
        self._highest_term_seen = term

    @property
    def term(self) -> int:
        """The proposed term."""
        return self._term

    @property
    def highest_term_seen(self) -> int:
        """The highest term that a member has reported; the next round proposes a higher one."""
        return self._highest_term_seen

    @property
    def won(self) -> bool:
        """Whether a majority has granted the term."""
        return len(self._granted) >= quorum.majority(len(self._domain_by_member))

    @property
    def majority_unreachable(self) -> bool:
        """Whether too many members have refused or failed for a majority to grant the term."""
        available = len(self._domain_by_member) - len(self._refused)
        return available < quorum.majority(len(self._domain_by_member))

    @property
    def complete(self) -> bool:
        """Whether every member has replied or failed."""
        return len(self._granted) + len(self._refused) == len(self._domain_by_member)

    def record_reply(self, granted: bool, status: members.MemberStatus) -> None:
        """Records a member's reply to the fencing call.

        Args:
          granted: Whether the member promised the term.
          status: Status report in the reply.
        """
        if status.member not in self._domain_by_member:
            return
        self._highest_term_seen = max(self._highest_term_seen, status.promised_term)
        if granted:
            self._granted[status.member] = status
        else:
            self._refused.add(status.member)

    def record_no_reply(self, name: str) -> None:
        """Records that a member did not reply, although it may have granted the term."""
        if name not in self._granted:
            self._refused.add(name)

    def choose_candidate(self, preference: CandidatePreference) -> str:
        """Returns the name of the member to promote. Requires that the round is won.

        The last log position takes precedence over the preference: among the majority that granted
        the term, only the member with the highest position is certain to hold every acknowledged
        entry.
        """
        assert self.won

        def preference_key(name: str) -> tuple[object, ...]:
            status = self._granted[name]
            return (
                status.last_log,
                name not in preference.leaving_members and not status.leaving,
                name == preference.retained_primary,
                self._domain_by_member[name] == preference.failure_domain,
                name,
            )

        return max(self._granted, key=preference_key)


def backoff_s(failed_rounds: int, rng: random.Random) -> float:
    """Returns the delay before the next fencing round, in seconds.

    Args:
      failed_rounds: Number of failed rounds, from 1.
      rng: Source of the jitter, which keeps competing owners from fencing at the same time.
    """
    limit = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0**failed_rounds)
    return rng.uniform(BACKOFF_BASE_S, limit)
