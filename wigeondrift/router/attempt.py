"""One attempt at one upstream: sends the request and forwards the response."""

import contextlib
import logging
from collections.abc import Awaitable

import trio

from wigeondrift.errors import (
    CallerDisconnected,
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    InvalidEvent,
    TransportError,
    WigeondriftError,
)
from wigeondrift.router.calls import CallerRequest, UpstreamHead
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import RequestKind, RunnerReport, Upstream
from wigeondrift.router.faults import SharedFaults
from wigeondrift.router.header_codec import HeaderCodec
from wigeondrift.router.paces import SharedPaces
from wigeondrift.router.repair import (
    MAX_SILENCE_SHARE,
    RepairableStream,
    RouteRepair,
)
from wigeondrift.router.request_context import (
    MAX_LOGGED_PARTS,
    AttemptFailed,
    Progress,
    RequestContext,
    get_caller_idle_timeout,
)
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.router.suspects import SuspectRegistry
from wigeondrift.systems.faults import Evidence
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.wire.body_budget import SMALL_BODY_BYTES
from wigeondrift.wire.http_client import ClientResponse, HttpClient
from wigeondrift.wire.http_server import Exchange

# Interval at which the runners of a silent stream are queried.
SILENCE_CHECK_SECONDS = 0.2
# Fraction of the remaining time that a safe request waits for the response of one
# upstream if it may still be sent to another.
RETRYABLE_ATTEMPT_SHARE = 0.5
STATUS_OK = 200


class Sender:
    """Sends requests to upstreams, one attempt at a time.

    Parameters
    ----------
    selector : UpstreamSelector
        Receives the upstreams' loads and failures.
    client : HttpClient
    control : RunnerControl
        Queries runners about silent streams.
    header_codec : HeaderCodec
    metrics : Metrics
    suspects : SuspectRegistry
        Receives deaths of upstreams, and which requests they survive.
    repairs : RouteRepair
        Changes the routes of stalled streams.
    faults : SharedFaults
        Receives what shows that an upstream is at fault.
    paces : SharedPaces
        Receives the timing of streams.
    """

    __slots__ = (
        "_repairs",
        "_selector",
        "_client",
        "_control",
        "_faults",
        "_header_codec",
        "_logger",
        "_metrics",
        "_paces",
        "_suspects",
    )

    def __init__(
        self,
        selector: UpstreamSelector,
        client: HttpClient,
        control: RunnerControl,
        header_codec: HeaderCodec,
        metrics: Metrics,
        suspects: SuspectRegistry,
        repairs: RouteRepair,
        faults: SharedFaults,
        paces: SharedPaces,
    ) -> None:
        self._repairs = repairs
        self._selector = selector
        self._client = client
        self._control = control
        self._header_codec = header_codec
        self._metrics = metrics
        self._logger = logging.getLogger(LOGGER_NAME)
        self._suspects = suspects
        self._faults = faults
        self._paces = paces

    async def call(
        self,
        exchange: Exchange,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation | None,
    ) -> None:
        """Send a request to one upstream and forward the response.

        Parameters
        ----------
        exchange : Exchange
        context : RequestContext
        upstream : Upstream
        reservation : Reservation or None
            Reserved route; None for a plain service.

        Raises
        ------
        AttemptFailed
            If there is no response to forward.
        CallerDisconnected
            If the caller closed its connection.
        """
        counted = int(not context.is_sent_again)
        context.record_attempt(upstream, reservation)
        # Set before sending, because the deadline may cancel the attempt at any point.
        may_have_run_before = context.may_have_run
        context.may_have_run = True
        progress = Progress()
        try:
            if context.rule.kind is RequestKind.STREAM:
                await self._call_with_watchdog(
                    exchange, context, upstream, reservation, progress
                )
            else:
                await self._send(exchange, context, upstream, reservation, progress)
        except ConnectFailed as error:
            context.attempts -= counted
            context.may_have_run = may_have_run_before
            await _leave_if_superseded(context)
            self._selector.record_unreachable(upstream, str(error))
            self._faults.record_unconnected(upstream, error)
            raise AttemptFailed(
                str(error), False, (upstream.upstream_id,), was_sent=False
            ) from error
        except AttemptFailed as failure:
            context.may_have_run = may_have_run_before or failure.may_have_run
            raise
        except (trio.Cancelled, BaseExceptionGroup):
            # A nursery raises the cancellations of its tasks as a group. A caller that
            # left before the deadline may have seen no events for a while.
            now = trio.current_time()
            silence = now - progress.last_event_at
            if context.is_superseded:
                raise
            if now >= context.deadline or silence >= progress.silence_limit:
                self._watch_route(context, upstream, reservation, progress)
            if reservation is None and now >= context.deadline:
                self._faults.record_outcome(upstream, is_answered=False)
            raise
        except TransportError as error:
            await _leave_if_superseded(context)
            suspects = await self._examine_failure(
                context, upstream, reservation, progress, error
            )
            raise AttemptFailed(str(error), True, suspects) from error

    async def _call_with_watchdog(
        self,
        exchange: Exchange,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation | None,
        progress: Progress,
    ) -> None:
        """Send a request for a stream and cancel it if the stream stalls."""
        failure = None
        registration = contextlib.nullcontext()
        if reservation is not None:
            registration = self._repairs.register(
                context, upstream, reservation, progress
            )
        with registration as stream:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._watch_for_silence,
                    context,
                    upstream,
                    progress,
                    stream,
                    nursery.cancel_scope,
                )
                if reservation is not None:
                    nursery.start_soon(
                        self._paces.watch_first_event, reservation, progress
                    )
                try:
                    await self._send(exchange, context, upstream, reservation, progress)
                    progress.ended = True
                except WigeondriftError as error:
                    progress.ended = True
                    failure = error
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not progress.ended:
            await _leave_if_superseded(context)
            self._watch_route(context, upstream, reservation, progress)
            raise AttemptFailed("the stream fell silent", True, progress.suspects)

    async def _watch_for_silence(
        self,
        context: RequestContext,
        upstream: Upstream,
        progress: Progress,
        stream: RepairableStream | None,
        scope: trio.CancelScope,
    ) -> None:
        can_resume = (
            context.rule.is_idempotent and context.attempts < context.rule.attempts
        )
        max_silence = MAX_SILENCE_SHARE * get_caller_idle_timeout(context.rule)
        while True:
            if progress.is_writing:
                await trio.sleep(SILENCE_CHECK_SECONDS)
                continue
            last_event_at = progress.last_event_at
            silent_at = last_event_at + progress.silence_limit
            if stream is not None:
                silent_at = max(silent_at, stream.quiet_until)
            if trio.current_time() < silent_at:
                if stream is None:
                    await trio.sleep_until(silent_at)
                else:
                    await self._repairs.sleep_until(stream, silent_at)
                continue
            suspects = await self._find_suspects(upstream, context.call.request_id)
            if progress.is_writing or progress.last_event_at != last_event_at:
                continue
            if stream is not None and await self._repairs.repair(stream, suspects):
                continue
            silence = trio.current_time() - last_event_at
            is_lost = progress.has_events and silence >= max_silence
            is_lost = is_lost or (stream is not None and stream.is_overdue)
            if can_resume and (suspects or is_lost):
                progress.suspects = suspects or (upstream.upstream_id,)
                if stream is not None and stream.has_unknown_order:
                    # A late order would move the resumed stream at the same runner.
                    progress.suspects = (*suspects, upstream.upstream_id)
                scope.cancel()
                return
            await trio.sleep(SILENCE_CHECK_SECONDS)

    async def _examine_failure(
        self,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation | None,
        progress: Progress,
        error: TransportError,
    ) -> tuple[str, ...]:
        """Find out whether an upstream died; return the upstreams that are at fault."""
        suspects = {upstream.upstream_id}
        if reservation is None:
            self._faults.record_outcome(upstream, is_answered=False)
            # A silent upstream has not died, and probing it would delay the retry.
            has_died = not isinstance(
                error, ConnectionSilent
            ) and await self._client.is_refusing(upstream.address)
            if has_died:
                self._faults.record_fault(upstream, Evidence.REFUSED)
        else:
            report = await self._query_report(upstream)
            has_died = report is None or upstream.is_restarted_in(report)
            if report is not None:
                suspects.update(self._list_stalling(report, context.call.request_id))
        if has_died:
            self._metrics.count(Metric.UPSTREAM_DEATHS)
            log_event(
                self._logger,
                logging.WARNING,
                Event.UPSTREAM_DIED,
                request_id=context.call.request_id,
                upstream=upstream.upstream_id,
                born=upstream.started_at_ms,
                events=progress.events,
                prompt_parts=context.call.prompt_parts[:MAX_LOGGED_PARTS],
                traits=context.traits[:MAX_LOGGED_PARTS],
            )
            self._suspects.record_death(context, upstream, progress.events)
        else:
            self._watch_route(context, upstream, reservation, progress)
        return tuple(suspects)

    def _watch_route(
        self,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation | None,
        progress: Progress,
    ) -> None:
        """Record a death later if an upstream of the route turns out to have died."""
        upstreams = (upstream,)
        if reservation is not None:
            upstreams = tuple(reservation.chain.runners)
        self._suspects.watch_upstreams(context, upstreams, progress.events)

    async def _find_suspects(
        self, upstream: Upstream, request_id: str
    ) -> tuple[str, ...]:
        """Return the runners that stall a request, and avoid them."""
        report = await self._query_report(upstream)
        if report is None:
            return (upstream.upstream_id,)
        return self._list_stalling(report, request_id)

    async def _query_report(self, upstream: Upstream) -> RunnerReport | None:
        """Return a runner's report, or None if it can't be reached."""
        try:
            report = await self._control.get_report(upstream)
        except TransportError as error:
            self._selector.record_unreachable(upstream, str(error))
            self._faults.record_no_report(upstream, error)
            return None
        self._selector.record_answer(upstream)
        self._faults.record_report(upstream, report)
        if report.is_leaving:
            self._selector.record_leaving(upstream)
        return report

    def _list_stalling(self, report: RunnerReport, request_id: str) -> tuple[str, ...]:
        """Return the runners that a report names as stalling, and avoid them."""
        address = report.stalled_by_request.get(request_id)
        if address is None and report.stalled_by_request:
            address = next(iter(report.stalled_by_request.values()))
        suspect = None if not address else self._selector.find_upstream_at(address)
        if suspect is None:
            return ()
        self._selector.record_failure((suspect,), "reported as stalled by a runner")
        self._faults.check(suspect)
        return (suspect,)

    async def _send(
        self,
        exchange: Exchange,
        context: RequestContext,
        upstream: Upstream,
        reservation: Reservation | None,
        progress: Progress,
    ) -> None:
        call, rule = context.call, context.rule
        now = trio.current_time()
        headers = self._header_codec.encode_upstream_headers(
            call,
            upstream.upstream_id,
            context.team,
            context.deadline - now,
            None if reservation is None else reservation.chain.route,
            context.events.last_id,
            context.urgency,
        )
        response_timeout = context.deadline - now
        if rule.kind is RequestKind.SAFE and context.attempts < rule.attempts:
            response_timeout *= RETRYABLE_ATTEMPT_SHARE
        async with self._client.request(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            head_timeout=max(0.0, response_timeout),
            # If the upstream closes a reused connection, it is unknown whether it
            # received the request, and only idempotent requests may be sent again.
            new_connection=not rule.is_idempotent,
            on_sent=lambda: _release_last_body(exchange, context),
        ) as response:
            self._selector.record_answer(upstream)
            if reservation is None:
                self._faults.record_outcome(upstream, is_answered=True)
            head = self._header_codec.decode_head(response.status, response.headers)
            _check_request_id(head, call, response)
            if head.retry_after is not None or head.unreadable:
                self._record_back_off(upstream, head, call)
            if not (head.is_failure or head.is_not_run):
                self._faults.record_answer(upstream)
            if head.is_leaving:
                self._selector.record_leaving(upstream, call.request_id)
            self._selector.record_limit(upstream, head.limit, now, call.request_id)
            if not (rule.is_idempotent or head.is_not_run):
                context.release_body(exchange)
            if head.running is not None:
                load = head.running + (head.waiting or 0)
                self._selector.record_load(upstream.upstream_id, load)
            if rule.kind is RequestKind.STREAM and head.status == STATUS_OK:
                await self._forward_stream(
                    exchange, context, response, head, progress, reservation
                )
            else:
                await self._forward_response(
                    exchange, context, upstream, response, head, progress
                )

    def _record_back_off(
        self, upstream: Upstream, head: UpstreamHead, call: CallerRequest
    ) -> None:
        if head.retry_after is not None:
            self._selector.record_back_off(upstream, head.retry_after, call.request_id)
        for name in head.unreadable:
            log_event(
                self._logger,
                logging.WARNING,
                Event.HEADER_UNREADABLE,
                upstream=upstream.upstream_id,
                header=name,
                request_id=call.request_id,
            )

    async def _forward_response(
        self,
        exchange: Exchange,
        context: RequestContext,
        upstream: Upstream,
        response: ClientResponse,
        head: UpstreamHead,
        progress: Progress,
    ) -> None:
        body = await response.read()
        await _leave_if_superseded(context)
        if head.is_not_run:
            suspects = (upstream.upstream_id,)
            if head.faulty_address:
                found = self._selector.find_upstream_at(head.faulty_address)
                suspects = (found,) if found else suspects
                self._selector.record_refusal(suspects)
                self._faults.check(suspects[0])
            raise AttemptFailed(
                f"refused with status {head.status}", False, suspects, (head, body)
            )
        if exchange.started:
            reason = f"a stream can't go on with status {head.status}"
            raise AttemptFailed(reason, True, (upstream.upstream_id,))
        if head.is_failure:
            self._suspects.watch_upstreams(context, (upstream,), progress.events)
        else:
            self._suspects.record_completion(context)
        if head.is_failure and (
            context.rule.is_idempotent or not head.may_be_forwarded
        ):
            reason = f"failed with status {head.status}"
            if head.has_not_run_status:
                reason += " and does not state that the request was not run"
            elif not head.is_signed:
                reason += " and bears no signature"
            raise AttemptFailed(reason, True, (upstream.upstream_id,), (head, body))
        await _write_to_caller(exchange.respond(head.status, head.headers, body))

    async def _forward_stream(
        self,
        exchange: Exchange,
        context: RequestContext,
        response: ClientResponse,
        head: UpstreamHead,
        progress: Progress,
        reservation: Reservation | None,
    ) -> None:
        if not head.is_signed:
            raise ConnectionLost("the answer bears no signature")
        events = context.events
        events.restart()
        is_from_start = events.last_id is None
        async for data in response.iter_data():
            known_count = events.count
            failure = None
            try:
                complete_events = events.feed(data)
            except InvalidEvent as error:
                complete_events, failure = error.events, error
            # Bytes, comments and events without a new id may come from a runner that
            # has stalled, so only a new id is progress.
            if events.count != known_count:
                progress.events += events.count - known_count
                self._record_progress(context, progress, reservation)
            if complete_events:
                await self._forward_events(
                    exchange, context, head, progress, complete_events
                )
            if failure is not None:
                raise failure
        if events.has_pending:
            raise ConnectionLost("the stream ended within an event")
        if is_from_start and not progress.is_repaired:
            self._suspects.record_completion(context)
        else:
            self._record_survival(context, progress)
        last_events = events.finish()
        with progress.exclude_write():
            if not exchange.started:
                await _write_to_caller(exchange.start(head.status, head.headers))
            await _write_to_caller(exchange.finish(last_events))

    def _record_progress(
        self,
        context: RequestContext,
        progress: Progress,
        reservation: Reservation | None,
    ) -> None:
        now = trio.current_time()
        if progress.first_event_at is not None:
            gap = now - progress.last_event_at
            context.longest_gap = max(gap, context.longest_gap or 0.0)
            if progress.reads_again:
                progress.gaps.clear()
            elif reservation is not None:
                self._paces.record_gap(context.service, reservation, progress, gap)
        else:
            progress.first_event_at = now
            if reservation is not None:
                reservation.record_prompt_read()
        if progress.reads_again and reservation is not None:
            progress.reads_again = False
            reservation.record_prompt_read()
        progress.last_event_at = now
        if progress.events >= progress.next_survival_events:
            progress.next_survival_events = 2 * progress.events
            self._record_survival(context, progress)

    def _record_survival(self, context: RequestContext, progress: Progress) -> None:
        started_at = progress.first_event_at
        seconds = 0.0 if started_at is None else trio.current_time() - started_at
        self._suspects.record_progress(context, progress.events, seconds)

    async def _forward_events(
        self,
        exchange: Exchange,
        context: RequestContext,
        head: UpstreamHead,
        progress: Progress,
        events: bytes,
    ) -> None:
        with progress.exclude_write():
            if exchange.started:
                await _write_to_caller(exchange.send(events))
                return
            await _leave_if_superseded(context)
            now = trio.current_time()
            context.first_event_at = now
            self._metrics.timing(Metric.FIRST_TOKEN, now - context.call.arrived_at)
            await _write_to_caller(exchange.start(head.status, head.headers, events))


def _release_last_body(exchange: Exchange, context: RequestContext) -> None:
    """Release a large body once the last attempt that is allowed has been sent.

    Small ones are kept: a request may be sent again to the runner that turned it away.
    """
    is_large = len(context.call.body) > SMALL_BODY_BYTES
    if is_large and context.attempts >= context.rule.attempts:
        context.release_body(exchange)


async def _leave_if_superseded(context: RequestContext) -> None:
    """Raise the pending cancellation if another attempt has won in the same turn."""
    if context.is_superseded:
        await trio.lowlevel.checkpoint_if_cancelled()


def _check_request_id(
    head: UpstreamHead, call: CallerRequest, response: ClientResponse
) -> None:
    """Raise ``ConnectionLost`` unless a response belongs to a request."""
    if head.request_id:
        if head.request_id != call.request_id:
            raise ConnectionLost("the answer belongs to another request")
    elif call.request_id and response.is_on_reused_connection:
        raise ConnectionLost("the answer may belong to an earlier request")


async def _write_to_caller(writing: Awaitable[None]) -> None:
    """Write to the caller; a lost connection there is not the upstream's failure."""
    try:
        await writing
    except ConnectionLost as error:
        raise CallerDisconnected("the caller closed the connection") from error
