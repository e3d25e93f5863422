"""Places layers on runners: one router leads through a lease and gives the orders.

Two that lead at once do no harm: both decide from what runners report, and each order
names the number of orders that the runner must have accepted before.
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
from wigeondrift.router.replica import OWN_PREFIX, Replica
from wigeondrift.store.revisions import RevisionStore
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.placement import Placement, Range
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

LEADER_KEY = OWN_PREFIX + "planner"
# The lease is short, so that another router plans soon after the leader's end.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
# Orders are given only in the first part of a lease, counted from when it was asked
# for: the store ends it on its own clock.
LEASE_SAFE_SECONDS = 2.0
TICK_SECONDS = 0.25
# The list of runners must be the same for this long before the first placement.
SETTLE_SECONDS = 1.0
# An order that shows no effect after its load's time and this margin is forgotten.
ORDER_MARGIN_SECONDS = 3.0
RETRY_SECONDS = 1.0
# Time for which the lead must be vacant before a router tries for it, in seconds: the
# others' entries show by then, so that few try. The second holds for all others, in
# case those few can't reach the store.
VACANT_SECONDS = 1.0
LONG_VACANT_SECONDS = 3.0
# A runner that could not be reached gets no order for this long.
BARRED_SECONDS = 2.0


class PlacedOrder:
    """An order that was given and may not show in the list yet."""

    __slots__ = ("born_ms", "expires_at", "held")

    def __init__(self, held: Range, born_ms: int, expires_at: float) -> None:
        self.held = held
        self.born_ms = born_ms
        self.expires_at = expires_at


class Planner(Component):
    """Leads the placement if no other router does.

    Parameters
    ----------
    store : RevisionStore
    replica : Replica
    directory : Directory
    control : RunnerControl
    instance_id : str
    may_lead : callable
        Whether this router is one of the few that take a vacant lead at once.
    is_lost : callable
        Whether a runner has been unreachable for long; takes it and the time.
    """

    __slots__ = (
        "_barred_until_by_id",
        "_changed_at",
        "_control",
        "_directory",
        "_instance_id",
        "_is_lost",
        "_lease",
        "_leased_at",
        "_logger",
        "_may_lead",
        "_orders_by_id",
        "_replica",
        "_seen_ids",
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
        self._lease = 0
        self._leased_at = 0.0
        self._orders_by_id: dict[str, PlacedOrder] = {}
        self._barred_until_by_id: dict[str, float] = {}
        self._seen_ids: frozenset[str] = frozenset()
        self._changed_at = 0.0
        self._stopping = False
        self._vacant_since = replica.get_time()
        self._logger = logging.getLogger(LOGGER_NAME)

    @property
    def leads(self) -> bool:
        """Whether orders may be given now."""
        age = self._replica.get_time() - self._leased_at
        return bool(self._lease) and age < LEASE_SAFE_SECONDS

    async def start(self, nursery: trio.Nursery) -> None:
        """Run for the lead and plan in ``nursery``."""
        nursery.start_soon(self._run_for_lead)
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Hand the lead over."""
        self._stopping = True
        lease, self._lease = self._lease, 0
        if lease:
            try:
                await self._store.end_lease(lease)
            except PlatformError as error:
                # The lease lapses by itself.
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.LEASE_NOT_ENDED,
                    reason=str(error),
                )

    async def _run_for_lead(self) -> None:
        while not self._stopping:
            try:
                if self._lease:
                    asked_at = self._replica.get_time()
                    await self._store.renew_lease(self._lease)
                    self._leased_at = asked_at
                elif self._is_wanted():
                    await self._take_lead()
                await trio.sleep(RENEW_SECONDS if self._lease else TICK_SECONDS)
            except (LeaseEnded, RevisionConflict):
                self._give_up("the lease ended")
                await trio.sleep(RETRY_SECONDS)
            except PlatformError as error:
                if self._lease and not self.leads:
                    self._give_up(str(error))
                await trio.sleep(RETRY_SECONDS / 2)

    def _is_wanted(self) -> bool:
        """Whether the lead is vacant and this router is to try for it."""
        now = self._replica.get_time()
        if LEADER_KEY in self._replica.own_items_by_key:
            self._vacant_since = now
        if self._replica.configuration is None:
            return False
        vacant = now - self._vacant_since
        return vacant >= (VACANT_SECONDS if self._may_lead() else LONG_VACANT_SECONDS)

    async def _take_lead(self) -> None:
        asked_at = self._replica.get_time()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = self._instance_id.encode()
        await self._store.put(LEADER_KEY, value, 0, lease)
        self._lease = lease
        self._leased_at = asked_at
        self._orders_by_id.clear()
        self._barred_until_by_id.clear()
        log_event(self._logger, logging.INFO, Event.PLANNER_LEADS, lease=lease)

    def _give_up(self, reason: str) -> None:
        if self._lease:
            self._lease = 0
            log_event(self._logger, logging.INFO, Event.PLANNER_STOPPED, reason=reason)

    async def _run(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self._note_list(trio.current_time())
            if self._lease and self.leads and not self._stopping:
                await self._tick()

    def _note_list(self, now: float) -> None:
        """Note when the list last gained or lost an upstream, also before the lead."""
        ids = frozenset(self._directory.upstreams_by_id)
        if ids != self._seen_ids:
            self._seen_ids = ids
            self._changed_at = now

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
        self._forget_orders(runners, now)
        ranges_by_id = self._list_ranges(runners)
        is_first = not any(end > first for first, end in ranges_by_id.values())
        if is_first and now - self._changed_at < SETTLE_SECONDS:
            return
        if self._directory.is_recovering(self._replica.get_time()):
            return
        reachable = [
            runner
            for runner in runners
            if now >= self._barred_until_by_id.get(runner.upstream_id, now)
        ]
        changes = Placement(engine).plan(reachable, ranges_by_id)
        if not changes:
            return
        runners_by_id = {runner.upstream_id: runner for runner in runners}
        async with trio.open_nursery() as nursery:
            for upstream_id, held in changes.items():
                runner = runners_by_id[upstream_id]
                nursery.start_soon(self._order, runner, held, engine)

    def _forget_orders(self, runners: list[Upstream], now: float) -> None:
        runners_by_id = {runner.upstream_id: runner for runner in runners}
        for upstream_id, order in list(self._orders_by_id.items()):
            runner = runners_by_id.get(upstream_id)
            if (
                runner is None
                or now >= order.expires_at
                or runner.born_ms > order.born_ms
                or (runner.first_layer, runner.end_layer) == order.held
            ):
                del self._orders_by_id[upstream_id]

    def _list_ranges(self, runners: list[Upstream]) -> dict[str, Range]:
        ranges = {}
        for runner in runners:
            order = self._orders_by_id.get(runner.upstream_id)
            held = (runner.first_layer, runner.end_layer)
            ranges[runner.upstream_id] = held if order is None else order.held
        return ranges

    async def _order(self, runner: Upstream, held: Range, engine: EngineSpec) -> None:
        now = trio.current_time()
        layers = held[1] - held[0]
        seconds = engine.load_seconds * layers / max(1, engine.layers)
        try:
            report = await self._control.get_report(runner)
            if not self._fits(runner, report) or not self.leads:
                self._barred_until_by_id[runner.upstream_id] = now + RETRY_SECONDS
                return
            await self._control.place(runner, *held, report.order_count)
        except (TransportError, OrderRejected) as error:
            # The next ticks plan without this runner.
            barred_until = now + BARRED_SECONDS
            self._barred_until_by_id[runner.upstream_id] = barred_until
            log_event(
                self._logger,
                logging.WARNING,
                Event.ORDER_FAILED,
                upstream=runner.upstream_id,
                layers=f"{held[0]}-{held[1]}",
                reason=str(error),
            )
            return
        self._orders_by_id[runner.upstream_id] = PlacedOrder(
            held,
            max(runner.born_ms, report.born_ms),
            now + 3.0 * seconds + ORDER_MARGIN_SECONDS,
        )
        log_event(
            self._logger,
            logging.INFO,
            Event.ORDER_GIVEN,
            upstream=runner.upstream_id,
            layers=f"{held[0]}-{held[1]}",
            order_count=report.order_count,
            born=report.born_ms,
        )

    def _fits(self, runner: Upstream, report: RunnerReport) -> bool:
        """Whether the runner is as the list has it, so that the plan holds for it."""
        listed = (runner.first_layer, runner.end_layer)
        return not report.is_busy and listed == (report.first_layer, report.end_layer)
