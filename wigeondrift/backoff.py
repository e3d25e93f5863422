"""Exponential backoff with jitter."""

import random


class Backoff:
    """Exponential backoff with full jitter above a minimum wait.

    Parameters
    ----------
    min_wait, max_wait : float
        Minimum and maximum wait, in seconds.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ("_min_wait", "_max_wait", "_rng", "_upper_bound")

    def __init__(self, min_wait: float, max_wait: float, rng: random.Random) -> None:
        self._min_wait = min_wait
        self._max_wait = max_wait
        self._rng = rng
        self._upper_bound = min_wait

    def reset(self) -> None:
        """Reset the wait after a success."""
        self._upper_bound = self._min_wait

    def next_wait(self) -> float:
        """Return the wait before the next retry, in seconds."""
        self._upper_bound = min(self._max_wait, self._upper_bound * 2.0)
        return self._rng.uniform(self._min_wait, self._upper_bound)
