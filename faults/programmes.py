"""Random programmes: the sequences of operations that the sessions of a run execute."""

import dataclasses
import enum
import random

AGES_S = (0.0, 1.0, 60.0)
ITEM_COUNT = 6

# A failover ends within the long timeout. The short timeout expires while replies are outstanding.
LONG_TIMEOUT_S = 3.0
SHORT_TIMEOUT_S = 0.25


class Action(enum.Enum):
    """The operation of a programme step."""

    READ = "read"
    WRITE = "write"
    IDEMPOTENT_WRITE = "idempotent write"
    TRANSACTION = "transaction"
    ABORTED_TRANSACTION = "aborted transaction"


@dataclasses.dataclass(frozen=True, slots=True)
class ProgrammeStep:
    """A step of a session's programme.

    Attributes:
      action: The operation.
      group: Index of the database group.
      item: Index of the item in the group.
      max_age_s: Maximum age of the data that a read may return, in seconds.
      think_time_s: Time before the step.
      roam: Whether the session moves to another instance before the step.
      awaited: Whether the session waits for the outcome before its next step.
      timeout_s: Timeout of each request of the step.
    """

    action: Action
    group: int = 0
    item: int = 0
    max_age_s: float = 0.0
    think_time_s: float = 0.0
    roam: bool = False
    awaited: bool = True
    timeout_s: float = LONG_TIMEOUT_S


# Weights of the actions, in the order of Action.
MIXED_WEIGHTS = (50, 25, 10, 12, 3)
READ_ONLY_WEIGHTS = (100, 0, 0, 0, 0)
READ_80_PERCENT_WEIGHTS = (80, 20, 0, 0, 0)
WRITE_ONLY_WEIGHTS = (0, 100, 0, 0, 0)


def random_programme(
    rng: random.Random,
    steps: int,
    think_time_s: float,
    *,
    groups: int = 1,
    weights: tuple[int, ...] = MIXED_WEIGHTS,
    ages: tuple[float, ...] = AGES_S,
    roam_share: float = 0.2,
    overlap_share: float = 0.15,
    short_timeout_share: float = 0.0,
) -> list[ProgrammeStep]:
    """Return a random programme for one session.

    Args:
      rng: Random number generator.
      steps: Number of steps.
      think_time_s: Mean time between two steps, in seconds.
      groups: Number of database groups.
      weights: Weights of the actions.
      ages: Maximum ages that reads choose from, in seconds.
      roam_share: Share of the steps before which the session moves to another instance.
      overlap_share: Share of the steps whose outcome is not awaited before the next step.
      short_timeout_share: Share of the steps with the short timeout.
    """
    chosen_actions = rng.choices(list(Action), weights=weights, k=steps)
    return [
        ProgrammeStep(
            action=action,
            group=rng.randrange(groups),
            item=rng.randrange(ITEM_COUNT),
            max_age_s=rng.choice(ages),
            think_time_s=rng.expovariate(1 / think_time_s),
            roam=rng.random() < roam_share,
            awaited=rng.random() >= overlap_share,
            timeout_s=SHORT_TIMEOUT_S if rng.random() < short_timeout_share else LONG_TIMEOUT_S,
        )
        for action in chosen_actions
    ]
