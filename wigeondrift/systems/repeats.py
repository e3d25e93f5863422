"""Retry budget that all routers share without coordination."""

from collections import deque

# Share of the allowance that is used; the rest covers peers not yet known.
SAFETY_SHARE = 0.8
# Number of peers assumed while the list of routers is unknown.
ASSUMED_PEERS = 16


class RepeatBudget:
    """Sliding windows of the requests and repeats of one service.

    A repeat is a retry of an attempt that was sent to an upstream. Each router may
    repeat a share of the requests that it receives, plus its part of a fixed allowance.
    Both bounds hold for any distribution of load over the routers. A router that
    restarts loses the count of its repeats, so the fixed allowance is split as if there
    were one more router than known.

    Parameters
    ----------
    ratio : float
        Repeats per request.
    slack : float
        Additional repeats of all routers together in each window.
    window : float
        Length of a window in seconds.
    """

    __slots__ = ("_ratio", "_repeats", "_requests", "_slack", "_window")

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def update_bounds(self, ratio: float, slack: float, window: float) -> None:
        """Change the bounds; requests and repeats already counted remain."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def record_request(self, now: float) -> None:
        """Count a request received from a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_acquire(self, peers: int, now: float) -> bool:
        """Consume one repeat; return false if the budget is exhausted.

        Parameters
        ----------
        peers : int
            Number of other routers known; zero if the list is unknown.
        now : float
        """
        self._drop_expired(now)
        routers = (peers or ASSUMED_PEERS) + 2
        allowed = SAFETY_SHARE * (
            self._ratio * len(self._requests) + self._slack / routers
        )
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
