"""Forwarding of callers' requests: admission, attempts and retries."""

import functools
import logging
import math
import random

import trio

from wigeondrift.errors import (
    NOT_RUN_STATUSES,
    CallerDisconnected,
    ConnectionLost,
    ErrorKind,
    RequestError,
)
from wigeondrift.router.attempt import Sender
from wigeondrift.router.calls import CallerRequest
from wigeondrift.router.entities import RouteRule, Upstream
from wigeondrift.router.header_codec import HeaderCodec
from wigeondrift.router.hedging import AttemptControl, Hedger
from wigeondrift.router.permits import Permits
from wigeondrift.router.repair import RouteRepair
from wigeondrift.router.repeat_pool import SharedRepeats
from wigeondrift.router.replica import Replica
from wigeondrift.router.request_context import (
    MAX_LOGGED_PARTS,
    STREAM_SILENCE_SECONDS,
    AttemptFailed,
    RequestContext,
    get_caller_idle_timeout,
)
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.router.settings import Bounds
from wigeondrift.router.suspects import SuspectRegistry
from wigeondrift.router.wait_queue import WaitQueue
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.wire.http_server import Exchange, respond_with_text

# Fraction of the caller's idle timeout that a stream may wait for capacity. A late
# response is better than a refusal; the rest of the time is needed for the prefill.
QUEUE_WAIT_SHARE = 0.6
# Fraction of its time that a request may wait for a member of a plain service.
MEMBER_WAIT_SHARE = 0.25
# Failed connections after which a request fails. Nothing was sent over them, so they
# don't count as attempts.
MAX_CONNECT_FAILURES = 3
METRICS_BY_KIND = {
    ErrorKind.SUSPENDED: Metric.SUSPENDED,
    ErrorKind.UPSTREAM_LIMITED: Metric.LIMITED,
}
# Minimum and random part of the Retry-After header: by then, some of the requests in
# progress have ended.
RETRY_AFTER_SECONDS = 0.8
RETRY_AFTER_JITTER = 0.8


class Forwarder(AttemptControl):
    """Forwards callers' requests to upstreams.

    Parameters
    ----------
    replica : Replica
    selector : UpstreamSelector
    wait_queue : WaitQueue
    suspects : SuspectRegistry
    permits : Permits
    repeats : SharedRepeats
    sender : Sender
    repairs : RouteRepair
        Finds routes for requests that are sent to a runner again.
    header_codec : HeaderCodec
    bounds : Bounds
    metrics : Metrics
    rng : random.Random
    hedger : Hedger, optional
        Sends requests to a second upstream; none are if absent.

    Attributes
    ----------
    is_closed : bool
        Whether new requests are refused.
    running : int
        Number of requests in progress.
    """

    __slots__ = (
        "_bounds",
        "_contexts_by_scope",
        "_ends_at",
        "_selector",
        "_header_codec",
        "_hedger",
        "_logger",
        "_metrics",
        "_permits",
        "_repairs",
        "_repeats",
        "_replica",
        "_rng",
        "_sender",
        "_suspects",
        "_wait_queue",
        "is_closed",
        "running",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        selector: UpstreamSelector,
        wait_queue: WaitQueue,
        suspects: SuspectRegistry,
        permits: Permits,
        repeats: SharedRepeats,
        sender: Sender,
        repairs: RouteRepair,
        header_codec: HeaderCodec,
        bounds: Bounds,
        metrics: Metrics,
        rng: random.Random,
        hedger: Hedger | None = None,
    ) -> None:
        self._hedger = hedger
        self._replica = replica
        self._selector = selector
        self._wait_queue = wait_queue
        self._suspects = suspects
        self._permits = permits
        self._repeats = repeats
        self._sender = sender
        self._repairs = repairs
        self._header_codec = header_codec
        self._bounds = bounds
        self._metrics = metrics
        self._rng = rng
        self._logger = logging.getLogger(LOGGER_NAME)
        self._contexts_by_scope: dict[trio.CancelScope, RequestContext] = {}
        self._ends_at = math.inf
        self.is_closed = False
        self.running = 0

    def close(self, ends_at: float) -> None:
        """Refuse new requests; those in progress end in time.

        Requests that still wait and may not be complete by then are refused at once,
        since they have not run.

        Parameters
        ----------
        ends_at : float
            Time by which all requests must have been answered, in seconds.
        """
        self.is_closed = True
        self._ends_at = ends_at
        now = trio.current_time()
        for scope, context in self._contexts_by_scope.items():
            must_leave = not context.may_have_run and context.deadline > ends_at
            scope.deadline = min(scope.deadline, now if must_leave else ends_at)

    def update_bounds(self, bounds: Bounds) -> None:
        """Set other bounds, also for the retry budgets in use."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._repeats.update_bounds(bounds)
            if self._hedger is not None:
                self._hedger.update_window(bounds.retry_window)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request.

        Raises
        ------
        ConnectionLost
            If the caller has disconnected or a response that has begun can't be
            completed.
        """
        now = trio.current_time()
        self._metrics.count(Metric.REQUESTS)
        try:
            call = self._header_codec.decode_request(exchange.request, now)
        except RequestError as error:
            log_event(
                self._logger,
                logging.INFO,
                Event.REQUEST_REFUSED,
                kind=error.kind.value,
                reason=error.reason,
                path=exchange.request.path,
            )
            await respond_with_text(exchange, error)
            return
        self.running += 1
        context = None
        outcome = "caller_closed"
        try:
            context = self._admit(call)
            serve = functools.partial(self._serve, exchange, context)
            if await exchange.run_until_closed(serve):
                outcome = "done"
        except RequestError as refusal:
            error = _correct_outcome(refusal, context)
            outcome = error.kind.value
            if error.kind in METRICS_BY_KIND:
                self._metrics.count(METRICS_BY_KIND[error.kind])
            await self._refuse(exchange, error, context)
        except CallerDisconnected as error:
            outcome = "caller_gone"
            raise ConnectionLost(str(error)) from error
        finally:
            self.running -= 1
            self._log_request_end(call, context, outcome)

    def _log_request_end(
        self, call: CallerRequest, context: RequestContext | None, outcome: str
    ) -> None:
        now = trio.current_time()
        self._metrics.timing(Metric.REQUEST_TIME, now - call.arrived_at)
        configuration = self._replica.configuration
        fields: dict[str, object] = {
            "request_id": call.request_id,
            "outcome": outcome,
            "seconds": round(now - call.arrived_at, 3),
            "configuration": configuration and configuration.version,
            "configuration_age": _round_optional(self._replica.age),
        }
        if context is not None:
            fields.update(
                route=context.rule.name,
                service=context.service.name,
                team=context.team,
                priority=context.priority,
                attempts=context.attempts,
                upstreams=context.upstreams,
                last_event=context.events.last_id,
                first_seconds=_round_optional(
                    context.first_event_at and context.first_event_at - call.arrived_at
                ),
                room_seconds=round(context.wait_seconds, 3),
                expected_first=_round_optional(context.expected_first),
                longest_gap=_round_optional(context.longest_gap),
                waiting=len(self._wait_queue),
                prompt_parts=call.prompt_parts[:MAX_LOGGED_PARTS],
            )
        log_event(self._logger, logging.INFO, Event.REQUEST_DONE, **fields)

    def _admit(self, call: CallerRequest) -> RequestContext:
        """Authenticate a request and select its route and service."""
        if self.is_closed:
            raise RequestError(ErrorKind.STOPPING, "this instance is stopping")
        replica = self._replica
        configuration = replica.configuration
        if configuration is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration is known yet")
        rule = configuration.find_route(call.host, call.path)
        if rule is None:
            self._require_current()
            raise RequestError(ErrorKind.UNKNOWN_PATH, "no route has this path")
        team = ""
        if configuration.needs_keys:
            team = configuration.teams_by_key.get(call.key, "")
            if not rule.is_public:
                self._require_current()
                if not team:
                    raise RequestError(ErrorKind.UNAUTHENTICATED, "the key is unknown")
        name = self._pick_service(rule)
        service = configuration.services_by_name.get(name)
        if service is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, "the service is not configured")
        self._repeats.get_budget(name).record_request(call.arrived_at)
        context = RequestContext(call, rule, service, team)
        context.priority = configuration.get_priority(rule, team)
        context.scale = configuration.get_scale(name)
        if self._hedger is not None:
            self._hedger.record_request(name, call.arrived_at)
        return context

    def _require_current(self) -> None:
        if not self._replica.is_current:
            raise RequestError(
                ErrorKind.NOT_READY, "the configuration was not confirmed lately"
            )

    def _pick_service(self, rule: RouteRule) -> str:
        if len(rule.shares) == 1:
            return rule.shares[0].service
        weights = [share.weight for share in rule.shares]
        return self._rng.choices(rule.shares, weights)[0].service

    async def _refuse(
        self, exchange: Exchange, error: RequestError, context: RequestContext | None
    ) -> None:
        if exchange.started:
            # A truncated response must not look complete.
            raise ConnectionLost(error.reason) from error
        headers = [("Content-Type", "text/plain")]
        if error.status in NOT_RUN_STATUSES:
            if error.kind is ErrorKind.SUSPENDED:
                seconds = float(error.retry_after)
            else:
                seconds = max(RETRY_AFTER_SECONDS, self._estimate_wait(context))
                if context is not None:
                    wait = self._selector.get_wait(context.service, ())
                    seconds = max(seconds, wait)
            jitter = RETRY_AFTER_JITTER
            if context is not None and context.scale.has_levels:
                # Callers shed from a longer queue return over a longer time.
                jitter = max(jitter, self._estimate_wait(context))
            seconds += jitter * self._rng.random()
            headers.append(("Retry-After", f"{seconds:.2f}"))
        await exchange.respond(error.status, headers, error.reason.encode())

    def _estimate_wait(self, context: RequestContext | None) -> float:
        if context is None:
            return self._wait_queue.estimate_wait()
        return self._wait_queue.estimate_wait(context.service.name, context.precedence)

    async def _serve(self, exchange: Exchange, context: RequestContext) -> None:
        with trio.move_on_at(min(context.deadline, self._ends_at)) as scope:
            self._contexts_by_scope[scope] = context
            try:
                await self._try_until_answered(exchange, context)
            finally:
                del self._contexts_by_scope[scope]
        if scope.cancelled_caught:
            if trio.current_time() < context.deadline:
                reason = "this instance stops before an answer is complete"
                raise RequestError(ErrorKind.STOPPING, reason)
            if context.may_have_run:
                raise RequestError(ErrorKind.UPSTREAM_TIMEOUT, "no answer in time")
            raise RequestError(ErrorKind.QUEUE_TIMEOUT, "no room came free in time")

    async def _try_until_answered(
        self, exchange: Exchange, context: RequestContext
    ) -> None:
        connect_failures = 0
        while True:
            try:
                await self._try_once(exchange, context)
                return
            except AttemptFailed as failure:
                self.record_failed_attempt(context, failure)
                if not failure.was_sent:
                    connect_failures += 1
                if connect_failures >= MAX_CONNECT_FAILURES or not (
                    await self._may_retry(context, failure)
                ):
                    await self._fail_request(exchange, context, failure)
                    return

    def record_failed_attempt(
        self, context: RequestContext, failure: AttemptFailed
    ) -> None:
        """Exclude the upstreams at fault from further attempts, and log it."""
        context.excluded.update(failure.suspects)
        log_event(
            self._logger,
            logging.INFO,
            Event.ATTEMPT_FAILED,
            request_id=context.call.request_id,
            attempt=context.attempts,
            reason=failure.reason,
            may_have_run=failure.may_have_run,
            suspects=failure.suspects,
            last_event=context.events.last_id,
            held_event=context.events.held_id,
            can_resume=context.events.can_resume,
            prompt_parts=context.call.prompt_parts[:MAX_LOGGED_PARTS],
        )

    async def _may_retry(self, context: RequestContext, failure: AttemptFailed) -> bool:
        if failure.may_have_run and not context.rule.is_idempotent:
            return False
        if context.is_body_released:
            return False
        has_attempts = context.attempts < context.rule.attempts
        if not failure.was_sent:
            return has_attempts or not context.is_sent_again
        if not context.events.can_resume:
            return False
        if not has_attempts and not self._repairs.may_send_again(context):
            return False
        is_under_way = context.first_event_at is not None
        return await self._repeats.acquire(
            context.service.name, is_under_way, context.call.request_id
        )

    def acquire_repeat(self, context: RequestContext) -> bool:
        """Consume a part of this router's retry budget; return false if none is left.

        The pool of all routers is for requests that have failed.
        """
        return self._repeats.acquire_own(context.service.name)

    async def _fail_request(
        self, exchange: Exchange, context: RequestContext, failure: AttemptFailed
    ) -> None:
        if exchange.started:
            raise RequestError(ErrorKind.STREAM_CUT, failure.reason)
        if failure.answer is not None:
            head, body = failure.answer
            if head.may_be_forwarded:
                await exchange.respond(head.status, head.headers, body)
                return
        raise RequestError(ErrorKind.UPSTREAM_REFUSED, failure.reason)

    def _require_unsuspected(self, context: RequestContext) -> None:
        """Refuse a request that shares a trait under which several upstreams died."""
        if self._suspects.find_refused(context) is None:
            context.is_risky = self._suspects.is_suspect(context)
            return
        reason = "upstreams died while they ran requests like this one"
        raise RequestError(ErrorKind.SUSPENDED, reason)

    async def _try_once(self, exchange: Exchange, context: RequestContext) -> None:
        self._require_unsuspected(context)
        if self._hedger is not None and self._hedger.may_hedge(exchange, context):
            await self._hedger.run(exchange, context, self)
        else:
            await self.try_upstream(exchange, context)

    async def try_upstream(self, exchange: Exchange, context: RequestContext) -> None:
        """Choose an upstream, send it the request and forward its response."""
        engine = context.service.engine
        if engine is None or not engine.layers:
            await self._try_member(exchange, context)
        else:
            await self._try_chain(exchange, context)

    async def _wait_for_limit(self, context: RequestContext, wait_until: float) -> None:
        """Wait until an upstream is below its limit; refuse at once if none will be."""
        while True:
            wait = self._selector.get_wait(context.service, context.excluded)
            if not wait:
                return
            now = trio.current_time()
            if now + wait >= wait_until:
                reason = "the upstreams take no more requests at present"
                raise RequestError(ErrorKind.UPSTREAM_LIMITED, reason)
            context.wait_seconds += wait
            await trio.sleep(wait)

    async def _try_member(self, exchange: Exchange, context: RequestContext) -> None:
        call = context.call
        wait_until = call.arrived_at + MEMBER_WAIT_SHARE * (
            context.deadline - call.arrived_at
        )
        member = await self._choose_member(context, wait_until)
        self._selector.record_start(member.upstream_id)
        try:
            await self._sender.call(exchange, context, member, None)
        finally:
            self._selector.record_end(member.upstream_id)

    async def _choose_member(
        self, context: RequestContext, wait_until: float
    ) -> Upstream:
        """Choose a member that may be sent a request now."""
        while True:
            await self._wait_for_limit(context, wait_until)
            service, excluded = context.service.name, context.excluded
            member = self._selector.choose_member(
                service, excluded, context.rule.is_idempotent
            )
            if member is None:
                reason = "the service has no upstream left"
                raise RequestError(ErrorKind.NO_UPSTREAM, reason)
            if await self._acquire_permit(context, member):
                return member

    async def _acquire_permit(
        self, context: RequestContext, upstream: Upstream
    ) -> bool:
        """Return whether the upstream's limit lets the request through now."""
        return await self._permits.acquire(
            upstream.upstream_id, context.call.request_id
        )

    async def _try_chain(self, exchange: Exchange, context: RequestContext) -> None:
        rule, call = context.rule, context.call
        context.is_sent_again = False
        again = await self._reserve_again(context)
        turned_away, context.turned_away = context.turned_away, None
        if again is not None:
            self._repairs.record_sent_again(context, again)
            await self._send_over(exchange, context, again)
            return
        if not context.may_have_run and not self._selector.has_route(context.service):
            # Layers that are missing take seconds to load, longer than callers wait.
            raise RequestError(ErrorKind.NO_ROUTE, "no route holds all layers")
        on_time_until = call.arrived_at + rule.objective
        wait_until = call.arrived_at + QUEUE_WAIT_SHARE * get_caller_idle_timeout(rule)
        if context.may_have_run:
            # A broken stream must resume before the caller abandons it.
            wait_until = trio.current_time() + STREAM_SILENCE_SECONDS
        reservation = await self._reserve_chain(context, on_time_until, wait_until)
        if self._repairs.is_same_runner(context, turned_away, reservation):
            self._repairs.record_sent_again(context, reservation)
        await self._send_over(exchange, context, reservation)

    async def _send_over(
        self, exchange: Exchange, context: RequestContext, reservation: Reservation
    ) -> None:
        try:
            # Other requests may have killed upstreams while this one waited.
            self._require_unsuspected(context)
            head = reservation.chain.runners[0]
            context.expected_first = reservation.first_seconds
            await self._sender.call(exchange, context, head, reservation)
        except AttemptFailed as failure:
            self._repairs.record_refusal(context, reservation.chain, failure)
            raise
        finally:
            self._wait_queue.release(reservation)

    async def _reserve_again(self, context: RequestContext) -> Reservation | None:
        """Reserve a route at the runner that turned a request away.

        It is used only if no attempt is left or no other route has room.
        """
        if context.turned_away is None:
            return None
        has_attempts = context.attempts < context.rule.attempts
        if has_attempts and not len(self._wait_queue):
            demand, excluded = context.demand, context.excluded
            if self._selector.has_room(context.service, demand, excluded):
                return None
        reservation = self._repairs.reserve_again(context)
        is_permitted = False
        if reservation is not None:
            try:
                head = reservation.chain.runners[0]
                is_permitted = await self._acquire_permit(context, head)
            finally:
                if not is_permitted:
                    self._wait_queue.release(reservation)
        if not is_permitted and not has_attempts:
            reason = "the runner that refused the request takes it over no other route"
            raise RequestError(ErrorKind.UPSTREAM_REFUSED, reason)
        return reservation if is_permitted else None

    async def _reserve_chain(
        self, context: RequestContext, on_time_until: float, wait_until: float
    ) -> Reservation:
        """Reserve a route whose first runner may be sent a request now."""
        while True:
            await self._wait_for_limit(context, wait_until)
            asked_at = trio.current_time()
            reservation = await self._wait_queue.acquire(
                context.service,
                context.demand,
                context.excluded,
                on_time_until,
                wait_until,
                context.precedence,
            )
            context.wait_seconds += trio.current_time() - asked_at
            if reservation is None:
                reason = "no room came free in time"
                raise RequestError(ErrorKind.QUEUE_TIMEOUT, reason)
            is_permitted = False
            try:
                head = reservation.chain.runners[0]
                is_permitted = await self._acquire_permit(context, head)
            finally:
                if not is_permitted:
                    self._wait_queue.release(reservation)
            if is_permitted:
                return reservation


def _correct_outcome(
    error: RequestError, context: RequestContext | None
) -> RequestError:
    """Return an error that does not claim that a request was not run if it may have.

    All refusals pass here, so that none has to know about earlier attempts.
    """
    if context is None or not context.may_have_run:
        return error
    if error.status not in NOT_RUN_STATUSES:
        return error
    return RequestError(ErrorKind.UPSTREAM_LOST, error.reason)


def _round_optional(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
