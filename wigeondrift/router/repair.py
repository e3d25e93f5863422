"""Repair of running streams whose later stages are lost.

The stream stays open at its first runner, which is ordered to continue it over a route
with other runners in place of the lost ones.
"""

import contextlib
import logging
import math
from collections.abc import AsyncIterator, Collection, Iterator

import trio

from wigeondrift.errors import (
    OrderRejected,
    OrderUnanswered,
    RoutePartUnavailable,
    TransportError,
)
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import RunnerReport, Upstream
from wigeondrift.router.request_context import (
    AttemptFailed,
    Progress,
    RequestContext,
    get_caller_idle_timeout,
)
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.router.suspects import SuspectRegistry
from wigeondrift.router.wait_queue import WaitQueue
from wigeondrift.systems.chains import Chain, RouteDemand
from wigeondrift.systems.route_repair import (
    RepairPlan,
    RepairQueue,
    get_repair_rank,
)
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics

# Orders for one repair: a second one avoids the runner that the first refusal names.
MAX_ORDERS_PER_REPAIR = 2
# Repairs of one stream at one first runner. A request that ends its later runners must
# not reach many more of them than its attempts would.
MAX_REPAIRS_PER_STREAM = 2
# Fraction of the callers' idle timeout without a new event after which a stream resumes
# at another route even if no runner is known to be at fault, and until which a repair
# may begin. The rest is needed to resume the stream before its caller leaves.
MAX_SILENCE_SHARE = 0.8
LATEST_START_SHARE = 0.6
# Time for which a fault that others reported is looked for in the first runner's
# report, and the interval. The report is about 0.2 s old.
FAULT_CONFIRM_SECONDS = 1.0
FAULT_CHECK_SECONDS = 0.1
# Age up to which streams of one first runner share a report.
SHARED_REPORT_SECONDS = 0.05
# Time for which a search that found no route is not repeated. A failed search over a
# hundred runners takes 5 ms, and all streams of a route lose it at once.
FAILED_SEARCH_SECONDS = 0.1
# Failed searches that are remembered.
MAX_FAILED_SEARCHES = 64
STATUS_UNAVAILABLE = 503


class RepairableStream:
    """A stream in progress at its first runner.

    Attributes
    ----------
    context : RequestContext
    upstream : Upstream
        First runner.
    reservation : Reservation
    progress : Progress
    quiet_until : float
        Time until which the stream may be silent after a repair, in seconds.
    repairs : int
        Number of repairs for which an order was sent.
    failure_reason : str
        Reason of the last repair that failed, empty if none did.
    has_unknown_order : bool
        Whether an order had no answer, so that the stream's route is unknown.
    repaired_at_events : int or None
        Number of events at the last repair; None if there was none.
    """

    __slots__ = (
        "_fault",
        "_fault_ends_at",
        "context",
        "failure_reason",
        "has_unknown_order",
        "progress",
        "quiet_until",
        "repaired_at_events",
        "repairs",
        "reservation",
        "upstream",
    )

    def __init__(
        self,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation,
        progress: Progress,
    ) -> None:
        self._fault = trio.Event()
        self._fault_ends_at = 0.0
        self.context = context
        self.upstream = upstream
        self.reservation = reservation
        self.progress = progress
        self.quiet_until = 0.0
        self.repairs = 0
        self.failure_reason = ""
        self.has_unknown_order = False
        self.repaired_at_events: int | None = None

    @property
    def is_overdue(self) -> bool:
        """Whether a repaired stream has had no event within its time."""
        return (
            self.repaired_at_events == self.progress.events
            and trio.current_time() >= self.quiet_until
        )

    def uses_later(self, upstream_id: str) -> bool:
        """Whether a runner serves a later stage of the stream's route."""
        return upstream_id in self.reservation.chain.route.instance_ids[1:]

    def report_fault(self) -> None:
        """Let the stream look for a fault without waiting for silence."""
        self._fault_ends_at = trio.current_time() + FAULT_CONFIRM_SECONDS
        self._fault.set()

    def clear_fault(self) -> None:
        """Wait for silence again."""
        self._fault = trio.Event()

    async def wait_for_fault(self, until: float) -> bool:
        """Wait for a reported fault; return false if there is none in time."""
        if self._fault.is_set() and trio.current_time() >= self._fault_ends_at:
            self.clear_fault()
        with trio.move_on_at(until):
            await self._fault.wait()
        return self._fault.is_set()


class RouteRepair:
    """Moves running streams away from lost runners of their later stages.

    Parameters
    ----------
    selector : UpstreamSelector
    control : RunnerControl
    wait_queue : WaitQueue
        Receives capacity that a repair releases.
    suspects : SuspectRegistry
    metrics : Metrics
    """

    __slots__ = (
        "_control",
        "_failed_searches",
        "_locks_by_id",
        "_logger",
        "_metrics",
        "_queue",
        "_reports_by_id",
        "_selector",
        "_streams",
        "_suspects",
        "_wait_queue",
    )

    def __init__(
        self,
        selector: UpstreamSelector,
        control: RunnerControl,
        wait_queue: WaitQueue,
        suspects: SuspectRegistry,
        metrics: Metrics,
    ) -> None:
        self._selector = selector
        self._control = control
        self._wait_queue = wait_queue
        self._suspects = suspects
        self._metrics = metrics
        self._logger = logging.getLogger(LOGGER_NAME)
        self._queue = RepairQueue()
        self._streams: set[RepairableStream] = set()
        # Time and tokens of failed searches by route and runners that it must avoid.
        self._failed_searches: dict[object, tuple[float, float]] = {}
        # Only for first runners whose streams look for a fault.
        self._locks_by_id: dict[str, trio.Lock] = {}
        self._reports_by_id: dict[str, tuple[float, RunnerReport | None]] = {}

    @contextlib.contextmanager
    def register(
        self,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation,
        progress: Progress,
    ) -> Iterator[RepairableStream]:
        """Let an attempt be repaired, and be told of faults, while it runs."""
        stream = RepairableStream(context, upstream, reservation, progress)
        self._streams.add(stream)
        try:
            yield stream
        finally:
            self._streams.discard(stream)

    def handle_fault(self, upstream_id: str) -> int:
        """Look at once for streams that a faulty upstream stalls.

        A stream is repaired only if its first runner reports it as stalled there.

        Parameters
        ----------
        upstream_id : str
            Upstream that is known to have failed, for example from another router.

        Returns
        -------
        int
            Number of streams that use the upstream for a later stage.
        """
        streams = [s for s in self._streams if s.uses_later(upstream_id)]
        for stream in streams:
            stream.report_fault()
        return len(streams)

    async def sleep_until(self, stream: RepairableStream, until: float) -> None:
        """Sleep; meanwhile repair the stream if it is stalled by a reported fault."""
        while trio.current_time() < until and await stream.wait_for_fault(until):
            suspect = None
            with trio.move_on_at(until):
                suspect = await self._find_stalling(stream)
            if suspect is not None:
                stream.clear_fault()
                self._selector.record_failure(
                    (suspect,), "reported as stalled by a runner"
                )
                await self.repair(stream, (suspect,))
                return
            check_at = trio.current_time() + FAULT_CHECK_SECONDS
            await trio.sleep_until(min(until, check_at))

    async def _find_stalling(self, stream: RepairableStream) -> str | None:
        """Return the runner that stalls a stream by its first runner's report."""
        try:
            report = await self._get_shared_report(stream.upstream)
        except TransportError as error:
            self._selector.record_unreachable(stream.upstream, str(error))
            stream.clear_fault()
            return None
        self._selector.record_answer(stream.upstream)
        address = report.stalled_by_request.get(stream.context.call.request_id)
        suspect = self._selector.find_upstream_at(address) if address else None
        return suspect if suspect and stream.uses_later(suspect) else None

    async def _get_shared_report(self, upstream: Upstream) -> RunnerReport:
        """Return a report that all streams of a first runner share for a moment.

        They share a failure as well, as each of them would take a time-out.
        """
        upstream_id = upstream.upstream_id
        lock = self._locks_by_id.setdefault(upstream_id, trio.Lock())
        try:
            async with lock:
                known = self._reports_by_id.get(upstream_id)
                now = trio.current_time()
                if known is not None and now - known[0] <= SHARED_REPORT_SECONDS:
                    if known[1] is None:
                        raise TransportError(f"no report from {upstream.address}")
                    return known[1]
                try:
                    report = await self._control.get_report(upstream)
                except TransportError:
                    self._reports_by_id[upstream_id] = (trio.current_time(), None)
                    raise
                self._reports_by_id[upstream_id] = (trio.current_time(), report)
                return report
        finally:
            if not lock.locked():
                self._locks_by_id.pop(upstream_id, None)
                self._reports_by_id.pop(upstream_id, None)

    async def repair(self, stream: RepairableStream, suspects: Collection[str]) -> bool:
        """Continue a stalled stream over a route without the suspects.

        Parameters
        ----------
        stream : RepairableStream
        suspects : collection of str
            Runners that are known to stall it.

        Returns
        -------
        bool
            Whether the stream goes on at its first runner.
        """
        lost = dict.fromkeys(s for s in suspects if stream.uses_later(s))
        if not lost or self._is_excluded(stream, suspects):
            return False
        last_event_at = stream.progress.last_event_at
        async with self._wait_for_turn(stream, next(iter(lost))) as may_begin:
            if stream.progress.last_event_at != last_event_at:
                return True
            if not may_begin:
                return self._fail(stream, lost, "too many other repairs")
            if await self._try_orders(stream, lost):
                return True
        return stream.progress.last_event_at != last_event_at

    def _is_excluded(self, stream: RepairableStream, suspects: Collection[str]) -> bool:
        """Whether a stream must not be repaired."""
        context = stream.context
        return (
            stream.upstream.upstream_id in suspects
            or stream.has_unknown_order
            or stream.repairs >= MAX_REPAIRS_PER_STREAM
            # Such a request is only tried alone, on the route that serves fewest.
            or context.is_risky
            or self._suspects.is_suspect(context)
        )

    @contextlib.asynccontextmanager
    async def _wait_for_turn(
        self, stream: RepairableStream, lost_id: str
    ) -> AsyncIterator[bool]:
        """Wait until the repair may begin; false if it may not in time."""
        context, progress = stream.context, stream.progress
        idle_timeout = get_caller_idle_timeout(context.rule)
        rank = get_repair_rank(
            context.call.arrived_at + context.rule.objective,
            context.first_event_at is not None,
            progress.last_event_at,
            trio.current_time(),
        )
        granted = trio.Event()
        ticket = self._queue.request(lost_id, rank, granted.set)
        try:
            if not granted.is_set():
                latest = progress.last_event_at + LATEST_START_SHARE * idle_timeout
                with trio.move_on_at(latest):
                    await granted.wait()
            yield granted.is_set()
        finally:
            self._queue.end(ticket)

    async def _try_orders(
        self, stream: RepairableStream, lost: Collection[str]
    ) -> bool:
        chain = stream.reservation.chain
        unusable = {*lost, *stream.context.excluded}
        # Several runners of a route may be lost, and the report names one.
        doubtful = {*self._selector.list_lost(chain)} - {stream.upstream.upstream_id}
        reason = ""
        for number in range(MAX_ORDERS_PER_REPAIR):
            plan = self._find_plan(stream, unusable | doubtful)
            plan = plan or self._find_plan(stream, unusable)
            if plan is None:
                reason = reason or "no other route has room"
                break
            stream.repairs += number == 0
            try:
                await self._execute(stream, plan)
                return True
            except RoutePartUnavailable as error:
                reason = str(error)
                refused = self._selector.find_upstream_at(error.address)
                if refused is None or refused in unusable:
                    break
                unusable.add(refused)
            except OrderUnanswered as error:
                stream.has_unknown_order = True
                reason = f"no answer to the order: {error}"
                break
            except OrderRejected as error:
                reason = str(error)
                break
            except TransportError as error:
                self._selector.record_unreachable(stream.upstream, str(error))
                reason = str(error)
                break
        return self._fail(stream, unusable, reason)

    def record_refusal(
        self, context: RequestContext, chain: Chain, failure: AttemptFailed
    ) -> None:
        """Record the route of a request turned away for the fault of a later stage."""
        if failure.answer is None:
            return
        head = failure.answer[0]
        if (
            head.status == STATUS_UNAVAILABLE
            and head.is_not_run
            and head.faulty_address
            and not set(failure.suspects).isdisjoint(chain.route.instance_ids[1:])
        ):
            context.turned_away = chain

    def reserve_again(self, context: RequestContext) -> Reservation | None:
        """Reserve a route at the runner that turned a request away.

        Returns
        -------
        Reservation or None
            None if no runner turned it away for a later stage, if the request was sent
            to this runner again before, or if no such route has capacity.
        """
        chain = context.turned_away
        if chain is None or context.is_risky:
            return None
        first = chain.runners[0].upstream_id
        if first in context.sent_again_ids or first in context.excluded:
            return None
        lost = {*context.excluded, *self._selector.list_lost(chain)}
        return self._selector.reserve_repaired(
            context.service, chain, context.demand, lost
        )

    def is_same_runner(
        self,
        context: RequestContext,
        turned_away: Chain | None,
        reservation: Reservation,
    ) -> bool:
        """Whether a route begins at the runner that turned a request away once."""
        if turned_away is None:
            return False
        first = reservation.chain.runners[0].upstream_id
        is_same = first == turned_away.runners[0].upstream_id
        return is_same and first not in context.sent_again_ids

    def may_send_again(self, context: RequestContext) -> bool:
        """Whether ``reserve_again`` finds a route now."""
        reservation = self.reserve_again(context)
        if reservation is None:
            return False
        reservation.release()
        return True

    def record_sent_again(
        self, context: RequestContext, reservation: Reservation
    ) -> None:
        """Record that a request is sent again over a reserved route."""
        first = reservation.chain.runners[0].upstream_id
        context.is_sent_again = True
        context.sent_again_ids.add(first)
        log_event(
            self._logger,
            logging.INFO,
            Event.SENT_AGAIN,
            request_id=context.call.request_id,
            upstream=first,
            parts=list(reservation.chain.route.instance_ids[1:]),
        )

    def _find_plan(
        self, stream: RepairableStream, unusable: Collection[str]
    ) -> RepairPlan | None:
        context, chain = stream.context, stream.reservation.chain
        now = trio.current_time()
        tokens = context.demand.tokens
        key = (chain.route.instance_ids, frozenset(unusable))
        failed_at, failed_tokens = self._failed_searches.get(key, (-math.inf, 0.0))
        if now - failed_at < FAILED_SEARCH_SECONDS and tokens >= failed_tokens:
            return None
        plan = self._selector.find_repair(
            context.service,
            chain,
            RouteDemand(tokens, _count_read_tokens(context)),
            unusable,
        )
        if plan is None:
            if len(self._failed_searches) >= MAX_FAILED_SEARCHES:
                self._failed_searches.clear()
            self._failed_searches[key] = (now, tokens)
        return plan

    async def _execute(self, stream: RepairableStream, plan: RepairPlan) -> None:
        """Reserve the new stages, send the order and move the reservation."""
        context, reservation = stream.context, stream.reservation
        replaced = tuple(
            runner
            for runner in reservation.chain.runners
            if runner not in plan.chain.runners
        )
        hold = reservation.reserve_parts(plan.new_stages, _count_read_tokens(context))
        is_taken_over = False
        try:
            await self._control.repath(
                stream.upstream, context.call.request_id, plan.chain.route
            )
            reservation.move(plan.chain, hold)
            is_taken_over = True
        except OrderUnanswered:
            # The stages may be used until the stream ends at its first runner.
            reservation.add(hold)
            is_taken_over = True
            raise
        finally:
            if not is_taken_over:
                hold.release()
        self._wait_queue.grant_capacity()
        self._record_repair(stream, plan, replaced)

    def _record_repair(
        self, stream: RepairableStream, plan: RepairPlan, replaced: tuple[Upstream, ...]
    ) -> None:
        context, progress = stream.context, stream.progress
        now = trio.current_time()
        # After a joint failure, the new stages read the tokens of many streams, which
        # takes longer than planned. Another attempt would read more of them.
        idle_timeout = get_caller_idle_timeout(context.rule)
        latest = progress.last_event_at + MAX_SILENCE_SHARE * idle_timeout
        stream.quiet_until = max(now + progress.silence_limit, latest)
        stream.repaired_at_events = progress.events
        progress.is_repaired = True
        progress.reads_again = True
        self._suspects.watch_upstreams(context, replaced, progress.events)
        self._metrics.count(Metric.REPAIRS)
        log_event(
            self._logger,
            logging.INFO,
            Event.ROUTE_REPAIRED,
            request_id=context.call.request_id,
            upstream=stream.upstream.upstream_id,
            replaced=[runner.upstream_id for runner in replaced],
            parts=[stage.instance_id for stage in plan.new_stages],
            events=progress.events,
            silent_seconds=round(now - progress.last_event_at, 3),
            read_seconds=round(plan.read_seconds, 3),
        )

    def _fail(
        self, stream: RepairableStream, lost: Collection[str], reason: str
    ) -> bool:
        # A stream that may not resume is tried again every few tenths of a second.
        if reason == stream.failure_reason:
            return False
        stream.failure_reason = reason
        self._metrics.count(Metric.REPAIR_FAILURES)
        log_event(
            self._logger,
            logging.INFO,
            Event.REPAIR_FAILED,
            request_id=stream.context.call.request_id,
            upstream=stream.upstream.upstream_id,
            lost=sorted(lost),
            reason=reason,
        )
        return False


def _count_read_tokens(context: RequestContext) -> float:
    """Return the tokens that a new part of a stream's route has to read."""
    last_id = context.events.last_id
    events = 0 if last_id is None else last_id + 1
    return context.demand.prompt + context.service.engine.steps_per_event * events
