"""Queue of requests that wait for capacity on a route of their model."""

from collections import deque
from collections.abc import Collection

import trio

from wigeondrift.router.entities import ServiceSpec
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.systems.chains import RouteDemand
from wigeondrift.timer import Activity

# Interval at which the queue is served, since capacity that peers release becomes known
# only with their next usage message.
POLL_SECONDS = 0.05
# Window in which grants are counted for the estimated wait.
GRANT_RATE_SECONDS = 2.0
# Number of grants assumed if there were fewer in the window, so that a few requests may
# queue before the first grant.
MIN_GRANTS = 4
# Number of waiting requests that may find no route before a pass over the queue ends.
MAX_FAILED_GRANTS = 8


class Waiter:
    """One waiting request.

    Attributes
    ----------
    service : ServiceSpec
    demand : RouteDemand
    excluded : collection of str
    on_time_until : float
        Time until which a response meets its latency objective, in seconds.
    event : trio.Event
        Set when a route has been reserved.
    reservation : Reservation or None
        Capacity granted to the request.
    """

    __slots__ = (
        "demand",
        "event",
        "excluded",
        "on_time_until",
        "reservation",
        "service",
    )

    def __init__(
        self,
        service: ServiceSpec,
        demand: RouteDemand,
        excluded: Collection[str],
        on_time_until: float,
    ) -> None:
        self.service = service
        self.demand = demand
        self.excluded = excluded
        self.on_time_until = on_time_until
        self.reservation: Reservation | None = None
        self.event = trio.Event()


class WaitQueue:
    """Grants free capacity to waiting requests, those that are still on time first.

    Parameters
    ----------
    selector : UpstreamSelector

    Attributes
    ----------
    activity : Activity
        Whether requests wait.
    """

    __slots__ = ("_granted_at", "_selector", "_waiters", "activity")

    def __init__(self, selector: UpstreamSelector) -> None:
        self.activity = Activity()
        self._selector = selector
        self._granted_at: deque[float] = deque()
        self._waiters: list[Waiter] = []

    def estimate_wait(self) -> float:
        """Return the expected time until the current queue is empty, in seconds."""
        now = trio.current_time()
        while self._granted_at and now - self._granted_at[0] > GRANT_RATE_SECONDS:
            self._granted_at.popleft()
        rate = max(MIN_GRANTS, len(self._granted_at)) / GRANT_RATE_SECONDS
        return len(self._waiters) / rate

    def __len__(self) -> int:
        return len(self._waiters)

    async def acquire(
        self,
        service: ServiceSpec,
        demand: RouteDemand,
        excluded: Collection[str],
        on_time_until: float,
        wait_until: float,
    ) -> Reservation | None:
        """Reserve a route, waiting for capacity if there is none.

        Parameters
        ----------
        service : ServiceSpec
        demand : RouteDemand
        excluded : collection of str
            Upstreams that must not be used.
        on_time_until : float
            Time until which a response meets its latency objective, in seconds.
        wait_until : float
            Time until which the request may wait, in seconds.

        Returns
        -------
        Reservation or None
            None if no route had capacity in time, or at once if the queue is too long.
        """
        now = trio.current_time()
        if not self._waiters:
            reservation = self._selector.choose_chain(service, demand, excluded)
            if reservation is not None:
                self._granted_at.append(now)
                return reservation
        if now + self.estimate_wait() >= wait_until:
            return None
        waiter = Waiter(service, demand, excluded, on_time_until)
        self._waiters.append(waiter)
        self.activity.begin()
        try:
            with trio.move_on_at(wait_until):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.reservation is not None:
                self.release(waiter.reservation)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return waiter.reservation

    def release(self, reservation: Reservation) -> None:
        """Release the capacity of a route and grant it to waiting requests."""
        reservation.release()
        self.grant_capacity()

    def grant_capacity(self) -> None:
        """Grant free capacity to waiting requests."""
        if not self._waiters:
            return
        now = trio.current_time()
        order = sorted(
            self._waiters, key=lambda w: (w.on_time_until < now, w.on_time_until)
        )
        failures = 0
        for waiter in order:
            waiter.reservation = self._selector.choose_chain(
                waiter.service, waiter.demand, waiter.excluded
            )
            if waiter.reservation is not None:
                self._waiters.remove(waiter)
                self._granted_at.append(now)
                waiter.event.set()
                continue
            failures += 1
            if failures >= MAX_FAILED_GRANTS:
                return

    async def poll(self, now: float) -> None:
        """Grant capacity that peers released; called by the timer."""
        self.grant_capacity()
        if not self._waiters:
            self.activity.end()
