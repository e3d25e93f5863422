"""How old the configuration in force may be before requests with keys are refused."""

# Share of the bound at which a router stops serving: the request was sent before it was
# checked, so that only the clocks' drift is to be covered.
SAFE_SHARE = 0.96
# Two watches fit into the bound with this much to spare, in seconds: for the pause
# after changes and for a call that is answered slowly.
SPARE_SECONDS = 1.0
# Bounds on the wait of a watch, in seconds.
LONGEST_WATCH_SECONDS = 5.0
SHORTEST_WATCH_SECONDS = 0.3


class Freshness:
    """Time at which the configuration in force was last known to be the newest.

    The clock must count the time in which the machine is suspended. A confirmation
    counts from when the question was sent.

    Parameters
    ----------
    bound : float
        Time after which a key taken away must not be served, in seconds; zero for
        none.
    """

    __slots__ = ("_bound", "_confirmed_at")

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self._confirmed_at: float | None = None

    def get_watch_seconds(self, delay: float, handover: float = 0.0) -> float:
        """Return the wait of a watch that confirms often enough.

        A watch confirms what held when it was asked for, so the confirmation is up to
        two watches old before the next one comes.

        Parameters
        ----------
        delay : float
            Time that the store lately took beyond the wait, in seconds.
        handover : float
            Time by which those that follow this router know it later, in seconds.
        """
        if self._bound <= 0.0:
            return LONGEST_WATCH_SECONDS
        usable = SAFE_SHARE * self._bound - SPARE_SECONDS - handover
        wait = usable / 2.0 - delay
        return min(LONGEST_WATCH_SECONDS, max(SHORTEST_WATCH_SECONDS, wait))

    def set_bound(self, bound: float) -> None:
        """Change the bound, in seconds."""
        self._bound = bound

    def confirm(self, asked_at: float) -> None:
        """Note that all changes until ``asked_at`` are in force."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def get_age(self, now: float) -> float | None:
        """Return the age of the confirmation in seconds; None if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_current(self, now: float) -> bool:
        """Whether keys may be trusted."""
        age = self.get_age(now)
        if age is None:
            return False
        return self._bound <= 0.0 or age < SAFE_SHARE * self._bound
