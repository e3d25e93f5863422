"""Typed settings of the programs, read from JSON and validated before use."""

from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec

from wigeondrift.errors import SettingsError
from wigeondrift.settings_rules import (
    AddressRule,
    BodyMemoryRule,
    DistinctRule,
    LessThanRule,
    Rule,
    SettingsValues,
    UrlRule,
)
from wigeondrift.validation import find_faults
from wigeondrift.wire.body_budget import MAX_MEMORY_MB

Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Bytes = Annotated[int, msgspec.Meta(ge=256, le=64 * 1048576)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Address = Annotated[str, msgspec.Meta(max_length=64)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class HttpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size limits and timeouts of callers' connections.

    Attributes
    ----------
    header_bytes : int
        Maximum size of the request line and headers together.
    body_bytes : int
        Maximum size of the request body.
    read_timeout : float
        Timeout for receiving a complete request, in seconds.
    idle_timeout : float
        Maximum time between two requests on a connection, in seconds.
    write_timeout : float
        Timeout for a single write, in seconds.
    connections : int
        Maximum number of open connections.
    memory_mb : int
        Memory for this process, in MiB, from which the bound for all bodies together
        follows; zero for the default of 256.
    """

    header_bytes: Bytes = 16384
    body_bytes: Bytes = 1048576
    read_timeout: Seconds = 10.0
    idle_timeout: Seconds = 60.0
    write_timeout: Seconds = 10.0
    connections: Positive = 4096
    memory_mb: MemoryMb = 0


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and timeouts of requests.

    Attributes
    ----------
    max_tokens : int
        Maximum number of tokens that a caller may request.
    queue_length : int
        Maximum number of requests waiting in one entry.
    queue_timeout : float
        Maximum wait for a slot, in seconds.
    progress_timeout : float
        Maximum time without a token before a stream is resumed on another route, in
        seconds.
    attempts : int
        Maximum number of routes tried for one request.
    call_timeout : float
        Timeout for the response of a plain service, in seconds.
    claim_timeout : float
        Timeout for storing a claim on the platform, in seconds.
    """

    max_tokens: Positive = 32768
    queue_length: Positive = 1000
    queue_timeout: Seconds = 20.0
    progress_timeout: Seconds = 1.5
    attempts: Positive = 5
    call_timeout: Seconds = 10.0
    claim_timeout: Seconds = 3.0


class AdmissionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of admission control.

    Attributes
    ----------
    limit_wait : float
        Maximum wait of a request for its team's rate limit, in seconds.
    burst_seconds : float
        Time for which unused rate accumulates, in seconds.
    short_queue_timeout : float
        Maximum wait of a short model request for a slot, in seconds; requests that
        wait longer are refused, so that the admitted ones get their first token in
        time.
    long_tokens : int
        Estimated number of tokens from which a request counts as long.
    long_fraction : float
        Fraction of the slots that long requests may occupy.
    joined_readers : int
        Maximum number of repeated requests that read from one run at the same time.
    linger : float
        Time for which a run continues without a reader, in seconds.
    """

    limit_wait: Seconds = 2.0
    burst_seconds: Seconds = 1.0
    short_queue_timeout: Seconds = 0.15
    long_tokens: Positive = 2048
    long_fraction: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5
    joined_readers: Positive = 64
    linger: Seconds = 1.0


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits of a planned stop.

    Attributes
    ----------
    notice : float
        Time for which newly arriving requests are still served, in seconds.
    bound : float
        Maximum time for requests in progress to end, in seconds.
    """

    notice: Seconds = 12.0
    bound: Seconds = 900.0


class TelemetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destinations of metrics and traces, and the log level.

    Attributes
    ----------
    statsd : str
        ``host:port`` of a statsd daemon (UDP); metrics are disabled if empty.
    otlp : str
        Base URL of an OTLP/HTTP collector; traces are disabled if empty.
    log_level : str
        Minimum level that is logged.
    """

    statsd: str = ""
    otlp: str = ""
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``wigeondrift-entry``.

    Attributes
    ----------
    instance_id, failure_domain : str
        Instance and failure domain that the process runs in.
    process : str
        Name of the process on its instance.
    listen : str
        ``host:port`` that accepts callers' connections.
    post : str
        ``host:port`` that receives messages of the agent.
    agent : str
        ``host:port`` where the agent receives messages.
    platform : str
        ``host:port`` of the platform's key-value service.
    configured_instances : int
        Number of instances that share the limits while no other instance can be
        reached.
    """

    instance_id: Name
    failure_domain: Name
    listen: Address
    post: Address
    agent: Address
    platform: Address
    process: Name = "entry-0"
    configured_instances: Positive = 8
    http: HttpSettings = HttpSettings()
    requests: RequestSettings = RequestSettings()
    admission: AdmissionSettings = AdmissionSettings()
    stop: StopSettings = StopSettings()
    telemetry: TelemetrySettings = TelemetrySettings()


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``wigeondrift-agent``.

    Attributes
    ----------
    instance_id, failure_domain : str
        Instance and failure domain that the process runs in.
    post : str
        ``host:port`` that receives messages of entries and peers.
    platform : str
        ``host:port`` of the platform's key-value service.
    seeds : tuple of str
        ``host:port`` of some peers, contacted at start in case the platform is down.
    configured_instances : int
        Number of instances that share the limits while no other instance can be
        reached.
    gossip_interval : float
        Time between two gossip rounds, in seconds.
    watch_wait : float
        Maximum wait of one watch call to the platform, in seconds.
    """

    instance_id: Name
    failure_domain: Name
    post: Address
    platform: Address
    seeds: tuple[Address, ...] = ()
    configured_instances: Positive = 8
    gossip_interval: Seconds = 0.5
    watch_wait: Seconds = 20.0
    telemetry: TelemetrySettings = TelemetrySettings()


SettingsType = TypeVar("SettingsType", EntrySettings, AgentSettings)

_TELEMETRY_RULES = (AddressRule("telemetry.statsd"), UrlRule("telemetry.otlp"))

RULES_BY_TYPE: dict[type, tuple[Rule, ...]] = {
    EntrySettings: (
        AddressRule("listen", "post", "agent", "platform"),
        DistinctRule("listen", "post", "agent", "platform"),
        BodyMemoryRule("http.memory_mb", "http.body_bytes"),
        LessThanRule(
            "requests.progress_timeout",
            "requests.call_timeout",
            "a stalled stream must be detected before a whole call times out",
        ),
        LessThanRule(
            "admission.limit_wait",
            "requests.queue_timeout",
            "the wait for the rate limit is part of the time in the queue",
        ),
        LessThanRule(
            "stop.notice",
            "stop.bound",
            "requests that arrive during the notice need time to end",
        ),
        *_TELEMETRY_RULES,
    ),
    AgentSettings: (
        AddressRule("post", "platform", "seeds"),
        DistinctRule("post", "platform"),
        DistinctRule("platform", "seeds"),
        LessThanRule(
            "gossip_interval",
            "watch_wait",
            "messages of peers must arrive between two watches of the platform",
        ),
        *_TELEMETRY_RULES,
    ),
}


def load_settings(path: str, settings_type: type[SettingsType]) -> SettingsType:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; it lists all faults.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, "$", error.strerror or "unreadable") from error
    return parse_settings(path, data, settings_type)


def parse_settings(
    path: str, data: bytes, settings_type: type[SettingsType]
) -> SettingsType:
    """Parse and validate a settings document; ``path`` is used in error messages.

    Raises
    ------
    SettingsError
        If the document is not JSON or is invalid; it lists all faults.
    """
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsError(path, "$", str(error)) from error
    faults = list(find_faults(document, settings_type))
    values = SettingsValues(document, settings_type, faults)
    for rule in RULES_BY_TYPE[settings_type]:
        faults.extend(rule.check(values))
    if faults:
        first = faults[0]
        raise SettingsError(path, first.location, first.reason, faults)
    return msgspec.convert(document, settings_type)
