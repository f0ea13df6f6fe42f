"""Random programmes of sessions: what callers do in a run."""

import dataclasses
import enum
import random

AGES_S = (0.0, 1.0, 60.0)
ITEMS = 6

# The long timeout outlasts a failover; the short one leaves answers outstanding.
LONG_TIMEOUT_S = 3.0
SHORT_TIMEOUT_S = 0.25


class Action(enum.Enum):
    """What a step does."""

    READ = "read"
    WRITE = "write"
    IDEMPOTENT_WRITE = "idempotent write"
    TRANSACTION = "transaction"
    ABORTED_TRANSACTION = "aborted transaction"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a session.

    Attributes:
      action: What it does.
      group: The number of the database group.
      item: The number of the item.
      age: The stated age of a read, in seconds.
      think_s: Time before the step.
      roam: Whether the session moves to another instance first.
      wait: Whether the session waits for the outcome before it goes on.
      timeout_s: How long each of its requests may take.
    """

    action: Action
    group: int = 0
    item: int = 0
    age: float = 0.0
    think_s: float = 0.0
    roam: bool = False
    wait: bool = True
    timeout_s: float = LONG_TIMEOUT_S


# Weights of the actions, in their order.
MIXED = (50, 25, 10, 12, 3)
READS = (100, 0, 0, 0, 0)
READS_80 = (80, 20, 0, 0, 0)
WRITES = (0, 100, 0, 0, 0)


def programme(
    rng: random.Random,
    steps: int,
    think_s: float,
    *,
    groups: int = 1,
    weights: tuple[int, ...] = MIXED,
    ages: tuple[float, ...] = AGES_S,
    roam: float = 0.2,
    overlap: float = 0.15,
    hurried: float = 0.0,
) -> list[Step]:
    """Returns the steps of one session.

    Args:
      rng: The source of randomness.
      steps: How many steps.
      think_s: Mean time between two steps.
      groups: How many database groups.
      weights: Weights of the actions.
      ages: Stated ages of reads.
      roam: Share of the steps before which the session moves to another instance.
      overlap: Share of the steps that are not waited for.
      hurried: Share of the steps with the short timeout.
    """
    actions = rng.choices(list(Action), weights=weights, k=steps)
    return [
        Step(
            action=action,
            group=rng.randrange(groups),
            item=rng.randrange(ITEMS),
            age=rng.choice(ages),
            think_s=rng.expovariate(1 / think_s),
            roam=rng.random() < roam,
            wait=rng.random() >= overlap,
            timeout_s=SHORT_TIMEOUT_S if rng.random() < hurried else LONG_TIMEOUT_S,
        )
        for action in actions
    ]
