"""Placement of layers on runners, done by the router that holds the leader lease.

Two leaders at the same time are harmless: both plan from the runners' reports, and
each order carries the number of orders that the runner must have accepted before, so
that a runner rejects an order from an outdated plan.
"""

import logging
from collections.abc import Callable

import trio

from wigeondrift.application import Component
from wigeondrift.errors import (
    LeaseEnded,
    OrderRejected,
    PlatformError,
    RevisionConflict,
    TransportError,
)
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import EngineSpec, RunnerReport, Upstream
from wigeondrift.router.replica import ROUTER_KEYS_PREFIX, Replica
from wigeondrift.store.revisions import Lease, RevisionStore
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.placement import Placement, Range
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

LEADER_KEY = ROUTER_KEYS_PREFIX + "planner"
# The lease is short so that another router takes over soon after the leader has died.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
# Orders are sent only within this time after the lease was requested, because the
# store expires the lease by its own clock.
LEASE_USABLE_SECONDS = 2.0
TICK_SECONDS = 0.25
# The same for a router that is not among the few that campaign first.
SLOW_TICK_SECONDS = 1.0
# The list of runners must have been unchanged for this long before the first placement.
SETTLE_SECONDS = 1.0
# Added to a multiple of the load time of an order. After that, the order is ignored if
# the runner's entry still does not show its range.
ORDER_TIMEOUT_MARGIN_SECONDS = 3.0
RETRY_SECONDS = 1.0
# Orders sent at a time, each over a connection of its own.
MAX_CONCURRENT_ORDERS = 64
# Time for which there must have been no leader before a router campaigns. By then the
# entries of the other routers are known, so that only a few preferred routers try. The
# longer time holds for all others, in case the preferred ones can't reach the store.
VACANCY_SECONDS = 1.0
LONG_VACANCY_SECONDS = 3.0
# Time for which a runner gets no orders after one failed or was rejected.
UNREACHABLE_SKIP_SECONDS = 2.0


class PendingOrder:
    """An accepted order whose effect may not show in the list of upstreams yet.

    Attributes
    ----------
    layer_range : Range
    started_at_ms : int
        Start of the runner's incarnation, in milliseconds since the epoch.
    expires_at : float
        Time after which the order is ignored, in seconds.
    """

    __slots__ = ("started_at_ms", "expires_at", "layer_range")

    def __init__(
        self, layer_range: Range, started_at_ms: int, expires_at: float
    ) -> None:
        self.layer_range = layer_range
        self.started_at_ms = started_at_ms
        self.expires_at = expires_at


class Planner(Component):
    """Plans the placement of layers while this router is the leader.

    Parameters
    ----------
    store : RevisionStore
    replica : Replica
    directory : Directory
    control : RunnerControl
    instance_id : str
    may_lead : callable
        Whether this router is one of the few that campaign first.
    is_lost : callable
        Whether a runner has been unreachable for long; takes the runner and the time.
    """

    __slots__ = (
        "_change_count",
        "_skipped_until_by_id",
        "_list_changed_at",
        "_control",
        "_directory",
        "_instance_id",
        "_is_lost",
        "_lease",
        "_lease_asked_at",
        "_logger",
        "_may_lead",
        "_orders_by_id",
        "_replica",
        "_listed_ids",
        "_order_limiter",
        "_stopping",
        "_store",
        "_vacant_since",
    )

    def __init__(
        self,
        store: RevisionStore,
        replica: Replica,
        directory: Directory,
        control: RunnerControl,
        instance_id: str,
        may_lead: Callable[[], bool],
        is_lost: Callable[[Upstream, float], bool],
    ) -> None:
        self._may_lead = may_lead
        self._is_lost = is_lost
        self._store = store
        self._replica = replica
        self._directory = directory
        self._control = control
        self._instance_id = instance_id
        self._lease: Lease | None = None
        self._lease_asked_at = 0.0
        self._orders_by_id: dict[str, PendingOrder] = {}
        self._skipped_until_by_id: dict[str, float] = {}
        self._listed_ids: frozenset[str] = frozenset()
        self._list_changed_at = 0.0
        self._change_count = -1
        self._order_limiter = trio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        self._stopping = False
        self._vacant_since = replica.get_time()
        self._logger = logging.getLogger(LOGGER_NAME)

    @property
    def is_leader(self) -> bool:
        """Whether this router holds the leader lease and may send orders."""
        age = self._replica.get_time() - self._lease_asked_at
        return (
            self._lease is not None
            and self._lease.era == self._replica.change_log.era
            and age < LEASE_USABLE_SECONDS
        )

    @property
    def _tick_seconds(self) -> float:
        if self._lease or self._may_lead():
            return TICK_SECONDS
        return SLOW_TICK_SECONDS

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the leader election and the planning in ``nursery``."""
        nursery.start_soon(self._campaign)
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Step down and end the leader lease."""
        self._stopping = True
        lease, self._lease = self._lease, None
        if lease is not None:
            try:
                await self._store.end_lease(lease)
            except PlatformError as error:
                # The lease expires without renewals.
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.LEASE_NOT_ENDED,
                    reason=str(error),
                )

    async def _campaign(self) -> None:
        while not self._stopping:
            try:
                if self._lease:
                    asked_at = self._replica.get_time()
                    await self._store.renew_lease(self._lease)
                    self._lease_asked_at = asked_at
                elif self._should_campaign():
                    await self._acquire_leadership()
                await trio.sleep(RENEW_SECONDS if self._lease else self._tick_seconds)
            except (LeaseEnded, RevisionConflict):
                self._step_down("the lease ended")
                await trio.sleep(RETRY_SECONDS)
            except PlatformError as error:
                if self._lease and not self.is_leader:
                    self._step_down(str(error))
                await trio.sleep(RETRY_SECONDS / 2)

    def _should_campaign(self) -> bool:
        """Whether there is no leader and this router should try to become it."""
        now = self._replica.get_time()
        if LEADER_KEY in self._replica.router_items_by_key:
            self._vacant_since = now
        if self._replica.configuration is None:
            return False
        vacant = now - self._vacant_since
        return vacant >= (VACANCY_SECONDS if self._may_lead() else LONG_VACANCY_SECONDS)

    async def _acquire_leadership(self) -> None:
        asked_at = self._replica.get_time()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = self._instance_id.encode()
        await self._store.put(LEADER_KEY, value, 0, lease)
        self._lease = lease
        self._lease_asked_at = asked_at
        self._orders_by_id.clear()
        self._skipped_until_by_id.clear()
        log_event(self._logger, logging.INFO, Event.PLANNER_LEADS, lease=lease.number)

    def _step_down(self, reason: str) -> None:
        if self._lease:
            self._lease = None
            log_event(self._logger, logging.INFO, Event.PLANNER_STOPPED, reason=reason)

    async def _run(self) -> None:
        while True:
            await trio.sleep(self._tick_seconds)
            self._track_listed_upstreams(trio.current_time())
            if self._lease and self.is_leader and not self._stopping:
                await self._tick()

    def _track_listed_upstreams(self, now: float) -> None:
        """Record when an upstream was last listed or removed.

        Routers that are not the leader do so too, as they may become the leader.
        """
        if self._directory.change_count == self._change_count:
            return
        self._change_count = self._directory.change_count
        ids = frozenset(self._directory.upstreams_by_id)
        if ids != self._listed_ids:
            self._listed_ids = ids
            self._list_changed_at = now

    async def _tick(self) -> None:
        configuration = self._replica.configuration
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.engine is not None and service.engine.layers:
                await self._plan(service.name, service.engine)

    async def _plan(self, service: str, engine: EngineSpec) -> None:
        now = trio.current_time()
        runners = [
            runner
            for runner in self._directory.list_service(service)
            if not self._is_lost(runner, now)
        ]
        self._prune_orders(runners, now)
        ranges_by_id = self._get_ranges_by_id(runners)
        is_first = not any(end > first for first, end in ranges_by_id.values())
        if is_first and now - self._list_changed_at < SETTLE_SECONDS:
            return
        if self._directory.is_recovering(self._replica.get_time()):
            return
        reachable = [
            runner
            for runner in runners
            if now >= self._skipped_until_by_id.get(runner.upstream_id, now)
        ]
        changes = Placement(engine).plan(reachable, ranges_by_id)
        if not changes:
            return
        runners_by_id = {runner.upstream_id: runner for runner in runners}
        async with trio.open_nursery() as nursery:
            for upstream_id, layer_range in changes.items():
                runner = runners_by_id[upstream_id]
                nursery.start_soon(self._send_order, runner, layer_range, engine)

    def _prune_orders(self, runners: list[Upstream], now: float) -> None:
        runners_by_id = {runner.upstream_id: runner for runner in runners}
        for upstream_id, order in list(self._orders_by_id.items()):
            runner = runners_by_id.get(upstream_id)
            if (
                runner is None
                or now >= order.expires_at
                or runner.started_at_ms > order.started_at_ms
                or (runner.first_layer, runner.end_layer) == order.layer_range
            ):
                del self._orders_by_id[upstream_id]

    def _get_ranges_by_id(self, runners: list[Upstream]) -> dict[str, Range]:
        ranges = {}
        for runner in runners:
            order = self._orders_by_id.get(runner.upstream_id)
            layer_range = (runner.first_layer, runner.end_layer)
            ranges[runner.upstream_id] = (
                layer_range if order is None else order.layer_range
            )
        return ranges

    async def _send_order(
        self, runner: Upstream, layer_range: Range, engine: EngineSpec
    ) -> None:
        async with self._order_limiter:
            await self._send_one_order(runner, layer_range, engine)

    async def _send_one_order(
        self, runner: Upstream, layer_range: Range, engine: EngineSpec
    ) -> None:
        now = trio.current_time()
        layers = layer_range[1] - layer_range[0]
        load_seconds = engine.load_seconds * layers / max(1, engine.layers)
        try:
            report = await self._control.get_report(runner)
            if not self._is_as_listed(runner, report) or not self.is_leader:
                self._skipped_until_by_id[runner.upstream_id] = now + RETRY_SECONDS
                return
            await self._control.place(runner, *layer_range, report.order_count)
        except (TransportError, OrderRejected) as error:
            # Until then, the planner assigns the layers to other runners.
            skipped_until = now + UNREACHABLE_SKIP_SECONDS
            self._skipped_until_by_id[runner.upstream_id] = skipped_until
            log_event(
                self._logger,
                logging.WARNING,
                Event.ORDER_FAILED,
                upstream=runner.upstream_id,
                layers=f"{layer_range[0]}-{layer_range[1]}",
                reason=str(error),
            )
            return
        self._orders_by_id[runner.upstream_id] = PendingOrder(
            layer_range,
            max(runner.started_at_ms, report.started_at_ms),
            now + 3.0 * load_seconds + ORDER_TIMEOUT_MARGIN_SECONDS,
        )
        log_event(
            self._logger,
            logging.INFO,
            Event.ORDER_GIVEN,
            upstream=runner.upstream_id,
            layers=f"{layer_range[0]}-{layer_range[1]}",
            order_count=report.order_count,
            born=report.started_at_ms,
        )

    def _is_as_listed(self, runner: Upstream, report: RunnerReport) -> bool:
        """Whether a runner is idle and holds the layers that the plan was made for."""
        listed = (runner.first_layer, runner.end_layer)
        return not report.is_busy and listed == (report.first_layer, report.end_layer)
