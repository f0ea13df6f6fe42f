"""Values that the holders of quota fractions and the coordinator exchange.

Clocks of two machines are never compared: a holder counts the duration of its fractions from the
sending of the heartbeat that is answered, the coordinator from its later answer.
"""

import dataclasses
import math

# How long a holder may use its fractions after it has sent the heartbeat that was answered. They
# outlast an ordinary change of the coordinator, 2.3 to 3.5 s. A new coordinator waits as long for
# registered instances that do not report: with 8 s, and one machine lost for good, no account was
# served for 9 s after all processes had been killed.
SHARE_DURATION_S = 5.0

# Length of the window in which the operations of an account are bounded.
QUOTA_WINDOW_S = 5.0

# Tokens of the free part are lost if they arrive later than this after the request. Those in
# transit come on top of the bound: 0.3 s of the rate are 6% of a window, less than the tolerance.
TOKEN_DURATION_S = 0.3

# Operations that each holder may run beyond its fraction, so that a small fraction is usable, and
# the number of holders of an account within a window. Together these stay below the slack of 20.
HOLDER_EXTRA = 2.0
MAX_HOLDERS = 8

# Number of entries in the claims of one heartbeat, which keeps it far below the size of a datagram.
MAX_ENTRIES = 512

# Fractions are multiples of 2^-20. Sums of a few of them are exact in floating point, so that
# rounding never makes the fractions of an account add up to more than 1.
_QUANTA = 1 << 20

# Orders assignments: fencing token of the coordinator, then the number of the assignment. Number 0
# stands for a coordinator that has assigned nothing yet.
AssignmentNumber = tuple[int, int]
INITIAL_ASSIGNMENT: AssignmentNumber = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Limit of an account over all instances.

    Attributes:
      rate_per_s: Operations per second.
      burst: Operations that may run at once after a time without any.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a holder has and needs of one account.

    Attributes:
      account: Name of the account.
      fraction: Fraction of the limit that the holder uses.
      demand_per_s: Operations asked for per second, including refused ones.
      waiting_count: Operations that have begun to wait for room since the last claims.
    """

    account: str
    fraction: float
    demand_per_s: float
    waiting_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """All fractions and needs of a holder at one time. It holds nothing of other accounts.

    Attributes:
      number: Increases with each claims of the process.
      acknowledged: The last applied assignment. The holder ignores earlier ones from now on.
      entries: At most `MAX_ENTRIES`, those with the most demand first.
    """

    number: int
    acknowledged: AssignmentNumber
    entries: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What the coordinator lends of one account.

    Attributes:
      account: Name of the account.
      fraction: Fraction of the limit, in place of the previous one.
      saturated: Whether the account's demand leaves no room, so that asking again does not help.
      tokens: Operations from the free part that may run in addition, once, by an instance that
        receives them in time.
    """

    account: str
    fraction: float
    saturated: bool
    tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """All that the coordinator lends to a holder.

    Attributes:
      number: Increases with each assignment under a token. 0 for an answer that changes no
        fraction, and only makes the holder follow this coordinator.
      shares: The fractions; the holder keeps nothing of other accounts unless `number` is 0.
    """

    number: int
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The operation may run.

    Attributes:
      account: Name of the account.
      period: Identifies a time without overflow of the bucket; None if nothing was counted.
    """

    account: str
    period: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The operation should ask again, after a new assignment or a delay.

    Attributes:
      wait_s: The delay in seconds.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The operation does not run.

    Attributes:
      retry_after_s: Expected time in seconds until there is room.
      saturated: Whether the coordinator knows of no room either. Otherwise the coordinator has not
        answered, and there may be room once it does.
    """

    retry_after_s: float
    saturated: bool = True


Verdict = Taken | Wait | Refused


def round_down(fraction: float) -> float:
    """Return the largest valid fraction, a multiple of 2^-20 in 0 to 1, up to a number."""
    if not fraction > 0.0:
        return 0.0
    return math.floor(min(1.0, fraction) * _QUANTA) / _QUANTA


def round_up(fraction: float) -> float:
    """Return the smallest valid fraction from a number on, at most 1; 1 for a number that is none.

    Args:
      fraction: A claimed fraction, which may come from a faulty process.
    """
    if math.isnan(fraction):
        return 1.0
    return math.ceil(max(0.0, min(1.0, fraction)) * _QUANTA) / _QUANTA
