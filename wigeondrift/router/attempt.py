"""One attempt at one upstream: sends the request and passes the answer on."""

from collections.abc import Awaitable

import trio

from wigeondrift.errors import (
    CallerDisconnected,
    ConnectFailed,
    ConnectionLost,
    TransportError,
    WigeondriftError,
)
from wigeondrift.router.calls import UpstreamHead
from wigeondrift.router.choice import Choice, Reservation
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.dialect import Dialect
from wigeondrift.router.entities import RequestKind, Upstream
from wigeondrift.router.journey import AttemptFailed, Journey, Progress
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.wire.http_client import ClientResponse, HttpClient
from wigeondrift.wire.http_server import Exchange

# Silence of a stream after which its runners are asked, in seconds: several times the
# usual pause, and well below the two seconds after which callers leave.
STREAM_SILENCE_SECONDS = 0.6
FIRST_EVENT_SILENCE_SECONDS = 0.9
# Silence after which a stream goes on elsewhere though no runner is known to be at
# fault.
MOST_SILENCE_SECONDS = 1.6
# Pause between two questions about a silent stream, in seconds.
SILENCE_STEP_SECONDS = 0.2
# Part of its time that an idempotent call waits for one upstream before another.
FIRST_TRY_SHARE = 0.5
STATUS_OK = 200
# What these statuses promise must be the upstream's own word.
PROMISES = frozenset({408, 421, 429, 503})


class Sender:
    """Makes attempts.

    Parameters
    ----------
    choice : Choice
        Learns of loads and failures.
    client : HttpClient
    control : RunnerControl
        Asks runners about streams that fell silent.
    dialect : Dialect
    metrics : Metrics
    """

    __slots__ = ("_choice", "_client", "_control", "_dialect", "_metrics")

    def __init__(
        self,
        choice: Choice,
        client: HttpClient,
        control: RunnerControl,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self._choice = choice
        self._client = client
        self._control = control
        self._dialect = dialect
        self._metrics = metrics

    async def call(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        reservation: Reservation | None,
    ) -> None:
        """Send the request to one upstream and pass its answer on."""
        journey.upstreams.append(upstream.upstream_id)
        journey.attempts += 1
        # True while an attempt is under way: the caller's time may end at any point.
        had_run = journey.may_have_run
        journey.may_have_run = True
        try:
            if journey.rule.kind is RequestKind.STREAM:
                await self._call_guarded(exchange, journey, upstream, reservation)
            else:
                await self._send(exchange, journey, upstream, reservation, Progress())
        except ConnectFailed as error:
            journey.attempts -= 1
            journey.may_have_run = had_run
            self._choice.note_unreachable(upstream, str(error))
            raise AttemptFailed(
                str(error), False, (upstream.upstream_id,), was_sent=False
            ) from error
        except AttemptFailed as failure:
            journey.may_have_run = had_run or failure.may_have_run
            raise
        except TransportError as error:
            suspects = {upstream.upstream_id}
            if reservation is not None:
                # Members of plain services have no report.
                suspects.update(await self._examine(upstream, journey.call.request_id))
            raise AttemptFailed(str(error), True, tuple(suspects)) from error

    async def _call_guarded(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        reservation: Reservation | None,
    ) -> None:
        """Send a request for a stream and end it when its runners fall silent."""
        progress = Progress()
        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._guard, journey, upstream, progress, nursery.cancel_scope
            )
            try:
                await self._send(exchange, journey, upstream, reservation, progress)
                progress.ended = True
            except WigeondriftError as error:
                progress.ended = True
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not progress.ended:
            raise AttemptFailed("the stream fell silent", True, progress.suspects)

    async def _guard(
        self,
        journey: Journey,
        upstream: Upstream,
        progress: Progress,
        scope: trio.CancelScope,
    ) -> None:
        can_go_on = (
            journey.rule.is_idempotent and journey.attempts < journey.rule.attempts
        )
        while True:
            limit = FIRST_EVENT_SILENCE_SECONDS
            if progress.has_events:
                limit = STREAM_SILENCE_SECONDS
            last_at = progress.last_at
            if trio.current_time() < last_at + limit:
                await trio.sleep_until(last_at + limit)
                continue
            suspects = await self._examine(upstream, journey.call.request_id)
            if progress.last_at != last_at:
                continue
            silence = trio.current_time() - last_at
            is_lost = progress.has_events and silence >= MOST_SILENCE_SECONDS
            if can_go_on and (suspects or is_lost):
                progress.suspects = suspects or (upstream.upstream_id,)
                scope.cancel()
                return
            await trio.sleep(SILENCE_STEP_SECONDS)

    async def _examine(self, upstream: Upstream, request_id: str) -> tuple[str, ...]:
        """Find out which runners are at fault and avoid them."""
        try:
            report = await self._control.get_report(upstream)
        except TransportError as error:
            self._choice.note_unreachable(upstream, str(error))
            return (upstream.upstream_id,)
        self._choice.note_answer(upstream)
        address = report.stalled_by_request.get(request_id)
        if address is None and report.stalled_by_request:
            address = next(iter(report.stalled_by_request.values()))
        suspect = None if not address else self._choice.find_stage(address)
        if suspect is None:
            return ()
        self._choice.note_failure((suspect,), "a runner waits for it")
        return (suspect,)

    async def _send(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        reservation: Reservation | None,
        progress: Progress,
    ) -> None:
        call, rule = journey.call, journey.rule
        now = trio.current_time()
        headers = self._dialect.encode_upstream_headers(
            call,
            upstream.upstream_id,
            journey.team,
            journey.ends_at - now,
            None if reservation is None else reservation.chain.route,
            journey.events.last_id,
        )
        patience = journey.ends_at - now
        if rule.kind is RequestKind.SAFE and journey.attempts < rule.attempts:
            patience *= FIRST_TRY_SHARE
        async with self._client.request(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            head_timeout=max(0.0, patience),
            # On a kept connection a call may be lost without a trace.
            new_connection=not rule.is_idempotent,
        ) as response:
            self._choice.note_answer(upstream)
            head = self._dialect.decode_head(response.status, response.headers)
            if head.request_id and head.request_id != call.request_id:
                raise ConnectionLost("the answer belongs to another request")
            if head.running is not None:
                load = head.running + (head.waiting or 0)
                self._choice.note_load(upstream.upstream_id, load)
            if rule.kind is RequestKind.STREAM and head.status == STATUS_OK:
                await self._pass_stream(
                    exchange, journey, response, head, progress, reservation
                )
            else:
                await self._pass_whole(exchange, journey, upstream, response, head)

    async def _pass_whole(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        response: ClientResponse,
        head: UpstreamHead,
    ) -> None:
        body = await response.read()
        if head.is_not_run:
            suspects = (upstream.upstream_id,)
            if head.faulty_address:
                found = self._choice.find_stage(head.faulty_address)
                suspects = (found,) if found else suspects
                self._choice.note_failure(suspects, f"status {head.status}")
            raise AttemptFailed(
                f"refused with status {head.status}", False, suspects, (head, body)
            )
        is_failure = head.status >= 500 or not head.is_sealed
        if is_failure and (journey.rule.is_idempotent or head.status in PROMISES):
            raise AttemptFailed(
                f"failed with status {head.status}",
                True,
                (upstream.upstream_id,),
                (head, body),
            )
        if not head.is_sealed and head.status < 300:
            raise AttemptFailed("the answer bears no signature", True)
        await _write(exchange.respond(head.status, head.headers, body))

    async def _pass_stream(
        self,
        exchange: Exchange,
        journey: Journey,
        response: ClientResponse,
        head: UpstreamHead,
        progress: Progress,
        reservation: Reservation | None,
    ) -> None:
        if not head.is_sealed:
            raise ConnectionLost("the answer bears no signature")
        events = journey.events
        events.restart()
        async for data in response.iter_data():
            now = trio.current_time()
            if progress.has_events:
                gap = now - progress.last_at
                journey.longest_gap = max(gap, journey.longest_gap or 0.0)
            progress.last_at = now
            whole = events.feed(data)
            if not whole:
                continue
            if reservation is not None and not progress.has_events:
                reservation.note_read()
            progress.has_events = True
            if exchange.started:
                await _write(exchange.send(whole))
            else:
                journey.started_at = progress.last_at
                self._metrics.timing(
                    Metric.FIRST_TOKEN, progress.last_at - journey.call.arrived
                )
                await _write(exchange.start(head.status, head.headers, whole))
        if events.has_pending:
            raise ConnectionLost("the stream ended within an event")
        if not exchange.started:
            await _write(exchange.start(head.status, head.headers))
        await _write(exchange.finish())


async def _write(writing: Awaitable[None]) -> None:
    """Write to the caller, whose loss is not the upstream's."""
    try:
        await writing
    except ConnectionLost as error:
        raise CallerDisconnected("the caller is gone") from error
