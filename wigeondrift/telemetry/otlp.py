"""Tracer that exports spans over OTLP/HTTP with the OpenTelemetry SDK."""

from collections.abc import Mapping

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from wigeondrift.telemetry.tracing import TRACEPARENT_HEADER, Attribute, Span, Tracer

EXPORT_TIMEOUT_SECONDS = 5
MAX_QUEUED_SPANS = 4096
MAX_BATCH_SPANS = 512
CLOSE_TIMEOUT_MS = 2000

_PROPAGATOR = TraceContextTextMapPropagator()


class OtlpSpan(Span):
    """Span that is recorded and exported."""

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
        self.traceparent = carrier.get(TRACEPARENT_HEADER, "")

    def set(self, key: str, value: Attribute) -> None:
        """Set an attribute."""
        self._span.set_attribute(key, value)

    def end(self) -> None:
        """End the span at the current time."""
        self._span.end()


class OtlpTracer(Tracer):
    """Tracer whose spans are exported in batches by a background thread.

    Parameters
    ----------
    base_url : str
        Base URL of the collector; spans go to ``/v1/traces`` below it.
    instance_id : str
        Set as ``service.instance.id``.
    exporter : SpanExporter, optional
        Replaces the exporter to ``base_url``.
    """

    __slots__ = ("_provider", "_tracer")

    def __init__(
        self, base_url: str, instance_id: str, exporter: SpanExporter | None = None
    ) -> None:
        resource = Resource(
            {"service.name": "wigeondrift", "service.instance.id": instance_id}
        )
        self._provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        if exporter is None:
            exporter = OTLPSpanExporter(
                endpoint=f"{base_url.rstrip('/')}/v1/traces",
                timeout=EXPORT_TIMEOUT_SECONDS,
            )
        processor = BatchSpanProcessor(
            exporter,
            max_queue_size=MAX_QUEUED_SPANS,
            max_export_batch_size=MAX_BATCH_SPANS,
        )
        self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("wigeondrift")

    def start(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, Attribute] | None = None,
    ) -> Span:
        """Start a span whose parent is given by ``traceparent``, if not empty."""
        context = _PROPAGATOR.extract({TRACEPARENT_HEADER: traceparent})
        return OtlpSpan(self._tracer.start_span(name, context, attributes=attributes))

    def close(self) -> None:
        """Export the remaining spans within a bounded time."""
        self._provider.force_flush(CLOSE_TIMEOUT_MS)
        self._provider.shutdown()
