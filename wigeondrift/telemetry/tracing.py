"""Spans of a request, one for each hop, in W3C trace context."""

import abc
import re
from collections.abc import Mapping

TRACEPARENT_HEADER = "traceparent"
TRACEPARENT_PATTERN = re.compile(
    r"00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)

Attribute = str | int | float | bool


class Span(abc.ABC):
    """One hop in progress.

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
        """End the span now."""


class Tracer(abc.ABC):
    """Source of spans; no call waits on the network."""

    @abc.abstractmethod
    def start(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, Attribute] | None = None,
    ) -> Span:
        """Start a span under the parent that ``traceparent`` names, if any."""

    @abc.abstractmethod
    def close(self) -> None:
        """Send what is left."""


class NonRecordingSpan(Span):
    """Span that is not recorded and passes its parent on."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def set(self, key: str, value: Attribute) -> None:
        """Drop the attribute."""

    def end(self) -> None:
        """Do nothing."""


class NonRecordingTracer(Tracer):
    """Tracer that records nothing and passes callers' contexts on."""

    __slots__ = ()

    def start(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, Attribute] | None = None,
    ) -> Span:
        """Return a span that passes ``traceparent`` on."""
        return NonRecordingSpan(traceparent)

    def close(self) -> None:
        """Do nothing."""


def check_traceparent(value: str) -> str:
    """Return ``value`` if it is a valid trace context, else an empty string."""
    return value if TRACEPARENT_PATTERN.fullmatch(value) else ""


def make_tracer(base_url: str, instance_id: str) -> Tracer:
    """Return the tracer for a settings value; empty means none.

    The OpenTelemetry SDK is imported only when it is used, for its memory.
    """
    if not base_url:
        return NonRecordingTracer()
    from wigeondrift.telemetry.otlp import OtlpTracer

    return OtlpTracer(base_url, instance_id)
