"""Queue of requests that wait for capacity on a route of their model."""

from collections import deque
from collections.abc import Collection

import trio

from wigeondrift.router.entities import ServiceSpec
from wigeondrift.router.pressure import Pressure
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.systems.chains import RouteDemand
from wigeondrift.systems.grant_order import (
    Claim,
    GrantOrder,
    Precedence,
    count_ahead,
)
from wigeondrift.telemetry.metrics import Metric, Metrics, NullMetrics
from wigeondrift.timer import Activity

# Interval at which the queue is served, since capacity that peers release becomes known
# only with their next usage message.
POLL_SECONDS = 0.05
# Window in which grants are counted for the estimated wait.
GRANT_RATE_SECONDS = 2.0
# Number of grants assumed if there were fewer in the window, so that a few requests may
# queue before the first grant.
MIN_GRANTS = 4
# Metrics of the most urgent priority of a service, the next one, and all others.
WAITING_METRICS = (
    Metric.WAITING_FIRST,
    Metric.WAITING_SECOND,
    Metric.WAITING_OTHERS,
)
NO_PRECEDENCE = Precedence()
GRANT_METRICS = (Metric.GRANTS_FIRST, Metric.GRANTS_SECOND, Metric.GRANTS_OTHERS)


class Waiter(Claim):
    """One waiting request.

    Attributes
    ----------
    service : ServiceSpec
    demand : RouteDemand
    excluded : collection of str
    arrived_at : float
        Time at which the request began to wait, in seconds.
    event : trio.Event
        Set when a route has been reserved.
    reservation : Reservation or None
        Capacity granted to the request.
    """

    __slots__ = (
        "arrived_at",
        "demand",
        "event",
        "excluded",
        "reservation",
        "service",
    )

    def __init__(
        self,
        service: ServiceSpec,
        demand: RouteDemand,
        excluded: Collection[str],
        on_time_until: float,
        precedence: Precedence,
        arrived_at: float,
    ) -> None:
        super().__init__(precedence, on_time_until, demand.tokens, bool(excluded))
        self.service = service
        self.demand = demand
        self.excluded = excluded
        self.arrived_at = arrived_at
        self.reservation: Reservation | None = None
        self.event = trio.Event()


class WaitQueue:
    """Grants free capacity to waiting requests in the order of ``GrantOrder``.

    Parameters
    ----------
    selector : UpstreamSelector
    metrics : Metrics, optional
    pressure : Pressure, optional
        Requests that wait at other routers.

    Attributes
    ----------
    activity : Activity
        Whether requests wait.
    """

    __slots__ = (
        "_granted_at",
        "_metrics",
        "_orders_by_service",
        "_pressure",
        "_selector",
        "_waiters",
        "activity",
    )

    def __init__(
        self,
        selector: UpstreamSelector,
        metrics: Metrics | None = None,
        pressure: Pressure | None = None,
    ) -> None:
        self.activity = Activity()
        self._selector = selector
        self._granted_at: deque[float] = deque()
        self._waiters: list[Waiter] = []
        self._metrics = metrics or NullMetrics()
        self._pressure = pressure
        self._orders_by_service: dict[str, GrantOrder] = {}

    def estimate_wait(
        self, service: str = "", precedence: Precedence | None = None
    ) -> float:
        """Return the expected time until a new request gets capacity, in seconds.

        Without ``precedence``, it is the time until the current queue is empty.
        """
        now = trio.current_time()
        while self._granted_at and now - self._granted_at[0] > GRANT_RATE_SECONDS:
            self._granted_at.popleft()
        rate = max(MIN_GRANTS, len(self._granted_at)) / GRANT_RATE_SECONDS
        if precedence is None:
            return len(self._waiters) / rate
        same = [waiter.precedence for waiter in self._list_waiting(service)]
        others = len(self._waiters) - len(same)
        wait = (others + count_ahead(precedence, same)) / rate
        if self._pressure is not None:
            wait += self._pressure.get_wait(service, precedence, now)
        return wait

    def _is_held_back(self, waiter: Waiter) -> bool:
        return self._pressure is not None and self._pressure.is_held_back(
            waiter.service.name, waiter.precedence, trio.current_time()
        )

    def __len__(self) -> int:
        return len(self._waiters)

    async def acquire(
        self,
        service: ServiceSpec,
        demand: RouteDemand,
        excluded: Collection[str],
        on_time_until: float,
        wait_until: float,
        precedence: Precedence = NO_PRECEDENCE,
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
        precedence : Precedence, optional

        Returns
        -------
        Reservation or None
            None if no route had capacity in time, or at once if the queue is too long.
        """
        now = trio.current_time()
        waiter = Waiter(service, demand, excluded, on_time_until, precedence, now)
        if not self._list_waiting(service.name):
            self._set_margin(waiter, now)
            if self._try_reserve(waiter):
                self._get_order(service.name).record_grant(waiter, now)
                self._record_grant(waiter, now)
                return waiter.reservation
        if now + self.estimate_wait(service.name, precedence) >= wait_until:
            self._count_refusal(waiter)
            return None
        may_go_first = self._may_go_first(waiter)
        self._waiters.append(waiter)
        if may_go_first:
            self._grant_service(service.name, now, waiter)
            if waiter.reservation is not None:
                return waiter.reservation
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
        if waiter.reservation is None:
            self._count_refusal(waiter)
        return waiter.reservation

    def _count_refusal(self, waiter: Waiter) -> None:
        if self._is_held_back(waiter):
            self._metrics.count(Metric.REFUSED_UNDER_PRESSURE)

    def _set_margin(self, waiter: Waiter, now: float) -> None:
        if self._pressure is not None:
            waiter.margin = self._pressure.get_margin(
                waiter.service, waiter.precedence, now
            )

    def _try_reserve(self, waiter: Waiter) -> bool:
        waiter.demand.margin = waiter.margin
        waiter.reservation = self._selector.choose_chain(
            waiter.service, waiter.demand, waiter.excluded
        )
        return waiter.reservation is not None

    def _list_waiting(self, service: str) -> list[Waiter]:
        return [w for w in self._waiters if w.service.name == service]

    def _may_go_first(self, new: Waiter) -> bool:
        """Whether a new request goes before all that wait for its service."""
        waiting = self._list_waiting(new.service.name)
        return bool(waiting) and all(
            (new.precedence.priority, not new.precedence.is_resumed)
            < (w.precedence.priority, not w.precedence.is_resumed)
            for w in waiting
        )

    def _get_order(self, service: str) -> GrantOrder:
        return self._orders_by_service.setdefault(service, GrantOrder())

    def _record_grant(self, waiter: Waiter, now: float) -> bool:
        """Record a grant; return whether margins of other requests changed."""
        self._granted_at.append(now)
        rank = min(waiter.precedence.rank, len(GRANT_METRICS) - 1)
        self._metrics.count(GRANT_METRICS[rank])
        return self._pressure is not None and self._pressure.record_grant(
            waiter.service, waiter.precedence, waiter.margin, now
        )

    def release(self, reservation: Reservation) -> None:
        """Release the capacity of a route and grant it to waiting requests."""
        reservation.release()
        self.grant_capacity()

    def grant_capacity(self) -> None:
        """Grant free capacity to waiting requests."""
        now = trio.current_time()
        for service in {waiter.service.name: None for waiter in self._waiters}:
            self._grant_service(service, now)

    def _grant_service(
        self, service: str, now: float, last: Waiter | None = None
    ) -> None:
        """Grant free capacity of one service; stop after ``last`` has been tried."""
        waiters = self._list_waiting(service)
        for waiter in waiters:
            self._set_margin(waiter, now)
        grant_pass = self._get_order(service).start_pass(waiters, now, self._fits_idle)
        while (waiter := grant_pass.next()) is not None:
            if not self._try_reserve(waiter):
                grant_pass.record_failure(waiter)
            else:
                grant_pass.record_grant(waiter)
                self._waiters.remove(waiter)
                waiter.event.set()
                if self._record_grant(waiter, now):
                    for other in waiters:
                        self._set_margin(other, now)
            if waiter is last:
                return

    def _fits_idle(self, waiter: Waiter) -> bool:
        return self._selector.fits_idle(waiter.service, waiter.demand, waiter.excluded)

    async def poll(self, now: float) -> None:
        """Grant capacity that peers released; called by the timer."""
        self.grant_capacity()
        self._report_waiting()
        self._tell_others(now)
        if not self._waiters:
            self.activity.end()

    def _tell_others(self, now: float) -> None:
        if self._pressure is None:
            return
        for service in {waiter.service.name: None for waiter in self._waiters}:
            waiting = [
                (waiter.precedence, waiter.arrived_at)
                for waiter in self._list_waiting(service)
            ]
            self._pressure.tell(service, waiting, now)

    def _report_waiting(self) -> None:
        counts = [0] * len(WAITING_METRICS)
        for waiter in self._waiters:
            counts[min(waiter.precedence.rank, len(counts) - 1)] += 1
        for metric, count in zip(WAITING_METRICS, counts, strict=True):
            self._metrics.gauge(metric, count)
