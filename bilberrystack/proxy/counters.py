"""Counts of one group owner, which metrics export."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class GroupCounters:
    """Counts since the owner role began.

    Attributes:
      replica_reads: Reads that replicas served.
      primary_reads: Reads that the primary served.
      primary_read_reasons: Reads that the primary served, by reason.
      refusals: Requests that ended as not run, by reason.
      unknowns: Requests that ended as unknown, by reason.
      duplicates: Answers that an earlier run of the key had recorded.
      watermark_waits: Reads that waited for a replica to reach their position.
      behind_replies: Reads that a replica refused because it was behind.
      undurable_reads: Reads whose answer had to wait for the confirmation of its position.
      rounds: Status rounds.
      failed_rounds: Status rounds without a majority.
      confirmation_polls: Long polls for the confirmation of positions.
      retries: Requests sent again.
      denied_retries: Retries that the budget did not allow.
      resolves: Requests resolved by their key.
      lost_links: Statements whose connection broke.
      queue_waits: Requests that waited for a slot and got one.
      queue_wait_s: Seconds that these requests waited, in sum.
      late_answers: Statements whose answer was outstanding when the caller's wait ended.
    """

    replica_reads: int = 0
    primary_reads: int = 0
    primary_read_reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    unknowns: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    duplicates: int = 0
    watermark_waits: int = 0
    behind_replies: int = 0
    undurable_reads: int = 0
    rounds: int = 0
    failed_rounds: int = 0
    confirmation_polls: int = 0
    retries: int = 0
    denied_retries: int = 0
    resolves: int = 0
    lost_links: int = 0
    queue_waits: int = 0
    queue_wait_s: float = 0.0
    late_answers: int = 0
