"""Counters, gauges and timings, exported to statsd or Prometheus."""

import abc
import enum

import statsd

from wigeondrift.wire.address import parse_address

FLUSH_INTERVAL_SECONDS = 1.0
PREFIX = "wigeondrift"
MAX_TIMINGS_PER_FLUSH = 1000
MAX_DATAGRAM_BYTES = 1400
TIMING_BUCKETS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class Metric(enum.Enum):
    """Catalogue of metrics: name, type, unit and description."""

    REQUESTS = "requests", "counter", "requests", "Requests taken from callers."
    ANSWERS_RAN = "answers.ran", "counter", "requests", "Answers with outcome ran."
    ANSWERS_NOT_RUN = (
        "answers.not_run",
        "counter",
        "requests",
        "Answers with outcome not-run.",
    )
    ANSWERS_UNKNOWN = (
        "answers.unknown",
        "counter",
        "requests",
        "Answers with outcome unknown.",
    )
    SUSPENDED = (
        "requests.suspended",
        "counter",
        "requests",
        "Requests refused for a trait under which upstreams died.",
    )
    LIMITED = (
        "requests.limited",
        "counter",
        "requests",
        "Requests refused for the limits of all upstreams.",
    )
    WAITING_FIRST = (
        "waiting.first",
        "gauge",
        "requests",
        "Requests of their service's most urgent priority that wait for capacity.",
    )
    WAITING_SECOND = (
        "waiting.second",
        "gauge",
        "requests",
        "Requests of the next priority that wait for capacity.",
    )
    WAITING_OTHERS = (
        "waiting.others",
        "gauge",
        "requests",
        "Requests of all other priorities that wait for capacity.",
    )
    GRANTS_FIRST = (
        "grants.first",
        "counter",
        "requests",
        "Requests of their service's most urgent priority that got capacity.",
    )
    GRANTS_SECOND = (
        "grants.second",
        "counter",
        "requests",
        "Requests of the next priority that got capacity.",
    )
    GRANTS_OTHERS = (
        "grants.others",
        "counter",
        "requests",
        "Requests of all other priorities that got capacity.",
    )
    REFUSED_UNDER_PRESSURE = (
        "refused.pressure",
        "counter",
        "requests",
        "Requests refused while more urgent ones waited.",
    )
    BODIES_HELD = (
        "bodies.held",
        "gauge",
        "bytes",
        "Memory that callers' requests hold.",
    )
    BODIES_REFUSED = (
        "bodies.refused",
        "counter",
        "bodies",
        "Bodies given up or refused for want of memory.",
    )
    UPSTREAM_DEATHS = (
        "upstreams.deaths",
        "counter",
        "requests",
        "Requests on upstreams that died.",
    )
    FAULTS_SENT = (
        "faults.sent",
        "counter",
        "messages",
        "Messages sent to the other routers about upstreams at fault.",
    )
    FAULTS_APPLIED = (
        "faults.applied",
        "counter",
        "messages",
        "Messages of other routers for which an upstream was avoided.",
    )
    PACES_SENT = (
        "paces.sent",
        "counter",
        "messages",
        "Messages sent to the other routers about the pace of runners.",
    )
    REPEATS_GRANTED = (
        "retries.granted",
        "counter",
        "retries",
        "Retries granted by the pool of all routers.",
    )
    REPEATS_DENIED = (
        "retries.denied",
        "counter",
        "retries",
        "Retries denied because neither the router nor the pool had one left.",
    )
    HEDGES_SENT = (
        "hedges.sent",
        "counter",
        "requests",
        "Requests also sent to a second upstream because they were late.",
    )
    HEDGES_WON = (
        "hedges.won",
        "counter",
        "requests",
        "Second attempts whose answer was first.",
    )
    HEDGES_LOST = (
        "hedges.lost",
        "counter",
        "requests",
        "Second attempts that were not first, failed or were abandoned.",
    )
    HEDGES_REFUSED = (
        "hedges.refused",
        "counter",
        "requests",
        "Second attempts not sent for the operator's ratio or the retry budget.",
    )
    TOKENS = "tokens", "counter", "tokens", "Tokens handed to callers."
    RESUMES = "streams.resumed", "counter", "streams", "Streams resumed elsewhere."
    REPAIRS = (
        "streams.repaired",
        "counter",
        "streams",
        "Streams whose route was changed at their first runner.",
    )
    REPAIR_FAILURES = (
        "streams.repair_failed",
        "counter",
        "streams",
        "Changes of a stream's route that failed.",
    )
    FIRST_TOKEN = "first_token", "timing", "ms", "Time to the first token."
    REQUEST_TIME = "request_time", "timing", "ms", "Time to the end of the answer."
    SLOW_RUNNERS = (
        "runners.slow",
        "gauge",
        "runners",
        "Runners that this router knows to be slow.",
    )
    RUNNING = "running", "gauge", "requests", "Requests in progress."
    TABLE_VERSION = "table_version", "gauge", "version", "Table version in force."

    def __init__(self, key: str, kind: str, unit: str, description: str) -> None:
        self.key = key
        self.kind = kind
        self.unit = unit
        self.description = description


class Metrics(abc.ABC):
    """Sink of metrics; no method blocks or raises."""

    @abc.abstractmethod
    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""

    @abc.abstractmethod
    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration given in seconds."""

    @abc.abstractmethod
    async def flush(self, now: float) -> None:
        """Send the recorded metrics; called periodically by the timer service."""


class NullMetrics(Metrics):
    """Sink that discards all metrics."""

    __slots__ = ()

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Discard the amount."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Discard the value."""

    def timing(self, metric: Metric, seconds: float) -> None:
        """Discard the duration."""

    async def flush(self, now: float) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Sink that sends summed counters, gauges and timings to statsd over UDP.

    Parameters
    ----------
    address : str
        ``host:port`` of the statsd daemon.
    """

    __slots__ = ("_client", "_counts_by_metric", "_gauges_by_metric", "_timings")

    def __init__(self, address: str) -> None:
        host, port = parse_address(address)
        self._client = statsd.StatsClient(
            host, port, prefix=PREFIX, maxudpsize=MAX_DATAGRAM_BYTES
        )
        self._counts_by_metric: dict[Metric, int] = {}
        self._gauges_by_metric: dict[Metric, float] = {}
        self._timings: list[tuple[Metric, float]] = []

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        counts = self._counts_by_metric
        counts[metric] = counts.get(metric, 0) + amount

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._gauges_by_metric[metric] = value

    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration; drop it if too many were recorded since the last flush."""
        if len(self._timings) < MAX_TIMINGS_PER_FLUSH:
            self._timings.append((metric, seconds))

    async def flush(self, now: float) -> None:
        """Send the counters, gauges and timings recorded since the last flush."""
        with self._client.pipeline() as pipeline:
            for metric, amount in self._counts_by_metric.items():
                pipeline.incr(metric.key, amount)
            for metric, value in self._gauges_by_metric.items():
                pipeline.gauge(metric.key, value)
            for metric, seconds in self._timings:
                pipeline.timing(metric.key, seconds * 1000.0)
        self._counts_by_metric.clear()
        self._timings.clear()


class PrometheusMetrics(Metrics):
    """Sink that keeps counters, gauges and histograms for Prometheus to scrape."""

    __slots__ = ("_collectors_by_metric", "_registry")

    def __init__(self) -> None:
        # Imported here because the other programs do not need it.
        from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

        self._registry = CollectorRegistry(auto_describe=False)
        collector_types_by_kind = {
            "counter": Counter,
            "gauge": Gauge,
            "timing": lambda *args, **kwargs: Histogram(
                *args, buckets=TIMING_BUCKETS_SECONDS, **kwargs
            ),
        }
        self._collectors_by_metric = {}
        for metric in Metric:
            name = f"{PREFIX}_{metric.key.replace('.', '_')}"
            if metric.kind == "timing":
                name += "_seconds"
            make_collector = collector_types_by_kind[metric.kind]
            collector = make_collector(
                name, metric.description, registry=self._registry
            )
            self._collectors_by_metric[metric] = collector

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self._collectors_by_metric[metric].inc(amount)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._collectors_by_metric[metric].set(value)

    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration given in seconds."""
        self._collectors_by_metric[metric].observe(seconds)

    async def flush(self, now: float) -> None:
        """Do nothing, as Prometheus scrapes the metrics."""

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        return generate_latest(self._registry)


def make_metrics(address: str) -> Metrics:
    """Return the sink for a statsd address; an empty address disables metrics."""
    return StatsdMetrics(address) if address else NullMetrics()
