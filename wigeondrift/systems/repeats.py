"""Budget of repeats that all routers share without talking to each other."""

from collections import deque

# Share of the allowance that is used; the rest covers peers that are not known yet.
SAFETY_SHARE = 0.8
# Peers assumed while the list of routers is not known.
UNKNOWN_PEERS = 16


class RepeatBudget:
    """Sliding windows of requests and repeats of one service.

    Each router may repeat a share of the requests that it takes itself, and its part
    of the fixed allowance. Both hold however uneven the routers' loads are. A router
    that starts again forgets its repeats, so the fixed part is split as if there were
    one router more than known.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats besides, over all routers, in each window.
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
        """Take other bounds; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def note_request(self, now: float) -> None:
        """Count a request taken from a caller."""
        self._requests.append(now)
        self._forget_old(now)

    def take(self, peers: int, now: float) -> bool:
        """Take one repeat; false if none is left.

        Parameters
        ----------
        peers : int
            Other routers known; zero if the list is not known.
        now : float
        """
        self._forget_old(now)
        routers = (peers or UNKNOWN_PEERS) + 2
        allowed = SAFETY_SHARE * (
            self._ratio * len(self._requests) + self._slack / routers
        )
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget_old(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
