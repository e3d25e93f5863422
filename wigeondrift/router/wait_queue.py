"""Requests that wait for room on a route of their model."""

from collections import deque
from collections.abc import Collection

import trio

from wigeondrift.router.entities import ServiceSpec
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.systems.chains import RouteDemand

# Room that peers give back shows with their next message, in seconds.
POLL_SECONDS = 0.05
# Time over which the rate of room handed out is counted, in seconds.
GRANT_RATE_SECONDS = 2.0
# Assumed while nothing is handed out, so that a few requests wait for the first room.
MIN_GRANTS = 4
# Waiting requests that are tried when room comes free, before the rest is left for
# the next time.
MAX_FAILED_GRANTS = 8


class Waiter:
    """One waiting request.

    Attributes
    ----------
    service : ServiceSpec
    demand : RouteDemand
    excluded : collection of str
    on_time_until : float
        Time until which it still earns its full credit, in seconds.
    reservation : Reservation or None
        Room that was handed to it.
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
    """Hands free room to the waiting requests, those that are still on time first.

    Parameters
    ----------
    selector : Choice
    """

    __slots__ = ("_selector", "_granted_at", "_waiters")

    def __init__(self, selector: UpstreamSelector) -> None:
        self._selector = selector
        self._granted_at: deque[float] = deque()
        self._waiters: list[Waiter] = []

    def estimate_wait(self) -> float:
        """Return the time in which all that wait now will have room, in seconds."""
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
        """Return a reserved route, or None if none had room in time.

        Returns None at once if the queue is too long for room to come in time.
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
        """Give a route's room back and hand it on."""
        reservation.release()
        self.grant_room()

    def grant_room(self) -> None:
        """Hand out the room that there is."""
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
        """Hand out room that peers gave back; a subscriber of the timer."""
        self.grant_room()
