"""Shell of a model request: attempts over routes, time-outs and resume."""

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
FIRST_TOKEN_SECONDS = 20.0
ROUTE_POLL_SECONDS = 0.05
LEARN_TOKENS = 16
CANCELS_AT_ONCE = 64

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
        Most tokens of the answer.
    priority : int
        Lower runs first.
    fingerprint : str
        Name under which repeats of the request are known.
    traceparent : str
        W3C trace context of the caller's hop.
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
        """Hash of the prompt's beginning, for the prefix cache."""
        prefix = self.prompt[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")
        return xxhash.xxh3_64_intdigest(prefix)


class Attempt:
    """One attempt in progress.

    Attributes
    ----------
    route : Route
    run : Run
        As the quarantine knows it.
    span : Span
    stage_spans : list of Span
        One for each stage, from the first token that names it.
    stack : contextlib.AsyncExitStack
        Holds the connection.
    batches : AsyncIterator
        The engine's events.
    tokens : int
        Tokens that this attempt gave.
    learned_tokens : int
        Those that the pace was learned from.
    learned_at : float
        Time at which it was learned last, in seconds.
    """

    __slots__ = (
        "batches",
        "learned_at",
        "learned_tokens",
        "route",
        "run",
        "span",
        "stage_spans",
        "stack",
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
        self.learned_tokens = 0
        self.learned_at = 0.0


class Generation:
    """Answer to one job: an async iterator of lists of token texts.

    It ends only after the end mark of a whole answer; in all other cases it raises
    ``RequestError`` with the exact outcome.

    Parameters
    ----------
    generator : Generator
    job : GenerationJob
    """

    __slots__ = (
        "_attempt",
        "_fetched",
        "_generator",
        "_job",
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
        self._fetched: list[str] | None = None
        self._succeeded = False

    @property
    def finish_reason(self) -> str:
        """Reason of the end mark; empty before it."""
        return self.stream.finish_reason

    @property
    def attempts(self) -> int:
        """Attempts so far."""
        return self.stream.attempt

    def __aiter__(self) -> "Generation":
        return self

    async def __anext__(self) -> list[str]:
        texts = self._fetched
        self._fetched = None
        if texts is None:
            texts = await self._fetch()
        if not texts:
            raise StopAsyncIteration
        return texts

    async def fetch_first(self) -> None:
        """Wait for the first tokens, so that errors before them come early."""
        self._fetched = await self._fetch()

    async def close(self) -> None:
        """Drop what still runs."""
        await self._close_attempt()

    async def _fetch(self) -> list[str]:
        """Return the next tokens; none after the end mark."""
        while not self.stream.has_ended:
            attempt = self._attempt
            if attempt is None:
                attempt = await self._begin()
                if attempt is None:
                    continue
            texts, failure = await self._pull(attempt)
            if failure is not None:
                await self._fail(attempt, failure)
            if texts:
                return texts
        self._note_success()
        await self._close_attempt()
        return []

    async def _begin(self) -> Attempt | None:
        """Start the next attempt; None if it never ran."""
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
        run = generator.quarantine.begin(job.fingerprint, route.instance_ids)
        attempt = self._attempt = Attempt(route, run, span)
        generator.routing.note_start(route.instance_ids, generator.clock.now())
        order = stream.make_order(
            job.service, job.prompt, job.priority, 0, span.traceparent
        )
        head = route.stages[0]
        request = generator.engine.generate(head.address, order)
        try:
            attempt.batches = await attempt.stack.enter_async_context(request)
        except ConnectFailed:
            await self._fail(attempt, Failure.unreachable(head.instance_id))
        except EngineRefused as refusal:
            stage = refusal.stage or head.instance_id
            if refusal.reason == "leaving":
                generator.report_leaving(stage)
            failure = Failure.refused(stage)
            if refusal.reason == UNREACHABLE_REASON:
                failure = Failure.unreachable(stage)
            await self._fail(attempt, failure)
        except ConnectionSilent:
            await self._fail(attempt, Failure.silent(head.instance_id))
        except ConnectionLost:
            await self._fail(attempt, Failure.died(head.instance_id))
        else:
            attempt.learned_at = trio.current_time()
            recovery.note_running(run)
            return attempt
        return None

    async def _pull(self, attempt: Attempt) -> tuple[list[str], Failure | None]:
        """Return new tokens, or why the attempt cannot go on."""
        stream = self.stream
        began = trio.current_time()
        patience = self._generator.settings.progress_timeout
        deadline = began + patience
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
                self._note_tokens(attempt, len(texts))
            if texts or failure is not None or stream.has_ended:
                return texts, failure
            if not batch and not attempt.tokens:
                bound = attempt.learned_at + FIRST_TOKEN_SECONDS
                deadline = min(trio.current_time() + patience, bound)

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

    def _note_tokens(self, attempt: Attempt, count: int) -> None:
        generator = self._generator
        attempt.tokens += count
        generator.quarantine.note_tokens(attempt.run, count)
        fresh = attempt.tokens - attempt.learned_tokens
        first = attempt.learned_tokens == 0
        if not first and fresh < LEARN_TOKENS:
            return
        now = trio.current_time()
        if first:
            self._start_stage_spans(attempt)
            generator.routing.health.note_success(attempt.route.instance_ids)
        else:
            seconds = (now - attempt.learned_at) / fresh
            generator.routing.note_progress(attempt.route, seconds)
        attempt.learned_tokens = attempt.tokens
        attempt.learned_at = now

    async def _fail(self, attempt: Attempt, failure: Failure) -> None:
        """Close a failed attempt; the next one is planned afterwards."""
        generator = self._generator
        now = generator.clock.now()
        news = self._recovery.note_failure(attempt.route, attempt.run, failure, now)
        if news is not None:
            generator.publish(news)
        if failure.is_abandoned:
            head = attempt.route.stages[0].address
            order = CancelRequest(self.stream.request_id, self.stream.attempt)
            generator.cancel_later(head, order)
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
            generator.routing.note_end(attempt.route.instance_ids, now)
            generator.quarantine.end(attempt.run)
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

    def _note_success(self) -> None:
        if self._succeeded:
            return
        self._succeeded = True
        generator = self._generator
        generator.budget.note_success()
        now = generator.clock.now()
        news = generator.quarantine.note_success(self._job.fingerprint, now)
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
        Tells other instances of ``SuspectNews``.
    report_leaving : callable, optional
        Takes the name of a runner that refused work since it is leaving.
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
        self.publish = publish or _ignore
        self.report_leaving = report_leaving or _ignore
        self.tracer = tracer or NonRecordingTracer()
        self.metrics = metrics or NullMetrics()
        self.budget = budget or RetryBudget()
        self._nursery: trio.Nursery | None = None
        self._cancels = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Send cancellations in the background from now on."""
        self._nursery = nursery

    @contextlib.asynccontextmanager
    async def open(self, job: GenerationJob) -> AsyncIterator[Generation]:
        """Enter with the answer once its first tokens are there.

        Raises
        ------
        RequestError
            With its exact outcome, also while iterating.
        """
        generation = Generation(self, job)
        try:
            await generation.fetch_first()
            yield generation
        finally:
            await generation.close()

    async def tick(self, now: float) -> None:
        """Decide on suspects; a subscriber of the timer service."""
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

    def take_suspects(self, news: SuspectNews) -> None:
        """Take in the news of other instances."""
        self.quarantine.merge(news, self.clock.now())

    def cancel_later(self, address: str, order: CancelRequest) -> None:
        """Cancel an abandoned attempt without waiting for it."""
        if self._nursery is not None and self._cancels < CANCELS_AT_ONCE:
            self._cancels += 1
            self._nursery.start_soon(self._cancel, address, order)

    async def _cancel(self, address: str, order: CancelRequest) -> None:
        try:
            with trio.move_on_after(self.settings.progress_timeout):
                await self.engine.cancel(address, order)
        except TransportError:
            pass
        finally:
            self._cancels -= 1


def _ignore(_: object) -> None:
    """Take no notice."""
