"""I/O layer of a model request: attempts over routes, timeouts and resumption."""

import contextlib
import logging
from collections.abc import AsyncIterator, Callable

import trio
import xxhash

from wigeondrift.application import Component
from wigeondrift.entities import Route
from wigeondrift.entry.engine import (
    UNREACHABLE_REASON,
    CancelRequest,
    Engine,
    EngineEvent,
    EngineRefused,
)
from wigeondrift.errors import (
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    ProtocolViolation,
    TransportError,
)
from wigeondrift.settings import RequestSettings
from wigeondrift.systems.quarantine import Quarantine, Run
from wigeondrift.systems.recovery import Failure, Recovery
from wigeondrift.systems.retries import RetryBudget
from wigeondrift.systems.routing import Routing
from wigeondrift.systems.streams import TokenStream
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics, NullMetrics
from wigeondrift.telemetry.tracing import NonRecordingTracer, Span, Tracer
from wigeondrift.timer import Clock
from wigeondrift.wire.messages import SuspectNews

PREFIX_CHARACTERS = 1024
FIRST_TOKEN_TIMEOUT_SECONDS = 20.0
ROUTE_POLL_SECONDS = 0.05
TOKENS_PER_MEASUREMENT = 16
MAX_CONCURRENT_CANCELS = 64

_LOGGER = logging.getLogger(LOGGER_NAME)

Publish = Callable[[SuspectNews], None]
ReportLeaving = Callable[[str], None]


class GenerationJob:
    """One model request.

    Attributes
    ----------
    request_id : str
    team, service : str
        Names in the table.
    prompt : str
    max_tokens : int
        Maximum number of tokens in the answer.
    priority : int
        Requests with a lower value run first.
    fingerprint : str
        Identifies repeats of the same request.
    traceparent : str
        W3C trace context of the calling span.
    """

    __slots__ = (
        "fingerprint",
        "max_tokens",
        "priority",
        "prompt",
        "request_id",
        "service",
        "team",
        "traceparent",
    )

    def __init__(
        self,
        request_id: str,
        team: str,
        service: str,
        prompt: str,
        max_tokens: int,
        priority: int = 0,
        fingerprint: str = "",
        traceparent: str = "",
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.service = service
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.fingerprint = fingerprint
        self.traceparent = traceparent

    @property
    def prompt_hash(self) -> int:
        """Hash of the first characters of the prompt, for the prefix cache."""
        prefix = self.prompt[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")
        return xxhash.xxh3_64_intdigest(prefix)


class Attempt:
    """One attempt in progress.

    Attributes
    ----------
    route : Route
    run : Run
        Run that the quarantine tracks for this attempt.
    span : Span
    stage_spans : list of Span
        One span per stage, started at the first token.
    stack : contextlib.AsyncExitStack
        Closes the connection to the first stage.
    batches : AsyncIterator
        Batches of events from the engine.
    tokens : int
        Number of tokens received in this attempt.
    measured_tokens : int
        Value of ``tokens`` at the last measurement of the time per token.
    measured_at : float
        Time of the last measurement, in seconds; initially the time at which the
        engine accepted the request.
    """

    __slots__ = (
        "batches",
        "measured_at",
        "measured_tokens",
        "route",
        "run",
        "span",
        "stack",
        "stage_spans",
        "tokens",
    )

    def __init__(self, route: Route, run: Run, span: Span) -> None:
        self.route = route
        self.run = run
        self.span = span
        self.stage_spans: list[Span] = []
        self.stack = contextlib.AsyncExitStack()
        self.batches: AsyncIterator[list[EngineEvent]] | None = None
        self.tokens = 0
        self.measured_tokens = 0
        self.measured_at = 0.0


class Generation:
    """Answer to one job, as an async iterator of lists of token texts.

    Iteration stops only after the end event of a complete answer. In all other cases
    it raises ``RequestError`` with the exact outcome.

    Parameters
    ----------
    generator : Generator
    job : GenerationJob
    """

    __slots__ = (
        "_attempt",
        "_generator",
        "_job",
        "_prefetched",
        "_recovery",
        "_succeeded",
        "stream",
    )

    def __init__(self, generator: "Generator", job: GenerationJob) -> None:
        self._generator = generator
        self._job = job
        self.stream = TokenStream(job.request_id, job.max_tokens)
        self._recovery = Recovery(
            self.stream,
            generator.routing,
            generator.quarantine,
            generator.budget,
            job,
            generator.settings.attempts,
        )
        self._attempt: Attempt | None = None
        self._prefetched: list[str] | None = None
        self._succeeded = False

    @property
    def finish_reason(self) -> str:
        """Finish reason of the end event; empty before that event."""
        return self.stream.finish_reason

    @property
    def attempts(self) -> int:
        """Number of attempts so far."""
        return self.stream.attempt

    def __aiter__(self) -> "Generation":
        return self

    async def __anext__(self) -> list[str]:
        texts = self._prefetched
        self._prefetched = None
        if texts is None:
            texts = await self._fetch()
        if not texts:
            raise StopAsyncIteration
        return texts

    async def fetch_first(self) -> None:
        """Wait for the first tokens, so that earlier errors are raised here."""
        self._prefetched = await self._fetch()

    async def close(self) -> None:
        """Close the attempt in progress, if any."""
        await self._close_attempt()

    async def _fetch(self) -> list[str]:
        """Return the next tokens; an empty list after the end event."""
        while not self.stream.has_ended:
            attempt = self._attempt
            if attempt is None:
                attempt = await self._start_attempt()
                if attempt is None:
                    continue
            texts, failure = await self._read_tokens(attempt)
            if failure is not None:
                await self._handle_failure(attempt, failure)
            if texts:
                return texts
        self._record_success()
        await self._close_attempt()
        return []

    async def _start_attempt(self) -> Attempt | None:
        """Start the next attempt; return None if it failed at once."""
        generator = self._generator
        recovery = self._recovery
        while (route := recovery.plan(generator.clock.now())) is None:
            await trio.sleep(ROUTE_POLL_SECONDS)
        job = self._job
        stream = self.stream
        stream.begin(route)
        span = generator.tracer.start("engine.generate", job.traceparent)
        span.set("attempt", stream.attempt)
        span.set("route", " ".join(route.instance_ids))
        run = generator.quarantine.begin_run(job.fingerprint, route.instance_ids)
        attempt = self._attempt = Attempt(route, run, span)
        generator.routing.record_start(route.instance_ids, generator.clock.now())
        request = stream.make_request(
            job.service, job.prompt, job.priority, 0, span.traceparent
        )
        first_stage = route.stages[0]
        exchange = generator.engine.generate(first_stage.address, request)
        try:
            attempt.batches = await attempt.stack.enter_async_context(exchange)
        except ConnectFailed:
            await self._handle_failure(
                attempt, Failure.unreachable(first_stage.instance_id)
            )
        except EngineRefused as refusal:
            stage = refusal.stage or first_stage.instance_id
            if refusal.reason == "leaving":
                generator.report_leaving(stage)
            failure = Failure.refused(stage)
            if refusal.reason == UNREACHABLE_REASON:
                failure = Failure.unreachable(stage)
            await self._handle_failure(attempt, failure)
        except ConnectionSilent:
            await self._handle_failure(attempt, Failure.silent(first_stage.instance_id))
        except ConnectionLost:
            await self._handle_failure(attempt, Failure.died(first_stage.instance_id))
        else:
            attempt.measured_at = trio.current_time()
            recovery.record_started(run)
            return attempt
        return None

    async def _read_tokens(self, attempt: Attempt) -> tuple[list[str], Failure | None]:
        """Return new tokens, or the failure that ends the attempt."""
        stream = self.stream
        started_at = trio.current_time()
        timeout = self._generator.settings.progress_timeout
        deadline = started_at + timeout
        while True:
            try:
                with trio.move_on_at(deadline) as scope:
                    batch = await anext(attempt.batches, None)
            except ConnectionLost:
                return [], Failure.died(attempt.route.stages[0].instance_id)
            except ProtocolViolation:
                return [], Failure.cut(attempt.route.stages[0].instance_id)
            if scope.cancelled_caught:
                return [], Failure.silent("")
            if batch is None:
                return [], Failure.cut()
            texts = stream.accept(batch)
            failure = self._find_failure()
            if texts:
                self._record_tokens(attempt, len(texts))
            if texts or failure is not None or stream.has_ended:
                return texts, failure
            if not batch and not attempt.tokens:
                first_token_deadline = attempt.measured_at + FIRST_TOKEN_TIMEOUT_SECONDS
                deadline = min(trio.current_time() + timeout, first_token_deadline)

    def _find_failure(self) -> Failure | None:
        stream = self.stream
        if stream.failure is not None:
            stage = stream.failure.failed_stage
            if stream.failure.reason == UNREACHABLE_REASON:
                return Failure.cut(stage)
            return Failure.died(stage)
        if stream.has_gap:
            return Failure.gap()
        return None

    def _record_tokens(self, attempt: Attempt, count: int) -> None:
        generator = self._generator
        attempt.tokens += count
        generator.quarantine.record_tokens(attempt.run, count)
        new_tokens = attempt.tokens - attempt.measured_tokens
        is_first = attempt.measured_tokens == 0
        if not is_first and new_tokens < TOKENS_PER_MEASUREMENT:
            return
        now = trio.current_time()
        if is_first:
            self._start_stage_spans(attempt)
            generator.routing.health.record_success(attempt.route.instance_ids)
        else:
            seconds = (now - attempt.measured_at) / new_tokens
            generator.routing.record_token_time(attempt.route, seconds)
        attempt.measured_tokens = attempt.tokens
        attempt.measured_at = now

    async def _handle_failure(self, attempt: Attempt, failure: Failure) -> None:
        """Report and close a failed attempt; the caller then plans the next one."""
        generator = self._generator
        now = generator.clock.now()
        news = self._recovery.record_failure(attempt.route, attempt.run, failure, now)
        if news is not None:
            generator.publish(news)
        if failure.is_abandoned:
            first_stage_address = attempt.route.stages[0].address
            request = CancelRequest(self.stream.request_id, self.stream.attempt)
            generator.cancel_in_background(first_stage_address, request)
        attempt.span.set("failure", failure.reason)
        if failure.may_have_run:
            generator.metrics.count(Metric.RESUMES)
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.STREAM_RESUMED,
                request_id=self.stream.request_id,
                attempt=self.stream.attempt,
                reason=failure.reason,
                stage=failure.instance_id,
                tokens=len(self.stream.tokens),
            )
        await self._close_attempt()

    async def _close_attempt(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        self._attempt = None
        generator = self._generator
        try:
            await attempt.stack.aclose()
        finally:
            now = generator.clock.now()
            generator.routing.record_end(attempt.route.instance_ids, now)
            generator.quarantine.end_run(attempt.run)
            for span in attempt.stage_spans:
                span.end()
            attempt.span.set("tokens", attempt.tokens)
            attempt.span.end()

    def _start_stage_spans(self, attempt: Attempt) -> None:
        for stage in attempt.route.stages:
            layers = {"first_layer": stage.first_layer, "end_layer": stage.end_layer}
            span = self._generator.tracer.start(
                "engine.stage",
                attempt.span.traceparent,
                {"runner": stage.instance_id, **layers},
            )
            attempt.stage_spans.append(span)

    def _record_success(self) -> None:
        if self._succeeded:
            return
        self._succeeded = True
        generator = self._generator
        generator.budget.record_success()
        now = generator.clock.now()
        news = generator.quarantine.record_success(self._job.fingerprint, now)
        if news is not None:
            generator.publish(news)


class Generator(Component):
    """Runs model requests over routes of runners.

    Parameters
    ----------
    engine : Engine
    routing : Routing
    quarantine : Quarantine
    settings : RequestSettings
    clock : Clock
    publish : callable, optional
        Sends ``SuspectNews`` to the other instances.
    report_leaving : callable, optional
        Called with the name of a runner that refused work because it is leaving.
    tracer : Tracer, optional
    metrics : Metrics, optional
    budget : RetryBudget, optional
    """

    __slots__ = (
        "_cancels",
        "_nursery",
        "budget",
        "clock",
        "engine",
        "metrics",
        "publish",
        "quarantine",
        "report_leaving",
        "routing",
        "settings",
        "tracer",
    )

    def __init__(
        self,
        engine: Engine,
        routing: Routing,
        quarantine: Quarantine,
        settings: RequestSettings,
        clock: Clock,
        publish: Publish | None = None,
        report_leaving: ReportLeaving | None = None,
        tracer: Tracer | None = None,
        metrics: Metrics | None = None,
        budget: RetryBudget | None = None,
    ) -> None:
        self.engine = engine
        self.routing = routing
        self.quarantine = quarantine
        self.settings = settings
        self.clock = clock
        self.publish = publish or _do_nothing
        self.report_leaving = report_leaving or _do_nothing
        self.tracer = tracer or NonRecordingTracer()
        self.metrics = metrics or NullMetrics()
        self.budget = budget or RetryBudget()
        self._nursery: trio.Nursery | None = None
        self._cancels = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Use ``nursery`` to send cancellations in the background."""
        self._nursery = nursery

    @contextlib.asynccontextmanager
    async def open(self, job: GenerationJob) -> AsyncIterator[Generation]:
        """Enter with the answer once its first tokens have arrived.

        Raises
        ------
        RequestError
            With the exact outcome; also raised during iteration.
        """
        generation = Generation(self, job)
        try:
            await generation.fetch_first()
            yield generation
        finally:
            await generation.close()

    async def tick(self, now: float) -> None:
        """Decide on suspected requests; called by the timer service."""
        news = self.quarantine.tick(now)
        if news is not None:
            self.publish(news)
            for fingerprint in news.quarantined:
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.REQUEST_QUARANTINED,
                    fingerprint=fingerprint,
                )

    def merge_suspects(self, news: SuspectNews) -> None:
        """Merge the suspected requests reported by another instance."""
        self.quarantine.merge(news, self.clock.now())

    def cancel_in_background(self, address: str, request: CancelRequest) -> None:
        """Cancel an abandoned attempt without waiting for the result.

        Nothing is sent while ``MAX_CONCURRENT_CANCELS`` cancellations are running.
        """
        if self._nursery is not None and self._cancels < MAX_CONCURRENT_CANCELS:
            self._cancels += 1
            self._nursery.start_soon(self._cancel, address, request)

    async def _cancel(self, address: str, request: CancelRequest) -> None:
        try:
            with trio.move_on_after(self.settings.progress_timeout):
                await self.engine.cancel(address, request)
        except TransportError:
            pass
        finally:
            self._cancels -= 1


def _do_nothing(_: object) -> None:
    """Ignore the argument; the default callback."""
