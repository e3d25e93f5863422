"""Runs a request at a second upstream while the first one is late."""

import abc
import logging
import math
from collections.abc import Awaitable, Callable, Iterable

import trio

from wigeondrift.errors import WigeondriftError
from wigeondrift.router.attempt import Sender
from wigeondrift.router.entities import RequestKind, Upstream
from wigeondrift.router.event_stream import EventBuffer
from wigeondrift.router.request_context import AttemptFailed, RequestContext
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.router.suspects import SuspectRegistry
from wigeondrift.router.wait_queue import WaitQueue
from wigeondrift.systems.hedging import (
    HedgeBudget,
    RequestClass,
    UsualLatencies,
    classify,
)
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.wire.http_server import Exchange

FIRST_ERROR_STATUS = 400
# Fraction of the remaining time that an error answer is held back for the other
# attempt. The rest is needed to write it before the deadline.
ERROR_HOLD_SHARE = 0.5
# Log lines about hedged requests in one second; the others are counted in the next one.
MAX_LINES_PER_SECOND = 10


class AttemptControl(abc.ABC):
    """What the forwarder does for each attempt, hedged or not.

    Attributes
    ----------
    is_closed : bool
        Whether the router is stopping.
    """

    __slots__ = ()

    is_closed: bool

    @abc.abstractmethod
    async def try_upstream(self, exchange: Exchange, context: RequestContext) -> None:
        """Choose an upstream, send it the request and forward its response."""

    @abc.abstractmethod
    def record_failed_attempt(
        self, context: RequestContext, failure: AttemptFailed
    ) -> None:
        """Exclude the upstreams at fault from further attempts, and log it."""

    @abc.abstractmethod
    def acquire_repeat(self, context: RequestContext) -> bool:
        """Consume a part of the retry budget; return false if none is left."""


class AttemptContext(RequestContext):
    """State of one of the concurrent attempts of a request.

    The upstreams used and excluded are those of the request. Everything else belongs to
    the attempt until it has won or ended.

    Attributes
    ----------
    failure : AttemptFailed or None
        Why the attempt failed.
    is_ended : bool
    is_holding_error : bool
        Whether it has an error answer and waits for the other attempt.
    route : tuple of Upstream
        Upstreams to which it was sent.
    scope : trio.CancelScope
        Cancelled when the other attempt wins.
    sent : trio.Event
        Set when it is being sent.
    sent_at : float
        Time of that, in seconds.
    started_attempts : int
        Attempts of the request before this one.
    """

    __slots__ = (
        "_race",
        "failure",
        "is_ended",
        "is_holding_error",
        "route",
        "scope",
        "sent",
        "sent_at",
        "started_attempts",
    )

    def __init__(self, request: RequestContext, race: "Race", attempts: int) -> None:
        for name in RequestContext.__slots__:
            setattr(self, name, getattr(request, name))
        self.branches = ()
        self.events = EventBuffer(request.events.last_id)
        self.attempts = self.started_attempts = attempts
        self._race = race
        self.failure: AttemptFailed | None = None
        self.is_ended = self.is_holding_error = False
        self.route: tuple[Upstream, ...] = ()
        self.scope = trio.CancelScope()
        self.sent = trio.Event()
        self.sent_at = math.inf

    @property
    def is_superseded(self) -> bool:
        """Whether the other attempt has won."""
        return self._race.winner not in (None, self)

    def record_attempt(
        self, upstream: Upstream, reservation: Reservation | None
    ) -> None:
        """Count the attempt, which is about to be sent."""
        super().record_attempt(upstream, reservation)
        self.route = (upstream,)
        if reservation is not None:
            self.route = tuple(reservation.chain.runners)
        self.sent_at = trio.current_time()
        self.sent.set()


class Race:
    """Concurrent attempts of a request, of which one may answer the caller.

    Parameters
    ----------
    request : RequestContext
    record_latency : callable
        Receives the latency of the first attempt in seconds.

    Attributes
    ----------
    attempts : tuple of AttemptContext
        The first attempt and, if it was sent, the hedged one.
    winner : AttemptContext or None
        The attempt that may write to the caller.
    error : WigeondriftError or None
        Error that ended an attempt and concerns the request.
    """

    __slots__ = (
        "_changed",
        "_record_latency",
        "_request",
        "attempts",
        "error",
        "winner",
    )

    def __init__(
        self, request: RequestContext, record_latency: Callable[[float], None]
    ) -> None:
        self._request = request
        self._record_latency = record_latency
        self._changed = trio.Event()
        self.attempts: tuple[AttemptContext, ...] = ()
        self.error: WigeondriftError | None = None
        self.winner: AttemptContext | None = None

    @property
    def is_over(self) -> bool:
        """Whether no attempt that matters is in progress."""
        if self.error is not None or all(one.is_ended for one in self.attempts):
            return True
        return self.winner is not None and self.winner.is_ended

    def count_attempts(self) -> int:
        """Return the number of attempts of the request, without failed connections."""
        added = sum(one.attempts - one.started_attempts for one in self.attempts)
        return self._request.attempts + added

    def add(self) -> AttemptContext:
        """Return the state of another attempt."""
        attempt = AttemptContext(self._request, self, self.count_attempts())
        self.attempts += (attempt,)
        self._request.branches = self.attempts
        return attempt

    def claim(self, attempt: AttemptContext, is_error: bool) -> None:
        """Let an attempt win and cancel the other, unless that has won before."""
        if self.winner is not None:
            return
        self.winner = attempt
        for other in self.attempts:
            if other is not attempt:
                other.scope.cancel()
        first = self.attempts[0]
        if first.failure is None and not is_error:
            self._record_latency(trio.current_time() - first.sent_at)

    def has_undecided(self, attempt: AttemptContext) -> bool:
        """Whether another attempt may still bring a response that is no error."""
        return any(
            not (one.is_ended or one.is_holding_error)
            for one in self.attempts
            if one is not attempt
        )

    async def wait_for_decision(self, attempt: AttemptContext) -> None:
        """Wait with an error answer until no other attempt is undecided."""
        attempt.is_holding_error = True
        self._notify()
        now = trio.current_time()
        hold_until = now + ERROR_HOLD_SHARE * max(0.0, attempt.deadline - now)
        with trio.move_on_at(hold_until):
            while self.has_undecided(attempt):
                await self._changed.wait()

    def end(self, attempt: AttemptContext) -> None:
        """Record that an attempt has ended."""
        attempt.is_ended = True
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def make_failure(self) -> AttemptFailed:
        """Return the failure of all attempts together."""
        failures = [one.failure for one in self.attempts if one.failure is not None]
        # The forwarder passes on only the first one, if it may.
        answers = [one.answer for one in failures if one.answer is not None]
        answers.sort(key=lambda answer: not answer[0].may_be_forwarded)
        return AttemptFailed(
            "; ".join(one.reason for one in failures),
            any(one.may_have_run for one in failures),
            tuple({name for one in failures for name in one.suspects}),
            answers[0] if answers else None,
            any(one.was_sent for one in failures),
        )

    def merge(self) -> None:
        """Write the state of the attempts back to that of the request."""
        request, attempts = self._request, self.attempts
        decisive = self.winner or attempts[0]
        request.attempts = self.count_attempts()
        # The property covers the branches, which are removed below.
        request.may_have_run = request.may_have_run
        request.is_trial = attempts[0].is_trial
        request.is_body_released = any(one.is_body_released for one in attempts)
        request.turned_away = attempts[-1].turned_away
        request.wait_seconds = attempts[0].wait_seconds
        request.expected_first = decisive.expected_first
        if self.winner is not None:
            request.events = self.winner.events
            request.first_event_at = self.winner.first_event_at
            request.longest_gap = self.winner.longest_gap
        request.branches = ()


class ClaimedExchange(Exchange):
    """Exchange of one attempt; it writes to the caller only if the attempt wins.

    Parameters
    ----------
    exchange : Exchange
        Exchange of the caller.
    attempt : AttemptContext
    race : Race
    """

    __slots__ = ("_attempt", "_exchange", "_held", "_race")

    def __init__(self, exchange: Exchange, attempt: AttemptContext, race: Race) -> None:
        self._exchange = exchange
        self._attempt = attempt
        self._race = race
        # Start of a stream that has no event yet: status, headers and data.
        self._held: tuple[int, list[tuple[str, str]], bytes] | None = None

    @property
    def started(self) -> bool:
        """Whether the response of this attempt has begun."""
        return self._held is not None or (
            self._race.winner is self._attempt and self._exchange.started
        )

    def release_body(self) -> None:
        """Drop the body of the request, which nothing will read again."""
        self._exchange.release_body()

    async def _claim(self, is_error: bool = False) -> None:
        # An attempt that is being cancelled must not end the other one.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._race.claim(self._attempt, is_error)
        await self._require_claim()

    async def _require_claim(self) -> None:
        # Without a checkpoint for the winner: its events count as forwarded already.
        if self._race.winner is not self._attempt:
            # Ended by the cancellation that the winner's claim has requested.
            await trio.sleep_forever()

    async def respond(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Send a complete response; an error only if the other attempt has none."""
        is_error = status >= FIRST_ERROR_STATUS
        if is_error:
            await self._race.wait_for_decision(self._attempt)
        await self._claim(is_error)
        await self._exchange.respond(status, headers, body)

    async def start(
        self, status: int, headers: Iterable[tuple[str, str]], data: bytes = b""
    ) -> None:
        """Send the start of a stream; hold it before the first event of a hedged one.

        Comments may come from an upstream that has stalled, so they don't win.
        """
        if not self._attempt.events.count and self._race.has_undecided(self._attempt):
            self._held = (status, list(headers), data)
            return
        self._held = None
        await self._claim()
        await self._exchange.start(status, headers, data)

    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        if self._held is None:
            await self._require_claim()
            await self._exchange.send(data)
        else:
            status, headers, before = self._held
            await self.start(status, headers, before + data)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of a stream."""
        if self._held is not None:
            (status, headers, before), self._held = self._held, None
            await self._claim()
            await self._exchange.start(status, headers, before)
        await self._require_claim()
        await self._exchange.finish(data)


class Hedger:
    """Sends late requests to a second upstream; the first response wins.

    Parameters
    ----------
    ratio : float
        Hedged requests per request of a service.
    window : float
        Window in which they are counted, in seconds.
    selector : UpstreamSelector
    wait_queue : WaitQueue
    suspects : SuspectRegistry
    sender : Sender
    metrics : Metrics
    """

    __slots__ = (
        "_budgets_by_service",
        "_latencies",
        "_lines",
        "_lines_omitted",
        "_lines_since",
        "_logger",
        "_metrics",
        "_ratio",
        "_selector",
        "_sender",
        "_suspects",
        "_wait_queue",
        "_window",
    )

    def __init__(
        self,
        *,
        ratio: float,
        window: float,
        selector: UpstreamSelector,
        wait_queue: WaitQueue,
        suspects: SuspectRegistry,
        sender: Sender,
        metrics: Metrics,
    ) -> None:
        self._ratio = ratio
        self._window = window
        self._selector = selector
        self._wait_queue = wait_queue
        self._suspects = suspects
        self._sender = sender
        self._metrics = metrics
        self._latencies = UsualLatencies()
        self._budgets_by_service: dict[str, HedgeBudget] = {}
        self._logger = logging.getLogger(LOGGER_NAME)
        self._lines_since = -math.inf
        self._lines = self._lines_omitted = 0

    def update_window(self, window: float) -> None:
        """Change the window in which hedged requests are counted, in seconds."""
        self._window = window
        for budget in self._budgets_by_service.values():
            budget.update_window(window)

    def record_request(self, service: str, now: float) -> None:
        """Count a request received from a caller."""
        self._get_budget(service).record_request(now)

    def _get_budget(self, service: str) -> HedgeBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = HedgeBudget(self._ratio, self._window)
            self._budgets_by_service[service] = budget
        return budget

    def may_hedge(self, exchange: Exchange, context: RequestContext) -> bool:
        """Whether the next attempt of a request may get a concurrent one."""
        rule = context.rule
        return (
            rule.is_idempotent
            and not exchange.started
            and not context.events.count
            and not context.is_risky
            and context.attempts + 1 < rule.attempts
        )

    async def run(
        self, exchange: Exchange, context: RequestContext, control: AttemptControl
    ) -> None:
        """Make an attempt and, if it is late, a concurrent one.

        Raises
        ------
        AttemptFailed
            If all of them failed.
        WigeondriftError
            As a single attempt does.
        """
        request_class = _classify(context)
        race = Race(
            context,
            lambda seconds: self._latencies.record(
                request_class, seconds, trio.current_time()
            ),
        )
        first = race.add()
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                claimed = ClaimedExchange(exchange, first, race)
                nursery.start_soon(
                    self._run_attempt,
                    race,
                    first,
                    control,
                    lambda: control.try_upstream(claimed, first),
                    scope,
                )
                await self._hedge_when_late(race, exchange, control, scope)
        finally:
            race.merge()
        if race.error is not None:
            raise race.error
        failure = race.make_failure() if race.winner is None else race.winner.failure
        if failure is not None:
            raise failure

    async def _run_attempt(
        self,
        race: Race,
        attempt: AttemptContext,
        control: AttemptControl,
        call: Callable[[], Awaitable[None]],
        scope: trio.CancelScope,
    ) -> None:
        """Run one attempt; cancel ``scope`` if the request is decided then."""
        try:
            with attempt.scope:
                await call()
        except AttemptFailed as failure:
            attempt.failure = failure
        except WigeondriftError as error:
            race.error = error
        finally:
            race.end(attempt)
        if race.is_over:
            scope.cancel()
        elif attempt.failure is not None and not attempt.is_superseded:
            # The forwarder records the failure that ends the request's attempts.
            control.record_failed_attempt(attempt, attempt.failure)

    async def _hedge_when_late(
        self,
        race: Race,
        exchange: Exchange,
        control: AttemptControl,
        scope: trio.CancelScope,
    ) -> None:
        first = race.attempts[0]
        await first.sent.wait()
        delay = self._latencies.get_delay(_classify(first), first.sent_at)
        if delay is None:
            return
        await trio.sleep_until(first.sent_at + delay)
        if not self._is_permitted(race, control):
            return
        # From here to the start of the attempt no other task runs.
        choice = self._choose(first)
        if choice is None:
            return
        upstream, reservation = choice
        if not control.acquire_repeat(first):
            self._metrics.count(Metric.HEDGES_REFUSED)
            if reservation is not None:
                self._wait_queue.release(reservation)
            return
        now = trio.current_time()
        self._get_budget(first.service.name).record_hedge(now)
        second = race.add()
        self._metrics.count(Metric.HEDGES_SENT)
        self._log(
            Event.HEDGE_SENT,
            request_id=first.call.request_id,
            service=first.service.name,
            upstreams=[first.route[0].upstream_id, upstream.upstream_id],
            delay=round(delay, 3),
        )
        claimed = ClaimedExchange(exchange, second, race)
        try:
            await self._run_attempt(
                race,
                second,
                control,
                lambda: self._send(claimed, second, upstream, reservation),
                scope,
            )
        finally:
            self._record_outcome(race, second, now)

    def _is_permitted(self, race: Race, control: AttemptControl) -> bool:
        """Whether a hedged request may be sent, apart from the choice of an upstream.

        It is meant for slow upstreams, not for overload, stops or deadly requests.
        """
        first = race.attempts[0]
        if (
            race.winner is not None
            or first.is_ended
            or first.is_holding_error
            or first.events.count
            or control.is_closed
            or first.attempts >= first.rule.attempts
            or len(self._wait_queue)
            or self._is_suspect(first)
        ):
            return False
        if self._get_budget(first.service.name).has_room(trio.current_time()):
            return True
        self._metrics.count(Metric.HEDGES_REFUSED)
        return False

    def _is_suspect(self, context: RequestContext) -> bool:
        # Deaths may have been recorded since the first attempt began.
        if context.is_risky or self._suspects.is_suspect(context):
            return True
        return self._suspects.find_refused(context) is not None or (
            self._suspects.is_suspect(context)
        )

    def _choose(
        self, first: AttemptContext
    ) -> tuple[Upstream, Reservation | None] | None:
        """Choose an upstream that has room, in another failure domain if possible.

        It shares no runner with the first attempt's route. The route is reserved.
        """
        service = first.service
        spare = self._selector.list_spare(service)
        if spare is None:
            return None
        used = {one.upstream_id for one in first.route} | first.excluded
        domains = {one.failure_domain for one in first.route}
        others = [one for one in spare if one.upstream_id not in used]
        remote = [one for one in others if one.failure_domain not in domains]
        for candidates in (remote, others):
            ids = {one.upstream_id for one in candidates}
            excluded = self._selector.list_ids(service) - ids
            if not ids:
                continue
            if service.engine is None or not service.engine.layers:
                member = self._selector.choose_member(service.name, excluded)
                if member is not None:
                    return member, None
                continue
            reservation = self._selector.choose_chain(service, first.demand, excluded)
            if reservation is not None:
                return reservation.chain.runners[0], reservation
        return None

    async def _send(
        self,
        exchange: Exchange,
        context: AttemptContext,
        upstream: Upstream,
        reservation: Reservation | None,
    ) -> None:
        if reservation is None:
            self._selector.record_start(upstream.upstream_id)
        else:
            context.expected_first = reservation.first_seconds
        try:
            await self._sender.call(exchange, context, upstream, reservation)
        finally:
            if reservation is None:
                self._selector.record_end(upstream.upstream_id)
            else:
                self._wait_queue.release(reservation)

    def _record_outcome(
        self, race: Race, second: AttemptContext, sent_at: float
    ) -> None:
        has_won = race.winner is second
        self._metrics.count(Metric.HEDGES_WON if has_won else Metric.HEDGES_LOST)
        if has_won:
            outcome = "won"
        elif second.failure is not None:
            outcome = "failed"
        else:
            outcome = "abandoned" if race.winner is None else "lost"
        self._log(
            Event.HEDGE_ENDED,
            request_id=second.call.request_id,
            service=second.service.name,
            outcome=outcome,
            reason=None if second.failure is None else second.failure.reason,
            seconds=round(trio.current_time() - sent_at, 3),
        )

    def _log(self, event: Event, **fields: object) -> None:
        now = trio.current_time()
        if now - self._lines_since >= 1.0:
            self._lines_since, self._lines = now, 0
        if self._lines >= MAX_LINES_PER_SECOND:
            self._lines_omitted += 1
            return
        self._lines += 1
        if self._lines_omitted:
            fields["omitted"] = self._lines_omitted
            self._lines_omitted = 0
        log_event(self._logger, logging.INFO, event, **fields)


def _classify(context: RequestContext) -> RequestClass:
    """Return the class of a request: by the prompt of a stream or the body."""
    call = context.call
    is_stream = context.rule.kind is RequestKind.STREAM
    size = call.prompt_tokens if is_stream else len(call.body)
    return classify(context.service.name, is_stream, size)
