import socket
from pathlib import Path

import trio
from behave import given, then, use_step_matcher, when
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from wigeondrift.telemetry.metrics import Metric, StatsdMetrics
from wigeondrift.telemetry.otlp import OtlpTracer
from wigeondrift.telemetry.tracing import check_traceparent

CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
METRICS_PAGE = Path(__file__).parents[3] / "docs" / "METRICS.md"


@given("a statsd daemon")
def open_daemon(context):
    context.daemon = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.daemon.bind(("127.0.0.1", 0))
    context.daemon.settimeout(10)
    context.cleanups = [context.daemon.close]


@when(
    "{requests:d} requests and {tokens:d} tokens are counted and a first token time of"
    " {seconds:f} s is recorded"
)
def record(context, requests, tokens, seconds):
    metrics = StatsdMetrics(f"127.0.0.1:{context.daemon.getsockname()[1]}")
    for _ in range(requests):
        metrics.count(Metric.REQUESTS)
    metrics.count(Metric.TOKENS, tokens)
    metrics.timing(Metric.FIRST_TOKEN, seconds)
    trio.run(metrics.flush, 0.0)


@then("the daemon receives the lines {lines}")
def check_lines(context, lines):
    data = context.daemon.recv(65536).decode()
    assert data.split("\n") == lines.split(" "), data


@then("docs/METRICS.md has a row for each metric")
def check_page(context):
    rows = [
        line for line in METRICS_PAGE.read_text().splitlines() if line.startswith("| `")
    ]
    assert rows == [
        f"| `{metric.key}` | {metric.kind} | {metric.unit} | {metric.description} |"
        for metric in Metric
    ]


@given("a tracer with an exporter in memory")
def make_tracer(context):
    context.exporter = InMemorySpanExporter()
    context.tracer = OtlpTracer("", "rajkot-1", context.exporter)


@when('a span "{parent}" under a caller\'s trace has a child span "{child}"')
def make_spans(context, parent, child):
    outer = context.tracer.start(parent, CALLER_TRACEPARENT, {"team": "counter"})
    inner = context.tracer.start(child, outer.traceparent)
    inner.end()
    outer.end()
    context.tracer.close()


@then("both spans are exported in the caller's trace, the child under its parent")
def check_spans(context):
    inner, outer = context.exporter.get_finished_spans()
    trace_id = int(CALLER_TRACEPARENT.split("-")[1], 16)
    assert inner.context.trace_id == outer.context.trace_id == trace_id
    assert inner.parent.span_id == outer.context.span_id
    assert outer.parent.span_id == int(CALLER_TRACEPARENT.split("-")[2], 16)
    assert outer.attributes["team"] == "counter"


use_step_matcher("re")


@then('the trace context "(?P<value>.*)" is accepted as "(?P<kept>.*)"')
def check_context(context, value, kept):
    assert check_traceparent(value) == kept


use_step_matcher("parse")
