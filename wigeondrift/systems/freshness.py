"""Maximum age of the active configuration for requests that use API keys."""

# Fraction of the bound after which a router stops accepting keys. The rest only has to
# cover clock drift, as a caller sends its request before the router checks the age.
SERVING_FRACTION = 0.96
# Time by which two consecutive watches stay below the bound, in seconds. It covers the
# pause after changes and a call that is answered slowly.
WATCH_MARGIN_SECONDS = 1.0
# Bounds on the wait time of a watch.
MAX_WATCH_SECONDS = 5.0
MIN_WATCH_SECONDS = 0.3


class Freshness:
    """Time at which the active configuration was last confirmed to be the newest.

    The clock must include the time during which the machine is suspended. A
    confirmation is dated to the time at which its request was sent.

    Parameters
    ----------
    bound : float
        Time after which a revoked key must no longer be accepted, in seconds; zero
        for no bound.
    """

    __slots__ = ("_bound", "_confirmed_at")

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self._confirmed_at: float | None = None

    def get_watch_seconds(
        self, store_delay: float, propagation_seconds: float = 0.0
    ) -> float:
        """Return the wait time of a watch that keeps the age in bounds, in seconds.

        A watch confirms the state at the time of its request, so a confirmation is up
        to two watches old before the next one arrives.

        Parameters
        ----------
        store_delay : float
            Recent response time of the store beyond the wait, in seconds.
        propagation_seconds : float
            Additional delay until the routers that query this one receive the
            confirmation, in seconds.
        """
        if self._bound <= 0.0:
            return MAX_WATCH_SECONDS
        usable = (
            SERVING_FRACTION * self._bound - WATCH_MARGIN_SECONDS - propagation_seconds
        )
        wait = usable / 2.0 - store_delay
        return min(MAX_WATCH_SECONDS, max(MIN_WATCH_SECONDS, wait))

    def set_bound(self, bound: float) -> None:
        """Change the bound, in seconds."""
        self._bound = bound

    def confirm(self, asked_at: float) -> None:
        """Record that all changes up to ``asked_at`` have been applied."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def get_age(self, now: float) -> float | None:
        """Return the age of the last confirmation in seconds, None if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_current(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept keys."""
        age = self.get_age(now)
        if age is None:
            return False
        return self._bound <= 0.0 or age < SERVING_FRACTION * self._bound
