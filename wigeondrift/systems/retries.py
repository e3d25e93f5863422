"""Retry budget that keeps retries from multiplying the load."""

RETRIES_PER_SUCCESS = 0.25
BURST_RETRIES = 60.0


class RetryBudget:
    """Token bucket that successful requests refill.

    Parameters
    ----------
    per_success : float
        Retries added by each success.
    burst : float
        Capacity of the bucket and its initial content, in retries.
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
        """Refill the bucket for a successful request."""
        self.retries = min(self._burst, self.retries + self._per_success)

    def try_acquire(self) -> bool:
        """Consume one retry; return false if the bucket is empty."""
        if self.retries < 1:
            self.refused += 1
            return False
        self.retries -= 1
        return True
