"""How old the configuration in force may be before requests with keys are refused."""

# Share of the bound at which a router stops serving; the rest covers clocks and the
# time between the check and the send.
SAFE_SHARE = 0.85
# Waits of a watch are this share of the bound, so that two fit in a row.
WATCH_SHARE = 0.3
# Wait of a watch where no bound is set, in seconds.
LONGEST_WATCH_SECONDS = 5.0


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

    @property
    def watch_seconds(self) -> float:
        """Wait of a watch that confirms often enough."""
        if self._bound <= 0.0:
            return LONGEST_WATCH_SECONDS
        return min(LONGEST_WATCH_SECONDS, WATCH_SHARE * self._bound)

    def rebound(self, bound: float) -> None:
        """Take another bound, in seconds."""
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
