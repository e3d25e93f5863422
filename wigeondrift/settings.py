"""Typed settings of the programs, read from JSON and checked before use."""

from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec

from wigeondrift.errors import SettingsError
from wigeondrift.settings_rules import (
    AddressRule,
    DistinctRule,
    LessThanRule,
    Rule,
    SettingsValues,
    UrlRule,
)
from wigeondrift.validation import find_faults

Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Bytes = Annotated[int, msgspec.Meta(ge=256, le=64 * 1048576)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Address = Annotated[str, msgspec.Meta(max_length=64)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class HttpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on callers' connections."""

    header_bytes: Bytes = 16384
    body_bytes: Bytes = 1048576
    read_timeout: Seconds = 10.0
    idle_timeout: Seconds = 60.0
    write_timeout: Seconds = 10.0
    connections: Positive = 4096


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds and time-outs of requests.

    Attributes
    ----------
    max_tokens : int
        Most tokens that a caller may ask for.
    queue_length : int
        Requests waiting in one entry.
    queue_timeout : float
        Longest wait for a slot, in seconds.
    progress_timeout : float
        Longest silence of a token stream before it is resumed elsewhere, in
        seconds.
    attempts : int
        Most routes tried for one request.
    call_timeout : float
        Longest time for the answer of a plain service, in seconds.
    claim_timeout : float
        Longest time for the platform to take a claim, in seconds.
    """

    max_tokens: Positive = 32768
    queue_length: Positive = 1000
    queue_timeout: Seconds = 20.0
    progress_timeout: Seconds = 1.5
    attempts: Positive = 5
    call_timeout: Seconds = 10.0
    claim_timeout: Seconds = 3.0


class AdmissionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the admission.

    Attributes
    ----------
    limit_wait : float
        Longest wait for a rate to let a request through, in seconds.
    burst_seconds : float
        Time for which a rate may be saved up, in seconds.
    short_queue_timeout : float
        Longest wait of a short model request for a slot, in seconds; one that waits
        longer is refused, so that those admitted get their first token in time.
    long_tokens : int
        Estimated tokens from which a request counts as long.
    long_fraction : float
        Part of the slots that long requests may fill.
    joined_readers : int
        Repeats that follow one run at once.
    linger : float
        Time for which a run goes on without a reader, in seconds.
    """

    limit_wait: Seconds = 2.0
    burst_seconds: Seconds = 1.0
    short_queue_timeout: Seconds = 0.15
    long_tokens: Positive = 2048
    long_fraction: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5
    joined_readers: Positive = 64
    linger: Seconds = 1.0


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of a planned stop.

    Attributes
    ----------
    notice : float
        Time for which work that still arrives is served, in seconds.
    bound : float
        Longest time for requests in progress, in seconds.
    """

    notice: Seconds = 12.0
    bound: Seconds = 900.0


class TelemetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics and traces go.

    Attributes
    ----------
    statsd : str
        ``host:port`` over UDP; no metrics if empty.
    otlp : str
        Base URL of an OTLP collector over HTTP; no traces if empty.
    log_level : str
        Least level that is logged.
    """

    statsd: str = ""
    otlp: str = ""
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``wigeondrift-entry``.

    Attributes
    ----------
    instance_id, failure_domain : str
        Where the process runs.
    process : str
        Name of the process on its instance.
    listen : str
        ``host:port`` for callers.
    post : str
        ``host:port`` for messages of the agent.
    agent : str
        ``host:port`` where the agent takes messages.
    platform : str
        ``host:port`` of the platform's key-value service.
    configured_instances : int
        Instances that the limits are shared among when none can be reached.
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
        Where the process runs.
    post : str
        ``host:port`` for messages of entries and peers.
    platform : str
        ``host:port`` of the platform's key-value service.
    seeds : tuple of str
        ``host:port`` of some peers, for a start without the platform.
    configured_instances : int
        Instances that the limits are shared among when none can be reached.
    gossip_interval : float
        Time between two rounds of digests, in seconds.
    watch_wait : float
        Longest wait of one watch on the platform, in seconds.
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

RULES_BY_KIND: dict[type, tuple[Rule, ...]] = {
    EntrySettings: (
        AddressRule("listen", "post", "agent", "platform"),
        DistinctRule("listen", "post", "agent", "platform"),
        LessThanRule(
            "requests.progress_timeout",
            "requests.call_timeout",
            "silence is noticed before a call as a whole is given up",
        ),
        LessThanRule(
            "admission.limit_wait",
            "requests.queue_timeout",
            "a request waits for its rate within its time in the queue",
        ),
        LessThanRule(
            "stop.notice",
            "stop.bound",
            "work that still arrives needs time to end",
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
            "peers are heard between two watches of the platform",
        ),
        *_TELEMETRY_RULES,
    ),
}


def load_settings(path: str, kind: type[SettingsType]) -> SettingsType:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or values in it are refused; it names them all.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, "$", error.strerror or "unreadable") from error
    return parse_settings(path, data, kind)


def parse_settings(path: str, data: bytes, kind: type[SettingsType]) -> SettingsType:
    """Check a settings document; ``path`` is named in the error."""
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsError(path, "$", str(error)) from error
    faults = list(find_faults(document, kind))
    values = SettingsValues(document, kind, faults)
    for rule in RULES_BY_KIND[kind]:
        faults.extend(rule.check(values))
    if faults:
        first = faults[0]
        raise SettingsError(path, first.location, first.reason, faults)
    return msgspec.convert(document, kind)
