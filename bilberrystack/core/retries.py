"""Budget for retries, so that they never multiply the load of a fault."""

# Retries allowed for each request of the recent traffic.
RETRY_SHARE = 0.2

# Length of one of the two windows that count as recent traffic, in seconds.
WINDOW_S = 5.0

# Retries allowed without any recent traffic, so that a quiet group can retry too.
FLOOR = 3


class Budget:
    """Counts requests and retries over the current window and the one before."""

    __slots__ = ("_requests", "_retries", "_window")

    def __init__(self) -> None:
        self._window = 0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def record_request(self, now: float) -> None:
        """Counts a request, which earns its share of a retry."""
        self._advance(now)
        self._requests[0] += 1

    def take(self, now: float) -> bool:
        """Takes one retry from the budget.

        Args:
          now: Seconds of the runtime's clock.
        Returns:
          Whether the retry is allowed.
        """
        self._advance(now)
        allowed = FLOOR + int(RETRY_SHARE * sum(self._requests))
        if sum(self._retries) >= allowed:
            return False
        self._retries[0] += 1
        return True

    def _advance(self, now: float) -> None:
        window = int(now // WINDOW_S)
        passed = window - self._window
        if passed <= 0:
            return
        self._window = window
        adjacent = passed == 1
        self._requests = [0, self._requests[0] if adjacent else 0]
        self._retries = [0, self._retries[0] if adjacent else 0]
