"""HTTP API for callers: request dispatch, readiness and planned stop."""

import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.entry.accounts import Accounts
from wigeondrift.entry.answers import make_headers, respond_error, respond_json
from wigeondrift.entry.gate import Gate
from wigeondrift.entry.model_api import ApiCall, ModelApi
from wigeondrift.entry.request_ids import RequestIds
from wigeondrift.entry.runs import RunRegistry
from wigeondrift.entry.service_api import PATH_PREFIX, ServiceApi
from wigeondrift.errors import ConnectionLost, ErrorKind, Outcome, RequestError
from wigeondrift.settings import EntrySettings
from wigeondrift.table.tables import Tables
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.telemetry.tracing import (
    TRACEPARENT_HEADER,
    Span,
    Tracer,
    check_traceparent,
)
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.body_budget import (
    ENTRY_DECODED_FACTOR,
    BodyBudget,
    get_budget_bytes,
)
from wigeondrift.wire.body_report import BodyReport
from wigeondrift.wire.http_server import (
    Exchange,
    HttpLimits,
    HttpServer,
    limit_receive_buffers,
)

BACKLOG = 1024
ABORT_GRACE_SECONDS = 1.0
METRICS_BY_OUTCOME = {
    Outcome.RAN: Metric.ANSWERS_RAN,
    Outcome.NOT_RUN: Metric.ANSWERS_NOT_RUN,
    Outcome.UNKNOWN: Metric.ANSWERS_UNKNOWN,
}

_LOGGER = logging.getLogger(LOGGER_NAME)

Handler = Callable[[ApiCall], Awaitable[None]]


class EntryStatus(msgspec.Struct):
    """Body of the response to ``GET /status``."""

    instance_id: str
    process: str
    ready: bool
    stopping: bool
    table_version: int
    instances_revision: int
    requests: int
    waiting: int
    runs: int
    joined: int
    quarantined: int


class Gateway(Component):
    """HTTP server for callers.

    Parameters
    ----------
    settings : EntrySettings
    tables : Tables
    request_ids : RequestIds
    gate : Gate
    runs : RunRegistry
    model_api : ModelApi
    service_api : ServiceApi
    metrics : Metrics
    tracer : Tracer
    on_stopping : callable
        Called without arguments when a planned stop begins.
    """

    __slots__ = (
        "_accept_scope",
        "_accounts",
        "_body_report",
        "_gate",
        "_handlers_by_path",
        "_idle",
        "_listeners",
        "_metrics",
        "_model_api",
        "_on_stopping",
        "_request_ids",
        "_runs",
        "_server",
        "_service_api",
        "_settings",
        "_tables",
        "_tracer",
        "requests",
        "stopping",
    )

    def __init__(
        self,
        settings: EntrySettings,
        tables: Tables,
        request_ids: RequestIds,
        gate: Gate,
        runs: RunRegistry,
        model_api: ModelApi,
        service_api: ServiceApi,
        metrics: Metrics,
        tracer: Tracer,
        on_stopping: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._tables = tables
        self._request_ids = request_ids
        self._gate = gate
        self._runs = runs
        self._model_api = model_api
        self._service_api = service_api
        self._metrics = metrics
        self._tracer = tracer
        self._on_stopping = on_stopping
        self._accounts = Accounts(tables)
        options = msgspec.structs.asdict(settings.http)
        budget = BodyBudget(
            get_budget_bytes(options.pop("memory_mb")), ENTRY_DECODED_FACTOR
        )
        budget.set_largest_body(settings.http.body_bytes)
        self._body_report = BodyReport(budget, metrics)
        limits = HttpLimits(**options)
        self._server = HttpServer(self.handle, limits, self._answer_unreadable, budget)
        self._listeners: list[trio.SocketListener] = []
        self._accept_scope = trio.CancelScope()
        self._idle = trio.Event()
        self._handlers_by_path: dict[tuple[str, str], Handler] = {
            ("POST", "/v1/completions"): model_api.complete,
            ("POST", "/v1/chat/completions"): model_api.chat,
            ("GET", "/v1/models"): model_api.list_models,
        }
        self.requests = 0
        self.stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether this process accepts new requests."""
        return self._tables.table_version > 0 and not self.stopping

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the listeners and start serving in ``nursery``."""
        host, port = parse_address(self._settings.listen)
        self._listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=BACKLOG
        )
        limit_receive_buffers(self._listeners)
        self._runs.start(nursery)
        nursery.start_soon(self._accept, nursery)
        log_event(_LOGGER, logging.INFO, Event.STARTED, address=self._settings.listen)
        nursery.start_soon(self._announce_ready)

    async def _accept(self, nursery: trio.Nursery) -> None:
        with self._accept_scope:
            await trio.serve_listeners(
                self._server.serve_stream, self._listeners, handler_nursery=nursery
            )

    async def _announce_ready(self) -> None:
        while not self.is_ready:
            await trio.sleep(0.05)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.READY,
            table_version=self._tables.table_version,
        )

    async def stop(self) -> None:
        """Perform a planned stop: close the listeners, wait for running requests.

        New requests are still accepted during the notice period. On cancellation,
        the requests in progress end with an error, so that no caller takes a
        truncated answer for a complete one.
        """
        self.stopping = True
        self._on_stopping()
        log_event(_LOGGER, logging.INFO, Event.STOP_REQUESTED, requests=self.requests)
        try:
            await trio.sleep(self._settings.stop.notice)
            await self._close_listeners()
            await self._wait_until_idle()
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await self._abort_all()
            raise

    async def _close_listeners(self) -> None:
        self._accept_scope.cancel()
        for listener in self._listeners:
            await listener.aclose()
        self._server.stop_keep_alive()

    async def _wait_until_idle(self) -> None:
        while self.requests:
            self._idle = trio.Event()
            await self._idle.wait()

    async def _abort_all(self) -> None:
        """End all runs in progress with an error and give it time to be sent."""
        log_event(
            _LOGGER, logging.ERROR, Event.STOP_BOUND_REACHED, requests=self.requests
        )
        reason = "the planned stop hit its bound"
        self._runs.abort(RequestError(ErrorKind.STREAM_CUT, reason))
        with trio.move_on_after(ABORT_GRACE_SECONDS):
            await self._wait_until_idle()

    async def close(self) -> None:
        """Close the listeners if they are still open."""
        for listener in self._listeners:
            await listener.aclose()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request and send its complete answer."""
        request_id = self._request_ids.make()
        self.requests += 1
        started_at = trio.current_time()
        try:
            await self._answer(exchange, request_id)
        except ConnectionLost:
            raise
        except Exception:
            _LOGGER.exception(
                "unhandled exception in request", extra={"request_id": request_id}
            )
            if exchange.started:
                raise ConnectionLost("answer truncated by an internal error") from None
            error = RequestError(ErrorKind.INTERNAL, "internal error")
            await self._refuse(exchange, error, request_id, "")
        finally:
            elapsed = trio.current_time() - started_at
            self._metrics.timing(Metric.REQUEST_TIME, elapsed)
            self.requests -= 1
            if not self.requests:
                self._idle.set()

    async def _answer(self, exchange: Exchange, request_id: str) -> None:
        self._metrics.count(Metric.REQUESTS)
        path = exchange.request.path
        if path in ("/healthz", "/readyz", "/status"):
            await self._answer_probe(exchange, path, request_id)
            return
        if path.startswith(PATH_PREFIX):
            await self._serve(exchange, request_id)
        else:
            completed = await exchange.run_until_closed(
                lambda: self._serve(exchange, request_id),
            )
            if not completed and not exchange.started:
                reason = "the caller closed its side before the answer"
                error = RequestError(ErrorKind.CALLER_CLOSED, reason)
                await self._refuse(exchange, error, request_id, "")

    async def _serve(self, exchange: Exchange, request_id: str) -> None:
        headers = exchange.request.headers_by_name
        parent = check_traceparent(headers.get(TRACEPARENT_HEADER, ""))
        span = self._tracer.start("entry.request", parent)
        span.set("request_id", request_id)
        try:
            await self._serve_traced(exchange, request_id, span)
        finally:
            span.end()

    async def _serve_traced(
        self, exchange: Exchange, request_id: str, span: Span
    ) -> None:
        team = ""
        try:
            if not self._tables.table_version:
                raise RequestError(ErrorKind.NOT_READY, "no table is known yet")
            handler = self._find_handler(exchange)
            headers = exchange.request.headers_by_name
            team = self._accounts.get_team(headers.get("authorization", ""))
            span.set("team", team)
            call = ApiCall(exchange, request_id, team, self.stopping, span.traceparent)
            await handler(call)
        except RequestError as error:
            span.set("error", error.kind.value)
            await self._refuse(exchange, error, request_id, team)

    def _find_handler(self, exchange: Exchange) -> Handler:
        request = exchange.request
        if request.path.startswith(PATH_PREFIX):
            return self._service_api.serve
        handler = self._handlers_by_path.get((request.method, request.path))
        if handler is None:
            reason = "there is no such method and path"
            raise RequestError(ErrorKind.UNKNOWN_PATH, reason)
        return handler

    async def _refuse(
        self, exchange: Exchange, error: RequestError, request_id: str, team: str
    ) -> None:
        self._metrics.count(METRICS_BY_OUTCOME[error.outcome])
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.REQUEST_REFUSED,
            request_id=request_id,
            team=team,
            kind=error.kind.value,
            outcome=error.outcome.value,
        )
        await respond_error(exchange, error, request_id, self.stopping)

    async def _answer_unreadable(self, exchange: Exchange, error: RequestError) -> None:
        """Answer a request that could not be parsed; the connection then closes."""
        request_id = self._request_ids.make()
        self._metrics.count(Metric.ANSWERS_NOT_RUN)
        await respond_error(exchange, error, request_id, True)

    async def _answer_probe(
        self, exchange: Exchange, path: str, request_id: str
    ) -> None:
        headers = make_headers(request_id, Outcome.RAN, self.stopping)
        status = 200
        if path == "/readyz" and not self.is_ready:
            status = 503
        await respond_json(exchange, status, headers, self.get_status())

    async def record_gauges(self, now: float) -> None:
        """Record the gauges of the process; called by the timer service."""
        self._metrics.gauge(Metric.RUNNING, self.requests)
        self._metrics.gauge(Metric.TABLE_VERSION, self._tables.table_version)
        await self._body_report.record(now)

    def get_status(self) -> EntryStatus:
        """Return the status of the process."""
        return EntryStatus(
            instance_id=self._settings.instance_id,
            process=self._settings.process,
            ready=self.is_ready,
            stopping=self.stopping,
            table_version=self._tables.table_version,
            instances_revision=self._tables.instances_revision,
            requests=self.requests,
            waiting=self._gate.waiting,
            runs=self._runs.running,
            joined=self._runs.joined,
            quarantined=len(self._tables.quarantined),
        )
