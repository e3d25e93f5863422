"""Jittered waits between tries."""

import random


class Backoff:
    """Waits that grow with each failure, with full jitter above a least wait.

    Parameters
    ----------
    least, most : float
        Bounds of the waits, in seconds.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ("_least", "_most", "_rng", "_upper")

    def __init__(self, least: float, most: float, rng: random.Random) -> None:
        self._least = least
        self._most = most
        self._rng = rng
        self._upper = least

    def reset(self) -> None:
        """Start over after a success."""
        self._upper = self._least

    def next_wait(self) -> float:
        """Return the seconds to wait before the next try."""
        self._upper = min(self._most, self._upper * 2.0)
        return self._rng.uniform(self._least, self._upper)
