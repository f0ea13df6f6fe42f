"""Counters of one group owner, exported as metrics."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class GroupCounters:
    """Counters since the owner role was opened.

    Attributes:
      replica_reads: Reads served by replicas.
      primary_reads: Reads served by the primary.
      primary_read_reasons: Reads served by the primary, by reason.
      refusals: Requests with the outcome not run, by reason.
      unknowns: Requests with an unknown outcome, by reason.
      duplicates: Answers recorded by an earlier execution of the same request key.
      watermark_waits: Reads that waited for a replica to reach the required position.
      behind_replies: Reads refused by a replica because it had not applied the required position.
      undurable_reads: Reads whose answer was held until its position was confirmed.
      rounds: Status rounds.
      failed_rounds: Status rounds without answers from a majority.
      confirmation_polls: Long polls for the confirmation of positions.
      retries: Repeated requests.
      denied_retries: Retries denied by the retry budget.
      resolves: Requests whose outcome was resolved by their key.
      lost_links: Statements during which the connection broke.
      queue_waits: Requests that got a slot after waiting in the queue.
      queue_wait_s: Total queue wait of these requests, in seconds.
      late_answers: Statements whose answer had not arrived when the caller stopped waiting.
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
