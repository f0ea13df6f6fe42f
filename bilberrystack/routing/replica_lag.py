"""Estimate of a replica's replication lag, derived from the reads that it could not serve."""

# Ratio of the estimated lag to the age of a position that the replica lacked.
GROWTH_FACTOR = 1.3

# Factor applied to the estimate for each requested position that the replica had.
SHRINK_FACTOR = 0.98

# Half-life of the estimate without new observations, in seconds. Routes allow reads of data that is
# 1.5 to 2.5 s old, so that a replica that had fallen behind is tried again about a second later. An
# unsuccessful try costs one round trip.
HALF_LIFE_S = 1.0


class LagEstimate:
    """Estimated lag of one replica, which decays while the replica receives no reads."""

    __slots__ = ("_lag_s", "_updated_at_s")

    def __init__(self) -> None:
        self._lag_s = 0.0
        self._updated_at_s = 0.0

    def seconds(self, now_s: float) -> float:
        """Returns the estimated lag, in seconds.

        Args:
          now_s: Current time.
        """
        if self._lag_s == 0.0:
            return 0.0
        return float(self._lag_s * 0.5 ** ((now_s - self._updated_at_s) / HALF_LIFE_S))

    def record_missing(self, age_s: float, now_s: float) -> None:
        """Raises the estimate because the replica lacked a requested position.

        Args:
          age_s: Time since the primary is known to have had the position, in seconds.
          now_s: Current time.
        """
        self._lag_s = max(self.seconds(now_s), age_s * GROWTH_FACTOR)
        self._updated_at_s = now_s

    def record_present(self, now_s: float) -> None:
        """Lowers the estimate because the replica had a requested position.

        Args:
          now_s: Current time.
        """
        self._lag_s = self.seconds(now_s) * SHRINK_FACTOR
        self._updated_at_s = now_s
