"""Retry budget of one router and the part of it that is lent to the shared pool."""

from collections import deque

# Share of the allowance that is used; the rest covers peers not yet known.
SAFETY_SHARE = 0.8
# Number of peers assumed while the list of routers is unknown.
ASSUMED_PEERS = 16
# Part of its share of the fixed allowance that a router never lends.
KEPT_SHARE = 0.25
# Time for which a share is lent, in seconds.
LEASE_SECONDS = 3.0
# Added to the window in which lent repeats count: they reach an upstream later than
# the issuer grants them, by a message and the choice of an upstream.
ARRIVAL_MARGIN_SECONDS = 0.5
# Process that a share is lent to: its name and a number of this process alone.
Holder = tuple[str, int]


class RepeatBudget:
    """Sliding windows of the requests and repeats of one service.

    A repeat is a retry of an attempt that was sent to an upstream. Each router may
    repeat a share of the requests that it receives, plus its part of a fixed allowance.
    Both bounds hold for any distribution of load over the routers. A router that
    restarts loses the count of its repeats, so the fixed allowance is split as if there
    were one more router than known.

    What a router does not use of its part it may lend to the router that issues repeats
    to all. A loan counts as used until no window can hold a repeat of its holder.

    Parameters
    ----------
    ratio : float
        Repeats per request.
    slack : float
        Additional repeats of all routers together in each window.
    window : float
        Length of a window in seconds.
    """

    __slots__ = (
        "_loans_by_holder",
        "_ratio",
        "_repeats",
        "_requests",
        "_slack",
        "_window",
    )

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        # Amount lent, and the time until which it counts.
        self._loans_by_holder: dict[Holder, tuple[float, float]] = {}

    @property
    def window(self) -> float:
        """Length of the window in which lent repeats count, in seconds."""
        return self._window + ARRIVAL_MARGIN_SECONDS

    def update_bounds(self, ratio: float, slack: float, window: float) -> None:
        """Change the bounds; requests, repeats and loans already counted remain."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def record_request(self, now: float) -> None:
        """Count a request received from a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def get_share(self, peers: int) -> float:
        """Return this router's part of the fixed allowance."""
        routers = (peers or ASSUMED_PEERS) + 2
        return SAFETY_SHARE * self._slack / routers

    def try_acquire(self, peers: int, now: float) -> bool:
        """Consume one repeat; return false if the budget is exhausted.

        Parameters
        ----------
        peers : int
            Number of other routers known; zero if the list is unknown.
        now : float
        """
        self._drop_expired(now)
        allowed = self._count_earned() + self.get_share(peers) - self._sum_loans()
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def lend(self, holder: Holder, peers: int, now: float) -> float:
        """Lend what is free of this router's share; return the amount of the loan.

        The loan lasts for ``LEASE_SECONDS`` from now at most. A loan that is renewed
        gets no smaller, as its holder may have used it.
        """
        self._drop_expired(now)
        if not peers:
            return 0.0
        lent, _ = self._loans_by_holder.get(holder, (0.0, 0.0))
        lent_to_others = self._sum_loans() - lent
        used = max(0.0, len(self._repeats) - self._count_earned())
        free = (1.0 - KEPT_SHARE) * self.get_share(peers) - used - lent_to_others
        amount = max(lent, free)
        if amount > 0.0:
            until = now + LEASE_SECONDS + self.window
            self._loans_by_holder[holder] = (amount, until)
        return amount

    def _count_earned(self) -> float:
        """Return the repeats that the requests of the window allow."""
        return SAFETY_SHARE * self._ratio * len(self._requests)

    def _sum_loans(self) -> float:
        return sum(amount for amount, _ in self._loans_by_holder.values())

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
        for holder, (_, until) in list(self._loans_by_holder.items()):
            if now > until:
                del self._loans_by_holder[holder]
