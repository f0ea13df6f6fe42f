"""Settings of the session mode that the platform's file does not have."""

import collections.abc
import dataclasses
import math
import os

# Price of a megabyte that leaves the failure domain, as the wait in seconds that it is worth.
CROSSING_PRICE_VARIABLE = "BILBERRYSTACK_CROSSING_PRICE_S_PER_MB"

# Megabytes that the connections of clients and other instances may make the process hold.
CLIENT_MEMORY_VARIABLE = "BILBERRYSTACK_CLIENT_MEMORY_MB"

BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Values:
    """Values of the environment variables.

    Attributes:
      crossing_price_s_per_mb: Price of a megabyte that leaves the failure domain; 0 for none.
      budget_bytes: What connections may make the process hold; 0 for a fraction of the memory.
    """

    crossing_price_s_per_mb: float
    budget_bytes: int


def load(
    memory_bytes: int, environment: collections.abc.Mapping[str, str] | None = None
) -> tuple[Values, tuple[str, ...]]:
    """Read the environment variables.

    Args:
      memory_bytes: Memory that the process may take.
      environment: Environment variables; None for those of the process.
    Returns:
      The values, with the default in place of an invalid one, and a line for each problem.
    """
    environment = os.environ if environment is None else environment
    problems = []
    text = environment.get(CROSSING_PRICE_VARIABLE, "0")
    price_s_per_mb = _parse(text)
    if price_s_per_mb is None or price_s_per_mb < 0:
        problems.append(f"{CROSSING_PRICE_VARIABLE}: {text!r} is not a finite number of at least 0")
        price_s_per_mb = 0.0
    budget_bytes = 0
    if CLIENT_MEMORY_VARIABLE in environment:
        text = environment[CLIENT_MEMORY_VARIABLE]
        budget_bytes = int((_parse(text) or 0) * BYTES_PER_MB)
        if not 0 < budget_bytes < memory_bytes:
            problems.append(
                f"{CLIENT_MEMORY_VARIABLE}: {text} MB is not between 0 and the machine's memory, "
                f"{memory_bytes / BYTES_PER_MB:g} MB"
            )
    return Values(price_s_per_mb, budget_bytes), tuple(problems)


def _parse(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
