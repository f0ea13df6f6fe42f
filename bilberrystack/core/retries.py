"""Retry budget, which prevents retries from multiplying the load during a fault."""

# Number of retries allowed per recent request.
RETRY_RATIO = 0.2

# Length of a counting window, in seconds. The current and the previous window count as recent.
WINDOW_S = 5.0

# Number of retries allowed in addition, so that retries are possible without recent requests.
MIN_RETRIES = 3


class Budget:
    """Retry budget based on the requests and retries of the current and the previous window."""

    __slots__ = ("_requests", "_retries", "_window")

    def __init__(self) -> None:
        self._window = 0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def record_request(self, now: float) -> None:
        """Counts a request, which increases the budget by RETRY_RATIO.

        Args:
          now: Seconds of the event loop's clock.
        """
        self._advance_windows(now)
        self._requests[0] += 1

    def try_acquire(self, now: float) -> bool:
        """Consumes one retry of the budget if one is available.

        Args:
          now: Seconds of the event loop's clock.
        Returns:
          Whether the retry is allowed.
        """
        self._advance_windows(now)
        allowed = MIN_RETRIES + int(RETRY_RATIO * sum(self._requests))
        if sum(self._retries) >= allowed:
            return False
        self._retries[0] += 1
        return True

    def _advance_windows(self, now: float) -> None:
        window = int(now // WINDOW_S)
        elapsed_windows = window - self._window
        if elapsed_windows <= 0:
            return
        self._window = window
        adjacent = elapsed_windows == 1
        self._requests = [0, self._requests[0] if adjacent else 0]
        self._retries = [0, self._retries[0] if adjacent else 0]
