"""API of plain services below ``/services/{name}/``."""

import logging

from wigeondrift.entry.answers import make_headers
from wigeondrift.entry.gate import Gate
from wigeondrift.entry.model_api import ApiCall
from wigeondrift.entry.orders import OrderExecutor, OrderJob, OrderResult
from wigeondrift.entry.service import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    ServiceAnswer,
    ServiceCall,
)
from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.table.rows import ServiceKind, ServiceRow
from wigeondrift.table.tables import Tables
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.telemetry.tracing import Tracer
from wigeondrift.wire.http_server import Request

PATH_PREFIX = "/services/"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
FORWARDED_METHODS = SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}
MAX_KEY_CHARACTERS = 256
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        OUTCOME_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
    }
)
LOWEST_FINAL_STATUS = 200

_LOGGER = logging.getLogger(LOGGER_NAME)


class ServiceApi:
    """Handler of calls to plain services.

    Parameters
    ----------
    tables : Tables
    gate : Gate
    executor : OrderExecutor
    metrics : Metrics
    tracer : Tracer
    """

    __slots__ = ("_executor", "_gate", "_metrics", "_tables", "_tracer")

    def __init__(
        self,
        tables: Tables,
        gate: Gate,
        executor: OrderExecutor,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self._tables = tables
        self._gate = gate
        self._executor = executor
        self._metrics = metrics
        self._tracer = tracer

    async def serve(self, call: ApiCall) -> None:
        """Forward a call to the service and return its answer to the caller."""
        request = call.exchange.request
        name, target = split_target(request.target)
        row = self._get_service(name)
        key = get_key(request, row)
        service_call = ServiceCall(
            request.method, target, list_forwarded_headers(request), request.body
        )
        job = OrderJob(
            request_id=call.request_id,
            team=call.team,
            service=name,
            key=key,
            call=service_call,
        )
        queue_span = self._tracer.start("entry.queue", call.traceparent)
        async with self._gate.admit(call.team, name, 0, queue_span):
            span = self._tracer.start("entry.order", call.traceparent)
            try:
                result = await self._executor.run(job)
            finally:
                span.end()
        await self._respond(call, result)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.REQUEST_DONE,
            request_id=call.request_id,
            team=call.team,
            service=name,
            outcome=result.outcome.value,
            replayed=result.replayed,
        )

    def _get_service(self, name: str) -> ServiceRow:
        row = self._tables.table.services_by_name.get(name)
        if row is None or row.kind is not ServiceKind.PLAIN:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, "there is no such service")
        return row

    async def _respond(self, call: ApiCall, result: OrderResult) -> None:
        answer: ServiceAnswer = result.answer
        headers = make_headers(call.request_id, result.outcome, call.closing)
        forwarded = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in DROPPED_HEADERS
        ]
        body = b"" if call.exchange.request.method == "HEAD" else answer.body
        await call.exchange.respond(answer.status, [*forwarded, *headers], body)
        self._metrics.count(Metric.ANSWERS_RAN)


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into the service name and the target below its path.

    Raises
    ------
    RequestError
        If the path has no service name.
    """
    path, separator, query = target.removeprefix(PATH_PREFIX).partition("?")
    name, _, rest = path.partition("/")
    if not name:
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, "no service is named")
    return name, f"/{rest}{separator}{query}"


def get_key(request: Request, row: ServiceRow) -> str:
    """Return the idempotency key of a call; empty if the call needs none.

    Raises
    ------
    RequestError
        If the method is not supported, if the key is too long, or if a
        non-idempotent call has no key.
    """
    if request.method not in FORWARDED_METHODS:
        reason = "the method is not passed on"
        raise RequestError(ErrorKind.MALFORMED_REQUEST, reason)
    key = request.headers_by_name.get(row.key_header.lower(), "").strip()
    if len(key) > MAX_KEY_CHARACTERS:
        reason = f"{row.key_header} has more than {MAX_KEY_CHARACTERS} characters"
        raise RequestError(ErrorKind.INVALID_PARAMETER, reason)
    if row.idempotent or request.method in SAFE_METHODS:
        return ""
    if not key:
        reason = f"the call may not be repeated and needs {row.key_header}"
        raise RequestError(ErrorKind.KEY_REQUIRED, reason)
    return key


def list_forwarded_headers(request: Request) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request that are forwarded to the service."""
    connection_options = (
        request.headers_by_name.get("connection", "").lower().split(",")
    )
    dropped = DROPPED_HEADERS.union(name.strip() for name in connection_options)
    return tuple(
        (name, value)
        for name, value in request.headers_by_name.items()
        if name not in dropped
    )
