"""API of model services: completions, chat completions and the model list."""

import hashlib
import logging
import time

import msgspec
import trio

from wigeondrift.entry import completions
from wigeondrift.entry.answers import (
    make_error_document,
    make_headers,
    respond_json,
)
from wigeondrift.entry.completions import (
    AnswerFormat,
    AnyRequest,
    ChatFormat,
    ChatRequest,
    CompletionFormat,
    CompletionRequest,
)
from wigeondrift.entry.gate import Gate
from wigeondrift.entry.generation import GenerationJob, Generator
from wigeondrift.entry.runs import RunReader, RunRegistry, RunWriter
from wigeondrift.errors import ErrorKind, Outcome, RequestError
from wigeondrift.settings import RequestSettings
from wigeondrift.systems.coalescing import RunKey
from wigeondrift.systems.quarantine import make_fingerprint
from wigeondrift.table.rows import ServiceKind
from wigeondrift.table.tables import Tables
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.telemetry.tracing import Tracer
from wigeondrift.wire.http_server import Exchange

EVENT_STREAM_TYPE = ("Content-Type", "text/event-stream; charset=utf-8")
NO_CACHE = ("Cache-Control", "no-cache")
SHORT_PRIORITY = 0
LONG_PRIORITY = 1

_LOGGER = logging.getLogger(LOGGER_NAME)


class ApiCall:
    """An authenticated request in the gateway.

    Attributes
    ----------
    exchange : Exchange
    request_id, team : str
    closing : bool
        Whether the connection is closed after the answer.
    traceparent : str
        W3C trace context of the request's span.
    """

    __slots__ = ("closing", "exchange", "request_id", "team", "traceparent")

    def __init__(
        self,
        exchange: Exchange,
        request_id: str,
        team: str,
        closing: bool,
        traceparent: str,
    ) -> None:
        self.exchange = exchange
        self.request_id = request_id
        self.team = team
        self.closing = closing
        self.traceparent = traceparent


class ModelCard(msgspec.Struct):
    """One model in the response to ``GET /v1/models``."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "wigeondrift"


class ModelList(msgspec.Struct):
    """Body of the response to ``GET /v1/models``."""

    data: list[ModelCard]
    object: str = "list"


class PromptJob:
    """Validated request for one answer of a model.

    Attributes
    ----------
    body : CompletionRequest or ChatRequest
    prompt : str
    max_tokens : int
    """

    __slots__ = ("body", "max_tokens", "prompt")

    def __init__(self, body: AnyRequest, max_answer_tokens: int) -> None:
        self.body = body
        self.prompt = body.text
        self.max_tokens = completions.get_max_tokens(body, max_answer_tokens)

    @property
    def cost(self) -> int:
        """Estimated number of tokens of the prompt and the answer."""
        return completions.estimate_prompt_tokens(self.prompt) + self.max_tokens


class ModelApi:
    """Handlers of the model API.

    Parameters
    ----------
    tables : Tables
    settings : RequestSettings
    gate : Gate
    runs : RunRegistry
    generator : Generator
    metrics : Metrics
    tracer : Tracer
    """

    __slots__ = (
        "_gate",
        "_generator",
        "_metrics",
        "_runs",
        "_settings",
        "_tables",
        "_tracer",
    )

    def __init__(
        self,
        tables: Tables,
        settings: RequestSettings,
        gate: Gate,
        runs: RunRegistry,
        generator: Generator,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self._tables = tables
        self._settings = settings
        self._gate = gate
        self._runs = runs
        self._generator = generator
        self._metrics = metrics
        self._tracer = tracer

    async def list_models(self, call: ApiCall) -> None:
        """Serve ``GET /v1/models``: the models that the team may use."""
        cards = [
            ModelCard(name)
            for name, row in self._tables.table.services_by_name.items()
            if row.kind is ServiceKind.MODEL and self._has_row(call.team, name)
        ]
        headers = make_headers(call.request_id, Outcome.RAN, call.closing)
        await respond_json(call.exchange, 200, headers, ModelList(cards))

    def _has_row(self, team: str, service: str) -> bool:
        return f"{team}/{service}" in self._tables.table.limits_by_row

    async def complete(self, call: ApiCall) -> None:
        """Serve ``POST /v1/completions``."""
        await self._serve(call, CompletionRequest, CompletionFormat)

    async def chat(self, call: ApiCall) -> None:
        """Serve ``POST /v1/chat/completions``."""
        await self._serve(call, ChatRequest, ChatFormat)

    async def _serve(
        self,
        call: ApiCall,
        body_type: type[AnyRequest],
        format_type: type[AnswerFormat],
    ) -> None:
        body = parse_body(call.exchange.request.body, body_type)
        job = PromptJob(body, self._settings.max_tokens)
        self._check_model(body.model)
        answer_format = format_type(call.request_id, body.model, int(time.time()))
        key = self._make_key(call, body.model)

        async def produce(writer: RunWriter) -> None:
            await self._generate(call, job, writer)

        async with self._runs.open(key, call.request_id, produce) as reader:
            if body.stream:
                await self._stream(call, job, answer_format, reader)
            else:
                await self._respond_complete(call, job, answer_format, reader)

    def _check_model(self, model: str) -> None:
        row = self._tables.table.services_by_name.get(model)
        if row is None or row.kind is not ServiceKind.MODEL:
            raise RequestError(ErrorKind.UNKNOWN_MODEL, "there is no such model")

    @staticmethod
    def _make_key(call: ApiCall, model: str) -> RunKey:
        request = call.exchange.request
        digest = hashlib.sha256(request.path.encode() + b"\n" + request.body)
        return RunKey(call.team, model, digest.hexdigest())

    async def _generate(self, call: ApiCall, job: PromptJob, writer: RunWriter) -> None:
        """Admit a request and write its tokens to the run; the task of a run."""
        model = job.body.model
        queue_span = self._tracer.start("entry.queue", call.traceparent)
        admission = self._gate.admit(call.team, model, job.cost, queue_span)
        async with admission as admitted:
            generation_job = GenerationJob(
                request_id=call.request_id,
                team=call.team,
                service=model,
                prompt=job.prompt,
                max_tokens=job.max_tokens,
                priority=LONG_PRIORITY if admitted.is_long else SHORT_PRIORITY,
                fingerprint=make_fingerprint(
                    call.team, model, job.prompt, str(job.max_tokens)
                ),
                traceparent=call.traceparent,
            )
            prompt_tokens = completions.estimate_prompt_tokens(job.prompt)
            try:
                async with self._generator.open(generation_job) as generation:
                    async for tokens in generation:
                        writer.write(tokens)
            finally:
                admitted.used_tokens = prompt_tokens + len(writer.run.tokens)
            writer.end(generation.finish_reason)

    async def _respond_complete(
        self,
        call: ApiCall,
        job: PromptJob,
        answer_format: AnswerFormat,
        reader: RunReader,
    ) -> None:
        while await reader.read():
            pass
        run = reader.run
        usage = completions.make_usage(job.prompt, len(run.tokens))
        document = answer_format.make_complete(
            "".join(run.tokens), run.finish_reason, usage
        )
        headers = make_headers(call.request_id, Outcome.RAN, call.closing)
        await respond_json(call.exchange, 200, headers, document)
        self._record_done(call, job, reader)

    async def _stream(
        self,
        call: ApiCall,
        job: PromptJob,
        answer_format: AnswerFormat,
        reader: RunReader,
    ) -> None:
        exchange = call.exchange
        started_at = trio.current_time()
        tokens = await reader.read()
        headers = make_headers(call.request_id, None, call.closing)
        headers += [EVENT_STREAM_TYPE, NO_CACHE]
        chunk = answer_format.make_chunk("".join(tokens))
        await exchange.start(200, headers, chunk)
        self._metrics.timing(Metric.FIRST_TOKEN, trio.current_time() - started_at)
        try:
            while tokens := await reader.read():
                await exchange.send(answer_format.make_chunk("".join(tokens)))
        except RequestError as error:
            await self._end_with_error(call, error)
            return
        await exchange.finish(self._make_ending(job, answer_format, reader))
        self._record_done(call, job, reader)

    def _make_ending(
        self, job: PromptJob, answer_format: AnswerFormat, reader: RunReader
    ) -> bytes:
        parts = [answer_format.make_last_chunk(reader.run.finish_reason)]
        options = job.body.stream_options
        if options is not None and options.include_usage:
            usage = completions.make_usage(job.prompt, reader.count)
            parts.append(answer_format.make_usage_chunk(usage))
        parts.append(completions.frame_comment(f"outcome={Outcome.RAN.value}"))
        parts.append(completions.DONE_EVENT)
        return b"".join(parts)

    async def _end_with_error(self, call: ApiCall, error: RequestError) -> None:
        """End a truncated stream with an error event.

        Tokens were already sent, so the outcome is never reported as not run.
        """
        outcome = error.outcome
        if outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        cut = RequestError(error.kind, error.reason, outcome)
        document = make_error_document(cut, call.request_id)
        data = completions.frame_event(document)
        data += completions.frame_comment(f"outcome={outcome.value}")
        self._metrics.count(Metric.ANSWERS_UNKNOWN)
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.REQUEST_REFUSED,
            request_id=call.request_id,
            team=call.team,
            kind=error.kind.value,
            outcome=outcome.value,
        )
        await call.exchange.finish(data)

    def _record_done(self, call: ApiCall, job: PromptJob, reader: RunReader) -> None:
        self._metrics.count(Metric.ANSWERS_RAN)
        self._metrics.count(Metric.TOKENS, len(reader.run.tokens))
        log_event(
            _LOGGER,
            logging.INFO,
            Event.REQUEST_DONE,
            request_id=call.request_id,
            run_id=reader.run.run_id,
            team=call.team,
            service=job.body.model,
            tokens=len(reader.run.tokens),
        )


def parse_body(data: bytes, body_type: type[AnyRequest]) -> AnyRequest:
    """Return the decoded body of a request.

    Raises
    ------
    RequestError
        If the body is not JSON or does not match ``body_type``.
    """
    try:
        return msgspec.json.decode(data, type=body_type)
    except msgspec.ValidationError as error:
        raise RequestError(ErrorKind.INVALID_PARAMETER, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        reason = "the body is not a JSON document"
        raise RequestError(ErrorKind.MALFORMED_REQUEST, reason) from error
