"""Trace spans of a request, one per hop, propagated as W3C trace context."""

import abc
import re
from collections.abc import Mapping

TRACEPARENT_HEADER = "traceparent"
TRACEPARENT_PATTERN = re.compile(
    r"00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)

Attribute = str | int | float | bool


class Span(abc.ABC):
    """Span of one hop in progress.

    Attributes
    ----------
    traceparent : str
        W3C trace context for the next hop; empty if there is none.
    """

    traceparent: str

    @abc.abstractmethod
    def set(self, key: str, value: Attribute) -> None:
        """Set an attribute."""

    @abc.abstractmethod
    def end(self) -> None:
        """End the span at the current time."""


class Tracer(abc.ABC):
    """Source of spans; starting and ending spans never waits for the network."""

    @abc.abstractmethod
    def start(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, Attribute] | None = None,
    ) -> Span:
        """Start a span whose parent is given by ``traceparent``, if not empty."""

    @abc.abstractmethod
    def close(self) -> None:
        """Export the remaining spans."""


class NonRecordingSpan(Span):
    """Span that is not recorded and propagates the context of its parent."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def set(self, key: str, value: Attribute) -> None:
        """Discard the attribute."""

    def end(self) -> None:
        """Do nothing."""


class NonRecordingTracer(Tracer):
    """Tracer that records nothing and propagates callers' trace contexts."""

    __slots__ = ()

    def start(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, Attribute] | None = None,
    ) -> Span:
        """Return a span that propagates ``traceparent`` unchanged."""
        return NonRecordingSpan(traceparent)

    def close(self) -> None:
        """Do nothing."""


def check_traceparent(value: str) -> str:
    """Return ``value`` if it is a valid trace context, else an empty string."""
    return value if TRACEPARENT_PATTERN.fullmatch(value) else ""


def make_tracer(base_url: str, instance_id: str) -> Tracer:
    """Return the tracer for a collector's base URL; an empty URL disables tracing.

    The OpenTelemetry SDK is imported only when it is used, to save memory.
    """
    if not base_url:
        return NonRecordingTracer()
    from wigeondrift.telemetry.otlp import OtlpTracer

    return OtlpTracer(base_url, instance_id)
