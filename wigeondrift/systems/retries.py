"""Budget that keeps recovery from multiplying the load."""

RETRIES_PER_SUCCESS = 0.25
BURST_RETRIES = 60.0


class RetryBudget:
    """Token bucket that successful requests fill.

    Parameters
    ----------
    per_success : float
        Retries that each success pays for.
    burst : float
        Retries that the bucket holds at most and at the start.
    """

    __slots__ = ("_burst", "_per_success", "refused", "retries")

    def __init__(
        self, per_success: float = RETRIES_PER_SUCCESS, burst: float = BURST_RETRIES
    ) -> None:
        self._per_success = per_success
        self._burst = burst
        self.retries = burst
        self.refused = 0

    def record_success(self) -> None:
        """Pay in for a request that ended well."""
        self.retries = min(self._burst, self.retries + self._per_success)

    def try_acquire(self) -> bool:
        """Take one retry; false if none is left."""
        if self.retries < 1:
            self.refused += 1
            return False
        self.retries -= 1
        return True
