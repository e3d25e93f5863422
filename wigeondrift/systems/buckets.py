"""Token bucket for rate limiting."""

EPSILON = 1e-9


class TokenBucket:
    """Token bucket whose level may become negative after one large cost.

    A cost up to the burst size requires a level of at least the cost. A larger cost
    requires a full bucket and leaves a negative level, so that it is admitted without
    raising the mean rate.

    Parameters
    ----------
    rate : float
        Units added per second.
    burst : float
        Maximum level, in units.
    now : float
        Current time in seconds.

    Attributes
    ----------
    level : float
        Available units at the last update; may be negative.
    """

    __slots__ = ("_burst", "_rate", "_updated_at", "level")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._updated_at = now
        self.level = burst

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst size from ``now`` on."""
        if rate == self._rate and burst == self._burst:
            return
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self.level = min(self.level, burst)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self.level = min(self._burst, self.level + elapsed * self._rate)
        self._updated_at = max(now, self._updated_at)

    def get_wait(self, cost: float, now: float, ahead: float = 0.0) -> float:
        """Return the seconds until ``cost`` may be consumed; infinite if never.

        Parameters
        ----------
        cost : float
            Requested units.
        now : float
            Current time in seconds.
        ahead : float
            Units that queued requests will consume first.
        """
        self._refill(now)
        missing = ahead + min(cost, self._burst) - self.level
        if missing <= EPSILON:
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return missing / self._rate

    def consume(self, cost: float) -> None:
        """Remove ``cost`` units; the level may become negative."""
        self.level -= cost

    def refund(self, cost: float) -> None:
        """Add back units that were consumed but not used."""
        self.level = min(self._burst, self.level + cost)
