"""Decisions about changing the primary of a database group.

The detector decides when an owner may replace the primary; an attempt collects the answers to one
round of fencing and chooses the member to promote. Neither needs a clock shared between machines.
"""

import collections.abc
import dataclasses
import random

from bilberrystack.core import members
from bilberrystack.core import quorum

HEARTBEAT_INTERVAL_S = 0.2

# A primary that pauses for less than this is never replaced.
DETECTION_TIME_S = 0.5

# An answer may be this late without counting as silence.
ANSWER_SLACK_S = 0.05

# The age of the oldest unanswered heartbeat at which an owner suspects the primary. A member that
# pauses answers what it received when it resumes, so a shorter pause never reaches this age.
SUSPICION_S = DETECTION_TIME_S + ANSWER_SLACK_S

# While replicas still hear the primary, only the owner's own path may be cut.
HEARD_BY_REPLICAS_FACTOR = 3

# Owners of higher rank wait, so that rivals rarely fence at the same time.
RANK_DELAY_S = 0.3

MIN_UNANSWERED_HEARTBEATS = 2

# A larger gap between two ticks means that this process itself did not run.
SELF_PAUSE_S = 2 * HEARTBEAT_INTERVAL_S

BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5


class Detector:
    """Watches for the silence of one primary from one owner."""

    __slots__ = ("_last_answer", "_last_tick", "_oldest_unanswered", "_unanswered")

    def __init__(self, now: float) -> None:
        self._last_answer = now
        self._last_tick = now
        self._oldest_unanswered: float | None = None
        self._unanswered = 0

    @property
    def last_answer(self) -> float:
        """When the primary last answered, or when watching it began."""
        return self._last_answer

    def restart(self, now: float) -> None:
        """Begins anew, for a new primary or after a pause of this process."""
        self._last_answer = now
        self._oldest_unanswered = None
        self._unanswered = 0

    def tick(self, now: float) -> None:
        """Notes that this process runs; after a gap between ticks the silence starts anew."""
        if now - self._last_tick > SELF_PAUSE_S:
            self.restart(now)
        self._last_tick = now

    def heartbeat_sent(self, now: float) -> None:
        """Notes a heartbeat that the primary has not answered yet."""
        if self._oldest_unanswered is None:
            self._oldest_unanswered = now
        self._unanswered += 1

    def answered(self, at: float) -> None:
        """Notes an answer of any kind that the primary gave at an instant."""
        if at > self._last_answer:
            self.restart(at)

    def silence(self, now: float) -> float:
        """Returns the age of the oldest unanswered heartbeat in seconds; 0 if there is none."""
        return 0.0 if self._oldest_unanswered is None else now - self._oldest_unanswered

    def suspects(self, now: float, rank: int, heard_by_replicas: bool) -> bool:
        """Tells whether the primary may be replaced.

        Args:
          now: Seconds of the runtime's clock.
          rank: The owner's rank.
          heard_by_replicas: Whether a replica heard from the primary within the detection time.
        Returns:
          True if the silence has lasted long enough.
        """
        if self._unanswered < MIN_UNANSWERED_HEARTBEATS:
            return False
        threshold = SUSPICION_S * (HEARD_BY_REPLICAS_FACTOR if heard_by_replicas else 1)
        return self.silence(now) >= threshold + rank * RANK_DELAY_S


def heard_by_replicas(
    statuses: collections.abc.Iterable[members.MemberStatus], primary: str, term: int
) -> bool:
    """Tells whether a replica of the primary's term heard from it within the detection time.

    Args:
      statuses: Reports that were asked for just now.
      primary: The primary's name.
      term: The primary's term.
    Returns:
      True if one did.
    """
    return any(
        status.member != primary
        and status.promised_term == term
        and status.primary_contact_s is not None
        and status.primary_contact_s < DETECTION_TIME_S
        for status in statuses
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """Which member to promote among those with the same last position.

    Attributes:
      avoid: Members that are leaving.
      failure_domain: The proposing owner's failure domain.
      keep: The present primary, if it should stay; empty otherwise.
    """

    avoid: frozenset[str] = frozenset()
    failure_domain: str = ""
    keep: str = ""


class Attempt:
    """One round of fencing at one term."""

    __slots__ = ("_domains", "_granted", "_highest_seen", "_refused", "_term")

    def __init__(self, term: int, domains: dict[str, str]) -> None:
        """Args: the proposed term, and the failure domain of each declared member by name."""
        self._term = term
        self._domains = domains
        self._granted: dict[str, members.MemberStatus] = {}
        self._refused: set[str] = set()
        self._highest_seen = term

    @property
    def term(self) -> int:
        """The proposed term."""
        return self._term

    @property
    def highest_seen(self) -> int:
        """The highest term that a member reported; the next attempt has to exceed it."""
        return self._highest_seen

    @property
    def won(self) -> bool:
        """Whether a majority has granted the term."""
        return len(self._granted) >= quorum.majority(len(self._domains))

    @property
    def lost(self) -> bool:
        """Whether so many have refused that a majority can't grant any more."""
        left = len(self._domains) - len(self._refused)
        return left < quorum.majority(len(self._domains))

    @property
    def complete(self) -> bool:
        """Whether every member has answered or failed."""
        return len(self._granted) + len(self._refused) == len(self._domains)

    def answer(self, granted: bool, status: members.MemberStatus) -> None:
        """Takes a member's answer to the fencing call."""
        if status.member not in self._domains:
            return
        self._highest_seen = max(self._highest_seen, status.promised_term)
        if granted:
            self._granted[status.member] = status
        else:
            self._refused.add(status.member)

    def failed(self, name: str) -> None:
        """Notes that a member gave no answer. It may have granted the term all the same."""
        if name not in self._granted:
            self._refused.add(name)

    def candidate(self, preference: Preference) -> str:
        """Returns the member to promote; only to be called once the attempt is won.

        The last log position decides first, whatever the preference says: a majority of granted
        members contains every acknowledged entry only at its highest position.
        """
        assert self.won

        def order(name: str) -> tuple[object, ...]:
            status = self._granted[name]
            return (
                status.last_log,
                name not in preference.avoid and not status.leaving,
                name == preference.keep,
                self._domains[name] == preference.failure_domain,
                name,
            )

        return max(self._granted, key=order)


def backoff_s(attempt: int, randomness: random.Random) -> float:
    """Returns the time before the next attempt, in seconds.

    Args:
      attempt: How many attempts have failed, from 1.
      randomness: The source of the jitter that separates rivals.
    """
    limit = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0**attempt)
    return randomness.uniform(BACKOFF_BASE_S, limit)
